/* A snapshot on its way from the leader to a member that is too far behind for entries: its file goes out in
 * chunks, one under way to a peer, each acknowledged with what the receiver holds by then. Empty appends go on
 * between them. Nothing of the receiver's state changes until the whole file is there and its checksums hold. */
#include <string.h>

#include "base/error.h"
#include "base/events.h"
#include "log/log.h"

enum {
    CHUNK_BYTES = 32 << 10, /* 131 ms over 2 Mbit/s: an election takes 500 ms */
    CHUNK_MAX = 1 << 20,    /* none that is larger is taken */
    TOTAL_MAX = 1 << 30,    /* nor a snapshot */
    SILENT_BEATS = 20,      /* a chunk is sent again after so many heartbeats without an answer */
    HELD_SNAPSHOTS = 4,     /* for a slow member entries of so many intervals are kept */
    HELD_HEARD_BEATS = 50   /* if it was heard so many heartbeats ago at most */
};

static void transfer_free(struct log_transfer *transfer)
{
    bytes_free(&transfer->data);
    *transfer = (struct log_transfer){0};
}

/* --- the leader's side ------------------------------------------------------------- */

/* Are the entries behind what goes out still there, and the term of the one before them? Else the receiver
 * would need the next snapshot at once. */
static int outgoing_good(const struct log *log)
{
    return log->outgoing.index && log->first_index <= log->outgoing.index + 1 &&
           log_term_at(log, log->outgoing.index) >= 0;
}

static int open_outgoing(struct log *log)
{
    struct log_transfer *out = &log->outgoing;
    if (outgoing_good(log))
        return ERROR_NONE;
    transfer_free(out);
    for (int64_t i = 0; i < log->n_peers; i++)
        log->peers[i].snapshot_sent_index = log->peers[i].offset = 0;
    int rc = log_snapshot_read(log, &out->data);
    if (rc) { /* our own file is damaged: the state it was made of is not, so write a new one */
        transfer_free(out);
        return log_snapshot_save(log);
    }
    out->index = log->snapshot_index;
    out->term = log->snapshot_term;
    out->total = out->data.len;
    out->sum = crc_of(out->data.at, out->data.len);
    return ERROR_NONE;
}

static void send_whole(struct log *log, struct log_peer *peer)
{
    struct log_saved saved = {0};
    if (log_snapshot_open(&log->outgoing.data, &saved))
        return;
    struct log_snapshot snapshot = {.group = log->group,
                                    .term = log->term,
                                    .from = log->id,
                                    .to = peer->id,
                                    .index = saved.index,
                                    .snapshot_term = saved.term,
                                    .round = log->round,
                                    .members = saved.members,
                                    .data = saved.data};
    log_send(log, peer->id, FRAME_SNAPSHOT, &log_snapshot_schema, &snapshot);
    schema_free(&log_saved_schema, &saved);
}

static void send_chunk(struct log *log, struct log_peer *peer)
{
    const struct log_transfer *out = &log->outgoing;
    int64_t rest = out->total - peer->offset;
    struct log_chunk chunk = {.group = log->group,
                              .term = log->term,
                              .from = log->id,
                              .to = peer->id,
                              .index = out->index,
                              .snapshot_term = out->term,
                              .round = log->round,
                              .offset = peer->offset,
                              .total = out->total,
                              .sum = out->sum,
                              .size = rest < CHUNK_BYTES ? rest : CHUNK_BYTES};
    chunk.data = (struct bytes){.at = out->data.at + chunk.offset, .len = chunk.size};
    log_send(log, peer->id, FRAME_SNAPSHOT_CHUNK, &log_chunk_schema, &chunk);
    peer->chunk_ms = world_ms(log->w);
}

/* An append that nobody refuses and that says nothing new of entries: we still lead. */
static void send_beat(struct log *log, const struct log_peer *peer)
{
    struct log_append beat = {
        .group = log->group, .term = log->term, .from = log->id, .to = peer->id, .round = log->round};
    log_send(log, peer->id, FRAME_APPEND, &log_append_schema, &beat);
}

void log_transfer_send(struct log *log, struct log_peer *peer, int beat)
{
    int64_t now_ms = world_ms(log->w), silent_ms = SILENT_BEATS * log->settings.heartbeat_ms;
    if (beat)
        send_beat(log, peer);
    if (peer->snapshot_sent_index && peer->snapshot_sent_index == log->outgoing.index && outgoing_good(log) &&
        now_ms - peer->chunk_ms < silent_ms)
        return;
    if (open_outgoing(log) || !log->outgoing.index)
        return;
    if (peer->snapshot_sent_index != log->outgoing.index) {
        peer->snapshot_sent_index = log->outgoing.index;
        peer->offset = 0;
    }
    peer->chunk_ms = now_ms;
    if (peer->chunks)
        send_chunk(log, peer);
    else
        send_whole(log, peer);
}

