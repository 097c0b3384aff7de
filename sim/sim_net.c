/* Delivery of events, frames and HTTP calls under the virtual clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/frame.h"
#include "sim/sim.h"

enum { REQUEST_WAIT_US = 8000000 };

static struct machine *machine_of(struct world *world) { return (struct machine *)world; }

void sim_push(struct sim *sim, struct sim_event *event, int64_t at_us)
{
    event_queue_push(&sim->queue, &event->timed, at_us > sim->now_us ? at_us : sim->now_us);
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

static struct machine *machine_by_addr(struct sim *sim, uint64_t addr, int http)
{
    for (int64_t i = 0; i < sim->n; i++)
        if ((http ? sim->machines[i]->base.http_addr : sim->machines[i]->base.self) == addr)
            return sim->machines[i];
    return NULL;
}

/* When something sent now arrives: after the sender's pending stall and a random delay. */
static int64_t arrival_us(struct sim *sim, struct machine *from, struct machine *to, int ordered)
{
    int64_t at_us = sim->now_us + (from ? from->stall_us : 0) + 150 + (int64_t)(sim_random(sim) % 700);
    if (!from || !ordered)
        return at_us;
    int64_t *last = &sim->last_us[from->index][to->index];
    if (at_us <= *last)
        at_us = *last + 1;
    return *last = at_us;
}

static void trap_fire(struct sim *sim, void *arg, int64_t n)
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

void sim_trap_trigger(struct sim *sim, struct machine *victim)
{
    sim->trap.armed = 0;
    sim->trap.triggered = 1;
    sim->trap.victim = victim;
    if (sim->trap.kind == TRAP_DONE) /* its report must not get out before it is killed */
        memset(sim->cut[victim->index], 1, sizeof sim->cut[0]);
    sim_at(sim, 0, trap_fire, victim);
}

/* Triggers the trap, which fires after the current step of the core, if this message is the one it waits for. */
static void trap_check(struct sim *sim, int64_t kind, struct machine *from, struct machine *to)
{
    struct sim_trap *trap = &sim->trap;
    if (!trap->armed || trap->kind != kind || !to || from == to || --trap->nth > 0)
        return;
    sim_trap_trigger(sim, trap->receiver ? to : from);
}

static void net_send(struct world *world, uint64_t addr, struct blob *frame, int lossy)
{
    struct machine *from = machine_of(world), *to = machine_by_addr(from->sim, addr, 0);
    struct sim *sim = from->sim;
    sim->frames++;
    sim->bytes += frame->bytes.len;
    trap_check(sim, frame->bytes.at[3], from, to);
    if (!to || sim->cut[from->index][to->index] || (lossy && (int64_t)(sim_random(sim) % 100) < sim->loss_pct))
        return;
    struct sim_event *event = new_event(EVT_FRAME, to);
    event->frame = blob_hold(frame);
    event->generation = to->generation;
    sim_push(sim, event, arrival_us(sim, from, to, !lossy));
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
    if (call.on_answer)
        call.on_answer(sim, call.arg, call.tag, status, body);
    else if (call.from->up && call.from->generation == call.from_generation)
        call.done(call.arg, call.tag, status, body, len);
}

/* Records for the oracle what a node's answer promises, whether or not it arrives. */
static void record_promises(struct sim *sim, const struct sim_call *call, int status, const char *body)
{
    json_t *json = status == 200 || status == 201 ? json_loads(body, 0, NULL) : NULL;
    const char *id = json_string_value(json_object_get(json, "id"));
    json_t *version = json_object_get(json, "version");
    if (id)
        oracle_accepted(sim->oracle, job_id_parse(id));
    if (id && call->cancelled_job)
        oracle_cancelled(sim->oracle, call->cancelled_job);
    if (version && call->next_version)
        oracle_settings_changed(sim->oracle, call->next_version - 1, json_integer_value(version));
    json_decref(json);
}

