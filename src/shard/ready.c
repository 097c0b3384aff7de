/* Rows that are ready to be placed: a heap for each queue of a shard, by priority, then due time; rows to be examined
 * at a later time, by that time; and the choice of the most urgent row over all shards. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "node/node.h"

struct time_list {
    struct task_ref *refs;
    int64_t n;
};

int64_t row_priority(struct node *node, const struct job *job)
{
    return job->spec.priority >= 0 ? job->spec.priority : node_settings(node, job->queue)->priority;
}

/* Lower is more urgent. Urgency grows while a task waits, by age_per_second of its queue: this ageing is all that
 * bounds how long one queue can starve another. */
int64_t row_urgency(struct node *node, int64_t queue, int64_t priority, int64_t due_ms, int64_t now_ms)
{
    int64_t waited_ms = now_ms > due_ms ? now_ms - due_ms : 0;
    return priority * 1000 - waited_ms * node_settings(node, queue)->age_per_second;
}

/* --- the heap of one queue in one shard ------------------------------------------- */

static int is_before(const struct ready_item *a, const struct ready_item *b)
{
    if (a->priority != b->priority)
        return a->priority < b->priority;
    if (a->due_ms != b->due_ms)
        return a->due_ms < b->due_ms;
    if (a->job != b->job)
        return a->job < b->job;
    return a->no < b->no;
}

static void heap_push(struct ready *ready, struct ready_item item)
{
    *array_add(ready->items, ready->n) = item;
    int64_t i = ready->n - 1;
    while (i > 0 && is_before(&ready->items[i], &ready->items[(i - 1) / 2])) {
        struct ready_item swap = ready->items[i];
        ready->items[i] = ready->items[(i - 1) / 2];
        ready->items[(i - 1) / 2] = swap;
        i = (i - 1) / 2;
    }
}

static void heap_pop(struct ready *ready)
{
    ready->items[0] = ready->items[--ready->n];
    for (int64_t i = 0;;) {
        int64_t least = i, left = 2 * i + 1, right = left + 1;
        if (left < ready->n && is_before(&ready->items[left], &ready->items[least]))
            least = left;
        if (right < ready->n && is_before(&ready->items[right], &ready->items[least]))
            least = right;
        if (least == i)
            return;
        struct ready_item swap = ready->items[i];
        ready->items[i] = ready->items[least];
        ready->items[least] = swap;
        i = least;
    }
}

static struct ready *ready_queue(struct shard *shard, int64_t queue)
{
    for (int64_t i = 0; i < shard->n_ready_queues; i++)
        if (shard->ready_queues[i].queue == queue)
            return &shard->ready_queues[i];
    struct ready *ready = array_add(shard->ready_queues, shard->n_ready_queues);
    ready->queue = queue;
    return ready;
}

/* --- rows to be examined at a time ---------------------------------------------------- */

void ready_schedule_check(struct shard *shard, int64_t ms, int64_t job, int64_t no)
{
    Word_t key = (Word_t)(ms > shard->checkpoint_ms ? ms : shard->checkpoint_ms + 1);
    PWord_t slot = (PWord_t)JudyLIns(&shard->times, key, NULL);
    if (!*slot)
        *slot = (Word_t)must_alloc(sizeof(struct time_list));
    struct time_list *list = (struct time_list *)*slot;
    *array_add(list->refs, list->n) = (struct task_ref){.job = job, .no = no};
}

void ready_add_row(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    struct row *row = &job->rows[no];
    if (row->state != ROW_READY || row->staged || row->indexed || job->state != JOB_ACTIVE)
        return;
    if (row->due_ms > node_fleet_ms(node)) {
        ready_schedule_check(shard, row->due_ms, job->id, no);
        return;
    }
    row->indexed = 1;
    heap_push(
        ready_queue(shard, job->queue),
        (struct ready_item){.priority = row_priority(node, job), .due_ms = row->due_ms, .job = job->id, .no = no});
}

