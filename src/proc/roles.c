/* The roles as processes: connects each core to the runtime (proc/runtime.h). */
#include "proc/roles.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "caller/caller.h"
#include "executor/executor.h"
#include "keeper/keeper.h"
#include "node/node.h"
#include "proc/runtime.h"

static struct peer_setup peer_setup_of(struct runtime *runtime, const struct local *local)
{
    return (struct peer_setup){.cluster = local->cluster,
                               .zone = local->zone,
                               .seeds = local->seed_addrs,
                               .n_seeds = local->n_seeds,
                               .boot = runtime->base.calls->wall_ms(&runtime->base)};
}

static int start_process(struct runtime *runtime, struct local *local)
{
    event_log_start(local->log_level);
    return runtime_start(runtime, local);
}

static int end_process(struct runtime *runtime, int rc)
{
    runtime_end(runtime);
    event_log_end();
    return rc ? 1 : 0;
}

/* --- keeper ------------------------------------------------------------------------- */

static void keeper_on_timer_arg(void *arg) { keeper_on_timer(arg); }
static void keeper_on_frame_arg(void *arg, const uint8_t *at, int64_t len) { keeper_on_frame(arg, at, len); }
static void keeper_flush_arg(void *arg) { keeper_flush(arg); }
static void keeper_leave_arg(void *arg) { keeper_leave(arg); }
static int keeper_left_arg(void *arg) { return keeper_has_left(arg); }
static void keeper_request_arg(void *arg, int64_t slot, const char *method, const char *path, const char *body,
                               int64_t len)
{
    keeper_request(arg, slot, method, path, body, len);
}

static void keeper_reload(void *arg, const struct local *local)
{
    peers_set_seeds(&((struct keeper *)arg)->peers, local->seed_addrs, local->n_seeds);
}

int role_keeper(struct local *local)
{
    static struct runtime runtime;
    static struct keeper keeper;
    int rc = start_process(&runtime, local);
    runtime.role = (struct role){.arg = &keeper,
                                 .on_timer = keeper_on_timer_arg,
                                 .on_frame = keeper_on_frame_arg,
                                 .on_plain_request = keeper_request_arg,
                                 .flush = keeper_flush_arg,
                                 .leave = keeper_leave_arg,
                                 .left = keeper_left_arg,
                                 .reload = keeper_reload};
    if (!rc) {
        const struct peer_setup setup = peer_setup_of(&runtime, local);
        rc = keeper_start(&keeper, &runtime.base, &setup);
        if (!rc)
            rc = runtime_open(&runtime, 1, 1);
        if (!rc)
            runtime_run(&runtime);
        keeper_end(&keeper);
    }
    return end_process(&runtime, rc);
}

/* --- node ----------------------------------------------------------------------------- */

static void node_on_timer_arg(void *arg) { node_on_timer(arg); }
static void node_on_frame_arg(void *arg, const uint8_t *at, int64_t len) { node_on_frame(arg, at, len); }
static void node_leave_arg(void *arg) { node_leave(arg); }
static int node_left_arg(void *arg) { return node_has_left(arg); }
static void node_request_arg(void *arg, int64_t slot, const char *method, const char *path, const char *body,
                             int64_t len)
{
    node_request(arg, slot, method, path, body, len);
}

static void node_reload(void *arg, const struct local *local)
{
    peers_set_seeds(&((struct node *)arg)->peers, local->seed_addrs, local->n_seeds);
}

int role_node(struct local *local)
{
    static struct runtime runtime;
    static struct node node;
    int rc = start_process(&runtime, local);
    runtime.role = (struct role){.arg = &node,
                                 .on_timer = node_on_timer_arg,
                                 .on_frame = node_on_frame_arg,
                                 .on_plain_request = node_request_arg,
                                 .leave = node_leave_arg,
                                 .left = node_left_arg,
                                 .reload = node_reload};
    if (!rc) {
        const struct peer_setup setup = peer_setup_of(&runtime, local);
        node_start(&node, &runtime.base, &setup);
        rc = runtime_open(&runtime, 1, 1);
        if (!rc)
            runtime_run(&runtime);
        node_end(&node);
    }
    return end_process(&runtime, rc);
}

/* --- executor --------------------------------------------------------------------------- */

struct executor_role {
    struct executor executor;
    struct local *local;
    FILE *journal;
    struct world *world;
};

static void executor_journal(void *arg, const struct exec_record *record)
{
    static const char *const events[] = {"start", "end", "refuse"};
    struct executor_role *role = arg;
    if (!role->journal)
        return;
    fprintf(role->journal,
            "{\"atMs\":%lld,\"executor\":\"%s\",\"incarnation\":%lld,\"event\":\"%s\",\"job\":%lld,\"no\":%lld,"
            "\"attempt\":%lld,\"cores\":%lld,\"memMb\":%lld,\"outcome\":\"%s\",\"capCores\":%lld,\"capMb\":%lld}\n",
            (long long)role->world->calls->mono_ms(role->world), record->executor, (long long)record->incarnation,
            events[record->event], (long long)record->job, (long long)record->no, (long long)record->attempt,
            (long long)record->cores, (long long)record->mem_mb, record->outcome ? record->outcome : "",
            (long long)role->executor.state.cores, (long long)role->executor.state.mem_mb);
    (void)fflush(role->journal);
}

