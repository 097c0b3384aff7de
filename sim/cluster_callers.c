/* Callers: they hand in jobs of all schemas, send again what was not answered,
 * cancel, and ask for states. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

enum { TRIES_MAX = 5, WAIT_MS = 3000 };

/* --- the board ---------------------------------------------------------------- */

struct board_job *board_job(const struct cluster *c, int64_t id)
{
    for (int64_t i = c->n_jobs - 1; i >= 0; i--)
        if (c->jobs[i]->id == id)
            return c->jobs[i];
    return NULL;
}

struct board_row *board_row(const struct board_job *job, int64_t task)
{
    int64_t time = task_repetition(task), step = task_step(task), index = task_index(task);
    if (time < 0 || time >= job->times || step >= job->spec->n_steps || index >= job->spec->steps[step].task_count)
        return NULL;
    return &job->rows[time * job->tasks + job->first[step] + index];
}

struct board_gang *board_gang(struct board_job *job, int64_t time, int64_t step, int64_t attempt)
{
    if (!job->spec->steps[step].gang)
        return NULL;
    for (int64_t i = 0; i < job->n_gangs; i++)
        if (job->gangs[i].time == time && job->gangs[i].step == step && job->gangs[i].attempt == attempt)
            return &job->gangs[i];
    struct board_gang *gang = array_add(job->gangs, job->n_gangs);
    *gang = (struct board_gang){.time = time, .step = step, .attempt = attempt};
    return gang;
}

void board_free(struct board_job *job)
{
    for (int64_t i = 0; i < job->tasks * job->times; i++) {
        free(job->rows[i].starts);
        free(job->rows[i].ends);
    }
    for (int64_t i = 0; i < job->n_gangs; i++)
        free(job->gangs[i].checkpoint);
    free(job->gangs);
    free(job->rows);
    free(job->first);
    free(job->body);
    schema_free(&submission_without_outlet_schema, job->spec);
    free(job->spec);
    free(job);
}

/* --- schemas ------------------------------------------------------------------- */

static struct step_spec *add_step(struct cluster *c, struct job_spec *spec, int64_t width, int64_t ms)
{
    struct step_spec *step = array_add(spec->steps, spec->n_steps);
    step->task_count = width;
    step->cpu_milli = 500 + cluster_pick(c, 8) * 500;
    step->memory_mb = 256 + cluster_pick(c, 8) * 512;
    step->estimate_ms = ms / 2 + cluster_pick(c, ms);
    return step;
}

static void depends(struct step_spec *step, int64_t on) { *array_add(step->depends_on, step->n_depends_on) = on; }

static void schema_steps(struct cluster *c, struct job_spec *spec)
{
    add_step(c, spec, 1 + cluster_pick(c, 4), 400);
    add_step(c, spec, 1 + cluster_pick(c, 6), 800);
    depends(add_step(c, spec, 1 + cluster_pick(c, 3), 500), 0);
    struct step_spec *last = add_step(c, spec, 1, 300);
    depends(last, 1);
    depends(last, 2);
}

static void schema_lone(struct cluster *c, struct board_job *job, enum job_schema schema)
{
    struct job_spec *spec = job->spec;
    struct step_spec *step = add_step(c, spec, 1 + cluster_pick(c, 5), 600);
    if (schema == SCHEMA_LABEL)
        step->label = must_dup("large");
    else if (schema == SCHEMA_NEAR)
        step->rack = must_printf("z%lld-0", (long long)cluster_pick(c, 3));
    else if (schema == SCHEMA_APART)
        step->per_executor = 1 + cluster_pick(c, 2);
    else if (schema == SCHEMA_SAVES) {
        step->checkpoints = 1;
        step->estimate_ms = 5000;
    } else if (schema == SCHEMA_LARGE) {
        step->cpu_milli = 9000;
        step->estimate_ms = 2500;
    } else if (schema == SCHEMA_LASTING) {
        step->task_count = 1 + cluster_pick(c, 2);
        step->long_running = job->long_running = 1;
        step->estimate_ms = 300;
    } else if (schema == SCHEMA_TIMED) {
        spec->repeats = 2 + cluster_pick(c, 3);
        spec->start_ms = cluster_wall_ms(c) + 500 + cluster_pick(c, 2000);
        spec->interval_ms = 700 + cluster_pick(c, 1500);
    } else if (schema == SCHEMA_TWICE)
        step->duplicates = 1;
    else if (schema == SCHEMA_HOPELESS) {
        step->label = must_dup("none-such");
        job->hopeless = 1;
    } else if (schema == SCHEMA_POISON)
        job->poison = task_of(0, 0, cluster_pick(c, step->task_count));
}

