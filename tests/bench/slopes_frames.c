/* The bytes of each kind of frame, built from typical messages, and what building and
 * reading one costs. */
#include <string.h>

#include "base/error.h"
#include "controller/controller_state.h"
#include "slopes.h"

enum { TIMES = 2000, RUNNING = 20 };
static const int64_t ADDR = INT64_C(0x0a0100140000) | 7720;

static void one(const char *what, enum frame_kind kind, const struct schema *schema, const void *msg, size_t size)
{
    struct bytes out = {0};
    struct frame frame;
    uint64_t room[128];
    int64_t from_ns = cpu_ns(), mid_ns;
    for (int i = 0; i < TIMES; i++) {
        bytes_free(&out);
        frame_build(&out, kind, 7, (uint64_t)ADDR, schema, msg);
    }
    mid_ns = cpu_ns();
    for (int i = 0; i < TIMES; i++) {
        memset(room, 0, size);
        if (frame_parse(&frame, out.at, out.len, 7) || schema_unpack(schema, room, frame.body, frame.len))
            return;
        schema_free(schema, room);
    }
    told(what, "frame", (double)out.len, "bytes");
    told(what, "build", (double)(mid_ns - from_ns) / TIMES / 1000, "us");
    told(what, "parse", (double)(cpu_ns() - mid_ns) / TIMES / 1000, "us");
    bytes_free(&out);
}
#define ONE(WHAT, KIND, SCHEMA, MSG)                     \
    do {                                                 \
        _Static_assert(sizeof(MSG) <= 1024, "room");     \
        one(WHAT, KIND, &(SCHEMA), &(MSG), sizeof(MSG)); \
    } while (0)

static void log_frames(void)
{
    struct log_append beat = {.group = 1,
                              .term = 5,
                              .from = INT64_MAX / 3,
                              .to = INT64_MAX / 5,
                              .prev_index = 100000,
                              .prev_term = 5,
                              .commit = 100000,
                              .round = 5000};
    struct log_appended done = {.group = 1,
                                .term = 5,
                                .from = INT64_MAX / 5,
                                .to = INT64_MAX / 3,
                                .ok = 1,
                                .match = 100000,
                                .round = 5000,
                                .sync_ms = 2};
    struct log_vote_request request = {
        .group = 1, .term = 5, .from = INT64_MAX / 3, .to = INT64_MAX / 5, .last_index = 100000, .last_term = 4};
    ONE("append, empty (beat)", FRAME_APPEND, log_append_schema, beat);
    ONE("appended", FRAME_APPENDED, log_appended_schema, done);
    ONE("vote ask", FRAME_VOTE_REQUEST, log_vote_request_schema, request);
}

static void directory_frames(void)
{
    int64_t list[21];
    struct leader_query who = {.addr = ADDR, .boot = BENCH_WALL_MS};
    struct leader_reply answer = {.term = 5, .leader = ADDR, .controllers = list, .n = COUNT_OF(list)};
    for (int i = 0; i < COUNT_OF(list); i++)
        list[i] = ADDR + ((int64_t)i << 16);
    ONE("who (directory)", FRAME_LEADER_QUERY, leader_query_schema, who);
    ONE("who-is, 21 controllers", FRAME_LEADER_REPLY, leader_reply_schema, answer);
}

static void api_frames(void)
{
    struct step_spec steps[6];
    struct forwarded_request m = {.boot = BENCH_WALL_MS,
                                  .ticket = 70000001,
                                  .term = 5,
                                  .request = {.wait_ms = 4000, .host = "jobs.team.example", .path = "/q17/jobs"}};
    struct forwarded_response answer = {
        .boot = BENCH_WALL_MS, .ticket = 70000001, .answer = api_response_done(REQUEST_JOB)};
    struct job_spec *spec = api_request_make_job(&m.request);
    for (int i = 0; i < COUNT_OF(steps); i++)
        bench_spec(spec, &steps[i], INT64_MAX / 7, 32);
    spec->steps = steps;
    spec->n_steps = 1;
    ONE("ask: a job of one step", FRAME_REQUEST, forwarded_request_schema, m);
    spec->n_steps = COUNT_OF(steps);
    ONE("ask: a job of six steps", FRAME_REQUEST, forwarded_request_schema, m);
    struct forwarded_request state = {.boot = BENCH_WALL_MS,
                                      .ticket = 70000001,
                                      .term = 5,
                                      .request = {.wait_ms = 4000, .host = "jobs.team.example", .path = "/q17/jobs"}};
    api_request_make_state(&state.request, INT64_MAX / 7);
    ONE("ask: a state", FRAME_REQUEST, forwarded_request_schema, state);
    ONE("answer", FRAME_RESPONSE, forwarded_response_schema, answer);
}

static void dispatch_frames(void)
{
    char *labels[] = {"gpu-a", "local-disk"};
    struct run_active active[RUNNING];
    struct run_ended ended = {
        .seq = 4000, .job = INT64_MAX / 7, .task = task_of(0, 1, 30), .attempt = 1, .how = END_DONE};
    struct run_start start = {.job = INT64_MAX / 7,
                              .task = task_of(0, 1, 30),
                              .attempt = 1,
                              .text =
                                  "{\"image\":\"team/train:2031\",\"arguments\":[\"--part\",\"17\"],\"seed\":4711}"};
    struct run_ref stop = {.job = INT64_MAX / 7, .task = task_of(0, 1, 30), .attempt = 1};
    struct agent_report r = {.stamp_ms = 86400000,
                             .boot = BENCH_WALL_MS,
                             .epoch = 5,
                             .present = 1,
                             .ready = 1,
                             .executor = {.incarnation = "10.1.0.20:8200/1764650000",
                                          .service = "training",
                                          .zone = "zone-3",
                                          .rack = "rack-217",
                                          .labels = labels,
                                          .n_labels = 2,
                                          .cpu_milli = 64000,
                                          .memory_mb = 256000,
                                          .gpus = 2,
                                          .departure_ms = 0,
                                          .lease_left_ms = 2500}};
    struct agent_orders o = {.epoch = 5,
                             .stamp_ms = 86400000,
                             .lease_ms = 3000,
                             .leader = ADDR,
                             .incarnation = r.executor.incarnation,
                             .seen = 4000};
    for (int i = 0; i < RUNNING; i++)
        active[i] = (struct run_active){.job = INT64_MAX / 7, .task = task_of(0, 1, i), .attempt = 1, .percent = 40};
    ONE("report, nothing running", FRAME_REPORT, agent_report_schema, r);
    r.active = active, r.n_active = RUNNING;
    ONE("report, 20 running", FRAME_REPORT, agent_report_schema, r);
    r.ended = &ended, r.n_ended = 1;
    ONE("report, 20 running, 1 end", FRAME_REPORT, agent_report_schema, r);
    ONE("orders, lease alone", FRAME_ORDERS, agent_orders_schema, o);
    o.starts = &start, o.n_starts = 1;
    ONE("orders, 1 start", FRAME_ORDERS, agent_orders_schema, o);
    o.n_starts = 0, o.stops = &stop, o.n_stops = 1;
    ONE("orders, 1 stop", FRAME_ORDERS, agent_orders_schema, o);
}

void slopes_frames(void)
{
    log_frames();
    directory_frames();
    api_frames();
    dispatch_frames();
}
