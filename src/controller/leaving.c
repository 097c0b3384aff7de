/* Planned shutdown of a voter (FRAME_LEAVING). A voter that is asked to stop requests permission to end from the leader
 * every REQUEST_MS. The leader grants it to one voter at a time, once each other voter is heard and holds all entries
 * that were committed at the first request. After that first request the leader does not count acknowledgements of the
 * leaving voter for commits (log_exclude_from_commit()), so that no committed entry depends on a disk that is about to
 * be removed. */
#include "controller/controller_state.h"

enum {
    HEARD_MS = 500,  /* a voter that was heard within this time counts as running */
    TURN_MS = 1200,  /* time for a permitted voter to end; then the permission is void and another voter may ask */
    REQUEST_MS = 200 /* between two requests; a permission is valid for twice this time */
};

/* --- the leader -------------------------------------------------------------------- */

/* Calls check for each voter except the leaving one (id) and this leader. Returns 1 if all pass. */
static int others_pass(struct controller *controller, int64_t id,
                       int (*check)(struct controller *controller, const struct log_peer *peer))
{
    struct log *log = &controller->log;
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *member = &log->members.members[i];
        const struct log_peer *peer = log_peer(log, member->id);
        if (log_votes_after_change(member) && member->id != id && member->id != controller->id &&
            (!peer || !check(controller, peer)))
            return 0;
    }
    return 1;
}

static int heard_recently(struct controller *controller, const struct log_peer *peer)
{
    return world_ms(controller->w) - peer->heard_ms <= HEARD_MS;
}

static int holds_committed(struct controller *controller, const struct log_peer *peer)
{
    return peer->match >= controller->leaver.commit;
}

static int is_caught_up(struct controller *controller, const struct log_peer *peer)
{
    return log_caught_up(&controller->log, peer->id);
}

static int64_t count_others_heard(struct controller *controller)
{
    int64_t heard = 0;
    for (int64_t i = 0; i < controller->log.members.n; i++) {
        const struct log_member *member = &controller->log.members.members[i];
        const struct log_peer *peer = log_peer(&controller->log, member->id);
        heard +=
            log_votes_after_change(member) && member->id != controller->id && peer && heard_recently(controller, peer);
    }
    return heard;
}

/* A leader does not hand over while a voter is missing: the repair is done sooner by this leader, and a successor that
 * lacks one of its entries might not be elected without the missing voter. */
int leaving_may_hand_over(struct controller *controller, int urgent)
{
    const struct log *log = &controller->log;
    int all_ready = log->members_index <= log->commit && others_pass(controller, controller->id, heard_recently) &&
                    others_pass(controller, controller->id, is_caught_up);
    return all_ready || (urgent && count_others_heard(controller) >= log_majority(log));
}

/* Whether another voter may ask for permission to end now. */
static int turn_is_over(const struct controller *controller)
{
    const struct leaver *leaver = &controller->leaver;
    int64_t turn_start_ms = leaver->granted_ms ? leaver->granted_ms : leaver->since_ms;
    return !leaver->id || world_ms(controller->w) - turn_start_ms >= TURN_MS;
}

static void forget_leaver(struct controller *controller)
{
    controller->leaver = (struct leaver){0};
    log_exclude_from_commit(&controller->log, 0);
}

/* Handles a request for permission to end.
 * The vote of the leaver is not passed on to a learner: most controllers that are asked to stop are restarted with
 * their disk within a second. The other voters must hold the entries up to the commit index of the first request, not
 * up to the current one, which a slower voter never reaches under steady writes. */
static void on_request(struct controller *controller, int64_t from, int64_t id)
{
    struct log *log = &controller->log;
    struct leaving reply = {.id = id, .may_end = 1};
    int64_t now_ms = world_ms(controller->w);
    /* entries of earlier terms are known to be committed only once an entry of this leader's term is committed */
    if (!log_has_lease(log) || log_term_at(log, log->commit) != log->term ||
        !others_pass(controller, id, heard_recently))
        return;
    if (controller->leaver.id != id) {
        if (!turn_is_over(controller))
            return;
        controller->leaver = (struct leaver){.id = id, .commit = log->commit, .since_ms = now_ms};
        log_exclude_from_commit(log, id);
    }
    controller->leaver.asked_ms = now_ms;
    if (log->members_index > log->commit || !others_pass(controller, id, holds_committed))
        return;
    controller->leaver.granted_ms = now_ms;
    controller_send(controller, from, FRAME_LEAVING, &leaving_schema, &reply);
}

/* Forgets the leaver when this controller is not the leader any more, or when the leaver has no valid permission and
 * either has stopped asking or cannot be spared because another voter is missing. */
static void leaver_on_timer(struct controller *controller)
{
    const struct leaver *leaver = &controller->leaver;
    int64_t now_ms = world_ms(controller->w);
    if (!leaver->id)
        return;
    int granted = leaver->granted_ms && now_ms - leaver->granted_ms < TURN_MS;
    int waits = now_ms - leaver->asked_ms < TURN_MS && others_pass(controller, leaver->id, heard_recently);
    if (controller->log.role != LOG_LEADER || (!granted && !waits))
        forget_leaver(controller);
}

/* --- the voter that is asked to stop ------------------------------------------------ */

static void send_request(struct controller *controller)
{
    struct leaving request = {.id = controller->id};
    int64_t leader = directory_leader(&controller->directory), now_ms = world_ms(controller->w);
    if (now_ms < controller->next_leave_request_ms || !log_is_voter(&controller->log, controller->id))
        return;
    controller->next_leave_request_ms = now_ms + REQUEST_MS;
    if (leader && leader != (int64_t)controller->w->self)
        controller_send(controller, leader, FRAME_LEAVING, &leaving_schema, &request);
}

int leaving_may_end(const struct controller *controller)
{
    const struct log *log = &controller->log;
    if (!controller->votes || log->broken || !log_is_voter(log, controller->id) || log_majority(log) < 2)
        return 1;
    return controller->permission_ms && world_ms(controller->w) - controller->permission_ms < 2LL * REQUEST_MS;
}

/* --- both --------------------------------------------------------------------------- */

void leaving_on_message(struct controller *controller, int64_t from, const struct leaving *message)
{
    if (!message->may_end)
        on_request(controller, from, message->id);
    else if (message->id == controller->id)
        controller->permission_ms = world_ms(controller->w);
}

void leaving_on_timer(struct controller *controller)
{
    leaver_on_timer(controller);
    if (controller->leaving)
        send_request(controller);
}
