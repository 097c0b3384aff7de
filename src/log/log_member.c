/* Members: voters, quorums, and changes of one member or one exchange at a time. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "log/log.h"

const struct log_member *log_member(const struct log *log, int64_t id)
{
    for (int64_t i = 0; i < log->members.n; i++)
        if (log->members.members[i].id == id)
            return &log->members.members[i];
    return NULL;
}

/* Whether the newest change of members is not yet known to be committed. */
static int change_uncommitted(const struct log *log) { return log->members_index > log->commit; }

int log_is_voter(const struct log *log, int64_t id)
{
    const struct log_member *member = log_member(log, id);
    return member &&
           (log_votes_after_change(member) || (member->voter == LOG_OUTGOING_VOTER && change_uncommitted(log)));
}

int64_t log_majority(const struct log *log)
{
    int64_t voters = 0;
    for (int64_t i = 0; i < log->members.n; i++)
        voters += log_votes_after_change(&log->members.members[i]);
    return voters / 2 + 1;
}

int log_quorum(const struct log *log, int (*has)(const struct log *log, int64_t id, int64_t x), int64_t x)
{
    int64_t n = 0, former_voters = 0, n_former = 0;
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        int was_voter = m->voter == LOG_VOTER || m->voter == LOG_OUTGOING_VOTER, is_voter = log_votes_after_change(m);
        int yes = (was_voter || is_voter) && has(log, m->id, x);
        n += is_voter && yes;
        former_voters += was_voter;
        n_former += was_voter && yes;
    }
    return log->members.n && n >= log_majority(log) && (!change_uncommitted(log) || n_former >= former_voters / 2 + 1);
}

struct log_peer *log_peer(struct log *log, int64_t id)
{
    for (int64_t i = 0; i < log->n_peers; i++)
        if (log->peers[i].id == id)
            return &log->peers[i];
    return NULL;
}

void log_members_refresh(struct log *log)
{
    struct log_members members = {0};
    int64_t k = log->n_entries - 1;
    while (k >= 0 && (log->entries[k].kind != ENTRY_MEMBERS || log->first_index + k <= log->snapshot_index))
        k--;
    if (k >= 0 && !schema_unpack(&log_members_schema, &members, log->entries[k].body.at, log->entries[k].body.len)) {
        log->members_index = log->first_index + k;
    } else {
        schema_copy(&log_members_schema, &members, &log->snapshot_members);
        log->members_index = log->snapshot_index;
    }
    schema_free(&log_members_schema, &log->members);
    log->members = members;
    for (int64_t i = 0; i < log->members.n; i++)
        if (!log_peer(log, log->members.members[i].id))
            *array_add(log->peers, log->n_peers) = (struct log_peer){.id = log->members.members[i].id,
                                                                     .next = log_last(log) + 1,
                                                                     .in_flight_base = log_last(log),
                                                                     .heard_ms = world_ms(log->w)};
    for (int64_t i = 0; i < log->n_peers; i++)
        if (!log_member(log, log->peers[i].id))
            log->peers[i--] = log->peers[--log->n_peers];
}

/* A change is allowed only once the previous change and an entry of this leader's own term are committed: then each
 * majority before the change shares a voter with each majority after it. */
static int may_change(const struct log *log)
{
    if (log->role != LOG_LEADER)
        return ERROR_NOT_LEADER;
    return log->members_index > log->commit || log_term_at(log, log->commit) != log->term ? ERROR_OVERLOAD : ERROR_NONE;
}

static void propose_members(struct log *log, struct log_members *next)
{
    struct bytes body = {0};
    schema_pack(&log_members_schema, next, &body);
    log_propose(log, ENTRY_MEMBERS, &body, NULL, NULL, 0);
    bytes_free(&body);
    schema_free(&log_members_schema, next);
}

static void remove_member(struct log_members *members, int64_t i)
{
    free(members->members[i].zone);
    members->members[i] = members->members[--members->n];
}

