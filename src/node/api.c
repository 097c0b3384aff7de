/* The HTTP API of a node: keeps each request in a slab until its response, and routes it to its handler here or
 * forwards it to the node that owns what it concerns. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "node/node.h"

enum { WAIT_MARGIN_MS = 300 };

void api_response(struct node *node, int64_t number, int status, int64_t retry_ms, const char *body)
{
    struct request *request = slab_at(&node->requests, number);
    if (!request)
        return;
    if (request->from) {
        struct forward_response message = {
            .req = request->from_req, .status = status, .retry_ms = retry_ms, .body = (char *)(uintptr_t)body};
        int64_t to = request->from;
        slab_free(&node->requests, number);
        node_send(node, to, FRAME_FORWARD_RESPONSE, &forward_response_schema, &message);
    } else {
        int64_t slot = request->slot;
        slab_free(&node->requests, number);
        node->w->calls->answer(node->w, slot, status, retry_ms, body);
    }
}

void api_json(struct node *node, int64_t request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    api_response(node, request, status, 0, text);
    free(text);
}

static void respond_with_error(struct node *node, int64_t request, int error, const char *path, const char *why)
{
    const struct error_response *response = error_response(error);
    json_t *body = json_pack("{s:s,s:s}", "problem", response->name, "why", why);
    if (!body)
        body = json_pack("{s:s}", "problem", response->name);
    if (*path)
        json_object_set_new(body, "path", json_string(path));
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    api_response(node, request, response->status, response->retry_ms, text);
    free(text);
}

void api_error(struct node *node, int64_t request, int error, const char *format, ...)
{
    char why[300];
    va_list args;
    va_start(args, format);
    vsnprintf(why, sizeof why, format, args);
    va_end(args);
    respond_with_error(node, request, error, "", why);
}

void api_validation_error(struct node *node, int64_t request, const struct validation_error *validation_error)
{
    char why[160];
    snprintf(why, sizeof why, "expected %s", validation_error->expected);
    respond_with_error(node, request, validation_error->error, validation_error->path, why);
}

char *api_query_param(const char *path, const char *name)
{
    const char *at = strchr(path, '?');
    size_t len = strlen(name);
    while (at) {
        at++;
        if (!strncmp(at, name, len) && at[len] == '=') {
            size_t n = strcspn(at + len + 1, "&");
            char *value = must_dup(at + len + 1);
            value[n] = 0;
            return value;
        }
        at = strchr(at, '&');
    }
    return NULL;
}

/* --- incoming, forwarded and waiting requests ------------------------------------ */

static int64_t new_request(struct node *node)
{
    int64_t number = slab_take(&node->requests, sizeof(struct request));
    struct request *request = slab_at(&node->requests, number);
    request->until_ms = world_ms(node->w) + node->root_settings.deadline_ms;
    request->shard = -1;
    return number;
}

void node_request(struct node *node, int64_t slot, const char *method, const char *path, const char *body, int64_t len)
{
    int64_t number = new_request(node);
    ((struct request *)slab_at(&node->requests, number))->slot = slot;
    api_route(node, number, method, path, body, len);
}

void node_on_forward_request(struct node *node, int64_t from, const struct forward_request *message)
{
    int64_t number = new_request(node);
    struct request *request = slab_at(&node->requests, number);
    request->from = from;
    request->from_req = message->req;
    request->hops = message->hops;
    request->shard = message->shard;
    if (!message->method || !message->path) {
        api_error(node, number, ERROR_BAD_FRAME, "no method or path");
        return;
    }
    api_route(node, number, message->method, message->path, message->body ? message->body : "",
              message->body ? (int64_t)strlen(message->body) : 0);
}

void api_forward(struct node *node, int64_t number, int64_t to, const struct api_call *call)
{
    struct request *request = slab_at(&node->requests, number);
    if (!to || request->hops >= HOPS_MAX) {
        api_error(node, number, ERROR_NO_OWNER,
                  to ? "forwarded too often: ownership is moving" : "no node owns this shard or executor now");
        return;
    }
    request->sent_to = to;
    struct forward_request message = {.req = number,
                                      .hops = request->hops + 1,
                                      .shard = call->shard,
                                      .method = (char *)(uintptr_t)call->method,
                                      .path = (char *)(uintptr_t)call->path,
                                      .body = (char *)(uintptr_t)call->body};
    node_send(node, to, FRAME_FORWARD_REQUEST, &forward_request_schema, &message);
}

void node_on_forward_response(struct node *node, const struct forward_response *message)
{
    api_response(node, message->req, (int)message->status, message->retry_ms, message->body ? message->body : "");
}

