/* An agent: what it takes idle, with work running, and for each start and end. The
 * executor is a stand-in that answers at once; its answers are packed executor_answers,
 * so reading the users' format is not in these figures. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "base/error.h"
#include "slopes.h"

enum { LEADER = 77, TIMER_MS = 20, HELD_MOST = 64, POLLS_MOST = 8 };

struct held_call {
    call_done *done;
    void *arg;
    int64_t tag, due_ms;
};
struct bench_agent {
    struct bench_world w;
    struct agent *a;
    struct run_active active[HELD_MOST];
    struct run_ended ended[HELD_MOST];
    int64_t n_active, n_ended, seq, calls, call_bytes, answer_bytes, frames, frame_bytes, seen, stamp_ms;
    struct held_call polls[POLLS_MOST]; /* asked to wait for an end */
    struct held_call now[POLLS_MOST];   /* answered in this turn */
    int64_t n_polls, n_now;
};
static struct bench_agent *mine;

/* --- codecs ------------------------------------------------------------------- */

static void call_make(struct executor_call *call, const char *path, const char *incarnation, char *body)
{
    *call = (struct executor_call){.method = must_dup("POST"),
                                   .path = must_dup(path),
                                   .header = must_printf("life: %s", incarnation),
                                   .body = body};
}
static void start(struct executor_call *call, const char *incarnation, const struct run_start *s, int64_t expires_ms,
                  int64_t epoch)
{
    call_make(call, "start", incarnation,
              must_printf("%lld %lld %lld %lld %lld %s", (long long)s->job, (long long)s->task, (long long)s->attempt,
                          (long long)expires_ms, (long long)epoch, s->text));
}
static void stop(struct executor_call *call, const char *incarnation, const struct run_ref *run, int64_t epoch)
{
    call_make(call, "stop", incarnation,
              must_printf("%lld %lld %lld %lld", (long long)run->job, (long long)run->task, (long long)run->attempt,
                          (long long)epoch));
}
static void poll(struct executor_call *call, const char *incarnation, int64_t epoch, int64_t seen, int64_t expires_ms,
                 int64_t wait_ms)
{
    call_make(call, "look", incarnation,
              must_printf("%lld %lld %lld %lld", (long long)epoch, (long long)seen, (long long)expires_ms,
                          (long long)wait_ms));
}
static int read_answer(struct executor_response *answer, int status, const char *body, int64_t len)
{
    return status ? schema_unpack(&executor_response_schema, answer, (const uint8_t *)body, len)
                  : ERROR_OUTCOME_UNKNOWN;
}
static const struct executor_codec executor = {.start = start, .stop = stop, .poll = poll, .read = read_answer};

static int read_beat(struct api_request *request, const struct http_request *web,
                     struct validation_error *validation_error)
{
    static int64_t seq;
    (void)web, (void)validation_error;
    struct executor_heartbeat *beat = api_request_make_heartbeat(request);
    *beat = (struct executor_heartbeat){.kind = HEARTBEAT_ALIVE, .seq = ++seq};
    beat->state = (struct executor_state){.incarnation = must_dup("10.1.0.20:8200/1764650000"),
                                          .service = must_dup("training"),
                                          .zone = must_dup("zone-3"),
                                          .rack = must_dup("rack-217"),
                                          .cpu_milli = 64000,
                                          .memory_mb = 256000};
    return ERROR_NONE;
}
static void write_answer(const struct api_response *answer, int *status, char **body)
{
    *status = answer->error ? 500 : 200;
    *body = must_dup("");
}
static const struct api_codec api = {.read = read_beat, .write = write_answer};

/* --- the executor ------------------------------------------------------------------- */

