#include "peer/peer.h"

#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"

enum { NEWS_MAX = 10, TELLINGS = 14, OPINIONS = 3, OFFSET_FRESH_MS = 5000 };

static const struct field news_fields[] = {INT(peer_info, addr),    INT(peer_info, boot),  INT(peer_info, role),
                                           INT(peer_info, http),    INT(peer_info, state), INT(peer_info, incarnation),
                                           INT(peer_info, leaving), STR(peer_info, zone),  INT(peer_info, level)};
SCHEMA(peer_info_schema, peer_info, news_fields);

static const struct field probe_fields[] = {INT(peer_probe, seq), INT_NAMED(peer_probe, wall_ms, "wallMs"),
                                            INT(peer_probe, about),
                                            LIST_NAMED(peer_probe, info, "news", n, peer_info_schema)};
SCHEMA(peer_probe_schema, peer_probe, probe_fields);

static const struct peer_settings defaults = {
    .probe_ms = 150, .request_ms = 150, .late_ms = 500, .suspect_ms = 800, .forget_ms = 600000};

void peers_start(struct peers *s, struct world *w, int64_t role, const struct peer_setup *setup)
{
    *s = (struct peers){.w = w, .cluster = (uint32_t)hash_text(setup->cluster), .settings = defaults};
    s->self = (struct peer_info){.addr = (int64_t)w->self,
                                 .boot = setup->boot,
                                 .role = role,
                                 .http = (int64_t)w->http_addr,
                                 .zone = must_dup(setup->zone),
                                 .level = LEVEL_NOW};
    peers_set_seeds(s, setup->seeds, setup->n_seeds);
    s->median_ms = w->calls->wall_ms(w) - world_ms(w);
}

void peers_set_seeds(struct peers *s, const int64_t *seeds, int64_t n_seeds)
{
    s->n_seeds = 0;
    for (int64_t i = 0; i < n_seeds && i < COUNT_OF(s->seeds); i++)
        s->seeds[s->n_seeds++] = seeds[i];
}

const struct peer *peers_find(const struct peers *s, int64_t addr)
{
    for (int64_t i = 0; i < s->n; i++)
        if (s->all[i].info.addr == addr)
            return &s->all[i];
    return NULL;
}

int peers_live(const struct peers *s, int64_t addr, int64_t boot)
{
    const struct peer_info *info = &s->self;
    if (addr != s->self.addr) {
        const struct peer *one = peers_find(s, addr);
        if (!one)
            return 0;
        info = &one->info;
    }
    return (!boot || info->boot == boot) && info->state != PEER_DEAD && !info->leaving;
}

int64_t peers_min_level(const struct peers *s)
{
    int64_t level = s->self.level;
    for (int64_t i = 0; i < s->n; i++)
        if (s->all[i].info.state != PEER_DEAD && s->all[i].info.level < level)
            level = s->all[i].info.level;
    return level;
}

/* --- time ---------------------------------------------------------------- */

static int by_value(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
    return x < y ? -1 : x > y;
}

static void median_update(struct peers *s)
{
    int64_t offsets[256], n = 0, now_ms = world_ms(s->w);
    offsets[n++] = s->w->calls->wall_ms(s->w) - now_ms;
    for (int64_t i = 0; i < s->n && n < COUNT_OF(offsets); i++)
        if (s->all[i].has_offset && now_ms - s->all[i].heard_ms < OFFSET_FRESH_MS)
            offsets[n++] = s->all[i].offset_ms;
    qsort(offsets, (size_t)n, sizeof *offsets, by_value);
    s->median_ms = offsets[(n - 1) / 2];
}

int64_t peers_fleet_ms(const struct peers *s) { return world_ms(s->w) + s->median_ms; }

/* --- news ---------------------------------------------------------------- */

static void state_changed(struct peers *s, struct peer *one)
{
    static const int events[] = {EV_SIBLING_JOINED, EV_SIBLING_LEAVING, EV_SIBLING_SUSPECT, EV_SIBLING_DEAD};
    one->since_ms = world_ms(s->w);
    one->tellings = TELLINGS;
    s->changes++;
    s->changed_ms = one->since_ms;
    int event = one->info.state == PEER_ALIVE && one->info.leaving ? EV_SIBLING_LEAVING : events[one->info.state];
    world_note(s->w, event, "addr=%s boot=%lld inc=%lld", addr_text((uint64_t)one->info.addr),
               (long long)one->info.boot, (long long)one->info.incarnation);
}

static int beats(const struct peer_info *a, const struct peer_info *b)
{
    if (a->boot != b->boot)
        return a->boot > b->boot;
    if (a->incarnation != b->incarnation)
        return a->incarnation > b->incarnation;
    return a->state > b->state;
}

static void request_suspect(struct peers *s, const struct peer *one);

