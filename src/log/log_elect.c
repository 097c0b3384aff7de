/* Elections: terms, pre-votes, votes, and the hand-over of leadership. */
#include "base/events.h"
#include "base/error.h"
#include "log/log.h"

void log_election_reset(struct log *log)
{
    log->election_due_ms = world_ms(log->w) + log->settings.election_ms +
                           (int64_t)(world_random(log->w) % (uint64_t)log->settings.election_ms);
}

/* Invariant: a higher term is synced, without a vote, before any frame is sent in it. */
void log_become_follower(struct log *log, int64_t term, int64_t leader_id)
{
    const struct log_member *leader = log_member(log, leader_id);
    if (log->role == LOG_LEADER || (leader_id && leader_id != log->leader_id))
        world_note(log->w, EV_FOLLOWER, "log=%s term=%lld leader=%s", log->name, (long long)term,
                   leader ? addr_text((uint64_t)leader->addr) : "none");
    if (term > log->term) {
        log->term = term;
        log->vote = 0;
        log_store_vote(log);
        log_store_sync(log);
    }
    if (log->role == LOG_LEADER)
        log_election_reset(log);
    log->role = LOG_FOLLOWER;
    log->leader_id = leader_id;
    log->leader_addr = leader ? leader->addr : 0;
}

static int has_granted_vote(const struct log *log, int64_t id, int64_t unused)
{
    (void)unused;
    for (int64_t i = 0; i < log->n_votes; i++)
        if (log->votes[i] == id)
            return 1;
    return 0;
}

static void count_votes(struct log *log, int transfer)
{
    if (!log_quorum(log, has_granted_vote, 0))
        return;
    if (log->role == LOG_PRE_CANDIDATE)
        log_request_votes(log, 0, transfer);
    else
        log_become_leader(log);
}

void log_request_votes(struct log *log, int pre, int transfer)
{
    log->role = pre ? LOG_PRE_CANDIDATE : LOG_CANDIDATE;
    log->leader_id = log->leader_addr = 0;
    if (!pre) {
        log->term++;
        log->vote = log->id;
        log_store_vote(log);
        if (log_store_sync(log))
            return;
    }
    log->n_votes = 1;
    log->votes[0] = log->id;
    struct log_vote_request request = {.group = log->group,
                                       .term = log->term + (pre ? 1 : 0),
                                       .from = log->id,
                                       .last_index = log_last(log),
                                       .last_term = log_term_at(log, log_last(log)),
                                       .pre = pre,
                                       .transfer = transfer};
    for (int64_t i = 0; i < log->members.n; i++) {
        request.to = log->members.members[i].id;
        if (request.to != log->id && log_is_voter(log, request.to))
            log_send(log, request.to, FRAME_VOTE_REQUEST, &log_vote_request_schema, &request);
    }
    log_election_reset(log);
    count_votes(log, transfer);
}

void log_on_vote_request(struct log *log, const struct log_vote_request *request)
{
    int64_t now_ms = world_ms(log->w);
    int leader_heard =
        log->role == LOG_LEADER || (log->leader_id && now_ms - log->heard_leader_ms < log->settings.election_ms);
    int64_t last_term = log_term_at(log, log_last(log));
    int up_to_date =
        request->last_term > last_term || (request->last_term == last_term && request->last_index >= log_last(log));
    struct log_vote vote = {.group = log->group, .from = log->id, .to = request->from, .pre = request->pre};
    /* a candidate that merely lost contact must not depose a leader that is still heard here */
    if ((leader_heard || now_ms < log->no_vote_before_ms) && !request->transfer)
        return;
    if (request->pre) {
        vote.granted = request->term > log->term && up_to_date;
        vote.term = vote.granted ? request->term : log->term;
        log_send(log, request->from, FRAME_VOTE, &log_vote_schema, &vote);
        return;
    }
    if (request->term > log->term)
        log_become_follower(log, request->term, 0);
    vote.term = log->term;
    if (request->term == log->term && up_to_date && (!log->vote || log->vote == request->from)) {
        log->vote = request->from;
        log_store_vote(log);
        if (log_store_sync(log))
            return;
        vote.granted = 1;
        log_election_reset(log);
    }
    log_send(log, request->from, FRAME_VOTE, &log_vote_schema, &vote);
}

void log_on_vote(struct log *log, const struct log_vote *vote)
{
    if (!vote->granted) {
        if (vote->term > log->term)
            log_become_follower(log, vote->term, 0);
        return;
    }
    if (vote->pre != (log->role == LOG_PRE_CANDIDATE) || (!vote->pre && log->role != LOG_CANDIDATE) ||
        vote->term != log->term + (vote->pre ? 1 : 0) || log->n_votes >= COUNT_OF(log->votes) ||
        has_granted_vote(log, vote->from, 0))
        return;
    log->votes[log->n_votes++] = vote->from;
    count_votes(log, 0);
}

int log_hand_over(struct log *log)
{
    struct log_peer *best = NULL;
    /* while this leader was blocked by slow syncs it could not handle replies: allow for that time */
    int64_t blocked_ms = log->slow_syncs ? 4 * log->last_sync_ms : 0;
    if (log->role != LOG_LEADER)
        return ERROR_NOT_LEADER;
    for (int64_t i = 0; i < log->n_peers; i++) {
        struct log_peer *peer = &log->peers[i];
        if (peer->id == log->id || !log_is_voter(log, peer->id) || peer->match < log->commit ||
            world_ms(log->w) - peer->heard_ms > log->settings.election_ms + blocked_ms)
            continue;
        if (!best || peer->sync_ms < best->sync_ms)
            best = peer;
    }
    if (!best || (log->slow_syncs && best->sync_ms * 2 > log->last_sync_ms))
        return ERROR_NO_OWNER;
    struct log_lead_now now = {.group = log->group, .term = log->term, .from = log->id, .to = best->id};
    log_send(log, best->id, FRAME_LEAD_NOW, &log_lead_now_schema, &now);
    log->handed_over_ms = world_ms(log->w);
    log->slow_syncs = 0;
    return ERROR_NONE;
}
