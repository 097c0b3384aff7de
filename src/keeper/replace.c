/* Replaces lost keepers: a new keeper joins each log as a learner and gets the vote of a lost voter once it has caught
 * up. Each log makes one change at a time. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "keeper/keeper.h"

enum { LOST_MS = 3000, CHECK_INTERVAL_MS = 200, VOTERS = 3 };

/* Keeps the newest requests to join. A new identity at a known address replaces the former one there. */
void replace_on_join(struct keeper *keeper, const struct join *join)
{
    for (int64_t i = 0; i < keeper->n_joiners; i++) {
        if (keeper->joiners[i].addr != join->addr)
            continue;
        keeper->joiners[i].id = join->id;
        return;
    }
    if (keeper->n_joiners == COUNT_OF(keeper->joiners)) {
        free(keeper->joiners[0].zone);
        memmove(keeper->joiners, keeper->joiners + 1, sizeof keeper->joiners[0] * (size_t)--keeper->n_joiners);
    }
    keeper->joiners[keeper->n_joiners++] =
        (struct join){.id = join->id, .addr = join->addr, .zone = must_dup(join->zone)};
}

/* 1 if a keeper with another identity has asked to join from the address of the member. */
static int is_address_reused(const struct keeper *keeper, const struct log_member *member)
{
    for (int64_t i = 0; i < keeper->n_joiners; i++)
        if (keeper->joiners[i].addr == member->addr && keeper->joiners[i].id != member->id)
            return 1;
    return 0;
}

/* A member is lost if its address belongs to another identity now, or if it has sent nothing for LOST_MS and is not
 * live among the peers. */
static int is_lost(struct keeper *keeper, struct log *log, const struct log_member *member)
{
    if (member->id == keeper->id)
        return 0;
    if (is_address_reused(keeper, member))
        return 1;
    struct log_peer *peer = log_peer(log, member->id);
    return peer && world_ms(keeper->world) - peer->heard_ms > LOST_MS && !peers_live(&keeper->peers, member->addr, 0);
}

static int caught_up(struct log *log, const struct log_member *member) { return log_caught_up(log, member->id); }

/* Starts the next change of the members of one log, if one is needed. */
static void change_members(struct keeper *keeper, struct log *log)
{
    const struct log_member *lost_voter = NULL, *learner = NULL, *lost_learner = NULL;
    int64_t voters = 0;
    if (log_finish_exchange(log) != ERROR_NOT_FOUND)
        return;
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *member = &log->members.members[i];
        voters += log_votes_after_change(member);
        if (log_votes_after_change(member) && is_lost(keeper, log, member))
            lost_voter = member;
        else if (!member->voter && is_lost(keeper, log, member))
            lost_learner = member;
        else if (!member->voter && caught_up(log, member))
            learner = member;
    }
    if (lost_learner) {
        log_change_member(log, lost_learner->id, lost_learner->addr, NULL, 0, 1);
        return;
    }
    for (int64_t i = 0; lost_voter && i < log->members.n; i++) {
        const struct log_member *member = &log->members.members[i];
        if (!member->voter && member->addr == lost_voter->addr && member->id != lost_voter->id &&
            !is_lost(keeper, log, member) && caught_up(log, member)) {
            log_exchange(log, lost_voter->id, member->id); /* not log_replace(): the lost disk may come back */
            return;
        }
    }
    if (learner && lost_voter && voters == VOTERS) {
        log_exchange(log, lost_voter->id, learner->id);
        return;
    }
    if (learner && voters < VOTERS) {
        log_change_member(log, learner->id, learner->addr, learner->zone, 1, 0);
        return;
    }
    if (lost_voter && voters > VOTERS) {
        log_change_member(log, lost_voter->id, lost_voter->addr, NULL, 0, 1);
        return;
    }
    for (int64_t i = 0; i < keeper->n_joiners; i++) {
        const struct join *join = &keeper->joiners[i];
        if (!log_member(log, join->id) && peers_live(&keeper->peers, join->addr, 0)) {
            log_change_member(log, join->id, join->addr, join->zone, 0, 0);
            return;
        }
    }
}

void replace_on_timer(struct keeper *keeper)
{
    int64_t now_ms = world_ms(keeper->world);
    if (now_ms < keeper->member_due_ms)
        return;
    keeper->member_due_ms = now_ms + CHECK_INTERVAL_MS;
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        if (keeper->logs[g].role == LOG_LEADER && now_ms - keeper->logs[g].leader_since_ms > LOST_MS)
            change_members(keeper, &keeper->logs[g]);
}
