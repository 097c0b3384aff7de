/* Snapshots of the record. Format: a head, then the live jobs in order of acceptance, then the other jobs by id. The
 * head and each job are preceded by their length (4 bytes, little-endian). Jobs are packed one at a time, so a snapshot
 * of many jobs needs little more memory than its bytes. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "dispatch/record_internal.h"

struct stored_queue {
    struct queue_config config;
    int64_t removed;
};
struct stored_incarnation {
    char *name;
    int64_t agent;
};
struct stored_head {
    struct config config;
    struct stored_queue *queues;
    int64_t n_queues;
    struct stored_incarnation *incarnations;
    int64_t n_incarnations, next_index, n_jobs, n_live;
    struct rules *rules; /* NULL: none were ever set */
    struct change_history config_history;
    struct cancelled_id *cancelled_ids;
    int64_t n_cancelled_ids;
};
/* A row that has changed since the job was accepted. since_ms: relative to accepted_ms of the job. */
struct stored_row {
    int64_t row_index, state, failures, attempt, incarnation, since_ms;
    char *checkpoint;
};
/* A job as stored. hash: the bits of spec_hash. Only live jobs have spec, rows and counted (last_failed_attempts). */
struct stored_job {
    int64_t id, queue, state, tasks, repetitions, n_done, accepted_ms, ended_ms, index, hash;
    struct job_spec *spec;
    struct stored_row *rows;
    int64_t n_rows;
    int64_t *counted;
    int64_t n_counted;
    struct job_rules *rules; /* of all jobs that belong to an outlet; NULL: the job belongs to none */
    struct queue_route *route;
};

static const struct field queue_fields[] = {SUB(stored_queue, config, queue_config_schema),
                                            BOOL(stored_queue, removed)};
static SCHEMA(stored_queue_schema, stored_queue, queue_fields);

static const struct field incarnation_fields[] = {STR(stored_incarnation, name), INT(stored_incarnation, agent)};
static SCHEMA(stored_incarnation_schema, stored_incarnation, incarnation_fields);

static const struct field head_fields[] = {
    SUB(stored_head, config, config_schema),
    LIST(stored_head, queues, n_queues, stored_queue_schema),
    LIST_NAMED(stored_head, incarnations, "lives", n_incarnations, stored_incarnation_schema),
    INT_NAMED(stored_head, next_index, "nextIndex"),
    INT_NAMED(stored_head, n_jobs, "nJobs"),
    INT_NAMED(stored_head, n_live, "nLive"),
    PTR(stored_head, rules, rules_schema),
    SUB_NAMED(stored_head, config_history, "configHistory", change_history_schema),
    LIST_NAMED(stored_head, cancelled_ids, "cancelledIds", n_cancelled_ids, cancelled_id_schema)};
static SCHEMA(stored_head_schema, stored_head, head_fields);

static const struct field row_fields[] = {INT_NAMED(stored_row, row_index, "no"),
                                          INT(stored_row, state),
                                          INT(stored_row, failures),
                                          INT(stored_row, attempt),
                                          INT_NAMED(stored_row, incarnation, "life"),
                                          INT_NAMED(stored_row, since_ms, "sinceMs"),
                                          STR_NAMED(stored_row, checkpoint, "saved")};
static SCHEMA(stored_row_schema, stored_row, row_fields);

static const struct field job_fields[] = {INT(stored_job, id),
                                          INT(stored_job, queue),
                                          INT(stored_job, state),
                                          INT(stored_job, tasks),
                                          INT_NAMED(stored_job, repetitions, "times"),
                                          INT_NAMED(stored_job, n_done, "nDone"),
                                          INT_NAMED(stored_job, accepted_ms, "acceptedMs"),
                                          INT_NAMED(stored_job, ended_ms, "endedMs"),
                                          INT(stored_job, index),
                                          INT(stored_job, hash),
                                          PTR(stored_job, spec, submission_schema),
                                          LIST(stored_job, rows, n_rows, stored_row_schema),
                                          INTS(stored_job, counted, n_counted),
                                          PTR(stored_job, rules, job_rules_schema),
                                          PTR(stored_job, route, queue_route_schema)};
