/* The numbered feed: what the control log holds from a place on, told only
 * after a majority confirmed that we still lead. And proposals for both logs. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "keeper/keeper.h"

enum { FEED_ENTRIES = 500, FEED_BYTES = 1 << 20 };

static void feed_reject(struct keeper *k, int64_t to, int64_t sent_ms)
{
    struct feed feed = {.sent_ms = sent_ms, .leader = k->logs[GROUP_CONTROL].leader_addr};
    keeper_send(k, to, FRAME_CONTROL_UPDATES, &control_updates_schema, &feed);
}

/* Whoever still votes in either log counts: only when a lost keeper votes in
 * none may the next be taken away. */
static void add_voter(struct feed *feed, const struct log_member *m, int in_other)
{
    if (!log_votes_after_change(m))
        return;
    *array_add(feed->voters, feed->n_voters) = m->addr;
    *array_add(feed->voters, feed->n_voters) = 1 + in_other;
}

static void feed_send(struct keeper *k, const struct keeper_wait *wait)
{
    struct log *log = &k->logs[GROUP_CONTROL];
    struct feed feed = {.ok = 1,
                        .sent_ms = wait->sent_ms,
                        .commit = log->applied,
                        .leader = log->leader_addr,
                        .jobs_leader = k->logs[GROUP_JOBS].leader_addr,
                        .upto = wait->feed_from};
    struct bytes snapshot = {0};
    int64_t bytes = 0;
    if (wait->feed_from + 1 < log->first_index || wait->feed_from > log->applied) {
        config_tree_snapshot(&k->config_tree, &snapshot);
        feed.snapshot = snapshot;
        feed.snapshot_index = feed.upto = log->applied;
    }
    for (int64_t i = feed.upto + 1; i <= log->applied && feed.n < FEED_ENTRIES && bytes < FEED_BYTES; i++) {
        const struct log_entry *entry = &log->entries[i - log->first_index];
        feed.upto = i;
        if (entry->kind != ENTRY_OP)
            continue;
        *array_add(feed.entries, feed.n) = (struct feed_entry){.index = i, .op = entry->body};
        bytes += entry->body.len;
    }
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        add_voter(&feed, m, log_is_voter(&k->logs[GROUP_JOBS], m->id));
    }
    for (int64_t i = 0; i < k->logs[GROUP_JOBS].members.n; i++) {
        const struct log_member *m = &k->logs[GROUP_JOBS].members.members[i];
        if (!log_is_voter(log, m->id))
            add_voter(&feed, m, 0);
    }
    keeper_send(k, wait->from, FRAME_CONTROL_UPDATES, &control_updates_schema, &feed);
    free(feed.voters);
    free(feed.entries);
    bytes_free(&snapshot);
}

static void confirmed(void *arg, int64_t tag, int error, const struct bytes *unused)
{
    struct keeper *k = arg;
    struct keeper_wait *at = slab_at(&k->waits, tag);
    (void)unused;
    if (!at)
        return;
    struct keeper_wait wait = *at;
    slab_free(&k->waits, tag);
    if (error)
        feed_reject(k, wait.from, wait.sent_ms);
    else
        feed_send(k, &wait);
}

static void follower_heard(struct keeper *k, int64_t addr)
{
    int64_t i = 0, now_ms = world_ms(k->w);
    while (i < k->n_followers && k->followers[i].addr != addr)
        i++;
    if (i == COUNT_OF(k->followers))
        return; /* it is not nudged and asks in its own time */
    if (i == k->n_followers)
        k->n_followers++;
    k->followers[i] = (struct follower){.addr = addr, .heard_ms = now_ms};
}

/* Something was committed: whoever follows us is nudged to ask at once. */
void feed_news(struct keeper *k)
{
    struct log *log = &k->logs[GROUP_CONTROL];
    struct confirm news = {.from = log->applied};
    k->news_due = 0;
    if (log->role != LOG_LEADER)
        return;
    for (int64_t i = 0; i < k->n_followers; i++) {
        if (world_ms(k->w) - k->followers[i].heard_ms < 2000)
            keeper_send(k, k->followers[i].addr, FRAME_CONTROL_UPDATES_NOTICE, &control_updates_request_schema, &news);
        else
            k->followers[i--] = k->followers[--k->n_followers];
    }
}

void feed_on_confirm(struct keeper *k, int64_t from, const struct confirm *m)
{
    struct log *log = &k->logs[GROUP_CONTROL];
    follower_heard(k, from);
    if (log->role != LOG_LEADER) {
        feed_reject(k, from, m->sent_ms);
        return;
    }
    int64_t number = slab_take(&k->waits, sizeof(struct keeper_wait));
    *(struct keeper_wait *)slab_at(&k->waits, number) =
        (struct keeper_wait){.from = from, .feed_from = m->from, .sent_ms = m->sent_ms, .boot = m->boot};
    log_read(log, confirmed, k, number);
}

static void proposed(void *arg, int64_t tag, int error, const struct bytes *result)
{
    struct keeper *k = arg;
    struct keeper_wait *at = slab_at(&k->waits, tag);
    if (!at)
        return;
    struct keeper_wait wait = *at;
    slab_free(&k->waits, tag);
    struct proposed m = {
        .group = wait.group, .req = wait.req, .error = error, .leader = k->logs[wait.group].leader_addr};
    if (result)
        m.result = *result;
    keeper_send(k, wait.from, FRAME_PROPOSED, &proposed_schema, &m);
}

void feed_on_propose(struct keeper *k, int64_t from, const struct propose *m)
{
    if (m->group < 0 || m->group >= GROUP_COUNT)
        return;
    int64_t number = slab_take(&k->waits, sizeof(struct keeper_wait));
    *(struct keeper_wait *)slab_at(&k->waits, number) =
        (struct keeper_wait){.from = from, .req = m->req, .group = m->group};
    log_propose(&k->logs[m->group], ENTRY_OP, &m->op, proposed, k, number);
}
