/* Requests of callers and operators: reads are answered from the record, changes with the result of their op once it is
 * committed. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "dispatch/leader_state.h"
#include "rules/rules_view.h"

static void waiter_add(struct dispatch *dispatch, int64_t ticket, int64_t kind)
{
    *array_add(dispatch->open_batch->waiters, dispatch->open_batch->n_waiters) =
        (struct waiter){.ticket = ticket, .kind = kind, .op = dispatch->open_batch->ops.n - 1};
}

/* The queue for the request's host and path in the newest configuration; NULL: there is none, and the request was
 * answered with an error. */
static const struct queue_config *requested_queue(struct dispatch *dispatch, int64_t ticket,
                                                  const struct api_request *request)
{
    const struct config *config = &dispatch->record->config;
    int64_t route = config->version ? config_route(config, request->host, request->path) : -1;
    if (route >= 0)
        return &config->queues[route];
    dispatch_answer(dispatch, ticket, request->kind, config->version ? ERROR_NOT_FOUND : ERROR_UNAVAILABLE,
                    "no queue for this host and path");
    return NULL;
}

/* The queue of a request about a job; NULL: the request was answered with an error. The queue is the job's own if the
 * request came by the route by which the job was accepted, whichever queue has that route now, or if the route is of a
 * queue of the same name; else it is the queue that has the route. If no queue has the route, the request is not
 * carried out. already_accepted: the same request was accepted before; it is then answered with ERROR_OUTCOME_UNKNOWN,
 * since a refusal would say that it had not been accepted. */
static const struct queue_config *requested_job_queue(struct dispatch *dispatch, int64_t ticket,
                                                      const struct api_request *request, const struct job *job,
                                                      int already_accepted)
{
    const struct record *record = dispatch->record;
    const struct config *config = &record->config;
    int is_reached = job && job_is_reached(record, job, request->host, request->path);
    int64_t route = config->version ? config_route(config, request->host, request->path) : -1;
    if (route < 0 && is_reached && already_accepted) {
        dispatch_answer(dispatch, ticket, request->kind, ERROR_OUTCOME_UNKNOWN,
                        "accepted before its queue was removed");
        return NULL;
    }
    if (route < 0)
        return requested_queue(dispatch, ticket, request);
    const struct queue_config *own = job ? &record->queues[job->queue].config : NULL;
    return own && (is_reached || !strcmp(own->name, config->queues[route].name)) ? own : &config->queues[route];
}

/* Whether this queue, from requested_job_queue(), is the job's own. */
static int is_queue_of(const struct dispatch *dispatch, const struct queue_config *queue, const struct job *job)
{
    return job && queue == &dispatch->record->queues[job->queue].config;
}

/* Whether there is no memory for one more job of this size. A larger one leaves half of it to small ones, so that a few
 * large jobs do not keep all others out. */
static int jobs_take_too_much(const struct dispatch *dispatch, int64_t job_bytes)
{
    int64_t max = dispatch->settings.live_bytes_max;
    int64_t held = dispatch->record->live_bytes + dispatch->pending_job_bytes + job_bytes;
    return max && held > (job_bytes > SMALL_JOB_BYTES_MAX ? max / 2 : max);
}

static void request_job(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    const struct job_spec *spec = api_request_job(request);
    const struct record *record = dispatch->record;
    const struct job *job = record_job(record, spec->id);
    int already_accepted = job && job_same(job, spec, record->queues[job->queue].config.name);
    const struct queue_config *queue = requested_job_queue(dispatch, ticket, request, job, already_accepted);
    if (!queue)
        return;
    if (dispatch->record->n_live >= LIVE_JOBS_MAX && !job) {
        dispatch_answer(dispatch, ticket, request->kind, ERROR_OVERLOAD, "too many live jobs; retry later");
        return;
    }
    int64_t job_bytes = record_job_bytes(spec);
    if (!job && jobs_take_too_much(dispatch, job_bytes)) {
        dispatch_answer(dispatch, ticket, request->kind, ERROR_OVERLOAD, "live jobs take too much memory; retry later");
        return;
    }
    struct job_op *op = record_op_make_job(dispatch_op(dispatch));
    dispatch->open_batch->job_bytes += job_bytes;
    dispatch->pending_job_bytes += job_bytes;
    schema_copy(&submission_schema, &op->spec, spec);
    op->queue = must_dup(queue->name);
    op->host = must_dup(queue->host);
    op->prefix = must_dup(queue->prefix);
    waiter_add(dispatch, ticket, request->kind);
}

