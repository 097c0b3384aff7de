// What must hold of changes of voters and of leaving, in every state the model reaches.
#include <algorithm>

#include "site.h"

namespace model
{

constexpr int64_t SILENCE = 2500;      /* ms unheard, and awake, before a leader may take a voter for gone */
constexpr int64_t HEARD = 500;         /* ms: a voter that was heard so lately is there */
constexpr int64_t LEAVERS_TURN = 1200; /* ms before another voter may be told that it may end */

constexpr int64_t NO_MEMBER = -1;

static bool votes_now(int64_t right) { return right == LOG_VOTER || right == LOG_INCOMING_VOTER; }

/* Notes what the leader had committed as each of its last two rounds of heartbeats began. */
void Site::note_round(Node &n)
{
    if (n.lead.term != n.log.term)
        n.lead = {n.log.term, 0, 0, 0};
    if (n.lead.round == n.log.round)
        return;
    n.lead.round = n.log.round;
    n.lead.former_commit = n.lead.commit;
    n.lead.commit = n.log.commit;
}

/* A vote goes to a member whose disk holds what was committed as the round before the newest began. */
void Site::check_vote_given(const Node &n, int64_t id)
{
    int slot = slot_of(id);
    if (slot < 0)
        return; /* its disk went since it spoke */
    const Node::Lasting &lasting = own(slot).after_power_loss();
    if (n.lead.term != n.log.term || !n.lead.former_commit)
        return say("node %d gives a vote before two rounds of its own term", n.at);
    for (int64_t index = 1; index <= std::min(n.lead.former_commit, (int64_t)commits_.size()); index++)
        if (!lasting.holds(index, commits_[(size_t)index - 1].term))
            return say("a vote passes to node %d, which lacks the committed entry %lld", slot, (long long)index);
}

/* A vote is taken, or a learner removed, only if it was silent while the leader was awake, or if its address has a new
 * identity. */
void Site::check_taken_for_gone(const Node &n, int64_t id)
{
    int slot = slot_of(id);
    if (slot < 0)
        return;
    if (slot == n.at)
        say("node %d takes itself for gone", n.at);
    else if (clock(n) - n.awake_since <= SILENCE)
        say("node %d takes node %d for gone, awake for %lld ms", n.at, slot, (long long)(clock(n) - n.awake_since));
    else if (clock(n) - n.heard[slot] <= SILENCE)
        say("node %d takes node %d for gone, heard %lld ms ago", n.at, slot, (long long)(clock(n) - n.heard[slot]));
}

/* From one right to another: is a vote lost, or a learner removed? That the former voter of an exchange goes is not. */
static bool lowered(int64_t from, int64_t to)
{
    return (votes_now(from) && !votes_now(to)) || (from == LOG_LEARNER && to == NO_MEMBER);
}

static int64_t right_of(const std::vector<std::pair<int64_t, int64_t>> &rights, int64_t id)
{
    for (auto &right : rights)
        if (right.first == id)
            return right.second;
    return NO_MEMBER;
}

/* At a leader that just proposed a change, and of the changes that it holds. */
void Site::check_membership(Node &n)
{
    const struct log *log = &n.log;
    std::vector<std::pair<int64_t, int64_t>> rights;
    for (int64_t i = 0; i < log->members.n; i++)
        rights.emplace_back(log->members.members[i].id, log->members.members[i].voter);
    bool proposed = log->role == LOG_LEADER && log->members_index > n.members_index &&
                    log_term_at(log, log->members_index) == log->term;
    for (auto &right : rights)
        if (proposed && votes_now(right.second) && !votes_now(right_of(n.rights, right.first)))
            check_vote_given(n, right.first);
    for (auto &right : n.rights)
        if (proposed && lowered(right.second, right_of(rights, right.first)))
            check_taken_for_gone(n, right.first);
    n.rights = rights;
    n.members_index = log->members_index;
    int64_t changes = 0;
    for (int64_t i = 0; i < log->n_entries && log->role == LOG_LEADER; i++)
        changes += log->entries[i].kind == ENTRY_MEMBERS && log->first_index + i > (int64_t)commits_.size();
    if (changes > 1)
        say("node %d has %lld changes of members under way", n.at, (long long)changes);
}

/* Without the voter that is told that it may end, all that is committed is on a majority of disks. */
void Site::check_may_end(const Node &n, int64_t leaver)
{
    const struct log *log = &n.log;
    for (const ToldToEnd &told : told_to_end_)
        if (told.id != leaver && now_ - told.at < LEAVERS_TURN)
            say("node %d tells a second voter that it may end", n.at);
    told_to_end_.push_back({leaver, now_});
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        int slot = slot_of(m->id);
        if (votes_now(m->voter) && m->id != leaver && slot >= 0 && slot != n.at && clock(n) - n.heard[slot] > HEARD)
            say("node %d lets a voter end while node %d is unheard", n.at, slot);
    }
    for (size_t k = 0; k < commits_.size(); k++) {
        int64_t have = 0;
        for (int64_t i = 0; i < log->members.n; i++) {
            const struct log_member *m = &log->members.members[i];
            int slot = slot_of(m->id);
            have += votes_now(m->voter) && m->id != leaver && slot >= 0 &&
                    own(slot).after_power_loss().holds((int64_t)k + 1, commits_[k].term);
        }
        if (have < log_majority(log))
            return say("node %d lets a voter end that a majority needs for entry %lld", n.at, (long long)k + 1);
    }
}
} // namespace model
