/* The jobs of a shard and the rows of their tasks: the state machine of the jobs log. Keepers apply the ops of every
 * shard; the owner of a shard applies the same ops once they are committed. */
#ifndef SAGEHITCH_SHARD_ROWS_H
#define SAGEHITCH_SHARD_ROWS_H
#include <Judy.h>

#include "base/schema.h"

/* SHARD_BITS: low bits of a job's id, a number within its shard; TASKS_MAX: tasks of a job over all steps. */
enum { SHARD_COUNT = 24, SHARD_BITS = 40, TASKS_MAX = 2000 };

/* A task as submitted. deadline_ms: the task is stopped, or not started any more, so long after the job was accepted,
 * 0: no deadline; ttl_ms: it is not started later than this after the job's start time, 0: the queue's default. */
struct task_spec {
    char *kind, *payload;
    int64_t cores, mem_mb, deadline_ms, ttl_ms;
};
/* A step starts when all tasks of the steps named in depends_on are done. rack: "any"; "one", all tasks on the same
 * rack; or the name of a rack. per_executor, per_rack: at most so many of its tasks there at once, 0: no limit. gang:
 * its tasks run all at once. start_at_ms: fleet time before which it does not start. */
struct step_spec {
    char *name, *rack;
    char **depends_on;
    int64_t n_depends_on;
    int64_t per_executor, per_rack, gang, start_at_ms;
    struct task_spec *tasks;
    int64_t n_tasks;
};
/* A job as submitted. key: chosen by the caller, makes submissions idempotent; priority: lower is more urgent, -1: that
 * of the queue. */
struct job_spec {
    char *key, *service, *queue;
    int64_t priority, start_at_ms;
    struct step_spec *steps;
    int64_t n_steps;
};

/* Rows in ROW_DONE and later states have ended and never change again. Values are stored and go over the wire. */
enum row_state { ROW_BLOCKED, ROW_READY, ROW_PLACED, ROW_DONE, ROW_FAILED, ROW_LOST, ROW_CANCELLED, ROW_EXPIRED };
enum job_state { JOB_ACTIVE, JOB_FAILING, JOB_CANCELLING, JOB_DONE, JOB_FAILED, JOB_CANCELLED };

/* The state of one task. due_ms: fleet time from which it may be placed; meta: why the newest attempt ended as it did.
 * Invariants: attempt counts placements and only rises; executor, incarnation, executor_epoch and lease_ms are of that
 * attempt and valid while the state is ROW_PLACED. */
struct row {
    int64_t state, attempt, failures, due_ms, incarnation, executor_epoch, lease_ms, placed_ms, ended_ms;
    int64_t preempted; /* the attempt that is preempted, committed before its stop is ordered; 0: none was */
    char *executor, *meta;
    /* Kept by the shard's owner only, not in the log. staged: a placement or an op that ends the attempt is in
     * progress; stopping: its stop was ordered; preempt_proposed: its OP_PREEMPT is being committed; checked_ms: when
     * its state was last asked for; indexed: it is in a ready queue. Of gang members, gang_since_ms: when it was
     * placed, 0: no time-out applies; held, running: as the executor's owner reported. */
    int64_t staged, stopping, preempt_proposed, checked_ms, indexed, gang_since_ms, held, running;
};

/* A job. live: rows that have not ended; body_hash: of its spec, to recognize a repeated submission.
 * Invariants: rows are in the order of steps, then of tasks; the upper bits of id are the shard; state is JOB_DONE
 * exactly if every row is ROW_DONE. */
struct job {
    int64_t id, state, created_ms, ended_ms, body_hash, live;
    struct job_spec spec;
    struct row *rows;
    int64_t n_rows;
    int64_t queue; /* kept by the shard's owner only: index into node->queues */
};

/* The job of this key belongs to shard to_shard, since this shard was overloaded. */
struct redirect {
    char *key;
    int64_t to_shard, time_ms;
};

/* Placement of row no on an executor. */
struct placement {
    int64_t no, attempt, incarnation, executor_epoch, lease_ms;
    char *executor;
};

/* JOB: accepts a job; REDIRECT: adds a redirect; PLACED: places rows, of a gang all or none; END: a row has ended;
 * NACK: an attempt has ended and the row is ready for another; CANCEL: cancels a job; DROP: removes an ended job; ACK:
 * no change, proves that the epoch is current; PREEMPT: a row is to be stopped and placed anew. */
