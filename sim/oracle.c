/* The oracle keeps its own plain account of what executors really did and what
 * was promised, and says which of the rules was broken. */
#include "sim/oracle.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct oracle *oracle_new(struct sim *sim)
{
    struct oracle *o = must_alloc(sizeof *o);
    o->sim = sim;
    return o;
}

void oracle_free(struct oracle *o)
{
    JudyLFreeArray(&o->index, NULL);
    JudyLFreeArray(&o->accepted_index, NULL);
    JudyLFreeArray(&o->contents, NULL);
    free(o->accepted);
    free(o->asked);
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        JudyLFreeArray(&o->entries[g], NULL);
    free(o->tasks);
    free(o->promised);
    free(o->cancelled);
    free(o->gangs);
    bytes_free(&o->report);
    free(o);
}

void oracle_breach(struct oracle *o, const char *format, ...)
{
    char text[300];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (o->breaches++ < 20)
        bytes_printf(&o->report, "%.3f %s\n", (double)o->sim->now_us / 1e6, text);
}

int64_t oracle_breaches(const struct oracle *o) { return o->breaches; }
const char *oracle_report(const struct oracle *o) { return o->report.at ? (const char *)o->report.at : ""; }
int64_t oracle_starts(const struct oracle *o) { return o->starts; }
int64_t oracle_judged(const struct oracle *o) { return o->judged; }
int64_t oracle_excused(const struct oracle *o, enum oracle_excuse which) { return o->excused[which]; }

int oracle_excuse(struct oracle *o, enum oracle_excuse which)
{
    o->excused[which]++;
    return 1;
}

const char *oracle_excuse_name(enum oracle_excuse which)
{
    static const char *const names[EXCUSE_COUNT] = {"frozen", "cut", "homeless", "ownerless", "returning", "waived"};
    return names[which];
}

struct seen_task *oracle_task(struct oracle *o, int64_t job, int64_t no)
{
    PWord_t at = (PWord_t)JudyLIns(&o->index, (Word_t)(job << 11 | no), NULL);
    if (!*at) {
        *array_add(o->tasks, o->n_tasks) = (struct seen_task){.job = job, .no = no};
        *at = (Word_t)o->n_tasks;
    }
    return &o->tasks[*at - 1];
}

int64_t oracle_done(const struct oracle *o, int64_t job)
{
    int64_t n = 0;
    for (int64_t i = 0; i < o->n_tasks; i++)
        n += o->tasks[i].job == job && o->tasks[i].done;
    return n;
}

/* --- starts ---------------------------------------------------------------------------- */

static void check_steps(struct oracle *o, const struct job *job, int64_t step)
{
    const struct step_spec *s = &job->spec.steps[step];
    for (int64_t k = 0; k < s->n_depends_on; k++)
        for (int64_t e = 0; e < job->spec.n_steps; e++) {
            if (strcmp(job->spec.steps[e].name, s->depends_on[k]))
                continue;
            int64_t first = spec_first_task(&job->spec, e);
            for (int64_t i = 0; i < job->spec.steps[e].n_tasks; i++)
                if (!oracle_task(o, job->id, first + i)->done)
                    oracle_breach(o, "job %lld step %s started before %s was done", (long long)job->id, s->name,
                                  s->depends_on[k]);
        }
}

static void check_place(struct oracle *o, const struct job *job, int64_t step, struct machine *m,
                        const struct exec_record *r)
{
    const struct step_spec *s = &job->spec.steps[step];
    const struct task_spec *task = spec_task(&job->spec, r->no, NULL);
    int64_t on_executor = 0, on_rack = 0, first = spec_first_task(&job->spec, step);
    int served = 0;
    for (int64_t i = 0; i < m->core.executor.state.n_services; i++)
        served |= !strcmp(m->core.executor.state.services[i], job->spec.service);
    if (!served || strcmp(task->kind, m->core.executor.state.kind))
        oracle_breach(o, "task %lld/%lld on the wrong service or kind: %s", (long long)r->job, (long long)r->no,
                      m->name);
    if (s->rack && strcmp(s->rack, "any") && strcmp(s->rack, "one") && *s->rack && strcmp(s->rack, m->rack))
        oracle_breach(o, "task %lld/%lld off its rack on %s", (long long)r->job, (long long)r->no, m->name);
    for (int64_t i = first; i < first + s->n_tasks; i++) {
        struct seen_task *t = oracle_task(o, job->id, i);
        if (!t->running)
            continue;
        on_executor += t->where == m;
        on_rack += !strcmp(t->where->rack, m->rack);
        if (s->rack && !strcmp(s->rack, "one") && strcmp(t->where->rack, m->rack))
            oracle_breach(o, "job %lld step %s is on two racks", (long long)job->id, s->name);
    }
    if ((s->per_executor && on_executor > s->per_executor) || (s->per_rack && on_rack > s->per_rack))
        oracle_breach(o, "job %lld step %s crowds %s: %lld there, %lld on its rack", (long long)job->id, s->name,
                      m->name, (long long)on_executor, (long long)on_rack);
}