/* Removes and adds a voter in one change. This is safe because the disk of the former voter is permanently lost: its
 * address replies under the new identity, so the former one never votes again. Majorities of the former voters are
 * therefore majorities of the remaining ones, and each shares a voter with every majority of the new voters. With two
 * separate changes there would be four voters for a moment, one of them dead, and one more loss at that moment would
 * stop the log permanently. */
int log_replace(struct log *log, int64_t former_id, int64_t new_id)
{
    struct log_members next = {0};
    int rc = may_change(log);
    if (rc)
        return rc;
    schema_copy(&log_members_schema, &next, &log->members);
    for (int64_t i = 0; i < next.n; i++) {
        if (next.members[i].id == new_id)
            next.members[i].voter = LOG_VOTER;
        if (next.members[i].id == former_id)
            remove_member(&next, i--);
    }
    world_note(log->w, EV_MEMBER_CHANGE, "log=%s gone=%llx fresh=%llx", log->name, (unsigned long long)former_id,
               (unsigned long long)new_id);
    propose_members(log, &next);
    return ERROR_NONE;
}

/* Passes the vote of a voter that may still return to another member, by one entry. The entry is committed by a
 * majority of the former voters and a majority of the new ones; after that only the new ones count. A former voter that
 * missed the exchange cannot win an election, because each majority of the former voters contains one that has the
 * entry. The alternative, two separate changes, has four voters for a while, when one more loss stops the log although
 * two of the three intended voters are alive. */
int log_exchange(struct log *log, int64_t former_id, int64_t new_id)
{
    struct log_members next = {0};
    int rc = may_change(log);
    if (rc)
        return rc;
    schema_copy(&log_members_schema, &next, &log->members);
    for (int64_t i = 0; i < next.n; i++) {
        struct log_member *m = &next.members[i];
        m->voter = m->id == former_id ? LOG_OUTGOING_VOTER : m->id == new_id ? LOG_INCOMING_VOTER : m->voter;
    }
    world_note(log->w, EV_MEMBER_CHANGE, "log=%s exchanged=%llx fresh=%llx", log->name, (unsigned long long)former_id,
               (unsigned long long)new_id);
    propose_members(log, &next);
    return ERROR_NONE;
}

int log_finish_exchange(struct log *log)
{
    struct log_members next = {0};
    int exchanging = 0, rc = may_change(log);
    for (int64_t i = 0; i < log->members.n; i++)
        exchanging |= log->members.members[i].voter > LOG_VOTER;
    if (!exchanging || rc)
        return exchanging ? rc : ERROR_NOT_FOUND;
    schema_copy(&log_members_schema, &next, &log->members);
    for (int64_t i = 0; i < next.n; i++) {
        if (next.members[i].voter == LOG_INCOMING_VOTER)
            next.members[i].voter = LOG_VOTER;
        if (next.members[i].voter == LOG_OUTGOING_VOTER)
            remove_member(&next, i--);
    }
    propose_members(log, &next);
    return ERROR_NONE;
}

int log_change_member(struct log *log, int64_t id, int64_t addr, const char *zone, int voter, int remove)
{
    struct log_members next = {0};
    int rc = may_change(log);
    if (rc)
        return rc;
    schema_copy(&log_members_schema, &next, &log->members);
    int64_t i = 0;
    while (i < next.n && next.members[i].id != id)
        i++;
    if (remove && i < next.n) {
        remove_member(&next, i);
    } else if (!remove && i < next.n) {
        next.members[i].voter = voter;
    } else if (!remove) {
        struct log_member *member = array_add(next.members, next.n);
        *member = (struct log_member){.id = id, .addr = addr, .voter = voter, .zone = must_dup(zone)};
    }
    world_note(log->w, EV_MEMBER_CHANGE, "log=%s id=%llx voter=%d gone=%d", log->name, (unsigned long long)id, voter,
               remove);
    propose_members(log, &next);
    return ERROR_NONE;
}
