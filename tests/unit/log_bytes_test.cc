// Large entries: the size of the log in memory and on disk is bounded, and a lagging member still reaches the same
// state.
#include "log_pair.h"

using namespace log_pair;

namespace
{
const int64_t MIB = 1 << 20, OP_BYTES = 256 << 10;
const int64_t KEEP_BYTES = 4 * MIB, SNAPSHOT_BYTES = 4 * MIB, LAGGING_KEEP_BYTES = 16 * MIB, SEGMENT_BYTES = 4 * MIB;

// The state is a checksum of all applied operations, so that snapshots are small although entries are large.
void apply_checksum(void *arg, int64_t, const struct bytes *op, struct bytes *)
{
    std::string &state = static_cast<Node *>(arg)->state;
    uint32_t sum = crc_of(op->at, op->len) ^ crc_of((const uint8_t *)state.data(), (int64_t)state.size()) * 31;
    state.assign((const char *)&sum, sizeof sum);
}

int64_t entry_bytes(const struct log &log)
{
    int64_t bytes = 0;
    for (int64_t i = 0; i < log.n_entries; i++)
        bytes += log.entries[i].body.len;
    return bytes;
}

int64_t disk_bytes(const Node &node)
{
    int64_t bytes = 0;
    for (auto &file : node.files)
        bytes += (int64_t)file.second.size();
    return bytes;
}

struct LargeEntries : Pair {
    int64_t written = 0;
    LargeEntries() : Pair(8)
    {
        for (Node *node : {&leader, &member}) {
            node->log.settings.keep_entries = 500;
            node->log.machine.apply = apply_checksum;
        }
    }
    void write()
    {
        struct bytes op = {};
        std::string body((size_t)OP_BYTES, (char)('a' + written++ % 26));
        bytes_add(&op, body.data(), OP_BYTES);
        log_propose(&leader.log, ENTRY_OP, &op, nullptr, nullptr, 0);
        bytes_free(&op);
        log_flush(&leader.log);
    }
};
} // namespace

// Without a lagging member, memory holds at most the entries since the last snapshot, those kept after it, and the
// newest entry.
TEST(LogBytes, MemoryAndDiskAreBoundedAndNothingIsLost)
{
    LargeEntries pair;
    pair.run(1000);
    int64_t peak_memory = 0, peak_disk = 0;
    for (int i = 0; i < 200; i++) { // 50 MiB, in fewer entries than keep_entries
        pair.write();
        pair.run(20);
        for (Node *node : {&pair.leader, &pair.member}) {
            peak_memory = std::max(peak_memory, entry_bytes(node->log));
            peak_disk = std::max(peak_disk, disk_bytes(*node));
        }
    }
    EXPECT_LE(peak_memory, SNAPSHOT_BYTES + KEEP_BYTES + OP_BYTES);
    EXPECT_GE(peak_memory, SNAPSHOT_BYTES);
    EXPECT_LE(peak_disk, SNAPSHOT_BYTES + 2 * SEGMENT_BYTES + 2 * OP_BYTES);
    pair.run(1000);
    EXPECT_EQ(pair.member.state, pair.leader.state);
    EXPECT_EQ(pair.member.events[EV_DIGEST_TAKEN], 1) << "an up-to-date member needed another snapshot";
    Node restarted(MEMBER);
    log_end(&restarted.log);
    restarted.files = pair.member.files;
    const struct log_machine machine = {&restarted, apply_checksum, Node::pack, Node::restore};
    log_start(&restarted.log, &restarted, 9, GROUP_JOBS, MEMBER, &machine);
    ASSERT_EQ(log_load(&restarted.log), 0);
    restarted.log.commit = log_last(&restarted.log);
    log_apply(&restarted.log);
    EXPECT_EQ(restarted.state, pair.leader.state);
}

// For a slow member that still replies at most LAGGING_KEEP_BYTES are kept, and it reaches the same state.
TEST(LogBytes, EntriesKeptForASlowMemberAreBounded)
{
    LargeEntries pair;
    pair.run(1000);
    int64_t peak_memory = 0;
    std::deque<std::string> delayed;
    for (int i = 0; i < 200; i++) { // it replies, but handles frames with a growing delay
        pair.leader.now += 20, pair.member.now += 20;
        pair.write();
        log_on_timer(&pair.leader.log);
        log_flush(&pair.leader.log);
        while (!pair.leader.sent.empty())
            delayed.push_back(pair.leader.pop_sent());
        if (i % 4 == 0 && !delayed.empty()) {
            pair.member.take(delayed.front());
            delayed.pop_front();
        }
        while (!pair.member.sent.empty())
            pair.leader.take(pair.member.pop_sent());
        peak_memory = std::max(peak_memory, entry_bytes(pair.leader.log));
    }
    EXPECT_LE(peak_memory, LAGGING_KEEP_BYTES + SNAPSHOT_BYTES + OP_BYTES);
    EXPECT_GT(peak_memory, KEEP_BYTES + SNAPSHOT_BYTES + OP_BYTES) << "nothing was kept for it";
    for (auto &frame : delayed)
        pair.member.take(frame);
    pair.run(8000);
    EXPECT_EQ(pair.member.state, pair.leader.state);
    EXPECT_EQ(pair.member.log.commit, pair.leader.log.commit);
    EXPECT_LE(entry_bytes(pair.leader.log), LAGGING_KEEP_BYTES + SNAPSHOT_BYTES + OP_BYTES);
}
