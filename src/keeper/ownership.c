/* Giving duties: for each, the first live node in an agreed order, under an
 * epoch that only rises. Only the leader of the control log does this. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "keeper/keeper.h"

enum { ASSIGN_MS = 150, MOVE_MS = 400, MOVES = 1 };

static int is_live_node(const struct peer_info *info)
{
    return info->role == ROLE_NODE && info->state != PEER_DEAD && !info->leaving;
}

/* Rendezvous order: every keeper computes the same first node from the same news. */
static const struct peer *first_in_order(const struct keeper *k, const char *ownership)
{
    const struct peer *best = NULL;
    uint64_t best_rank = 0, name = hash_text(ownership);
    for (int64_t i = 0; i < k->peers.n; i++) {
        const struct peer *one = &k->peers.all[i];
        uint64_t rank = hash_mix(name, (uint64_t)one->info.addr);
        if (!is_live_node(&one->info) || (best && rank <= best_rank))
            continue;
        best = one;
        best_rank = rank;
    }
    return best;
}

static void gave(void *arg, int64_t tag, int error, const struct bytes *result)
{
    struct keeper *k = arg;
    (void)tag, (void)error, (void)result;
    k->duties_busy = 0;
}

static void give(struct config_tree_op *op, const char *name, const struct peer *to, int64_t epoch)
{
    struct ownership *ownership = array_add(op->ownerships, op->n_ownerships);
    *ownership =
        (struct ownership){.name = must_dup(name), .owner = to->info.addr, .boot = to->info.boot, .epoch = epoch};
}

/* A dead owner's duty moves at once; a live one's only after things have been
 * calm for a while, one at a time, to a node that has been there as long. */
static void consider(struct keeper *k, struct config_tree_op *op, const char *name, int64_t now_ms, int64_t settle_ms,
                     int *moves)
{
    const struct ownership *ownership = config_tree_ownership(&k->config_tree, name);
    const struct peer *first = first_in_order(k, name);
    if (!first)
        return;
    if (!ownership || !peers_live(&k->peers, ownership->owner, ownership->boot)) {
        give(op, name, first, ownership ? ownership->epoch + 1 : 1);
        return;
    }
    if ((ownership->owner == first->info.addr && ownership->boot == first->info.boot) || *moves <= 0 ||
        now_ms - k->moved_ms < MOVE_MS || now_ms - k->peers.changed_ms < settle_ms ||
        now_ms - first->since_ms < settle_ms || first->info.state != PEER_ALIVE)
        return;
    --*moves;
    k->moved_ms = now_ms;
    give(op, name, first, ownership->epoch + 1);
}

static void propose_op(struct keeper *k, const struct config_tree_op *op, log_done *done)
{
    struct bytes bytes = {0};
    schema_pack(&config_tree_op_schema, op, &bytes);
    log_propose(&k->logs[GROUP_CONTROL], ENTRY_OP, &bytes, done, k, 0);
    bytes_free(&bytes);
}

static void due(void *arg, int64_t tag, int error, const struct bytes *result)
{
    (void)tag, (void)error, (void)result;
    ((struct keeper *)arg)->due_busy = 0;
}

/* Planned settings changes fall due by the peers' median clock. */
static void planned_due(struct keeper *k)
{
    int64_t now_ms = peers_fleet_ms(&k->peers);
    for (int64_t i = 0; i < k->config_tree.n_calendar && !k->due_busy; i++) {
        const struct planned *p = &k->config_tree.calendar[i];
        if (p->state != PLAN_WAITS || strcmp(p->kind, "settings") || p->at_ms > now_ms)
            continue;
        struct config_tree_op op = {.kind = CONFIG_OP_APPLY_PLANNED, .path = p->id};
        k->due_busy = 1;
        world_note(k->w, EV_PLANNED, "settings=%s at=%lld", p->id, (long long)p->at_ms);
        propose_op(k, &op, due);
        return;
    }
}

void duties_on_timer(struct keeper *k)
{
    struct log *log = &k->logs[GROUP_CONTROL];
    int64_t now_ms = world_ms(k->w);
    struct config_tree_op op = {.kind = CONFIG_OP_OWNERSHIPS};
    struct settings root;
    char name[32];
    int moves = MOVES;
    if (log->role != LOG_LEADER) {
        k->duties_busy = k->due_busy = 0;
        return;
    }
    if (now_ms < k->assign_due_ms || log->applied < log->commit || log_term_at(log, log->commit) != log->term)
        return;
    k->assign_due_ms = now_ms + ASSIGN_MS;
    planned_due(k);
    if (k->duties_busy)
        return;
    config_tree_effective(&k->config_tree, "root", &root);
    for (int64_t i = 0; i < SHARD_COUNT; i++) {
        snprintf(name, sizeof name, "shard/%lld", (long long)i);
        consider(k, &op, name, now_ms, root.settle_ms, &moves);
    }
    for (int64_t i = 0; i < k->config_tree.n_ownerships; i++)
        if (!strncmp(k->config_tree.ownerships[i].name, "home/", 5))
            consider(k, &op, k->config_tree.ownerships[i].name, now_ms, root.settle_ms, &moves);
    if (op.n_ownerships) {
        k->duties_busy = 1;
        for (int64_t i = 0; i < op.n_ownerships; i++)
            world_note(k->w, EV_DUTY_GIVEN, "duty=%s to=%s epoch=%lld", op.ownerships[i].name,
                       addr_text((uint64_t)op.ownerships[i].owner), (long long)op.ownerships[i].epoch);
        propose_op(k, &op, gave);
    }
    schema_free(&config_tree_op_schema, &op);
}
