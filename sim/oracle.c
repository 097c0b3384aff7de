/* The oracle records what the executors did and what was promised, independently
 * of the code under test, and reports each violation of an invariant. */
#include "sim/oracle.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct oracle *oracle_new(struct sim *sim)
{
    struct oracle *oracle = must_alloc(sizeof *oracle);
    oracle->sim = sim;
    return oracle;
}

void oracle_free(struct oracle *oracle)
{
    JudyLFreeArray(&oracle->task_index, NULL);
    JudyLFreeArray(&oracle->accepted_index, NULL);
    JudyLFreeArray(&oracle->settings_hashes, NULL);
    free(oracle->accepted_jobs);
    free(oracle->job_queries);
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        JudyLFreeArray(&oracle->entry_hashes[g], NULL);
    free(oracle->tasks);
    free(oracle->accepted_settings);
    free(oracle->cancelled_jobs);
    free(oracle->gangs);
    bytes_free(&oracle->report);
    free(oracle);
}

void oracle_violation(struct oracle *oracle, const char *format, ...)
{
    char text[300];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (oracle->n_violations++ < 20)
        bytes_printf(&oracle->report, "%.3f %s\n", (double)oracle->sim->now_us / 1e6, text);
}

int64_t oracle_n_violations(const struct oracle *oracle) { return oracle->n_violations; }
const char *oracle_report(const struct oracle *oracle)
{
    return oracle->report.at ? (const char *)oracle->report.at : "";
}
int64_t oracle_starts(const struct oracle *oracle) { return oracle->starts; }
int64_t oracle_n_checks(const struct oracle *oracle) { return oracle->n_checks; }
int64_t oracle_excuse_count(const struct oracle *oracle, enum oracle_excuse which)
{
    return oracle->excuse_counts[which];
}

int oracle_excuse(struct oracle *oracle, enum oracle_excuse which)
{
    oracle->excuse_counts[which]++;
    return 1;
}

const char *oracle_excuse_name(enum oracle_excuse which)
{
    static const char *const names[EXCUSE_COUNT] = {"frozen", "cut", "homeless", "ownerless", "returning", "waived"};
    return names[which];
}

struct seen_task *oracle_task(struct oracle *oracle, int64_t job, int64_t no)
{
    PWord_t at = (PWord_t)JudyLIns(&oracle->task_index, (Word_t)(job << 11 | no), NULL);
    if (!*at) {
        *array_add(oracle->tasks, oracle->n_tasks) = (struct seen_task){.job = job, .no = no};
        *at = (Word_t)oracle->n_tasks;
    }
    return &oracle->tasks[*at - 1];
}

int64_t oracle_done(const struct oracle *oracle, int64_t job)
{
    int64_t n = 0;
    for (int64_t i = 0; i < oracle->n_tasks; i++)
        n += oracle->tasks[i].job == job && oracle->tasks[i].done;
    return n;
}

/* --- starts ---------------------------------------------------------------------------- */

static void check_steps(struct oracle *oracle, const struct job *job, int64_t step)
{
    const struct step_spec *spec = &job->spec.steps[step];
    for (int64_t k = 0; k < spec->n_depends_on; k++)
        for (int64_t other = 0; other < job->spec.n_steps; other++) {
            if (strcmp(job->spec.steps[other].name, spec->depends_on[k]))
                continue;
            int64_t first = spec_first_task(&job->spec, other);
            for (int64_t i = 0; i < job->spec.steps[other].n_tasks; i++)
                if (!oracle_task(oracle, job->id, first + i)->done)
                    oracle_violation(oracle, "job %lld step %s started before %s was done", (long long)job->id,
                                     spec->name, spec->depends_on[k]);
        }
}

static void check_placement(struct oracle *oracle, const struct job *job, int64_t step, struct machine *machine,
                            const struct exec_record *record)
{
    const struct step_spec *spec = &job->spec.steps[step];
    const struct task_spec *task = spec_task(&job->spec, record->no, NULL);
    int64_t on_executor = 0, on_rack = 0, first = spec_first_task(&job->spec, step);
    int served = 0;
    for (int64_t i = 0; i < machine->core.executor.state.n_services; i++)
        served |= !strcmp(machine->core.executor.state.services[i], job->spec.service);
    if (!served || strcmp(task->kind, machine->core.executor.state.kind))
        oracle_violation(oracle, "task %lld/%lld on the wrong service or kind: %s", (long long)record->job,
                         (long long)record->no, machine->name);
    if (spec->rack && strcmp(spec->rack, "any") && strcmp(spec->rack, "one") && *spec->rack &&
        strcmp(spec->rack, machine->rack))
        oracle_violation(oracle, "task %lld/%lld off its rack on %s", (long long)record->job, (long long)record->no,
                         machine->name);
    for (int64_t i = first; i < first + spec->n_tasks; i++) {
        struct seen_task *seen = oracle_task(oracle, job->id, i);
        if (!seen->running)
            continue;
        on_executor += seen->executor == machine;
        on_rack += !strcmp(seen->executor->rack, machine->rack);
        if (spec->rack && !strcmp(spec->rack, "one") && strcmp(seen->executor->rack, machine->rack))
            oracle_violation(oracle, "job %lld step %s is on two racks", (long long)job->id, spec->name);
    }
    if ((spec->per_executor && on_executor > spec->per_executor) || (spec->per_rack && on_rack > spec->per_rack))
        oracle_violation(oracle, "job %lld step %s crowds %s: %lld there, %lld on its rack", (long long)job->id,
                         spec->name, machine->name, (long long)on_executor, (long long)on_rack);
}