static SCHEMA(stored_job_schema, stored_job, job_fields);

/* --- packing ------------------------------------------------------------ */

static void item_pack(struct bytes *to, const struct schema *schema, const void *stored)
{
    uint8_t head[4] = {0};
    int64_t at = to->len;
    bytes_add(to, head, sizeof head);
    schema_pack(schema, stored, to);
    le_put(to->at + at, (uint64_t)(to->len - at - (int64_t)sizeof head), sizeof head);
}

static int row_is_initial(const struct job *job, const struct row *row)
{
    return row->state == ROW_WAITING && !row->failures && !row->attempt && !row->checkpoint &&
           row->since_ms == job->accepted_ms;
}

static void pack_job(struct bytes *to, const struct job *job)
{
    struct stored_job stored = {.id = job->spec.id,
                                .queue = job->queue,
                                .state = job->state,
                                .tasks = job->tasks,
                                .repetitions = job->repetitions,
                                .n_done = job->n_done,
                                .accepted_ms = job->accepted_ms,
                                .ended_ms = job->ended_ms,
                                .index = job->index,
                                .hash = (int64_t)job->spec_hash,
                                .rules = job->rules,
                                .route = job->route};
    int64_t n = 0;
    if (job->rows) {
        stored.spec = (struct job_spec *)&job->spec;
        stored.counted = job->last_failed_attempts;
        stored.n_counted = job->repetitions * job->spec.n_steps;
        for (int64_t row_index = 0; row_index < job->repetitions * job->tasks; row_index++)
            n += !row_is_initial(job, &job->rows[row_index]);
        stored.rows = must_alloc(sizeof *stored.rows * (size_t)n);
    }
    for (int64_t row_index = 0; n && row_index < job->repetitions * job->tasks; row_index++) {
        const struct row *row = &job->rows[row_index];
        if (!row_is_initial(job, row))
            stored.rows[stored.n_rows++] = (struct stored_row){.row_index = row_index,
                                                               .state = row->state,
                                                               .failures = row->failures,
                                                               .attempt = row->attempt,
                                                               .incarnation = row->incarnation,
                                                               .since_ms = row->since_ms - job->accepted_ms,
                                                               .checkpoint = row->checkpoint};
    }
    item_pack(to, &stored_job_schema, &stored);
    free(stored.rows);
}

void record_snapshot(const struct record *record, struct bytes *to)
{
    struct stored_head head = {.config = record->config,
                               .config_history = record->config_history,
                               .cancelled_ids = record->cancelled_ids.entries,
                               .n_cancelled_ids = record->cancelled_ids.n,
                               .n_queues = record->n_queues,
                               .n_incarnations = record->n_incarnations,
                               .next_index = record->next_index,
                               .n_jobs = record->n_jobs,
                               .n_live = record->n_live};
    if (record->rules.head.version || record->rules.n_outlets)
        head.rules = (struct rules *)&record->rules;
    head.queues = must_alloc(sizeof *head.queues * (size_t)head.n_queues);
    for (int64_t i = 0; i < head.n_queues; i++)
        head.queues[i] =
            (struct stored_queue){.config = record->queues[i].config, .removed = record->queues[i].removed};
    head.incarnations = must_alloc(sizeof *head.incarnations * (size_t)head.n_incarnations);
    for (int64_t i = 0; i < head.n_incarnations; i++)
        head.incarnations[i] =
            (struct stored_incarnation){.name = record->incarnations[i].name, .agent = record->incarnations[i].agent};
    item_pack(to, &stored_head_schema, &head);
    free(head.queues);
    free(head.incarnations);
    for (const struct job *job = record->oldest; job; job = job->next)
        pack_job(to, job);
    Word_t id = 0;
    PPvoid_t at;
    JLF(at, record->jobs, id);
    while (at) {
        if (!((const struct job *)*at)->rows)
            pack_job(to, *at);
        JLN(at, record->jobs, id);
    }
}

