// A simulated season with forty outlets, whose rules change while leaders change, nodes restart and executors crash,
// checked by an oracle.
#include "season_driver.h"

using namespace season;

namespace
{

std::string snapshot_of(Node *n) { return record_build::snapshot_of(&n->r); }

TEST(Season, EveryOutletsJobsRunOnceInTurnUnderItsRules)
{
    for (unsigned seed = 1; seed <= 2; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        SeasonDriver driver(seed);
        driver.season();
        SeasonOracle oracle(driver.history);
        expect_no_violations(oracle);
        EXPECT_EQ(driver.n_accepted, driver.n_jobs);
        EXPECT_EQ(oracle.n_over, driver.n_jobs);
        EXPECT_GT(driver.n_jobs, 2500);
        EXPECT_GT(oracle.n_turns, 2000);
        EXPECT_GT(oracle.n_failed, 0);
        EXPECT_GT(driver.n_changes, 500);
        EXPECT_GT(driver.n_stale, 10);
        EXPECT_GT(driver.n_bound, 10);
        EXPECT_GT(driver.n_clamped, 10);
        EXPECT_GT(driver.n_elections, 20);
        for (auto &n : driver.nodes) {
            driver.catch_up(n.get());
            EXPECT_EQ(snapshot_of(n.get()), snapshot_of(driver.leader));
        }
        printf("jobs %d failed %d changes %d stale %d bound %d clamped %d leaders %d batches %d\n", (int)driver.n_jobs,
               (int)oracle.n_failed, (int)driver.n_changes, (int)driver.n_stale, (int)driver.n_bound,
               (int)driver.n_clamped, (int)driver.n_elections, (int)driver.log.size());
    }
}

} // namespace
