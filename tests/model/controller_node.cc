// A node that is a controller: the production ballot, bootstrap, members and log, called in the same order as by
// controller.c. Dispatch, the relay of requests and the directory's search for a leader are left out.
#include <algorithm>
#include <cstdlib>
#include <cstring>

#include "model_cluster.h"

namespace model
{

constexpr int64_t LONGEST_WAIT_MS = 6000; /* longer than every wait of ballot.c, bootstrap.c and members.c */
constexpr int64_t PAUSE_MS = 500;         /* after a longer pause between two timers, missing frames prove nothing */
constexpr int64_t HAND_OVER_MS = 1000;    /* a leader that handed over becomes a follower after this time */
constexpr int64_t GRACE_MS = 60000;       /* longer than every run */

uint64_t list_hash(const struct log_members &list)
{
    uint64_t h = 0;
    for (int64_t i = 0; i < list.n; i++)
        h = hash_mix(h + 1, hash_mix((uint64_t)list.members[i].id, (uint64_t)list.members[i].voter));
    return h;
}

/* --- start, stop and copy ------------------------------------------------------------------ */

/* Mirrors controller_new() and open_log(). */
int Node::load_controller(bool first_start)
{
    const std::string own_zone =
        number < (int)strlen(controller_setup->zones) ? std::string(1, controller_setup->zones[number]) : "a";
    int rc = ERROR_NONE;
    controller = {};
    controller.w = &world;
    controller.cluster = CLUSTER;
    controller.zone = must_dup(own_zone.c_str());
    controller.votes = has_disk();
    controller.setup.disk = has_disk();
    controller.setup.first_start = first_start;
    controller.setup.machines_lost = 1;
    controller.setup.grace_ms = GRACE_MS;
    for (int i = 0; i < controller_setup->seeds; i++)
        controller.seeds[controller.n_seeds++] = (int64_t)(ADDR + ADDR_STEP * (uint64_t)i);
    directory_start(&controller.directory, &world, CLUSTER, NULL, 0, 1, controller.votes, 0);
    up = true;
    heartbeat_round = {};
    member_kinds.clear();
    members_index = 0;
    last_timer_ms = awake_since_ms = world_ms(&world);
    if (has_disk()) {
        controller.id = id;
        rc = load();
        if (!rc && !controller_empty(&controller))
            log.no_vote_before_ms = world_ms(&world) + ELECTION_MS;
    }
    return rc ? rc : bootstrap_load(&controller);
}

void Node::unload()
{
    if (runs_log())
        log_end(&log);
    if (up && controller_setup) {
        bootstrap_end(&controller);
        members_end(&controller);
        free(controller.zone);
    }
    up = false;
    controller = {};
}

template <typename T> static void copy_schema(const struct schema *schema, T *to, const T *from)
{
    *to = {};
    schema_copy(schema, to, from);
}

/* Copies all that bootstrap and membership own. A new pointer in struct controller must be copied here. */
void Node::copy_controller(const Node &other)
{
    static_assert(sizeof(struct controller) == 6232,
                  "struct controller has changed: copy here what it owns, then update the size");
    const struct controller &from = other.controller;
    controller = from;
    controller.w = &world;
    controller.directory.w = &world;
    controller.zone = must_dup(from.zone);
    copy_schema(&log_members_schema, &controller.bootstrap_members, &from.bootstrap_members);
    copy_schema(&log_members_schema, &controller.chosen_members, &from.chosen_members);
    copy_schema(&acceptor_schema, &controller.acceptor, &from.acceptor);
    copy_schema(&log_members_schema, &controller.proposer.members, &from.proposer.members);
    controller.candidates = nullptr;
    if (from.n_candidates)
        controller.candidates =
            static_cast<struct bootstrap_candidate *>(must_alloc(sizeof *from.candidates * (size_t)from.n_candidates));
    for (int64_t i = 0; i < from.n_candidates; i++) {
        controller.candidates[i].heard_ms = from.candidates[i].heard_ms;
        copy_schema(&bootstrap_announcement_schema, &controller.candidates[i].announced, &from.candidates[i].announced);
    }
    for (int64_t i = 0; i < from.n_join_requests; i++)
        copy_schema(&join_schema, &controller.join_requests[i].join, &from.join_requests[i].join);
}

/* For after_power_loss(): reads the files of the acceptor and the bootstrapped list. */
void Node::read_bootstrap_files()
{
    struct acceptor acceptor = {};
    struct log_members list = {};
    durable = {};
    if (!log_load_schema(&world, "founding-ballot", &acceptor_schema, &acceptor)) {
        durable.promised = acceptor.promised;
        durable.accepted = acceptor.accepted;
        durable.accepted_list = list_hash(acceptor.members);
    }
    if (!log_load_schema(&world, "founding", &log_members_schema, &list))
        durable.bootstrap_list = list_hash(list);
    schema_free(&acceptor_schema, &acceptor);
    schema_free(&log_members_schema, &list);
}

/* --- frames and timers --------------------------------------------------------------------- */

/* Mirrors how apply_log_role() updates the directory. */
void Node::learn_leader()
{
    if (!runs_log())
        return;
    if (log.role == LOG_LEADER && log_has_lease(&log))
        directory_learn_leader(&controller.directory, log.term, (int64_t)world.self);
    else if (controller.directory.leader == (int64_t)world.self)
        directory_suspect_leader(&controller.directory);
    if (log.role != LOG_LEADER && log.leader_addr && log.leader_addr != (int64_t)world.self && log.heard_leader_ms &&
        world_ms(&world) - log.heard_leader_ms < 2 * TIMER_MS)
        directory_learn_leader(&controller.directory, log.term, log.leader_addr);
}

/* Mirrors controller_on_frame(). */
int Node::on_frame(const struct frame *frame)
{
    if (!controller_setup)
        return log_on_frame(&log, frame);
    if (frame_is_for_log(frame->kind)) {
        int rc = runs_log() ? log_on_frame(&log, frame) : ERROR_NONE;
        learn_leader();
        return rc;
    }
    if (frame->kind == FRAME_JOIN) {
        struct join join = {};
        if (runs_log() && log.role == LOG_LEADER && !schema_unpack(&join_schema, &join, frame->body, frame->len))
            members_on_join(&controller, &join);
        schema_free(&join_schema, &join);
    } else if (frame->kind == FRAME_LEAVING) {
        struct leaving said = {};
        if (runs_log() && !schema_unpack(&leaving_schema, &said, frame->body, frame->len))
            leaving_on_message(&controller, (int64_t)frame->from, &said);
        schema_free(&leaving_schema, &said);
    } else {
        bootstrap_on_frame(&controller, frame);
    }
    return ERROR_NONE;
}

/* Mirrors controller_on_timer(). */
void Node::on_timer()
{
    if (!controller_setup) {
        log_on_timer(&log);
        return;
    }
    int64_t now = world_ms(&world);
    if (now - last_timer_ms > PAUSE_MS)
        awake_since_ms = now;
    last_timer_ms = now;
    if (runs_log()) {
        log_on_timer(&log);
        leave_on_timer();
        learn_leader();
    }
    bootstrap_on_timer(&controller);
    if (runs_log()) {
        members_on_timer(&controller);
        leaving_on_timer(&controller);
    }
}

/* Mirrors defer_election() of controller.c. */
void Node::defer_election()
{
    int64_t now = world_ms(&world);
    int64_t since = std::max({controller.leave_ms, log.heard_leader_ms, log.handed_over_ms});
    if (now - since < 2 * ELECTION_MS && log.election_due_ms < now + ELECTION_MS)
        log.election_due_ms = now + ELECTION_MS;
}

/* Mirrors leave_on_timer() of controller.c, except that a leader never hands over because the grace period ends:
 * GRACE_MS is longer than every run. */
void Node::leave_on_timer()
{
    int64_t now = world_ms(&world);
    if (log.role == LOG_LEADER && log.handed_over_ms && now - log.handed_over_ms > HAND_OVER_MS)
        log_become_follower(&log, log.term, 0);
    if (!controller.leaving)
        return;
    if (log.role == LOG_LEADER && !log.handed_over_ms && now >= controller.next_hand_over_ms &&
        leaving_may_hand_over(&controller, 0)) {
        controller.next_hand_over_ms = now + TIMER_MS;
        log_hand_over(&log);
    } else if (log.role == LOG_FOLLOWER) {
        defer_election();
    }
}

/* --- hash of a controller --------------------------------------------------------------------- */

uint64_t Node::controller_hash(int64_t clock) const
{
    const struct controller &c = controller;
    auto age = [clock](int64_t ms) { return ms ? (uint64_t)std::min(clock - ms, LONGEST_WAIT_MS) : UINT64_MAX; };
    auto left = [clock](int64_t ms) { return (uint64_t)std::max<int64_t>(ms - clock, 0); };
    const uint64_t numbers[] = {(uint64_t)c.may_bootstrap,
                                (uint64_t)c.acceptor.promised,
                                (uint64_t)c.acceptor.accepted,
                                list_hash(c.acceptor.members),
                                (uint64_t)c.proposer.ballot,
                                (uint64_t)c.proposer.phase,
                                (uint64_t)c.proposer.agreed,
                                (uint64_t)c.proposer.best_accepted,
                                (uint64_t)c.proposer.highest_promised,
                                list_hash(c.proposer.members),
                                age(c.proposer.heard_ms),
                                (uint64_t)std::max<int64_t>(c.proposer.start_ms - clock, -LONGEST_WAIT_MS),
                                list_hash(c.bootstrap_members),
                                list_hash(c.chosen_members),
                                age(c.first_candidate_ms),
                                age(c.newest_candidate_ms),
                                age(c.bootstrapped_ms),
                                left(c.next_bootstrap_ms),
                                (uint64_t)c.directory.term,
                                (uint64_t)c.directory.leader,
                                (uint64_t)c.directory.leader_suspected,
                                (uint64_t)c.leaving,
                                (uint64_t)c.leaver.id,
                                (uint64_t)c.leaver.commit,
                                age(c.leaver.since_ms),
                                age(c.leaver.asked_ms),
                                age(c.leaver.granted_ms),
                                c.leaving ? age(c.leave_ms) : 0,
                                left(c.next_hand_over_ms),
                                has_disk() ? age(log.handed_over_ms) : 0,
                                age(c.permission_ms),
                                left(c.next_leave_request_ms),
                                left(c.next_join_ms),
                                left(c.next_step_ms),
                                age(awake_since_ms),
                                age(last_timer_ms),
                                (uint64_t)frozen};
    uint64_t h = hash_bytes(numbers, sizeof numbers, 0);
    for (int64_t i = 0; i < c.n_candidates; i++) {
        const struct bootstrap_announcement &said = c.candidates[i].announced;
        h = hash_mix(h, (uint64_t)(said.id + said.empty) + list_hash(said.members));
        h = hash_mix(h, age(c.candidates[i].heard_ms));
    }
    for (int64_t ms : last_reply_ms)
        h = hash_mix(h, age(ms));
    for (int64_t i = 0; i < c.n_join_requests; i++)
        h = hash_mix(h, hash_mix((uint64_t)c.join_requests[i].join.id, age(c.join_requests[i].heard_ms)));
    return h;
}
} // namespace model
