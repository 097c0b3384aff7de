/* Planned shutdown of a voter (FRAME_LEAVING). A voter that is asked to stop requests permission from the leader every
 * LEAVING_MS; the leader grants it to one voter at a time, once every other voter is heard and holds all committed
 * entries. From the first request on the leader commits nothing by the acknowledgement of the leaving voter
 * (log_exclude_from_commit()), so that no committed entry depends on a disk that is about to go away. */
#include "controller/controller_state.h"

enum {
    HEARD_MS = 500,  /* a voter that was heard so lately is there */
    TURN_MS = 1200,  /* by then a voter that may end has ended, or its permission is void; then others may ask */
    LEAVING_MS = 200 /* between two requests; a permission holds for twice that */
};

/* --- the leader -------------------------------------------------------------------- */

/* Calls check for every voter but the leaving one and this leader. Returns 1 if all pass. */
static int others_pass(struct controller *c, int64_t id,
                       int (*check)(struct controller *c, const struct log_peer *peer))
{
    struct log *log = &c->log;
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        const struct log_peer *peer = log_peer(log, m->id);
        if (log_votes_after_change(m) && m->id != id && m->id != c->id && (!peer || !check(c, peer)))
            return 0;
    }
    return 1;
}

static int is_heard(struct controller *c, const struct log_peer *peer)
{
    return world_ms(c->w) - peer->heard_ms <= HEARD_MS;
}

static int holds_committed(struct controller *c, const struct log_peer *peer)
{
    return peer->match >= c->leaver.commit;
}

static int is_caught_up(struct controller *c, const struct log_peer *peer) { return log_caught_up(&c->log, peer->id); }

static int64_t others_heard(struct controller *c)
{
    int64_t heard = 0;
    for (int64_t i = 0; i < c->log.members.n; i++) {
        const struct log_member *m = &c->log.members.members[i];
        const struct log_peer *peer = log_peer(&c->log, m->id);
        heard += log_votes_after_change(m) && m->id != c->id && peer && is_heard(c, peer);
    }
    return heard;
}

/* While a voter is missing the leader goes on leading: a repair is done sooner, and a successor that lacks an entry
 * of ours could not be elected without the one that is missing. */
int leaving_may_hand_over(struct controller *c, int in_haste)
{
    const struct log *log = &c->log;
    int whole =
        log->members_index <= log->commit && others_pass(c, c->id, is_heard) && others_pass(c, c->id, is_caught_up);
    return whole || (in_haste && others_heard(c) >= log_majority(log));
}

/* May another voter take the place of the one that asked before it? */
static int turn_is_over(const struct controller *c)
{
    const struct leaver *leaver = &c->leaver;
    int64_t from_ms = leaver->granted_ms ? leaver->granted_ms : leaver->since_ms;
    return !leaver->id || world_ms(c->w) - from_ms >= TURN_MS;
}

static void forget_leaver(struct controller *c)
{
    c->leaver = (struct leaver){0};
    log_exclude_from_commit(&c->log, 0);
}

/* Weighed: a leaver's vote passed on at once; but most that are asked to stop are back within a second, disk and all.
 * Weighed: no grant while any other voter's match is below commit; under steady writes a slower voter's always is. */
static void on_request(struct controller *c, int64_t from, int64_t id)
{
    struct log *log = &c->log;
    struct leaving reply = {.id = id, .may_end = 1};
    int64_t now_ms = world_ms(c->w);
    /* what former leaders committed is known to be committed once an entry of the own term is */
    if (!log_has_lease(log) || log_term_at(log, log->commit) != log->term || !others_pass(c, id, is_heard))
        return;
    if (c->leaver.id != id) {
        if (!turn_is_over(c))
            return;
        c->leaver = (struct leaver){.id = id, .commit = log->commit, .since_ms = now_ms};
        log_exclude_from_commit(log, id);
    }
    c->leaver.asked_ms = now_ms;
    if (log->members_index > log->commit || !others_pass(c, id, holds_committed))
        return;
    c->leaver.granted_ms = now_ms;
    controller_send(c, from, FRAME_LEAVING, &leaving_schema, &reply);
}

/* Until the leaver has ended, or cannot: it asks no more, or another voter is missing and the log needs it. */
static void leaver_on_timer(struct controller *c)
{
    const struct leaver *leaver = &c->leaver;
    int64_t now_ms = world_ms(c->w);
    if (!leaver->id)
        return;
    int granted = leaver->granted_ms && now_ms - leaver->granted_ms < TURN_MS;
    int waits = now_ms - leaver->asked_ms < TURN_MS && others_pass(c, leaver->id, is_heard);
    if (c->log.role != LOG_LEADER || (!granted && !waits))
        forget_leaver(c);
}

/* --- the voter that is asked to stop ------------------------------------------------ */

static void send_request(struct controller *c)
{
    struct leaving request = {.id = c->id};
    int64_t leader = directory_leader(&c->directory), now_ms = world_ms(c->w);
    if (now_ms < c->next_leave_request_ms || !log_is_voter(&c->log, c->id))
        return;
    c->next_leave_request_ms = now_ms + LEAVING_MS;
    if (leader && leader != (int64_t)c->w->self)
        controller_send(c, leader, FRAME_LEAVING, &leaving_schema, &request);
}

int leaving_may_end(const struct controller *c)
{
    const struct log *log = &c->log;
    if (!c->votes || log->broken || !log_is_voter(log, c->id) || log_majority(log) < 2)
        return 1;
    return c->permission_ms && world_ms(c->w) - c->permission_ms < 2LL * LEAVING_MS;
}

/* --- both --------------------------------------------------------------------------- */

void leaving_on_message(struct controller *c, int64_t from, const struct leaving *message)
{
    if (!message->may_end)
        on_request(c, from, message->id);
    else if (message->id == c->id)
        c->permission_ms = world_ms(c->w);
}

void leaving_on_timer(struct controller *c)
{
    leaver_on_timer(c);
    if (c->leaving)
        send_request(c);
}
