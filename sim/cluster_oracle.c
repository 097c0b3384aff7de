/* The judge: rules over what executors, callers and operators saw, and over
 * nothing a core says of itself. Every breach is a line. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "sim/cluster.h"

typedef unsigned long long ull;

/* Breaches of a row that are in the report already. */
enum { TOLD_TWICE = 1, TOLD_BUDGET = 2 };

const char *end_name(int64_t how)
{
    static const char *const names[] = {"?", "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[how >= 1 && how <= RUN_ALONE ? how : 0];
}

void judge_say(struct cluster *c, int64_t job, const char *format, ...)
{
    char text[400];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    *array_add(c->breaches, c->n_breaches) = must_printf("%.3f %s", (double)c->now_us / 1e6, text);
    if (c->n_breaches == 1 || !c->breach_job)
        c->breach_job = job;
    cluster_tell(c, job, "BREACH %s", text);
}

/* --- a task's history ------------------------------------------------------------ */

/* A gang's members end done together, so one such end that was noted counts for all. */
static int counts_for(const struct board_job *job, int64_t task, const struct seen_end *end, int64_t end_task)
{
    const struct step_spec *step = &job->spec->steps[task_step(task)];
    return task == end_task || (step->gang && end->how == RUN_DONE);
}

/* Judges a start of task against the noted ends of other, which is task itself or a member of its gang. Returns how
 * many of these ends were failures of task. */
static int64_t judge_start_after(struct cluster *c, struct board_job *job, int64_t task, const struct seen_start *start,
                                 int64_t other)
{
    struct board_row *row = board_row(job, task);
    const struct board_row *ends = board_row(job, other);
    int64_t failed = 0;
    for (int64_t e = 0; e < ends->n_ends; e++) {
        const struct seen_end *end = &ends->ends[e];
        if (!end->noted || end->at_us > start->at_us || !counts_for(job, task, end, other))
            continue;
        failed += end->how == RUN_FAILED && other == task;
        if (end->how != RUN_DONE || (row->told & TOLD_TWICE))
            continue;
        row->told |= TOLD_TWICE;
        judge_say(
            c, job->id,
            "TWICE: task %llx of job %llx starts (attempt %lld) after its end as done (attempt %lld at %.3f) that "
            "was noted",
            (ull)task, (ull)job->id, (long long)start->attempt, (long long)end->attempt, (double)end->at_us / 1e6);
    }
    return failed;
}

/* Judges the starts of a task anew against the ends noted by now. */
static void judge_starts(struct cluster *c, struct board_job *job, int64_t task)
{
    const struct step_spec *step = &job->spec->steps[task_step(task)];
    struct board_row *row = board_row(job, task);
    int64_t from = step->gang ? 0 : task_index(task), to = step->gang ? step->task_count : from + 1;
    c->judged++;
    if (step->duplicates || step->long_running)
        return;
    for (int64_t i = 0; i < row->n_starts; i++) {
        int64_t failed = 0;
        for (int64_t k = from; k < to; k++)
            failed +=
                judge_start_after(c, job, task, &row->starts[i], task_of(task_repetition(task), task_step(task), k));
        if (failed < ATTEMPTS_MAX || (row->told & TOLD_BUDGET))
            continue;
        row->told |= TOLD_BUDGET;
        judge_say(c, job->id, "BUDGET: task %llx of job %llx starts after %lld failures", (ull)task, (ull)job->id,
                  (long long)failed);
    }
}

static int ended_done(const struct board_row *row)
{
    for (int64_t i = 0; i < row->n_ends; i++)
        if (row->ends[i].how == RUN_DONE)
            return 1;
    return 0;
}

int board_step_done(const struct board_job *job, int64_t time, int64_t step)
{
    int all = 1, any = 0;
    for (int64_t k = 0; k < job->spec->steps[step].task_count; k++) {
        int done = ended_done(board_row(job, task_of(time, step, k)));
        all &= done;
        any |= done;
    }
    return all || (any && job->spec->steps[step].gang);
}

/* --- starts ------------------------------------------------------------------------ */

static void judge_twice(struct standin *s, const struct standin_run *run)
{
    struct cluster *c = s->host->cluster;
    struct standin *other;
    if (run->job->spec->steps[run->step].duplicates)
        return;
    for (int64_t k = 0; (other = cluster_standin(c, k)); k++)
        for (int64_t i = 0; other->up && i < other->n_runs; i++)
            if (&other->runs[i] != run && other->runs[i].job == run->job && other->runs[i].task == run->task)
                judge_say(c, run->job->id, "TWICE: task %llx of job %llx runs on %s (attempt %lld) and on %s (%lld)",
                          (ull)run->task, (ull)run->job->id, s->incarnation, (long long)run->attempt,
                          other->incarnation, (long long)other->runs[i].attempt);
}

static void judge_place(struct standin *s, const struct standin_run *run)
{
    struct cluster *c = s->host->cluster;
    const struct step_spec *step = &run->job->spec->steps[run->step];
    int64_t cpu_milli, memory_mb, gpus, same = 0;
    standin_used(s, &cpu_milli, &memory_mb, &gpus);
    if (cpu_milli > s->cpu_milli || memory_mb > s->memory_mb || gpus > s->gpus)
        judge_say(c, run->job->id, "LIMIT: %s holds %lld of %lld cpu, %lld of %lld MB", s->incarnation,
                  (long long)cpu_milli, (long long)s->cpu_milli, (long long)memory_mb, (long long)s->memory_mb);
    if (strcmp(s->service, run->job->service))
        judge_say(c, run->job->id, "ROUTE: job %llx of service %s starts on %s", (ull)run->job->id, run->job->service,
                  s->incarnation);
    if (step->label && strcmp(step->label, s->label) && strcmp(step->label, s->rack))
        judge_say(c, run->job->id, "ROUTE: %s lacks label %s", s->incarnation, step->label);
    for (int64_t i = 0; i < s->n_runs; i++)
        same += s->runs[i].job == run->job && s->runs[i].step == run->step && s->runs[i].time == run->time;
    if (step->per_executor && same > step->per_executor)
        judge_say(c, run->job->id, "ROUTE: %lld tasks of one step on %s, %lld allowed", (long long)same, s->incarnation,
                  (long long)step->per_executor);
}

static void judge_order(struct standin *s, const struct standin_run *run)
{
    struct cluster *c = s->host->cluster;
    const struct job_spec *spec = run->job->spec;
    const struct step_spec *step = &spec->steps[run->step];
    for (int64_t i = 0; i < step->n_depends_on; i++)
        if (!board_step_done(run->job, run->time, step->depends_on[i]))
            judge_say(c, run->job->id, "ORDER: step %lld of job %llx starts before step %lld is done",
                      (long long)run->step, (ull)run->job->id, (long long)step->depends_on[i]);
    int64_t due_ms = spec->start_ms + run->time * spec->interval_ms - EARLY_MS - (c->clocks_jump ? JUMP_MS : 0);
    if (spec->repeats && cluster_wall_ms(c) < due_ms)
        judge_say(c, run->job->id, "ORDER: time %lld of job %llx starts %lld ms too early", (long long)run->time,
                  (ull)run->job->id, (long long)(due_ms - cluster_wall_ms(c)));
}

/* Reads what a run saved (JOB.TASK@MS, the first two in hexadecimal). Returns 1 if all three are there. */
static int read_saved(const char *checkpoint, ull *job, ull *task, long long *at_ms)
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

static void judge_asked(struct standin *s, const struct standin_run *run, const char *text, const char *checkpoint,
                        int late)
{
    struct cluster *c = s->host->cluster;
    const struct board_job *job = run->job;
    ull saved_job, saved_task;
    long long saved_ms;
    int in_touch = !late && cluster_in_touch(c, s->host);
    if (job->sent_us < 0 || strcmp(text, job->spec->text))
        judge_say(c, job->id, "UNASKED: job %llx starts with the text '%.60s'", (ull)job->id, text);
    if (*checkpoint) {
        int read = read_saved(checkpoint, &saved_job, &saved_task, &saved_ms);
        const struct board_row *row = read ? board_row(job, (int64_t)saved_task) : NULL;
        if (!row || (int64_t)saved_job != job->id || saved_ms > row->saved_ms ||
            ((int64_t)saved_task != run->task &&
             (!job->spec->steps[run->step].gang || task_step((int64_t)saved_task) != run->step ||
              task_repetition((int64_t)saved_task) != run->time)))
            judge_say(c, job->id, "UNASKED: task %llx of job %llx starts with the checkpoint '%.60s'", (ull)run->task,
                      (ull)job->id, checkpoint);
    }
    struct board_gang *gang = board_gang(run->job, run->time, run->step, run->attempt);
    if (gang && gang->started && strcmp(gang->checkpoint, checkpoint))
        judge_say(c, job->id, "UNASKED: a gang of job %llx starts with different checkpoints", (ull)job->id);
    if (gang && !gang->started) {
        gang->started = 1;
        gang->checkpoint = must_dup(checkpoint);
    }
    if (in_touch && job->cancel_ack_us >= 0 && c->now_us - job->cancel_ack_us > CANCEL_MS * 1000LL)
        judge_say(c, job->id, "UNASKED: job %llx starts %lld ms after its cancelling was acknowledged", (ull)job->id,
                  (long long)(c->now_us - job->cancel_ack_us) / 1000);
    if (in_touch && job->shown == 3 && c->now_us - job->shown_us > 1000000)
        judge_say(c, job->id, "TWICE: job %llx starts after it was shown as done", (ull)job->id);
    if (job->accepted_us < 0 && !job->open && job->refusals == job->tries)
        judge_say(c, job->id, "REFUSED: job %llx starts though every try was turned away", (ull)job->id);
    if (in_touch && s->drain_ack_us >= 0 && c->now_us - s->drain_ack_us > DRAIN_MS * 1000LL)
        judge_say(c, job->id, "DRAIN: %s starts a task %lld ms after its draining was acknowledged", s->incarnation,
                  (long long)(c->now_us - s->drain_ack_us) / 1000);
}

void judge_begun(struct standin *s, struct standin_run *run, const char *text, const char *checkpoint, int late)
{
    struct cluster *c = s->host->cluster;
    struct board_row *row = board_row(run->job, run->task);
    c->n_starts++;
    run->job->starts++;
    cluster_tell(c, run->job->id, "%s starts %llx attempt %lld %s%s", s->incarnation, (ull)run->task,
                 (long long)run->attempt, checkpoint, late ? " (carried out late)" : "");
    *array_add(row->starts, row->n_starts) =
        (struct seen_start){.at_us = c->now_us, .attempt = run->attempt, .executor = s->index};
    judge_twice(s, run);
    judge_place(s, run);
    judge_order(s, run);
    judge_asked(s, run, text, checkpoint, late);
    judge_starts(c, run->job, run->task);
}

/* --- ends ------------------------------------------------------------------------------ */

void judge_ended(struct standin *s, const struct standin_run *run, enum standin_end how, int64_t seq)
{
    struct cluster *c = s->host->cluster;
    struct board_row *row = board_row(run->job, run->task);
    c->n_ends[how]++;
    cluster_tell(c, run->job->id, "%s ends %llx attempt %lld as %s", s->incarnation, (ull)run->task,
                 (long long)run->attempt, end_name(how));
    *array_add(row->ends, row->n_ends) = (struct seen_end){.at_us = c->now_us,
                                                           .attempt = run->attempt,
                                                           .executor = s->index,
                                                           .generation = s->generation,
                                                           .seq = seq,
                                                           .how = how};
    if (how == RUN_ALONE && c->calm && run->job->cancel_us == 0)
        judge_say(c, run->job->id, "GANG: %s ends a task alone", s->incarnation);
}

static struct seen_end *end_of(const struct standin *s, const struct board_row *row, int64_t seq)
{
    for (int64_t e = row->n_ends - 1; e >= 0; e--)
        if (row->ends[e].executor == s->index && row->ends[e].generation == s->generation && row->ends[e].seq == seq)
            return &row->ends[e];
    return NULL;
}

void judge_noted(struct standin *s, int64_t seen)
{
    struct cluster *c = s->host->cluster;
    for (int64_t i = 0; i < s->n_ended; i++) {
        struct board_job *job = board_job(c, s->ended[i].job);
        int64_t task = s->ended[i].task, time = task_repetition(task), step_no = task_step(task);
        const struct step_spec *step = &job->spec->steps[step_no];
        struct seen_end *end = end_of(s, board_row(job, task), s->ended[i].seq);
        if (s->ended[i].seq > seen || !end || end->noted || end->lapsed)
            continue;
        end->noted = 1;
        if (!step->gang)
            judge_starts(c, job, task);
        for (int64_t k = 0; step->gang && k < step->task_count; k++)
            judge_starts(c, job, task_of(time, step_no, k));
    }
}

/* The hold is over: what was not noted by now never counts as noted. */
void judge_lapsed(struct standin *s)
{
    for (int64_t i = 0; i < s->n_ended; i++) {
        struct board_job *job = board_job(s->host->cluster, s->ended[i].job);
        struct seen_end *end = end_of(s, board_row(job, s->ended[i].task), s->ended[i].seq);
        if (end && !end->noted)
            end->lapsed = 1;
    }
}

/* --- what callers are told ------------------------------------------------------------------ */

void judge_answer(struct cluster *c, int64_t job, int status, const char *body, const char *member)
{
    json_t *answer = status == 200 ? json_loads(body, 0, NULL) : NULL;
    int own = member ? json_object_get(answer, member) != NULL : json_is_object(answer) && !json_object_size(answer);
    json_decref(answer);
    if (status == 200 && !own)
        judge_say(c, job, "ANSWER: who waits for %s is answered %.60s", member ? member : "no more than a yes", body);
}

static int all_done(const struct board_job *job)
{
    for (int64_t t = 0; t < job->times; t++)
        for (int64_t i = 0; i < job->spec->n_steps; i++)
            if (!board_step_done(job, t, i))
                return 0;
    return 1;
}

static int may_fail(const struct board_job *job)
{
    for (int64_t r = 0; r < job->tasks * job->times; r++) {
        int64_t failed = 0;
        for (int64_t e = 0; e < job->rows[r].n_ends; e++)
            failed += job->rows[r].ends[e].how == RUN_FAILED;
        if (failed >= ATTEMPTS_MAX)
            return 1;
    }
    for (int64_t i = 0; i < job->spec->n_steps; i++) /* a gang fails as one */
        for (int64_t t = 0; job->spec->steps[i].gang && t < job->times; t++) {
            int64_t failed = 0;
            for (int64_t k = 0; k < job->spec->steps[i].task_count; k++) {
                const struct board_row *row = board_row(job, task_of(t, i, k));
                for (int64_t e = 0; e < row->n_ends; e++)
                    failed += row->ends[e].how == RUN_FAILED;
            }
            if (failed >= ATTEMPTS_MAX)
                return 1;
        }
    return job->hopeless != 0;
}

void judge_shown(struct cluster *c, struct board_job *job, const char *state, const struct host *by)
{
    static const char *const states[] = {"?", "pending", "active", "done", "failed", "cancelled"};
    int64_t shown = 0;
    for (int64_t i = 1; i < COUNT_OF(states); i++)
        if (!strcmp(state, states[i]))
            shown = i;
    c->judged++;
    if (job->shown >= 3 && shown != job->shown)
        judge_say(c, job->id, "LOST: job %llx was shown as %s and is now %s by %s", (ull)job->id, states[job->shown],
                  state, by->name);
    if (shown == job->shown)
        return;
    cluster_tell(c, job->id, "job %llx is shown as %s by %s", (ull)job->id, state, by->name);
    job->shown = shown;
    job->shown_us = c->now_us;
    if (shown == 3) {
        c->n_shown_done++;
        if (!all_done(job))
            judge_say(c, job->id, "MIXED: job %llx is shown as done before all its tasks ended so", (ull)job->id);
    }
    if (shown == 4 && !may_fail(job))
        judge_say(c, job->id, "LOST: job %llx is shown as failed without a cause", (ull)job->id);
    if (shown == 5 && !job->cancel_us)
        judge_say(c, job->id, "LOST: job %llx is shown as cancelled and nobody asked for it", (ull)job->id);
}

/* Our reads go through the leader's log, so no controller at all may deny what it accepted. */
void judge_gone(struct cluster *c, struct board_job *job, const struct host *by)
{
    job->missing++;
    if (job->accepted_us >= 0 && c->now_us - job->accepted_us > VISIBLE_MS * 1000LL && job->missing == 1)
        judge_say(c, job->id, "LOST: %s answers that accepted job %llx does not exist", by->name, (ull)job->id);
}

static void still_running(struct cluster *c, void *arg, int64_t n)
{
    struct board_job *job = arg;
    struct standin *s;
    (void)n;
    for (int64_t k = 0; (s = cluster_standin(c, k)); k++)
        for (int64_t i = 0; s->up && i < s->n_runs; i++)
            if (s->runs[i].job == job && cluster_in_touch(c, s->host) &&
                c->now_us - c->trouble_us > (CANCEL_MS + STOP_MS + CONTACT_MS) * 1000LL &&
                c->now_us - s->fault_us > CONTACT_MS * 1000 + HOLD_MAX_MS * 1000)
                judge_say(c, job->id, "UNASKED: task %llx of job %llx still runs on %s long after its cancelling",
                          (ull)s->runs[i].task, (ull)job->id, s->incarnation);
}

void judge_cancelled(struct cluster *c, struct board_job *job)
{
    if (job->cancel_ack_us >= 0)
        return;
    job->cancel_ack_us = c->now_us;
    cluster_tell(c, job->id, "cancelling of job %llx is acknowledged", (ull)job->id);
    cluster_at(c, CANCEL_MS + STOP_MS, still_running, job, 0);
}

void judge_over(struct cluster *c)
{
    for (int64_t i = 0; i < c->n_jobs; i++) {
        const struct board_job *job = c->jobs[i];
        if (job->starts && job->accepted_us < 0 && job->tries == job->refusals)
            judge_say(c, job->id, "REFUSED: job %llx ran though every try was turned away", (ull)job->id);
        if (job->missing && job->accepted_us >= 0 && job->shown < 3)
            judge_say(c, job->id, "LOST: accepted job %llx is not known at the end", (ull)job->id);
    }
}
