/* Parses the text of a runbook. The first word of each line is its keyword. */
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "runbook/runbook.h"

static const char *const verbs[VERB_COUNT] = {"let", "wait", "expect", "everywhere", "do", "unless", "tell"};
static const char *const relations[] = {"is", "isnt", "atleast", "atmost"};

struct parser {
    struct runbook *book;
    char *error;
    size_t error_len;
    int64_t line_no;
    char **names;
    int64_t n_names;
};

static int parse_error(struct parser *parser, const char *expected, const char *got)
{
    snprintf(parser->error, parser->error_len, "line %lld: expected %s, got '%.60s'", (long long)parser->line_no,
             expected, got ? got : "nothing");
    return ERROR_BAD_SETTING;
}

/* Splits the next word off *rest, in place; NULL at the end. */
static char *next_word(char **rest)
{
    char *at = *rest;
    while (isspace((unsigned char)*at))
        at++;
    if (!*at)
        return NULL;
    char *end = at;
    while (*end && !isspace((unsigned char)*end))
        end++;
    *rest = *end ? end + 1 : end;
    *end = 0;
    return at;
}

static int name_known(const struct parser *parser, const char *name, size_t len)
{
    for (int64_t i = 0; i < parser->n_names; i++)
        if (strlen(parser->names[i]) == len && !strncmp(parser->names[i], name, len))
            return 1;
    return 0;
}

