/* Membership of the log after the bootstrap. Controllers with a disk ask to join (FRAME_JOIN) and become learners. The
 * leader makes a caught-up learner a voter when a voter has failed or there are too few voters. It makes one change at
 * a time. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/events.h"
#include "controller/controller_state.h"
#include "controller/voter_zones.h"

enum {
    FAILED_AFTER_MS = 2500, /* silence after which a member counts as failed */
    STEP_MS = 200,          /* between two membership steps of the leader */
    JOIN_MS = 300,          /* between two requests to join */
    NO_LEADER_MS = 1500,    /* time without a leader after which a member asks to join again */
    SUSPENDED_MS = 500,     /* a longer gap between two timers means that the process was suspended or blocked by I/O */
    REPAIR_LATE_MS = 3000,  /* event 2016 is raised for a membership change that waits longer than this */
    SPARE_LEARNERS = 2      /* learners from any zone, not counting those at the address of a voter */
};

typedef int member_check(struct controller *controller, const struct log_member *member);

/* Records a request to join, at the leader. If the table is full, the oldest request is replaced. */
void members_on_join(struct controller *controller, const struct join *join)
{
    struct join_request *entry = NULL, *oldest = &controller->join_requests[0];
    if (!join->zone)
        return;
    for (int64_t i = 0; i < controller->n_join_requests; i++) {
        if (controller->join_requests[i].heard_ms < oldest->heard_ms)
            oldest = &controller->join_requests[i];
        if (controller->join_requests[i].join.addr == join->addr)
            entry = &controller->join_requests[i];
    }
    if (!entry)
        entry = controller->n_join_requests < JOIN_REQUESTS_MAX
                    ? &controller->join_requests[controller->n_join_requests++]
                    : oldest;
    schema_free(&join_schema, &entry->join);
    schema_copy(&join_schema, &entry->join, join);
    entry->heard_ms = world_ms(controller->w);
}

/* Whether a process with another identity, which means another disk, has asked to join from the member's address since
 * the member itself was last heard. */
static int is_replaced_at_address(struct controller *controller, const struct log_member *member)
{
    const struct log_peer *peer = log_peer(&controller->log, member->id);
    for (int64_t i = 0; peer && i < controller->n_join_requests; i++) {
        const struct join_request *request = &controller->join_requests[i];
        if (request->join.addr == member->addr && request->join.id != member->id && request->heard_ms > peer->heard_ms)
            return 1;
    }
    return 0;
}

/* Whether a member whose acknowledgement is late may still be receiving entries. Heartbeats wait behind a large entry
 * on a slow link; the queries that the member's directory sends meanwhile show that the member is running. */
static int is_receiving(const struct controller *controller, const struct log_member *member,
                        const struct log_peer *peer)
{
    return directory_heard_from(&controller->directory, member->addr, FAILED_AFTER_MS) &&
           world_ms(controller->w) - peer->heard_ms <= FAILED_AFTER_MS + log_transit_ms(&controller->log, peer);
}

/* Whether the member counts as failed, so that a learner takes over its vote. */
static int is_failed(struct controller *controller, const struct log_member *member)
{
    if (member->id == controller->id)
        return 0;
    if (is_replaced_at_address(controller, member))
        return 1;
    const struct log_peer *peer = log_peer(&controller->log, member->id);
    return peer && world_ms(controller->w) - peer->heard_ms > FAILED_AFTER_MS &&
           !is_receiving(controller, member, peer);
}

static int is_caught_up(struct controller *controller, const struct log_member *member)
{
    return log_caught_up(&controller->log, member->id);
}

static int64_t zone_limit(const struct controller *controller)
{
    return voter_zones_limit(controller_voters_wanted(controller, INT64_MAX), controller->setup.zones_lost);
}

/* Whether a voter from this zone may replace former, or be added if former is NULL. */
static int zone_allows(const struct controller *controller, const char *zone, const struct log_member *former)
{
    const struct log_members *members = &controller->log.members;
    if (former)
        return voter_zones_may_replace(members, zone, former, zone_limit(controller));
    return voter_zones_count(members, zone, NULL) < zone_limit(controller);
}

/* Returns the learner that should become a voter next, from the zone with the fewest voters; NULL: none. former: the
 * voter that it replaces, or NULL. */
static const struct log_member *best_learner(struct controller *controller, const struct log_member *former)
{
    const struct log_members *members = &controller->log.members;
    const struct log_member *best = NULL;
    for (int64_t i = 0; i < members->n; i++) {
        const struct log_member *member = &members->members[i];
        if (member->voter || is_failed(controller, member) || !is_caught_up(controller, member) ||
            !zone_allows(controller, member->zone, former))
            continue;
        if (!best || voter_zones_count(members, member->zone, former) < voter_zones_count(members, best->zone, former))
            best = member;
    }
    return best;
}

