// What must hold in every state the model reaches.
#include <algorithm>
#include <cstring>

#include "site.h"

namespace model
{

/* Beyond it the oldest one is lost; controllers say more in a turn than logs do. */
constexpr size_t IN_FLIGHT = 14, IN_FLIGHT_CONTROLLERS = 30;

/* --- said and answered ----------------------------------------------------------------- */

void Site::sent(Node &n, uint64_t to, const struct blob *frame)
{
    struct frame f;
    auto slot = (int)((to - ADDR) / ADDR_STEP);
    if (!frame_parse(&f, frame->bytes.at, frame->bytes.len, CLUSTER))
        frame_is_for_log(f.kind) ? check_said(n, &f) : check_controller_said(n, &f);
    if (n.fleet && f.kind == FRAME_APPEND)
        note_round(n);
    if (((sides_ >> n.at ^ sides_ >> slot) & 1) || slot == n.at)
        return;
    if (messages_.size() == (n.fleet ? IN_FLIGHT_CONTROLLERS : IN_FLIGHT))
        messages_.erase(messages_.begin());
    auto *at = reinterpret_cast<const char *>(frame->bytes.at);
    auto len = (size_t)frame->bytes.len;
    bool at_once = n.fleet && ((n.fleet->focus != EACH_FRAME && f.kind == FRAME_COLLECT) ||
                               (n.fleet->focus == BALLOTS && frame_is_for_log(f.kind)));
    messages_.push_back(
        {n.at, slot, false, at_once, std::make_shared<const std::string>(at, len), hash_bytes(at, len, 0)});
}

void Site::voted(int64_t id, int64_t term, int64_t given_to)
{
    for (auto &v : votes_)
        if (v.id == id && v.term == term) {
            if (v.given_to != given_to)
                say("voted twice in term %lld", (long long)term);
            return;
        }
    votes_.push_back({id, term, given_to});
}

/* Whatever is said is true of the disk as it would be read back after a loss of power now. */
void Site::check_said(Node &n, const struct frame *frame)
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
    const Node::Lasting &lasting = n.after_power_loss();
    bool pre = (frame->kind == FRAME_VOTE_REQUEST && m.request.pre) || (frame->kind == FRAME_VOTE && m.vote.pre);
    if (retired(m.now.from))
        say("node %d speaks as its former self", n.at);
    if (!pre && lasting.term < m.now.term)
        say("node %d speaks under term %lld that is not on its disk", n.at, (long long)m.now.term);
    int64_t given_to = 0;
    if (frame->kind == FRAME_VOTE_REQUEST && !pre)
        given_to = m.request.from;
    if (frame->kind == FRAME_VOTE && m.vote.granted && !pre)
        given_to = m.vote.to;
    if (given_to)
        voted(m.now.from, m.now.term, given_to);
    if (given_to && lasting.term == m.now.term && lasting.vote != given_to)
        say("node %d tells a vote that is not on its disk", n.at);
    if (frame->kind != FRAME_APPENDED || !m.appended.ok)
        return;
    for (int64_t i = lasting.base + 1; i <= m.appended.match; i++) {
        size_t k = (size_t)(i - lasting.base - 1);
        if (k >= lasting.terms.size() || (lasting.terms[k] != log_term_at(&n.log, i) && i > n.log.snapshot_index)) {
            say("node %d acknowledges entry %lld that is not on its disk", n.at, (long long)i);
            return;
        }
    }
}

void Site::proposed(int at, int64_t op, int error)
{
    if (node(at).dying || error)
        return;
    /* the caller's answer comes as it is applied: commits_ may learn of it in this same turn */
    acked_ = std::max(acked_, node(at).log.applied);
    (void)op;
}

void Site::read(int at, int64_t must_see, int error)
{
    if (!node(at).dying && !error && node(at).log.applied < must_see)
        say("a read at node %d does not see entry %lld, acknowledged before it began", at, (long long)must_see);
}

void Site::applied(int at, int64_t index, int64_t op)
{
    if (!node(at).dying && index <= (int64_t)commits_.size() && commits_[(size_t)index - 1].op != op)
        say("node %d applies another entry at %lld than was committed", at, (long long)index);
}

/* --- held --------------------------------------------------------------------------------- */

void Site::check_entries(const Node &n)
{
    const struct log *log = &n.log;
    for (int64_t i = 0; i < log->n_entries; i++) {
        int64_t index = log->first_index + i, term = log->entries[i].term;
        uint64_t hash = hash_mix(entry_hash(&log->entries[i]), (uint64_t)log_term_at(log, index - 1));
        auto at = std::find_if(entries_.begin(), entries_.end(),
                               [&](const Seen &s) { return s.index == index && s.term == term; });
        if (at == entries_.end())
            entries_.push_back({index, term, hash});
        else if (at->hash != hash)
            say("two entries with index %lld and term %lld", (long long)index, (long long)term);
    }
}

