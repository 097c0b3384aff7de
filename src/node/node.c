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
    node->duties_generation = node->settings_generation = -1;
    schema_defaults(&settings_schema, &node->root_settings);
    peers_start(&node->peers, w, ROLE_NODE, setup);
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        node->shards[i].no = i;
        rows_start(&node->shards[i].rows, i);
    }
}

static void drop_proposals(struct node *node)
{
    for (int64_t i = 0; i < node->proposals.cap; i++) {
        struct proposal *p = slab_at(&node->proposals, slab_number(&node->proposals, i));
        if (p)
            bytes_free(&p->op);
    }
    slab_end(&node->proposals);
}

void node_end(struct node *node)
{
    executor_owners_end(node);
    shards_end(node);
    for (int64_t i = 0; i < node->stagings.cap; i++)
        staging_free(node, slab_number(&node->stagings, i));
    drop_proposals(node);
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
    struct queue *q = &node->queues[queue];
    if (q->generation != node->config_tree.version) {
        config_tree_effective(&node->config_tree, q->path, &q->settings);
        q->generation = node->config_tree.version;
    }
    return &q->settings;
}

static void take_typed(struct node *node, const struct frame *frame)
{
    union {
        struct feed feed;
        struct confirm news;
        struct proposed proposed;
        struct send_on send_on;
        struct sent_on sent_on;
        struct executor_summaries_msg executor_summaries;
        struct reserve_request reserve_request;
        struct reserve_reply reserve_reply;
        struct start_order start;
        struct check_request check_request;
        struct check_reply check_reply;
        struct ended ended;
    } m;
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
    memset(&m, 0, sizeof m);
    if (!schema || schema_unpack(schema, &m, frame->body, frame->len)) {
        node->frames_dropped++;
        world_note(node->w, EV_FRAME_DROPPED, "from=%s kind=%d", addr_text(frame->from), frame->kind);
        return;
    }
    switch (frame->kind) {
    case FRAME_CONTROL_UPDATES: follow_on_feed(node, from, &m.feed); break;
    case FRAME_CONTROL_UPDATES_NOTICE: follow_on_news(node, &m.news); break;
    case FRAME_PROPOSED: node_on_proposed(node, from, &m.proposed); break;
    case FRAME_FORWARD_REQUEST: node_on_send_on(node, from, &m.send_on); break;
    case FRAME_FORWARD_RESPONSE: node_on_sent_on(node, &m.sent_on); break;
    case FRAME_EXECUTOR_SUMMARIES: executor_summaries_merge(node, from, &m.executor_summaries); break;
    case FRAME_RESERVE: executor_owner_on_reserve(node, from, &m.reserve_request); break;
    case FRAME_RESERVED: place_on_reserved(node, &m.reserve_reply); break;
    case FRAME_RELEASE: executor_owner_on_release(node, from, &m.reserve_request); break;
    case FRAME_START: executor_owner_on_start(node, from, &m.start); break;
    case FRAME_STOP: executor_owner_on_stop(node, from, &m.check_request); break;
    case FRAME_GANG_START: executor_owner_on_go(node, &m.check_request); break;
    case FRAME_CHECK: executor_owner_on_check(node, from, &m.check_request); break;
    case FRAME_CHECKED: track_on_checked(node, &m.check_reply); break;
    case FRAME_ENDED: track_on_ended(node, &m.ended); break;
    case FRAME_ENDED_ACK: executor_owner_on_ended_ack(node, &m.ended); break;
    default: break;
    }
    schema_free(schema, &m);
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
        take_typed(node, &frame);
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
