/* The record: bytes of it in memory and in a snapshot, and the time ops and snapshots take. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "slopes.h"

enum { FIRST_JOB = 1000 };

static void queue_names(struct queue_config *q, int64_t i)
{
    q->name = must_printf("team-%lld", (long long)i);
    q->host = must_printf("jobs-%lld.example", (long long)i);
    q->prefix = must_dup("/jobs");
    q->service = must_printf("service-%lld", (long long)(i % BENCH_SERVICES));
    q->priority = i % 3;
    q->attempts_max = 4;
    q->stretch_pct = 300;
    q->target_ms = 2000;
    q->timeout_ms = 4000;
}

static void config_make(struct record_op *op, int64_t version, int64_t queues)
{
    *op = (struct record_op){.at_ms = BENCH_WALL_MS};
    struct config_change *change = record_op_make_config(op);
    struct config *config = &change->config;
    change->base = version - 1;
    config->version = version;
    for (int64_t i = 0; i < BENCH_SERVICES; i++) {
        struct service_config *s = array_add(config->services, config->n_services);
        s->name = must_printf("service-%lld", (long long)i);
        s->health_path = must_dup("/health");
        s->checks_capacity = 1;
    }
    for (int64_t i = 0; i < queues; i++) {
        queue_names(array_add(config->queues, config->n_queues), i);
        bytes_printf(&config->raw,
                     "{\"queue\":\"team-%lld\",\"host\":\"jobs-%lld.example\",\"prefix\":\"/jobs\","
                     "\"service\":\"service-%lld\",\"priority\":1,\"attempts\":4,\"stretch\":3.0,\"targetMs\":2000},",
                     (long long)i, (long long)i, (long long)(i % BENCH_SERVICES));
    }
}

void bench_config(struct record *record, int64_t queues)
{
    struct record_op op;
    config_make(&op, 1, queues);
    if (record_apply(record, &op))
        abort();
    schema_free(&record_op_schema, &op);
}

/* step is the spec's first, and stays the caller's. */
void bench_spec(struct job_spec *spec, struct step_spec *step, int64_t id, int64_t tasks)
{
    *step = (struct step_spec){.task_count = tasks, .cpu_milli = 1000, .memory_mb = 100, .estimate_ms = 600000};
    *spec =
        (struct job_spec){.id = id,
                          .steps = step,
                          .n_steps = 1,
                          .text = "{\"image\":\"team/train:2031\",\"arguments\":[\"--part\",\"17\"],\"seed\":4711}"};
}

static void job_op(struct record_op *op, struct step_spec *step, char queue[32], int64_t id, int64_t tasks)
{
    snprintf(queue, 32, "team-%lld", (long long)(id % BENCH_QUEUES));
    *op = (struct record_op){.at_ms = BENCH_WALL_MS};
    struct job_op *job = record_op_make_job(op);
    job->queue = queue;
    bench_spec(&job->spec, step, id, tasks);
}

void bench_job(struct record *record, int64_t id, int64_t tasks)
{
    struct record_op op;
    struct step_spec step;
    char queue[32];
    job_op(&op, &step, queue, id, tasks);
    if (record_apply(record, &op))
        abort();
}

void bench_place(struct record *record, const char *incarnation, int64_t agent, int64_t first_job, int64_t tasks,
                 int64_t from_row, int64_t n)
{
    struct record_op op = {.at_ms = BENCH_WALL_MS};
    struct place_op *place = record_op_make_place(&op);
    *place = (struct place_op){.incarnation = (char *)incarnation, .agent = agent, .n_runs = n};
    place->runs = must_alloc(sizeof *place->runs * (size_t)n);
    for (int64_t i = 0; i < n; i++)
        place->runs[i] = (struct run_ref){
            .job = first_job + (from_row + i) / tasks, .task = task_of(0, 0, (from_row + i) % tasks), .attempt = 1};
    if (record_apply(record, &op))
        abort();
    free(place->runs);
}

