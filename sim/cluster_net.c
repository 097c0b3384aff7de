/* Events and frames of a simulated cluster under its virtual clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "base/events.h"
#include "base/frame.h"
#include "controller/controller.h"
#include "sim/cluster.h"

static struct host *host_of(struct world *w) { return (struct host *)w; }
static int64_t later(int64_t a, int64_t b) { return a > b ? a : b; }

void cluster_push(struct cluster *c, struct cluster_event *event, int64_t at_us)
{
    event_queue_push(&c->events, &event->due, later(at_us, c->now_us));
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

void cluster_at(struct cluster *c, int64_t in_ms, cluster_action *action, void *arg, int64_t n)
{
    struct cluster_event *event = cluster_event_new(CEV_ACTION, NULL);
    event->action = action;
    event->arg = arg;
    event->n = n;
    cluster_push(c, event, c->now_us + in_ms * 1000);
}

enum { FRAME_KIND_AT = 3 }; /* where a frame's head has its kind */

/* --- frames ----------------------------------------------------------------------- */

int64_t cluster_arrival(struct cluster *c, const struct host *from, const struct host *to)
{
    int64_t at_us = c->now_us + (from ? from->stall_us : 0) + 100 + cluster_pick(c, 300);
    if (from && to && strcmp(from->zone, to->zone))
        at_us += 900;
    if (!from)
        at_us += 3000; /* from outside */
    return at_us + (from != to ? c->slow_link_ms * 1000 : 0);
}

static void net_send(struct world *w, uint64_t addr, struct blob *frame, int lossy)
{
    struct host *from = host_of(w), *to = NULL;
    struct cluster *c = from->cluster;
    for (int64_t i = 0; i < c->n; i++)
        if (c->hosts[i]->base.self == addr)
            to = c->hosts[i];
    if (!to || c->cut[from->index][to->index] || (lossy && cluster_pick(c, 100) < c->loss_pct) ||
        (c->reset_pct && cluster_pick(c, 100) < c->reset_pct))
        return;
    struct cluster_event *event = cluster_event_new(CEV_FRAME, to);
    if (!lossy && link_loses(from, to, frame->bytes.at[FRAME_KIND_AT], event)) {
        cluster_event_free(event);
        return;
    }
    event->frame = blob_hold(frame);
    int64_t late_us = c->late_ms ? cluster_pick(c, c->late_ms * 1000) : 0;
    int64_t at_us = cluster_arrival(c, from, to) + link_through(from, to, frame->bytes.len) + late_us;
    int64_t *last_us = &c->links.last_us[from->index][to->index];
    if (!lossy) {
        event->from = from;
        at_us = *last_us = later(later(at_us, *last_us + 1), c->links.stalled_us[from->index][to->index]);
    }
    cluster_push(c, event, at_us);
}

/* --- delivery --------------------------------------------------------------------- */

const char *header_find(const char *lines, const char *name)
{
    static char value[200];
    size_t len = strlen(name);
    for (const char *at = lines; at && *at; at = strchr(at, '\n') ? strchr(at, '\n') + 1 : NULL)
        if (!strncasecmp(at, name, len) && at[len] == ':') {
            snprintf(value, sizeof value, "%.*s", (int)strcspn(at + len + 2, "\n"), at + len + 2);
            return value;
        }
    return NULL;
}

static const char *web_header(const struct http_request *request, const char *name)
{
    return header_find(request->arg, name);
}

/* Answers in place of the cores, as a test wants. */
static void fake_answer(struct cluster *c, const struct cluster_event *event)
{
    char *answer = NULL;
    int status = c->fake(c, event->method, event->path, event->body, &answer);
    cluster_reply(c, event->call, status, answer ? answer : "{}");
    free(answer);
}

static void to_host(struct cluster *c, struct host *h, struct cluster_event *event)
{
    if (c->fake) {
        if (event->kind == CEV_REQUEST)
            fake_answer(c, event);
        return;
    }
    struct http_request web = {.entry = event->entry,
                               .method = event->method,
                               .path = event->path,
                               .body = event->body,
                               .len = event->body ? (int64_t)strlen(event->body) : 0,
                               .header = web_header,
                               .arg = event->header};
    if (event->kind == CEV_ON_TIMER)
        h->controller ? controller_on_timer(h->controller) : agent_on_timer(h->agent);
    else if (event->kind == CEV_FRAME && h->controller)
        controller_on_frame(h->controller, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == CEV_FRAME)
        agent_on_frame(h->agent, event->frame->bytes.at, event->frame->bytes.len);
    else if (event->kind == CEV_REQUEST)
        h->controller ? controller_request(h->controller, event->call, &web)
                      : agent_request(h->agent, event->call, &web);
    else if (event->kind == CEV_ANSWER)
        cluster_call_end(c, event->call, event->status, event->body);
    else if (event->kind == CEV_TIMEOUT)
        cluster_call_end(c, event->call, 0, "");
    else if (event->kind == CEV_FLUSH) {
        h->flush_due = 0;
        h->controller ? controller_flush(h->controller) : agent_flush(h->agent);
    }
    if (h->flush_due || event->kind == CEV_FLUSH)
        return;
    /* as in the processes: once a round of the loop, behind all that has arrived by now */
    h->flush_due = 1;
    cluster_push(c, cluster_event_new(CEV_FLUSH, h), c->now_us);
}

