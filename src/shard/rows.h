/* Jobs and their task rows, as folded from the jobs log. Keepers fold every
 * shard; the owner of a shard folds the same ops once they are committed. */
#ifndef SAGEHITCH_SHARD_ROWS_H
#define SAGEHITCH_SHARD_ROWS_H
#include <Judy.h>

#include "base/schema.h"

enum { SHARD_COUNT = 24, SHARD_BITS = 40, TASKS_MAX = 2000 };

struct task_spec {
    char *kind, *payload;
    int64_t cores, mem_mb, deadline_ms, ttl_ms;
};
struct step_spec {
    char *name, *rack;
    char **depends_on;
    int64_t n_depends_on;
    int64_t per_executor, per_rack, gang, start_at_ms;
    struct task_spec *tasks;
    int64_t n_tasks;
};
struct job_spec {
    char *key, *service, *queue;
    int64_t priority, start_at_ms;
    struct step_spec *steps;
    int64_t n_steps;
};

/* From ROW_DONE on a row has ended and never changes again. */
enum row_state { ROW_BLOCKED, ROW_READY, ROW_PLACED, ROW_DONE, ROW_FAILED, ROW_LOST, ROW_CANCELLED, ROW_EXPIRED };
enum job_state { JOB_ACTIVE, JOB_FAILING, JOB_CANCELLING, JOB_DONE, JOB_FAILED, JOB_CANCELLED };

/* One task. Invariants: attempt counts placements and only rises; executor,
 * incarnation, executor_epoch and lease_ms belong to that attempt and hold while
 * the state is ROW_PLACED. staged: an owner has work under way on it. */
struct row {
    int64_t state, attempt, failures, due_ms, incarnation, executor_epoch, lease_ms, placed_ms, ended_ms;
    int64_t preempted; /* the attempt that was to be stopped for our sake, committed before the stop */
    char *executor, *meta;
    /* of the owner's memory only */
    int64_t staged, stopping, preempt_asked, checked_ms, indexed, gang_ms, held, runs;
};

/* Invariants: rows stand in the order of steps, then of tasks; id holds the
 * shard in its upper bits; state JOB_DONE iff every row is ROW_DONE. */
struct job {
    int64_t id, state, created_ms, ended_ms, body_hash, live;
    struct job_spec spec;
    struct row *rows;
    int64_t n_rows;
    int64_t queue; /* of the owner's memory only: dense index */
};

struct redirect {
    char *key;
    int64_t to_shard, time_ms;
};

struct place {
    int64_t no, attempt, incarnation, executor_epoch, lease_ms;
    char *executor;
};

enum op_kind { OP_JOB = 1, OP_REDIRECT, OP_PLACED, OP_END, OP_NACK, OP_CANCEL, OP_DROP, OP_ACK, OP_PREEMPT };

struct op {
    int64_t kind, job, no, attempt, state, failed, due_ms, time_ms, to_shard, body_hash;
    char *key, *meta;
    struct job_spec *spec;
    struct place *places;
    int64_t n_places;
};

struct batch {
    int64_t shard, epoch, open, seq, checkpoint_ms;
    struct op *ops;
    int64_t n_ops;
};

struct batch_result {
    int64_t error, epoch, seq;
    struct bytes snapshot; /* of the shard, for an open */
};

/* Invariants: ops are taken under the current epoch only and in the order of
 * seq, each once; every job is in jobs (by id) and keys (by key). */
struct rows {
    int64_t shard, epoch, seq, next_job, checkpoint_ms;
    Pvoid_t jobs; /* JudyL: id -> struct job * */
    Pvoid_t keys; /* JudySL: key -> id, or -1 - to_shard when sent on */
    struct redirect *redirects;
    int64_t n_redirects, n_jobs, n_live;
};

extern const struct schema task_spec_schema, step_spec_schema, job_spec_schema, row_schema, job_schema, op_schema,
    batch_schema, batch_result_schema;

void rows_start(struct rows *rows, int64_t shard);
void rows_end(struct rows *rows);
void rows_apply_batch(struct rows *rows, const struct batch *batch, struct batch_result *result);
/* ERROR_NONE: it changed something. ERROR_REJECTED: the state did not allow it any more. */
int rows_fold(struct rows *rows, const struct op *op);
void rows_snapshot(const struct rows *rows, struct bytes *to);
int rows_restore(struct rows *rows, const struct bytes *from);
struct job *rows_find_job(const struct rows *rows, int64_t id);
/* 0: unknown; > 0: job id; < 0: -1 - shard it was sent on to. */
int64_t rows_find_key(const struct rows *rows, const char *key);
struct job *rows_next_job(const struct rows *rows, int64_t *id); /* first with id > *id */

/* rows_spec.c */
int64_t spec_task_count(const struct job_spec *spec);
int spec_check(const struct job_spec *spec, struct validation_error *validation_error);
const struct task_spec *spec_task(const struct job_spec *spec, int64_t no, int64_t *step);
int64_t spec_first_task(const struct job_spec *spec, int64_t step);
const char *row_state_name(int64_t state);
const char *job_state_name(int64_t state);
int job_step_ready(const struct job *job, int64_t step);
json_t *job_view(const struct job *job, int with_tasks);
static inline int64_t job_shard(int64_t id) { return id >> SHARD_BITS; }
void job_id_text(int64_t id, char text[32]);
int64_t job_id_parse(const char *text);
int64_t key_shard(const char *key);
static inline int row_ended(const struct row *row) { return row->state >= ROW_DONE; }
static inline int job_ended(const struct job *job) { return job->state >= JOB_DONE; }
#endif