/* Cores that work outside the cluster takes, as the executor last reported them. A
 * change may not be reported for ROOM_REPORT_MS, so the lowest value of that time counts. */
static int64_t reported_other_cores(const struct oracle *oracle, const struct machine *machine, int64_t now_ms)
{
    int64_t least = machine->core.executor.other_cores;
    const struct other_cores_change *changes = oracle->other_cores_changes[machine->index];
    for (int i = 0; i < OTHER_CORES_CHANGES && changes[i].at_ms && now_ms - changes[i].at_ms < ROOM_REPORT_MS; i++)
        if (changes[i].cores < least) /* the value until that change */
            least = changes[i].cores;
    return least;
}

/* cores: the value until now. The newest change is stored first. */
void oracle_other_cores_changed(struct oracle *oracle, struct machine *machine, int64_t cores)
{
    struct other_cores_change *changes = oracle->other_cores_changes[machine->index];
    memmove(changes + 1, changes, sizeof *changes * (OTHER_CORES_CHANGES - 1));
    changes[0] = (struct other_cores_change){.cores = cores, .at_ms = sim_ms(oracle->sim)};
}

static void check_capacity(struct oracle *oracle, struct machine *machine, const struct exec_record *record)
{
    int64_t cores = 0, mem_mb = 0, since_ms = sim_ms(oracle->sim);
    if (record->since_ms) /* a gang reserves its cores before it starts */
        since_ms = record->since_ms - MONO_BASE_MS + machine->born_us / 1000;
    int64_t other = reported_other_cores(oracle, machine, since_ms);
    for (int64_t i = 0; i < oracle->n_tasks; i++)
        if (oracle->tasks[i].running && oracle->tasks[i].executor == machine) {
            cores += oracle->tasks[i].cores;
            mem_mb += oracle->tasks[i].mem_mb;
        }
    oracle->n_checks++;
    if (cores > machine->core.executor.state.cores || mem_mb > machine->core.executor.state.mem_mb)
        oracle_violation(oracle, "%s filled beyond its room: %lld cores of %lld", machine->name, (long long)cores,
                         (long long)machine->core.executor.state.cores);
    else if (cores + other > machine->core.executor.state.cores)
        oracle_violation(
            oracle, "%s filled beyond the free room it reported: %lld cores of ours, %lld of others, of %lld",
            machine->name, (long long)cores, (long long)other, (long long)machine->core.executor.state.cores);
}

static void record_gang(struct oracle *oracle, int64_t job, int64_t step)
{
    for (int64_t i = 0; i < oracle->n_gangs; i++)
        if (oracle->gangs[i].job == job && oracle->gangs[i].step == step)
            return;
    *array_add(oracle->gangs, oracle->n_gangs) =
        (struct started_gang){.job = job, .step = step, .first_ms = sim_ms(oracle->sim)};
}

int oracle_settings(struct oracle *oracle, const struct job *job, struct settings *settings)
{
    char path[160];
    struct machine *leader = sim_leader(oracle->sim, GROUP_CONTROL);
    if (!leader || !job)
        return 0;
    snprintf(path, sizeof path, "root/%s/%s", job->spec.service, job->spec.queue);
    config_tree_effective(&leader->core.keeper.config_tree, path, settings);
    return 1;
}

static int at_least_once(struct oracle *oracle, const struct job *job)
{
    struct settings settings;
    return oracle_settings(oracle, job, &settings) && settings.at_least_once;
}

