#include "keeper/keeper.h"

#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

/* --- the jobs log's machine: every shard's rows ------------------------------------ */

static void jobs_apply(void *arg, int64_t index, const struct bytes *op, struct bytes *out)
{
    struct keeper *k = arg;
    struct batch batch = {0};
    struct batch_result result = {.error = ERROR_BAD_FRAME};
    (void)index;
    if (!schema_unpack(&batch_schema, &batch, op->at, op->len) && batch.shard >= 0 && batch.shard < SHARD_COUNT) {
        result.error = ERROR_NONE;
        rows_apply_batch(&k->shards[batch.shard], &batch, &result);
        if (out && batch.open && !result.error)
            rows_snapshot(&k->shards[batch.shard], &result.snapshot);
    }
    if (out)
        schema_pack(&batch_result_schema, &result, out);
    schema_free(&batch_result_schema, &result);
    schema_free(&batch_schema, &batch);
}

static void jobs_snapshot(void *arg, struct bytes *to)
{
    struct keeper *k = arg;
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct bytes one = {0};
        rows_snapshot(&k->shards[i], &one);
        bytes_add(to, &one.len, sizeof one.len);
        bytes_add(to, one.at, one.len);
        bytes_free(&one);
    }
}

/* Reads all shards into a list of SHARD_COUNT started ones. */
static int jobs_read(struct rows *into, const struct bytes *from)
{
    int64_t off = 0;
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct bytes one = {0};
        if (off + (int64_t)sizeof one.len > from->len)
            return ERROR_DISK;
        memcpy(&one.len, from->at + off, sizeof one.len);
        off += (int64_t)sizeof one.len;
        if (one.len < 0 || off + one.len > from->len)
            return ERROR_DISK;
        one.at = from->at + off;
        off += one.len;
        if (rows_restore(&into[i], &one))
            return ERROR_DISK;
    }
    return off == from->len ? ERROR_NONE : ERROR_DISK;
}

/* All or nothing: what cannot be read leaves the shards as they were. */
static int jobs_restore(void *arg, const struct bytes *from)
{
    struct keeper *k = arg;
    struct rows *fresh = must_alloc(sizeof *fresh * SHARD_COUNT);
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        rows_start(&fresh[i], i);
    int rc = jobs_read(fresh, from);
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        if (!rc) {
            struct rows former = k->shards[i];
            k->shards[i] = fresh[i];
            fresh[i] = former;
        }
        rows_end(&fresh[i]);
    }
    free(fresh);
    return rc;
}

/* --- the control log's machine: the configuration tree ------------------------------------------ */

static void control_apply(void *arg, int64_t index, const struct bytes *op, struct bytes *out)
{
    (void)index;
    config_tree_apply(&((struct keeper *)arg)->config_tree, op, out);
    ((struct keeper *)arg)->news_due = 1;
}

static void control_snapshot(void *arg, struct bytes *to)
{
    config_tree_snapshot(&((struct keeper *)arg)->config_tree, to);
}

static int control_restore(void *arg, const struct bytes *from)
{
    return config_tree_restore(&((struct keeper *)arg)->config_tree, from);
}

/* --- life --------------------------------------------------------------------------------- */

int keeper_start(struct keeper *k, struct world *w, const struct peer_setup *setup)
{
    *k = (struct keeper){.w = w, .cluster = (uint32_t)hash_text(setup->cluster), .boot = setup->boot};
    k->zone = must_dup(setup->zone);
    k->started_ms = world_ms(w);
    for (int64_t i = 0; i < setup->n_seeds && i < COUNT_OF(k->seeds); i++)
        k->seeds[k->n_seeds++] = setup->seeds[i];
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        rows_start(&k->shards[i], i);
    peers_start(&k->peers, w, ROLE_KEEPER, setup);
    int rc = found_identity(k);
    const struct log_machine machines[GROUP_COUNT] = {
        {.arg = k, .apply = control_apply, .snapshot = control_snapshot, .restore = control_restore},
        {.arg = k, .apply = jobs_apply, .snapshot = jobs_snapshot, .restore = jobs_restore}};
    for (int64_t g = 0; g < GROUP_COUNT; g++) {
        log_start(&k->logs[g], w, k->cluster, g, k->id, &machines[g]);
        if (!rc)
            rc = log_load(&k->logs[g]);
    }
    if (!rc)
        found_finish(k);
    return rc;
}

void keeper_end(struct keeper *k)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_end(&k->logs[g]);
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        rows_end(&k->shards[i]);
    for (int64_t i = 0; i < k->n_founders; i++)
        free(k->founders[i].zone);
    for (int64_t i = 0; i < k->n_joiners; i++)
        free(k->joiners[i].zone);
    slab_end(&k->waits);
    config_tree_end(&k->config_tree);
    peers_end(&k->peers);
    free(k->zone);
}