/* Returns the learner at the address of the voter; NULL: none, or it has failed or is not caught up. */
static const struct log_member *learner_at_address(struct controller *controller, const struct log_member *voter)
{
    for (int64_t i = 0; i < controller->log.members.n; i++) {
        const struct log_member *member = &controller->log.members.members[i];
        if (!member->voter && member->addr == voter->addr && member->id != voter->id &&
            !is_failed(controller, member) && is_caught_up(controller, member))
            return member;
    }
    return NULL;
}

/* Passes the vote of a failed voter to a learner that find_learner() returns. A voter without one keeps no other from
 * being replaced. Uses an exchange, since the old disk may come back, as on a machine that was once started without it.
 * Returns 1 if the change was proposed. */
static int replace_failed_voter(struct controller *controller, member_check *has_failed,
                                const struct log_member *(*find_learner)(struct controller *controller,
                                                                         const struct log_member *voter))
{
    for (int64_t i = 0; i < controller->log.members.n; i++) {
        const struct log_member *voter = &controller->log.members.members[i];
        if (!log_votes_after_change(voter) || !has_failed(controller, voter))
            continue;
        const struct log_member *learner = find_learner(controller, voter);
        if (learner)
            return !log_exchange(&controller->log, voter->id, learner->id);
    }
    return 0;
}

/* Whether a learner that has not failed may replace the voter. */
static int has_successor(struct controller *controller, const struct log_member *voter)
{
    for (int64_t i = 0; i < controller->log.members.n; i++) {
        const struct log_member *member = &controller->log.members.members[i];
        if (!member->voter && !is_failed(controller, member) && zone_allows(controller, member->zone, voter))
            return 1;
    }
    return 0;
}

/* Whether a learner from this zone could replace a voter that no present learner may replace. */
static int is_only_successor(struct controller *controller, const char *zone)
{
    for (int64_t i = 0; i < controller->log.members.n; i++) {
        const struct log_member *voter = &controller->log.members.members[i];
        if (log_votes_after_change(voter) && zone_allows(controller, zone, voter) && !has_successor(controller, voter))
            return 1;
    }
    return 0;
}

static int is_voter_address(const struct controller *controller, int64_t addr)
{
    for (int64_t i = 0; i < controller->log.members.n; i++) {
        const struct log_member *member = &controller->log.members.members[i];
        if (log_votes_after_change(member) && member->addr == addr)
            return 1;
    }
    return 0;
}

/* Adds one of the controllers that asked to join, as a learner: at the address of a voter, among the first
 * SPARE_LEARNERS, or if it could replace a voter that no other learner may replace. */
static void add_learner(struct controller *controller, int detects_failures)
{
    struct log *log = &controller->log;
    int64_t learners = 0, now_ms = world_ms(controller->w);
    for (int64_t i = 0; i < log->members.n; i++)
        learners += !log->members.members[i].voter;
    for (int64_t i = 0; i < controller->n_join_requests; i++) {
        const struct join *request = &controller->join_requests[i].join;
        if (log_member(log, request->id) || now_ms - controller->join_requests[i].heard_ms > FAILED_AFTER_MS)
            continue;
        int is_spare = detects_failures && (learners < SPARE_LEARNERS || is_only_successor(controller, request->zone));
        if (!is_spare && !is_voter_address(controller, request->addr))
            continue;
        log_change_member(log, request->id, request->addr, request->zone, LOG_LEARNER, 0);
        return;
    }
}

/* Returns a failed voter; NULL: no voter has failed. *failed_learner is set to a failed learner, if there is one. */
static const struct log_member *failed_voter(struct controller *controller, int detects_failures,
                                             const struct log_member **failed_learner)
{
    const struct log_member *failed = NULL;
    for (int64_t i = 0; i < controller->log.members.n; i++) {
        const struct log_member *member = &controller->log.members.members[i];
        int member_failed =
            detects_failures ? is_failed(controller, member) : is_replaced_at_address(controller, member);
        if (log_votes_after_change(member) && member_failed && (!failed || is_replaced_at_address(controller, member)))
            failed = member;
        else if (detects_failures && !member->voter && member_failed)
            *failed_learner = member;
    }
    return failed;
}

