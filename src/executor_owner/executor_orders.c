/* Speaking with the executor: one call at a time, everything in it may be
 * repeated; what it answers is its whole state. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "executor_owner/executor_owner.h"
#include "node/node.h"

enum { CALL_MS = 1000, BEAT_MS = 400, ROOMS_MS = 300, ROOMS_ALL_MS = 5000, ROOMS_EACH_MS = 100, STARTS_A_CALL = 64 };

/* --- health ------------------------------------------------------------------------- */

static int64_t others_quarantined(struct node *node, const char *kind, int64_t *all)
{
    int64_t n = 0;
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        if (strcmp(node->executor_summaries[i].kind, kind))
            continue;
        *all += 1;
        n += node->executor_summaries[i].state == EXECUTOR_QUARANTINE ||
             node->executor_summaries[i].state == EXECUTOR_PROBATION;
    }
    return n;
}

/* Judged by outcomes alone. Where half of a kind looks ill it is the work, not
 * the executors, and nobody more is shut out. */
void home_health(struct node *node, struct executor_owner *executor_owner, int64_t outcome)
{
    const struct settings *p = &node->root_settings;
    int64_t bad = 0;
    if (outcome != OUT_DONE && outcome != OUT_FAILED)
        return;
    executor_owner->window = executor_owner->window << 1 | (outcome == OUT_FAILED);
    if (executor_owner->window_n < p->quarantine_window)
        executor_owner->window_n++;
    if (outcome == OUT_DONE && executor_owner->probation > 0 && --executor_owner->probation == 0)
        executor_owner->window = executor_owner->window_n = executor_owner->quarantines = 0;
    for (int64_t i = 0; i < executor_owner->window_n; i++)
        bad += (int64_t)((executor_owner->window >> i) & 1);
    int again = executor_owner->probation > 0 && outcome == OUT_FAILED;
    if (!again && (executor_owner->window_n < p->quarantine_window / 2 ||
                   bad * 100 < executor_owner->window_n * p->quarantine_pct))
        return;
    home_shut_out(node, executor_owner);
}

void home_shut_out(struct node *node, struct executor_owner *executor_owner)
{
    const struct settings *p = &node->root_settings;
    int64_t all = 0;
    if (!executor_owner->state.kind || others_quarantined(node, executor_owner->state.kind, &all) * 2 >= all ||
        world_ms(node->w) < executor_owner->quarantine_until_ms)
        return;
    /* each time in a row twice as long, up to eight times */
    int64_t for_ms = p->quarantine_ms << (executor_owner->quarantines < 3 ? executor_owner->quarantines : 3);
    executor_owner->quarantines++;
    executor_owner->quarantine_until_ms = world_ms(node->w) + for_ms;
    executor_owner->probation = p->probation_tasks;
    executor_owner->window = 0;
    executor_owner->window_n = 0;
    world_note(node->w, EV_QUARANTINE, "executor=%s forMs=%lld", executor_owner->name, (long long)for_ms);
}

int64_t home_room_state(struct node *node, struct executor_owner *executor_owner)
{
    if (!executor_owner->opened)
        return EXECUTOR_CLOSED;
    if (executor_owner->state.leaving)
        return EXECUTOR_LEAVING;
    if (executor_owner->silent)
        return EXECUTOR_SILENT;
    if (world_ms(node->w) < executor_owner->quarantine_until_ms)
        return EXECUTOR_QUARANTINE;
    return executor_owner->probation > 0 ? EXECUTOR_PROBATION : EXECUTOR_OPEN;
}

/* --- state ----------------------------------------------------------------------------- */

