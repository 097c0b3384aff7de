/* Membership of the log after the bootstrap. Controllers with a disk ask to join (FRAME_JOIN) and become learners; the
 * leader makes a learner a voter once it is caught up and a voter is gone or missing. One change at a time. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/events.h"
#include "controller/controller_state.h"

enum {
    GONE_MS = 2500,        /* silence after which a member counts as gone */
    STEP_MS = 200,         /* between two membership steps of the leader */
    JOIN_MS = 300,         /* between two requests to join */
    UNLED_MS = 1500,       /* a member that has heard no leader for so long asks to join again */
    SLEPT_MS = 500,        /* a longer gap between two timers: the process was suspended or its disk blocked it */
    REPAIR_LATE_MS = 3000, /* a membership change that waits for longer raises event 2016 */
    LEARNERS = 2           /* spare learners kept, not counting those at the address of a voter */
};

/* Notes a request to join, at the leader. When the table is full the requester unheard for longest makes room. */
void members_on_join(struct controller *c, const struct join *join)
{
    struct join_request *at = NULL, *oldest = &c->join_requests[0];
    if (!join->zone)
        return;
    for (int64_t i = 0; i < c->n_join_requests; i++) {
        if (c->join_requests[i].heard_ms < oldest->heard_ms)
            oldest = &c->join_requests[i];
        if (c->join_requests[i].join.addr == join->addr)
            at = &c->join_requests[i];
    }
    if (!at)
        at = c->n_join_requests < JOINERS_MAX ? &c->join_requests[c->n_join_requests++] : oldest;
    schema_free(&join_schema, &at->join);
    schema_copy(&join_schema, &at->join, join);
    at->heard_ms = world_ms(c->w);
}

/* Has a process with another identity, so with another disk, asked to join from the member's address since the member
 * itself was last heard? */
static int same_place(struct controller *c, const struct log_member *member)
{
    const struct log_peer *s = log_peer(&c->log, member->id);
    for (int64_t i = 0; s && i < c->n_join_requests; i++) {
        const struct join_request *j = &c->join_requests[i];
        if (j->join.addr == member->addr && j->join.id != member->id && j->heard_ms > s->heard_ms)
            return 1;
    }
    return 0;
}

/* Its acknowledgement is late, but it may still be receiving: heartbeats wait behind a large entry on a slow link, and
 * the queries that its directory sends meanwhile show that it runs. */
static int is_receiving(const struct controller *c, const struct log_member *member, const struct log_peer *peer)
{
    return directory_heard_from(&c->directory, member->addr, GONE_MS) &&
           world_ms(c->w) - peer->heard_ms <= GONE_MS + log_transit_ms(&c->log, peer);
}

/* Does the member count as lost, so that another takes its vote? */
static int is_gone(struct controller *c, const struct log_member *member)
{
    if (member->id == c->id)
        return 0;
    if (same_place(c, member))
        return 1;
    const struct log_peer *peer = log_peer(&c->log, member->id);
    return peer && world_ms(c->w) - peer->heard_ms > GONE_MS && !is_receiving(c, member, peer);
}

static int caught_up(struct controller *c, const struct log_member *member)
{
    return log_caught_up(&c->log, member->id);
}

/* Number of voters in a zone, not counting one of them. */
static int64_t voters_in(const struct controller *c, const char *zone, const struct log_member *without)
{
    int64_t n = 0;
    for (int64_t i = 0; i < c->log.members.n; i++) {
        const struct log_member *m = &c->log.members.members[i];
        n += m != without && log_votes_after_change(m) && !strcmp(m->zone, zone);
    }
    return n;
}

/* May the learner vote in place of gone? At most so many voters stand in one zone that the loss of the configured
 * number of zones leaves a majority. */
static int zone_allows(const struct controller *c, const struct log_member *learner, const struct log_member *gone)
{
    int64_t want = controller_voters_wanted(c, INT64_MAX);
    int64_t most = c->setup.zones_lost ? (want - 1) / 2 / c->setup.zones_lost : want;
    return voters_in(c, learner->zone, gone) < most;
}

/* The learner that should vote next, in place of gone unless that is NULL; from the zone with the fewest voters. */
static const struct log_member *best_learner(struct controller *c, const struct log_member *gone)
{
    const struct log_member *best = NULL;
    for (int64_t i = 0; i < c->log.members.n; i++) {
        const struct log_member *m = &c->log.members.members[i];
        if (m->voter || is_gone(c, m) || !caught_up(c, m) || !zone_allows(c, m, gone))
            continue;
        if (!best || voters_in(c, m->zone, gone) < voters_in(c, best->zone, gone))
            best = m;
    }
    return best;
}

/* Passes the vote of gone to a learner at the same address. Always by an exchange: the old disk may come back, as on a
 * machine that once started without it. Returns 1 if the change was proposed. */
static int replaced_in_place(struct controller *c, const struct log_member *gone)
{
    for (int64_t i = 0; i < c->log.members.n; i++) {
        const struct log_member *m = &c->log.members.members[i];
        if (!m->voter && m->addr == gone->addr && m->id != gone->id && !is_gone(c, m) && caught_up(c, m))
            return !log_exchange(&c->log, gone->id, m->id);
    }
    return 0;
}

