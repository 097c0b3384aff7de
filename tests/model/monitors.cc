// Invariants of the log that hold in every state of the model.
#include <algorithm>
#include <cstring>

#include "model_cluster.h"

namespace model
{

/* With more messages in flight the oldest one is lost. Controllers send more in a turn than logs alone. */
constexpr size_t MESSAGES_MAX = 14, CONTROLLER_MESSAGES_MAX = 30;

/* --- frames and replies ---------------------------------------------------------------- */

void Cluster::on_send(Node &node, uint64_t to, const struct blob *frame)
{
    struct frame f;
    auto number = (int)((to - ADDR) / ADDR_STEP);
    if (!frame_parse(&f, frame->bytes.at, frame->bytes.len, CLUSTER))
        frame_is_for_log(f.kind) ? check_log_frame(node, &f) : check_controller_frame(node, &f);
    if (node.controller_setup && f.kind == FRAME_APPEND)
        record_round(node);
    if (((partition_ >> node.number ^ partition_ >> number) & 1) || number == node.number)
        return;
    if (messages_.size() == (node.controller_setup ? CONTROLLER_MESSAGES_MAX : MESSAGES_MAX))
        messages_.erase(messages_.begin());
    auto *at = reinterpret_cast<const char *>(frame->bytes.at);
    auto len = (size_t)frame->bytes.len;
    bool at_once =
        node.controller_setup && ((node.controller_setup->frame_choices != ALL_FRAMES && f.kind == FRAME_COLLECT) ||
                                  (node.controller_setup->frame_choices == BALLOT_FRAMES && frame_is_for_log(f.kind)));
    messages_.push_back(
        {node.number, number, false, at_once, std::make_shared<const std::string>(at, len), hash_bytes(at, len, 0)});
}

void Cluster::record_vote(int64_t id, int64_t term, int64_t given_to)
{
    for (auto &v : votes_)
        if (v.id == id && v.term == term) {
            if (v.given_to != given_to)
                report_violation("voted twice in term %lld", (long long)term);
            return;
        }
    votes_.push_back({id, term, given_to});
}

/* What a frame states must be true for the disk as it would be read after a loss of power now. */
void Cluster::check_log_frame(Node &node, const struct frame *frame)
{
    union {
        struct log_vote_request request;
        struct log_vote vote;
        struct log_appended appended;
        struct log_lead_now now;
    } m;
    memset(&m, 0, sizeof m);
    const struct schema *schema = frame->kind == FRAME_VOTE_REQUEST ? &log_vote_request_schema
                                  : frame->kind == FRAME_VOTE       ? &log_vote_schema
                                  : frame->kind == FRAME_APPENDED   ? &log_appended_schema
                                                                    : &log_lead_now_schema;
    schema_unpack(schema, &m, frame->body, frame->len);
    const Node::Durable &durable = node.after_power_loss();
    bool pre = (frame->kind == FRAME_VOTE_REQUEST && m.request.pre) || (frame->kind == FRAME_VOTE && m.vote.pre);
    if (retired(m.now.from))
        report_violation("node %d sends under the identity of its former disk", node.number);
    if (!pre && durable.term < m.now.term)
        report_violation("node %d sends in term %lld that is not on its disk", node.number, (long long)m.now.term);
    int64_t given_to = 0;
    if (frame->kind == FRAME_VOTE_REQUEST && !pre)
        given_to = m.request.from;
    if (frame->kind == FRAME_VOTE && m.vote.granted && !pre)
        given_to = m.vote.to;
    if (given_to)
        record_vote(m.now.from, m.now.term, given_to);
    if (given_to && durable.term == m.now.term && durable.vote != given_to)
        report_violation("node %d sends a vote that is not on its disk", node.number);
    if (frame->kind != FRAME_APPENDED || !m.appended.ok)
        return;
    for (int64_t i = durable.base + 1; i <= m.appended.match; i++) {
        size_t k = (size_t)(i - durable.base - 1);
        if (k >= durable.terms.size() ||
            (durable.terms[k] != log_term_at(&node.log, i) && i > node.log.snapshot_index)) {
            report_violation("node %d acknowledges entry %lld that is not on its disk", node.number, (long long)i);
            return;
        }
    }
}

void Cluster::on_proposed(int number, int64_t op, int error)
{
    if (node_at(number).crashing || error)
        return;
    /* the proposal is acknowledged when it is applied; commits_ may be updated only later in this turn */
    acked_ = std::max(acked_, node_at(number).log.applied);
    (void)op;
}

void Cluster::on_read(int number, int64_t must_see, int error)
{
    if (!node_at(number).crashing && !error && node_at(number).log.applied < must_see)
        report_violation("a read at node %d does not see entry %lld, acknowledged before it began", number,
                         (long long)must_see);
}

void Cluster::on_applied(int number, int64_t index, int64_t op)
{
    if (!node_at(number).crashing && index <= (int64_t)commits_.size() && commits_[(size_t)index - 1].op != op)
        report_violation("node %d applies another entry at %lld than was committed", number, (long long)index);
}

/* --- state -------------------------------------------------------------------------------- */

void Cluster::check_entries(const Node &node)
{
    const struct log *log = &node.log;
    for (int64_t i = 0; i < log->n_entries; i++) {
        int64_t index = log->first_index + i, term = log->entries[i].term;
        uint64_t hash = hash_mix(entry_hash(&log->entries[i]), (uint64_t)log_term_at(log, index - 1));
        auto at = std::find_if(entries_.begin(), entries_.end(),
                               [&](const SeenEntry &s) { return s.index == index && s.term == term; });
        if (at == entries_.end())
            entries_.push_back({index, term, hash});
        else if (at->hash != hash)
            report_violation("two entries with index %lld and term %lld", (long long)index, (long long)term);
    }
}

/* Counts what the voters' disks contain, not what the log assumes about them. */
void Cluster::check_quorum(const Node &node, int64_t index, int64_t term)
{
    const struct log *log = &node.log;
    int voters = 0, have = 0, former = 0, former_have = 0;
    bool changing = log->members_index >= index;
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        int number = number_of(m->id);
        if (m->voter == LOG_LEARNER)
            continue;
        bool has = true; /* an identity whose disk is lost had the entry when it acknowledged it */
        if (number >= 0)
            has = mutable_node(number).after_power_loss().holds(index, term);
        voters += m->voter != LOG_OUTGOING_VOTER, have += m->voter != LOG_OUTGOING_VOTER && has;
        former += m->voter != LOG_INCOMING_VOTER, former_have += m->voter != LOG_INCOMING_VOTER && has;
    }
    if (have * 2 <= voters || (changing && former_have * 2 <= former))
        report_violation("entry %lld is committed on %d of %d disks (%d of %d former)", (long long)index, have, voters,
                         former_have, former);
}

