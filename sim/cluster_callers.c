/* Callers of a simulated cluster: they submit jobs of all shapes, retry submissions without a definite response, cancel
 * jobs and poll their states. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

enum { SUBMIT_TRIES_MAX = 5, SUBMIT_WAIT_MS = 3000 };

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

/* --- submission --------------------------------------------------------------- */

static struct host *pick_controller(struct cluster *cluster)
{
    struct host *host = cluster_any_controller(cluster);
    for (int k = 0; k < 3 && host && !host->up;
         k++) /* the platform's load balancer avoids most controllers that are down */
        host = cluster_any_controller(cluster);
    return host;
}

static void send_request_to(struct cluster *cluster, struct host *to, struct tracked_job *job, const char *method,
                            const char *body, int64_t wait_ms, cluster_on_response *on_response)
{
    char *path = must_printf("%s%016llx", job->prefix, (unsigned long long)job->id);
    char *header = must_printf("Host: %s\nWait-Ms: %lld\n", job->host_name, (long long)wait_ms);
    cluster_request(cluster, &(struct cluster_http_request){.to = to,
                                                            .entry = ENTRY_CALLERS,
                                                            .method = method,
                                                            .path = path,
                                                            .header = header,
                                                            .body = body,
                                                            .wait_ms = wait_ms,
                                                            .on_response = on_response,
                                                            .arg = job,
                                                            .tag = to->index});
    free(path);
    free(header);
}

static void send_request(struct cluster *cluster, struct tracked_job *job, const char *method, const char *body,
                         int64_t wait_ms, cluster_on_response *on_response)
{
    send_request_to(cluster, pick_controller(cluster), job, method, body, wait_ms, on_response);
}

static void poll_state(struct cluster *cluster, void *arg, int64_t n);

static int is_finished(const struct tracked_job *job)
{
    return job->seen_state == 3 || job->seen_state == 4 || job->seen_state == 5;
}

/* Handles the response to a query of a job's state. */
static void on_state_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    struct tracked_job *job = arg;
    json_t *response = json_loads(body, 0, NULL);
    const char *state = json_string_value(json_object_get(response, "state"));
    cluster_oracle_check_response(cluster, job->id, status, body, "state");
    if (status == 200 && state)
        cluster_oracle_on_job_state(cluster, job, state, cluster->hosts[tag]);
    else if (status == 410)
        cluster_oracle_on_job_not_found(cluster, job, cluster->hosts[tag]);
    json_decref(response);
    if (!is_finished(job))
        cluster_schedule(cluster, 300 + cluster_pick(cluster, 700), poll_state, job, 0);
}

static void poll_state(struct cluster *cluster, void *arg, int64_t n)
{
    (void)n;
    send_request(cluster, arg, "GET", "", 1000, on_state_response);
}

static void submit(struct cluster *cluster, void *arg, int64_t n);

static void on_accepted(struct cluster *cluster, struct tracked_job *job)
{
    if (job->accepted_us >= 0)
        return;
    job->accepted_us = cluster->now_us;
    cluster->n_accepted++;
    cluster_trace(cluster, job->id, "job %llx accepted", (unsigned long long)job->id);
    cluster_schedule(cluster, 200, poll_state, job, 0);
}

static void on_submit_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    struct tracked_job *job = arg;
    (void)tag;
    cluster_oracle_check_response(cluster, job->id, status, body, NULL);
    job->in_flight--;
    if (status == 200) {
        on_accepted(cluster, job);
        return;
    }
    if (status == 429 || status == 503 || status == 404 || status == 400) {
        job->refusals++;
        if (status == 404 || status == 400)
            cluster_violation(cluster, job->id, "CONFIG: a job for a queue that exists gets the response %d: %.100s",
                              status, body);
    }
    cluster_trace(cluster, job->id, "job %llx: submission %lld got response %d", (unsigned long long)job->id,
                  (long long)job->tries, status);
    if (job->tries < SUBMIT_TRIES_MAX)
        cluster_schedule(cluster, 100 + cluster_pick(cluster, 300) * job->tries, submit, job, 0);
    else if (job->refusals == job->tries)
        cluster->n_refused++;
}

static void submit(struct cluster *cluster, void *arg, int64_t n)
{
    struct tracked_job *job = arg;
    (void)n;
    if (job->sent_us < 0)
        job->sent_us = cluster->now_us;
    job->tries++;
    job->in_flight++;
    send_request(cluster, job, "POST", job->body, SUBMIT_WAIT_MS, on_submit_response);
}

static void retry_cancel(struct cluster *cluster, void *arg, int64_t n)
{
    (void)n;
    callers_cancel(cluster, arg);
}

static void on_cancel_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    struct tracked_job *job = arg;
    cluster_oracle_check_response(cluster, job->id, status, body, NULL);
    if (status == 200 || (status == 410 && job->accepted_us < 0))
        cluster_oracle_on_cancel_acknowledged(cluster, job);
    else if (status == 410 && job->accepted_us >= 0 && job->seen_state_us < 0)
        cluster_oracle_on_job_not_found(cluster, job, cluster->hosts[tag]);
    else if (status != 410 && job->cancel_tries < 40)
        cluster_schedule(cluster, 300, retry_cancel, job, 0);
}

void callers_cancel(struct cluster *cluster, struct tracked_job *job)
{
    if (!job->cancel_us) {
        job->cancel_us = cluster->now_us;
        cluster_trace(cluster, job->id, "job %llx: cancellation requested", (unsigned long long)job->id);
    }
    job->cancel_tries++;
    send_request(cluster, job, "DELETE", "", 1000, on_cancel_response);
}