/* Checks that each {name} is a parameter or set by an earlier let. Other braces belong to JSON and are ignored. */
static int check_names(struct parser *parser, const char *text)
{
    for (const char *open = text ? strchr(text, '{') : NULL; open; open = strchr(open + 1, '{')) {
        size_t len = strspn(open + 1, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ");
        if (!len || open[1 + len] != '}')
            continue;
        if (!name_known(parser, open + 1, len)) {
            char name[64];
            snprintf(name, sizeof name, "%.*s", (int)(len < 60 ? len : 60), open + 1);
            return parse_error(parser, "a parameter or a name let before", name);
        }
    }
    return ERROR_NONE;
}

/* GET PATH SELECTOR RELATION VALUE [within MS] */
static int parse_condition(struct parser *parser, struct line *line, char *rest, int needs_within)
{
    char *method = next_word(&rest), *path = next_word(&rest), *select = next_word(&rest), *relation = next_word(&rest);
    char *value = next_word(&rest), *within = next_word(&rest), *limit = next_word(&rest);
    if (!method || strcmp(method, "GET"))
        return parse_error(parser, "GET", method);
    if (!path || *path != '/')
        return parse_error(parser, "a path", path);
    if (!select)
        return parse_error(parser, "a selector", NULL);
    int found = -1;
    for (int i = 0; relation && i < COUNT_OF(relations); i++)
        if (!strcmp(relation, relations[i]))
            found = i;
    if (found < 0)
        return parse_error(parser, "is, isnt, atleast or atmost", relation);
    if (!value)
        return parse_error(parser, "a value", NULL);
    if (within && strcmp(within, "within"))
        return parse_error(parser, "within MS", within);
    if (needs_within && !within)
        return parse_error(parser, "within MS", NULL);
    if (within && (!limit || strspn(limit, "0123456789") != strlen(limit) || text_to_int64(limit) < 1))
        return parse_error(parser, "a number of milliseconds", limit);
    if (next_word(&rest))
        return parse_error(parser, "nothing more", rest);
    line->relation = (enum relation)found;
    line->path = must_dup(path);
    line->select = must_dup(select);
    line->value = must_dup(value);
    line->within_ms = limit ? text_to_int64(limit) : 0;
    return ERROR_NONE;
}

static int parse_action(struct parser *parser, struct line *line, char *rest)
{
    char *method = next_word(&rest), *path = next_word(&rest);
    if (!method || (strcmp(method, "PUT") && strcmp(method, "POST") && strcmp(method, "DELETE")))
        return parse_error(parser, "PUT, POST or DELETE", method);
    if (!path || *path != '/')
        return parse_error(parser, "a path", path);
    while (isspace((unsigned char)*rest))
        rest++;
    line->method = must_dup(method);
    line->path = must_dup(path);
    line->body = must_dup(rest);
    return ERROR_NONE;
}

/* NAME = GET PATH SELECTOR */
static int parse_let(struct parser *parser, struct line *line, char *rest)
{
    char *name = next_word(&rest), *equals = next_word(&rest), *method = next_word(&rest), *path = next_word(&rest),
         *select = next_word(&rest);
    if (!name || !equals || strcmp(equals, "=") || !method || strcmp(method, "GET") || !path || !select ||
        next_word(&rest))
        return parse_error(parser, "NAME = GET PATH SELECTOR", name);
    line->name = must_dup(name);
    line->path = must_dup(path);
    line->select = must_dup(select);
    return ERROR_NONE;
}

static int parse_step_line(struct parser *parser, enum verb verb, char *rest)
{
    struct runbook *book = parser->book;
    if (!book->n_steps)
        return parse_error(parser, "a step first", verbs[verb]);
    struct step *step = &book->steps[book->n_steps - 1];
    struct line *line = array_add(step->lines, step->n_lines);
    line->verb = verb;
    line->line_no = parser->line_no;
    int rc = ERROR_NONE;
    if (verb == VERB_LET)
        rc = parse_let(parser, line, rest);
    else if (verb == VERB_DO)
        rc = parse_action(parser, line, rest);
    else if (verb == VERB_TELL)
        line->body = must_dup(rest);
    else
        rc = parse_condition(parser, line, rest, verb == VERB_WAIT || verb == VERB_EVERYWHERE);
    if (!rc)
        rc = check_names(parser, line->path);
    if (!rc)
        rc = check_names(parser, line->select);
    if (!rc)
        rc = check_names(parser, line->value);
    if (!rc)
        rc = check_names(parser, line->body);
    if (!rc && verb == VERB_LET)
        *array_add(parser->names, parser->n_names) = line->name;
    return rc;
}

static int parse_text_line(struct parser *parser, char *text)
{
    struct runbook *book = parser->book;
    char *rest = text, *first = next_word(&rest);
    if (!first || *first == '#')
        return ERROR_NONE;
    while (isspace((unsigned char)*rest))
        rest++;
    if (!strcmp(first, "runbook")) {
        if (book->name || !*rest)
            return parse_error(parser, "one runbook NAME", rest);
        book->name = must_dup(rest);
        return ERROR_NONE;
    }
    if (!book->name)
        return parse_error(parser, "runbook NAME first", first);
    if (!strcmp(first, "param")) {
        if (!*rest || book->n_steps)
            return parse_error(parser, "param NAME before the first step", rest);
        *array_add(book->params, book->n_params) = must_dup(rest);
        *array_add(parser->names, parser->n_names) = book->params[book->n_params - 1];
        return ERROR_NONE;
    }
    if (!strcmp(first, "step")) {
        if (!*rest)
            return parse_error(parser, "step NAME", NULL);
        *array_add(book->steps, book->n_steps) = (struct step){.name = must_dup(rest), .line_no = parser->line_no};
        return ERROR_NONE;
    }
    for (int i = 0; i < VERB_COUNT; i++)
        if (!strcmp(first, verbs[i]))
            return parse_step_line(parser, (enum verb)i, rest);
    return parse_error(parser, "runbook, param, step, let, wait, expect, everywhere, do, unless or tell", first);
}

int runbook_parse(struct runbook *book, const char *text, char *error, size_t error_len)
{
    struct parser parser = {.book = book, .error = error, .error_len = error_len};
    char *copy = must_dup(text), *at = copy;
    int rc = ERROR_NONE;
    *book = (struct runbook){0};
    while (at && !rc) {
        char *end = strchr(at, '\n');
        if (end)
            *end = 0;
        parser.line_no++;
        rc = parse_text_line(&parser, at);
        at = end ? end + 1 : NULL;
    }
    if (!rc && !book->n_steps)
        rc = parse_error(&parser, "at least one step", NULL);
    free(copy);
    free(parser.names);
    if (rc)
        runbook_free(book);
    return rc;
}

void runbook_free(struct runbook *book)
{
    for (int64_t i = 0; i < book->n_steps; i++) {
        for (int64_t k = 0; k < book->steps[i].n_lines; k++) {
            struct line *line = &book->steps[i].lines[k];
            free(line->name);
            free(line->method);
            free(line->path);
            free(line->select);
            free(line->value);
            free(line->body);
        }
        free(book->steps[i].lines);
        free(book->steps[i].name);
    }
    for (int64_t i = 0; i < book->n_params; i++)
        free(book->params[i]);
    free(book->params);
    free(book->steps);
    free(book->name);
    *book = (struct runbook){0};
}
