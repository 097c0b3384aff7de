// Invariants of the bootstrap agreement on the first voters that hold in every state of the model.
#include <algorithm>

#include "model_cluster.h"

namespace model
{

static bool is_majority(unsigned seeds, int n_seeds) { return __builtin_popcount(seeds) > n_seeds / 2; }

/* A list is sent to voters only once a majority of the seeds accepted it, and no other list is ever sent. */
void Cluster::check_announced_list(const Node &node, const struct log_members &list)
{
    uint64_t hash = list_hash(list);
    if (announced_list_ && announced_list_ != hash)
        report_violation("node %d sends another list of first voters than was sent before", node.number);
    if (chosen_list_ != hash)
        report_violation("node %d sends a list of first voters that no majority accepted", node.number);
    announced_list_ = hash;
}

/* No two seeds propose under the same ballot. */
void Cluster::check_ballot_owner(const Node &node, int64_t ballot)
{
    auto at = std::find_if(proposed_.begin(), proposed_.end(), [&](const Proposed &p) { return p.ballot == ballot; });
    if (at == proposed_.end())
        proposed_.push_back({ballot, node.number});
    else if (at->by != node.number)
        report_violation("two seeds propose under one ballot");
}

/* What a frame states must be true for the disk as it would be read after a loss of power now. */
void Cluster::check_controller_frame(Node &node, const struct frame *frame)
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
    const Node::Durable durable = node.has_disk() ? node.after_power_loss() : Node::Durable();
    if (frame->kind == FRAME_LEAVING && m.leaving.may_end)
        check_stop_permit(node, m.leaving.id);
    if (frame->kind == FRAME_BOOTSTRAP_MEMBERS)
        check_announced_list(node, m.list);
    if (frame->kind == FRAME_COLLECT && m.bootstrap_announcement.members.n &&
        durable.bootstrap_list != list_hash(m.bootstrap_announcement.members))
        report_violation("node %d announces a list that is not on its disk", node.number);
    if (frame->kind == FRAME_BALLOT)
        check_ballot_owner(node, m.ballot.ballot);
    if (frame->kind == FRAME_BALLOT && node.has_disk() && durable.promised < m.ballot.ballot)
        report_violation("node %d proposes under a ballot that is not on its disk", node.number);
    if (frame->kind == FRAME_BALLOT && m.ballot.phase == BALLOT_ACCEPT && chosen_list_ &&
        chosen_list_ != list_hash(m.ballot.members) && m.ballot.ballot > chosen_ballot_)
        report_violation("node %d proposes another list after one was chosen", node.number);
    if (frame->kind == FRAME_BALLOT_REPLY && node.has_disk() &&
        (durable.promised < m.reply.promised || durable.accepted < m.reply.accepted ||
         (durable.accepted == m.reply.accepted && m.reply.accepted &&
          durable.accepted_list != list_hash(m.reply.members))))
        report_violation("node %d sends a promise or a list that is not on its disk", node.number);
    schema_free(schema, &m);
}

/* Records and checks what the acceptor of a seed has accepted. */
void Cluster::check_acceptor(const Node &node)
{
    const struct acceptor &acceptor = node.controller.acceptor;
    uint64_t list = list_hash(acceptor.members);
    if (acceptor.accepted > acceptor.promised)
        report_violation("node %d accepted a ballot above its promise", node.number);
    if (!acceptor.accepted)
        return;
    auto at = std::find_if(accepted_.begin(), accepted_.end(),
                           [&](const Accepted &a) { return a.ballot == acceptor.accepted && a.list == list; });
    for (const Accepted &other : accepted_)
        if (other.ballot == acceptor.accepted && other.list != list)
            report_violation("two lists under one ballot");
    if (at == accepted_.end())
        at = accepted_.insert(at, {acceptor.accepted, list, 0});
    at->by |= 1u << node.number;
    if (!is_majority(at->by, study_->controller_setup.seeds))
        return;
    if (chosen_list_ && chosen_list_ != list)
        report_violation("a majority accepted another list after one was chosen");
    if (!chosen_list_)
        chosen_ballot_ = acceptor.accepted;
    chosen_list_ = list;
}

void Cluster::check_controller(const Node &node)
{
    const struct controller &c = node.controller;
    uint64_t list = list_hash(c.bootstrap_members);
    check_acceptor(node);
    if (c.chosen_members.n && list_hash(c.chosen_members) != chosen_list_)
        report_violation("node %d holds a list for chosen that no majority accepted", node.number);
    if (!list || !node.votes())
        return;
    check_announced_list(node, c.bootstrap_members);
    bool named = false;
    for (int64_t i = 0; i < c.bootstrap_members.n; i++)
        named |= c.bootstrap_members.members[i].id == node.id;
    if (!named)
        report_violation("node %d bootstrapped with a list that does not name it", node.number);
    auto at = std::find_if(bootstrapped_.begin(), bootstrapped_.end(),
                           [&](const Bootstrapped &t) { return t.id == node.id; });
    if (at == bootstrapped_.end())
        bootstrapped_.push_back({node.id, list});
    else if (at->list != list)
        report_violation("node %d bootstrapped with two lists", node.number);
}
} // namespace model