/* answered: it came as the answer to our own call, not as a report. */
void home_take_state(struct node *node, struct executor_owner *executor_owner, struct exec_state *state, int answered)
{
    int64_t now_ms = world_ms(node->w);
    if (state->incarnation < executor_owner->incarnation ||
        (state->incarnation == executor_owner->incarnation && state->serial <= executor_owner->serial))
        return;
    if (state->incarnation > executor_owner->incarnation && executor_owner->incarnation) {
        account_all_gone(node, executor_owner, "the executor came back anew");
        executor_owner->opened = 0;
        executor_owner->n_acks = 0;
        executor_owner->serial = 0;
        executor_owner->window = 0;
        executor_owner->window_n = 0;
    }
    if (state->leaving && !executor_owner->state.leaving)
        world_note(node->w, EV_EXECUTOR_LEAVING, "executor=%s inMs=%lld", executor_owner->name,
                   (long long)state->leaving_in_ms);
    if (state->epoch > executor_owner->epoch)
        return; /* another home speaks with it under a higher epoch */
    schema_free(&exec_state_schema, &executor_owner->state);
    executor_owner->state = *state;
    executor_owner->leave_ms =
        state->leaving ? node_fleet_ms(node) + (state->leaving_in_ms > 0 ? state->leaving_in_ms : 0) : 0;
    memset(state, 0, sizeof *state);
    executor_owner->incarnation = executor_owner->state.incarnation;
    executor_owner->serial = executor_owner->state.serial;
    executor_owner->addr = (int64_t)addr_parse(executor_owner->state.address);
    executor_owner->ticket_ms = now_ms;
    if (answered) {
        executor_owner->heard_ms = now_ms;
        executor_owner->misses = 0;
    }
    if (executor_owner->state.epoch == executor_owner->epoch && !executor_owner->opened && answered) {
        executor_owner->opened = 1;
        world_note(node->w, EV_HOME_OPEN, "executor=%s epoch=%lld incarnation=%lld running=%lld", executor_owner->name,
                   (long long)executor_owner->epoch, (long long)executor_owner->incarnation,
                   (long long)executor_owner->state.n_running);
    }
    if (executor_owner->opened)
        account_merge(node, executor_owner);
    else
        executor_owner->dirty = 1;
    node->summaries_due_ms = node->summaries_due_ms > now_ms + 30 ? now_ms + 30 : node->summaries_due_ms;
}

static void answered(void *arg, int64_t tag, int status, const char *body, int64_t len)
{
    struct node *node = arg;
    struct exec_state state = {0};
    struct validation_error validation_error;
    struct executor_owner *executor_owner = NULL;
    /* the home may have moved away meanwhile: found again by its epoch and name */
    for (int64_t i = 0; i < node->n_executor_owners; i++)
        if ((int64_t)(hash_text(node->executor_owners[i]->name) >> 8) == (tag & ((1LL << 56) - 1)))
            executor_owner = node->executor_owners[i];
    if (!executor_owner)
        return;
    executor_owner->calling = 0;
    if (!status || schema_from_text(&exec_state_schema, &state, body, len, &validation_error)) {
        executor_owner->call_due_ms = world_ms(node->w) + BEAT_MS / 2;
        executor_owner->misses++;
        return;
    }
    if (!strcmp(state.name, executor_owner->name)) {
        /* what was acknowledged in this call is forgotten over there */
        if (status == 200 && state.epoch == executor_owner->epoch) {
            int64_t told =
                executor_owner->held < executor_owner->n_acks ? executor_owner->held : executor_owner->n_acks;
            executor_owner->n_acks -= told;
            if (executor_owner->n_acks)
                memmove(executor_owner->acks, executor_owner->acks + told,
                        sizeof *executor_owner->acks * (size_t)executor_owner->n_acks);
            executor_owner->held = 0;
        }
        home_take_state(node, executor_owner, &state, 1);
    }
    schema_free(&exec_state_schema, &state);
}

