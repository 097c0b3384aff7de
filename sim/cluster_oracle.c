/* The oracle: checks rules against what executors, callers and operators observe, and against nothing that a core
 * reports about itself. It records each violation as a line. The word at the start of the line names the rule. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

typedef unsigned long long ull;

/* Violations that were reported for a task already. */
enum { REPORTED_TWICE = 1, REPORTED_BUDGET = 2 };

const char *standin_end_name(int64_t how)
{
    static const char *const names[] = {"?",           "done",        "failed", "stopped", "lease expired",
                                        "gang broken", "gang timeout"};
    return names[how >= 1 && how <= RUN_GANG_TIMEOUT ? how : 0];
}

void cluster_violation(struct cluster *cluster, int64_t job, const char *format, ...)
{
    char text[400];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    *array_add(cluster->violations, cluster->n_violations) =
        must_printf("%.3f %s", (double)cluster->now_us / 1e6, text);
    if (cluster->n_violations == 1 || !cluster->violation_job)
        cluster->violation_job = job;
    cluster_trace(cluster, job, "BREACH %s", text);
}

/* --- a task's history ------------------------------------------------------------ */

/* The members of a gang finish together, so one acknowledged end as done counts for all. */
static int end_applies_to(const struct tracked_job *job, int64_t task, const struct seen_end *end, int64_t end_task)
{
    const struct step_spec *step = &job->spec->steps[task_step(task)];
    return task == end_task || (step->gang && end->how == RUN_DONE);
}

/* Checks a start of task against the acknowledged ends of other, which is task itself or a member of its gang. Returns
 * how many of these ends were failures of task. */
static int64_t check_start_after_ends(struct cluster *cluster, struct tracked_job *job, int64_t task,
                                      const struct seen_start *start, int64_t other)
{
    struct tracked_task *tracked = tracked_task(job, task);
    const struct tracked_task *ends = tracked_task(job, other);
    int64_t failed = 0;
    for (int64_t e = 0; e < ends->n_ends; e++) {
        const struct seen_end *end = &ends->ends[e];
        if (!end->acknowledged || end->at_us > start->at_us || !end_applies_to(job, task, end, other))
            continue;
        failed += end->how == RUN_FAILED && other == task;
        if (end->how != RUN_DONE || (tracked->reported & REPORTED_TWICE))
            continue;
        tracked->reported |= REPORTED_TWICE;
        cluster_violation(
            cluster, job->id,
            "TWICE: task %llx of job %llx starts (attempt %lld) after its end as done (attempt %lld at %.3f) that "
            "was acknowledged",
            (ull)task, (ull)job->id, (long long)start->attempt, (long long)end->attempt, (double)end->at_us / 1e6);
    }
    return failed;
}

/* Checks all starts of a task against the ends that are acknowledged by now. */
static void check_starts(struct cluster *cluster, struct tracked_job *job, int64_t task)
{
    const struct step_spec *step = &job->spec->steps[task_step(task)];
    struct tracked_task *tracked = tracked_task(job, task);
    int64_t from = step->gang ? 0 : task_index(task), to = step->gang ? step->task_count : from + 1;
    cluster->n_checks++;
    if (step->duplicates || step->long_running)
        return;
    for (int64_t i = 0; i < tracked->n_starts; i++) {
        int64_t failed = 0;
        for (int64_t k = from; k < to; k++)
            failed += check_start_after_ends(cluster, job, task, &tracked->starts[i],
                                             task_of(task_repetition(task), task_step(task), k));
        if (failed < ATTEMPTS_MAX || (tracked->reported & REPORTED_BUDGET))
            continue;
        tracked->reported |= REPORTED_BUDGET;
        cluster_violation(cluster, job->id, "BUDGET: task %llx of job %llx starts after %lld failures", (ull)task,
                          (ull)job->id, (long long)failed);
    }
}

static int has_done_end(const struct tracked_task *tracked)
{
    for (int64_t i = 0; i < tracked->n_ends; i++)
        if (tracked->ends[i].how == RUN_DONE)
            return 1;
    return 0;
}

int tracked_step_done(const struct tracked_job *job, int64_t repetition, int64_t step)
{
    int all = 1, any = 0;
    for (int64_t k = 0; k < job->spec->steps[step].task_count; k++) {
        int done = has_done_end(tracked_task(job, task_of(repetition, step, k)));
        all &= done;
        any |= done;
    }
    return all || (any && job->spec->steps[step].gang);
}

/* --- starts ------------------------------------------------------------------------ */

static void check_running_once(struct standin *standin, const struct standin_run *run)
{
    struct cluster *cluster = standin->host->cluster;
    struct standin *other;
    if (run->job->spec->steps[run->step].duplicates)
        return;
    for (int64_t k = 0; (other = cluster_standin(cluster, k)); k++)
        for (int64_t i = 0; other->up && i < other->n_runs; i++)
            if (&other->runs[i] != run && other->runs[i].job == run->job && other->runs[i].task == run->task)
                cluster_violation(cluster, run->job->id,
                                  "TWICE: task %llx of job %llx runs on %s (attempt %lld) and on %s (%lld)",
                                  (ull)run->task, (ull)run->job->id, standin->name, (long long)run->attempt,
                                  other->name, (long long)other->runs[i].attempt);
}

