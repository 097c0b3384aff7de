// Snapshots in chunks: a member handles damaged, lost and duplicate chunks, and changes its state only for a complete
// snapshot.
#include "log_pair.h"

using namespace log_pair;

TEST(LogTransfer, SnapshotIsInstalledAndFreed)
{
    for (size_t bytes : {(size_t)1, (size_t)CHUNK, (size_t)500000}) {
        Pair p(bytes);
        p.run(2000);
        EXPECT_EQ(p.member.state, p.leader.state);
        EXPECT_EQ(p.member.log.snapshot_index, p.leader.log.snapshot_index);
        EXPECT_EQ(p.member.log.commit, p.leader.log.commit);
        EXPECT_EQ(p.leader.log.outgoing.data.at, nullptr);
        EXPECT_EQ(p.member.log.incoming.data.at, nullptr);
        EXPECT_EQ(p.member.events[EV_SNAPSHOT_REFUSED], 0);
        // after a restart it reads the same state from its disk
        Node restarted(MEMBER);
        log_end(&restarted.log);
        restarted.files = p.member.files;
        const struct log_machine machine = {&restarted, Node::apply, Node::pack, Node::restore};
        log_start(&restarted.log, &restarted, 9, GROUP_JOBS, MEMBER, &machine);
        ASSERT_EQ(log_load(&restarted.log), 0);
        EXPECT_EQ(restarted.state, p.leader.state);
    }
}

TEST(LogTransfer, HeartbeatsContinueAndOneChunkIsInFlight)
{
    Pair p(500000);
    int chunks = 0, heartbeats = 0;
    p.leader.log.peers[1].chunks = 1;
    p.leader.log.peers[1].next = 1;
    for (int i = 0; i < 95; i++) { // no replies for 1.9 s
        p.leader.now += 20;
        log_on_timer(&p.leader.log);
        log_flush(&p.leader.log);
        for (; !p.leader.sent.empty(); p.leader.pop_sent()) {
            chunks += p.leader.sent.front()[3] == FRAME_SNAPSHOT_CHUNK;
            heartbeats += p.leader.sent.front()[3] == FRAME_APPEND;
        }
    }
    EXPECT_EQ(chunks, 1);
    EXPECT_GE(heartbeats, 17);
}

// With chunks in any order and with any damage the state stays the old one until the snapshot is complete. received is
// the expected number of accepted bytes.
TEST(LogTransfer, InvalidChunksChangeNothing)
{
    std::vector<std::string> chunks = Pair(500000).chunks();
    std::string whole = Pair(500000).leader.state;
    ASSERT_GT(chunks.size(), 7u);
    std::mt19937 random(5);
    int completed = 0;
    for (int round = 0; round < 150; round++) {
        Node member(MEMBER);
        member.state = "old";
        member.log.term = 2;
        int64_t received = 0;
        for (int step = 0; step < 120 && !member.log.commit; step++) {
            size_t n = random() % 4 ? (size_t)(received / CHUNK) : random() % chunks.size();
            struct log_chunk c = unpack_chunk(chunks[n]);
            int64_t total = c.total;
            int damage = random() % 3 ? 0 : 1 + (int)(random() % 9);
            switch (damage) {
            case 1: c.term = 1; break;                      // an earlier term
            case 2: c.index++, c.offset = CHUNK; break;     // another snapshot, not from its start
            case 3: c.data.len--; break;                    // truncated
            case 4: c.size = 0, c.data.len = 0; break;      // empty
            case 5: c.total = c.offset + c.size - 1; break; // longer than total
            case 6: c.offset = -1; break;
            case 7: c.offset = total + 1; break;
            case 8: c.snapshot_term = c.term + 1; break; // a later term
            case 9: c.total = INT64_MAX; break;
            }
            bool valid = damage == 0 && c.offset <= received;
            if (valid && c.offset == received)
                received += c.size;
            int before = member.events[EV_SNAPSHOT_REFUSED];
            std::string frame = pack_chunk(c);
            schema_free(&log_chunk_schema, &c);
            member.take(frame);
            ASSERT_EQ(member.events[EV_SNAPSHOT_REFUSED] - before, valid ? 0 : 1)
                << "round " << round << " way " << damage << " chunk " << n;
            if (received < total) {
                ASSERT_EQ(member.state, "old");
                ASSERT_EQ(member.log.incoming.data.len, received);
            }
        }
        if (member.log.commit) {
            completed++;
            ASSERT_EQ(member.state, whole);
        }
    }
    EXPECT_GT(completed, 100);
}

TEST(LogTransfer, WrongChecksumOrStateChangesNothing)
{
    std::vector<std::string> chunks = Pair(200000).chunks();
    for (int damage = 0; damage < 3; damage++) {
        Node member(MEMBER);
        member.state = "old";
        member.refuse_restore = damage == 2;
        for (size_t n = 0; n < chunks.size(); n++) {
            struct log_chunk c = unpack_chunk(chunks[n]);
            if (damage == 0 && n == 1) // a wrong byte in a valid frame
                c.data.at[77] ^= 1;
            if (damage == 1)
                c.sum ^= 1;
            std::string frame = pack_chunk(c);
            schema_free(&log_chunk_schema, &c);
            member.take(frame);
        }
        EXPECT_EQ(member.state, "old");
        EXPECT_EQ(member.log.commit, 0);
        EXPECT_EQ(member.log.snapshot_index, 0);
        EXPECT_EQ(member.events[EV_SNAPSHOT_DAMAGED], 1);
        member.refuse_restore = false;
        for (auto &chunk : chunks) // then a valid transfer
            member.take(chunk);
        EXPECT_GT(member.log.commit, 0);
    }
}