static void take_news(struct peers *s, const struct peer_info *info)
{
    if (info->state < PEER_ALIVE || info->state > PEER_DEAD || !info->addr)
        return;
    if (info->addr == s->self.addr) {
        /* somebody doubts us: say otherwise, louder */
        if (info->boot == s->self.boot && info->state >= PEER_SUSPECT && info->incarnation >= s->self.incarnation)
            s->self.incarnation = info->incarnation + 1;
        else if (info->boot > s->self.boot)
            s->self.boot = info->boot + 1;
        return;
    }
    struct peer *one = (struct peer *)(uintptr_t)peers_find(s, info->addr);
    if (!one) {
        if (info->state == PEER_DEAD)
            return;
        one = array_add(s->all, s->n);
        schema_copy(&peer_info_schema, &one->info, info);
        one->heard_ms = world_ms(s->w);
        state_changed(s, one);
        return;
    }
    /* first heard of through one of an older version, which does not pass it on */
    if (info->boot == one->info.boot && info->level > one->info.level)
        one->info.level = info->level;
    if (!beats(info, &one->info))
        return;
    int told = info->state != one->info.state || info->leaving != one->info.leaving || info->boot != one->info.boot;
    if (info->boot != one->info.boot)
        one->has_offset = 0;
    schema_free(&peer_info_schema, &one->info);
    schema_copy(&peer_info_schema, &one->info, info);
    if (told) {
        state_changed(s, one);
        request_suspect(s, one);
    } else
        one->tellings = TELLINGS;
}

static void add_news(struct peers *s, struct peer_probe *probe)
{
    *array_add(probe->info, probe->n) = s->self;
    while (probe->n < NEWS_MAX - 2) {
        struct peer *best = NULL;
        for (int64_t i = 0; i < s->n; i++) {
            struct peer *one = &s->all[i];
            int listed = 0;
            for (int64_t k = 1; k < probe->n; k++)
                listed |= probe->info[k].addr == one->info.addr;
            if (!listed && one->tellings > 0 && (!best || one->tellings > best->tellings))
                best = one;
        }
        if (!best)
            break;
        best->tellings--;
        *array_add(probe->info, probe->n) = best->info;
    }
    for (int i = 0; i < 2 && s->n; i++)
        *array_add(probe->info, probe->n) = s->all[world_random(s->w) % (uint64_t)s->n].info;
}

static void send_probe(struct peers *s, int64_t to, enum frame_kind kind, int64_t seq, int64_t about)
{
    struct peer_probe probe = {.seq = seq, .wall_ms = s->w->calls->wall_ms(s->w), .about = about};
    struct blob *out = blob_new();
    add_news(s, &probe);
    frame_build(&out->bytes, kind, s->cluster, s->w->self, &peer_probe_schema, &probe);
    s->w->calls->send(s->w, (uint64_t)to, out, 1);
    blob_drop(out);
    free(probe.info); /* the strings inside are lent */
}

/* Whoever hears of a suspicion asks the suspect itself, at once: one that lives
 * says so within a round trip, from many sides, so the wait can be short. */
static void request_suspect(struct peers *s, const struct peer *one)
{
    if (one->info.state == PEER_SUSPECT)
        send_probe(s, one->info.addr, FRAME_PING, ++s->seq, 0);
}

static void set_state(struct peers *s, struct peer *one, enum peer_state state)
{
    one->info.state = state;
    state_changed(s, one);
    request_suspect(s, one);
}

/* --- probing ------------------------------------------------------------- */

static void probe_next(struct peers *s)
{
    int64_t now_ms = world_ms(s->w);
    struct peer *one = NULL;
    for (int64_t tries = 0; tries < s->n && !one; tries++) {
        if (++s->turn >= s->n) {
            s->turn = 0;
            for (int64_t i = s->n - 1; i > 0; i--) { /* a new order each round */
                int64_t k = (int64_t)(world_random(s->w) % (uint64_t)(i + 1));
                struct peer t = s->all[i];
                s->all[i] = s->all[k];
                s->all[k] = t;
            }
        }
        if (s->all[s->turn].info.state != PEER_DEAD)
            one = &s->all[s->turn];
    }
    s->probing = 0;
    if (!one)
        return;
    s->probing = one->info.addr;
    s->probe_seq = ++s->seq;
    s->probe_since_ms = now_ms;
    s->asked = 0;
    send_probe(s, s->probing, FRAME_PING, s->probe_seq, 0);
}

static void request_others(struct peers *s)
{
    s->asked = 1;
    for (int i = 0, sent = 0; i < 12 && sent < OPINIONS && s->n; i++) {
        struct peer *one = &s->all[world_random(s->w) % (uint64_t)s->n];
        if (one->info.addr == s->probing || one->info.state != PEER_ALIVE)
            continue;
        send_probe(s, one->info.addr, FRAME_PING_REQUEST, s->probe_seq, s->probing);
        sent++;
    }
}

