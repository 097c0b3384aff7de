// The cluster of the model: setup, the effect of each choice, and the hash of a state.
#include "model_cluster.h"

#include <algorithm>
#include <cstdarg>
#include <cstring>

namespace model
{

Cluster::Cluster(const Study &study) : study_(&study)
{
    current = this;
    for (int i = 0; i < study.n_nodes; i++) {
        auto node = std::make_shared<Node>();
        node->number = i;
        node->controller_setup = study.controller_setup.seeds ? &study.controller_setup : nullptr;
        node->segment_bytes = study.segment_bytes;
        node->world.self = ADDR + ADDR_STEP * (uint64_t)i;
        node->rate = study.rates.empty() ? 1000 : study.rates[(size_t)i];
        making_identity_ = true;
        if (node->has_disk())
            log_identity(&node->world, CLUSTER, &node->id);
        making_identity_ = false;
        nodes_.push_back(node);
    }
    if (study.controller_setup.seeds)
        for (auto &node : nodes_)
            node->load_controller(true);
    else
        load_logs();
    for (const Choice &c : choices_of(study.setup)) {
        if (c.kind != '*')
            apply(c);
        if (c.kind == '*')
            deliver_all();
    }
    memset(choices_used_, 0, sizeof choices_used_);
    changed_nodes_ = ~0u;
}

/* In studies of the log alone the first voters are given. */
void Cluster::load_logs()
{
    std::vector<struct log_member> voters;
    char zone[] = "z";
    for (int i = 0; i < study_->voters; i++)
        voters.push_back({node_at(i).id, (int64_t)node_at(i).world.self, LOG_VOTER, zone});
    struct log_members members = {voters.data(), study_->voters};
    for (auto &node : nodes_) {
        node->load();
        if (node->number < study_->voters)
            log_bootstrap(&node->log, &members);
    }
}

Node &Cluster::mutable_node(int i)
{
    auto &node = nodes_[(size_t)i];
    changed_nodes_ |= 1u << i;
    if (node.use_count() > 1)
        node = std::make_shared<Node>(*node);
    return *node;
}

void Cluster::report_violation(const char *format, ...)
{
    char text[300];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (violation.empty())
        violation = text;
}

int Cluster::oldest() const
{
    for (size_t i = 0; i < messages_.size(); i++) {
        const Message &m = messages_[i];
        if (!m.held && !node_at(m.to).frozen && !((partition_ >> m.from ^ partition_ >> m.to) & 1))
            return (int)i;
    }
    return -1;
}

bool Cluster::may_choose(char kind) const
{
    const char *at = strchr(study_->choice_limits, kind);
    return at && choices_used_[(unsigned char)kind] < atoi(at + 1);
}

int Cluster::number_of(int64_t id) const
{
    for (auto &node : nodes_)
        if (node->id == id)
            return node->number;
    return -1;
}

bool Cluster::retired(int64_t id) const { return std::count(retired_.begin(), retired_.end(), id) > 0; }

/* --- effects of choices --------------------------------------------------------------- */

void Cluster::crash(Node &node, Crash how)
{
    node.unload();
    node.crashing = node.frozen = node.sync_deferred = false;
    node.crash_at_sync = -1;
    node.disk.crash(how);
    node.durable.known = false;
}

void Cluster::start(Node &node, bool first_start)
{
    int64_t id = 0;
    making_identity_ = true;
    int rc = node.has_disk() ? log_identity(&node.world, CLUSTER, &id) : ERROR_NONE;
    making_identity_ = false;
    node.id = id;
    if (node.controller_setup) {
        if (rc || node.load_controller(first_start))
            report_violation("node %d cannot read its own disk after a restart", node.number);
        return;
    }
    if (!rc)
        rc = node.load();
    if (rc)
        report_violation("node %d cannot read its own disk after a restart", node.number);
    else if (node.log.members.n || log_last(&node.log) || node.log.term) /* as controller.c does */
        node.log.no_vote_before_ms = clock(node) + ELECTION_MS;
}

static void on_acknowledged(void *arg, int64_t op, int error, const struct bytes *)
{
    current->on_proposed((int)(intptr_t)arg, op, error);
}

static void on_read_done(void *arg, int64_t must_see, int error, const struct bytes *)
{
    current->on_read((int)(intptr_t)arg, must_see, error);
}

void Cluster::change_members(Node &node, const Choice &choice)
{
    const Node &other = node_at(choice.c & 15);
    int64_t addr = (int64_t)other.world.self;
    int64_t at = choice.b == 5 ? choice.c : choice.c / 16;
    int64_t gone = at < node.log.members.n ? node.log.members.members[at].id : 0;
    switch (choice.b) {
    case 0: log_change_member(&node.log, other.id, addr, "z", LOG_LEARNER, 0); break;
    case 1: log_change_member(&node.log, other.id, addr, "z", LOG_VOTER, 0); break;
    case 2: log_exchange(&node.log, gone, other.id); break;
    case 3: log_replace(&node.log, gone, other.id); break;
    case 4: log_finish_exchange(&node.log); break;
    default: log_change_member(&node.log, gone, 0, NULL, 0, 1);
    }
}

void Cluster::deliver(size_t at, bool keep)
{
    Message m = messages_[at];
    struct frame frame;
    if (keep)
        messages_[at].held = true;
    else
        messages_.erase(messages_.begin() + (long)at);
    Node &node = mutable_node(m.to);
    if (!node.up)
        return;
    auto *bytes = reinterpret_cast<const uint8_t *>(m.bytes->data());
    if (frame_parse(&frame, bytes, (int64_t)m.bytes->size(), CLUSTER) || node.take(&frame))
        report_violation("node %d cannot read a frame of node %d", m.to, m.from);
    else if (frame.kind == FRAME_APPENDED || frame.kind == FRAME_SNAPSHOT_CHUNK_ACK)
        node.last_reply_ms[m.from] = clock(node);
    end_turn(node);
}

/* Ends the turn of a node: flushes its log as controller_flush() does, unless sync_deferred; crashes it if the crash is
 * due; and checks the invariants. */
void Cluster::end_turn(Node &node)
{
    if (node.votes() && !node.sync_deferred)
        log_flush(&node.log);
    if (node.crashing)
        crash(node, (Crash)(node.crash_at_sync & 3));
    if (node.up)
        check(node);
    check_leases();
}

void Cluster::deliver_all()
{
    for (int i = 0; oldest() >= 0 && violation.empty() && i < 200; i++)
        deliver((size_t)oldest(), false);
}

void Cluster::deliver_at_once()
{
    for (size_t i = 0; i < messages_.size() && violation.empty();) {
        const Message &m = messages_[i];
        if (!m.at_once || node_at(m.to).frozen || ((partition_ >> m.from ^ partition_ >> m.to) & 1)) {
            i++;
            continue;
        }
        deliver(i, false);
        i = 0;
    }
}

int Cluster::next_turn() const
{
    int at = oldest();
    return at >= 0 ? messages_[(size_t)at].to : (timer_turn_ + 1) % study_->n_nodes;
}

/* Runs the timer of the next node in turn; each node's timer runs once in TIMER_MS. */
void Cluster::run_next_timer()
{
    now_ += (TIMER_MS + study_->n_nodes - 1) / study_->n_nodes;
    timer_turn_ = (timer_turn_ + 1) % study_->n_nodes;
    Node &node = mutable_node(timer_turn_);
    if (!node.up || node.frozen)
        return;
    search_leader(node);
    node.on_timer();
    end_turn(node);
}

/* Sets the leader, as the directory does by querying other controllers. */
void Cluster::search_leader(Node &node)
{
    if (study_->controller_setup.frame_choices != MEMBERSHIP_FRAMES || directory_leader(&node.controller.directory))
        return;
    for (auto &other : nodes_)
        if (other->votes() && !other->frozen && !((partition_ >> node.number ^ partition_ >> other->number) & 1) &&
            log_has_lease(&other->log))
            directory_learn_leader(&node.controller.directory, other->log.term, (int64_t)other->world.self);
}

void Cluster::apply(const Choice &choice)
{
    const int at = next_turn();
    current = this;
    /* crashes and starts of different nodes commute: keep only the order by node number */
    changed_nodes_ = strchr("CSEI", choice.kind) ? changed_nodes_ & ~((2u << choice.a) - 1) : 0;
    choices_used_[(unsigned char)choice.kind]++;
    step(choice);
    deliver_at_once();
    crash_unused =
        study_->controller_setup.seeds && node_at(at).crash_at_sync >= 0 && (choice.kind == 'D' || choice.kind == 'W');
}

void Cluster::step(const Choice &choice)
{
    int at = oldest();
    if (strchr("DKU", choice.kind) && at < 0)
        return report_violation("%c without a message in flight", choice.kind); /* only in a replayed line */
    if (choice.kind == 'D' || choice.kind == 'U')
        return deliver((size_t)at, choice.kind == 'U');
    if (choice.kind == 'L')
        return deliver((size_t)choice.a, false);
    if (choice.kind == 'K') {
        messages_[(size_t)at].held = true;
        return;
    }
    if (choice.kind == 'Z') {
        now_ += choice.a ? ELECTION_MS * 9 / 10 : ELECTION_MS;
        return check_leases();
    }
    if (choice.kind == 'W')
        return run_next_timer();
    if (choice.kind == 'Q' || choice.kind == 'Y') {
        for (int i = 0; i < choice.a * study_->n_nodes && violation.empty(); i++) {
            deliver_all();
            run_next_timer();
        }
        return deliver_all();
    }
    if (choice.kind == 'G') {
        partition_ ^= 1u << choice.a;
        return;
    }
    Node &node = mutable_node(choice.a);
    switch (choice.kind) {
    case 'X':
        node.clock_offset +=
            node.controller_setup ? ELECTION_MS : node.log.election_due_ms - clock(node); /* fallthrough */
    case 'T': node.on_timer(); break;
    case 'H': node.sync_deferred = !node.sync_deferred; break;
    case 'F': node.frozen = !node.frozen; return;
    case 'B':
        node.controller.leaving = 1;
        node.controller.leave_ms = clock(node);
        node.on_timer();
        break;
    case 'P': {
        std::vector<uint8_t> op(study_->op_bytes);
        le_put(op.data(), (uint64_t)++ops_, 8);
        struct bytes body = {op.data(), (int64_t)op.size(), 0};
        log_propose(&node.log, ENTRY_OP, &body, on_acknowledged, (void *)(intptr_t)node.number, ops_);
        break;
    }
    case 'R': log_read(&node.log, on_read_done, (void *)(intptr_t)node.number, acked_); break;
    case 'N': log_snapshot_save(&node.log); break;
    case 'O': log_hand_over(&node.log); break;
    case 'M': change_members(node, choice); break;
    case 'A': node.crash_at_sync = choice.b; return;
    case 'C': crash(node, (Crash)choice.b); return;
    case 'I': start(node, true); break;
    case 'E':
        retired_.push_back(node.id);
        node.disk = {};
        node.durable.known = false; /* fallthrough */
    default: start(node, false);
    }
    end_turn(node);
}

/* --- summary and hash of a state ---------------------------------------------------------- */

/* The ballots proposed, promised and accepted, as round and rank; *: knows the chosen list; +: has bootstrapped. */
static std::string bootstrap_text(const struct controller &c)
{
    char text[80];
    auto round = [](int64_t ballot) { return (long long)(ballot >> 23) * 10 + (ballot & 7); };
    snprintf(text, sizeof text, "%lld/%lld/%lld%s%s  ", round(c.proposer.ballot), round(c.acceptor.promised),
             round(c.acceptor.accepted), c.chosen_members.n ? "*" : "", c.bootstrap_members.n ? "+" : "");
    return text;
}

std::string Cluster::summary() const
{
    std::string text;
    char part[80];
    for (auto &node : nodes_) {
        snprintf(part, sizeof part, "%d:%c%lld %lld/%lld%s  ", node->number, node->up ? "fpcL"[node->log.role] : '-',
                 (long long)node->log.term, (long long)node->log.commit,
                 (long long)(node->up ? log_last(&node->log) : 0), partition_ >> node->number & 1 ? "'" : "");
        text += part;
        if (node->controller_setup && node->up)
            text += bootstrap_text(node->controller);
    }
    for (auto &m : messages_)
        text += " " + std::to_string(m.from) + (m.held ? "~" : ">") + std::to_string(m.to);
    return text;
}

uint64_t Cluster::hash() const
{
    uint64_t h = hash_mix(partition_, (uint64_t)acked_);
    h = hash_mix(h, (uint64_t)(ops_ * 1000 + identities_made_));
    for (int kind = 'A'; kind <= 'Z'; kind++)
        h = hash_mix(h, kind == 'D' || kind == 'S' ? 0 : (uint64_t)choices_used_[kind]);
    for (auto &node : nodes_)
        h = hash_mix(h, node->hash(clock(*node)));
    for (auto &m : messages_)
        h = hash_mix(m.hash, h + (uint64_t)(m.held + 2 * m.to + 32 * m.from));
    for (auto &c : commits_)
        h = hash_mix(h, c.hash + (uint64_t)c.committed_in);
    for (auto &v : votes_)
        h = hash_mix(h, hash_mix((uint64_t)v.id, (uint64_t)(v.term * 1000003 + v.given_to)));
    for (auto &e : entries_)
        h = hash_mix(h, e.hash + (uint64_t)(e.index * 1000 + e.term));
    for (auto &l : leaders_)
        h = hash_mix(h, (uint64_t)(l.first * 1000003 + l.second));
    for (auto &a : accepted_)
        h = hash_mix(h, hash_mix((uint64_t)a.ballot + a.by, a.list));
    for (auto &p : proposed_)
        h = hash_mix(h, (uint64_t)p.ballot * 64 + (uint64_t)p.by);
    for (auto &t : stop_permits_)
        h = hash_mix(h, (uint64_t)t.id + (uint64_t)std::min(now_ - t.at_ms, 2 * ELECTION_MS));
    for (auto &t : bootstrapped_)
        h = hash_mix(h, hash_mix((uint64_t)t.id, t.list));
    h = hash_mix(h, hash_mix(announced_list_, chosen_list_) + (uint64_t)timer_turn_);
    return h;
}
} // namespace model
