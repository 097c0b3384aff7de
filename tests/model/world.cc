// The environment of the model's nodes: clocks, network and disks as data.
#include <algorithm>
#include <cstring>

#include "model_cluster.h"

namespace model
{

Cluster *current;

namespace
{

Node &node_of(struct world *w) { return *reinterpret_cast<Node *>(w); }

int64_t mono_ms(struct world *w) { return current ? current->clock(node_of(w)) : 1; }
uint64_t random_of(struct world *) { return current ? current->random() : 0; }
void note(struct world *, int, const char *) {}
void send(struct world *w, uint64_t to, struct blob *frame, int)
{
    Node &node = node_of(w);
    if (!node.crashing && !node.is_reader)
        current->on_send(node, to, frame);
}

File *file(Node &node, const char *name)
{
    auto at = node.disk.names.find(name);
    return at == node.disk.names.end() ? nullptr : &node.disk.files[at->second];
}

int disk_list(struct world *w, void (*each)(void *, const char *), void *arg)
{
    for (auto &name : node_of(w).disk.names)
        each(arg, name.first.c_str());
    return 0;
}

int disk_read(struct world *w, const char *name, struct bytes *to)
{
    File *f = file(node_of(w), name);
    if (!f)
        return ERROR_NOT_FOUND;
    bytes_add(to, f->data.data(), (int64_t)f->data.size());
    return 0;
}

int disk_add(struct world *w, const char *name, const void *at, int64_t len)
{
    Node &node = node_of(w);
    if (node.crashing)
        return 0;
    if (!file(node, name)) {
        node.disk.names[name] = ++node.disk.files_made;
        node.disk.files[node.disk.files_made] = {};
    }
    File *f = file(node, name);
    f->data.append(static_cast<const char *>(at), (size_t)len);
    f->hash = hash_bytes(at, (size_t)len, f->hash);
    return 0;
}

int disk_cut(struct world *w, const char *name, int64_t len)
{
    File *f = file(node_of(w), name);
    if (!f)
        return ERROR_NOT_FOUND;
    f->data.resize((size_t)len);
    f->synced = std::min(f->synced, f->data.size());
    f->hash = hash_bytes(f->data.data(), f->data.size(), 0);
    return 0;
}

/* A node with crash_at_sync crashes here; its sends and writes in the rest of its turn have no effect. */
int disk_sync(struct world *w, const char *name)
{
    Node &node = node_of(w);
    File *f = file(node, name);
    if (node.crashing)
        return 0;
    if (node.crash_at_sync >= 0 && node.crash_at_sync < 4) {
        node.crashing = true;
        return 0;
    }
    if (!f)
        return ERROR_NOT_FOUND;
    f->synced = f->data.size();
    node.durable.known = false;
    node.crashing = node.crash_at_sync >= 4;
    return 0;
}

int disk_sync_names(struct world *w)
{
    Node &node = node_of(w);
    if (node.crashing)
        return 0;
    node.disk.durable = node.disk.names;
    node.durable.known = false;
    return 0;
}

int disk_rename(struct world *w, const char *from, const char *to)
{
    Node &node = node_of(w);
    if (node.crashing)
        return 0;
    auto at = node.disk.names.find(from);
    if (at == node.disk.names.end())
        return ERROR_NOT_FOUND;
    node.disk.names[to] = at->second;
    node.disk.names.erase(from);
    return 0;
}

int disk_remove(struct world *w, const char *name)
{
    Node &node = node_of(w);
    if (!node.crashing)
        node.disk.names.erase(name);
    return 0;
}

void apply(void *arg, int64_t index, const struct bytes *op, struct bytes *)
{
    Node &node = *static_cast<Node *>(arg);
    int64_t no = (int64_t)le_get(op->at, 8);
    node.ops.push_back(no);
    if (!node.is_reader)
        current->on_applied(node.number, index, no);
}

void snapshot(void *arg, struct bytes *to)
{
    Node &node = *static_cast<Node *>(arg);
    bytes_add(to, "S", 1);
    bytes_add(to, node.ops.data(), (int64_t)(node.ops.size() * sizeof node.ops[0]));
}

int restore(void *arg, const struct bytes *from)
{
    Node &node = *static_cast<Node *>(arg);
    node.ops.resize((size_t)(from->len - 1) / sizeof node.ops[0]);
    if (!node.ops.empty())
        memcpy(node.ops.data(), from->at + 1, node.ops.size() * sizeof node.ops[0]);
    return 0;
}

template <typename T> T *copy_of(const T *from, int64_t n)
{
    if (!n)
        return nullptr;
    T *to = static_cast<T *>(must_alloc(sizeof(T) * (size_t)n));
    memcpy(static_cast<void *>(to), from, sizeof(T) * (size_t)n);
    return to;
}
} // namespace

const struct world_calls *world_calls_of_model()
{
    static struct world_calls calls;
    if (!calls.mono_ms) {
        calls.mono_ms = calls.wall_ms = mono_ms;
        calls.random = random_of;
        calls.send = send;
        calls.note = note;
        WORLD_TAKE_DISK(&calls);
    }
    return &calls;
}

/* Copies all that a log owns. A new member of struct log that owns memory must be copied here. */
void log_duplicate(struct log *to, const struct log *from, struct world *w)
{
    static_assert(sizeof(struct log) == 1288, "struct log has changed: copy here what it owns, then update the size");
    *to = *from;
    to->w = w;
    to->entries = copy_of(from->entries, from->n_entries);
    for (int64_t i = 0; i < from->n_entries; i++) {
        to->entries[i].body = {};
        bytes_copy(&to->entries[i].body, &from->entries[i].body);
    }
    to->outgoing.data = to->incoming.data = {};
    bytes_copy(&to->outgoing.data, &from->outgoing.data);
    bytes_copy(&to->incoming.data, &from->incoming.data);
    to->members = to->snapshot_members = {};
    schema_copy(&log_members_schema, &to->members, &from->members);
    schema_copy(&log_members_schema, &to->snapshot_members, &from->snapshot_members);
    to->peers = copy_of(from->peers, from->n_peers);
    to->pending = copy_of(from->pending, from->n_pending);
    to->reads = copy_of(from->reads, from->n_reads);
    to->segments = copy_of(from->segments, from->n_segments);
}

Node::Node() { world.calls = world_calls_of_model(); }

Node::Node(const Node &other)
    : world(other.world), number(other.number), up(other.up), crashing(other.crashing),
      crash_at_sync(other.crash_at_sync), is_reader(other.is_reader), segment_bytes(other.segment_bytes), id(other.id),
      rate(other.rate), clock_offset(other.clock_offset), committed(other.committed),
      controller_setup(other.controller_setup), sync_deferred(other.sync_deferred), frozen(other.frozen),
      last_timer_ms(other.last_timer_ms), awake_since_ms(other.awake_since_ms), heartbeat_round(other.heartbeat_round),
      member_kinds(other.member_kinds), members_index(other.members_index), disk(other.disk), ops(other.ops),
      durable(other.durable)
{
    memcpy(last_reply_ms, other.last_reply_ms, sizeof last_reply_ms);
    if (up && controller_setup)
        copy_controller(other);
    if (votes()) {
        log_duplicate(&log, &other.log, &world);
        log.machine.arg = this;
    }
}

Node::~Node() { unload(); }

int Node::load()
{
    const struct log_machine machine = {this, apply, snapshot, restore};
    ops.clear();
    committed = 0;
    up = true;
    log_start(&log, &world, CLUSTER, GROUP_JOBS, id, &machine);
    log.settings.heartbeat_ms = 0; /* a leader sends heartbeats whenever its timer is chosen */
    log.settings.election_ms = ELECTION_MS;
    log.settings.keep_entries = 0;
    if (segment_bytes)
        log.settings.segment_bytes = segment_bytes;
    log_election_reset(&log);
    return log_load(&log);
}

const Node::Durable &Node::after_power_loss()
{
    if (durable.known)
        return durable;
    Node reader;
    reader.is_reader = true;
    reader.id = id;
    reader.disk = disk;
    reader.disk.crash(POWER_LOSS);
    durable = {};
    durable.known = true;
    if (controller_setup) {
        reader.read_bootstrap_files();
        durable.promised = reader.durable.promised;
        durable.accepted = reader.durable.accepted;
        durable.accepted_list = reader.durable.accepted_list;
        durable.bootstrap_list = reader.durable.bootstrap_list;
    }
    if (reader.load())
        return durable;
    durable.term = reader.log.term;
    durable.vote = reader.log.vote;
    durable.base = reader.log.snapshot_index;
    for (int64_t i = 0; i < reader.log.n_entries; i++)
        durable.terms.push_back(reader.log.entries[i].term);
    return durable;
}

void Disk::crash(Crash how)
{
    std::map<int, File> left;
    if (how == POWER_LOSS)
        names = durable;
    for (auto &name : names) {
        File &f = files[name.second];
        size_t unsynced = f.data.size() - f.synced;
        if (how != KILLED && unsynced) {
            f.data.resize(f.synced + (how == TORN_WRITE ? unsynced / 2 : 0));
            f.synced = f.data.size();
            f.hash = hash_bytes(f.data.data(), f.data.size(), 0);
        }
        left[name.second] = f;
    }
    if (how != KILLED)
        durable = names;
    else
        for (auto &name : durable)
            left[name.second] = files[name.second];
    files.swap(left);
}

uint64_t hash_bytes(const void *at, size_t len, uint64_t into) { return hash_mix(hash_of(at, (int64_t)len), into); }

uint64_t Disk::hash() const
{
    uint64_t h = 1;
    for (auto &name : names) {
        const File &f = files.at(name.second);
        h = hash_bytes(name.first.data(), name.first.size(), h);
        h = hash_mix(hash_mix(h, f.hash), f.synced);
        auto at = durable.find(name.first);
        h = hash_mix(h, at != durable.end() && at->second == name.second);
    }
    for (auto &name : durable)
        if (!names.count(name.first)) {
            const File &f = files.at(name.second);
            h = hash_bytes(name.first.data(), name.first.size(), h);
            h = hash_mix(hash_mix(h, f.hash), f.synced);
        }
    return h;
}

/* An operation is a number followed by zeroes (Cluster::step()). */
uint64_t entry_hash(const struct log_entry *entry)
{
    int64_t len = entry->kind == ENTRY_OP ? 8 : entry->body.len;
    return hash_bytes(entry->body.at, (size_t)len, hash_mix((uint64_t)entry->term, (uint64_t)entry->kind));
}
uint64_t Node::hash(int64_t clock) const
{
    auto age = [clock](int64_t ms) { return (uint64_t)std::min<int64_t>(clock - ms, 2 * ELECTION_MS); };
    auto left = [clock](int64_t ms) { return (uint64_t)std::max<int64_t>(ms - clock, 0); };
    uint64_t h = hash_mix(hash_mix((uint64_t)id, up + 2 * sync_deferred), (uint64_t)crash_at_sync);
    h = hash_mix(h, disk.hash());
    if (up && controller_setup)
        h = hash_mix(h, controller_hash(clock));
    if (!votes())
        return h;
    const uint64_t numbers[] = {(uint64_t)log.role,
                                (uint64_t)log.term,
                                (uint64_t)log.vote,
                                (uint64_t)log.leader_id,
                                (uint64_t)log.commit,
                                (uint64_t)log.applied,
                                (uint64_t)log.synced,
                                (uint64_t)log.first_index,
                                (uint64_t)log.n_entries,
                                (uint64_t)log.snapshot_index,
                                (uint64_t)log.last_sender_id,
                                (uint64_t)log.round,
                                (uint64_t)log.last_sender_addr,
                                left(log.election_due_ms),
                                age(log.heard_leader_ms),
                                left(log.no_vote_before_ms),
                                (uint64_t)log.excluded_voter_id,
                                log.handed_over_ms != 0,
                                log.role == LOG_LEADER ? age(log.leader_since_ms) : 0,
                                (uint64_t)log.broken,
                                (uint64_t)log.members_index};
    h = hash_bytes(numbers, sizeof numbers, h);
    for (int64_t i = 0; i < log.n_entries; i++)
        h = hash_mix(h, entry_hash(&log.entries[i]));
    for (int64_t i = 0; i < log.n_votes && (log.role == LOG_PRE_CANDIDATE || log.role == LOG_CANDIDATE); i++)
        h = hash_mix(h, (uint64_t)log.votes[i]);
    for (int64_t i = 0; i < log.n_peers && log.role == LOG_LEADER; i++) {
        const struct log_peer &p = log.peers[i];
        const uint64_t told[] = {(uint64_t)p.id, (uint64_t)p.next, (uint64_t)p.match, (uint64_t)p.acked_round,
                                 age(p.heard_ms)};
        h = hash_bytes(told, sizeof told, h);
    }
    for (int64_t r = log.round; log.role == LOG_LEADER && r > 0 && r > log.round - ROUNDS_KEPT; r--)
        h = hash_mix(h, age(log.round_sent_ms[r % ROUNDS_KEPT]));
    for (int64_t i = 0; i < log.n_pending; i++)
        h = hash_mix(h, hash_mix((uint64_t)log.pending[i].index, (uint64_t)log.pending[i].tag));
    for (int64_t i = 0; i < log.n_reads; i++)
        h = hash_mix(h, hash_mix((uint64_t)log.reads[i].round, (uint64_t)log.reads[i].tag));
    return h;
}
} // namespace model
