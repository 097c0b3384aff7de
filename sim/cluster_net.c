/* Events and frames of a simulated cluster under its virtual clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "base/events.h"
#include "base/frame.h"
#include "controller/controller.h"
#include "sim/cluster.h"

static struct host *host_of(struct world *world) { return (struct host *)world; }
static int64_t later_of(int64_t a, int64_t b) { return a > b ? a : b; }

void cluster_push(struct cluster *cluster, struct cluster_event *event, int64_t at_us)
{
    event_queue_push(&cluster->events, &event->timed, later_of(at_us, cluster->now_us));
}

void cluster_event_free(struct cluster_event *event)
{
    blob_drop(event->frame);
    free(event->method);
    free(event->path);
    free(event->header);
    free(event->body);
    free(event);
}

struct cluster_event *cluster_event_new(enum cluster_event_kind kind, struct host *to)
{
    struct cluster_event *event = must_alloc(sizeof *event);
    event->kind = kind;
    event->to = to;
    event->generation = to ? to->generation : 0;
    return event;
}

void cluster_schedule(struct cluster *cluster, int64_t in_ms, cluster_action *action, void *arg, int64_t n)
{
    struct cluster_event *event = cluster_event_new(CLUSTER_EVENT_ACTION, NULL);
    event->action = action;
    event->arg = arg;
    event->n = n;
    cluster_push(cluster, event, cluster->now_us + in_ms * 1000);
}

enum { FRAME_KIND_AT = 3 }; /* offset of the kind in a frame's header */

/* --- frames ----------------------------------------------------------------------- */

int64_t cluster_arrival(struct cluster *cluster, const struct host *from, const struct host *to)
{
    int64_t at_us = cluster->now_us + (from ? from->stall_us : 0) + 100 + cluster_pick(cluster, 300);
    if (from && to && strcmp(from->zone, to->zone))
        at_us += 900;
    if (!from)
        at_us += 3000; /* the client is no host */
    return at_us + (from != to ? cluster->slow_link_ms * 1000 : 0);
}

static void net_send(struct world *world, uint64_t addr, struct blob *frame, int lossy)
{
    struct host *from = host_of(world), *to = NULL;
    struct cluster *cluster = from->cluster;
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster->hosts[i]->base.self == addr)
            to = cluster->hosts[i];
    if (!to || cluster->cut[from->index][to->index] || (lossy && cluster_pick(cluster, 100) < cluster->loss_pct) ||
        (cluster->reset_pct && cluster_pick(cluster, 100) < cluster->reset_pct))
        return;
    struct cluster_event *event = cluster_event_new(CLUSTER_EVENT_FRAME, to);
    if (!lossy && link_loses_frame(from, to, frame->bytes.at[FRAME_KIND_AT], event)) {
        cluster_event_free(event);
        return;
    }
    event->frame = blob_hold(frame);
    int64_t late_until_us = cluster->max_delay_ms ? cluster_pick(cluster, cluster->max_delay_ms * 1000) : 0;
    int64_t at_us = cluster_arrival(cluster, from, to) + link_transfer_us(from, to, frame->bytes.len) + late_until_us;
    int64_t *last_us = &cluster->links.last_us[from->index][to->index];
    if (!lossy) {
        event->from = from;
        at_us = *last_us = later_of(later_of(at_us, *last_us + 1), cluster->links.stalled_us[from->index][to->index]);
    }
    cluster_push(cluster, event, at_us);
}

/* --- delivery --------------------------------------------------------------------- */

const char *header_find(const char *lines, const char *name)
{
    static char value[EXECUTOR_ID_MAX + 1];
    size_t len = strlen(name);
    for (const char *at = lines; at && *at; at = strchr(at, '\n') ? strchr(at, '\n') + 1 : NULL)
        if (!strncasecmp(at, name, len) && at[len] == ':') {
            snprintf(value, sizeof value, "%.*s", (int)strcspn(at + len + 2, "\n"), at + len + 2);
            return value;
        }
    return NULL;
}

static const char *http_header(const struct http_request *request, const char *name)
{
    return header_find(request->arg, name);
}

/* Responds with what the test's fake returns, in place of the cores. */
static void fake_response(struct cluster *cluster, const struct cluster_event *event)
{
    char *response = NULL;
    int status = cluster->fake(cluster, event->method, event->path, event->body, &response);
    cluster_reply(cluster, event->call, status, response ? response : "{}");
    free(response);
}

