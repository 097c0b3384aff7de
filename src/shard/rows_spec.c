/* Jobs as submitted: schemas, validation, and the form in which the API shows a job. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "shard/rows.h"

static const struct field task_fields[] = {
    STR(task_spec, kind, .flags = FF_REQUIRED, .min = 1, .max = 64),
    STR(task_spec, payload, .max = 10240),
    INT(task_spec, cores, .default_value = 1, .min = 0, .max = 4096),
    INT_NAMED(task_spec, mem_mb, "memMb", .default_value = 0, .min = 0, .max = 1 << 26),
    INT_NAMED(task_spec, deadline_ms, "cutoffMs", .min = 0, .max = INT32_MAX),
    INT_NAMED(task_spec, ttl_ms, "ttlMs", .min = 0, .max = INT32_MAX)};
SCHEMA(task_spec_schema, task_spec, task_fields);

static const struct field step_fields[] = {
    STR(step_spec, name, .flags = FF_REQUIRED, .min = 1, .max = 64),
    STR(step_spec, rack, .default_str = "any", .max = 64),
    STRS_NAMED(step_spec, depends_on, "after", n_depends_on, .max = 64),
    INT_NAMED(step_spec, per_executor, "perExecutor", .min = 0, .max = 10000),
    INT_NAMED(step_spec, per_rack, "perRack", .min = 0, .max = 10000),
    BOOL(step_spec, gang),
    INT_NAMED(step_spec, start_at_ms, "startAtMs", .min = 0, .max = INT64_MAX / 4),
    LIST(step_spec, tasks, n_tasks, task_spec_schema, .flags = FF_REQUIRED, .min = 1, .max = TASKS_MAX)};
SCHEMA(step_spec_schema, step_spec, step_fields);

static const struct field job_fields[] = {
    STR(job_spec, key, .flags = FF_REQUIRED, .min = 1, .max = 128),
    STR(job_spec, service, .flags = FF_REQUIRED, .min = 1, .max = 48),
    STR(job_spec, queue, .flags = FF_REQUIRED, .min = 1, .max = 48),
    INT(job_spec, priority, .default_value = -1, .min = -1, .max = INT32_MAX),
    INT_NAMED(job_spec, start_at_ms, "startAtMs", .min = 0, .max = INT64_MAX / 4),
    LIST(job_spec, steps, n_steps, step_spec_schema, .flags = FF_REQUIRED, .min = 1, .max = 64)};
SCHEMA(job_spec_schema, job_spec, job_fields);

int64_t spec_task_count(const struct job_spec *spec)
{
    int64_t n = 0;
    for (int64_t i = 0; i < spec->n_steps; i++)
        n += spec->steps[i].n_tasks;
    return n;
}

int64_t spec_first_task(const struct job_spec *spec, int64_t step)
{
    int64_t n = 0;
    for (int64_t i = 0; i < step; i++)
        n += spec->steps[i].n_tasks;
    return n;
}

const struct task_spec *spec_task(const struct job_spec *spec, int64_t no, int64_t *step)
{
    for (int64_t i = 0; i < spec->n_steps; i++) {
        if (no < spec->steps[i].n_tasks) {
            if (step)
                *step = i;
            return &spec->steps[i].tasks[no];
        }
        no -= spec->steps[i].n_tasks;
    }
    return NULL;
}

static int64_t find_step(const struct job_spec *spec, const char *name)
{
    for (int64_t i = 0; name && i < spec->n_steps; i++)
        if (!strcmp(spec->steps[i].name, name))
            return i;
    return -1;
}

/* Removes, round after round, each step whose earlier steps are all removed. A cycle leaves some over. */
static int has_cycle(const struct job_spec *spec)
{
    int removed[64] = {0};
    int64_t left = spec->n_steps, previous_left = -1;
    while (left && left != previous_left) {
        previous_left = left;
        for (int64_t i = 0; i < spec->n_steps; i++) {
            int removable = !removed[i];
            for (int64_t k = 0; removable && k < spec->steps[i].n_depends_on; k++)
                removable = removed[find_step(spec, spec->steps[i].depends_on[k])];
            if (removable) {
                removed[i] = 1;
                left--;
            }
        }
    }
    return left > 0;
}

static int validation_error_at(struct validation_error *validation_error, int error, const char *expected,
                               const char *format, int64_t i, int64_t k)
{
    validation_error->error = error;
    snprintf(validation_error->expected, sizeof validation_error->expected, "%s", expected);
    snprintf(validation_error->path, sizeof validation_error->path, format, (long long)i, (long long)k);
    return error;
}

