/* Schemas of the messages between executors, their owners and the owners of shards. */
#include "executor_owner/executor_owner.h"

static const struct field task_fields[] = {INT(exec_task, job),
                                           INT(exec_task, no),
                                           INT(exec_task, attempt),
                                           INT(exec_task, cores),
                                           INT_NAMED(exec_task, mem_mb, "memMb"),
                                           STR(exec_task, state),
                                           STR(exec_task, why),
                                           INT(exec_task, progress, .default_value = -1, .min = -1, .max = INT64_MAX)};
SCHEMA(exec_task_schema, exec_task, task_fields);

static const struct field state_fields[] = {
    STR(exec_state, name, .flags = FF_REQUIRED, .min = 1, .max = 100),
    STR(exec_state, cluster, .flags = FF_REQUIRED, .min = 1, .max = 64),
    STR(exec_state, address, .flags = FF_REQUIRED, .max = 32),
    STR(exec_state, kind, .flags = FF_REQUIRED, .min = 1, .max = 64),
    STR(exec_state, rack, .flags = FF_REQUIRED, .max = 64),
    STRS(exec_state, services, n_services, .max = 64),
    INT(exec_state, incarnation, .flags = FF_REQUIRED, .min = 1, .max = INT64_MAX),
    INT(exec_state, serial),
    INT(exec_state, ticket),
    INT(exec_state, epoch),
    INT(exec_state, cores, .min = 0, .max = 1 << 20),
    INT_NAMED(exec_state, mem_mb, "memMb", .min = 0, .max = INT32_MAX),
    INT_NAMED(exec_state, free_cores, "freeCores"),
    INT_NAMED(exec_state, free_mb, "freeMb"),
    BOOL(exec_state, leaving),
    INT_NAMED(exec_state, leaving_in_ms, "leavingInMs"),
    LIST(exec_state, running, n_running, exec_task_schema),
    LIST(exec_state, ended, n_ended, exec_task_schema)};
SCHEMA(exec_state_schema, exec_state, state_fields);

static const struct field start_fields[] = {INT(exec_start, job),
                                            INT(exec_start, no),
                                            INT(exec_start, attempt),
                                            INT(exec_start, cores),
                                            INT_NAMED(exec_start, mem_mb, "memMb"),
                                            INT_NAMED(exec_start, lease_ms, "licenceMs"),
                                            BOOL(exec_start, hold),
                                            STR(exec_start, service),
                                            STR(exec_start, queue),
                                            STR(exec_start, kind),
                                            STR(exec_start, payload),
                                            INT_NAMED(exec_start, stall_ms, "stallMs")};
static SCHEMA(start_schema, exec_start, start_fields);

static const struct field renew_fields[] = {INT(exec_task_order, job), INT(exec_task_order, no),
                                            INT(exec_task_order, attempt),
                                            INT_NAMED(exec_task_order, lease_ms, "licenceMs")};
static SCHEMA(renew_schema, exec_task_order, renew_fields);

static const struct field orders_fields[] = {STR(exec_orders, cluster),
                                             STR_NAMED(exec_orders, executor_owner, "home"),
                                             INT(exec_orders, epoch),
                                             INT(exec_orders, incarnation),
                                             INT(exec_orders, ticket),
                                             LIST(exec_orders, starts, n_starts, start_schema),
                                             LIST(exec_orders, stops, n_stops, renew_schema),
                                             LIST(exec_orders, renews, n_renews, renew_schema),
                                             LIST(exec_orders, acks, n_acks, renew_schema),
                                             LIST(exec_orders, goes, n_goes, renew_schema)};
SCHEMA(exec_orders_schema, exec_orders, orders_fields);

static const struct field summary_fields[] = {STR(executor_summary, executor),
                                              STR(executor_summary, kind),
                                              STR(executor_summary, rack),
                                              STRS(executor_summary, services, n_services),
                                              INT_NAMED(executor_summary, executor_owner, "home"),
                                              INT(executor_summary, epoch),
                                              INT(executor_summary, incarnation),
                                              INT(executor_summary, state),
                                              INT(executor_summary, cores),
                                              INT_NAMED(executor_summary, mem_mb, "memMb"),
                                              INT_NAMED(executor_summary, free_cores, "freeCores"),
                                              INT_NAMED(executor_summary, free_mb, "freeMb"),
                                              INT_NAMED(executor_summary, urgency_limit, "wanted"),
                                              INT(executor_summary, addr),
                                              INT_NAMED(executor_summary, leave_ms, "leaveMs")};
SCHEMA(executor_summary_schema, executor_summary, summary_fields);

static const struct field summaries_fields[] = {
    LIST_NAMED(executor_summaries_msg, summaries, "rooms", n, executor_summary_schema)};
SCHEMA(executor_summaries_msg_schema, executor_summaries_msg, summaries_fields);

static const struct field ref_fields[] = {INT(task_ref, job), INT(task_ref, no), INT(task_ref, attempt),
                                          INT(task_ref, cores), INT_NAMED(task_ref, mem_mb, "memMb")};
static SCHEMA(ref_schema, task_ref, ref_fields);

static const struct field reserve_fields[] = {INT(reserve_request, req),
                                              INT(reserve_request, shard),
                                              INT_NAMED(reserve_request, shard_epoch, "shardEpoch"),
                                              INT_NAMED(reserve_request, executor_epoch, "homeEpoch"),
                                              INT(reserve_request, incarnation),
                                              INT(reserve_request, urgency),
                                              STR(reserve_request, executor),
                                              LIST(reserve_request, tasks, n_tasks, ref_schema)};
SCHEMA(reserve_request_schema, reserve_request, reserve_fields);

static const struct field reserved_fields[] = {INT(reserve_reply, req), INT_NAMED(reserve_reply, error, "problem"),
                                               STR(reserve_reply, executor)};
SCHEMA(reserve_reply_schema, reserve_reply, reserved_fields);

static const struct field start_order_fields[] = {INT(start_order, shard),
                                                  INT_NAMED(start_order, shard_epoch, "shardEpoch"),
                                                  INT_NAMED(start_order, executor_epoch, "homeEpoch"),
                                                  INT(start_order, incarnation),
                                                  STR(start_order, executor),
                                                  SUB(start_order, start, start_schema)};
SCHEMA(start_order_schema, start_order, start_order_fields);

static const struct field check_fields[] = {INT(check_request, shard),
                                            INT_NAMED(check_request, shard_epoch, "shardEpoch"),
                                            INT_NAMED(check_request, executor_epoch, "homeEpoch"),
                                            INT(check_request, incarnation),
                                            STR(check_request, executor),
                                            LIST(check_request, tasks, n_tasks, ref_schema)};
SCHEMA(check_request_schema, check_request, check_fields);

static const struct field checked_task_fields[] = {INT(check_result, job), INT(check_result, no),
                                                   INT(check_result, attempt), INT(check_result, state)};
static SCHEMA(check_result_schema, check_result, checked_task_fields);

static const struct field checked_fields[] = {INT_NAMED(check_reply, executor_epoch, "homeEpoch"),
                                              INT(check_reply, incarnation), STR(check_reply, executor),
                                              LIST(check_reply, tasks, n_tasks, check_result_schema)};
SCHEMA(check_reply_schema, check_reply, checked_fields);

static const struct field ended_fields[] = {INT(ended, job),     INT(ended, no),       INT(ended, attempt),
                                            INT(ended, outcome), STR(ended, executor), STR(ended, why)};
SCHEMA(ended_schema, ended, ended_fields);