static void on_called(void *arg, const char *path, const char *body, int64_t wait_ms, call_done *done, void *done_arg,
                      int64_t tag)
{
    struct bench_agent *b = arg;
    struct held_call held = {.done = done, .arg = done_arg, .tag = tag, .due_ms = b->w.now_ms};
    long long x[4] = {0};
    (void)wait_ms;
    b->calls++;
    b->call_bytes += (int64_t)strlen(body);
    sscanf(body, "%lld %lld %lld %lld", &x[0], &x[1], &x[2], &x[3]);
    if (!strcmp(path, "start") && b->n_active < HELD_MOST) {
        b->active[b->n_active++] = (struct run_active){.job = x[0], .task = x[1], .attempt = x[2], .percent = 1};
    } else if (!strcmp(path, "look")) {
        int64_t n = 0;
        for (int64_t i = 0; i < b->n_ended; i++)
            if (b->ended[i].seq > x[1])
                b->ended[n++] = b->ended[i];
        b->n_ended = n;
        if (!n)
            held.due_ms += x[3];
    }
    if (held.due_ms > b->w.now_ms)
        b->polls[b->n_polls++] = held;
    else
        b->now[b->n_now++] = held;
}

static void answer(struct bench_agent *b, const struct held_call *call)
{
    struct executor_response answer = {.clock_ms = b->w.now_ms};
    *executor_response_accept(&answer) =
        (struct run_lists){.active = b->active, .n_active = b->n_active, .ended = b->ended, .n_ended = b->n_ended};
    struct bytes out = {0};
    for (int64_t i = 0; i < b->n_active; i++)
        b->active[i].percent = b->w.now_ms / 300 % 100;
    schema_pack(&executor_response_schema, &answer, &out);
    b->answer_bytes += out.len;
    call->done(call->arg, call->tag, 200, (const char *)out.at, out.len);
    bytes_free(&out);
}

static void on_sent(void *arg, struct world *from, uint64_t to, struct blob *frame)
{
    struct bench_agent *b = arg;
    struct agent_report r = {0};
    struct frame f;
    (void)from, (void)to;
    b->frames++;
    b->frame_bytes += frame->bytes.len;
    if (frame_parse(&f, frame->bytes.at, frame->bytes.len, (uint32_t)hash_text("bench")) || f.kind != FRAME_REPORT)
        return;
    if (!schema_unpack(&agent_report_schema, &r, f.body, f.len)) {
        b->stamp_ms = r.stamp_ms;
        for (int64_t i = 0; i < r.n_ended; i++)
            b->seen = r.ended[i].seq > b->seen ? r.ended[i].seq : b->seen;
    }
    schema_free(&agent_report_schema, &r);
}

static void order(struct bench_agent *b, struct run_start *starts, int64_t n_starts)
{
    struct agent_orders o = {.epoch = 5,
                             .stamp_ms = b->stamp_ms,
                             .lease_ms = 3000,
                             .leader = LEADER,
                             .incarnation = "10.1.0.20:8200/1764650000",
                             .seen = b->seen,
                             .starts = starts,
                             .n_starts = n_starts};
    struct bytes out = {0};
    b->stamp_ms = 0;
    frame_build(&out, FRAME_ORDERS, (uint32_t)hash_text("bench"), LEADER, &agent_orders_schema, &o);
    b->frames++;
    b->frame_bytes += out.len;
    agent_on_frame(b->a, out.at, out.len);
    bytes_free(&out);
}

static void turn(struct bench_agent *b)
{
    b->w.now_ms += TIMER_MS;
    if (b->w.now_ms % 1000 < TIMER_MS) {
        struct http_request web = {.entry = ENTRY_OPERATORS};
        agent_request(b->a, 1, &web);
    }
    for (int64_t i = 0; i < b->n_polls; i++)
        if (b->n_ended || b->w.now_ms >= b->polls[i].due_ms) {
            b->now[b->n_now++] = b->polls[i];
            b->polls[i--] = b->polls[--b->n_polls];
        }
    while (b->n_now) {
        struct held_call call = b->now[--b->n_now];
        answer(b, &call);
    }
    agent_on_timer(b->a);
    agent_flush(b->a);
    if (b->stamp_ms)
        order(b, NULL, 0);
}

