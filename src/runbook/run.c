/* Runs a runbook step by step and records the result of each step. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "runbook/runbook.h"

enum { POLL_MS = 200 };

struct run {
    const struct runbook *book;
    const struct runbook_environment *environment;
    struct binding *bindings;
    int64_t n_bindings;
    int dry;
    char last_seen[200]; /* the result of the last request */
    char *error;
    size_t error_len;
};

static const char *binding_value(const struct run *run, const char *name, size_t len)
{
    for (int64_t i = run->n_bindings - 1; i >= 0; i--)
        if (strlen(run->bindings[i].name) == len && !strncmp(run->bindings[i].name, name, len))
            return run->bindings[i].value;
    return NULL;
}

/* Replaces each {name} by its value. Other braces belong to JSON and stay. */
static char *substitute_names(const struct run *run, const char *text)
{
    struct bytes out = {0};
    for (const char *c = text; c && *c; c++) {
        size_t len = *c == '{' ? strspn(c + 1, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") : 0;
        const char *value = len && c[1 + len] == '}' ? binding_value(run, c + 1, len) : NULL;
        if (value) {
            bytes_add(&out, value, (int64_t)strlen(value));
            c += len + 1;
        } else {
            bytes_add(&out, c, 1);
        }
    }
    bytes_add(&out, "", 0);
    return (char *)out.at;
}

static int relation_holds(enum relation relation, const char *actual, const char *expected)
{
    if (!actual)
        return relation == REL_ISNT;
    if (relation == REL_IS)
        return !strcmp(actual, expected);
    if (relation == REL_ISNT)
        return strcmp(actual, expected) != 0;
    return relation == REL_ATLEAST ? text_to_int64(actual) >= text_to_int64(expected)
                                   : text_to_int64(actual) <= text_to_int64(expected);
}

/* Sends the line's GET to a node (-1: any) and returns what its selector finds; owned by the caller. */
static char *query(struct run *run, const struct line *line, int64_t node, long *status)
{
    struct bytes response = {0};
    char *path = substitute_names(run, line->path), *select = substitute_names(run, line->select), *value = NULL;
    *status = run->environment->request(run->environment->arg, node, "GET", path, NULL, &response);
    if (*status == 200) {
        json_t *json = json_loadb((char *)response.at, (size_t)response.len, 0, NULL);
        value = runbook_select(json, select);
        json_decref(json);
    }
    snprintf(run->last_seen, sizeof run->last_seen, "%s", value ? value : *status ? "nothing" : "no answer");
    bytes_free(&response);
    free(path);
    free(select);
    return value;
}

static int condition_met(struct run *run, const struct line *line, int64_t node, long *status)
{
    char *actual = query(run, line, node, status), *expected = substitute_names(run, line->value);
    int ok = *status == 200 && relation_holds(line->relation, actual, expected);
    free(actual);
    free(expected);
    return ok;
}

static int condition_met_everywhere(struct run *run, const struct line *line)
{
    for (int64_t node = 0;; node++) {
        long status;
        int ok = condition_met(run, line, node, &status);
        if (status < 0)
            return node > 0;
        if (!ok)
            return 0;
    }
}

static int wait_for(struct run *run, const struct line *line)
{
    int64_t until_ms = run->environment->now_ms(run->environment->arg) + line->within_ms;
    long status;
    for (;;) {
        if (line->verb == VERB_EVERYWHERE ? condition_met_everywhere(run, line) : condition_met(run, line, -1, &status))
            return ERROR_NONE;
        if (run->environment->now_ms(run->environment->arg) >= until_ms) {
            snprintf(run->error, run->error_len, "line %lld: condition not met within %lld ms, last seen: %s",
                     (long long)line->line_no, (long long)line->within_ms, run->last_seen);
            return ERROR_OUTCOME_UNKNOWN;
        }
        run->environment->pause(run->environment->arg, POLL_MS);
    }
}

static int run_action(struct run *run, const struct line *line)
{
    struct bytes response = {0};
    char *path = substitute_names(run, line->path), *body = substitute_names(run, line->body);
    int rc = ERROR_NONE;
    char *text = must_printf("%s %s %s", line->method, path, body);
    run->environment->print(run->environment->arg, text);
    free(text);
    if (!run->dry) {
        long status = run->environment->request(run->environment->arg, -1, line->method, path, body, &response);
        bytes_add(&response, "", 0);
        snprintf(run->last_seen, sizeof run->last_seen, "%ld %.150s", status, (char *)response.at);
        if (status < 200 || status > 299) {
            snprintf(run->error, run->error_len, "line %lld: %s %s returned %s", (long long)line->line_no, line->method,
                     path, run->last_seen);
            rc = ERROR_REJECTED;
        }
    }
    bytes_free(&response);
    free(path);
    free(body);
    return rc;
}

static int run_let(struct run *run, const struct line *line)
{
    long status;
    char *value = query(run, line, -1, &status);
    if (!value) {
        snprintf(run->error, run->error_len, "line %lld: no value for %s: %s", (long long)line->line_no, line->name,
                 run->last_seen);
        return ERROR_NOT_FOUND;
    }
    *array_add(run->bindings, run->n_bindings) = (struct binding){.name = must_dup(line->name), .value = value};
    return ERROR_NONE;
}

/* Returns 0: go on with the next line; 1: skip the rest of the step; else an error. */
static int run_line(struct run *run, const struct line *line)
{
    long status;
    switch (line->verb) {
    case VERB_LET: return run_let(run, line);
    case VERB_DO: return run_action(run, line);
    case VERB_UNLESS: return condition_met(run, line, -1, &status);
    case VERB_WAIT:
    case VERB_EVERYWHERE: return run->dry ? ERROR_NONE : wait_for(run, line);
    case VERB_EXPECT:
        if (run->dry || condition_met(run, line, -1, &status))
            return ERROR_NONE;
        snprintf(run->error, run->error_len, "line %lld: expectation not met, seen: %s", (long long)line->line_no,
                 run->last_seen);
        return ERROR_REJECTED;
    case VERB_TELL: {
        char *text = substitute_names(run, line->body);
        run->environment->print(run->environment->arg, text);
        free(text);
        return ERROR_NONE;
    }
    case VERB_COUNT: break;
    }
    return ERROR_BAD_SETTING;
}

static void record_step(struct run *run, struct bytes *record, const struct step *step, const char *how)
{
    json_t *line =
        json_pack("{s:s,s:I,s:s,s:s,s:I}", "step", step->name, "line", (json_int_t)step->line_no, "how", how, "seen",
                  run->last_seen, "atMs", (json_int_t)run->environment->now_ms(run->environment->arg));
    if (!line)
        line = json_pack("{s:s,s:I,s:s}", "step", step->name, "line", (json_int_t)step->line_no, "how", how);
    char *text = json_dumps(line, JSON_COMPACT);
    bytes_printf(record, "%s\n", text);
    free(text);
    json_decref(line);
}

/* A step is done if its last entry in the record says so. A step with a let is never done, since its values are needed
 * again; an unless in the step keeps its actions from being repeated. */
static int is_done(const struct bytes *record, const struct step *step)
{
    int done = 0;
    const char *at = record->len ? (const char *)record->at : "";
    for (int64_t i = 0; i < step->n_lines; i++)
        if (step->lines[i].verb == VERB_LET)
            return 0;
    while (*at) {
        const char *end = strchr(at, '\n');
        size_t len = end ? (size_t)(end - at) : strlen(at);
        json_t *line = json_loadb(at, len, 0, NULL);
        const char *name = json_string_value(json_object_get(line, "step"));
        const char *how = json_string_value(json_object_get(line, "how"));
        if (name && how && !strcmp(name, step->name))
            done = !strcmp(how, "done");
        json_decref(line);
        at += len + (end != NULL);
    }
    return done;
}

static int run_step(struct run *run, const struct step *step, struct bytes *record)
{
    int rc = ERROR_NONE;
    char *text = must_printf("step: %s", step->name);
    run->environment->print(run->environment->arg, text);
    free(text);
    snprintf(run->last_seen, sizeof run->last_seen, "nothing asked");
    for (int64_t i = 0; i < step->n_lines && !rc; i++)
        rc = run_line(run, &step->lines[i]);
    record_step(run, record, step, rc < 0 ? "failed" : run->dry ? "dry" : "done");
    return rc < 0 ? rc : ERROR_NONE;
}

int runbook_run(const struct runbook *book, const struct runbook_options *options,
                const struct runbook_environment *environment, struct bytes *record, char *error, size_t error_len)
{
    struct run run = {
        .book = book, .environment = environment, .dry = options->dry, .error = error, .error_len = error_len};
    int rc = ERROR_NONE;
    for (int64_t i = 0; i < options->n_params; i++) {
        const struct binding *given = &options->params[i];
        *array_add(run.bindings, run.n_bindings) =
            (struct binding){.name = must_dup(given->name), .value = must_dup(given->value)};
    }
    for (int64_t i = 0; i < book->n_params && !rc; i++)
        if (!binding_value(&run, book->params[i], strlen(book->params[i]))) {
            snprintf(error, error_len, "the parameter %s is missing", book->params[i]);
            rc = ERROR_BAD_SETTING;
        }
    for (int64_t i = 0; i < book->n_steps && !rc; i++)
        if (!is_done(record, &book->steps[i]))
            rc = run_step(&run, &book->steps[i], record);
    for (int64_t i = 0; i < run.n_bindings; i++) {
        free(run.bindings[i].name);
        free(run.bindings[i].value);
    }
    free(run.bindings);
    return rc;
}
