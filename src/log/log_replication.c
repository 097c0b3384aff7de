/* Replication: the leader sends entries and heartbeats, followers append them, and acknowledgements advance the commit
 * index, complete reads and extend the lease. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "log/log.h"

enum {
    APPEND_ENTRIES_MAX = 256,
    IN_FLIGHT_BYTES_MAX = 64 << 10, /* of entries to a peer; no more are sent above this */
    ENTRY_HEADER_BYTES = 24,        /* approximate size in a frame of an entry without its body */
    SLOWEST_LINK_BYTES_PER_MS = 16  /* bandwidth; a chunk takes 2 s */
};

void log_become_leader(struct log *log)
{
    int64_t now_ms = world_ms(log->w);
    log->role = LOG_LEADER;
    log->leader_id = log->id;
    log->leader_addr = (int64_t)log->w->self;
    log->leader_since_ms = now_ms;
    log->slow_syncs = 0;
    log->handed_over_ms = 0;
    log->excluded_voter_id = 0;
    log->newest_round_commit = log->previous_round_commit = 0;
    for (int64_t i = 0; i < log->n_peers; i++)
        log->peers[i] = (struct log_peer){.id = log->peers[i].id,
                                          .next = log_last(log) + 1,
                                          .in_flight_base = log_last(log),
                                          .heard_ms = now_ms,
                                          .sync_ms = log->peers[i].sync_ms,
                                          .chunks = log->peers[i].chunks};
    world_note(log->w, EV_LEADER, "log=%s term=%lld last=%lld", log->name, (long long)log->term,
               (long long)log_last(log));
    log_propose(log, ENTRY_NOOP, NULL, NULL, NULL, 0);
    log->heartbeat_due_ms = now_ms;
}

/* Bytes of the entries that are in flight to the peer. */
static int64_t in_flight_bytes(const struct log *log, const struct log_peer *peer)
{
    int64_t from = (peer->match > peer->in_flight_base ? peer->match : peer->in_flight_base) + 1, bytes = 0;
    for (int64_t i = from < log->first_index ? log->first_index : from; i < peer->next && i <= log_last(log); i++)
        bytes += log->entries[i - log->first_index].body.len + ENTRY_HEADER_BYTES;
    return bytes;
}

int64_t log_transit_ms(const struct log *log, const struct log_peer *peer)
{
    return in_flight_bytes(log, peer) / SLOWEST_LINK_BYTES_PER_MS;
}

/* Restarts sending at next. */
static void rewind_to(struct log_peer *peer, int64_t next)
{
    peer->next = next;
    peer->in_flight_base = next - 1;
}

static void replicate_to(struct log *log, struct log_peer *peer, int heartbeat)
{
    int64_t now_ms = world_ms(log->w);
    if (peer->id == log->id)
        return;
    /* Without a reply, entries are sent again only after they had time to pass, so that a slow link is not filled with
     * duplicates. A lost append is noticed earlier, because the member rejects the next heartbeat. */
    if (heartbeat && peer->next > peer->match + 1) {
        int64_t transit_ms = log_transit_ms(log, peer);
        if (now_ms - peer->heard_ms > 3 * log->settings.heartbeat_ms + transit_ms &&
            now_ms - peer->last_rewind_ms > 10 * log->settings.heartbeat_ms + transit_ms) {
            rewind_to(peer, peer->match + 1);
            peer->last_rewind_ms = now_ms;
        }
    }
    if (peer->next < log->first_index || log_term_at(log, peer->next - 1) < 0) {
        log_transfer_send(log, peer, heartbeat);
        return;
    }
    peer->snapshot_sent_index = 0;
    int64_t bytes = in_flight_bytes(log, peer);
    if (!heartbeat && (peer->next > log_last(log) || bytes >= IN_FLIGHT_BYTES_MAX))
        return;
    struct log_append append = {.group = log->group,
                                .term = log->term,
                                .from = log->id,
                                .to = peer->id,
                                .prev_index = peer->next - 1,
                                .prev_term = log_term_at(log, peer->next - 1),
                                .commit = log->commit,
                                .round = log->round};
    append.entries = log->entries + (peer->next - log->first_index);
    while (append.n < APPEND_ENTRIES_MAX && bytes < IN_FLIGHT_BYTES_MAX && peer->next + append.n <= log_last(log))
        bytes += append.entries[append.n++].body.len + ENTRY_HEADER_BYTES;
    log_send(log, peer->id, FRAME_APPEND, &log_append_schema, &append);
    peer->next += append.n;
}

void log_replicate(struct log *log, int heartbeat)
{
    if (heartbeat) {
        log->round++;
        log->previous_round_commit = log->newest_round_commit;
        log->newest_round_commit = log->commit;
        log->round_sent_ms[log->round % ROUNDS_KEPT] = world_ms(log->w);
        log->heartbeat_due_ms = world_ms(log->w) + log->settings.heartbeat_ms;
    }
    for (int64_t i = 0; i < log->n_peers; i++)
        replicate_to(log, &log->peers[i], heartbeat);
    if (heartbeat)
        log_complete_reads(log);
}

