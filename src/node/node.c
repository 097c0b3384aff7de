/* A node's life cycle, its queues and their settings, and the dispatch of frames to their handlers. */
#include "node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

void node_start(struct node *node, struct world *w, const struct peer_setup *setup)
{
    *node = (struct node){.w = w, .cluster = (uint32_t)hash_text(setup->cluster), .boot = setup->boot};
    node->cluster_name = must_dup(setup->cluster);
    node->started_ms = world_ms(w);
    node->confirmed_ms = node->started_ms - ADMISSION_MS;
    node->ownerships_generation = node->settings_generation = -1;
    schema_defaults(&settings_schema, &node->root_settings);
    peers_start(&node->peers, w, ROLE_NODE, setup);
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        node->shards[i].no = i;
        rows_start(&node->shards[i].rows, i);
    }
}

static void free_proposals(struct node *node)
{
    for (int64_t i = 0; i < node->proposals.cap; i++) {
        struct proposal *proposal = slab_at(&node->proposals, slab_number(&node->proposals, i));
        if (proposal)
            bytes_free(&proposal->op);
    }
    slab_end(&node->proposals);
}

void node_end(struct node *node)
{
    executor_owners_end(node);
    shards_end(node);
    for (int64_t i = 0; i < node->stagings.cap; i++)
        staging_free(node, slab_number(&node->stagings, i));
    free_proposals(node);
    slab_end(&node->requests);
    slab_end(&node->stagings);
    for (int64_t i = 0; i < node->n_queues; i++)
        free(node->queues[i].path);
    free(node->queues);
    for (int64_t i = 0; i < node->n_executor_summaries; i++)
        schema_free(&executor_summary_schema, &node->executor_summaries[i]);
    free(node->executor_summaries);
    journal_end(&node->journal);
    config_tree_end(&node->config_tree);
    peers_end(&node->peers);
    free(node->cluster_name);
}

int64_t node_fleet_ms(const struct node *node) { return peers_fleet_ms(&node->peers); }

void node_journal_add(struct node *node, int64_t job, int64_t task, int64_t attempt, const char *what,
                      const char *detail)
{
    const struct journal_event event = {
        .at_ms = node_fleet_ms(node), .job = job, .task = task, .attempt = attempt, .what = what};
    journal_add(&node->journal, &event, detail);
}

void node_send(struct node *node, int64_t to, enum frame_kind kind, const struct schema *schema, const void *msg)
{
    if (!to)
        return;
    struct blob *out = blob_new();
    frame_build(&out->bytes, kind, node->cluster, node->w->self, schema, msg);
    if (to == (int64_t)node->w->self)
        node_on_frame(node, out->bytes.at, out->bytes.len);
    else
        node->w->calls->send(node->w, (uint64_t)to, out, frame_lossy(kind));
    blob_drop(out);
}

int64_t node_queue(struct node *node, const char *service, const char *queue)
{
    char path[160];
    snprintf(path, sizeof path, "root/%s/%s", service, queue);
    for (int64_t i = 0; i < node->n_queues; i++)
        if (!strcmp(node->queues[i].path, path))
            return i;
    *array_add(node->queues, node->n_queues) = (struct queue){.path = must_dup(path), .generation = -1};
    return node->n_queues - 1;
}

const struct settings *node_settings(struct node *node, int64_t queue)
{
    struct queue *item = &node->queues[queue];
    if (item->generation != node->config_tree.version) {
        config_tree_effective(&node->config_tree, item->path, &item->settings);
        item->generation = node->config_tree.version;
    }
    return &item->settings;
}