void Cluster::check_commits(const Node &node)
{
    const struct log *log = &node.log;
    std::vector<int64_t> ops;
    for (int64_t index = 1; index <= log->commit; index++) {
        const struct log_entry *entry = index >= log->first_index ? &log->entries[index - log->first_index] : nullptr;
        if (index > (int64_t)commits_.size()) {
            if (!entry)
                return report_violation("node %d has a snapshot with an uncommitted entry", node.number);
            int64_t op = entry->kind == ENTRY_OP ? (int64_t)le_get(entry->body.at, 8) : 0;
            commits_.push_back({entry->term, log->term, entry_hash(entry), op});
            check_quorum(node, index, entry->term);
        }
        const Commit &c = commits_[(size_t)index - 1];
        if (entry && entry_hash(entry) != c.hash)
            return report_violation("node %d has another entry at %lld than was committed", node.number,
                                    (long long)index);
        if (c.op && index <= log->applied)
            ops.push_back(c.op);
    }
    if (ops != node.ops)
        report_violation("node %d has not applied what was committed up to %lld", node.number, (long long)log->applied);
    if (log->snapshot_index && log->snapshot_index <= (int64_t)commits_.size() &&
        commits_[(size_t)log->snapshot_index - 1].term != log->snapshot_term)
        report_violation("node %d has a snapshot with a wrong term", node.number);
}

void Cluster::check_leader(const Node &node)
{
    const struct log *log = &node.log;
    if (log->role != LOG_LEADER)
        return;
    int64_t given = 0;
    for (auto &v : votes_)
        given += v.term == log->term && v.given_to == log->id;
    auto at = std::find_if(leaders_.begin(), leaders_.end(), [&](auto &l) { return l.first == log->term; });
    if (at == leaders_.end() && given < log_majority(log))
        report_violation("node %d leads in term %lld with %lld votes", node.number, (long long)log->term,
                         (long long)given);
    if (at == leaders_.end())
        leaders_.push_back({log->term, log->id});
    else if (at->second != log->id)
        report_violation("two leaders in term %lld", (long long)log->term);
    for (int64_t index = log->snapshot_index + 1; index <= (int64_t)commits_.size(); index++) {
        const Commit &c = commits_[(size_t)index - 1];
        if (c.committed_in < log->term && log_term_at(log, index) != c.term)
            return report_violation("node %d leads in term %lld without the committed entry %lld", node.number,
                                    (long long)log->term, (long long)index);
    }
}

void Cluster::check(Node &node)
{
    const struct log *log = &node.log;
    if (node.controller_setup)
        check_controller(node);
    if (!node.votes())
        return;
    if (log->broken)
        return report_violation("node %d is broken", node.number);
    if (log->commit > log_last(log) || log->applied > log->commit || log->snapshot_index > log->commit)
        return report_violation("node %d has committed an entry that it does not have", node.number);
    if (log->commit < node.committed)
        return report_violation("node %d has committed up to %lld, then up to %lld", node.number,
                                (long long)node.committed, (long long)log->commit);
    node.committed = log->commit;
    check_entries(node);
    check_commits(node);
    check_leader(node);
    if (node.controller_setup)
        check_membership(node);
}

/* Leases need clocks of bounded drift, so this is not checked in studies with clock jumps (X). */
void Cluster::check_leases()
{
    if (strchr(study_->choice_limits, 'X'))
        return;
    for (auto &node : nodes_) {
        if (!node->votes() || !log_has_lease(&node->log))
            continue;
        for (auto &other : nodes_)
            if (other->votes() && other->log.role == LOG_LEADER && other->log.term > node->log.term)
                report_violation("node %d holds a lease while node %d leads", node->number, other->number);
        if (log_term_at(&node->log, node->log.commit) == node->log.term && node->log.applied < acked_)
            report_violation("node %d holds a lease without the acknowledged entry %lld", node->number,
                             (long long)acked_);
    }
}
} // namespace model
