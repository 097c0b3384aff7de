/* The check at the end of a run: after all machines were restarted, every accepted
 * job and settings version is still there, and every job ends. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/oracle.h"

enum { SETTLE_TIMEOUT_MS = 120000 };

static void end_faults(struct sim *sim)
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

/* All machines lose their power at once and start again, except load generators and
 * keepers that are down and not a member, such as an unused spare or a removed one. */
static void restart_all(struct sim *sim)
{
    uint8_t restarted[SIM_MACHINES] = {0};
    struct machine *leader = sim_leader(sim, GROUP_CONTROL);
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *machine = sim->machines[i];
        restarted[i] = machine->up || machine->kind == M_NODE || machine->kind == M_EXECUTOR;
        if (machine->kind == M_KEEPER && !machine->up)
            for (int64_t k = 0; leader && k < leader->core.keeper.logs[0].members.n; k++)
                restarted[i] |= leader->core.keeper.logs[0].members.members[k].addr == (int64_t)machine->base.self;
        restarted[i] &= machine->kind != M_CALLER;
    }
    for (int64_t i = 0; i < sim->n; i++)
        sim_kill(sim->machines[i], 1);
    sim_run(sim, 200);
    for (int64_t i = 0; i < sim->n; i++)
        if (restarted[i])
            sim_boot(sim->machines[i]);
}

/* Whether the job has ended or its remaining tasks are blocked or wait for a later time. */
static int job_settled(struct sim *sim, const struct job *job)
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

static const struct accepted_job *first_unsettled_job(struct sim *sim)
{
    struct oracle *oracle = sim->oracle;
    for (int64_t i = 0; i < oracle->n_accepted_jobs; i++) {
        const struct job *job = sim_job(sim, oracle->accepted_jobs[i].job);
        if (job && !job_settled(sim, job))
            return &oracle->accepted_jobs[i];
    }
    return NULL;
}

static void check_jobs(struct sim *sim)
{
    struct oracle *oracle = sim->oracle;
    const struct accepted_job *unsettled = first_unsettled_job(sim);
    if (unsettled) {
        const struct job *job = sim_job(sim, unsettled->job);
        json_t *view = job_view(job, 1);
        char *text = json_dumps(view, JSON_COMPACT);
        json_decref(view);
        oracle_violation(oracle, "job %lld is left standing at the end of the day: %.200s", (long long)unsettled->job,
                         text);
        free(text);
    }
    for (int64_t i = 0; i < oracle->n_accepted_jobs; i++) {
        const struct job *job = sim_job(sim, oracle->accepted_jobs[i].job);
        oracle->n_checks++;
        if (!job)
            oracle_violation(oracle, "job %lld, accepted at %lld ms, is forgotten at the end of the day",
                             (long long)oracle->accepted_jobs[i].job, (long long)oracle->accepted_jobs[i].at_ms);
        else if (job->state == JOB_DONE)
            oracle_job_state_seen(oracle, job->id, "done");
    }
}

static void check_settings(struct sim *sim)
{
    struct oracle *oracle = sim->oracle;
    int64_t newest = 0;
    for (int64_t i = 0; i < oracle->n_accepted_settings; i++)
        newest = oracle->accepted_settings[i].version > newest ? oracle->accepted_settings[i].version : newest;
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *machine = sim->machines[i];
        if (machine->kind != M_NODE || !machine->up)
            continue;
        const struct config_tree *config_tree = &machine->core.node.config_tree;
        PWord_t at = (PWord_t)JudyLGet((Pcvoid_t)oracle->settings_hashes, (Word_t)newest, NULL);
        oracle->n_checks++;
        if (config_tree->version < newest ||
            (config_tree->version == newest && at && (int64_t)*at != oracle_settings_hash(config_tree)))
            oracle_violation(oracle, "%s has settings %lld at the end of the day, not %lld as accepted", machine->name,
                             (long long)config_tree->version, (long long)newest);
    }
}

/* Whether each executor's owner keeps as many allocations as the executor runs tasks.
 * Describes the first difference. */
static int accounts_equal(struct sim *sim, char *difference, size_t len)
{
    for (int64_t i = 0; i < sim->n; i++) {
        struct machine *executor = sim->machines[i];
        if (executor->kind != M_EXECUTOR || !executor->up)
            continue;
        struct machine *machine = sim_executor_owner(sim, executor->name);
        struct executor_owner *executor_owner =
            machine && machine->up ? executor_owner_find(&machine->core.node, executor->name) : NULL;
        int64_t n_rows_live = 0, cores = 0;
        for (int64_t k = 0; executor_owner && k < executor_owner->n_rows; k++)
            if (executor_owner->rows[k].state != ALLOCATION_ENDED)
                n_rows_live++, cores += executor_owner->rows[k].ref.cores;
        if (executor_owner && n_rows_live == executor->core.executor.n_work)
            continue;
        snprintf(difference, len, "%s runs %lld, its home %s keeps %lld tasks with %lld cores", executor->name,
                 (long long)executor->core.executor.n_work, machine ? machine->name : "nowhere", (long long)n_rows_live,
                 (long long)cores);
        return 0;
    }
    return 1;
}

void sim_check_final_state(struct sim *sim)
{
    char difference[200];
    end_faults(sim);
    restart_all(sim);
    sim_wait_for_service(sim, "close", 20000);
    int64_t until_ms = sim_ms(sim) + SETTLE_TIMEOUT_MS;
    while ((first_unsettled_job(sim) || !accounts_equal(sim, difference, sizeof difference)) && sim_ms(sim) < until_ms)
        sim_run(sim, 50);
    check_jobs(sim);
    check_settings(sim);
    sim->oracle->n_checks++;
    if (!accounts_equal(sim, difference, sizeof difference))
        oracle_violation(sim->oracle, "accounts differ at the end of the day: %s", difference);
}