static struct job *requested_job(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    struct job *job = record_job(dispatch->record, api_request_job_id(request));
    int already_accepted = job && request->kind == REQUEST_CANCEL && job->state == JOB_CANCELLED;
    const struct queue_config *queue = requested_job_queue(dispatch, ticket, request, job, already_accepted);
    if (!queue)
        return NULL;
    if (is_queue_of(dispatch, queue, job))
        return job;
    dispatch_answer(dispatch, ticket, request->kind, ERROR_GONE, "no such job");
    return NULL;
}

/* The cancellation of a job that is not known is committed too, before it is answered: a submission that arrives after
 * it must not run. */
static void request_cancel(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    int64_t id = api_request_job_id(request);
    int known = record_job(dispatch->record, id) != NULL;
    int answered = known ? !requested_job(dispatch, ticket, request) : !requested_queue(dispatch, ticket, request);
    if (answered)
        return;
    record_op_make_cancel(dispatch_op(dispatch), id);
    waiter_add(dispatch, ticket, request->kind);
}

/* Answers a patch of the current version that cannot be applied to it with an error, and returns 1: ops that are being
 * committed cannot make it valid. Returns 0 for a patch of another version; the record knows whether that was accepted
 * before. */
static int refuse_invalid_patch(struct dispatch *dispatch, int64_t ticket, const struct config_change *patch)
{
    struct config patched = {0};
    struct validation_error validation_error = {0};
    if (patch->base != dispatch->record->config.version || patch->config.version <= patch->base)
        return 0;
    enum sagehitch_error rc = record_patch_config(dispatch->record, patch, &patched, &validation_error);
    schema_free(&config_schema, &patched);
    if (!rc)
        return 0;
    char *detail = must_printf("%s: expected %s", validation_error.path, validation_error.expected);
    dispatch_answer(dispatch, ticket, REQUEST_CONFIG_PATCH, rc, detail);
    free(detail);
    return 1;
}

static void request_config(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    const struct config_change *change = api_request_config(request);
    if (request->kind == REQUEST_CONFIG_PATCH && refuse_invalid_patch(dispatch, ticket, change))
        return;
    struct config_change *op = request->kind == REQUEST_CONFIG_PATCH
                                   ? record_op_make_config_patch(dispatch_op(dispatch))
                                   : record_op_make_config(dispatch_op(dispatch));
    schema_copy(&config_schema, &op->config, &change->config);
    op->base = change->base;
    waiter_add(dispatch, ticket, request->kind);
}

static void request_rules(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    schema_copy(&rules_change_schema, record_op_make_rules(dispatch_op(dispatch)), api_request_rules(request));
    waiter_add(dispatch, ticket, request->kind);
}

/* Answers reads of the rules of the head office, of an outlet, or of a job. */
static void answer_rules(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    struct bytes text = {0};
    struct api_response response = rules_response(dispatch->record, request, &text);
    dispatch->calls.answer(dispatch->calls.arg, ticket, &response);
    bytes_free(&text);
}