/* --- restoring ---------------------------------------------------------- */

static enum sagehitch_error item_unpack(const struct bytes *from, int64_t *at, const struct schema *schema,
                                        void *stored)
{
    if (from->len - *at < 4)
        return ERROR_BAD_FRAME;
    int64_t len = (int64_t)le_get(from->at + *at, 4);
    *at += 4;
    if (len > from->len - *at)
        return ERROR_BAD_FRAME;
    *at += len;
    return schema_unpack(schema, stored, from->at + *at - len, len);
}

static enum sagehitch_error restore_row(struct record *record, struct job *job, struct stored_row *stored)
{
    if (stored->row_index < 0 || stored->row_index >= job->repetitions * job->tasks || stored->state < ROW_WAITING ||
        stored->state > ROW_FAILED ||
        (stored->state == ROW_PLACED && (stored->incarnation < 0 || stored->incarnation >= record->n_incarnations)))
        return ERROR_BAD_FRAME;
    struct row *row = &job->rows[stored->row_index];
    int64_t group = stored->row_index / job->tasks * job->spec.n_steps,
            row_in_repetition = stored->row_index % job->tasks, step = 0;
    while (step + 1 < job->spec.n_steps && job->first[step + 1] <= row_in_repetition)
        step++;
    group += step;
    free(row->checkpoint);
    *row = (struct row){.state = (int32_t)stored->state,
                        .failures = (int32_t)stored->failures,
                        .attempt = (int32_t)stored->attempt,
                        .incarnation = stored->state == ROW_PLACED ? (int32_t)stored->incarnation : -1,
                        .checkpoint = stored->checkpoint,
                        .since_ms = job->accepted_ms + stored->since_ms};
    stored->checkpoint = NULL;
    job->waiting[group] -= row->state != ROW_WAITING;
    job->unfinished[group] -= row->state == ROW_DONE;
    if (row->state == ROW_PLACED)
        job->n_placed++, record->incarnations[row->incarnation].placed++;
    return ERROR_NONE;
}

/* Restores the spec and rows of a live job, and the counts that follow from them. */
static enum sagehitch_error restore_live_job(struct record *record, struct job *job, struct stored_job *stored)
{
    if (!stored->spec || stored->spec->id != stored->id || job_spec_check(stored->spec, NULL))
        return ERROR_BAD_FRAME;
    job->spec = *stored->spec;
    *stored->spec = (struct job_spec){0};
    job_alloc_rows(job);
    int64_t groups = job->repetitions * job->spec.n_steps, last = -1;
    if (stored->n_counted != groups)
        return ERROR_BAD_FRAME;
    memcpy(job->last_failed_attempts, stored->counted, sizeof *job->last_failed_attempts * (size_t)groups);
    for (int64_t i = 0; i < stored->n_rows; i++) {
        if (stored->rows[i].row_index <= last || restore_row(record, job, &stored->rows[i]))
            return ERROR_BAD_FRAME;
        last = stored->rows[i].row_index;
    }
    return ERROR_NONE;
}

static enum sagehitch_error restore_job(struct record *record, const struct bytes *from, int64_t *at, int live)
{
    struct stored_job stored = {0};
    enum sagehitch_error rc = item_unpack(from, at, &stored_job_schema, &stored);
    if (rc)
        return rc;
    if (stored.queue < 0 || stored.queue >= record->n_queues || record_job(record, stored.id) ||
        (stored.rules && (stored.rules->outlet < 0 || stored.rules->outlet >= record->rules.n_outlets)) ||
        (stored.route && (!stored.route->host || !stored.route->prefix))) {
        schema_free(&stored_job_schema, &stored);
        return ERROR_BAD_FRAME;
    }
    struct job *job = must_alloc(sizeof *job);
    *job = (struct job){.spec = {.id = stored.id},
                        .queue = stored.queue,
                        .state = stored.state,
                        .tasks = stored.tasks,
                        .repetitions = stored.repetitions,
                        .n_done = stored.n_done,
                        .accepted_ms = stored.accepted_ms,
                        .ended_ms = stored.ended_ms,
                        .index = stored.index,
                        .spec_hash = (uint64_t)stored.hash,
                        .rules = stored.rules,
                        .route = stored.route};
    stored.rules = NULL;
    stored.route = NULL;
    if (live)
        rc = restore_live_job(record, job, &stored);
    schema_free(&stored_job_schema, &stored);
    if (rc) {
        job_free(job);
        return rc;
    }
    record_index_job(record, job);
    if (live)
        record_link(record, job);
    return ERROR_NONE;
}

