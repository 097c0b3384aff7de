/* Queries on the state of a running fleet, requests to it, and generated load. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/sim.h"

struct machine *sim_machine(struct sim *sim, const char *name)
{
    for (int64_t i = 0; i < sim->n; i++)
        if (!strcmp(sim->machines[i]->name, name))
            return sim->machines[i];
    return NULL;
}

struct machine *sim_node(struct sim *sim)
{
    struct machine *up[SIM_MACHINES];
    int64_t n = 0;
    for (int64_t i = 0; i < sim->n; i++)
        if (sim->machines[i]->kind == M_NODE && sim->machines[i]->up && !sim->machines[i]->frozen)
            up[n++] = sim->machines[i];
    return n ? up[sim_pick(sim, n)] : NULL;
}

struct machine *sim_leader(struct sim *sim, int64_t group)
{
    struct machine *best = NULL;
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *machine = sim->machines[i];
        if (machine->kind != M_KEEPER || !machine->up || machine->core.keeper.logs[group].role != LOG_LEADER)
            continue;
        if (!best || machine->core.keeper.logs[group].term > best->core.keeper.logs[group].term)
            best = machine;
    }
    return best;
}

struct machine *sim_most_advanced_keeper(struct sim *sim, int64_t group)
{
    struct machine *best = sim_leader(sim, group);
    for (int64_t i = 0; i < sim->n && !(best && best->core.keeper.logs[group].role == LOG_LEADER); i++) {
        struct machine *machine = sim->machines[i];
        if (machine->kind == M_KEEPER && machine->up &&
            (!best || machine->core.keeper.logs[group].applied > best->core.keeper.logs[group].applied))
            best = machine;
    }
    return best;
}

static const struct config_tree *newest_config_tree(struct sim *sim)
{
    struct machine *machine = sim_most_advanced_keeper(sim, GROUP_CONTROL);
    return machine ? &machine->core.keeper.config_tree : NULL;
}

static struct machine *ownership_machine(struct sim *sim, const char *name)
{
    const struct config_tree *config_tree = newest_config_tree(sim);
    const struct ownership *ownership = config_tree ? config_tree_ownership(config_tree, name) : NULL;
    for (int64_t i = 0; ownership && i < sim->n; i++)
        if ((int64_t)sim->machines[i]->base.self == ownership->owner)
            return sim->machines[i];
    return NULL;
}

struct machine *sim_shard_owner(struct sim *sim, int64_t shard)
{
    char name[32];
    snprintf(name, sizeof name, "shard/%lld", (long long)shard);
    return ownership_machine(sim, name);
}

struct machine *sim_executor_owner(struct sim *sim, const char *executor)
{
    char name[64];
    snprintf(name, sizeof name, "home/%s", executor);
    return ownership_machine(sim, name);
}

/* The job as the keeper with the highest applied index has it. */
const struct job *sim_job(struct sim *sim, int64_t id)
{
    const struct job *best = NULL;
    int64_t applied = -1, shard = job_shard(id);
    for (int64_t i = 0; i < sim->n && shard < SHARD_COUNT; i++) {
        struct machine *machine = sim->machines[i];
        if (machine->kind != M_KEEPER || !machine->up || machine->core.keeper.logs[GROUP_JOBS].applied <= applied)
            continue;
        const struct job *job = rows_find_job(&machine->core.keeper.shards[shard], id);
        if (!job)
            continue;
        applied = machine->core.keeper.logs[GROUP_JOBS].applied;
        best = job;
    }
    for (int64_t i = 0; i < sim->n && shard < SHARD_COUNT && !best; i++) /* no keeper has it: as a node has it */
        if (sim->machines[i]->kind == M_NODE && sim->machines[i]->up)
            best = rows_find_job(&sim->machines[i]->core.node.shards[shard].rows, id);
    return best;
}

void sim_set_other_cores(struct machine *machine, int64_t cores)
{
    oracle_other_cores_changed(machine->sim->oracle, machine, machine->core.executor.other_cores);
    machine->core.executor.other_cores = cores;
}

int sim_is_cut(const struct sim *sim, const struct machine *machine)
{
    for (int64_t k = 0; k < sim->n; k++)
        if (sim->cut[machine->index][k] || sim->cut[k][machine->index])
            return 1;
    return 0;
}

struct pending_answer {
    int status, done;
    char *body;
};

static void on_answer(struct sim *sim, void *arg, int64_t tag, int status, const char *body)
{
    struct pending_answer *pending = arg;
    (void)sim, (void)tag;
    pending->status = status;
    pending->done = 1;
    pending->body = must_dup(body);
}

int sim_request_wait(struct sim *sim, struct sim_http_request http, int64_t wait_ms, char **answer)
{
    struct pending_answer *pending = must_alloc(sizeof *pending);
    http.answer = on_answer;
    http.arg = pending;
    sim_request(sim, http);
    for (int64_t ms = 0; !pending->done && ms < (wait_ms > 9000 ? wait_ms : 9000); ms += 5)
        sim_run(sim, 5);
    int status = pending->status;
    if (answer)
        *answer = pending->body;
    else
        free(pending->body);
    free(pending);
    return status;
}

struct caller *sim_load(struct sim *sim, int64_t per_minute, int64_t seconds)
{
    struct machine *machine = sim_machine(sim, "caller1");
    if (!machine)
        machine = sim_add(sim, M_CALLER, 1, 0);
    sim_kill(machine, 0);
    sim_boot(machine);
    /* prefix of the keys of its jobs */
    snprintf(machine->rack, sizeof machine->rack, "l%d", (int)(machine->generation % 10000));
    int64_t node_seeds[8];
    int64_t n = 0;
    for (int64_t i = 0; i < sim->n && n < 8; i++)
        if (sim->machines[i]->kind == M_NODE)
            node_seeds[n++] = (int64_t)sim->machines[i]->base.http_addr;
    const struct caller_setup setup = {.deployment = sim->cluster,
                                       .name = machine->rack,
                                       .seeds = node_seeds,
                                       .n_seeds = n,
                                       .per_minute = per_minute,
                                       .seconds = seconds};
    caller_start(&machine->core.caller, &machine->base, &setup);
    return &machine->core.caller;
}

int64_t sim_load_state(struct sim *sim, const char *state)
{
    struct machine *machine = sim_machine(sim, "caller1");
    int64_t n = 0;
    for (int64_t i = 0; machine && i < machine->core.caller.n_jobs; i++)
        n += !strcmp(machine->core.caller.jobs[i].state, state);
    return n;
}
