/* Failure detection and gossip among the processes of a cluster, and their median clock. */
#include "peer/peer.h"

#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

/* A probe carries up to INFO_MAX infos; a changed peer goes out on INFO_SENDS probes. */
enum { INFO_MAX = 10, INFO_SENDS = 14, INDIRECT_PROBES = 3, OFFSET_FRESH_MS = 5000 };

static const struct field info_fields[] = {INT(peer_info, addr),    INT(peer_info, boot),  INT(peer_info, role),
                                           INT(peer_info, http),    INT(peer_info, state), INT(peer_info, incarnation),
                                           INT(peer_info, leaving), STR(peer_info, zone),  INT(peer_info, level)};
SCHEMA(peer_info_schema, peer_info, info_fields);

static const struct field probe_fields[] = {INT(peer_probe, seq), INT_NAMED(peer_probe, wall_ms, "wallMs"),
                                            INT_NAMED(peer_probe, target, "about"),
                                            LIST_NAMED(peer_probe, infos, "news", n, peer_info_schema)};
SCHEMA(peer_probe_schema, peer_probe, probe_fields);

static const struct peer_settings defaults = {.probe_interval_ms = 150,
                                              .indirect_after_ms = 150,
                                              .suspect_after_ms = 500,
                                              .dead_after_ms = 800,
                                              .forget_after_ms = 600000};

void peers_start(struct peers *peers, struct world *world, int64_t role, const struct peer_setup *setup)
{
    *peers = (struct peers){.world = world, .cluster = (uint32_t)hash_text(setup->cluster), .settings = defaults};
    peers->self = (struct peer_info){.addr = (int64_t)world->self,
                                     .boot = setup->boot,
                                     .role = role,
                                     .http = (int64_t)world->http_addr,
                                     .zone = must_dup(setup->zone),
                                     .level = LEVEL_NOW};
    peers_set_seeds(peers, setup->seeds, setup->n_seeds);
    peers->median_offset_ms = world->calls->wall_ms(world) - world_ms(world);
}

void peers_set_seeds(struct peers *peers, const int64_t *seeds, int64_t n_seeds)
{
    peers->n_seeds = 0;
    for (int64_t i = 0; i < n_seeds && i < COUNT_OF(peers->seeds); i++)
        peers->seeds[peers->n_seeds++] = seeds[i];
}

const struct peer *peers_find(const struct peers *peers, int64_t addr)
{
    for (int64_t i = 0; i < peers->n; i++)
        if (peers->all[i].info.addr == addr)
            return &peers->all[i];
    return NULL;
}

int peers_live(const struct peers *peers, int64_t addr, int64_t boot)
{
    const struct peer_info *info = &peers->self;
    if (addr != peers->self.addr) {
        const struct peer *peer = peers_find(peers, addr);
        if (!peer)
            return 0;
        info = &peer->info;
    }
    return (!boot || info->boot == boot) && info->state != PEER_DEAD && !info->leaving;
}

int64_t peers_min_level(const struct peers *peers)
{
    int64_t level = peers->self.level;
    for (int64_t i = 0; i < peers->n; i++)
        if (peers->all[i].info.state != PEER_DEAD && peers->all[i].info.level < level)
            level = peers->all[i].info.level;
    return level;
}

/* --- time ---------------------------------------------------------------- */

static int by_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
    return x < y ? -1 : x > y;
}

static void median_update(struct peers *peers)
{
    int64_t offsets[256], n = 0, now_ms = world_ms(peers->world);
    offsets[n++] = peers->world->calls->wall_ms(peers->world) - now_ms;
    for (int64_t i = 0; i < peers->n && n < COUNT_OF(offsets); i++)
        if (peers->all[i].has_offset && now_ms - peers->all[i].heard_ms < OFFSET_FRESH_MS)
            offsets[n++] = peers->all[i].offset_ms;
    qsort(offsets, (size_t)n, sizeof *offsets, by_value);
    peers->median_offset_ms = offsets[(n - 1) / 2];
}

int64_t peers_fleet_ms(const struct peers *peers) { return world_ms(peers->world) + peers->median_offset_ms; }

