/* Placing: stage what the merge picks, reserve at the homes, commit, start. A
 * gang reserves everywhere and commits once, or gives everything back. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { RESERVE_MS = 800, PICKS_A_ON_TIMER = 64, AGAIN_MS = 100, BLOCK_MS = 40 };

static struct staging *staging_at(struct node *node, int64_t number) { return slab_at(&node->stagings, number); }

static struct job *staging_job(struct node *node, const struct staging *staging)
{
    return rows_find_job(&node->shards[staging->shard].rows, staging->job);
}

void staging_free(struct node *node, int64_t number)
{
    struct staging *staging = staging_at(node, number);
    if (!staging)
        return;
    for (int64_t i = 0; i < staging->n_places; i++)
        free(staging->places[i].executor);
    free(staging->places);
    node->queues[staging->queue].staged -= staging->n_places;
    slab_free(&node->stagings, number);
}

/* The places of one executor, from index i on, as one message. */
static int64_t gather(struct node *node, const struct staging *staging, int64_t number, int64_t i,
                      struct reserve_request *m)
{
    const struct staging_place *first = &staging->places[i];
    struct job *job = staging_job(node, staging);
    *m = (struct reserve_request){.req = number,
                                  .shard = staging->shard,
                                  .shard_epoch = staging->shard_epoch,
                                  .executor_epoch = first->executor_epoch,
                                  .incarnation = first->incarnation,
                                  .executor = first->executor,
                                  .urgency = staging->urgency};
    for (int64_t k = 0; k < i; k++)
        if (!strcmp(staging->places[k].executor, first->executor))
            return 0; /* went with an earlier one */
    for (int64_t k = i; k < staging->n_places; k++) {
        const struct staging_place *place = &staging->places[k];
        if (strcmp(place->executor, first->executor))
            continue;
        const struct task_spec *task = spec_task(&job->spec, place->no, NULL);
        *array_add(m->tasks, m->n_tasks) = (struct task_ref){.job = job->id,
                                                             .no = place->no,
                                                             .attempt = job->rows[place->no].attempt + 1,
                                                             .cores = task->cores,
                                                             .mem_mb = task->mem_mb};
    }
    return m->n_tasks;
}

static void each_executor(struct node *node, int64_t number, enum frame_kind kind)
{
    struct staging copy = *staging_at(node, number);
    struct reserve_request m;
    for (int64_t i = 0; i < copy.n_places; i++) {
        if (gather(node, &copy, number, i, &m))
            node_send(node, copy.places[i].executor_owner, kind, &reserve_request_schema, &m);
        free(m.tasks);
        /* a home on this node may have answered and ended the staging already */
        if (!staging_at(node, number))
            return;
    }
}

/* Gives everything back; the rows become ready again a little later. */
static void undo(struct node *node, int64_t number)
{
    struct staging *staging = staging_at(node, number);
    struct shard *shard = &node->shards[staging->shard];
    struct job *job = staging_job(node, staging);
    int64_t now_ms = node_fleet_ms(node);
    if (job) {
        each_executor(node, number, FRAME_RELEASE);
        staging = staging_at(node, number);
        for (int64_t i = 0; i < staging->n_places; i++) {
            struct row *row = &job->rows[staging->places[i].no];
            row->staged = 0;
            node_journal_add(node, job->id, staging->places[i].no, row->attempt + 1, "given back",
                             staging->places[i].executor);
            /* a random wait lets two gangs that want the same rooms miss each other */
            ready_schedule_check(shard, now_ms + 20 + (int64_t)(world_random(node->w) % AGAIN_MS), job->id,
                                 staging->places[i].no);
        }
    }
    staging_free(node, number);
}

static void commit(struct node *node, int64_t number)
{
    struct staging *staging = staging_at(node, number);
    struct shard *shard = &node->shards[staging->shard];
    struct job *job = staging_job(node, staging);
    int64_t lease_ms = node_settings(node, staging->queue)->lease_ms;
    staging->committing = 1;
    struct op *op = worker_buffer(node, shard, OP_PLACED, job->id, 0, number);
    for (int64_t i = 0; i < staging->n_places; i++) {
        const struct staging_place *place = &staging->places[i];
        *array_add(op->places, op->n_places) = (struct place){.no = place->no,
                                                              .attempt = job->rows[place->no].attempt + 1,
                                                              .incarnation = place->incarnation,
                                                              .executor_epoch = place->executor_epoch,
                                                              .lease_ms = lease_ms,
                                                              .executor = must_dup(place->executor)};
    }
}

