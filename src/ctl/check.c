/* The command check: reads the journals of executors and checks that no task ran on two executors at the same time or
 * again after it was done, and that no executor ran more tasks than its capacity allows. Exit status 0: no violation;
 * 1: wrong usage or an unreadable journal; 2: violations. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/bytes.h"
#include "proc/roles.h"

struct line {
    int64_t at_ms, job, no, attempt, cores, mem_mb, cap_cores, cap_mb, start, done, incarnation;
    char executor[100];
};

struct lines {
    struct line *all;
    int64_t n;
};

static int64_t number(const json_t *json, const char *name) { return json_integer_value(json_object_get(json, name)); }

static int read_journal(struct lines *lines, const char *file)
{
    char text[1000];
    FILE *in = fopen(file, "r");
    if (!in)
        return 1;
    while (fgets(text, sizeof text, in)) {
        json_t *json = json_loads(text, 0, NULL);
        const char *event = json_string_value(json_object_get(json, "event"));
        const char *outcome = json_string_value(json_object_get(json, "outcome"));
        const char *executor = json_string_value(json_object_get(json, "executor"));
        if (event && executor) {
            struct line *line = array_add(lines->all, lines->n);
            *line = (struct line){.at_ms = number(json, "atMs"),
                                  .job = number(json, "job"),
                                  .no = number(json, "no"),
                                  .attempt = number(json, "attempt"),
                                  .cores = number(json, "cores"),
                                  .mem_mb = number(json, "memMb"),
                                  .cap_cores = number(json, "capCores"),
                                  .cap_mb = number(json, "capMb"),
                                  .start = !strcmp(event, "start"),
                                  .incarnation = number(json, "incarnation"),
                                  .done = outcome && !strcmp(outcome, "done")};
            snprintf(line->executor, sizeof line->executor, "%s", executor);
        }
        json_decref(json);
    }
    (void)fclose(in);
    return 0;
}

static int compare_task(const void *a, const void *b)
{
    const struct line *x = a, *y = b;
    if (x->job != y->job)
        return x->job < y->job ? -1 : 1;
    if (x->no != y->no)
        return x->no < y->no ? -1 : 1;
    if (x->at_ms != y->at_ms)
        return x->at_ms < y->at_ms ? -1 : 1;
    return (int)(x->start - y->start);
}

static int compare_executor(const void *a, const void *b)
{
    const struct line *x = a, *y = b;
    int name = strcmp(x->executor, y->executor);
    if (name)
        return name;
    if (x->incarnation != y->incarnation)
        return x->incarnation < y->incarnation ? -1 : 1;
    if (x->at_ms != y->at_ms)
        return x->at_ms < y->at_ms ? -1 : 1;
    return (int)(x->start - y->start); /* ends before starts at the same time */
}

static int64_t check_tasks(struct lines *lines)
{
    int64_t n_violations = 0;
    qsort(lines->all, (size_t)lines->n, sizeof *lines->all, compare_task);
    for (int64_t i = 0; i < lines->n;) {
        int64_t k = i, running = 0, done = 0, incarnation = 0;
        for (; k < lines->n && lines->all[k].job == lines->all[i].job && lines->all[k].no == lines->all[i].no; k++) {
            const struct line *line = &lines->all[k];
            /* a killed executor journals no end: a start by its next incarnation implies it */
            if (line->start && running && incarnation != line->incarnation &&
                !strcmp(lines->all[k - 1].executor, line->executor))
                running = 0;
            if (line->start && (running || done)) {
                printf("broken: task %lld/%lld started on %s attempt %lld while %s\n", (long long)line->job,
                       (long long)line->no, line->executor, (long long)line->attempt,
                       done ? "already done" : "running");
                n_violations++;
            }
            running += line->start ? 1 : -1;
            done |= line->done;
            incarnation = line->incarnation;
        }
        i = k;
    }
    return n_violations;
}

static int64_t check_capacity(struct lines *lines)
{
    int64_t n_violations = 0, cores = 0, mem_mb = 0;
    qsort(lines->all, (size_t)lines->n, sizeof *lines->all, compare_executor);
    for (int64_t i = 0; i < lines->n; i++) {
        const struct line *line = &lines->all[i], *before = i ? line - 1 : NULL;
        if (!before || strcmp(before->executor, line->executor) || before->incarnation != line->incarnation)
            cores = mem_mb = 0;
        cores += line->start ? line->cores : -line->cores;
        mem_mb += line->start ? line->mem_mb : -line->mem_mb;
        if (line->start && (cores > line->cap_cores || mem_mb > line->cap_mb)) {
            printf("broken: %s holds %lld of %lld cores\n", line->executor, (long long)cores,
                   (long long)line->cap_cores);
            n_violations++;
        }
    }
    return n_violations;
}

int check_main(int argc, char **argv)
{
    struct lines lines = {0};
    if (argc < 1 || !strcmp(argv[0], "--help")) {
        fprintf(argc < 1 ? stderr : stdout, "usage: sagehitch check JOURNAL ...\n");
        return argc < 1;
    }
    for (int i = 0; i < argc; i++)
        if (read_journal(&lines, argv[i])) {
            fprintf(stderr, "sagehitch check: %s cannot be read\n", argv[i]);
            free(lines.all);
            return 1;
        }
    int64_t starts = 0, n_violations = lines.n ? check_tasks(&lines) + check_capacity(&lines) : 0;
    for (int64_t i = 0; i < lines.n; i++)
        starts += lines.all[i].start;
    printf("journals %d, starts %lld, broken %lld\n", argc, (long long)starts, (long long)n_violations);
    free(lines.all);
    return n_violations ? 2 : 0;
}
