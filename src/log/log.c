/* Entries in memory, pending proposals and reads, commit and apply, and the dispatch of timers and frames. */
#include "log/log.h"

#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

static const struct log_settings defaults = {.heartbeat_ms = 100,
                                             .election_ms = 700,
                                             .slow_sync_ms = 250,
                                             .snapshot_every = 2000,
                                             .keep_entries = 500,
                                             .segment_bytes = 4 << 20,
                                             .snapshot_bytes = 4 << 20,
                                             .keep_bytes = 4 << 20,
                                             .lagging_keep_bytes = 16 << 20};

void log_start(struct log *log, struct world *w, uint32_t cluster, int64_t group, int64_t id,
               const struct log_machine *machine)
{
    *log = (struct log){.w = w,
                        .cluster = cluster,
                        .group = group,
                        .id = id,
                        .machine = *machine,
                        .name = group == GROUP_CONTROL ? "control" : "jobs",
                        .settings = defaults,
                        .first_index = 1};
    log_election_reset(log);
}

int log_load(struct log *log)
{
    int rc = log_snapshot_load(log);
    if (!rc)
        rc = log_store_load(log);
    if (rc)
        return rc;
    log_members_refresh(log);
    log->commit = log->applied = log->snapshot_index;
    log->synced = log_last(log);
    return log_store_open(log);
}

int64_t log_last(const struct log *log) { return log->first_index + log->n_entries - 1; }

int64_t log_term_at(const struct log *log, int64_t index)
{
    if (index == log->snapshot_index)
        return log->snapshot_term;
    if (index == log->first_index - 1)
        return log->dropped_term;
    if (index < log->first_index || index > log_last(log))
        return index ? -1 : 0;
    return log->entries[index - log->first_index].term;
}

void log_entry_add(struct log *log, int64_t term, int64_t kind, const struct bytes *body)
{
    struct log_entry *entry = array_add(log->entries, log->n_entries);
    entry->term = term;
    entry->kind = kind;
    if (body)
        bytes_copy(&entry->body, body);
}

void log_entries_cut(struct log *log, int64_t from_index)
{
    while (log->n_entries && log_last(log) >= from_index)
        bytes_free(&log->entries[--log->n_entries].body);
    if (log->synced > log_last(log))
        log->synced = log_last(log);
}

int64_t log_entry_bytes(const struct log_entry *entry) { return entry->body.len + (int64_t)sizeof *entry; }

int64_t log_drop_index_for_bytes(const struct log *log, int64_t bytes)
{
    int64_t index = log->applied;
    while (index >= log->first_index) {
        bytes -= log_entry_bytes(&log->entries[index - log->first_index]);
        if (bytes < 0)
            break;
        index--;
    }
    return index;
}

void log_entries_drop(struct log *log, int64_t last_index)
{
    int64_t n = last_index - log->first_index + 1;
    if (n <= 0)
        return;
    if (n > log->n_entries)
        n = log->n_entries;
    if (n > 0)
        log->dropped_term = log->entries[n - 1].term;
    for (int64_t i = 0; i < n; i++)
        bytes_free(&log->entries[i].body);
    log->n_entries -= n;
    if (log->n_entries)
        memmove(log->entries, log->entries + n, sizeof *log->entries * (size_t)log->n_entries);
    log->first_index += n;
}

void log_send(struct log *log, int64_t to_id, enum frame_kind kind, const struct schema *schema, const void *msg)
{
    const struct log_member *member = log_member(log, to_id);
    int64_t to = member ? member->addr : to_id == log->last_sender_id ? log->last_sender_addr : 0;
    if (!to || log->broken)
        return;
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, log->cluster, log->w->self, schema, msg);
    log->w->calls->send(log->w, (uint64_t)to, out, 0);
    blob_drop(out);
}

void log_propose(struct log *log, int64_t kind, const struct bytes *op, log_done *done, void *arg, int64_t tag)
{
    if (log->role != LOG_LEADER || log->broken) {
        if (done)
            done(arg, tag, ERROR_NOT_LEADER, NULL);
        return;
    }
    log_entry_add(log, log->term, kind, op);
    int64_t index = log_last(log);
    log_store_entry(log, index, &log->entries[log->n_entries - 1]);
    if (kind == ENTRY_MEMBERS)
        log_members_refresh(log);
    if (done)
        *array_add(log->pending, log->n_pending) =
            (struct log_pending){.index = index, .term = log->term, .done = done, .arg = arg, .tag = tag};
}

void log_read(struct log *log, log_done *done, void *arg, int64_t tag)
{
    if (log->role != LOG_LEADER || log->broken) {
        done(arg, tag, ERROR_NOT_LEADER, NULL);
        return;
    }
    *array_add(log->reads, log->n_reads) =
        (struct log_read){.round = log->round + 1, .done = done, .arg = arg, .tag = tag, .since_ms = world_ms(log->w)};
    if (log->heartbeat_due_ms > world_ms(log->w) + 10)
        log->heartbeat_due_ms = world_ms(log->w) + 10;
}

