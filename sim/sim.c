#include "sim/sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

uint64_t sim_random(struct sim *sim)
{
    sim->state += 0x9e3779b97f4a7c15ull;
    return hash_mix(sim->state, 0x2545f4914f6cdd1dull);
}

int64_t sim_pick(struct sim *sim, int64_t n) { return n > 0 ? (int64_t)(sim_random(sim) % (uint64_t)n) : 0; }
int64_t sim_ms(const struct sim *sim) { return sim->now_us / 1000; }
int64_t sim_wall_ms(const struct sim *sim) { return WALL_BASE_MS + sim->now_us / 1000; }

/* --- machines ------------------------------------------------------------------- */

static const char *const services[2][3] = {{"lookup", "prices", "stock"}, {"orders", "settlements", "routes"}};

static int deployment_no(const struct sim *sim) { return !strcmp(sim->cluster, "dau-suoi-am"); }

struct machine *sim_add(struct sim *sim, enum machine_kind kind, int no, int64_t cores)
{
    static const char *const names[] = {"keeper", "node", "executor", "caller"};
    static struct world_calls calls;
    struct machine *m = must_alloc(sizeof *m);
    sim_calls_net(&calls);
    sim_calls_disk(&calls);
    m->sim = sim;
    m->kind = kind;
    m->index = sim->n;
    m->cores = cores;
    m->base.calls = &calls;
    m->base.self = ((uint64_t)10 << 40 | (uint64_t)kind << 32 | (uint64_t)no << 16) | 7000;
    m->base.http_addr = m->base.self + 1000;
    m->disk.sync_us = 500;
    snprintf(m->name, sizeof m->name, "%.8s%d", names[kind], no);
    snprintf(m->zone, sizeof m->zone, "z%d", (no - 1) % 3 + 1);
    snprintf(m->rack, sizeof m->rack, "r%d", ((no - 1) / 3 + 1) % 100);
    sim->machines[sim->n++] = m;
    return m;
}

static void boot_executor(struct machine *m)
{
    struct sim *sim = m->sim;
    const char *served[3];
    int64_t n = 0;
    for (int i = 0; i < 3; i++)
        if (!m->serves || (m->serves >> i & 1))
            served[n++] = services[deployment_no(sim)][i];
    struct exec_setup setup = {.name = m->name,
                               .cluster = sim->cluster,
                               .kind = "std",
                               .rack = m->rack,
                               .services = served,
                               .n_services = n,
                               .cores = m->cores,
                               .mem_mb = m->cores * 4096,
                               .seeds = sim->doors,
                               .n_seeds = 3,
                               .incarnation = m->generation};
    executor_start(&m->core.executor, &m->base, &setup);
    /* it trusts every order, so the oracle sees what the nodes do, not what it would refuse */
    m->core.executor.accepts_all = 1;
    m->core.executor.journal = oracle_executor;
    m->core.executor.journal_arg = m;
}

void sim_boot(struct machine *m)
{
    struct sim *sim = m->sim;
    m->generation++;
    m->born_us = sim->now_us;
    m->up = 1;
    m->frozen = 0;
    m->busy_until_us = m->stall_us = m->flush_due = 0;
    memset(&m->core, 0, sizeof m->core);
    const struct peer_setup setup = {.cluster = sim->cluster,
                                     .zone = m->zone,
                                     .seeds = sim->seeds,
                                     .n_seeds = 3,
                                     .boot = m->base.calls->wall_ms(&m->base)};
    if (m->kind == M_KEEPER)
        m->refuse_start = keeper_start(&m->core.keeper, &m->base, &setup) != 0;
    else if (m->kind == M_NODE)
        node_start(&m->core.node, &m->base, &setup);
    else if (m->kind == M_EXECUTOR)
        boot_executor(m);
    if (m->refuse_start) {
        keeper_end(&m->core.keeper);
        m->up = 0;
        return;
    }
    struct sim_event *on_timer = must_alloc(sizeof *on_timer);
    on_timer->kind = EVT_ON_TIMER;
    on_timer->to = m;
    on_timer->generation = m->generation;
    sim_push(sim, on_timer, sim->now_us + sim_pick(sim, SIM_ON_TIMER_US));
}

