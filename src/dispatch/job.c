/* Schemas and validation of jobs and configurations. */
#include "dispatch/job.h"

#include <Judy.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/error.h"
#include "dispatch/messages.h"
#include "rules/rules.h"

enum { REPEATS_MAX = 10000 };

static const struct field step_spec_fields[] = {INT_NAMED(step_spec, task_count, "taskCount"),
                                                INT_NAMED(step_spec, cpu_milli, "cpuMilli"),
                                                INT_NAMED(step_spec, memory_mb, "memoryMb"),
                                                INT(step_spec, gpus),
                                                INT_NAMED(step_spec, estimate_ms, "estimateMs"),
                                                INTS_NAMED(step_spec, depends_on, "dependsOn", n_depends_on),
                                                BOOL(step_spec, checkpoints),
                                                BOOL(step_spec, gang),
                                                BOOL_NAMED(step_spec, same_rack, "sameRack"),
                                                BOOL(step_spec, duplicates),
                                                BOOL_NAMED(step_spec, long_running, "lasting"),
                                                INT_NAMED(step_spec, per_executor, "perExecutor"),
                                                STR(step_spec, label),
                                                STR(step_spec, rack)};
SCHEMA(submission_step_schema, step_spec, step_spec_fields);

static const struct field job_spec_fields[] = {INT(job_spec, id),
                                               STR(job_spec, text),
                                               LIST(job_spec, steps, n_steps, submission_step_schema),
                                               INT(job_spec, repeats),
                                               INT_NAMED(job_spec, start_ms, "startMs"),
                                               INT_NAMED(job_spec, interval_ms, "intervalMs"),
                                               STR(job_spec, outlet)};
SCHEMA(submission_schema, job_spec, job_spec_fields);
/* The outlet is the last field. */
const struct schema submission_without_outlet_schema = {
    .name = "job_spec", .size = sizeof(struct job_spec), .fields = job_spec_fields, .n = COUNT_OF(job_spec_fields) - 1};

static const struct field queue_config_fields[] = {STR(queue_config, name),
                                                   STR(queue_config, host),
                                                   STR(queue_config, prefix),
                                                   STR(queue_config, service),
                                                   INT(queue_config, priority),
                                                   INT_NAMED(queue_config, attempts_max, "attemptsMax"),
                                                   INT_NAMED(queue_config, stretch_pct, "stretchPct"),
                                                   INT_NAMED(queue_config, target_ms, "targetMs"),
                                                   INT_NAMED(queue_config, timeout_ms, "timeoutMs")};
SCHEMA(queue_config_schema, queue_config, queue_config_fields);

static const struct field queue_route_fields[] = {STR(queue_route, host), STR(queue_route, prefix)};
SCHEMA(queue_route_schema, queue_route, queue_route_fields);

static const struct field service_config_fields[] = {STR(service_config, name),
                                                     STR_NAMED(service_config, health_path, "healthPath"),
                                                     BOOL_NAMED(service_config, checks_capacity, "guards")};
SCHEMA(service_config_schema, service_config, service_config_fields);

static const struct field config_fields[] = {INT(config, version), LIST(config, queues, n_queues, queue_config_schema),
                                             LIST(config, services, n_services, service_config_schema),
                                             BYTES(config, raw)};
SCHEMA(config_schema, config, config_fields);

/* --- checks ------------------------------------------------------------- */

static enum sagehitch_error step_check(const struct job_spec *spec, int64_t step_index,
                                       struct validation_error *validation_error)
{
    const struct step_spec *step = &spec->steps[step_index];
    if (step->task_count < 1)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "1 or more", "steps[%d].taskCount",
                                    (int)step_index);
    _Static_assert(JOB_TASKS_MAX <= 1 << TASK_INDEX_BITS, "the index of a task fits into TASK_INDEX_BITS");
    if (step->task_count > JOB_TASKS_MAX)
        return validation_error_set(validation_error, ERROR_TOO_LARGE, "fewer tasks", "steps[%d].taskCount",
                                    (int)step_index);
    for (int i = 0; i < submission_step_schema.n; i++) {
        const struct field *field = &step_spec_fields[i];
        if ((field->kind == F_INT || field->kind == F_BOOL) && *(const int64_t *)((const char *)step + field->off) < 0)
            return validation_error_set(validation_error, ERROR_BAD_FIELD, "no negative number", "steps[%d].%s",
                                        (int)step_index, field->name);
    }
    for (int64_t i = 0; i < step->n_depends_on; i++)
        if (step->depends_on[i] < 0 || step->depends_on[i] >= step_index)
            return validation_error_set(validation_error, ERROR_BAD_STEPS, "the number of an earlier step",
                                        "steps[%d].dependsOn[%d]", (int)step_index, (int)i);
    return ERROR_NONE;
}

