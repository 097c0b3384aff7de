/* Keepers that come later: learners first, voters once they hold the log and a
 * voter is gone for good, one change at a time in each log. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "keeper/keeper.h"

enum { GONE_MS = 3000, STEP_MS = 200, VOTERS = 3 };

/* The leader notes who asks; the same address under a new identity is a new one. */
void replace_on_join(struct keeper *k, const struct join *join)
{
    for (int64_t i = 0; i < k->n_joiners; i++) {
        if (k->joiners[i].addr != join->addr)
            continue;
        k->joiners[i].id = join->id;
        return;
    }
    if (k->n_joiners == COUNT_OF(k->joiners)) {
        free(k->joiners[0].zone);
        memmove(k->joiners, k->joiners + 1, sizeof k->joiners[0] * (size_t)--k->n_joiners);
    }
    k->joiners[k->n_joiners++] = (struct join){.id = join->id, .addr = join->addr, .zone = must_dup(join->zone)};
}

static int same_place(const struct keeper *k, const struct log_member *member)
{
    for (int64_t i = 0; i < k->n_joiners; i++)
        if (k->joiners[i].addr == member->addr && k->joiners[i].id != member->id)
            return 1;
    return 0;
}

/* Gone: its address answers under another identity, or it is long unheard. */
static int is_gone(struct keeper *k, struct log *log, const struct log_member *member)
{
    if (member->id == k->id)
        return 0;
    if (same_place(k, member))
        return 1;
    struct log_peer *s = log_peer(log, member->id);
    return s && world_ms(k->w) - s->heard_ms > GONE_MS && !peers_live(&k->peers, member->addr, 0);
}

static int caught_up(struct log *log, const struct log_member *member) { return log_caught_up(log, member->id); }

static void step(struct keeper *k, struct log *log)
{
    const struct log_member *gone = NULL, *learner = NULL, *lost = NULL;
    int64_t voters = 0;
    if (log_finish_exchange(log) != ERROR_NOT_FOUND)
        return;
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        voters += log_votes_after_change(m);
        if (log_votes_after_change(m) && is_gone(k, log, m))
            gone = m;
        else if (!m->voter && is_gone(k, log, m))
            lost = m;
        else if (!m->voter && caught_up(log, m))
            learner = m;
    }
    if (lost) {
        log_change_member(log, lost->id, lost->addr, NULL, 0, 1);
        return;
    }
    for (int64_t i = 0; gone && i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        if (!m->voter && m->addr == gone->addr && m->id != gone->id && !is_gone(k, log, m) && caught_up(log, m)) {
            log_exchange(log, gone->id, m->id); /* its disk may come back */
            return;
        }
    }
    if (learner && gone && voters == VOTERS) {
        log_exchange(log, gone->id, learner->id);
        return;
    }
    if (learner && voters < VOTERS) {
        log_change_member(log, learner->id, learner->addr, learner->zone, 1, 0);
        return;
    }
    if (gone && voters > VOTERS) {
        log_change_member(log, gone->id, gone->addr, NULL, 0, 1);
        return;
    }
    for (int64_t i = 0; i < k->n_joiners; i++) {
        const struct join *j = &k->joiners[i];
        if (!log_member(log, j->id) && peers_live(&k->peers, j->addr, 0)) {
            log_change_member(log, j->id, j->addr, j->zone, 0, 0);
            return;
        }
    }
}

void replace_on_timer(struct keeper *k)
{
    int64_t now_ms = world_ms(k->w);
    if (now_ms < k->member_due_ms)
        return;
    k->member_due_ms = now_ms + STEP_MS;
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        if (k->logs[g].role == LOG_LEADER && now_ms - k->logs[g].leader_since_ms > GONE_MS)
            step(k, &k->logs[g]);
}
