/* Hosts of a simulated cluster: how they start, stop, die and are cut off. */
#include "sim/cluster.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent.h"
#include "controller/controller.h"

uint64_t cluster_random(struct cluster *c)
{
    c->state += 0x9e3779b97f4a7c15ull;
    return hash_mix(c->state, 0x2545f4914f6cdd1dull);
}

int64_t cluster_pick(struct cluster *c, int64_t n) { return n > 0 ? (int64_t)(cluster_random(c) % (uint64_t)n) : 0; }
int64_t cluster_wall_ms(const struct cluster *c) { return CLUSTER_WALL_MS + c->now_us / 1000; }

/* --- the story ---------------------------------------------------------------- */

void cluster_tell(struct cluster *c, int64_t job, const char *format, ...)
{
    char text[400];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    struct story_line *line = array_add(c->story, c->n_story);
    line->at_us = c->now_us;
    line->job = job;
    line->text = must_dup(text);
    if (c->trace)
        fprintf(stderr, "%10.3f %s%s\n", (double)c->now_us / 1e6, job ? "  " : "", text);
}

/* The breaches, then all that happened to the cluster and to the job of the first. */
char *cluster_story(const struct cluster *c)
{
    struct bytes to = {0};
    bytes_printf(&to, "%lld breaches\n", (long long)c->n_breaches);
    for (int64_t i = 0; i < c->n_breaches && i < 20; i++)
        bytes_printf(&to, "  %s\n", c->breaches[i]);
    for (int64_t i = 0; i < c->n_story; i++)
        if (!c->story[i].job || c->story[i].job == c->breach_job)
            bytes_printf(&to, "%10.3f %s%s\n", (double)c->story[i].at_us / 1e6, c->story[i].job ? "  " : "",
                         c->story[i].text);
    return (char *)to.at;
}

/* --- hosts -------------------------------------------------------------------- */

struct host *cluster_add(struct cluster *c, enum host_kind kind, int with_disk, int zone)
{
    static struct world_calls calls;
    struct host *h = must_alloc(sizeof *h);
    cluster_calls_net(&calls);
    cluster_calls_disk(&calls);
    h->cluster = c;
    h->kind = kind;
    h->index = c->n;
    h->with_disk = with_disk;
    h->trouble_us = -CONTACT_MS * 1000LL;
    h->base.calls = &calls;
    h->base.self = (10ull << 40 | (uint64_t)zone << 32 | (uint64_t)(c->n + 1) << 24 | 1ull << 16) | 7000;
    h->base.http_addr = h->base.self + 1000;
    int64_t no = kind == HOST_CONTROLLER ? ++c->controllers : ++c->agents;
    snprintf(h->name, sizeof h->name, "%s%d", kind == HOST_CONTROLLER ? with_disk ? "core" : "outer" : "agent",
             (int)no);
    snprintf(h->zone, sizeof h->zone, "z%d", zone);
    snprintf(h->rack, sizeof h->rack, "z%d-%d", zone, (int)(no / 6) % 3);
    if (with_disk)
        h->disk = cluster_disk_new(cluster_random(c));
    if (kind == HOST_AGENT)
        h->standin = standin_new(h, no - 1);
    c->hosts[c->n++] = h;
    return h;
}

static const struct dispatch_settings dispatch_settings = {.lease_ms = LEASE_MS,
                                                           .gang_timeout_ms = GANG_MS,
                                                           .early_ms = EARLY_MS,
                                                           .job_retention_ms = 120000,
                                                           .remote_data_pct = 150,
                                                           .restore_ms = RESTORE_MS};

/* Random by host and generation: the seed's own sequence is that of the scenario. */
static int64_t boot_now(struct host *h)
{
    return boot_of(h->base.calls->wall_ms(&h->base), hash_mix((uint64_t)h->base.self, (uint64_t)h->generation));
}

