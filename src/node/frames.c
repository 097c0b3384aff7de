/* Schemas of the frames between nodes and keepers, and between nodes. */
#include "node/node.h"

static const struct field updates_request_fields[] = {INT_NAMED(control_updates_request, index, "from"),
                                                      INT_NAMED(control_updates_request, sent_ms, "sentMs"),
                                                      INT(control_updates_request, boot)};
SCHEMA(control_updates_request_schema, control_updates_request, updates_request_fields);

static const struct field entry_fields[] = {INT(control_entry, index), BYTES(control_entry, op)};
static SCHEMA(control_entry_schema, control_entry, entry_fields);

static const struct field updates_fields[] = {INT(control_updates, ok),
                                              INT_NAMED(control_updates, sent_ms, "sentMs"),
                                              INT_NAMED(control_updates, last_index, "upto"),
                                              INT(control_updates, commit),
                                              INT(control_updates, leader),
                                              INT_NAMED(control_updates, jobs_leader, "jobsLeader"),
                                              INT_NAMED(control_updates, snapshot_index, "digestIndex"),
                                              LIST(control_updates, entries, n, control_entry_schema),
                                              BYTES_NAMED(control_updates, snapshot, "digest"),
                                              INTS(control_updates, voters, n_voters)};
SCHEMA(control_updates_schema, control_updates, updates_fields);

static const struct field propose_fields[] = {INT(propose, group), INT(propose, req), BYTES(propose, op)};
SCHEMA(propose_schema, propose, propose_fields);

static const struct field proposed_fields[] = {INT(proposed, group), INT(proposed, req),
                                               INT_NAMED(proposed, error, "problem"), INT(proposed, leader),
                                               BYTES(proposed, result)};
SCHEMA(proposed_schema, proposed, proposed_fields);

static const struct field forward_request_fields[] = {INT(forward_request, req),   INT(forward_request, hops),
                                                      INT(forward_request, shard), STR(forward_request, method),
                                                      STR(forward_request, path),  STR(forward_request, body)};
SCHEMA(forward_request_schema, forward_request, forward_request_fields);

static const struct field forward_response_fields[] = {INT(forward_response, req), INT(forward_response, status),
                                                       INT_NAMED(forward_response, retry_ms, "retryMs"),
                                                       STR(forward_response, body)};
SCHEMA(forward_response_schema, forward_response, forward_response_fields);
