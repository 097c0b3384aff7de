/* Follows the numbered feed of the control log, keeps the gate, and carries
 * proposals to the leaders of both logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "node/node.h"

enum { ANSWER_MS = 400, RESEND_MS = 500 };

int admission_open(const struct node *node) { return world_ms(node->w) - node->confirmed_ms < ADMISSION_MS; }

static int is_keeper(const struct node *node, int64_t i)
{
    const struct peer_info *info = &node->peers.all[i].info;
    return info->role == ROLE_KEEPER && info->state != PEER_DEAD;
}

/* The next keeper to try: those known by the peers, else the seeds. */
static int64_t next_keeper(struct node *node)
{
    const struct peers *s = &node->peers;
    int64_t n = 0, best = 0, last = node->keeper_turn;
    for (int pass = 0; pass < 2 && !best; pass++) { /* the lowest address above the last one tried */
        for (int64_t i = 0; i < s->n; i++) {
            n += is_keeper(node, i);
            if (is_keeper(node, i) && s->all[i].info.addr > last && (!best || s->all[i].info.addr < best))
                best = s->all[i].info.addr;
        }
        last = 0;
    }
    if (!n && s->n_seeds)
        return s->seeds[world_random(node->w) % (uint64_t)s->n_seeds];
    node->keeper_turn = best;
    return best;
}

static void confirm_send(struct node *node, int64_t now_ms)
{
    if (!node->leaders[GROUP_CONTROL])
        node->leaders[GROUP_CONTROL] = next_keeper(node);
    struct confirm confirm = {.from = node->feed_index, .sent_ms = now_ms, .boot = node->boot};
    node->confirm_sent_ms = now_ms;
    node->confirm_to = node->leaders[GROUP_CONTROL];
    node->confirm_due_ms = now_ms + CONFIRM_MS;
    node_send(node, node->confirm_to, FRAME_CONTROL_UPDATES_REQUEST, &control_updates_request_schema, &confirm);
}

void follow_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    if (node->confirm_to && now_ms - node->confirm_sent_ms >= ANSWER_MS) {
        node->leaders[GROUP_CONTROL] = 0;
        confirm_send(node, now_ms);
    } else if (!node->confirm_to && now_ms >= node->confirm_due_ms) {
        confirm_send(node, now_ms);
    }
    if (node->admission_open != admission_open(node)) {
        node->admission_open = admission_open(node);
        world_note(node->w, node->admission_open ? EV_GATE_OPEN : EV_GATE_CLOSED, "feed=%lld",
                   (long long)node->feed_index);
    }
}

/* There is more in the feed: ask now. It is only a nudge; what it says is
 * believed when the leader answers, and a lost one costs one turn. */
void follow_on_news(struct node *node, const struct confirm *m)
{
    if (m->from > node->feed_index)
        node->confirm_due_ms = 0;
}

static void config_tree_changed(struct node *node)
{
    if (node->settings_generation != node->config_tree.version) {
        node->settings_generation = node->config_tree.version;
        config_tree_effective(&node->config_tree, "root", &node->root_settings);
        world_note(node->w, EV_CHARTER, "version=%lld", (long long)node->config_tree.version);
    }
    if (node->duties_generation != node->config_tree.generation) {
        node->duties_generation = node->config_tree.generation;
        duties_follow(node);
    }
}

void follow_on_feed(struct node *node, int64_t from, struct feed *feed)
{
    if (from != node->confirm_to || feed->sent_ms != node->confirm_sent_ms)
        return;
    node->confirm_to = 0;
    if (!feed->ok) {
        node->leaders[GROUP_CONTROL] = feed->leader != from ? feed->leader : 0;
        node->confirm_due_ms = world_ms(node->w) + 50;
        return;
    }
    node->n_voters = 0;
    for (int64_t i = 0; i < feed->n_voters && i < COUNT_OF(node->voters); i++)
        node->voters[node->n_voters++] = feed->voters[i];
    if (feed->jobs_leader)
        node->leaders[GROUP_JOBS] = feed->jobs_leader;
    if (feed->snapshot.len && feed->snapshot_index > node->feed_index &&
        !config_tree_restore(&node->config_tree, &feed->snapshot))
        node->feed_index = feed->snapshot_index;
    for (int64_t i = 0; i < feed->n; i++) {
        if (feed->entries[i].index <= node->feed_index)
            continue;
        config_tree_apply(&node->config_tree, &feed->entries[i].op, NULL);
        node->feed_index = feed->entries[i].index;
    }
    if (feed->upto > node->feed_index)
        node->feed_index = feed->upto;
    if (node->feed_index < feed->commit)
        node->confirm_due_ms = 0; /* more waits there */
    else
        node->confirmed_ms = feed->sent_ms; /* counted from the question, not the answer */
    config_tree_changed(node);
}

/* --- duties ----------------------------------------------------------------- */

void duties_follow(struct node *node)
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
    struct proposal *p = slab_at(&node->proposals, number);
    struct propose m = {.group = p->group, .req = number, .op = p->op};
    if (!node->leaders[p->group])
        node->leaders[p->group] = next_keeper(node);
    p->sent_ms = world_ms(node->w);
    p->sent_to = node->leaders[p->group];
    node_send(node, p->sent_to, FRAME_PROPOSE, &propose_schema, &m);
}

int64_t node_propose(struct node *node, int64_t group, struct bytes *op, int64_t wait_ms, proposal_done *done,
                     int64_t tag)
{
    int64_t number = slab_take(&node->proposals, sizeof(struct proposal)), now_ms = world_ms(node->w);
    struct proposal *p = slab_at(&node->proposals, number);
    *p = (struct proposal){
        .group = group, .tag = tag, .op = *op, .done = done, .until_ms = now_ms + wait_ms, .born_ms = now_ms};
    *op = (struct bytes){0};
    proposal_send(node, number);
    return number;
}

static void proposal_end(struct node *node, int64_t number, int error, const struct bytes *result)
{
    struct proposal p = *(struct proposal *)slab_at(&node->proposals, number);
    slab_free(&node->proposals, number);
    p.done(node, p.tag, error, result);
    bytes_free(&p.op);
}

void proposals_on_timer(struct node *node)
{
    int64_t now_ms = world_ms(node->w);
    for (int64_t i = 0; i < node->proposals.cap; i++) {
        int64_t number = slab_number(&node->proposals, i);
        struct proposal *p = slab_at(&node->proposals, number);
        if (!p)
            continue;
        if (now_ms >= p->until_ms) {
            proposal_end(node, number, ERROR_OUTCOME_UNKNOWN, NULL);
        } else if (now_ms - p->sent_ms >= RESEND_MS) {
            if (p->sent_to == node->leaders[p->group])
                node->leaders[p->group] = 0;
            proposal_send(node, number);
        }
    }
}

void node_on_proposed(struct node *node, int64_t from, const struct proposed *m)
{
    struct proposal *p = slab_at(&node->proposals, m->req);
    if (!p || p->group != m->group)
        return;
    if (m->error == ERROR_NOT_LEADER) {
        /* also said when a leader was unseated meanwhile: the op may still win, and asking again is harmless */
        if (node->leaders[p->group] == from || !node->leaders[p->group])
            node->leaders[p->group] = m->leader != from ? m->leader : 0;
        p->sent_ms = world_ms(node->w) - RESEND_MS + 50;
        p->sent_to = 0;
        return;
    }
    node->leaders[p->group] = from;
    proposal_end(node, m->req, (int)m->error, &m->result);
}
