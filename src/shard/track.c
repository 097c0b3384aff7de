/* What became of placed tasks: starts are repeated, stops are repeated, ends
 * are committed before they are acknowledged, and silence is asked about. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { CHECK_MS = 400 };

/* Where the executor's home is now, by the configuration tree. */
static int64_t home_addr(struct node *node, const char *executor, int64_t *epoch)
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
    int64_t epoch, to = home_addr(node, row->executor, &epoch);
    if (job->state == JOB_CANCELLING || row->stopping || epoch != row->executor_epoch)
        return; /* the next check tells what to do */
    struct start_order m = {.shard = shard->no,
                            .shard_epoch = shard->epoch,
                            .executor_epoch = row->executor_epoch,
                            .incarnation = row->incarnation,
                            .executor = row->executor};
    m.start = (struct exec_start){.job = job->id,
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
    node_send(node, to, FRAME_START, &start_order_schema, &m);
}

static void send_refs(struct node *node, struct shard *shard, const char *executor, enum frame_kind kind,
                      struct task_ref *refs, int64_t n)
{
    int64_t epoch, to = home_addr(node, executor, &epoch);
    struct check_request m = {.shard = shard->no,
                              .shard_epoch = shard->epoch,
                              .executor_epoch = epoch,
                              .executor = (char *)(uintptr_t)executor,
                              .tasks = refs,
                              .n_tasks = n};
    if (n)
        node_send(node, to, kind, &check_request_schema, &m);
}

void track_go(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    struct task_ref ref = {.job = job->id, .no = no, .attempt = job->rows[no].attempt};
    send_refs(node, shard, job->rows[no].executor, FRAME_GANG_START, &ref, 1);
}

void track_stop(struct node *node, struct shard *shard, struct job *job, int64_t no)
{
    struct row *row = &job->rows[no];
    struct task_ref ref = {.job = job->id, .no = no, .attempt = row->attempt};
    row->stopping = 1;
    node_journal_add(node, job->id, no, row->attempt, "stop ordered", row->executor);
    if (row->state == ROW_PLACED)
        send_refs(node, shard, row->executor, FRAME_STOP, &ref, 1);
}

