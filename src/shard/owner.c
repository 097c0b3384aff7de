/* Ownership of shards: a shard is opened in the jobs log under its owner's epoch, and given up under a higher one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { OPEN_TIMEOUT_MS = 2000 };

int64_t shard_owner(const struct node *node, int64_t shard)
{
    char name[32];
    snprintf(name, sizeof name, "shard/%lld", (long long)shard);
    const struct ownership *ownership = config_tree_ownership(&node->config_tree, name);
    return ownership ? ownership->owner : 0;
}

static void buffered_free(struct buffered_op *buffered_op) { schema_free(&op_schema, &buffered_op->op); }

void shard_lose(struct node *node, struct shard *shard, const char *why)
{
    if (shard->state == SHARD_NONE)
        return;
    world_note(node->w, EV_SHARD_LOST, "shard=%lld epoch=%lld why=%s", (long long)shard->no, (long long)shard->epoch,
               why);
    shard->state = SHARD_NONE;
    struct buffered_op *buffer = shard->buffer;
    int64_t n = shard->n_buffer;
    shard->buffer = NULL;
    shard->n_buffer = shard->in_flight = shard->proposal = 0;
    for (int64_t i = 0; i < n; i++) {
        if (buffer[i].request)
            api_error(node, buffer[i].request, ERROR_NO_OWNER,
                      "the shard moved to another owner; retry with the same key");
        buffered_free(&buffer[i]);
    }
    free(buffer);
    for (int64_t i = 0; i < node->stagings.cap; i++) {
        int64_t number = slab_number(&node->stagings, i);
        struct staging *staging = slab_at(&node->stagings, number);
        if (staging && staging->shard == shard->no)
            staging_free(node, number);
    }
    ready_clear(shard);
    free(shard->placed);
    shard->placed = NULL;
    shard->n_placed = 0;
    rows_end(&shard->rows);
}

static void on_open_result(struct node *node, int64_t tag, int error, const struct bytes *bytes)
{
    struct shard *shard = &node->shards[tag % SHARD_COUNT];
    struct batch_result result = {0};
    if (shard->state != SHARD_OPENING || tag / SHARD_COUNT != shard->epoch)
        return;
    shard->proposal = 0;
    shard->retry_ms = world_ms(node->w) + 100;
    if (error || schema_unpack(&batch_result_schema, &result, bytes->at, bytes->len))
        return;
    if (result.error == ERROR_EPOCH) {
        shard_lose(node, shard, "it is open under a higher epoch");
    } else if (!result.error && !rows_restore(&shard->rows, &result.snapshot)) {
        shard->state = SHARD_OPEN;
        shard->seq = result.seq;
        shard->breaker = (struct breaker){0};
        ready_rebuild(node, shard);
        world_note(node->w, EV_SHARD_OPEN, "shard=%lld epoch=%lld jobs=%lld live=%lld tookMs=%lld",
                   (long long)shard->no, (long long)shard->epoch, (long long)shard->rows.n_jobs,
                   (long long)shard->rows.n_live, (long long)(world_ms(node->w) - shard->open_since_ms));
    }
    schema_free(&batch_result_schema, &result);
}

static void propose_open(struct node *node, struct shard *shard)
{
    struct batch batch = {.shard = shard->no, .epoch = shard->epoch, .open = 1};
    struct bytes op = {0};
    schema_pack(&batch_schema, &batch, &op);
    shard->proposal =
        node_propose(node, GROUP_JOBS, &op, OPEN_TIMEOUT_MS, on_open_result, shard->epoch * SHARD_COUNT + shard->no);
}

void shard_on_owner_change(struct node *node, struct shard *shard, int64_t epoch, int mine)
{
    if (epoch <= shard->epoch)
        return;
    shard_lose(node, shard, "another owner was assigned");
    shard->epoch = epoch;
    if (!mine)
        return;
    shard->state = SHARD_OPENING;
    shard->proposal = 0;
    shard->open_since_ms = world_ms(node->w);
}

void shards_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    int any_open = 0;
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct shard *shard = &node->shards[i];
        if (shard->state == SHARD_OPENING && !shard->proposal && now_ms >= shard->retry_ms)
            propose_open(node, shard);
        if (shard->state != SHARD_OPEN)
            continue;
        if (admission_open(node)) {
            ready_scan(node, shard);
            track_on_timer(node, shard);
        }
        if (shard->state == SHARD_OPEN)
            worker_on_timer(node, shard);
        any_open = 1;
    }
    if (any_open && admission_open(node) && now_ms >= node->runs_due_ms) {
        node->runs_due_ms = now_ms + 200;
        enqueue_runs(node);
    }
}

void shards_end(struct node *node)
{
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct shard *shard = &node->shards[i];
        for (int64_t k = 0; k < shard->n_buffer; k++)
            buffered_free(&shard->buffer[k]);
        free(shard->buffer);
        ready_clear(shard);
        free(shard->placed);
        rows_end(&shard->rows);
    }
}
