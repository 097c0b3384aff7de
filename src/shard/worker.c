/* The worker of a shard: takes what was promised from the buffer to the jobs
 * log in batches, one at a time, behind a breaker. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { BATCH_WAIT_MS = 1000 };

struct op *worker_buffer(struct node *node, struct shard *shard, int64_t kind, int64_t job, int64_t request,
                         int64_t staging)
{
    struct buffered_op *b = array_add(shard->buffer, shard->n_buffer);
    b->request = request;
    b->staging = staging;
    b->since_ms = world_ms(node->w);
    b->op.kind = kind;
    b->op.job = job;
    b->op.time_ms = node_fleet_ms(node);
    return &b->op; /* good until the next call */
}

/* --- breaker -------------------------------------------------------------------- */

void breaker_record(struct node *node, struct shard *shard, int good, int64_t took_ms)
{
    struct breaker *b = &shard->breaker;
    const struct settings *p = &node->root_settings;
    int64_t now_ms = world_ms(node->w);
    if (now_ms - b->window_start_ms > p->breaker_window_ms)
        *b = (struct breaker){.window_start_ms = now_ms, .open_until_ms = b->open_until_ms, .trips = b->trips};
    if (!good)
        b->bad++;
    else if (took_ms > p->breaker_slow_ms)
        b->slow++;
    else
        b->good++;
    int64_t all = b->good + b->bad + b->slow;
    if (all < p->breaker_min_ops || (b->bad + b->slow) * 100 < all * p->breaker_errors_pct)
        return;
    *b = (struct breaker){
        .window_start_ms = now_ms, .open_until_ms = now_ms + p->breaker_open_ms, .trips = b->trips + 1};
    world_note(node->w, EV_BREAKER_OPEN, "shard=%lld for=%lldms", (long long)shard->no, (long long)p->breaker_open_ms);
}

int breaker_closed(struct node *node, struct shard *shard)
{
    struct breaker *b = &shard->breaker;
    if (!b->open_until_ms)
        return 1;
    if (world_ms(node->w) < b->open_until_ms)
        return 0;
    b->open_until_ms = 0;
    world_note(node->w, EV_BREAKER_SHUT, "shard=%lld", (long long)shard->no);
    return 1;
}

/* --- batches -------------------------------------------------------------------- */

static void committed(struct node *node, struct shard *shard)
{
    int64_t n = shard->in_flight;
    struct buffered_op *taken = must_alloc(sizeof *taken * (size_t)n);
    memcpy(taken, shard->buffer, sizeof *taken * (size_t)n);
    shard->n_buffer -= n;
    memmove(shard->buffer, shard->buffer + n, sizeof *taken * (size_t)shard->n_buffer);
    shard->in_flight = 0;
    shard->commits += n;
    for (int64_t i = 0; i < n; i++) {
        struct buffered_op *b = &taken[i];
        shard->seq++;
        shard->rows.seq = shard->seq;
        int rc = rows_fold(&shard->rows, &b->op);
        switch (b->op.kind) {
        case OP_PLACED: place_committed(node, shard, b->staging, &b->op, rc); break;
        case OP_END:
        case OP_NACK:
        case OP_ACK:
        case OP_PREEMPT: track_committed(node, shard, &b->op); break;
        default: enqueue_committed(node, shard, b, rc);
        }
        schema_free(&op_schema, &b->op);
    }
    free(taken);
}

static void batch_done(struct node *node, int64_t tag, int error, const struct bytes *bytes)
{
    struct shard *shard = &node->shards[tag % SHARD_COUNT];
    struct batch_result result = {0};
    if (shard->state != SHARD_OPEN || tag / SHARD_COUNT != shard->epoch)
        return;
    int64_t took_ms = shard->in_flight ? world_ms(node->w) - shard->started_ms : 0;
    shard->proposal = 0;
    if (!error && schema_unpack(&batch_result_schema, &result, bytes->at, bytes->len))
        error = ERROR_BAD_FRAME;
    breaker_record(node, shard, !error, took_ms);
    if (error)
        return; /* the same batch goes again; its numbers make that harmless */
    if (result.error == ERROR_EPOCH || result.error == ERROR_REJECTED)
        shard_lose(node, shard, "denied by the jobs log");
    else if (result.seq >= shard->seq + shard->in_flight)
        committed(node, shard);
    schema_free(&batch_result_schema, &result);
}

void worker_on_timer(struct node *node, struct shard *shard)
{
    if (shard->proposal || !shard->n_buffer || !admission_open(node) || !breaker_closed(node, shard))
        return;
    if (!shard->in_flight) {
        int64_t max = node->root_settings.batch_max;
        shard->in_flight = shard->n_buffer < max ? shard->n_buffer : max;
    }
    struct batch batch = {.shard = shard->no,
                          .epoch = shard->epoch,
                          .seq = shard->seq + 1,
                          .checkpoint_ms = shard->checkpoint_ms,
                          .n_ops = shard->in_flight};
    struct bytes op = {0};
    batch.ops = must_alloc(sizeof *batch.ops * (size_t)batch.n_ops);
    for (int64_t i = 0; i < batch.n_ops; i++)
        batch.ops[i] = shard->buffer[i].op; /* lent */
    schema_pack(&batch_schema, &batch, &op);
    free(batch.ops);
    shard->started_ms = world_ms(node->w);
    shard->proposal =
        node_propose(node, GROUP_JOBS, &op, BATCH_WAIT_MS, batch_done, shard->epoch * SHARD_COUNT + shard->no);
}