TEST(LogTransfer, MemberOfAnOlderVersionGetsAWholeSnapshot)
{
    Pair p(200000);
    p.leader.log.peers[1].chunks = 0;
    p.leader.log.peers[1].next = 1;
    p.leader.now += 200;
    log_on_timer(&p.leader.log);
    int whole = 0;
    for (; !p.leader.sent.empty();) {
        std::string frame = p.leader.pop_sent();
        whole += frame[3] == FRAME_SNAPSHOT;
        EXPECT_NE(frame[3], FRAME_SNAPSHOT_CHUNK);
        p.member.take(frame);
    }
    EXPECT_EQ(whole, 1);
    EXPECT_EQ(p.member.state, p.leader.state);
}

TEST(LogTransfer, ResumesAtTheOffsetOfTheReceiver)
{
    Pair p(500000);
    p.leader.log.peers[1].chunks = 1;
    p.leader.log.peers[1].next = 1;
    int sent = 0, lost = 0;
    for (int i = 0; i < 3000 && p.member.state != p.leader.state; i++) {
        p.leader.now += 20, p.member.now += 20;
        log_on_timer(&p.leader.log);
        while (!p.leader.sent.empty() || !p.member.sent.empty()) {
            while (!p.leader.sent.empty()) {
                std::string frame = p.leader.pop_sent();
                bool chunk = frame[3] == FRAME_SNAPSHOT_CHUNK;
                sent += chunk;
                if (chunk && sent % 3 == 0)
                    lost++;
                else
                    p.member.take(frame);
            }
            while (!p.member.sent.empty()) {
                std::string frame = p.member.pop_sent();
                if (frame[3] == FRAME_SNAPSHOT_CHUNK_ACK && sent == 4)
                    lost++; // an acknowledgement
                else
                    p.leader.take(frame);
            }
        }
        if (i == 60) { // the leader forgets the offset and learns it again from the acknowledgement
            p.leader.log.peers[1].offset = 0;
            p.leader.log.peers[1].chunk_ms = 0;
        }
    }
    EXPECT_EQ(p.member.state, p.leader.state);
    EXPECT_GT(lost, 2);
    EXPECT_LE(sent, 500000 / CHUNK + 1 + lost + 2) << "it started over";
    EXPECT_EQ(p.member.events[EV_SNAPSHOT_REFUSED], 0);
}

// A leader that takes further snapshots during a transfer continues it, and keeps the entries after that snapshot.
TEST(LogTransfer, LaterSnapshotsDoNotRestartTheTransfer)
{
    Pair p(500000);
    p.leader.log.settings.snapshot_every = 10;
    p.leader.log.peers[1].chunks = 1;
    p.leader.log.peers[1].next = 1;
    int64_t transfer_index = 0, snapshots_saved = 0;
    struct bytes op = {};
    bytes_add(&op, "+", 1);
    for (int i = 0; i < 60 && p.member.log.commit == 0; i++) { // a slow link: one frame each way in 20 ms
        p.leader.now += 20, p.member.now += 20;
        for (int k = 0; k < 2 && i < 20; k++)
            log_propose(&p.leader.log, ENTRY_OP, &op, nullptr, nullptr, 0);
        log_flush(&p.leader.log);
        log_on_timer(&p.leader.log);
        if (!p.leader.sent.empty())
            p.member.take(p.leader.pop_sent());
        if (!p.member.sent.empty())
            p.leader.take(p.member.pop_sent());
        if (!transfer_index && p.member.log.incoming.index) {
            transfer_index = p.member.log.incoming.index;
            snapshots_saved = p.leader.events[EV_DIGEST_SAVED];
        }
    }
    bytes_free(&op);
    ASSERT_GT(transfer_index, 0);
    EXPECT_GE(p.leader.events[EV_DIGEST_SAVED], snapshots_saved + 2);
    EXPECT_EQ(p.member.log.snapshot_index, transfer_index);
    p.run(1000);
    EXPECT_EQ(p.member.state, p.leader.state);
    EXPECT_EQ(p.member.events[EV_DIGEST_TAKEN], 1) << "a second one was needed";
}

// Entries that a member acknowledged and has lost no longer count once it reports this in a later round.
TEST(LogTransfer, LostAcknowledgedEntriesAreDetected)
{
    Pair p(1000);
    p.run(1000);
    struct log_peer *peer = log_peer(&p.leader.log, MEMBER);
    int64_t acknowledged = peer->match;
    ASSERT_EQ(acknowledged, log_last(&p.leader.log));
    struct log_appended smaller = {GROUP_JOBS,       p.leader.log.term, MEMBER, LEADER, 0,
                                   acknowledged - 1, peer->match_round, 0,      1};
    log_on_appended(&p.leader.log, &smaller); // of the same round: may be an older frame that was reordered
    EXPECT_EQ(peer->match, acknowledged);
    EXPECT_EQ(p.leader.events[EV_MEMBER_ROLLED_BACK], 0);
    smaller.round = peer->match_round + 1;
    log_on_appended(&p.leader.log, &smaller);
    EXPECT_EQ(peer->match, acknowledged - 1);
    EXPECT_EQ(p.leader.events[EV_MEMBER_ROLLED_BACK], 1);
    EXPECT_LE(peer->next, acknowledged + 1);
}