/* --- memory, snapshot, restore ------------------------------------------------------ */

static void snapshot_told(const struct record *record, const char *size, int64_t rows)
{
    struct bytes out = {0};
    struct record again;
    record_start(&again);
    int64_t from_ns = cpu_ns();
    record_snapshot(record, &out);
    int64_t mid_ns = cpu_ns();
    if (record_restore(&again, &out))
        abort();
    int64_t to_ns = cpu_ns();
    told("snapshot", size, (double)out.len, "bytes");
    told("snapshot, a row", size, (double)out.len / (double)rows, "bytes");
    told("snapshot, making", size, (double)(mid_ns - from_ns) / 1e6, "ms");
    told("snapshot, restoring", size, (double)(to_ns - mid_ns) / 1e6, "ms");
    record_end(&again);
    bytes_free(&out);
}

static void of_jobs(int64_t jobs, int64_t tasks)
{
    struct record record;
    char size[80];
    snprintf(size, sizeof size, "%lld jobs x %lld tasks", (long long)jobs, (long long)tasks);
    record_start(&record);
    bench_config(&record, BENCH_QUEUES);
    int64_t empty = heap_bytes();
    for (int64_t i = 0; i < jobs; i++)
        bench_job(&record, FIRST_JOB + i, tasks);
    told("memory, a live job with its rows", size, (double)(heap_bytes() - empty) / (double)jobs, "bytes");
    for (int64_t row = 0; row < jobs * tasks; row += 17) {
        char incarnation[40];
        snprintf(incarnation, sizeof incarnation, "10.1.0.20:8200/%lld", (long long)row);
        bench_place(&record, incarnation, row, FIRST_JOB, tasks, row,
                    jobs * tasks - row < 17 ? jobs * tasks - row : 17);
    }
    told("memory, lives of 17 rows, a row", size, (double)(heap_bytes() - empty) / (double)(jobs * tasks),
         "bytes, job and all");
    snapshot_told(&record, size, jobs * tasks);
    for (int64_t i = 0; i < jobs; i++) {
        struct record_op cancel = {.at_ms = BENCH_WALL_MS}, end = {.at_ms = BENCH_WALL_MS};
        record_op_make_cancel(&cancel, FIRST_JOB + i);
        record_apply(&record, &cancel);
        struct end_op *runs = record_op_make_end(&end);
        runs->n_ended = tasks;
        runs->ended = must_alloc(sizeof *runs->ended * (size_t)tasks);
        for (int64_t k = 0; k < tasks; k++)
            runs->ended[k] =
                (struct run_ended){.job = FIRST_JOB + i, .task = task_of(0, 0, k), .attempt = 1, .how = END_STOPPED};
        record_apply(&record, &end);
        free(runs->ended);
    }
    told("memory, a finished job that is still shown", size, (double)(heap_bytes() - empty) / (double)jobs,
         "bytes, lives counted in");
    snapshot_told(&record, size, jobs);
    record_end(&record);
}

/* After so many configurations, the record holds the newest whole and of the others what names them. */
static void of_changes(int64_t changes)
{
    struct record record;
    record_start(&record);
    for (int64_t version = 1; version <= changes; version++) {
        struct record_op op;
        config_make(&op, version, BENCH_QUEUES);
        if (record_apply(&record, &op))
            abort();
        schema_free(&record_op_schema, &op);
    }
    snapshot_told(&record, sized("%lld changes", (long long)changes), changes);
    record_end(&record);
}

/* --- ops ----------------------------------------------------------------------------- */

/* Packed as in the log, one op an entry; the time is that of unpacking and folding. */
static void fold(struct record *record, struct record_op *op, int64_t *ns, int64_t *bytes)
{
    struct record_batch batch = {.ops = op, .n = 1};
    struct bytes packed = {0};
    schema_pack(&record_batch_schema, &batch, &packed);
    int64_t from_ns = cpu_ns();
    if (record_apply_batch(record, &packed, NULL))
        abort();
    *ns += cpu_ns() - from_ns;
    *bytes += packed.len;
    bytes_free(&packed);
}

