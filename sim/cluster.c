/* Hosts of a simulated cluster: start, stop, crash, freeze and replacement; the trace of a run. */
#include "sim/cluster.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "controller/controller.h"

uint64_t cluster_random(struct cluster *cluster)
{
    cluster->state += 0x9e3779b97f4a7c15ull;
    return hash_mix(cluster->state, 0x2545f4914f6cdd1dull);
}

int64_t cluster_pick(struct cluster *cluster, int64_t n)
{
    return n > 0 ? (int64_t)(cluster_random(cluster) % (uint64_t)n) : 0;
}
int64_t cluster_wall_ms(const struct cluster *cluster) { return CLUSTER_WALL_MS + cluster->now_us / 1000; }

/* --- trace -------------------------------------------------------------------- */

void cluster_trace(struct cluster *cluster, int64_t job, const char *format, ...)
{
    char text[400];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    struct trace_line *line = array_add(cluster->trace, cluster->n_trace);
    line->at_us = cluster->now_us;
    line->job = job;
    line->text = must_dup(text);
    if (cluster->trace_level)
        fprintf(stderr, "%10.3f %s%s\n", (double)cluster->now_us / 1e6, job ? "  " : "", text);
}

/* The violations, then the trace lines of the cluster and of the job of the first violation. */
char *cluster_trace_text(const struct cluster *cluster)
{
    struct bytes to = {0};
    bytes_printf(&to, "%lld breaches\n", (long long)cluster->n_violations);
    for (int64_t i = 0; i < cluster->n_violations && i < 20; i++)
        bytes_printf(&to, "  %s\n", cluster->violations[i]);
    for (int64_t i = 0; i < cluster->n_trace; i++)
        if (!cluster->trace[i].job || cluster->trace[i].job == cluster->violation_job)
            bytes_printf(&to, "%10.3f %s%s\n", (double)cluster->trace[i].at_us / 1e6, cluster->trace[i].job ? "  " : "",
                         cluster->trace[i].text);
    return (char *)to.at;
}

/* --- hosts -------------------------------------------------------------------- */

struct host *cluster_add(struct cluster *cluster, enum host_kind kind, int with_disk, int zone)
{
    static struct world_calls calls;
    struct host *host = must_alloc(sizeof *host);
    cluster_calls_net(&calls);
    cluster_calls_disk(&calls);
    host->cluster = cluster;
    host->kind = kind;
    host->index = cluster->n;
    host->with_disk = with_disk;
    host->last_fault_us = -CONTACT_MS * 1000LL;
    host->base.calls = &calls;
    host->base.self = (10ull << 40 | (uint64_t)zone << 32 | (uint64_t)(cluster->n + 1) << 24 | 1ull << 16) | 7000;
    host->base.http_addr = host->base.self + 1000;
    int64_t number = kind == HOST_CONTROLLER ? ++cluster->controllers : ++cluster->agents;
    snprintf(host->name, sizeof host->name, "%s%d", kind == HOST_CONTROLLER ? with_disk ? "core" : "outer" : "agent",
             (int)number);
    snprintf(host->zone, sizeof host->zone, "z%d", zone);
    snprintf(host->rack, sizeof host->rack, "z%d-%d", zone, (int)(number / 6) % 3);
    if (with_disk)
        host->disk = cluster_disk_new(cluster_random(cluster));
    if (kind == HOST_AGENT)
        host->standin = standin_new(host, number - 1);
    cluster->hosts[cluster->n++] = host;
    return host;
}

static const struct dispatch_settings dispatch_settings = {.lease_ms = LEASE_MS,
                                                           .gang_timeout_ms = GANG_TIMEOUT_MS,
                                                           .early_ms = EARLY_MS,
                                                           .job_retention_ms = 120000,
                                                           .remote_data_pct = 150,
                                                           .restore_ms = RESTORE_MS};

/* The random part depends on host and generation only, so that a start draws nothing from the scenario's sequence. */
static int64_t boot_now(struct host *host)
{
    return boot_of(host->base.calls->wall_ms(&host->base),
                   hash_mix((uint64_t)host->base.self, (uint64_t)host->generation));
}

static void boot_controller(struct host *host, int first_start)
{
    struct cluster *cluster = host->cluster;
    struct controller_setup setup = {.cluster = "sim",
                                     .zone = host->zone,
                                     .seeds = cluster->seeds,
                                     .n_seeds = cluster->n_seeds,
                                     .disk = host->with_disk,
                                     .first_start = first_start,
                                     .machines_lost = cluster->machines_lost,
                                     .zones_lost = cluster->zones_lost,
                                     .boot = boot_now(host),
                                     .grace_ms = 6000,
                                     .dispatch = dispatch_settings,
                                     .log = {.snapshot_every = cluster->log.snapshot_every,
                                             .keep_entries = cluster->log.keep_entries,
                                             .segment_bytes = cluster->log.segment_bytes},
                                     .codec = &cluster_api_codec};
    host->controller = controller_new(&host->base, &setup);
}

