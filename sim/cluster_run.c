/* Start, run and end of a simulated cluster. */
#include <stdlib.h>
#include <string.h>

#include "sim/cluster.h"

enum { ZONES = 3 };

static void begin(struct cluster *cluster, uint64_t seed, const struct cluster_options *options)
{
    memset(cluster, 0, sizeof *cluster);
    cluster->machines_lost = options->machines_lost ? options->machines_lost : 1;
    cluster->zones_lost = options->zones_lost;
    cluster->zones = options->zones ? options->zones : ZONES;
    cluster->orders_by_heartbeat = options->orders_by_heartbeat;
    cluster->log = options->log;
    cluster->state = hash_mix(seed, 0xc1057e);
    cluster->fault_free = 1;
    cluster->last_controller_fault_us = cluster->last_fault_us = -1000LL * CONTACT_MS;
    cluster->trace_level = getenv("SAGEHITCH_TRACE") ? (int)text_to_int64(getenv("SAGEHITCH_TRACE")) : 0;
}

static void add_hosts(struct cluster *cluster, const struct cluster_options *options)
{
    for (int i = 0; i < options->disks; i++) {
        struct host *host = cluster_add(cluster, HOST_CONTROLLER, 1, i % (int)cluster->zones);
        if (cluster->n_seeds < 3)
            cluster->seeds[cluster->n_seeds++] = (int64_t)host->base.self;
    }
    for (int i = 0; i < options->diskless; i++)
        cluster_add(cluster, HOST_CONTROLLER, 0, i % (int)cluster->zones);
    for (int i = 0; i < options->agents; i++)
        cluster_add(cluster, HOST_AGENT, 0, i % (int)cluster->zones);
    cluster->disks = options->disks;
}

static void boot_hosts(struct cluster *cluster)
{
    for (int64_t i = 0; i < cluster->n; i++) {
        host_boot(cluster->hosts[i], 1);
        if (cluster->hosts[i]->standin)
            standin_boot(cluster->hosts[i]->standin);
    }
}

void cluster_start_with_options(struct cluster *cluster, uint64_t seed, const struct cluster_options *options)
{
    begin(cluster, seed, options);
    add_hosts(cluster, options);
    boot_hosts(cluster);
}

void cluster_start_with_disk_fault(struct cluster *cluster, uint64_t seed, const struct cluster_options *options,
                                   enum disk_fault fault, int64_t fault_ms)
{
    begin(cluster, seed, options);
    add_hosts(cluster, options);
    host_disk_fail(cluster->hosts[0], fault, fault_ms);
    boot_hosts(cluster);
}

void cluster_start(struct cluster *cluster, uint64_t seed, int disks, int diskless, int agents)
{
    cluster_start_with_options(cluster, seed,
                               &(struct cluster_options){.disks = disks, .diskless = diskless, .agents = agents});
}

void cluster_start_with_log(struct cluster *cluster, uint64_t seed, int disks, int diskless, int agents,
                            const struct cluster_log *log)
{
    cluster_start_with_options(
        cluster, seed, &(struct cluster_options){.disks = disks, .diskless = diskless, .agents = agents, .log = *log});
}

void cluster_start_tolerating(struct cluster *cluster, uint64_t seed, int machines_lost, int disks, int diskless,
                              int agents)
{
    cluster_start_with_options(
        cluster, seed,
        &(struct cluster_options){
            .disks = disks, .diskless = diskless, .agents = agents, .machines_lost = machines_lost});
}

void cluster_run(struct cluster *cluster, int64_t ms)
{
    int64_t until_us = cluster->now_us + ms * 1000;
    struct cluster_event *event;
    while ((event = (struct cluster_event *)event_queue_pop(&cluster->events, until_us))) {
        cluster->now_us = event->timed.at_us;
        cluster_deliver(cluster, event);
    }
    cluster->now_us = until_us;
}

static void free_event(struct timed_event *event) { cluster_event_free((struct cluster_event *)event); }

void cluster_free(struct cluster *cluster)
{
    for (int64_t i = 0; i < cluster->n; i++) /* a core may still respond to calls while it is freed */
        host_end(cluster->hosts[i]);
    event_queue_end(&cluster->events, free_event);
    for (int64_t i = 0; i < cluster->n; i++) {
        struct host *host = cluster->hosts[i];
        host_end(host);
        if (host->standin)
            standin_free(host->standin);
        cluster_disk_free(host->disk);
        cluster_disk_free(host->disk_copy);
        free(host);
    }
    free(cluster->calls);
    for (int64_t i = 0; i < cluster->n_jobs; i++)
        tracked_job_free(cluster->jobs[i]);
    free(cluster->jobs);
    operator_free(cluster);
    for (int64_t i = 0; i < cluster->n_trace; i++)
        free(cluster->trace[i].text);
    free(cluster->trace);
    for (int64_t i = 0; i < cluster->n_violations; i++)
        free(cluster->violations[i]);
    free(cluster->violations);
}