/* --- gossip -------------------------------------------------------------- */

static void state_changed(struct peers *peers, struct peer *peer)
{
    static const int events[] = {EV_SIBLING_JOINED, EV_SIBLING_LEAVING, EV_SIBLING_SUSPECT, EV_SIBLING_DEAD};
    peer->since_ms = world_ms(peers->world);
    peer->sends_left = INFO_SENDS;
    peers->changed_ms = peer->since_ms;
    int event = peer->info.state == PEER_ALIVE && peer->info.leaving ? EV_SIBLING_LEAVING : events[peer->info.state];
    world_note(peers->world, event, "addr=%s boot=%lld inc=%lld", addr_text((uint64_t)peer->info.addr),
               (long long)peer->info.boot, (long long)peer->info.incarnation);
}

/* 1 if a is newer than b, both of the same address. */
static int supersedes(const struct peer_info *a, const struct peer_info *b)
{
    if (a->boot != b->boot)
        return a->boot > b->boot;
    if (a->incarnation != b->incarnation)
        return a->incarnation > b->incarnation;
    return a->state > b->state;
}

static void probe_suspect(struct peers *peers, const struct peer *peer);

/* Merges what another process knows of a peer. */
static void merge_info(struct peers *peers, const struct peer_info *info)
{
    if (info->state < PEER_ALIVE || info->state > PEER_DEAD || !info->addr)
        return;
    if (info->addr == peers->self.addr) {
        /* Another process suspects this process or takes it for dead: a higher incarnation refutes that. */
        if (info->boot == peers->self.boot && info->state >= PEER_SUSPECT &&
            info->incarnation >= peers->self.incarnation)
            peers->self.incarnation = info->incarnation + 1;
        else if (info->boot > peers->self.boot)
            peers->self.boot = info->boot + 1;
        return;
    }
    struct peer *peer = (struct peer *)(uintptr_t)peers_find(peers, info->addr);
    if (!peer) {
        if (info->state == PEER_DEAD)
            return;
        peer = array_add(peers->all, peers->n);
        schema_copy(&peer_info_schema, &peer->info, info);
        peer->heard_ms = world_ms(peers->world);
        state_changed(peers, peer);
        return;
    }
    /* A process of an older version passes infos on without the level, so it may arrive later. */
    if (info->boot == peer->info.boot && info->level > peer->info.level)
        peer->info.level = info->level;
    if (!supersedes(info, &peer->info))
        return;
    int changed =
        info->state != peer->info.state || info->leaving != peer->info.leaving || info->boot != peer->info.boot;
    if (info->boot != peer->info.boot)
        peer->has_offset = 0;
    schema_free(&peer_info_schema, &peer->info);
    schema_copy(&peer_info_schema, &peer->info, info);
    if (changed) {
        state_changed(peers, peer);
        probe_suspect(peers, peer);
    } else
        peer->sends_left = INFO_SENDS;
}

/* Adds this process, the peers whose infos were sent least often, and two random ones. */
static void add_infos(struct peers *peers, struct peer_probe *probe)
{
    *array_add(probe->infos, probe->n) = peers->self;
    while (probe->n < INFO_MAX - 2) {
        struct peer *best = NULL;
        for (int64_t i = 0; i < peers->n; i++) {
            struct peer *peer = &peers->all[i];
            int listed = 0;
            for (int64_t k = 1; k < probe->n; k++)
                listed |= probe->infos[k].addr == peer->info.addr;
            if (!listed && peer->sends_left > 0 && (!best || peer->sends_left > best->sends_left))
                best = peer;
        }
        if (!best)
            break;
        best->sends_left--;
        *array_add(probe->infos, probe->n) = best->info;
    }
    for (int i = 0; i < 2 && peers->n; i++)
        *array_add(probe->infos, probe->n) = peers->all[world_random(peers->world) % (uint64_t)peers->n].info;
}