static void boot_agent(struct host *host)
{
    struct cluster *cluster = host->cluster;
    struct agent_setup setup = {.cluster = "sim",
                                .zone = host->zone,
                                .seeds = cluster->seeds,
                                .n_seeds = cluster->n_seeds,
                                .boot = boot_now(host),
                                .executor = (int64_t)host->base.self + 2000,
                                .hold_max_ms = HOLD_MAX_MS,
                                .stop_timeout_ms = STOP_TIMEOUT_MS,
                                .grace_ms = 6000,
                                .orders_by_heartbeat = cluster->orders_by_heartbeat,
                                .codec = &cluster_api_codec,
                                .executor_codec = &cluster_executor_codec};
    host->agent = agent_new(&host->base, &setup);
}

void host_note_fault(struct host *host)
{
    struct cluster *cluster = host->cluster;
    host->last_fault_us = cluster->last_fault_us = cluster->now_us;
    if (host->kind == HOST_CONTROLLER)
        cluster->last_controller_fault_us = cluster->now_us;
}

void cluster_note_controller_fault(struct cluster *cluster)
{
    cluster->last_controller_fault_us = cluster->last_fault_us = cluster->now_us;
}

void host_boot(struct host *host, int first_start)
{
    struct cluster *cluster = host->cluster;
    if (host->removed || host->up)
        return;
    host->generation++;
    host->booted_us = cluster->now_us;
    host->up = 1;
    host->frozen = host->leaving = host->thaw_us = 0;
    host->busy_until_us = host->stall_us = host->flush_due = 0;
    if (host->ever_up) {
        cluster_trace(cluster, 0, "%s starts", host->name);
        host_note_fault(host);
    }
    host->ever_up = 1;
    if (host->kind == HOST_CONTROLLER)
        boot_controller(host, first_start);
    else
        boot_agent(host);
    host->busy_until_us = cluster->now_us + host->stall_us;
    host->stall_us = 0;
    struct cluster_event *timer = must_alloc(sizeof *timer);
    timer->kind = CLUSTER_EVENT_TIMER;
    timer->to = host;
    timer->generation = host->generation;
    cluster_push(cluster, timer, cluster->now_us + cluster_pick(cluster, CLUSTER_ON_TIMER_US));
}

void host_end(struct host *host)
{
    if (host->controller)
        controller_free(host->controller);
    if (host->agent)
        agent_free(host->agent);
    host->controller = NULL;
    host->agent = NULL;
}

void host_kill(struct host *host, int power)
{
    if (host->up) {
        cluster_trace(host->cluster, 0, "%s is killed%s", host->name, power ? " by a power loss" : "");
        host->up = 0;
        host->generation++;
        host_end(host);
    }
    host_note_fault(host);
    if (power && host->disk)
        cluster_disk_power_loss(host->disk);
}

void host_restart(struct host *host)
{
    if (host->up)
        host_kill(host, 0);
    host_boot(host, 0);
}

static void boot_again(struct cluster *cluster, void *arg, int64_t n)
{
    (void)cluster, (void)n;
    host_boot(arg, 0);
}

static void finish_leaving(struct cluster *cluster, void *arg, int64_t n)
{
    struct host *host = arg;
    if (!host->up || !host->leaving)
        return;
    int left = host->controller ? controller_has_left(host->controller) : agent_has_left(host->agent);
    if (!left && n > 0) {
        cluster_schedule(cluster, 50, finish_leaving, host, n - 50);
        return;
    }
    if (!left)
        cluster_trace(cluster, 0, "%s has not stopped gracefully in time", host->name);
    host_kill(host, 0);
    cluster_schedule(cluster, 300, boot_again, host, 0);
}

void host_leave(struct host *host)
{
    if (!host->up || host->leaving)
        return;
    cluster_trace(host->cluster, 0, "%s is requested to stop", host->name);
    host_note_fault(host);
    host->leaving = 1;
    if (host->controller)
        controller_leave(host->controller);
    else
        agent_leave(host->agent);
    cluster_schedule(host->cluster, 50, finish_leaving, host, 6000);
}

void host_wipe(struct host *host)
{
    cluster_trace(host->cluster, 0, "%s loses its disk", host->name);
    if (host->disk)
        cluster_disk_clear(host->disk);
}

