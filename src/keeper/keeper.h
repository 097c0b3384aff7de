/* A keeper: one of the machines with a disk. Holds both logs, folds what they
 * say, feeds the nodes, and as leader of the control log gives the duties. */
#ifndef SAGEHITCH_KEEPER_H
#define SAGEHITCH_KEEPER_H
#include "base/slab.h"
#include "config_tree/config_tree.h"
#include "log/log.h"
#include "log/log_identity.h"
#include "node/node.h"
#include "peer/peer.h"

struct found {
    int64_t id, empty, addr;
    char *zone;
};
extern const struct schema bootstrap_status_schema;

/* A node that follows the feed from us. */
struct follower {
    int64_t addr, heard_ms;
};

struct founder {
    int64_t addr, id, heard_ms;
    char *zone;
};

/* A confirm or a proposal that waits for its log. */
struct keeper_wait {
    int64_t from, req, group, feed_from, sent_ms, boot;
};

/* Invariants: id is synced before it is told; founded or joined, it is the
 * only name under which this keeper ever votes. silent: the disk cannot be
 * trusted, nothing more is said. */
struct keeper {
    struct world *w;
    uint32_t cluster;
    char *zone;
    int64_t id, boot, leaving, silent;
    int64_t seeds[8], n_seeds;
    struct peers peers;
    struct log logs[GROUP_COUNT];
    struct config_tree config_tree;
    struct rows shards[SHARD_COUNT];
    struct founder founders[8];
    int64_t n_founders, found_due_ms;
    struct slab waits;
    int64_t assign_due_ms, member_due_ms, duties_busy, moved_ms, due_busy;
    struct join joiners[8];
    int64_t n_joiners;
    struct follower followers[256];
    int64_t n_followers, news_due;
    int64_t frames_dropped, started_ms;
};

/* Loads the identity and the logs from the disk. Returns 0, or an error: then nothing may be said under the identity,
 * and keeper_end() is still due. */
int keeper_start(struct keeper *k, struct world *w, const struct peer_setup *setup);
void keeper_end(struct keeper *k);
void keeper_on_timer(struct keeper *k);
void keeper_on_frame(struct keeper *k, const uint8_t *at, int64_t len);
void keeper_flush(struct keeper *k);
void keeper_leave(struct keeper *k);
int keeper_has_left(const struct keeper *k);
void keeper_request(struct keeper *k, int64_t slot, const char *method, const char *path, const char *body,
                    int64_t len);
void keeper_send(struct keeper *k, int64_t to, enum frame_kind kind, const struct schema *schema, const void *msg);

/* found.c */
int found_identity(struct keeper *k);
void found_finish(struct keeper *k);
int found_empty(const struct keeper *k);
void found_on_timer(struct keeper *k);
void found_take(struct keeper *k, const struct frame *frame);

/* replace.c */
void replace_on_timer(struct keeper *k);
void replace_on_join(struct keeper *k, const struct join *join);

/* feed.c */
void feed_on_confirm(struct keeper *k, int64_t from, const struct confirm *m);
void feed_news(struct keeper *k);
void feed_on_propose(struct keeper *k, int64_t from, const struct propose *m);

/* duties.c */
void duties_on_timer(struct keeper *k);
#endif
