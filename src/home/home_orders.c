/* Speaking with the executor: one call at a time, everything in it may be
 * repeated; what it answers is its whole state. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "home/home.h"
#include "node/node.h"

enum { CALL_MS = 1000, BEAT_MS = 400, ROOMS_MS = 300, ROOMS_ALL_MS = 5000, ROOMS_EACH_MS = 100, STARTS_A_CALL = 64 };

/* --- health ------------------------------------------------------------------------- */

static int64_t others_quarantined(struct node *node, const char *kind, int64_t *all)
{
    int64_t n = 0;
    for (int64_t i = 0; i < node->n_rooms; i++) {
        if (strcmp(node->rooms[i].kind, kind))
            continue;
        *all += 1;
        n += node->rooms[i].state == ROOM_QUARANTINE || node->rooms[i].state == ROOM_PROBATION;
    }
    return n;
}

/* Judged by outcomes alone. Where half of a kind looks ill it is the work, not
 * the executors, and nobody more is shut out. */
void home_health(struct node *node, struct home *home, int64_t outcome)
{
    const struct settings *p = &node->root_settings;
    int64_t bad = 0;
    if (outcome != OUT_DONE && outcome != OUT_FAILED)
        return;
    home->window = home->window << 1 | (outcome == OUT_FAILED);
    if (home->window_n < p->quarantine_window)
        home->window_n++;
    if (outcome == OUT_DONE && home->probation > 0 && --home->probation == 0)
        home->window = home->window_n = home->quarantines = 0;
    for (int64_t i = 0; i < home->window_n; i++)
        bad += (int64_t)((home->window >> i) & 1);
    int again = home->probation > 0 && outcome == OUT_FAILED;
    if (!again && (home->window_n < p->quarantine_window / 2 || bad * 100 < home->window_n * p->quarantine_pct))
        return;
    home_shut_out(node, home);
}

void home_shut_out(struct node *node, struct home *home)
{
    const struct settings *p = &node->root_settings;
    int64_t all = 0;
    if (!home->state.kind || others_quarantined(node, home->state.kind, &all) * 2 >= all ||
        world_ms(node->w) < home->quarantine_until_ms)
        return;
    /* each time in a row twice as long, up to eight times */
    int64_t for_ms = p->quarantine_ms << (home->quarantines < 3 ? home->quarantines : 3);
    home->quarantines++;
    home->quarantine_until_ms = world_ms(node->w) + for_ms;
    home->probation = p->probation_tasks;
    home->window = 0;
    home->window_n = 0;
    world_note(node->w, EV_QUARANTINE, "executor=%s forMs=%lld", home->name, (long long)for_ms);
}

int64_t home_room_state(struct node *node, struct home *home)
{
    if (!home->opened)
        return ROOM_CLOSED;
    if (home->state.leaving)
        return ROOM_LEAVING;
    if (home->silent)
        return ROOM_SILENT;
    if (world_ms(node->w) < home->quarantine_until_ms)
        return ROOM_QUARANTINE;
    return home->probation > 0 ? ROOM_PROBATION : ROOM_OPEN;
}

/* --- state ----------------------------------------------------------------------------- */

