// Operators under the simulator: orders whose answers are lost, in races, at once and by the hundred, and
// sent to each side of a cut. Besides the judge, all that operators saw must be a register's history.
#include "cluster_operators.h"

namespace
{

// As for_each_seed(), and then the whole history of the configuration.
template <class Body> void operators(Body body, int fixed = 3)
{
    for_each_seed(
        [&](Cluster &s) {
            callers_load(&s.c, 3, 20000);
            body(s);
            operators_finish(s);
        },
        fixed);
}

void cut_off_20_s(Cluster &s, host *h, int way)
{
    s.c.fault_free = 0;
    operators_run(s, 2000, 3);
    for (int64_t i = 0; i < s.c.n; i++) {
        if (s.c.hosts[i] == h)
            continue;
        if (way != 1)
            host_cut(h, s.c.hosts[i], 1);
        if (way != 2)
            host_cut(s.c.hosts[i], h, 1);
    }
    operators_run(s, 20000, 3);
    cluster_heal(&s.c);
    operators_run(s, 4000, 3);
}

} // namespace

// way 0: both ways, 1: nothing reaches it, 2: nothing comes from it.
TEST(Cluster, OperatorsWhileTheLeaderIsCutOff)
{
    int way = 0;
    operators([&](Cluster &s) { cut_off_20_s(s, s.leader(), way++ % 3); });
}

TEST(Cluster, OperatorsWhileAFollowerIsCutOff)
{
    int way = 0;
    operators([&](Cluster &s) {
        host *leader = s.leader();
        cut_off_20_s(s, s.core(0) == leader ? s.core(1) : s.core(0), way++ % 3);
    });
}

TEST(Cluster, OperatorsWhileAnOuterNodeIsCutOff)
{
    int way = 0;
    operators([&](Cluster &s) { cut_off_20_s(s, s.core(3), way++ % 3); });
}

TEST(Cluster, OperatorsWhoseAnswersAreLost)
{
    operators([](Cluster &s) {
        s.c.lost_responses_pct = 90;
        operators_run(s, 20000, 8);
        int64_t again = 0;
        for (int64_t i = 0; i < s.c.n_changes; i++)
            again += s.c.changes[i].n_sends > 1;
        EXPECT_GT(again, 10);
    });
}

TEST(Cluster, OperatorsWhoseAnswersAreLostWhileLeadersDie)
{
    operators([](Cluster &s) {
        s.c.lost_responses_pct = 60;
        s.c.fault_free = 0;
        for (int i = 0; i < 4; i++) {
            operators_run(s, 2000, 8);
            host *h = s.leader();
            host_kill(h, i % 2);
            operators_run(s, 2500, 8);
            host_boot(h, 0);
        }
    });
}

TEST(Cluster, HundredsOfChangesInADay)
{
    operators(
        [](Cluster &s) {
            s.c.lost_responses_pct = 20;
            for (int i = 0; i < 400; i++) {
                operator_send_many(&s.c, 1 + cluster_pick(&s.c, 2));
                if (i % 10 == 0)
                    operator_read(&s.c);
                s.run(60);
            }
            EXPECT_GT(s.c.n_changes, 300);
        },
        2);
}