void place_on_reserved(struct node *node, const struct reserve_reply *m)
{
    struct staging *staging = staging_at(node, m->req);
    if (!staging || staging->committing || !m->executor)
        return;
    int64_t waiting = 0;
    for (int64_t i = 0; i < staging->n_places; i++) {
        struct staging_place *place = &staging->places[i];
        if (!strcmp(place->executor, m->executor))
            place->answered = 1;
        waiting += !place->answered;
    }
    struct executor_summary *executor_summary = executor_summary_find(node, m->executor);
    if (m->error) {
        staging->failed = 1;
        if (executor_summary)
            executor_summary->free_cores = 0; /* our view was wrong: wait for the home's next word */
    }
    if (waiting)
        return;
    struct job *job = staging_job(node, staging);
    if (staging->failed || !job || job->state != JOB_ACTIVE || !admission_open(node))
        undo(node, m->req);
    else
        commit(node, m->req);
}

void place_committed(struct node *node, struct shard *shard, int64_t number, const struct op *op, int apply_error)
{
    struct staging *staging = staging_at(node, number);
    struct job *job = rows_find_job(&shard->rows, op->job);
    if (apply_error) {
        if (staging && job) {
            each_executor(node, number, FRAME_RELEASE);
            for (int64_t i = 0; i < op->n_places; i++) {
                job->rows[op->places[i].no].staged = 0;
                ready_add_row(node, shard, job, op->places[i].no);
            }
        }
        staging_free(node, number);
        return;
    }
    for (int64_t i = 0; i < op->n_places; i++) {
        int64_t no = op->places[i].no;
        node_journal_add(node, job->id, no, op->places[i].attempt, "placed", op->places[i].executor);
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

/* --- picking --------------------------------------------------------------------- */

static void stage(struct node *node, struct shard *shard, const struct ready_item *item)
{
    struct job *job = rows_find_job(&shard->rows, item->job);
    int64_t number = slab_take(&node->stagings, sizeof(struct staging)), step = 0;
    int64_t now_ms = node_fleet_ms(node), latest = gang_may_stage(job, item->no) ? 0 : now_ms + AGAIN_MS;
    spec_task(&job->spec, item->no, &step);
    struct staging *staging = staging_at(node, number);
    *staging = (struct staging){.shard = shard->no,
                                .shard_epoch = shard->epoch,
                                .job = job->id,
                                .queue = job->queue,
                                .step = step,
                                .until_ms = world_ms(node->w) + RESERVE_MS,
                                .urgency = row_urgency(node, job->queue, item->priority, item->due_ms, now_ms)};
    if (job->spec.steps[step].gang) {
        int64_t first = spec_first_task(&job->spec, step), n = job->spec.steps[step].n_tasks;
        for (int64_t i = first; i < first + n; i++) {
            if (job->rows[i].state != ROW_READY || job->rows[i].staged)
                continue;
            array_add(staging->places, staging->n_places)->no = i;
            if (job->rows[i].due_ms > latest)
                latest = job->rows[i].due_ms;
        }
    } else {
        array_add(staging->places, staging->n_places)->no = item->no;
    }
    node->queues[job->queue].staged += staging->n_places;
    for (int64_t i = 0; i < staging->n_places; i++)
        job->rows[staging->places[i].no].staged = 1;
    int rc = latest > now_ms ? ERROR_REJECTED : assign_places(node, shard, job, staging);
    if (rc && latest <= now_ms) {
        /* no room for the head: ask all the same, so a home knows what waits, and spare the queue the search */
        staging->ignores_view = 1;
        rc = assign_places(node, shard, job, staging);
        node->queues[job->queue].blocked_ms = world_ms(node->w) + BLOCK_MS;
    }
    if (rc) {
        for (int64_t i = 0; i < staging->n_places; i++) {
            job->rows[staging->places[i].no].staged = 0;
            ready_schedule_check(shard, (latest > now_ms ? latest : now_ms + AGAIN_MS), job->id, staging->places[i].no);
        }
        staging_free(node, number);
        return;
    }
    for (int64_t i = 0; i < staging->n_places; i++)
        node_journal_add(node, job->id, staging->places[i].no, job->rows[staging->places[i].no].attempt + 1,
                         "reserving", staging->places[i].executor);
    each_executor(node, number, FRAME_RESERVE);
}

void place_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    struct shard *shard;
    struct ready_item item;
    for (int64_t i = 0; i < node->stagings.cap; i++) {
        int64_t number = slab_number(&node->stagings, i);
        struct staging *staging = staging_at(node, number);
        if (staging && !staging->committing && now_ms >= staging->until_ms)
            undo(node, number);
    }
    if (now_ms >= node->rate_due_ms) {
        node->rate_due_ms = now_ms + 500;
        for (int64_t i = 0; i < node->n_queues; i++) {
            struct queue *q = &node->queues[i];
            q->rate = (q->rate + q->drained * 2) / 2; /* placements a second, smoothed */
            q->drained = 0;
        }
    }
    if (!admission_open(node) || node->leaving)
        return;
    for (int i = 0; i < PICKS_A_ON_TIMER && ready_pick(node, node_fleet_ms(node), &shard, &item); i++)
        stage(node, shard, &item);
}
