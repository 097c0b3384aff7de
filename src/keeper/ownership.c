/* Assigns shards and executors to nodes that own them: each to the first live node in an order that all keepers agree
 * on, under an epoch that only rises. Also proposes planned settings when they are due. Only the leader of the control
 * log does this. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "keeper/keeper.h"

/* Times between two rounds, and between two moves from a live owner; the number of such moves in a round. */
enum { ASSIGN_INTERVAL_MS = 150, MOVE_INTERVAL_MS = 400, MOVES_PER_ROUND = 1 };

static int is_live_node(const struct peer_info *info)
{
    return info->role == ROLE_NODE && info->state != PEER_DEAD && !info->leaving;
}

/* The live node that ranks first for a shard or executor, by rendezvous hashing: keepers that know the same peers
 * compute the same node. */
static const struct peer *first_in_order(const struct keeper *keeper, const char *name)
{
    const struct peer *best = NULL;
    uint64_t best_rank = 0, name_hash = hash_text(name);
    for (int64_t i = 0; i < keeper->peers.n; i++) {
        const struct peer *peer = &keeper->peers.all[i];
        uint64_t rank = hash_mix(name_hash, (uint64_t)peer->info.addr);
        if (!is_live_node(&peer->info) || (best && rank <= best_rank))
            continue;
        best = peer;
        best_rank = rank;
    }
    return best;
}

static void assign_done(void *arg, int64_t tag, int error, const struct bytes *result)
{
    struct keeper *keeper = arg;
    (void)tag, (void)error, (void)result;
    keeper->assign_in_progress = 0;
}

static void assign(struct config_tree_op *op, const char *name, const struct peer *to, int64_t epoch)
{
    struct ownership *ownership = array_add(op->ownerships, op->n_ownerships);
    *ownership =
        (struct ownership){.name = must_dup(name), .owner = to->info.addr, .boot = to->info.boot, .epoch = epoch};
}

/* Adds to op the assignment of a shard or executor if it has to move. From a dead owner it moves at once. From a live
 * owner it moves only after no peer has changed state for settle_ms, one move at a time, to a node that has been alive
 * for as long. */
static void assign_if_needed(struct keeper *keeper, struct config_tree_op *op, const char *name, int64_t now_ms,
                             int64_t settle_ms, int *moves)
{
    const struct ownership *ownership = config_tree_ownership(&keeper->config_tree, name);
    const struct peer *first = first_in_order(keeper, name);
    if (!first)
        return;
    if (!ownership || !peers_live(&keeper->peers, ownership->owner, ownership->boot)) {
        assign(op, name, first, ownership ? ownership->epoch + 1 : 1);
        return;
    }
    if ((ownership->owner == first->info.addr && ownership->boot == first->info.boot) || *moves <= 0 ||
        now_ms - keeper->moved_ms < MOVE_INTERVAL_MS || now_ms - keeper->peers.changed_ms < settle_ms ||
        now_ms - first->since_ms < settle_ms || first->info.state != PEER_ALIVE)
        return;
    --*moves;
    keeper->moved_ms = now_ms;
    assign(op, name, first, ownership->epoch + 1);
}

static void propose_op(struct keeper *keeper, const struct config_tree_op *op, log_done *done)
{
    struct bytes bytes = {0};
    schema_pack(&config_tree_op_schema, op, &bytes);
    log_propose(&keeper->logs[GROUP_CONTROL], ENTRY_OP, &bytes, done, keeper, 0);
    bytes_free(&bytes);
}

static void planned_done(void *arg, int64_t tag, int error, const struct bytes *result)
{
    (void)tag, (void)error, (void)result;
    ((struct keeper *)arg)->planned_in_progress = 0;
}

/* Proposes the first planned change of settings that is due by the median clock of the peers. */
static void propose_planned(struct keeper *keeper)
{
    int64_t now_ms = peers_fleet_ms(&keeper->peers);
    for (int64_t i = 0; i < keeper->config_tree.n_calendar && !keeper->planned_in_progress; i++) {
        const struct planned *planned = &keeper->config_tree.calendar[i];
        if (planned->state != PLAN_PENDING || strcmp(planned->kind, "settings") || planned->at_ms > now_ms)
            continue;
        struct config_tree_op op = {.kind = CONFIG_OP_APPLY_PLANNED, .path = planned->id};
        keeper->planned_in_progress = 1;
        world_note(keeper->world, EV_PLANNED, "settings=%s at=%lld", planned->id, (long long)planned->at_ms);
        propose_op(keeper, &op, planned_done);
        return;
    }
}

void ownership_on_timer(struct keeper *keeper)
{
    struct log *log = &keeper->logs[GROUP_CONTROL];
    int64_t now_ms = world_ms(keeper->world);
    struct config_tree_op op = {.kind = CONFIG_OP_OWNERSHIPS};
    struct settings root;
    char name[32];
    int moves = MOVES_PER_ROUND;
    if (log->role != LOG_LEADER) {
        keeper->assign_in_progress = keeper->planned_in_progress = 0;
        return;
    }
    if (now_ms < keeper->assign_due_ms || log->applied < log->commit || log_term_at(log, log->commit) != log->term)
        return;
    keeper->assign_due_ms = now_ms + ASSIGN_INTERVAL_MS;
    propose_planned(keeper);
    if (keeper->assign_in_progress)
        return;
    config_tree_effective(&keeper->config_tree, "root", &root);
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        snprintf(name, sizeof name, "shard/%lld", (long long)i);
        assign_if_needed(keeper, &op, name, now_ms, root.settle_ms, &moves);
    }
    for (int64_t i = 0; i < keeper->config_tree.n_ownerships; i++)
        if (!strncmp(keeper->config_tree.ownerships[i].name, "home/", 5))
            assign_if_needed(keeper, &op, keeper->config_tree.ownerships[i].name, now_ms, root.settle_ms, &moves);
    if (op.n_ownerships) {
        keeper->assign_in_progress = 1;
        for (int64_t i = 0; i < op.n_ownerships; i++)
            world_note(keeper->world, EV_DUTY_GIVEN, "duty=%s to=%s epoch=%lld", op.ownerships[i].name,
                       addr_text((uint64_t)op.ownerships[i].owner), (long long)op.ownerships[i].epoch);
        propose_op(keeper, &op, assign_done);
    }
    schema_free(&config_tree_op_schema, &op);
}
