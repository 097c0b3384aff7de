/* Placed tasks: their state is checked regularly, starts and stops are repeated until they have an effect, and ends are
 * committed to the jobs log before they are acknowledged. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { CHECK_INTERVAL_MS = 400 };

/* Address of the executor's owner by the configuration tree, and the epoch of its ownership; 0: it has none. */
static int64_t executor_owner_addr(struct node *node, const char *executor, int64_t *epoch)
{
    char name[140];
    snprintf(name, sizeof name, "home/%s", executor);
    const struct ownership *ownership = config_tree_ownership(&node->config_tree, name);
    *epoch = ownership ? ownership->epoch : 0;
    return ownership ? ownership->owner : 0;
}

void track_start(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    struct row *row = &job->rows[no];
    const struct task_spec *task = spec_task(&job->spec, no, NULL);
    int64_t epoch, to = executor_owner_addr(node, row->executor, &epoch);
    if (job->state == JOB_CANCELLING || row->stopping || epoch != row->executor_epoch)
        return; /* handled when the next check is answered */
    struct start_order message = {.shard = shard->no,
                                  .shard_epoch = shard->epoch,
                                  .executor_epoch = row->executor_epoch,
                                  .incarnation = row->incarnation,
                                  .executor = row->executor};
    message.start = (struct exec_start){.job = job->id,
                                        .no = no,
                                        .attempt = row->attempt,
                                        .cores = task->cores,
                                        .mem_mb = task->mem_mb,
                                        .lease_ms = row->lease_ms,
                                        .service = job->spec.service,
                                        .queue = job->spec.queue,
                                        .kind = task->kind,
                                        .payload = task->payload,
                                        .hold = is_gang_member(job, no),
                                        .stall_ms = node_settings(node, job->queue)->stall_ms};
    node_send(node, to, FRAME_START, &start_order_schema, &message);
}

static void send_tasks(struct node *node, struct shard *shard, const char *executor, enum frame_kind kind,
                       struct task_ref *refs, int64_t n)
{
    int64_t epoch, to = executor_owner_addr(node, executor, &epoch);
    struct check_request message = {.shard = shard->no,
                                    .shard_epoch = shard->epoch,
                                    .executor_epoch = epoch,
                                    .executor = (char *)(uintptr_t)executor,
                                    .tasks = refs,
                                    .n_tasks = n};
    if (n)
        node_send(node, to, kind, &check_request_schema, &message);
}

void track_go(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    struct task_ref ref = {.job = job->id, .no = no, .attempt = job->rows[no].attempt};
    send_tasks(node, shard, job->rows[no].executor, FRAME_GANG_START, &ref, 1);
}

void track_stop(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    struct row *row = &job->rows[no];
    struct task_ref ref = {.job = job->id, .no = no, .attempt = row->attempt};
    row->stopping = 1;
    node_journal_add(node, job->id, no, row->attempt, "stop ordered", row->executor);
    if (row->state == ROW_PLACED)
        send_tasks(node, shard, row->executor, FRAME_STOP, &ref, 1);
}

/* Sends a check for each placed row, one message per executor, and repeats stop orders. */
void track_on_timer(struct node *node, struct shard *shard)
{
    int64_t now_ms = world_ms(node->w);
    struct task_ref *refs = NULL, *stops = NULL;
    for (int64_t i = 0; i < shard->n_placed; i++) {
        struct task_ref placed = shard->placed[i];
        struct job *job = rows_find_job(&shard->rows, placed.job);
        if (!job || job->rows[placed.no].state != ROW_PLACED) {
            shard->placed[i--] = shard->placed[--shard->n_placed];
            continue;
        }
        struct row *row = &job->rows[placed.no];
        if (row->gang_since_ms && !row->stopping)
            gang_check_timeout(node, shard, job, placed.no);
        if (now_ms - row->checked_ms < CHECK_INTERVAL_MS)
            continue;
        int64_t n = 0, n_stops = 0;
        char *executor = must_dup(row->executor);
        preempt_check(node, shard, executor);
        for (int64_t k = i; k < shard->n_placed; k++) {
            job = rows_find_job(&shard->rows, shard->placed[k].job);
            row = job ? &job->rows[shard->placed[k].no] : NULL;
            if (!row || row->state != ROW_PLACED || now_ms - row->checked_ms < CHECK_INTERVAL_MS ||
                strcmp(row->executor, executor))
                continue;
            struct task_ref ref = {.job = job->id, .no = shard->placed[k].no, .attempt = row->attempt};
            row->checked_ms = now_ms;
            *array_add(refs, n) = ref;
            if (row->stopping)
                *array_add(stops, n_stops) = ref;
        }
        send_tasks(node, shard, executor, FRAME_STOP, stops, n_stops);
        send_tasks(node, shard, executor, FRAME_CHECK, refs, n);
        free(executor);
        if (shard->state != SHARD_OPEN)
            break;
    }
    free(refs);
    free(stops);
}