static void deliver_to_core(struct cluster *cluster, struct host *host, struct cluster_event *event)
{
    if (cluster->fake) {
        if (event->kind == CLUSTER_EVENT_REQUEST)
            fake_response(cluster, event);
        return;
    }
    struct http_request http = {.entry = event->entry,
                                .method = event->method,
                                .path = event->path,
                                .body = event->body,
                                .len = event->body ? (int64_t)strlen(event->body) : 0,
                                .header = http_header,
                                .arg = event->header};
    if (event->kind == CLUSTER_EVENT_TIMER)
        host->controller ? controller_on_timer(host->controller) : agent_on_timer(host->agent);
    else if (event->kind == CLUSTER_EVENT_FRAME && host->controller)
        controller_on_frame(host->controller, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == CLUSTER_EVENT_FRAME)
        agent_on_frame(host->agent, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == CLUSTER_EVENT_REQUEST)
        host->controller ? controller_request(host->controller, event->call, &http)
                         : agent_request(host->agent, event->call, &http);
    else if (event->kind == CLUSTER_EVENT_RESPONSE)
        cluster_call_end(cluster, event->call, event->status, event->body);
    else if (event->kind == CLUSTER_EVENT_TIMEOUT)
        cluster_call_end(cluster, event->call, 0, "");
    else if (event->kind == CLUSTER_EVENT_FLUSH) {
        host->flush_due = 0;
        host->controller ? controller_flush(host->controller) : agent_flush(host->agent);
    }
    if (host->flush_due || event->kind == CLUSTER_EVENT_FLUSH)
        return;
    /* As in production, flush once per round of the event loop, after all events that have arrived by now. */
    host->flush_due = 1;
    cluster_push(cluster, cluster_event_new(CLUSTER_EVENT_FLUSH, host), cluster->now_us);
}

/* Handles events that are not for a core. Returns 1 if the event was handled, and freed or queued again. */
static int deliver_outside_cores(struct cluster *cluster, struct cluster_event *event)
{
    struct host *host = event->to;
    if (event->kind == CLUSTER_EVENT_ACTION)
        event->action(cluster, event->arg, event->n);
    else if (event->kind == CLUSTER_EVENT_STANDIN && event->call) {
        if (host->standin->up && host->standin->generation == event->generation)
            standin_on_request(host->standin, event->call, event->path, event->header, event->body, (int)event->late);
    } else if (event->kind == CLUSTER_EVENT_STANDIN) {
        if (host->standin->up && host->standin->generation == event->generation) {
            standin_on_timer(host->standin);
            cluster_push(cluster, event, cluster->now_us + STANDIN_ON_TIMER_US);
            return 1;
        }
    } else if (!host && event->kind == CLUSTER_EVENT_RESPONSE)
        cluster_call_end(cluster, event->call, event->status, event->body);
    else if (!host)
        cluster_call_end(cluster, event->call, 0, "");
    else
        return 0;
    cluster_event_free(event);
    return 1;
}

void cluster_deliver(struct cluster *cluster, struct cluster_event *event)
{
    struct host *host = event->to;
    if (event->lost) {
        cluster_event_free(event);
        return;
    }
    if (event->read_after_us > cluster->now_us) {
        cluster_push(cluster, event, event->read_after_us);
        return;
    }
    if (deliver_outside_cores(cluster, event))
        return;
    if (!host->up || host->generation != event->generation) {
        if (event->kind == CLUSTER_EVENT_REQUEST) /* nothing listens there: the connection is refused */
            cluster_reply(cluster, event->call, 0, "");
        cluster_event_free(event);
        return;
    }
    if (host->frozen || host->busy_until_us > cluster->now_us) {
        cluster_push(cluster, event, later_of(host->frozen ? host->thaw_us : 0, host->busy_until_us));
        return;
    }
    host->stall_us = 0;
    deliver_to_core(cluster, host, event);
    if (event->reset_reply)
        link_reset(host, event->from);
    host->busy_until_us = cluster->now_us + host->stall_us;
    host->stall_us = 0;
    if (event->kind == CLUSTER_EVENT_TIMER && host->up)
        cluster_push(cluster, event, cluster->now_us + CLUSTER_ON_TIMER_US);
    else
        cluster_event_free(event);
}

/* --- clocks, events, disks -------------------------------------------------------------- */

static int64_t mono_ms(struct world *world)
{
    struct host *host = host_of(world);
    return (host->cluster->now_us + host->stall_us) / 1000 + 100000 + host->index * 7919;
}

static int64_t wall_ms(struct world *world)
{
    struct host *host = host_of(world);
    return cluster_wall_ms(host->cluster) + host->stall_us / 1000 + host->skew_ms;
}

static uint64_t random_u64(struct world *world) { return cluster_random(host_of(world)->cluster); }

static void note(struct world *world, int event, const char *text)
{
    struct host *host = host_of(world);
    const struct event_kind *kind = event_kind(event);
    if (kind)
        host->cluster->n_events[event]++;
    if (kind && (host->cluster->trace_level > 1 || kind->level > LEVEL_DEBUG))
        cluster_trace(host->cluster, 0, "%-8s %s: %s", host->name, kind->text, text);
}

struct cluster_disk *host_disk(struct world *world, int64_t *now_us);
void host_stall(struct world *world, int64_t by_us);

struct cluster_disk *host_disk(struct world *world, int64_t *now_us)
{
    *now_us = host_of(world)->cluster->now_us + host_of(world)->stall_us;
    return host_of(world)->disk;
}

void host_stall(struct world *world, int64_t by_us) { host_of(world)->stall_us += by_us; }

void cluster_calls_net(struct world_calls *calls)
{
    calls->mono_ms = mono_ms;
    calls->wall_ms = wall_ms;
    calls->random = random_u64;
    calls->send = net_send;
    calls->note = note;
    cluster_calls_http(calls);
}
