/* Executors that take orders in the responses to their heartbeats and are not called. A heartbeat is taken as the
 * response to a poll that was sent with the response to the heartbeat before it, and its own response carries what
 * calls would. */
#include <stdlib.h>

#include "agent/agent_state.h"

/* Whether the executor took the response to the heartbeat before this one. A late one is uncertain: the executor may
 * have stopped waiting for it, or this process was suspended and finds several heartbeats at once. */
static int response_counted(const struct agent_beat *beat, int64_t clock_ms, int64_t now)
{
    if (!beat->answered || beat->answered_ms - beat->taken_ms >= BEAT_PROMPT_MS)
        return 0;
    int64_t gap_ms = clock_ms - beat->clock_ms;
    return gap_ms < BEAT_PROMPT_MS || now - beat->taken_ms >= gap_ms * 80 / 100;
}

/* Counts what was sent in the response that this heartbeat follows. */
static void works_sent(struct agent *agent, int counts, int64_t now)
{
    for (int64_t i = 0; i < agent->n_works; i++) {
        struct work *work = &agent->works[i];
        if (work->sent && counts) {
            work->sent_count++;
            work->due_ms = work->state == WORK_START ? now + START_AGAIN_MS : now;
        }
        work->sent = 0;
        if (work->state != WORK_STOP || work->sent_count < STOP_SENDS)
            continue;
        work->state = WORK_STOPPED;
        work->answered_no = agent->number - 1;
        work->answered_ms = now;
    }
}

static void works_stop_refused(struct agent *agent, int64_t now)
{
    for (int64_t i = 0; i < agent->n_works; i++)
        if (agent->works[i].state == WORK_START && agent->works[i].sent_count >= START_SENDS)
            agent_work_stop(&agent->works[i], now);
}

/* How long the response may wait for orders. */
static int64_t open_ms(const struct agent *agent)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    if (agent->leaving)
        return 0;
    return agent->epoch &&
                   (incarnation->lists.n_active || incarnation->lists.n_ended || agent->n_works || incarnation->left)
               ? BEAT_OPEN_MS
               : BEAT_IDLE_MS;
}

void agent_beat_taken(struct agent *agent, int64_t slot, struct heartbeat_report *account, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    agent_beat_close(agent);
    int counts = response_counted(&incarnation->beat, account->clock_ms, now);
    int whole = account->lists.n_ended < ENDED_MOST;
    int current = counts && incarnation->beat.epoch == agent->epoch;
    if (counts && incarnation->beat.seen > incarnation->seen_sent)
        incarnation->seen_sent = incarnation->beat.seen;
    incarnation->silent_since_ms = incarnation->left_silent_ms = 0;
    agent_clock_received(agent, account->clock_ms, now);
    works_sent(agent, current, now);
    agent_lists_take(agent, &account->lists);
    if (current && !incarnation->ready)
        incarnation->ready = agent->report_due = 1;
    agent_works_polled(agent, agent->number, whole, now);
    works_stop_refused(agent, now);
    incarnation->beat = (struct agent_beat){
        .open = 1, .slot = slot, .clock_ms = account->clock_ms, .taken_ms = now, .due_ms = now + open_ms(agent)};
}

void agent_beat_close(struct agent *agent)
{
    if (agent->incarnation.beat.open)
        agent->world->calls->answer(agent->world, agent->incarnation.beat.slot, 200, 0, "{}");
    agent->incarnation.beat.open = 0;
}

/* --- responses -------------------------------------------------------------- */

/* The longest lease that can be given. It begins when the executor takes the response, and must end before the leader's
 * grant. An executor whose clock is not known gets none: its end could not be known. */
static int64_t best_hold(const struct agent *agent, int64_t now)
{
    if (agent->incarnation.beat.clock_ms < 0)
        return 0;
    int64_t taken_ms = agent->incarnation.beat.taken_ms + HEARTBEAT_RESPONSE_MAX_MS;
    int64_t hold = (agent->grant_until_ms - (taken_ms > now ? taken_ms : now)) * SLOW_PCT / 100;
    return hold < 0 ? 0 : hold < agent->setup.hold_max_ms ? hold : agent->setup.hold_max_ms;
}

