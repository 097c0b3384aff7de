#include "executor/executor.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

enum { REPORT_MS = 1000, REPORT_WAIT_MS = 1000, TOMB_MS = 600000 };

void executor_start(struct executor *e, struct world *w, const struct exec_setup *setup)
{
    *e = (struct executor){.w = w, .slow_pct = 100, .stop_ms = 50};
    struct exec_state *s = &e->state;
    s->name = must_dup(setup->name);
    s->cluster = must_dup(setup->cluster);
    s->kind = must_dup(setup->kind);
    s->rack = must_dup(setup->rack);
    s->address = must_dup(addr_text(w->http_addr));
    for (int64_t i = 0; i < setup->n_services; i++)
        *array_add(s->services, s->n_services) = must_dup(setup->services[i]);
    s->cores = setup->cores;
    s->mem_mb = setup->mem_mb;
    s->incarnation = setup->incarnation;
    for (int64_t i = 0; i < setup->n_seeds && i < COUNT_OF(e->seeds); i++)
        e->seeds[e->n_seeds++] = setup->seeds[i];
}

static void work_free(struct exec_work *work)
{
    schema_free(&exec_task_schema, &work->task);
    free(work->service);
    free(work->kind);
}

void executor_end(struct executor *e)
{
    for (int64_t i = 0; i < e->n_work; i++)
        work_free(&e->work[i]);
    for (int64_t i = 0; i < e->n_ended; i++)
        schema_free(&exec_task_schema, &e->ended[i]);
    free(e->work);
    free(e->ended);
    free(e->tombs);
    schema_free(&exec_state_schema, &e->state);
}

static void journal(struct executor *e, int64_t event, const struct exec_work *work, const char *outcome)
{
    const struct exec_task *t = &work->task;
    struct exec_record record = {.event = event,
                                 .job = t->job,
                                 .no = t->no,
                                 .attempt = t->attempt,
                                 .cores = t->cores,
                                 .mem_mb = t->mem_mb,
                                 .incarnation = e->state.incarnation,
                                 .since_ms = work->since_ms,
                                 .outcome = outcome,
                                 .executor = e->state.name,
                                 .service = work->service,
                                 .kind = work->kind};
    world_note(e->w, event == EXEC_STARTED ? EV_EXEC_START : EV_EXEC_STOP, "job=%lld no=%lld attempt=%lld %s",
               (long long)t->job, (long long)t->no, (long long)t->attempt, outcome ? outcome : "");
    if (e->journal)
        e->journal(e->journal_arg, &record);
}

/* The whole state, lists lent; the caller frees the two arrays only. */
static struct exec_state state_now(struct executor *e)
{
    struct exec_state s = e->state;
    s.serial = ++e->state.serial;
    s.ticket = world_ms(e->w);
    s.free_cores = s.cores - e->other_cores;
    s.free_mb = s.mem_mb;
    s.leaving = e->leave_at_ms != 0;
    s.leaving_in_ms = e->leave_at_ms ? e->leave_at_ms - world_ms(e->w) : 0;
    for (int64_t i = 0; i < e->n_work; i++) {
        const struct exec_work *work = &e->work[i];
        s.free_cores -= work->task.cores;
        s.free_mb -= work->task.mem_mb;
        *array_add(s.running, s.n_running) = work->task;
        s.running[i].progress = work->held || work->stalls ? 0 : world_ms(e->w) - (work->end_ms - work->lasts_ms);
        s.running[i].state = work->held ? "held" : work->stop_ms ? "stopping" : "running";
    }
    s.ended = e->ended;
    s.n_ended = e->n_ended;
    return s;
}

static char *state_text(struct executor *e)
{
    struct exec_state s = state_now(e);
    char *text = schema_to_text(&exec_state_schema, &s);
    free(s.running);
    return text;
}

/* --- ends ------------------------------------------------------------------------------ */

static void end_add(struct executor *e, const struct exec_task *t, const char *outcome, const char *why)
{
    struct exec_task *ended = array_add(e->ended, e->n_ended);
    *ended = *t;
    ended->state = must_dup(outcome);
    ended->why = must_dup(why);
    e->report_due_ms = 0;
}

static void end_work(struct executor *e, int64_t i, const char *outcome, const char *why)
{
    struct exec_work *work = &e->work[i];
    if (work->held)
        outcome = "unstarted";
    else
        journal(e, EXEC_ENDED, work, outcome);
    end_add(e, &work->task, outcome, why);
    work_free(work);
    *work = e->work[--e->n_work];
}

static int known(const struct executor *e, int64_t job, int64_t no, int64_t attempt)
{
    for (int64_t i = 0; i < e->n_work; i++)
        if (e->work[i].task.job == job && e->work[i].task.no == no && e->work[i].task.attempt == attempt)
            return 1;
    for (int64_t i = 0; i < e->n_ended; i++)
        if (e->ended[i].job == job && e->ended[i].no == no && e->ended[i].attempt == attempt)
            return 1;
    for (int64_t i = 0; i < e->n_tombs; i++)
        if (e->tombs[i].job == job && e->tombs[i].no == no && e->tombs[i].attempt == attempt)
            return 1;
    return 0;
}