void keeper_send(struct keeper *k, int64_t to, enum frame_kind kind, const struct schema *schema, const void *msg)
{
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, k->cluster, k->w->self, schema, msg);
    k->w->calls->send(k->w, (uint64_t)to, out, frame_lossy(kind));
    blob_drop(out);
}

static void dropped(struct keeper *k, const struct frame *frame)
{
    k->frames_dropped++;
    world_note(k->w, EV_FRAME_DROPPED, "from=%s kind=%d", frame ? addr_text(frame->from) : "?",
               frame ? (int)frame->kind : 0);
}

static int take_config_tree(struct keeper *k, const struct frame *frame)
{
    struct confirm confirm = {0};
    struct propose propose = {0};
    if (frame->kind == FRAME_CONTROL_UPDATES_REQUEST) {
        if (schema_unpack(&control_updates_request_schema, &confirm, frame->body, frame->len))
            return ERROR_BAD_FRAME;
        feed_on_confirm(k, (int64_t)frame->from, &confirm);
    } else {
        if (schema_unpack(&propose_schema, &propose, frame->body, frame->len))
            return ERROR_BAD_FRAME;
        feed_on_propose(k, (int64_t)frame->from, &propose);
        schema_free(&propose_schema, &propose);
    }
    return ERROR_NONE;
}

void keeper_on_frame(struct keeper *k, const uint8_t *at, int64_t len)
{
    struct frame frame;
    int rc = ERROR_NONE;
    if (k->logs[0].broken || k->logs[1].broken)
        k->silent = 1;
    if (k->silent)
        return;
    if (frame_parse(&frame, at, len, k->cluster)) {
        dropped(k, NULL);
        return;
    }
    if (frame_lossy(frame.kind))
        rc = peers_on_frame(&k->peers, &frame);
    else if (frame_is_for_log(frame.kind))
        for (int64_t g = 0; g < GROUP_COUNT && !rc; g++)
            rc = log_on_frame(&k->logs[g], &frame);
    else if (frame.kind >= FRAME_BOOTSTRAP_STATUS_REQUEST && frame.kind <= FRAME_JOIN)
        found_take(k, &frame);
    else if (frame.kind == FRAME_CONTROL_UPDATES_REQUEST || frame.kind == FRAME_PROPOSE)
        rc = take_config_tree(k, &frame);
    else
        rc = ERROR_BAD_FRAME;
    if (rc)
        dropped(k, &frame);
}

void keeper_flush(struct keeper *k)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_flush(&k->logs[g]);
    if (k->news_due)
        feed_news(k);
}

void keeper_on_timer(struct keeper *k)
{
    if (k->logs[0].broken || k->logs[1].broken)
        k->silent = 1;
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_on_timer(&k->logs[g]);
    if (k->silent)
        return;
    peers_on_timer(&k->peers);
    k->boot = k->peers.self.boot;
    found_on_timer(k);
    replace_on_timer(k);
    duties_on_timer(k);
    keeper_flush(k);
}

void keeper_leave(struct keeper *k)
{
    k->leaving = 1;
    peers_leave(&k->peers);
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_hand_over(&k->logs[g]);
}

int keeper_has_left(const struct keeper *k)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        if (k->logs[g].role == LOG_LEADER)
            return 0;
    return 1;
}

static json_t *log_view(const struct log *log)
{
    static const char *const roles[] = {"follower", "asking", "candidate", "leader"};
    json_t *members = json_array();
    for (int64_t i = 0; i < log->members.n; i++)
        json_array_append_new(members, json_pack("{s:s,s:b}", "addr", addr_text((uint64_t)log->members.members[i].addr),
                                                 "voter", log_votes_after_change(&log->members.members[i])));
    return json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:b,s:o}", "log", log->name, "role", roles[log->role], "term",
                     (json_int_t)log->term, "last", (json_int_t)log_last(log), "commit", (json_int_t)log->commit,
                     "digest", (json_int_t)log->snapshot_index, "syncs", (json_int_t)log->syncs, "lastSyncMs",
                     (json_int_t)log->last_sync_ms, "broken", (int)log->broken, "members", members);
}

void keeper_request(struct keeper *k, int64_t slot, const char *method, const char *path, const char *body, int64_t len)
{
    (void)body, (void)len;
    if (strcmp(method, "GET") || strcmp(path, "/v1/status")) {
        world_answer(k->w, slot, ERROR_NOT_FOUND, "a keeper shows GET /v1/status only; ask a node");
        return;
    }
    json_t *out = json_pack("{s:s,s:s,s:s,s:I,s:b,s:o,s:o}", "role", "keeper", "addr", addr_text(k->w->self), "zone",
                            k->zone, "framesDropped", (json_int_t)k->frames_dropped, "silent", (int)k->silent,
                            "control", log_view(&k->logs[0]), "jobs", log_view(&k->logs[1]));
    char *text = json_dumps(out, JSON_COMPACT);
    json_decref(out);
    k->w->calls->answer(k->w, slot, 200, 0, text);
    free(text);
}