int spec_check(const struct job_spec *spec, struct validation_error *validation_error)
{
    if (spec->n_steps > 64)
        return validation_error_at(validation_error, ERROR_TOO_LARGE, "at most 64 steps", "steps", 0, 0);
    if (strchr(spec->service, '/') || strchr(spec->queue, '/'))
        return validation_error_at(validation_error, ERROR_BAD_FIELD, "names without a slash", "service", 0, 0);
    for (int64_t i = 0; i < spec->n_steps; i++) {
        const struct step_spec *step = &spec->steps[i];
        if (find_step(spec, step->name) != i)
            return validation_error_at(validation_error, ERROR_BAD_STEPS, "a name no other step has",
                                       "steps[%lld].name", i, 0);
        for (int64_t k = 0; k < step->n_depends_on; k++)
            if (find_step(spec, step->depends_on[k]) < 0)
                return validation_error_at(validation_error, ERROR_BAD_STEPS, "the name of a step",
                                           "steps[%lld].after[%lld]", i, k);
    }
    if (spec_task_count(spec) > TASKS_MAX)
        return validation_error_at(validation_error, ERROR_TOO_LARGE, "at most 2000 tasks", "steps", 0, 0);
    if (has_cycle(spec))
        return validation_error_at(validation_error, ERROR_BAD_STEPS, "steps that do not wait for themselves", "steps",
                                   0, 0);
    return ERROR_NONE;
}

int job_step_ready(const struct job *job, int64_t step)
{
    const struct step_spec *spec = &job->spec.steps[step];
    for (int64_t k = 0; k < spec->n_depends_on; k++) {
        int64_t earlier = find_step(&job->spec, spec->depends_on[k]);
        int64_t first = spec_first_task(&job->spec, earlier);
        for (int64_t i = 0; i < job->spec.steps[earlier].n_tasks; i++)
            if (job->rows[first + i].state != ROW_DONE)
                return 0;
    }
    return 1;
}

const char *row_state_name(int64_t state)
{
    static const char *const names[] = {"blocked", "ready", "placed", "done", "failed", "lost", "cancelled", "expired"};
    return state >= 0 && state < COUNT_OF(names) ? names[state] : "unknown";
}

const char *job_state_name(int64_t state)
{
    static const char *const names[] = {"active", "failing", "cancelling", "done", "failed", "cancelled"};
    return state >= 0 && state < COUNT_OF(names) ? names[state] : "unknown";
}

void job_id_text(int64_t id, char text[32])
{
    snprintf(text, 32, "%lld.%lld", (long long)job_shard(id), (long long)(id & ((1LL << SHARD_BITS) - 1)));
}

int64_t job_id_parse(const char *text)
{
    char *end;
    long long shard = strtoll(text, &end, 10), seq;
    if (end == text || *end != '.' || shard < 0 || shard >= SHARD_COUNT)
        return 0;
    const char *dot = end + 1;
    seq = strtoll(dot, &end, 10);
    if (end == dot || *end || seq <= 0 || seq >= 1LL << SHARD_BITS)
        return 0;
    return ((int64_t)shard << SHARD_BITS) | seq;
}

int64_t key_shard(const char *key) { return (int64_t)(hash_text(key) % SHARD_COUNT); }

json_t *job_view(const struct job *job, int with_tasks)
{
    char id[32];
    int64_t counts[8] = {0}, step = 0;
    job_id_text(job->id, id);
    for (int64_t i = 0; i < job->n_rows; i++)
        counts[job->rows[i].state]++;
    json_t *out = json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:I}", "id", id, "key", job->spec.key, "service",
                            job->spec.service, "queue", job->spec.queue, "state", job_state_name(job->state),
                            "createdMs", (json_int_t)job->created_ms, "endedMs", (json_int_t)job->ended_ms);
    json_t *tasks = json_object();
    for (int i = 0; i < 8; i++)
        if (counts[i])
            json_object_set_new(tasks, row_state_name(i), json_integer(counts[i]));
    json_object_set_new(out, "counts", tasks);
    if (!with_tasks)
        return out;
    json_t *list = json_array();
    for (int64_t i = 0; i < job->n_rows; i++) {
        const struct row *row = &job->rows[i];
        spec_task(&job->spec, i, &step);
        json_t *task = json_pack("{s:I,s:s,s:s,s:I,s:I,s:I}", "no", (json_int_t)i, "step", job->spec.steps[step].name,
                                 "state", row_state_name(row->state), "attempt", (json_int_t)row->attempt, "failures",
                                 (json_int_t)row->failures, "dueMs", (json_int_t)row->due_ms);
        if (row->executor)
            json_object_set_new(task, "executor", json_string(row->executor));
        if (row->meta)
            json_object_set_new(task, "meta", json_string(row->meta));
        json_array_append_new(list, task);
    }
    json_object_set_new(out, "tasks", list);
    return out;
}