void api_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    for (int64_t i = 0; i < node->requests.cap; i++) {
        int64_t number = slab_number(&node->requests, i);
        struct request *request = slab_at(&node->requests, number);
        if (!request)
            continue;
        /* If the owner has died, the client learns at once that it may retry, and when. */
        int dead = request->sent_to && !peers_live(&node->peers, request->sent_to, 0) &&
                   peers_find(&node->peers, request->sent_to) &&
                   peers_find(&node->peers, request->sent_to)->info.state == PEER_DEAD;
        if (dead)
            api_error(node, number, ERROR_NO_OWNER, "the node that owns this died");
        else if (!admission_open(node) && !request->sent_to) /* the logs may not answer its proposal in time */
            api_error(
                node, number, ERROR_UNAVAILABLE,
                "this node can no longer confirm its state with the keepers; resend to another with the same key");
        else if (now_ms >= request->until_ms + (request->from ? 0 : WAIT_MARGIN_MS))
            api_error(node, number, ERROR_OUTCOME_UNKNOWN,
                      "no confirmation in time; the request may still have been accepted");
    }
}

/* --- routing -------------------------------------------------------------------- */

static int starts_with(const char *text, const char *prefix) { return !strncmp(text, prefix, strlen(prefix)); }

/* The job named in the path, or 0. */
static int64_t path_job(const char *path)
{
    char id[64];
    const char *at = path + strlen("/v1/jobs/");
    size_t n = strcspn(at, "/?");
    if (n >= sizeof id)
        return 0;
    memcpy(id, at, n);
    id[n] = 0;
    return job_id_parse(id);
}

/* Forwards the request if another node owns the shard, and returns 1. */
static int forward_to_owner(struct node *node, int64_t request, int64_t shard, const char *method, const char *path,
                            const char *body)
{
    int64_t owner = shard_owner(node, shard);
    if (owner == (int64_t)node->w->self)
        return 0;
    api_forward(node, request, owner, &(struct api_call){.shard = shard, .method = method, .path = path, .body = body});
    return 1;
}

static void route_job(struct node *node, int64_t request, const char *method, const char *path, const char *body)
{
    int64_t job = path_job(path);
    int cancel = !strcmp(method, "DELETE") || strstr(path, "/cancel");
    if (!job) {
        api_error(node, request, ERROR_NOT_FOUND, "a job is named SHARD.NUMBER");
        return;
    }
    if (strcmp(method, "GET") && strcmp(method, "DELETE") && strcmp(method, "POST")) {
        api_error(node, request, ERROR_BAD_METHOD, "GET, DELETE or POST .../cancel");
        return;
    }
    if (forward_to_owner(node, request, job_shard(job), method, path, body))
        return;
    if (cancel)
        enqueue_cancel(node, request, job);
    else
        enqueue_show(node, request, job, path);
}

static void route_jobs(struct node *node, int64_t request, const char *method, const char *path, const char *body,
                       int64_t len)
{
    if (!strcmp(method, "POST")) {
        enqueue_job(node, request, body, len);
        return;
    }
    char *key = api_query_param(path, "key"), *from = api_query_param(path, "from");
    int64_t shard = key ? key_shard(key) : from ? text_to_int64(from) : 0;
    if (strcmp(method, "GET"))
        api_error(node, request, ERROR_BAD_METHOD, "GET or POST");
    else if (shard < 0 || shard >= SHARD_COUNT)
        api_error(node, request, ERROR_NOT_FOUND, "no such shard");
    else if (!forward_to_owner(node, request, shard, method, path, body))
        enqueue_list(node, request, shard, path);
    free(key);
    free(from);
}

void api_route(struct node *node, int64_t request, const char *method, const char *path, const char *body, int64_t len)
{
    if (!starts_with(path, "/v1/"))
        api_error(node, request, ERROR_NOT_FOUND, "all paths begin with /v1/");
    else if (starts_with(path, "/v1/executors/report"))
        executor_owner_on_report(node, request, body, len);
    else if (api_views(node, request, method, path))
        return;
    else if (!admission_open(node))
        api_error(node, request, ERROR_UNAVAILABLE, "this node cannot confirm its state with the keepers");
    else if (starts_with(path, "/v1/jobs/"))
        route_job(node, request, method, path, body);
    else if (starts_with(path, "/v1/jobs"))
        route_jobs(node, request, method, path, body, len);
    else if (!api_operators(node, request, method, path, body, len))
        api_error(node, request, ERROR_NOT_FOUND, "no such path");
}
