/* Bodies of requests to the HTTP server: each is kept as long as it is within the limits (client_limits.h), and
 * discarded from then on. */
#include <stdlib.h>

#include "base/error.h"
#include "base/events.h"
#include "base/json_memory.h"
#include "proc/http_server_state.h"

enum {
    BODY_TIMEOUT_MS = 60000,    /* from the head of a request to the end of its body */
    FIRST_BODY_BYTES = 4 << 10, /* allocated for a body whose size is not announced; doubled as it grows */
    DISCARDED_BODIES_MAX = 2,   /* a connection is closed after a body of so many times the largest size */
    DROPPED_NOTE_MS = 1000      /* between two events about dropped requests */
};

static void note_dropped(const struct request *request, const char *why, int64_t bytes)
{
    struct runtime *runtime = request->runtime;
    int64_t now_ms = world_ms(&runtime->base);
    runtime->n_dropped++;
    if (runtime->dropped_note_ms && now_ms - runtime->dropped_note_ms < DROPPED_NOTE_MS)
        return;
    world_note(&runtime->base, EV_REQUEST_DROPPED, "%s path=%.100s bytes=%lld dropped=%lld", why, request->path,
               (long long)bytes, (long long)runtime->n_dropped);
    runtime->n_dropped = 0;
    runtime->dropped_note_ms = now_ms;
}

void http_body_free(struct request *request)
{
    bytes_free(&request->body);
    client_budget_release(&request->runtime->budget, &request->body_charge);
}

void http_request_give_up(struct request *request)
{
    note_dropped(request, "slow", request->received_bytes);
    request->refusal = ERROR_UNAVAILABLE;
    http_body_free(request);
    if (!request->response_body)
        return;
    request->aborted = 1;
    free(request->response_body);
    request->response_body = NULL;
    client_budget_release(&request->runtime->budget, &request->response_charge);
}

/* From now on the body is discarded, and the response will be this error. */
static void refuse(struct request *request, enum sagehitch_error error, const char *why, int64_t bytes)
{
    note_dropped(request, why, bytes);
    request->refusal = error;
    http_body_free(request);
}

/* Whether a body that is complete takes too much memory once it is parsed. */
static int is_too_large_parsed(const struct request *request)
{
    return request->body.len && json_memory_estimate((const char *)request->body.at, request->body.len) >
                                    request->runtime->budget.limits.parsed_bytes;
}

void http_body_check(struct request *request)
{
    if (!request->refusal && is_too_large_parsed(request))
        refuse(request, ERROR_TOO_LARGE, "values", request->body.len);
}

void http_body_answer_refusal(struct request *request)
{
    struct world *world = &request->runtime->base;
    int64_t body_bytes = request->runtime->budget.limits.body_bytes[request->connection->entry];
    if (request->refusal == ERROR_TOO_LARGE)
        world_answer(world, request->slot, ERROR_TOO_LARGE,
                     "the body is over %lld bytes, or takes over %lld once it is parsed", (long long)body_bytes,
                     (long long)request->runtime->budget.limits.parsed_bytes);
    else
        world_answer(world, request->slot, request->refusal, "too much is being received; retry later");
}

void http_body_reserve(struct request *request, int64_t bytes)
{
    struct runtime *runtime = request->runtime;
    int64_t entry = request->connection->entry;
    if (bytes > runtime->budget.limits.body_bytes[entry])
        refuse(request, ERROR_TOO_LARGE, "large", bytes);
    else if (!http_connection_charge(runtime, &request->body_charge, client_charge_of_body(entry, bytes)))
        refuse(request, ERROR_UNAVAILABLE, "overload", bytes);
}

/* Makes room for a body whose size was not announced, as much again as there was before. */
static void body_grow(struct request *request)
{
    int64_t max = request->runtime->budget.limits.body_bytes[request->connection->entry];
    int64_t cap = request->body.cap ? (request->body.cap - 1) * 2 : FIRST_BODY_BYTES;
    while (cap < request->received_bytes)
        cap *= 2;
    if (cap > max && request->received_bytes <= max)
        cap = max;
    http_body_reserve(request, cap);
    if (!request->refusal)
        bytes_reserve(&request->body, cap);
}

enum MHD_Result http_body_add(struct request *request, const char *data, int64_t size)
{
    struct runtime *runtime = request->runtime;
    int64_t max = runtime->budget.limits.body_bytes[request->connection->entry];
    if (world_ms(&runtime->base) - request->head_ms > BODY_TIMEOUT_MS) {
        note_dropped(request, "slow", request->received_bytes);
        return MHD_NO;
    }
    request->received_bytes += size;
    http_connection_progress(runtime, request->connection, size);
    if (!request->refusal && request->announced_bytes >= 0)
        bytes_reserve(&request->body, request->announced_bytes);
    else if (!request->refusal && request->received_bytes >= request->body.cap)
        body_grow(request);
    if (!request->refusal)
        bytes_add(&request->body, data, size);
    else if (request->received_bytes > DISCARDED_BODIES_MAX * max)
        return MHD_NO;
    return MHD_YES;
}