static void boot_controller(struct host *h, int first_start)
{
    struct cluster *c = h->cluster;
    struct controller_setup setup = {.cluster = "sim",
                                     .zone = h->zone,
                                     .seeds = c->seeds,
                                     .n_seeds = c->n_seeds,
                                     .disk = h->with_disk,
                                     .first_start = first_start,
                                     .machines_lost = c->machines_lost,
                                     .zones_lost = 0,
                                     .boot = boot_now(h),
                                     .grace_ms = 6000,
                                     .dispatch = dispatch_settings,
                                     .log = {.snapshot_every = c->log.snapshot_every,
                                             .keep_entries = c->log.keep_entries,
                                             .segment_bytes = c->log.segment_bytes},
                                     .codec = &cluster_api_codec};
    h->controller = controller_new(&h->base, &setup);
    if (!h->controller) {
        cluster_tell(c, 0, "%s trusts its disk no more and ends", h->name);
        h->up = 0;
    }
}

static void boot_agent(struct host *h)
{
    struct cluster *c = h->cluster;
    struct agent_setup setup = {.cluster = "sim",
                                .zone = h->zone,
                                .seeds = c->seeds,
                                .n_seeds = c->n_seeds,
                                .boot = boot_now(h),
                                .executor = (int64_t)h->base.self + 2000,
                                .hold_max_ms = HOLD_MAX_MS,
                                .stop_timeout_ms = STOP_MS,
                                .grace_ms = 6000,
                                .orders_by_heartbeat = c->orders_by_heartbeat,
                                .codec = &cluster_api_codec,
                                .executor_codec = &cluster_executor_codec};
    h->agent = agent_new(&h->base, &setup);
}

void host_trouble(struct host *h)
{
    struct cluster *c = h->cluster;
    h->trouble_us = c->trouble_us = c->now_us;
    if (h->kind == HOST_CONTROLLER)
        c->core_trouble_us = c->now_us;
}

void cluster_core_trouble(struct cluster *c) { c->core_trouble_us = c->trouble_us = c->now_us; }

void host_boot(struct host *h, int first_start)
{
    struct cluster *c = h->cluster;
    if (h->gone || h->up)
        return;
    h->generation++;
    h->born_us = c->now_us;
    h->up = 1;
    h->frozen = h->leaving = h->thaw_us = 0;
    h->busy_until_us = h->stall_us = h->flush_due = 0;
    if (h->ever_up) {
        cluster_tell(c, 0, "%s starts", h->name);
        host_trouble(h);
    }
    h->ever_up = 1;
    if (h->kind == HOST_CONTROLLER)
        boot_controller(h, first_start);
    else
        boot_agent(h);
    if (!h->up) /* it ended at once */
        return;
    h->busy_until_us = c->now_us + h->stall_us;
    h->stall_us = 0;
    struct cluster_event *on_timer = must_alloc(sizeof *on_timer);
    on_timer->kind = CEV_ON_TIMER;
    on_timer->to = h;
    on_timer->generation = h->generation;
    cluster_push(c, on_timer, c->now_us + cluster_pick(c, CLUSTER_ON_TIMER_US));
}

void host_end(struct host *h)
{
    if (h->controller)
        controller_free(h->controller);
    if (h->agent)
        agent_free(h->agent);
    h->controller = NULL;
    h->agent = NULL;
}

void host_kill(struct host *h, int power)
{
    if (h->up) {
        cluster_tell(h->cluster, 0, "%s dies%s", h->name, power ? " with its power" : "");
        h->up = 0;
        h->generation++;
        host_end(h);
    }
    host_trouble(h);
    if (power && h->disk)
        cluster_disk_power_loss(h->disk);
}

void host_restart(struct host *h)
{
    if (h->up)
        host_kill(h, 0);
    host_boot(h, 0);
}

static void boot_again(struct cluster *c, void *arg, int64_t n)
{
    (void)c, (void)n;
    host_boot(arg, 0);
}

static void leave_over(struct cluster *c, void *arg, int64_t n)
{
    struct host *h = arg;
    if (!h->up || !h->leaving)
        return;
    int left = h->controller ? controller_left(h->controller) : agent_left(h->agent);
    if (!left && n > 0) {
        cluster_at(c, 50, leave_over, h, n - 50);
        return;
    }
    if (!left)
        cluster_tell(c, 0, "%s has not left in time", h->name);
    host_kill(h, 0);
    cluster_at(c, 300, boot_again, h, 0);
}

void host_leave(struct host *h)
{
    if (!h->up || h->leaving)
        return;
    cluster_tell(h->cluster, 0, "%s is asked to stop", h->name);
    host_trouble(h);
    h->leaving = 1;
    if (h->controller)
        controller_leave(h->controller);
    else
        agent_leave(h->agent);
    cluster_at(h->cluster, 50, leave_over, h, 6000);
}