static int64_t backoff(struct node *node, const struct settings *settings, int64_t failures)
{
    int64_t ms = settings->backoff_ms;
    for (int64_t i = 1; i < failures && ms < settings->backoff_max_ms; i++)
        ms *= 2;
    if (ms > settings->backoff_max_ms)
        ms = settings->backoff_max_ms;
    return ms / 2 + (int64_t)(world_random(node->w) % (uint64_t)(ms / 2 + 1));
}

/* An attempt has ended: retries the task or ends its row, by the settings of its queue. */
static void apply_outcome(struct node *node, struct shard *shard, struct job *job, int64_t no, int64_t outcome,
                          const char *why)
{
    struct row *row = &job->rows[no];
    const struct settings *settings = node_settings(node, job->queue);
    /* its preemption was committed before the stop, and the executor confirms the stop: not a failure */
    int preempted = outcome == OUTCOME_STOPPED && row_preempted(row) && job->state == JOB_ACTIVE;
    int64_t failed = outcome != OUTCOME_DONE && outcome != OUTCOME_NOT_STARTED && !preempted;
    int64_t failures = row->failures + failed;
    int may_retry = outcome == OUTCOME_NOT_STARTED || outcome == OUTCOME_FAILED || preempted || settings->at_least_once;
    int retry =
        may_retry && job->state == JOB_ACTIVE && outcome != OUTCOME_DONE &&
        (!failed || failures < settings->attempts_max) &&
        !(row->stopping && outcome == OUTCOME_STOPPED && !preempted && spec_task(&job->spec, no, NULL)->deadline_ms);
    if (is_gang_member(job, no) && outcome != OUTCOME_DONE && outcome != OUTCOME_FAILED)
        gang_stop(node, shard, job, no); /* it did not run to its end, so the other members are stopped, too */
    struct op *op = worker_buffer(node, shard, retry ? OP_NACK : OP_END, job->id, 0, 0);
    row->staged = 1;
    op->no = no;
    op->attempt = row->attempt;
    op->failed = failed;
    op->meta = must_dup(preempted ? "preempted: its executor was leaving or to be drained" : why);
    node_journal_add(node, job->id, no, row->attempt, retry ? "ended, to be retried" : "ended", why ? why : "done");
    if (retry) {
        op->due_ms = node_fleet_ms(node) + (failed ? backoff(node, settings, failures) : 50);
        world_note(node->w, EV_TASK_RETRY, "job=%lld no=%lld attempt=%lld why=%s", (long long)job->id, (long long)no,
                   (long long)row->attempt, why ? why : "");
        return;
    }
    if (outcome == OUTCOME_DONE)
        op->state = ROW_DONE;
    else if (job->state == JOB_CANCELLING && (outcome == OUTCOME_STOPPED || outcome == OUTCOME_NOT_STARTED))
        op->state = ROW_CANCELLED;
    else if (outcome == OUTCOME_LOST || outcome == OUTCOME_LEASE_EXPIRED)
        op->state = ROW_LOST;
    else
        op->state = outcome == OUTCOME_NOT_STARTED ? ROW_CANCELLED : ROW_FAILED;
    if (op->state == ROW_LOST)
        world_note(node->w, EV_TASK_LOST, "job=%lld no=%lld attempt=%lld executor=%s why=%s", (long long)job->id,
                   (long long)no, (long long)row->attempt, row->executor, why ? why : "");
}

static struct job *find_placed_job(struct node *node, int64_t id, int64_t no, int64_t attempt, struct shard **shard)
{
    int64_t shard_no = job_shard(id);
    if (id <= 0 || shard_no >= SHARD_COUNT || node->shards[shard_no].state != SHARD_OPEN)
        return NULL;
    *shard = &node->shards[shard_no];
    struct job *job = rows_find_job(&(*shard)->rows, id);
    if (!job || no < 0 || no >= job->n_rows || job->rows[no].state != ROW_PLACED || job->rows[no].attempt != attempt)
        return NULL;
    return job;
}