struct board_job *callers_job(struct cluster *c, enum job_schema schema)
{
    static const char *const prefixes[] = {"/fast/", "/mid/", "/slow/"};
    struct board_job *job = must_alloc(sizeof *job);
    struct job_spec *spec = job->spec = must_alloc(sizeof *spec);
    *array_add(c->jobs, c->n_jobs) = job;
    job->id = spec->id = (int64_t)cluster_random(c);
    job->serial = c->n_jobs;
    job->poison = job->accepted_us = job->sent_us = job->cancel_ack_us = job->shown_us = -1;
    job->host_name = "jobs.example";
    job->prefix = schema == SCHEMA_RAW ? "/raw/" : schema == SCHEMA_LARGE ? "/slow/" : prefixes[cluster_pick(c, 3)];
    job->service = schema == SCHEMA_RAW ? "raw" : "guarded";
    job->fail_pct = schema == SCHEMA_LASTING ? 20 : cluster_pick(c, 3) == 0 ? 4 : 0;
    spec->text = must_printf("text of %llx", (unsigned long long)job->id);
    if (schema == SCHEMA_STEPS)
        schema_steps(c, spec);
    else if (schema == SCHEMA_GANG) {
        struct step_spec *step = add_step(c, spec, 2 + cluster_pick(c, 3), 1500);
        step->gang = 1;
        step->same_rack = cluster_pick(c, 2);
        step->checkpoints = cluster_pick(c, 2);
    } else
        schema_lone(c, job, schema);
    job->times = spec->repeats > 0 ? spec->repeats : 1;
    for (int64_t i = 0; i < spec->n_steps;) {
        *array_add(job->first, i) = job->tasks;
        job->tasks += spec->steps[i - 1].task_count;
    }
    job->rows = must_alloc(sizeof *job->rows * (size_t)(job->tasks * job->times));
    job->body = schema_to_text(&submission_without_outlet_schema, spec);
    cluster_tell(c, job->id, "shape %d to %s: %s", (int)schema, job->prefix, job->body);
    return job;
}

/* --- handing in --------------------------------------------------------------- */

static struct host *api(struct cluster *c)
{
    struct host *h = cluster_any_controller(c);
    for (int k = 0; k < 3 && h && !h->up; k++) /* the platform leaves out most that are down */
        h = cluster_any_controller(c);
    return h;
}

static void request(struct cluster *c, struct board_job *job, const char *method, const char *body, int64_t wait_ms,
                    cluster_answer *answer)
{
    struct host *to = api(c);
    char *path = must_printf("%s%016llx", job->prefix, (unsigned long long)job->id);
    char *header = must_printf("Host: %s\nWait-Ms: %lld\n", job->host_name, (long long)wait_ms);
    cluster_request(c, &(struct cluster_http_request){.to = to,
                                                      .entry = ENTRY_CALLERS,
                                                      .method = method,
                                                      .path = path,
                                                      .header = header,
                                                      .body = body,
                                                      .wait_ms = wait_ms,
                                                      .answer = answer,
                                                      .arg = job,
                                                      .tag = to->index});
    free(path);
    free(header);
}

