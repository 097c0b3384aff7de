/* A node's connection to the keepers: polls the leader of the control log for new entries, by which it also learns
 * whether it may act (admission), and takes proposals to the leaders of both logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { REPLY_TIMEOUT_MS = 400, RETRY_MS = 50, RESEND_MS = 500 };

int admission_open(const struct node *node) { return world_ms(node->w) - node->confirmed_ms < ADMISSION_MS; }

static int is_keeper(const struct node *node, int64_t i)
{
    const struct peer_info *info = &node->peers.all[i].info;
    return info->role == ROLE_KEEPER && info->state != PEER_DEAD;
}

/* The address of the next keeper to try: the live ones among the peers in turn, or a random seed if there are none. */
static int64_t next_keeper(struct node *node)
{
    const struct peers *peers = &node->peers;
    int64_t n = 0, best = 0, last = node->last_keeper;
    for (int pass = 0; pass < 2 && !best; pass++) { /* the lowest address above the last one, else the lowest of all */
        for (int64_t i = 0; i < peers->n; i++) {
            n += is_keeper(node, i);
            if (is_keeper(node, i) && peers->all[i].info.addr > last && (!best || peers->all[i].info.addr < best))
                best = peers->all[i].info.addr;
        }
        last = 0;
    }
    if (!n && peers->n_seeds)
        return peers->seeds[world_random(node->w) % (uint64_t)peers->n_seeds];
    node->last_keeper = best;
    return best;
}

static void request_updates(struct node *node, int64_t now_ms)
{
    if (!node->leaders[GROUP_CONTROL])
        node->leaders[GROUP_CONTROL] = next_keeper(node);
    struct control_updates_request request = {.index = node->applied_index, .sent_ms = now_ms, .boot = node->boot};
    node->updates_request_sent_ms = now_ms;
    node->updates_request_to = node->leaders[GROUP_CONTROL];
    node->updates_request_due_ms = now_ms + UPDATES_INTERVAL_MS;
    node_send(node, node->updates_request_to, FRAME_CONTROL_UPDATES_REQUEST, &control_updates_request_schema, &request);
}

void follow_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    if (node->updates_request_to && now_ms - node->updates_request_sent_ms >= REPLY_TIMEOUT_MS) {
        node->leaders[GROUP_CONTROL] = 0;
        request_updates(node, now_ms);
    } else if (!node->updates_request_to && now_ms >= node->updates_request_due_ms) {
        request_updates(node, now_ms);
    }
    if (node->admission_open != admission_open(node)) {
        node->admission_open = admission_open(node);
        world_note(node->w, node->admission_open ? EV_GATE_OPEN : EV_GATE_CLOSED, "feed=%lld",
                   (long long)node->applied_index);
    }
}

/* The leader has committed more entries: request them now. The notice is only a hint: entries are taken from the reply
 * to the request alone, and a lost notice costs one interval. */
void follow_on_notice(struct node *node, const struct control_updates_request *notice)
{
    if (notice->index > node->applied_index)
        node->updates_request_due_ms = 0;
}

/* Brings settings and ownerships of the node in line with the configuration tree. */
static void apply_config_changes(struct node *node)
{
    if (node->settings_generation != node->config_tree.version) {
        node->settings_generation = node->config_tree.version;
        config_tree_effective(&node->config_tree, "root", &node->root_settings);
        world_note(node->w, EV_CHARTER, "version=%lld", (long long)node->config_tree.version);
    }
    if (node->ownerships_generation != node->config_tree.generation) {
        node->ownerships_generation = node->config_tree.generation;
        ownerships_follow(node);
    }
}

void follow_on_updates(struct node *node, int64_t from, struct control_updates *updates)
{
    if (from != node->updates_request_to || updates->sent_ms != node->updates_request_sent_ms)
        return;
    node->updates_request_to = 0;
    if (!updates->ok) {
        node->leaders[GROUP_CONTROL] = updates->leader != from ? updates->leader : 0;
        node->updates_request_due_ms = world_ms(node->w) + RETRY_MS;
        return;
    }
    node->n_voters = 0;
    for (int64_t i = 0; i < updates->n_voters && i < COUNT_OF(node->voters); i++)
        node->voters[node->n_voters++] = updates->voters[i];
    if (updates->jobs_leader)
        node->leaders[GROUP_JOBS] = updates->jobs_leader;
    if (updates->snapshot.len && updates->snapshot_index > node->applied_index) {
        if (config_tree_restore(&node->config_tree, &updates->snapshot)) {
            node->updates_request_due_ms = world_ms(node->w) + RETRY_MS; /* entries after it cannot be applied */
            return;
        }
        node->applied_index = updates->snapshot_index;
    }
    for (int64_t i = 0; i < updates->n; i++) {
        if (updates->entries[i].index <= node->applied_index)
            continue;
        config_tree_apply(&node->config_tree, &updates->entries[i].op, NULL);
        node->applied_index = updates->entries[i].index;
    }
    if (updates->last_index > node->applied_index)
        node->applied_index = updates->last_index;
    if (node->applied_index < updates->commit)
        node->updates_request_due_ms = 0; /* the reply reached its limit: request the rest at once */
    else
        node->confirmed_ms = updates->sent_ms; /* admission counts from the request, not from the reply */
    apply_config_changes(node);
}

