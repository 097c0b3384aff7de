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
    struct machine *machine = must_alloc(sizeof *machine);
    sim_calls_net(&calls);
    sim_calls_disk(&calls);
    machine->sim = sim;
    machine->kind = kind;
    machine->index = sim->n;
    machine->cores = cores;
    machine->base.calls = &calls;
    machine->base.self = ((uint64_t)10 << 40 | (uint64_t)kind << 32 | (uint64_t)no << 16) | 7000;
    machine->base.http_addr = machine->base.self + 1000;
    machine->disk.sync_us = 500;
    snprintf(machine->name, sizeof machine->name, "%.8s%d", names[kind], no);
    snprintf(machine->zone, sizeof machine->zone, "z%d", (no - 1) % 3 + 1);
    snprintf(machine->rack, sizeof machine->rack, "r%d", ((no - 1) / 3 + 1) % 100);
    sim->machines[sim->n++] = machine;
    return machine;
}

static void boot_executor(struct machine *machine)
{
    struct sim *sim = machine->sim;
    const char *served[3];
    int64_t n = 0;
    for (int i = 0; i < 3; i++)
        if (!machine->serves || (machine->serves >> i & 1))
            served[n++] = services[deployment_no(sim)][i];
    struct exec_setup setup = {.name = machine->name,
                               .cluster = sim->cluster,
                               .kind = "std",
                               .rack = machine->rack,
                               .services = served,
                               .n_services = n,
                               .cores = machine->cores,
                               .mem_mb = machine->cores * 4096,
                               .seeds = sim->node_seeds,
                               .n_seeds = 3,
                               .incarnation = machine->generation};
    executor_start(&machine->core.executor, &machine->base, &setup);
    /* it refuses no order, so that the oracle also sees faulty orders of the nodes */
    machine->core.executor.accepts_all = 1;
    machine->core.executor.journal = oracle_executor_event;
    machine->core.executor.journal_arg = machine;
}

void sim_boot(struct machine *machine)
{
    struct sim *sim = machine->sim;
    machine->generation++;
    machine->born_us = sim->now_us;
    machine->up = 1;
    machine->frozen = 0;
    machine->busy_until_us = machine->stall_us = machine->flush_scheduled = 0;
    memset(&machine->core, 0, sizeof machine->core);
    const struct peer_setup setup = {.cluster = sim->cluster,
                                     .zone = machine->zone,
                                     .seeds = sim->seeds,
                                     .n_seeds = 3,
                                     .boot = machine->base.calls->wall_ms(&machine->base)};
    if (machine->kind == M_KEEPER)
        machine->refuse_start = keeper_start(&machine->core.keeper, &machine->base, &setup) != 0;
    else if (machine->kind == M_NODE)
        node_start(&machine->core.node, &machine->base, &setup);
    else if (machine->kind == M_EXECUTOR)
        boot_executor(machine);
    if (machine->refuse_start) {
        keeper_end(&machine->core.keeper);
        machine->up = 0;
        return;
    }
    struct sim_event *on_timer = must_alloc(sizeof *on_timer);
    on_timer->kind = EVT_ON_TIMER;
    on_timer->to = machine;
    on_timer->generation = machine->generation;
    sim_push(sim, on_timer, sim->now_us + sim_pick(sim, SIM_ON_TIMER_US));
}

static void end_core(struct machine *machine)
{
    if (machine->kind == M_KEEPER)
        keeper_end(&machine->core.keeper);
    else if (machine->kind == M_NODE)
        node_end(&machine->core.node);
    else if (machine->kind == M_EXECUTOR)
        executor_end(&machine->core.executor);
    else
        caller_end(&machine->core.caller);
}

void sim_kill(struct machine *machine, int power)
{
    if (!machine->up)
        return;
    machine->up = 0;
    machine->generation++;
    end_core(machine);
    if (machine->kind == M_EXECUTOR)
        oracle_executor_died(machine->sim->oracle, machine);
    if (power)
        sim_disk_power_loss(machine);
}

void sim_restart(struct machine *machine)
{
    if (machine->up)
        sim_kill(machine, 0);
    machine->refuse_start = 0;
    sim_boot(machine);
}

void sim_wipe(struct machine *machine) { sim_disk_clear(&machine->disk); }

static void unfreeze(struct sim *sim, void *arg, int64_t n)
{
    (void)sim, (void)n;
    ((struct machine *)arg)->frozen = 0;
}

void sim_freeze(struct machine *machine, int64_t for_ms)
{
    machine->frozen = 1;
    sim_at(machine->sim, for_ms, unfreeze, machine);
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

void sim_cut_off(struct sim *sim, struct machine *machine)
{
    for (int64_t i = 0; i < sim->n; i++)
        if (sim->machines[i] != machine)
            sim_cut(sim, machine, sim->machines[i], 0);
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
        struct machine *machine = sim_add(sim, M_KEEPER, i + 1, 0);
        if (i < 3)
            sim->seeds[i] = (int64_t)machine->base.self;
    }
    for (int i = 0; i < setup->nodes; i++) {
        struct machine *machine = sim_add(sim, M_NODE, i + 1, 0);
        if (i < 3)
            sim->node_seeds[i] = (int64_t)machine->base.http_addr;
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
        sim->now_us = event->timed.at_us;
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
            end_core(sim->machines[i]);
        sim_disk_clear(&sim->machines[i]->disk);
        free(sim->machines[i]);
    }
    oracle_free(sim->oracle);
}