static void send_probe(struct peers *peers, int64_t to, enum frame_kind kind, int64_t seq, int64_t target)
{
    struct peer_probe probe = {.seq = seq, .wall_ms = peers->world->calls->wall_ms(peers->world), .target = target};
    struct blob *out = blob_new();
    add_infos(peers, &probe);
    frame_build(&out->bytes, kind, peers->cluster, peers->world->self, &peer_probe_schema, &probe);
    peers->world->calls->send(peers->world, (uint64_t)to, out, 1);
    blob_drop(out);
    free(probe.infos); /* its strings belong to the peers */
}

/* Every process that learns of a suspicion probes the suspect at once. A live suspect refutes it within a round trip,
 * and over many paths, so the time until it counts as dead can be short. */
static void probe_suspect(struct peers *peers, const struct peer *peer)
{
    if (peer->info.state == PEER_SUSPECT)
        send_probe(peers, peer->info.addr, FRAME_PING, ++peers->seq, 0);
}

static void set_state(struct peers *peers, struct peer *peer, enum peer_state state)
{
    peer->info.state = state;
    state_changed(peers, peer);
    probe_suspect(peers, peer);
}

/* --- probing ------------------------------------------------------------- */

/* Probes the next peer that is not dead, in an order that is random in each round. */
static void probe_next(struct peers *peers)
{
    int64_t now_ms = world_ms(peers->world);
    struct peer *peer = NULL;
    for (int64_t tries = 0; tries < peers->n && !peer; tries++) {
        if (++peers->probe_turn >= peers->n) {
            peers->probe_turn = 0;
            for (int64_t i = peers->n - 1; i > 0; i--) { /* a new random order */
                int64_t k = (int64_t)(world_random(peers->world) % (uint64_t)(i + 1));
                struct peer t = peers->all[i];
                peers->all[i] = peers->all[k];
                peers->all[k] = t;
            }
        }
        if (peers->all[peers->probe_turn].info.state != PEER_DEAD)
            peer = &peers->all[peers->probe_turn];
    }
    peers->probed = 0;
    if (!peer)
        return;
    peers->probed = peer->info.addr;
    peers->probe_seq = ++peers->seq;
    peers->probe_since_ms = now_ms;
    peers->indirect_sent = 0;
    send_probe(peers, peers->probed, FRAME_PING, peers->probe_seq, 0);
}

/* Asks random live peers to probe the same peer. */
static void request_indirect_probes(struct peers *peers)
{
    peers->indirect_sent = 1;
    for (int i = 0, sent = 0; i < 12 && sent < INDIRECT_PROBES && peers->n; i++) {
        struct peer *peer = &peers->all[world_random(peers->world) % (uint64_t)peers->n];
        if (peer->info.addr == peers->probed || peer->info.state != PEER_ALIVE)
            continue;
        send_probe(peers, peer->info.addr, FRAME_PING_REQUEST, peers->probe_seq, peers->probed);
        sent++;
    }
}

static void probe_step(struct peers *peers, int64_t now_ms)
{
    if (peers->probed && now_ms - peers->probe_since_ms >= peers->settings.indirect_after_ms && !peers->indirect_sent)
        request_indirect_probes(peers);
    if (peers->probed && now_ms - peers->probe_since_ms >= peers->settings.suspect_after_ms) {
        struct peer *peer = (struct peer *)(uintptr_t)peers_find(peers, peers->probed);
        peers->probed = 0;
        if (peer && peer->info.state < PEER_SUSPECT)
            set_state(peers, peer, PEER_SUSPECT);
    }
    if (!peers->probed && now_ms >= peers->probe_due_ms) {
        peers->probe_due_ms = now_ms + peers->settings.probe_interval_ms;
        probe_next(peers);
    }
}

