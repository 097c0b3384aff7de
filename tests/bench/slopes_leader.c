/* The leader at size: hollow agents report, jobs come in, start and end. Only what the
 * leader does is timed: reading frames, its turn, packing ops, folding them, writing orders. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "controller/controller_state.h"
#include "slopes.h"

enum { FIRST_JOB = 1000, TASKS = 32, NEW_JOB = 10000000, SPARE = 8, CLUSTER = 7 };

struct hollow {
    struct run_active *active;
    struct run_ended *ended;
    int64_t n_active, n_ended, seq;
    char incarnation[48];
};
struct proposal {
    struct bytes packed;
    int64_t tag;
};
struct bench_leader {
    struct bench_world w;
    struct record record;
    struct dispatch *d;
    struct hollow *hollows;
    int64_t n, orders, order_bytes, answers, started;
    struct proposal *proposals;
    int64_t n_proposals;
    char size[40];
};

/* --- what dispatch asks ------------------------------------------------------------- */

static void propose(void *arg, const struct bytes *batch, int64_t tag)
{
    struct bench_leader *b = arg;
    struct proposal *p = array_add(b->proposals, b->n_proposals);
    bytes_copy(&p->packed, batch);
    p->tag = tag;
}
static void answer(void *arg, int64_t ticket, const struct api_response *a)
{
    struct bench_leader *b = arg;
    struct forwarded_response m = {.boot = 1, .ticket = ticket, .answer = *a};
    struct bytes out = {0};
    frame_build(&out, FRAME_RESPONSE, CLUSTER, 1, &forwarded_response_schema, &m);
    b->answers += !a->error;
    bytes_free(&out);
}
static void orders(void *arg, int64_t agent, const struct agent_orders *o)
{
    struct bench_leader *b = arg;
    struct hollow *h = &b->hollows[agent - 1];
    struct bytes out = {0};
    frame_build(&out, FRAME_ORDERS, CLUSTER, 1, &agent_orders_schema, o);
    b->orders++;
    b->order_bytes += out.len;
    bytes_free(&out);
    for (int64_t i = 0; i < o->n_starts; i++)
        *array_add(h->active, h->n_active) =
            (struct run_active){.job = o->starts[i].job, .task = o->starts[i].task, .attempt = o->starts[i].attempt};
    b->started += o->n_starts;
    if (h->n_ended && h->ended[h->n_ended - 1].seq <= o->seen)
        h->n_ended = 0;
}
static int holds_lease(void *arg) { return (void)arg, 1; }
static void barrier(void *arg, int64_t tag) { dispatch_barrier(((struct bench_leader *)arg)->d, tag, ERROR_NONE); }

/* As controller.c folds an entry; the log's own part is measured in slopes_log.c. */
static void commit(struct bench_leader *b)
{
    struct proposal *all = b->proposals;
    int64_t n = b->n_proposals;
    b->proposals = NULL, b->n_proposals = 0;
    for (int64_t k = 0; k < n; k++) {
        struct record_batch batch = {0};
        struct record_result result = {0};
        struct bytes out = {0};
        if (schema_unpack(&record_batch_schema, &batch, all[k].packed.at, all[k].packed.len))
            abort();
        result.errors = must_alloc(sizeof *result.errors * (size_t)(batch.n + 1));
        for (int64_t i = 0; i < batch.n; i++)
            result.errors[result.n++] = record_apply(&b->record, &batch.ops[i]);
        schema_pack(&record_result_schema, &result, &out);
        schema_free(&record_result_schema, &result);
        schema_free(&record_batch_schema, &batch);
        dispatch_committed(b->d, all[k].tag, ERROR_NONE, &out);
        bytes_free(&out);
        bytes_free(&all[k].packed);
    }
    free(all);
}

/* --- agents ----------------------------------------------------------------------------- */

static void report_build(struct bench_leader *b, int64_t i, struct bytes *to)
{
    struct hollow *h = &b->hollows[i];
    struct agent_report r = {.stamp_ms = b->w.now_ms,
                             .boot = 1,
                             .epoch = 5,
                             .present = 1,
                             .ready = 1,
                             .active = h->active,
                             .n_active = h->n_active,
                             .ended = h->ended,
                             .n_ended = h->n_ended};
    char service[32], zone[32], rack[32];
    snprintf(service, sizeof service, "service-%lld", (long long)(i % BENCH_SERVICES));
    snprintf(zone, sizeof zone, "zone-%lld", (long long)(i % 8));
    snprintf(rack, sizeof rack, "rack-%lld", (long long)(i / 30));
    r.executor = (struct executor_state){.incarnation = h->incarnation,
                                         .service = service,
                                         .zone = zone,
                                         .rack = rack,
                                         .cpu_milli = (17 + SPARE) * 1000,
                                         .memory_mb = 256000};
    for (int64_t k = 0; k < h->n_active; k++)
        h->active[k].percent = b->w.now_ms / 300 % 100;
    frame_build(to, FRAME_REPORT, CLUSTER, (uint64_t)(i + 1), &agent_report_schema, &r);
}