static void clear(struct bench_agent *b)
{
    b->calls = b->call_bytes = b->answer_bytes = b->frames = b->frame_bytes = 0;
}

static void quiet(struct bench_agent *b, int64_t running, int64_t heap)
{
    const char *size = sized("%lld running", (long long)running);
    clear(b);
    int64_t from_ns = cpu_ns();
    for (int i = 0; i < 60000 / TIMER_MS; i++)
        turn(b);
    told("agent: processor, core alone", size, (double)(cpu_ns() - from_ns) / 60 / 1000, "us/s, stand-in counted in");
    told("agent: frames, both ways", size, (double)b->frames / 60, "1/s");
    told("agent: frame bytes, both ways", size, (double)b->frame_bytes / 60, "bytes/s");
    told("agent: calls to its executor", size, (double)b->calls / 60, "1/s");
    told("agent: memory held by the core", size, (double)(heap_bytes() - heap), "bytes");
}

static void starts_and_ends(struct bench_agent *b, int64_t n)
{
    clear(b);
    int64_t from_ns = cpu_ns(), frames;
    for (int64_t i = 0; i < n; i++) {
        struct run_start s = {.job = 5000 + i, .task = 1, .attempt = 1, .text = "{\"image\":\"team/train:2031\"}"};
        order(b, &s, 1);
        turn(b);
        turn(b);
        const struct run_active *last = &b->active[--b->n_active];
        b->ended[b->n_ended++] = (struct run_ended){
            .seq = ++b->seq, .job = last->job, .task = last->task, .attempt = last->attempt, .how = END_DONE};
        turn(b);
        turn(b);
        turn(b);
    }
    int64_t per_ns = (cpu_ns() - from_ns) / n;
    frames = b->frames;
    told("agent: a start and its end, 100 ms", sized("%lld of them", (long long)n), (double)per_ns / 1000, "us");
    told("agent: a start and its end, frames", sized("%lld of them", (long long)n), (double)frames / (double)n, "");
    told("agent: a start and its end, calls", sized("%lld of them", (long long)n), (double)b->calls / (double)n, "");
}

void slopes_agent(void)
{
    static const int64_t seeds[] = {LEADER};
    static const int64_t sizes[] = {0, 5, 20, 60};
    struct bench_agent *b = mine = must_alloc(sizeof *b);
    const struct agent_setup setup = {.cluster = "bench",
                                      .zone = "zone-3",
                                      .seeds = seeds,
                                      .n_seeds = 1,
                                      .boot = 1,
                                      .executor = 99,
                                      .hold_max_ms = 6000,
                                      .stop_timeout_ms = 400,
                                      .grace_ms = 6000,
                                      .codec = &api,
                                      .executor_codec = &executor};
    bench_world_start(&b->w, 55);
    b->w.now_ms = 100000;
    b->w.sent = on_sent;
    b->w.called = on_called;
    b->w.arg = b;
    int64_t heap = heap_bytes();
    b->a = agent_new(&b->w.base, &setup);
    order(b, NULL, 0);
    for (int i = 0; i < 1500; i++)
        turn(b);
    for (int i = 0; i < COUNT_OF(sizes); i++) {
        while (b->n_active < sizes[i]) {
            struct run_start s = {
                .job = 1000 + b->n_active, .task = 1, .attempt = 1, .text = "{\"image\":\"team/train:2031\"}"};
            int64_t was = b->n_active;
            order(b, &s, 1);
            for (int k = 0; k < 50 && b->n_active == was; k++)
                turn(b);
            if (b->n_active == was)
                abort();
        }
        quiet(b, sizes[i], heap);
    }
    b->n_active = 20;
    starts_and_ends(b, 300);
    agent_free(b->a);
    bench_world_end(&b->w);
    free(b);
}