static void executor_on_timer_arg(void *arg) { executor_on_timer(&((struct executor_role *)arg)->executor); }
static void executor_request_arg(void *arg, int64_t slot, const char *method, const char *path, const char *body,
                                 int64_t len)
{
    executor_request(&((struct executor_role *)arg)->executor, slot, method, path, body, len);
}
static void executor_leave_arg(void *arg)
{
    struct executor_role *role = arg;
    executor_leave(&role->executor, role->local->leave_ms);
}
static int executor_left_arg(void *arg)
{
    const struct executor *executor = &((struct executor_role *)arg)->executor;
    return (!executor->n_work && !executor->n_ended) || world_ms(executor->world) >= executor->leave_at_ms;
}
static void executor_reload_faults(void *arg, const struct local *local)
{
    struct executor *executor = &((struct executor_role *)arg)->executor;
    executor->fail_pct = local->fail_pct;
    executor->stall_pct = local->stall_pct;
    executor->slow_pct = local->slow_pct;
    executor->stop_ms = local->stop_ms;
}

int role_executor(struct local *local)
{
    static struct runtime runtime;
    static struct executor_role role;
    const char *services[32];
    int64_t n = 0;
    char *save = NULL, *list = must_dup(local->services), path[1200];
    for (char *one = strtok_r(list, ", ", &save); one && n < COUNT_OF(services); one = strtok_r(NULL, ", ", &save))
        services[n++] = one;
    int rc = start_process(&runtime, local);
    runtime.role = (struct role){.arg = &role,
                                 .on_timer = executor_on_timer_arg,
                                 .on_plain_request = executor_request_arg,
                                 .leave = executor_leave_arg,
                                 .left = executor_left_arg,
                                 .reload = executor_reload_faults};
    role.local = local;
    role.world = &runtime.base;
    if (!rc) {
        struct exec_setup setup = {.name = local->name,
                                   .cluster = local->cluster,
                                   .kind = local->kind,
                                   .rack = local->rack,
                                   .services = services,
                                   .n_services = n,
                                   .cores = local->cores,
                                   .mem_mb = local->mem_mb,
                                   .seeds = local->seed_addrs,
                                   .n_seeds = local->n_seeds,
                                   .incarnation = local->incarnation ? local->incarnation
                                                                     : runtime.base.calls->wall_ms(&runtime.base)};
        executor_start(&role.executor, &runtime.base, &setup);
        role.executor.journal = executor_journal;
        role.executor.journal_arg = &role;
        executor_reload_faults(&role, local);
        if (local->data) {
            snprintf(path, sizeof path, "%s/journal.jsonl", local->data);
            role.journal = fopen(path, "a");
        }
        rc = runtime_open(&runtime, 0, 1);
        if (!rc)
            runtime_run(&runtime);
        executor_end(&role.executor);
        if (role.journal)
            (void)fclose(role.journal);
    }
    free(list);
    return end_process(&runtime, rc);
}

/* --- caller ------------------------------------------------------------------------------- */

struct caller_role {
    struct caller caller;
    struct runtime *runtime;
};

static void caller_on_timer_arg(void *arg)
{
    struct caller_role *role = arg;
    caller_on_timer(&role->caller);
    if (caller_done(&role->caller))
        ev_break(role->runtime->loop, EVBREAK_ALL);
}

int role_caller(struct local *local)
{
    static struct runtime runtime;
    static struct caller_role role;
    char name[64];
    if (!mix_known(local->deployment)) {
        fprintf(stderr, "sagehitch: deployment: expected dackhuset or dau-suoi-am\n");
        return 1;
    }
    int rc = start_process(&runtime, local);
    snprintf(name, sizeof name, "%.20s-%llx", local->name ? local->name : "caller",
             (unsigned long long)(runtime.base.calls->random(&runtime.base) >> 24));
    runtime.role = (struct role){.arg = &role, .on_timer = caller_on_timer_arg};
    role.runtime = &runtime;
    if (!rc) {
        const struct caller_setup setup = {.deployment = local->deployment,
                                           .name = name,
                                           .seeds = local->seed_addrs,
                                           .n_seeds = local->n_seeds,
                                           .per_minute = local->per_minute,
                                           .seconds = local->seconds};
        caller_start(&role.caller, &runtime.base, &setup);
        rc = runtime_open(&runtime, 0, 0);
        if (!rc)
            runtime_run(&runtime);
        char *report = caller_report(&role.caller);
        puts(report);
        free(report);
    }
    return end_process(&runtime, rc);
}