/* All of them report once; the leader's time for it. */
static int64_t reports(struct bench_leader *b, int64_t *bytes)
{
    struct bytes *frames = must_alloc(sizeof *frames * (size_t)b->n);
    for (int64_t i = 0; i < b->n; i++)
        report_build(b, i, &frames[i]);
    int64_t from_ns = cpu_ns();
    for (int64_t i = 0; i < b->n; i++) {
        struct agent_report r = {0};
        struct frame f;
        if (frame_parse(&f, frames[i].at, frames[i].len, CLUSTER) ||
            schema_unpack(&agent_report_schema, &r, f.body, f.len))
            abort();
        dispatch_report(b->d, (int64_t)f.from, &r);
        schema_free(&agent_report_schema, &r);
    }
    int64_t ns = cpu_ns() - from_ns;
    for (int64_t i = 0; i < b->n; i++) {
        if (bytes)
            *bytes += frames[i].len;
        bytes_free(&frames[i]);
    }
    free(frames);
    return ns;
}

static int64_t flush(struct bench_leader *b)
{
    int64_t from_ns = cpu_ns();
    dispatch_flush(b->d);
    return cpu_ns() - from_ns;
}

static int64_t timed_commit(struct bench_leader *b)
{
    int64_t from_ns = cpu_ns();
    commit(b);
    return cpu_ns() - from_ns;
}

/* Until nothing is left to do. */
static void settle(struct bench_leader *b)
{
    for (int i = 0; i < 4; i++) {
        flush(b);
        commit(b);
    }
}

/* --- the parts ------------------------------------------------------------------------------ */

static void leader_begin(struct bench_leader *b, int64_t executors, int64_t running)
{
    const struct dispatch_settings settings = {.lease_ms = 3000,
                                               .gang_timeout_ms = 3000,
                                               .early_ms = 250,
                                               .job_retention_ms = 120000,
                                               .remote_data_pct = 150,
                                               .restore_ms = 600};
    const struct dispatch_calls calls = {.propose = propose,
                                         .answer = answer,
                                         .orders = orders,
                                         .holds_lease = holds_lease,
                                         .barrier = barrier,
                                         .arg = b};
    b->n = executors;
    snprintf(b->size, sizeof b->size, "%lld x %lld", (long long)executors, (long long)running);
    b->hollows = must_alloc(sizeof *b->hollows * (size_t)executors);
    bench_world_start(&b->w, 1);
    record_start(&b->record);
    int64_t heap = heap_bytes(), rows = executors * running;
    bench_config(&b->record, BENCH_QUEUES);
    for (int64_t i = 0; i * TASKS < rows; i++)
        bench_job(&b->record, FIRST_JOB + i, TASKS);
    for (int64_t i = 0; i < executors; i++) {
        snprintf(b->hollows[i].incarnation, sizeof b->hollows[i].incarnation, "10.%lld.%lld.20:8200/1764650000",
                 (long long)(i / 250), (long long)(i % 250));
        bench_place(&b->record, b->hollows[i].incarnation, i + 1, FIRST_JOB, TASKS, i * running, running);
    }
    told("leader: record in memory", b->size, (double)(heap_bytes() - heap) / 1e6, "MB");
    heap = heap_bytes();
    b->d = dispatch_new(&b->w.base, &b->record, &settings, &calls);
    int64_t from_ns = cpu_ns();
    dispatch_become_leader(b->d, 5);
    told("leader: taking over", b->size, (double)(cpu_ns() - from_ns) / 1e6, "ms");
    for (int64_t i = 0; i < executors; i++)
        for (int64_t k = 0; k < running; k++)
            *array_add(b->hollows[i].active, b->hollows[i].n_active) =
                (struct run_active){.job = FIRST_JOB + (i * running + k) / TASKS,
                                    .task = task_of(0, 0, (i * running + k) % TASKS),
                                    .attempt = 1};
    int64_t mine = heap_bytes();
    told("leader: beliefs of runs", b->size, (double)(mine - heap) / (double)rows, "bytes a run, agents' counted in");
    int64_t first_ns = reports(b, NULL);
    told("leader: a first report", b->size, (double)first_ns / (double)executors / 1000, "us");
    told("leader: memory of a station", b->size, (double)(heap_bytes() - mine) / (double)executors, "bytes");
    settle(b);
}

static void of_reports(struct bench_leader *b)
{
    int64_t bytes = 0, was_orders = b->orders, was_bytes = b->order_bytes;
    b->w.now_ms += 300;
    int64_t ns = reports(b, &bytes);
    told("leader: a report and its answer", b->size, (double)ns / (double)b->n / 1000, "us");
    told("leader: a report", b->size, (double)bytes / (double)b->n, "bytes");
    told("leader: its answer", b->size, (double)(b->order_bytes - was_bytes) / (double)(b->orders - was_orders),
         "bytes");
    b->w.now_ms += 50;
    int64_t from_ns = cpu_ns();
    dispatch_on_timer(b->d);
    told("leader: its watch, ten a second", b->size, (double)(cpu_ns() - from_ns) / 1e6, "ms");
    b->w.now_ms += 300;
    reports(b, NULL);
    told("leader: a round that places nothing", b->size, (double)flush(b) / 1e6, "ms");
    commit(b);
}

