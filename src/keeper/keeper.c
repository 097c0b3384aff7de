/* A keeper's life cycle, its state machines of the two logs, its frames and its API. */
#include "keeper/keeper.h"

#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

/* --- state machine of the jobs log: the rows of all shards ------------------------- */

static void jobs_apply(void *arg, int64_t index, const struct bytes *op, struct bytes *out)
{
    struct keeper *keeper = arg;
    struct batch batch = {0};
    struct batch_result result = {.error = ERROR_BAD_FRAME};
    (void)index;
    if (!schema_unpack(&batch_schema, &batch, op->at, op->len) && batch.shard >= 0 && batch.shard < SHARD_COUNT) {
        result.error = ERROR_NONE;
        rows_apply_batch(&keeper->shards[batch.shard], &batch, &result);
        if (out && batch.open && !result.error)
            rows_snapshot(&keeper->shards[batch.shard], &result.snapshot);
    }
    if (out)
        schema_pack(&batch_result_schema, &result, out);
    schema_free(&batch_result_schema, &result);
    schema_free(&batch_schema, &batch);
}

static void jobs_snapshot(void *arg, struct bytes *to)
{
    struct keeper *keeper = arg;
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct bytes shard = {0};
        rows_snapshot(&keeper->shards[i], &shard);
        bytes_add(to, &shard.len, sizeof shard.len);
        bytes_add(to, shard.at, shard.len);
        bytes_free(&shard);
    }
}

/* Reads a snapshot of all shards into a list of SHARD_COUNT initialized rows. */
static int jobs_read(struct rows *to, const struct bytes *from)
{
    int64_t off = 0;
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct bytes shard = {0};
        if (off + (int64_t)sizeof shard.len > from->len)
            return ERROR_DISK;
        memcpy(&shard.len, from->at + off, sizeof shard.len);
        off += (int64_t)sizeof shard.len;
        if (shard.len < 0 || off + shard.len > from->len)
            return ERROR_DISK;
        shard.at = from->at + off;
        off += shard.len;
        if (rows_restore(&to[i], &shard))
            return ERROR_DISK;
    }
    return off == from->len ? ERROR_NONE : ERROR_DISK;
}

/* On an error all shards stay as they were. */
static int jobs_restore(void *arg, const struct bytes *from)
{
    struct keeper *keeper = arg;
    struct rows *fresh = must_alloc(sizeof *fresh * SHARD_COUNT);
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        rows_start(&fresh[i], i);
    int rc = jobs_read(fresh, from);
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        if (!rc) {
            struct rows former = keeper->shards[i];
            keeper->shards[i] = fresh[i];
            fresh[i] = former;
        }
        rows_end(&fresh[i]);
    }
    free(fresh);
    return rc;
}

/* --- state machine of the control log: the configuration tree ------------------------------------ */

static void control_apply(void *arg, int64_t index, const struct bytes *op, struct bytes *out)
{
    (void)index;
    config_tree_apply(&((struct keeper *)arg)->config_tree, op, out);
    ((struct keeper *)arg)->notice_due = 1;
}

static void control_snapshot(void *arg, struct bytes *to)
{
    config_tree_snapshot(&((struct keeper *)arg)->config_tree, to);
}

static int control_restore(void *arg, const struct bytes *from)
{
    return config_tree_restore(&((struct keeper *)arg)->config_tree, from);
}

/* --- life cycle --------------------------------------------------------------------------- */

int keeper_start(struct keeper *keeper, struct world *world, const struct peer_setup *setup)
{
    *keeper = (struct keeper){.world = world, .cluster = (uint32_t)hash_text(setup->cluster), .boot = setup->boot};
    keeper->zone = must_dup(setup->zone);
    keeper->started_ms = world_ms(world);
    for (int64_t i = 0; i < setup->n_seeds && i < COUNT_OF(keeper->seeds); i++)
        keeper->seeds[keeper->n_seeds++] = setup->seeds[i];
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        rows_start(&keeper->shards[i], i);
    peers_start(&keeper->peers, world, ROLE_KEEPER, setup);
    int rc = keeper_bootstrap_identity(keeper);
    const struct log_machine machines[GROUP_COUNT] = {
        {.arg = keeper, .apply = control_apply, .snapshot = control_snapshot, .restore = control_restore},
        {.arg = keeper, .apply = jobs_apply, .snapshot = jobs_snapshot, .restore = jobs_restore}};
    for (int64_t g = 0; g < GROUP_COUNT; g++) {
        log_start(&keeper->logs[g], world, keeper->cluster, g, keeper->id, &machines[g]);
        if (!rc)
            rc = log_load(&keeper->logs[g]);
    }
    if (!rc)
        keeper_bootstrap_finish(keeper);
    return rc;
}

