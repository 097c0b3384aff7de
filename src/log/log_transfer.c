/* Transfer of a snapshot from the leader to a member that lacks entries which the leader no longer has. The file is
 * sent in chunks, one in flight to each peer; the acknowledgement contains how much the receiver has. Empty appends
 * continue as heartbeats. The receiver changes its state only once it has the whole file and the checksums match. */
#include <string.h>

#include "base/error.h"
#include "base/events.h"
#include "log/log.h"

enum {
    CHUNK_BYTES = 32 << 10,       /* 131 ms over 2 Mbit/s, less than an election time-out of 500 ms */
    CHUNK_MAX = 1 << 20,          /* larger chunks are refused */
    SNAPSHOT_MAX = 1 << 30,       /* larger snapshots are refused */
    CHUNK_RETRY_HEARTBEATS = 20,  /* a chunk is sent again after this many heartbeat intervals without a reply */
    LAGGING_KEEP_SNAPSHOTS = 4,   /* snapshot intervals whose entries are kept for a lagging member */
    LAGGING_HEARD_HEARTBEATS = 50 /* only if it replied within this many heartbeat intervals */
};

static void transfer_free(struct log_transfer *transfer)
{
    bytes_free(&transfer->data);
    *transfer = (struct log_transfer){0};
}

/* --- leader ------------------------------------------------------------------------ */

/* Whether the entries after the outgoing snapshot, and the term of the one before them, are still in memory. Otherwise
 * the receiver would need the next snapshot at once. */
static int outgoing_is_valid(const struct log *log)
{
    return log->outgoing.index && log->first_index <= log->outgoing.index + 1 &&
           log_term_at(log, log->outgoing.index) >= 0;
}

static int open_outgoing(struct log *log)
{
    struct log_transfer *out = &log->outgoing;
    if (outgoing_is_valid(log))
        return ERROR_NONE;
    transfer_free(out);
    for (int64_t i = 0; i < log->n_peers; i++)
        log->peers[i].snapshot_sent_index = log->peers[i].offset = 0;
    int rc = log_snapshot_read(log, &out->data);
    if (rc) { /* the file is damaged, but the state in memory is not: write a new file */
        transfer_free(out);
        return log_snapshot_save(log);
    }
    out->index = log->snapshot_index;
    out->term = log->snapshot_term;
    out->total = out->data.len;
    out->sum = crc_of(out->data.at, out->data.len);
    return ERROR_NONE;
}