static void call_begin(struct sim *sim, struct sim_call call, const char *method, const char *path, const char *body)
{
    call.id = ++sim->n_calls;
    if (!strncmp(path, "/v1/jobs/", 9) && (!strcmp(method, "DELETE") || strstr(path, "/cancel"))) {
        char id[40];
        snprintf(id, sizeof id, "%.*s", (int)strcspn(path + 9, "/?"), path + 9);
        call.cancelled_job = job_id_parse(id);
    }
    const char *expect = strstr(path, "expect=");
    if (strcmp(method, "GET") && expect && (!strncmp(path, "/v1/settings", 12) || !strncmp(path, "/v1/calendar", 12)))
        call.next_version = 1 + text_to_int64(expect + 7);
    *array_add(sim->calls, sim->n_calls_open) = call;
    struct sim_event *timeout = new_event(EVT_TIMEOUT, call.from);
    timeout->call = call.id;
    timeout->generation = call.from ? call.from->generation : 0;
    int cut_off = call.to && call.from && sim->cut[call.from->index][call.to->index];
    int refused = !call.to || (!call.to->up && !cut_off);
    sim_push(sim, timeout, sim->now_us + (refused ? 500 : call.timeout_us));
    if (refused || cut_off)
        return;
    struct sim_event *request = new_event(EVT_REQUEST, call.to);
    request->generation = call.to->generation;
    request->call = call.id;
    request->method = must_dup(method);
    request->path = must_dup(path);
    bytes_add(&request->bytes, body, (int64_t)strlen(body));
    sim_push(sim, request, arrival_us(sim, call.from, call.to, 0));
}

/* The call's header is not passed on: no core in this simulator uses it. */
static void net_call(struct world *world, const struct http_call *call)
{
    struct machine *from = machine_of(world), *to = machine_by_addr(from->sim, call->to, 1);
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
                                 .timeout_us = call->wait_ms * 1000},
               call->method, call->path, body);
}

void sim_request(struct sim *sim, struct sim_http_request http)
{
    struct sim_call call = {
        .to = http.to, .on_answer = http.answer, .arg = http.arg, .tag = http.tag, .timeout_us = REQUEST_WAIT_US};
    call_begin(sim, call, http.method, http.path, http.body ? http.body : "");
}

static void net_answer(struct world *world, int64_t slot, int status, int64_t retry_ms, const char *body)
{
    struct machine *from = machine_of(world);
    struct sim *sim = from->sim;
    struct sim_call *call = call_find(sim, slot);
    (void)retry_ms;
    if (call && from->kind == M_NODE)
        record_promises(sim, call, status, body ? body : "");
    if (!call || (call->from && sim->cut[from->index][call->from->index]))
        return;
    struct sim_event *event = new_event(EVT_ANSWER, call->from);
    event->call = slot;
    event->generation = call->from_generation;
    event->status = status;
    bytes_add(&event->bytes, body ? body : "", body ? (int64_t)strlen(body) : 0);
    sim_push(sim, event, arrival_us(sim, from, call->from ? call->from : from, 0));
}

/* --- delivery --------------------------------------------------------------------- */

static void on_timer(struct machine *machine)
{
    switch (machine->kind) {
    case M_KEEPER: keeper_on_timer(&machine->core.keeper); break;
    case M_NODE: node_on_timer(&machine->core.node); break;
    case M_EXECUTOR: executor_on_timer(&machine->core.executor); break;
    case M_CALLER: caller_on_timer(&machine->core.caller); break;
    }
}

static void deliver_request(struct machine *machine, const struct sim_event *event)
{
    const char *body = event->bytes.len ? (const char *)event->bytes.at : "";
    if (machine->kind == M_KEEPER)
        keeper_request(&machine->core.keeper, event->call, event->method, event->path, body, event->bytes.len);
    else if (machine->kind == M_NODE)
        node_request(&machine->core.node, event->call, event->method, event->path, body, event->bytes.len);
    else if (machine->kind == M_EXECUTOR)
        executor_request(&machine->core.executor, event->call, event->method, event->path, body, event->bytes.len);
}

