/* Heartbeats of the stand-ins of executors, and the orders in the responses to them. */
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "sim/cluster.h"

enum {
    HEARTBEAT_WAIT_MS = 1000,       /* a later response is ignored */
    HEARTBEAT_INTERVAL_MS = 1500,   /* with orders by HTTP calls */
    HEARTBEAT_RETRY_MS = 1000,      /* with orders by HTTP calls, after a failed heartbeat */
    HEARTBEAT_ORDERS_RETRY_MS = 300 /* with orders in responses, after a failed heartbeat */
};

/* A response to a heartbeat, with orders that are not carried out yet. */
struct received_orders {
    struct standin *standin;
    int64_t generation, sent_us;
    char *orders;
};

static int64_t json_int(const json_t *body, const char *name)
{
    return json_integer_value(json_object_get(body, name));
}

/* --- orders in responses ------------------------------------------------------------- */

static void apply_orders(struct standin *standin, const json_t *orders, int late)
{
    size_t i;
    json_t *order;
    const char *why;
    if (json_int(orders, "epoch") < standin->fence_epoch || !json_object_get(orders, "epoch"))
        return;
    standin->fence_epoch = json_int(orders, "epoch");
    standin_acknowledge_ends(standin, json_int(orders, "seen"));
    if (json_int(orders, "hold"))
        standin_extend_lease(standin, standin_clock_ms(standin) + json_int(orders, "hold"));
    json_array_foreach(json_object_get(orders, "stops"), i, order) standin_order_stop(standin, order);
    json_array_foreach(json_object_get(orders, "starts"), i,
                       order) if (standin_clock_ms(standin) < standin->lease_until_ms)
        standin_order_start(standin, order, late, &why);
}

static void apply_received_orders(struct cluster *cluster, void *arg, int64_t late)
{
    struct received_orders *received = arg;
    struct standin *standin = received->standin;
    json_t *orders = json_loads(received->orders, 0, NULL);
    if (orders && standin->up && standin->generation == received->generation) {
        cluster->n_late_orders += late;
        apply_orders(standin, orders, (int)late);
        standin->next_heartbeat_us =
            cluster->now_us + (json_object_get(orders, "retry") ? json_int(orders, "retry") : 50) * 1000;
    }
    json_decref(orders);
    free(received->orders);
    free(received);
}

/* Carries out the orders at once or, while the executor is late, at a random time within HEARTBEAT_WAIT_MS after the
 * heartbeat was sent. */
static void receive_orders(struct cluster *cluster, struct standin *standin, int64_t sent_us, const char *body)
{
    struct received_orders *received = must_alloc(sizeof *received);
    int64_t left_us = sent_us + HEARTBEAT_WAIT_MS * 1000LL - cluster->now_us;
    int64_t late = cluster->now_us < standin->late_until_us && cluster_pick(cluster, 2) == 0;
    *received = (struct received_orders){
        .standin = standin, .generation = standin->generation, .sent_us = sent_us, .orders = must_dup(body)};
    if (late)
        cluster_schedule(cluster, cluster_pick(cluster, left_us) / 1000, apply_received_orders, received, 1);
    else
        apply_received_orders(cluster, received, 0);
}

/* --- heartbeats ---------------------------------------------------------------------- */

static void on_drain_acknowledged(struct cluster *cluster, struct standin *standin)
{
    standin->drain_ack_us = cluster->now_us;
    standin->leaves_us = cluster->now_us + (DRAIN_MS + 500 + cluster_pick(cluster, 2000)) * 1000;
    cluster_trace(cluster, 0, "the draining of %s is acknowledged", standin->name);
}

static void on_heartbeat_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    struct standin *standin = arg;
    if (tag / 2 != standin->generation || !standin->up)
        return;
    if (status != 200) {
        standin->next_heartbeat_us =
            cluster->now_us + (cluster->orders_by_heartbeat ? HEARTBEAT_ORDERS_RETRY_MS : HEARTBEAT_RETRY_MS) * 1000LL;
        return;
    }
    if (tag % 2 && standin->drain_ack_us < 0)
        on_drain_acknowledged(cluster, standin);
    if (cluster->orders_by_heartbeat)
        receive_orders(cluster, standin, standin->heartbeat_sent_us, body);
}

void standin_heartbeat(struct standin *standin)
{
    struct cluster *cluster = standin->host->cluster;
    int64_t left = standin->draining && standin->leaves_us ? (standin->leaves_us - cluster->now_us) / 1000 : 0;
    json_t *heartbeat = cluster->orders_by_heartbeat ? standin_report(standin) : json_object();
    json_t *state = json_pack("{s:s,s:I,s:s,s:s,s:s,s:[s,s],s:I,s:I,s:I,s:i,s:I,s:i}", "life", standin->incarnation,
                              "seq", (json_int_t)++standin->heartbeat_seq, "service", standin->service, "zone",
                              standin->host->zone, "rack", standin->host->rack, "labels", standin->label, standin->rack,
                              "cpuMilli", (json_int_t)standin->cpu_milli, "memoryMb", (json_int_t)standin->memory_mb,
                              "gpus", (json_int_t)standin->gpus, "draining", standin->draining ? 1 : 0, "departureMs",
                              (json_int_t)(left > 0 ? left : 0), "warmupMs", 0);
    json_object_update(heartbeat, state);
    char *body = json_dumps(heartbeat, JSON_COMPACT);
    standin->heartbeat_sent_us = cluster->now_us;
    standin->next_heartbeat_us = cluster->now_us + HEARTBEAT_INTERVAL_MS * 1000LL;
    cluster_request(cluster,
                    &(struct cluster_http_request){.to = standin->host,
                                                   .from = standin,
                                                   .entry = ENTRY_OPERATORS,
                                                   .method = "PUT",
                                                   .path = "/beat",
                                                   .body = body,
                                                   .wait_ms = HEARTBEAT_WAIT_MS,
                                                   .on_response = on_heartbeat_response,
                                                   .arg = standin,
                                                   .tag = standin->generation * 2 + (standin->draining ? 1 : 0)});
    free(body);
    json_decref(state);
    json_decref(heartbeat);
}

static void ignore_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    (void)cluster, (void)arg, (void)tag, (void)status, (void)body;
}

static void announce_end(struct standin *standin)
{
    struct cluster *cluster = standin->host->cluster;
    char *body =
        must_printf("{\"life\":\"%s\",\"seq\":%lld}", standin->incarnation, (long long)++standin->heartbeat_seq);
    cluster_request(cluster, &(struct cluster_http_request){.to = standin->host,
                                                            .from = standin,
                                                            .entry = ENTRY_OPERATORS,
                                                            .method = "DELETE",
                                                            .path = "/beat",
                                                            .body = body,
                                                            .wait_ms = HEARTBEAT_WAIT_MS,
                                                            .on_response = ignore_response,
                                                            .arg = standin});
    free(body);
    cluster_trace(cluster, 0, "executor %s leaves", standin->name);
}

void standin_leave(struct standin *standin)
{
    announce_end(standin);
    standin_shut_down(standin, standin->return_after_ms);
}

void standin_leave_serving(struct standin *standin, int64_t serve_ms, int64_t back_ms)
{
    if (!standin->up || standin->draining || standin->serves_until_us)
        return;
    announce_end(standin);
    standin->serves_until_us = standin->host->cluster->now_us + serve_ms * 1000;
    standin->return_after_ms = back_ms;
}
