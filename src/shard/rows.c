#include "shard/rows.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

static const struct field redirect_fields[] = {STR(redirect, key), INT_NAMED(redirect, to_shard, "toShard"),
                                               INT_NAMED(redirect, time_ms, "timeMs")};
static SCHEMA(redirect_schema, redirect, redirect_fields);

/* The contents of a snapshot. Jobs are shallow copies: what they point to stays owned by the jobs in struct rows. */
struct rows_image {
    int64_t shard, epoch, seq, next_job, checkpoint_ms;
    struct job *jobs;
    int64_t n_jobs;
    struct redirect *redirects;
    int64_t n_redirects;
};
static const struct field image_fields[] = {INT(rows_image, shard),
                                            INT(rows_image, epoch),
                                            INT(rows_image, seq),
                                            INT_NAMED(rows_image, next_job, "nextJob"),
                                            INT_NAMED(rows_image, checkpoint_ms, "checkpointMs"),
                                            LIST(rows_image, jobs, n_jobs, job_schema),
                                            LIST(rows_image, redirects, n_redirects, redirect_schema)};
static SCHEMA(image_schema, rows_image, image_fields);

void rows_start(struct rows *rows, int64_t shard) { *rows = (struct rows){.shard = shard, .next_job = 1}; }

struct job *rows_find_job(const struct rows *rows, int64_t id)
{
    PWord_t slot = (PWord_t)JudyLGet((Pcvoid_t)rows->jobs, (Word_t)id, NULL);
    return slot ? (struct job *)*slot : NULL;
}

struct job *rows_next_job(const struct rows *rows, int64_t *id)
{
    Word_t index = (Word_t)*id;
    PWord_t slot = (PWord_t)JudyLNext((Pcvoid_t)rows->jobs, &index, NULL);
    *id = (int64_t)index;
    return slot ? (struct job *)*slot : NULL;
}

int64_t rows_find_key(const struct rows *rows, const char *key)
{
    PWord_t slot = (PWord_t)JudySLGet((Pcvoid_t)rows->keys, (const uint8_t *)key, NULL);
    return slot ? (int64_t)*slot : 0;
}

static void set_key(struct rows *rows, const char *key, int64_t value)
{
    PWord_t slot = (PWord_t)JudySLIns(&rows->keys, (const uint8_t *)key, NULL);
    *slot = (Word_t)value;
}

static void add_job(struct rows *rows, struct job *job)
{
    PWord_t slot = (PWord_t)JudyLIns(&rows->jobs, (Word_t)job->id, NULL);
    *slot = (Word_t)job;
    set_key(rows, job->spec.key, job->id);
    rows->n_jobs++;
    job->live = 0;
    for (int64_t i = 0; i < job->n_rows; i++)
        job->live += !row_ended(&job->rows[i]);
    rows->n_live += job->live;
}

static void remove_job(struct rows *rows, struct job *job)
{
    if (rows_find_key(rows, job->spec.key) == job->id)
        JudySLDel(&rows->keys, (const uint8_t *)job->spec.key, NULL);
    JudyLDel(&rows->jobs, (Word_t)job->id, NULL);
    rows->n_jobs--;
    rows->n_live -= job->live;
    schema_free(&job_schema, job);
    free(job);
}

void rows_end(struct rows *rows)
{
    int64_t id = 0;
    struct job *job;
    while ((job = rows_next_job(rows, &id)))
        remove_job(rows, job);
    JudySLFreeArray(&rows->keys, NULL);
    for (int64_t i = 0; i < rows->n_redirects; i++)
        schema_free(&redirect_schema, &rows->redirects[i]);
    free(rows->redirects);
    int64_t shard = rows->shard;
    rows_start(rows, shard);
}

/* --- applying ops ---------------------------------------------------------- */

/* Makes the rows of each step ready whose earlier steps are done. */
static void unblock(struct job *job)
{
    int64_t no = 0;
    for (int64_t i = 0; i < job->spec.n_steps; i++) {
        const struct step_spec *step = &job->spec.steps[i];
        if (job->rows[no].state == ROW_BLOCKED && job_step_ready(job, i))
            for (int64_t k = 0; k < step->n_tasks; k++) {
                struct row *row = &job->rows[no + k];
                row->state = ROW_READY;
                row->due_ms = step->start_at_ms > job->spec.start_at_ms ? step->start_at_ms : job->spec.start_at_ms;
            }
        no += step->n_tasks;
    }
}

