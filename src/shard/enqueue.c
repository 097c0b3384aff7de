/* Jobs from callers: checked, buffered with a promise, answered when the jobs
 * log has them. Timed runs come in the same way, once an occurrence. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { RUN_CATCH_UP_MS = 3600000, LIST_PAGE = 100 };

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

/* To the owner of a shard that is not ours. */
static void send_on(struct node *node, int64_t request, int64_t shard, const char *body)
{
    const struct api_call call = {.shard = shard, .method = "POST", .path = "/v1/jobs", .body = body};
    api_forward(node, request, shard_owner(node, shard), &call);
}

/* The key is known here: the same job again, another body, or sent on. */
static void answer_known(struct node *node, struct shard *shard, int64_t request, int64_t known, int64_t hash,
                         const char *body)
{
    if (known < 0) {
        int64_t to = -1 - known, owner = shard_owner(node, to);
        if (owner == (int64_t)node->w->self) {
            struct request *r = slab_at(&node->requests, request);
            if (r)
                r->shard = to;
            enqueue_job(node, request, body, (int64_t)strlen(body));
        } else {
            send_on(node, request, to, body);
        }
        return;
    }
    const struct job *job = rows_find_job(&shard->rows, known);
    if (job->body_hash != hash)
        api_error(node, request, ERROR_KEY_TAKEN, "this key names a job with another body");
    else
        answer_job(node, request, job, 200);
}

static int reject(struct node *node, struct shard *shard, int64_t request, const struct job_spec *spec, int64_t queue)
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
                         "ever hold it, or its gang could never stand whole",
                         (long long)bad_no),
               1;
    if (shard->rows.n_live + shard->n_buffer >= settings->queued_max)
        return api_error(node, request, ERROR_OVERLOAD, "the queue holds as much as it may"), 1;
    if (shard->n_buffer >= node->root_settings.buffer_max)
        return api_error(node, request, ERROR_OVERLOAD, "the shard's buffer is full"), 1;
    if (shard->breaker.open_until_ms > world_ms(node->w))
        return api_error(node, request, ERROR_OVERLOAD, "the shard's breaker is open"), 1;
    return 0;
}

/* The next shard of another node, to which an overloaded owner sends on. */
static int64_t other_shard(struct node *node, int64_t shard)
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

static void take_job(struct node *node, struct shard *shard, int64_t request, const struct job_spec *spec,
                     const char *body)
{
    int64_t hash = body_hash(spec), known = rows_find_key(&shard->rows, spec->key);
    int64_t queue = node_queue(node, spec->service, spec->queue);
    struct request *r = slab_at(&node->requests, request);
    int redirected = key_shard(spec->key) != shard->no;
    if (known) {
        answer_known(node, shard, request, known, hash, body);
    } else if (!reject(node, shard, request, spec, queue)) {
        int64_t to = shard->rows.n_live > node->root_settings.forward_above && !redirected && r
                         ? other_shard(node, shard->no)
                         : -1;
        if (to < 0) {
            buffer_job(node, shard, request, spec, hash);
            return;
        }
        struct op *op = worker_buffer(node, shard, OP_REDIRECT, 0, request, 0);
        op->key = must_dup(spec->key);
        op->to_shard = to;
        op->spec = must_alloc(sizeof *op->spec); /* kept for sending on, not needed by the fold */
        schema_copy(&job_spec_schema, op->spec, spec);
    }
}

void enqueue_job(struct node *node, int64_t request, const char *body, int64_t len)
{
    struct job_spec spec = {0};
    struct validation_error validation_error = {0};
    struct request *r = slab_at(&node->requests, request);
    int rc = schema_from_text(&job_spec_schema, &spec, body, len, &validation_error);
    if (!rc)
        rc = spec_check(&spec, &validation_error);
    if (rc) {
        api_validation_error(node, request, &validation_error);
        schema_free(&job_spec_schema, &spec);
        return;
    }
    int64_t no = r && r->shard >= 0 && r->shard < SHARD_COUNT ? r->shard : key_shard(spec.key);
    int64_t owner = shard_owner(node, no);
    struct shard *shard = &node->shards[no];
    if (owner != (int64_t)node->w->self)
        send_on(node, request, no, body);
    else if (shard->state != SHARD_OPEN)
        api_error(node, request, ERROR_NO_OWNER, "the shard is being opened");
    else
        take_job(node, shard, request, &spec, body);
    schema_free(&job_spec_schema, &spec);
}

