#include "node/node.h"

static const struct field confirm_fields[] = {INT(confirm, from), INT_NAMED(confirm, sent_ms, "sentMs"),
                                              INT(confirm, boot)};
SCHEMA(control_updates_request_schema, confirm, confirm_fields);

static const struct field entry_fields[] = {INT(feed_entry, index), BYTES(feed_entry, op)};
static SCHEMA(feed_entry_schema, feed_entry, entry_fields);

static const struct field feed_fields[] = {INT(feed, ok),
                                           INT_NAMED(feed, sent_ms, "sentMs"),
                                           INT(feed, upto),
                                           INT(feed, commit),
                                           INT(feed, leader),
                                           INT_NAMED(feed, jobs_leader, "jobsLeader"),
                                           INT_NAMED(feed, snapshot_index, "digestIndex"),
                                           LIST(feed, entries, n, feed_entry_schema),
                                           BYTES_NAMED(feed, snapshot, "digest"),
                                           INTS(feed, voters, n_voters)};
SCHEMA(control_updates_schema, feed, feed_fields);

static const struct field propose_fields[] = {INT(propose, group), INT(propose, req), BYTES(propose, op)};
SCHEMA(propose_schema, propose, propose_fields);

static const struct field proposed_fields[] = {INT(proposed, group), INT(proposed, req),
                                               INT_NAMED(proposed, error, "problem"), INT(proposed, leader),
                                               BYTES(proposed, result)};
SCHEMA(proposed_schema, proposed, proposed_fields);

static const struct field send_on_fields[] = {INT(send_on, req),    INT(send_on, hops), INT(send_on, shard),
                                              STR(send_on, method), STR(send_on, path), STR(send_on, body)};
SCHEMA(forward_request_schema, send_on, send_on_fields);

static const struct field sent_on_fields[] = {INT(sent_on, req), INT(sent_on, status),
                                              INT_NAMED(sent_on, retry_ms, "retryMs"), STR(sent_on, body)};
SCHEMA(forward_response_schema, sent_on, sent_on_fields);