static void check_placement(struct standin *standin, const struct standin_run *run)
{
    struct cluster *cluster = standin->host->cluster;
    const struct step_spec *step = &run->job->spec->steps[run->step];
    int64_t cpu_milli, memory_mb, gpus, same = 0;
    standin_usage(standin, &cpu_milli, &memory_mb, &gpus);
    if (cpu_milli > standin->cpu_milli || memory_mb > standin->memory_mb || gpus > standin->gpus)
        cluster_violation(cluster, run->job->id, "LIMIT: %s holds %lld of %lld cpu, %lld of %lld MB", standin->name,
                          (long long)cpu_milli, (long long)standin->cpu_milli, (long long)memory_mb,
                          (long long)standin->memory_mb);
    if (strcmp(standin->service, run->job->service))
        cluster_violation(cluster, run->job->id, "ROUTE: job %llx of service %s starts on %s", (ull)run->job->id,
                          run->job->service, standin->name);
    if (step->label && strcmp(step->label, standin->label) && strcmp(step->label, standin->rack))
        cluster_violation(cluster, run->job->id, "ROUTE: %s lacks label %s", standin->name, step->label);
    for (int64_t i = 0; i < standin->n_runs; i++)
        same += standin->runs[i].job == run->job && standin->runs[i].step == run->step &&
                standin->runs[i].repetition == run->repetition;
    if (step->per_executor && same > step->per_executor)
        cluster_violation(cluster, run->job->id, "ROUTE: %lld tasks of one step on %s, %lld allowed", (long long)same,
                          standin->name, (long long)step->per_executor);
}

static void check_order(struct standin *standin, const struct standin_run *run)
{
    struct cluster *cluster = standin->host->cluster;
    const struct job_spec *spec = run->job->spec;
    const struct step_spec *step = &spec->steps[run->step];
    for (int64_t i = 0; i < step->n_depends_on; i++)
        if (!tracked_step_done(run->job, run->repetition, step->depends_on[i]))
            cluster_violation(cluster, run->job->id, "ORDER: step %lld of job %llx starts before step %lld is done",
                              (long long)run->step, (ull)run->job->id, (long long)step->depends_on[i]);
    int64_t earliest_ms =
        spec->start_ms + run->repetition * spec->interval_ms - EARLY_MS - (cluster->clocks_jump ? CLOCK_JUMP_MS : 0);
    if (spec->repeats && cluster_wall_ms(cluster) < earliest_ms)
        cluster_violation(cluster, run->job->id, "ORDER: repetition %lld of job %llx starts %lld ms too early",
                          (long long)run->repetition, (ull)run->job->id,
                          (long long)(earliest_ms - cluster_wall_ms(cluster)));
}

/* Parses a checkpoint (JOB.TASK@MS, the first two in hexadecimal). Returns 1 if it has all three numbers. */
static int read_checkpoint(const char *checkpoint, ull *job, ull *task, long long *at_ms)
{
    char *end;
    *job = strtoull(checkpoint, &end, 16);
    if (end == checkpoint || *end != '.')
        return 0;
    checkpoint = end + 1;
    *task = strtoull(checkpoint, &end, 16);
    if (end == checkpoint || *end != '@')
        return 0;
    checkpoint = end + 1;
    *at_ms = strtoll(checkpoint, &end, 10);
    return end != checkpoint;
}

static void check_requested(struct standin *standin, const struct standin_run *run, const char *text,
                            const char *checkpoint, int late)
{
    struct cluster *cluster = standin->host->cluster;
    const struct tracked_job *job = run->job;
    ull checkpoint_job, checkpoint_task;
    long long checkpoint_ms;
    int reachable = !late && cluster_is_reachable(cluster, standin->host);
    if (job->sent_us < 0 || strcmp(text, job->spec->text))
        cluster_violation(cluster, job->id, "UNASKED: job %llx starts with the text '%.60s'", (ull)job->id, text);
    if (*checkpoint) {
        int read = read_checkpoint(checkpoint, &checkpoint_job, &checkpoint_task, &checkpoint_ms);
        const struct tracked_task *tracked = read ? tracked_task(job, (int64_t)checkpoint_task) : NULL;
        if (!tracked || (int64_t)checkpoint_job != job->id || checkpoint_ms > tracked->checkpoint_ms ||
            ((int64_t)checkpoint_task != run->task &&
             (!job->spec->steps[run->step].gang || task_step((int64_t)checkpoint_task) != run->step ||
              task_repetition((int64_t)checkpoint_task) != run->repetition)))
            cluster_violation(cluster, job->id, "UNASKED: task %llx of job %llx starts with the checkpoint '%.60s'",
                              (ull)run->task, (ull)job->id, checkpoint);
    }
    struct tracked_gang *gang = tracked_gang(run->job, run->repetition, run->step, run->attempt);
    if (gang && gang->started && strcmp(gang->checkpoint, checkpoint))
        cluster_violation(cluster, job->id, "UNASKED: a gang of job %llx starts with different checkpoints",
                          (ull)job->id);
    if (gang && !gang->started) {
        gang->started = 1;
        gang->checkpoint = must_dup(checkpoint);
    }
    if (reachable && job->cancel_ack_us >= 0 && cluster->now_us - job->cancel_ack_us > CANCEL_MS * 1000LL)
        cluster_violation(cluster, job->id, "UNASKED: job %llx starts %lld ms after its cancellation was acknowledged",
                          (ull)job->id, (long long)(cluster->now_us - job->cancel_ack_us) / 1000);
    if (reachable && job->seen_state == 3 && cluster->now_us - job->seen_state_us > 1000000)
        cluster_violation(cluster, job->id, "TWICE: job %llx starts after it was shown as done", (ull)job->id);
    if (job->accepted_us < 0 && !job->in_flight && job->refusals == job->tries)
        cluster_violation(cluster, job->id, "REFUSED: job %llx starts although each submission was refused",
                          (ull)job->id);
    if (reachable && standin->drain_ack_us >= 0 && cluster->now_us - standin->drain_ack_us > DRAIN_MS * 1000LL)
        cluster_violation(cluster, job->id, "DRAIN: %s starts a task %lld ms after its draining was acknowledged",
                          standin->name, (long long)(cluster->now_us - standin->drain_ack_us) / 1000);
}

