// Disks: power lost just after an acknowledgement, empty disks, new machines,
// slow, stalled, full and failing ones.
#include "disks.h"

namespace
{

TEST(Disk, PowerLostEverywhereRightAfterAnAcknowledgement)
{
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        std::vector<std::string> ids = f.accept(4, "a");
        for (int i = 1; i <= 3; i++)
            sim_kill(f.keeper(i), 1);
        f.run(sim_pick(&f.s, 3000));
        for (int i = 1; i <= 3; i++) {
            sim_restart(f.keeper(i));
            EXPECT_TRUE(f.keeper(i)->up);
        }
        EXPECT_LE(f.service_back("power"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Disk, EmptyDiskAtTheSameAddressJoinsAnew)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        std::vector<std::string> ids = f.accept(3, "a");
        machine *m = sim_leader(&f.s, sim_pick(&f.s, 2));
        int64_t old = m->core.keeper.id;
        sim_kill(m, 1);
        sim_wipe(m);
        f.run(500 + sim_pick(&f.s, 3000));
        sim_restart(m);
        EXPECT_NE(m->core.keeper.id, old);
        EXPECT_LE(f.service_back("wiped"), 12000);
        f.run(15000);
        for (int64_t g = 0; g < GROUP_COUNT; g++) {
            EXPECT_TRUE(f.votes(m, g));
            EXPECT_EQ(f.voters(g), 3);
            machine *leader = sim_leader(&f.s, g);
            ASSERT_NE(leader, nullptr);
            EXPECT_FALSE(log_is_voter(&leader->core.keeper.logs[g], old));
        }
        // the new one must now be able to stand in for another
        for (int i = 1; i <= 3; i++)
            if (f.keeper(i) != m) {
                sim_kill(f.keeper(i), 0);
                break;
            }
        EXPECT_LE(f.service_back("second"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

// A keeper starts once without its disk, on an empty one at the same address, and another is lost while its vote is
// passed on; then both are there again with their disks, and the leader is lost. What was acknowledged must not be.
TEST(Disk, DiskThatWasTakenForGoneIsBack)
{
    int passed_on = 0;
    for (uint64_t seed : seeds(8)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        for (int i = 0; i < 20 && sim_leader(&f.s, GROUP_CONTROL) != sim_leader(&f.s, GROUP_JOBS); i++) {
            machine *m = sim_leader(&f.s, GROUP_JOBS);
            if (m)
                sim_kill(m, 0);
            f.run(4000);
            if (m)
                sim_restart(m);
            f.run(4000);
        }
        machine *leader = sim_leader(&f.s, GROUP_JOBS), *lost = nullptr, *other = nullptr;
        ASSERT_EQ(sim_leader(&f.s, GROUP_CONTROL), leader);
        for (int i = 1; i <= 3; i++)
            if (f.keeper(i) != leader)
                (lost ? other : lost) = f.keeper(i);
        std::vector<std::string> ids = f.accept(3, "a");
        struct sim_disk disk = {};
        sim_kill(lost, 0);
        sim_disk_copy(&disk, &lost->disk);
        sim_wipe(lost);
        sim_restart(lost);
        auto learns = [&](int64_t group) {
            const struct log *log = &leader->core.keeper.logs[group];
            const struct log_member *m = log_member(log, lost->core.keeper.id);
            return m && log->commit >= log->members_index;
        };
        for (int64_t ms = 0; ms < 20000 && !(learns(GROUP_CONTROL) && learns(GROUP_JOBS)); ms++)
            f.run(1);
        sim_kill(other, 0);
        f.run(3000);
        passed_on += f.votes(lost, GROUP_JOBS);
        for (int i = 0; i < 6; i++) { // acknowledged only if the leader still has its majority
            Fleet::Answer a = f.persist("POST", "/v1/jobs", f.lookup("b" + std::to_string(i)), 500);
            if (a.status == 201 || a.status == 200)
                ids.push_back(f.text(a, "id"));
        }
        sim_kill(leader, 0);
        sim_kill(lost, 0);
        sim_disk_copy(&lost->disk, &disk);
        sim_disk_clear(&disk);
        sim_restart(lost);
        sim_restart(other);
        f.run(10000);
        for (std::string &id : f.accept(3, "c"))
            ids.push_back(id);
        sim_restart(leader);
        f.run(5000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
    printf("vote passed on while another was away: %d runs\n", passed_on);
}

// Found by a bad day: the second disk goes the moment the first one's successor
// has its vote, to the millisecond. There must be no moment with four voters, one of them dead.
TEST(Disk, AnotherDiskGoneRightAfterTheFirstWasReplaced)
{
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        std::vector<std::string> ids = f.accept(3, "a");
        for (int i = 1; i <= 3; i++) {
            machine *m = f.keeper(i);
            sim_kill(m, 1);
            sim_wipe(m);
            f.run(300);
            sim_restart(m);
            int64_t proposed_ms = -1, ms = 0;
            for (; ms < 20000 && !(f.voted(m, 0) && f.voted(m, 1)); ms++) {
                if (proposed_ms < 0 && f.votes(m, 0) && f.votes(m, 1))
                    proposed_ms = ms;
                f.run(1);
            }
            EXPECT_TRUE(f.voted(m, 0) && f.voted(m, 1));
            EXPECT_LE(ms - proposed_ms, 500) << "how long the vote is on its way";
        }
        EXPECT_LE(f.service_back("disks"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Disk, AllThreeKeepersExchangedInTurn)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        std::vector<std::string> ids = f.accept(3, "a");
        EXPECT_EQ(f.persist("PUT", "/v1/settings/branch?expect=0&path=root", "{\"attemptsMax\":4}").status, 200);
        for (int i = 1; i <= 3; i++) {
            sim_kill(f.keeper(i), 0);
            f.run(1000);
            f.s.seeds[i - 1] = (int64_t)f.keeper(i + 3)->base.self;
            sim_boot(f.keeper(i + 3));
            f.run(15000);
            for (int64_t g = 0; g < GROUP_COUNT; g++) {
                EXPECT_TRUE(f.votes(f.keeper(i + 3), g)) << "keeper" << i + 3 << " log " << g;
                EXPECT_EQ(f.voters(g), 3);
            }
        }
        EXPECT_LE(f.service_back("exchanged"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.number(f.persist("GET", "/v1/settings", ""), "version"), 1);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Disk, StalledSlowFullOrFailingAtOneKeeper)
{
    for (uint64_t seed : seeds(8)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        std::vector<std::string> ids = f.accept(2, "a");
        machine *m = sim_leader(&f.s, GROUP_JOBS);
        int64_t kind = (int64_t)seed % 4;
        if (kind == 0)
            m->disk.stall_until_us = f.s.now_us + 20000000;
        else if (kind == 1)
            m->disk.sync_us = 400000;
        else if (kind == 2)
            m->disk.full = 1;
        else
            m->disk.failing = 1;
        EXPECT_LE(f.service_back("disk"), 12000) << "kind " << kind;
        for (std::string &id : f.accept(3, "b"))
            ids.push_back(id);
        machine *leader = sim_leader(&f.s, GROUP_JOBS);
        EXPECT_NE(leader, m) << "kind " << kind;
        m->disk.full = m->disk.failing = 0;
        m->disk.sync_us = 500;
        f.run(20000);
        sim_restart(m);
        EXPECT_TRUE(m->up);
        f.run(5000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Disk, DamageThatMayHaveBeenAcknowledgedIsNotVotedWith)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        std::vector<std::string> ids = f.accept(3, "a");
        machine *m = f.keeper(2);
        sim_kill(m, 0);
        for (int64_t i = 0; i < m->disk.n_now; i++)
            if (strstr(m->disk.now[i].name, "jobs-seg-") && m->disk.now[i].file->data.len > 200)
                m->disk.now[i].file->data.at[m->disk.now[i].file->data.len - 5] ^= 0x40;
        sim_restart(m);
        EXPECT_FALSE(m->up);
        sim_wipe(m);
        sim_restart(m);
        EXPECT_TRUE(m->up);
        f.run(15000);
        EXPECT_TRUE(f.votes(m, GROUP_JOBS));
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

// Any byte of any file of one keeper damaged while it was down: it refuses to
// start, or starts and nothing that was agreed is changed by it.
TEST(Disk, RandomDamageIsRefusedOrHarmless)
{
    int refused = 0, started = 0;
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        for (int i = 1; i <= 3; i++)
            for (log &l : f.keeper(i)->core.keeper.logs)
                l.settings.snapshot_every = 30, l.settings.keep_entries = 5, l.settings.segment_bytes = 4096;
        std::vector<std::string> ids = f.accept(12, "a");
        machine *m = f.keeper(3);
        for (int round = 0; round < 12; round++) {
            sim_kill(m, (int)sim_pick(&f.s, 2));
            for (int64_t flips = 1 + sim_pick(&f.s, 3); flips && m->disk.n_now; flips--) {
                sim_file *file = m->disk.now[sim_pick(&f.s, m->disk.n_now)].file;
                if (!file->data.len)
                    continue;
                if (sim_pick(&f.s, 6) == 0)
                    file->data.len = file->synced = sim_pick(&f.s, file->data.len);
                else
                    file->data.at[sim_pick(&f.s, file->data.len)] ^= (uint8_t)(1 + sim_pick(&f.s, 255));
            }
            sim_restart(m);
            m->up ? started++ : refused++;
            if (!m->up) {
                sim_wipe(m);
                sim_restart(m);
                EXPECT_TRUE(m->up);
            }
            f.run(4000);
            for (std::string &id : f.accept(1, "r" + std::to_string(round)))
                ids.push_back(id);
        }
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
    EXPECT_GT(refused, 0);
    EXPECT_GT(started, 0);
}

TEST(Disk, DigestsReplaceSegmentsAndStillBringEverythingBack)
{
    for (uint64_t seed : seeds(2)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        for (int i = 1; i <= 3; i++)
            for (log &l : f.keeper(i)->core.keeper.logs) {
                l.settings.snapshot_every = 40;
                l.settings.keep_entries = 10;
                l.settings.segment_bytes = 4096;
            }
        std::vector<std::string> ids = f.accept(30, "a");
        EXPECT_GT(f.s.event_counts[EV_DIGEST_SAVED], 3);
        machine *m = f.keeper(1);
        EXPECT_LT(m->disk.n_now, 20);
        sim_kill(m, 1);
        sim_wipe(m);
        f.run(500);
        sim_restart(m);
        f.run(15000);
        EXPECT_TRUE(f.votes(m, GROUP_JOBS));
        EXPECT_GT(f.s.event_counts[EV_DIGEST_TAKEN], 0);
        for (int i = 1; i <= 3; i++)
            sim_kill(f.keeper(i), 1);
        for (int i = 1; i <= 3; i++)
            sim_restart(f.keeper(i));
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

} // namespace
