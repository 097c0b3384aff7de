/* Schemas of the frames between controllers. */
#include "controller/controller_state.h"

static const struct field leader_query_fields[] = {INT(leader_query, addr), INT(leader_query, controller),
                                                   INT(leader_query, disk), INT(leader_query, boot)};
SCHEMA(leader_query_schema, leader_query, leader_query_fields);

static const struct field leader_reply_fields[] = {INT(leader_reply, term), INT(leader_reply, leader),
                                                   INTS(leader_reply, controllers, n)};
SCHEMA(leader_reply_schema, leader_reply, leader_reply_fields);

static const struct field record_result_fields[] = {INTS_NAMED(record_result, errors, "problems", n)};
SCHEMA(record_result_schema, record_result, record_result_fields);

static const struct field forwarded_request_fields[] = {
    INT(forwarded_request, boot), INT(forwarded_request, ticket), INT(forwarded_request, term),
    SUB_NAMED(forwarded_request, request, "ask", api_request_schema)};
SCHEMA(forwarded_request_schema, forwarded_request, forwarded_request_fields);

static const struct field forwarded_response_fields[] = {INT(forwarded_response, boot), INT(forwarded_response, ticket),
                                                         SUB(forwarded_response, answer, api_response_schema)};
SCHEMA(forwarded_response_schema, forwarded_response, forwarded_response_fields);

static const struct field collect_fields[] = {INT(bootstrap_announcement, id), INT(bootstrap_announcement, addr),
                                              INT(bootstrap_announcement, empty), STR(bootstrap_announcement, zone),
                                              SUB(bootstrap_announcement, members, log_members_schema)};
SCHEMA(bootstrap_announcement_schema, bootstrap_announcement, collect_fields);

static const struct field ballot_fields[] = {INT(ballot, ballot), INT(ballot, phase),
                                             SUB(ballot, members, log_members_schema)};
SCHEMA(ballot_schema, ballot, ballot_fields);

static const struct field ballot_reply_fields[] = {INT(ballot_reply, ballot),
                                                   INT(ballot_reply, phase),
                                                   INT(ballot_reply, promised),
                                                   INT(ballot_reply, accepted),
                                                   INT_NAMED(ballot_reply, log_exists, "founded"),
                                                   SUB(ballot_reply, members, log_members_schema)};
SCHEMA(ballot_reply_schema, ballot_reply, ballot_reply_fields);

static const struct field acceptor_fields[] = {INT(acceptor, promised), INT(acceptor, accepted),
                                               SUB(acceptor, members, log_members_schema),
                                               INTS(acceptor, seeds, n_seeds)};
SCHEMA(acceptor_schema, acceptor, acceptor_fields);

static const struct field leaving_fields[] = {INT(leaving, id), INT_NAMED(leaving, may_end, "mayEnd")};
SCHEMA(leaving_schema, leaving, leaving_fields);