static void answer_count(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    const struct queue_config *queue = requested_queue(dispatch, ticket, request);
    if (!queue)
        return;
    int64_t queue_index = record_queue(dispatch->record, queue->name), count = 0;
    for (const struct job *job = dispatch->record->oldest; job; job = job->next)
        count += job->queue == queue_index && job->state == JOB_PENDING;
    struct api_response response = api_response_make_count(count);
    dispatch->calls.answer(dispatch->calls.arg, ticket, &response);
}

static const char *const row_names[] = {"waiting", "placed", "done", "failed"};

/* Answers with a job's state as text for operators. */
static void answer_why(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    struct job *job = record_job(dispatch->record, api_request_job_id(request));
    if (!job) {
        dispatch_answer(dispatch, ticket, request->kind, ERROR_GONE, "no such job");
        return;
    }
    struct bytes text = {0};
    bytes_printf(&text, "job %016llx queue %s state %lld placed %lld done %lld of %lld\n",
                 (unsigned long long)job->spec.id, dispatch->record->queues[job->queue].config.name,
                 (long long)job->state, (long long)job->n_placed, (long long)job->n_done,
                 (long long)job->tasks * job->repetitions);
    for (int64_t i = 0; job->rows && i < job->tasks * job->repetitions && i < 200; i++) {
        const struct row *row = &job->rows[i];
        const struct run *run = run_of_row(dispatch, job, i);
        int64_t repetition, step, index;
        job_row_position(job, i, &repetition, &step, &index);
        bytes_printf(&text, "time %lld step %lld task %lld %s attempt %d failures %d%s%s%s\n", (long long)repetition,
                     (long long)step, (long long)index, row_names[row->state], row->attempt, row->failures,
                     row->state == ROW_PLACED ? " on " : "",
                     row->state == ROW_PLACED ? dispatch->record->incarnations[row->incarnation].name : "",
                     row->state == ROW_WAITING && !job_step_is_ready(job, repetition, step) ? " (steps before it)"
                                                                                            : "");
        if (run)
            bytes_printf(&text, "  percent %lld seen %lld ms ago%s%s\n", (long long)run->percent,
                         (long long)(run->seen_ms ? world_ms(dispatch->world) - run->seen_ms : -1),
                         run->stopping ? " stopping" : "", run->refused ? " refused" : "");
    }
    struct api_response response = api_response_make_explanation(job->state, &text);
    dispatch->calls.answer(dispatch->calls.arg, ticket, &response);
    bytes_free(&text);
}

/* Answers with the configuration, byte for byte as the operator sent it. */
static void answer_config(struct dispatch *dispatch, int64_t ticket)
{
    const struct config *config = &dispatch->record->config;
    if (!config->version) {
        dispatch_answer(dispatch, ticket, REQUEST_CONFIG_GET, ERROR_UNAVAILABLE, "no configuration yet");
        return;
    }
    struct api_response response = api_response_make_config(config->version, &config->raw);
    dispatch->calls.answer(dispatch->calls.arg, ticket, &response);
}

static void answer_state(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    const struct job *job = requested_job(dispatch, ticket, request);
    if (!job)
        return;
    struct api_response response = api_response_make_state(job->state);
    dispatch->calls.answer(dispatch->calls.arg, ticket, &response);
}

void requests_answer_read(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    switch (request->kind) {
    case REQUEST_COUNT_WAITING: answer_count(dispatch, ticket, request); return;
    case REQUEST_CONFIG_GET: answer_config(dispatch, ticket); return;
    case REQUEST_WHY: answer_why(dispatch, ticket, request); return;
    case REQUEST_RULES_GET:
    case REQUEST_RULES_JOB: answer_rules(dispatch, ticket, request); return;
    default: answer_state(dispatch, ticket, request); return;
    }
}

/* Whether a read of a job's state should wait: all remaining tasks of the job are placed. A run that ended before the
 * request may not be in the record yet, because its executor must be polled and its end committed. Such a read waits
 * for STATE_WAIT_MS, or until the job is over. */