/* answered: it came as the answer to our own call, not as a report. */
void home_take_state(struct node *node, struct home *home, struct exec_state *state, int answered)
{
    int64_t now_ms = world_ms(node->w);
    if (state->incarnation < home->incarnation ||
        (state->incarnation == home->incarnation && state->serial <= home->serial))
        return;
    if (state->incarnation > home->incarnation && home->incarnation) {
        account_all_gone(node, home, "the executor came back anew");
        home->opened = 0;
        home->n_acks = 0;
        home->serial = 0;
        home->window = 0;
        home->window_n = 0;
    }
    if (state->leaving && !home->state.leaving)
        world_note(node->w, EV_EXECUTOR_LEAVING, "executor=%s inMs=%lld", home->name, (long long)state->leaving_in_ms);
    if (state->epoch > home->epoch)
        return; /* another home speaks with it under a higher epoch */
    schema_free(&exec_state_schema, &home->state);
    home->state = *state;
    home->leave_ms = state->leaving ? node_fleet_ms(node) + (state->leaving_in_ms > 0 ? state->leaving_in_ms : 0) : 0;
    memset(state, 0, sizeof *state);
    home->incarnation = home->state.incarnation;
    home->serial = home->state.serial;
    home->addr = (int64_t)addr_parse(home->state.address);
    home->ticket_ms = now_ms;
    if (answered) {
        home->heard_ms = now_ms;
        home->misses = 0;
    }
    if (home->state.epoch == home->epoch && !home->opened && answered) {
        home->opened = 1;
        world_note(node->w, EV_HOME_OPEN, "executor=%s epoch=%lld incarnation=%lld running=%lld", home->name,
                   (long long)home->epoch, (long long)home->incarnation, (long long)home->state.n_running);
    }
    if (home->opened)
        account_merge(node, home);
    else
        home->dirty = 1;
    node->rooms_due_ms = node->rooms_due_ms > now_ms + 30 ? now_ms + 30 : node->rooms_due_ms;
}

static void answered(void *arg, int64_t tag, int status, const char *body, int64_t len)
{
    struct node *node = arg;
    struct exec_state state = {0};
    struct validation_error validation_error;
    struct home *home = NULL;
    /* the home may have moved away meanwhile: found again by its epoch and name */
    for (int64_t i = 0; i < node->n_homes; i++)
        if ((int64_t)(hash_text(node->homes[i]->name) >> 8) == (tag & ((1LL << 56) - 1)))
            home = node->homes[i];
    if (!home)
        return;
    home->calling = 0;
    if (!status || schema_from_text(&exec_state_schema, &state, body, len, &validation_error)) {
        home->call_due_ms = world_ms(node->w) + BEAT_MS / 2;
        home->misses++;
        return;
    }
    if (!strcmp(state.name, home->name)) {
        /* what was acknowledged in this call is forgotten over there */
        if (status == 200 && state.epoch == home->epoch) {
            int64_t told = home->held < home->n_acks ? home->held : home->n_acks;
            home->n_acks -= told;
            if (home->n_acks)
                memmove(home->acks, home->acks + told, sizeof *home->acks * (size_t)home->n_acks);
            home->held = 0;
        }
        home_take_state(node, home, &state, 1);
    }
    schema_free(&exec_state_schema, &state);
}

void home_call(struct node *node, struct home *home)
{
    int64_t now_ms = world_ms(node->w);
    if (home->calling || !home->addr || (!home->dirty && now_ms < home->call_due_ms))
        return;
    struct exec_orders orders = {.cluster = node->cluster_name,
                                 .home = (char *)(uintptr_t)addr_text(node->w->http_addr),
                                 .epoch = home->epoch,
                                 .incarnation = home->incarnation,
                                 .ticket = home->state.ticket,
                                 .acks = home->acks,
                                 .n_acks = home->n_acks};
    for (int64_t i = 0; i < home->n_rows && home->opened; i++) {
        struct account *row = &home->rows[i];
        struct exec_renew at = {
            .job = row->ref.job, .no = row->ref.no, .attempt = row->ref.attempt, .lease_ms = row->lease_ms};
        if (row->state == ACC_STARTING && !row->stop_asked && !home->silent && orders.n_starts < STARTS_A_CALL) {
            *array_add(orders.starts, orders.n_starts) = *row->start;
            row->offered_ticket = orders.ticket;
        } else if (row->stop_asked && row->state >= ACC_STARTING && row->state < ACC_ENDED)
            *array_add(orders.stops, orders.n_stops) = at;
        else if (row->state == ACC_RUNNING || row->state == ACC_HELD)
            *array_add(orders.renews, orders.n_renews) = at;
        if (row->state == ACC_HELD && row->go_asked && !row->stop_asked)
            *array_add(orders.goes, orders.n_goes) = at;
    }
    char *body = schema_to_text(&exec_orders_schema, &orders);
    home->held = home->n_acks;
    home->calling = 1;
    home->dirty = 0;
    home->call_due_ms = now_ms + BEAT_MS;
    node->w->calls->call(node->w, &(struct http_call){.to = (uint64_t)home->addr,
                                                      .method = "POST",
                                                      .path = "/v1/orders",
                                                      .body = body,
                                                      .wait_ms = CALL_MS,
                                                      .done = answered,
                                                      .arg = node,
                                                      .tag = (int64_t)(hash_text(home->name) >> 8)});
    free(body);
    free(orders.starts);
    free(orders.stops);
    free(orders.renews);
    free(orders.goes);
}

