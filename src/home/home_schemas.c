/* Schemas of the messages between executors, their owners and the owners of shards. */
#include "home/home.h"

static const struct field task_fields[] = {INT(exec_task, job),
                                           INT(exec_task, no),
                                           INT(exec_task, attempt),
                                           INT(exec_task, cores),
                                           INT_NAMED(exec_task, mem_mb, "memMb"),
                                           STR(exec_task, state),
                                           STR(exec_task, why),
                                           INT(exec_task, progress, .dflt = -1, .min = -1, .max = INT64_MAX)};
SCHEMA(exec_task_schema, exec_task, task_fields);

static const struct field state_fields[] = {STR(exec_state, name, .flags = FF_MUST, .min = 1, .max = 100),
                                            STR(exec_state, cluster, .flags = FF_MUST, .min = 1, .max = 64),
                                            STR(exec_state, address, .flags = FF_MUST, .max = 32),
                                            STR(exec_state, kind, .flags = FF_MUST, .min = 1, .max = 64),
                                            STR(exec_state, rack, .flags = FF_MUST, .max = 64),
                                            STRS(exec_state, services, n_services, .max = 64),
                                            INT(exec_state, incarnation, .flags = FF_MUST, .min = 1, .max = INT64_MAX),
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

static const struct field renew_fields[] = {INT(exec_renew, job), INT(exec_renew, no), INT(exec_renew, attempt),
                                            INT_NAMED(exec_renew, lease_ms, "licenceMs")};
static SCHEMA(renew_schema, exec_renew, renew_fields);

static const struct field orders_fields[] = {STR(exec_orders, cluster),
                                             STR(exec_orders, home),
                                             INT(exec_orders, epoch),
                                             INT(exec_orders, incarnation),
                                             INT(exec_orders, ticket),
                                             LIST(exec_orders, starts, n_starts, start_schema),
                                             LIST(exec_orders, stops, n_stops, renew_schema),
                                             LIST(exec_orders, renews, n_renews, renew_schema),
                                             LIST(exec_orders, acks, n_acks, renew_schema),
                                             LIST(exec_orders, goes, n_goes, renew_schema)};
SCHEMA(exec_orders_schema, exec_orders, orders_fields);

static const struct field room_fields[] = {STR(room, executor),
                                           STR(room, kind),
                                           STR(room, rack),
                                           STRS(room, services, n_services),
                                           INT(room, home),
                                           INT(room, epoch),
                                           INT(room, incarnation),
                                           INT(room, state),
                                           INT(room, cores),
                                           INT_NAMED(room, mem_mb, "memMb"),
                                           INT_NAMED(room, free_cores, "freeCores"),
                                           INT_NAMED(room, free_mb, "freeMb"),
                                           INT_NAMED(room, urgency_limit, "wanted"),
                                           INT(room, addr),
                                           INT_NAMED(room, leave_ms, "leaveMs")};
SCHEMA(room_schema, room, room_fields);

static const struct field rooms_fields[] = {LIST_NAMED(rooms_msg, views, "rooms", n, room_schema)};
SCHEMA(rooms_msg_schema, rooms_msg, rooms_fields);

static const struct field ref_fields[] = {INT(task_ref, job), INT(task_ref, no), INT(task_ref, attempt),
                                          INT(task_ref, cores), INT_NAMED(task_ref, mem_mb, "memMb")};
static SCHEMA(ref_schema, task_ref, ref_fields);

static const struct field reserve_fields[] = {INT(reserve, req),
                                              INT(reserve, shard),
                                              INT_NAMED(reserve, shard_epoch, "shardEpoch"),
                                              INT_NAMED(reserve, home_epoch, "homeEpoch"),
                                              INT(reserve, incarnation),
                                              INT(reserve, urgency),
                                              STR(reserve, executor),
                                              LIST(reserve, tasks, n_tasks, ref_schema)};
SCHEMA(reserve_schema, reserve, reserve_fields);

static const struct field reserved_fields[] = {INT(reserved, req), INT_NAMED(reserved, error, "problem"),
                                               STR(reserved, executor)};
SCHEMA(reserved_schema, reserved, reserved_fields);

static const struct field start_order_fields[] = {INT(start_order, shard),
                                                  INT_NAMED(start_order, shard_epoch, "shardEpoch"),
                                                  INT_NAMED(start_order, home_epoch, "homeEpoch"),
                                                  INT(start_order, incarnation),
                                                  STR(start_order, executor),
                                                  SUB(start_order, start, start_schema)};
SCHEMA(start_order_schema, start_order, start_order_fields);

static const struct field check_fields[] = {INT(check, shard),
                                            INT_NAMED(check, shard_epoch, "shardEpoch"),
                                            INT_NAMED(check, home_epoch, "homeEpoch"),
                                            INT(check, incarnation),
                                            STR(check, executor),
                                            LIST(check, tasks, n_tasks, ref_schema)};
SCHEMA(check_schema, check, check_fields);

static const struct field checked_task_fields[] = {INT(checked_task, job), INT(checked_task, no),
                                                   INT(checked_task, attempt), INT(checked_task, state)};
static SCHEMA(checked_task_schema, checked_task, checked_task_fields);

static const struct field checked_fields[] = {INT_NAMED(checked, home_epoch, "homeEpoch"), INT(checked, incarnation),
                                              STR(checked, executor),
                                              LIST(checked, tasks, n_tasks, checked_task_schema)};
SCHEMA(checked_schema, checked, checked_fields);

static const struct field ended_fields[] = {INT(ended, job),     INT(ended, no),       INT(ended, attempt),
                                            INT(ended, outcome), STR(ended, executor), STR(ended, why)};
SCHEMA(ended_schema, ended, ended_fields);