/* Returns 1 once, when the wait identified by number exceeds REPAIR_LATE_MS. number 0: nothing is waited for. */
static int becomes_overdue(struct repair_wait *wait, int64_t number, int64_t now_ms)
{
    if (wait->number != number)
        *wait = (struct repair_wait){.number = number, .since_ms = now_ms};
    if (!number || wait->reported || now_ms - wait->since_ms < REPAIR_LATE_MS)
        return 0;
    wait->reported = 1;
    return 1;
}

/* Raises event 2016 for a membership change that is not committed, or for a failed voter that no learner can replace.
 */
static void report_waits(struct controller *controller, int detects_failures)
{
    struct log *log = &controller->log;
    const struct log_member *failed_learner = NULL,
                            *failed = failed_voter(controller, detects_failures, &failed_learner);
    int64_t now_ms = world_ms(controller->w), uncommitted = log->members_index > log->commit ? log->members_index : 0;
    if (becomes_overdue(&controller->commit_wait, uncommitted, now_ms))
        world_note(controller->w, EV_REPAIR_WAITS, "log=%s uncommitted=%lld", log->name, (long long)uncommitted);
    if (becomes_overdue(&controller->learner_wait, failed ? failed->id : 0, now_ms))
        world_note(controller->w, EV_REPAIR_WAITS, "log=%s gone=%s", log->name, addr_text((uint64_t)failed->addr));
}

/* Proposes at most one membership change. detects_failures 0: this leader was elected or resumed too recently to detect
 * failures by silence, so it replaces only voters whose address is used by another identity now. */
static void change_membership(struct controller *controller, int detects_failures)
{
    struct log *log = &controller->log;
    const struct log_member *failed_learner = NULL, *failed, *learner;
    int64_t voters = 0, wanted = controller_voters_wanted(controller, INT64_MAX);
    if (log_finish_exchange(log) != ERROR_NOT_FOUND)
        return;
    failed = failed_voter(controller, detects_failures, &failed_learner);
    for (int64_t i = 0; i < log->members.n; i++)
        voters += log_votes_after_change(&log->members.members[i]);
    if (failed_learner) {
        log_change_member(log, failed_learner->id, failed_learner->addr, NULL, 0, 1);
        return;
    }
    if (replace_failed_voter(controller, detects_failures ? is_failed : is_replaced_at_address, learner_at_address))
        return;
    if (!detects_failures) {
        add_learner(controller, detects_failures);
        return;
    }
    if (voters <= wanted && replace_failed_voter(controller, is_failed, best_learner))
        return;
    learner = failed ? NULL : best_learner(controller, NULL);
    if (learner && voters < wanted) {
        log_change_member(log, learner->id, learner->addr, learner->zone, LOG_VOTER, 0);
        return;
    }
    if (failed && voters > wanted) {
        log_change_member(log, failed->id, failed->addr, NULL, 0, 1);
        return;
    }
    add_learner(controller, detects_failures);
}

/* Asks the leader to become a member, unless this controller is a member and has a leader. */
static void request_to_join(struct controller *controller)
{
    int64_t now_ms = world_ms(controller->w);
    int has_leader = controller->log.role == LOG_LEADER || now_ms - controller->log.heard_leader_ms < NO_LEADER_MS;
    struct join join = {.id = controller->id, .addr = (int64_t)controller->w->self, .zone = controller->zone};
    if ((log_member(&controller->log, controller->id) && has_leader) || now_ms < controller->next_join_ms)
        return;
    controller->next_join_ms = now_ms + JOIN_MS;
    int64_t leader = directory_leader(&controller->directory);
    if (leader && leader != join.addr)
        controller_send(controller, leader, FRAME_JOIN, &join_schema, &join);
}

void members_on_timer(struct controller *controller)
{
    int64_t now_ms = world_ms(controller->w);
    /* a suspended process receives nothing, so silence is measured from when it resumed */
    if (now_ms - controller->last_timer_ms > SUSPENDED_MS)
        controller->running_since_ms = now_ms;
    controller->last_timer_ms = now_ms;
    request_to_join(controller);
    if (controller->log.role != LOG_LEADER)
        controller->learner_wait = controller->commit_wait = (struct repair_wait){0};
    if (controller->log.role != LOG_LEADER || now_ms < controller->next_step_ms)
        return;
    controller->next_step_ms = now_ms + STEP_MS;
    int detects_failures = now_ms - controller->log.leader_since_ms > FAILED_AFTER_MS &&
                           now_ms - controller->running_since_ms > FAILED_AFTER_MS;
    if (!controller->log.handed_over_ms)
        change_membership(controller, detects_failures);
    report_waits(controller, detects_failures);
}

void members_end(struct controller *controller)
{
    for (int64_t i = 0; i < controller->n_join_requests; i++)
        schema_free(&join_schema, &controller->join_requests[i].join);
}