static void send_whole_snapshot(struct log *log, struct log_peer *peer)
{
    struct log_snapshot_file saved = {0};
    if (log_snapshot_unpack(&log->outgoing.data, &saved))
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
    schema_free(&log_snapshot_file_schema, &saved);
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

/* Sends an empty append at index 0, which every member accepts, to renew leadership without sending entries. */
static void send_heartbeat(struct log *log, const struct log_peer *peer)
{
    struct log_append heartbeat = {
        .group = log->group, .term = log->term, .from = log->id, .to = peer->id, .round = log->round};
    log_send(log, peer->id, FRAME_APPEND, &log_append_schema, &heartbeat);
}

void log_transfer_send(struct log *log, struct log_peer *peer, int heartbeat)
{
    int64_t now_ms = world_ms(log->w), silent_ms = CHUNK_RETRY_HEARTBEATS * log->settings.heartbeat_ms;
    if (heartbeat)
        send_heartbeat(log, peer);
    if (peer->snapshot_sent_index && peer->snapshot_sent_index == log->outgoing.index && outgoing_is_valid(log) &&
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
        send_whole_snapshot(log, peer);
}

void log_on_chunk_ack(struct log *log, const struct log_chunk_ack *ack)
{
    struct log_peer *peer = log_peer(log, ack->from);
    if (ack->term > log->term) {
        log_become_follower(log, ack->term, 0);
        return;
    }
    if (log->role != LOG_LEADER || ack->term != log->term || !peer)
        return;
    peer->heard_ms = world_ms(log->w);
    if (ack->round > peer->acked_round)
        peer->acked_round = ack->round;
    log_complete_reads(log);
    if (!peer->snapshot_sent_index || ack->index != peer->snapshot_sent_index || ack->index != log->outgoing.index ||
        ack->sum != log->outgoing.sum || ack->offset < 0 || ack->offset > log->outgoing.total)
        return;
    int progress = ack->offset > peer->offset && ack->offset < log->outgoing.total;
    peer->offset = ack->offset < log->outgoing.total ? ack->offset : 0;
    if (progress) /* otherwise a heartbeat sends it after a pause, so that a refused chunk is not repeated in a loop */
        send_chunk(log, peer);
}

/* Of the entries up to last_index, those stay that a lagging member which replied recently still needs, but no more
 * than LAGGING_KEEP_SNAPSHOTS intervals and lagging_keep_bytes. A member that lags more gets the newest snapshot. */
int64_t log_entries_droppable(const struct log *log, int64_t last_index)
{
    int64_t now_ms = world_ms(log->w);
    int64_t oldest_kept =
        log->applied - log->settings.keep_entries - LAGGING_KEEP_SNAPSHOTS * log->settings.snapshot_every;
    int64_t oldest_kept_by_bytes = log_drop_index_for_bytes(log, log->settings.lagging_keep_bytes);
    if (oldest_kept < oldest_kept_by_bytes)
        oldest_kept = oldest_kept_by_bytes;
    for (int64_t i = 0; log->role == LOG_LEADER && i < log->n_peers; i++) {
        const struct log_peer *peer = &log->peers[i];
        int64_t has = peer->snapshot_sent_index ? peer->snapshot_sent_index : peer->match;
        if (peer->id != log->id && has <= last_index && has >= oldest_kept && has > 0 &&
            now_ms - peer->heard_ms <= LAGGING_HEARD_HEARTBEATS * log->settings.heartbeat_ms)
            last_index = has - 1; /* keep the entry at has: the next append needs its term */
    }
    return last_index;
}

void log_transfer_free_unused(struct log *log)
{
    int used = 0;
    for (int64_t i = 0; log->role == LOG_LEADER && i < log->n_peers; i++)
        used |= log->peers[i].snapshot_sent_index != 0;
    if (!used)
        transfer_free(&log->outgoing);
    if (log->role == LOG_LEADER || log->incoming.index <= log->commit)
        transfer_free(&log->incoming);
}

/* --- receiver ---------------------------------------------------------------------- */

/* On an error of restore() nothing is changed. */
int log_snapshot_install(struct log *log, const struct log_snapshot_file *saved, const struct bytes *file)
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
    /* the snapshot must be durable before the entries that it replaces are removed */
    rc = log_snapshot_write(log, file);
    if (rc)
        return rc;
    log_store_cut(log, saved->index + 1);
    rc = log_store_sync(log);
    if (!rc)
        world_note(log->w, EV_DIGEST_TAKEN, "log=%s index=%lld", log->name, (long long)saved->index);
    return rc;
}

static void acknowledge_match(struct log *log, int64_t to, int64_t round)
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

static void on_leader_heard(struct log *log, int64_t term, int64_t from)
{
    log_become_follower(log, term, from);
    log->heard_leader_ms = world_ms(log->w);
    log_election_reset(log);
}

static void acknowledge_chunk(struct log *log, const struct log_chunk *chunk, int64_t offset)
{
    struct log_chunk_ack ack = {.group = log->group,
                                .term = log->term,
                                .from = log->id,
                                .to = chunk->from,
                                .index = chunk->index,
                                .sum = chunk->sum,
                                .round = chunk->round,
                                .offset = offset};
    log_send(log, chunk->from, FRAME_SNAPSHOT_CHUNK_ACK, &log_chunk_ack_schema, &ack);
}

static void note_refusal(struct log *log, const struct log_chunk *chunk, const char *why)
{
    world_note(log->w, EV_SNAPSHOT_REFUSED, "log=%s index=%lld offset=%lld has=%lld why=%s", log->name,
               (long long)chunk->index, (long long)chunk->offset, (long long)log->incoming.data.len, why);
}

/* The reason why a chunk is invalid on its own, or NULL. */
static const char *chunk_error(const struct log_chunk *chunk)
{
    if (chunk->index <= 0 || chunk->snapshot_term < 0 || chunk->snapshot_term > chunk->term)
        return "place";
    if (chunk->size <= 0 || chunk->size > CHUNK_MAX || chunk->size != chunk->data.len)
        return "size";
    if (chunk->total <= 0 || chunk->total > SNAPSHOT_MAX || chunk->offset < 0 ||
        chunk->offset > chunk->total - chunk->size)
        return "beyond";
    return NULL;
}

static int same_transfer(const struct log_transfer *transfer, const struct log_chunk *chunk)
{
    return transfer->index == chunk->index && transfer->term == chunk->snapshot_term &&
           transfer->total == chunk->total && transfer->sum == chunk->sum;
}

/* Starts the transfer that chunk belongs to in place of the current one; from the same leader only a newer snapshot
 * replaces it. Returns NULL, or the reason of the refusal. */
static const char *begin_transfer(struct log *log, const struct log_chunk *chunk)
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

static void finish_transfer(struct log *log, const struct log_chunk *chunk)
{
    struct log_transfer whole = log->incoming;
    struct log_snapshot_file saved = {0};
    log->incoming = (struct log_transfer){0};
    int rc = whole.sum != (int64_t)crc_of(whole.data.at, whole.data.len) || log_snapshot_unpack(&whole.data, &saved)
                 ? ERROR_BAD_FRAME
                 : ERROR_NONE;
    if (!rc && (saved.index != whole.index || saved.term != whole.term))
        rc = ERROR_BAD_FRAME;
    if (!rc)
        rc = log_snapshot_install(log, &saved, &whole.data);
    if (!rc) {
        acknowledge_match(log, chunk->from, chunk->round);
    } else if (!log->broken) {
        world_note(log->w, EV_SNAPSHOT_DAMAGED, "log=%s index=%lld bytes=%lld", log->name, (long long)whole.index,
                   (long long)whole.total);
        acknowledge_chunk(log, chunk, 0);
    }
    schema_free(&log_snapshot_file_schema, &saved);
    transfer_free(&whole);
}

void log_on_chunk(struct log *log, const struct log_chunk *chunk)
{
    struct log_transfer *in = &log->incoming;
    const char *wrong = chunk->term < log->term ? "term" : chunk_error(chunk);
    if (!wrong) {
        on_leader_heard(log, chunk->term, chunk->from);
        if (log->broken)
            return;
        if (chunk->index <= log->commit) {
            acknowledge_match(log, chunk->from, chunk->round);
            return;
        }
        if (!same_transfer(in, chunk))
            wrong = begin_transfer(log, chunk);
        else if (chunk->offset > in->data.len)
            wrong = "order";
    }
    if (wrong) {
        note_refusal(log, chunk, wrong);
        if (chunk->term <= log->term)
            acknowledge_chunk(log, chunk, same_transfer(in, chunk) ? in->data.len : 0);
        return;
    }
    in->from = chunk->from;
    in->from_term = chunk->term;
    if (chunk->offset == in->data.len)
        bytes_add(&in->data, chunk->data.at, chunk->data.len);
    if (in->data.len == in->total)
        finish_transfer(log, chunk);
    else
        acknowledge_chunk(log, chunk, in->data.len);
}

void log_on_snapshot(struct log *log, struct log_snapshot *snapshot)
{
    struct log_snapshot_file saved = {.index = snapshot->index,
                                      .term = snapshot->snapshot_term,
                                      .members = snapshot->members,
                                      .data = snapshot->data};
    struct bytes file = {0};
    int rc = ERROR_NONE;
    if (snapshot->term < log->term)
        return;
    on_leader_heard(log, snapshot->term, snapshot->from);
    if (log->broken)
        return;
    if (snapshot->index > log->commit) {
        log_snapshot_pack(&saved, &file);
        rc = log_snapshot_install(log, &saved, &file);
        bytes_free(&file);
    }
    if (!rc)
        acknowledge_match(log, snapshot->from, snapshot->round);
    else if (!log->broken)
        world_note(log->w, EV_SNAPSHOT_DAMAGED, "log=%s index=%lld bytes=%lld", log->name, (long long)snapshot->index,
                   (long long)snapshot->data.len);
}
