#include "executor/executor.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

enum { REPORT_MS = 1000, REPORT_WAIT_MS = 1000, TOMBSTONE_MS = 600000 };

void executor_start(struct executor *executor, struct world *world, const struct exec_setup *setup)
{
    *executor = (struct executor){.world = world, .slow_pct = 100, .stop_ms = 50};
    struct exec_state *state = &executor->state;
    state->name = must_dup(setup->name);
    state->cluster = must_dup(setup->cluster);
    state->kind = must_dup(setup->kind);
    state->rack = must_dup(setup->rack);
    state->address = must_dup(addr_text(world->http_addr));
    for (int64_t i = 0; i < setup->n_services; i++)
        *array_add(state->services, state->n_services) = must_dup(setup->services[i]);
    state->cores = setup->cores;
    state->mem_mb = setup->mem_mb;
    state->incarnation = setup->incarnation;
    for (int64_t i = 0; i < setup->n_seeds && i < COUNT_OF(executor->seeds); i++)
        executor->seeds[executor->n_seeds++] = setup->seeds[i];
}

static void work_free(struct exec_work *work)
{
    schema_free(&exec_task_schema, &work->task);
    free(work->service);
    free(work->kind);
}

void executor_end(struct executor *executor)
{
    for (int64_t i = 0; i < executor->n_work; i++)
        work_free(&executor->work[i]);
    for (int64_t i = 0; i < executor->n_ended; i++)
        schema_free(&exec_task_schema, &executor->ended[i]);
    free(executor->work);
    free(executor->ended);
    free(executor->tombstones);
    schema_free(&exec_state_schema, &executor->state);
}

static void journal_write(struct executor *executor, int64_t event, const struct exec_work *work, const char *outcome)
{
    const struct exec_task *task = &work->task;
    struct exec_record record = {.event = event,
                                 .job = task->job,
                                 .no = task->no,
                                 .attempt = task->attempt,
                                 .cores = task->cores,
                                 .mem_mb = task->mem_mb,
                                 .incarnation = executor->state.incarnation,
                                 .since_ms = work->since_ms,
                                 .outcome = outcome,
                                 .executor = executor->state.name,
                                 .service = work->service,
                                 .kind = work->kind};
    world_note(executor->world, event == EXEC_STARTED ? EV_EXEC_START : EV_EXEC_STOP,
               "job=%lld no=%lld attempt=%lld %s", (long long)task->job, (long long)task->no, (long long)task->attempt,
               outcome ? outcome : "");
    if (executor->journal)
        executor->journal(executor->journal_arg, &record);
}

/* The complete state. The caller frees only the array `running`; everything else is borrowed. */
static struct exec_state state_now(struct executor *executor)
{
    struct exec_state state = executor->state;
    state.serial = ++executor->state.serial;
    state.ticket = world_ms(executor->world);
    state.free_cores = state.cores - executor->other_cores;
    state.free_mb = state.mem_mb;
    state.leaving = executor->leave_at_ms != 0;
    state.leaving_in_ms = executor->leave_at_ms ? executor->leave_at_ms - world_ms(executor->world) : 0;
    for (int64_t i = 0; i < executor->n_work; i++) {
        const struct exec_work *work = &executor->work[i];
        state.free_cores -= work->task.cores;
        state.free_mb -= work->task.mem_mb;
        *array_add(state.running, state.n_running) = work->task;
        state.running[i].progress =
            work->held || work->stalls ? 0 : world_ms(executor->world) - (work->end_ms - work->duration_ms);
        state.running[i].state = work->held ? "held" : work->stop_ms ? "stopping" : "running";
    }
    state.ended = executor->ended;
    state.n_ended = executor->n_ended;
    return state;
}

static char *state_text(struct executor *executor)
{
    struct exec_state state = state_now(executor);
    char *text = schema_to_text(&exec_state_schema, &state);
    free(state.running);
    return text;
}

/* --- ends ------------------------------------------------------------------------------ */

static void add_end(struct executor *executor, const struct exec_task *task, const char *outcome, const char *why)
{
    struct exec_task *ended = array_add(executor->ended, executor->n_ended);
    *ended = *task;
    ended->state = must_dup(outcome);
    ended->why = must_dup(why);
    executor->next_report_ms = 0;
}

static void end_work(struct executor *executor, int64_t i, const char *outcome, const char *why)
{
    struct exec_work *work = &executor->work[i];
    if (work->held)
        outcome = "unstarted";
    else
        journal_write(executor, EXEC_ENDED, work, outcome);
    add_end(executor, &work->task, outcome, why);
    work_free(work);
    *work = executor->work[--executor->n_work];
}

static int is_known(const struct executor *executor, int64_t job, int64_t no, int64_t attempt)
{
    for (int64_t i = 0; i < executor->n_work; i++)
        if (executor->work[i].task.job == job && executor->work[i].task.no == no &&
            executor->work[i].task.attempt == attempt)
            return 1;
    for (int64_t i = 0; i < executor->n_ended; i++)
        if (executor->ended[i].job == job && executor->ended[i].no == no && executor->ended[i].attempt == attempt)
            return 1;
    for (int64_t i = 0; i < executor->n_tombstones; i++)
        if (executor->tombstones[i].job == job && executor->tombstones[i].no == no &&
            executor->tombstones[i].attempt == attempt)
            return 1;
    return 0;
}