static int head_valid(const struct stored_head *head)
{
    if (head->config.version && config_check(&head->config, NULL))
        return 0;
    for (int64_t i = 0; i < head->n_queues; i++) {
        const struct queue_config *queue = &head->queues[i].config;
        if (!queue->name || !queue->host || !queue->prefix)
            return 0;
    }
    for (int64_t i = 0; i < head->n_incarnations; i++)
        if (!head->incarnations[i].name)
            return 0;
    const struct change_history *history = &head->config_history;
    if (!change_history_is_valid(history) ||
        (history->n && history->changes[history->n - 1].version != head->config.version))
        return 0;
    if (head->n_cancelled_ids > CANCELLED_IDS_MAX)
        return 0;
    return !head->rules || rules_valid(head->rules);
}

/* Snapshots of older program versions have no history. Then only the current configuration is known, but not its base.
 */
static void restore_history(struct record *record, struct stored_head *head)
{
    schema_free(&change_history_schema, &record->config_history);
    record->config_history = head->config_history;
    head->config_history = (struct change_history){0};
    if (!record->config.version)
        record->config_history.complete = 1;
    else if (!record->config_history.n)
        change_history_add(
            &record->config_history,
            &(struct applied_change){.version = record->config.version,
                                     .base = BASE_UNKNOWN,
                                     .hash = change_hash(record->config.raw.at, record->config.raw.len)});
}

enum sagehitch_error record_restore(struct record *record, const struct bytes *from)
{
    struct stored_head head = {0};
    int64_t at = 0;
    record_clear(record);
    enum sagehitch_error rc = item_unpack(from, &at, &stored_head_schema, &head);
    if (rc)
        return rc;
    if (!head_valid(&head)) {
        schema_free(&stored_head_schema, &head);
        return ERROR_BAD_FRAME;
    }
    record->config = head.config;
    head.config = (struct config){0};
    restore_history(record, &head);
    record->next_index = head.next_index;
    if (head.rules) {
        record->rules = *head.rules;
        *head.rules = (struct rules){0};
    }
    for (int64_t i = 0; i < head.n_queues; i++) {
        struct queue *queue = array_add(record->queues, record->n_queues);
        *queue = (struct queue){.config = head.queues[i].config, .removed = head.queues[i].removed};
        head.queues[i].config = (struct queue_config){0};
    }
    for (int64_t i = 0; i < head.n_incarnations; i++) {
        struct incarnation *incarnation = array_add(record->incarnations, record->n_incarnations);
        *incarnation = (struct incarnation){.name = head.incarnations[i].name, .agent = head.incarnations[i].agent};
        head.incarnations[i].name = NULL;
        record_index_incarnation(record, record->n_incarnations - 1);
    }
    for (int64_t i = 0; i < head.n_cancelled_ids; i++)
        cancelled_ids_add(&record->cancelled_ids, head.cancelled_ids[i].id, head.cancelled_ids[i].at_ms);
    int64_t n_jobs = head.n_jobs, n_live = head.n_live;
    schema_free(&stored_head_schema, &head);
    for (int64_t i = 0; !rc && i < n_jobs; i++)
        rc = restore_job(record, from, &at, i < n_live);
    if (!rc && at != from->len)
        rc = ERROR_BAD_FRAME;
    if (rc)
        record_clear(record);
    return rc;
}