/* Completes all pending proposals and reads with error. The callbacks may call into the log again, so both lists are
 * detached first. */
static void fail_waiting(struct log *log, int error)
{
    struct log_pending *pending = log->pending;
    struct log_read *reads = log->reads;
    int64_t n_pending = log->n_pending, n_reads = log->n_reads;
    log->pending = NULL, log->n_pending = 0;
    log->reads = NULL, log->n_reads = 0;
    for (int64_t i = 0; i < n_pending; i++)
        pending[i].done(pending[i].arg, pending[i].tag, error, NULL);
    for (int64_t i = 0; i < n_reads; i++)
        reads[i].done(reads[i].arg, reads[i].tag, error, NULL);
    free(pending);
    free(reads);
}

/* Completes the proposal pending at index. If the entry there has another term, the proposal was overwritten. */
static void complete_proposal(struct log *log, int64_t index, int64_t term, const struct bytes *result)
{
    for (int64_t i = 0; i < log->n_pending; i++) {
        struct log_pending p = log->pending[i];
        if (p.index != index)
            continue;
        log->pending[i] = log->pending[--log->n_pending];
        p.done(p.arg, p.tag, p.term == term ? ERROR_NONE : ERROR_NOT_LEADER, result);
        return;
    }
}

void log_apply(struct log *log)
{
    while (log->applied < log->commit) {
        int64_t index = ++log->applied;
        struct log_entry *entry = &log->entries[index - log->first_index];
        struct bytes result = {0};
        int64_t term = entry->term;
        int has_caller = 0;
        for (int64_t i = 0; i < log->n_pending && !has_caller; i++)
            has_caller = log->pending[i].index == index;
        log->applied_bytes += log_entry_bytes(entry);
        if (entry->kind == ENTRY_OP)
            log->machine.apply(log->machine.arg, index, &entry->body, has_caller ? &result : NULL);
        if (has_caller)
            complete_proposal(log, index, term, &result);
        bytes_free(&result);
    }
    if (log->applied - log->snapshot_index >= log->settings.snapshot_every ||
        log->applied_bytes >= log->settings.snapshot_bytes)
        log_snapshot_save(log);
}

static int has_match(const struct log *log, int64_t id, int64_t index)
{
    if (id == log->id)
        return log->synced >= index;
    if (id == log->excluded_voter_id)
        return 0;
    for (int64_t i = 0; i < log->n_peers; i++)
        if (log->peers[i].id == id)
            return log->peers[i].match >= index;
    return 0;
}

/* Only entries of the leader's own term are committed by counting acknowledgements; earlier ones follow with them. */
void log_advance(struct log *log)
{
    int64_t index = log_last(log);
    if (log->role != LOG_LEADER)
        return;
    while (index > log->commit && log_term_at(log, index) == log->term && !log_quorum(log, has_match, index))
        index--;
    if (index <= log->commit || log_term_at(log, index) != log->term)
        return;
    int changed = log->members_index > log->commit && log->members_index <= index;
    log->commit = index;
    log_apply(log);
    if (changed) /* send the commit index at once, so that all members know the new voters */
        log_replicate(log, 1);
    /* a leader that a committed change removed from the voters steps down */
    if (log->members_index <= log->commit && !log_is_voter(log, log->id))
        log_become_follower(log, log->term, 0);
    else
        log_replicate(log, 0);
}

void log_exclude_from_commit(struct log *log, int64_t id)
{
    log->excluded_voter_id = id;
    log_advance(log);
}

void log_flush(struct log *log)
{
    if (log->broken)
        return;
    if (log->role == LOG_LEADER && log->synced < log_last(log))
        log_replicate(log, 0);
    if (log->synced < log_last(log) && !log_store_sync(log))
        log_advance(log);
    if (log->role == LOG_LEADER && log->slow_syncs >= 3 && !log_hand_over(log))
        world_note(log->w, EV_DISK_SLOW, "log=%s syncMs=%lld", log->name, (long long)log->last_sync_ms);
}

static int heard_since(const struct log *log, int64_t id, int64_t since_ms)
{
    if (id == log->id)
        return 1;
    for (int64_t i = 0; i < log->n_peers; i++)
        if (log->peers[i].id == id)
            return log->peers[i].heard_ms >= since_ms;
    return 0;
}