void log_on_append(struct log *log, const struct log_append *append)
{
    struct log_appended reply = {
        .group = log->group, .from = log->id, .to = append->from, .round = append->round, .chunks = 1};
    if (append->term < log->term) {
        reply.term = log->term;
        log_send(log, append->from, FRAME_APPENDED, &log_appended_schema, &reply);
        return;
    }
    log_become_follower(log, append->term, append->from);
    log->heard_leader_ms = world_ms(log->w);
    log_election_reset(log);
    reply.term = log->term;
    reply.sync_ms = log->last_sync_ms;
    int64_t prev_term = log_term_at(log, append->prev_index);
    if (append->prev_index > log_last(log) || (prev_term != append->prev_term && append->prev_index > log->commit)) {
        int64_t hint = append->prev_index > log_last(log) ? log_last(log) : append->prev_index - 1;
        reply.match = hint > log->commit ? hint : log->commit;
        log_send(log, append->from, FRAME_APPENDED, &log_appended_schema, &reply);
        return;
    }
    int changed = 0;
    for (int64_t i = 0; i < append->n; i++) {
        int64_t index = append->prev_index + 1 + i;
        if (index <= log->commit || log_term_at(log, index) == append->entries[i].term)
            continue;
        if (index <= log_last(log)) {
            log_store_cut(log, index);
            log_entries_cut(log, index);
            changed = 1;
        }
        changed |= append->entries[i].kind == ENTRY_MEMBERS;
        log_entry_add(log, append->entries[i].term, append->entries[i].kind, &append->entries[i].body);
        log_store_entry(log, index, &append->entries[i]);
    }
    if (changed)
        log_members_refresh(log);
    const struct log_member *leader = log_member(log, append->from);
    log->leader_addr = leader ? leader->addr : 0;
    if (log->synced < log_last(log) && log_store_sync(log))
        return;
    reply.ok = 1;
    reply.match = append->prev_index + append->n;
    reply.sync_ms = log->last_sync_ms;
    log_send(log, append->from, FRAME_APPENDED, &log_appended_schema, &reply);
    int64_t commit = append->commit < reply.match ? append->commit : reply.match;
    if (commit > log->commit) {
        log->commit = commit;
        log_apply(log);
    }
}

void log_on_appended(struct log *log, const struct log_appended *appended)
{
    struct log_peer *peer = log_peer(log, appended->from);
    if (appended->term > log->term) {
        log_become_follower(log, appended->term, 0);
        return;
    }
    if (log->role != LOG_LEADER || appended->term != log->term || !peer)
        return;
    peer->heard_ms = world_ms(log->w);
    peer->sync_ms = appended->sync_ms;
    peer->chunks = appended->chunks;
    if (appended->round > peer->acked_round)
        peer->acked_round = appended->round;
    if (!appended->ok) {
        /* it replies to a later round than the one that set match, so it has lost the entries beyond its hint */
        if (appended->match < peer->match && appended->round > peer->match_round) {
            world_note(log->w, EV_MEMBER_ROLLED_BACK, "log=%s id=%llx has=%lld had=%lld", log->name,
                       (unsigned long long)peer->id, (long long)appended->match, (long long)peer->match);
            peer->match = appended->match;
            peer->match_round = appended->round;
        }
        rewind_to(peer, (appended->match < peer->next ? appended->match : peer->next - 1) + 1);
        if (peer->next <= peer->match)
            rewind_to(peer, peer->match + 1);
        replicate_to(log, peer, 0);
    } else if (appended->match > peer->match) {
        peer->match = appended->match;
        peer->match_round = appended->round;
        if (peer->next <= peer->match)
            peer->next = peer->match + 1;
        log_advance(log);
        replicate_to(log, peer, 0);
    }
    log_complete_reads(log);
}

int log_caught_up(struct log *log, int64_t id)
{
    const struct log_peer *peer = log_peer(log, id);
    return peer && peer->match > 0 && peer->match >= log->previous_round_commit && log->previous_round_commit > 0;
}

static int has_acked_round(const struct log *log, int64_t id, int64_t round)
{
    if (id == log->id)
        return 1;
    for (int64_t i = 0; i < log->n_peers; i++)
        if (log->peers[i].id == id)
            return log->peers[i].acked_round >= round;
    return 0;
}

/* Length of the lease in percent of the election time-out. The margin exceeds the drift between two clocks, which is at
 * most 2 % each, 4 % together. */
enum { LEASE_PERCENT = 90 };

int log_has_lease(const struct log *log)
{
    int64_t since_ms = world_ms(log->w) - log->settings.election_ms * LEASE_PERCENT / 100;
    if (log->role != LOG_LEADER || log->broken || log->handed_over_ms)
        return 0;
    int64_t r = log->round;
    while (r > 0 && r > log->round - ROUNDS_KEPT && log->round_sent_ms[r % ROUNDS_KEPT] > since_ms)
        if (log_quorum(log, has_acked_round, r--))
            return 1;
    return 0;
}

/* A new leader completes reads only once an entry of its own term is committed: its commit index may lag before. */
void log_complete_reads(struct log *log)
{
    if (log->role != LOG_LEADER || log_term_at(log, log->commit) != log->term)
        return;
    for (int64_t i = 0; i < log->n_reads; i++) {
        struct log_read r = log->reads[i];
        if (r.round > log->round || !log_quorum(log, has_acked_round, r.round))
            continue;
        log->reads[i--] = log->reads[--log->n_reads];
        r.done(r.arg, r.tag, ERROR_NONE, NULL);
    }
}
