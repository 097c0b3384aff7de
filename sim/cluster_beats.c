/* Heartbeats of the stand-ins of executors, and the orders that come in the answers to them. */
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "sim/cluster.h"

enum {
    BEAT_WAIT_MS = 1000,        /* an answer that comes later is not taken */
    BEAT_EVERY_MS = 1500,       /* of an executor that is called */
    BEAT_RETRY_MS = 1000,       /* of that one, after a beat without an answer */
    BEAT_AFTER_FAILURE_MS = 300 /* of one that takes its orders in the answers, after a beat without one */
};

/* A heartbeat under way, of an executor that takes its orders in the answer. */
struct beat_sent {
    struct standin *standin;
    int64_t generation, sent_us;
    char *orders;
};

static int64_t number(const json_t *body, const char *name) { return json_integer_value(json_object_get(body, name)); }

/* --- orders in answers --------------------------------------------------------------- */

static void carry_out(struct standin *s, const json_t *orders, int late)
{
    size_t i;
    json_t *order;
    const char *why;
    if (number(orders, "epoch") < s->fence || !json_object_get(orders, "epoch"))
        return;
    s->fence = number(orders, "epoch");
    standin_seen(s, number(orders, "seen"));
    if (number(orders, "hold"))
        standin_hold(s, standin_clock_ms(s) + number(orders, "hold"));
    json_array_foreach(json_object_get(orders, "stops"), i, order) standin_order_stop(s, order);
    json_array_foreach(json_object_get(orders, "starts"), i, order) if (standin_clock_ms(s) < s->until_ms)
        standin_order_start(s, order, late, &why);
}

static void take_orders(struct cluster *c, void *arg, int64_t late)
{
    struct beat_sent *sent = arg;
    struct standin *s = sent->standin;
    json_t *orders = json_loads(sent->orders, 0, NULL);
    if (orders && s->up && s->generation == sent->generation) {
        c->n_late_orders += late;
        carry_out(s, orders, (int)late);
        s->beat_due_us = c->now_us + (json_object_get(orders, "retry") ? number(orders, "retry") : 50) * 1000;
    }
    json_decref(orders);
    free(sent->orders);
    free(sent);
}

/* An answer is taken within BEAT_WAIT_MS after its heartbeat, at any time if the executor is late. */
static void take_answer(struct cluster *c, struct standin *s, int64_t sent_us, const char *body)
{
    struct beat_sent *sent = must_alloc(sizeof *sent);
    int64_t left_us = sent_us + BEAT_WAIT_MS * 1000LL - c->now_us;
    int64_t late = c->now_us < s->late_us && cluster_pick(c, 2) == 0;
    *sent = (struct beat_sent){.standin = s, .generation = s->generation, .sent_us = sent_us, .orders = must_dup(body)};
    if (late)
        cluster_at(c, cluster_pick(c, left_us) / 1000, take_orders, sent, 1);
    else
        take_orders(c, sent, 0);
}

/* --- heartbeats ---------------------------------------------------------------------- */

static void drain_acknowledged(struct cluster *c, struct standin *s)
{
    s->drain_ack_us = c->now_us;
    s->leaves_us = c->now_us + (DRAIN_MS + 500 + cluster_pick(c, 2000)) * 1000;
    cluster_tell(c, 0, "draining of %s is acknowledged", s->incarnation);
}

static void beat_answered(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    struct standin *s = arg;
    if (tag / 2 != s->generation || !s->up)
        return;
    if (status != 200) {
        s->beat_due_us = c->now_us + (c->orders_by_heartbeat ? BEAT_AFTER_FAILURE_MS : BEAT_RETRY_MS) * 1000LL;
        return;
    }
    if (tag % 2 && s->drain_ack_us < 0)
        drain_acknowledged(c, s);
    if (c->orders_by_heartbeat)
        take_answer(c, s, s->beat_sent_us, body);
}

void standin_beat(struct standin *s)
{
    struct cluster *c = s->host->cluster;
    int64_t left = s->draining && s->leaves_us ? (s->leaves_us - c->now_us) / 1000 : 0;
    json_t *beat = c->orders_by_heartbeat ? standin_lists(s) : json_object();
    json_t *state = json_pack("{s:s,s:I,s:s,s:s,s:s,s:[s,s],s:I,s:I,s:I,s:i,s:I,s:i}", "life", s->incarnation, "seq",
                              (json_int_t)++s->beat_seq, "service", s->service, "zone", s->host->zone, "rack",
                              s->host->rack, "labels", s->label, s->rack, "cpuMilli", (json_int_t)s->cpu_milli,
                              "memoryMb", (json_int_t)s->memory_mb, "gpus", (json_int_t)s->gpus, "draining",
                              s->draining ? 1 : 0, "departureMs", (json_int_t)(left > 0 ? left : 0), "warmupMs", 0);
    json_object_update(beat, state);
    char *body = json_dumps(beat, JSON_COMPACT);
    s->beat_sent_us = c->now_us;
    s->beat_due_us = c->now_us + BEAT_EVERY_MS * 1000LL;
    cluster_request(c, &(struct cluster_http_request){.to = s->host,
                                                      .from = s,
                                                      .entry = ENTRY_OPERATORS,
                                                      .method = "PUT",
                                                      .path = "/beat",
                                                      .body = body,
                                                      .wait_ms = BEAT_WAIT_MS,
                                                      .answer = beat_answered,
                                                      .arg = s,
                                                      .tag = s->generation * 2 + (s->draining ? 1 : 0)});
    free(body);
    json_decref(state);
    json_decref(beat);
}

static void left_answered(struct cluster *c, void *arg, int64_t tag, int status, const char *body)
{
    (void)c, (void)arg, (void)tag, (void)status, (void)body;
}

void standin_leave(struct standin *s)
{
    struct cluster *c = s->host->cluster;
    char *body = must_printf("{\"life\":\"%s\",\"seq\":%lld}", s->incarnation, (long long)++s->beat_seq);
    cluster_request(c, &(struct cluster_http_request){.to = s->host,
                                                      .from = s,
                                                      .entry = ENTRY_OPERATORS,
                                                      .method = "DELETE",
                                                      .path = "/beat",
                                                      .body = body,
                                                      .wait_ms = BEAT_WAIT_MS,
                                                      .answer = left_answered,
                                                      .arg = s});
    free(body);
    cluster_tell(c, 0, "executor %s leaves", s->incarnation);
    standin_go(s, s->return_us);
}
