/* Events, frames and calls under the virtual clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/frame.h"
#include "sim/sim.h"

enum { REQUEST_WAIT_US = 8000000 };

static struct machine *machine_of(struct world *w) { return (struct machine *)w; }

void sim_push(struct sim *sim, struct sim_event *event, int64_t at_us)
{
    event_queue_push(&sim->queue, &event->due, at_us > sim->now_us ? at_us : sim->now_us);
}

void sim_event_free(struct sim_event *event)
{
    bytes_free(&event->bytes);
    blob_drop(event->frame);
    free(event->method);
    free(event->path);
    free(event);
}

static struct sim_event *new_event(enum sim_event_kind kind, struct machine *to)
{
    struct sim_event *event = must_alloc(sizeof *event);
    event->kind = kind;
    event->to = to;
    return event;
}

static struct machine *machine_at(struct sim *sim, uint64_t addr, int http)
{
    for (int64_t i = 0; i < sim->n; i++)
        if ((http ? sim->machines[i]->base.http_addr : sim->machines[i]->base.self) == addr)
            return sim->machines[i];
    return NULL;
}

/* When something sent now arrives; what a process still does takes its time first. */
static int64_t arrival(struct sim *sim, struct machine *from, struct machine *to, int ordered)
{
    int64_t at_us = sim->now_us + (from ? from->stall_us : 0) + 150 + (int64_t)(sim_random(sim) % 700);
    if (!from || !ordered)
        return at_us;
    int64_t *last = &sim->last_us[from->index][to->index];
    if (at_us <= *last)
        at_us = *last + 1;
    return *last = at_us;
}

static void spring(struct sim *sim, void *arg, int64_t n)
{
    struct machine *victim = arg;
    (void)n;
    if (sim->trap.freeze_ms)
        sim_freeze(victim, sim->trap.freeze_ms);
    else
        sim_kill(victim, (int)sim->trap.power);
    if (sim->trap.kind == TRAP_DONE)
        memset(sim->cut[victim->index], 0, sizeof sim->cut[0]);
}

void sim_spring(struct sim *sim, struct machine *victim)
{
    sim->trap.armed = 0;
    sim->trap.sprung = 1;
    sim->trap.victim = victim;
    if (sim->trap.kind == TRAP_DONE) /* it dies before it can say so */
        memset(sim->cut[victim->index], 1, sizeof sim->cut[0]);
    sim_at(sim, 0, spring, victim);
}

/* Not in the middle of a core's step, but before anything else happens. */
static void trap_check(struct sim *sim, int64_t kind, struct machine *from, struct machine *to)
{
    struct sim_trap *trap = &sim->trap;
    if (!trap->armed || trap->kind != kind || !to || from == to || --trap->nth > 0)
        return;
    sim_spring(sim, trap->receiver ? to : from);
}

static void net_send(struct world *w, uint64_t addr, struct blob *frame, int lossy)
{
    struct machine *from = machine_of(w), *to = machine_at(from->sim, addr, 0);
    struct sim *sim = from->sim;
    sim->frames++;
    sim->bytes += frame->bytes.len;
    trap_check(sim, frame->bytes.at[3], from, to);
    if (!to || sim->cut[from->index][to->index] || (lossy && (int64_t)(sim_random(sim) % 100) < sim->loss_pct))
        return;
    struct sim_event *event = new_event(EVT_FRAME, to);
    event->frame = blob_hold(frame);
    event->generation = to->generation;
    sim_push(sim, event, arrival(sim, from, to, !lossy));
}

/* --- calls ---------------------------------------------------------------------- */

static struct sim_call *call_find(struct sim *sim, int64_t id)
{
    for (int64_t i = 0; i < sim->n_calls_open; i++)
        if (sim->calls[i].id == id)
            return &sim->calls[i];
    return NULL;
}

static void call_end(struct sim *sim, int64_t id, int status, const char *body, int64_t len)
{
    struct sim_call *at = call_find(sim, id);
    if (!at)
        return;
    struct sim_call call = *at;
    *at = sim->calls[--sim->n_calls_open];
    if (call.outside)
        call.outside(sim, call.arg, call.tag, status, body);
    else if (call.from->up && call.from->generation == call.from_generation)
        call.done(call.arg, call.tag, status, body, len);
}