/* Work that is not ours, as the executor last reported it: what changed less
 * than ROOM_TOLD_MS ago may not have been told yet, so the least of that time counts. */
static int64_t other_told(const struct oracle *o, const struct machine *m, int64_t now_ms)
{
    int64_t least = m->core.executor.other_cores;
    const struct other_room *others = o->others[m->index];
    for (int i = 0; i < OTHERS_KEPT && others[i].at_ms && now_ms - others[i].at_ms < ROOM_TOLD_MS; i++)
        if (others[i].cores < least) /* held until that change */
            least = others[i].cores;
    return least;
}

/* Newest first. Called before the executor's own number changes, too. */
void oracle_other_room(struct oracle *o, struct machine *m, int64_t cores)
{
    struct other_room *others = o->others[m->index];
    memmove(others + 1, others, sizeof *others * (OTHERS_KEPT - 1));
    others[0] = (struct other_room){.cores = cores, .at_ms = sim_ms(o->sim)};
}

static void check_room(struct oracle *o, struct machine *m, const struct exec_record *r)
{
    int64_t cores = 0, mem_mb = 0, since_ms = sim_ms(o->sim);
    if (r->since_ms) /* a gang holds its room before it begins */
        since_ms = r->since_ms - MONO_BASE_MS + m->born_us / 1000;
    int64_t other = other_told(o, m, since_ms);
    for (int64_t i = 0; i < o->n_tasks; i++)
        if (o->tasks[i].running && o->tasks[i].where == m) {
            cores += o->tasks[i].cores;
            mem_mb += o->tasks[i].mem_mb;
        }
    o->judged++;
    if (cores > m->core.executor.state.cores || mem_mb > m->core.executor.state.mem_mb)
        oracle_breach(o, "%s filled beyond its room: %lld cores of %lld", m->name, (long long)cores,
                      (long long)m->core.executor.state.cores);
    else if (cores + other > m->core.executor.state.cores)
        oracle_breach(o, "%s filled beyond the free room it reported: %lld cores of ours, %lld of others, of %lld",
                      m->name, (long long)cores, (long long)other, (long long)m->core.executor.state.cores);
}

static void note_gang(struct oracle *o, int64_t job, int64_t step)
{
    for (int64_t i = 0; i < o->n_gangs; i++)
        if (o->gangs[i].job == job && o->gangs[i].step == step)
            return;
    *array_add(o->gangs, o->n_gangs) = (struct seen_gang){.job = job, .step = step, .first_ms = sim_ms(o->sim)};
}

int oracle_settings(struct oracle *o, const struct job *job, struct settings *settings)
{
    char path[160];
    struct machine *leader = sim_leader(o->sim, GROUP_CONTROL);
    if (!leader || !job)
        return 0;
    snprintf(path, sizeof path, "root/%s/%s", job->spec.service, job->spec.queue);
    config_tree_effective(&leader->core.keeper.config_tree, path, settings);
    return 1;
}

static int at_least_once(struct oracle *o, const struct job *job)
{
    struct settings settings;
    return oracle_settings(o, job, &settings) && settings.at_least_once;
}