void host_disk_fail(struct host *host, enum disk_fault fault, int64_t for_ms)
{
    static const char *const texts[] = {"works", "refuses writes", "refuses all calls", "fails sometimes"};
    cluster_trace(host->cluster, 0, "the disk of %s %s for %lld ms", host->name, texts[fault], (long long)for_ms);
    cluster_disk_fail(host->disk, fault, host->cluster->now_us + for_ms * 1000);
}

void host_disk_copy(struct host *host)
{
    if (!host->disk_copy)
        host->disk_copy = cluster_disk_new(1);
    cluster_disk_copy(host->disk_copy, host->disk);
}

void host_disk_rewind(struct host *host)
{
    cluster_trace(host->cluster, 0, "the disk of %s is restored from an old copy", host->name);
    cluster_disk_copy(host->disk, host->disk_copy);
}

static void thaw(struct cluster *cluster, void *arg, int64_t n)
{
    struct host *host = arg;
    (void)n;
    if (!host->frozen || cluster->now_us < host->thaw_us)
        return;
    cluster_trace(cluster, 0, "%s continues", host->name);
    host->frozen = 0;
    host_note_fault(host);
}

void host_freeze(struct host *host, int64_t for_ms)
{
    cluster_trace(host->cluster, 0, "%s freezes for %lld ms", host->name, (long long)for_ms);
    host->frozen = 1;
    int64_t thaw_us = host->cluster->now_us + for_ms * 1000;
    host->thaw_us = thaw_us > host->thaw_us ? thaw_us : host->thaw_us;
    host_note_fault(host);
    cluster_schedule(host->cluster, for_ms, thaw, host, 0);
}

void host_skew(struct host *host, int64_t by_ms)
{
    cluster_trace(host->cluster, 0, "the wall clock of %s jumps by %lld ms", host->name, (long long)by_ms);
    host->cluster->clocks_jump = 1;
    host->skew_ms += by_ms;
    host_note_fault(host);
}

/* Whether more than one of the other controllers with a disk is down or not connected to the host in both directions,
 * or all of them are. */
static int is_partitioned(const struct cluster *cluster, const struct host *host)
{
    int64_t reached = 0, running = 0;
    for (int64_t i = 0; i < cluster->n; i++) {
        const struct host *to = cluster->hosts[i];
        if (to->kind != HOST_CONTROLLER || !to->with_disk || to->removed || to == host)
            continue;
        running++;
        reached += to->up && !cluster->cut[host->index][i] && !cluster->cut[i][host->index];
    }
    return reached < running - 1 || reached == 0;
}

int cluster_is_reachable(const struct cluster *cluster, const struct host *host)
{
    return host->up && !host->frozen && !is_partitioned(cluster, host) &&
           cluster->now_us - host->last_fault_us > CONTACT_MS * 1000LL &&
           cluster->now_us - cluster->last_controller_fault_us > CONTACT_MS * 1000LL;
}

uint64_t host_bootstrap_hash(const struct host *host)
{
    return host->up && host->controller ? controller_bootstrap_hash(host->controller) : 0;
}

uint64_t host_chosen_hash(const struct host *host)
{
    return host->up && host->controller ? controller_chosen_hash(host->controller) : 0;
}

struct host *cluster_leader(struct cluster *cluster)
{
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster->hosts[i]->up && cluster->hosts[i]->controller && controller_leads(cluster->hosts[i]->controller))
            return cluster->hosts[i];
    return NULL;
}

struct host *cluster_controller(struct cluster *cluster, int64_t n)
{
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster->hosts[i]->kind == HOST_CONTROLLER && !cluster->hosts[i]->removed && n-- == 0)
            return cluster->hosts[i];
    return NULL;
}

struct host *cluster_any_controller(struct cluster *cluster)
{
    int64_t n = 0;
    while (cluster_controller(cluster, n))
        n++;
    return cluster_controller(cluster, cluster_pick(cluster, n));
}

struct host *cluster_replace(struct host *old)
{
    struct cluster *cluster = old->cluster;
    host_kill(old, 1);
    old->removed = 1;
    struct host *replacement = cluster_add(cluster, old->kind, (int)old->with_disk, old->zone[1] - '0');
    cluster_trace(cluster, 0, "%s replaces %s, with an empty disk", replacement->name, old->name);
    for (int64_t i = 0; i < cluster->n_seeds; i++)
        if (cluster->seeds[i] == (int64_t)old->base.self)
            cluster->seeds[i] = (int64_t)replacement->base.self;
    replacement->ever_up = 1;
    host_boot(replacement, 0);
    return replacement;
}
