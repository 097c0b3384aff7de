/* Replication: the leader sends entries and heartbeats, followers take them, and acknowledgements move commit index,
 * reads and lease on. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "log/log.h"

enum {
    COPY_ENTRIES = 256,
    COPY_WINDOW = 64 << 10, /* bytes of entries under way to a peer, beyond which no further is sent */
    ENTRY_HEAD = 24,        /* of an entry in a frame, about */
    SLOW_LINK = 16          /* bytes a ms that the slowest link carries: a chunk in 2 s */
};

void log_lead(struct log *log)
{
    int64_t now_ms = world_ms(log->w);
    log->role = LOG_LEADER;
    log->leader_id = log->id;
    log->leader_addr = (int64_t)log->w->self;
    log->leader_since_ms = now_ms;
    log->slow_syncs = 0;
    log->handed_over_ms = 0;
    log->discounted_id = 0;
    log->beat_commit = log->round_commit = 0;
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

/* Bytes of entries that are under way to it. */
static int64_t under_way(const struct log *log, const struct log_peer *s)
{
    int64_t from = (s->match > s->in_flight_base ? s->match : s->in_flight_base) + 1, bytes = 0;
    for (int64_t i = from < log->first_index ? log->first_index : from; i < s->next && i <= log_last(log); i++)
        bytes += log->entries[i - log->first_index].body.len + ENTRY_HEAD;
    return bytes;
}

int64_t log_transit_ms(const struct log *log, const struct log_peer *peer) { return under_way(log, peer) / SLOW_LINK; }

/* Begins again behind what it surely has. */
static void rewind_to(struct log_peer *s, int64_t next)
{
    s->next = next;
    s->in_flight_base = next - 1;
}

static void copy_to(struct log *log, struct log_peer *s, int beat)
{
    int64_t now_ms = world_ms(log->w);
    if (s->id == log->id)
        return;
    /* no news of what was sent; not again before it can be through, so that a slow link isn't filled with the same.
     * What was lost is noticed sooner by the next beat, which the member then refuses. */
    if (beat && s->next > s->match + 1) {
        int64_t through_ms = log_transit_ms(log, s);
        if (now_ms - s->heard_ms > 3 * log->settings.heartbeat_ms + through_ms &&
            now_ms - s->rewound_ms > 10 * log->settings.heartbeat_ms + through_ms) {
            rewind_to(s, s->match + 1);
            s->rewound_ms = now_ms;
        }
    }
    if (s->next < log->first_index || log_term_at(log, s->next - 1) < 0) {
        log_transfer_send(log, s, beat);
        return;
    }
    s->snapshot_sent_index = 0;
    int64_t bytes = under_way(log, s);
    if (!beat && (s->next > log_last(log) || bytes >= COPY_WINDOW))
        return;
    struct log_append append = {.group = log->group,
                                .term = log->term,
                                .from = log->id,
                                .to = s->id,
                                .prev_index = s->next - 1,
                                .prev_term = log_term_at(log, s->next - 1),
                                .commit = log->commit,
                                .round = log->round};
    append.entries = log->entries + (s->next - log->first_index);
    while (append.n < COPY_ENTRIES && bytes < COPY_WINDOW && s->next + append.n <= log_last(log))
        bytes += append.entries[append.n++].body.len + ENTRY_HEAD;
    log_send(log, s->id, FRAME_APPEND, &log_append_schema, &append);
    s->next += append.n;
}

void log_copy_all(struct log *log, int beat)
{
    if (beat) {
        log->round++;
        log->round_commit = log->beat_commit;
        log->beat_commit = log->commit;
        log->round_sent_ms[log->round % ROUNDS_KEPT] = world_ms(log->w);
        log->heartbeat_due_ms = world_ms(log->w) + log->settings.heartbeat_ms;
    }
    for (int64_t i = 0; i < log->n_peers; i++)
        copy_to(log, &log->peers[i], beat);
    if (beat)
        log_reads_done(log);
}

void log_on_append(struct log *log, const struct log_append *a)
{
    struct log_appended reply = {.group = log->group, .from = log->id, .to = a->from, .round = a->round, .chunks = 1};
    if (a->term < log->term) {
        reply.term = log->term;
        log_send(log, a->from, FRAME_APPENDED, &log_appended_schema, &reply);
        return;
    }
    log_become_follower(log, a->term, a->from);
    log->heard_leader_ms = world_ms(log->w);
    log_election_reset(log);
    reply.term = log->term;
    reply.sync_ms = log->last_sync_ms;
    int64_t prev_term = log_term_at(log, a->prev_index);
    if (a->prev_index > log_last(log) || (prev_term != a->prev_term && a->prev_index > log->commit)) {
        int64_t hint = a->prev_index > log_last(log) ? log_last(log) : a->prev_index - 1;
        reply.match = hint > log->commit ? hint : log->commit;
        log_send(log, a->from, FRAME_APPENDED, &log_appended_schema, &reply);
        return;
    }
    int changed = 0;
    for (int64_t i = 0; i < a->n; i++) {
        int64_t index = a->prev_index + 1 + i;
        if (index <= log->commit || log_term_at(log, index) == a->entries[i].term)
            continue;
        if (index <= log_last(log)) {
            log_store_cut(log, index);
            log_entries_cut(log, index);
            changed = 1;
        }
        changed |= a->entries[i].kind == ENTRY_MEMBERS;
        log_entry_add(log, a->entries[i].term, a->entries[i].kind, &a->entries[i].body);
        log_store_entry(log, index, &a->entries[i]);
    }
    if (changed)
        log_members_refresh(log);
    const struct log_member *leader = log_member(log, a->from);
    log->leader_addr = leader ? leader->addr : 0;
    if (log->synced < log_last(log) && log_store_sync(log))
        return;
    reply.ok = 1;
    reply.match = a->prev_index + a->n;
    reply.sync_ms = log->last_sync_ms;
    log_send(log, a->from, FRAME_APPENDED, &log_appended_schema, &reply);
    int64_t commit = a->commit < reply.match ? a->commit : reply.match;
    if (commit > log->commit) {
        log->commit = commit;
        log_apply(log);
    }
}

void log_on_appended(struct log *log, const struct log_appended *a)
{
    struct log_peer *s = log_peer(log, a->from);
    if (a->term > log->term) {
        log_become_follower(log, a->term, 0);
        return;
    }
    if (log->role != LOG_LEADER || a->term != log->term || !s)
        return;
    s->heard_ms = world_ms(log->w);
    s->sync_ms = a->sync_ms;
    s->chunks = a->chunks;
    if (a->round > s->acked_round)
        s->acked_round = a->round;
    if (!a->ok) {
        /* it answers a later round than the one that match is from: what it had is gone, and doesn't count */
        if (a->match < s->match && a->round > s->match_round) {
            world_note(log->w, EV_MEMBER_ROLLED_BACK, "log=%s id=%llx has=%lld had=%lld", log->name,
                       (unsigned long long)s->id, (long long)a->match, (long long)s->match);
            s->match = a->match;
            s->match_round = a->round;
        }
        rewind_to(s, (a->match < s->next ? a->match : s->next - 1) + 1);
        if (s->next <= s->match)
            rewind_to(s, s->match + 1);
        copy_to(log, s, 0);
    } else if (a->match > s->match) {
        s->match = a->match;
        s->match_round = a->round;
        if (s->next <= s->match)
            s->next = s->match + 1;
        log_advance(log);
        copy_to(log, s, 0);
    }
    log_reads_done(log);
}

int log_caught_up(struct log *log, int64_t id)
{
    const struct log_peer *s = log_peer(log, id);
    return s && s->match > 0 && s->match >= log->round_commit && log->round_commit > 0;
}

static int has_round(const struct log *log, int64_t id, int64_t round)
{
    if (id == log->id)
        return 1;
    for (int64_t i = 0; i < log->n_peers; i++)
        if (log->peers[i].id == id)
            return log->peers[i].acked_round >= round;
    return 0;
}

/* Our lease ends before theirs by more than clocks drift apart: 2 % each, 4 in all. */
enum { LEASE_PERCENT = 90 };

int log_has_lease(const struct log *log)
{
    int64_t since_ms = world_ms(log->w) - log->settings.election_ms * LEASE_PERCENT / 100;
    if (log->role != LOG_LEADER || log->broken || log->handed_over_ms)
        return 0;
    int64_t r = log->round;
    while (r > 0 && r > log->round - ROUNDS_KEPT && log->round_sent_ms[r % ROUNDS_KEPT] > since_ms)
        if (log_quorum(log, has_round, r--))
            return 1;
    return 0;
}

/* A new leader answers only once an entry of its own term is committed. */
void log_reads_done(struct log *log)
{
    if (log->role != LOG_LEADER || log_term_at(log, log->commit) != log->term)
        return;
    for (int64_t i = 0; i < log->n_reads; i++) {
        struct log_read r = log->reads[i];
        if (r.round > log->round || !log_quorum(log, has_round, r.round))
            continue;
        log->reads[i--] = log->reads[--log->n_reads];
        r.done(r.arg, r.tag, ERROR_NONE, NULL);
    }
}