enum sagehitch_error job_spec_check(const struct job_spec *spec, struct validation_error *validation_error)
{
    int64_t last_ms, tasks = 0;
    if (spec->text && strlen(spec->text) > SPEC_MAX)
        return validation_error_set(validation_error, ERROR_TOO_LARGE, "a shorter text", "text");
    if (spec->outlet && !outlet_name_valid(spec->outlet))
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "an outlet's name", "outlet");
    if (spec->n_steps < 1 || spec->n_steps > STEPS_MAX)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "1 to 64 steps", "steps");
    if (spec->repeats < 0 || spec->repeats > REPEATS_MAX)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "0 to 10000", "repeats");
    if (spec->start_ms < 0)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "no negative number", "startMs");
    if (spec->interval_ms < 0 || __builtin_mul_overflow(spec->repeats, spec->interval_ms, &last_ms) ||
        __builtin_add_overflow(last_ms, spec->start_ms, &last_ms))
        return validation_error_set(validation_error, ERROR_BAD_FIELD,
                                    "0 or more, and times of day that fit in 64 bits", "intervalMs");
    for (int64_t i = 0; i < spec->n_steps; i++) {
        enum sagehitch_error rc = step_check(spec, i, validation_error);
        if (rc)
            return rc;
        tasks += spec->steps[i].task_count;
    }
    if (tasks * job_spec_repetitions(spec) > JOB_TASKS_MAX)
        return validation_error_set(validation_error, ERROR_TOO_LARGE, "fewer tasks, over all steps and repetitions",
                                    "steps");
    return ERROR_NONE;
}

int64_t job_spec_tasks(const struct job_spec *spec)
{
    int64_t tasks = 0;
    for (int64_t i = 0; i < spec->n_steps; i++)
        tasks += spec->steps[i].task_count;
    return tasks;
}

int64_t job_spec_repetitions(const struct job_spec *spec) { return spec->repeats > 0 ? spec->repeats : 1; }

static int empty(const char *text) { return !text || !*text; }

/* Names found so far in a configuration, as sets of strings (JudySL), so that a configuration of 4 MiB is checked
 * quickly. */
struct config_names {
    Pvoid_t services, queues, routes;
};

/* Returns 0 if the set has the name already. */
static int add_name(Pvoid_t *names, const char *name)
{
    PPvoid_t at = JudySLIns(names, (const uint8_t *)name, PJE0);
    if (at == PPJERR)
        abort();
    if (*at)
        return 0;
    *at = (Pvoid_t)names; /* any value that isn't NULL */
    return 1;
}

char *queue_route_key(const struct queue_config *queue)
{
    char *route_key = must_printf("%s\n%s", queue->host, queue->prefix);
    for (char *c = route_key; *c != '\n'; c++)
        *c = (char)tolower((unsigned char)*c);
    return route_key;
}

/* Adds the route of a queue; returns 0 if another queue has it. */
static int add_route(Pvoid_t *routes, const struct queue_config *queue)
{
    char *route_key = queue_route_key(queue);
    int added = add_name(routes, route_key);
    free(route_key);
    return added;
}

static enum sagehitch_error queue_check(const struct config *config, int64_t queue_index, struct config_names *names,
                                        struct validation_error *validation_error)
{
    const struct queue_config *queue = &config->queues[queue_index];
    int index = (int)queue_index;
    if (empty(queue->name))
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "a name", "queues[%d].name", index);
    if (empty(queue->host))
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "a host", "queues[%d].host", index);
    if (!queue->prefix || queue->prefix[0] != '/')
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "a path that begins with /", "queues[%d].prefix",
                                    index);
    if (empty(queue->service) || !JudySLGet(names->services, (const uint8_t *)queue->service, PJE0))
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "the name of a listed service",
                                    "queues[%d].service", index);
    if (queue->timeout_ms <= 0)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "more than 0", "queues[%d].timeoutMs", index);
    if (queue->attempts_max < 0)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "0 or more", "queues[%d].attemptsMax", index);
    if (queue->stretch_pct < 0)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "0 or more", "queues[%d].stretchPct", index);
    if (!add_name(&names->queues, queue->name))
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "a name that no other queue has",
                                    "queues[%d].name", index);
    if (!add_route(&names->routes, queue))
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "host and prefix that no other queue has",
                                    "queues[%d].prefix", index);
    return ERROR_NONE;
}

static enum sagehitch_error names_check(const struct config *config, struct config_names *names,
                                        struct validation_error *validation_error)
{
    for (int64_t i = 0; i < config->n_services; i++) {
        if (empty(config->services[i].name))
            return validation_error_set(validation_error, ERROR_BAD_FIELD, "a name", "services[%d].name", (int)i);
        if (!add_name(&names->services, config->services[i].name))
            return validation_error_set(validation_error, ERROR_BAD_FIELD, "a name that no other service has",
                                        "services[%d].name", (int)i);
    }
    for (int64_t i = 0; i < config->n_queues; i++) {
        enum sagehitch_error rc = queue_check(config, i, names, validation_error);
        if (rc)
            return rc;
    }
    return ERROR_NONE;
}

enum sagehitch_error config_check(const struct config *config, struct validation_error *validation_error)
{
    if (config->version < 1)
        return validation_error_set(validation_error, ERROR_BAD_FIELD, "1 or more", "version");
    struct config_names names = {0};
    enum sagehitch_error rc = names_check(config, &names, validation_error);
    JudySLFreeArray(&names.services, PJE0);
    JudySLFreeArray(&names.queues, PJE0);
    JudySLFreeArray(&names.routes, PJE0);
    return rc;
}

int64_t config_route(const struct config *config, const char *host, const char *path)
{
    int64_t best = -1;
    size_t best_len = 0;
    for (int64_t i = 0; host && path && i < config->n_queues; i++) {
        const struct queue_config *queue = &config->queues[i];
        size_t len = strlen(queue->prefix);
        if (len > best_len && !strncmp(path, queue->prefix, len) && !strcasecmp(host, queue->host))
            best = i, best_len = len;
    }
    return best;
}
