/* Calls to the executor with its orders, its state in response, its health, and the summaries sent to other nodes. At
 * most one call is in flight; orders may be repeated, and each response is the executor's whole state. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "executor_owner/executor_owner.h"
#include "node/node.h"

enum {
    CALL_TIMEOUT_MS = 1000,
    HEARTBEAT_MS = 400,
    SUMMARIES_INTERVAL_MS = 300,
    SUMMARIES_TO_ALL_MIN_MS = 5000,
    SUMMARIES_TO_ALL_PER_PEER_MS = 100,
    STARTS_PER_CALL_MAX = 64
};

/* --- health ------------------------------------------------------------------------- */

static int64_t count_quarantined(struct node *node, const char *kind, int64_t *total)
{
    int64_t n = 0;
    for (int64_t i = 0; i < node->n_executor_summaries; i++) {
        if (strcmp(node->executor_summaries[i].kind, kind))
            continue;
        *total += 1;
        n += node->executor_summaries[i].state == EXECUTOR_QUARANTINE ||
             node->executor_summaries[i].state == EXECUTOR_PROBATION;
    }
    return n;
}

/* Judges by outcomes alone. Once half of the executors of a kind are quarantined, the cause is taken to be the work
 * rather than the executors, and executor_owner_quarantine() does nothing. */
void executor_owner_count_outcome(struct node *node, struct executor_owner *owner, int64_t outcome)
{
    const struct settings *settings = &node->root_settings;
    int64_t failures = 0;
    if (outcome != OUTCOME_DONE && outcome != OUTCOME_FAILED)
        return;
    owner->recent_outcomes = owner->recent_outcomes << 1 | (outcome == OUTCOME_FAILED);
    if (owner->n_recent_outcomes < settings->quarantine_window)
        owner->n_recent_outcomes++;
    if (outcome == OUTCOME_DONE && owner->probation > 0 && --owner->probation == 0)
        owner->recent_outcomes = owner->n_recent_outcomes = owner->quarantines = 0;
    for (int64_t i = 0; i < owner->n_recent_outcomes; i++)
        failures += (int64_t)((owner->recent_outcomes >> i) & 1);
    int failed_on_probation = owner->probation > 0 && outcome == OUTCOME_FAILED;
    if (!failed_on_probation && (owner->n_recent_outcomes < settings->quarantine_window / 2 ||
                                 failures * 100 < owner->n_recent_outcomes * settings->quarantine_pct))
        return;
    executor_owner_quarantine(node, owner);
}

void executor_owner_quarantine(struct node *node, struct executor_owner *owner)
{
    const struct settings *settings = &node->root_settings;
    int64_t total = 0;
    if (!owner->state.kind || count_quarantined(node, owner->state.kind, &total) * 2 >= total ||
        world_ms(node->w) < owner->quarantine_until_ms)
        return;
    /* doubled for each quarantine in a row, up to 8 times quarantine_ms */
    int64_t duration_ms = settings->quarantine_ms << (owner->quarantines < 3 ? owner->quarantines : 3);
    owner->quarantines++;
    owner->quarantine_until_ms = world_ms(node->w) + duration_ms;
    owner->probation = settings->probation_tasks;
    owner->recent_outcomes = 0;
    owner->n_recent_outcomes = 0;
    world_note(node->w, EV_QUARANTINE, "executor=%s forMs=%lld", owner->name, (long long)duration_ms);
}

int64_t executor_owner_summary_state(struct node *node, struct executor_owner *owner)
{
    if (!owner->opened)
        return EXECUTOR_CLOSED;
    if (owner->state.leaving)
        return EXECUTOR_LEAVING;
    if (owner->silent)
        return EXECUTOR_SILENT;
    if (world_ms(node->w) < owner->quarantine_until_ms)
        return EXECUTOR_QUARANTINE;
    return owner->probation > 0 ? EXECUTOR_PROBATION : EXECUTOR_OPEN;
}

/* --- state ----------------------------------------------------------------------------- */