enum op_kind { OP_JOB = 1, OP_REDIRECT, OP_PLACED, OP_END, OP_NACK, OP_CANCEL, OP_DROP, OP_ACK, OP_PREEMPT };

/* An op on the jobs of a shard; which members are used depends on kind. failed: counts as a failure of the task. */
struct op {
    int64_t kind, job, no, attempt, state, failed, due_ms, time_ms, to_shard, body_hash;
    char *key, *meta;
    struct job_spec *spec;
    struct placement *placements;
    int64_t n_placements;
};

/* An entry of the jobs log: ops numbered from seq on under an owner's epoch; or, with open, the start of a new epoch.
 * checkpoint_ms: the owner has handled all due times up to then. */
struct batch {
    int64_t shard, epoch, open, seq, checkpoint_ms;
    struct op *ops;
    int64_t n_ops;
};

/* epoch, seq: of the shard, after the batch. */
struct batch_result {
    int64_t error, epoch, seq;
    struct bytes snapshot; /* of the shard; only for open */
};

/* The jobs of one shard. n_live: rows over all jobs that have not ended.
 * Invariants: ops are applied under the current epoch only and in the order of seq, each once; every job is in jobs (by
 * id) and keys (by key). */
struct rows {
    int64_t shard, epoch, seq, next_job, checkpoint_ms;
    Pvoid_t jobs; /* JudyL: id -> struct job * */
    Pvoid_t keys; /* JudySL: key -> id, or -1 - to_shard of its redirect */
    struct redirect *redirects;
    int64_t n_redirects, n_jobs, n_live;
};

extern const struct schema task_spec_schema, step_spec_schema, job_spec_schema, row_schema, job_schema, op_schema,
    batch_schema, batch_result_schema;

/* Makes rows empty; rows_end() frees what they own and makes them empty again. */
void rows_start(struct rows *rows, int64_t shard);
void rows_end(struct rows *rows);
/* Applies a batch of the log. result->error is ERROR_EPOCH or ERROR_REJECTED if it was refused as a whole. */
void rows_apply_batch(struct rows *rows, const struct batch *batch, struct batch_result *result);
/* Applies an op. ERROR_REJECTED: the state does not allow it any more; ERROR_NO_SUCH: no such job. */
int rows_apply_op(struct rows *rows, const struct op *op);
/* Append a snapshot to to; replace all state by a snapshot. */
void rows_snapshot(const struct rows *rows, struct bytes *to);
int rows_restore(struct rows *rows, const struct bytes *from);
/* NULL: no such job. */
struct job *rows_find_job(const struct rows *rows, int64_t id);
/* 0: unknown key; > 0: id of its job; < 0: -1 - shard of its redirect. */
int64_t rows_find_key(const struct rows *rows, const char *key);
/* The job with the lowest id above *id, which is set to it; NULL: none. */
struct job *rows_next_job(const struct rows *rows, int64_t *id);

/* rows_spec.c */
/* Tasks over all steps. */
int64_t spec_task_count(const struct job_spec *spec);
/* Validates what the schema cannot. Returns 0, or an error with the member at fault in validation_error. */
int spec_check(const struct job_spec *spec, struct validation_error *validation_error);
/* Task number no, counted over all steps, and the index of its step (step may be NULL). */
const struct task_spec *spec_task(const struct job_spec *spec, int64_t no, int64_t *step);
/* Number of the step's first task. */
int64_t spec_first_task(const struct job_spec *spec, int64_t step);
const char *row_state_name(int64_t state);
const char *job_state_name(int64_t state);
/* Whether all steps that the step depends on are done. */
int job_step_ready(const struct job *job, int64_t step);
/* The job as the API shows it. */
json_t *job_view(const struct job *job, int with_tasks);
static inline int64_t job_shard(int64_t id) { return id >> SHARD_BITS; }
/* The outer form of a job's id, SHARD.NUMBER; job_id_parse() returns 0 for any other text. */
void job_id_text(int64_t id, char text[32]);
int64_t job_id_parse(const char *text);
/* The shard that jobs with this key belong to. */
int64_t key_shard(const char *key);
static inline int row_ended(const struct row *row) { return row->state >= ROW_DONE; }
static inline int job_ended(const struct job *job) { return job->state >= JOB_DONE; }
#endif