/* What a node promises by its answer, whether or not that arrives. */
static void promise(struct sim *sim, const struct sim_call *call, int status, const char *body)
{
    json_t *json = status == 200 || status == 201 ? json_loads(body, 0, NULL) : NULL;
    const char *id = json_string_value(json_object_get(json, "id"));
    json_t *version = json_object_get(json, "version");
    if (id)
        oracle_accepted(sim->oracle, job_id_parse(id));
    if (id && call->cancels)
        oracle_cancelled(sim->oracle, call->cancels);
    if (version && call->follows)
        oracle_settings_followed(sim->oracle, call->follows - 1, json_integer_value(version));
    json_decref(json);
}

static void call_begin(struct sim *sim, struct sim_call call, const char *method, const char *path, const char *body)
{
    call.id = ++sim->n_calls;
    if (!strncmp(path, "/v1/jobs/", 9) && (!strcmp(method, "DELETE") || strstr(path, "/cancel"))) {
        char id[40];
        snprintf(id, sizeof id, "%.*s", (int)strcspn(path + 9, "/?"), path + 9);
        call.cancels = job_id_parse(id);
    }
    const char *expect = strstr(path, "expect=");
    if (strcmp(method, "GET") && expect && (!strncmp(path, "/v1/settings", 12) || !strncmp(path, "/v1/calendar", 12)))
        call.follows = 1 + text_to_int64(expect + 7);
    *array_add(sim->calls, sim->n_calls_open) = call;
    struct sim_event *timeout = new_event(EVT_TIMEOUT, call.from);
    timeout->call = call.id;
    timeout->generation = call.from ? call.from->generation : 0;
    int cut_off = call.to && call.from && sim->cut[call.from->index][call.to->index];
    int refused = !call.to || (!call.to->up && !cut_off);
    sim_push(sim, timeout, sim->now_us + (refused ? 500 : call.wait_us));
    if (refused || cut_off)
        return;
    struct sim_event *request = new_event(EVT_REQUEST, call.to);
    request->generation = call.to->generation;
    request->call = call.id;
    request->method = must_dup(method);
    request->path = must_dup(path);
    bytes_add(&request->bytes, body, (int64_t)strlen(body));
    sim_push(sim, request, arrival(sim, call.from, call.to, 0));
}

/* No core of this simulator uses the header yet, so it is not carried. */
static void net_call(struct world *w, const struct http_call *call)
{
    struct machine *from = machine_of(w), *to = machine_at(from->sim, call->to, 1);
    const char *body = call->body ? call->body : "";
    if (!strcmp(call->path, "/v1/orders") && (strstr(body, "\"payload\"") || strstr(body, "\"acks\":[{")))
        trap_check(from->sim, 0, from, to);
    call_begin(from->sim,
               (struct sim_call){.from = from,
                                 .from_generation = from->generation,
                                 .done = call->done,
                                 .arg = call->arg,
                                 .tag = call->tag,
                                 .to = to,
                                 .wait_us = call->wait_ms * 1000},
               call->method, call->path, body);
}

void sim_request(struct sim *sim, struct sim_http_request http)
{
    struct sim_call call = {
        .to = http.to, .outside = http.answer, .arg = http.arg, .tag = http.tag, .wait_us = REQUEST_WAIT_US};
    call_begin(sim, call, http.method, http.path, http.body ? http.body : "");
}

static void net_answer(struct world *w, int64_t slot, int status, int64_t retry_ms, const char *body)
{
    struct machine *from = machine_of(w);
    struct sim *sim = from->sim;
    struct sim_call *call = call_find(sim, slot);
    (void)retry_ms;
    if (call && from->kind == M_NODE)
        promise(sim, call, status, body ? body : "");
    if (!call || (call->from && sim->cut[from->index][call->from->index]))
        return;
    struct sim_event *event = new_event(EVT_ANSWER, call->from);
    event->call = slot;
    event->generation = call->from_generation;
    event->status = status;
    bytes_add(&event->bytes, body ? body : "", body ? (int64_t)strlen(body) : 0);
    sim_push(sim, event, arrival(sim, from, call->from ? call->from : from, 0));
}

/* --- delivery --------------------------------------------------------------------- */

static void on_timer(struct machine *m)
{
    switch (m->kind) {
    case M_KEEPER: keeper_on_timer(&m->core.keeper); break;
    case M_NODE: node_on_timer(&m->core.node); break;
    case M_EXECUTOR: executor_on_timer(&m->core.executor); break;
    case M_CALLER: caller_on_timer(&m->core.caller); break;
    }
}