void home_call(struct node *node, struct executor_owner *executor_owner)
{
    int64_t now_ms = world_ms(node->w);
    if (executor_owner->calling || !executor_owner->addr ||
        (!executor_owner->dirty && now_ms < executor_owner->call_due_ms))
        return;
    struct exec_orders orders = {.cluster = node->cluster_name,
                                 .executor_owner = (char *)(uintptr_t)addr_text(node->w->http_addr),
                                 .epoch = executor_owner->epoch,
                                 .incarnation = executor_owner->incarnation,
                                 .ticket = executor_owner->state.ticket,
                                 .acks = executor_owner->acks,
                                 .n_acks = executor_owner->n_acks};
    for (int64_t i = 0; i < executor_owner->n_rows && executor_owner->opened; i++) {
        struct account *row = &executor_owner->rows[i];
        struct exec_task_order at = {
            .job = row->ref.job, .no = row->ref.no, .attempt = row->ref.attempt, .lease_ms = row->lease_ms};
        if (row->state == ALLOCATION_STARTING && !row->stop_asked && !executor_owner->silent &&
            orders.n_starts < STARTS_A_CALL) {
            *array_add(orders.starts, orders.n_starts) = *row->start;
            row->offered_ticket = orders.ticket;
        } else if (row->stop_asked && row->state >= ALLOCATION_STARTING && row->state < ALLOCATION_ENDED)
            *array_add(orders.stops, orders.n_stops) = at;
        else if (row->state == ALLOCATION_RUNNING || row->state == ALLOCATION_HELD)
            *array_add(orders.renews, orders.n_renews) = at;
        if (row->state == ALLOCATION_HELD && row->go_asked && !row->stop_asked)
            *array_add(orders.goes, orders.n_goes) = at;
    }
    char *body = schema_to_text(&exec_orders_schema, &orders);
    executor_owner->held = executor_owner->n_acks;
    executor_owner->calling = 1;
    executor_owner->dirty = 0;
    executor_owner->call_due_ms = now_ms + BEAT_MS;
    node->w->calls->call(node->w, &(struct http_call){.to = (uint64_t)executor_owner->addr,
                                                      .method = "POST",
                                                      .path = "/v1/orders",
                                                      .body = body,
                                                      .wait_ms = CALL_MS,
                                                      .done = answered,
                                                      .arg = node,
                                                      .tag = (int64_t)(hash_text(executor_owner->name) >> 8)});
    free(body);
    free(orders.starts);
    free(orders.stops);
    free(orders.renews);
    free(orders.goes);
}

/* --- rooms ------------------------------------------------------------------------------- */

/* What everybody goes by, other than how much is free just now. */
static int64_t summaries_hash(const struct executor_summaries_msg *m)
{
    uint64_t hash = 1;
    for (int64_t i = 0; i < m->n; i++) {
        const struct executor_summary *r = &m->executor_summaries[i];
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
    struct executor_summaries_msg m = {0};
    int64_t now_ms = world_ms(node->w), owners[SHARD_COUNT];
    node->summaries_due_ms = now_ms + ROOMS_MS;
    node->summaries_sent_ms = now_ms;
    for (int64_t i = 0; i < node->n_executor_owners; i++) {
        struct executor_owner *executor_owner = node->executor_owners[i];
        if (!executor_owner->state.kind)
            continue;
        struct executor_summary *executor_summary = array_add(m.executor_summaries, m.n);
        *executor_summary = (struct executor_summary){
            .executor = executor_owner->name,
            .kind = executor_owner->state.kind,
            .rack = executor_owner->state.rack,
            .services = executor_owner->state.services,
            .n_services = executor_owner->state.n_services,
            .executor_owner = (int64_t)node->w->self,
            .epoch = executor_owner->epoch,
            .incarnation = executor_owner->incarnation,
            .state = home_room_state(node, executor_owner),
            .cores = executor_owner->state.cores,
            .mem_mb = executor_owner->state.mem_mb,
            .addr = executor_owner->addr,
            .leave_ms = executor_owner->leave_ms,
            .wanted = executor_owner->want_until_ms > now_ms ? executor_owner->want_urgency : INT64_MAX};
        account_room(executor_owner, &executor_summary->free_cores, &executor_summary->free_mb);
    }
    int64_t hash = summaries_hash(&m);
    int64_t every_ms = ROOMS_EACH_MS * node->peers.n;
    int all = hash != node->summaries_hash ||
              now_ms - node->summaries_sent_to_all_ms >= (every_ms > ROOMS_ALL_MS ? every_ms : ROOMS_ALL_MS);
    node->summaries_hash = hash;
    if (all)
        node->summaries_sent_to_all_ms = now_ms;
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        owners[i] = shard_owner(node, i);
    struct blob *frame = blob_new(); /* built once for all */
    frame_build(&frame->bytes, FRAME_EXECUTOR_SUMMARIES, node->cluster, node->w->self, &executor_summaries_msg_schema,
                &m);
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
    free(m.executor_summaries);
}
