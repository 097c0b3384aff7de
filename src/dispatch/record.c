/* The record: jobs and their rows, and the indices by id and name. */
#include "dispatch/record.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "dispatch/record_internal.h"

/* --- jobs --------------------------------------------------------------- */

int job_over(const struct job *job) { return job->state >= JOB_DONE; }

void job_row_position(const struct job *job, int64_t row_index, int64_t *repetition, int64_t *step, int64_t *index)
{
    int64_t row_in_repetition = row_index % job->tasks, s = job->spec.n_steps - 1;
    while (job->first[s] > row_in_repetition)
        s--;
    *repetition = row_index / job->tasks;
    *step = s;
    *index = row_in_repetition - job->first[s];
}

int job_step_is_ready(const struct job *job, int64_t repetition, int64_t step)
{
    const struct step_spec *spec = &job->spec.steps[step];
    for (int64_t i = 0; i < spec->n_depends_on; i++)
        if (job->unfinished[repetition * job->spec.n_steps + spec->depends_on[i]])
            return 0;
    return 1;
}

int64_t job_due_ms(const struct job *job, int64_t repetition)
{
    return job->spec.repeats > 0 ? job->spec.start_ms + repetition * job->spec.interval_ms : 0;
}

int64_t job_row(const struct job *job, int64_t task)
{
    int64_t repetition = task_repetition(task), step = task_step(task), index = task_index(task);
    if (!job->rows || task < 0 || repetition >= job->repetitions || step >= job->spec.n_steps ||
        index >= job->spec.steps[step].task_count)
        return -1;
    return repetition * job->tasks + job->first[step] + index;
}

int64_t job_task(const struct job *job, int64_t row_index)
{
    int64_t repetition, step, index;
    job_row_position(job, row_index, &repetition, &step, &index);
    return task_of(repetition, step, index);
}

uint64_t job_hash(const struct job_spec *spec, const char *queue)
{
    struct bytes packed = {0};
    schema_pack(&submission_without_outlet_schema, spec, &packed);
    uint64_t hash = hash_mix(hash_of(packed.at, packed.len), hash_text(queue));
    if (spec->outlet)
        hash = hash_mix(hash, hash_text(spec->outlet));
    bytes_free(&packed);
    return hash;
}

void job_alloc_rows(struct job *job)
{
    int64_t steps = job->spec.n_steps, n;
    job->tasks = job_spec_tasks(&job->spec);
    job->repetitions = job_spec_repetitions(&job->spec);
    n = job->repetitions * steps;
    job->first = must_alloc(sizeof(int64_t) * (size_t)(steps + 3 * n));
    job->unfinished = job->first + steps;
    job->waiting = job->unfinished + n;
    job->last_failed_attempts = job->waiting + n;
    for (int64_t s = 1; s < steps; s++)
        job->first[s] = job->first[s - 1] + job->spec.steps[s - 1].task_count;
    for (int64_t i = 0; i < n; i++)
        job->unfinished[i] = job->waiting[i] = job->spec.steps[i % steps].task_count;
    job->rows = must_alloc(sizeof *job->rows * (size_t)(job->repetitions * job->tasks));
    for (int64_t row_index = 0; row_index < job->repetitions * job->tasks; row_index++)
        job->rows[row_index] = (struct row){.state = ROW_WAITING, .incarnation = -1, .since_ms = job->accepted_ms};
}

void job_free_rows(struct job *job)
{
    for (int64_t row_index = 0; job->rows && row_index < job->repetitions * job->tasks; row_index++)
        free(job->rows[row_index].checkpoint);
    free(job->rows);
    free(job->first);
    job->rows = NULL;
    job->first = job->unfinished = job->waiting = job->last_failed_attempts = NULL;
    schema_free(&submission_schema, &job->spec);
}

void job_free(struct job *job)
{
    job_free_rows(job);
    job_route_free(job);
    free(job->rules);
    free(job);
}

/* --- the record --------------------------------------------------------- */

void record_start(struct record *record)
{
    *record = (struct record){.config_history.complete = 1};
    rules_start(&record->rules);
}