static void of_ops(int64_t n, int64_t incarnations)
{
    struct record record;
    struct step_spec step;
    int64_t ns[3] = {0}, bytes[3] = {0};
    const char *size = sized("%lld ops, %lld lives", (long long)n, (long long)incarnations);
    record_start(&record);
    bench_config(&record, BENCH_QUEUES);
    for (int64_t i = 0; i < n; i++) {
        struct record_op op;
        char queue[32];
        job_op(&op, &step, queue, FIRST_JOB + i, 1);
        fold(&record, &op, &ns[0], &bytes[0]);
    }
    for (int64_t i = 0; i < n; i++) {
        char incarnation[40];
        struct run_ref run = {.job = FIRST_JOB + i, .attempt = 1};
        snprintf(incarnation, sizeof incarnation, "10.1.0.20:8200/%lld", (long long)(i % incarnations));
        struct record_op op = {.at_ms = BENCH_WALL_MS};
        *record_op_make_place(&op) =
            (struct place_op){.incarnation = incarnation, .agent = i % incarnations, .runs = &run, .n_runs = 1};
        fold(&record, &op, &ns[1], &bytes[1]);
    }
    for (int64_t i = 0; i < n; i++) {
        struct run_ended end = {.job = FIRST_JOB + i, .attempt = 1, .how = END_DONE};
        struct record_op op = {.at_ms = BENCH_WALL_MS};
        *record_op_make_end(&op) = (struct end_op){.ended = &end, .n_ended = 1};
        fold(&record, &op, &ns[2], &bytes[2]);
    }
    static const char *const names[] = {"replay: a job", "replay: a placement", "replay: an end"};
    for (int i = 0; i < 3; i++) {
        told(names[i], size, (double)ns[i] / (double)n / 1000, "us");
        told(names[i], size, (double)bytes[i] / (double)n, "bytes of the log's entry");
    }
    record_end(&record);
}

void slopes_record(void)
{
    static const int64_t changes[] = {50, 400, 2000, 11000};
    of_jobs(1000, 1);
    of_jobs(10000, 1);
    of_jobs(56000, 1);
    of_jobs(3440, 32);
    of_jobs(100, 1024);
    of_ops(5000, 11);
    of_ops(5000, 500);
    of_ops(8000, 6500);
    for (int64_t n = 0; n < COUNT_OF(changes); n++)
        of_changes(changes[n]);
}

/* --- configuration -------------------------------------------------------------------- */

void slopes_config(void)
{
    static const int64_t sizes[] = {5, 50, 500, 2000};
    for (int i = 0; i < COUNT_OF(sizes); i++) {
        struct record record;
        struct record_op op;
        int64_t bytes = 0, ns = 0, check_ns;
        const char *size = sized("%lld queues", (long long)sizes[i]);
        record_start(&record);
        bench_config(&record, sizes[i]);
        config_make(&op, 2, sizes[i]);
        check_ns = cpu_ns();
        if (config_check(&record_op_config(&op)->config, NULL))
            abort();
        check_ns = cpu_ns() - check_ns;
        fold(&record, &op, &ns, &bytes);
        told("configuration: checked", size, (double)check_ns / 1e6, "ms");
        told("configuration: folded", size, (double)ns / 1e6, "ms");
        told("configuration: an entry", size, (double)bytes, "bytes");
        int64_t from_ns = cpu_ns();
        volatile int64_t found = 0;
        for (int k = 0; k < 1000; k++)
            found += config_route(&record.config, "jobs-4.example", "/jobs/x");
        told("configuration: a request's queue found", size, (double)(cpu_ns() - from_ns) / 1e6, "us");
        schema_free(&record_op_schema, &op);
        record_end(&record);
    }
}
