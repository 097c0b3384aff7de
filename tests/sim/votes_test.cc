// Votes: who has one, through losses of power and changes of keepers.
#include "disks.h"

namespace
{

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
        auto request = [&](machine *from) {
            log_vote_request m = {};
            m.group = GROUP_JOBS, m.term = term, m.from = from->core.keeper.id, m.to = voter->core.keeper.id;
            m.last_index = INT32_MAX, m.last_term = term, m.transfer = 1;
            bytes b = {};
            frame_build(&b, FRAME_VOTE_REQUEST, voter->core.keeper.cluster, from->base.self, &log_vote_request_schema,
                        &m);
            keeper_on_frame(&voter->core.keeper, b.at, b.len);
            bytes_free(&b);
        };
        int64_t first = others[0]->core.keeper.id;
        request(others[0]);
        ASSERT_EQ(l->vote, first);
        ASSERT_EQ(l->term, term);
        sim_kill(voter, 1);
        sim_restart(voter);
        ASSERT_EQ(voter->core.keeper.logs[GROUP_JOBS].term, term);
        request(others[1]);
        EXPECT_EQ(l->vote, first) << "voted twice in one term";
        EXPECT_LE(f.service_back("votes"), 12000);
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
        for (int64_t after_ms : {0, 20, 60, 120, 190, 260}) {
            SCOPED_TRACE("seed " + std::to_string(seed) + " after " + std::to_string(after_ms));
            Disks f(seed * 10 + (uint64_t)after_ms);
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
                return l && log_is_voter(l, f.keeper(4)->core.keeper.id) && l->members_index <= l->commit;
            };
            for (int64_t ms = 0; ms < 15000 && !(taken(0) && taken(1)); ms++)
                f.run(1);
            ASSERT_TRUE(taken(0) && taken(1));
            f.run(after_ms);
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
            EXPECT_LE(f.service_back("newcomer and one more lost"), 12000);
            f.all_known(ids);
            sim_heal(&f.s);
            EXPECT_EQ(f.breaches(), "");
            // for the end of the day: the one cut or frozen is back as it was
        }
    EXPECT_GT(early, 0);
    printf("struck %lld times, %lld before the change was settled\n", (long long)early + late, (long long)early);
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
        f.run(3200 + sim_pick(&f.s, 400)); // taken for gone
        machine *fresh = f.keeper(4);
        sim_boot(fresh);
        struct log *l = &lead->core.keeper.logs[GROUP_JOBS];
        auto learns = [&] { return log_member(l, fresh->core.keeper.id) && l->members_index <= l->commit; };
        for (int64_t ms = 0; ms < 9000 && !learns(); ms++)
            f.run(1);
        ASSERT_TRUE(learns());
        for (machine *a : {lead, fresh})
            sim_cut(&f.s, a, other, 0);
        auto passes = [&] {
            bool yes = false;
            for (int64_t k = 0; k < l->members.n; k++)
                yes |= l->members.members[k].id == fresh->core.keeper.id &&
                       l->members.members[k].voter == LOG_INCOMING_VOTER;
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
            f.post(f.lookup("p" + std::to_string(i)));
            f.run(200);
        }
        sim_heal(&f.s);
        EXPECT_LE(f.service_back("vote passed on in a split"), 12000);
        f.all_known(ids);
        EXPECT_EQ(f.breaches(), "");
    }
    EXPECT_GT(struck, 0);
}

} // namespace