/* Events that are not a core's; 1: done with. */
static int outside(struct cluster *c, struct cluster_event *event)
{
    struct host *h = event->to;
    if (event->kind == CEV_ACTION)
        event->action(c, event->arg, event->n);
    else if (event->kind == CEV_STANDIN && event->call) {
        if (h->standin->up && h->standin->generation == event->generation)
            standin_take(h->standin, event->call, event->path, event->header, event->body, (int)event->late);
    } else if (event->kind == CEV_STANDIN) {
        if (h->standin->up && h->standin->generation == event->generation) {
            standin_on_timer(h->standin);
            cluster_push(c, event, c->now_us + STANDIN_ON_TIMER_US);
            return 1;
        }
    } else if (!h && event->kind == CEV_ANSWER)
        cluster_call_end(c, event->call, event->status, event->body);
    else if (!h)
        cluster_call_end(c, event->call, 0, "");
    else
        return 0;
    cluster_event_free(event);
    return 1;
}

void cluster_deliver(struct cluster *c, struct cluster_event *event)
{
    struct host *h = event->to;
    if (event->lost) {
        cluster_event_free(event);
        return;
    }
    if (event->read_us > c->now_us) {
        cluster_push(c, event, event->read_us);
        return;
    }
    if (outside(c, event))
        return;
    if (!h->up || h->generation != event->generation) {
        if (event->kind == CEV_REQUEST) /* a dead port resets */
            cluster_reply(c, event->call, 0, "");
        cluster_event_free(event);
        return;
    }
    if (h->frozen || h->busy_until_us > c->now_us) {
        cluster_push(c, event, later(h->frozen ? h->thaw_us : 0, h->busy_until_us));
        return;
    }
    h->stall_us = 0;
    to_host(c, h, event);
    if (event->resets)
        link_reset(h, event->from);
    h->busy_until_us = c->now_us + h->stall_us;
    h->stall_us = 0;
    if (event->kind == CEV_ON_TIMER && h->up)
        cluster_push(c, event, c->now_us + CLUSTER_ON_TIMER_US);
    else
        cluster_event_free(event);
}

/* --- clocks, notes, what the disks need --------------------------------------------- */

static int64_t mono_ms(struct world *w)
{
    struct host *h = host_of(w);
    return (h->cluster->now_us + h->stall_us) / 1000 + 100000 + h->index * 7919;
}

static int64_t wall_ms(struct world *w)
{
    struct host *h = host_of(w);
    return cluster_wall_ms(h->cluster) + h->stall_us / 1000 + h->skew_ms;
}

static uint64_t random_u64(struct world *w) { return cluster_random(host_of(w)->cluster); }

static void note(struct world *w, int event, const char *text)
{
    struct host *h = host_of(w);
    const struct event_kind *kind = event_kind(event);
    if (kind)
        h->cluster->n_events[event]++;
    if (kind && (h->cluster->trace > 1 || kind->level > LEVEL_DEBUG))
        cluster_tell(h->cluster, 0, "%-8s %s: %s", h->name, kind->text, text);
}

struct cluster_disk *host_disk(struct world *w, int64_t *now_us);
void host_stall(struct world *w, int64_t by_us);

struct cluster_disk *host_disk(struct world *w, int64_t *now_us)
{
    *now_us = host_of(w)->cluster->now_us + host_of(w)->stall_us;
    return host_of(w)->disk;
}

void host_stall(struct world *w, int64_t by_us) { host_of(w)->stall_us += by_us; }

void cluster_calls_net(struct world_calls *calls)
{
    calls->mono_ms = mono_ms;
    calls->wall_ms = wall_ms;
    calls->random = random_u64;
    calls->send = net_send;
    calls->note = note;
    cluster_calls_http(calls);
}
