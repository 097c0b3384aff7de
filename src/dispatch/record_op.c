/* Ops of the record: constructors, accessors and schemas. */
#include "dispatch/record_op.h"

#include <stdlib.h>

_Static_assert(sizeof(struct job_op) == sizeof(((struct record_op *)NULL)->body), "the largest member is first");

enum { CONFIG_KINDS = KIND_BIT(OP_CONFIG) | KIND_BIT(OP_CONFIG_PATCH) };

static const struct field op_fields[] = {
    INT(record_op, kind),
    INT_NAMED(record_op, at_ms, "atMs"),
    SUB_NAMED(record_op, body.config.config, "config", config_schema, .kinds = CONFIG_KINDS),
    INT_NAMED(record_op, body.config.base, "base", .kinds = CONFIG_KINDS),
    SUB_NAMED(record_op, body.job.spec, "spec", submission_schema, .kinds = KIND_BIT(OP_JOB)),
    STR_NAMED(record_op, body.job.queue, "queue", .kinds = KIND_BIT(OP_JOB)),
    INT_NAMED(record_op, body.cancelled, "job", .kinds = KIND_BIT(OP_CANCEL)),
    STR_NAMED(record_op, body.place.incarnation, "life", .kinds = KIND_BIT(OP_PLACE)),
    INT_NAMED(record_op, body.place.agent, "agent", .kinds = KIND_BIT(OP_PLACE)),
    LIST_NAMED(record_op, body.place.runs, "runs", body.place.n_runs, run_ref_schema, .kinds = KIND_BIT(OP_PLACE)),
    LIST_NAMED(record_op, body.end.ended, "ended", body.end.n_ended, run_ended_schema, .kinds = KIND_BIT(OP_END)),
    INTS_NAMED(record_op, body.forget.jobs, "jobs", body.forget.n_jobs, .kinds = KIND_BIT(OP_FORGET)),
    PTR_NAMED(record_op, body.rules, "rules", rules_change_schema, .kinds = KIND_BIT(OP_RULES)),
    STR_NAMED(record_op, body.job.host, "host", .kinds = KIND_BIT(OP_JOB)),
    STR_NAMED(record_op, body.job.prefix, "prefix", .kinds = KIND_BIT(OP_JOB))};
SCHEMA_TAGGED(record_op_schema, record_op, op_fields);

static const struct field batch_fields[] = {LIST(record_batch, ops, n, record_op_schema)};
SCHEMA(record_batch_schema, record_batch, batch_fields);

/* Aborts the process unless the op is of this kind. */
static void check_kind(const struct record_op *op, enum record_op_kind kind)
{
    if (op->kind != kind)
        abort();
}

static void set_kind(struct record_op *op, enum record_op_kind kind)
{
    check_kind(op, OP_NONE);
    op->kind = kind;
}

/* --- constructors --------------------------------------------------------------- */

struct config_change *record_op_make_config(struct record_op *op)
{
    set_kind(op, OP_CONFIG);
    return &op->body.config;
}

struct config_change *record_op_make_config_patch(struct record_op *op)
{
    set_kind(op, OP_CONFIG_PATCH);
    return &op->body.config;
}

struct job_op *record_op_make_job(struct record_op *op)
{
    set_kind(op, OP_JOB);
    return &op->body.job;
}

void record_op_make_cancel(struct record_op *op, int64_t job)
{
    set_kind(op, OP_CANCEL);
    op->body.cancelled = job;
}

struct place_op *record_op_make_place(struct record_op *op)
{
    set_kind(op, OP_PLACE);
    return &op->body.place;
}

struct end_op *record_op_make_end(struct record_op *op)
{
    set_kind(op, OP_END);
    return &op->body.end;
}

struct forget_op *record_op_make_forget(struct record_op *op)
{
    set_kind(op, OP_FORGET);
    return &op->body.forget;
}

struct rules_change *record_op_make_rules(struct record_op *op)
{
    set_kind(op, OP_RULES);
    op->body.rules = must_alloc(sizeof *op->body.rules);
    return op->body.rules;
}

/* --- accessors ------------------------------------------------------------------ */

const struct config_change *record_op_config(const struct record_op *op)
{
    if (op->kind != OP_CONFIG_PATCH)
        check_kind(op, OP_CONFIG);
    return &op->body.config;
}

const struct job_op *record_op_job(const struct record_op *op)
{
    check_kind(op, OP_JOB);
    return &op->body.job;
}

int64_t record_op_cancelled(const struct record_op *op)
{
    check_kind(op, OP_CANCEL);
    return op->body.cancelled;
}

const struct place_op *record_op_place(const struct record_op *op)
{
    check_kind(op, OP_PLACE);
    return &op->body.place;
}

const struct end_op *record_op_end(const struct record_op *op)
{
    check_kind(op, OP_END);
    return &op->body.end;
}

const struct forget_op *record_op_forget(const struct record_op *op)
{
    check_kind(op, OP_FORGET);
    return &op->body.forget;
}

const struct rules_change *record_op_rules(const struct record_op *op)
{
    check_kind(op, OP_RULES);
    return op->body.rules;
}

struct place_op *record_op_append_place(struct record_op *op)
{
    check_kind(op, OP_PLACE);
    return &op->body.place;
}

struct end_op *record_op_append_end(struct record_op *op)
{
    check_kind(op, OP_END);
    return &op->body.end;
}
