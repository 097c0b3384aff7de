/* Schemas of entries, members and frames. The order of fields defines the wire and disk format, so new fields are
 * added at the end. */
#include "log/log.h"

static const struct field entry_fields[] = {INT(log_entry, term), INT(log_entry, kind), BYTES(log_entry, body)};
SCHEMA(log_entry_schema, log_entry, entry_fields);

static const struct field member_fields[] = {INT(log_member, id), INT(log_member, addr), INT(log_member, voter),
                                             STR(log_member, zone)};
SCHEMA(log_member_schema, log_member, member_fields);

static const struct field members_fields[] = {LIST(log_members, members, n, log_member_schema)};
SCHEMA(log_members_schema, log_members, members_fields);

static const struct field vote_request_fields[] = {INT(log_vote_request, group),
                                                   INT(log_vote_request, term),
                                                   INT(log_vote_request, from),
                                                   INT(log_vote_request, to),
                                                   INT_NAMED(log_vote_request, last_index, "lastIndex"),
                                                   INT_NAMED(log_vote_request, last_term, "lastTerm"),
                                                   INT(log_vote_request, pre),
                                                   INT(log_vote_request, transfer)};
SCHEMA(log_vote_request_schema, log_vote_request, vote_request_fields);

static const struct field vote_fields[] = {INT(log_vote, group), INT(log_vote, term),    INT(log_vote, from),
                                           INT(log_vote, to),    INT(log_vote, granted), INT(log_vote, pre)};
SCHEMA(log_vote_schema, log_vote, vote_fields);

static const struct field append_fields[] = {INT(log_append, group),
                                             INT(log_append, term),
                                             INT(log_append, from),
                                             INT(log_append, to),
                                             INT_NAMED(log_append, prev_index, "prevIndex"),
                                             INT_NAMED(log_append, prev_term, "prevTerm"),
                                             INT(log_append, commit),
                                             INT(log_append, round),
                                             LIST(log_append, entries, n, log_entry_schema)};
SCHEMA(log_append_schema, log_append, append_fields);

static const struct field appended_fields[] = {INT(log_appended, group), INT(log_appended, term),
                                               INT(log_appended, from),  INT(log_appended, to),
                                               INT(log_appended, ok),    INT(log_appended, match),
                                               INT(log_appended, round), INT_NAMED(log_appended, sync_ms, "syncMs"),
                                               INT(log_appended, chunks)};
SCHEMA(log_appended_schema, log_appended, appended_fields);

static const struct field snapshot_fields[] = {
    INT(log_snapshot, group), INT(log_snapshot, term),
    INT(log_snapshot, from),  INT(log_snapshot, to),
    INT(log_snapshot, index), INT_NAMED(log_snapshot, snapshot_term, "digestTerm"),
    INT(log_snapshot, round), SUB(log_snapshot, members, log_members_schema),
    BYTES(log_snapshot, data)};
SCHEMA(log_snapshot_schema, log_snapshot, snapshot_fields);

static const struct field chunk_fields[] = {
    INT(log_chunk, group), INT(log_chunk, term),   INT(log_chunk, from),
    INT(log_chunk, to),    INT(log_chunk, index),  INT_NAMED(log_chunk, snapshot_term, "snapshotTerm"),
    INT(log_chunk, round), INT(log_chunk, offset), INT(log_chunk, total),
    INT(log_chunk, sum),   INT(log_chunk, size),   BYTES(log_chunk, data)};
SCHEMA(log_chunk_schema, log_chunk, chunk_fields);

static const struct field chunk_ack_fields[] = {
    INT(log_chunk_ack, group), INT(log_chunk_ack, term), INT(log_chunk_ack, from),  INT(log_chunk_ack, to),
    INT(log_chunk_ack, index), INT(log_chunk_ack, sum),  INT(log_chunk_ack, round), INT(log_chunk_ack, offset)};
SCHEMA(log_chunk_ack_schema, log_chunk_ack, chunk_ack_fields);

static const struct field lead_now_fields[] = {INT(log_lead_now, group), INT(log_lead_now, term),
                                               INT(log_lead_now, from), INT(log_lead_now, to)};
SCHEMA(log_lead_now_schema, log_lead_now, lead_now_fields);
