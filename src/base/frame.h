/* Frames between the processes of a cluster. A frame has a header and a body, which is a positional CBOR array
 * according to the schema of its kind (base/schema.h). */
#ifndef SAGEHITCH_FRAME_H
#define SAGEHITCH_FRAME_H
#include "base/error.h"
#include "base/schema.h"
#include "base/world.h"

/* The numbers are part of the wire format, so new kinds are added before FRAME_LAST. */
enum frame_kind {
    /* peer: failure detection */
    FRAME_PING = 1,
    FRAME_ACK,
    FRAME_PING_REQUEST,
    /* log */
    FRAME_VOTE_REQUEST,
    FRAME_VOTE,
    FRAME_APPEND,
    FRAME_APPENDED,
    FRAME_SNAPSHOT,
    FRAME_LEAD_NOW,
    /* bootstrap and membership */
    FRAME_BOOTSTRAP_STATUS_REQUEST,
    FRAME_BOOTSTRAP_STATUS,
    FRAME_JOIN,
    /* control log: updates for nodes, and proposals */
    FRAME_CONTROL_UPDATES_REQUEST,
    FRAME_CONTROL_UPDATES,
    FRAME_CONTROL_UPDATES_NOTICE,
    FRAME_PROPOSE,
    FRAME_PROPOSED,
    /* api: a request forwarded to another node */
    FRAME_FORWARD_REQUEST,
    FRAME_FORWARD_RESPONSE,
    /* executors: capacity, reservations and tasks */
    FRAME_EXECUTOR_SUMMARIES,
    FRAME_RESERVE,
    FRAME_RESERVED,
    FRAME_RELEASE,
    FRAME_START,
    FRAME_STOP,
    FRAME_GANG_START,
    FRAME_CHECK,
    FRAME_CHECKED,
    FRAME_ENDED,
    FRAME_ENDED_ACK,
    /* directory */
    FRAME_LEADER_QUERY,
    FRAME_LEADER_REPLY,
    /* bootstrap of controllers */
    FRAME_COLLECT,
    FRAME_UNUSED, /* keeps its number */
    FRAME_BOOTSTRAP_MEMBERS,
    /* controllers: a request forwarded to the leader */
    FRAME_REQUEST,
    FRAME_RESPONSE,
    /* dispatch: agents and the leader */
    FRAME_REPORT,
    FRAME_ORDERS,
    /* log: a snapshot in chunks */
    FRAME_SNAPSHOT_CHUNK,
    FRAME_SNAPSHOT_CHUNK_ACK,
    /* bootstrap: the seeds agree on the first voters */
    FRAME_BALLOT,
    FRAME_BALLOT_REPLY,
    /* members: a voter asks the leader for permission to stop, and the reply */
    FRAME_LEAVING,
    FRAME_LAST
};

/* FRAME_HEAD: length of the header; FRAME_MAX: of the body at most. */
enum { FRAME_VERSION = 1, FRAME_HEAD = 24, FRAME_MAX = 64 << 20 };

/* A frame parsed by frame_parse(); body points into the parsed bytes. Layout of the header: 'S' 'H', version, kind,
 * cluster hash (4 bytes), sender address (8), body length (4), checksum of the body (4). Invariant: only complete
 * frames are accepted. */
struct frame {
    enum frame_kind kind;
    uint64_t from;
    const uint8_t *body;
    int64_t len;
};

/* Appends a frame with msg, packed according to schema. from: the sender's address. */
void frame_build(struct bytes *to, enum frame_kind kind, uint32_t cluster, uint64_t from, const struct schema *schema,
                 const void *msg);
/* The length of the whole frame according to its header of FRAME_HEAD bytes; ERROR_BAD_FRAME if it belongs to another
 * cluster or version, or is too long. */
int64_t frame_length(const uint8_t *head, uint32_t cluster);
/* Parses and checks the frame in len bytes. Returns 0 or ERROR_BAD_FRAME. */
enum sagehitch_error frame_parse(struct frame *to, const uint8_t *at, int64_t len, uint32_t cluster);
/* 1 if frames of this kind may be lost, so that they can be sent as datagrams. */
int frame_lossy(enum frame_kind kind);
/* 1 if log_on_frame() handles frames of this kind. */
int frame_is_for_log(enum frame_kind kind);
#endif
