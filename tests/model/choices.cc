// The choices that are possible in a state of the model, and their text form.
#include <algorithm>
#include <cstring>

#include "model_cluster.h"

namespace model
{

/* Rounds of timers: as long as a later seed waits before it proposes; longer than any wait of bootstrap and membership.
 */
constexpr int QUIET_ROUNDS = 5, LONG_QUIET_ROUNDS = 17;

std::string Choice::text() const
{
    std::string s(1, kind);
    if (kind != 'D' && kind != 'K' && kind != 'U' && kind != 'W' && kind != '*')
        s += std::to_string(a);
    if (kind == 'M' || kind == 'A' || kind == 'C')
        s += "." + std::to_string(b);
    if (kind == 'M')
        s += "." + std::to_string(c);
    return s;
}

std::vector<Choice> choices_of(const std::string &text)
{
    std::vector<Choice> all;
    for (size_t at = 0; at < text.size();) {
        size_t end = std::min(text.find(' ', at), text.size());
        Choice c = {};
        if (end > at && sscanf(text.substr(at, end - at).c_str(), "%c%d.%d.%d", &c.kind, &c.a, &c.b, &c.c) >= 1)
            all.push_back(c);
        at = end + 1;
    }
    return all;
}

void Cluster::add_member_choices(const Node &node, std::vector<Choice> &to) const
{
    const struct log *log = &node.log;
    for (auto &other : nodes_) {
        const struct log_member *m = log_member(log, other->id);
        if (!m && other->up)
            to.push_back({'M', node.number, 0, other->number});
        if (!m || m->voter != LOG_LEARNER || other->number == node.number)
            continue;
        const struct log_peer *peer = log_peer(const_cast<struct log *>(log), other->id);
        if (!peer || peer->match < log->commit || !peer->match)
            continue;
        to.push_back({'M', node.number, 1, other->number});
        for (int64_t i = 0; i < log->members.n; i++) {
            const struct log_member *gone = &log->members.members[i];
            if (log_votes_after_change(gone) && gone->id != log->id)
                to.push_back({'M', node.number, retired(gone->id) ? 3 : 2, other->number + 16 * (int)i});
        }
    }
    to.push_back({'M', node.number, 4, 0});
    for (int64_t i = 0; i < log->members.n && log->members.n > 1; i++)
        if (!strchr(study_->choice_limits, 'm'))
            to.push_back({'M', node.number, 5, (int)i});
}

void Cluster::add_node_choices(const Node &node, std::vector<Choice> &to) const
{
    /* a crash or start of a node does not affect the others: possible only right after a step of that node */
    bool own_turn = !node.controller_setup || (changed_nodes_ >> node.number & 1);
    if (may_choose('G'))
        to.push_back({'G', node.number, 0, 0});
    if (!node.up && own_turn) {
        to.push_back({'S', node.number, 0, 0});
        if (may_choose('I') && node.has_disk()) /* not allowed without a disk (docs/operating-nodes.md) */
            to.push_back({'I', node.number, 0, 0});
        if (may_choose('E'))
            to.push_back({'E', node.number, 0, 0});
    }
    if (!node.up)
        return;
    bool leads = node.votes() && node.log.role == LOG_LEADER, due = clock(node) >= node.log.election_due_ms;
    if (may_choose('F'))
        to.push_back({'F', node.number, 0, 0});
    if (node.frozen)
        return;
    if (may_choose('T') && (node.controller_setup || leads || due))
        to.push_back({'T', node.number, 0, 0});
    if (may_choose('X') && (node.controller_setup || (!leads && !due)))
        to.push_back({'X', node.number, 0, 0});
    if (may_choose('B') && node.controller_setup && !node.controller.leaving)
        to.push_back({'B', node.number, 0, 0});
    for (int how = KILLED; how <= TORN_WRITE; how++) {
        if (may_choose('C') && own_turn)
            to.push_back({'C', node.number, how, 0});
        if (may_choose('A') && node.crash_at_sync < 0 && node.has_disk() &&
            (!node.controller_setup || node.number == next_turn())) {
            to.push_back({'A', node.number, how, 0});
            to.push_back({'A', node.number, how + 4, 0});
        }
    }
    if (may_choose('N') && node.votes() && node.log.applied > node.log.snapshot_index)
        to.push_back({'N', node.number, 0, 0});
    if (may_choose('H') && (leads || node.sync_deferred))
        to.push_back({'H', node.number, 0, 0});
    if (!leads)
        return;
    if (may_choose('P'))
        to.push_back({'P', node.number, 0, 0});
    if (may_choose('R'))
        to.push_back({'R', node.number, 0, 0});
    if (may_choose('O'))
        to.push_back({'O', node.number, 0, 0});
    if (may_choose('M'))
        add_member_choices(node, to);
}

std::vector<Choice> Cluster::choices() const
{
    std::vector<Choice> all;
    if (oldest() >= 0) {
        all.push_back({'D', 0, 0, 0});
        if (may_choose('K'))
            all.push_back({'K', 0, 0, 0});
        if (may_choose('U'))
            all.push_back({'U', 0, 0, 0});
    }
    if (oldest() < 0 && may_choose('W'))
        all.push_back({'W', 0, 0, 0});
    for (size_t i = 0; i < messages_.size(); i++)
        if (messages_[i].held && !node_at(messages_[i].to).frozen && may_choose('L'))
            all.push_back({'L', (int)i, 0, 0});
    if (may_choose('Z'))
        all.push_back({'Z', 0, 0, 0});
    if (may_choose('Z') && !study_->rates.empty())
        all.push_back({'Z', 1, 0, 0});
    if (may_choose('Q'))
        all.push_back({'Q', QUIET_ROUNDS, 0, 0});
    if (may_choose('Y'))
        all.push_back({'Y', LONG_QUIET_ROUNDS, 0, 0});
    for (auto &node : nodes_)
        add_node_choices(*node, all);
    return all;
}

/* For replayed lines, whose choices may be impossible once one of them was left out. */
bool Cluster::possible(const Choice &choice) const
{
    for (const Choice &c : choices())
        if (c.kind == choice.kind && c.a == choice.a && c.b == choice.b && c.c == choice.c)
            return true;
    return false;
}

} // namespace model
