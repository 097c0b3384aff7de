/* Membership of the cluster by gossip, as in SWIM: each process probes its peers in turn, asks others to probe a peer
 * that does not answer, and suspects it before it takes it for dead. Probes carry infos on peers, and the sender's
 * clock; the median of the clocks is the cluster's time. */
#ifndef SAGEHITCH_PEER_H
#define SAGEHITCH_PEER_H
#include "base/frame.h"

/* The level of a process tells which kinds of records it can read. LEVEL_PREEMPT: those of preemption. */
enum { LEVEL_PREEMPT = 1, LEVEL_NOW = LEVEL_PREEMPT };

enum peer_state { PEER_ALIVE, PEER_LEAVING, PEER_SUSPECT, PEER_DEAD };
enum peer_role { ROLE_NODE, ROLE_KEEPER };

/* What is known of one process. Of two infos on the same address, the higher boot (start of the process) supersedes the
 * other; then the higher incarnation, then the worse state. */
struct peer_info {
    int64_t addr, boot, role, http, state, incarnation, leaving;
    char *zone;
    int64_t level; /* the newest kinds of records it can read; 0: its version has no levels */
};

/* since_ms: time of the last change of state. sends_left: probes that will carry the info first.
 * Invariants: info.addr is unique in the list; offset_ms is the peer's wall clock less this process's monotonic clock
 * and counts only while heard_ms is recent. */
struct peer {
    struct peer_info info;
    int64_t since_ms, heard_ms, offset_ms, has_offset, sends_left;
};

/* The body of a ping, its acknowledgement, or a request for an indirect probe of target (else 0). */
struct peer_probe {
    int64_t seq, wall_ms, target;
    struct peer_info *infos;
    int64_t n;
};

extern const struct schema peer_info_schema, peer_probe_schema;

/* Times after the probe until others are asked and until the peer is suspected; after that until it counts as dead, and
 * then until it is forgotten. */
struct peer_settings {
    int64_t probe_interval_ms, indirect_after_ms, suspect_after_ms, dead_after_ms, forget_after_ms;
};

/* An indirect probe made for another process. seq: of the own probe; 0: it was answered. */
struct peer_relay {
    int64_t seq, requester, requester_seq, until_ms;
};

/* probed: the address that has not answered the last probe yet; 0: none. */
struct peers {
    struct world *world;
    uint32_t cluster;
    struct peer_settings settings;
    struct peer_info self;
    struct peer *all;
    int64_t n;
    int64_t seeds[8], n_seeds;
    int64_t seq, probe_turn, probe_due_ms, seed_due_ms;
    int64_t probed, probe_seq, probe_since_ms, indirect_sent;
    struct peer_relay relays[32];
    int64_t median_offset_ms; /* the cluster's time less this process's monotonic clock */
    int64_t changed_ms;       /* the time of the last change of state */
};

/* What a process needs to find its peers. Borrowed during the start only. */
struct peer_setup {
    const char *cluster, *zone;
    const int64_t *seeds; /* addresses of the processes to contact first */
    int64_t n_seeds;
    int64_t boot; /* identifies this start of the process; rises from start to start */
};

/* Starts without any known peer. role: ROLE_KEEPER or ROLE_NODE. */
void peers_start(struct peers *peers, struct world *world, int64_t role, const struct peer_setup *setup);
void peers_set_seeds(struct peers *peers, const int64_t *seeds, int64_t n_seeds); /* replaces the former ones */
void peers_on_timer(struct peers *peers);
/* Handles a received probe. Returns 0 or ERROR_BAD_FRAME. */
int peers_on_frame(struct peers *peers, const struct frame *frame);
/* Announces to all peers that this process is leaving. */
void peers_leave(struct peers *peers);
void peers_end(struct peers *peers);
/* The peer at addr, or NULL; not this process itself. */
const struct peer *peers_find(const struct peers *peers, int64_t addr);
/* 1 if the process at addr is alive or suspected, of this boot (0: any), and not leaving. */
int peers_live(const struct peers *peers, int64_t addr, int64_t boot);
/* The lowest level of all processes that are not dead. Newer kinds of records must not be written. */
int64_t peers_min_level(const struct peers *peers);
int64_t peers_fleet_ms(const struct peers *peers); /* the median clock, in ms since 1970 */
#endif