static int apply_job(struct rows *rows, const struct op *op)
{
    if (!op->spec || rows_find_key(rows, op->spec->key) || rows_find_job(rows, op->job))
        return ERROR_REJECTED;
    struct job *job = must_alloc(sizeof *job);
    job->id = op->job;
    job->created_ms = op->time_ms;
    job->body_hash = op->body_hash;
    schema_copy(&job_spec_schema, &job->spec, op->spec);
    job->n_rows = spec_task_count(&job->spec);
    job->rows = must_alloc(sizeof *job->rows * (size_t)job->n_rows);
    int64_t seq = op->job & ((1LL << SHARD_BITS) - 1);
    if (seq >= rows->next_job)
        rows->next_job = seq + 1;
    add_job(rows, job);
    unblock(job);
    return ERROR_NONE;
}

static void end_row(struct rows *rows, struct job *job, int64_t no, int64_t state, int64_t time_ms)
{
    struct row *row = &job->rows[no];
    struct task_spec *task = (struct task_spec *)(uintptr_t)spec_task(&job->spec, no, NULL);
    row->state = state;
    row->ended_ms = time_ms;
    job->live--;
    rows->n_live--;
    /* only the result is needed from here on */
    free(task->payload);
    task->payload = NULL;
}

static void cancel_unplaced(struct rows *rows, struct job *job, int64_t time_ms)
{
    for (int64_t i = 0; i < job->n_rows; i++)
        if (job->rows[i].state == ROW_BLOCKED || job->rows[i].state == ROW_READY)
            end_row(rows, job, i, ROW_CANCELLED, time_ms);
}

static void end_job_if_complete(struct job *job, int64_t time_ms)
{
    if (job->live)
        return;
    job->ended_ms = time_ms;
    if (job->state == JOB_CANCELLING)
        job->state = JOB_CANCELLED;
    else
        job->state = job->state == JOB_FAILING ? JOB_FAILED : JOB_DONE;
}

static int apply_placed(struct job *job, const struct op *op)
{
    /* an op places all its rows or none: it is a whole gang */
    if (job->state != JOB_ACTIVE || !op->n_placements)
        return ERROR_REJECTED;
    for (int64_t i = 0; i < op->n_placements; i++) {
        const struct placement *placement = &op->placements[i];
        if (placement->no < 0 || placement->no >= job->n_rows || job->rows[placement->no].state != ROW_READY ||
            !placement->executor || job->rows[placement->no].attempt + 1 != placement->attempt)
            return ERROR_REJECTED;
    }
    for (int64_t i = 0; i < op->n_placements; i++) {
        const struct placement *placement = &op->placements[i];
        struct row *row = &job->rows[placement->no];
        row->state = ROW_PLACED;
        row->attempt = placement->attempt;
        row->incarnation = placement->incarnation;
        row->executor_epoch = placement->executor_epoch;
        row->lease_ms = placement->lease_ms;
        row->placed_ms = op->time_ms;
        free(row->executor);
        row->executor = must_dup(placement->executor);
    }
    return ERROR_NONE;
}

static int apply_ended(struct rows *rows, struct job *job, const struct op *op)
{
    if (op->no < 0 || op->no >= job->n_rows || op->attempt != job->rows[op->no].attempt)
        return ERROR_REJECTED;
    struct row *row = &job->rows[op->no];
    /* all checks come before the first change */
    if (row_ended(row) || (row->state == ROW_BLOCKED && op->state == ROW_DONE) ||
        (op->kind == OP_NACK ? row->state != ROW_PLACED : op->state < ROW_DONE || op->state > ROW_EXPIRED))
        return ERROR_REJECTED;
    if (op->meta) {
        free(row->meta);
        row->meta = must_dup(op->meta);
    }
    row->failures += op->failed != 0;
    if (op->kind == OP_NACK) {
        row->state = ROW_READY;
        row->due_ms = op->due_ms;
        if (job->state != JOB_ACTIVE)
            end_row(rows, job, op->no, ROW_CANCELLED, op->time_ms);
        end_job_if_complete(job, op->time_ms);
        return ERROR_NONE;
    }
    end_row(rows, job, op->no, op->state, op->time_ms);
    if (op->state != ROW_DONE && job->state == JOB_ACTIVE) {
        job->state = JOB_FAILING;
        cancel_unplaced(rows, job, op->time_ms);
    } else if (job->state == JOB_ACTIVE) {
        unblock(job);
    }
    end_job_if_complete(job, op->time_ms);
    return ERROR_NONE;
}

/* Of a gang, all placed members are preempted together. */
static int apply_preempt(struct job *job, const struct op *op)
{
    int64_t step = 0;
    if (op->no < 0 || op->no >= job->n_rows || job->rows[op->no].state != ROW_PLACED ||
        job->rows[op->no].attempt != op->attempt || job->state != JOB_ACTIVE)
        return ERROR_REJECTED;
    spec_task(&job->spec, op->no, &step);
    int64_t first = spec_first_task(&job->spec, step), n = job->spec.steps[step].n_tasks;
    for (int64_t i = first; i < first + n; i++)
        if (job->rows[i].state == ROW_PLACED && (i == op->no || job->spec.steps[step].gang))
            job->rows[i].preempted = job->rows[i].attempt;
    return ERROR_NONE;
}

