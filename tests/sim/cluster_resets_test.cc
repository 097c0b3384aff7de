// Connections that are reset at each point of an order's way, while orders to executors are carried out late.
// SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include <tuple>

#include "cluster_operators.h"

namespace
{

// Within this time of its start an agent takes each start for one that a former process may have sent.
enum { INHERIT_MS = 20000 };

class ClusterResets : public ::testing::TestWithParam<std::tuple<int, int>>
{
  public:
    reset_hop hop() const { return (reset_hop)std::get<0>(GetParam()); }
    reset_point point() const { return (reset_point)std::get<1>(GetParam()); }
    bool orders_by_heartbeat(uint64_t seed) const { return (seed + (uint64_t)hop() + (uint64_t)point()) % 2 == 0; }
};

std::string name_of(const ::testing::TestParamInfo<std::tuple<int, int>> &info)
{
    const char *const hops[] = {"OperatorToNode", "NodeToLeader", "LeaderToVoters", "LeaderToAgent", "AgentToExecutor"};
    const char *const points[] = {"BeforeItIsRead", "BeforeTheAnswer", "InTheAnswer"};
    return std::string(hops[std::get<0>(info.param)]) + points[std::get<1>(info.param)];
}

// Half of what executors are sent is carried out seconds later; meanwhile some of them refuse as sick.
void carried_out_late(Cluster &s)
{
    for (int i = 0; i < 8; i++) {
        s.executor(i)->late_until_us = s.c.now_us + 2000000;
        if (cluster_pick(&s.c, 3) == 0)
            s.executor(i)->sick_until_us = s.c.now_us + 1500000;
    }
}

// A node that orders come to, which is not the leader.
host *outer_node(Cluster &s) { return s.core(3); }

} // namespace

INSTANTIATE_TEST_SUITE_P(Each, ClusterResets,
                         ::testing::Combine(::testing::Range(0, (int)HOP_COUNT),
                                            ::testing::Range(0, (int)RESET_POINTS)),
                         name_of);

// Every fifth, and the leader dies in the middle of it.
TEST_P(ClusterResets, NothingIsLostOrDoneTwice)
{
    for (uint64_t seed : seeds(1)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Cluster s(seed, {3, 1, 8, 1, orders_by_heartbeat(seed), {}, 0, 0});
        s.seed_ = seed;
        s.run(INHERIT_MS);
        callers_load(&s.c, 8, 12000);
        s.run(1000);
        s.c.fault_free = 0;
        s.c.links.reset_pct[hop()][point()] = 20;
        s.c.links.stale_ms = cluster_pick(&s.c, 2) * 1500;
        for (int i = 0; i < 6; i++) {
            host *h = s.leader();
            carried_out_late(s);
            operators_run(s, 1500, 4);
            if (i == 2)
                host_kill(h, 1);
            operators_run(s, 500, 4);
            host_boot(h, 0);
        }
        EXPECT_GT(s.c.links.n_resets[hop()][point()], 5) << s.trace();
        s.c.links.reset_pct[hop()][point()] = 0;
        operators_finish(s);
        s.close();
    }
}

// The leader's answers to changes wait for a majority while the node that sent them on starts anew; it numbers its
// requests from the start, and they are open when those answers come.
TEST(ClusterResets, AnswersToAFormerProcessReachNobody)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 6, 8000);
        s.c.fault_free = 0;
        for (int i = 0; i < 8; i++) {
            host *leader = s.leader(), *node = outer_node(s);
            operators_run(s, 500, 4);
            for (int k = 0; k < 3; k++)
                if (s.core(k) != leader)
                    link_stall(leader, s.core(k), 150);
            s.c.operators_target = node;
            operator_send_many(&s.c, 6);
            s.run(145);
            host_restart(node);
            for (int k = 0; k < 12; k++)
                operator_read_from(&s.c, node);
            s.run(355);
            s.c.operators_target = nullptr;
        }
        operators_finish(s);
    });
}

// The first sending of an order is refused, since its base is not in force yet; the refusal is held up on its way, the
// node sends the order again, and that one is taken. Then the refusal arrives.
TEST(ClusterResets, RefusalOfAnEarlierSendingIsNotTold)
{
    for_each_seed([](Cluster &s) {
        s.c.fault_free = 0;
        callers_load(&s.c, 4, 6000);
        s.run(1000);
        host *leader = s.leader(), *node = outer_node(s);
        int64_t base = s.c.acked_version;
        s.c.operators_target = node;
        link_stall(leader, node, 700);
        int64_t second = operator_send(&s.c, base + 2, base + 1);
        s.run(100);
        s.c.operators_target = leader;
        operator_send(&s.c, base + 1, base);
        s.run(550);
        operator_read_from(&s.c, leader);
        s.run(50);
        EXPECT_EQ(s.c.read_version, base + 2) << "not taken by the leader it was sent to again\n" << s.trace();
        EXPECT_EQ(s.c.changes[second].n_sends, 1) << s.trace();
        s.c.operators_target = nullptr;
        s.run(2000);
        EXPECT_EQ(s.c.changes[second].refusals, 0) << s.trace();
        operators_finish(s);
    });
}

// An order is taken and its answer lost between leader and node; another comes in on top of it before the node sends it
// again. It is acknowledged all the same, by the leader's history.
TEST(ClusterResets, OrderTakenBeforeAnotherIsAcknowledgedToItsSecondSending)
{
    for_each_seed([](Cluster &s) {
        s.c.fault_free = 0;
        callers_load(&s.c, 4, 6000);
        s.run(1000);
        host *leader = s.leader(), *node = outer_node(s);
        int64_t base = s.c.acked_version;
        s.c.operators_target = node;
        s.c.links.reset_pct[HOP_RELAY][RESET_IN_RESPONSE] = 100;
        int64_t first = operator_send(&s.c, base + 1, base);
        s.run(150);
        s.c.operators_target = leader;
        operator_send(&s.c, base + 2, base + 1);
        s.run(150);
        EXPECT_EQ(s.c.acked_version, base + 2) << s.trace();
        EXPECT_EQ(s.c.changes[first].acked_us, 0) << s.trace();
        s.c.links.reset_pct[HOP_RELAY][RESET_IN_RESPONSE] = 0;
        s.run(600);
        EXPECT_GT(s.c.changes[first].acked_us, 0) << s.trace();
        EXPECT_EQ(s.c.changes[first].n_sends, 1) << s.trace();
        s.c.operators_target = nullptr;
        operators_finish(s);
    });
}
