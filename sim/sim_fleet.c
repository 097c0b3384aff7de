/* Looking into a running fleet, and giving it work. */
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
        struct machine *m = sim->machines[i];
        if (m->kind != M_KEEPER || !m->up || m->core.keeper.logs[group].role != LOG_LEADER)
            continue;
        if (!best || m->core.keeper.logs[group].term > best->core.keeper.logs[group].term)
            best = m;
    }
    return best;
}

/* What the leader has; while there is none, what the keeper furthest on has. */
struct machine *sim_knows(struct sim *sim, int64_t group)
{
    struct machine *best = sim_leader(sim, group);
    for (int64_t i = 0; i < sim->n && !(best && best->core.keeper.logs[group].role == LOG_LEADER); i++) {
        struct machine *m = sim->machines[i];
        if (m->kind == M_KEEPER && m->up &&
            (!best || m->core.keeper.logs[group].applied > best->core.keeper.logs[group].applied))
            best = m;
    }
    return best;
}

static const struct config_tree *config_tree_now(struct sim *sim)
{
    struct machine *m = sim_knows(sim, GROUP_CONTROL);
    return m ? &m->core.keeper.config_tree : NULL;
}

static struct machine *duty_machine(struct sim *sim, const char *name)
{
    const struct config_tree *config_tree = config_tree_now(sim);
    const struct ownership *ownership = config_tree ? config_tree_ownership(config_tree, name) : NULL;
    for (int64_t i = 0; ownership && i < sim->n; i++)
        if ((int64_t)sim->machines[i]->base.self == ownership->owner)
            return sim->machines[i];
    return NULL;
}

struct machine *sim_owner(struct sim *sim, int64_t shard)
{
    char name[32];
    snprintf(name, sizeof name, "shard/%lld", (long long)shard);
    return duty_machine(sim, name);
}

struct machine *sim_home(struct sim *sim, const char *executor)
{
    char name[64];
    snprintf(name, sizeof name, "home/%s", executor);
    return duty_machine(sim, name);
}

/* What the keepers have agreed on; the one furthest on speaks. */
const struct job *sim_job(struct sim *sim, int64_t id)
{
    const struct job *best = NULL;
    int64_t applied = -1, shard = job_shard(id);
    for (int64_t i = 0; i < sim->n && shard < SHARD_COUNT; i++) {
        struct machine *m = sim->machines[i];
        if (m->kind != M_KEEPER || !m->up || m->core.keeper.logs[GROUP_JOBS].applied <= applied)
            continue;
        const struct job *job = rows_find_job(&m->core.keeper.shards[shard], id);
        if (!job)
            continue;
        applied = m->core.keeper.logs[GROUP_JOBS].applied;
        best = job;
    }
    for (int64_t i = 0; i < sim->n && shard < SHARD_COUNT && !best; i++) /* all keepers down: what an owner has */
        if (sim->machines[i]->kind == M_NODE && sim->machines[i]->up)
            best = rows_find_job(&sim->machines[i]->core.node.shards[shard].rows, id);
    return best;
}

void sim_other(struct machine *m, int64_t cores)
{
    oracle_other_room(m->sim->oracle, m, m->core.executor.other_cores);
    m->core.executor.other_cores = cores;
}

int sim_is_cut(const struct sim *sim, const struct machine *m)
{
    for (int64_t k = 0; k < sim->n; k++)
        if (sim->cut[m->index][k] || sim->cut[k][m->index])
            return 1;
    return 0;
}

struct waiting {
    int status, done;
    char *body;
};

static void waited(struct sim *sim, void *arg, int64_t tag, int status, const char *body)
{
    struct waiting *w = arg;
    (void)sim, (void)tag;
    w->status = status;
    w->done = 1;
    w->body = must_dup(body);
}

int sim_request_wait(struct sim *sim, struct sim_http_request http, int64_t wait_ms, char **answer)
{
    struct waiting *w = must_alloc(sizeof *w);
    http.answer = waited;
    http.arg = w;
    sim_request(sim, http);
    for (int64_t ms = 0; !w->done && ms < (wait_ms > 9000 ? wait_ms : 9000); ms += 5)
        sim_run(sim, 5);
    int status = w->status;
    if (answer)
        *answer = w->body;
    else
        free(w->body);
    free(w);
    return status;
}

struct caller *sim_load(struct sim *sim, int64_t per_minute, int64_t seconds)
{
    struct machine *m = sim_machine(sim, "caller1");
    if (!m)
        m = sim_add(sim, M_CALLER, 1, 0);
    sim_kill(m, 0);
    sim_boot(m);
    snprintf(m->rack, sizeof m->rack, "l%d", (int)(m->generation % 10000)); /* its jobs' keys begin so */
    int64_t doors[8];
    int64_t n = 0;
    for (int64_t i = 0; i < sim->n && n < 8; i++)
        if (sim->machines[i]->kind == M_NODE)
            doors[n++] = (int64_t)sim->machines[i]->base.http_addr;
    const struct caller_setup setup = {.deployment = sim->cluster,
                                       .name = m->rack,
                                       .seeds = doors,
                                       .n_seeds = n,
                                       .per_minute = per_minute,
                                       .seconds = seconds};
    caller_start(&m->core.caller, &m->base, &setup);
    return &m->core.caller;
}

int64_t sim_load_state(struct sim *sim, const char *state)
{
    struct machine *m = sim_machine(sim, "caller1");
    int64_t n = 0;
    for (int64_t i = 0; m && i < m->core.caller.n_jobs; i++)
        n += !strcmp(m->core.caller.jobs[i].state, state);
    return n;
}