void record_clear(struct record *record)
{
    Word_t id = 0;
    Word_t freed;
    PPvoid_t at;
    JLF(at, record->jobs, id);
    while (at) {
        job_free(*at);
        JLN(at, record->jobs, id);
    }
    JLFA(freed, record->jobs);
    (void)freed;
    schema_free(&config_schema, &record->config);
    schema_free(&change_history_schema, &record->config_history);
    for (int64_t i = 0; i < record->n_queues; i++)
        schema_free(&queue_config_schema, &record->queues[i].config);
    free(record->queues);
    for (int64_t i = 0; i < record->n_incarnations; i++)
        free(record->incarnations[i].name);
    free(record->incarnations);
    JSLFA(freed, record->incarnation_numbers);
    cancelled_ids_clear(&record->cancelled_ids);
    rules_end(&record->rules);
    *record = (struct record){
        .changed = record->changed, .arg = record->arg, .rules = record->rules, .config_history.complete = 1};
}

void record_end(struct record *record)
{
    record_clear(record);
    *record = (struct record){0};
}

struct job *record_job(const struct record *record, int64_t id)
{
    PPvoid_t at;
    JLG(at, record->jobs, (Word_t)id);
    return at ? *at : NULL;
}

int64_t record_incarnation(const struct record *record, const char *name)
{
    PPvoid_t at = name ? JudySLGet(record->incarnation_numbers, (const uint8_t *)name, PJE0) : NULL;
    return at ? (int64_t)(Word_t)*at - 1 : -1;
}

void record_index_incarnation(struct record *record, int64_t incarnation)
{
    PPvoid_t at =
        JudySLIns(&record->incarnation_numbers, (const uint8_t *)record->incarnations[incarnation].name, PJE0);
    *at = (Pvoid_t)(Word_t)(incarnation + 1);
}

void record_notify(struct record *record, struct job *job, int64_t row_index)
{
    if (record->changed)
        record->changed(record->arg, job, row_index);
}

void record_index_job(struct record *record, struct job *job)
{
    PPvoid_t at;
    JLI(at, record->jobs, (Word_t)job->spec.id);
    if (at == PPJERR)
        abort();
    *at = job;
    record->n_jobs++;
}

static int64_t text_bytes(const char *text) { return text ? (int64_t)strlen(text) + 1 : 0; }

int64_t record_job_bytes(const struct job_spec *spec)
{
    enum { COUNTS_PER_STEP = 4 }; /* see job_alloc_rows() */
    int64_t repetitions = job_spec_repetitions(spec);
    int64_t bytes = (int64_t)sizeof(struct job) + text_bytes(spec->text) + text_bytes(spec->outlet);
    for (int64_t i = 0; i < spec->n_steps; i++) {
        const struct step_spec *step = &spec->steps[i];
        bytes += (int64_t)sizeof *step + text_bytes(step->label) + text_bytes(step->rack);
        bytes += (step->n_depends_on + COUNTS_PER_STEP * repetitions) * (int64_t)sizeof(int64_t);
        bytes += step->task_count * repetitions * (int64_t)sizeof(struct row);
    }
    return bytes;
}

void record_link(struct record *record, struct job *job)
{
    job->live_bytes = record_job_bytes(&job->spec);
    record->live_bytes += job->live_bytes;
    job->prev = record->newest;
    if (record->newest)
        record->newest->next = job;
    else
        record->oldest = job;
    record->newest = job;
    record->n_live++;
    record->queues[job->queue].live++;
}

void record_unlink(struct record *record, struct job *job)
{
    if (job->prev)
        job->prev->next = job->next;
    else
        record->oldest = job->next;
    if (job->next)
        job->next->prev = job->prev;
    else
        record->newest = job->prev;
    job->next = job->prev = NULL;
    record->n_live--;
    record->live_bytes -= job->live_bytes;
    job->live_bytes = 0;
    record->queues[job->queue].live--;
}

void record_forget(struct record *record, struct job *job)
{
    int rc;
    JLD(rc, record->jobs, (Word_t)job->spec.id);
    (void)rc;
    record->n_jobs--;
    record_notify(record, job, -1);
    job_free(job);
}

enum sagehitch_error record_apply_batch(struct record *record, const struct bytes *packed, struct record_result *result)
{
    struct record_batch batch = {0};
    enum sagehitch_error rc = schema_unpack(&record_batch_schema, &batch, packed->at, packed->len);
    if (rc)
        return rc;
    if (result)
        result->errors = must_alloc(sizeof *result->errors * (size_t)(batch.n + 1));
    for (int64_t i = 0; i < batch.n; i++) {
        enum sagehitch_error error = record_apply(record, &batch.ops[i]);
        if (result)
            result->errors[result->n++] = error;
    }
    schema_free(&record_batch_schema, &batch);
    return ERROR_NONE;
}
