/* Runs a runbook, step by step, and records what was seen. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "runbook/runbook.h"

enum { POLL_MS = 200 };

struct run {
    const struct runbook *book;
    const struct runbook_world *world;
    struct binding *bindings;
    int64_t n_bindings;
    int dry;
    char seen[200]; /* what the last question was answered */
    char *why;
    size_t why_len;
};

static const char *bound(const struct run *run, const char *name, size_t len)
{
    for (int64_t i = run->n_bindings - 1; i >= 0; i--)
        if (strlen(run->bindings[i].name) == len && !strncmp(run->bindings[i].name, name, len))
            return run->bindings[i].value;
    return NULL;
}

/* Fills {names} in; braces that hold no name stay, they are JSON. */
static char *fill(const struct run *run, const char *text)
{
    struct bytes out = {0};
    for (const char *c = text; c && *c; c++) {
        size_t len = *c == '{' ? strspn(c + 1, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") : 0;
        const char *value = len && c[1 + len] == '}' ? bound(run, c + 1, len) : NULL;
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

static int holds(enum relation relation, const char *have, const char *want)
{
    if (!have)
        return relation == REL_ISNT;
    if (relation == REL_IS)
        return !strcmp(have, want);
    if (relation == REL_ISNT)
        return strcmp(have, want) != 0;
    return relation == REL_ATLEAST ? text_to_int64(have) >= text_to_int64(want)
                                   : text_to_int64(have) <= text_to_int64(want);
}

/* Asks one node (or any) and returns what the selector finds; owned. */
static char *poll(struct run *run, const struct line *line, int64_t node, long *status)
{
    struct bytes got = {0};
    char *path = fill(run, line->path), *select = fill(run, line->select), *value = NULL;
    *status = run->world->request(run->world->arg, node, "GET", path, NULL, &got);
    if (*status == 200) {
        json_t *json = json_loadb((char *)got.at, (size_t)got.len, 0, NULL);
        value = runbook_select(json, select);
        json_decref(json);
    }
    snprintf(run->seen, sizeof run->seen, "%s", value ? value : *status ? "nothing" : "no answer");
    bytes_free(&got);
    free(path);
    free(select);
    return value;
}

static int condition(struct run *run, const struct line *line, int64_t node, long *status)
{
    char *have = poll(run, line, node, status), *want = fill(run, line->value);
    int ok = *status == 200 && holds(line->relation, have, want);
    free(have);
    free(want);
    return ok;
}

static int everywhere(struct run *run, const struct line *line)
{
    for (int64_t node = 0;; node++) {
        long status;
        int ok = condition(run, line, node, &status);
        if (status < 0)
            return node > 0;
        if (!ok)
            return 0;
    }
}

static int wait_for(struct run *run, const struct line *line)
{
    int64_t until_ms = run->world->now_ms(run->world->arg) + line->within_ms;
    long status;
    for (;;) {
        if (line->verb == VERB_EVERYWHERE ? everywhere(run, line) : condition(run, line, -1, &status))
            return ERROR_NONE;
        if (run->world->now_ms(run->world->arg) >= until_ms) {
            snprintf(run->why, run->why_len, "line %lld: not so within %lld ms, last seen: %s", (long long)line->no,
                     (long long)line->within_ms, run->seen);
            return ERROR_OUTCOME_UNKNOWN;
        }
        run->world->pause(run->world->arg, POLL_MS);
    }
}

static int act(struct run *run, const struct line *line)
{
    struct bytes got = {0};
    char *path = fill(run, line->path), *body = fill(run, line->body);
    int rc = ERROR_NONE;
    char *text = must_printf("%s %s %s", line->method, path, body);
    run->world->say(run->world->arg, text);
    free(text);
    if (!run->dry) {
        long status = run->world->request(run->world->arg, -1, line->method, path, body, &got);
        bytes_add(&got, "", 0);
        snprintf(run->seen, sizeof run->seen, "%ld %.150s", status, (char *)got.at);
        if (status < 200 || status > 299) {
            snprintf(run->why, run->why_len, "line %lld: %s %s was answered %s", (long long)line->no, line->method,
                     path, run->seen);
            rc = ERROR_REJECTED;
        }
    }
    bytes_free(&got);
    free(path);
    free(body);
    return rc;
}

static int let(struct run *run, const struct line *line)
{
    long status;
    char *value = poll(run, line, -1, &status);
    if (!value) {
        snprintf(run->why, run->why_len, "line %lld: %s is not there: %s", (long long)line->no, line->name, run->seen);
        return ERROR_NOT_FOUND;
    }
    *array_add(run->bindings, run->n_bindings) = (struct binding){.name = must_dup(line->name), .value = value};
    return ERROR_NONE;
}

/* Returns 0 to go on, 1 to leave the rest of the step, or an error. */
static int run_line(struct run *run, const struct line *line)
{
    long status;
    switch (line->verb) {
    case VERB_LET: return let(run, line);
    case VERB_DO: return act(run, line);
    case VERB_UNLESS: return condition(run, line, -1, &status);
    case VERB_WAIT:
    case VERB_EVERYWHERE: return run->dry ? ERROR_NONE : wait_for(run, line);
    case VERB_EXPECT:
        if (run->dry || condition(run, line, -1, &status))
            return ERROR_NONE;
        snprintf(run->why, run->why_len, "line %lld: expected otherwise, seen: %s", (long long)line->no, run->seen);
        return ERROR_REJECTED;
    case VERB_TELL: {
        char *text = fill(run, line->body);
        run->world->say(run->world->arg, text);
        free(text);
        return ERROR_NONE;
    }
    case VERB_COUNT: break;
    }
    return ERROR_BAD_SETTING;
}

static void note(struct run *run, struct bytes *record, const struct step *step, const char *how)
{
    json_t *line = json_pack("{s:s,s:I,s:s,s:s,s:I}", "step", step->name, "line", (json_int_t)step->no, "how", how,
                             "seen", run->seen, "atMs", (json_int_t)run->world->now_ms(run->world->arg));
    if (!line)
        line = json_pack("{s:s,s:I,s:s}", "step", step->name, "line", (json_int_t)step->no, "how", how);
    char *text = json_dumps(line, JSON_COMPACT);
    bytes_printf(record, "%s\n", text);
    free(text);
    json_decref(line);
}

/* A step is done if its last entry in the record says so. What it let must be
 * let again, so a step with a let is run again; its unless makes that safe. */
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
    run->world->say(run->world->arg, text);
    free(text);
    snprintf(run->seen, sizeof run->seen, "nothing asked");
    for (int64_t i = 0; i < step->n_lines && !rc; i++)
        rc = run_line(run, &step->lines[i]);
    note(run, record, step, rc < 0 ? "failed" : run->dry ? "dry" : "done");
    return rc < 0 ? rc : ERROR_NONE;
}

int runbook_run(const struct runbook *book, const struct runbook_options *options, const struct runbook_world *world,
                struct bytes *record, char *why, size_t why_len)
{
    struct run run = {.book = book, .world = world, .dry = options->dry, .why = why, .why_len = why_len};
    int rc = ERROR_NONE;
    for (int64_t i = 0; i < options->n_settings; i++) {
        const struct binding *given = &options->settings[i];
        *array_add(run.bindings, run.n_bindings) =
            (struct binding){.name = must_dup(given->name), .value = must_dup(given->value)};
    }
    for (int64_t i = 0; i < book->n_settings && !rc; i++)
        if (!bound(&run, book->settings[i], strlen(book->settings[i]))) {
            snprintf(why, why_len, "the parameter %s is missing", book->settings[i]);
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
