/* Runs on stand-ins of executors: their work, ends and checkpoints, and gangs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

static const struct step_spec *step_of(const struct standin_run *run) { return &run->job->spec->steps[run->step]; }

void run_free(struct standin_run *run) { free(run->checkpoint); }

struct standin_run *standin_run(struct standin *standin, int64_t job, int64_t task)
{
    for (int64_t i = 0; i < standin->n_runs; i++)
        if (standin->runs[i].job->id == job && standin->runs[i].task == task)
            return &standin->runs[i];
    return NULL;
}

void standin_bar(struct standin *standin, int64_t job, int64_t task, int64_t attempt)
{
    for (int64_t i = 0; i < standin->n_barred; i++) {
        struct standin_barred *at = &standin->barred[i];
        if (at->job == job && at->task == task) {
            at->attempt = at->attempt > attempt ? at->attempt : attempt;
            return;
        }
    }
    *array_add(standin->barred, standin->n_barred) =
        (struct standin_barred){.job = job, .task = task, .attempt = attempt};
}

int64_t standin_barred(const struct standin *standin, int64_t job, int64_t task)
{
    for (int64_t i = 0; i < standin->n_barred; i++)
        if (standin->barred[i].job == job && standin->barred[i].task == task)
            return standin->barred[i].attempt;
    return 0;
}

void standin_usage(const struct standin *standin, int64_t *cpu_milli, int64_t *memory_mb, int64_t *gpus)
{
    *cpu_milli = *memory_mb = *gpus = 0;
    for (int64_t i = 0; i < standin->n_runs; i++) {
        const struct step_spec *step = step_of(&standin->runs[i]);
        *cpu_milli += step->cpu_milli;
        *memory_mb += step->memory_mb;
        *gpus += step->gpus;
    }
}

static int has_capacity(const struct standin *standin, const struct step_spec *step)
{
    int64_t cpu_milli, memory_mb, gpus;
    standin_usage(standin, &cpu_milli, &memory_mb, &gpus);
    return cpu_milli + step->cpu_milli <= standin->cpu_milli && memory_mb + step->memory_mb <= standin->memory_mb &&
           gpus + step->gpus <= standin->gpus;
}

/* How much work a checkpoint (JOB.TASK@MS) holds. */
static int64_t checkpoint_ms(const char *checkpoint)
{
    const char *at = checkpoint ? strrchr(checkpoint, '@') : NULL;
    return at ? text_to_int64(at + 1) : 0;
}

static void write_checkpoint(struct standin_run *run)
{
    struct tracked_task *tracked = tracked_task(run->job, run->task);
    if (!step_of(run)->checkpoints)
        return;
    free(run->checkpoint);
    run->checkpoint_ms = run->done_us / 1000;
    run->checkpoint = must_printf("%llx.%llx@%lld", (unsigned long long)run->job->id, (unsigned long long)run->task,
                                  (long long)run->checkpoint_ms);
    if (run->checkpoint_ms > tracked->checkpoint_ms)
        tracked->checkpoint_ms = run->checkpoint_ms;
}

static int64_t required_us(const struct standin *standin, const struct standin_run *run)
{
    const struct step_spec *step = step_of(run);
    uint64_t hash = hash_mix((uint64_t)run->job->id, (uint64_t)run->task);
    int64_t ms = step->estimate_ms * (int64_t)(60 + hash % 80) / 100;
    if (step->rack && strcmp(step->rack, standin->rack))
        ms = ms * 3 / 2;
    return (ms > 5 ? ms : 5) * 1000;
}

/* The amount of work at which the run fails by itself; -1: it does not. */
static int64_t fails_at_us(const struct standin_run *run)
{
    const struct tracked_job *job = run->job;
    uint64_t hash = hash_mix(hash_mix((uint64_t)job->id, (uint64_t)run->task), (uint64_t)run->attempt * 77 + 5);
    if (run->task == job->failing_task || (int64_t)(hash % 100) < job->fail_pct)
        return (int64_t)(hash / 100 % 100) * run->required_us / 100;
    return -1;
}

