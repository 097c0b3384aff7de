// A busy season: forty outlets, head office that changes its mind, outlets that adjust, leaders
// that change, nodes that restart, executors that go down; and a judge of its own.
#include "season_driver.h"

using namespace season;

namespace
{

std::string snapshot_of(Node *n) { return record_build::snapshot_of(&n->r); }

TEST(Season, EveryOutletsJobsRunOnceInTurnUnderItsRules)
{
    for (unsigned seed = 1; seed <= 2; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Office office(seed);
        office.season();
        Judge judge(office.history);
        expect_quiet(judge);
        EXPECT_EQ(office.n_taken, office.n_jobs);
        EXPECT_EQ(judge.n_over, office.n_jobs);
        EXPECT_GT(office.n_jobs, 2500);
        EXPECT_GT(judge.n_turns, 2000);
        EXPECT_GT(judge.n_failed, 0);
        EXPECT_GT(office.n_changes, 500);
        EXPECT_GT(office.n_stale, 10);
        EXPECT_GT(office.n_bound, 10);
        EXPECT_GT(office.n_clamped, 10);
        EXPECT_GT(office.n_led, 20);
        for (auto &n : office.nodes) {
            office.catch_up(n.get());
            EXPECT_EQ(snapshot_of(n.get()), snapshot_of(office.leader));
        }
        printf("jobs %d failed %d changes %d stale %d bound %d clamped %d leaders %d batches %d\n", (int)office.n_jobs,
               (int)judge.n_failed, (int)office.n_changes, (int)office.n_stale, (int)office.n_bound,
               (int)office.n_clamped, (int)office.n_led, (int)office.log.size());
    }
}

} // namespace