void cluster_oracle_on_start(struct standin *standin, struct standin_run *run, const char *text, const char *checkpoint,
                             int late)
{
    struct cluster *cluster = standin->host->cluster;
    struct tracked_task *tracked = tracked_task(run->job, run->task);
    cluster->n_starts++;
    run->job->starts++;
    cluster_trace(cluster, run->job->id, "%s starts %llx attempt %lld %s%s", standin->name, (ull)run->task,
                  (long long)run->attempt, checkpoint, late ? " (carried out late)" : "");
    *array_add(tracked->starts, tracked->n_starts) =
        (struct seen_start){.at_us = cluster->now_us, .attempt = run->attempt, .executor = standin->index};
    check_running_once(standin, run);
    check_placement(standin, run);
    check_order(standin, run);
    check_requested(standin, run, text, checkpoint, late);
    check_starts(cluster, run->job, run->task);
}

/* --- ends ------------------------------------------------------------------------------ */

void cluster_oracle_on_end(struct standin *standin, const struct standin_run *run, enum standin_end how, int64_t seq)
{
    struct cluster *cluster = standin->host->cluster;
    struct tracked_task *tracked = tracked_task(run->job, run->task);
    cluster->n_ends[how]++;
    cluster_trace(cluster, run->job->id, "%s ends %llx attempt %lld as %s", standin->name, (ull)run->task,
                  (long long)run->attempt, standin_end_name(how));
    *array_add(tracked->ends, tracked->n_ends) = (struct seen_end){.at_us = cluster->now_us,
                                                                   .attempt = run->attempt,
                                                                   .executor = standin->index,
                                                                   .generation = standin->generation,
                                                                   .seq = seq,
                                                                   .how = how};
    if (how == RUN_GANG_TIMEOUT && cluster->fault_free && run->job->cancel_us == 0)
        cluster_violation(cluster, run->job->id, "GANG: %s ends a task because its gang is not complete",
                          standin->name);
}

static struct seen_end *find_end(const struct standin *standin, const struct tracked_task *tracked, int64_t seq)
{
    for (int64_t e = tracked->n_ends - 1; e >= 0; e--)
        if (tracked->ends[e].executor == standin->index && tracked->ends[e].generation == standin->generation &&
            tracked->ends[e].seq == seq)
            return &tracked->ends[e];
    return NULL;
}

void cluster_oracle_on_ends_acknowledged(struct standin *standin, int64_t up_to_seq)
{
    struct cluster *cluster = standin->host->cluster;
    for (int64_t i = 0; i < standin->n_ended; i++) {
        struct tracked_job *job = tracked_job(cluster, standin->ended[i].job);
        int64_t task = standin->ended[i].task, repetition = task_repetition(task), step_no = task_step(task);
        const struct step_spec *step = &job->spec->steps[step_no];
        struct seen_end *end = find_end(standin, tracked_task(job, task), standin->ended[i].seq);
        if (standin->ended[i].seq > up_to_seq || !end || end->acknowledged || end->lease_expired)
            continue;
        end->acknowledged = 1;
        if (!step->gang)
            check_starts(cluster, job, task);
        for (int64_t k = 0; step->gang && k < step->task_count; k++)
            check_starts(cluster, job, task_of(repetition, step_no, k));
    }
}

/* After the lease expired, an end that is not acknowledged by now never counts as acknowledged. */
void cluster_oracle_on_lease_expired(struct standin *standin)
{
    for (int64_t i = 0; i < standin->n_ended; i++) {
        struct tracked_job *job = tracked_job(standin->host->cluster, standin->ended[i].job);
        struct seen_end *end = find_end(standin, tracked_task(job, standin->ended[i].task), standin->ended[i].seq);
        if (end && !end->acknowledged)
            end->lease_expired = 1;
    }
}
