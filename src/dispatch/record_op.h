/* Ops: the changes of the record, as they are committed to the log.
 *
 * An op is a tagged union: kind selects the member of body. Each kind has a constructor, which sets the kind and
 * returns the member to fill in, and an accessor, which aborts the process if the op is of another kind. Only
 * constructors, accessors and the schema use body directly. */
#ifndef SAGEHITCH_DISPATCH_RECORD_OP_H
#define SAGEHITCH_DISPATCH_RECORD_OP_H
#include "base/schema.h"
#include "dispatch/job.h"
#include "dispatch/messages.h"
#include "rules/rules.h"

/* Kinds of ops. The numbers are stored in the log. */
enum record_op_kind { OP_NONE, OP_CONFIG, OP_JOB, OP_CANCEL, OP_PLACE, OP_END, OP_FORGET, OP_RULES, OP_CONFIG_PATCH };

/* OP_JOB: a job is accepted in the queue of this name. host and prefix: the route by which it came, NULL in ops of
 * versions that did not name it. */
struct job_op {
    struct job_spec spec;
    char *queue, *host, *prefix;
};
/* OP_PLACE: runs start on an incarnation of this agent's executor. */
struct place_op {
    char *incarnation;
    int64_t agent;
    struct run_ref *runs;
    int64_t n_runs;
};
/* OP_END: runs have ended. */
struct end_op {
    struct run_ended *ended;
    int64_t n_ended;
};
/* OP_FORGET: the retention time of these jobs is over. */
struct forget_op {
    int64_t *jobs;
    int64_t n_jobs;
};

/* One op. Owns what it points to; schema_free() with record_op_schema frees it. */
struct record_op {
    int64_t kind;  /* enum record_op_kind */
    int64_t at_ms; /* time of day at the leader */
    union {
        struct job_op job;           /* the largest member is first, so that {0} clears them all */
        struct config_change config; /* OP_CONFIG, OP_CONFIG_PATCH */
        int64_t cancelled;           /* OP_CANCEL: id of the job */
        struct place_op place;
        struct end_op end;
        struct forget_op forget;
        struct rules_change *rules; /* OP_RULES */
    } body;
};

/* Ops that are committed as one log entry. */
struct record_batch {
    struct record_op *ops;
    int64_t n;
};
extern const struct schema record_op_schema, record_batch_schema;

/* Constructors. op must be zeroed except for at_ms; it owns what the caller puts into the returned member. */
struct config_change *record_op_make_config(struct record_op *op);
struct config_change *record_op_make_config_patch(struct record_op *op);
struct job_op *record_op_make_job(struct record_op *op);
void record_op_make_cancel(struct record_op *op, int64_t job);
struct place_op *record_op_make_place(struct record_op *op);
struct end_op *record_op_make_end(struct record_op *op);
struct forget_op *record_op_make_forget(struct record_op *op);
struct rules_change *record_op_make_rules(struct record_op *op); /* returns a zeroed change */

/* Accessors; the results are borrowed from the op. */
const struct config_change *record_op_config(const struct record_op *op); /* OP_CONFIG and OP_CONFIG_PATCH */
const struct job_op *record_op_job(const struct record_op *op);
int64_t record_op_cancelled(const struct record_op *op);
const struct place_op *record_op_place(const struct record_op *op);
const struct end_op *record_op_end(const struct record_op *op);
const struct forget_op *record_op_forget(const struct record_op *op);
const struct rules_change *record_op_rules(const struct record_op *op); /* NULL: the log entry had none */
/* The same members, writable, to append to an op that is not proposed yet. */
struct place_op *record_op_append_place(struct record_op *op);
struct end_op *record_op_append_end(struct record_op *op);
#endif
