/* Identity and bootstrap. Three empty keepers found the logs together, by the
 * word of the lowest seed; an empty keeper that comes later joins as learner. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "keeper/keeper.h"

enum { FOUND_MS = 300, FRESH_MS = 2000 };

static const struct field found_fields[] = {INT(found, id), INT(found, empty), INT(found, addr), STR(found, zone)};
SCHEMA(bootstrap_status_schema, found, found_fields);

/* Who this keeper is, for both logs. */
int found_identity(struct keeper *k) { return log_identity(k->w, k->cluster, &k->id); }

int found_empty(const struct keeper *k)
{
    for (int64_t g = 0; g < GROUP_COUNT; g++)
        if (k->logs[g].members.n || log_last(&k->logs[g]) || k->logs[g].term)
            return 0;
    return 1;
}

static struct founder *founder_of(struct keeper *k, int64_t addr)
{
    for (int64_t i = 0; i < k->n_founders; i++)
        if (k->founders[i].addr == addr)
            return &k->founders[i];
    if (k->n_founders == COUNT_OF(k->founders))
        return NULL;
    k->founders[k->n_founders] = (struct founder){.addr = addr};
    return &k->founders[k->n_founders++];
}

static int64_t lowest_seed(const struct keeper *k)
{
    int64_t lowest = 0;
    for (int64_t i = 0; i < k->n_seeds; i++)
        if (!lowest || k->seeds[i] < lowest)
            lowest = k->seeds[i];
    return lowest;
}

/* Bootstrap takes two logs; what was agreed is on disk before the first, so a
 * keeper that dies in between finishes it when it comes back. */
static int bootstrap_save(struct keeper *k, const struct log_members *members)
{
    return log_save_schema(k->w, "founding", &log_members_schema, members);
}

void found_finish(struct keeper *k)
{
    struct log_members members = {0};
    if (!log_load_schema(k->w, "founding", &log_members_schema, &members)) {
        int ours = 0;
        for (int64_t i = 0; i < members.n; i++)
            ours |= members.members[i].id == k->id;
        for (int64_t g = 0; ours && g < GROUP_COUNT; g++)
            if (!log_last(&k->logs[g]) && !k->logs[g].term)
                log_bootstrap(&k->logs[g], &members);
    }
    schema_free(&log_members_schema, &members);
}

static void found_now(struct keeper *k)
{
    struct log_members members = {0};
    int64_t now_ms = world_ms(k->w);
    *array_add(members.members, members.n) =
        (struct log_member){.id = k->id, .addr = (int64_t)k->w->self, .voter = 1, .zone = must_dup(k->zone)};
    for (int64_t i = 0; i < k->n_founders; i++) {
        struct founder *f = &k->founders[i];
        if (f->id && now_ms - f->heard_ms < FRESH_MS)
            *array_add(members.members, members.n) =
                (struct log_member){.id = f->id, .addr = f->addr, .voter = 1, .zone = must_dup(f->zone)};
    }
    if (members.n == k->n_seeds && !bootstrap_save(k, &members)) {
        found_finish(k);
        world_note(k->w, EV_FOUNDED, "keepers=%lld", (long long)members.n);
    }
    schema_free(&log_members_schema, &members);
}

void found_on_timer(struct keeper *k)
{
    int64_t now_ms = world_ms(k->w), self = (int64_t)k->w->self;
    struct found request = {.id = k->id, .empty = 1, .addr = self, .zone = k->zone};
    struct join join = {.id = k->id, .addr = self, .zone = k->zone};
    if (now_ms < k->found_due_ms || (log_member(&k->logs[0], k->id) && log_member(&k->logs[1], k->id)))
        return;
    k->found_due_ms = now_ms + FOUND_MS;
    for (int64_t i = 0; i < k->n_seeds; i++) {
        if (k->seeds[i] == self)
            continue;
        if (found_empty(k) && self == lowest_seed(k))
            keeper_send(k, k->seeds[i], FRAME_BOOTSTRAP_STATUS_REQUEST, &bootstrap_status_schema, &request);
        keeper_send(k, k->seeds[i], FRAME_JOIN, &join_schema, &join);
    }
    for (int64_t i = 0; i < k->peers.n; i++) {
        const struct peer_info *info = &k->peers.all[i].info;
        if (info->role == ROLE_KEEPER && info->state != PEER_DEAD)
            keeper_send(k, info->addr, FRAME_JOIN, &join_schema, &join);
    }
    if (found_empty(k) && self == lowest_seed(k))
        found_now(k);
}

void found_take(struct keeper *k, const struct frame *frame)
{
    struct found found = {0};
    struct join join = {0};
    if (frame->kind == FRAME_JOIN) {
        if (!schema_unpack(&join_schema, &join, frame->body, frame->len))
            replace_on_join(k, &join);
        schema_free(&join_schema, &join);
        return;
    }
    if (schema_unpack(&bootstrap_status_schema, &found, frame->body, frame->len))
        return;
    if (frame->kind == FRAME_BOOTSTRAP_STATUS_REQUEST) {
        struct found reply = {.id = k->id, .empty = found_empty(k), .addr = (int64_t)k->w->self, .zone = k->zone};
        keeper_send(k, (int64_t)frame->from, FRAME_BOOTSTRAP_STATUS, &bootstrap_status_schema, &reply);
    } else {
        struct founder *f = founder_of(k, (int64_t)frame->from);
        if (f) {
            f->id = found.empty ? found.id : 0; /* who holds something founds nothing */
            f->heard_ms = world_ms(k->w);
            free(f->zone);
            f->zone = must_dup(found.zone);
        }
    }
    schema_free(&bootstrap_status_schema, &found);
}