static void dispatch_event(struct sim *sim, struct machine *machine, struct sim_event *event)
{
    const char *body = event->bytes.len ? (const char *)event->bytes.at : "";
    if (event->kind == EVT_ON_TIMER)
        on_timer(machine);
    else if (event->kind == EVT_FRAME && machine->kind == M_KEEPER)
        keeper_on_frame(&machine->core.keeper, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == EVT_FRAME && machine->kind == M_NODE)
        node_on_frame(&machine->core.node, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == EVT_REQUEST)
        deliver_request(machine, event);
    else if (event->kind == EVT_ANSWER)
        call_end(sim, event->call, event->status, body, event->bytes.len);
    else if (event->kind == EVT_TIMEOUT)
        call_end(sim, event->call, 0, "", 0);
    else if (event->kind == EVT_FLUSH) {
        machine->flush_scheduled = 0;
        keeper_flush(&machine->core.keeper);
    }
    if (machine->kind != M_KEEPER || machine->flush_scheduled || event->kind == EVT_FLUSH)
        return;
    /* as in the processes: one flush per round of the event loop, after all events that have arrived by now */
    struct sim_event *flush = new_event(EVT_FLUSH, machine);
    flush->generation = machine->generation;
    machine->flush_scheduled = 1;
    sim_push(sim, flush, sim->now_us);
}

void sim_deliver(struct sim *sim, struct sim_event *event)
{
    struct machine *machine = event->to;
    sim->events++;
    if (event->kind == EVT_ACTION) {
        event->action(sim, event->arg, 0);
        sim_event_free(event);
        return;
    }
    if (!machine) {
        call_end(sim, event->call, event->status, event->bytes.len ? (char *)event->bytes.at : "", event->bytes.len);
        sim_event_free(event);
        return;
    }
    if (!machine->up || machine->generation != event->generation) {
        sim_event_free(event);
        return;
    }
    if (machine->frozen || machine->busy_until_us > sim->now_us) {
        int64_t retry_us =
            machine->busy_until_us > sim->now_us ? machine->busy_until_us : sim->now_us + SIM_ON_TIMER_US;
        sim_push(sim, event, retry_us);
        return;
    }
    machine->stall_us = 0;
    dispatch_event(sim, machine, event);
    machine->busy_until_us = sim->now_us + machine->stall_us;
    machine->stall_us = 0;
    if (event->kind == EVT_ON_TIMER && machine->up)
        sim_push(sim, event, sim->now_us + SIM_ON_TIMER_US);
    else
        sim_event_free(event);
}

/* --- clocks, random numbers, event log ---------------------------------------------- */

static int64_t mono_ms(struct world *world)
{
    struct machine *machine = machine_of(world);
    return (machine->sim->now_us + machine->stall_us - machine->born_us) / 1000 + MONO_BASE_MS;
}

static int64_t wall_ms(struct world *world)
{
    struct machine *machine = machine_of(world);
    return WALL_BASE_MS + (machine->sim->now_us + machine->stall_us) / 1000 + machine->skew_ms;
}

static uint64_t random_u64(struct world *world) { return sim_random(machine_of(world)->sim); }

static void note(struct world *world, int event, const char *text)
{
    struct machine *machine = machine_of(world);
    if (event > 0 && event < COUNT_OF(machine->sim->event_counts))
        machine->sim->event_counts[event]++;
    const struct event_kind *kind = event_kind(event);
    if (machine->sim->trace && kind && (machine->sim->trace > 1 || kind->level > LEVEL_DEBUG))
        fprintf(stderr, "%10.3f %-10s E%d %s: %s\n", (double)machine->sim->now_us / 1e6, machine->name, event,
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
