/* Codecs of rows, jobs and the ops that change them. */
#include "shard/rows.h"

static const struct field row_fields[] = {INT(row, state),
                                          INT(row, attempt),
                                          INT(row, failures),
                                          INT_NAMED(row, due_ms, "dueMs"),
                                          INT(row, incarnation),
                                          INT_NAMED(row, executor_epoch, "homeEpoch"),
                                          INT_NAMED(row, lease_ms, "licenceMs"),
                                          INT_NAMED(row, placed_ms, "placedMs"),
                                          INT_NAMED(row, ended_ms, "endedMs"),
                                          STR(row, executor),
                                          STR(row, meta),
                                          INT(row, preempted)};
SCHEMA(row_schema, row, row_fields);

static const struct field job_fields[] = {INT(job, id),
                                          INT(job, state),
                                          INT_NAMED(job, created_ms, "createdMs"),
                                          INT_NAMED(job, ended_ms, "endedMs"),
                                          INT_NAMED(job, body_hash, "bodyHash"),
                                          SUB(job, spec, job_spec_schema),
                                          LIST(job, rows, n_rows, row_schema)};
SCHEMA(job_schema, job, job_fields);

static const struct field placement_fields[] = {INT(placement, no),
                                                INT(placement, attempt),
                                                INT(placement, incarnation),
                                                INT_NAMED(placement, executor_epoch, "homeEpoch"),
                                                INT_NAMED(placement, lease_ms, "licenceMs"),
                                                STR(placement, executor)};
static SCHEMA(placement_schema, placement, placement_fields);

static const struct field op_fields[] = {INT(op, kind),
                                         INT(op, job),
                                         INT(op, no),
                                         INT(op, attempt),
                                         INT(op, state),
                                         INT(op, failed),
                                         INT_NAMED(op, due_ms, "dueMs"),
                                         INT_NAMED(op, time_ms, "timeMs"),
                                         INT_NAMED(op, to_shard, "toShard"),
                                         INT_NAMED(op, body_hash, "bodyHash"),
                                         STR(op, key),
                                         STR(op, meta),
                                         PTR(op, spec, job_spec_schema),
                                         LIST_NAMED(op, placements, "places", n_placements, placement_schema)};
SCHEMA(op_schema, op, op_fields);

static const struct field batch_fields[] = {INT(batch, shard),
                                            INT(batch, epoch),
                                            INT(batch, open),
                                            INT(batch, seq),
                                            INT_NAMED(batch, checkpoint_ms, "checkpointMs"),
                                            LIST(batch, ops, n_ops, op_schema)};
SCHEMA(batch_schema, batch, batch_fields);

static const struct field result_fields[] = {INT_NAMED(batch_result, error, "problem"), INT(batch_result, epoch),
                                             INT(batch_result, seq), BYTES_NAMED(batch_result, snapshot, "digest")};
SCHEMA(batch_result_schema, batch_result, result_fields);