/* Schedules checks for the row's ttl and deadline. */
static void schedule_expiry(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    const struct task_spec *task = spec_task(&job->spec, no, NULL);
    const struct settings *settings = node_settings(node, job->queue);
    int64_t start_ms = job->spec.start_at_ms > job->created_ms ? job->spec.start_at_ms : job->created_ms;
    ready_schedule_check(shard, start_ms + (task->ttl_ms ? task->ttl_ms : settings->ttl_ms), job->id, no);
    if (task->deadline_ms)
        ready_schedule_check(shard, job->created_ms + task->deadline_ms, job->id, no);
}

void ready_add_rows(struct node *node, struct shard *shard, struct job *job)
{
    for (int64_t i = 0; i < job->n_rows; i++)
        ready_add_row(node, shard, job, i);
}

void ready_add_job(struct node *node, struct shard *shard, struct job *job)
{
    for (int64_t i = 0; i < job->n_rows; i++)
        schedule_expiry(node, shard, job, i);
    ready_add_rows(node, shard, job);
}

void ready_clear(struct shard *shard)
{
    Word_t key = 0;
    PWord_t slot = (PWord_t)JudyLFirst(shard->times, &key, NULL);
    while (slot) {
        free(((struct time_list *)*slot)->refs);
        free((struct time_list *)*slot);
        slot = (PWord_t)JudyLNext(shard->times, &key, NULL);
    }
    JudyLFreeArray(&shard->times, NULL);
    for (int64_t i = 0; i < shard->n_ready_queues; i++)
        free(shard->ready_queues[i].items);
    free(shard->ready_queues);
    shard->ready_queues = NULL;
    shard->n_ready_queues = 0;
}

void ready_rebuild(struct node *node, struct shard *shard)
{
    int64_t id = 0;
    struct job *job;
    ready_clear(shard);
    shard->checkpoint_ms = shard->rows.checkpoint_ms;
    while ((job = rows_next_job(&shard->rows, &id))) {
        job->queue = node_queue(node, job->spec.service, job->spec.queue);
        if (job_ended(job)) {
            ready_schedule_check(shard, job->ended_ms + node_settings(node, job->queue)->keep_ms, job->id, 0);
            continue;
        }
        for (int64_t i = 0; i < job->n_rows; i++) {
            if (row_ended(&job->rows[i]))
                continue;
            schedule_expiry(node, shard, job, i);
            if (job->rows[i].state == ROW_PLACED) {
                *array_add(shard->placed, shard->n_placed) = (struct task_ref){.job = id, .no = i};
                job->rows[i].stopping = row_preempted(&job->rows[i]); /* a new owner goes on with the stop */
                ready_schedule_check(shard, job->rows[i].placed_ms + node_settings(node, job->queue)->run_max_ms, id,
                                     i);
            }
        }
        ready_add_rows(node, shard, job);
    }
}

/* A time scheduled for the row was reached. Which of its limits it was for is not stored, so all are checked. */
static void on_row_time(struct node *node, struct shard *shard, struct job *job, int64_t no, int64_t now_ms)
{
    const struct settings *settings = node_settings(node, job->queue);
    struct row *row = &job->rows[no];
    if (job_ended(job)) {
        if (now_ms >= job->ended_ms + settings->keep_ms)
            worker_buffer(node, shard, OP_DROP, job->id, 0, 0);
        return;
    }
    if (row_ended(row))
        return;
    const struct task_spec *task = spec_task(&job->spec, no, NULL);
    int64_t start_ms = job->spec.start_at_ms > job->created_ms ? job->spec.start_at_ms : job->created_ms;
    int deadline_passed = task->deadline_ms && now_ms >= job->created_ms + task->deadline_ms;
    int ttl_passed = now_ms >= start_ms + (task->ttl_ms ? task->ttl_ms : settings->ttl_ms);
    if (row->state == ROW_PLACED) {
        if (deadline_passed || now_ms >= row->placed_ms + settings->run_max_ms)
            track_stop(node, shard, job, no);
    } else if ((deadline_passed || ttl_passed) && !row->staged) {
        struct op *op = worker_buffer(node, shard, OP_END, job->id, 0, 0);
        op->no = no;
        op->attempt = row->attempt;
        op->state = ROW_EXPIRED;
        op->meta =
            must_dup(deadline_passed ? "cutoff passed before it could start" : "ttl passed before it could start");
        row->staged = 1;
    } else if (deadline_passed || ttl_passed) {
        ready_schedule_check(shard, now_ms + 100, job->id, no); /* being placed now: check again */
    } else {
        ready_add_row(node, shard, job, no);
    }
}

