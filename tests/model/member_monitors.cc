// Invariants of membership changes and of planned shutdowns that hold in every state of the model.
#include <algorithm>

#include "model_cluster.h"

namespace model
{

constexpr int64_t SILENCE_MS = 2500;        /* without replies, and awake, before a leader may declare a voter lost */
constexpr int64_t HEARD_MS = 500;           /* a voter that replied this recently is alive */
constexpr int64_t LEAVE_INTERVAL_MS = 1200; /* before another voter may be permitted to stop */

constexpr int64_t NO_MEMBER = -1;

static bool is_voter(int64_t right) { return right == LOG_VOTER || right == LOG_INCOMING_VOTER; }

/* Records the leader's commit index at the start of its last two heartbeat rounds. */
void Cluster::record_round(Node &node)
{
    if (node.heartbeat_round.term != node.log.term)
        node.heartbeat_round = {node.log.term, 0, 0, 0};
    if (node.heartbeat_round.round == node.log.round)
        return;
    node.heartbeat_round.round = node.log.round;
    node.heartbeat_round.previous_commit = node.heartbeat_round.commit;
    node.heartbeat_round.commit = node.log.commit;
}

/* A member that becomes a voter must have on disk all that was committed when the round before the newest began. */
void Cluster::check_vote_passed(const Node &node, int64_t id)
{
    int number = number_of(id);
    if (number < 0)
        return; /* its disk was lost since its last frame */
    const Node::Durable &durable = mutable_node(number).after_power_loss();
    if (node.heartbeat_round.term != node.log.term || !node.heartbeat_round.previous_commit)
        return report_violation("node %d gives a vote before two rounds of its own term", node.number);
    for (int64_t index = 1; index <= std::min(node.heartbeat_round.previous_commit, (int64_t)commits_.size()); index++)
        if (!durable.holds(index, commits_[(size_t)index - 1].term))
            return report_violation("a vote passes to node %d, which lacks the committed entry %lld", number,
                                    (long long)index);
}

/* A voter loses its vote, or a learner is removed, only if it did not reply for a time during which the leader was
 * awake, or if its address has a new identity. */
void Cluster::check_declared_lost(const Node &node, int64_t id)
{
    int number = number_of(id);
    if (number < 0)
        return;
    if (number == node.number)
        report_violation("node %d takes itself for gone", node.number);
    else if (clock(node) - node.awake_since_ms <= SILENCE_MS)
        report_violation("node %d takes node %d for gone, awake for %lld ms", node.number, number,
                         (long long)(clock(node) - node.awake_since_ms));
    else if (clock(node) - node.last_reply_ms[number] <= SILENCE_MS)
        report_violation("node %d takes node %d for gone, heard %lld ms ago", node.number, number,
                         (long long)(clock(node) - node.last_reply_ms[number]));
}

/* Whether a change of kind takes a vote or removes a learner. The removal of an outgoing voter does neither. */
static bool loses_vote_or_membership(int64_t from, int64_t to)
{
    return (is_voter(from) && !is_voter(to)) || (from == LOG_LEARNER && to == NO_MEMBER);
}

static int64_t kind_of(const std::vector<std::pair<int64_t, int64_t>> &member_kinds, int64_t id)
{
    for (auto &right : member_kinds)
        if (right.first == id)
            return right.second;
    return NO_MEMBER;
}

/* Checks a leader that just proposed a change, and that at most one change in its log is uncommitted. */
void Cluster::check_membership(Node &node)
{
    const struct log *log = &node.log;
    std::vector<std::pair<int64_t, int64_t>> member_kinds;
    for (int64_t i = 0; i < log->members.n; i++)
        member_kinds.emplace_back(log->members.members[i].id, log->members.members[i].voter);
    bool proposed = log->role == LOG_LEADER && log->members_index > node.members_index &&
                    log_term_at(log, log->members_index) == log->term;
    for (auto &right : member_kinds)
        if (proposed && is_voter(right.second) && !is_voter(kind_of(node.member_kinds, right.first)))
            check_vote_passed(node, right.first);
    for (auto &right : node.member_kinds)
        if (proposed && loses_vote_or_membership(right.second, kind_of(member_kinds, right.first)))
            check_declared_lost(node, right.first);
    node.member_kinds = member_kinds;
    node.members_index = log->members_index;
    int64_t changes = 0;
    for (int64_t i = 0; i < log->n_entries && log->role == LOG_LEADER; i++)
        changes += log->entries[i].kind == ENTRY_MEMBERS && log->first_index + i > (int64_t)commits_.size();
    if (changes > 1)
        report_violation("node %d has %lld uncommitted changes of members", node.number, (long long)changes);
}

/* Without a voter that is permitted to stop, all committed entries must be on a majority of disks. */
void Cluster::check_stop_permit(const Node &node, int64_t leaver)
{
    const struct log *log = &node.log;
    for (const StopPermit &told : stop_permits_)
        if (told.id != leaver && now_ - told.at_ms < LEAVE_INTERVAL_MS)
            report_violation("node %d permits a second voter to stop", node.number);
    stop_permits_.push_back({leaver, now_});
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        int number = number_of(m->id);
        if (is_voter(m->voter) && m->id != leaver && number >= 0 && number != node.number &&
            clock(node) - node.last_reply_ms[number] > HEARD_MS)
            report_violation("node %d permits a voter to stop while node %d does not reply", node.number, number);
    }
    for (size_t k = 0; k < commits_.size(); k++) {
        int64_t have = 0;
        for (int64_t i = 0; i < log->members.n; i++) {
            const struct log_member *m = &log->members.members[i];
            int number = number_of(m->id);
            have += is_voter(m->voter) && m->id != leaver && number >= 0 &&
                    mutable_node(number).after_power_loss().holds((int64_t)k + 1, commits_[k].term);
        }
        if (have < log_majority(log))
            return report_violation("node %d permits a voter to stop that a majority needs for entry %lld", node.number,
                                    (long long)k + 1);
    }
}
} // namespace model