/* Steps down because no majority has replied since since_ms, and logs the voters that have not. */
static void step_down_without_majority(struct log *log, int64_t since_ms)
{
    struct bytes unheard = {0};
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        if (!log_is_voter(log, m->id) || heard_since(log, m->id, since_ms))
            continue;
        const char *addr = addr_text((uint64_t)m->addr);
        if (unheard.len)
            bytes_add(&unheard, ",", 1);
        bytes_add(&unheard, addr, (int64_t)strlen(addr));
    }
    bytes_add(&unheard, "", 1);
    world_note(log->w, EV_MAJORITY_LOST, "log=%s term=%lld unheard=%s", log->name, (long long)log->term,
               (const char *)unheard.at);
    bytes_free(&unheard);
    log_become_follower(log, log->term, 0);
}

void log_on_timer(struct log *log)
{
    int64_t now_ms = world_ms(log->w);
    log_transfer_free_unused(log);
    if (log->broken) {
        if (log->n_pending || log->n_reads)
            fail_waiting(log, ERROR_NOT_LEADER);
        return;
    }
    if (log->role == LOG_LEADER) {
        if (now_ms - log->leader_since_ms > log->settings.election_ms * 3 / 2 &&
            !log_quorum(log, heard_since, now_ms - log->settings.election_ms * 3 / 2))
            step_down_without_majority(log, now_ms - log->settings.election_ms * 3 / 2);
        else if (now_ms >= log->heartbeat_due_ms)
            log_replicate(log, 1);
    } else if (now_ms >= log->election_due_ms) {
        log_election_reset(log);
        if (log_is_voter(log, log->id))
            log_request_votes(log, 1, 0);
    }
    if (log->role != LOG_LEADER && (log->n_pending || log->n_reads))
        fail_waiting(log, ERROR_NOT_LEADER);
}

int log_on_frame(struct log *log, const struct frame *frame)
{
    union {
        struct log_vote_request request;
        struct log_vote vote;
        struct log_append append;
        struct log_appended appended;
        struct log_snapshot snapshot;
        struct log_chunk chunk;
        struct log_chunk_ack ack;
        struct log_lead_now now;
    } m;
    static const struct schema *const schemas[FRAME_LAST] = {[FRAME_VOTE_REQUEST] = &log_vote_request_schema,
                                                             [FRAME_VOTE] = &log_vote_schema,
                                                             [FRAME_APPEND] = &log_append_schema,
                                                             [FRAME_APPENDED] = &log_appended_schema,
                                                             [FRAME_SNAPSHOT] = &log_snapshot_schema,
                                                             [FRAME_SNAPSHOT_CHUNK] = &log_chunk_schema,
                                                             [FRAME_SNAPSHOT_CHUNK_ACK] = &log_chunk_ack_schema,
                                                             [FRAME_LEAD_NOW] = &log_lead_now_schema};
    const struct schema *schema = schemas[frame->kind];
    if (log->broken)
        return ERROR_DISK;
    memset(&m, 0, sizeof m);
    if (!schema || schema_unpack(schema, &m, frame->body, frame->len))
        return ERROR_BAD_FRAME;
    /* all messages start with group, term, from, to */
    if (m.now.group == log->group && m.now.to == log->id) {
        log->last_sender_id = m.now.from;
        log->last_sender_addr = (int64_t)frame->from;
        switch (frame->kind) {
        case FRAME_VOTE_REQUEST: log_on_vote_request(log, &m.request); break;
        case FRAME_VOTE: log_on_vote(log, &m.vote); break;
        case FRAME_APPEND: log_on_append(log, &m.append); break;
        case FRAME_APPENDED: log_on_appended(log, &m.appended); break;
        case FRAME_SNAPSHOT: log_on_snapshot(log, &m.snapshot); break;
        case FRAME_SNAPSHOT_CHUNK: log_on_chunk(log, &m.chunk); break;
        case FRAME_SNAPSHOT_CHUNK_ACK: log_on_chunk_ack(log, &m.ack); break;
        default:
            if (m.now.term == log->term && log->role != LOG_LEADER && log_is_voter(log, log->id))
                log_request_votes(log, 0, 1);
        }
    }
    schema_free(schema, &m);
    return ERROR_NONE;
}

int log_bootstrap(struct log *log, const struct log_members *members)
{
    struct bytes body = {0};
    schema_pack(&log_members_schema, members, &body);
    log->term = 1;
    log_store_vote(log);
    log_entry_add(log, 1, ENTRY_MEMBERS, &body);
    log_store_entry(log, 1, &log->entries[0]);
    bytes_free(&body);
    int rc = log_store_sync(log);
    if (!rc)
        log->synced = 1;
    log_members_refresh(log);
    log->election_due_ms = world_ms(log->w);
    return rc;
}

void log_end(struct log *log)
{
    log_entries_cut(log, 0);
    free(log->entries);
    bytes_free(&log->outgoing.data);
    bytes_free(&log->incoming.data);
    schema_free(&log_members_schema, &log->members);
    schema_free(&log_members_schema, &log->snapshot_members);
    free(log->peers);
    free(log->pending);
    free(log->reads);
    free(log->segments);
}