void keeper_end(struct keeper *keeper)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_end(&keeper->logs[g]);
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        rows_end(&keeper->shards[i]);
    for (int64_t i = 0; i < keeper->n_bootstrap_peers; i++)
        free(keeper->bootstrap_peers[i].zone);
    for (int64_t i = 0; i < keeper->n_joiners; i++)
        free(keeper->joiners[i].zone);
    slab_end(&keeper->pending_requests);
    config_tree_end(&keeper->config_tree);
    peers_end(&keeper->peers);
    free(keeper->zone);
}

void keeper_send(struct keeper *keeper, int64_t to, enum frame_kind kind, const struct schema *schema, const void *msg)
{
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, keeper->cluster, keeper->world->self, schema, msg);
    keeper->world->calls->send(keeper->world, (uint64_t)to, out, frame_lossy(kind));
    blob_drop(out);
}

static void note_dropped(struct keeper *keeper, const struct frame *frame)
{
    keeper->frames_dropped++;
    world_note(keeper->world, EV_FRAME_DROPPED, "from=%s kind=%d", frame ? addr_text(frame->from) : "?",
               frame ? (int)frame->kind : 0);
}

static int on_node_frame(struct keeper *keeper, const struct frame *frame)
{
    struct control_updates_request request = {0};
    struct propose propose = {0};
    if (frame->kind == FRAME_CONTROL_UPDATES_REQUEST) {
        if (schema_unpack(&control_updates_request_schema, &request, frame->body, frame->len))
            return ERROR_BAD_FRAME;
        updates_on_request(keeper, (int64_t)frame->from, &request);
    } else {
        if (schema_unpack(&propose_schema, &propose, frame->body, frame->len))
            return ERROR_BAD_FRAME;
        keeper_on_propose(keeper, (int64_t)frame->from, &propose);
        schema_free(&propose_schema, &propose);
    }
    return ERROR_NONE;
}

void keeper_on_frame(struct keeper *keeper, const uint8_t *at, int64_t len)
{
    struct frame frame;
    int rc = ERROR_NONE;
    if (keeper->logs[0].broken || keeper->logs[1].broken)
        keeper->silent = 1;
    if (keeper->silent)
        return;
    if (frame_parse(&frame, at, len, keeper->cluster)) {
        note_dropped(keeper, NULL);
        return;
    }
    if (frame_lossy(frame.kind))
        rc = peers_on_frame(&keeper->peers, &frame);
    else if (frame_is_for_log(frame.kind))
        for (int64_t g = 0; g < GROUP_COUNT && !rc; g++)
            rc = log_on_frame(&keeper->logs[g], &frame);
    else if (frame.kind >= FRAME_BOOTSTRAP_STATUS_REQUEST && frame.kind <= FRAME_JOIN)
        keeper_bootstrap_on_frame(keeper, &frame);
    else if (frame.kind == FRAME_CONTROL_UPDATES_REQUEST || frame.kind == FRAME_PROPOSE)
        rc = on_node_frame(keeper, &frame);
    else
        rc = ERROR_BAD_FRAME;
    if (rc)
        note_dropped(keeper, &frame);
}

void keeper_flush(struct keeper *keeper)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_flush(&keeper->logs[g]);
    if (keeper->notice_due)
        updates_notify(keeper);
}

void keeper_on_timer(struct keeper *keeper)
{
    if (keeper->logs[0].broken || keeper->logs[1].broken)
        keeper->silent = 1;
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_on_timer(&keeper->logs[g]);
    if (keeper->silent)
        return;
    peers_on_timer(&keeper->peers);
    keeper->boot = keeper->peers.self.boot;
    keeper_bootstrap_on_timer(keeper);
    replace_on_timer(keeper);
    ownership_on_timer(keeper);
    keeper_flush(keeper);
}

void keeper_leave(struct keeper *keeper)
{
    keeper->leaving = 1;
    peers_leave(&keeper->peers);
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        log_hand_over(&keeper->logs[g]);
}

int keeper_has_left(const struct keeper *keeper)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        if (keeper->logs[g].role == LOG_LEADER)
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

void keeper_request(struct keeper *keeper, int64_t slot, const char *method, const char *path, const char *body,
                    int64_t len)
{
    (void)body, (void)len;
    if (strcmp(method, "GET") || strcmp(path, "/v1/status")) {
        world_answer(keeper->world, slot, ERROR_NOT_FOUND,
                     "a keeper serves only GET /v1/status; send other requests to a node");
        return;
    }
    json_t *out =
        json_pack("{s:s,s:s,s:s,s:I,s:b,s:o,s:o}", "role", "keeper", "addr", addr_text(keeper->world->self), "zone",
                  keeper->zone, "framesDropped", (json_int_t)keeper->frames_dropped, "silent", (int)keeper->silent,
                  "control", log_view(&keeper->logs[0]), "jobs", log_view(&keeper->logs[1]));
    char *text = json_dumps(out, JSON_COMPACT);
    json_decref(out);
    keeper->world->calls->answer(keeper->world, slot, 200, 0, text);
    free(text);
}