static void started(struct oracle *o, struct machine *m, const struct exec_record *r)
{
    struct seen_task *t = oracle_task(o, r->job, r->no);
    const struct job *job = sim_job(o->sim, r->job);
    int64_t step = 0, now_ms = sim_ms(o->sim);
    o->starts++;
    /* a frozen process runs nothing; whether it goes on when it wakes is seen below */
    if (t->running && !(t->where->frozen && oracle_excuse(o, EXCUSE_FROZEN)))
        oracle_breach(o, "task %lld/%lld attempt %lld started on %s while running on %s", (long long)r->job,
                      (long long)r->no, (long long)r->attempt, m->name, t->where->name);
    /* an operator who asks for at-least-once waives just this, see docs/never-twice.md */
    if (t->done && !(at_least_once(o, job) && oracle_excuse(o, EXCUSE_WAIVED)))
        oracle_breach(o, "task %lld/%lld attempt %lld started again after it was done", (long long)r->job,
                      (long long)r->no, (long long)r->attempt);
    t->running = 1;
    t->where = m;
    t->cores = r->cores;
    t->mem_mb = r->mem_mb;
    t->starts++;
    t->start_ms = now_ms;
    check_room(o, m, r);
    if (o->leaving_ms[m->index] && now_ms - o->leaving_ms[m->index] > LEAVE_MS)
        oracle_breach(o, "%s started work %lld ms after it said it leaves", m->name,
                      (long long)(now_ms - o->leaving_ms[m->index]));
    for (int64_t i = 0; i < o->n_cancelled; i++)
        if (o->cancelled[i].job == r->job && now_ms - o->cancelled[i].at_ms > CANCEL_START_MS)
            oracle_breach(o, "job %lld started a task %lld ms after its cancel", (long long)r->job,
                          (long long)(now_ms - o->cancelled[i].at_ms));
    if (!job) {
        oracle_breach(o, "task %lld/%lld started, but no keeper knows the job", (long long)r->job, (long long)r->no);
        return;
    }
    if (r->no < job->n_rows && row_ended(&job->rows[r->no]))
        oracle_breach(o, "task %lld/%lld attempt %lld started although it had ended as %s", (long long)r->job,
                      (long long)r->no, (long long)r->attempt, row_state_name(job->rows[r->no].state));
    spec_task(&job->spec, r->no, &step);
    int64_t due_ms = job->spec.steps[step].start_at_ms > job->spec.start_at_ms ? job->spec.steps[step].start_at_ms
                                                                               : job->spec.start_at_ms;
    if (sim_wall_ms(o->sim) < due_ms - EARLY_MS)
        oracle_breach(o, "task %lld/%lld started %lld ms before its time", (long long)r->job, (long long)r->no,
                      (long long)(due_ms - sim_wall_ms(o->sim)));
    struct settings settings;
    if (oracle_settings(o, job, &settings) && t->failed >= settings.attempts_max)
        oracle_breach(o, "task %lld/%lld tried again after %lld failures", (long long)r->job, (long long)r->no,
                      (long long)t->failed);
    check_steps(o, job, step);
    check_place(o, job, step, m, r);
    if (job->spec.steps[step].gang)
        note_gang(o, job->id, step);
}

void oracle_executor(void *arg, const struct exec_record *r)
{
    struct machine *m = arg;
    struct oracle *o = m->sim->oracle;
    struct seen_task *t;
    if (r->event == EXEC_STARTED) {
        started(o, m, r);
        return;
    }
    t = oracle_task(o, r->job, r->no);
    if (t->where == m)
        t->running = 0;
    else if (!strcmp(r->outcome, "done"))
        oracle_breach(o, "task %lld/%lld went on on %s to its end after %s was given it", (long long)r->job,
                      (long long)r->no, m->name, t->where ? t->where->name : "nobody");
    t->done |= !strcmp(r->outcome, "done");
    if (t->done && m->sim->trap.armed && m->sim->trap.kind == TRAP_DONE && --m->sim->trap.nth <= 0)
        sim_spring(m->sim, m);
    t->failed += !strcmp(r->outcome, "failed");
}

void oracle_executor_died(struct oracle *o, struct machine *m)
{
    for (int64_t i = 0; i < o->n_tasks; i++)
        if (o->tasks[i].where == m)
            o->tasks[i].running = 0;
    o->leaving_ms[m->index] = 0;
}

void oracle_forget(struct oracle *o, struct machine *m)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        o->applied[m->index][g] = 0;
}

void oracle_step(struct oracle *o)
{
    int64_t now_ms = sim_ms(o->sim);
    if (now_ms < o->step_due_ms)
        return;
    o->step_due_ms = now_ms + 20;
    oracle_watch_calm(o, now_ms);
    for (int64_t i = 0; i < o->sim->n; i++) {
        struct machine *m = o->sim->machines[i];
        if (!m->up)
            continue;
        if (m->kind == M_NODE)
            oracle_watch_settings(o, m, now_ms);
        else if (m->kind == M_KEEPER)
            for (int64_t g = 0; g < GROUP_COUNT; g++)
                oracle_watch_log(o, m, g);
        else if (m->kind == M_EXECUTOR && m->core.executor.leave_at_ms && !o->leaving_ms[i])
            o->leaving_ms[i] = now_ms;
        else if (m->kind == M_CALLER)
            for (int64_t k = 0; k < m->core.caller.n_jobs; k++) {
                struct caller_job *job = &m->core.caller.jobs[k];
                if (job->schema >= 0 && job->ended_ms && *job->id)
                    oracle_shown(o, job_id_parse(job->id), job->state), job->schema = -1;
            }
    }
    oracle_watch_gangs(o, now_ms);
    oracle_watch_cancels(o, now_ms);
    oracle_watch_known(o, now_ms);
}