static void probe_step(struct peers *s, int64_t now_ms)
{
    if (s->probing && now_ms - s->probe_since_ms >= s->settings.request_ms && !s->asked)
        request_others(s);
    if (s->probing && now_ms - s->probe_since_ms >= s->settings.late_ms) {
        struct peer *one = (struct peer *)(uintptr_t)peers_find(s, s->probing);
        s->probing = 0;
        if (one && one->info.state < PEER_SUSPECT)
            set_state(s, one, PEER_SUSPECT);
    }
    if (!s->probing && now_ms >= s->probe_due_ms) {
        s->probe_due_ms = now_ms + s->settings.probe_ms;
        probe_next(s);
    }
}

void peers_on_timer(struct peers *s)
{
    int64_t now_ms = world_ms(s->w);
    probe_step(s, now_ms);
    for (int64_t i = 0; i < s->n; i++) {
        struct peer *one = &s->all[i];
        if (one->info.state == PEER_SUSPECT && now_ms - one->since_ms >= s->settings.suspect_ms)
            set_state(s, one, PEER_DEAD);
        if (one->info.state == PEER_DEAD && now_ms - one->since_ms >= s->settings.forget_ms) {
            schema_free(&peer_info_schema, &one->info);
            s->all[i--] = s->all[--s->n];
        }
    }
    if (now_ms >= s->seed_due_ms) {
        /* seeds not in sight and the dead are greeted now and then, so halves find each other again */
        s->seed_due_ms = now_ms + 500;
        for (int64_t i = 0; i < s->n_seeds; i++) {
            const struct peer *one = peers_find(s, s->seeds[i]);
            if (s->seeds[i] != s->self.addr && (!one || one->info.state == PEER_DEAD))
                send_probe(s, s->seeds[i], FRAME_PING, ++s->seq, 0);
        }
        const struct peer *any = s->n ? &s->all[world_random(s->w) % (uint64_t)s->n] : NULL;
        if (any && any->info.state == PEER_DEAD)
            send_probe(s, any->info.addr, FRAME_PING, ++s->seq, 0);
        median_update(s);
    }
}

static void heard(struct peers *s, int64_t from, int64_t wall_ms)
{
    struct peer *one = (struct peer *)(uintptr_t)peers_find(s, from);
    if (!one)
        return;
    one->heard_ms = world_ms(s->w);
    one->offset_ms = wall_ms - one->heard_ms;
    one->has_offset = 1;
    median_update(s);
}

static void on_ack(struct peers *s, int64_t from, int64_t seq)
{
    if (seq == s->probe_seq) {
        s->probing = 0;
        return;
    }
    for (int i = 0; i < COUNT_OF(s->relays); i++) {
        struct peer_relay *relay = &s->relays[i];
        if (relay->seq != seq || !seq)
            continue;
        send_probe(s, relay->requester, FRAME_ACK, relay->requester_seq, from);
        relay->seq = 0;
    }
}

static void on_request(struct peers *s, int64_t requester, const struct peer_probe *probe)
{
    struct peer_relay *oldest = &s->relays[0];
    for (int i = 1; i < COUNT_OF(s->relays); i++)
        if (s->relays[i].until_ms < oldest->until_ms)
            oldest = &s->relays[i];
    *oldest = (struct peer_relay){.seq = ++s->seq,
                                  .requester = requester,
                                  .requester_seq = probe->seq,
                                  .until_ms = world_ms(s->w) + s->settings.late_ms};
    send_probe(s, probe->about, FRAME_PING, oldest->seq, 0);
}

int peers_on_frame(struct peers *s, const struct frame *frame)
{
    struct peer_probe probe = {0};
    if (schema_unpack(&peer_probe_schema, &probe, frame->body, frame->len))
        return ERROR_BAD_FRAME;
    for (int64_t i = 0; i < probe.n; i++)
        take_news(s, &probe.info[i]);
    heard(s, (int64_t)frame->from, probe.wall_ms);
    if (frame->kind == FRAME_PING)
        send_probe(s, (int64_t)frame->from, FRAME_ACK, probe.seq, 0);
    else if (frame->kind == FRAME_ACK)
        on_ack(s, (int64_t)frame->from, probe.seq);
    else
        on_request(s, (int64_t)frame->from, &probe);
    schema_free(&peer_probe_schema, &probe);
    return ERROR_NONE;
}

void peers_leave(struct peers *s)
{
    s->self.leaving = 1;
    s->self.incarnation++;
    for (int64_t i = 0; i < s->n; i++)
        if (s->all[i].info.state < PEER_SUSPECT)
            send_probe(s, s->all[i].info.addr, FRAME_PING, ++s->seq, 0);
}

void peers_end(struct peers *s)
{
    for (int64_t i = 0; i < s->n; i++)
        schema_free(&peer_info_schema, &s->all[i].info);
    free(s->all);
    free(s->self.zone);
}