void host_wipe(struct host *h)
{
    cluster_tell(h->cluster, 0, "%s loses its disk", h->name);
    if (h->disk)
        cluster_disk_clear(h->disk);
}

void host_disk_copy(struct host *h)
{
    if (!h->disk_copy)
        h->disk_copy = cluster_disk_new(1);
    cluster_disk_copy(h->disk_copy, h->disk);
}

void host_disk_rewind(struct host *h)
{
    cluster_tell(h->cluster, 0, "%s gets an old copy of its disk", h->name);
    cluster_disk_copy(h->disk, h->disk_copy);
}

static void thaw(struct cluster *c, void *arg, int64_t n)
{
    struct host *h = arg;
    (void)n;
    if (!h->frozen || c->now_us < h->thaw_us)
        return;
    cluster_tell(c, 0, "%s thaws", h->name);
    h->frozen = 0;
    host_trouble(h);
}

void host_freeze(struct host *h, int64_t for_ms)
{
    cluster_tell(h->cluster, 0, "%s freezes for %lld ms", h->name, (long long)for_ms);
    h->frozen = 1;
    int64_t thaw_us = h->cluster->now_us + for_ms * 1000;
    h->thaw_us = thaw_us > h->thaw_us ? thaw_us : h->thaw_us;
    host_trouble(h);
    cluster_at(h->cluster, for_ms, thaw, h, 0);
}

void host_skew(struct host *h, int64_t by_ms)
{
    cluster_tell(h->cluster, 0, "time of day of %s jumps by %lld ms", h->name, (long long)by_ms);
    h->cluster->clocks_jump = 1;
    h->skew_ms += by_ms;
    host_trouble(h);
}

/* Reaches fewer of the core than all but one. */
static int apart(const struct cluster *c, const struct host *h)
{
    int64_t reached = 0, running = 0;
    for (int64_t i = 0; i < c->n; i++) {
        const struct host *to = c->hosts[i];
        if (to->kind != HOST_CONTROLLER || !to->with_disk || to->gone || to == h)
            continue;
        running++;
        reached += to->up && !c->cut[h->index][i] && !c->cut[i][h->index];
    }
    return reached < running - 1 || reached == 0;
}

int cluster_in_touch(const struct cluster *c, const struct host *h)
{
    return h->up && !h->frozen && !apart(c, h) && c->now_us - h->trouble_us > CONTACT_MS * 1000LL &&
           c->now_us - c->core_trouble_us > CONTACT_MS * 1000LL;
}

uint64_t host_founders(const struct host *h)
{
    return h->up && h->controller ? controller_bootstrap_hash(h->controller) : 0;
}

uint64_t host_agreed(const struct host *h)
{
    return h->up && h->controller ? controller_chosen_hash(h->controller) : 0;
}

struct host *cluster_leader(struct cluster *c)
{
    for (int64_t i = 0; i < c->n; i++)
        if (c->hosts[i]->up && c->hosts[i]->controller && controller_leads(c->hosts[i]->controller))
            return c->hosts[i];
    return NULL;
}

struct host *cluster_controller(struct cluster *c, int64_t n)
{
    for (int64_t i = 0; i < c->n; i++)
        if (c->hosts[i]->kind == HOST_CONTROLLER && !c->hosts[i]->gone && n-- == 0)
            return c->hosts[i];
    return NULL;
}

struct host *cluster_any_controller(struct cluster *c)
{
    int64_t n = 0;
    while (cluster_controller(c, n))
        n++;
    return cluster_controller(c, cluster_pick(c, n));
}

struct host *cluster_replace(struct host *gone)
{
    struct cluster *c = gone->cluster;
    host_kill(gone, 1);
    gone->gone = 1;
    struct host *fresh = cluster_add(c, gone->kind, (int)gone->with_disk, gone->zone[1] - '0');
    cluster_tell(c, 0, "%s stands in place of %s, empty", fresh->name, gone->name);
    for (int64_t i = 0; i < c->n_seeds; i++)
        if (c->seeds[i] == (int64_t)gone->base.self)
            c->seeds[i] = (int64_t)fresh->base.self;
    fresh->ever_up = 1;
    host_boot(fresh, 0);
    return fresh;
}
