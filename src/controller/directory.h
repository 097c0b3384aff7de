/* Directory of the controllers: their addresses, and which of them is the leader. Each process of the fleet keeps one,
 * filled from its seeds and from the queries and replies of other processes. The known term never decreases. */
#ifndef SAGEHITCH_DIRECTORY_H
#define SAGEHITCH_DIRECTORY_H
#include "base/frame.h"
#include "base/world.h"

/* FRAME_LEADER_QUERY: asks for the leader. It also announces the sender: its address, whether it is a controller and
 * has a disk, and the start of its process (boot). */
struct leader_query {
    int64_t addr, controller, disk, boot;
};
/* FRAME_LEADER_REPLY. term, leader: 0 if not known. controllers: addresses of the controllers heard recently. */
struct leader_reply {
    int64_t term, leader;
    int64_t *controllers;
    int64_t n;
};
extern const struct schema leader_query_schema, leader_reply_schema;

/* A known controller. heard_ms: time at which it sent a frame or was last listed in a reply. seed: its address is
 * configured, so the entry is never dropped. */
struct directory_entry {
    int64_t addr, heard_ms, seed, controller;
    int64_t direct_ms; /* time of the last query or reply from the controller itself; 0: none */
};
/* Invariant: entries holds each address once. Seeds are kept; other entries are dropped after a long silence.
 * next_entry: index of the entry to query next. search_start_ms: time since which no leader is known.
 * leader_suspected: the leader does not answer or has stepped down. */
struct directory {
    struct world *w;
    uint32_t cluster;
    int64_t controller, disk, boot; /* of this process, as in struct leader_query */
    struct directory_entry entries[64];
    int64_t n, next_entry, next_query_ms, search_start_ms;
    int64_t term, leader, leader_heard_ms, leader_suspected;
};

/* Identifies one start of a process (boot): the time of day and 12 random bits, which distinguish two starts that get
 * the same time because the clock stepped back. Compared for equality only. */
int64_t boot_of(int64_t wall_ms, uint64_t random);

void directory_start(struct directory *directory, struct world *w, uint32_t cluster, const int64_t *seeds,
                     int64_t n_seeds, int64_t controller, int64_t disk, int64_t boot);
void directory_set_seeds(struct directory *directory, const int64_t *seeds, int64_t n_seeds); /* replaces the seeds */
void directory_on_timer(struct directory *directory);
int directory_on_frame(struct directory *directory, const struct frame *frame); /* 1: the frame was for the directory */
/* Records the leader of a term, unless a newer term is known. */
void directory_learn_leader(struct directory *directory, int64_t term, int64_t leader);
void directory_suspect_leader(
    struct directory *directory); /* the leader does not answer: other controllers are queried */
int64_t directory_leader(const struct directory *directory); /* 0: not known, or suspected to have failed */
/* Whether the controller at addr itself has sent a query or a reply in the last within_ms. */
int directory_heard_from(const struct directory *directory, int64_t addr, int64_t within_ms);
#endif