/* Handles all scheduled times after the checkpoint up to now, each once. */
void ready_scan(struct node *node, struct shard *shard)
{
    int64_t now_ms = node_fleet_ms(node);
    Word_t key = 0;
    PWord_t slot;
    while ((slot = (PWord_t)JudyLFirst(shard->times, &key, NULL)) && (int64_t)key <= now_ms) {
        struct time_list list = *(struct time_list *)*slot;
        free((struct time_list *)*slot);
        JudyLDel(&shard->times, key, NULL);
        if ((int64_t)key > shard->checkpoint_ms)
            shard->checkpoint_ms = (int64_t)key;
        for (int64_t i = 0; i < list.n; i++) {
            struct job *job = rows_find_job(&shard->rows, list.refs[i].job);
            shard->scanned++;
            if (job)
                on_row_time(node, shard, job, list.refs[i].no, now_ms);
        }
        free(list.refs);
        key = 0;
    }
}

/* --- choice of the next row ------------------------------------------------------------ */

/* The queue's most urgent row; removes items that are outdated. NULL: none is ready. */
static struct ready_item *valid_head(struct node *node, struct shard *shard, struct ready *ready, int64_t now_ms)
{
    while (ready->n) {
        struct ready_item *head = &ready->items[0];
        struct job *job = rows_find_job(&shard->rows, head->job);
        struct row *row = job && head->no < job->n_rows ? &job->rows[head->no] : NULL;
        node->pick_steps++;
        if (row && job->state == JOB_ACTIVE && row->state == ROW_READY && !row->staged && row->indexed &&
            row->due_ms == head->due_ms && row->due_ms <= now_ms)
            return head;
        struct ready_item old = *head;
        heap_pop(ready);
        if (row && row->indexed) {
            row->indexed = 0;
            ready_add_row(node, shard, job, old.no);
        }
    }
    return NULL;
}

/* Whether the queue has as many staged rows as it may: in proportion to the rate at which its rows are placed. */
static int queue_saturated(struct node *node, int64_t queue, int64_t now_ms)
{
    struct queue *queue_state = &node->queues[queue];
    const struct settings *root = &node->root_settings;
    int64_t limit = queue_state->rate > root->prefetch_min ? queue_state->rate : root->prefetch_min;
    limit = limit * node_settings(node, queue)->weight / 10;
    if (limit > root->prefetch_max)
        limit = root->prefetch_max;
    return queue_state->blocked_ms > now_ms || queue_state->staged >= (limit > 0 ? limit : 1);
}

int ready_pick(struct node *node, int64_t now_ms, struct shard **shard, struct ready_item *item)
{
    struct ready *best = NULL;
    int64_t best_urgency = 0;
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        struct shard *candidate = &node->shards[i];
        if (candidate->state != SHARD_OPEN)
            continue;
        for (int64_t k = 0; k < candidate->n_ready_queues; k++) {
            if (!candidate->ready_queues[k].n ||
                queue_saturated(node, candidate->ready_queues[k].queue, world_ms(node->w)))
                continue;
            struct ready_item *head = valid_head(node, candidate, &candidate->ready_queues[k], now_ms);
            if (!head)
                continue;
            int64_t urgency = row_urgency(node, candidate->ready_queues[k].queue, head->priority, head->due_ms, now_ms);
            if (best && (urgency > best_urgency || (urgency == best_urgency && !is_before(head, &best->items[0]))))
                continue;
            best = &candidate->ready_queues[k];
            best_urgency = urgency;
            *shard = candidate;
        }
    }
    if (!best)
        return 0;
    *item = best->items[0];
    heap_pop(best);
    rows_find_job(&(*shard)->rows, item->job)->rows[item->no].indexed = 0;
    node->picks++;
    return 1;
}
