/* The text of a runbook: one line, one word that says what it is. */
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
    char *why;
    size_t why_len;
    int64_t no;
    char **known;
    int64_t n_known;
};

static int wrong(struct parser *p, const char *expected, const char *got)
{
    snprintf(p->why, p->why_len, "line %lld: expected %s, got '%.60s'", (long long)p->no, expected,
             got ? got : "nothing");
    return ERROR_BAD_SETTING;
}

/* Takes the next word off; NULL at the end. */
static char *word(char **rest)
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

static int known(const struct parser *p, const char *name, size_t len)
{
    for (int64_t i = 0; i < p->n_known; i++)
        if (strlen(p->known[i]) == len && !strncmp(p->known[i], name, len))
            return 1;
    return 0;
}

/* Every {name} must be a parameter or have been let; JSON braces are not names. */
static int names_known(struct parser *p, const char *text)
{
    for (const char *open = text ? strchr(text, '{') : NULL; open; open = strchr(open + 1, '{')) {
        size_t len = strspn(open + 1, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ");
        if (!len || open[1 + len] != '}')
            continue;
        if (!known(p, open + 1, len)) {
            char name[64];
            snprintf(name, sizeof name, "%.*s", (int)(len < 60 ? len : 60), open + 1);
            return wrong(p, "a parameter or a name let before", name);
        }
    }
    return ERROR_NONE;
}

/* GET PATH SELECTOR RELATION VALUE [within MS] */
static int take_condition(struct parser *p, struct line *line, char *rest, int needs_within)
{
    char *method = word(&rest), *path = word(&rest), *select = word(&rest), *relation = word(&rest);
    char *value = word(&rest), *within = word(&rest), *limit = word(&rest);
    if (!method || strcmp(method, "GET"))
        return wrong(p, "GET", method);
    if (!path || *path != '/')
        return wrong(p, "a path", path);
    if (!select)
        return wrong(p, "a selector", NULL);
    int found = -1;
    for (int i = 0; relation && i < COUNT_OF(relations); i++)
        if (!strcmp(relation, relations[i]))
            found = i;
    if (found < 0)
        return wrong(p, "is, isnt, atleast or atmost", relation);
    if (!value)
        return wrong(p, "a value", NULL);
    if (within && strcmp(within, "within"))
        return wrong(p, "within MS", within);
    if (needs_within && !within)
        return wrong(p, "within MS", NULL);
    if (within && (!limit || strspn(limit, "0123456789") != strlen(limit) || text_to_int64(limit) < 1))
        return wrong(p, "a number of milliseconds", limit);
    if (word(&rest))
        return wrong(p, "nothing more", rest);
    line->relation = (enum relation)found;
    line->path = must_dup(path);
    line->select = must_dup(select);
    line->value = must_dup(value);
    line->within_ms = limit ? text_to_int64(limit) : 0;
    return ERROR_NONE;
}

static int take_action(struct parser *p, struct line *line, char *rest)
{
    char *method = word(&rest), *path = word(&rest);
    if (!method || (strcmp(method, "PUT") && strcmp(method, "POST") && strcmp(method, "DELETE")))
        return wrong(p, "PUT, POST or DELETE", method);
    if (!path || *path != '/')
        return wrong(p, "a path", path);
    while (isspace((unsigned char)*rest))
        rest++;
    line->method = must_dup(method);
    line->path = must_dup(path);
    line->body = must_dup(rest);
    return ERROR_NONE;
}

/* NAME = GET PATH SELECTOR */
static int take_let(struct parser *p, struct line *line, char *rest)
{
    char *name = word(&rest), *equals = word(&rest), *method = word(&rest), *path = word(&rest), *select = word(&rest);
    if (!name || !equals || strcmp(equals, "=") || !method || strcmp(method, "GET") || !path || !select || word(&rest))
        return wrong(p, "NAME = GET PATH SELECTOR", name);
    line->name = must_dup(name);
    line->path = must_dup(path);
    line->select = must_dup(select);
    return ERROR_NONE;
}

static int take_line(struct parser *p, enum verb verb, char *rest)
{
    struct runbook *book = p->book;
    if (!book->n_steps)
        return wrong(p, "a step first", verbs[verb]);
    struct step *step = &book->steps[book->n_steps - 1];
    struct line *line = array_add(step->lines, step->n_lines);
    line->verb = verb;
    line->no = p->no;
    int rc = ERROR_NONE;
    if (verb == VERB_LET)
        rc = take_let(p, line, rest);
    else if (verb == VERB_DO)
        rc = take_action(p, line, rest);
    else if (verb == VERB_TELL)
        line->body = must_dup(rest);
    else
        rc = take_condition(p, line, rest, verb == VERB_WAIT || verb == VERB_EVERYWHERE);
    if (!rc)
        rc = names_known(p, line->path);
    if (!rc)
        rc = names_known(p, line->select);
    if (!rc)
        rc = names_known(p, line->value);
    if (!rc)
        rc = names_known(p, line->body);
    if (!rc && verb == VERB_LET)
        *array_add(p->known, p->n_known) = line->name;
    return rc;
}

static int take_text_line(struct parser *p, char *text)
{
    struct runbook *book = p->book;
    char *rest = text, *first = word(&rest);
    if (!first || *first == '#')
        return ERROR_NONE;
    while (isspace((unsigned char)*rest))
        rest++;
    if (!strcmp(first, "runbook")) {
        if (book->name || !*rest)
            return wrong(p, "one runbook NAME", rest);
        book->name = must_dup(rest);
        return ERROR_NONE;
    }
    if (!book->name)
        return wrong(p, "runbook NAME first", first);
    if (!strcmp(first, "param")) {
        if (!*rest || book->n_steps)
            return wrong(p, "param NAME before the first step", rest);
        *array_add(book->settings, book->n_settings) = must_dup(rest);
        *array_add(p->known, p->n_known) = book->settings[book->n_settings - 1];
        return ERROR_NONE;
    }
    if (!strcmp(first, "step")) {
        if (!*rest)
            return wrong(p, "step NAME", NULL);
        *array_add(book->steps, book->n_steps) = (struct step){.name = must_dup(rest), .no = p->no};
        return ERROR_NONE;
    }
    for (int i = 0; i < VERB_COUNT; i++)
        if (!strcmp(first, verbs[i]))
            return take_line(p, (enum verb)i, rest);
    return wrong(p, "runbook, param, step, let, wait, expect, everywhere, do, unless or tell", first);
}

int runbook_parse(struct runbook *book, const char *text, char *why, size_t why_len)
{
    struct parser p = {.book = book, .why = why, .why_len = why_len};
    char *copy = must_dup(text), *at = copy;
    int rc = ERROR_NONE;
    *book = (struct runbook){0};
    while (at && !rc) {
        char *end = strchr(at, '\n');
        if (end)
            *end = 0;
        p.no++;
        rc = take_text_line(&p, at);
        at = end ? end + 1 : NULL;
    }
    if (!rc && !book->n_steps)
        rc = wrong(&p, "at least one step", NULL);
    free(copy);
    free(p.known);
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
    for (int64_t i = 0; i < book->n_settings; i++)
        free(book->settings[i]);
    free(book->settings);
    free(book->steps);
    free(book->name);
    *book = (struct runbook){0};
}
