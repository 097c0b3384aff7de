// Snapshots in chunks: a member handles damaged, lost and duplicate chunks, and changes its state only for a complete
// snapshot.
#include "log_pair.h"

using namespace log_pair;

TEST(LogTransfer, SnapshotIsInstalledAndFreed)
{
    for (size_t bytes : {(size_t)1, (size_t)CHUNK, (size_t)500000}) {
        Pair pair(bytes);
        pair.run(2000);
        EXPECT_EQ(pair.member.state, pair.leader.state);
        EXPECT_EQ(pair.member.log.snapshot_index, pair.leader.log.snapshot_index);
        EXPECT_EQ(pair.member.log.commit, pair.leader.log.commit);
        EXPECT_EQ(pair.leader.log.outgoing.data.at, nullptr);
        EXPECT_EQ(pair.member.log.incoming.data.at, nullptr);
        EXPECT_EQ(pair.member.events[EV_SNAPSHOT_REFUSED], 0);
        // after a restart it reads the same state from its disk
        Node restarted(MEMBER);
        log_end(&restarted.log);
        restarted.files = pair.member.files;
        const struct log_machine machine = {&restarted, Node::apply, Node::pack, Node::restore};
        log_start(&restarted.log, &restarted, 9, GROUP_JOBS, MEMBER, &machine);
        ASSERT_EQ(log_load(&restarted.log), 0);
        EXPECT_EQ(restarted.state, pair.leader.state);
    }
}

