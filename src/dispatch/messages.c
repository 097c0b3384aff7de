/* Schemas of the messages between the leader and agents. */
#include "dispatch/messages.h"

static const struct field ref_fields[] = {INT(run_ref, job), INT(run_ref, task), INT(run_ref, attempt)};
SCHEMA(run_ref_schema, run_ref, ref_fields);

static const struct field active_fields[] = {INT(run_active, job), INT(run_active, task), INT(run_active, attempt),
                                             INT(run_active, percent), STR_NAMED(run_active, checkpoint, "saved")};
SCHEMA(run_active_schema, run_active, active_fields);

static const struct field ended_fields[] = {INT(run_ended, seq),  INT(run_ended, job),
                                            INT(run_ended, task), INT(run_ended, attempt),
                                            INT(run_ended, how),  STR_NAMED(run_ended, checkpoint, "saved")};
SCHEMA(run_ended_schema, run_ended, ended_fields);

static const struct field refused_fields[] = {INT(run_refused, job), INT(run_refused, task), INT(run_refused, attempt),
                                              INT(run_refused, reason)};
SCHEMA(run_refused_schema, run_refused, refused_fields);

static const struct field executor_fields[] = {STR_NAMED(executor_state, incarnation, "life"),
                                               STR(executor_state, service),
                                               STR(executor_state, zone),
                                               STR(executor_state, rack),
                                               STRS(executor_state, labels, n_labels),
                                               INT_NAMED(executor_state, cpu_milli, "cpuMilli"),
                                               INT_NAMED(executor_state, memory_mb, "memoryMb"),
                                               INT(executor_state, gpus),
                                               INT(executor_state, draining),
                                               INT_NAMED(executor_state, departure_ms, "departureMs"),
                                               INT_NAMED(executor_state, warmup_ms, "warmupMs"),
                                               INT_NAMED(executor_state, silent_ms, "silentMs"),
                                               INT_NAMED(executor_state, lease_left_ms, "overMs")};
SCHEMA(executor_state_schema, executor_state, executor_fields);

static const struct field report_fields[] = {
    INT_NAMED(agent_report, stamp_ms, "stampMs"),
    INT(agent_report, boot),
    INT(agent_report, epoch),
    INT(agent_report, present),
    INT(agent_report, ready),
    INT_NAMED(agent_report, orders_taken, "ordersTaken"),
    SUB(agent_report, executor, executor_state_schema),
    STRS_NAMED(agent_report, lost_incarnations, "lostLives", n_lost_incarnations),
    LIST(agent_report, active, n_active, run_active_schema),
    LIST(agent_report, pending, n_pending, run_ref_schema),
    LIST(agent_report, ended, n_ended, run_ended_schema),
    LIST(agent_report, refused, n_refused, run_refused_schema)};
SCHEMA(agent_report_schema, agent_report, report_fields);

static const struct field start_fields[] = {INT(run_start, job), INT(run_start, task), INT(run_start, attempt),
                                            STR(run_start, text), STR_NAMED(run_start, checkpoint, "saved")};
SCHEMA(run_start_schema, run_start, start_fields);

static const struct field orders_fields[] = {
    INT(agent_orders, epoch),
    INT_NAMED(agent_orders, stamp_ms, "stampMs"),
    INT_NAMED(agent_orders, lease_ms, "leaseMs"),
    INT(agent_orders, leader),
    INT(agent_orders, number),
    STR_NAMED(agent_orders, incarnation, "life"),
    INT(agent_orders, seen),
    INT_NAMED(agent_orders, drain_seen, "drainSeen"),
    INT_NAMED(agent_orders, poll_delay_ms, "paceMs"),
    LIST(agent_orders, starts, n_starts, run_start_schema),
    LIST(agent_orders, stops, n_stops, run_ref_schema),
    LIST_NAMED(agent_orders, ends_seen, "endsSeen", n_ends_seen, run_ref_schema),
    STRS_NAMED(agent_orders, incarnations_seen, "livesSeen", n_incarnations_seen)};
SCHEMA(agent_orders_schema, agent_orders, orders_fields);
