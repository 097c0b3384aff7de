/* Jobs of the callers of a simulated cluster: finding what was observed of them, and making new ones of all shapes. */
#include "sim/cluster_jobs.h"

#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

/* --- tracked jobs ------------------------------------------------------------- */

struct tracked_job *tracked_job(const struct cluster *cluster, int64_t id)
{
    for (int64_t i = cluster->n_jobs - 1; i >= 0; i--)
        if (cluster->jobs[i]->id == id)
            return cluster->jobs[i];
    return NULL;
}

struct tracked_task *tracked_task(const struct tracked_job *job, int64_t task)
{
    int64_t repetition = task_repetition(task), step = task_step(task), index = task_index(task);
    if (repetition < 0 || repetition >= job->repetitions || step >= job->spec->n_steps ||
        index >= job->spec->steps[step].task_count)
        return NULL;
    return &job->tracked_tasks[repetition * job->tasks_per_repetition + job->first_task[step] + index];
}

struct tracked_gang *tracked_gang(struct tracked_job *job, int64_t repetition, int64_t step, int64_t attempt)
{
    if (!job->spec->steps[step].gang)
        return NULL;
    for (int64_t i = 0; i < job->n_gangs; i++)
        if (job->gangs[i].repetition == repetition && job->gangs[i].step == step && job->gangs[i].attempt == attempt)
            return &job->gangs[i];
    struct tracked_gang *gang = array_add(job->gangs, job->n_gangs);
    *gang = (struct tracked_gang){.repetition = repetition, .step = step, .attempt = attempt};
    return gang;
}

void tracked_job_free(struct tracked_job *job)
{
    for (int64_t i = 0; i < job->tasks_per_repetition * job->repetitions; i++) {
        free(job->tracked_tasks[i].starts);
        free(job->tracked_tasks[i].ends);
    }
    for (int64_t i = 0; i < job->n_gangs; i++)
        free(job->gangs[i].checkpoint);
    free(job->gangs);
    free(job->tracked_tasks);
    free(job->first_task);
    free(job->body);
    schema_free(&submission_without_outlet_schema, job->spec);
    free(job->spec);
    free(job);
}

/* --- shapes -------------------------------------------------------------------- */

static struct step_spec *add_step(struct cluster *cluster, struct job_spec *spec, int64_t width, int64_t ms)
{
    struct step_spec *step = array_add(spec->steps, spec->n_steps);
    step->task_count = width;
    step->cpu_milli = 500 + cluster_pick(cluster, 8) * 500;
    step->memory_mb = 256 + cluster_pick(cluster, 8) * 512;
    step->estimate_ms = ms / 2 + cluster_pick(cluster, ms);
    return step;
}

static void add_dependency(struct step_spec *step, int64_t on)
{
    *array_add(step->depends_on, step->n_depends_on) = on;
}

static void add_shape_steps(struct cluster *cluster, struct job_spec *spec)
{
    add_step(cluster, spec, 1 + cluster_pick(cluster, 4), 400);
    add_step(cluster, spec, 1 + cluster_pick(cluster, 6), 800);
    add_dependency(add_step(cluster, spec, 1 + cluster_pick(cluster, 3), 500), 0);
    struct step_spec *last = add_step(cluster, spec, 1, 300);
    add_dependency(last, 1);
    add_dependency(last, 2);
}

static void add_single_step(struct cluster *cluster, struct tracked_job *job, enum job_shape shape)
{
    struct job_spec *spec = job->spec;
    struct step_spec *step = add_step(cluster, spec, 1 + cluster_pick(cluster, 5), 600);
    if (shape == SHAPE_LABEL)
        step->label = must_dup("large");
    else if (shape == SHAPE_PREFERRED_RACK)
        step->rack = must_printf("z%lld-0", (long long)cluster_pick(cluster, 3));
    else if (shape == SHAPE_PER_EXECUTOR_LIMIT)
        step->per_executor = 1 + cluster_pick(cluster, 2);
    else if (shape == SHAPE_CHECKPOINTS) {
        step->checkpoints = 1;
        step->estimate_ms = 5000;
    } else if (shape == SHAPE_LARGE) {
        step->cpu_milli = 9000;
        step->estimate_ms = 2500;
    } else if (shape == SHAPE_LONG_RUNNING) {
        step->task_count = 1 + cluster_pick(cluster, 2);
        step->long_running = job->long_running = 1;
        step->estimate_ms = 300;
    } else if (shape == SHAPE_REPEATED) {
        spec->repeats = 2 + cluster_pick(cluster, 3);
        spec->start_ms = cluster_wall_ms(cluster) + 500 + cluster_pick(cluster, 2000);
        spec->interval_ms = 700 + cluster_pick(cluster, 1500);
    } else if (shape == SHAPE_DUPLICATES)
        step->duplicates = 1;
    else if (shape == SHAPE_UNPLACEABLE) {
        step->label = must_dup("none-such");
        job->unplaceable = 1;
    } else if (shape == SHAPE_FAILING_TASK)
        job->failing_task = task_of(0, 0, cluster_pick(cluster, step->task_count));
}

struct tracked_job *callers_new_job(struct cluster *cluster, enum job_shape shape)
{
    static const char *const prefixes[] = {"/fast/", "/mid/", "/slow/"};
    struct tracked_job *job = must_alloc(sizeof *job);
    struct job_spec *spec = job->spec = must_alloc(sizeof *spec);
    *array_add(cluster->jobs, cluster->n_jobs) = job;
    job->id = spec->id = (int64_t)cluster_random(cluster);
    job->serial = cluster->n_jobs;
    job->failing_task = job->accepted_us = job->sent_us = job->cancel_ack_us = job->seen_state_us = -1;
    job->host_name = "jobs.example";
    job->prefix = shape == SHAPE_RAW ? "/raw/" : shape == SHAPE_LARGE ? "/slow/" : prefixes[cluster_pick(cluster, 3)];
    job->service = shape == SHAPE_RAW ? "raw" : "guarded";
    job->fail_pct = shape == SHAPE_LONG_RUNNING ? 20 : cluster_pick(cluster, 3) == 0 ? 4 : 0;
    spec->text = must_printf("text of %llx", (unsigned long long)job->id);
    if (shape == SHAPE_STEPS)
        add_shape_steps(cluster, spec);
    else if (shape == SHAPE_GANG) {
        struct step_spec *step = add_step(cluster, spec, 2 + cluster_pick(cluster, 3), 1500);
        step->gang = 1;
        step->same_rack = cluster_pick(cluster, 2);
        step->checkpoints = cluster_pick(cluster, 2);
    } else
        add_single_step(cluster, job, shape);
    job->repetitions = spec->repeats > 0 ? spec->repeats : 1;
    for (int64_t i = 0; i < spec->n_steps;) {
        *array_add(job->first_task, i) = job->tasks_per_repetition;
        job->tasks_per_repetition += spec->steps[i - 1].task_count;
    }
    job->tracked_tasks =
        must_alloc(sizeof *job->tracked_tasks * (size_t)(job->tasks_per_repetition * job->repetitions));
    job->body = schema_to_text(&submission_without_outlet_schema, spec);
    cluster_trace(cluster, job->id, "shape %d to %s: %s", (int)shape, job->prefix, job->body);
    return job;
}
