/* plan_make() against live jobs and seats, on a real record. */
#include <stdio.h>
#include <stdlib.h>

#include "slopes.h"

enum { FIRST_JOB = 1000, TASKS = 8, ROUNDS = 3, MOST = 400 };

static struct candidate *candidates_make(int64_t n, int64_t free_milli)
{
    struct candidate *candidates = must_alloc(sizeof *candidates * (size_t)n);
    for (int64_t i = 0; i < n; i++)
        candidates[i] = (struct candidate){.incarnation = "life",
                                           .service = must_printf("service-%lld", (long long)(i % BENCH_SERVICES)),
                                           .zone = must_printf("zone-%lld", (long long)(i % 8)),
                                           .rack = must_printf("rack-%lld", (long long)(i / 30)),
                                           .agent = i,
                                           .incarnation_no = -1,
                                           .cpu_milli = 64000,
                                           .memory_mb = 256000,
                                           .cpu_free = free_milli,
                                           .memory_free = 256000,
                                           .open = 1,
                                           .departs_ms = INT64_MAX,
                                           .duration_pct = 100};
    return candidates;
}

static void candidates_free(struct candidate *candidates, int64_t n)
{
    for (int64_t i = 0; i < n; i++) {
        free(candidates[i].service);
        free(candidates[i].zone);
        free(candidates[i].rack);
    }
    free(candidates);
}

/* kind: rows all running, all waiting with no room, all waiting with room. */
static void round_of(const char *kind, int64_t jobs, int64_t n_candidates, int placed, int64_t free_milli)
{
    struct record record;
    struct plan plan = {.round = NULL};
    struct candidate *candidates = candidates_make(n_candidates, free_milli);
    int64_t ns = 0;
    record_start(&record);
    bench_config(&record, BENCH_QUEUES);
    for (int64_t i = 0; i < jobs; i++)
        bench_job(&record, FIRST_JOB + i, TASKS);
    if (placed)
        bench_place(&record, "elsewhere", 1, FIRST_JOB, TASKS, 0, jobs * TASKS);
    for (int i = 0; i < ROUNDS; i++) {
        struct plan_input in = {.record = &record,
                                .candidates = candidates,
                                .n_candidates = n_candidates,
                                .now_ms = 1000,
                                .wall_ms = BENCH_WALL_MS + 500,
                                .early_ms = 250,
                                .remote_data_pct = 150,
                                .max_placements = MOST};
        for (int64_t k = 0; k < n_candidates; k++)
            candidates[k].cpu_free = free_milli, candidates[k].memory_free = 256000;
        int64_t from_ns = cpu_ns();
        plan_make(&in, &plan);
        ns += cpu_ns() - from_ns;
    }
    char what[80];
    snprintf(what, sizeof what, "a round of placing: %s", kind);
    told(what, sized("%lld jobs, %lld seats", (long long)jobs, (long long)n_candidates), (double)ns / ROUNDS / 1e6,
         sized("ms (%lld placed)", (long long)plan.n));
    plan_free(&plan);
    record_end(&record);
    candidates_free(candidates, n_candidates);
}

/* One gang of 128, over all seats or on one rack. */
static void gang_of(int64_t n_candidates, int64_t same_rack)
{
    struct record record;
    struct plan plan = {.round = NULL};
    struct candidate *candidates = candidates_make(n_candidates, 64000);
    struct step_spec step;
    struct record_op op = {.at_ms = BENCH_WALL_MS};
    struct job_op *job = record_op_make_job(&op);
    record_start(&record);
    bench_config(&record, BENCH_QUEUES);
    job->queue = "team-0";
    bench_spec(&job->spec, &step, FIRST_JOB, 128);
    step.gang = 1;
    step.same_rack = same_rack;
    if (record_apply(&record, &op))
        abort();
    struct plan_input in = {.record = &record,
                            .candidates = candidates,
                            .n_candidates = n_candidates,
                            .now_ms = 1000,
                            .wall_ms = BENCH_WALL_MS + 500,
                            .early_ms = 250,
                            .remote_data_pct = 150,
                            .max_placements = MOST};
    int64_t from_ns = cpu_ns();
    plan_make(&in, &plan);
    told(same_rack ? "a round of placing: a gang of 128, one rack" : "a round of placing: a gang of 128",
         sized("%lld seats", (long long)n_candidates), (double)(cpu_ns() - from_ns) / 1e6,
         sized("ms (%lld placed)", (long long)plan.n));
    plan_free(&plan);
    record_end(&record);
    candidates_free(candidates, n_candidates);
}

void slopes_plan(void)
{
    static const int64_t sizes[][2] = {{100, 11}, {1000, 100}, {4000, 500}, {4000, 6500}, {14000, 6500}};
    for (int i = 0; i < COUNT_OF(sizes); i++) {
        round_of("all running", sizes[i][0], sizes[i][1], 1, 0);
        round_of("all blocked", sizes[i][0], sizes[i][1], 0, 0);
        round_of("400 find room", sizes[i][0], sizes[i][1], 0, 64000);
        gang_of(sizes[i][1], 0);
        gang_of(sizes[i][1], 1);
    }
}
