/* Runs on stand-ins of executors: work, ends, checkpoints, gangs on their shared board. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

static const struct step_spec *step_of(const struct standin_run *run) { return &run->job->spec->steps[run->step]; }

void run_free(struct standin_run *run) { free(run->checkpoint); }

struct standin_run *standin_run(struct standin *s, int64_t job, int64_t task)
{
    for (int64_t i = 0; i < s->n_runs; i++)
        if (s->runs[i].job->id == job && s->runs[i].task == task)
            return &s->runs[i];
    return NULL;
}

void standin_bar(struct standin *s, int64_t job, int64_t task, int64_t attempt)
{
    for (int64_t i = 0; i < s->n_barred; i++) {
        struct standin_barred *at = &s->barred[i];
        if (at->job == job && at->task == task) {
            at->attempt = at->attempt > attempt ? at->attempt : attempt;
            return;
        }
    }
    *array_add(s->barred, s->n_barred) = (struct standin_barred){.job = job, .task = task, .attempt = attempt};
}

int64_t standin_barred(const struct standin *s, int64_t job, int64_t task)
{
    for (int64_t i = 0; i < s->n_barred; i++)
        if (s->barred[i].job == job && s->barred[i].task == task)
            return s->barred[i].attempt;
    return 0;
}

void standin_used(const struct standin *s, int64_t *cpu_milli, int64_t *memory_mb, int64_t *gpus)
{
    *cpu_milli = *memory_mb = *gpus = 0;
    for (int64_t i = 0; i < s->n_runs; i++) {
        const struct step_spec *step = step_of(&s->runs[i]);
        *cpu_milli += step->cpu_milli;
        *memory_mb += step->memory_mb;
        *gpus += step->gpus;
    }
}

static int has_room(const struct standin *s, const struct step_spec *step)
{
    int64_t cpu_milli, memory_mb, gpus;
    standin_used(s, &cpu_milli, &memory_mb, &gpus);
    return cpu_milli + step->cpu_milli <= s->cpu_milli && memory_mb + step->memory_mb <= s->memory_mb &&
           gpus + step->gpus <= s->gpus;
}

/* What a checkpoint says: whose it is and how much work it holds. */
static int64_t saved_ms(const char *checkpoint)
{
    const char *at = checkpoint ? strrchr(checkpoint, '@') : NULL;
    return at ? text_to_int64(at + 1) : 0;
}

static void save(struct standin_run *run)
{
    struct board_row *row = board_row(run->job, run->task);
    if (!step_of(run)->checkpoints)
        return;
    free(run->checkpoint);
    run->saved_ms = run->done_us / 1000;
    run->checkpoint = must_printf("%llx.%llx@%lld", (unsigned long long)run->job->id, (unsigned long long)run->task,
                                  (long long)run->saved_ms);
    if (run->saved_ms > row->saved_ms)
        row->saved_ms = run->saved_ms;
}

static int64_t need_us(const struct standin *s, const struct standin_run *run)
{
    const struct step_spec *step = step_of(run);
    uint64_t h = hash_mix((uint64_t)run->job->id, (uint64_t)run->task);
    int64_t ms = step->estimate_ms * (int64_t)(60 + h % 80) / 100;
    if (step->rack && strcmp(step->rack, s->rack))
        ms = ms * 3 / 2;
    return (ms > 5 ? ms : 5) * 1000;
}

/* At how much work it will fail by its own fault; -1: it will not. */
static int64_t fails_us(const struct standin_run *run)
{
    const struct board_job *job = run->job;
    uint64_t h = hash_mix(hash_mix((uint64_t)job->id, (uint64_t)run->task), (uint64_t)run->attempt * 77 + 5);
    if (run->task == job->poison || (int64_t)(h % 100) < job->fail_pct)
        return (int64_t)(h / 100 % 100) * run->need_us / 100;
    return -1;
}

int standin_start(struct standin *s, const struct standin_start *order)
{
    struct cluster *c = s->host->cluster;
    struct board_job *job = order->job;
    const struct step_spec *step = &job->spec->steps[task_step(order->task)];
    if (s->checks_capacity && !has_room(s, step))
        return 0;
    struct standin_run *run = array_add(s->runs, s->n_runs);
    *run = (struct standin_run){.job = job,
                                .time = task_repetition(order->task),
                                .step = task_step(order->task),
                                .index = task_index(order->task),
                                .task = order->task,
                                .attempt = order->attempt,
                                .started_us = c->now_us};
    run->need_us = need_us(s, run);
    run->fails_us = fails_us(run);
    run->checkpoint = *order->checkpoint ? must_dup(order->checkpoint) : NULL;
    run->saved_ms = saved_ms(order->checkpoint);
    run->done_us = run->saved_ms * 1000;
    run->restore_us = *order->checkpoint ? RESTORE_MS * 1000 : 0;
    if (c->now_us < s->fail_us)
        run->fails_us = run->done_us;
    if (step->gang)
        board_gang(job, run->time, run->step, order->attempt);
    judge_begun(s, run, order->text, order->checkpoint, order->late);
    return 1;
}

/* Ends it, lists the end, and frees its place: run is no more after this. */
void standin_finish(struct standin *s, struct standin_run *run, enum standin_end how)
{
    struct cluster *c = s->host->cluster;
    struct standin_run over = *run;
    struct board_gang *gang = board_gang(over.job, over.time, over.step, over.attempt);
    *run = s->runs[--s->n_runs];
    if (how == RUN_STOPPED)
        save(&over);
    standin_bar(s, over.job->id, over.task, over.attempt);
    struct standin_ended *end = array_add(s->ended, s->n_ended);
    *end = (struct standin_ended){.seq = ++s->seq,
                                  .job = over.job->id,
                                  .task = over.task,
                                  .attempt = over.attempt,
                                  .how = how,
                                  .checkpoint = must_dup(over.checkpoint)};
    judge_ended(s, &over, how, end->seq);
    if (how != RUN_DONE)
        c->lost_core_ms += (over.done_us / 1000 - over.saved_ms) * step_of(&over)->cpu_milli / 1000;
    if (gang && gang->began_us && how != RUN_DONE)
        gang->broken = 1;
    run_free(&over);
}

