// Controllers, agents, executors, callers and an operator under the simulator.
// Every scenario runs over a list of seeds, SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include "cluster_run.h"

TEST(Cluster, Calm)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 15000);
        for (int i = 0; i < 5; i++) {
            s.run(3000);
            operator_change(&s.c, i == 2, i == 3 ? 1 + (int)cluster_pick(&s.c, 3) : 0);
            operator_read(&s.c);
        }
        EXPECT_EQ(s.c.n_refused, 0) << s.trace();
    });
}

TEST(Cluster, LeaderKilled)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        for (int i = 0; i < 3; i++) {
            s.run(3000);
            s.c.fault_free = 0;
            host *h = s.leader();
            operator_change(&s.c, 1, 0);
            host_kill(h, i == 1);
            s.run(3000);
            host_boot(h, 0);
        }
    });
}

TEST(Cluster, RollingRestart)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 30000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int64_t i = 0; i < s.c.n; i++) {
            host_leave(s.c.hosts[i]);
            s.run(2500);
        }
    });
}

TEST(Cluster, AllPowerLost)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(5000);
        s.c.fault_free = 0;
        operator_change(&s.c, 0, 0);
        s.run(300 + cluster_pick(&s.c, 300));
        for (int64_t i = 0; i < s.c.n; i++) {
            host_kill(s.c.hosts[i], 1);
            if (s.c.hosts[i]->standin && cluster_pick(&s.c, 2))
                standin_crash(s.c.hosts[i]->standin, 4000);
        }
        s.run(3000);
        for (int64_t i = 0; i < s.c.n; i++)
            host_boot(s.c.hosts[i], 0);
        s.run(8000);
    });
}

TEST(Cluster, DiskWipedAfterAck)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 15000);
        s.run(4000);
        s.c.fault_free = 0;
        int64_t before = s.c.acked_version;
        operator_change(&s.c, 0, 0);
        while (s.c.acked_version == before && s.c.now_us < 60000000)
            s.run(1);
        host *h = cluster_pick(&s.c, 2) ? s.leader() : s.core(cluster_pick(&s.c, 3));
        host_kill(h, 1);
        host_wipe(h);
        if (cluster_pick(&s.c, 2))
            for (int i = 0; i < 3; i++)
                host_kill(s.core(i), 1);
        s.run(3000);
        for (int64_t i = 0; i < s.c.n; i++)
            host_boot(s.c.hosts[i], 0);
        s.run(10000);
    });
}

TEST(Cluster, VoterReplaced)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 25000);
        s.run(4000);
        s.c.fault_free = 0;
        cluster_replace(cluster_pick(&s.c, 2) ? s.leader() : s.core(1));
        s.run(12000);
        cluster_replace(s.leader());
        s.run(9000);
    });
}

TEST(Cluster, CoreCut)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 2; i++) {
            host *h = i ? s.core(cluster_pick(&s.c, 3)) : s.leader();
            if (i)
                host_cut_off(h);
            else
                for (int k = 0; k < 3; k++)
                    if (s.core(k) != h)
                        host_cut(h, s.core(k), 0);
            operator_change(&s.c, 1, 0);
            s.run(5500);
            cluster_heal(&s.c);
            s.run(3000);
        }
    });
}

TEST(Cluster, AgentCutOff)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 3; i++) {
            host_cut_off(s.executor(cluster_pick(&s.c, 8))->host);
            host_cut_off(s.executor(cluster_pick(&s.c, 8))->host);
            s.run(1000 + cluster_pick(&s.c, 8000));
            cluster_heal(&s.c);
            s.run(1000);
        }
    });
}

TEST(Cluster, AgentsKilledAndFrozen)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 6; i++) {
            host *h = s.executor(cluster_pick(&s.c, 8))->host;
            if (cluster_pick(&s.c, 2))
                host_freeze(h, 500 + cluster_pick(&s.c, 8000));
            else {
                host_kill(h, 0);
                s.run(cluster_pick(&s.c, 6000));
                host_boot(h, 0);
            }
            s.run(1500);
        }
    });
}

TEST(Cluster, ExecutorsCrash)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 6; i++) {
            standin_crash(s.executor(cluster_pick(&s.c, 8)), cluster_pick(&s.c, 5000));
            s.run(2500);
        }
    });
}

