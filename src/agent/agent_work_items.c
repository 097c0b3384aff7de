/* Works: what becomes of orders to start and stop runs. */
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"

struct work *agent_work(struct agent *agent, int64_t job, int64_t task, int64_t attempt)
{
    for (int64_t i = 0; i < agent->n_works; i++)
        if (work_is(&agent->works[i], job, task, attempt))
            return &agent->works[i];
    return NULL;
}

void agent_work_drop(struct agent *agent, struct work *work)
{
    schema_free(&run_start_schema, &work->start);
    int64_t i = work - agent->works;
    /* order is kept: older orders are carried out first */
    memmove(work, work + 1, sizeof *work * (size_t)(agent->n_works - i - 1));
    agent->n_works--;
}

int agent_inherits(const struct agent *agent, int64_t now) { return now - agent->started_ms < INHERIT_MS; }

static int is_pending(const struct work *work) { return work->state == WORK_START || work->state == WORK_CHECK; }

void agent_work_stop(struct work *work, int64_t now)
{
    work->state = WORK_STOP;
    work->under_way = 0; /* the response to a start in flight settles nothing any more */
    work->due_ms = now;
    work->retry_ms = work->sent = work->sent_count = 0;
}

void agent_work_refused(struct agent *agent, struct work *work, int64_t reason)
{
    work->state = WORK_REFUSED;
    work->reason = reason;
    agent->report_due = 1;
}

static void work_close(struct work *work, int64_t now)
{
    work->closed_absent = work->state == WORK_ABSENT;
    work->state = WORK_CLOSED;
    work->until_ms = now + CLOSED_MS;
}

/* Ordered again although it was settled: reported once more without a call. */
static void work_reopen(struct agent *agent, struct work *work)
{
    work->state = work->closed_absent ? WORK_ABSENT : WORK_REFUSED;
    agent->report_due = 1;
}

/* --- polls ------------------------------------------------------------------- */

/* Returns whether a poll settles the work, which is then dropped. */
static int poll_settles(struct agent *agent, struct work *work, int64_t number, int whole, int64_t now)
{
    struct run_ref run = work_run(work);
    if (work->state == WORK_CLOSED)
        return 0;
    if (run_is_ended(&agent->incarnation.lists, &run))
        return 1;
    if (run_is_active(&agent->incarnation.lists, &run)) {
        if (work->state == WORK_STOPPED && number > work->answered_no &&
            now - work->answered_ms > agent->setup.stop_timeout_ms + RETRY_MOST_MS)
            agent_work_stop(work, now);
        return work->state != WORK_STOP && work->state != WORK_STOPPED;
    }
    if (number <= work->answered_no || !whole)
        return 0;
    if (work->state == WORK_CHECK)
        agent_work_refused(agent, work, REFUSED_OUTDATED);
    if (work->state == WORK_STOPPED) {
        work->state = WORK_ABSENT;
        agent->report_due = 1;
    }
    return work->state == WORK_STARTED;
}

void agent_works_polled(struct agent *agent, int64_t number, int whole, int64_t now)
{
    for (int64_t i = agent->n_works - 1; i >= 0; i--)
        if (poll_settles(agent, &agent->works[i], number, whole, now))
            agent_work_drop(agent, &agent->works[i]);
}

/* Whether the leader may take all runs there to have ended: the lease has expired, or a silent executor's leases have.
 * It may have placed the same tasks again. */
static int lease_given_up(const struct agent *agent, int64_t now)
{
    return now >= agent->grant_until_ms || (agent->incarnation.silent_since_ms && !agent_over_ms(agent, now));
}

/* Withdraws an order to start that must not be carried out any more. */
static void work_withdraw(struct agent *agent, struct work *work, int64_t now)
{
    if (work->state != WORK_START)
        return;
    if (lease_given_up(agent, now)) {
        agent_work_stop(work, now);
        return;
    }
    /* a draining executor gets no starts, not even repeated ones */
    if (work->under_way || !agent->incarnation.state.draining)
        return;
    if (work->doubt)
        agent_work_stop(work, now);
    else
        agent_work_refused(agent, work, REFUSED_NO_CAPACITY);
}

void agent_works_step(struct agent *agent, int64_t now)
{
    for (int64_t i = agent->n_works - 1; i >= 0; i--) {
        struct work *work = &agent->works[i];
        work_withdraw(agent, work, now);
        if (work->state == WORK_CLOSED && now >= work->until_ms)
            agent_work_drop(agent, work);
    }
}

/* --- orders ------------------------------------------------------------- */

static struct work *work_add(struct agent *agent, int64_t job, int64_t task, int64_t attempt, int64_t now)
{
    struct work *work = array_add(agent->works, agent->n_works);
    work->start = (struct run_start){.job = job, .task = task, .attempt = attempt};
    work->doubt = agent_inherits(agent, now);
    work->due_ms = now;
    return work;
}

/* Whether this attempt of the task, or a newer one, is known. */
static int is_outdated(const struct agent *agent, const struct run_start *start)
{
    for (int64_t i = 0; i < agent->n_works; i++) {
        const struct run_start *other = &agent->works[i].start;
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
    for (int64_t i = agent->n_works - 1; i >= 0; i--) {
        struct work *work = &agent->works[i];
        if (work->start.job != start->job || work->start.task != start->task)
            continue;
        if (is_pending(work) && (work->doubt || work->under_way))
            agent_work_stop(work, now);
        else if (is_pending(work))
            agent_work_drop(agent, work);
        else if (work->state == WORK_REFUSED || work->state == WORK_ABSENT)
            work_close(work, now);
    }
}

void agent_order_start(struct agent *agent, const struct run_start *start, int64_t now)
{
    struct work *same = agent_work(agent, start->job, start->task, start->attempt);
    if (same && same->state == WORK_CLOSED) {
        work_reopen(agent, same);
        return;
    }
    if (is_outdated(agent, start))
        return;
    work_supersede(agent, start, now);
    struct work *work = work_add(agent, start->job, start->task, start->attempt, now);
    work->start.text = must_dup(start->text);
    work->start.checkpoint = must_dup(start->checkpoint);
    work_withdraw(agent, work, now);
}

void agent_order_stop(struct agent *agent, const struct run_ref *run, int64_t now)
{
    if (run_is_ended(&agent->incarnation.lists, run))
        return;
    struct work *work = agent_work(agent, run->job, run->task, run->attempt);
    if (!work)
        work = work_add(agent, run->job, run->task, run->attempt, now);
    if (work->state == WORK_STOP || work->state == WORK_STOPPED || work->state == WORK_ABSENT)
        return;
    if (work->state == WORK_CLOSED && work->closed_absent)
        work_reopen(agent, work);
    else
        agent_work_stop(work, now);
}

void agent_end_seen(struct agent *agent, const struct run_ref *run, int64_t now)
{
    struct work *work = agent_work(agent, run->job, run->task, run->attempt);
    if (work && (work->state == WORK_REFUSED || work->state == WORK_ABSENT))
        work_close(work, now);
}

void agent_works_epoch(struct agent *agent)
{
    for (int64_t i = agent->n_works - 1; i >= 0; i--) {
        int64_t state = agent->works[i].state;
        if (state == WORK_START || state == WORK_CHECK || state == WORK_STOP || state == WORK_STOPPED)
            agent_work_drop(agent, &agent->works[i]);
    }
}
