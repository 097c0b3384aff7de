/* Operators of a simulated cluster: they read the configuration back, and check it against what was acknowledged. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/codec.h"
#include "sim/cluster.h"

/* Whether this version, sent with this body by one or more operators, can be in force. It cannot if each request was
 * refused, nor if any was refused after its base had been in force, since a former version never comes back. */
static int may_be_in_force(const struct cluster *cluster, int64_t version, const char *body)
{
    int64_t n_sends = 0, refusals = 0;
    for (int64_t i = 0; i < cluster->n_changes; i++) {
        const struct op_change *change = &cluster->changes[i];
        if (change->version != version || strcmp(change->body, body))
            continue;
        if (!change->valid || (change->refusals && change->base_in_force))
            return 0;
        n_sends += change->n_sends;
        refusals += change->refusals;
    }
    return n_sends > refusals;
}

/* Checks a reading against the versions that were acknowledged or read before its request was sent. */
static void on_read_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    int64_t *version_read = arg;
    cluster_oracle_check_response(cluster, 0, status, body, "version");
    if (status != 200)
        return;
    json_t *json = json_loads(body, 0, NULL);
    int64_t version = json_integer_value(json_object_get(json, "version"));
    json_decref(json);
    struct config_call *call = &cluster->config_calls[tag];
    call->ended_us = cluster->now_us;
    call->outcome = CONFIG_TAKEN;
    call->version = version;
    call->body = must_dup(body);
    cluster->n_checks++;
    if (version_read)
        *version_read = version;
    if (version > cluster->read_version)
        cluster->read_version = version;
    if (version < call->min_version)
        cluster_violation(cluster, 0, "CONFIG: version %lld is read back, %lld was in force before", (long long)version,
                          (long long)call->min_version);
    if (!operator_find_change(cluster, version, body))
        cluster_violation(cluster, 0, "CONFIG: version %lld is read back differently than it was sent",
                          (long long)version);
    else if (!may_be_in_force(cluster, version, body))
        cluster_violation(cluster, 0, "CONFIG: version %lld was refused and is in force", (long long)version);
}

static void send_read(struct cluster *cluster, struct host *from, int64_t wait_ms, int64_t *version_read)
{
    int64_t call = operator_new_call(cluster, -1);
    cluster->config_calls[call].min_version =
        cluster->acked_version > cluster->read_version ? cluster->acked_version : cluster->read_version;
    cluster_request(cluster, &(struct cluster_http_request){.to = from,
                                                            .entry = ENTRY_OPERATORS,
                                                            .method = "GET",
                                                            .path = "/config",
                                                            .wait_ms = wait_ms,
                                                            .on_response = on_read_response,
                                                            .arg = version_read,
                                                            .tag = call});
}

void operator_read(struct cluster *cluster) { operator_read_from(cluster, cluster_any_controller(cluster)); }
void operator_read_from(struct cluster *cluster, struct host *from) { send_read(cluster, from, 2000, NULL); }

/* Checks that a queue exists if the version in force (tag / 2) adds it (tag % 2), and does not exist otherwise. */
static void on_probe_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body)
{
    (void)arg, (void)body;
    const struct op_change *change = operator_find_change(cluster, tag / 2, NULL);
    if (cluster->acked_version != tag / 2 || !change)
        return;
    for (int64_t i = 0; i < cluster->n_changes; i++)
        if (cluster->changes[i].version > change->version && cluster->changes[i].valid)
            return; /* a change without a result yet may be in force */
    if ((status == 404) != !(tag % 2) && (status == 404 || status == 200))
        cluster_violation(cluster, 0, "CONFIG: a queue that version %lld %s gets the response %d",
                          (long long)change->version, tag % 2 ? "has" : "has not", status);
}

static void probe_extra_queues(struct cluster *cluster, int64_t version)
{
    for (int64_t i = 0; i < cluster->n_changes; i++) {
        if (!cluster->changes[i].extra_queue)
            continue;
        char *path = must_printf("/extra%lld/", (long long)cluster->changes[i].extra_queue);
        cluster_request(cluster,
                        &(struct cluster_http_request){.to = cluster_any_controller(cluster),
                                                       .entry = ENTRY_CALLERS,
                                                       .method = "GET",
                                                       .path = path,
                                                       .header = "Host: jobs.example\n",
                                                       .wait_ms = 2000,
                                                       .on_response = on_probe_response,
                                                       .tag = version * 2 + (cluster->changes[i].version == version)});
        free(path);
    }
}

void operator_check_final(struct cluster *cluster)
{
    int64_t version_read = 0;
    if (!cluster->acked_version)
        return;
    for (int i = 0; i < 15 && !version_read; i++) {
        send_read(cluster, cluster_any_controller(cluster), 900, &version_read);
        cluster_run(cluster, 1000);
    }
    if (!version_read)
        cluster_violation(cluster, 0, "CONFIG: no controller responds with the configuration");
    if (version_read == cluster->acked_version)
        probe_extra_queues(cluster, version_read);
    cluster_run(cluster, 2500);
}

const char *operator_body(const struct cluster *cluster, int64_t n) { return cluster->changes[n].body; }
