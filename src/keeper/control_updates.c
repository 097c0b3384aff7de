/* Serves the nodes: sends them the committed entries of the control log, after a majority of its voters has confirmed
 * that this keeper still leads, and proposes their ops for both logs. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "keeper/keeper.h"

/* Limits of one reply. */
enum { UPDATES_MAX_ENTRIES = 500, UPDATES_MAX_BYTES = 1 << 20 };

static void updates_reject(struct keeper *keeper, int64_t to, int64_t sent_ms)
{
    struct control_updates updates = {.sent_ms = sent_ms, .leader = keeper->logs[GROUP_CONTROL].leader_addr};
    keeper_send(keeper, to, FRAME_CONTROL_UPDATES, &control_updates_schema, &updates);
}

/* Adds a member that votes in one log, or with in_other in both. Operators need the voters of either log: another
 * keeper may be shut down only after a lost one has no vote left in any of them. */
static void add_voter(struct control_updates *updates, const struct log_member *member, int in_other)
{
    if (!log_votes_after_change(member))
        return;
    *array_add(updates->voters, updates->n_voters) = member->addr;
    *array_add(updates->voters, updates->n_voters) = 1 + in_other;
}

static void updates_send(struct keeper *keeper, const struct pending_request *request)
{
    struct log *log = &keeper->logs[GROUP_CONTROL];
    struct control_updates updates = {.ok = 1,
                                      .sent_ms = request->sent_ms,
                                      .commit = log->applied,
                                      .leader = log->leader_addr,
                                      .jobs_leader = keeper->logs[GROUP_JOBS].leader_addr,
                                      .last_index = request->index};
    struct bytes snapshot = {0};
    int64_t bytes = 0;
    if (request->index + 1 < log->first_index || request->index > log->applied) {
        config_tree_snapshot(&keeper->config_tree, &snapshot);
        updates.snapshot = snapshot;
        updates.snapshot_index = updates.last_index = log->applied;
    }
    for (int64_t i = updates.last_index + 1;
         i <= log->applied && updates.n < UPDATES_MAX_ENTRIES && bytes < UPDATES_MAX_BYTES; i++) {
        const struct log_entry *entry = &log->entries[i - log->first_index];
        updates.last_index = i;
        if (entry->kind != ENTRY_OP)
            continue;
        *array_add(updates.entries, updates.n) = (struct control_entry){.index = i, .op = entry->body};
        bytes += entry->body.len;
    }
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *member = &log->members.members[i];
        add_voter(&updates, member, log_is_voter(&keeper->logs[GROUP_JOBS], member->id));
    }
    for (int64_t i = 0; i < keeper->logs[GROUP_JOBS].members.n; i++) {
        const struct log_member *member = &keeper->logs[GROUP_JOBS].members.members[i];
        if (!log_is_voter(log, member->id))
            add_voter(&updates, member, 0);
    }
    keeper_send(keeper, request->from, FRAME_CONTROL_UPDATES, &control_updates_schema, &updates);
    free(updates.voters);
    free(updates.entries);
    bytes_free(&snapshot);
}

/* Replies to a request for updates once the log has confirmed or lost the leadership. */
static void leadership_confirmed(void *arg, int64_t tag, int error, const struct bytes *unused)
{
    struct keeper *keeper = arg;
    struct pending_request *pending = slab_at(&keeper->pending_requests, tag);
    (void)unused;
    if (!pending)
        return;
    struct pending_request request = *pending;
    slab_free(&keeper->pending_requests, tag);
    if (error)
        updates_reject(keeper, request.from, request.sent_ms);
    else
        updates_send(keeper, &request);
}

static void subscribe(struct keeper *keeper, int64_t addr)
{
    int64_t i = 0, now_ms = world_ms(keeper->world);
    while (i < keeper->n_subscribers && keeper->subscribers[i].addr != addr)
        i++;
    if (i == COUNT_OF(keeper->subscribers))
        return; /* it gets no notices and polls at its interval */
    if (i == keeper->n_subscribers)
        keeper->n_subscribers++;
    keeper->subscribers[i] = (struct subscriber){.addr = addr, .heard_ms = now_ms};
}

/* Notifies the subscribers of new committed entries, so that they request them at once. */
void updates_notify(struct keeper *keeper)
{
    struct log *log = &keeper->logs[GROUP_CONTROL];
    struct control_updates_request notice = {.index = log->applied};
    keeper->notice_due = 0;
    if (log->role != LOG_LEADER)
        return;
    for (int64_t i = 0; i < keeper->n_subscribers; i++) {
        if (world_ms(keeper->world) - keeper->subscribers[i].heard_ms < 2000)
            keeper_send(keeper, keeper->subscribers[i].addr, FRAME_CONTROL_UPDATES_NOTICE,
                        &control_updates_request_schema, &notice);
        else
            keeper->subscribers[i--] = keeper->subscribers[--keeper->n_subscribers];
    }
}

void updates_on_request(struct keeper *keeper, int64_t from, const struct control_updates_request *request)
{
    struct log *log = &keeper->logs[GROUP_CONTROL];
    subscribe(keeper, from);
    if (log->role != LOG_LEADER) {
        updates_reject(keeper, from, request->sent_ms);
        return;
    }
    int64_t number = slab_take(&keeper->pending_requests, sizeof(struct pending_request));
    *(struct pending_request *)slab_at(&keeper->pending_requests, number) = (struct pending_request){
        .from = from, .index = request->index, .sent_ms = request->sent_ms, .boot = request->boot};
    log_read(log, leadership_confirmed, keeper, number);
}

static void reply_to_proposal(void *arg, int64_t tag, int error, const struct bytes *result)
{
    struct keeper *keeper = arg;
    struct pending_request *pending = slab_at(&keeper->pending_requests, tag);
    if (!pending)
        return;
    struct pending_request request = *pending;
    slab_free(&keeper->pending_requests, tag);
    struct proposed message = {
        .group = request.group, .req = request.req, .error = error, .leader = keeper->logs[request.group].leader_addr};
    if (result)
        message.result = *result;
    keeper_send(keeper, request.from, FRAME_PROPOSED, &proposed_schema, &message);
}

void keeper_on_propose(struct keeper *keeper, int64_t from, const struct propose *message)
{
    if (message->group < 0 || message->group >= GROUP_COUNT)
        return;
    int64_t number = slab_take(&keeper->pending_requests, sizeof(struct pending_request));
    *(struct pending_request *)slab_at(&keeper->pending_requests, number) =
        (struct pending_request){.from = from, .req = message->req, .group = message->group};
    log_propose(&keeper->logs[message->group], ENTRY_OP, &message->op, reply_to_proposal, keeper, number);
}
