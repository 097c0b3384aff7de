/* The record: the replicated state of the configuration, jobs and tasks. Only committed ops change it, in log order, so
 * that it is the same on all voters. The leader's volatile state (reports, orders) is not part of it. */
#ifndef SAGEHITCH_DISPATCH_RECORD_H
#define SAGEHITCH_DISPATCH_RECORD_H
#include <Judy.h>

#include "base/error.h"
#include "base/change_history.h"
#include "dispatch/cancelled_ids.h"
#include "dispatch/record_op.h"

/* State of a row. The numbers are stored in snapshots. */
enum row_state { ROW_WAITING, ROW_PLACED, ROW_DONE, ROW_FAILED };

/* A row: one task of one repetition. Invariants: attempt never decreases. incarnation is the index of the incarnation
 * on which the attempt of a PLACED row may run, -1 for other rows. failures is the number of failed attempts; all rows
 * of a gang have the same number, and a failed attempt of a gang counts once. checkpoint is the newest one, the same
 * in all rows of a gang; NULL: none, as in all DONE rows. */
struct row {
    int32_t state, failures, attempt, incarnation;
    char *checkpoint;
    int64_t since_ms; /* when it entered this state, time of day */
};

/* A job. Invariants:
 * - rows has tasks entries for each repetition: index i of step s in repetition k is at k * tasks + first[s] + i.
 * - unfinished[k * n_steps + s] is the number of rows of step s in repetition k that are not DONE, waiting[] the number
 *   of rows that are WAITING, last_failed_attempts[] the attempt of a gang whose failure was counted last.
 * - A job is live, and linked, until its state is final (job_over()) and none of its rows is PLACED: a cancelled or
 *   failed job uses capacity until its placed rows end. A job that is not live has no rows and none of these arrays
 *   (NULL), and only the numbers of spec; spec_hash still shows whether a job submitted again is the same. */
struct job {
    struct job_spec spec;
    int64_t queue, state, tasks, repetitions, accepted_ms, ended_ms, n_placed, n_done;
    int64_t *first, *unfinished, *waiting, *last_failed_attempts; /* one allocation, owned by first */
    struct row *rows;
    struct job *next, *prev;   /* live jobs, in order of acceptance */
    int64_t index;             /* sequence number, in order of acceptance */
    int64_t live_bytes;        /* record_job_bytes() of spec while it is live, else 0 */
    uint64_t spec_hash;        /* of spec and the queue's name */
    struct job_rules *rules;   /* rules of its outlet when it was accepted; NULL: it belongs to no outlet */
    struct queue_route *route; /* by which it was accepted; NULL: the route that its queue has */
};

/* An incarnation (one start of an executor) on which rows were placed. Invariant: placed is the number of PLACED rows
 * on it; an entry without any may be reused for another incarnation. */
struct incarnation {
    char *name;
    int64_t agent, placed;
};

/* A queue that jobs refer to. config is taken from the newest configuration that has it; removed is set if that is not
 * the current one. Entries are never deleted, so their indices are stable; several removed ones may have the same name,
 * see record_queues.c. */
struct queue {
    struct queue_config config;
    int64_t removed, live; /* live: number of its live jobs */
};

/* Applies a patch, as it was sent, to the text of a configuration. Returns 0 and fills *to (zeroed by the caller, who
 * frees it) with the validated new configuration, including its text; or returns an error, described in
 * validation_error (may be NULL), and leaves *to empty. Must give the same result in all processes. */
typedef enum sagehitch_error config_patcher(struct config *to, const struct bytes *current, const struct bytes *patch,
                                            struct validation_error *validation_error);

/* The record. changed is called for each row that an op changed, and with row_index -1 for a job that was accepted,
 * ended, stopped being live or is removed (record_job() no longer finds it then, and it is freed after the call). Rows
 * are still valid during the call. */
