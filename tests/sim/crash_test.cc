// Kills and freezes, of every kind of process, under load.
#include "fleet.h"

namespace
{

// Runs a load, lets hit() do its worst in the middle, and wants service back
// in time, every accepted job ended, and no rule broken.
template <class Hit> void under_load(uint64_t seed, const char *what, Hit hit, int64_t seconds = 20)
{
    SCOPED_TRACE(std::string(what) + " seed " + std::to_string(seed));
    Fleet f(seed);
    f.run(5000);
    caller *load = sim_load(&f.s, 510, seconds);
    f.run(3000 + sim_pick(&f.s, 4000));
    hit(f);
    EXPECT_LE(f.service_back(what), 12000);
    EXPECT_EQ(f.settle(load), 0);
    EXPECT_EQ(sim_load_state(&f.s, "done") + sim_load_state(&f.s, "failed"), load->n_jobs);
    EXPECT_GE(sim_load_state(&f.s, "done") * 100, load->n_jobs * 80);
    EXPECT_EQ(f.breaches(), "");
}

TEST(Crash, ShardOwnerKilled)
{
    for (uint64_t seed : seeds())
        under_load(seed, "owner-killed",
                   [](Fleet &f) { sim_kill(sim_shard_owner(&f.s, sim_pick(&f.s, SHARD_COUNT)), 0); });
}

TEST(Crash, ThreeNodesKilledAndOneComesBack)
{
    for (uint64_t seed : seeds())
        under_load(seed, "three-nodes", [](Fleet &f) {
            machine *first = f.any();
            sim_kill(first, 0);
            sim_kill(f.any(), 0);
            sim_kill(f.any(), 0);
            f.run(sim_pick(&f.s, 3000));
            sim_restart(first);
        });
}

TEST(Crash, HomeKilled)
{
    for (uint64_t seed : seeds())
        under_load(seed, "home-killed", [](Fleet &f) {
            sim_kill(sim_executor_owner(&f.s, ("executor" + std::to_string(1 + sim_pick(&f.s, 11))).c_str()), 0);
        });
}

TEST(Crash, NodeFrozenWakesAfterItsDutiesMoved)
{
    for (uint64_t seed : seeds(6))
        under_load(seed, "node-frozen", [](Fleet &f) {
            machine *m = sim_pick(&f.s, 2)
                             ? sim_shard_owner(&f.s, sim_pick(&f.s, SHARD_COUNT))
                             : sim_executor_owner(&f.s, ("executor" + std::to_string(1 + sim_pick(&f.s, 11))).c_str());
            sim_freeze(m, 3000 + sim_pick(&f.s, 9000));
        });
}

TEST(Crash, KeeperLeaderKilledAndBack)
{
    for (uint64_t seed : seeds())
        under_load(seed, "leader-killed", [](Fleet &f) {
            machine *m = sim_leader(&f.s, sim_pick(&f.s, 2));
            sim_kill(m, 0);
            f.run(sim_pick(&f.s, 4000));
            sim_restart(m);
        });
}

TEST(Crash, KeeperLeaderFrozen)
{
    for (uint64_t seed : seeds())
        under_load(seed, "leader-frozen",
                   [](Fleet &f) { sim_freeze(sim_leader(&f.s, sim_pick(&f.s, 2)), 2000 + sim_pick(&f.s, 6000)); });
}

TEST(Crash, EveryProcessStoppedAndStarted)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Fleet f(seed);
        f.run(5000);
        ASSERT_EQ(f.persist("PUT", "/v1/settings/branch?expect=0&path=root/lookup", "{\"attemptsMax\":2}").status, 200);
        caller *load = sim_load(&f.s, 510, 6);
        f.run(4000);
        for (int64_t i = 0; i < f.s.n; i++)
            if (f.s.machines[i]->kind != M_CALLER)
                sim_kill(f.s.machines[i], 1);
        f.run(1000);
        for (int64_t i = 0; i < f.s.n; i++)
            if (f.s.machines[i]->kind != M_CALLER)
                sim_restart(f.s.machines[i]);
        EXPECT_LE(f.service_back("all"), 12000);
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(f.number(f.persist("GET", "/v1/settings", ""), "version"), 1);
        EXPECT_EQ(f.breaches(), "");
    }
}

// Random kills, freezes and restarts for a minute, then peace.
TEST(Crash, AMinuteOfChaos)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Fleet f(seed);
        f.run(5000);
        caller *load = sim_load(&f.s, 300, 60);
        std::vector<machine *> down;
        for (int round = 0; round < 20; round++) {
            f.run(1000 + sim_pick(&f.s, 4000));
            machine *m = f.s.machines[sim_pick(&f.s, f.s.n - 1)];
            if (m->kind == M_KEEPER) {
                int up = 0;
                for (int i = 1; i <= 3; i++)
                    up += f.at("keeper" + std::to_string(i))->up && !f.at("keeper" + std::to_string(i))->frozen;
                if (up < 3)
                    continue;
            }
            int64_t pick = sim_pick(&f.s, 3);
            if (m->up && pick == 0)
                sim_freeze(m, 500 + sim_pick(&f.s, 6000));
            else if (m->up && pick == 1)
                sim_kill(m, (int)sim_pick(&f.s, 2));
            else
                sim_restart(m);
        }
        for (int64_t i = 0; i < f.s.n; i++)
            if (!f.s.machines[i]->up)
                sim_restart(f.s.machines[i]);
        f.run(8000);
        EXPECT_LE(f.until_served("peace"), 1000);
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(f.breaches(), "");
    }
}

} // namespace