/* One round over the placed rows: a check each, by executor, and stops again. */
void track_on_timer(struct node *node, struct shard *shard)
{
    int64_t now_ms = world_ms(node->w);
    struct task_ref *refs = NULL, *stops = NULL;
    for (int64_t i = 0; i < shard->n_placed; i++) {
        struct task_ref at = shard->placed[i];
        struct job *job = rows_find_job(&shard->rows, at.job);
        if (!job || job->rows[at.no].state != ROW_PLACED) {
            shard->placed[i--] = shard->placed[--shard->n_placed];
            continue;
        }
        struct row *row = &job->rows[at.no];
        if (row->gang_ms && !row->stopping)
            gang_check_timeout(node, shard, job, at.no);
        if (now_ms - row->checked_ms < CHECK_MS)
            continue;
        int64_t n = 0, n_stops = 0;
        char *executor = must_dup(row->executor);
        preempt_check(node, shard, executor);
        for (int64_t k = i; k < shard->n_placed; k++) {
            job = rows_find_job(&shard->rows, shard->placed[k].job);
            row = job ? &job->rows[shard->placed[k].no] : NULL;
            if (!row || row->state != ROW_PLACED || now_ms - row->checked_ms < CHECK_MS ||
                strcmp(row->executor, executor))
                continue;
            struct task_ref ref = {.job = job->id, .no = shard->placed[k].no, .attempt = row->attempt};
            row->checked_ms = now_ms;
            *array_add(refs, n) = ref;
            if (row->stopping)
                *array_add(stops, n_stops) = ref;
        }
        send_refs(node, shard, executor, FRAME_STOP, stops, n_stops);
        send_refs(node, shard, executor, FRAME_CHECK, refs, n);
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

/* Turns what happened into what the row becomes, by the queue's policy. */
static void decide(struct node *node, struct shard *shard, struct job *job, int64_t no, int64_t outcome,
                   const char *why)
{
    struct row *row = &job->rows[no];
    const struct settings *settings = node_settings(node, job->queue);
    /* our own preemption, committed before the stop, and the executor's word that it has stopped: DESIGN's nack */
    int preempted = outcome == OUT_STOPPED && row_preempted(row) && job->state == JOB_ACTIVE;
    int64_t failed = outcome != OUT_DONE && outcome != OUT_UNSTARTED && !preempted;
    int64_t failures = row->failures + failed;
    int may_retry = outcome == OUT_UNSTARTED || outcome == OUT_FAILED || preempted || settings->at_least_once;
    int retry =
        may_retry && job->state == JOB_ACTIVE && outcome != OUT_DONE &&
        (!failed || failures < settings->attempts_max) &&
        !(row->stopping && outcome == OUT_STOPPED && !preempted && spec_task(&job->spec, no, NULL)->deadline_ms);
    if (is_gang_member(job, no) && outcome != OUT_DONE && outcome != OUT_FAILED)
        gang_stop(node, shard, job, no); /* it never ran, or ran no longer: the others neither */
    struct op *op = worker_buffer(node, shard, retry ? OP_NACK : OP_END, job->id, 0, 0);
    row->staged = 1;
    op->no = no;
    op->attempt = row->attempt;
    op->failed = failed;
    op->meta = must_dup(preempted ? "preempted: its executor was leaving or to be drained" : why);
    node_journal_add(node, job->id, no, row->attempt, retry ? "ended, to be tried again" : "ended", why ? why : "done");
    if (retry) {
        op->due_ms = node_fleet_ms(node) + (failed ? backoff(node, settings, failures) : 50);
        world_note(node->w, EV_TASK_RETRY, "job=%lld no=%lld attempt=%lld why=%s", (long long)job->id, (long long)no,
                   (long long)row->attempt, why ? why : "");
        return;
    }
    if (outcome == OUT_DONE)
        op->state = ROW_DONE;
    else if (job->state == JOB_CANCELLING && (outcome == OUT_STOPPED || outcome == OUT_UNSTARTED))
        op->state = ROW_CANCELLED;
    else if (outcome == OUT_GONE || outcome == OUT_LAPSED)
        op->state = ROW_LOST;
    else
        op->state = outcome == OUT_UNSTARTED ? ROW_CANCELLED : ROW_FAILED;
    if (op->state == ROW_LOST)
        world_note(node->w, EV_TASK_LOST, "job=%lld no=%lld attempt=%lld executor=%s why=%s", (long long)job->id,
                   (long long)no, (long long)row->attempt, row->executor, why ? why : "");
}

static struct job *placed_job(struct node *node, int64_t id, int64_t no, int64_t attempt, struct shard **shard)
{
    int64_t s = job_shard(id);
    if (id <= 0 || s >= SHARD_COUNT || node->shards[s].state != SHARD_OPEN)
        return NULL;
    *shard = &node->shards[s];
    struct job *job = rows_find_job(&(*shard)->rows, id);
    if (!job || no < 0 || no >= job->n_rows || job->rows[no].state != ROW_PLACED || job->rows[no].attempt != attempt)
        return NULL;
    return job;
}

void track_on_ended(struct node *node, const struct ended *m)
{
    struct shard *shard = NULL;
    int64_t s = job_shard(m->job);
    if (m->job <= 0 || s >= SHARD_COUNT || node->shards[s].state != SHARD_OPEN || !admission_open(node))
        return; /* it is repeated until an owner answers */
    struct job *job = placed_job(node, m->job, m->no, m->attempt, &shard);
    if (!job) {
        /* Not placed as far as we know, which a higher epoch may know better: an
         * acknowledgement lets the executor forget, so the log confirms us first. */
        shard = &node->shards[s];
        for (int64_t i = 0; i < shard->n_buffer; i++) {
            const struct op *op = &shard->buffer[i].op;
            if (op->kind == OP_ACK && op->job == m->job && op->no == m->no && op->attempt == m->attempt)
                return;
        }
        struct op *op = worker_buffer(node, shard, OP_ACK, m->job, 0, 0);
        op->no = m->no;
        op->attempt = m->attempt;
        op->key = must_dup(m->executor);
        return;
    }
    if (job->rows[m->no].staged)
        return;
    if (is_gang_member(job, m->no) && (m->outcome == OUT_DONE || m->outcome == OUT_FAILED))
        gang_on_member_state(node, shard, job, m->no, CHECK_RUNS);
    decide(node, shard, job, m->no, m->outcome, m->why);
}

void track_on_checked(struct node *node, const struct check_reply *m)
{
    for (int64_t i = 0; i < m->n_tasks; i++) {
        const struct check_result *t = &m->tasks[i];
        struct shard *shard = NULL;
        struct job *job = placed_job(node, t->job, t->no, t->attempt, &shard);
        struct row *row = job ? &job->rows[t->no] : NULL;
        if (!row || row->staged || !admission_open(node) || m->executor_epoch < row->executor_epoch)
            continue;
        if (t->state == CHECK_GONE || (t->state == CHECK_UNKNOWN && m->incarnation != row->incarnation))
            decide(node, shard, job, t->no, OUT_GONE, "the executor went away with it");
        else if (t->state == CHECK_UNKNOWN && m->executor_epoch > row->executor_epoch)
            decide(node, shard, job, t->no, OUT_UNSTARTED, "the former home never had it started");
        else if (t->state == CHECK_UNKNOWN || t->state == CHECK_RESERVED)
            track_start(node, shard, job, t->no);
        else if (is_gang_member(job, t->no))
            gang_on_member_state(node, shard, job, t->no, t->state);
    }
}

/* The log has confirmed our epoch and the row is still not placed so. */
static void acknowledge(struct node *node, struct shard *shard, const struct op *op)
{
    struct shard *unused = shard;
    struct ended ack = {.job = op->job, .no = op->no, .attempt = op->attempt, .executor = op->key};
    int64_t epoch, to = op->key ? home_addr(node, op->key, &epoch) : 0;
    if (!placed_job(node, op->job, op->no, op->attempt, &unused))
        node_send(node, to, FRAME_ENDED_ACK, &ended_schema, &ack);
}

void track_committed(struct node *node, struct shard *shard, const struct op *op)
{
    if (op->kind == OP_ACK) {
        acknowledge(node, shard, op);
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
    row->staged = row->stopping = row->preempt_asked = 0;
    if (op->kind == OP_END && op->state == ROW_DONE)
        assign_record_duration(node, job, op->no);
    if (row->executor && op->attempt == row->attempt) {
        int64_t epoch, to = home_addr(node, row->executor, &epoch);
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
