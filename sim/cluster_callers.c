/* Callers of a simulated cluster: they submit jobs, retry submissions without a definite response, cancel
 * jobs and poll their states. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

enum { SUBMIT_TRIES_MAX = 5, SUBMIT_WAIT_MS = 3000, STATE_TIMEOUT_MS = 1000, FINAL_STATE_TIMEOUT_MS = 2000 };

/* --- submission --------------------------------------------------------------- */

static struct host *pick_controller(struct cluster *cluster)
{
    struct host *host = cluster_any_controller(cluster);
    for (int k = 0; k < 3 && host && !host->up;
         k++) /* the platform's load balancer avoids most controllers that are down */
        host = cluster_any_controller(cluster);
    return host;
}

/* A request about a job. to: the controller that it is sent to, NULL: any. */
struct job_request {
    struct host *to;
    const char *method, *body;
    int64_t wait_ms;
    cluster_on_response *on_response;
};

static void send_request(struct cluster *cluster, struct tracked_job *job, const struct job_request *request)
{
    struct host *to = request->to ? request->to : pick_controller(cluster);
    char *path = must_printf("%s%016llx", job->prefix, (unsigned long long)job->id);
    char *header = must_printf("Host: %s\nWait-Ms: %lld\n", job->host_name, (long long)request->wait_ms);
    cluster_request(cluster, &(struct cluster_http_request){.to = to,
                                                            .entry = ENTRY_CALLERS,
                                                            .method = request->method,
                                                            .path = path,
                                                            .header = header,
                                                            .body = request->body,
                                                            .wait_ms = request->wait_ms,
                                                            .on_response = request->on_response,
                                                            .arg = job,
                                                            .tag = to->index});
    free(path);
    free(header);
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

static void request_state(struct cluster *cluster, struct tracked_job *job, int64_t wait_ms)
{
    send_request(
        cluster, job,
        &(struct job_request){.method = "GET", .body = "", .wait_ms = wait_ms, .on_response = on_state_response});
}

static void poll_state(struct cluster *cluster, void *arg, int64_t n)
{
    (void)n;
    request_state(cluster, arg, STATE_TIMEOUT_MS);
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
    send_request(
        cluster, job,
        &(struct job_request){
            .method = "POST", .body = job->body, .wait_ms = SUBMIT_WAIT_MS, .on_response = on_submit_response});
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
    send_request(
        cluster, job,
        &(struct job_request){.method = "DELETE", .body = "", .wait_ms = 1000, .on_response = on_cancel_response});
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
    send_request(cluster, job,
                 &(struct job_request){
                     .to = to, .method = "POST", .body = job->body, .wait_ms = wait_ms, .on_response = on_given_up});
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
            request_state(cluster, cluster->jobs[i], FINAL_STATE_TIMEOUT_MS);
    cluster_run(cluster, 2500);
    operator_check_final(cluster);
    cluster_oracle_check_end(cluster);
}