static void core_end(struct machine *m)
{
    if (m->kind == M_KEEPER)
        keeper_end(&m->core.keeper);
    else if (m->kind == M_NODE)
        node_end(&m->core.node);
    else if (m->kind == M_EXECUTOR)
        executor_end(&m->core.executor);
    else
        caller_end(&m->core.caller);
}

void sim_kill(struct machine *m, int power)
{
    if (!m->up)
        return;
    m->up = 0;
    m->generation++;
    core_end(m);
    if (m->kind == M_EXECUTOR)
        oracle_executor_died(m->sim->oracle, m);
    if (power)
        sim_disk_power_loss(m);
}

void sim_restart(struct machine *m)
{
    if (m->up)
        sim_kill(m, 0);
    m->refuse_start = 0;
    sim_boot(m);
}

void sim_wipe(struct machine *m) { sim_disk_clear(&m->disk); }

static void thaw(struct sim *sim, void *arg, int64_t n)
{
    (void)sim, (void)n;
    ((struct machine *)arg)->frozen = 0;
}

void sim_freeze(struct machine *m, int64_t for_ms)
{
    m->frozen = 1;
    sim_at(m->sim, for_ms, thaw, m);
}

void sim_at(struct sim *sim, int64_t in_ms, sim_action *action, void *arg)
{
    struct sim_event *event = must_alloc(sizeof *event);
    event->kind = EVT_ACTION;
    event->action = action;
    event->arg = arg;
    sim_push(sim, event, sim->now_us + in_ms * 1000);
}

void sim_cut(struct sim *sim, struct machine *a, struct machine *b, int one_way)
{
    sim->cut[a->index][b->index] = 1;
    if (!one_way)
        sim->cut[b->index][a->index] = 1;
}

void sim_cut_off(struct sim *sim, struct machine *m)
{
    for (int64_t i = 0; i < sim->n; i++)
        if (sim->machines[i] != m)
            sim_cut(sim, m, sim->machines[i], 0);
}

void sim_heal(struct sim *sim) { memset(sim->cut, 0, sizeof sim->cut); }

/* --- the run ----------------------------------------------------------------------- */

void sim_start(struct sim *sim, uint64_t seed, const struct sim_setup *setup)
{
    memset(sim, 0, sizeof *sim);
    sim->state = hash_mix(seed, 0x5a6e);
    sim->cluster = setup->deployment;
    sim->oracle = oracle_new(sim);
    sim->keepers = setup->keepers;
    sim->nodes = setup->nodes;
    sim->executors = setup->executors;
    sim->trace = getenv("SAGEHITCH_TRACE") ? (int)text_to_int64(getenv("SAGEHITCH_TRACE")) : 0;
    for (int i = 0; i < setup->keepers; i++) {
        struct machine *m = sim_add(sim, M_KEEPER, i + 1, 0);
        if (i < 3)
            sim->seeds[i] = (int64_t)m->base.self;
    }
    for (int i = 0; i < setup->nodes; i++) {
        struct machine *m = sim_add(sim, M_NODE, i + 1, 0);
        if (i < 3)
            sim->doors[i] = (int64_t)m->base.http_addr;
    }
    for (int i = 0; i < setup->executors; i++)
        sim_add(sim, M_EXECUTOR, i + 1, setup->cores);
    for (int64_t i = 0; i < sim->n; i++)
        sim_boot(sim->machines[i]);
}

void sim_run(struct sim *sim, int64_t ms)
{
    int64_t until_us = sim->now_us + ms * 1000;
    struct sim_event *event;
    while ((event = (struct sim_event *)event_queue_pop(&sim->queue, until_us))) {
        sim->now_us = event->due.at_us;
        sim_deliver(sim, event);
        oracle_step(sim->oracle);
    }
    sim->now_us = until_us;
}

static void free_event(struct timed_event *event) { sim_event_free((struct sim_event *)event); }

void sim_end(struct sim *sim)
{
    event_queue_end(&sim->queue, free_event);
    free(sim->calls);
    for (int64_t i = 0; i < sim->n; i++) {
        if (sim->machines[i]->up)
            core_end(sim->machines[i]);
        sim_disk_clear(&sim->machines[i]->disk);
        free(sim->machines[i]);
    }
    oracle_free(sim->oracle);
}
