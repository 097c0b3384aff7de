/* Load generator: see caller.h. */
#include "caller/caller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { REQUEST_TIMEOUT_MS = 5000, POLL_MS = 250, RETRY_MS = 500, DRAIN_MS = 60000 };

void caller_start(struct caller *caller, struct world *world, const struct caller_setup *setup)
{
    *caller = (struct caller){
        .world = world, .deployment = setup->deployment, .name = setup->name, .per_minute = setup->per_minute};
    for (int64_t i = 0; i < setup->n_seeds && i < COUNT_OF(caller->seeds); i++)
        caller->seeds[caller->n_seeds++] = setup->seeds[i];
    caller->started_ms = world_ms(world);
    caller->until_ms = caller->started_ms + setup->seconds * 1000;
    caller->cap = setup->per_minute * setup->seconds / 60 + 2;
    caller->jobs = must_alloc(sizeof *caller->jobs * (size_t)caller->cap);
}

void caller_end(struct caller *caller)
{
    for (int64_t i = 0; i < caller->n_jobs; i++)
        free(caller->jobs[i].body);
    free(caller->jobs);
}

static uint64_t next_node(struct caller *caller)
{
    return (uint64_t)caller->seeds[caller->next_seed++ % caller->n_seeds];
}

static void read_response(struct caller_job *job, const char *body, int64_t len)
{
    json_t *json = json_loadb(body, (size_t)len, 0, NULL);
    const char *id = json_string_value(json_object_get(json, "id"));
    const char *state = json_string_value(json_object_get(json, "state"));
    if (id)
        snprintf(job->id, sizeof job->id, "%s", id);
    if (state)
        snprintf(job->state, sizeof job->state, "%s", state);
    json_decref(json);
}

static void finish(struct caller *caller, struct caller_job *job, int64_t now_ms)
{
    job->ended_ms = now_ms;
    caller->live--;
}

static void on_response(void *arg, int64_t tag, int status, const char *body, int64_t len)
{
    struct caller *caller = arg;
    struct caller_job *job = &caller->jobs[tag];
    int64_t now_ms = world_ms(caller->world);
    job->request_pending = 0;
    caller->statuses[status / 100 < 6 ? status / 100 : 6]++;
    job->next_request_ms = now_ms + (status == 200 || status == 201 ? POLL_MS : RETRY_MS);
    if (status == 200 || status == 201) {
        read_response(job, body, len);
        if (!job->accepted_ms)
            job->accepted_ms = now_ms;
        if (!strcmp(job->state, "done") || !strcmp(job->state, "failed") || !strcmp(job->state, "cancelled"))
            finish(caller, job, now_ms);
    } else if (status >= 400 && status < 500 && status != 429 && !job->accepted_ms) {
        caller->rejected++;
        snprintf(job->state, sizeof job->state, "denied");
        finish(caller, job, now_ms);
    }
}

static void send_request(struct caller *caller, int64_t i)
{
    struct caller_job *job = &caller->jobs[i];
    char path[100];
    struct http_call call = {
        .to = next_node(caller), .wait_ms = REQUEST_TIMEOUT_MS, .done = on_response, .arg = caller, .tag = i};
    job->request_pending = 1;
    if (job->accepted_ms) {
        snprintf(path, sizeof path, "/v1/jobs/%s", job->id);
        call.method = "GET";
        call.path = path;
    } else {
        caller->sent++;
        caller->resent += job->next_request_ms != 0;
        call.method = "POST";
        call.path = "/v1/jobs";
        call.body = job->body;
    }
    caller->world->calls->call(caller->world, &call);
}

void caller_on_timer(struct caller *caller)
{
    int64_t now_ms = world_ms(caller->world);
    int64_t expected_jobs =
        (now_ms < caller->until_ms ? now_ms - caller->started_ms : caller->until_ms - caller->started_ms) *
        caller->per_minute / 60000;
    while (caller->n_jobs < expected_jobs && caller->n_jobs < caller->cap) {
        struct caller_job *job = &caller->jobs[caller->n_jobs];
        job->no = caller->n_jobs;
        job->created_ms = now_ms;
        snprintf(job->key, sizeof job->key, "%s-%lld", caller->name, (long long)caller->n_jobs);
        job->body = mix_job(caller->world, caller->deployment, job->key, &job->mix_kind);
        caller->live++;
        send_request(caller, caller->n_jobs++);
    }
    for (int64_t i = 0; i < caller->n_jobs; i++)
        if (!caller->jobs[i].ended_ms && !caller->jobs[i].request_pending && now_ms >= caller->jobs[i].next_request_ms)
            send_request(caller, i);
}

int caller_done(const struct caller *caller)
{
    int64_t now_ms = world_ms(caller->world);
    return now_ms >= caller->until_ms && (!caller->live || now_ms >= caller->until_ms + DRAIN_MS);
}

static int compare_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
    return x < y ? -1 : x > y;
}

static json_t *percentiles(const struct caller *caller, int accepted)
{
    int64_t *values = must_alloc(sizeof *values * (size_t)(caller->n_jobs + 1)), n = 0;
    for (int64_t i = 0; i < caller->n_jobs; i++) {
        int64_t at_ms = accepted ? caller->jobs[i].accepted_ms : caller->jobs[i].ended_ms;
        if (at_ms && strcmp(caller->jobs[i].state, "denied"))
            values[n++] = at_ms - caller->jobs[i].created_ms;
    }
    qsort(values, (size_t)n, sizeof *values, compare_value);
    json_t *out = json_pack("{s:I}", "n", (json_int_t)n);
    static const struct {
        const char *name;
        int64_t per_mille;
    } percentile_points[] = {{"p50", 500}, {"p90", 900}, {"p99", 990}, {"max", 1000}};
    for (int i = 0; i < COUNT_OF(percentile_points) && n; i++) {
        int64_t at = n * percentile_points[i].per_mille / 1000;
        json_object_set_new(out, percentile_points[i].name, json_integer(values[at < n ? at : n - 1]));
    }
    free(values);
    return out;
}

char *caller_report(struct caller *caller)
{
    json_t *states = json_object();
    for (int64_t i = 0; i < caller->n_jobs; i++) {
        const char *state = caller->jobs[i].ended_ms      ? caller->jobs[i].state
                            : caller->jobs[i].accepted_ms ? "unfinished"
                                                          : "unaccepted";
        json_object_set_new(states, state, json_integer(json_integer_value(json_object_get(states, state)) + 1));
    }
    json_t *out = json_pack("{s:I,s:I,s:I,s:I,s:o,s:o,s:o,s:I,s:I,s:I}", "jobs", (json_int_t)caller->n_jobs, "sends",
                            (json_int_t)caller->sent, "resends", (json_int_t)caller->resent, "denied",
                            (json_int_t)caller->rejected, "states", states, "acceptMs", percentiles(caller, 1), "endMs",
                            percentiles(caller, 0), "silent", (json_int_t)caller->statuses[0], "ok",
                            (json_int_t)caller->statuses[2], "unavailable", (json_int_t)caller->statuses[5]);
    char *text = json_dumps(out, JSON_INDENT(1));
    json_decref(out);
    return text;
}