void executor_owner_apply_state(struct node *node, struct executor_owner *owner, struct exec_state *state,
                                int is_response)
{
    int64_t now_ms = world_ms(node->w);
    if (state->incarnation < owner->incarnation ||
        (state->incarnation == owner->incarnation && state->serial <= owner->serial))
        return;
    if (state->incarnation > owner->incarnation && owner->incarnation) {
        allocations_end_all(node, owner, "the executor was restarted");
        owner->opened = 0;
        owner->n_acks = 0;
        owner->serial = 0;
        owner->recent_outcomes = 0;
        owner->n_recent_outcomes = 0;
    }
    if (state->leaving && !owner->state.leaving)
        world_note(node->w, EV_EXECUTOR_LEAVING, "executor=%s inMs=%lld", owner->name, (long long)state->leaving_in_ms);
    if (state->epoch > owner->epoch)
        return; /* it has an owner of a higher epoch */
    schema_free(&exec_state_schema, &owner->state);
    owner->state = *state;
    owner->leave_ms = state->leaving ? node_fleet_ms(node) + (state->leaving_in_ms > 0 ? state->leaving_in_ms : 0) : 0;
    memset(state, 0, sizeof *state);
    owner->incarnation = owner->state.incarnation;
    owner->serial = owner->state.serial;
    owner->addr = (int64_t)addr_parse(owner->state.address);
    owner->ticket_ms = now_ms;
    if (is_response) {
        owner->last_response_ms = now_ms;
        owner->failed_calls = 0;
    }
    if (owner->state.epoch == owner->epoch && !owner->opened && is_response) {
        owner->opened = 1;
        world_note(node->w, EV_HOME_OPEN, "executor=%s epoch=%lld incarnation=%lld running=%lld", owner->name,
                   (long long)owner->epoch, (long long)owner->incarnation, (long long)owner->state.n_running);
    }
    if (owner->opened)
        allocations_reconcile(node, owner);
    else
        owner->dirty = 1;
    node->summaries_due_ms = node->summaries_due_ms > now_ms + 30 ? now_ms + 30 : node->summaries_due_ms;
}

static void on_orders_response(void *arg, int64_t tag, int status, const char *body, int64_t len)
{
    struct node *node = arg;
    struct exec_state state = {0};
    struct validation_error validation_error;
    struct executor_owner *owner = NULL;
    /* the tag is a hash of the executor's name: this node may have lost its ownership meanwhile */
    for (int64_t i = 0; i < node->n_executor_owners; i++)
        if ((int64_t)(hash_text(node->executor_owners[i]->name) >> 8) == (tag & ((1LL << 56) - 1)))
            owner = node->executor_owners[i];
    if (!owner)
        return;
    owner->call_in_flight = 0;
    if (!status || schema_from_text(&exec_state_schema, &state, body, len, &validation_error)) {
        owner->next_call_ms = world_ms(node->w) + HEARTBEAT_MS / 2;
        owner->failed_calls++;
        return;
    }
    if (!strcmp(state.name, owner->name)) {
        /* the executor has forgotten the ended tasks that this call acknowledged */
        if (status == 200 && state.epoch == owner->epoch) {
            int64_t n_acked = owner->acks_in_flight < owner->n_acks ? owner->acks_in_flight : owner->n_acks;
            owner->n_acks -= n_acked;
            if (owner->n_acks)
                memmove(owner->acks, owner->acks + n_acked, sizeof *owner->acks * (size_t)owner->n_acks);
            owner->acks_in_flight = 0;
        }
        executor_owner_apply_state(node, owner, &state, 1);
    }
    schema_free(&exec_state_schema, &state);
}

void executor_owner_send_orders(struct node *node, struct executor_owner *owner)
{
    int64_t now_ms = world_ms(node->w);
    if (owner->call_in_flight || !owner->addr || (!owner->dirty && now_ms < owner->next_call_ms))
        return;
    struct exec_orders orders = {.cluster = node->cluster_name,
                                 .executor_owner = (char *)(uintptr_t)addr_text(node->w->http_addr),
                                 .epoch = owner->epoch,
                                 .incarnation = owner->incarnation,
                                 .ticket = owner->state.ticket,
                                 .acks = owner->acks,
                                 .n_acks = owner->n_acks};
    for (int64_t i = 0; i < owner->n_rows && owner->opened; i++) {
        struct executor_allocation *allocation = &owner->rows[i];
        struct exec_task_order order = {.job = allocation->ref.job,
                                        .no = allocation->ref.no,
                                        .attempt = allocation->ref.attempt,
                                        .lease_ms = allocation->lease_ms};
        if (allocation->state == ALLOCATION_STARTING && !allocation->stop_requested && !owner->silent &&
            orders.n_starts < STARTS_PER_CALL_MAX) {
            *array_add(orders.starts, orders.n_starts) = *allocation->start;
            allocation->sent_ticket = orders.ticket;
        } else if (allocation->stop_requested && allocation->state >= ALLOCATION_STARTING &&
                   allocation->state < ALLOCATION_ENDED)
            *array_add(orders.stops, orders.n_stops) = order;
        else if (allocation->state == ALLOCATION_RUNNING || allocation->state == ALLOCATION_HELD)
            *array_add(orders.renews, orders.n_renews) = order;
        if (allocation->state == ALLOCATION_HELD && allocation->go_requested && !allocation->stop_requested)
            *array_add(orders.goes, orders.n_goes) = order;
    }
    char *body = schema_to_text(&exec_orders_schema, &orders);
    owner->acks_in_flight = owner->n_acks;
    owner->call_in_flight = 1;
    owner->dirty = 0;
    owner->next_call_ms = now_ms + HEARTBEAT_MS;
    node->w->calls->call(node->w, &(struct http_call){.to = (uint64_t)owner->addr,
                                                      .method = "POST",
                                                      .path = "/v1/orders",
                                                      .body = body,
                                                      .wait_ms = CALL_TIMEOUT_MS,
                                                      .done = on_orders_response,
                                                      .arg = node,
                                                      .tag = (int64_t)(hash_text(owner->name) >> 8)});
    free(body);
    free(orders.starts);
    free(orders.stops);
    free(orders.renews);
    free(orders.goes);
}