void executor_on_timer(struct executor *executor);

static void report_done(void *arg, int64_t tag, int status, const char *body, int64_t len)
{
    struct executor *executor = arg;
    if (tag != executor->report_seq)
        return;
    executor->reporting = 0;
    json_t *json = status == 200 ? json_loadb(body, (size_t)len, 0, NULL) : NULL;
    const char *owner = json_string_value(json_object_get(json, "home"));
    executor->owner_addr = owner ? (int64_t)addr_parse(owner) : 0;
    if (!owner)
        executor->next_report_ms = world_ms(executor->world) + REPORT_MS / 4;
    json_decref(json);
}

static void send_report(struct executor *executor, int64_t now_ms)
{
    int64_t to = executor->owner_addr;
    if (!to && executor->n_seeds)
        to = executor->seeds[executor->next_seed++ % executor->n_seeds];
    char *body = state_text(executor);
    executor->reporting = 1;
    executor->next_report_ms = now_ms + REPORT_MS;
    executor->world->calls->call(executor->world, &(struct http_call){.to = (uint64_t)to,
                                                                      .method = "POST",
                                                                      .path = "/v1/executors/report",
                                                                      .body = body,
                                                                      .wait_ms = REPORT_WAIT_MS,
                                                                      .done = report_done,
                                                                      .arg = executor,
                                                                      .tag = ++executor->report_seq});
    free(body);
}

void executor_on_timer(struct executor *executor)
{
    int64_t now_ms = world_ms(executor->world);
    for (int64_t i = 0; i < executor->n_work; i++) {
        struct exec_work *work = &executor->work[i];
        if (now_ms >= work->lease_ms) /* checked first: without a lease the task may run elsewhere */
            end_work(executor, i--, "lapsed", "lease not renewed");
        else if (work->stop_ms && now_ms >= work->stop_ms)
            end_work(executor, i--, "stopped", "as ordered");
        else if (!work->held && !work->stop_ms && !work->stalls && now_ms >= work->end_ms)
            end_work(executor, i--, work->will_fail ? "failed" : "done", work->will_fail ? "the work failed" : NULL);
    }
    for (int64_t i = 0; i < executor->n_tombstones; i++)
        if (now_ms >= executor->tombstones[i].until_ms)
            executor->tombstones[i--] = executor->tombstones[--executor->n_tombstones];
    if (!executor->reporting && now_ms >= executor->next_report_ms)
        send_report(executor, now_ms);
}

void executor_leave(struct executor *executor, int64_t in_ms)
{
    executor->leave_at_ms = world_ms(executor->world) + in_ms;
    executor->next_report_ms = 0;
}

/* --- orders ------------------------------------------------------------------------------ */

static int64_t payload_number(const char *payload, const char *name, int64_t default_value)
{
    const char *at = payload ? strstr(payload, name) : NULL;
    return at ? text_to_int64(at + strlen(name)) : default_value;
}

static const char *refusal_of(const struct executor *executor, const struct exec_start *start)
{
    int64_t cores = executor->state.cores - executor->other_cores, mem_mb = executor->state.mem_mb;
    int served = 0;
    for (int64_t i = 0; i < executor->state.n_services; i++)
        served |= start->service && !strcmp(executor->state.services[i], start->service);
    for (int64_t i = 0; i < executor->n_work; i++) {
        cores -= executor->work[i].task.cores;
        mem_mb -= executor->work[i].task.mem_mb;
        if (executor->work[i].task.job == start->job && executor->work[i].task.no == start->no)
            return "another attempt still runs here";
    }
    if (!served || !start->kind || strcmp(start->kind, executor->state.kind))
        return "not for this executor";
    if (executor->leave_at_ms)
        return "leaving";
    return cores < start->cores || mem_mb < start->mem_mb ? "no free capacity" : NULL;
}

static void begin_work(struct executor *executor, struct exec_work *work)
{
    work->held = 0;
    work->end_ms = world_ms(executor->world) + work->duration_ms;
    journal_write(executor, EXEC_STARTED, work, NULL);
}

static void order_start(struct executor *executor, const struct exec_start *start, int64_t ticket_ms)
{
    int64_t now_ms = world_ms(executor->world);
    struct exec_task task = {
        .job = start->job, .no = start->no, .attempt = start->attempt, .cores = start->cores, .mem_mb = start->mem_mb};
    if (is_known(executor, start->job, start->no, start->attempt) || now_ms >= ticket_ms + start->lease_ms)
        return;
    const char *why = executor->accepts_all ? NULL : refusal_of(executor, start);
    if (why) {
        add_end(executor, &task, "unstarted", why);
        return;
    }
    struct exec_work *work = array_add(executor->work, executor->n_work);
    work->task = task;
    work->since_ms = now_ms;
    work->lease_ms = ticket_ms + start->lease_ms;
    work->duration_ms = payload_number(start->payload, "ms=", 100) * executor->slow_pct / 100;
    int64_t fail_pct = payload_number(start->payload, "fail=", 0) + executor->fail_pct;
    work->will_fail = (int64_t)(world_random(executor->world) % 100) < fail_pct;
    work->stalls = payload_number(start->payload, "stall=", 0) ||
                   (int64_t)(world_random(executor->world) % 100) < executor->stall_pct;
    work->service = must_dup(start->service);
    work->kind = must_dup(start->kind);
    work->held = start->hold;
    if (!work->held)
        begin_work(executor, work);
}