struct record {
    struct config config;
    struct change_history config_history; /* the current configuration is its newest entry */
    struct queue *queues;
    int64_t n_queues;
    Pvoid_t jobs;                /* JudyL: id -> struct job */
    struct job *oldest, *newest; /* of the live jobs */
    int64_t n_jobs, n_live, next_index;
    int64_t live_bytes; /* of all live jobs */
    struct incarnation *incarnations;
    int64_t n_incarnations;
    struct rules rules;
    struct cancelled_ids cancelled_ids; /* of jobs that were cancelled before they were submitted */
    Pvoid_t incarnation_numbers;        /* JudySL: name -> 1 + index into incarnations */
    void (*changed)(void *arg, struct job *job, int64_t row_index);
    void *arg;
    config_patcher *patch_config; /* NULL: patches are refused with ERROR_BAD_METHOD */
};

/* Initialises an empty record; frees all that a record owns. */
void record_start(struct record *record);
void record_end(struct record *record);
/* Applies one op. Returns 0, or the reason why it changed nothing. The items of OP_PLACE, OP_END and OP_FORGET succeed
 * or fail one by one; ERROR_STALE or ERROR_GONE is returned only if all failed. */
enum sagehitch_error record_apply(struct record *record, const struct record_op *op);
/* Fills to with the configuration as it would be after this patch; to, validation_error and the return value are as for
 * config_patcher. */
enum sagehitch_error record_patch_config(const struct record *record, const struct config_change *patch,
                                         struct config *to, struct validation_error *validation_error);
/* The outcome of each op of a batch: 0 or an error, in their order. */
struct record_result {
    int64_t *errors;
    int64_t n;
};
extern const struct schema record_result_schema; /* in controller/api_schemas.c */
/* Applies all ops of a packed record_batch. Returns ERROR_BAD_FRAME if it cannot be unpacked; then neither the record
 * nor result changes. result: must be empty, is filled and is freed by the caller; NULL: not wanted. */
enum sagehitch_error record_apply_batch(struct record *record, const struct bytes *packed,
                                        struct record_result *result);
/* Appends a snapshot of the whole record to `to`; restores a snapshot. Restoring drops the previous content of the
 * record except changed and arg; after an error the record is empty. */
void record_snapshot(const struct record *record, struct bytes *to);
enum sagehitch_error record_restore(struct record *record, const struct bytes *from);

/* The memory in bytes that a live job of this spec takes, about. */
int64_t record_job_bytes(const struct job_spec *spec);
/* The job with this id, NULL: none; the pointer is valid until the job is removed. */
struct job *record_job(const struct record *record, int64_t id);
/* The index of the incarnation of this name, -1: never known, or its entry was reused. */
int64_t record_incarnation(const struct record *record, const char *name);
/* The index of the queue of this name: the current one, else one that was removed; -1: never known. */
int64_t record_queue(const struct record *record, const char *name);
/* Whether this is the route of the queue. */
int queue_has_route(const struct queue_config *queue, const char *host, const char *prefix);
/* Whether requests to this host and path reached the queue of the job when it was accepted. */
int job_is_reached(const struct record *record, const struct job *job, const char *host, const char *path);
/* Whether submitting spec to the queue of this name is the same request as the one that created the job. */
int job_same(const struct job *job, const struct job_spec *spec, const char *queue);
/* Whether the job is done, failed or cancelled. It may still have rows, see struct job. */
int job_over(const struct job *job);
/* The priority, attempts_max, stretch_pct or target_ms that applies to a job: from the rules of its outlet if they set
 * it, else from its queue. */
#define JOB_EFFECTIVE_RULE(record, job, rule)                                            \
    ((job)->rules && (job)->rules->values.rule != RULE_UNSET ? (job)->rules->values.rule \
                                                             : (record)->queues[(job)->queue].config.rule)
/* The repetition, step and index within the step of a row. The job must be live. */
void job_row_position(const struct job *job, int64_t row_index, int64_t *repetition, int64_t *step, int64_t *index);
/* Whether all steps that this step depends on are done in this repetition. The job must be live. */
int job_step_is_ready(const struct job *job, int64_t repetition, int64_t step);
/* The time of day at which a repetition is due, 0: at once. */
int64_t job_due_ms(const struct job *job, int64_t repetition);
/* The index of the row of a task_of() number, -1: there is none, or the job is not live; and the task_of() number of a
 * row of a live job. */
int64_t job_row(const struct job *job, int64_t task);
int64_t job_task(const struct job *job, int64_t row_index);
#endif
