/* The oracle: checks of what callers are told about their jobs, and of what follows from it. */
#include <string.h>

#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

typedef unsigned long long ull;

void cluster_oracle_check_response(struct cluster *cluster, int64_t job, int status, const char *body,
                                   const char *member)
{
    json_t *response = status == 200 ? json_loads(body, 0, NULL) : NULL;
    int matches =
        member ? json_object_get(response, member) != NULL : json_is_object(response) && !json_object_size(response);
    json_decref(response);
    if (status == 200 && !matches)
        cluster_violation(cluster, job, "ANSWER: a request for %s gets the response %.60s",
                          member ? member : "an empty object", body);
}

static int all_done(const struct tracked_job *job)
{
    for (int64_t t = 0; t < job->repetitions; t++)
        for (int64_t i = 0; i < job->spec->n_steps; i++)
            if (!tracked_step_done(job, t, i))
                return 0;
    return 1;
}

static int may_fail(const struct tracked_job *job)
{
    for (int64_t r = 0; r < job->tasks_per_repetition * job->repetitions; r++) {
        int64_t failed = 0;
        for (int64_t e = 0; e < job->tracked_tasks[r].n_ends; e++)
            failed += job->tracked_tasks[r].ends[e].how == RUN_FAILED;
        if (failed >= ATTEMPTS_MAX)
            return 1;
    }
    for (int64_t i = 0; i < job->spec->n_steps; i++) /* the failures of all members of a gang count together */
        for (int64_t t = 0; job->spec->steps[i].gang && t < job->repetitions; t++) {
            int64_t failed = 0;
            for (int64_t k = 0; k < job->spec->steps[i].task_count; k++) {
                const struct tracked_task *tracked = tracked_task(job, task_of(t, i, k));
                for (int64_t e = 0; e < tracked->n_ends; e++)
                    failed += tracked->ends[e].how == RUN_FAILED;
            }
            if (failed >= ATTEMPTS_MAX)
                return 1;
        }
    return job->unplaceable != 0;
}

void cluster_oracle_on_job_state(struct cluster *cluster, struct tracked_job *job, const char *state,
                                 const struct host *controller)
{
    static const char *const states[] = {"?", "pending", "active", "done", "failed", "cancelled"};
    int64_t seen_state = 0;
    for (int64_t i = 1; i < COUNT_OF(states); i++)
        if (!strcmp(state, states[i]))
            seen_state = i;
    cluster->n_checks++;
    if (job->seen_state >= 3 && seen_state != job->seen_state)
        cluster_violation(cluster, job->id, "LOST: job %llx was shown as %s and is now %s by %s", (ull)job->id,
                          states[job->seen_state], state, controller->name);
    if (seen_state == job->seen_state)
        return;
    cluster_trace(cluster, job->id, "job %llx is shown as %s by %s", (ull)job->id, state, controller->name);
    job->seen_state = seen_state;
    job->seen_state_us = cluster->now_us;
    if (seen_state == 3) {
        cluster->n_jobs_seen_done++;
        if (!all_done(job))
            cluster_violation(cluster, job->id, "MIXED: job %llx is shown as done before all its tasks are done",
                              (ull)job->id);
    }
    if (seen_state == 4 && !may_fail(job))
        cluster_violation(cluster, job->id, "LOST: job %llx is shown as failed without a cause", (ull)job->id);
    if (seen_state == 5 && !job->cancel_us)
        cluster_violation(cluster, job->id, "LOST: job %llx is shown as cancelled without a request", (ull)job->id);
}

/* Reads go through the leader's log, so no controller may respond that an accepted job does not exist. */
void cluster_oracle_on_job_not_found(struct cluster *cluster, struct tracked_job *job, const struct host *controller)
{
    job->n_not_found++;
    if (job->accepted_us >= 0 && cluster->now_us - job->accepted_us > VISIBLE_MS * 1000LL && job->n_not_found == 1)
        cluster_violation(cluster, job->id, "LOST: %s responds that accepted job %llx does not exist", controller->name,
                          (ull)job->id);
}

static void check_cancelled_stopped(struct cluster *cluster, void *arg, int64_t n)
{
    struct tracked_job *job = arg;
    struct standin *standin;
    (void)n;
    for (int64_t k = 0; (standin = cluster_standin(cluster, k)); k++)
        for (int64_t i = 0; standin->up && i < standin->n_runs; i++)
            if (standin->runs[i].job == job && cluster_is_reachable(cluster, standin->host) &&
                cluster->now_us - cluster->last_fault_us > (CANCEL_MS + STOP_TIMEOUT_MS + CONTACT_MS) * 1000LL &&
                cluster->now_us - standin->faulty_until_us > CONTACT_MS * 1000 + HOLD_MAX_MS * 1000)
                cluster_violation(cluster, job->id,
                                  "UNASKED: task %llx of job %llx still runs on %s long after its cancellation",
                                  (ull)standin->runs[i].task, (ull)job->id, standin->name);
}

void cluster_oracle_on_cancel_acknowledged(struct cluster *cluster, struct tracked_job *job)
{
    if (job->cancel_ack_us >= 0)
        return;
    job->cancel_ack_us = cluster->now_us;
    cluster_trace(cluster, job->id, "the cancellation of job %llx is acknowledged", (ull)job->id);
    cluster_schedule(cluster, CANCEL_MS + STOP_TIMEOUT_MS, check_cancelled_stopped, job, 0);
}

void cluster_oracle_check_end(struct cluster *cluster)
{
    for (int64_t i = 0; i < cluster->n_jobs; i++) {
        const struct tracked_job *job = cluster->jobs[i];
        if (job->starts && job->accepted_us < 0 && job->tries == job->refusals)
            cluster_violation(cluster, job->id, "REFUSED: job %llx ran although each submission was refused",
                              (ull)job->id);
        if (job->n_not_found && job->accepted_us >= 0 && job->seen_state < 3)
            cluster_violation(cluster, job->id, "LOST: accepted job %llx is not known at the end", (ull)job->id);
    }
}
