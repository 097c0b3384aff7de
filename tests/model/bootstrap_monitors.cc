// What must hold of the agreement on the first voters, in every state the model reaches.
#include <algorithm>

#include "site.h"

namespace model
{

static bool majority_of(unsigned seeds, int n_seeds) { return __builtin_popcount(seeds) > n_seeds / 2; }

/* A list goes to voters only once a majority of the seeds accepted it, and no other one ever does. */
void Site::check_list_told(const Node &n, const struct log_members &list)
{
    uint64_t hash = list_hash(list);
    if (told_list_ && told_list_ != hash)
        say("node %d tells another list of first voters than was told before", n.at);
    if (chosen_list_ != hash)
        say("node %d tells a list of first voters that no majority accepted", n.at);
    told_list_ = hash;
}

/* Each seed has ballots of its own. */
void Site::check_ballot_owner(const Node &n, int64_t ballot)
{
    auto at = std::find_if(proposed_.begin(), proposed_.end(), [&](const Proposed &p) { return p.ballot == ballot; });
    if (at == proposed_.end())
        proposed_.push_back({ballot, n.at});
    else if (at->by != n.at)
        say("two seeds propose under one ballot");
}

/* Whatever is said is true of the disk as it would be read back after a loss of power now. */
void Site::check_controller_said(Node &n, const struct frame *frame)
{
    union {
        struct bootstrap_announcement bootstrap_announcement;
        struct ballot ballot;
        struct ballot_reply reply;
        struct log_members list;
        struct leaving leaving;
    } m = {};
    const struct schema *schema = frame->kind == FRAME_COLLECT             ? &bootstrap_announcement_schema
                                  : frame->kind == FRAME_BALLOT            ? &ballot_schema
                                  : frame->kind == FRAME_BALLOT_REPLY      ? &ballot_reply_schema
                                  : frame->kind == FRAME_BOOTSTRAP_MEMBERS ? &log_members_schema
                                  : frame->kind == FRAME_LEAVING           ? &leaving_schema
                                                                           : nullptr;
    if (!schema || schema_unpack(schema, &m, frame->body, frame->len))
        return;
    const Node::Lasting lasting = n.has_disk() ? n.after_power_loss() : Node::Lasting();
    if (frame->kind == FRAME_LEAVING && m.leaving.may_end)
        check_may_end(n, m.leaving.id);
    if (frame->kind == FRAME_BOOTSTRAP_MEMBERS)
        check_list_told(n, m.list);
    if (frame->kind == FRAME_COLLECT && m.bootstrap_announcement.members.n &&
        lasting.bootstrap_list != list_hash(m.bootstrap_announcement.members))
        say("node %d tells that it took a list that is not on its disk", n.at);
    if (frame->kind == FRAME_BALLOT)
        check_ballot_owner(n, m.ballot.ballot);
    if (frame->kind == FRAME_BALLOT && n.has_disk() && lasting.promised < m.ballot.ballot)
        say("node %d proposes under a ballot that is not on its disk", n.at);
    if (frame->kind == FRAME_BALLOT && m.ballot.phase == BALLOT_ACCEPT && chosen_list_ &&
        chosen_list_ != list_hash(m.ballot.members) && m.ballot.ballot > chosen_ballot_)
        say("node %d proposes another list after one was chosen", n.at);
    if (frame->kind == FRAME_BALLOT_REPLY && n.has_disk() &&
        (lasting.promised < m.reply.promised || lasting.accepted < m.reply.accepted ||
         (lasting.accepted == m.reply.accepted && m.reply.accepted &&
          lasting.accepted_list != list_hash(m.reply.members))))
        say("node %d tells a promise or a list that is not on its disk", n.at);
    schema_free(schema, &m);
}

/* What the acceptor of a seed has accepted now. */
void Site::check_acceptor(const Node &n)
{
    const struct acceptor &acceptor = n.controller.acceptor;
    uint64_t list = list_hash(acceptor.members);
    if (acceptor.accepted > acceptor.promised)
        say("node %d accepted a ballot above its promise", n.at);
    if (!acceptor.accepted)
        return;
    auto at = std::find_if(accepted_.begin(), accepted_.end(),
                           [&](const Accepted &a) { return a.ballot == acceptor.accepted && a.list == list; });
    for (const Accepted &other : accepted_)
        if (other.ballot == acceptor.accepted && other.list != list)
            say("two lists under one ballot");
    if (at == accepted_.end())
        at = accepted_.insert(at, {acceptor.accepted, list, 0});
    at->by |= 1u << n.at;
    if (!majority_of(at->by, study_->fleet.seeds))
        return;
    if (chosen_list_ && chosen_list_ != list)
        say("a majority accepted another list after one was chosen");
    if (!chosen_list_)
        chosen_ballot_ = acceptor.accepted;
    chosen_list_ = list;
}

void Site::check_controller(const Node &n)
{
    const struct controller &c = n.controller;
    uint64_t list = list_hash(c.bootstrap_members);
    check_acceptor(n);
    if (c.chosen_members.n && list_hash(c.chosen_members) != chosen_list_)
        say("node %d believes in a list that no majority accepted", n.at);
    if (!list || !n.votes())
        return;
    check_list_told(n, c.bootstrap_members);
    bool named = false;
    for (int64_t i = 0; i < c.bootstrap_members.n; i++)
        named |= c.bootstrap_members.members[i].id == n.id;
    if (!named)
        say("node %d took a list that does not name it", n.at);
    auto at = std::find_if(taken_.begin(), taken_.end(), [&](const Taken &t) { return t.id == n.id; });
    if (at == taken_.end())
        taken_.push_back({n.id, list});
    else if (at->list != list)
        say("node %d took two lists", n.at);
}
} // namespace model
