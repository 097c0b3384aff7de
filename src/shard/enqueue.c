/* Requests of callers for jobs. A new job is validated, buffered, and answered once it is committed to the jobs log.
 * Scheduled runs of the calendar are enqueued in the same way, each occurrence as a job. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { CATCH_UP_MAX_MS = 3600000, LIST_PAGE_MAX = 100 };

static void answer_job(struct node *node, int64_t request, const struct job *job, int status)
{
    api_json(node, request, status, job_view(job, 0));
}

static int64_t body_hash(const struct job_spec *spec)
{
    struct bytes packed = {0};
    schema_pack(&job_spec_schema, spec, &packed);
    int64_t hash = (int64_t)(hash_of(packed.at, packed.len) >> 1);
    bytes_free(&packed);
    return hash;
}

/* Passes a submission on to the owner of another shard. */
static void forward_job(struct node *node, int64_t request, int64_t shard, const char *body)
{
    const struct api_call call = {.shard = shard, .method = "POST", .path = "/v1/jobs", .body = body};
    api_forward(node, request, shard_owner(node, shard), &call);
}

/* Answers a submission whose key exists: with its job, with an error if that has another body, or from the shard that
 * the key is redirected to. */
static void answer_existing(struct node *node, struct shard *shard, int64_t request, int64_t existing, int64_t hash,
                            const char *body)
{
    if (existing < 0) {
        int64_t to = -1 - existing, owner = shard_owner(node, to);
        if (owner == (int64_t)node->w->self) {
            struct request *pending = slab_at(&node->requests, request);
            if (pending)
                pending->shard = to;
            enqueue_job(node, request, body, (int64_t)strlen(body));
        } else {
            forward_job(node, request, to, body);
        }
        return;
    }
    const struct job *job = rows_find_job(&shard->rows, existing);
    if (job->body_hash != hash)
        api_error(node, request, ERROR_KEY_TAKEN, "this key names a job with another body");
    else
        answer_job(node, request, job, 200);
}

static int reject_job(struct node *node, struct shard *shard, int64_t request, const struct job_spec *spec,
                      int64_t queue)
{
    const struct settings *settings = node_settings(node, queue);
    int64_t bad_no = 0;
    for (int64_t i = 0; i < spec_task_count(spec); i++) {
        const struct task_spec *task = spec_task(spec, i, NULL);
        if (task->payload && (int64_t)strlen(task->payload) > settings->payload_max)
            return api_error(node, request, ERROR_TOO_LARGE, "task %lld: payload over this queue's %lld bytes",
                             (long long)i, (long long)settings->payload_max),
                   1;
    }
    if (!assign_could_fit(node, spec, &bad_no))
        return api_error(node, request, ERROR_NEVER_FITS,
                         "task %lld: no executor of its kind, service and rack could "
                         "ever hold it, or its gang could never run at once",
                         (long long)bad_no),
               1;
    if (shard->rows.n_live + shard->n_buffer >= settings->queued_max)
        return api_error(node, request, ERROR_OVERLOAD, "the queue is full"), 1;
    if (shard->n_buffer >= node->root_settings.buffer_max)
        return api_error(node, request, ERROR_OVERLOAD, "the shard's buffer is full"), 1;
    if (shard->breaker.open_until_ms > world_ms(node->w))
        return api_error(node, request, ERROR_OVERLOAD, "the shard's breaker is open"), 1;
    return 0;
}

/* The next shard that another live node owns, for jobs that this shard is too loaded for; -1: none. */
static int64_t overflow_shard(struct node *node, int64_t shard)
{
    for (int64_t i = 1; i < SHARD_COUNT; i++) {
        int64_t to = (shard + i) % SHARD_COUNT, owner = shard_owner(node, to);
        if (owner && owner != (int64_t)node->w->self && peers_live(&node->peers, owner, 0))
            return to;
    }
    return -1;
}

static void buffer_job(struct node *node, struct shard *shard, int64_t request, const struct job_spec *spec,
                       int64_t hash)
{
    int64_t next = shard->rows.next_job;
    for (int64_t i = 0; i < shard->n_buffer; i++)
        if (shard->buffer[i].op.kind == OP_JOB)
            next++;
    struct op *op = worker_buffer(node, shard, OP_JOB, (shard->no << SHARD_BITS) | next, request, 0);
    op->body_hash = hash;
    op->spec = must_alloc(sizeof *op->spec);
    schema_copy(&job_spec_schema, op->spec, spec);
}