void standin_stop(struct standin *s, struct standin_run *run)
{
    struct cluster *c = s->host->cluster;
    struct board_gang *gang = board_gang(run->job, run->time, run->step, run->attempt);
    if (!run->stopping_us)
        run->stopping_us = c->now_us + cluster_pick(c, STOP_MS * 1000 - STANDIN_ON_TIMER_US);
    if (gang && gang->began_us)
        gang->broken = 1;
}

void standin_lapse(struct standin *s)
{
    if (s->n_runs)
        cluster_tell(s->host->cluster, 0, "the hold on %s lapses, %lld runs", s->incarnation, (long long)s->n_runs);
    judge_lapsed(s);
    while (s->n_runs)
        standin_finish(s, &s->runs[0], RUN_LAPSED);
}

/* --- gangs ------------------------------------------------------------------------------ */

struct gang_member {
    struct standin *s;
    struct standin_run *run;
};

static int64_t members(struct cluster *c, const struct standin_run *like, struct gang_member *to, int64_t most)
{
    int64_t n = 0;
    struct standin *s;
    for (int64_t k = 0; (s = cluster_standin(c, k)); k++)
        for (int64_t i = 0; s->up && i < s->n_runs && n < most; i++) {
            struct standin_run *run = &s->runs[i];
            if (run->job == like->job && run->time == like->time && run->step == like->step &&
                run->attempt == like->attempt && !run->stopping_us)
                to[n++] = (struct gang_member){.s = s, .run = run};
        }
    return n;
}

static void finish_all(struct cluster *c, const struct standin_run *like, enum standin_end how)
{
    struct standin_run same = *like;
    struct gang_member one;
    while (members(c, &same, &one, 1))
        standin_finish(one.s, one.run, how);
}

/* 1: run ended, or others on the same executor with it. */
static int gang_work(struct standin *s, struct standin_run *run, int64_t passed_us)
{
    struct cluster *c = s->host->cluster;
    struct board_gang *gang = board_gang(run->job, run->time, run->step, run->attempt);
    const struct step_spec *step = step_of(run);
    struct gang_member all[64];
    if (gang->broken) {
        standin_finish(s, run, RUN_BROKEN);
        return 1;
    }
    int64_t n = members(c, run, all, 64);
    if (!gang->began_us) {
        if (n >= step->task_count) {
            int spread = 0;
            for (int64_t i = 1; i < n; i++)
                spread |= strcmp(all[i].s->rack, all[0].s->rack) != 0;
            gang->began_us = c->now_us;
            for (int64_t i = 0; i < n; i++)
                if (step->same_rack && spread)
                    all[i].run->need_us = all[i].run->need_us * 3 / 2;
        } else if (c->now_us - run->started_us > GANG_MS * 1000LL) {
            standin_finish(s, run, RUN_ALONE);
            return 1;
        }
        return 0;
    }
    if (run->restore_us > 0)
        run->restore_us -= passed_us;
    else
        run->done_us += passed_us;
    if (run->fails_us >= 0 && run->done_us >= run->fails_us) {
        standin_finish(s, run, RUN_FAILED);
        return 1;
    }
    if (run->done_us / 1000 - run->saved_ms >= SAVE_MS)
        save(run);
    for (int64_t i = 0; i < n; i++)
        if (all[i].run->done_us < all[i].run->need_us)
            return 0;
    finish_all(c, run, RUN_DONE);
    return 1;
}

/* 1: it ended. */
static int lone_work(struct standin *s, struct standin_run *run, int64_t passed_us)
{
    if (run->restore_us > 0) {
        run->restore_us -= passed_us;
        return 0;
    }
    run->done_us += passed_us;
    if (run->fails_us >= 0 && run->done_us >= run->fails_us &&
        (!step_of(run)->long_running || run->done_us > 1500000)) {
        standin_finish(s, run, RUN_FAILED);
        return 1;
    }
    if (step_of(run)->long_running)
        return 0;
    if (run->done_us >= run->need_us) {
        standin_finish(s, run, RUN_DONE);
        return 1;
    }
    if (run->done_us / 1000 - run->saved_ms >= SAVE_MS)
        save(run);
    return 0;
}

void standin_work(struct standin *s, int64_t passed_us)
{
    struct cluster *c = s->host->cluster;
    for (int64_t i = 0; i < s->n_runs;) {
        struct standin_run *run = &s->runs[i];
        int ended;
        if (run->on_timer_us == c->now_us) {
            i++;
            continue;
        }
        run->on_timer_us = c->now_us;
        if (run->stopping_us) {
            ended = c->now_us >= run->stopping_us;
            if (ended)
                standin_finish(s, run, RUN_STOPPED);
        } else if (step_of(run)->gang)
            ended = gang_work(s, run, passed_us);
        else
            ended = lone_work(s, run, passed_us);
        i = ended ? 0 : i + 1; /* an end may have moved any of them */
    }
}

struct standin *cluster_standin(struct cluster *c, int64_t n)
{
    for (int64_t i = 0; i < c->n; i++)
        if (c->hosts[i]->standin && n-- == 0)
            return c->hosts[i]->standin;
    return NULL;
}
