/* Who is there: probes to peers in turn, second opinions through third
 * parties, suspicion before removal, news carried on the probes themselves.
 * The probes also carry clocks, of which the median is the fleet's time. */
#ifndef SAGEHITCH_PEER_H
#define SAGEHITCH_PEER_H
#include "base/frame.h"

enum { LEVEL_PREEMPT = 1, LEVEL_NOW = LEVEL_PREEMPT };

enum peer_state { PEER_ALIVE, PEER_LEAVING, PEER_SUSPECT, PEER_DEAD };
enum peer_role { ROLE_NODE, ROLE_KEEPER };

/* What is told about one. A higher boot is another process at the address and
 * beats everything; then the higher incarnation, then the worse state. */
struct peer_info {
    int64_t addr, boot, role, http, state, incarnation, leaving;
    char *zone;
    int64_t level; /* the newest kinds of records it knows; 0: it is of a version before levels */
};

/* Invariants: news.addr is unique in the list; offset_ms is the peer's wall
 * clock less our monotonic clock and counts only while heard_ms is recent. */
struct peer {
    struct peer_info info;
    int64_t since_ms, heard_ms, offset_ms, has_offset, tellings;
};

struct peer_probe {
    int64_t seq, wall_ms, about; /* about: whom a third party shall ask; 0 for a plain probe */
    struct peer_info *info;
    int64_t n;
};

extern const struct schema peer_info_schema, peer_probe_schema;

struct peer_settings {
    int64_t probe_ms, request_ms, late_ms, suspect_ms, forget_ms;
};

struct peer_relay {
    int64_t seq, requester, requester_seq, until_ms;
};

struct peers {
    struct world *w;
    uint32_t cluster;
    struct peer_settings settings;
    struct peer_info self;
    struct peer *all;
    int64_t n;
    int64_t seeds[8], n_seeds;
    int64_t seq, turn, probe_due_ms, seed_due_ms;
    int64_t probing, probe_seq, probe_since_ms, asked, probe_round;
    struct peer_relay relays[32];
    int64_t median_ms; /* fleet wall less our monotonic clock */
    int64_t changes;   /* rises with each change of state */
    int64_t changed_ms;
};

/* What a process tells its peers of itself, and whom it asks first. Borrowed for the start only. */
struct peer_setup {
    const char *cluster, *zone;
    const int64_t *seeds; /* addresses of other processes, in the order they are asked */
    int64_t n_seeds;
    int64_t boot; /* names this start of the process */
};

/* Begins to look for peers. role: ROLE_KEEPER or ROLE_NODE. */
void peers_start(struct peers *s, struct world *w, int64_t role, const struct peer_setup *setup);
void peers_set_seeds(struct peers *s, const int64_t *seeds, int64_t n_seeds); /* in place of the former */
void peers_on_timer(struct peers *s);
int peers_on_frame(struct peers *s, const struct frame *frame);
void peers_leave(struct peers *s);
void peers_end(struct peers *s);
const struct peer *peers_find(const struct peers *s, int64_t addr);
/* Alive or suspected, same boot (0: any), not leaving. */
int peers_live(const struct peers *s, int64_t addr, int64_t boot);
/* The lowest level of all that are there: nothing newer may be written. */
int64_t peers_min_level(const struct peers *s);
int64_t peers_fleet_ms(const struct peers *s);
#endif