TEST(Cluster, ExecutorsGrey)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 5; i++) {
            standin *x = s.executor(cluster_pick(&s.c, 8));
            int64_t until_us = s.c.now_us + 1000 * (1000 + cluster_pick(&s.c, 5000));
            switch (cluster_pick(&s.c, 4)) {
            case 0: x->hang_until_us = until_us; break;
            case 1: x->fail_until_us = until_us; break;
            case 2: x->sick_until_us = until_us; break;
            case 3: x->slow_pct = 300; break;
            }
            s.run(3000);
        }
    });
}

TEST(Cluster, LateOrders)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 8; i++) {
            standin *x = s.executor(cluster_pick(&s.c, 8));
            x->late_until_us = s.c.now_us + 5000000;
            if (i == 4)
                host_kill(s.leader(), 0);
            s.run(2000);
        }
        EXPECT_GT(s.c.n_late_orders, 0);
    });
}

TEST(Cluster, Drain)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 5, 20000);
        s.run(3000);
        for (int i = 0; i < 4; i++) {
            standin *x = s.executor(cluster_pick(&s.c, 8));
            standin_drain(x, 3000);
            s.run(4500);
        }
    });
}

TEST(Cluster, ClocksJump)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 4, 20000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 4; i++) {
            host *h = s.c.hosts[cluster_pick(&s.c, s.c.n)];
            host_skew(h, cluster_pick(&s.c, 2) ? 2400 : -2400);
            s.run(4000);
            host_skew(h, -h->skew_ms);
        }
    });
}

TEST(Cluster, BurstAndPreemption)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 6, 15000);
        for (int i = 0; i < 3; i++) {
            callers_burst(&s.c, 6, SHAPE_LARGE);
            callers_burst(&s.c, 6, SHAPE_CHECKPOINTS);
            s.run(1500);
            callers_burst(&s.c, 10, SHAPE_SINGLE_STEP);
            callers_burst(&s.c, 3, SHAPE_GANG);
            s.run(3500);
        }
        s.run(10000);
    });
}

static void strike(Cluster &s)
{
    host *any = s.c.hosts[cluster_pick(&s.c, s.c.n)];
    standin *x = s.executor(cluster_pick(&s.c, 8));
    switch (cluster_pick(&s.c, 16)) {
    case 0: host_kill(s.leader(), (int)cluster_pick(&s.c, 2)); break;
    case 1: host_kill(any, any->kind == HOST_CONTROLLER && cluster_pick(&s.c, 2)); break;
    case 2: host_freeze(any, 300 + cluster_pick(&s.c, 5000)); break;
    case 3: host_cut_off(any); break;
    case 4: host_cut(s.leader(), any, (int)cluster_pick(&s.c, 2)); break;
    case 5: host_leave(any); break;
    case 6: standin_crash(x, cluster_pick(&s.c, 6000)); break;
    case 7: standin_drain(x, 2000); break;
    case 8: x->late_until_us = s.c.now_us + 4000000; break;
    case 9: x->hang_until_us = s.c.now_us + cluster_pick(&s.c, 6000000); break;
    case 10: x->fail_until_us = s.c.now_us + 2000000; break;
    case 11: callers_burst(&s.c, 10, (enum job_shape)cluster_pick(&s.c, SHAPE_COUNT)); break;
    case 12: operator_change(&s.c, (int)cluster_pick(&s.c, 2), (int)cluster_pick(&s.c, 4)); break;
    case 13: host_skew(any, cluster_pick(&s.c, 4800) - 2400); break;
    case 14: s.c.slow_link_ms = cluster_pick(&s.c, 80); break;
    case 15: s.c.loss_pct = cluster_pick(&s.c, 10); break;
    }
}

TEST(Cluster, Mix)
{
    for_each_seed([](Cluster &s) {
        callers_load(&s.c, 4, 40000);
        s.run(3000);
        s.c.fault_free = 0;
        for (int i = 0; i < 24; i++) {
            strike(s);
            s.run(300 + cluster_pick(&s.c, 2500));
            if (cluster_pick(&s.c, 3) == 0)
                cluster_heal(&s.c);
            for (int64_t k = 0; k < s.c.n; k++)
                if (!s.c.hosts[k]->up && cluster_pick(&s.c, 2))
                    host_boot(s.c.hosts[k], 0);
            operator_read(&s.c);
        }
    });
}