void log_on_got(struct log *log, const struct log_got *got)
{
    struct log_peer *peer = log_peer(log, got->from);
    if (got->term > log->term) {
        log_become_follower(log, got->term, 0);
        return;
    }
    if (log->role != LOG_LEADER || got->term != log->term || !peer)
        return;
    peer->heard_ms = world_ms(log->w);
    if (got->round > peer->acked_round)
        peer->acked_round = got->round;
    log_reads_done(log);
    if (!peer->snapshot_sent_index || got->index != peer->snapshot_sent_index || got->index != log->outgoing.index ||
        got->sum != log->outgoing.sum || got->offset < 0 || got->offset > log->outgoing.total)
        return;
    int on = got->offset > peer->offset && got->offset < log->outgoing.total;
    peer->offset = got->offset < log->outgoing.total ? got->offset : 0;
    if (on) /* else with the next beat after a silence: what it refuses isn't sent in a circle */
        send_chunk(log, peer);
}

/* Entries up to `upto` could go. Of those a member needs that was heard lately and is behind, some stay:
 * at most HELD_SNAPSHOTS intervals of them and held_bytes, so a member that falls behind faster than that starts
 * over with the newest snapshot. */
int64_t log_entries_wanted(const struct log *log, int64_t upto)
{
    int64_t now_ms = world_ms(log->w);
    int64_t least = log->applied - log->settings.keep_entries - HELD_SNAPSHOTS * log->settings.snapshot_every;
    int64_t least_by_bytes = log_entries_beyond(log, log->settings.held_bytes);
    if (least < least_by_bytes)
        least = least_by_bytes;
    for (int64_t i = 0; log->role == LOG_LEADER && i < log->n_peers; i++) {
        const struct log_peer *peer = &log->peers[i];
        int64_t has = peer->snapshot_sent_index ? peer->snapshot_sent_index : peer->match;
        if (peer->id != log->id && has <= upto && has >= least && has > 0 &&
            now_ms - peer->heard_ms <= HELD_HEARD_BEATS * log->settings.heartbeat_ms)
            upto = has - 1; /* its term is asked for with the one behind it */
    }
    return upto;
}

void log_transfer_tidy(struct log *log)
{
    int used = 0;
    for (int64_t i = 0; log->role == LOG_LEADER && i < log->n_peers; i++)
        used |= log->peers[i].snapshot_sent_index != 0;
    if (!used)
        transfer_free(&log->outgoing);
    if (log->role == LOG_LEADER || log->incoming.index <= log->commit)
        transfer_free(&log->incoming);
}

/* --- the receiver's side ----------------------------------------------------------- */

/* All that log holds gives way to a whole snapshot, or nothing does. */
int log_snapshot_take(struct log *log, const struct log_saved *saved, const struct bytes *file)
{
    int rc = log->machine.restore(log->machine.arg, &saved->data);
    if (rc)
        return rc;
    log_entries_cut(log, 0);
    schema_free(&log_members_schema, &log->snapshot_members);
    schema_copy(&log_members_schema, &log->snapshot_members, &saved->members);
    log->snapshot_index = log->commit = log->applied = log->synced = saved->index;
    log->snapshot_term = saved->term;
    log->applied_bytes = 0;
    log->first_index = saved->index + 1;
    log->dropped_term = saved->term;
    log_members_refresh(log);
    /* the snapshot lasts before what it stands for is cut */
    rc = log_snapshot_write(log, file);
    if (rc)
        return rc;
    log_store_cut(log, saved->index + 1);
    rc = log_store_sync(log);
    if (!rc)
        world_note(log->w, EV_DIGEST_TAKEN, "log=%s index=%lld", log->name, (long long)saved->index);
    return rc;
}

static void tell_match(struct log *log, int64_t to, int64_t round)
{
    struct log_appended reply = {.group = log->group,
                                 .term = log->term,
                                 .from = log->id,
                                 .to = to,
                                 .ok = 1,
                                 .match = log->commit,
                                 .round = round,
                                 .sync_ms = log->last_sync_ms,
                                 .chunks = 1};
    const struct log_member *leader = log_member(log, to);
    log->leader_addr = leader ? leader->addr : 0;
    log_send(log, to, FRAME_APPENDED, &log_appended_schema, &reply);
}

static void heard_leader(struct log *log, int64_t term, int64_t from)
{
    log_become_follower(log, term, from);
    log->heard_leader_ms = world_ms(log->w);
    log_election_reset(log);
}

static void tell_got(struct log *log, const struct log_chunk *chunk, int64_t offset)
{
    struct log_got got = {.group = log->group,
                          .term = log->term,
                          .from = log->id,
                          .to = chunk->from,
                          .index = chunk->index,
                          .sum = chunk->sum,
                          .round = chunk->round,
                          .offset = offset};
    log_send(log, chunk->from, FRAME_SNAPSHOT_GOT, &log_got_schema, &got);
}

