/* Placement of ready rows: choose executors (a staging), reserve capacity at the executors' owners, commit the
 * placement to the jobs log, start the tasks. A gang is committed as a whole once all its reservations are made; if one
 * fails, all are released. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { RESERVE_TIMEOUT_MS = 800, PICKS_PER_TICK_MAX = 64, RETRY_MS = 100, QUEUE_BLOCK_MS = 40 };

static struct staging *staging_find(struct node *node, int64_t number) { return slab_at(&node->stagings, number); }

static struct job *staging_job(struct node *node, const struct staging *staging)
{
    return rows_find_job(&node->shards[staging->shard].rows, staging->job);
}

void staging_free(struct node *node, int64_t number)
{
    struct staging *staging = staging_find(node, number);
    if (!staging)
        return;
    for (int64_t i = 0; i < staging->n_places; i++)
        free(staging->places[i].executor);
    free(staging->places);
    node->queues[staging->queue].staged -= staging->n_places;
    slab_free(&node->stagings, number);
}

/* Fills in the request for all tasks of the staging on the executor of entry i. Returns how many there are, or 0 if an
 * earlier entry has the same executor. */
static int64_t build_request(struct node *node, const struct staging *staging, int64_t number, int64_t i,
                             struct reserve_request *message)
{
    const struct reservation *first = &staging->places[i];
    struct job *job = staging_job(node, staging);
    *message = (struct reserve_request){.req = number,
                                        .shard = staging->shard,
                                        .shard_epoch = staging->shard_epoch,
                                        .executor_epoch = first->executor_epoch,
                                        .incarnation = first->incarnation,
                                        .executor = first->executor,
                                        .urgency = staging->urgency};
    for (int64_t k = 0; k < i; k++)
        if (!strcmp(staging->places[k].executor, first->executor))
            return 0; /* contained in the request of that entry */
    for (int64_t k = i; k < staging->n_places; k++) {
        const struct reservation *reservation = &staging->places[k];
        if (strcmp(reservation->executor, first->executor))
            continue;
        const struct task_spec *task = spec_task(&job->spec, reservation->no, NULL);
        *array_add(message->tasks, message->n_tasks) =
            (struct task_ref){.job = job->id,
                              .no = reservation->no,
                              .attempt = job->rows[reservation->no].attempt + 1,
                              .cores = task->cores,
                              .mem_mb = task->mem_mb};
    }
    return message->n_tasks;
}

static void send_to_owners(struct node *node, int64_t number, enum frame_kind kind)
{
    struct staging copy = *staging_find(node, number);
    struct reserve_request message;
    for (int64_t i = 0; i < copy.n_places; i++) {
        if (build_request(node, &copy, number, i, &message))
            node_send(node, copy.places[i].executor_owner, kind, &reserve_request_schema, &message);
        free(message.tasks);
        /* an executor owner on this node may have answered during the call, which can end the staging */
        if (!staging_find(node, number))
            return;
    }
}

/* Releases all reservations of the staging and frees it. Its rows are examined again a little later. */
static void roll_back(struct node *node, int64_t number)
{
    struct staging *staging = staging_find(node, number);
    struct shard *shard = &node->shards[staging->shard];
    struct job *job = staging_job(node, staging);
    int64_t now_ms = node_fleet_ms(node);
    if (job) {
        send_to_owners(node, number, FRAME_RELEASE);
        staging = staging_find(node, number);
        for (int64_t i = 0; i < staging->n_places; i++) {
            struct row *row = &job->rows[staging->places[i].no];
            row->staged = 0;
            node_journal_add(node, job->id, staging->places[i].no, row->attempt + 1, "reservation released",
                             staging->places[i].executor);
            /* random, so that two gangs that compete for the same executors do not collide again */
            ready_schedule_check(shard, now_ms + 20 + (int64_t)(world_random(node->w) % RETRY_MS), job->id,
                                 staging->places[i].no);
        }
    }
    staging_free(node, number);
}

static void commit(struct node *node, int64_t number)
{
    struct staging *staging = staging_find(node, number);
    struct shard *shard = &node->shards[staging->shard];
    struct job *job = staging_job(node, staging);
    int64_t lease_ms = node_settings(node, staging->queue)->lease_ms;
    staging->committing = 1;
    struct op *op = worker_buffer(node, shard, OP_PLACED, job->id, 0, number);
    for (int64_t i = 0; i < staging->n_places; i++) {
        const struct reservation *reservation = &staging->places[i];
        *array_add(op->placements, op->n_placements) =
            (struct placement){.no = reservation->no,
                               .attempt = job->rows[reservation->no].attempt + 1,
                               .incarnation = reservation->incarnation,
                               .executor_epoch = reservation->executor_epoch,
                               .lease_ms = lease_ms,
                               .executor = must_dup(reservation->executor)};
    }
}

void place_on_reserved(struct node *node, const struct reserve_reply *message)
{
    struct staging *staging = staging_find(node, message->req);
    if (!staging || staging->committing || !message->executor)
        return;
    int64_t waiting = 0;
    for (int64_t i = 0; i < staging->n_places; i++) {
        struct reservation *reservation = &staging->places[i];
        if (!strcmp(reservation->executor, message->executor))
            reservation->replied = 1;
        waiting += !reservation->replied;
    }
    struct executor_summary *summary = executor_summary_find(node, message->executor);
    if (message->error) {
        staging->failed = 1;
        if (summary)
            summary->free_cores = 0; /* the summary is outdated: place nothing there until its owner sends a new one */
    }
    if (waiting)
        return;
    struct job *job = staging_job(node, staging);
    if (staging->failed || !job || job->state != JOB_ACTIVE || !admission_open(node))
        roll_back(node, message->req);
    else
        commit(node, message->req);
}