void enqueue_committed(struct node *node, struct shard *shard, const struct buffered_op *b, int apply_error)
{
    const struct op *op = &b->op;
    if (op->kind == OP_JOB) {
        struct job *job = apply_error ? NULL : rows_find_job(&shard->rows, op->job);
        if (job) {
            job->queue = node_queue(node, job->spec.service, job->spec.queue);
            ready_add_job(node, shard, job);
            node_journal_add(node, job->id, -1, 0, "accepted", job->spec.key);
            world_note(node->w, EV_JOB_TAKEN, "job=%lld key=%s", (long long)job->id, job->spec.key);
            if (b->request)
                answer_job(node, b->request, job, 201);
        } else if (b->request) {
            int64_t known = rows_find_key(&shard->rows, op->spec->key);
            char *body = schema_to_text(&job_spec_schema, op->spec);
            if (known)
                answer_known(node, shard, b->request, known, op->body_hash, body);
            else
                api_error(node, b->request, ERROR_OUTCOME_UNKNOWN, "ask again");
            free(body);
        }
    } else if (op->kind == OP_REDIRECT && b->request) {
        char *body = schema_to_text(&job_spec_schema, op->spec);
        int64_t known = rows_find_key(&shard->rows, op->key);
        answer_known(node, shard, b->request, known ? known : -1 - op->to_shard, op->body_hash, body);
        free(body);
    } else if (op->kind == OP_CANCEL) {
        struct job *job = rows_find_job(&shard->rows, op->job);
        node_journal_add(node, op->job, -1, 0, "cancelled", NULL);
        for (int64_t i = 0; job && i < job->n_rows; i++)
            if (job->rows[i].state == ROW_PLACED && job->state == JOB_CANCELLING)
                track_stop(node, shard, job, i);
        if (job && job_ended(job) && !apply_error)
            ready_schedule_check(shard, job->ended_ms + node_settings(node, job->queue)->keep_ms, job->id, 0);
        if (job && b->request)
            answer_job(node, b->request, job, 200);
        else if (b->request)
            api_error(node, b->request, ERROR_NOT_FOUND, "no such job");
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

/* One page of one shard; "next" names where to go on, absent at the end. */
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
        int64_t known = rows_find_key(&shard->rows, key);
        if (known > 0)
            json_array_append_new(list, job_view(rows_find_job(&shard->rows, known), 0));
    } else {
        char next[48];
        while (n < LIST_PAGE && (job = rows_next_job(&shard->rows, &id))) {
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

/* --- timed runs --------------------------------------------------------------------- */

static void run_once(struct node *node, const struct planned *p, int64_t at_ms)
{
    struct job_spec spec = {0};
    struct validation_error validation_error;
    char key[200];
    snprintf(key, sizeof key, "run:%.100s:%lld", p->id, (long long)at_ms);
    struct shard *shard = &node->shards[key_shard(key)];
    if (shard->state != SHARD_OPEN || rows_find_key(&shard->rows, key))
        return;
    for (int64_t i = 0; i < shard->n_buffer; i++)
        if (shard->buffer[i].op.kind == OP_JOB && !strcmp(shard->buffer[i].op.spec->key, key))
            return;
    json_t *json = json_loads(p->json, 0, NULL);
    json_object_set_new(json, "key", json_string(key));
    if (!schema_from_json(&job_spec_schema, &spec, json, 0, &validation_error) &&
        !spec_check(&spec, &validation_error)) {
        spec.start_at_ms = at_ms;
        buffer_job(node, shard, 0, &spec, body_hash(&spec));
        world_note(node->w, EV_PLANNED, "run=%s at=%lld", p->id, (long long)at_ms);
    }
    schema_free(&job_spec_schema, &spec);
    json_decref(json);
}

/* Each owner makes the occurrences whose key falls into its shards. */
void enqueue_runs(struct node *node)
{
    int64_t now_ms = node_fleet_ms(node);
    for (int64_t i = 0; i < node->config_tree.n_calendar; i++) {
        const struct planned *p = &node->config_tree.calendar[i];
        if (strcmp(p->kind, "run") || p->at_ms > now_ms)
            continue;
        int64_t first = p->at_ms, until = p->until_ms && p->until_ms < now_ms ? p->until_ms : now_ms;
        if (p->every_ms && first < now_ms - RUN_CATCH_UP_MS)
            first += (now_ms - RUN_CATCH_UP_MS - first + p->every_ms - 1) / p->every_ms * p->every_ms;
        if (!p->every_ms && first < now_ms - RUN_CATCH_UP_MS)
            continue;
        for (int64_t at = first; at <= until; at += p->every_ms) {
            run_once(node, p, at);
            if (!p->every_ms)
                break;
        }
    }
}