static void order_go(struct executor *executor, const struct exec_task_order *run)
{
    for (int64_t i = 0; i < executor->n_work; i++) {
        struct exec_work *work = &executor->work[i];
        if (work->task.job == run->job && work->task.no == run->no && work->task.attempt == run->attempt &&
            work->held && !work->stop_ms)
            begin_work(executor, work);
    }
}

static void order_stop(struct executor *executor, const struct exec_task_order *run)
{
    for (int64_t i = 0; i < executor->n_work; i++) {
        struct exec_work *work = &executor->work[i];
        if (work->task.job != run->job || work->task.no != run->no || work->task.attempt != run->attempt)
            continue;
        if (work->held)
            end_work(executor, i, "unstarted", "stopped before its start");
        else if (!work->stop_ms)
            work->stop_ms = world_ms(executor->world) + executor->stop_ms;
        return;
    }
    if (is_known(executor, run->job, run->no, run->attempt))
        return;
    struct exec_task task = {.job = run->job, .no = run->no, .attempt = run->attempt};
    /* is_known() finds this end, so the attempt never starts */
    add_end(executor, &task, "unstarted", "stopped before its start");
}

static void order_renew(struct executor *executor, const struct exec_task_order *renewal, int64_t ticket_ms)
{
    for (int64_t i = 0; i < executor->n_work; i++) {
        struct exec_work *work = &executor->work[i];
        if (work->task.job == renewal->job && work->task.no == renewal->no && work->task.attempt == renewal->attempt &&
            ticket_ms + renewal->lease_ms > work->lease_ms)
            work->lease_ms = ticket_ms + renewal->lease_ms;
    }
}

static void order_ack(struct executor *executor, const struct exec_task_order *run)
{
    for (int64_t i = 0; i < executor->n_ended; i++) {
        struct exec_task *task = &executor->ended[i];
        if (task->job != run->job || task->no != run->no || task->attempt != run->attempt)
            continue;
        *array_add(executor->tombstones, executor->n_tombstones) =
            (struct exec_tombstone){.job = run->job,
                                    .no = run->no,
                                    .attempt = run->attempt,
                                    .until_ms = world_ms(executor->world) + TOMBSTONE_MS};
        schema_free(&exec_task_schema, task);
        *task = executor->ended[--executor->n_ended];
        return;
    }
}

static void apply_orders(struct executor *executor, const struct exec_orders *orders)
{
    int64_t ticket_ms = orders->ticket <= world_ms(executor->world) ? orders->ticket : 0;
    if (orders->epoch > executor->state.epoch) {
        executor->state.epoch = orders->epoch;
        executor->owner_addr = orders->executor_owner ? (int64_t)addr_parse(orders->executor_owner) : 0;
    }
    if (orders->incarnation != executor->state.incarnation)
        return;
    for (int64_t i = 0; i < orders->n_acks; i++)
        order_ack(executor, &orders->acks[i]);
    for (int64_t i = 0; i < orders->n_renews; i++)
        order_renew(executor, &orders->renews[i], ticket_ms);
    for (int64_t i = 0; i < orders->n_stops; i++)
        order_stop(executor, &orders->stops[i]);
    for (int64_t i = 0; i < orders->n_goes; i++)
        order_go(executor, &orders->goes[i]);
    for (int64_t i = 0; i < orders->n_starts; i++)
        order_start(executor, &orders->starts[i], ticket_ms);
}

void executor_request(struct executor *executor, int64_t slot, const char *method, const char *path, const char *body,
                      int64_t len)
{
    struct exec_orders orders = {0};
    struct validation_error validation_error = {0};
    /* ends tasks whose lease expired while this process was suspended, before any order is applied */
    executor_on_timer(executor);
    if (strcmp(path, "/v1/orders") || strcmp(method, "POST")) {
        char *text = state_text(executor);
        executor->world->calls->answer(executor->world, slot, strcmp(path, "/v1/state") ? 404 : 200, 0, text);
        free(text);
        return;
    }
    if (schema_from_text(&exec_orders_schema, &orders, body, len, &validation_error) || !orders.cluster ||
        strcmp(orders.cluster, executor->state.cluster)) {
        world_answer(executor->world, slot, ERROR_BAD_FIELD, "%s: expected %s", validation_error.path,
                     validation_error.expected);
    } else {
        int lower = orders.epoch < executor->state.epoch;
        if (!lower)
            apply_orders(executor, &orders);
        char *text = state_text(executor);
        executor->world->calls->answer(executor->world, slot, lower ? 409 : 200, 0, text);
        free(text);
    }
    schema_free(&exec_orders_schema, &orders);
}
