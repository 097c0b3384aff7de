/* Work items: the progress of orders to start and stop runs. */
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"

struct work_item *agent_work_find(struct agent *agent, int64_t job, int64_t task, int64_t attempt)
{
    for (int64_t i = 0; i < agent->n_work_items; i++)
        if (work_matches(&agent->work_items[i], job, task, attempt))
            return &agent->work_items[i];
    return NULL;
}

void agent_work_drop(struct agent *agent, struct work_item *work)
{
    schema_free(&run_start_schema, &work->start);
    int64_t i = work - agent->work_items;
    /* keeps the order of the list: older orders are carried out first */
    memmove(work, work + 1, sizeof *work * (size_t)(agent->n_work_items - i - 1));
    agent->n_work_items--;
}

int agent_may_inherit_calls(const struct agent *agent, int64_t now)
{
    return now - agent->started_ms < INHERITED_CALLS_MS;
}

static int is_pending(const struct work_item *work) { return work->state == WORK_START || work->state == WORK_CHECK; }

void agent_work_stop(struct work_item *work, int64_t now)
{
    work->state = WORK_STOP;
    work->call_number = 0; /* the response to a start in flight no longer settles the run */
    work->next_send_ms = now;
    work->retry_ms = work->sent = work->delivered_count = 0;
}

void agent_work_refused(struct agent *agent, struct work_item *work, int64_t reason)
{
    work->state = WORK_REFUSED;
    work->reason = reason;
    agent->report_needed = 1;
}

static void work_close(struct work_item *work, int64_t now)
{
    work->closed_never_ran = work->state == WORK_NEVER_RAN;
    work->state = WORK_CLOSED;
    work->keep_until_ms = now + CLOSED_RETENTION_MS;
}

/* Handles an order for a run that is settled already: its outcome is reported once more, without a call. */
static void work_reopen(struct agent *agent, struct work_item *work)
{
    work->state = work->closed_never_ran ? WORK_NEVER_RAN : WORK_REFUSED;
    agent->report_needed = 1;
}

/* --- polls ------------------------------------------------------------------- */

/* Returns whether the poll settles the work item, which the caller then drops. */
static int poll_settles(struct agent *agent, struct work_item *work, int64_t number, int whole, int64_t now)
{
    struct run_ref run = work_run(work);
    if (work->state == WORK_CLOSED)
        return 0;
    if (run_is_ended(&agent->incarnation.lists, &run))
        return 1;
    if (run_is_active(&agent->incarnation.lists, &run)) {
        if (work->state == WORK_STOPPED && number > work->response_number &&
            now - work->response_ms > agent->setup.stop_timeout_ms + RETRY_MAX_MS)
            agent_work_stop(work, now);
        return work->state != WORK_STOP && work->state != WORK_STOPPED;
    }
    if (number <= work->response_number || !whole)
        return 0;
    if (work->state == WORK_CHECK)
        agent_work_refused(agent, work, REFUSED_OUTDATED);
    if (work->state == WORK_STOPPED) {
        work->state = WORK_NEVER_RAN;
        agent->report_needed = 1;
    }
    return work->state == WORK_STARTED;
}

void agent_work_items_settle(struct agent *agent, int64_t number, int whole, int64_t now)
{
    for (int64_t i = agent->n_work_items - 1; i >= 0; i--)
        if (poll_settles(agent, &agent->work_items[i], number, whole, now))
            agent_work_drop(agent, &agent->work_items[i]);
}

/* Whether the leader may consider all runs on this executor as ended and may have placed their tasks elsewhere: the
 * lease of the agent has expired, or the executor is silent and its leases have expired. */
static int lease_given_up(const struct agent *agent, int64_t now)
{
    return now >= agent->lease_until_ms || (agent->incarnation.silent_since_ms && !agent_lease_left_ms(agent, now));
}

/* Withdraws a start that must no longer be carried out. */
static void work_withdraw(struct agent *agent, struct work_item *work, int64_t now)
{
    if (work->state != WORK_START)
        return;
    if (lease_given_up(agent, now)) {
        agent_work_stop(work, now);
        return;
    }
    /* a draining executor gets no starts, not even a start that was sent before */
    if (work->call_number || !agent->incarnation.state.draining)
        return;
    if (work->start_uncertain)
        agent_work_stop(work, now);
    else
        agent_work_refused(agent, work, REFUSED_NO_CAPACITY);
}