static void accept_job(struct node *node, struct shard *shard, int64_t request, const struct job_spec *spec,
                       const char *body)
{
    int64_t hash = body_hash(spec), existing = rows_find_key(&shard->rows, spec->key);
    int64_t queue = node_queue(node, spec->service, spec->queue);
    struct request *pending = slab_at(&node->requests, request);
    int redirected = key_shard(spec->key) != shard->no;
    if (existing) {
        answer_existing(node, shard, request, existing, hash, body);
    } else if (!reject_job(node, shard, request, spec, queue)) {
        int64_t to = shard->rows.n_live > node->root_settings.forward_above && !redirected && pending
                         ? overflow_shard(node, shard->no)
                         : -1;
        if (to < 0) {
            buffer_job(node, shard, request, spec, hash);
            return;
        }
        struct op *op = worker_buffer(node, shard, OP_REDIRECT, 0, request, 0);
        op->key = must_dup(spec->key);
        op->to_shard = to;
        op->spec = must_alloc(sizeof *op->spec); /* to pass the job on after the commit; not used by rows */
        schema_copy(&job_spec_schema, op->spec, spec);
    }
}

void enqueue_job(struct node *node, int64_t request, const char *body, int64_t len)
{
    struct job_spec spec = {0};
    struct validation_error validation_error = {0};
    struct request *pending = slab_at(&node->requests, request);
    int rc = schema_from_text(&job_spec_schema, &spec, body, len, &validation_error);
    if (!rc)
        rc = spec_check(&spec, &validation_error);
    if (rc) {
        api_validation_error(node, request, &validation_error);
        schema_free(&job_spec_schema, &spec);
        return;
    }
    int64_t no = pending && pending->shard >= 0 && pending->shard < SHARD_COUNT ? pending->shard : key_shard(spec.key);
    int64_t owner = shard_owner(node, no);
    struct shard *shard = &node->shards[no];
    if (owner != (int64_t)node->w->self)
        forward_job(node, request, no, body);
    else if (shard->state != SHARD_OPEN)
        api_error(node, request, ERROR_NO_OWNER, "the shard is being opened");
    else
        accept_job(node, shard, request, &spec, body);
    schema_free(&job_spec_schema, &spec);
}

void enqueue_committed(struct node *node, struct shard *shard, const struct buffered_op *buffered_op, int apply_error)
{
    const struct op *op = &buffered_op->op;
    if (op->kind == OP_JOB) {
        struct job *job = apply_error ? NULL : rows_find_job(&shard->rows, op->job);
        if (job) {
            job->queue = node_queue(node, job->spec.service, job->spec.queue);
            ready_add_job(node, shard, job);
            node_journal_add(node, job->id, -1, 0, "accepted", job->spec.key);
            world_note(node->w, EV_JOB_TAKEN, "job=%lld key=%s", (long long)job->id, job->spec.key);
            if (buffered_op->request)
                answer_job(node, buffered_op->request, job, 201);
        } else if (buffered_op->request) {
            int64_t existing = rows_find_key(&shard->rows, op->spec->key);
            char *body = schema_to_text(&job_spec_schema, op->spec);
            if (existing)
                answer_existing(node, shard, buffered_op->request, existing, op->body_hash, body);
            else
                api_error(node, buffered_op->request, ERROR_OUTCOME_UNKNOWN, "retry with the same key");
            free(body);
        }
    } else if (op->kind == OP_REDIRECT && buffered_op->request) {
        char *body = schema_to_text(&job_spec_schema, op->spec);
        int64_t existing = rows_find_key(&shard->rows, op->key);
        answer_existing(node, shard, buffered_op->request, existing ? existing : -1 - op->to_shard, op->body_hash,
                        body);
        free(body);
    } else if (op->kind == OP_CANCEL) {
        struct job *job = rows_find_job(&shard->rows, op->job);
        node_journal_add(node, op->job, -1, 0, "cancelled", NULL);
        for (int64_t i = 0; job && i < job->n_rows; i++)
            if (job->rows[i].state == ROW_PLACED && job->state == JOB_CANCELLING)
                track_stop(node, shard, job, i);
        if (job && job_ended(job) && !apply_error)
            ready_schedule_check(shard, job->ended_ms + node_settings(node, job->queue)->keep_ms, job->id, 0);
        if (job && buffered_op->request)
            answer_job(node, buffered_op->request, job, 200);
        else if (buffered_op->request)
            api_error(node, buffered_op->request, ERROR_NOT_FOUND, "no such job");
    }
}

static struct shard *open_shard(struct node *node, int64_t request, int64_t no)
{
    if (node->shards[no].state == SHARD_OPEN)
        return &node->shards[no];
    api_error(node, request, ERROR_NO_OWNER, "the shard is being opened");
    return NULL;
}

void enqueue_cancel(struct node *node, int64_t request, int64_t id)
{
    struct shard *shard = open_shard(node, request, job_shard(id));
    struct job *job = shard ? rows_find_job(&shard->rows, id) : NULL;
    if (shard && !job)
        api_error(node, request, ERROR_NOT_FOUND, "no such job");
    else if (job && (job_ended(job) || job->state == JOB_CANCELLING))
        answer_job(node, request, job, 200);
    else if (job)
        worker_buffer(node, shard, OP_CANCEL, id, request, 0);
}

