// Disks: power lost just after an acknowledgement, empty disks, new machines,
// slow, stalled, full and failing ones.
#include "fleet.h"

namespace {

struct Disks : Fleet {
    explicit Disks(uint64_t seed) : Fleet(seed, 6, 5, 16, "dackhuset", 6)
    {
        for (int i = 4; i <= 6; i++)
            sim_kill(keeper(i), 0), sim_wipe(keeper(i));
        run(5000);
    }
    machine *keeper(int i) { return at("keeper" + std::to_string(i)); }
    int voters(int64_t group)
    {
        machine *leader = sim_leader(&s, group);
        int n = 0;
        for (int64_t i = 0; leader && i < leader->core.keeper.logs[group].members.n; i++)
            n += log_votes(&leader->core.keeper.logs[group].members.members[i]);
        return n;
    }
    bool votes(machine *m, int64_t group)
    {
        machine *leader = sim_leader(&s, group);
        return leader && m->up && log_voter(&leader->core.keeper.logs[group], m->core.keeper.id);
    }
    // Accepts n jobs and returns their ids.
    std::vector<std::string> accept(int n, const std::string &tag)
    {
        std::vector<std::string> ids;
        for (int i = 0; i < n; i++) {
            Answer a = persist("POST", "/v1/jobs", lookup(tag + std::to_string(i)), 30000);
            EXPECT_TRUE(a.status == 201 || a.status == 200) << a.status << a.body;
            ids.push_back(text(a, "id"));
        }
        return ids;
    }
    void all_known(const std::vector<std::string> &ids)
    {
        for (const std::string &id : ids) {
            Answer a = persist("GET", "/v1/jobs/" + id, "", 20000);
            EXPECT_EQ(a.status, 200) << id << " " << a.body;
        }
    }
};

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
        EXPECT_LE(f.serviceBack("power"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

// Power lost by who voted just after its vote went out: asked by another in the
// same term it must not vote again. The asks are by hand, so both really come.
TEST(Disk, VotesLastThroughALossOfPower)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        machine *voter = nullptr, *others[2] = {};
        for (int i = 1, n = 0; i <= 3; i++)
            if (!voter && f.keeper(i) != sim_leader(&f.s, GROUP_JOBS))
                voter = f.keeper(i);
            else
                others[n++] = f.keeper(i);
        struct log *l = &voter->core.keeper.logs[GROUP_JOBS];
        int64_t term = l->term + 1;
        auto ask = [&](machine *from) {
            log_vote_ask m = {};
            m.group = GROUP_JOBS, m.term = term, m.from = from->core.keeper.id, m.to = voter->core.keeper.id;
            m.lastIndex = INT32_MAX, m.lastTerm = term, m.transfer = 1;
            bytes b = {};
            frame_build(&b, FRAME_VOTE_ASK, voter->core.keeper.cluster, from->base.self, &logVoteAskShape, &m);
            keeper_take(&voter->core.keeper, b.at, b.len);
            bytes_free(&b);
        };
        int64_t first = others[0]->core.keeper.id;
        ask(others[0]);
        ASSERT_EQ(l->vote, first);
        ASSERT_EQ(l->term, term);
        sim_kill(voter, 1);
        sim_restart(voter);
        ASSERT_EQ(voter->core.keeper.logs[GROUP_JOBS].term, term);
        ask(others[1]);
        EXPECT_EQ(l->vote, first) << "voted twice in one term";
        EXPECT_LE(f.serviceBack("votes"), 12000);
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
        EXPECT_LE(f.serviceBack("wiped"), 12000);
        f.run(15000);
        for (int64_t g = 0; g < GROUP_COUNT; g++) {
            EXPECT_TRUE(f.votes(m, g));
            EXPECT_EQ(f.voters(g), 3);
            machine *leader = sim_leader(&f.s, g);
            ASSERT_NE(leader, nullptr);
            EXPECT_FALSE(log_voter(&leader->core.keeper.logs[g], old));
        }
        // the new one must now be able to stand in for another
        for (int i = 1; i <= 3; i++)
            if (f.keeper(i) != m) {
                sim_kill(f.keeper(i), 0);
                break;
            }
        EXPECT_LE(f.serviceBack("second"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

// A keeper gone for good, another at a new address takes its place; one more is
// lost at a moment of that, swept in small steps: killed, cut off or frozen. From
// the moment a log knows the newcomer for a voter, it goes on without the other.
TEST(Disk, NoMomentOfFourVotersAtANewAddress)
{
    int64_t early = 0, late = 0;
    for (uint64_t seed : seeds(3))
        for (int64_t afterMs : {0, 20, 60, 120, 190, 260}) {
            SCOPED_TRACE("seed " + std::to_string(seed) + " after " + std::to_string(afterMs));
            Disks f(seed * 10 + (uint64_t)afterMs);
            std::vector<std::string> ids = f.accept(2, "a");
            machine *leader = sim_leader(&f.s, GROUP_JOBS), *gone = nullptr, *other = nullptr;
            for (int i = 1; i <= 3; i++)
                if (f.keeper(i) != leader)
                    (gone ? other : gone) = f.keeper(i);
            sim_kill(gone, 0);
            f.run(300);
            sim_boot(f.keeper(4));
            auto taken = [&](int64_t g) {
                machine *m = sim_leader(&f.s, g);
                struct log *l = m ? &m->core.keeper.logs[g] : nullptr;
                return l && log_voter(l, f.keeper(4)->core.keeper.id) && l->membersIndex <= l->commit;
            };
            for (int64_t ms = 0; ms < 15000 && !(taken(0) && taken(1)); ms++)
                f.run(1);
            ASSERT_TRUE(taken(0) && taken(1));
            f.run(afterMs);
            bool four = false;
            for (int64_t g = 0; g < GROUP_COUNT; g++)
                four |= sim_leader(&f.s, g) && log_majority(&sim_leader(&f.s, g)->core.keeper.logs[g]) > 2;
            EXPECT_FALSE(four);
            (sim_leader(&f.s, 0)->core.keeper.logs[0].members.n == 3 ? late : early)++;
            if (seed % 3 == 0)
                sim_kill(other, 1);
            else if (seed % 3 == 1)
                sim_cut_off(&f.s, other);
            else
                sim_freeze(other, 30000);
            EXPECT_LE(f.serviceBack("newcomer and one more lost"), 12000);
            f.all_known(ids);
            sim_heal(&f.s);
            EXPECT_EQ(f.breaches(), "");
            // for the end of the day: the one cut or frozen is back as it was
        }
    EXPECT_GT(early, 0);
    printf("struck %lld times, %lld before the change was settled\n", (long long)(early + late), (long long)early);
}

// The one that is replaced was only cut off. Just as its vote is to pass on, the
// other side of the net has a majority of the former voters: only one side may go on.
TEST(Disk, AVoteThatPassesOnIsNeverCountedTwice)
{
    int64_t struck = 0;
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Disks f(seed);
        std::vector<std::string> ids = f.accept(2, "a");
        machine *lead = sim_leader(&f.s, GROUP_JOBS), *off = nullptr, *other = nullptr;
        for (int i = 1; i <= 3; i++)
            if (f.keeper(i) != lead)
                (off ? other : off) = f.keeper(i);
        sim_cut_off(&f.s, off);
        f.run(3200 + sim_pick(&f.s, 400));         // taken for gone
        machine *fresh = f.keeper(4);
        sim_boot(fresh);
        struct log *l = &lead->core.keeper.logs[GROUP_JOBS];
        auto learns = [&] { return log_member(l, fresh->core.keeper.id) && l->membersIndex <= l->commit; };
        for (int64_t ms = 0; ms < 9000 && !learns(); ms++)
            f.run(1);
        ASSERT_TRUE(learns());
        for (machine *a : {lead, fresh})
            sim_cut(&f.s, a, other, 0);
        auto passes = [&] {
            bool yes = false;
            for (int64_t k = 0; k < l->members.n; k++)
                yes |= l->members.members[k].id == fresh->core.keeper.id && l->members.members[k].voter == VOTES_NEWLY;
            return yes;
        };
        for (int64_t ms = 0; ms < 1500 && !passes(); ms++)
            f.run(1);
        struck += passes();
        sim_heal(&f.s);
        for (machine *a : {lead, fresh})
            for (machine *b : {off, other})
                sim_cut(&f.s, a, b, 0);
        for (int i = 0; i < 24; i++) {
            sim_ask(&f.s, f.any(), "POST", "/v1/jobs", f.lookup("p" + std::to_string(i)).c_str(),
                    [](sim *, void *, int64_t, int, const char *) {}, nullptr, 0);
            f.run(200);
        }
        sim_heal(&f.s);
        EXPECT_LE(f.serviceBack("vote passed on in a split"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
    EXPECT_GT(struck, 0);
}

// Found by a bad day: the second disk goes the moment the first one's successor
// has its vote. There must be no moment with four voters, one of them dead.
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
            for (int64_t ms = 0; ms < 20000 && !(f.votes(m, 0) && f.votes(m, 1)); ms += 5)
                f.run(5);
            EXPECT_TRUE(f.votes(m, 0) && f.votes(m, 1));
        }
        EXPECT_LE(f.serviceBack("disks"), 12000);
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
        EXPECT_LE(f.serviceBack("exchanged"), 12000);
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
            m->disk.stallUntilUs = f.s.nowUs + 20000000;
        else if (kind == 1)
            m->disk.syncUs = 400000;
        else if (kind == 2)
            m->disk.full = 1;
        else
            m->disk.failing = 1;
        EXPECT_LE(f.serviceBack("disk"), 12000) << "kind " << kind;
        for (std::string &id : f.accept(3, "b"))
            ids.push_back(id);
        machine *leader = sim_leader(&f.s, GROUP_JOBS);
        EXPECT_NE(leader, m) << "kind " << kind;
        m->disk.full = m->disk.failing = 0;
        m->disk.syncUs = 500;
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
        for (int64_t i = 0; i < m->disk.nNow; i++)
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
                l.params.digestEvery = 30, l.params.keepEntries = 5, l.params.segmentBytes = 4096;
        std::vector<std::string> ids = f.accept(12, "a");
        machine *m = f.keeper(3);
        for (int round = 0; round < 12; round++) {
            sim_kill(m, (int)sim_pick(&f.s, 2));
            for (int64_t flips = 1 + sim_pick(&f.s, 3); flips && m->disk.nNow; flips--) {
                sim_file *file = m->disk.now[sim_pick(&f.s, m->disk.nNow)].file;
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
                l.params.digestEvery = 40;
                l.params.keepEntries = 10;
                l.params.segmentBytes = 4096;
            }
        std::vector<std::string> ids = f.accept(30, "a");
        EXPECT_GT(f.s.eventCounts[EV_DIGEST_SAVED], 3);
        machine *m = f.keeper(1);
        EXPECT_LT(m->disk.nNow, 20);
        sim_kill(m, 1);
        sim_wipe(m);
        f.run(500);
        sim_restart(m);
        f.run(15000);
        EXPECT_TRUE(f.votes(m, GROUP_JOBS));
        EXPECT_GT(f.s.eventCounts[EV_DIGEST_TAKEN], 0);
        for (int i = 1; i <= 3; i++)
            sim_kill(f.keeper(i), 1);
        for (int i = 1; i <= 3; i++)
            sim_restart(f.keeper(i));
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
}

}  // namespace