/* Counted by what the voters' disks hold, not by what the log believes of them. */
void Site::check_quorum(const Node &n, int64_t index, int64_t term)
{
    const struct log *log = &n.log;
    int voters = 0, have = 0, former = 0, former_have = 0;
    bool changing = log->members_index >= index;
    for (int64_t i = 0; i < log->members.n; i++) {
        const struct log_member *m = &log->members.members[i];
        int slot = slot_of(m->id);
        if (m->voter == LOG_LEARNER)
            continue;
        bool has = true; /* of an identity whose disk is gone: it did have it when it said so */
        if (slot >= 0)
            has = own(slot).after_power_loss().holds(index, term);
        voters += m->voter != LOG_OUTGOING_VOTER, have += m->voter != LOG_OUTGOING_VOTER && has;
        former += m->voter != LOG_INCOMING_VOTER, former_have += m->voter != LOG_INCOMING_VOTER && has;
    }
    if (have * 2 <= voters || (changing && former_have * 2 <= former))
        say("entry %lld is committed on %d of %d disks (%d of %d former)", (long long)index, have, voters, former_have,
            former);
}

void Site::check_commits(const Node &n)
{
    const struct log *log = &n.log;
    std::vector<int64_t> ops;
    for (int64_t index = 1; index <= log->commit; index++) {
        const struct log_entry *entry = index >= log->first_index ? &log->entries[index - log->first_index] : nullptr;
        if (index > (int64_t)commits_.size()) {
            if (!entry)
                return say("node %d has a snapshot of what nobody committed", n.at);
            int64_t op = entry->kind == ENTRY_OP ? (int64_t)le_get(entry->body.at, 8) : 0;
            commits_.push_back({entry->term, log->term, entry_hash(entry), op});
            check_quorum(n, index, entry->term);
        }
        const Commit &c = commits_[(size_t)index - 1];
        if (entry && entry_hash(entry) != c.hash)
            return say("node %d has another entry at %lld than was committed", n.at, (long long)index);
        if (c.op && index <= log->applied)
            ops.push_back(c.op);
    }
    if (ops != n.ops)
        say("node %d has not applied what was committed up to %lld", n.at, (long long)log->applied);
    if (log->snapshot_index && log->snapshot_index <= (int64_t)commits_.size() &&
        commits_[(size_t)log->snapshot_index - 1].term != log->snapshot_term)
        say("node %d has a snapshot with a false term", n.at);
}

void Site::check_leader(const Node &n)
{
    const struct log *log = &n.log;
    if (log->role != LOG_LEADER)
        return;
    int64_t given = 0;
    for (auto &v : votes_)
        given += v.term == log->term && v.given_to == log->id;
    auto at = std::find_if(leaders_.begin(), leaders_.end(), [&](auto &l) { return l.first == log->term; });
    if (at == leaders_.end() && given < log_majority(log))
        say("node %d leads in term %lld with %lld votes", n.at, (long long)log->term, (long long)given);
    if (at == leaders_.end())
        leaders_.push_back({log->term, log->id});
    else if (at->second != log->id)
        say("two leaders in term %lld", (long long)log->term);
    for (int64_t index = log->snapshot_index + 1; index <= (int64_t)commits_.size(); index++) {
        const Commit &c = commits_[(size_t)index - 1];
        if (c.under < log->term && log_term_at(log, index) != c.term)
            return say("node %d leads in term %lld without the committed entry %lld", n.at, (long long)log->term,
                       (long long)index);
    }
}

void Site::check(Node &n)
{
    const struct log *log = &n.log;
    if (n.fleet)
        check_controller(n);
    if (!n.votes())
        return;
    if (log->broken)
        return say("node %d is broken", n.at);
    if (log->commit > log_last(log) || log->applied > log->commit || log->snapshot_index > log->commit)
        return say("node %d has committed what it does not hold", n.at);
    if (log->commit < n.committed)
        return say("node %d has committed up to %lld, then up to %lld", n.at, (long long)n.committed,
                   (long long)log->commit);
    n.committed = log->commit;
    check_entries(n);
    check_commits(n);
    check_leader(n);
    if (n.fleet)
        check_membership(n);
}

/* Only where clocks keep their bound: a study with jumps (X) promises nothing of leases. */
void Site::check_leases()
{
    if (strchr(study_->menu, 'X'))
        return;
    for (auto &n : nodes_) {
        if (!n->votes() || !log_has_lease(&n->log))
            continue;
        for (auto &other : nodes_)
            if (other->votes() && other->log.role == LOG_LEADER && other->log.term > n->log.term)
                say("node %d may answer alone while node %d leads", n->at, other->at);
        if (log_term_at(&n->log, n->log.commit) == n->log.term && n->log.applied < acked_)
            say("node %d may answer alone without entry %lld, acknowledged", n->at, (long long)acked_);
    }
}
} // namespace model