/* Adds one controller that asked to join as a learner. */
static void learn_next(struct controller *c, int settled)
{
    struct log *log = &c->log;
    int64_t learners = 0, now_ms = world_ms(c->w);
    for (int64_t i = 0; i < log->members.n; i++)
        learners += !log->members.members[i].voter;
    for (int64_t i = 0; i < c->n_join_requests; i++) {
        const struct join *j = &c->join_requests[i].join;
        int at_voter = 0;
        for (int64_t k = 0; k < log->members.n; k++)
            at_voter |= log_votes_after_change(&log->members.members[k]) && log->members.members[k].addr == j->addr;
        if (log_member(log, j->id) || now_ms - c->join_requests[i].heard_ms > GONE_MS ||
            ((learners >= LEARNERS || !settled) && !at_voter))
            continue;
        log_change_member(log, j->id, j->addr, j->zone, LOG_LEARNER, 0);
        return;
    }
}

/* The voter to replace first, NULL: none is gone. *lost: set to a learner that is gone, if there is one. */
static const struct log_member *gone_voter(struct controller *c, int settled, const struct log_member **lost)
{
    const struct log_member *gone = NULL;
    for (int64_t i = 0; i < c->log.members.n; i++) {
        const struct log_member *m = &c->log.members.members[i];
        int away = settled ? is_gone(c, m) : same_place(c, m);
        if (log_votes_after_change(m) && away && (!gone || same_place(c, m)))
            gone = m;
        else if (settled && !m->voter && away)
            *lost = m;
    }
    return gone;
}

/* Returns 1 once, when the wait for the thing called number exceeds REPAIR_LATE_MS. number 0: nothing is waited for. */
static int overdue(struct repair_wait *wait, int64_t number, int64_t now_ms)
{
    if (wait->number != number)
        *wait = (struct repair_wait){.number = number, .since_ms = now_ms};
    if (!number || wait->told || now_ms - wait->since_ms < REPAIR_LATE_MS)
        return 0;
    wait->told = 1;
    return 1;
}

/* Raises event 2016 for a change that is not committed or a voter that nobody can replace. */
static void tell_waits(struct controller *c, int settled)
{
    struct log *log = &c->log;
    const struct log_member *lost = NULL, *gone = gone_voter(c, settled, &lost);
    int64_t now_ms = world_ms(c->w), uncommitted = log->members_index > log->commit ? log->members_index : 0;
    if (overdue(&c->waits_commit, uncommitted, now_ms))
        world_note(c->w, EV_REPAIR_WAITS, "log=%s uncommitted=%lld", log->name, (long long)uncommitted);
    if (overdue(&c->waits_learner, gone ? gone->id : 0, now_ms))
        world_note(c->w, EV_REPAIR_WAITS, "log=%s gone=%s", log->name, addr_text((uint64_t)gone->addr));
}

/* Proposes at most one membership change. settled 0: this leader was elected or resumed too recently to judge others by
 * their silence, so only voters whose address has another identity by now are replaced. */
static void step(struct controller *c, int settled)
{
    struct log *log = &c->log;
    const struct log_member *lost = NULL, *gone, *learner;
    int64_t voters = 0, want = controller_voters_wanted(c, INT64_MAX);
    if (log_finish_exchange(log) != ERROR_NOT_FOUND)
        return;
    gone = gone_voter(c, settled, &lost);
    for (int64_t i = 0; i < log->members.n; i++)
        voters += log_votes_after_change(&log->members.members[i]);
    if (lost) {
        log_change_member(log, lost->id, lost->addr, NULL, 0, 1);
        return;
    }
    if (gone && replaced_in_place(c, gone))
        return;
    if (!settled) {
        learn_next(c, settled);
        return;
    }
    learner = best_learner(c, gone);
    if (gone && learner && voters <= want) {
        log_exchange(log, gone->id, learner->id);
        return;
    }
    if (!gone && learner && voters < want) {
        log_change_member(log, learner->id, learner->addr, learner->zone, LOG_VOTER, 0);
        return;
    }
    if (gone && voters > want) {
        log_change_member(log, gone->id, gone->addr, NULL, 0, 1);
        return;
    }
    learn_next(c, settled);
}

/* Asks the leader to become a member, unless this controller is one that is led. */
static void request_to_join(struct controller *c)
{
    int64_t now_ms = world_ms(c->w);
    int led = c->log.role == LOG_LEADER || now_ms - c->log.heard_leader_ms < UNLED_MS;
    struct join join = {.id = c->id, .addr = (int64_t)c->w->self, .zone = c->zone};
    if ((log_member(&c->log, c->id) && led) || now_ms < c->next_join_ms)
        return;
    c->next_join_ms = now_ms + JOIN_MS;
    int64_t leader = directory_leader(&c->directory);
    if (leader && leader != join.addr)
        controller_send(c, leader, FRAME_JOIN, &join_schema, &join);
}

void members_on_timer(struct controller *c)
{
    int64_t now_ms = world_ms(c->w);
    /* a suspended process hears nobody: silence counts from when it resumed */
    if (now_ms - c->timer_ms > SLEPT_MS)
        c->awake_ms = now_ms;
    c->timer_ms = now_ms;
    request_to_join(c);
    if (c->log.role != LOG_LEADER)
        c->waits_learner = c->waits_commit = (struct repair_wait){0};
    if (c->log.role != LOG_LEADER || now_ms < c->next_step_ms)
        return;
    c->next_step_ms = now_ms + STEP_MS;
    int settled = now_ms - c->log.leader_since_ms > GONE_MS && now_ms - c->awake_ms > GONE_MS;
    if (!c->log.handed_over_ms)
        step(c, settled);
    tell_waits(c, settled);
}

void members_end(struct controller *c)
{
    for (int64_t i = 0; i < c->n_join_requests; i++)
        schema_free(&join_schema, &c->join_requests[i].join);
}
