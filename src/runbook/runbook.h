/* Executable runbooks. Their steps wait for conditions, act through the operators' API, and check expectations. A
 * runbook is validated as a whole before its first step runs. Each step is recorded with what was seen, and a run that
 * is resumed with that record skips the steps that are done. Described in docs/runbooks.md. */
#ifndef SAGEHITCH_RUNBOOK_H
#define SAGEHITCH_RUNBOOK_H
#include <jansson.h>
#include <stdint.h>

#include "base/bytes.h"

enum verb { VERB_LET, VERB_WAIT, VERB_EXPECT, VERB_EVERYWHERE, VERB_DO, VERB_UNLESS, VERB_TELL, VERB_COUNT };
enum relation { REL_IS, REL_ISNT, REL_ATLEAST, REL_ATMOST };

/* A line of a step. Its texts may contain {names}, which are replaced when it runs. */
struct line {
    enum verb verb;
    enum relation relation;
    int64_t line_no, within_ms;
    char *name, *method, *path, *select, *value, *body;
};

struct step {
    char *name;
    int64_t line_no;
    struct line *lines;
    int64_t n_lines;
};

struct binding {
    char *name, *value;
};

/* Invariant: each name used in a line is a parameter or is set by an earlier let. */
struct runbook {
    char *name;
    struct step *steps;
    int64_t n_steps;
    char **params;
    int64_t n_params;
};

/* What a run needs from the process around it; the tests provide a simulated cluster. */
struct runbook_environment {
    void *arg;
    /* node: -1: any, else the index of a live node. Returns the HTTP status; 0: no response; -1: no such node. */
    long (*request)(void *arg, int64_t node, const char *method, const char *path, const char *body,
                    struct bytes *response);
    int64_t (*now_ms)(void *arg);
    void (*pause)(void *arg, int64_t ms);
    void (*print)(void *arg, const char *text);
};

/* Returns 0, or an error; the text in error names the line and what was expected. */
int runbook_parse(struct runbook *book, const char *text, char *error, size_t error_len);
void runbook_free(struct runbook *book);
/* The value that a selector finds in a response, as text owned by the caller; NULL: none. */
char *runbook_select(const json_t *json, const char *select);
/* Options of a run. dry: actions are printed instead of sent; wait, everywhere and expect are skipped. */
struct runbook_options {
    const struct binding *params; /* values of the runbook's parameters; borrowed */
    int64_t n_params;
    int dry;
};
/* Runs the steps that are not done according to record, and appends a line to record for each. Returns 0, or an error
 * with a text in error. */
int runbook_run(const struct runbook *book, const struct runbook_options *options,
                const struct runbook_environment *environment, struct bytes *record, char *error, size_t error_len);
int runbook_main(int argc, char **argv);
#endif