TEST(LogTransfer, HeartbeatsContinueAndOneChunkIsInFlight)
{
    Pair pair(500000);
    int chunks = 0, heartbeats = 0;
    pair.leader.log.peers[1].chunks = 1;
    pair.leader.log.peers[1].next = 1;
    for (int i = 0; i < 95; i++) { // no replies for 1.9 s
        pair.leader.now += 20;
        log_on_timer(&pair.leader.log);
        log_flush(&pair.leader.log);
        for (; !pair.leader.sent.empty(); pair.leader.pop_sent()) {
            chunks += pair.leader.sent.front()[3] == FRAME_SNAPSHOT_CHUNK;
            heartbeats += pair.leader.sent.front()[3] == FRAME_APPEND;
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
            struct log_chunk chunk = unpack_chunk(chunks[n]);
            int64_t total = chunk.total;
            int damage = random() % 3 ? 0 : 1 + (int)(random() % 9);
            switch (damage) {
            case 1: chunk.term = 1; break;                              // an earlier term
            case 2: chunk.index++, chunk.offset = CHUNK; break;         // another snapshot, not from its start
            case 3: chunk.data.len--; break;                            // truncated
            case 4: chunk.size = 0, chunk.data.len = 0; break;          // empty
            case 5: chunk.total = chunk.offset + chunk.size - 1; break; // longer than total
            case 6: chunk.offset = -1; break;
            case 7: chunk.offset = total + 1; break;
            case 8: chunk.snapshot_term = chunk.term + 1; break; // a later term
            case 9: chunk.total = INT64_MAX; break;
            }
            bool valid = damage == 0 && chunk.offset <= received;
            if (valid && chunk.offset == received)
                received += chunk.size;
            int before = member.events[EV_SNAPSHOT_REFUSED];
            std::string frame = pack_chunk(chunk);
            schema_free(&log_chunk_schema, &chunk);
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
            struct log_chunk chunk = unpack_chunk(chunks[n]);
            if (damage == 0 && n == 1) // a wrong byte in a valid frame
                chunk.data.at[77] ^= 1;
            if (damage == 1)
                chunk.sum ^= 1;
            std::string frame = pack_chunk(chunk);
            schema_free(&log_chunk_schema, &chunk);
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
    Pair pair(200000);
    pair.leader.log.peers[1].chunks = 0;
    pair.leader.log.peers[1].next = 1;
    pair.leader.now += 200;
    log_on_timer(&pair.leader.log);
    int whole = 0;
    for (; !pair.leader.sent.empty();) {
        std::string frame = pair.leader.pop_sent();
        whole += frame[3] == FRAME_SNAPSHOT;
        EXPECT_NE(frame[3], FRAME_SNAPSHOT_CHUNK);
        pair.member.take(frame);
    }
    EXPECT_EQ(whole, 1);
    EXPECT_EQ(pair.member.state, pair.leader.state);
}

TEST(LogTransfer, ResumesAtTheOffsetOfTheReceiver)
{
    Pair pair(500000);
    pair.leader.log.peers[1].chunks = 1;
    pair.leader.log.peers[1].next = 1;
    int sent = 0, lost = 0;
    for (int i = 0; i < 3000 && pair.member.state != pair.leader.state; i++) {
        pair.leader.now += 20, pair.member.now += 20;
        log_on_timer(&pair.leader.log);
        while (!pair.leader.sent.empty() || !pair.member.sent.empty()) {
            while (!pair.leader.sent.empty()) {
                std::string frame = pair.leader.pop_sent();
                bool chunk = frame[3] == FRAME_SNAPSHOT_CHUNK;
                sent += chunk;
                if (chunk && sent % 3 == 0)
                    lost++;
                else
                    pair.member.take(frame);
            }
            while (!pair.member.sent.empty()) {
                std::string frame = pair.member.pop_sent();
                if (frame[3] == FRAME_SNAPSHOT_CHUNK_ACK && sent == 4)
                    lost++; // an acknowledgement
                else
                    pair.leader.take(frame);
            }
        }
        if (i == 60) { // the leader forgets the offset and learns it again from the acknowledgement
            pair.leader.log.peers[1].offset = 0;
            pair.leader.log.peers[1].chunk_ms = 0;
        }
    }
    EXPECT_EQ(pair.member.state, pair.leader.state);
    EXPECT_GT(lost, 2);
    EXPECT_LE(sent, 500000 / CHUNK + 1 + lost + 2) << "it started over";
    EXPECT_EQ(pair.member.events[EV_SNAPSHOT_REFUSED], 0);
}

// A leader that takes further snapshots during a transfer continues it, and keeps the entries after that snapshot.
TEST(LogTransfer, LaterSnapshotsDoNotRestartTheTransfer)
{
    Pair pair(500000);
    pair.leader.log.settings.snapshot_every = 10;
    pair.leader.log.peers[1].chunks = 1;
    pair.leader.log.peers[1].next = 1;
    int64_t transfer_index = 0, snapshots_saved = 0;
    struct bytes op = {};
    bytes_add(&op, "+", 1);
    for (int i = 0; i < 60 && pair.member.log.commit == 0; i++) { // a slow link: one frame each way in 20 ms
        pair.leader.now += 20, pair.member.now += 20;
        for (int k = 0; k < 2 && i < 20; k++)
            log_propose(&pair.leader.log, ENTRY_OP, &op, nullptr, nullptr, 0);
        log_flush(&pair.leader.log);
        log_on_timer(&pair.leader.log);
        if (!pair.leader.sent.empty())
            pair.member.take(pair.leader.pop_sent());
        if (!pair.member.sent.empty())
            pair.leader.take(pair.member.pop_sent());
        if (!transfer_index && pair.member.log.incoming.index) {
            transfer_index = pair.member.log.incoming.index;
            snapshots_saved = pair.leader.events[EV_DIGEST_SAVED];
        }
    }
    bytes_free(&op);
    ASSERT_GT(transfer_index, 0);
    EXPECT_GE(pair.leader.events[EV_DIGEST_SAVED], snapshots_saved + 2);
    EXPECT_EQ(pair.member.log.snapshot_index, transfer_index);
    pair.run(1000);
    EXPECT_EQ(pair.member.state, pair.leader.state);
    EXPECT_EQ(pair.member.events[EV_DIGEST_TAKEN], 1) << "a second one was needed";
}

// Entries that a member acknowledged and has lost no longer count once it reports this in a later round.
TEST(LogTransfer, LostAcknowledgedEntriesAreDetected)
{
    Pair pair(1000);
    pair.run(1000);
    struct log_peer *peer = log_peer(&pair.leader.log, MEMBER);
    int64_t acknowledged = peer->match;
    ASSERT_EQ(acknowledged, log_last(&pair.leader.log));
    struct log_appended smaller = {GROUP_JOBS,       pair.leader.log.term, MEMBER, LEADER, 0,
                                   acknowledged - 1, peer->match_round,    0,      1};
    log_on_appended(&pair.leader.log, &smaller); // of the same round: may be an older frame that was reordered
    EXPECT_EQ(peer->match, acknowledged);
    EXPECT_EQ(pair.leader.events[EV_MEMBER_ROLLED_BACK], 0);
    smaller.round = peer->match_round + 1;
    log_on_appended(&pair.leader.log, &smaller);
    EXPECT_EQ(peer->match, acknowledged - 1);
    EXPECT_EQ(pair.leader.events[EV_MEMBER_ROLLED_BACK], 1);
    EXPECT_LE(peer->next, acknowledged + 1);
}