static void refused(struct log *log, const struct log_chunk *chunk, const char *why)
{
    world_note(log->w, EV_SNAPSHOT_REFUSED, "log=%s index=%lld offset=%lld has=%lld why=%s", log->name,
               (long long)chunk->index, (long long)chunk->offset, (long long)log->incoming.data.len, why);
}

/* NULL, or what is wrong with it by itself. */
static const char *chunk_wrong(const struct log_chunk *c)
{
    if (c->index <= 0 || c->snapshot_term < 0 || c->snapshot_term > c->term)
        return "place";
    if (c->size <= 0 || c->size > CHUNK_MAX || c->size != c->data.len)
        return "size";
    if (c->total <= 0 || c->total > TOTAL_MAX || c->offset < 0 || c->offset > c->total - c->size)
        return "beyond";
    return NULL;
}

static int same_transfer(const struct log_transfer *t, const struct log_chunk *c)
{
    return t->index == c->index && t->term == c->snapshot_term && t->total == c->total && t->sum == c->sum;
}

/* Has it another transfer than the one we hold? Of the same leader only a newer one takes its place. */
static const char *begin(struct log *log, const struct log_chunk *chunk)
{
    struct log_transfer *in = &log->incoming;
    if (chunk->offset)
        return "order";
    if (in->index && in->from == chunk->from && in->from_term == chunk->term && chunk->index < in->index)
        return "older";
    transfer_free(in);
    *in = (struct log_transfer){
        .index = chunk->index, .term = chunk->snapshot_term, .total = chunk->total, .sum = chunk->sum};
    return NULL;
}

static void taken_whole(struct log *log, const struct log_chunk *chunk)
{
    struct log_transfer whole = log->incoming;
    struct log_saved saved = {0};
    log->incoming = (struct log_transfer){0};
    int rc = whole.sum != (int64_t)crc_of(whole.data.at, whole.data.len) || log_snapshot_open(&whole.data, &saved)
                 ? ERROR_BAD_FRAME
                 : ERROR_NONE;
    if (!rc && (saved.index != whole.index || saved.term != whole.term))
        rc = ERROR_BAD_FRAME;
    if (!rc)
        rc = log_snapshot_take(log, &saved, &whole.data);
    if (!rc) {
        tell_match(log, chunk->from, chunk->round);
    } else if (!log->broken) {
        world_note(log->w, EV_SNAPSHOT_DAMAGED, "log=%s index=%lld bytes=%lld", log->name, (long long)whole.index,
                   (long long)whole.total);
        tell_got(log, chunk, 0);
    }
    schema_free(&log_saved_schema, &saved);
    transfer_free(&whole);
}

void log_on_chunk(struct log *log, const struct log_chunk *chunk)
{
    struct log_transfer *in = &log->incoming;
    const char *wrong = chunk->term < log->term ? "term" : chunk_wrong(chunk);
    if (!wrong) {
        heard_leader(log, chunk->term, chunk->from);
        if (log->broken)
            return;
        if (chunk->index <= log->commit) {
            tell_match(log, chunk->from, chunk->round);
            return;
        }
        if (!same_transfer(in, chunk))
            wrong = begin(log, chunk);
        else if (chunk->offset > in->data.len)
            wrong = "order";
    }
    if (wrong) {
        refused(log, chunk, wrong);
        if (chunk->term <= log->term)
            tell_got(log, chunk, same_transfer(in, chunk) ? in->data.len : 0);
        return;
    }
    in->from = chunk->from;
    in->from_term = chunk->term;
    if (chunk->offset == in->data.len)
        bytes_add(&in->data, chunk->data.at, chunk->data.len);
    if (in->data.len == in->total)
        taken_whole(log, chunk);
    else
        tell_got(log, chunk, in->data.len);
}

void log_on_snapshot(struct log *log, struct log_snapshot *snapshot)
{
    struct log_saved saved = {.index = snapshot->index,
                              .term = snapshot->snapshot_term,
                              .members = snapshot->members,
                              .data = snapshot->data};
    struct bytes file = {0};
    int rc = ERROR_NONE;
    if (snapshot->term < log->term)
        return;
    heard_leader(log, snapshot->term, snapshot->from);
    if (log->broken)
        return;
    if (snapshot->index > log->commit) {
        log_snapshot_pack(&saved, &file);
        rc = log_snapshot_take(log, &saved, &file);
        bytes_free(&file);
    }
    if (!rc)
        tell_match(log, snapshot->from, snapshot->round);
    else if (!log->broken)
        world_note(log->w, EV_SNAPSHOT_DAMAGED, "log=%s index=%lld bytes=%lld", log->name, (long long)snapshot->index,
                   (long long)snapshot->data.len);
}
