/* A keeper: a process with a disk that stores both replicated logs and applies them. It sends the nodes the entries of
 * the control log; as the leader of that log it assigns shards and executors to nodes. */
#ifndef SAGEHITCH_KEEPER_H
#define SAGEHITCH_KEEPER_H
#include "base/slab.h"
#include "config_tree/config_tree.h"
#include "log/log.h"
#include "log/log_identity.h"
#include "node/node.h"
#include "peer/peer.h"

/* A keeper's state at the bootstrap of the logs. empty: it holds nothing of either log. */
struct bootstrap_status {
    int64_t id, empty, addr;
    char *zone;
};
extern const struct schema bootstrap_status_schema;

/* A node that requested updates from this keeper, and is notified of new entries. */
struct subscriber {
    int64_t addr, heard_ms;
};

/* What is known of another seed at the bootstrap. id 0: nothing, or its logs are not empty. */
struct bootstrap_peer {
    int64_t addr, id, heard_ms;
    char *zone;
};

/* A request for updates, or a proposal, that waits for its log. index: the last entry that the node has. */
struct pending_request {
    int64_t from, req, group, index, sent_ms, boot;
};

/* Invariants: id is on disk before it is sent to any process; from the bootstrap or join on it is the only identity
 * under which this keeper votes. silent: the disk cannot be trusted, so this keeper sends nothing any more. */
struct keeper {
    struct world *world;
    uint32_t cluster;
    char *zone;
    int64_t id, boot, leaving, silent;
    int64_t seeds[8], n_seeds;
    struct peers peers;
    struct log logs[GROUP_COUNT];
    struct config_tree config_tree;
    struct rows shards[SHARD_COUNT];
    struct bootstrap_peer bootstrap_peers[8];
    int64_t n_bootstrap_peers, bootstrap_due_ms;
    struct slab pending_requests;
    int64_t assign_due_ms, member_due_ms, assign_in_progress, moved_ms, planned_in_progress;
    struct join joiners[8];
    int64_t n_joiners;
    struct subscriber subscribers[256];
    int64_t n_subscribers, notice_due;
    int64_t frames_dropped, started_ms;
};

/* Loads the identity and the logs from the disk. Returns 0 or an error. After an error nothing may be sent under the
 * identity, and keeper_end() must still be called. */
int keeper_start(struct keeper *keeper, struct world *world, const struct peer_setup *setup);
void keeper_end(struct keeper *keeper);
void keeper_on_timer(struct keeper *keeper);
/* Handles a received frame. */
void keeper_on_frame(struct keeper *keeper, const uint8_t *at, int64_t len);
/* Flushes both logs and notifies the nodes of new entries; called after the frames of a turn. */
void keeper_flush(struct keeper *keeper);
void keeper_leave(struct keeper *keeper); /* hands leadership of the logs over */
/* 1: this keeper leads neither log. */
int keeper_has_left(const struct keeper *keeper);
void keeper_request(struct keeper *keeper, int64_t slot, const char *method, const char *path, const char *body,
                    int64_t len);
void keeper_send(struct keeper *keeper, int64_t to, enum frame_kind kind, const struct schema *schema, const void *msg);

/* keeper_bootstrap.c */
int keeper_bootstrap_identity(struct keeper *keeper);
void keeper_bootstrap_finish(struct keeper *keeper);
int keeper_bootstrap_empty(const struct keeper *keeper);
void keeper_bootstrap_on_timer(struct keeper *keeper);
void keeper_bootstrap_on_frame(struct keeper *keeper, const struct frame *frame);

/* replace.c */
void replace_on_timer(struct keeper *keeper);
void replace_on_join(struct keeper *keeper, const struct join *join);

/* control_updates.c */
void updates_on_request(struct keeper *keeper, int64_t from, const struct control_updates_request *request);
void updates_notify(struct keeper *keeper);
void keeper_on_propose(struct keeper *keeper, int64_t from, const struct propose *message);

/* ownership.c */
void ownership_on_timer(struct keeper *keeper);
#endif
