// Two faults at once: every fault with every other, in both deployments, and each
// fault in the last second of a run. SAGEHITCH_PAIRS=all runs every pair,
// "DEPLOYMENT: ONE + OTHER" only that pair, with the given seeds unchanged;
// otherwise the seed selects a part of the pairs.
#include "strikes.h"

namespace
{

const char *const kDeployments[] = {"dackhuset", "dau-suoi-am"};

void run_pair(uint64_t seed, const char *deployment, const Fault &a, const Fault &b)
{
    SCOPED_TRACE(std::string(deployment) + ": " + a.name + " + " + b.name + " seed " + std::to_string(seed));
    FaultFleet f(seed, deployment);
    caller *load = sim_load(&f.s, 510, 14);
    f.run(1500 + sim_pick(&f.s, 1500));
    f.send_mixed_jobs(8);
    f.run(sim_pick(&f.s, 800));
    f.choose_victim();
    EXPECT_TRUE(a.inject(f));
    f.run(sim_pick(&f.s, 3) ? sim_pick(&f.s, 1200) : 0);
    EXPECT_TRUE(b.inject(f));
    f.send_mixed_jobs(4);
    f.service_back("two at once", 25000);
    f.run(sim_pick(&f.s, 5000));
    f.end_faults();
    EXPECT_EQ(f.settle(load, 90000), 0);
    EXPECT_EQ(sim_load_state(&f.s, "done") + sim_load_state(&f.s, "failed") + sim_load_state(&f.s, "cancelled"),
              load->n_jobs);
    EXPECT_EQ(f.breaches(), "");
}

TEST(Pairs, EveryFailureWithEveryOther)
{
    const char *wanted = getenv("SAGEHITCH_PAIRS");
    bool one = wanted && strstr(wanted, " + ");
    size_t n = 0, run = 0, part = wanted ? 1 : 60;
    for (size_t a = 0; a < kFaults.size(); a++)
        for (size_t b = a; b < kFaults.size(); b++)
            for (const char *deployment : kDeployments)
                for (uint64_t seed : seeds(1)) {
                    bool turned = !one && (seed + n) % 2;
                    const Fault &first = kFaults[turned ? b : a], &second = kFaults[turned ? a : b];
                    std::string name = std::string(deployment) + ": " + first.name + " + " + second.name;
                    std::string other = std::string(deployment) + ": " + second.name + " + " + first.name;
                    n++;
                    if (one ? name != wanted && other != wanted : (n + seed) % part != 0)
                        continue;
                    run_pair(one ? seed : seed * 1000 + n, deployment, one && other == wanted ? second : first,
                             one && other == wanted ? first : second);
                    run++;
                }
    printf("pairs run: %zu of %zu\n", run, n);
    EXPECT_GT(run, 0u);
}

TEST(Pairs, ALastFaultInTheFinalSecond)
{
    for (uint64_t seed : seeds(1))
        for (size_t i = 0; i < kFaults.size(); i++) {
            const char *deployment = kDeployments[(seed + i) % 2];
            SCOPED_TRACE(std::string(deployment) + ": last " + kFaults[i].name + " seed " + std::to_string(seed));
            FaultFleet f(seed * 100 + i, deployment);
            sim_load(&f.s, 510, 6);
            f.run(4000);
            f.send_mixed_jobs(8);
            f.run(1000 + sim_pick(&f.s, 900));
            f.choose_victim();
            EXPECT_TRUE(kFaults[i].inject(f));
            f.run(100);
            EXPECT_EQ(f.breaches(), "");
        } // ~Fleet checks the final state
}

} // namespace
