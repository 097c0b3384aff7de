/* Ops that change the configuration and jobs; record_rows.c has the ops that change rows. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "dispatch/record_internal.h"

static int bytes_equal(const struct bytes *a, const struct bytes *b)
{
    return a->len == b->len && (!a->len || !memcmp(a->at, b->at, (size_t)a->len));
}

/* Replaces the current configuration, and updates the queues. */
static void config_replace(struct record *record, const struct config *config)
{
    schema_free(&config_schema, &record->config);
    schema_copy(&config_schema, &record->config, config);
    record_replace_queues(record, config);
}

static enum sagehitch_error apply_config(struct record *record, const struct record_op *op)
{
    const struct config_change *proposed = record_op_config(op);
    const struct config *config = &proposed->config;
    enum sagehitch_error rc = config_check(config, NULL);
    if (rc)
        return rc;
    struct applied_change change = {
        .version = config->version, .base = proposed->base, .hash = change_hash(config->raw.at, config->raw.len)};
    if (op->kind == OP_CONFIG_PATCH)
        change.hash = ~change.hash; /* must differ from the hash of a whole configuration with the same text */
    if (config->version <= record->config.version)
        return change_history_check(&record->config_history,
                                    &change); /* the same change sent again, or another change was first */
    if (proposed->base != record->config.version)
        return ERROR_STALE;
    struct config patched = {0};
    if (op->kind == OP_CONFIG_PATCH && (rc = record_patch_config(record, proposed, &patched, NULL)))
        return rc;
    change_history_add(&record->config_history, &change);
    config_replace(record, op->kind == OP_CONFIG_PATCH ? &patched : config);
    schema_free(&config_schema, &patched);
    return ERROR_NONE;
}

enum sagehitch_error record_patch_config(const struct record *record, const struct config_change *patch,
                                         struct config *to, struct validation_error *validation_error)
{
    if (!record->patch_config)
        return validation_error_named(validation_error, ERROR_BAD_METHOD, "", "method", "a whole configuration");
    return record->patch_config(to, &record->config.raw, &patch->config.raw, validation_error);
}

int job_same(const struct job *job, const struct job_spec *spec, const char *queue)
{
    if (job->spec_hash != job_hash(spec, queue))
        return 0;
    if (!job->rows)
        return 1; /* only the hash is left */
    struct bytes a = {0}, b = {0};
    schema_pack(&submission_schema, &job->spec, &a);
    schema_pack(&submission_schema, spec, &b);
    int same = bytes_equal(&a, &b);
    bytes_free(&a);
    bytes_free(&b);
    return same;
}

/* Fills *rules with the rules of the job's outlet, owned by the caller; leaves it unchanged if the job has none. */
static enum sagehitch_error job_rules_resolve(const struct record *record, const struct job_spec *spec,
                                              const char *queue, struct job_rules **rules)
{
    if (!record->rules.n_outlets && !spec->outlet)
        return ERROR_NONE;
    int64_t outlet =
        spec->outlet ? rules_outlet(&record->rules, spec->outlet) : rules_outlet_of_queue(&record->rules, queue);
    if (outlet < 0)
        return spec->outlet ? ERROR_NOT_FOUND : ERROR_NONE;
    *rules = job_rules_new(&record->rules, outlet);
    for (int64_t s = 0; s < spec->n_steps; s++)
        if (spec->steps[s].gang && (*rules)->values.running_most > 0 &&
            spec->steps[s].task_count > (*rules)->values.running_most) {
            free(*rules);
            return ERROR_NEVER_FITS;
        }
    return ERROR_NONE;
}

static enum sagehitch_error apply_job(struct record *record, const struct job_op *op, int64_t at_ms)
{
    enum sagehitch_error rc = job_spec_check(&op->spec, NULL);
    if (rc)
        return rc;
    struct job *job = record_job(record, op->spec.id);
    int64_t queue;
    if (job)
        return job_is_submitted_by(record, job, op) ? ERROR_NONE : ERROR_KEY_TAKEN;
    rc = record_submission_queue(record, op, &queue);
    if (rc)
        return rc;
    const char *queue_name = record->queues[queue].config.name;
    struct job_rules *rules = NULL;
    rc = job_rules_resolve(record, &op->spec, queue_name, &rules);
    if (rc)
        return rc;
    job = must_alloc(sizeof *job);
    job->rules = rules;
    schema_copy(&submission_schema, &job->spec, &op->spec);
    job->queue = queue;
    job->state = JOB_PENDING;
    job->accepted_ms = at_ms;
    job->spec_hash = job_hash(&op->spec, queue_name);
    job->index = record->next_index++;
    job_alloc_rows(job);
    record_index_job(record, job);
    record_link(record, job);
    record_notify(record, job, -1);
    if (cancelled_ids_has(&record->cancelled_ids, op->spec.id, at_ms))
        job_end(record, job, JOB_CANCELLED, at_ms);
    return ERROR_NONE;
}

int job_release(struct record *record, struct job *job)
{
    if (!job_over(job) || job->n_placed)
        return 0;
    record_unlink(record, job);
    job_free_rows(job);
    return 1;
}

void job_end(struct record *record, struct job *job, int64_t state, int64_t at_ms)
{
    job->state = state;
    job->ended_ms = at_ms;
    job_release(record, job);
    record_notify(record, job, -1);
}

static enum sagehitch_error apply_cancel(struct record *record, const struct record_op *op)
{
    struct job *job = record_job(record, record_op_cancelled(op));
    if (!job) {
        enum sagehitch_error rc = cancelled_ids_add(&record->cancelled_ids, record_op_cancelled(op), op->at_ms);
        return rc ? rc : ERROR_GONE;
    }
    if (!job_over(job))
        job_end(record, job, JOB_CANCELLED, op->at_ms);
    return ERROR_NONE;
}

static enum sagehitch_error apply_forget(struct record *record, const struct forget_op *op)
{
    int rc = ERROR_GONE;
    for (int64_t i = 0; i < op->n_jobs; i++) {
        struct job *job = record_job(record, op->jobs[i]);
        if (!job || !job_over(job) || job->rows)
            continue;
        record_forget(record, job);
        rc = ERROR_NONE;
    }
    return rc;
}

enum sagehitch_error record_apply(struct record *record, const struct record_op *op)
{
    const struct rules_change *rules;
    switch (op->kind) {
    case OP_CONFIG:
    case OP_CONFIG_PATCH: return apply_config(record, op);
    case OP_JOB: return apply_job(record, record_op_job(op), op->at_ms);
    case OP_CANCEL: return apply_cancel(record, op);
    case OP_PLACE: return record_apply_place(record, record_op_place(op), op->at_ms);
    case OP_END: return record_apply_end(record, record_op_end(op), op->at_ms);
    case OP_FORGET: return apply_forget(record, record_op_forget(op));
    case OP_RULES: rules = record_op_rules(op); return rules ? rules_apply(&record->rules, rules) : ERROR_BAD_FIELD;
    default: return ERROR_BAD_FIELD;
    }
}
