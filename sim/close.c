/* The end of the day: whatever happened, after a full stop and start everything
 * that was promised is there, true and final, and nothing is left standing. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/oracle.h"

enum { LAST_MS = 120000 };

static void faults_end(struct sim *sim)
{
    sim_heal(sim);
    sim->loss_pct = 0;
    sim->trap.armed = 0;
    for (int64_t i = 0; i < sim->n; i++) {
        struct sim_disk *disk = &sim->machines[i]->disk;
        disk->failing = disk->full = disk->stall_until_us = 0;
        disk->sync_us = 500;
    }
}

/* Every process loses its power at once. Who never ran stays away; a keeper that
 * was taken away for good, too. */
static void stop_and_start(struct sim *sim)
{
    uint8_t back[SIM_MACHINES] = {0};
    struct machine *leader = sim_leader(sim, GROUP_CONTROL);
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *m = sim->machines[i];
        back[i] = m->up || m->kind == M_NODE || m->kind == M_EXECUTOR;
        if (m->kind == M_KEEPER && !m->up)
            for (int64_t k = 0; leader && k < leader->core.keeper.logs[0].members.n; k++)
                back[i] |= leader->core.keeper.logs[0].members.members[k].addr == (int64_t)m->base.self;
        back[i] &= m->kind != M_CALLER;
    }
    for (int64_t i = 0; i < sim->n; i++)
        sim_kill(sim->machines[i], 1);
    sim_run(sim, 200);
    for (int64_t i = 0; i < sim->n; i++)
        if (back[i])
            sim_boot(sim->machines[i]);
}

/* Ended, or waiting for a time that has not come. */
static int settled(struct sim *sim, const struct job *job)
{
    if (job_ended(job))
        return 1;
    int64_t now_ms = sim_wall_ms(sim), no = 0;
    for (int64_t s = 0; s < job->spec.n_steps; s++)
        for (int64_t t = 0; t < job->spec.steps[s].n_tasks; t++, no++)
            if (!row_ended(&job->rows[no]) && job->rows[no].state != ROW_BLOCKED &&
                (job->rows[no].state != ROW_READY || job->rows[no].due_ms <= now_ms))
                return 0;
    return 1;
}

static const struct accepted *unsettled(struct sim *sim)
{
    struct oracle *o = sim->oracle;
    for (int64_t i = 0; i < o->n_accepted; i++) {
        const struct job *job = sim_job(sim, o->accepted[i].job);
        if (job && !settled(sim, job))
            return &o->accepted[i];
    }
    return NULL;
}

static void check_jobs(struct sim *sim)
{
    struct oracle *o = sim->oracle;
    const struct accepted *late = unsettled(sim);
    if (late) {
        const struct job *job = sim_job(sim, late->job);
        json_t *view = job_view(job, 1);
        char *text = json_dumps(view, JSON_COMPACT);
        json_decref(view);
        oracle_breach(o, "job %lld is left standing at the end of the day: %.200s", (long long)late->job, text);
        free(text);
    }
    for (int64_t i = 0; i < o->n_accepted; i++) {
        const struct job *job = sim_job(sim, o->accepted[i].job);
        o->judged++;
        if (!job)
            oracle_breach(o, "job %lld, accepted at %lld ms, is forgotten at the end of the day",
                          (long long)o->accepted[i].job, (long long)o->accepted[i].at_ms);
        else if (job->state == JOB_DONE)
            oracle_shown(o, job->id, "done");
    }
}

static void check_settings(struct sim *sim)
{
    struct oracle *o = sim->oracle;
    int64_t last = 0;
    for (int64_t i = 0; i < o->n_promised; i++)
        last = o->promised[i].version > last ? o->promised[i].version : last;
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *m = sim->machines[i];
        if (m->kind != M_NODE || !m->up)
            continue;
        const struct config_tree *config_tree = &m->core.node.config_tree;
        PWord_t at = (PWord_t)JudyLGet((Pcvoid_t)o->contents, (Word_t)last, NULL);
        o->judged++;
        if (config_tree->version < last ||
            (config_tree->version == last && at && (int64_t)*at != oracle_content(config_tree)))
            oracle_breach(o, "%s has settings %lld at the end of the day, not %lld as accepted", m->name,
                          (long long)config_tree->version, (long long)last);
    }
}

/* Rooms as the homes keep them are what the executors run. */
static int accounts_equal(struct sim *sim, char *what, size_t len)
{
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *e = sim->machines[i];
        if (e->kind != M_EXECUTOR || !e->up)
            continue;
        struct machine *m = sim_home(sim, e->name);
        struct executor_owner *executor_owner = m && m->up ? executor_owner_find(&m->core.node, e->name) : NULL;
        int64_t kept = 0, cores = 0;
        for (int64_t k = 0; executor_owner && k < executor_owner->n_rows; k++)
            if (executor_owner->rows[k].state != ALLOCATION_ENDED)
                kept++, cores += executor_owner->rows[k].ref.cores;
        if (executor_owner && kept == e->core.executor.n_work)
            continue;
        snprintf(what, len, "%s runs %lld, its home %s keeps %lld tasks with %lld cores", e->name,
                 (long long)e->core.executor.n_work, m ? m->name : "nowhere", (long long)kept, (long long)cores);
        return 0;
    }
    return 1;
}

void sim_close(struct sim *sim)
{
    char what[200];
    faults_end(sim);
    stop_and_start(sim);
    sim_service_back(sim, "close", 20000);
    int64_t until_ms = sim_ms(sim) + LAST_MS;
    while ((unsettled(sim) || !accounts_equal(sim, what, sizeof what)) && sim_ms(sim) < until_ms)
        sim_run(sim, 50);
    check_jobs(sim);
    check_settings(sim);
    sim->oracle->judged++;
    if (!accounts_equal(sim, what, sizeof what))
        oracle_breach(sim->oracle, "accounts differ at the end of the day: %s", what);
}