static int may_start(const struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    return incarnation->ready && !incarnation->state.draining && !incarnation->left &&
           best_hold(agent, now) >= START_LEAST_MS;
}

static int sends_now(const struct work *work, int64_t starts, int64_t now)
{
    return now >= work->due_ms && (work->state == WORK_STOP || (work->state == WORK_START && starts));
}

static int is_due(const struct agent *agent, int64_t now)
{
    int64_t starts = may_start(agent, now);
    if (now >= agent->incarnation.beat.due_ms || !agent->incarnation.ready ||
        agent->incarnation.seen > agent->incarnation.seen_sent)
        return 1;
    for (int64_t i = 0; i < agent->n_works; i++)
        if (sends_now(&agent->works[i], starts, now))
            return 1;
    return 0;
}

static void beat_respond(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    struct heartbeat_orders orders = {.epoch = agent->epoch, .seen = incarnation->seen, .retry_ms = BEAT_RETRY_MS};
    const struct run_start **runs = must_alloc(sizeof *runs * 2 * ((size_t)agent->n_works + 1));
    int64_t starts = may_start(agent, now);
    orders.starts = runs;
    orders.stops = runs + agent->n_works;
    for (int64_t i = 0; i < agent->n_works; i++) {
        struct work *work = &agent->works[i];
        if (!sends_now(work, starts, now))
            continue;
        work->sent = 1;
        if (work->state == WORK_STOP) {
            orders.stops[orders.n_stops++] = &work->start;
        } else {
            orders.starts[orders.n_starts++] = &work->start;
            work->doubt = 1;
        }
    }
    if (!incarnation->left && incarnation->ready && (incarnation->lists.n_active || orders.n_starts))
        orders.hold_ms = best_hold(agent, now);
    if (orders.hold_ms &&
        incarnation->beat.clock_ms + HEARTBEAT_RESPONSE_MAX_MS + orders.hold_ms > incarnation->sent_expiry_ms)
        incarnation->sent_expiry_ms = incarnation->beat.clock_ms + HEARTBEAT_RESPONSE_MAX_MS + orders.hold_ms;
    char *body = agent->setup.executor_codec->heartbeat_response(&orders);
    agent->number++;
    agent->world->calls->answer(agent->world, incarnation->beat.slot, 200, 0, body);
    free(body);
    free(runs);
    incarnation->beat.open = 0;
    incarnation->beat.answered = 1;
    incarnation->beat.answered_ms = now;
    incarnation->beat.epoch = agent->epoch;
    incarnation->beat.seen = incarnation->seen;
    /* the next process of this agent takes over what runs */
    if (agent->last_poll_due_ms && !agent->last_poll_sent) {
        agent->last_poll_sent = agent->number;
        agent->last_poll_due_ms = now + LAST_POLL_LINGER_MS - LAST_POLL_MS;
    }
}

void agent_beat_step(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (!incarnation->present)
        return;
    const struct agent_beat *beat = &incarnation->beat;
    if (beat->open) {
        if (agent->epoch && is_due(agent, now))
            beat_respond(agent, now);
        else if (now >= beat->due_ms)
            agent_beat_close(agent);
        return;
    }
    int64_t last_ms = beat->answered ? beat->answered_ms : beat->taken_ms;
    if (incarnation->left && !incarnation->left_silent_ms && now - incarnation->left_ms >= HEARTBEAT_RESPONSE_MAX_MS &&
        beat->taken_ms <= incarnation->left_ms)
        incarnation->left_silent_ms = incarnation->left_ms;
    if (!incarnation->silent_since_ms && beat->answered && now - last_ms >= BEAT_RETRY_MS + BEAT_SILENT_MS)
        incarnation->silent_since_ms = last_ms;
}
