/* Commits the ops that a shard's owner buffers: in batches to the jobs log, one batch at a time, behind a circuit
 * breaker. Committed ops are applied to the shard's rows. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { BATCH_TIMEOUT_MS = 1000 };

struct op *worker_buffer(struct node *node, struct shard *shard, int64_t kind, int64_t job, int64_t request,
                         int64_t staging)
{
    struct buffered_op *buffered_op = array_add(shard->buffer, shard->n_buffer);
    buffered_op->request = request;
    buffered_op->staging = staging;
    buffered_op->since_ms = world_ms(node->w);
    buffered_op->op.kind = kind;
    buffered_op->op.job = job;
    buffered_op->op.time_ms = node_fleet_ms(node);
    return &buffered_op->op; /* valid until the next call */
}

/* --- breaker -------------------------------------------------------------------- */

void breaker_record(struct node *node, struct shard *shard, int good, int64_t took_ms)
{
    struct breaker *breaker = &shard->breaker;
    const struct settings *settings = &node->root_settings;
    int64_t now_ms = world_ms(node->w);
    if (now_ms - breaker->window_start_ms > settings->breaker_window_ms)
        *breaker = (struct breaker){
            .window_start_ms = now_ms, .open_until_ms = breaker->open_until_ms, .trips = breaker->trips};
    if (!good)
        breaker->bad++;
    else if (took_ms > settings->breaker_slow_ms)
        breaker->slow++;
    else
        breaker->good++;
    int64_t total = breaker->good + breaker->bad + breaker->slow;
    if (total < settings->breaker_min_ops ||
        (breaker->bad + breaker->slow) * 100 < total * settings->breaker_errors_pct)
        return;
    *breaker = (struct breaker){
        .window_start_ms = now_ms, .open_until_ms = now_ms + settings->breaker_open_ms, .trips = breaker->trips + 1};
    world_note(node->w, EV_BREAKER_OPEN, "shard=%lld for=%lldms", (long long)shard->no,
               (long long)settings->breaker_open_ms);
}

int breaker_closed(struct node *node, struct shard *shard)
{
    struct breaker *breaker = &shard->breaker;
    if (!breaker->open_until_ms)
        return 1;
    if (world_ms(node->w) < breaker->open_until_ms)
        return 0;
    breaker->open_until_ms = 0;
    world_note(node->w, EV_BREAKER_SHUT, "shard=%lld", (long long)shard->no);
    return 1;
}

/* --- batches -------------------------------------------------------------------- */

static void apply_committed(struct node *node, struct shard *shard)
{
    int64_t n = shard->in_flight;
    struct buffered_op *batch = must_alloc(sizeof *batch * (size_t)n);
    memcpy(batch, shard->buffer, sizeof *batch * (size_t)n);
    shard->n_buffer -= n;
    memmove(shard->buffer, shard->buffer + n, sizeof *batch * (size_t)shard->n_buffer);
    shard->in_flight = 0;
    shard->commits += n;
    for (int64_t i = 0; i < n; i++) {
        struct buffered_op *buffered_op = &batch[i];
        shard->seq++;
        shard->rows.seq = shard->seq;
        int rc = rows_apply_op(&shard->rows, &buffered_op->op);
        switch (buffered_op->op.kind) {
        case OP_PLACED: place_committed(node, shard, buffered_op->staging, &buffered_op->op, rc); break;
        case OP_END:
        case OP_NACK:
        case OP_ACK:
        case OP_PREEMPT: track_committed(node, shard, &buffered_op->op); break;
        default: enqueue_committed(node, shard, buffered_op, rc);
        }
        schema_free(&op_schema, &buffered_op->op);
    }
    free(batch);
}

static void on_batch_result(struct node *node, int64_t tag, int error, const struct bytes *bytes)
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
        return; /* the batch is proposed again; ops are applied once, by their sequence numbers */
    if (result.error == ERROR_EPOCH || result.error == ERROR_REJECTED)
        shard_lose(node, shard, "the jobs log refused a batch");
    else if (result.seq >= shard->seq + shard->in_flight)
        apply_committed(node, shard);
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
        batch.ops[i] = shard->buffer[i].op; /* shallow copy, still owned by the buffer */
    schema_pack(&batch_schema, &batch, &op);
    free(batch.ops);
    shard->started_ms = world_ms(node->w);
    shard->proposal =
        node_propose(node, GROUP_JOBS, &op, BATCH_TIMEOUT_MS, on_batch_result, shard->epoch * SHARD_COUNT + shard->no);
}
