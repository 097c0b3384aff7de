/* Directory of the controllers: which one leads, and their addresses. Every process of the fleet keeps one, from its
 * seeds and from the queries and replies of others. The known term never decreases. */
#ifndef SAGEHITCH_DIRECTORY_H
#define SAGEHITCH_DIRECTORY_H
#include "base/frame.h"
#include "base/world.h"

/* FRAME_LEADER_QUERY: asks who leads. Also makes the sender known: its address, role, and start (boot). */
struct leader_query {
    int64_t addr, controller, disk, boot;
};
/* FRAME_LEADER_REPLY. term, leader 0: not known. controllers: addresses of those heard lately. */
struct leader_reply {
    int64_t term, leader;
    int64_t *controllers;
    int64_t n;
};
extern const struct schema leader_query_schema, leader_reply_schema;

/* A known controller. heard_ms: last mentioned by anyone. seed: configured, never forgotten. */
struct directory_entry {
    int64_t addr, heard_ms, seed, controller;
    int64_t direct_ms; /* last query or reply of its own; 0: none */
};
/* Invariant: entries holds each address once; seeds stay, others go when unheard for long. */
struct directory {
    struct world *w;
    uint32_t cluster;
    int64_t controller, disk, boot; /* what we are */
    struct directory_entry entries[64];
    int64_t n, turn, request_due_ms, search_ms;
    int64_t term, leader, leader_heard_ms, leader_suspected;
};

/* Names one start of a process (boot): by the time of day, and by 12 random bits where a clock that stepped back
 * gives two starts the same. Compared for equality only. */
int64_t boot_of(int64_t wall_ms, uint64_t random);

void directory_start(struct directory *d, struct world *w, uint32_t cluster, const int64_t *seeds, int64_t n_seeds,
                     int64_t controller, int64_t disk, int64_t boot);
void directory_set_seeds(struct directory *d, const int64_t *seeds, int64_t n_seeds); /* exchanged */
void directory_on_timer(struct directory *d);
int directory_on_frame(struct directory *d, const struct frame *frame); /* 1: the frame was for the directory */
/* Notes that leader leads in term, unless a newer term is known. */
void directory_learn_leader(struct directory *d, int64_t term, int64_t leader);
void directory_suspect_leader(struct directory *d);  /* the leader does not answer: ask others now */
int64_t directory_leader(const struct directory *d); /* 0: not known or doubted */
/* Has the process at addr sent a query or a reply of its own in the last within_ms? */
int directory_heard_from(const struct directory *d, int64_t addr, int64_t within_ms);
#endif