static void on_unpacked_frame(struct node *node, const struct frame *frame)
{
    union {
        struct control_updates updates;
        struct control_updates_request notice;
        struct proposed proposed;
        struct forward_request forward_request;
        struct forward_response forward_response;
        struct executor_summaries_msg executor_summaries;
        struct reserve_request reserve_request;
        struct reserve_reply reserve_reply;
        struct start_order start;
        struct check_request check_request;
        struct check_reply check_reply;
        struct ended ended;
    } message;
    static const struct schema *const schemas[FRAME_LAST] = {
        [FRAME_CONTROL_UPDATES] = &control_updates_schema,
        [FRAME_CONTROL_UPDATES_NOTICE] = &control_updates_request_schema,
        [FRAME_PROPOSED] = &proposed_schema,
        [FRAME_FORWARD_REQUEST] = &forward_request_schema,
        [FRAME_FORWARD_RESPONSE] = &forward_response_schema,
        [FRAME_EXECUTOR_SUMMARIES] = &executor_summaries_msg_schema,
        [FRAME_RESERVE] = &reserve_request_schema,
        [FRAME_RESERVED] = &reserve_reply_schema,
        [FRAME_RELEASE] = &reserve_request_schema,
        [FRAME_START] = &start_order_schema,
        [FRAME_STOP] = &check_request_schema,
        [FRAME_GANG_START] = &check_request_schema,
        [FRAME_CHECK] = &check_request_schema,
        [FRAME_CHECKED] = &check_reply_schema,
        [FRAME_ENDED] = &ended_schema,
        [FRAME_ENDED_ACK] = &ended_schema};
    const struct schema *schema = schemas[frame->kind];
    int64_t from = (int64_t)frame->from;
    memset(&message, 0, sizeof message);
    if (!schema || schema_unpack(schema, &message, frame->body, frame->len)) {
        node->frames_dropped++;
        world_note(node->w, EV_FRAME_DROPPED, "from=%s kind=%d", addr_text(frame->from), frame->kind);
        return;
    }
    switch (frame->kind) {
    case FRAME_CONTROL_UPDATES: follow_on_updates(node, from, &message.updates); break;
    case FRAME_CONTROL_UPDATES_NOTICE: follow_on_notice(node, &message.notice); break;
    case FRAME_PROPOSED: node_on_proposed(node, from, &message.proposed); break;
    case FRAME_FORWARD_REQUEST: node_on_forward_request(node, from, &message.forward_request); break;
    case FRAME_FORWARD_RESPONSE: node_on_forward_response(node, &message.forward_response); break;
    case FRAME_EXECUTOR_SUMMARIES: executor_summaries_merge(node, from, &message.executor_summaries); break;
    case FRAME_RESERVE: executor_owner_on_reserve(node, from, &message.reserve_request); break;
    case FRAME_RESERVED: place_on_reserved(node, &message.reserve_reply); break;
    case FRAME_RELEASE: executor_owner_on_release(node, from, &message.reserve_request); break;
    case FRAME_START: executor_owner_on_start(node, from, &message.start); break;
    case FRAME_STOP: executor_owner_on_stop(node, from, &message.check_request); break;
    case FRAME_GANG_START: executor_owner_on_go(node, &message.check_request); break;
    case FRAME_CHECK: executor_owner_on_check(node, from, &message.check_request); break;
    case FRAME_CHECKED: track_on_checked(node, &message.check_reply); break;
    case FRAME_ENDED: track_on_ended(node, &message.ended); break;
    case FRAME_ENDED_ACK: executor_owner_on_ended_ack(node, &message.ended); break;
    default: break;
    }
    schema_free(schema, &message);
}

void node_on_frame(struct node *node, const uint8_t *at, int64_t len)
{
    struct frame frame;
    if (frame_parse(&frame, at, len, node->cluster)) {
        node->frames_dropped++;
        world_note(node->w, EV_FRAME_DROPPED, "bytes=%lld", (long long)len);
        return;
    }
    if (frame_lossy(frame.kind))
        peers_on_frame(&node->peers, &frame);
    else
        on_unpacked_frame(node, &frame);
}

void node_on_timer(struct node *node)
{
    peers_on_timer(&node->peers);
    node->boot = node->peers.self.boot;
    follow_on_timer(node);
    proposals_on_timer(node);
    api_on_timer(node);
    shards_on_timer(node);
    place_on_timer(node);
    executor_owners_on_timer(node);
}

void node_leave(struct node *node)
{
    node->leaving = 1;
    peers_leave(&node->peers);
}

int node_has_left(const struct node *node)
{
    for (int64_t i = 0; i < node->config_tree.n_ownerships; i++)
        if (node->config_tree.ownerships[i].owner == (int64_t)node->w->self &&
            node->config_tree.ownerships[i].boot == node->boot)
            return 0;
    return 1;
}