/* --- ownerships ------------------------------------------------------------- */

/* Opens what this node now owns and gives up what it no longer owns, by the ownerships in the configuration tree. */
void ownerships_follow(struct node *node)
{
    for (int64_t i = 0; i < node->config_tree.n_ownerships; i++) {
        const struct ownership *ownership = &node->config_tree.ownerships[i];
        int mine = ownership->owner == (int64_t)node->w->self && ownership->boot == node->boot;
        if (!strncmp(ownership->name, "shard/", 6)) {
            int64_t no = text_to_int64(ownership->name + 6);
            if (no >= 0 && no < SHARD_COUNT)
                shard_on_owner_change(node, &node->shards[no], ownership->epoch, mine);
        } else if (!strncmp(ownership->name, "home/", 5)) {
            struct executor_owner *executor_owner = executor_owner_find(node, ownership->name + 5);
            if (mine)
                executor_owner_start(node, ownership->name + 5, ownership->epoch);
            else if (executor_owner && executor_owner->epoch < ownership->epoch)
                executor_owner_drop(node, executor_owner);
        }
    }
}

/* --- proposals -------------------------------------------------------------- */

static void proposal_send(struct node *node, int64_t number)
{
    struct proposal *proposal = slab_at(&node->proposals, number);
    struct propose message = {.group = proposal->group, .req = number, .op = proposal->op};
    if (!node->leaders[proposal->group])
        node->leaders[proposal->group] = next_keeper(node);
    proposal->sent_ms = world_ms(node->w);
    proposal->sent_to = node->leaders[proposal->group];
    node_send(node, proposal->sent_to, FRAME_PROPOSE, &propose_schema, &message);
}

int64_t node_propose(struct node *node, int64_t group, struct bytes *op, int64_t wait_ms, proposal_done *done,
                     int64_t tag)
{
    int64_t number = slab_take(&node->proposals, sizeof(struct proposal)), now_ms = world_ms(node->w);
    struct proposal *proposal = slab_at(&node->proposals, number);
    *proposal = (struct proposal){.group = group, .tag = tag, .op = *op, .done = done, .until_ms = now_ms + wait_ms};
    *op = (struct bytes){0};
    proposal_send(node, number);
    return number;
}

static void proposal_end(struct node *node, int64_t number, int error, const struct bytes *result)
{
    struct proposal proposal = *(struct proposal *)slab_at(&node->proposals, number);
    slab_free(&node->proposals, number);
    proposal.done(node, proposal.tag, error, result);
    bytes_free(&proposal.op);
}

void proposals_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    for (int64_t i = 0; i < node->proposals.cap; i++) {
        int64_t number = slab_number(&node->proposals, i);
        struct proposal *proposal = slab_at(&node->proposals, number);
        if (!proposal)
            continue;
        if (now_ms >= proposal->until_ms) {
            proposal_end(node, number, ERROR_OUTCOME_UNKNOWN, NULL);
        } else if (now_ms - proposal->sent_ms >= RESEND_MS) {
            if (proposal->sent_to == node->leaders[proposal->group])
                node->leaders[proposal->group] = 0;
            proposal_send(node, number);
        }
    }
}

void node_on_proposed(struct node *node, int64_t from, const struct proposed *message)
{
    struct proposal *proposal = slab_at(&node->proposals, message->req);
    if (!proposal || proposal->group != message->group)
        return;
    if (message->error == ERROR_NOT_LEADER) {
        /* Also the reply of a leader that lost its leadership after it took the op, which may still be committed.
         * Resending it is harmless then. */
        if (node->leaders[proposal->group] == from || !node->leaders[proposal->group])
            node->leaders[proposal->group] = message->leader != from ? message->leader : 0;
        proposal->sent_ms = world_ms(node->w) - RESEND_MS + 50;
        proposal->sent_to = 0;
        return;
    }
    node->leaders[proposal->group] = from;
    proposal_end(node, message->req, (int)message->error, &message->result);
}
