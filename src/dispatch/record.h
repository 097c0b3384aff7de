/* The record: the replicated state of configuration, jobs and tasks. It is changed by committed ops alone, in log
 * order, so that all voters hold the same; a leader's volatile state (reports, orders) is not in here. */
#ifndef SAGEHITCH_DISPATCH_RECORD_H
#define SAGEHITCH_DISPATCH_RECORD_H
#include <Judy.h>

#include "base/error.h"
#include "base/change_history.h"
#include "dispatch/record_op.h"

/* State of a row. The numbers are stored in snapshots. */
enum row_state { ROW_WAITING, ROW_PLACED, ROW_DONE, ROW_FAILED };

/* One task of one repetition. Invariants: attempt never falls; a PLACED row names the incarnation (index into
 * incarnations) on which the attempt may run, other rows have -1; failures counts failed attempts (of a gang: the
 * same number in all its rows, an attempt counts once); saved is the newest checkpoint (all rows of a gang hold the
 * same) or NULL, as in all DONE rows. */
struct row {
    int32_t state, failures, attempt, incarnation;
    char *checkpoint;
    int64_t since_ms; /* when it came to this state, time of day */
};

/* A job. Invariants: rows has times * tasks entries: repetition k, step s, index i is at k * tasks + first[s] + i;
 * left[k * n_steps + s] is the number of rows of that step that are not DONE, waiting likewise of those that are
 * WAITING; counted is the attempt of a gang whose failure was counted last. A job is live, and linked, until it is
 * over by its state (job_over()) and none of its rows is PLACED: the room of a cancelled or failed job is in use until
 * its placed rows end. Then rows, first, left, waiting and counted are NULL, and of spec only the numbers are left;
 * spec_hash still tells whether a job submitted again is the same. */
struct job {
    struct job_spec spec;
    int64_t queue, state, tasks, repetitions, accepted_ms, ended_ms, n_placed, n_done;
    int64_t *first, *left, *waiting, *counted; /* one allocation, owned by first */
    struct row *rows;
    struct job *next, *prev; /* live jobs, in order of acceptance */
    int64_t index;           /* number in order of acceptance */
    uint64_t spec_hash;      /* of spec and the queue's name */
    struct job_rules *rules; /* in force when it was accepted, kept to its end; NULL: it belongs to no outlet */
};

/* An incarnation (one start of an executor) on which something was placed. Invariant: placed is the number of PLACED
 * rows on it; an entry with none may be reused for another. */
struct incarnation {
    char *name;
    int64_t agent, placed;
};

/* A queue as jobs refer to it: by the newest configuration that had it, and whether the current one still does.
 * Entries are never deleted, so their indices are stable. */
struct queue {
    struct queue_config config;
    int64_t removed, live; /* live: number of its live jobs */
};

/* Applies a patch, as it was sent, to the text of a configuration. Returns 0 and the new configuration, checked and
 * with its text, in *to (zeroed before, then the caller's); or an error, described in validation_error (may be NULL),
 * with *to empty. Must give the same result in all processes. */
typedef enum sagehitch_error config_patcher(struct config *to, const struct bytes *current, const struct bytes *patch,
                                            struct validation_error *validation_error);

/* The record. changed is called for each row that an op changed, and with no -1 for a job that is new, over, no longer
 * live or forgotten (then record_job() no longer finds it, and it is freed after the call). Rows are still valid
 * during the call. */
struct record {
    struct config config;
    struct change_history config_history; /* the current one is its newest */
    struct queue *queues;
    int64_t n_queues;
    Pvoid_t jobs;                /* JudyL: id -> struct job */
    struct job *oldest, *newest; /* of the live ones */
    int64_t n_jobs, n_live, next_index;
    struct incarnation *incarnations;
    int64_t n_incarnations;
    struct rules rules;
    Pvoid_t incarnation_numbers; /* JudySL: name -> 1 + index into incarnations */
    void (*changed)(void *arg, struct job *job, int64_t no);
    void *arg;
    config_patcher *patch_config; /* NULL: patches are refused with ERROR_BAD_METHOD */
};

/* Initialises an empty record; frees all it owns. */
void record_start(struct record *record);
void record_end(struct record *record);
/* Applies one op. Returns 0, or why it changed nothing. The items of OP_PLACE, OP_END and OP_FORGET succeed or fail
 * one by one; ERROR_STALE or ERROR_GONE is returned only where none succeeded. */
enum sagehitch_error record_apply(struct record *record, const struct record_op *op);
/* The configuration as it would be after this patch; to and validation_error: as for config_patcher. */
enum sagehitch_error record_patch_config(const struct record *record, const struct config_change *patch,
                                         struct config *to, struct validation_error *validation_error);
/* The outcome of each op of a batch: 0 or an error, in their order. */
struct record_result {
    int64_t *errors;
    int64_t n;
};
extern const struct schema record_result_schema; /* in controller/api_schemas.c */
/* Applies all ops of a packed record_batch. Returns ERROR_BAD_FRAME where it cannot be read: then nothing is changed
 * and result stays as it is. result: empty, filled in, to be freed by the caller; NULL: not wanted. */
enum sagehitch_error record_apply_batch(struct record *record, const struct bytes *packed,
                                        struct record_result *result);
/* Appends the whole record to bytes, and restores it. The record must be empty or as started
 * before, and is empty after an error. */
void record_snapshot(const struct record *record, struct bytes *to);
enum sagehitch_error record_restore(struct record *record, const struct bytes *from);

/* The job of this id, NULL: none; valid until it is forgotten. */
struct job *record_job(const struct record *record, int64_t id);
/* Indices by name. */
int64_t record_incarnation(const struct record *record, const char *name); /* -1: never known, or reused since */
int64_t record_queue(const struct record *record, const char *name);       /* -1: never known */
/* Whether this submission to the queue of this name is the same as the one that created the job. */
int job_same(const struct job *job, const struct job_spec *spec, const char *queue);
/* Whether the job is done, failed or cancelled; it may still have rows, see struct job. */
int job_over(const struct job *job);
/* priority, attempts_max, stretch_pct or target_ms of a job: by its outlet's rules, else by its queue. */
#define JOB_EFFECTIVE_RULE(record, job, rule)                                            \
    ((job)->rules && (job)->rules->values.rule != RULE_UNSET ? (job)->rules->values.rule \
                                                             : (record)->queues[(job)->queue].config.rule)
/* The repetition, step and index of a row. The job must be live, here and below. */
void job_row_position(const struct job *job, int64_t no, int64_t *repetition, int64_t *step, int64_t *index);
/* Whether all steps that this step depends on are done in this repetition. */
int job_step_begins(const struct job *job, int64_t repetition, int64_t step);
/* Time of day at which a repetition is due. */
int64_t job_due_ms(const struct job *job, int64_t repetition); /* 0: at once */
/* The row of a task_of() number, -1: there is none, or the job is not live; and the reverse. */
int64_t job_row(const struct job *job, int64_t task);
int64_t job_task(const struct job *job, int64_t no);
#endif