/* --- summaries ----------------------------------------------------------------------------- */

/* Hash of what all nodes use of the summaries: not of the free capacity, which only shard owners use. */
static int64_t hash_summaries(const struct executor_summaries_msg *message)
{
    uint64_t hash = 1;
    for (int64_t i = 0; i < message->n; i++) {
        const struct executor_summary *summary = &message->summaries[i];
        hash = hash_mix(hash_mix(hash, hash_text(summary->executor)),
                        (uint64_t)(summary->state << 8 ^ summary->epoch << 16 ^ summary->incarnation));
        hash = hash_mix(hash_mix(hash, (uint64_t)summary->addr),
                        (uint64_t)(summary->cores << 20 ^ summary->mem_mb ^ (summary->leave_ms != 0)));
    }
    return (int64_t)(hash | 1);
}

static int contains_address(const int64_t *addrs, int64_t n, int64_t addr)
{
    for (int64_t i = 0; i < n; i++)
        if (addrs[i] == addr)
            return 1;
    return 0;
}

/* Sends the summaries to the shard owners, which place by the free capacity and are at most SHARD_COUNT. All other
 * nodes get them only when something else than the free capacity changed, and once in a while: sending to all nodes
 * each time made the traffic grow with the square of their number. */
void executor_summaries_send(struct node *node)
{
    struct executor_summaries_msg message = {0};
    int64_t now_ms = world_ms(node->w), owners[SHARD_COUNT];
    node->summaries_due_ms = now_ms + SUMMARIES_INTERVAL_MS;
    node->summaries_sent_ms = now_ms;
    for (int64_t i = 0; i < node->n_executor_owners; i++) {
        struct executor_owner *owner = node->executor_owners[i];
        if (!owner->state.kind)
            continue;
        struct executor_summary *summary = array_add(message.summaries, message.n);
        *summary = (struct executor_summary){.executor = owner->name,
                                             .kind = owner->state.kind,
                                             .rack = owner->state.rack,
                                             .services = owner->state.services,
                                             .n_services = owner->state.n_services,
                                             .executor_owner = (int64_t)node->w->self,
                                             .epoch = owner->epoch,
                                             .incarnation = owner->incarnation,
                                             .state = executor_owner_summary_state(node, owner),
                                             .cores = owner->state.cores,
                                             .mem_mb = owner->state.mem_mb,
                                             .addr = owner->addr,
                                             .leave_ms = owner->leave_ms,
                                             .urgency_limit =
                                                 owner->denied_until_ms > now_ms ? owner->denied_urgency : INT64_MAX};
        allocations_free_capacity(owner, &summary->free_cores, &summary->free_mb);
    }
    int64_t hash = hash_summaries(&message);
    int64_t every_ms = SUMMARIES_TO_ALL_PER_PEER_MS * node->peers.n;
    int to_all =
        hash != node->summaries_hash || now_ms - node->summaries_sent_to_all_ms >=
                                            (every_ms > SUMMARIES_TO_ALL_MIN_MS ? every_ms : SUMMARIES_TO_ALL_MIN_MS);
    node->summaries_hash = hash;
    if (to_all)
        node->summaries_sent_to_all_ms = now_ms;
    for (int64_t i = 0; i < SHARD_COUNT; i++)
        owners[i] = shard_owner(node, i);
    struct blob *frame = blob_new(); /* the same for all receivers */
    frame_build(&frame->bytes, FRAME_EXECUTOR_SUMMARIES, node->cluster, node->w->self, &executor_summaries_msg_schema,
                &message);
    for (int64_t i = -1; message.n && i < node->peers.n; i++) {
        const struct peer_info *info = i < 0 ? &node->peers.self : &node->peers.all[i].info;
        if (info->role != ROLE_NODE || info->state >= PEER_SUSPECT ||
            (!to_all && !contains_address(owners, SHARD_COUNT, info->addr)))
            continue;
        if (i < 0)
            node_on_frame(node, frame->bytes.at, frame->bytes.len);
        else
            node->w->calls->send(node->w, (uint64_t)info->addr, frame, 0);
    }
    blob_drop(frame);
    free(message.summaries);
}