static void request(struct machine *m, const struct sim_event *event)
{
    const char *body = event->bytes.len ? (const char *)event->bytes.at : "";
    if (m->kind == M_KEEPER)
        keeper_request(&m->core.keeper, event->call, event->method, event->path, body, event->bytes.len);
    else if (m->kind == M_NODE)
        node_request(&m->core.node, event->call, event->method, event->path, body, event->bytes.len);
    else if (m->kind == M_EXECUTOR)
        executor_request(&m->core.executor, event->call, event->method, event->path, body, event->bytes.len);
}

static void to_machine(struct sim *sim, struct machine *m, struct sim_event *event)
{
    const char *body = event->bytes.len ? (const char *)event->bytes.at : "";
    if (event->kind == EVT_ON_TIMER)
        on_timer(m);
    else if (event->kind == EVT_FRAME && m->kind == M_KEEPER)
        keeper_on_frame(&m->core.keeper, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == EVT_FRAME && m->kind == M_NODE)
        node_on_frame(&m->core.node, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == EVT_REQUEST)
        request(m, event);
    else if (event->kind == EVT_ANSWER)
        call_end(sim, event->call, event->status, body, event->bytes.len);
    else if (event->kind == EVT_TIMEOUT)
        call_end(sim, event->call, 0, "", 0);
    else if (event->kind == EVT_FLUSH) {
        m->flush_due = 0;
        keeper_flush(&m->core.keeper);
    }
    if (m->kind != M_KEEPER || m->flush_due || event->kind == EVT_FLUSH)
        return;
    /* as in the processes: once a round of the loop, behind all that has arrived by now */
    struct sim_event *flush = new_event(EVT_FLUSH, m);
    flush->generation = m->generation;
    m->flush_due = 1;
    sim_push(sim, flush, sim->now_us);
}

void sim_deliver(struct sim *sim, struct sim_event *event)
{
    struct machine *m = event->to;
    sim->events++;
    if (event->kind == EVT_ACTION) {
        event->action(sim, event->arg, 0);
        sim_event_free(event);
        return;
    }
    if (!m) {
        call_end(sim, event->call, event->status, event->bytes.len ? (char *)event->bytes.at : "", event->bytes.len);
        sim_event_free(event);
        return;
    }
    if (!m->up || m->generation != event->generation) {
        sim_event_free(event);
        return;
    }
    if (m->frozen || m->busy_until_us > sim->now_us) {
        int64_t again = m->busy_until_us > sim->now_us ? m->busy_until_us : sim->now_us + SIM_ON_TIMER_US;
        sim_push(sim, event, again);
        return;
    }
    m->stall_us = 0;
    to_machine(sim, m, event);
    m->busy_until_us = sim->now_us + m->stall_us;
    m->stall_us = 0;
    if (event->kind == EVT_ON_TIMER && m->up)
        sim_push(sim, event, sim->now_us + SIM_ON_TIMER_US);
    else
        sim_event_free(event);
}

/* --- clocks, notes ------------------------------------------------------------------ */

static int64_t mono_ms(struct world *w)
{
    struct machine *m = machine_of(w);
    return (m->sim->now_us + m->stall_us - m->born_us) / 1000 + MONO_BASE_MS;
}

static int64_t wall_ms(struct world *w)
{
    struct machine *m = machine_of(w);
    return WALL_BASE_MS + (m->sim->now_us + m->stall_us) / 1000 + m->skew_ms;
}

static uint64_t random_u64(struct world *w) { return sim_random(machine_of(w)->sim); }

static void note(struct world *w, int event, const char *text)
{
    struct machine *m = machine_of(w);
    if (event > 0 && event < COUNT_OF(m->sim->event_counts))
        m->sim->event_counts[event]++;
    const struct event_kind *kind = event_kind(event);
    if (m->sim->trace && kind && (m->sim->trace > 1 || kind->level > LEVEL_DEBUG))
        fprintf(stderr, "%10.3f %-10s E%d %s: %s\n", (double)m->sim->now_us / 1e6, m->name, event,
                kind ? kind->text : "?", text);
}

void sim_calls_net(struct world_calls *calls)
{
    calls->mono_ms = mono_ms;
    calls->wall_ms = wall_ms;
    calls->random = random_u64;
    calls->send = net_send;
    calls->call = net_call;
    calls->answer = net_answer;
    calls->note = note;
}