int standin_start(struct standin *standin, const struct standin_start *order)
{
    struct cluster *cluster = standin->host->cluster;
    struct tracked_job *job = order->job;
    const struct step_spec *step = &job->spec->steps[task_step(order->task)];
    if (standin->checks_capacity && !has_capacity(standin, step))
        return 0;
    struct standin_run *run = array_add(standin->runs, standin->n_runs);
    *run = (struct standin_run){.job = job,
                                .repetition = task_repetition(order->task),
                                .step = task_step(order->task),
                                .index = task_index(order->task),
                                .task = order->task,
                                .attempt = order->attempt,
                                .started_us = cluster->now_us};
    run->required_us = required_us(standin, run);
    run->fails_at_us = fails_at_us(run);
    run->checkpoint = *order->checkpoint ? must_dup(order->checkpoint) : NULL;
    run->checkpoint_ms = checkpoint_ms(order->checkpoint);
    run->done_us = run->checkpoint_ms * 1000;
    run->restore_us = *order->checkpoint ? RESTORE_MS * 1000 : 0;
    if (cluster->now_us < standin->fail_until_us)
        run->fails_at_us = run->done_us;
    if (step->gang)
        tracked_gang(job, run->repetition, run->step, order->attempt);
    cluster_oracle_on_start(standin, run, order->text, order->checkpoint, order->late);
    return 1;
}

/* Ends a run, adds the end to the list and frees its capacity. run is invalid afterwards. */
void standin_finish(struct standin *standin, struct standin_run *run, enum standin_end how)
{
    struct cluster *cluster = standin->host->cluster;
    struct standin_run ended_run = *run;
    struct tracked_gang *gang = tracked_gang(ended_run.job, ended_run.repetition, ended_run.step, ended_run.attempt);
    *run = standin->runs[--standin->n_runs];
    if (how == RUN_STOPPED)
        write_checkpoint(&ended_run);
    standin_bar(standin, ended_run.job->id, ended_run.task, ended_run.attempt);
    struct standin_ended *end = array_add(standin->ended, standin->n_ended);
    *end = (struct standin_ended){.seq = ++standin->seq,
                                  .job = ended_run.job->id,
                                  .task = ended_run.task,
                                  .attempt = ended_run.attempt,
                                  .how = how,
                                  .checkpoint = must_dup(ended_run.checkpoint)};
    cluster_oracle_on_end(standin, &ended_run, how, end->seq);
    if (how != RUN_DONE)
        cluster->lost_core_ms +=
            (ended_run.done_us / 1000 - ended_run.checkpoint_ms) * step_of(&ended_run)->cpu_milli / 1000;
    if (gang && gang->began_us && how != RUN_DONE)
        gang->broken = 1;
    run_free(&ended_run);
}

void standin_stop(struct standin *standin, struct standin_run *run)
{
    struct cluster *cluster = standin->host->cluster;
    struct tracked_gang *gang = tracked_gang(run->job, run->repetition, run->step, run->attempt);
    if (!run->stopping_us)
        run->stopping_us = cluster->now_us + cluster_pick(cluster, STOP_TIMEOUT_MS * 1000 - STANDIN_ON_TIMER_US);
    if (gang && gang->began_us)
        gang->broken = 1;
}

void standin_expire_lease(struct standin *standin)
{
    if (standin->n_runs)
        cluster_trace(standin->host->cluster, 0, "the lease of %s expires with %lld runs", standin->name,
                      (long long)standin->n_runs);
    cluster_oracle_on_lease_expired(standin);
    while (standin->n_runs)
        standin_finish(standin, &standin->runs[0], RUN_LEASE_EXPIRED);
}

/* --- gangs ------------------------------------------------------------------------------ */

struct gang_member {
    struct standin *standin;
    struct standin_run *run;
};

static int64_t find_members(struct cluster *cluster, const struct standin_run *member, struct gang_member *to,
                            int64_t max_members)
{
    int64_t n = 0;
    struct standin *standin;
    for (int64_t k = 0; (standin = cluster_standin(cluster, k)); k++)
        for (int64_t i = 0; standin->up && i < standin->n_runs && n < max_members; i++) {
            struct standin_run *run = &standin->runs[i];
            if (run->job == member->job && run->repetition == member->repetition && run->step == member->step &&
                run->attempt == member->attempt && !run->stopping_us)
                to[n++] = (struct gang_member){.standin = standin, .run = run};
        }
    return n;
}