static void on_started(struct oracle *oracle, struct machine *machine, const struct exec_record *record)
{
    struct seen_task *task = oracle_task(oracle, record->job, record->no);
    const struct job *job = sim_job(oracle->sim, record->job);
    int64_t step = 0, now_ms = sim_ms(oracle->sim);
    oracle->starts++;
    /* a frozen process runs nothing; oracle_executor_event detects it if it completes the task later */
    if (task->running && !(task->executor->frozen && oracle_excuse(oracle, EXCUSE_FROZEN)))
        oracle_violation(oracle, "task %lld/%lld attempt %lld started on %s while running on %s",
                         (long long)record->job, (long long)record->no, (long long)record->attempt, machine->name,
                         task->executor->name);
    /* the setting at-least-once waives only this rule, see docs/never-twice.md */
    if (task->done && !(at_least_once(oracle, job) && oracle_excuse(oracle, EXCUSE_WAIVED)))
        oracle_violation(oracle, "task %lld/%lld attempt %lld started again after it was done", (long long)record->job,
                         (long long)record->no, (long long)record->attempt);
    task->running = 1;
    task->executor = machine;
    task->cores = record->cores;
    task->mem_mb = record->mem_mb;
    task->starts++;
    task->start_ms = now_ms;
    check_capacity(oracle, machine, record);
    if (oracle->leaving_ms[machine->index] && now_ms - oracle->leaving_ms[machine->index] > LEAVE_START_MS)
        oracle_violation(oracle, "%s started work %lld ms after it said it leaves", machine->name,
                         (long long)(now_ms - oracle->leaving_ms[machine->index]));
    for (int64_t i = 0; i < oracle->n_cancelled_jobs; i++)
        if (oracle->cancelled_jobs[i].job == record->job && now_ms - oracle->cancelled_jobs[i].at_ms > CANCEL_START_MS)
            oracle_violation(oracle, "job %lld started a task %lld ms after its cancel", (long long)record->job,
                             (long long)(now_ms - oracle->cancelled_jobs[i].at_ms));
    if (!job) {
        oracle_violation(oracle, "task %lld/%lld started, but no keeper knows the job", (long long)record->job,
                         (long long)record->no);
        return;
    }
    if (record->no < job->n_rows && row_ended(&job->rows[record->no]))
        oracle_violation(oracle, "task %lld/%lld attempt %lld started although it had ended as %s",
                         (long long)record->job, (long long)record->no, (long long)record->attempt,
                         row_state_name(job->rows[record->no].state));
    spec_task(&job->spec, record->no, &step);
    int64_t due_ms = job->spec.steps[step].start_at_ms > job->spec.start_at_ms ? job->spec.steps[step].start_at_ms
                                                                               : job->spec.start_at_ms;
    if (sim_wall_ms(oracle->sim) < due_ms - EARLY_MS)
        oracle_violation(oracle, "task %lld/%lld started %lld ms before its time", (long long)record->job,
                         (long long)record->no, (long long)(due_ms - sim_wall_ms(oracle->sim)));
    struct settings settings;
    if (oracle_settings(oracle, job, &settings) && task->failed >= settings.attempts_max)
        oracle_violation(oracle, "task %lld/%lld tried again after %lld failures", (long long)record->job,
                         (long long)record->no, (long long)task->failed);
    check_steps(oracle, job, step);
    check_placement(oracle, job, step, machine, record);
    if (job->spec.steps[step].gang)
        record_gang(oracle, job->id, step);
}

void oracle_executor_event(void *arg, const struct exec_record *record)
{
    struct machine *machine = arg;
    struct oracle *oracle = machine->sim->oracle;
    struct seen_task *task;
    if (record->event == EXEC_STARTED) {
        on_started(oracle, machine, record);
        return;
    }
    task = oracle_task(oracle, record->job, record->no);
    if (task->executor == machine)
        task->running = 0;
    else if (!strcmp(record->outcome, "done"))
        oracle_violation(oracle, "task %lld/%lld went on on %s to its end after %s was given it",
                         (long long)record->job, (long long)record->no, machine->name,
                         task->executor ? task->executor->name : "nobody");
    task->done |= !strcmp(record->outcome, "done");
    if (task->done && machine->sim->trap.armed && machine->sim->trap.kind == TRAP_DONE && --machine->sim->trap.nth <= 0)
        sim_trap_trigger(machine->sim, machine);
    task->failed += !strcmp(record->outcome, "failed");
}

void oracle_executor_died(struct oracle *oracle, struct machine *machine)
{
    for (int64_t i = 0; i < oracle->n_tasks; i++)
        if (oracle->tasks[i].executor == machine)
            oracle->tasks[i].running = 0;
    oracle->leaving_ms[machine->index] = 0;
}

void oracle_reset_log_checks(struct oracle *oracle, struct machine *machine)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        oracle->checked_index[machine->index][g] = 0;
}

void oracle_step(struct oracle *oracle)
{
    int64_t now_ms = sim_ms(oracle->sim);
    if (now_ms < oracle->next_step_ms)
        return;
    oracle->next_step_ms = now_ms + 20;
    oracle_watch_faults(oracle, now_ms);
    for (int64_t i = 0; i < oracle->sim->n; i++) {
        struct machine *machine = oracle->sim->machines[i];
        if (!machine->up)
            continue;
        if (machine->kind == M_NODE)
            oracle_watch_settings(oracle, machine, now_ms);
        else if (machine->kind == M_KEEPER)
            for (int64_t g = 0; g < GROUP_COUNT; g++)
                oracle_watch_log(oracle, machine, g);
        else if (machine->kind == M_EXECUTOR && machine->core.executor.leave_at_ms && !oracle->leaving_ms[i])
            oracle->leaving_ms[i] = now_ms;
        else if (machine->kind == M_CALLER)
            for (int64_t k = 0; k < machine->core.caller.n_jobs; k++) {
                struct caller_job *job = &machine->core.caller.jobs[k];
                if (job->mix_kind >= 0 && job->ended_ms && *job->id)
                    oracle_job_state_seen(oracle, job_id_parse(job->id), job->state), job->mix_kind = -1;
            }
    }
    oracle_watch_gangs(oracle, now_ms);
    oracle_watch_cancels(oracle, now_ms);
    oracle_query_jobs(oracle, now_ms);
}
