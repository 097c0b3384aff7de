/* Frames between the processes of a cluster: a head and a body in CBOR, a positional array by the
 * schema of the kind (base/schema.h). */
#ifndef SAGEHITCH_FRAME_H
#define SAGEHITCH_FRAME_H
#include "base/error.h"
#include "base/schema.h"
#include "base/world.h"

enum frame_kind {
    FRAME_PING = 1,
    FRAME_ACK,
    FRAME_PING_REQUEST, /* peer */
    FRAME_VOTE_REQUEST,
    FRAME_VOTE,
    FRAME_APPEND,
    FRAME_APPENDED, /* log */
    FRAME_SNAPSHOT,
    FRAME_LEAD_NOW,
    FRAME_BOOTSTRAP_STATUS_REQUEST,
    FRAME_BOOTSTRAP_STATUS,
    FRAME_JOIN,
    FRAME_CONTROL_UPDATES_REQUEST,
    FRAME_CONTROL_UPDATES,
    FRAME_CONTROL_UPDATES_NOTICE,
    FRAME_PROPOSE,
    FRAME_PROPOSED, /* configuration tree */
    FRAME_FORWARD_REQUEST,
    FRAME_FORWARD_RESPONSE, /* api */
    FRAME_EXECUTOR_SUMMARIES,
    FRAME_RESERVE,
    FRAME_RESERVED,
    FRAME_RELEASE, /* home */
    FRAME_START,
    FRAME_STOP,
    FRAME_GANG_START,
    FRAME_CHECK,
    FRAME_CHECKED,
    FRAME_ENDED,
    FRAME_ENDED_ACK,
    FRAME_LEADER_QUERY,
    FRAME_LEADER_REPLY, /* directory */
    FRAME_COLLECT,
    FRAME_COLLECTED,
    FRAME_BOOTSTRAP_MEMBERS, /* bootstrap of controllers */
    FRAME_REQUEST,
    FRAME_RESPONSE, /* controller: sent on to the leader */
    FRAME_REPORT,
    FRAME_ORDERS, /* dispatch: agents and the leader */
    FRAME_SNAPSHOT_CHUNK,
    FRAME_SNAPSHOT_GOT, /* log: a snapshot in parts */
    FRAME_BALLOT,
    FRAME_BALLOT_REPLY, /* bootstrap: the seeds agree on the voters */
    FRAME_LEAVING,      /* members: a voter asks the leader whether it may end, and is told */
    FRAME_LAST
};

enum { FRAME_VERSION = 1, FRAME_HEAD = 24, FRAME_MAX = 64 << 20 };

/* A frame as frame_parse() found it; body points into the bytes parsed.
 * Head: 'S' 'H', version, kind, cluster hash (4), sender (8), body length (4),
 * checksum over the body (4). Invariant: a frame is taken whole or not at all. */
struct frame {
    enum frame_kind kind;
    uint64_t from;
    const uint8_t *body;
    int64_t len;
};

/* Appends a frame of msg, packed by schema, to to. from is the sender's address. */
void frame_build(struct bytes *to, enum frame_kind kind, uint32_t cluster, uint64_t from, const struct schema *schema,
                 const void *msg);
/* The length of the whole frame, by its head of FRAME_HEAD bytes; ERROR_BAD_FRAME if it is of another
 * cluster or version, or too long. */
int64_t frame_length(const uint8_t *head, uint32_t cluster);
/* Reads and checks the frame in len bytes. Returns 0 or ERROR_BAD_FRAME. */
enum sagehitch_error frame_parse(struct frame *to, const uint8_t *at, int64_t len, uint32_t cluster);
/* 1 if frames of this kind may be lost, so a datagram will do. */
int frame_lossy(enum frame_kind kind);
int frame_is_for_log(enum frame_kind kind); /* one that log_take() takes */
#endif
