/* Cut links, reset connections and links of limited bandwidth in a simulated cluster. */
#include "sim/cluster_link.h"

#include <string.h>

#include "base/frame.h"
#include "sim/cluster.h"

/* A frame is sent after the frames before it, first out of the sender's link, then into the receiver's. */
int64_t link_transfer_us(struct host *from, struct host *to, int64_t bytes)
{
    int64_t now_us = from->cluster->now_us + from->stall_us, at_us = now_us;
    if (from == to || (!from->link_kbit_s && !to->link_kbit_s))
        return 0;
    if (from->link_kbit_s)
        at_us = from->out_free_us =
            (at_us > from->out_free_us ? at_us : from->out_free_us) + bytes * 8000 / from->link_kbit_s;
    if (to->link_kbit_s)
        at_us = to->in_free_us = (at_us > to->in_free_us ? at_us : to->in_free_us) + bytes * 8000 / to->link_kbit_s;
    return at_us - now_us;
}

/* --- resets ------------------------------------------------------------------------ */

void link_reset(struct host *from, struct host *to)
{
    struct cluster *cluster = from->cluster;
    for (int64_t i = 0; i < cluster->events.n; i++) {
        struct cluster_event *event = (struct cluster_event *)cluster->events.heap[i];
        if (event->kind != CLUSTER_EVENT_FRAME || event->from != from || event->to != to)
            continue;
        if (cluster->links.stale_ms && cluster_pick(cluster, 2))
            event->read_after_us = cluster->now_us + cluster_pick(cluster, cluster->links.stale_ms * 1000);
        else
            event->lost = 1;
    }
    cluster->links.reconnect_us[from->index][to->index] = cluster->now_us + RECONNECT_MS * 1000LL;
    cluster->links.last_us[from->index][to->index] = 0;
    cluster->links.stalled_us[from->index][to->index] = 0;
}

int link_reset_occurs(struct cluster *cluster, enum reset_hop hop, enum reset_point point)
{
    int64_t pct = cluster->links.reset_pct[hop][point];
    if (!pct || cluster_pick(cluster, 100) >= pct)
        return 0;
    cluster->links.n_resets[hop][point]++;
    return 1;
}

/* The hop of a frame, HOP_COUNT: none. is_response: whether the frame is the response on that hop. */
static enum reset_hop hop_of(int64_t kind, int *is_response)
{
    *is_response = kind == FRAME_RESPONSE || kind == FRAME_APPENDED || kind == FRAME_REPORT;
    switch (kind) {
    case FRAME_REQUEST:
    case FRAME_RESPONSE: return HOP_RELAY;
    case FRAME_APPEND:
    case FRAME_APPENDED: return HOP_VOTERS;
    case FRAME_ORDERS:
    case FRAME_REPORT: return HOP_AGENT;
    default: return HOP_COUNT;
    }
}

int link_loses_frame(struct host *from, struct host *to, int64_t kind, struct cluster_event *event)
{
    struct cluster *cluster = from->cluster;
    int is_response;
    enum reset_hop hop = hop_of(kind, &is_response);
    if (from == to)
        return 0;
    if (cluster->now_us < cluster->links.reconnect_us[from->index][to->index])
        return 1;
    if (hop == HOP_COUNT)
        return 0;
    if (link_reset_occurs(cluster, hop, is_response ? RESET_IN_RESPONSE : RESET_BEFORE_READ)) {
        link_reset(from, to);
        return 1;
    }
    event->reset_reply = !is_response && link_reset_occurs(cluster, hop, RESET_BEFORE_RESPONSE);
    return 0;
}

void host_reset_connections(struct host *host)
{
    struct cluster *cluster = host->cluster;
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster->hosts[i] != host) {
            link_reset(host, cluster->hosts[i]);
            link_reset(cluster->hosts[i], host);
        }
    cluster_reset_calls(cluster, host);
    host_note_fault(host);
}

/* --- stalls -------------------------------------------------------------------------- */

void link_stall(struct host *from, struct host *to, int64_t for_ms)
{
    from->cluster->links.stalled_us[from->index][to->index] = from->cluster->now_us + for_ms * 1000;
    host_note_fault(from);
    host_note_fault(to);
}

/* --- cuts ---------------------------------------------------------------------------- */

void host_cut_one_way(struct host *from, struct host *to, enum link_cut how)
{
    if (how == LINK_REFUSED)
        link_reset(from, to);
    from->cluster->cut[from->index][to->index] = (uint8_t)how;
    host_note_fault(from);
    host_note_fault(to);
}

void host_cut(struct host *a, struct host *b, int one_way)
{
    host_cut_one_way(a, b, LINK_SILENT);
    if (!one_way)
        host_cut_one_way(b, a, LINK_SILENT);
}

void host_cut_off(struct host *host)
{
    struct cluster *cluster = host->cluster;
    cluster_trace(cluster, 0, "%s is cut off from all others", host->name);
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster->hosts[i] != host)
            cluster->cut[host->index][i] = cluster->cut[i][host->index] = LINK_SILENT;
    host_note_fault(host);
}

void cluster_heal(struct cluster *cluster)
{
    cluster_trace(cluster, 0, "all links work again");
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster_is_cut(cluster, cluster->hosts[i]))
            host_note_fault(cluster->hosts[i]);
    for (int64_t i = 0; i < cluster->n; i++)
        for (int64_t k = 0; k < cluster->n; k++)
            if (cluster->cut[i][k] == LINK_REFUSED)
                cluster->links.reconnect_us[i][k] = cluster->now_us + RECONNECT_MS * 1000LL;
    memset(cluster->cut, 0, sizeof cluster->cut);
}

int cluster_is_cut(const struct cluster *cluster, const struct host *host)
{
    for (int64_t i = 0; i < cluster->n; i++)
        if (cluster->cut[host->index][i] || cluster->cut[i][host->index])
            return 1;
    return 0;
}
