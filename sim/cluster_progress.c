/* The oracle's check of progress at the end of a run: an accepted job with a step that is ready to run must not wait
 * while there is ample free capacity for it. */
#include <string.h>

#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

enum { NO_PROGRESS_MS = 3000, FAULT_SETTLE_MS = 10000 };

/* The first step that may run now and is not done, NULL: none. */
static const struct step_spec *ready_step(const struct cluster *cluster, const struct tracked_job *job)
{
    const struct job_spec *spec = job->spec;
    for (int64_t t = 0; t < job->repetitions; t++)
        for (int64_t k = 0; k < spec->n_steps; k++) {
            int ready = !tracked_step_done(job, t, k) &&
                        (!spec->repeats || cluster_wall_ms(cluster) >= spec->start_ms + t * spec->interval_ms);
            for (int64_t i = 0; i < spec->steps[k].n_depends_on; i++)
                ready = ready && tracked_step_done(job, t, spec->steps[k].depends_on[i]);
            if (ready)
                return &spec->steps[k];
        }
    return NULL;
}

static int is_running(struct cluster *cluster, const struct tracked_job *job)
{
    struct standin *standin;
    for (int64_t k = 0; (standin = cluster_standin(cluster, k)); k++)
        for (int64_t i = 0; standin->up && i < standin->n_runs; i++)
            if (standin->runs[i].job == job)
                return 1;
    return 0;
}

static int64_t min_of(int64_t a, int64_t b) { return a < b ? a : b; }

/* Whether the step fits at least twice and less than half of its service's capacity is in use. */
static int has_ample_capacity(struct cluster *cluster, const struct tracked_job *job, const struct step_spec *step)
{
    int64_t fit = 0, cpu = 0, used = 0, needed = step->gang ? step->task_count : 1;
    struct standin *standin;
    for (int64_t k = 0; (standin = cluster_standin(cluster, k)); k++) {
        int64_t cpu_milli, memory_mb, gpus;
        if (!standin->up || standin->draining || standin->serves_until_us || strcmp(standin->service, job->service))
            continue;
        standin_usage(standin, &cpu_milli, &memory_mb, &gpus);
        cpu += standin->cpu_milli;
        used += cpu_milli;
        if (step->label && strcmp(step->label, standin->label))
            continue;
        int64_t here = min_of((standin->cpu_milli - cpu_milli) / step->cpu_milli,
                              (standin->memory_mb - memory_mb) / step->memory_mb);
        fit += step->per_executor ? min_of(here, step->per_executor) : here;
    }
    return fit >= 2 * needed && used * 2 < cpu;
}

void cluster_oracle_check_progress(struct cluster *cluster)
{
    for (int64_t i = 0; i < cluster->n_jobs; i++) {
        struct tracked_job *job = cluster->jobs[i];
        const struct step_spec *step = NULL;
        int pending = job->accepted_us >= 0 && job->seen_state < 3 && !job->cancel_us && !job->unplaceable;
        if (pending && cluster->now_us - cluster->last_fault_us > FAULT_SETTLE_MS * 1000LL && !is_running(cluster, job))
            step = ready_step(cluster, job);
        if (!step || !has_ample_capacity(cluster, job, step)) {
            job->no_progress_since_us = 0;
            continue;
        }
        cluster->n_checks++;
        if (!job->no_progress_since_us)
            job->no_progress_since_us = cluster->now_us;
        if (cluster->now_us - job->no_progress_since_us > NO_PROGRESS_MS * 1000LL && !job->no_progress_reported) {
            job->no_progress_reported = 1;
            cluster_violation(cluster, job->id,
                              "LOST: job %llx makes no progress although there is capacity for it twice over",
                              (unsigned long long)job->id);
        }
    }
}
