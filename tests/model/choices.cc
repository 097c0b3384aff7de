// Which choices the search has in a state of the model, and how they are written.
#include <algorithm>
#include <cstring>

#include "site.h"

namespace model
{

/* Of timers: as long as a later seed waits before it proposes; longer than any wait of bootstrap and membership. */
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

void Site::add_member_choices(const Node &n, std::vector<Choice> &to) const
{
    const struct log *log = &n.log;
    for (auto &other : nodes_) {
        const struct log_member *m = log_member(log, other->id);
        if (!m && other->up)
            to.push_back({'M', n.at, 0, other->at});
        if (!m || m->voter != LOG_LEARNER || other->at == n.at)
            continue;
        const struct log_peer *peer = log_peer(const_cast<struct log *>(log), other->id);
        if (!peer || peer->match < log->commit || !peer->match)
            continue;
        to.push_back({'M', n.at, 1, other->at});
        for (int64_t i = 0; i < log->members.n; i++) {
            const struct log_member *gone = &log->members.members[i];
            if (log_votes_after_change(gone) && gone->id != log->id)
                to.push_back({'M', n.at, retired(gone->id) ? 3 : 2, other->at + 16 * (int)i});
        }
    }
    to.push_back({'M', n.at, 4, 0});
    for (int64_t i = 0; i < log->members.n && log->members.n > 1; i++)
        if (!strchr(study_->menu, 'm'))
            to.push_back({'M', n.at, 5, (int)i});
}

void Site::add_node_choices(const Node &n, std::vector<Choice> &to) const
{
    /* to end or start a node changes nothing for the others: chosen only right after a step of its own */
    bool own_turn = !n.fleet || (touched_ >> n.at & 1);
    if (left('G'))
        to.push_back({'G', n.at, 0, 0});
    if (!n.up && own_turn) {
        to.push_back({'S', n.at, 0, 0});
        if (left('I') && n.has_disk()) /* who has none must not be started so (docs/operating-nodes.md) */
            to.push_back({'I', n.at, 0, 0});
        if (left('E'))
            to.push_back({'E', n.at, 0, 0});
    }
    if (!n.up)
        return;
    bool leads = n.votes() && n.log.role == LOG_LEADER, due = clock(n) >= n.log.election_due_ms;
    if (left('F'))
        to.push_back({'F', n.at, 0, 0});
    if (n.frozen)
        return;
    if (left('T') && (n.fleet || leads || due))
        to.push_back({'T', n.at, 0, 0});
    if (left('X') && (n.fleet || (!leads && !due)))
        to.push_back({'X', n.at, 0, 0});
    if (left('B') && n.fleet && !n.controller.leaving)
        to.push_back({'B', n.at, 0, 0});
    for (int how = KILLED; how <= TORN; how++) {
        if (left('C') && own_turn)
            to.push_back({'C', n.at, how, 0});
        if (left('A') && n.armed < 0 && n.has_disk() && (!n.fleet || n.at == next_turn())) {
            to.push_back({'A', n.at, how, 0});
            to.push_back({'A', n.at, how + 4, 0});
        }
    }
    if (left('N') && n.votes() && n.log.applied > n.log.snapshot_index)
        to.push_back({'N', n.at, 0, 0});
    if (left('H') && (leads || n.turn_open))
        to.push_back({'H', n.at, 0, 0});
    if (!leads)
        return;
    if (left('P'))
        to.push_back({'P', n.at, 0, 0});
    if (left('R'))
        to.push_back({'R', n.at, 0, 0});
    if (left('O'))
        to.push_back({'O', n.at, 0, 0});
    if (left('M'))
        add_member_choices(n, to);
}

std::vector<Choice> Site::choices() const
{
    std::vector<Choice> all;
    if (oldest() >= 0) {
        all.push_back({'D', 0, 0, 0});
        if (left('K'))
            all.push_back({'K', 0, 0, 0});
        if (left('U'))
            all.push_back({'U', 0, 0, 0});
    }
    if (oldest() < 0 && left('W'))
        all.push_back({'W', 0, 0, 0});
    for (size_t i = 0; i < messages_.size(); i++)
        if (messages_[i].held && !node(messages_[i].to).frozen && left('L'))
            all.push_back({'L', (int)i, 0, 0});
    if (left('Z'))
        all.push_back({'Z', 0, 0, 0});
    if (left('Z') && !study_->rates.empty())
        all.push_back({'Z', 1, 0, 0});
    if (left('Q'))
        all.push_back({'Q', QUIET_ROUNDS, 0, 0});
    if (left('Y'))
        all.push_back({'Y', LONG_QUIET_ROUNDS, 0, 0});
    for (auto &n : nodes_)
        add_node_choices(*n, all);
    return all;
}

/* For lines given by hand: not each choice of a line is there once another was left out. */
bool Site::possible(const Choice &choice) const
{
    for (const Choice &c : choices())
        if (c.kind == choice.kind && c.a == choice.a && c.b == choice.b && c.c == choice.c)
            return true;
    return false;
}

} // namespace model
