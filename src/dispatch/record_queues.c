/* Queues of the record: which of them a name, a configuration or a request means.
 *
 * A queue of the current configuration keeps its entry as long as each next configuration has its name, also where its
 * route or service changes. A queue that left the configuration comes back under its name only at its former route;
 * else that name is of a new queue, and the jobs of the former one keep their own entry. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/error.h"
#include "dispatch/record_internal.h"

int64_t record_queue(const struct record *record, const char *name)
{
    int64_t removed = -1;
    for (int64_t i = 0; name && i < record->n_queues; i++) {
        if (strcmp(record->queues[i].config.name, name) != 0)
            continue;
        if (!record->queues[i].removed)
            return i;
        removed = i;
    }
    return removed;
}

int queue_has_route(const struct queue_config *queue, const char *host, const char *prefix)
{
    return !strcasecmp(queue->host, host) && !strcmp(queue->prefix, prefix);
}

enum sagehitch_error record_submission_queue(const struct record *record, const struct job_op *op, int64_t *queue)
{
    const struct config *config = &record->config;
    *queue = record_queue(record, op->queue);
    int is_current = *queue >= 0 && !record->queues[*queue].removed;
    if (is_current && (!op->host || queue_has_route(&record->queues[*queue].config, op->host, op->prefix)))
        return ERROR_NONE;
    int64_t route = op->host ? config_route(config, op->host, op->prefix) : -1;
    if (route < 0)
        return ERROR_NOT_FOUND;
    if (!queue_has_route(&config->queues[route], op->host, op->prefix))
        return ERROR_UNAVAILABLE;
    *queue = record_queue(record, config->queues[route].name);
    return ERROR_NONE;
}

/* --- routes of jobs -------------------------------------------------------- */

static const char *route_host(const struct record *record, const struct job *job)
{
    return job->route ? job->route->host : record->queues[job->queue].config.host;
}

static const char *route_prefix(const struct record *record, const struct job *job)
{
    return job->route ? job->route->prefix : record->queues[job->queue].config.prefix;
}

int job_is_reached(const struct record *record, const struct job *job, const char *host, const char *path)
{
    const char *prefix = route_prefix(record, job);
    return host && path && !strncmp(path, prefix, strlen(prefix)) && !strcasecmp(host, route_host(record, job));
}

int job_is_submitted_by(const struct record *record, const struct job *job, const struct job_op *op)
{
    const char *name = record->queues[job->queue].config.name;
    if (!job_same(job, &op->spec, name))
        return 0;
    return !strcmp(name, op->queue) || (op->host && !strcasecmp(route_host(record, job), op->host) &&
                                        !strcmp(route_prefix(record, job), op->prefix));
}

/* Sets the route by which the job was accepted to copies of these texts. */
static void job_route_set(struct job *job, const char *host, const char *prefix)
{
    job->route = must_alloc(sizeof *job->route);
    *job->route = (struct queue_route){.host = must_dup(host), .prefix = must_dup(prefix)};
}

void job_route_free(struct job *job)
{
    if (job->route)
        schema_free(&queue_route_schema, job->route);
    free(job->route);
    job->route = NULL;
}

/* --- a new configuration --------------------------------------------------- */

/* Entries of the queues before a change, as maps (JudySL) to 1 + index: current by name, removed by name and route. */
struct queue_entries {
    Pvoid_t current, removed;
};

/* Returns a text, freed by the caller, that two queues share only if they have the same name and route. */
static char *name_and_route(const struct queue_config *queue)
{
    char *route_key = queue_route_key(queue),
         *key = must_printf("%zu %s%s", strlen(queue->name), queue->name, route_key);
    free(route_key);
    return key;
}

static void entries_add(struct queue_entries *entries, const struct queue *queue, int64_t index)
{
    char *key = queue->removed ? name_and_route(&queue->config) : must_dup(queue->config.name);
    Pvoid_t *map = queue->removed ? &entries->removed : &entries->current;
    *JudySLIns(map, (const uint8_t *)key, PJE0) = (Pvoid_t)(Word_t)(index + 1);
    free(key);
}

static int64_t entry_at(Pvoid_t map, const char *key)
{
    PPvoid_t at = JudySLGet(map, (const uint8_t *)key, PJE0);
    return at ? (int64_t)(Word_t)*at - 1 : -1;
}

/* The index of the entry of a queue of the new configuration; -1: it has none yet. */
static int64_t entry_of(const struct queue_entries *entries, const struct queue_config *queue)
{
    int64_t index = entry_at(entries->current, queue->name);
    if (index >= 0)
        return index;
    char *key = name_and_route(queue);
    index = entry_at(entries->removed, key);
    free(key);
    return index;
}

/* Jobs of queues whose route changes keep the one by which they were accepted. new_configs: by the index of a queue's
 * entry, its new configuration or NULL. */
static void keep_job_routes(struct record *record, const struct queue_config *const *new_configs)
{
    char *moves = must_alloc((size_t)record->n_queues + 1); /* by the index of a queue */
    int64_t n_moves = 0;
    for (int64_t i = 0; i < record->n_queues; i++) {
        const struct queue_config *to = new_configs[i];
        moves[i] = (char)(to && !queue_has_route(&record->queues[i].config, to->host, to->prefix));
        n_moves += moves[i];
    }
    Word_t id = 0;
    PPvoid_t at = NULL;
    if (n_moves)
        JLF(at, record->jobs, id);
    while (at) {
        struct job *job = *at;
        const struct queue_config *from = &record->queues[job->queue].config;
        if (moves[job->queue] && !job->route)
            job_route_set(job, from->host, from->prefix);
        JLN(at, record->jobs, id);
    }
    free(moves);
}

void record_replace_queues(struct record *record, const struct config *config)
{
    struct queue_entries entries = {0};
    size_t n_max = (size_t)(record->n_queues + config->n_queues + 1);
    const struct queue_config **new_configs = must_alloc(sizeof(void *) * n_max);
    record->queues = must_grow(record->queues, sizeof *record->queues * n_max);
    for (int64_t i = 0; i < record->n_queues; i++)
        entries_add(&entries, &record->queues[i], i);
    int64_t n_queues = record->n_queues;
    for (int64_t i = 0; i < config->n_queues; i++) {
        int64_t index = entry_of(&entries, &config->queues[i]);
        new_configs[index >= 0 ? index : n_queues++] = &config->queues[i];
    }
    keep_job_routes(record, new_configs);
    for (int64_t i = 0; i < n_queues; i++) {
        struct queue *queue = &record->queues[i];
        if (i >= record->n_queues)
            *queue = (struct queue){0};
        queue->removed = !new_configs[i];
        if (!new_configs[i])
            continue;
        schema_free(&queue_config_schema, &queue->config);
        schema_copy(&queue_config_schema, &queue->config, new_configs[i]);
    }
    record->n_queues = n_queues;
    free(new_configs);
    JudySLFreeArray(&entries.current, PJE0);
    JudySLFreeArray(&entries.removed, PJE0);
}