static void poll(struct cluster *c, void *arg, int64_t n);

static int over(const struct board_job *job) { return job->shown == 3 || job->shown == 4 || job->shown == 5; }

/* Takes an answer about a job's state. */
static void shown(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    struct board_job *job = arg;
    json_t *answer = json_loads(body, 0, NULL);
    const char *state = json_string_value(json_object_get(answer, "state"));
    judge_answer(c, job->id, status, body, "state");
    if (status == 200 && state)
        judge_shown(c, job, state, c->hosts[tag]);
    else if (status == 410)
        judge_gone(c, job, c->hosts[tag]);
    json_decref(answer);
    if (!over(job))
        cluster_at(c, 300 + cluster_pick(c, 700), poll, job, 0);
}

static void poll(struct cluster *c, void *arg, int64_t n)
{
    (void)n;
    request(c, arg, "GET", "", 1000, shown);
}

static void send_try(struct cluster *c, void *arg, int64_t n);

static void tried(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    struct board_job *job = arg;
    (void)tag;
    judge_answer(c, job->id, status, body, NULL);
    job->open--;
    if (status == 200) {
        if (job->accepted_us < 0) {
            job->accepted_us = c->now_us;
            c->n_accepted++;
            cluster_tell(c, job->id, "job %llx accepted", (unsigned long long)job->id);
            cluster_at(c, 200, poll, job, 0);
        }
        return;
    }
    if (status == 429 || status == 503 || status == 404 || status == 400) {
        job->refusals++;
        if (status == 404 || status == 400)
            judge_say(c, job->id, "CONFIG: a job for a queue that is there is answered %d: %.100s", status, body);
    }
    cluster_tell(c, job->id, "job %llx: try %lld answered %d", (unsigned long long)job->id, (long long)job->tries,
                 status);
    if (job->tries < TRIES_MAX)
        cluster_at(c, 100 + cluster_pick(c, 300) * job->tries, send_try, job, 0);
    else if (job->refusals == job->tries)
        c->n_refused++;
}

static void send_try(struct cluster *c, void *arg, int64_t n)
{
    struct board_job *job = arg;
    (void)n;
    if (job->sent_us < 0)
        job->sent_us = c->now_us;
    job->tries++;
    job->open++;
    request(c, job, "POST", job->body, WAIT_MS, tried);
}

static void cancel_again(struct cluster *c, void *arg, int64_t n)
{
    (void)n;
    callers_cancel(c, arg);
}

static void cancelled(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    struct board_job *job = arg;
    judge_answer(c, job->id, status, body, NULL);
    if (status == 200)
        judge_cancelled(c, job);
    else if (status == 410 && job->accepted_us >= 0 && job->shown_us < 0)
        judge_gone(c, job, c->hosts[tag]);
    else if (status != 410 && job->cancel_tries < 40)
        cluster_at(c, 300, cancel_again, job, 0);
}

void callers_cancel(struct cluster *c, struct board_job *job)
{
    if (!job->cancel_us) {
        job->cancel_us = c->now_us;
        cluster_tell(c, job->id, "job %llx: cancelling", (unsigned long long)job->id);
    }
    job->cancel_tries++;
    request(c, job, "DELETE", "", 1000, cancelled);
}

static void cancel_later(struct cluster *c, void *arg, int64_t n)
{
    struct board_job *job = arg;
    (void)n;
    if (job->accepted_us >= 0 && !over(job))
        callers_cancel(c, job);
}

void callers_send(struct cluster *c, struct board_job *job)
{
    send_try(c, job, 0);
    if (cluster_pick(c, 12) == 0)
        cluster_at(c, 200 + cluster_pick(c, 3000), cancel_later, job, 0);
    if (job->long_running)
        cluster_at(c, 6000 + cluster_pick(c, 6000), cancel_later, job, 0);
}

