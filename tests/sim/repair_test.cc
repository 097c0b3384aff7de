// How long service is away after each kind of loss, in virtual time, over the
// seeds: every one under the 12 s of the rule, and the spread printed.
#include <cstdio>

#include "fleet.h"

namespace
{

struct Loss {
    const char *name;
    void (*hit)(Fleet &f);
};

// The longest gap between moments at which one job for each shard was taken.
int64_t away(Fleet &f, const char *tag)
{
    int64_t from = sim_ms(&f.s), worst = 0;
    static int no;
    for (int64_t shard = 0; shard < SHARD_COUNT; shard++) {
        std::string key;
        do
            key = std::string(tag) + std::to_string(no++);
        while (key_shard(key.c_str()) != shard);
        f.persist("POST", "/v1/jobs", f.lookup(key), 30000);
        worst = std::max(worst, sim_ms(&f.s) - from);
    }
    return worst;
}

// Until every shard and every executor has a live owner that has opened it
// under its epoch: rows and accounts are handed over by then.
int64_t handed_over(Fleet &f)
{
    int64_t from = sim_ms(&f.s);
    for (;; f.run(10)) {
        bool whole = true;
        for (int64_t shard = 0; shard < SHARD_COUNT && whole; shard++) {
            machine *m = sim_shard_owner(&f.s, shard);
            whole = m && m->up && !m->frozen && m->core.node.shards[shard].state == SHARD_OPEN;
        }
        for (int i = 1; i <= 11 && whole; i++) {
            std::string name = "executor" + std::to_string(i);
            machine *m = sim_executor_owner(&f.s, name.c_str());
            struct executor_owner *h =
                m && m->up && !m->frozen ? executor_owner_find(&m->core.node, name.c_str()) : nullptr;
            whole = h && h->opened;
        }
        if (whole || sim_ms(&f.s) - from > 30000)
            return sim_ms(&f.s) - from;
    }
}

TEST(Repair, DutiesAreHandedOverInTime)
{
    struct Case {
        const char *name;
        void (*hit)(Fleet &f);
    } cases[] = {
        {"shard owner killed", [](Fleet &f) { sim_kill(sim_shard_owner(&f.s, sim_pick(&f.s, SHARD_COUNT)), 0); }},
        {"home killed", [](Fleet &f) { sim_kill(sim_executor_owner(&f.s, "executor5"), 0); }},
        {"home frozen", [](Fleet &f) { sim_freeze(sim_executor_owner(&f.s, "executor5"), 60000); }},
    };
    for (const Case &c : cases) {
        std::vector<int64_t> all;
        for (uint64_t seed : seeds(5)) {
            Fleet f(seed);
            f.run(15000);
            c.hit(f);
            all.push_back(handed_over(f));
            EXPECT_LE(all.back(), 12000) << c.name << " seed " << seed;
            EXPECT_EQ(f.breaches(), "") << c.name << " seed " << seed;
        }
        std::sort(all.begin(), all.end());
        printf("handed over: %-20s seeds %zu median %lld ms worst %lld ms\n", c.name, all.size(),
               (long long)all[all.size() / 2], (long long)all.back());
    }
}

// An empty disk: until its keeper holds the snapshots and entries and votes again.
TEST(Repair, AnEmptyDiskVotesAgainInTime)
{
    std::vector<int64_t> all;
    for (uint64_t seed : seeds(5)) {
        Fleet f(seed);
        f.run(6000);
        caller *load = sim_load(&f.s, 510, 8);
        f.run(6000);
        machine *m = f.at("keeper" + std::to_string(1 + sim_pick(&f.s, 3)));
        sim_kill(m, 1);
        sim_wipe(m);
        int64_t from = sim_ms(&f.s);
        sim_restart(m);
        auto votes = [&] {
            for (int64_t g = 0; g < GROUP_COUNT; g++) {
                machine *leader = sim_leader(&f.s, g);
                if (!leader || !log_is_voter(&leader->core.keeper.logs[g], m->core.keeper.id) ||
                    m->core.keeper.logs[g].commit < leader->core.keeper.logs[g].commit - 5)
                    return false;
            }
            return true;
        };
        while (!votes() && sim_ms(&f.s) - from < 30000)
            f.run(10);
        all.push_back(sim_ms(&f.s) - from);
        EXPECT_LE(all.back(), 12000) << seed;
        EXPECT_EQ(f.settle(load), 0) << seed;
        EXPECT_EQ(f.breaches(), "") << seed;
    }
    std::sort(all.begin(), all.end());
    printf("empty disk votes again: seeds %zu median %lld ms worst %lld ms\n", all.size(),
           (long long)all[all.size() / 2], (long long)all.back());
}

TEST(Repair, EveryShardIsServedAgainInTime)
{
    const Loss losses[] = {
        {"node killed", [](Fleet &f) { sim_kill(sim_shard_owner(&f.s, sim_pick(&f.s, SHARD_COUNT)), 0); }},
        {"node frozen", [](Fleet &f) { sim_freeze(sim_shard_owner(&f.s, sim_pick(&f.s, SHARD_COUNT)), 30000); }},
        {"five nodes killed",
         [](Fleet &f) {
             for (int i = 0; i < 5; i++)
                 sim_kill(f.any(), 0);
         }},
        {"control leader killed", [](Fleet &f) { sim_kill(sim_leader(&f.s, GROUP_CONTROL), 0); }},
        {"jobs leader frozen", [](Fleet &f) { sim_freeze(sim_leader(&f.s, GROUP_JOBS), 30000); }},
        {"keeper and node cut off",
         [](Fleet &f) {
             sim_cut_off(&f.s, sim_leader(&f.s, GROUP_JOBS));
             sim_cut_off(&f.s, sim_shard_owner(&f.s, sim_pick(&f.s, SHARD_COUNT)));
         }},
        {"zone killed",
         [](Fleet &f) {
             for (int64_t i = 0; i < f.s.n; i++)
                 if (f.s.machines[i]->kind != M_EXECUTOR && !strcmp(f.s.machines[i]->zone, "z2"))
                     sim_kill(f.s.machines[i], 0);
         }},
        {"power lost everywhere",
         [](Fleet &f) {
             for (int64_t i = 0; i < f.s.n; i++)
                 sim_kill(f.s.machines[i], 1);
             f.run(100);
             for (int64_t i = 0; i < f.s.n; i++)
                 sim_restart(f.s.machines[i]);
         }},
    };
    for (const Loss &loss : losses) {
        std::vector<int64_t> all;
        for (uint64_t seed : seeds(5)) {
            Fleet f(seed);
            f.run(6000 + sim_pick(&f.s, 2000));
            loss.hit(f);
            all.push_back(away(f, "r"));
            EXPECT_LE(all.back(), 12000) << loss.name << " seed " << seed;
            EXPECT_EQ(f.breaches(), "") << loss.name << " seed " << seed;
        }
        std::sort(all.begin(), all.end());
        printf("repair: %-24s seeds %zu median %lld ms worst %lld ms\n", loss.name, all.size(),
               (long long)all[all.size() / 2], (long long)all.back());
    }
}

} // namespace