void track_on_ended(struct node *node, const struct ended *message)
{
    struct shard *shard = NULL;
    int64_t shard_no = job_shard(message->job);
    if (message->job <= 0 || shard_no >= SHARD_COUNT || node->shards[shard_no].state != SHARD_OPEN ||
        !admission_open(node))
        return; /* the message is repeated until an owner answers */
    struct job *job = find_placed_job(node, message->job, message->no, message->attempt, &shard);
    if (!job) {
        /* The row is not placed here, but an owner of a higher epoch may have placed it. After an acknowledgement the
         * executor forgets the end, so the log must confirm our epoch first. */
        shard = &node->shards[shard_no];
        for (int64_t i = 0; i < shard->n_buffer; i++) {
            const struct op *op = &shard->buffer[i].op;
            if (op->kind == OP_ACK && op->job == message->job && op->no == message->no &&
                op->attempt == message->attempt)
                return;
        }
        struct op *op = worker_buffer(node, shard, OP_ACK, message->job, 0, 0);
        op->no = message->no;
        op->attempt = message->attempt;
        op->key = must_dup(message->executor);
        return;
    }
    if (job->rows[message->no].staged)
        return;
    if (is_gang_member(job, message->no) && (message->outcome == OUTCOME_DONE || message->outcome == OUTCOME_FAILED))
        gang_on_member_state(node, shard, job, message->no, CHECK_RUNNING);
    apply_outcome(node, shard, job, message->no, message->outcome, message->why);
}

void track_on_checked(struct node *node, const struct check_reply *message)
{
    for (int64_t i = 0; i < message->n_tasks; i++) {
        const struct check_result *task = &message->tasks[i];
        struct shard *shard = NULL;
        struct job *job = find_placed_job(node, task->job, task->no, task->attempt, &shard);
        struct row *row = job ? &job->rows[task->no] : NULL;
        if (!row || row->staged || !admission_open(node) || message->executor_epoch < row->executor_epoch)
            continue;
        if (task->state == CHECK_LOST || (task->state == CHECK_UNKNOWN && message->incarnation != row->incarnation))
            apply_outcome(node, shard, job, task->no, OUTCOME_LOST, "the executor was lost");
        else if (task->state == CHECK_UNKNOWN && message->executor_epoch > row->executor_epoch)
            apply_outcome(node, shard, job, task->no, OUTCOME_NOT_STARTED,
                          "not started by the former owner of the executor");
        else if (task->state == CHECK_UNKNOWN || task->state == CHECK_RESERVED)
            track_start(node, shard, job, task->no);
        else if (is_gang_member(job, task->no))
            gang_on_member_state(node, shard, job, task->no, task->state);
    }
}

/* An OP_ACK was committed, so our epoch is current: acknowledges the end unless the attempt has been placed since. */
static void send_ended_ack(struct node *node, struct shard *shard, const struct op *op)
{
    struct shard *unused = shard;
    struct ended ack = {.job = op->job, .no = op->no, .attempt = op->attempt, .executor = op->key};
    int64_t epoch, to = op->key ? executor_owner_addr(node, op->key, &epoch) : 0;
    if (!find_placed_job(node, op->job, op->no, op->attempt, &unused))
        node_send(node, to, FRAME_ENDED_ACK, &ended_schema, &ack);
}

void track_committed(struct node *node, struct shard *shard, const struct op *op)
{
    if (op->kind == OP_ACK) {
        send_ended_ack(node, shard, op);
        return;
    }
    struct job *job = rows_find_job(&shard->rows, op->job);
    if (!job || op->no >= job->n_rows)
        return;
    struct row *row = &job->rows[op->no];
    if (op->kind == OP_PREEMPT) {
        preempt_committed(node, shard, job, op);
        return;
    }
    row->staged = row->stopping = row->preempt_proposed = 0;
    if (op->kind == OP_END && op->state == ROW_DONE)
        assign_record_duration(node, job, op->no);
    if (row->executor && op->attempt == row->attempt) {
        int64_t epoch, to = executor_owner_addr(node, row->executor, &epoch);
        struct ended ack = {.job = op->job, .no = op->no, .attempt = op->attempt, .executor = row->executor};
        node_send(node, to, FRAME_ENDED_ACK, &ended_schema, &ack);
    }
    if (job_ended(job)) {
        world_note(node->w, EV_JOB_ENDED, "job=%lld state=%s", (long long)job->id, job_state_name(job->state));
        ready_schedule_check(shard, job->ended_ms + node_settings(node, job->queue)->keep_ms, job->id, 0);
    } else {
        ready_add_rows(node, shard, job);
    }
}
