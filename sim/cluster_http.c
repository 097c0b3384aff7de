/* HTTP calls of a simulated cluster: of callers and operators, of agents to their executors, and of executors. */
#include <stdlib.h>
#include <string.h>

#include "sim/cluster.h"

static struct host *host_of(struct world *world) { return (struct host *)world; }

static struct cluster_call *call_find(struct cluster *cluster, int64_t id)
{
    for (int64_t i = 0; i < cluster->n_calls_open; i++)
        if (cluster->calls[i].id == id)
            return &cluster->calls[i];
    return NULL;
}

void cluster_call_end(struct cluster *cluster, int64_t id, int status, const char *body)
{
    struct cluster_call *at = call_find(cluster, id);
    if (!at)
        return;
    struct cluster_call call = *at;
    *at = cluster->calls[--cluster->n_calls_open];
    const char *text = body ? body : "";
    if (call.on_response)
        call.on_response(cluster, call.arg, call.tag, status, text);
    else if (call.from->up && call.from->generation == call.from_generation)
        call.done(call.arg, call.tag, status, text, (int64_t)strlen(text));
}

static struct cluster_event *call_begin(struct cluster *cluster, struct cluster_call call, int64_t wait_ms)
{
    call.id = ++cluster->n_calls;
    *array_add(cluster->calls, cluster->n_calls_open) = call;
    struct cluster_event *timeout = cluster_event_new(CLUSTER_EVENT_TIMEOUT, call.from);
    timeout->call = call.id;
    cluster_push(cluster, timeout, cluster->now_us + (wait_ms > 0 ? wait_ms : 1) * 1000);
    struct cluster_event *request =
        cluster_event_new(call.standin && call.from ? CLUSTER_EVENT_STANDIN : CLUSTER_EVENT_REQUEST, call.to);
    request->call = call.id;
    return request;
}

static void reply_at(struct cluster *cluster, int64_t id, int status, const char *body, int64_t at_us)
{
    struct cluster_call *call = call_find(cluster, id);
    if (!call)
        return;
    struct cluster_event *event = cluster_event_new(CLUSTER_EVENT_RESPONSE, call->from);
    event->call = id;
    event->generation = call->from_generation;
    event->status = call->reset_in_response ? 0 : status;
    event->body = must_dup(body ? body : "");
    cluster_push(cluster, event, at_us);
}

/* Sends a request over a connection that may be reset. read_us: when the server reads it; at_us: when it handles it. */
static void send_request(struct cluster *cluster, struct cluster_event *request, enum reset_hop hop, int64_t read_us,
                         int64_t at_us)
{
    struct cluster_call *call = call_find(cluster, request->call);
    if (link_reset_occurs(cluster, hop, RESET_BEFORE_READ)) {
        reply_at(cluster, request->call, 0, "", read_us);
        cluster_event_free(request);
        return;
    }
    if (link_reset_occurs(cluster, hop, RESET_BEFORE_RESPONSE))
        reply_at(cluster, request->call, 0, "", read_us + 1);
    call->reset_in_response = link_reset_occurs(cluster, hop, RESET_IN_RESPONSE);
    cluster_push(cluster, request, at_us);
}

void cluster_reset_calls(struct cluster *cluster, struct host *to)
{
    for (int64_t i = 0; i < cluster->n_calls_open; i++)
        if (cluster->calls[i].to == to)
            reply_at(cluster, cluster->calls[i].id, 0, "", cluster->now_us);
}

static void net_call(struct world *world, const struct http_call *call)
{
    struct host *from = host_of(world);
    struct cluster *cluster = from->cluster;
    struct standin *standin = from->standin;
    if (!standin || call->to != from->base.self + 2000) {
        cluster_violation(cluster, 0, "%s calls an address that is not the one of its executor", from->name);
        standin = NULL;
    }
    struct cluster_event *request = call_begin(cluster,
                                               (struct cluster_call){.from = from,
                                                                     .from_generation = from->generation,
                                                                     .to = from,
                                                                     .standin = standin,
                                                                     .done = call->done,
                                                                     .arg = call->arg,
                                                                     .tag = call->tag},
                                               call->wait_ms);
    request->method = must_dup(call->method);
    request->path = must_dup(call->path);
    request->header = must_dup(call->header);
    request->body = must_dup(call->body ? call->body : "");
    request->generation = standin ? standin->generation : 0;
    if (!standin || !standin->up) { /* nothing listens there */
        cluster_reply(cluster, request->call, 0, "");
        cluster_event_free(request);
        return;
    }
    int64_t read_us = cluster_arrival(cluster, from, from), at_us = read_us;
    request->late = cluster->now_us < standin->late_until_us && cluster_pick(cluster, 2) == 0;
    if (request->late) /* a delay of 2 to 12 s, short ones more often */
        at_us += 2000000 + cluster_pick(cluster, 1 + cluster_pick(cluster, 10000000));
    else if (cluster->now_us < standin->hang_until_us)
        at_us = standin->hang_until_us + cluster_pick(cluster, 200000);
    send_request(cluster, request, HOP_EXECUTOR, read_us, at_us);
}

void cluster_request(struct cluster *cluster, const struct cluster_http_request *http)
{
    struct cluster_call call = {
        .to = http->to, .standin = http->from, .on_response = http->on_response, .arg = http->arg, .tag = http->tag};
    struct cluster_event *request = call_begin(cluster, call, http->wait_ms);
    request->entry = http->entry;
    request->method = must_dup(http->method);
    request->path = must_dup(http->path);
    request->header = must_dup(http->header);
    request->body = must_dup(http->body ? http->body : "");
    int64_t at_us = cluster_arrival(cluster, http->from ? http->to : NULL, http->to);
    send_request(cluster, request, http->from ? HOP_EXECUTOR : HOP_OPERATOR, at_us, at_us);
}

void cluster_reply(struct cluster *cluster, int64_t call, int status, const char *body)
{
    reply_at(cluster, call, status, body, cluster->now_us + 50 + cluster_pick(cluster, 100));
}

static void net_respond(struct world *world, int64_t slot, int status, int64_t retry_ms, const char *body)
{
    struct host *from = host_of(world);
    (void)retry_ms;
    reply_at(from->cluster, slot, status, body, cluster_arrival(from->cluster, from, from) + 1000);
}

void cluster_calls_http(struct world_calls *calls)
{
    calls->call = net_call;
    calls->answer = net_respond;
}
