/* Jobs of the callers of a simulated cluster: their shapes, and what was observed of them. */
#ifndef SAGEHITCH_SIM_CLUSTER_JOBS_H
#define SAGEHITCH_SIM_CLUSTER_JOBS_H
#include <stdint.h>

struct cluster;
struct job_spec;

/* A start of a task, as its executor observed it. */
struct seen_start {
    int64_t at_us, attempt, executor;
};
/* An end of a run. acknowledged: the leader confirmed to the executor that it knows of the end; lease_expired: the
 * executor's lease ran out before such a confirmation. */
struct seen_end {
    int64_t at_us, attempt, executor, generation, seq, how, acknowledged, lease_expired;
};
/* A task in one repetition of its job. reported: bits of the violations that were reported for it already;
 * checkpoint_ms: the most work that a checkpoint of it holds. */
struct tracked_task {
    struct seen_start *starts;
    struct seen_end *ends;
    int64_t n_starts, n_ends, checkpoint_ms, reported;
};
/* One attempt of a gang, over all executors. checkpoint: what all members start from. */
struct tracked_gang {
    int64_t repetition, step, attempt, began_us, required_us, broken, finished, started;
    char *checkpoint;
};
/* A job of a caller. Times are set when the event happens; until then cancel_us is 0 and the others are -1.
 * in_flight: submissions without a response yet; seen_state: the newest state that a caller was shown, as an index into
 * the names in cluster_oracle_on_job_state(); n_not_found: 410 responses; unplaceable: no executor can run it;
 * failing_task: the task that fails in each attempt, -1: none; fail_pct: share of attempts that fail. */
struct tracked_job {
    int64_t id, serial, tasks_per_repetition, repetitions, unplaceable, failing_task, long_running, fail_pct;
    struct job_spec *spec;
    int64_t *first_task; /* by step: index of its first task within a repetition */
    const char *host_name, *prefix, *service;
    char *body;
    int64_t sent_us, accepted_us, tries, refusals, in_flight, cancel_us, cancel_tries, cancel_ack_us, seen_state,
        seen_state_us, n_not_found;
    int64_t no_progress_since_us, no_progress_reported;
    int64_t starts;
    struct tracked_task *tracked_tasks;
    struct tracked_gang *gangs;
    int64_t n_gangs;
};

/* What a job looks like; all but SHAPE_STEPS have one step. SHAPE_RAW: for executors that do not check their capacity.
 */
enum job_shape {
    SHAPE_SINGLE_STEP,
    SHAPE_STEPS,
    SHAPE_GANG,
    SHAPE_LABEL,
    SHAPE_PREFERRED_RACK,
    SHAPE_PER_EXECUTOR_LIMIT,
    SHAPE_LONG_RUNNING,
    SHAPE_REPEATED,
    SHAPE_CHECKPOINTS,
    SHAPE_UNPLACEABLE,
    SHAPE_FAILING_TASK,
    SHAPE_RAW,
    SHAPE_LARGE,
    SHAPE_DUPLICATES,
    SHAPE_COUNT
};
struct tracked_job *callers_new_job(struct cluster *cluster, enum job_shape shape); /* not submitted yet */
struct tracked_job *tracked_job(const struct cluster *cluster, int64_t id);
struct tracked_task *tracked_task(const struct tracked_job *job, int64_t task); /* NULL: the job has no such task */
struct tracked_gang *tracked_gang(struct tracked_job *job, int64_t repetition, int64_t step, int64_t attempt);
int tracked_step_done(const struct tracked_job *job, int64_t repetition, int64_t step);
void tracked_job_free(struct tracked_job *job);
#endif
