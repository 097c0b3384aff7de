/* A simulated cluster from its start to its end. */
#include <stdlib.h>
#include <string.h>

#include "sim/cluster.h"

static void begin(struct cluster *c, uint64_t seed, const struct cluster_options *options)
{
    memset(c, 0, sizeof *c);
    c->machines_lost = options->machines_lost ? options->machines_lost : 1;
    c->orders_by_heartbeat = options->orders_by_heartbeat;
    c->log = options->log;
    c->state = hash_mix(seed, 0xc1057e);
    c->calm = 1;
    c->core_trouble_us = c->trouble_us = -1000LL * CONTACT_MS;
    c->trace = getenv("SAGEHITCH_TRACE") ? (int)text_to_int64(getenv("SAGEHITCH_TRACE")) : 0;
}

static void add_hosts(struct cluster *c, int disks, int diskless, int agents)
{
    for (int i = 0; i < disks; i++) {
        struct host *h = cluster_add(c, HOST_CONTROLLER, 1, i % 3);
        if (c->n_seeds < 3)
            c->seeds[c->n_seeds++] = (int64_t)h->base.self;
    }
    for (int i = 0; i < diskless; i++)
        cluster_add(c, HOST_CONTROLLER, 0, i % 3);
    for (int i = 0; i < agents; i++)
        cluster_add(c, HOST_AGENT, 0, i % 3);
    c->disks = disks;
    for (int64_t i = 0; i < c->n; i++) {
        host_boot(c->hosts[i], 1);
        if (c->hosts[i]->standin)
            standin_boot(c->hosts[i]->standin);
    }
}

void cluster_start_as(struct cluster *c, uint64_t seed, const struct cluster_options *options)
{
    begin(c, seed, options);
    add_hosts(c, options->disks, options->diskless, options->agents);
}

void cluster_start(struct cluster *c, uint64_t seed, int disks, int diskless, int agents)
{
    cluster_start_as(c, seed, &(struct cluster_options){.disks = disks, .diskless = diskless, .agents = agents});
}

void cluster_start_with(struct cluster *c, uint64_t seed, int disks, int diskless, int agents,
                        const struct cluster_log *log)
{
    cluster_start_as(c, seed,
                     &(struct cluster_options){.disks = disks, .diskless = diskless, .agents = agents, .log = *log});
}

void cluster_start_bearing(struct cluster *c, uint64_t seed, int machines_lost, int disks, int diskless, int agents)
{
    cluster_start_as(c, seed,
                     &(struct cluster_options){
                         .disks = disks, .diskless = diskless, .agents = agents, .machines_lost = machines_lost});
}

void cluster_run(struct cluster *c, int64_t ms)
{
    int64_t until_us = c->now_us + ms * 1000;
    struct cluster_event *event;
    while ((event = (struct cluster_event *)event_queue_pop(&c->events, until_us))) {
        c->now_us = event->due.at_us;
        cluster_deliver(c, event);
    }
    c->now_us = until_us;
}

static void free_event(struct timed_event *event) { cluster_event_free((struct cluster_event *)event); }

void cluster_end(struct cluster *c)
{
    for (int64_t i = 0; i < c->n; i++) /* first: whoever ends may still answer */
        host_end(c->hosts[i]);
    event_queue_end(&c->events, free_event);
    for (int64_t i = 0; i < c->n; i++) {
        struct host *h = c->hosts[i];
        host_end(h);
        if (h->standin)
            standin_free(h->standin);
        cluster_disk_free(h->disk);
        cluster_disk_free(h->disk_copy);
        free(h);
    }
    free(c->calls);
    for (int64_t i = 0; i < c->n_jobs; i++)
        board_free(c->jobs[i]);
    free(c->jobs);
    operator_free(c);
    for (int64_t i = 0; i < c->n_story; i++)
        free(c->story[i].text);
    free(c->story);
    for (int64_t i = 0; i < c->n_breaches; i++)
        free(c->breaches[i]);
    free(c->breaches);
}