/* --- the load ------------------------------------------------------------------ */

static void next_job(struct cluster *c, void *arg, int64_t n)
{
    (void)arg, (void)n;
    if (c->now_us >= c->load_until_us)
        return;
    callers_send(c, callers_job(c, (enum job_schema)cluster_pick(c, SCHEMA_COUNT)));
    cluster_at(c, (c->load_every_us / 2 + cluster_pick(c, c->load_every_us)) / 1000, next_job, NULL, 0);
}

void callers_load(struct cluster *c, int64_t per_s, int64_t for_ms)
{
    c->load_until_us = c->now_us + for_ms * 1000;
    c->load_every_us = 1000000 / per_s;
    cluster_at(c, 1, next_job, NULL, 0);
}

void callers_burst(struct cluster *c, int64_t jobs, enum job_schema schema)
{
    cluster_tell(c, 0, "a burst of %lld jobs", (long long)jobs);
    for (int64_t i = 0; i < jobs; i++)
        callers_send(c, callers_job(c, schema));
}

/* --- the end of a run -------------------------------------------------------------- */

int64_t callers_unfinished(const struct cluster *c)
{
    int64_t n = 0;
    for (int64_t i = 0; i < c->n_jobs; i++)
        n += c->jobs[i]->open > 0 || (c->jobs[i]->accepted_us >= 0 && !over(c->jobs[i]));
    return n;
}

/* What nothing else would end. */
static void cancel_endless(struct cluster *c)
{
    for (int64_t i = 0; i < c->n_jobs; i++) {
        struct board_job *job = c->jobs[i];
        if ((job->long_running || job->hopeless) && job->accepted_us >= 0 && !over(job) && !job->cancel_us)
            callers_cancel(c, job);
    }
}

void cluster_close(struct cluster *c)
{
    cluster_tell(c, 0, "all faults end");
    c->load_until_us = c->now_us;
    c->loss_pct = c->slow_link_ms = 0;
    cluster_heal(c);
    for (int64_t i = 0; i < c->n; i++) {
        struct host *h = c->hosts[i];
        if (h->skew_ms)
            host_skew(h, -h->skew_ms);
        if (!h->up)
            host_boot(h, 0);
        if (!h->standin)
            continue;
        struct standin *s = h->standin;
        s->hang_us = s->fail_us = s->sick_us = s->late_us = 0;
        s->slow_pct = 100;
        s->gone = 0;
        if (!s->up)
            standin_boot(s);
    }
    int64_t last_due_ms = cluster_wall_ms(c);
    for (int64_t i = 0; i < c->n_jobs; i++) {
        const struct job_spec *spec = c->jobs[i]->spec;
        int64_t due_ms = spec->start_ms + (spec->repeats - 1) * spec->interval_ms;
        if (spec->repeats && due_ms > last_due_ms)
            last_due_ms = due_ms;
    }
    int64_t limit_ms = last_due_ms + CLOSE_MS;
    while (callers_unfinished(c) && cluster_wall_ms(c) < limit_ms) {
        cancel_endless(c);
        judge_still(c);
        cluster_run(c, 200);
    }
    for (int64_t i = 0; i < c->n_jobs; i++) {
        const struct board_job *job = c->jobs[i];
        if (job->accepted_us >= 0 && !over(job))
            judge_say(c, job->id, "LIVENESS: job %llx (%s%s) is in state %lld %d ms after all faults ended",
                      (unsigned long long)job->id, job->prefix, job->long_running ? ", lasting" : "",
                      (long long)job->shown, CLOSE_MS);
    }
    for (int64_t i = 0; i < c->n_jobs; i++) /* what was shown is still shown */
        if (over(c->jobs[i]) && c->now_us - c->jobs[i]->shown_us < 90000000)
            request(c, c->jobs[i], "GET", "", 2000, shown);
    cluster_run(c, 2500);
    operator_last(c);
    judge_over(c);
}