void enqueue_show(struct node *node, int64_t request, int64_t id, const char *path)
{
    struct shard *shard = open_shard(node, request, job_shard(id));
    struct job *job = shard ? rows_find_job(&shard->rows, id) : NULL;
    char *task = api_query_param(path, "why");
    if (shard && !job)
        api_error(node, request, ERROR_NOT_FOUND, "no such job");
    else if (job && task && (text_to_int64(task) < 0 || text_to_int64(task) >= job->n_rows))
        api_error(node, request, ERROR_NOT_FOUND, "no such task");
    else if (job)
        api_json(node, request, 200, task ? why_view(node, shard, job, text_to_int64(task)) : job_view(job, 1));
    free(task);
}

/* One page of a shard's jobs; "next" in the response is where the next page starts, absent after the last one. */
void enqueue_list(struct node *node, int64_t request, int64_t no, const char *path)
{
    struct shard *shard = open_shard(node, request, no);
    if (!shard)
        return;
    char *key = api_query_param(path, "key"), *from = api_query_param(path, "from");
    const char *dot = from ? strchr(from, '.') : NULL;
    json_t *list = json_array(), *out = json_pack("{s:o}", "jobs", list);
    int64_t id = dot ? (no << SHARD_BITS) | text_to_int64(dot + 1) : 0, n = 0;
    struct job *job = NULL;
    if (key) {
        int64_t existing = rows_find_key(&shard->rows, key);
        if (existing > 0)
            json_array_append_new(list, job_view(rows_find_job(&shard->rows, existing), 0));
    } else {
        char next[48];
        while (n < LIST_PAGE_MAX && (job = rows_next_job(&shard->rows, &id))) {
            json_array_append_new(list, job_view(job, 0));
            n++;
        }
        snprintf(next, sizeof next, job ? "%lld.%lld" : "%lld", (long long)(job ? no : no + 1),
                 (long long)(id & ((1LL << SHARD_BITS) - 1)));
        if (job || no + 1 < SHARD_COUNT)
            json_object_set_new(out, "next", json_string(next));
    }
    api_json(node, request, 200, out);
    free(key);
    free(from);
}

/* --- scheduled runs ----------------------------------------------------------------- */

static void enqueue_occurrence(struct node *node, const struct planned *run, int64_t at_ms)
{
    struct job_spec spec = {0};
    struct validation_error validation_error;
    char key[200];
    snprintf(key, sizeof key, "run:%.100s:%lld", run->id, (long long)at_ms);
    struct shard *shard = &node->shards[key_shard(key)];
    if (shard->state != SHARD_OPEN || rows_find_key(&shard->rows, key))
        return;
    for (int64_t i = 0; i < shard->n_buffer; i++)
        if (shard->buffer[i].op.kind == OP_JOB && !strcmp(shard->buffer[i].op.spec->key, key))
            return;
    json_t *json = json_loads(run->json, 0, NULL);
    json_object_set_new(json, "key", json_string(key));
    if (!schema_from_json(&job_spec_schema, &spec, json, 0, &validation_error) &&
        !spec_check(&spec, &validation_error)) {
        spec.start_at_ms = at_ms;
        buffer_job(node, shard, 0, &spec, body_hash(&spec));
        world_note(node->w, EV_PLANNED, "run=%s at=%lld", run->id, (long long)at_ms);
    }
    schema_free(&job_spec_schema, &spec);
    json_decref(json);
}

/* Enqueues the occurrences whose key belongs to a shard of this node. Those missed by more than CATCH_UP_MAX_MS are
 * skipped. */
void enqueue_runs(struct node *node)
{
    int64_t now_ms = node_fleet_ms(node);
    for (int64_t i = 0; i < node->config_tree.n_calendar; i++) {
        const struct planned *run = &node->config_tree.calendar[i];
        if (strcmp(run->kind, "run") || run->at_ms > now_ms)
            continue;
        int64_t first_ms = run->at_ms, until_ms = run->until_ms && run->until_ms < now_ms ? run->until_ms : now_ms;
        if (run->every_ms && first_ms < now_ms - CATCH_UP_MAX_MS)
            first_ms += (now_ms - CATCH_UP_MAX_MS - first_ms + run->every_ms - 1) / run->every_ms * run->every_ms;
        if (!run->every_ms && first_ms < now_ms - CATCH_UP_MAX_MS)
            continue;
        for (int64_t at_ms = first_ms; at_ms <= until_ms; at_ms += run->every_ms) {
            enqueue_occurrence(node, run, at_ms);
            if (!run->every_ms)
                break;
        }
    }
}
