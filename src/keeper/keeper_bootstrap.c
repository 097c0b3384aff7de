/* A keeper's identity, and the bootstrap of the logs: the empty keeper with the lowest seed address makes all seeds the
 * first voters once they are all up and empty. An empty keeper that starts later joins as a learner. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "keeper/keeper.h"

enum { BOOTSTRAP_INTERVAL_MS = 300, FRESH_MS = 2000 };

static const struct field status_fields[] = {INT(bootstrap_status, id), INT(bootstrap_status, empty),
                                             INT(bootstrap_status, addr), STR(bootstrap_status, zone)};
SCHEMA(bootstrap_status_schema, bootstrap_status, status_fields);

/* Loads this keeper's identity, which serves for both logs, or creates it at the first start. */
int keeper_bootstrap_identity(struct keeper *keeper)
{
    return log_identity(keeper->world, keeper->cluster, &keeper->id);
}

int keeper_bootstrap_empty(const struct keeper *keeper)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        if (keeper->logs[g].members.n || log_last(&keeper->logs[g]) || keeper->logs[g].term)
            return 0;
    return 1;
}

/* The entry of a seed; NULL: the list is full. */
static struct bootstrap_peer *bootstrap_peer_of(struct keeper *keeper, int64_t addr)
{
    for (int64_t i = 0; i < keeper->n_bootstrap_peers; i++)
        if (keeper->bootstrap_peers[i].addr == addr)
            return &keeper->bootstrap_peers[i];
    if (keeper->n_bootstrap_peers == COUNT_OF(keeper->bootstrap_peers))
        return NULL;
    keeper->bootstrap_peers[keeper->n_bootstrap_peers] = (struct bootstrap_peer){.addr = addr};
    return &keeper->bootstrap_peers[keeper->n_bootstrap_peers++];
}

static int64_t lowest_seed(const struct keeper *keeper)
{
    int64_t lowest = 0;
    for (int64_t i = 0; i < keeper->n_seeds; i++)
        if (!lowest || keeper->seeds[i] < lowest)
            lowest = keeper->seeds[i];
    return lowest;
}

/* Saves the first voters before either log is bootstrapped, so a keeper that crashes between the two logs finishes the
 * bootstrap when it restarts. */
static int bootstrap_save(struct keeper *keeper, const struct log_members *members)
{
    return log_save_schema(keeper->world, "founding", &log_members_schema, members);
}

/* Bootstraps those logs that are still empty, by the saved list of first voters. */
void keeper_bootstrap_finish(struct keeper *keeper)
{
    struct log_members members = {0};
    if (!log_load_schema(keeper->world, "founding", &log_members_schema, &members)) {
        int ours = 0;
        for (int64_t i = 0; i < members.n; i++)
            ours |= members.members[i].id == keeper->id;
        for (int64_t g = 0; ours && g < GROUP_COUNT; g++)
            if (!log_last(&keeper->logs[g]) && !keeper->logs[g].term)
                log_bootstrap(&keeper->logs[g], &members);
    }
    schema_free(&log_members_schema, &members);
}

/* Bootstraps the logs if all seeds have reported empty logs within FRESH_MS. */
static void bootstrap_if_complete(struct keeper *keeper)
{
    struct log_members members = {0};
    int64_t now_ms = world_ms(keeper->world);
    *array_add(members.members, members.n) = (struct log_member){
        .id = keeper->id, .addr = (int64_t)keeper->world->self, .voter = 1, .zone = must_dup(keeper->zone)};
    for (int64_t i = 0; i < keeper->n_bootstrap_peers; i++) {
        struct bootstrap_peer *peer = &keeper->bootstrap_peers[i];
        if (peer->id && now_ms - peer->heard_ms < FRESH_MS)
            *array_add(members.members, members.n) =
                (struct log_member){.id = peer->id, .addr = peer->addr, .voter = 1, .zone = must_dup(peer->zone)};
    }
    if (members.n == keeper->n_seeds && !bootstrap_save(keeper, &members)) {
        keeper_bootstrap_finish(keeper);
        world_note(keeper->world, EV_FOUNDED, "keepers=%lld", (long long)members.n);
    }
    schema_free(&log_members_schema, &members);
}

void keeper_bootstrap_on_timer(struct keeper *keeper)
{
    int64_t now_ms = world_ms(keeper->world), self = (int64_t)keeper->world->self;
    struct bootstrap_status request = {.id = keeper->id, .empty = 1, .addr = self, .zone = keeper->zone};
    struct join join = {.id = keeper->id, .addr = self, .zone = keeper->zone};
    if (now_ms < keeper->bootstrap_due_ms ||
        (log_member(&keeper->logs[0], keeper->id) && log_member(&keeper->logs[1], keeper->id)))
        return;
    keeper->bootstrap_due_ms = now_ms + BOOTSTRAP_INTERVAL_MS;
    for (int64_t i = 0; i < keeper->n_seeds; i++) {
        if (keeper->seeds[i] == self)
            continue;
        if (keeper_bootstrap_empty(keeper) && self == lowest_seed(keeper))
            keeper_send(keeper, keeper->seeds[i], FRAME_BOOTSTRAP_STATUS_REQUEST, &bootstrap_status_schema, &request);
        keeper_send(keeper, keeper->seeds[i], FRAME_JOIN, &join_schema, &join);
    }
    for (int64_t i = 0; i < keeper->peers.n; i++) {
        const struct peer_info *info = &keeper->peers.all[i].info;
        if (info->role == ROLE_KEEPER && info->state != PEER_DEAD)
            keeper_send(keeper, info->addr, FRAME_JOIN, &join_schema, &join);
    }
    if (keeper_bootstrap_empty(keeper) && self == lowest_seed(keeper))
        bootstrap_if_complete(keeper);
}

void keeper_bootstrap_on_frame(struct keeper *keeper, const struct frame *frame)
{
    struct bootstrap_status status = {0};
    struct join join = {0};
    if (frame->kind == FRAME_JOIN) {
        if (!schema_unpack(&join_schema, &join, frame->body, frame->len))
            replace_on_join(keeper, &join);
        schema_free(&join_schema, &join);
        return;
    }
    if (schema_unpack(&bootstrap_status_schema, &status, frame->body, frame->len))
        return;
    if (frame->kind == FRAME_BOOTSTRAP_STATUS_REQUEST) {
        struct bootstrap_status reply = {.id = keeper->id,
                                         .empty = keeper_bootstrap_empty(keeper),
                                         .addr = (int64_t)keeper->world->self,
                                         .zone = keeper->zone};
        keeper_send(keeper, (int64_t)frame->from, FRAME_BOOTSTRAP_STATUS, &bootstrap_status_schema, &reply);
    } else {
        struct bootstrap_peer *peer = bootstrap_peer_of(keeper, (int64_t)frame->from);
        if (peer) {
            peer->id = status.empty ? status.id : 0; /* only keepers with empty logs can be first voters */
            peer->heard_ms = world_ms(keeper->world);
            free(peer->zone);
            peer->zone = must_dup(status.zone);
        }
    }
    schema_free(&bootstrap_status_schema, &status);
}