static int may_end_soon(const struct dispatch *dispatch, const struct api_request *request)
{
    const struct job *job =
        request->kind == REQUEST_STATE ? record_job(dispatch->record, api_request_job_id(request)) : NULL;
    return job && !job_over(job) && job->n_placed && job->n_done + job->n_placed == job->tasks * job->repetitions;
}

static struct pending_read *pending_read_new(struct dispatch *dispatch, int64_t ticket,
                                             const struct api_request *request, int64_t *tag)
{
    *tag = slab_take(&dispatch->pending_reads, sizeof(struct pending_read));
    struct pending_read *pending_read = slab_at(&dispatch->pending_reads, *tag);
    pending_read->ticket = ticket;
    schema_copy(&api_request_schema, &pending_read->request, request);
    return pending_read;
}

static void pending_read_answer(struct dispatch *dispatch, int64_t tag, int error)
{
    struct pending_read copy = *(struct pending_read *)slab_at(&dispatch->pending_reads, tag);
    slab_free(&dispatch->pending_reads, tag);
    if (error)
        dispatch_answer(dispatch, copy.ticket, copy.request.kind, ERROR_NOT_LEADER, NULL);
    else
        requests_answer_read(dispatch, copy.ticket, &copy.request);
    schema_free(&api_request_schema, &copy.request);
}

void requests_flush(struct dispatch *dispatch)
{
    int64_t now_ms = world_ms(dispatch->world);
    for (int64_t i = 0; dispatch->pending_reads.used && i < dispatch->pending_reads.cap; i++) {
        int64_t tag = slab_number(&dispatch->pending_reads, i);
        const struct pending_read *pending_read = slab_at(&dispatch->pending_reads, tag);
        if (!pending_read || !pending_read->until_ms ||
            (now_ms < pending_read->until_ms && may_end_soon(dispatch, &pending_read->request)))
            continue;
        if (dispatch->calls.holds_lease(dispatch->calls.arg))
            pending_read_answer(dispatch, tag, ERROR_NONE);
        else if (now_ms >= pending_read->until_ms)
            pending_read_answer(dispatch, tag, ERROR_NOT_LEADER);
    }
}

void dispatch_request(struct dispatch *dispatch, int64_t ticket, const struct api_request *request)
{
    if (!dispatch->leading) {
        dispatch_answer(dispatch, ticket, request->kind, ERROR_NOT_LEADER, NULL);
        return;
    }
    switch (request->kind) {
    case REQUEST_JOB: request_job(dispatch, ticket, request); return;
    case REQUEST_CANCEL: request_cancel(dispatch, ticket, request); return;
    case REQUEST_CONFIG_PUT:
    case REQUEST_CONFIG_PATCH: request_config(dispatch, ticket, request); return;
    case REQUEST_RULES_PUT: request_rules(dispatch, ticket, request); return;
    case REQUEST_STATE:
    case REQUEST_COUNT_WAITING:
    case REQUEST_CONFIG_GET:
    case REQUEST_WHY:
    case REQUEST_RULES_GET:
    case REQUEST_RULES_JOB: break;
    default: dispatch_answer(dispatch, ticket, request->kind, ERROR_NOT_FOUND, NULL); return;
    }
    int64_t tag;
    /* while this leader holds its lease, no other process can have committed anything */
    if (!dispatch->calls.holds_lease(dispatch->calls.arg)) {
        pending_read_new(dispatch, ticket, request, &tag);
        dispatch->calls.barrier(dispatch->calls.arg, tag);
    } else if (may_end_soon(dispatch, request)) {
        pending_read_new(dispatch, ticket, request, &tag)->until_ms = world_ms(dispatch->world) + STATE_WAIT_MS;
    } else {
        requests_answer_read(dispatch, ticket, request);
    }
}

void dispatch_barrier(struct dispatch *dispatch, int64_t tag, int error)
{
    if (slab_at(&dispatch->pending_reads, tag))
        pending_read_answer(dispatch, tag, error);
}