void agent_work_items_step(struct agent *agent, int64_t now)
{
    for (int64_t i = agent->n_work_items - 1; i >= 0; i--) {
        struct work_item *work = &agent->work_items[i];
        work_withdraw(agent, work, now);
        if (work->state == WORK_CLOSED && now >= work->keep_until_ms)
            agent_work_drop(agent, work);
    }
}

/* --- orders ------------------------------------------------------------- */

static struct work_item *work_add(struct agent *agent, int64_t job, int64_t task, int64_t attempt, int64_t now)
{
    struct work_item *work = array_add(agent->work_items, agent->n_work_items);
    work->start = (struct run_start){.job = job, .task = task, .attempt = attempt};
    work->start_uncertain = agent_may_inherit_calls(agent, now);
    work->next_send_ms = now;
    return work;
}

/* Whether this attempt of the task or a newer one is known. */
static int is_outdated(const struct agent *agent, const struct run_start *start)
{
    for (int64_t i = 0; i < agent->n_work_items; i++) {
        const struct run_start *other = &agent->work_items[i].start;
        if (other->job == start->job && other->task == start->task && other->attempt >= start->attempt)
            return 1;
    }
    const struct run_lists *lists = &agent->incarnation.lists;
    for (int64_t i = 0; i < lists->n_active; i++) {
        const struct run_active *other = &lists->active[i];
        if (other->job == start->job && other->task == start->task && other->attempt >= start->attempt)
            return 1;
    }
    for (int64_t i = 0; i < lists->n_ended; i++) {
        const struct run_ended *other = &lists->ended[i];
        if (other->job == start->job && other->task == start->task && other->attempt >= start->attempt)
            return 1;
    }
    return 0;
}

static void work_supersede(struct agent *agent, const struct run_start *start, int64_t now)
{
    for (int64_t i = agent->n_work_items - 1; i >= 0; i--) {
        struct work_item *work = &agent->work_items[i];
        if (work->start.job != start->job || work->start.task != start->task)
            continue;
        if (is_pending(work) && (work->start_uncertain || work->call_number))
            agent_work_stop(work, now);
        else if (is_pending(work))
            agent_work_drop(agent, work);
        else if (work->state == WORK_REFUSED || work->state == WORK_NEVER_RAN)
            work_close(work, now);
    }
}

void agent_order_start(struct agent *agent, const struct run_start *start, int64_t now)
{
    struct work_item *same = agent_work_find(agent, start->job, start->task, start->attempt);
    if (same && same->state == WORK_CLOSED) {
        work_reopen(agent, same);
        return;
    }
    if (is_outdated(agent, start))
        return;
    work_supersede(agent, start, now);
    struct work_item *work = work_add(agent, start->job, start->task, start->attempt, now);
    work->start.text = must_dup(start->text);
    work->start.checkpoint = must_dup(start->checkpoint);
    work_withdraw(agent, work, now);
}

void agent_order_stop(struct agent *agent, const struct run_ref *run, int64_t now)
{
    if (run_is_ended(&agent->incarnation.lists, run))
        return;
    struct work_item *work = agent_work_find(agent, run->job, run->task, run->attempt);
    if (!work)
        work = work_add(agent, run->job, run->task, run->attempt, now);
    if (work->state == WORK_STOP || work->state == WORK_STOPPED || work->state == WORK_NEVER_RAN)
        return;
    if (work->state == WORK_CLOSED && work->closed_never_ran)
        work_reopen(agent, work);
    else
        agent_work_stop(work, now);
}

void agent_end_acknowledged(struct agent *agent, const struct run_ref *run, int64_t now)
{
    struct work_item *work = agent_work_find(agent, run->job, run->task, run->attempt);
    if (work && (work->state == WORK_REFUSED || work->state == WORK_NEVER_RAN))
        work_close(work, now);
}

void agent_work_items_new_epoch(struct agent *agent)
{
    for (int64_t i = agent->n_work_items - 1; i >= 0; i--) {
        int64_t state = agent->work_items[i].state;
        if (state == WORK_START || state == WORK_CHECK || state == WORK_STOP || state == WORK_STOPPED)
            agent_work_drop(agent, &agent->work_items[i]);
    }
}