int rows_apply_op(struct rows *rows, const struct op *op)
{
    if (op->kind == OP_JOB)
        return apply_job(rows, op);
    if (op->kind == OP_REDIRECT) {
        if (!op->key || rows_find_key(rows, op->key))
            return ERROR_REJECTED;
        set_key(rows, op->key, -1 - op->to_shard);
        *array_add(rows->redirects, rows->n_redirects) =
            (struct redirect){.key = must_dup(op->key), .to_shard = op->to_shard, .time_ms = op->time_ms};
        return ERROR_NONE;
    }
    if (op->kind == OP_ACK) /* no change: that the log accepted it proves the epoch */
        return ERROR_NONE;
    struct job *job = rows_find_job(rows, op->job);
    if (!job)
        return ERROR_NOT_FOUND;
    if (op->kind == OP_DROP) {
        if (!job_ended(job))
            return ERROR_REJECTED;
        remove_job(rows, job);
        return ERROR_NONE;
    }
    if (job_ended(job))
        return ERROR_REJECTED;
    if (op->kind == OP_PLACED)
        return apply_placed(job, op);
    if (op->kind == OP_PREEMPT)
        return apply_preempt(job, op);
    if (op->kind == OP_END || op->kind == OP_NACK)
        return apply_ended(rows, job, op);
    if (op->kind != OP_CANCEL || job->state == JOB_CANCELLING)
        return ERROR_REJECTED;
    job->state = JOB_CANCELLING;
    cancel_unplaced(rows, job, op->time_ms);
    end_job_if_complete(job, op->time_ms);
    return ERROR_NONE;
}

void rows_apply_batch(struct rows *rows, const struct batch *batch, struct batch_result *result)
{
    if (batch->open && batch->epoch > rows->epoch) {
        rows->epoch = batch->epoch;
        rows->seq = 0;
    }
    result->epoch = rows->epoch;
    if (batch->epoch != rows->epoch)
        result->error = ERROR_EPOCH;
    else if (!batch->open && batch->seq > rows->seq + 1)
        result->error = ERROR_REJECTED;
    for (int64_t i = 0; !result->error && !batch->open && i < batch->n_ops; i++) {
        if (batch->seq + i <= rows->seq)
            continue;
        rows->seq = batch->seq + i;
        rows_apply_op(rows, &batch->ops[i]);
    }
    if (!result->error && batch->checkpoint_ms > rows->checkpoint_ms)
        rows->checkpoint_ms = batch->checkpoint_ms;
    result->seq = rows->seq;
}

void rows_snapshot(const struct rows *rows, struct bytes *to)
{
    struct rows_image image = {.shard = rows->shard,
                               .epoch = rows->epoch,
                               .seq = rows->seq,
                               .next_job = rows->next_job,
                               .checkpoint_ms = rows->checkpoint_ms,
                               .redirects = rows->redirects,
                               .n_redirects = rows->n_redirects};
    int64_t id = 0;
    struct job *job;
    image.jobs = must_alloc(sizeof *image.jobs * (size_t)rows->n_jobs);
    while ((job = rows_next_job(rows, &id)))
        image.jobs[image.n_jobs++] = *job;
    schema_pack(&image_schema, &image, to);
    free(image.jobs);
}

int rows_restore(struct rows *rows, const struct bytes *from)
{
    struct rows_image image = {0};
    int rc = schema_unpack(&image_schema, &image, from->at, from->len);
    if (rc)
        return rc;
    rows_end(rows);
    *rows = (struct rows){.shard = image.shard,
                          .epoch = image.epoch,
                          .seq = image.seq,
                          .next_job = image.next_job,
                          .checkpoint_ms = image.checkpoint_ms,
                          .redirects = image.redirects,
                          .n_redirects = image.n_redirects};
    for (int64_t i = 0; i < image.n_redirects; i++)
        set_key(rows, image.redirects[i].key, -1 - image.redirects[i].to_shard);
    for (int64_t i = 0; i < image.n_jobs; i++) {
        struct job *job = must_alloc(sizeof *job);
        *job = image.jobs[i];
        if (spec_task_count(&job->spec) != job->n_rows) {
            schema_free(&job_schema, job);
            free(job);
            continue;
        }
        add_job(rows, job);
    }
    free(image.jobs);
    return ERROR_NONE;
}
