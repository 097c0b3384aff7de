/* HTTP calls of a simulated cluster: from outside, from agents to their executors, and from executors. */
#include <stdlib.h>
#include <string.h>

#include "sim/cluster.h"

static struct host *host_of(struct world *w) { return (struct host *)w; }

static struct cluster_call *call_find(struct cluster *c, int64_t id)
{
    for (int64_t i = 0; i < c->n_calls_open; i++)
        if (c->calls[i].id == id)
            return &c->calls[i];
    return NULL;
}

void cluster_call_end(struct cluster *c, int64_t id, int status, const char *body)
{
    struct cluster_call *at = call_find(c, id);
    if (!at)
        return;
    struct cluster_call call = *at;
    *at = c->calls[--c->n_calls_open];
    const char *text = body ? body : "";
    if (call.outside)
        call.outside(c, call.arg, call.tag, status, text);
    else if (call.from->up && call.from->generation == call.from_generation)
        call.done(call.arg, call.tag, status, text, (int64_t)strlen(text));
}

static struct cluster_event *call_begin(struct cluster *c, struct cluster_call call, int64_t wait_ms)
{
    call.id = ++c->n_calls;
    *array_add(c->calls, c->n_calls_open) = call;
    struct cluster_event *timeout = cluster_event_new(CEV_TIMEOUT, call.from);
    timeout->call = call.id;
    cluster_push(c, timeout, c->now_us + (wait_ms > 0 ? wait_ms : 1) * 1000);
    struct cluster_event *request = cluster_event_new(call.standin && call.from ? CEV_STANDIN : CEV_REQUEST, call.to);
    request->call = call.id;
    return request;
}

static void reply_at(struct cluster *c, int64_t id, int status, const char *body, int64_t at_us)
{
    struct cluster_call *call = call_find(c, id);
    if (!call)
        return;
    struct cluster_event *event = cluster_event_new(CEV_ANSWER, call->from);
    event->call = id;
    event->generation = call->from_generation;
    event->status = call->answer_lost ? 0 : status;
    event->body = must_dup(body ? body : "");
    cluster_push(c, event, at_us);
}

/* Sends a request over a connection that may be reset; read_us: when it is read, at_us: when it is carried out. */
static void send_request(struct cluster *c, struct cluster_event *request, enum reset_hop hop, int64_t read_us,
                         int64_t at_us)
{
    struct cluster_call *call = call_find(c, request->call);
    if (link_strikes(c, hop, RESET_BEFORE_READ)) {
        reply_at(c, request->call, 0, "", read_us);
        cluster_event_free(request);
        return;
    }
    if (link_strikes(c, hop, RESET_BEFORE_ANSWER))
        reply_at(c, request->call, 0, "", read_us + 1);
    call->answer_lost = link_strikes(c, hop, RESET_IN_ANSWER);
    cluster_push(c, request, at_us);
}

void cluster_reset_calls(struct cluster *c, struct host *to)
{
    for (int64_t i = 0; i < c->n_calls_open; i++)
        if (c->calls[i].to == to)
            reply_at(c, c->calls[i].id, 0, "", c->now_us);
}

static void net_call(struct world *w, const struct http_call *call)
{
    struct host *from = host_of(w);
    struct cluster *c = from->cluster;
    struct standin *s = from->standin;
    if (!s || call->to != from->base.self + 2000) {
        judge_say(c, 0, "%s calls an address that is not its executor's", from->name);
        s = NULL;
    }
    struct cluster_event *request = call_begin(c,
                                               (struct cluster_call){.from = from,
                                                                     .from_generation = from->generation,
                                                                     .to = from,
                                                                     .standin = s,
                                                                     .done = call->done,
                                                                     .arg = call->arg,
                                                                     .tag = call->tag},
                                               call->wait_ms);
    request->method = must_dup(call->method);
    request->path = must_dup(call->path);
    request->header = must_dup(call->header);
    request->body = must_dup(call->body ? call->body : "");
    request->generation = s ? s->generation : 0;
    if (!s || !s->up) { /* nobody listens there */
        cluster_reply(c, request->call, 0, "");
        cluster_event_free(request);
        return;
    }
    int64_t read_us = cluster_arrival(c, from, from), at_us = read_us;
    request->late = c->now_us < s->late_us && cluster_pick(c, 2) == 0;
    if (request->late) /* 2 to 12 s, sooner more often */
        at_us += 2000000 + cluster_pick(c, 1 + cluster_pick(c, 10000000));
    else if (c->now_us < s->hang_us)
        at_us = s->hang_us + cluster_pick(c, 200000);
    send_request(c, request, HOP_EXECUTOR, read_us, at_us);
}

void cluster_request(struct cluster *c, const struct cluster_http_request *http)
{
    struct cluster_call call = {
        .to = http->to, .standin = http->from, .outside = http->answer, .arg = http->arg, .tag = http->tag};
    struct cluster_event *request = call_begin(c, call, http->wait_ms);
    request->entry = http->entry;
    request->method = must_dup(http->method);
    request->path = must_dup(http->path);
    request->header = must_dup(http->header);
    request->body = must_dup(http->body ? http->body : "");
    int64_t at_us = cluster_arrival(c, http->from ? http->to : NULL, http->to);
    send_request(c, request, http->from ? HOP_EXECUTOR : HOP_OPERATOR, at_us, at_us);
}

void cluster_reply(struct cluster *c, int64_t call, int status, const char *body)
{
    reply_at(c, call, status, body, c->now_us + 50 + cluster_pick(c, 100));
}

static void net_answer(struct world *w, int64_t slot, int status, int64_t retry_ms, const char *body)
{
    struct host *from = host_of(w);
    (void)retry_ms;
    reply_at(from->cluster, slot, status, body, cluster_arrival(from->cluster, from, from) + 1000);
}

void cluster_calls_http(struct world_calls *calls)
{
    calls->call = net_call;
    calls->answer = net_answer;
}
