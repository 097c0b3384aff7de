/* Network faults of a simulated cluster: cut links, reset connections and slow links. As in production, two hosts have
 * one connection in each direction for reliable frames and use datagrams for lossy ones; each HTTP call has a
 * connection of its own. */
#ifndef SAGEHITCH_CLUSTER_LINK_H
#define SAGEHITCH_CLUSTER_LINK_H
#include <stdint.h>

enum { CLUSTER_HOSTS = 64, RECONNECT_MS = 100 };

/* State of a link. LINK_SILENT: frames that are sent are dropped. LINK_REFUSED: the connection is reset as well, so
 * frames under way are lost too. */
enum link_cut { LINK_OPEN, LINK_SILENT, LINK_REFUSED };

/* The hops of an operator's or a caller's request to the executor. */
enum reset_hop { HOP_OPERATOR, HOP_RELAY, HOP_VOTERS, HOP_AGENT, HOP_EXECUTOR, HOP_COUNT };
/* When the connection of a hop is reset: before the request is read, after that but before the response is sent, or in
 * the middle of the response. */
enum reset_point { RESET_BEFORE_READ, RESET_BEFORE_RESPONSE, RESET_IN_RESPONSE, RESET_POINTS };

/* Arrays are [from][to]. last_us: when the newest frame on the connection arrives, so that frames stay in order;
 * reconnect_us: frames are lost until then, because the connection was reset; stalled_us: no frame that is sent arrives
 * before. */
struct link_faults {
    int64_t last_us[CLUSTER_HOSTS][CLUSTER_HOSTS];
    int64_t reconnect_us[CLUSTER_HOSTS][CLUSTER_HOSTS];
    int64_t stalled_us[CLUSTER_HOSTS][CLUSTER_HOSTS];
    int64_t reset_pct[HOP_COUNT][RESET_POINTS]; /* probability of a reset there */
    int64_t n_resets[HOP_COUNT][RESET_POINTS];
    int64_t stale_ms; /* half of the frames under way at a reset were received already and are read up to stale_ms
                         later, after frames of the next connection; 0: all are lost */
};

struct cluster;
struct cluster_event;
struct host;

/* How much limited bandwidth delays a message. */
int64_t link_transfer_us(struct host *from, struct host *to, int64_t bytes);
/* Whether a frame of this kind (base/frame.h) is lost because its connection is reset. May reset the connection now, or
 * mark event so that the connection in the other direction is reset later. */
int link_loses_frame(struct host *from, struct host *to, int64_t kind, struct cluster_event *event);
/* Resets the connection from one host to another. Frames under way are lost (but see stale_ms), and so are frames sent
 * before it is open again. */
void link_reset(struct host *from, struct host *to);
/* Stalls a connection: frames sent within for_ms arrive after that. Datagrams are not affected. */
void link_stall(struct host *from, struct host *to, int64_t for_ms);
/* Decides at random whether the connection of this hop is reset at this point; counts the resets. */
int link_reset_occurs(struct cluster *cluster, enum reset_hop hop, enum reset_point point);

void host_cut(struct host *a, struct host *b, int one_way);
void host_cut_off(struct host *host);
void host_cut_one_way(struct host *from, struct host *to, enum link_cut how); /* in one direction */
void host_reset_connections(struct host *host); /* all its connections and all calls to it */
void cluster_heal(struct cluster *cluster);
int cluster_is_cut(const struct cluster *cluster, const struct host *host);
#endif