static void on_given_up(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    struct tracked_job *job = arg;
    (void)tag, (void)body;
    if (status == 200)
        on_accepted(cluster, job);
    if (status != 429 && status != 503)
        callers_cancel(cluster, job);
}

void callers_submit_and_give_up(struct cluster *cluster, struct tracked_job *job, struct host *to, int64_t wait_ms)
{
    job->sent_us = cluster->now_us;
    job->tries++;
    send_request_to(cluster, to, job, "POST", job->body, wait_ms, on_given_up);
}

static void cancel_later(struct cluster *cluster, void *arg, int64_t n)
{
    struct tracked_job *job = arg;
    (void)n;
    if (job->accepted_us >= 0 && !is_finished(job))
        callers_cancel(cluster, job);
}

void callers_submit(struct cluster *cluster, struct tracked_job *job)
{
    submit(cluster, job, 0);
    if (cluster_pick(cluster, 12) == 0)
        cluster_schedule(cluster, 200 + cluster_pick(cluster, 3000), cancel_later, job, 0);
    if (job->long_running)
        cluster_schedule(cluster, 6000 + cluster_pick(cluster, 6000), cancel_later, job, 0);
}

/* --- load ---------------------------------------------------------------------- */

static void next_job(struct cluster *cluster, void *arg, int64_t n)
{
    (void)arg, (void)n;
    if (cluster->now_us >= cluster->load_until_us)
        return;
    callers_submit(cluster, callers_new_job(cluster, (enum job_shape)cluster_pick(cluster, SHAPE_COUNT)));
    cluster_schedule(cluster, (cluster->load_every_us / 2 + cluster_pick(cluster, cluster->load_every_us)) / 1000,
                     next_job, NULL, 0);
}

void callers_load(struct cluster *cluster, int64_t per_s, int64_t for_ms)
{
    cluster->load_until_us = cluster->now_us + for_ms * 1000;
    cluster->load_every_us = 1000000 / per_s;
    cluster_schedule(cluster, 1, next_job, NULL, 0);
}

void callers_burst(struct cluster *cluster, int64_t jobs, enum job_shape shape)
{
    cluster_trace(cluster, 0, "a burst of %lld jobs", (long long)jobs);
    for (int64_t i = 0; i < jobs; i++)
        callers_submit(cluster, callers_new_job(cluster, shape));
}

/* --- end of a run ------------------------------------------------------------------ */

int64_t callers_unfinished(const struct cluster *cluster)
{
    int64_t n = 0;
    for (int64_t i = 0; i < cluster->n_jobs; i++)
        n += cluster->jobs[i]->in_flight > 0 || (cluster->jobs[i]->accepted_us >= 0 && !is_finished(cluster->jobs[i]));
    return n;
}

/* Cancels the jobs that never finish by themselves. */
static void cancel_unfinishing(struct cluster *cluster)
{
    for (int64_t i = 0; i < cluster->n_jobs; i++) {
        struct tracked_job *job = cluster->jobs[i];
        if ((job->long_running || job->unplaceable) && job->accepted_us >= 0 && !is_finished(job) && !job->cancel_us)
            callers_cancel(cluster, job);
    }
}

void cluster_finish(struct cluster *cluster)
{
    cluster_trace(cluster, 0, "all faults end");
    cluster->load_until_us = cluster->now_us;
    cluster->loss_pct = cluster->slow_link_ms = 0;
    cluster_heal(cluster);
    for (int64_t i = 0; i < cluster->n; i++) {
        struct host *host = cluster->hosts[i];
        if (host->skew_ms)
            host_skew(host, -host->skew_ms);
        if (!host->up)
            host_boot(host, 0);
        if (!host->standin)
            continue;
        struct standin *standin = host->standin;
        standin->hang_until_us = standin->fail_until_us = standin->sick_until_us = standin->late_until_us = 0;
        standin->slow_pct = 100;
        standin->removed = 0;
        if (!standin->up)
            standin_boot(standin);
    }
    int64_t last_start_ms = cluster_wall_ms(cluster);
    for (int64_t i = 0; i < cluster->n_jobs; i++) {
        const struct job_spec *spec = cluster->jobs[i]->spec;
        int64_t start_ms = spec->start_ms + (spec->repeats - 1) * spec->interval_ms;
        if (spec->repeats && start_ms > last_start_ms)
            last_start_ms = start_ms;
    }
    int64_t limit_ms = last_start_ms + FINISH_MS;
    while (callers_unfinished(cluster) && cluster_wall_ms(cluster) < limit_ms) {
        cancel_unfinishing(cluster);
        cluster_oracle_check_progress(cluster);
        cluster_run(cluster, 200);
    }
    for (int64_t i = 0; i < cluster->n_jobs; i++) {
        const struct tracked_job *job = cluster->jobs[i];
        if (job->accepted_us >= 0 && !is_finished(job))
            cluster_violation(cluster, job->id,
                              "LIVENESS: job %llx (%s%s) is in state %lld %d ms after all faults ended",
                              (unsigned long long)job->id, job->prefix, job->long_running ? ", long-running" : "",
                              (long long)job->seen_state, FINISH_MS);
    }
    for (int64_t i = 0; i < cluster->n_jobs; i++) /* a final state must not change any more */
        if (is_finished(cluster->jobs[i]) && cluster->now_us - cluster->jobs[i]->seen_state_us < 90000000)
            send_request(cluster, cluster->jobs[i], "GET", "", 2000, on_state_response);
    cluster_run(cluster, 2500);
    operator_check_final(cluster);
    cluster_oracle_check_end(cluster);
}
