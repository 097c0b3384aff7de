/* Schemas of calls to an executor, of its responses and heartbeats; constructors and accessors of responses. */
#include "agent/executor_codec.h"

#include <stdlib.h>

static const struct field call_fields[] = {STR(executor_call, method), STR(executor_call, path),
                                           STR(executor_call, header), STR(executor_call, body)};
SCHEMA(executor_call_schema, executor_call, call_fields);

static const struct field response_fields[] = {
    INT(executor_response, kind), INT_NAMED(executor_response, clock_ms, "clockMs"),
    INT_NAMED(executor_response, body.refusal, "refusal", .kinds = KIND_BIT(EXECUTOR_REFUSED)),
    LIST_NAMED(executor_response, body.lists.active, "active", body.lists.n_active, run_active_schema,
               .kinds = KIND_BIT(EXECUTOR_ACCEPTED)),
    LIST_NAMED(executor_response, body.lists.ended, "ended", body.lists.n_ended, run_ended_schema,
               .kinds = KIND_BIT(EXECUTOR_ACCEPTED))};
SCHEMA_TAGGED(executor_response_schema, executor_response, response_fields);

/* Part of forwarded requests. The fields without kinds stand for two numbers of older versions after the clock. */
static const struct field report_fields[] = {
    INT_NAMED(heartbeat_report, clock_ms, "clockMs"),
    INT_NAMED(heartbeat_report, clock_ms, "refusal", .kinds = KINDS_NONE),
    INT_NAMED(heartbeat_report, clock_ms, "otherLife", .kinds = KINDS_NONE),
    LIST_NAMED(heartbeat_report, lists.active, "active", lists.n_active, run_active_schema),
    LIST_NAMED(heartbeat_report, lists.ended, "ended", lists.n_ended, run_ended_schema)};
static SCHEMA_TAGGED(heartbeat_report_schema, heartbeat_report, report_fields);

static const struct field heartbeat_fields[] = {
    INT(executor_heartbeat, kind), INT(executor_heartbeat, seq), STR(executor_heartbeat, address),
    SUB(executor_heartbeat, state, executor_state_schema), SUB(executor_heartbeat, account, heartbeat_report_schema)};
SCHEMA(executor_heartbeat_schema, executor_heartbeat, heartbeat_fields);

void run_lists_free(struct run_lists *lists)
{
    struct heartbeat_report report = {.lists = *lists};
    schema_free(&heartbeat_report_schema, &report);
    *lists = (struct run_lists){0};
}

static void check_kind(const struct executor_response *response, enum executor_response_kind kind)
{
    if (response->kind != kind)
        abort();
}

static void set_kind(struct executor_response *response, enum executor_response_kind kind)
{
    check_kind(response, EXECUTOR_RESPONSE_NONE);
    response->kind = kind;
}

struct run_lists *executor_response_accept(struct executor_response *response)
{
    set_kind(response, EXECUTOR_ACCEPTED);
    return &response->body.lists;
}

void executor_response_refuse(struct executor_response *response, enum start_refusal refusal)
{
    set_kind(response, EXECUTOR_REFUSED);
    response->body.refusal = refusal;
}

void executor_response_other_incarnation(struct executor_response *response)
{
    set_kind(response, EXECUTOR_OTHER_INCARNATION);
}

struct run_lists *executor_response_lists(struct executor_response *response)
{
    check_kind(response, EXECUTOR_ACCEPTED);
    return &response->body.lists;
}

int64_t executor_response_refusal(const struct executor_response *response)
{
    check_kind(response, EXECUTOR_REFUSED);
    return response->body.refusal;
}