void peers_on_timer(struct peers *peers)
{
    int64_t now_ms = world_ms(peers->world);
    probe_step(peers, now_ms);
    for (int64_t i = 0; i < peers->n; i++) {
        struct peer *peer = &peers->all[i];
        if (peer->info.state == PEER_SUSPECT && now_ms - peer->since_ms >= peers->settings.dead_after_ms)
            set_state(peers, peer, PEER_DEAD);
        if (peer->info.state == PEER_DEAD && now_ms - peer->since_ms >= peers->settings.forget_after_ms) {
            schema_free(&peer_info_schema, &peer->info);
            peers->all[i--] = peers->all[--peers->n];
        }
    }
    if (now_ms >= peers->seed_due_ms) {
        /* Probes seeds that are unknown or dead, and a random peer if it is dead, so that the sides of a healed network
         * partition find each other again. */
        peers->seed_due_ms = now_ms + 500;
        for (int64_t i = 0; i < peers->n_seeds; i++) {
            const struct peer *peer = peers_find(peers, peers->seeds[i]);
            if (peers->seeds[i] != peers->self.addr && (!peer || peer->info.state == PEER_DEAD))
                send_probe(peers, peers->seeds[i], FRAME_PING, ++peers->seq, 0);
        }
        const struct peer *any = peers->n ? &peers->all[world_random(peers->world) % (uint64_t)peers->n] : NULL;
        if (any && any->info.state == PEER_DEAD)
            send_probe(peers, any->info.addr, FRAME_PING, ++peers->seq, 0);
        median_update(peers);
    }
}

static void record_heard(struct peers *peers, int64_t from, int64_t wall_ms)
{
    struct peer *peer = (struct peer *)(uintptr_t)peers_find(peers, from);
    if (!peer)
        return;
    peer->heard_ms = world_ms(peers->world);
    peer->offset_ms = wall_ms - peer->heard_ms;
    peer->has_offset = 1;
    median_update(peers);
}

static void on_ack(struct peers *peers, int64_t from, int64_t seq)
{
    if (seq == peers->probe_seq) {
        peers->probed = 0;
        return;
    }
    for (int i = 0; i < COUNT_OF(peers->relays); i++) {
        struct peer_relay *relay = &peers->relays[i];
        if (relay->seq != seq || !seq)
            continue;
        send_probe(peers, relay->requester, FRAME_ACK, relay->requester_seq, from);
        relay->seq = 0;
    }
}

static void on_indirect_request(struct peers *peers, int64_t requester, const struct peer_probe *probe)
{
    struct peer_relay *oldest = &peers->relays[0];
    for (int i = 1; i < COUNT_OF(peers->relays); i++)
        if (peers->relays[i].until_ms < oldest->until_ms)
            oldest = &peers->relays[i];
    *oldest = (struct peer_relay){.seq = ++peers->seq,
                                  .requester = requester,
                                  .requester_seq = probe->seq,
                                  .until_ms = world_ms(peers->world) + peers->settings.suspect_after_ms};
    send_probe(peers, probe->target, FRAME_PING, oldest->seq, 0);
}

int peers_on_frame(struct peers *peers, const struct frame *frame)
{
    struct peer_probe probe = {0};
    if (schema_unpack(&peer_probe_schema, &probe, frame->body, frame->len))
        return ERROR_BAD_FRAME;
    for (int64_t i = 0; i < probe.n; i++)
        merge_info(peers, &probe.infos[i]);
    record_heard(peers, (int64_t)frame->from, probe.wall_ms);
    if (frame->kind == FRAME_PING)
        send_probe(peers, (int64_t)frame->from, FRAME_ACK, probe.seq, 0);
    else if (frame->kind == FRAME_ACK)
        on_ack(peers, (int64_t)frame->from, probe.seq);
    else
        on_indirect_request(peers, (int64_t)frame->from, &probe);
    schema_free(&peer_probe_schema, &probe);
    return ERROR_NONE;
}

void peers_leave(struct peers *peers)
{
    peers->self.leaving = 1;
    peers->self.incarnation++;
    for (int64_t i = 0; i < peers->n; i++)
        if (peers->all[i].info.state < PEER_SUSPECT)
            send_probe(peers, peers->all[i].info.addr, FRAME_PING, ++peers->seq, 0);
}

void peers_end(struct peers *peers)
{
    for (int64_t i = 0; i < peers->n; i++)
        schema_free(&peer_info_schema, &peers->all[i].info);
    free(peers->all);
    free(peers->self.zone);
}