void executor_on_timer(struct executor *e);

static void reported(void *arg, int64_t tag, int status, const char *body, int64_t len)
{
    struct executor *e = arg;
    if (tag != e->report_seq)
        return;
    e->reporting = 0;
    json_t *json = status == 200 ? json_loadb(body, (size_t)len, 0, NULL) : NULL;
    const char *executor_owner = json_string_value(json_object_get(json, "home"));
    e->home_addr = executor_owner ? (int64_t)addr_parse(executor_owner) : 0;
    if (!executor_owner)
        e->report_due_ms = world_ms(e->w) + REPORT_MS / 4;
    json_decref(json);
}

static void report(struct executor *e, int64_t now_ms)
{
    int64_t to = e->home_addr;
    if (!to && e->n_seeds)
        to = e->seeds[e->seed_turn++ % e->n_seeds];
    char *body = state_text(e);
    e->reporting = 1;
    e->report_due_ms = now_ms + REPORT_MS;
    e->w->calls->call(e->w, &(struct http_call){.to = (uint64_t)to,
                                                .method = "POST",
                                                .path = "/v1/executors/report",
                                                .body = body,
                                                .wait_ms = REPORT_WAIT_MS,
                                                .done = reported,
                                                .arg = e,
                                                .tag = ++e->report_seq});
    free(body);
}

void executor_on_timer(struct executor *e)
{
    int64_t now_ms = world_ms(e->w);
    for (int64_t i = 0; i < e->n_work; i++) {
        struct exec_work *work = &e->work[i];
        if (now_ms >= work->lease_ms) /* first of all: nobody stands behind it any more */
            end_work(e, i--, "lapsed", "licence not renewed");
        else if (work->stop_ms && now_ms >= work->stop_ms)
            end_work(e, i--, "stopped", "as ordered");
        else if (!work->held && !work->stop_ms && !work->stalls && now_ms >= work->end_ms)
            end_work(e, i--, work->will_fail ? "failed" : "done", work->will_fail ? "the work failed" : NULL);
    }
    for (int64_t i = 0; i < e->n_tombs; i++)
        if (now_ms >= e->tombs[i].until_ms)
            e->tombs[i--] = e->tombs[--e->n_tombs];
    if (!e->reporting && now_ms >= e->report_due_ms)
        report(e, now_ms);
}

void executor_leave(struct executor *e, int64_t in_ms)
{
    e->leave_at_ms = world_ms(e->w) + in_ms;
    e->report_due_ms = 0;
}

/* --- orders ------------------------------------------------------------------------------ */

static int64_t payload_number(const char *payload, const char *name, int64_t default_value)
{
    const char *at = payload ? strstr(payload, name) : NULL;
    return at ? text_to_int64(at + strlen(name)) : default_value;
}

static const char *refuses(const struct executor *e, const struct exec_start *s)
{
    int64_t cores = e->state.cores - e->other_cores, mem_mb = e->state.mem_mb;
    int served = 0;
    for (int64_t i = 0; i < e->state.n_services; i++)
        served |= s->service && !strcmp(e->state.services[i], s->service);
    for (int64_t i = 0; i < e->n_work; i++) {
        cores -= e->work[i].task.cores;
        mem_mb -= e->work[i].task.mem_mb;
        if (e->work[i].task.job == s->job && e->work[i].task.no == s->no)
            return "another attempt still runs here";
    }
    if (!served || !s->kind || strcmp(s->kind, e->state.kind))
        return "not for this executor";
    if (e->leave_at_ms)
        return "leaving";
    return cores < s->cores || mem_mb < s->mem_mb ? "no room" : NULL;
}

static void begin(struct executor *e, struct exec_work *work)
{
    work->held = 0;
    work->end_ms = world_ms(e->w) + work->lasts_ms;
    journal(e, EXEC_STARTED, work, NULL);
}

static void start(struct executor *e, const struct exec_start *s, int64_t ticket_ms)
{
    int64_t now_ms = world_ms(e->w);
    struct exec_task task = {.job = s->job, .no = s->no, .attempt = s->attempt, .cores = s->cores, .mem_mb = s->mem_mb};
    if (known(e, s->job, s->no, s->attempt) || now_ms >= ticket_ms + s->lease_ms)
        return;
    const char *why = e->accepts_all ? NULL : refuses(e, s);
    if (why) {
        end_add(e, &task, "unstarted", why);
        return;
    }
    struct exec_work *work = array_add(e->work, e->n_work);
    work->task = task;
    work->since_ms = now_ms;
    work->lease_ms = ticket_ms + s->lease_ms;
    work->lasts_ms = payload_number(s->payload, "ms=", 100) * e->slow_pct / 100;
    int64_t fail_pct = payload_number(s->payload, "fail=", 0) + e->fail_pct;
    work->will_fail = (int64_t)(world_random(e->w) % 100) < fail_pct;
    work->stalls = payload_number(s->payload, "stall=", 0) || (int64_t)(world_random(e->w) % 100) < e->stall_pct;
    work->service = must_dup(s->service);
    work->kind = must_dup(s->kind);
    work->held = s->hold;
    if (!work->held)
        begin(e, work);
}