void place_committed(struct node *node, struct shard *shard, int64_t number, const struct op *op, int apply_error)
{
    struct staging *staging = staging_find(node, number);
    struct job *job = rows_find_job(&shard->rows, op->job);
    if (apply_error) {
        if (staging && job) {
            send_to_owners(node, number, FRAME_RELEASE);
            for (int64_t i = 0; i < op->n_placements; i++) {
                job->rows[op->placements[i].no].staged = 0;
                ready_add_row(node, shard, job, op->placements[i].no);
            }
        }
        staging_free(node, number);
        return;
    }
    for (int64_t i = 0; i < op->n_placements; i++) {
        int64_t no = op->placements[i].no;
        node_journal_add(node, job->id, no, op->placements[i].attempt, "placed", op->placements[i].executor);
        job->rows[no].staged = 0;
        job->rows[no].stopping = 0;
        job->rows[no].checked_ms = world_ms(node->w);
        *array_add(shard->placed, shard->n_placed) = (struct task_ref){.job = job->id, .no = no};
        ready_schedule_check(shard, job->rows[no].placed_ms + node_settings(node, job->queue)->run_max_ms, job->id, no);
        gang_placed(node, job, no);
        const struct task_spec *task = spec_task(&job->spec, no, NULL);
        if (task->deadline_ms)
            ready_schedule_check(shard, job->created_ms + task->deadline_ms, job->id, no);
        node->queues[job->queue].drained++;
        track_start(node, shard, job, no);
    }
    staging_free(node, number);
}

/* --- staging ---------------------------------------------------------------------- */

static void stage(struct node *node, struct shard *shard, const struct ready_item *item)
{
    struct job *job = rows_find_job(&shard->rows, item->job);
    int64_t number = slab_take(&node->stagings, sizeof(struct staging)), step = 0;
    int64_t now_ms = node_fleet_ms(node), not_before_ms = gang_may_stage(job, item->no) ? 0 : now_ms + RETRY_MS;
    spec_task(&job->spec, item->no, &step);
    struct staging *staging = staging_find(node, number);
    *staging = (struct staging){.shard = shard->no,
                                .shard_epoch = shard->epoch,
                                .job = job->id,
                                .queue = job->queue,
                                .step = step,
                                .until_ms = world_ms(node->w) + RESERVE_TIMEOUT_MS,
                                .urgency = row_urgency(node, job->queue, item->priority, item->due_ms, now_ms)};
    if (job->spec.steps[step].gang) {
        int64_t first = spec_first_task(&job->spec, step), n = job->spec.steps[step].n_tasks;
        for (int64_t i = first; i < first + n; i++) {
            if (job->rows[i].state != ROW_READY || job->rows[i].staged)
                continue;
            array_add(staging->places, staging->n_places)->no = i;
            if (job->rows[i].due_ms > not_before_ms)
                not_before_ms = job->rows[i].due_ms;
        }
    } else {
        array_add(staging->places, staging->n_places)->no = item->no;
    }
    node->queues[job->queue].staged += staging->n_places;
    for (int64_t i = 0; i < staging->n_places; i++)
        job->rows[staging->places[i].no].staged = 1;
    int rc = not_before_ms > now_ms ? ERROR_REJECTED : assign_places(node, shard, job, staging);
    if (rc && not_before_ms <= now_ms) {
        /* No executor has capacity for the queue's most urgent row. Try to reserve all the same, so that an executor's
         * owner keeps capacity for it, and do not search for the queue's other rows for a while. */
        staging->ignores_summary = 1;
        rc = assign_places(node, shard, job, staging);
        node->queues[job->queue].blocked_ms = world_ms(node->w) + QUEUE_BLOCK_MS;
    }
    if (rc) {
        for (int64_t i = 0; i < staging->n_places; i++) {
            job->rows[staging->places[i].no].staged = 0;
            ready_schedule_check(shard, (not_before_ms > now_ms ? not_before_ms : now_ms + RETRY_MS), job->id,
                                 staging->places[i].no);
        }
        staging_free(node, number);
        return;
    }
    for (int64_t i = 0; i < staging->n_places; i++)
        node_journal_add(node, job->id, staging->places[i].no, job->rows[staging->places[i].no].attempt + 1,
                         "reserving", staging->places[i].executor);
    send_to_owners(node, number, FRAME_RESERVE);
}

void place_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    struct shard *shard;
    struct ready_item item;
    for (int64_t i = 0; i < node->stagings.cap; i++) {
        int64_t number = slab_number(&node->stagings, i);
        struct staging *staging = staging_find(node, number);
        if (staging && !staging->committing && now_ms >= staging->until_ms)
            roll_back(node, number);
    }
    if (now_ms >= node->rate_due_ms) {
        node->rate_due_ms = now_ms + 500;
        for (int64_t i = 0; i < node->n_queues; i++) {
            struct queue *queue = &node->queues[i];
            queue->rate = (queue->rate + queue->drained * 2) / 2; /* placements a second, smoothed */
            queue->drained = 0;
        }
    }
    if (!admission_open(node) || node->leaving)
        return;
    for (int i = 0; i < PICKS_PER_TICK_MAX && ready_pick(node, node_fleet_ms(node), &shard, &item); i++)
        stage(node, shard, &item);
}
