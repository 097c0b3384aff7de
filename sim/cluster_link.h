/* Network faults of a simulated cluster: cuts, resets of connections and slow links. As in the
 * processes, two hosts have a connection each way for frames that must arrive, datagrams for lossy
 * ones, and callers a connection for each call. */
#ifndef SAGEHITCH_CLUSTER_LINK_H
#define SAGEHITCH_CLUSTER_LINK_H
#include <stdint.h>

enum { CLUSTER_HOSTS = 64, RECONNECT_MS = 100 };

/* A cut link drops all that is sent. Refused: its connection is reset too, so what is on its way is lost as well. */
enum link_cut { LINK_OPEN, LINK_SILENT, LINK_REFUSED };

/* The hops of an order, */
enum reset_hop { HOP_OPERATOR, HOP_RELAY, HOP_VOTERS, HOP_AGENT, HOP_EXECUTOR, HOP_COUNT };
/* and where on a hop its connection is reset: before the request is read, after that and before the answer is sent,
 * in the middle of the answer. */
enum reset_point { RESET_BEFORE_READ, RESET_BEFORE_ANSWER, RESET_IN_ANSWER, RESET_POINTS };

/* [from][to]. reconnect_us: until then nothing can be sent, as the connection was reset; stalled_us: what is sent on it
 * arrives no sooner; last_us: when the newest frame on it arrives, since they stay in order. */
struct link_faults {
    int64_t last_us[CLUSTER_HOSTS][CLUSTER_HOSTS];
    int64_t reconnect_us[CLUSTER_HOSTS][CLUSTER_HOSTS];
    int64_t stalled_us[CLUSTER_HOSTS][CLUSTER_HOSTS];
    int64_t reset_pct[HOP_COUNT][RESET_POINTS]; /* how often an order's connection is reset there */
    int64_t n_resets[HOP_COUNT][RESET_POINTS];
    int64_t stale_ms; /* half of what is on its way at a reset was received already, and is read up to so much later,
                         behind what comes on the next connection; 0: all is lost */
};

struct cluster;
struct cluster_event;
struct host;

int64_t link_transfer_us(struct host *from, struct host *to, int64_t bytes); /* us that narrow links add */
/* Whether a frame of this kind (base/frame.h) is lost with its connection; may reset that, or mark event so that the
 * one back is reset. */
int link_loses_frame(struct host *from, struct host *to, int64_t kind, struct cluster_event *event);
/* Resets the connection from one host to another: what is on its way is lost (but see stale_ms), and what is sent
 * before it is open again. */
void link_reset(struct host *from, struct host *to);
/* The connection stands still: what is on it or sent within for_ms arrives after that. Datagrams go on. */
void link_stall(struct host *from, struct host *to, int64_t for_ms);
/* Whether the connection of a call over this hop is reset at this point. */
int link_reset_occurs(struct cluster *cluster, enum reset_hop hop, enum reset_point point);

void host_cut(struct host *a, struct host *b, int one_way);
void host_cut_off(struct host *host);
void host_cut_as(struct host *from, struct host *to, enum link_cut how); /* one way */
void host_reset(struct host *host);                                      /* all its connections, and all calls to it */
void cluster_heal(struct cluster *cluster);
int cluster_is_cut(const struct cluster *cluster, const struct host *host);
#endif