static void go(struct executor *e, const struct exec_task_order *r)
{
    for (int64_t i = 0; i < e->n_work; i++) {
        struct exec_work *work = &e->work[i];
        if (work->task.job == r->job && work->task.no == r->no && work->task.attempt == r->attempt && work->held &&
            !work->stop_ms)
            begin(e, work);
    }
}

static void stop(struct executor *e, const struct exec_task_order *r)
{
    for (int64_t i = 0; i < e->n_work; i++) {
        struct exec_work *work = &e->work[i];
        if (work->task.job != r->job || work->task.no != r->no || work->task.attempt != r->attempt)
            continue;
        if (work->held)
            end_work(e, i, "unstarted", "stopped before its start");
        else if (!work->stop_ms)
            work->stop_ms = world_ms(e->w) + e->stop_ms;
        return;
    }
    if (known(e, r->job, r->no, r->attempt))
        return;
    struct exec_task task = {.job = r->job, .no = r->no, .attempt = r->attempt};
    end_add(e, &task, "unstarted", "stopped before its start"); /* and so it never will */
}

static void renew(struct executor *e, const struct exec_task_order *r, int64_t ticket_ms)
{
    for (int64_t i = 0; i < e->n_work; i++) {
        struct exec_work *work = &e->work[i];
        if (work->task.job == r->job && work->task.no == r->no && work->task.attempt == r->attempt &&
            ticket_ms + r->lease_ms > work->lease_ms)
            work->lease_ms = ticket_ms + r->lease_ms;
    }
}

static void ack(struct executor *e, const struct exec_task_order *r)
{
    for (int64_t i = 0; i < e->n_ended; i++) {
        struct exec_task *t = &e->ended[i];
        if (t->job != r->job || t->no != r->no || t->attempt != r->attempt)
            continue;
        *array_add(e->tombs, e->n_tombs) =
            (struct exec_tomb){.job = r->job, .no = r->no, .attempt = r->attempt, .until_ms = world_ms(e->w) + TOMB_MS};
        schema_free(&exec_task_schema, t);
        *t = e->ended[--e->n_ended];
        return;
    }
}

static void take_orders(struct executor *e, const struct exec_orders *o)
{
    int64_t ticket_ms = o->ticket <= world_ms(e->w) ? o->ticket : 0;
    if (o->epoch > e->state.epoch) {
        e->state.epoch = o->epoch;
        e->home_addr = o->executor_owner ? (int64_t)addr_parse(o->executor_owner) : 0;
    }
    if (o->incarnation != e->state.incarnation)
        return;
    for (int64_t i = 0; i < o->n_acks; i++)
        ack(e, &o->acks[i]);
    for (int64_t i = 0; i < o->n_renews; i++)
        renew(e, &o->renews[i], ticket_ms);
    for (int64_t i = 0; i < o->n_stops; i++)
        stop(e, &o->stops[i]);
    for (int64_t i = 0; i < o->n_goes; i++)
        go(e, &o->goes[i]);
    for (int64_t i = 0; i < o->n_starts; i++)
        start(e, &o->starts[i], ticket_ms);
}

void executor_request(struct executor *e, int64_t slot, const char *method, const char *path, const char *body,
                      int64_t len)
{
    struct exec_orders orders = {0};
    struct validation_error validation_error = {0};
    executor_on_timer(e); /* leases that ran out while we slept end before anything else */
    if (strcmp(path, "/v1/orders") || strcmp(method, "POST")) {
        char *text = state_text(e);
        e->w->calls->answer(e->w, slot, strcmp(path, "/v1/state") ? 404 : 200, 0, text);
        free(text);
        return;
    }
    if (schema_from_text(&exec_orders_schema, &orders, body, len, &validation_error) || !orders.cluster ||
        strcmp(orders.cluster, e->state.cluster)) {
        world_answer(e->w, slot, ERROR_BAD_FIELD, "%s: expected %s", validation_error.path, validation_error.expected);
    } else {
        int lower = orders.epoch < e->state.epoch;
        if (!lower)
            take_orders(e, &orders);
        char *text = state_text(e);
        e->w->calls->answer(e->w, slot, lower ? 409 : 200, 0, text);
        free(text);
    }
    schema_free(&exec_orders_schema, &orders);
}