/* Jobs of one task come in, are placed and started. */
static void of_starts(struct bench_leader *b, int64_t n, int64_t *first_id)
{
    char what[80];
    struct bytes *frames = must_alloc(sizeof *frames * (size_t)n);
    int64_t was = b->started, accepted = b->answers;
    settle(b);
    b->w.now_ms += 300;
    reports(b, NULL);
    settle(b);
    for (int64_t i = 0; i < n; i++) {
        struct step_spec step;
        struct forwarded_request m = {.boot = 1, .ticket = i, .term = 5, .request = {.wait_ms = 4000, .path = "/jobs"}};
        char host[40];
        snprintf(host, sizeof host, "jobs-%lld.example", (long long)(i % BENCH_QUEUES));
        m.request.host = host;
        bench_spec(api_request_make_job(&m.request), &step, ++*first_id, 1);
        frame_build(&frames[i], FRAME_REQUEST, CLUSTER, 3, &forwarded_request_schema, &m);
    }
    int64_t from_ns = cpu_ns();
    for (int64_t i = 0; i < n; i++) {
        struct forwarded_request m = {0};
        struct frame f;
        if (frame_parse(&f, frames[i].at, frames[i].len, CLUSTER) ||
            schema_unpack(&forwarded_request_schema, &m, f.body, f.len))
            abort();
        dispatch_request(b->d, i, &m.request);
        schema_free(&forwarded_request_schema, &m);
    }
    int64_t request_ns = cpu_ns() - from_ns, pack_ns = flush(b), fold_ns = timed_commit(b);
    snprintf(what, sizeof what, "leader: a job accepted, %lld at once", (long long)n);
    told(what, b->size, (double)(request_ns + pack_ns + fold_ns) / (double)n / 1000, "us, no round in it");
    int64_t round_ns = flush(b), place_ns = timed_commit(b), order_ns = flush(b);
    commit(b);
    snprintf(what, sizeof what, "leader: a start, %lld at once", (long long)n);
    told(what, b->size, (double)(round_ns + place_ns + order_ns) / (double)n / 1000, "us, two rounds in it");
    told("leader:   of it the round", b->size, (double)round_ns / (double)n / 1000, "us");
    told("leader:   of it the fold", b->size, (double)place_ns / (double)n / 1000, "us");
    told("leader:   of it the orders, next round", b->size, (double)order_ns / (double)n / 1000, "us");
    if (b->started - was != n || b->answers - accepted != n)
        told("leader: NOT ALL STARTED", b->size, (double)(n - (b->started - was)), "missing");
    for (int64_t i = 0; i < n; i++)
        bytes_free(&frames[i]);
    free(frames);
}

/* One run at each of n executors ends. */
static void of_ends(struct bench_leader *b, int64_t n)
{
    char what[80];
    b->w.now_ms += 300;
    int64_t plain_ns = reports(b, NULL);
    flush(b);
    commit(b);
    for (int64_t i = 0; i < n; i++) {
        struct hollow *h = &b->hollows[i];
        struct run_active last = h->active[--h->n_active];
        *array_add(h->ended, h->n_ended) = (struct run_ended){
            .seq = ++h->seq, .job = last.job, .task = last.task, .attempt = last.attempt, .how = END_DONE};
    }
    b->w.now_ms += 300;
    int64_t report_ns = reports(b, NULL) - plain_ns, pack_ns = flush(b), fold_ns = timed_commit(b), after_ns = flush(b);
    commit(b);
    snprintf(what, sizeof what, "leader: an end, %lld at once", (long long)n);
    told(what, b->size, (double)(report_ns + pack_ns + fold_ns + after_ns) / (double)n / 1000, "us, two rounds in it");
    told("leader:   of it the fold", b->size, (double)fold_ns / (double)n / 1000, "us");
}

static void of_reads(struct bench_leader *b)
{
    struct api_request request = {.host = "jobs-4.example", .path = "/jobs"};
    api_request_make_count(&request);
    int64_t from_ns = cpu_ns();
    for (int i = 0; i < 100; i++)
        dispatch_request(b->d, i, &request);
    told("leader: waiting jobs counted", b->size, (double)(cpu_ns() - from_ns) / 1e5, "us");
}

void slopes_leader(int64_t executors, int64_t running)
{
    struct bench_leader *b = must_alloc(sizeof *b);
    int64_t id = NEW_JOB;
    leader_begin(b, executors, running);
    of_reports(b);
    of_reads(b);
    of_starts(b, 1, &id);
    of_starts(b, executors < 100 ? executors : 100, &id);
    of_starts(b, executors < 400 ? executors : 400, &id);
    of_ends(b, executors < 400 ? executors : 400);
    dispatch_free(b->d);
    record_end(&b->record);
    for (int64_t i = 0; i < executors; i++) {
        free(b->hollows[i].active);
        free(b->hollows[i].ended);
    }
    free(b->hollows);
    free(b->proposals);
    bench_world_end(&b->w);
    free(b);
}