/* --- rooms ------------------------------------------------------------------------------- */

/* What everybody goes by, other than how much is free just now. */
static int64_t rooms_hash(const struct rooms_msg *m)
{
    uint64_t hash = 1;
    for (int64_t i = 0; i < m->n; i++) {
        const struct room *r = &m->rooms[i];
        hash = hash_mix(hash_mix(hash, hash_text(r->executor)),
                        (uint64_t)(r->state << 8 ^ r->epoch << 16 ^ r->incarnation));
        hash = hash_mix(hash_mix(hash, (uint64_t)r->addr), (uint64_t)(r->cores << 20 ^ r->mem_mb ^ (r->leave_ms != 0)));
    }
    return (int64_t)(hash | 1);
}

static int is_in(const int64_t *addrs, int64_t n, int64_t addr)
{
    for (int64_t i = 0; i < n; i++)
        if (addrs[i] == addr)
            return 1;
    return 0;
}

/* Free room to the owners of shards, who place by it and are no more than there are
 * shards; to all others what changed otherwise, and everything now and then. Telling
 * all of them always grew with the square of the fleet. */
void home_tell_rooms(struct node *node)
{
    struct rooms_msg m = {0};
    int64_t now_ms = world_ms(node->w), owners[SHARD_COUNT];
    node->rooms_due_ms = now_ms + ROOMS_MS;
    node->rooms_told_ms = now_ms;
    for (int64_t i = 0; i < node->n_homes; i++) {
        struct home *home = node->homes[i];
        if (!home->state.kind)
            continue;
        struct room *room = array_add(m.rooms, m.n);
        *room = (struct room){.executor = home->name,
                              .kind = home->state.kind,
                              .rack = home->state.rack,
                              .services = home->state.services,
                              .n_services = home->state.n_services,
                              .home = (int64_t)node->w->self,
                              .epoch = home->epoch,
                              .incarnation = home->incarnation,
                              .state = home_room_state(node, home),
                              .cores = home->state.cores,
                              .mem_mb = home->state.mem_mb,
                              .addr = home->addr,
                              .leave_ms = home->leave_ms,
                              .wanted = home->want_until_ms > now_ms ? home->want_urgency : INT64_MAX};
        account_room(home, &room->free_cores, &room->free_mb);
    }
    int64_t hash = rooms_hash(&m);
    int64_t every_ms = ROOMS_EACH_MS * node->peers.n;
    int all =
        hash != node->rooms_hash || now_ms - node->rooms_all_ms >= (every_ms > ROOMS_ALL_MS ? every_ms : ROOMS_ALL_MS);
    node->rooms_hash = hash;
    if (all)
        node->rooms_all_ms = now_ms;
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        owners[i] = shard_owner(node, i);
    struct blob *frame = blob_new(); /* built once for all */
    frame_build(&frame->bytes, FRAME_EXECUTOR_SUMMARIES, node->cluster, node->w->self, &rooms_msg_schema, &m);
    for (int64_t i = -1; m.n && i < node->peers.n; i++) {
        const struct peer_info *info = i < 0 ? &node->peers.self : &node->peers.all[i].info;
        if (info->role != ROLE_NODE || info->state >= PEER_SUSPECT || (!all && !is_in(owners, SHARD_COUNT, info->addr)))
            continue;
        if (i < 0)
            node_on_frame(node, frame->bytes.at, frame->bytes.len);
        else
            node->w->calls->send(node->w, (uint64_t)info->addr, frame, 0);
    }
    blob_drop(frame);
    free(m.rooms);
}
