/* Folds the executors' own journals and says whether a rule was broken: no
 * task on two executors at once or again after it was done, no executor over
 * its room. Exit status 0: none broken, 2: some broken, 1: wrong use. */
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

static int by_task(const void *a, const void *b)
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

static int by_executor(const void *a, const void *b)
{
    const struct line *x = a, *y = b;
    int name = strcmp(x->executor, y->executor);
    if (name)
        return name;
    if (x->incarnation != y->incarnation)
        return x->incarnation < y->incarnation ? -1 : 1;
    if (x->at_ms != y->at_ms)
        return x->at_ms < y->at_ms ? -1 : 1;
    return (int)(x->start - y->start); /* ends before starts of the same moment */
}

static int64_t check_tasks(struct lines *lines)
{
    int64_t broken = 0;
    qsort(lines->all, (size_t)lines->n, sizeof *lines->all, by_task);
    for (int64_t i = 0; i < lines->n;) {
        int64_t k = i, running = 0, done = 0, incarnation = 0;
        for (; k < lines->n && lines->all[k].job == lines->all[i].job && lines->all[k].no == lines->all[i].no; k++) {
            const struct line *l = &lines->all[k];
            /* a killed executor writes no end: its next incarnation speaks for it */
            if (l->start && running && incarnation != l->incarnation &&
                !strcmp(lines->all[k - 1].executor, l->executor))
                running = 0;
            if (l->start && (running || done)) {
                printf("broken: task %lld/%lld started on %s attempt %lld while %s\n", (long long)l->job,
                       (long long)l->no, l->executor, (long long)l->attempt, done ? "already done" : "running");
                broken++;
            }
            running += l->start ? 1 : -1;
            done |= l->done;
            incarnation = l->incarnation;
        }
        i = k;
    }
    return broken;
}

static int64_t check_rooms(struct lines *lines)
{
    int64_t broken = 0, cores = 0, mem_mb = 0;
    qsort(lines->all, (size_t)lines->n, sizeof *lines->all, by_executor);
    for (int64_t i = 0; i < lines->n; i++) {
        const struct line *l = &lines->all[i], *before = i ? l - 1 : NULL;
        if (!before || strcmp(before->executor, l->executor) || before->incarnation != l->incarnation)
            cores = mem_mb = 0;
        cores += l->start ? l->cores : -l->cores;
        mem_mb += l->start ? l->mem_mb : -l->mem_mb;
        if (l->start && (cores > l->cap_cores || mem_mb > l->cap_mb)) {
            printf("broken: %s holds %lld of %lld cores\n", l->executor, (long long)cores, (long long)l->cap_cores);
            broken++;
        }
    }
    return broken;
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
    int64_t starts = 0, broken = lines.n ? check_tasks(&lines) + check_rooms(&lines) : 0;
    for (int64_t i = 0; i < lines.n; i++)
        starts += lines.all[i].start;
    printf("journals %d, starts %lld, broken %lld\n", argc, (long long)starts, (long long)broken);
    free(lines.all);
    return broken ? 2 : 0;
}
