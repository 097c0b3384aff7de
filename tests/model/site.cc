// A site of the model: its choices and what each does.
#include "site.h"

#include <algorithm>
#include <cstdarg>
#include <cstring>

namespace model
{

Site::Site(const Study &study) : study_(&study)
{
    current = this;
    for (int i = 0; i < study.slots; i++) {
        auto n = std::make_shared<Node>();
        n->at = i;
        n->fleet = study.fleet.seeds ? &study.fleet : nullptr;
        n->segment_bytes = study.segment_bytes;
        n->world.self = ADDR + ADDR_STEP * (uint64_t)i;
        n->rate = study.rates.empty() ? 1000 : study.rates[(size_t)i];
        identifying_ = true;
        if (n->has_disk())
            log_identity(&n->world, CLUSTER, &n->id);
        identifying_ = false;
        nodes_.push_back(n);
    }
    if (study.fleet.seeds)
        for (auto &n : nodes_)
            n->load_controller(true);
    else
        load_logs();
    for (const Choice &c : choices_of(study.prefix)) {
        if (c.kind != '*')
            apply(c);
        if (c.kind == '*')
            deliver_all();
    }
    memset(used_, 0, sizeof used_);
    touched_ = ~0u;
}

/* Nodes of logs alone begin with their voters agreed. */
void Site::load_logs()
{
    std::vector<struct log_member> voters;
    char zone[] = "z";
    for (int i = 0; i < study_->voters; i++)
        voters.push_back({node(i).id, (int64_t)node(i).world.self, LOG_VOTER, zone});
    struct log_members members = {voters.data(), study_->voters};
    for (auto &n : nodes_) {
        n->load();
        if (n->at < study_->voters)
            log_bootstrap(&n->log, &members);
    }
}

Node &Site::own(int i)
{
    auto &n = nodes_[(size_t)i];
    touched_ |= 1u << i;
    if (n.use_count() > 1)
        n = std::make_shared<Node>(*n);
    return *n;
}

void Site::say(const char *format, ...)
{
    char text[300];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    if (breach.empty())
        breach = text;
}

int Site::oldest() const
{
    for (size_t i = 0; i < messages_.size(); i++) {
        const Message &m = messages_[i];
        if (!m.held && !node(m.to).frozen && !((sides_ >> m.from ^ sides_ >> m.to) & 1))
            return (int)i;
    }
    return -1;
}

bool Site::left(char kind) const
{
    const char *at = strchr(study_->menu, kind);
    return at && used_[(unsigned char)kind] < atoi(at + 1);
}

int Site::slot_of(int64_t id) const
{
    for (auto &n : nodes_)
        if (n->id == id)
            return n->at;
    return -1;
}

bool Site::retired(int64_t id) const { return std::count(retired_.begin(), retired_.end(), id) > 0; }

/* --- what each does ------------------------------------------------------------------- */

void Site::end(Node &n, End how)
{
    n.unload();
    n.dying = n.frozen = n.turn_open = false;
    n.armed = -1;
    n.disk.after(how);
    n.lasting.known = false;
}

void Site::start(Node &n, bool first_start)
{
    int64_t id = 0;
    identifying_ = true;
    int rc = n.has_disk() ? log_identity(&n.world, CLUSTER, &id) : ERROR_NONE;
    identifying_ = false;
    n.id = id;
    if (n.fleet) {
        if (rc || n.load_controller(first_start))
            say("node %d cannot read its own disk after it ended", n.at);
        return;
    }
    if (!rc)
        rc = n.load();
    if (rc)
        say("node %d cannot read its own disk after it ended", n.at);
    else if (n.log.members.n || log_last(&n.log) || n.log.term) /* as controller.c does */
        n.log.no_vote_before_ms = clock(n) + ELECTION;
}

static void acknowledged(void *arg, int64_t op, int error, const struct bytes *)
{
    current->proposed((int)(intptr_t)arg, op, error);
}

static void confirmed(void *arg, int64_t must_see, int error, const struct bytes *)
{
    current->read((int)(intptr_t)arg, must_see, error);
}

void Site::change(Node &n, const Choice &choice)
{
    const Node &other = node(choice.c & 15);
    int64_t addr = (int64_t)other.world.self;
    int64_t at = choice.b == 5 ? choice.c : choice.c / 16;
    int64_t gone = at < n.log.members.n ? n.log.members.members[at].id : 0;
    switch (choice.b) {
    case 0: log_change_member(&n.log, other.id, addr, "z", LOG_LEARNER, 0); break;
    case 1: log_change_member(&n.log, other.id, addr, "z", LOG_VOTER, 0); break;
    case 2: log_exchange(&n.log, gone, other.id); break;
    case 3: log_replace(&n.log, gone, other.id); break;
    case 4: log_finish_exchange(&n.log); break;
    default: log_change_member(&n.log, gone, 0, NULL, 0, 1);
    }
}

void Site::deliver(size_t at, bool keep)
{
    Message m = messages_[at];
    struct frame frame;
    if (keep)
        messages_[at].held = true;
    else
        messages_.erase(messages_.begin() + (long)at);
    Node &n = own(m.to);
    if (!n.up)
        return;
    auto *bytes = reinterpret_cast<const uint8_t *>(m.bytes->data());
    if (frame_parse(&frame, bytes, (int64_t)m.bytes->size(), CLUSTER) || n.take(&frame))
        say("node %d cannot read a frame of node %d", m.to, m.from);
    else if (frame.kind == FRAME_APPENDED || frame.kind == FRAME_SNAPSHOT_GOT)
        n.heard[m.from] = clock(n);
    act(n);
}

/* The end of a node's turn, as in controller_flush, if no more events belong to it; an armed one may end in it. */
void Site::act(Node &n)
{
    if (n.votes() && !n.turn_open)
        log_flush(&n.log);
    if (n.dying)
        end(n, (End)(n.armed & 3));
    if (n.up)
        check(n);
    check_leases();
}

void Site::deliver_all()
{
    for (int i = 0; oldest() >= 0 && breach.empty() && i < 200; i++)
        deliver((size_t)oldest(), false);
}

void Site::deliver_at_once()
{
    for (size_t i = 0; i < messages_.size() && breach.empty();) {
        const Message &m = messages_[i];
        if (!m.at_once || node(m.to).frozen || ((sides_ >> m.from ^ sides_ >> m.to) & 1)) {
            i++;
            continue;
        }
        deliver(i, false);
        i = 0;
    }
}

int Site::next_turn() const
{
    int at = oldest();
    return at >= 0 ? messages_[(size_t)at].to : (turn_ + 1) % study_->slots;
}

/* The timer of the next node, in turn: each runs once in TICK. */
void Site::tick()
{
    now_ += (TICK + study_->slots - 1) / study_->slots;
    turn_ = (turn_ + 1) % study_->slots;
    Node &n = own(turn_);
    if (!n.up || n.frozen)
        return;
    search_leader(n);
    n.on_timer();
    act(n);
}

/* As the directory finds it by asking around. */
void Site::search_leader(Node &n)
{
    if (study_->fleet.focus != MEMBERSHIP || directory_leader(&n.controller.directory))
        return;
    for (auto &other : nodes_)
        if (other->votes() && !other->frozen && !((sides_ >> n.at ^ sides_ >> other->at) & 1) &&
            log_has_lease(&other->log))
            directory_learn_leader(&n.controller.directory, other->log.term, (int64_t)other->world.self);
}

void Site::apply(const Choice &choice)
{
    const int at = next_turn();
    current = this;
    /* of ends and starts that change places with one another only one order is left: by node */
    touched_ = strchr("CSEI", choice.kind) ? touched_ & ~((2u << choice.a) - 1) : 0;
    used_[(unsigned char)choice.kind]++;
    step(choice);
    deliver_at_once();
    pointless = study_->fleet.seeds && node(at).armed >= 0 && (choice.kind == 'D' || choice.kind == 'W');
}

void Site::step(const Choice &choice)
{
    int at = oldest();
    if (strchr("DKU", choice.kind) && at < 0)
        return say("%c with nothing on its way", choice.kind); /* only a line given by hand can ask for it */
    if (choice.kind == 'D' || choice.kind == 'U')
        return deliver((size_t)at, choice.kind == 'U');
    if (choice.kind == 'L')
        return deliver((size_t)choice.a, false);
    if (choice.kind == 'K') {
        messages_[(size_t)at].held = true;
        return;
    }
    if (choice.kind == 'Z') {
        now_ += choice.a ? ELECTION * 9 / 10 : ELECTION;
        return check_leases();
    }
    if (choice.kind == 'W')
        return tick();
    if (choice.kind == 'Q' || choice.kind == 'Y') {
        for (int i = 0; i < choice.a * study_->slots && breach.empty(); i++) {
            deliver_all();
            tick();
        }
        return deliver_all();
    }
    if (choice.kind == 'G') {
        sides_ ^= 1u << choice.a;
        return;
    }
    Node &n = own(choice.a);
    switch (choice.kind) {
    case 'X': n.jumped += n.fleet ? ELECTION : n.log.election_due_ms - clock(n); /* fallthrough */
    case 'T': n.on_timer(); break;
    case 'H': n.turn_open = !n.turn_open; break;
    case 'F': n.frozen = !n.frozen; return;
    case 'B':
        n.controller.leaving = 1;
        n.controller.leave_ms = clock(n);
        n.on_timer();
        break;
    case 'P': {
        std::vector<uint8_t> op(study_->op_bytes);
        le_put(op.data(), (uint64_t)++ops_, 8);
        struct bytes body = {op.data(), (int64_t)op.size(), 0};
        log_propose(&n.log, ENTRY_OP, &body, acknowledged, (void *)(intptr_t)n.at, ops_);
        break;
    }
    case 'R': log_read(&n.log, confirmed, (void *)(intptr_t)n.at, acked_); break;
    case 'N': log_snapshot_save(&n.log); break;
    case 'O': log_hand_over(&n.log); break;
    case 'M': change(n, choice); break;
    case 'A': n.armed = choice.b; return;
    case 'C': end(n, (End)choice.b); return;
    case 'I': start(n, true); break;
    case 'E':
        retired_.push_back(n.id);
        n.disk = {};
        n.lasting.known = false; /* fallthrough */
    default: start(n, false);
    }
    act(n);
}

/* --- what makes two states the same ------------------------------------------------------ */

/* Ballot proposed, promised and accepted, by round and rank; * it knows what was chosen, + it took a list. */
static std::string bootstrap_text(const struct controller &c)
{
    char text[80];
    auto round = [](int64_t ballot) { return (long long)(ballot >> 23) * 10 + (ballot & 7); };
    snprintf(text, sizeof text, "%lld/%lld/%lld%s%s  ", round(c.proposer.ballot), round(c.acceptor.promised),
             round(c.acceptor.accepted), c.chosen_members.n ? "*" : "", c.bootstrap_members.n ? "+" : "");
    return text;
}

std::string Site::line() const
{
    std::string text;
    char part[80];
    for (auto &n : nodes_) {
        snprintf(part, sizeof part, "%d:%c%lld %lld/%lld%s  ", n->at, n->up ? "fpcL"[n->log.role] : '-',
                 (long long)n->log.term, (long long)n->log.commit, (long long)(n->up ? log_last(&n->log) : 0),
                 sides_ >> n->at & 1 ? "'" : "");
        text += part;
        if (n->fleet && n->up)
            text += bootstrap_text(n->controller);
    }
    for (auto &m : messages_)
        text += " " + std::to_string(m.from) + (m.held ? "~" : ">") + std::to_string(m.to);
    return text;
}

uint64_t Site::hash() const
{
    uint64_t h = hash_mix(sides_, (uint64_t)acked_);
    h = hash_mix(h, (uint64_t)(ops_ * 1000 + fresh_));
    for (int kind = 'A'; kind <= 'Z'; kind++)
        h = hash_mix(h, kind == 'D' || kind == 'S' ? 0 : (uint64_t)used_[kind]);
    for (auto &n : nodes_)
        h = hash_mix(h, n->hash(clock(*n)));
    for (auto &m : messages_)
        h = hash_mix(m.hash, h + (uint64_t)(m.held + 2 * m.to + 32 * m.from));
    for (auto &c : commits_)
        h = hash_mix(h, c.hash + (uint64_t)c.under);
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
    for (auto &t : told_to_end_)
        h = hash_mix(h, (uint64_t)t.id + (uint64_t)std::min(now_ - t.at, 2 * ELECTION));
    for (auto &t : taken_)
        h = hash_mix(h, hash_mix((uint64_t)t.id, t.list));
    h = hash_mix(h, hash_mix(told_list_, chosen_list_) + (uint64_t)turn_);
    return h;
}
} // namespace model