static void finish_gang(struct cluster *cluster, const struct standin_run *member, enum standin_end how)
{
    struct standin_run same = *member;
    struct gang_member one;
    while (find_members(cluster, &same, &one, 1))
        standin_finish(one.standin, one.run, how);
}

/* Returns 1 if run, or other runs of the same executor, ended. */
static int advance_gang(struct standin *standin, struct standin_run *run, int64_t passed_us)
{
    struct cluster *cluster = standin->host->cluster;
    struct tracked_gang *gang = tracked_gang(run->job, run->repetition, run->step, run->attempt);
    const struct step_spec *step = step_of(run);
    struct gang_member all[64];
    if (gang->broken) {
        standin_finish(standin, run, RUN_GANG_BROKEN);
        return 1;
    }
    int64_t n = find_members(cluster, run, all, 64);
    if (!gang->began_us) {
        if (n >= step->task_count) {
            int spread = 0;
            for (int64_t i = 1; i < n; i++)
                spread |= strcmp(all[i].standin->rack, all[0].standin->rack) != 0;
            gang->began_us = cluster->now_us;
            for (int64_t i = 0; i < n; i++)
                if (step->same_rack && spread)
                    all[i].run->required_us = all[i].run->required_us * 3 / 2;
        } else if (cluster->now_us - run->started_us > GANG_TIMEOUT_MS * 1000LL) {
            standin_finish(standin, run, RUN_GANG_TIMEOUT);
            return 1;
        }
        return 0;
    }
    if (run->restore_us > 0)
        run->restore_us -= passed_us;
    else
        run->done_us += passed_us;
    if (run->fails_at_us >= 0 && run->done_us >= run->fails_at_us) {
        standin_finish(standin, run, RUN_FAILED);
        return 1;
    }
    if (run->done_us / 1000 - run->checkpoint_ms >= CHECKPOINT_INTERVAL_MS)
        write_checkpoint(run);
    for (int64_t i = 0; i < n; i++)
        if (all[i].run->done_us < all[i].run->required_us)
            return 0;
    finish_gang(cluster, run, RUN_DONE);
    return 1;
}

/* Returns 1 if run ended. */
static int advance_task(struct standin *standin, struct standin_run *run, int64_t passed_us)
{
    if (run->restore_us > 0) {
        run->restore_us -= passed_us;
        return 0;
    }
    run->done_us += passed_us;
    if (run->fails_at_us >= 0 && run->done_us >= run->fails_at_us &&
        (!step_of(run)->long_running || run->done_us > 1500000)) {
        standin_finish(standin, run, RUN_FAILED);
        return 1;
    }
    if (step_of(run)->long_running)
        return 0;
    if (run->done_us >= run->required_us) {
        standin_finish(standin, run, RUN_DONE);
        return 1;
    }
    if (run->done_us / 1000 - run->checkpoint_ms >= CHECKPOINT_INTERVAL_MS)
        write_checkpoint(run);
    return 0;
}

void standin_advance(struct standin *standin, int64_t passed_us)
{
    struct cluster *cluster = standin->host->cluster;
    for (int64_t i = 0; i < standin->n_runs;) {
        struct standin_run *run = &standin->runs[i];
        int ended;
        if (run->on_timer_us == cluster->now_us) {
            i++;
            continue;
        }
        run->on_timer_us = cluster->now_us;
        if (run->stopping_us) {
            ended = cluster->now_us >= run->stopping_us;
            if (ended)
                standin_finish(standin, run, RUN_STOPPED);
        } else if (step_of(run)->gang)
            ended = advance_gang(standin, run, passed_us);
        else
            ended = advance_task(standin, run, passed_us);
        i = ended ? 0 : i + 1; /* a removal moves other runs to its index: start again */
    }
}

struct standin *cluster_standin(struct cluster *cluster, int64_t n)
{
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster->hosts[i]->standin && n-- == 0)
            return cluster->hosts[i]->standin;
    return NULL;
}
