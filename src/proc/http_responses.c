/* Responses of the HTTP server. Those that nobody takes hold memory, which is limited (client_limits.h). */
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "proc/http_server_state.h"

enum {
    RESPONSE_PART_BYTES = 32 << 10, /* of a large response are copied at a time */
    SHORT_RESPONSE_BYTES = 1 << 10  /* responses up to this size, errors among them, need no room */
};

/* Copies the next part of a response, as MHD_ContentReaderCallback. */
static ssize_t read_response(void *arg, uint64_t offset, char *to, size_t max)
{
    struct request *request = arg;
    if (request->aborted)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    size_t left = (size_t)request->response_bytes - offset, n = left < max ? left : max;
    memcpy(to, request->response_body + offset, n);
    http_connection_progress(request->runtime, request->connection, (int64_t)n);
    return (ssize_t)n;
}

/* A large response is read in parts, which shows whether the client takes it. */
static struct MHD_Response *create_response(struct request *request)
{
    size_t bytes = (size_t)request->response_bytes;
    if (bytes <= RESPONSE_PART_BYTES)
        return MHD_create_response_from_buffer(bytes, request->response_body, MHD_RESPMEM_PERSISTENT);
    return MHD_create_response_from_callback(bytes, RESPONSE_PART_BYTES, read_response, request, NULL);
}

enum MHD_Result http_response_queue(struct request *request)
{
    struct MHD_Response *response = create_response(request);
    MHD_add_response_header(response, "Content-Type", "application/json");
    if (request->retry_ms) {
        char seconds[24];
        snprintf(seconds, sizeof seconds, "%lld", (long long)((request->retry_ms + 999) / 1000));
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    if (request->runtime->role.on_request && request->runtime->leaving_ms)
        MHD_add_response_header(response, "Connection", "close");
    http_connection_enter(request->runtime, request->connection, CONNECTION_SENDING);
    enum MHD_Result result = MHD_queue_response(request->mhd, (unsigned)request->status, response);
    MHD_destroy_response(response);
    return result;
}

/* Makes room for a response of this size. Returns 0 if there is none. */
static int response_reserve(struct request *request, int64_t bytes)
{
    struct runtime *runtime = request->runtime;
    struct client_charge charge = client_charge_of_response(request->connection->entry, bytes);
    return bytes <= SHORT_RESPONSE_BYTES || http_connection_charge(runtime, &request->response_charge, charge);
}

void http_server_respond(struct world *world, int64_t slot, int status, int64_t retry_ms, const char *body)
{
    struct runtime *runtime = (struct runtime *)world;
    struct request_cell *cell = slab_at(&runtime->requests, slot);
    if (!cell || cell->request->response_body || cell->request->aborted)
        return;
    struct request *request = cell->request;
    const char *text = body ? body : "";
    client_budget_release(&runtime->budget, &request->body_charge);
    if (!response_reserve(request, (int64_t)strlen(text))) {
        world_answer(world, slot, ERROR_UNAVAILABLE, "too many responses are being sent; retry later");
        return;
    }
    request->status = status;
    request->retry_ms = retry_ms;
    request->response_body = must_dup(text);
    request->response_bytes = (int64_t)strlen(text);
    if (request->suspended) {
        request->suspended = 0;
        MHD_resume_connection(request->mhd);
        runtime->responses_pending = 1;
        ev_timer_stop(runtime->loop, &runtime->daemon_timer);
        ev_timer_set(&runtime->daemon_timer, 0., 0.);
        ev_timer_start(runtime->loop, &runtime->daemon_timer);
    }
}
