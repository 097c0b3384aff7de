// Executors that announce their end without having drained, and serve on: responding, late, silent or slow.
#include "cluster_run.h"

namespace
{

enum { EXECUTORS = 8, LEAVERS = 8, SERVE_MAX_MS = 8000, ACT_MAX_MS = 3000 };

// What a leaver does while it serves on.
enum LeaverAct { RESPONDS, CALLS_LATE, SILENT, SLOW, LATE_THEN_CRASHES, LEAVER_ACTS };

void act(Cluster &s, standin *leaver, LeaverAct how)
{
    int64_t until_us = s.c.now_us + 300000 + cluster_pick(&s.c, ACT_MAX_MS * 1000);
    switch (how) {
    case CALLS_LATE:
    case LATE_THEN_CRASHES: leaver->late_until_us = until_us; break;
    case SILENT: leaver->hang_until_us = until_us; break;
    case SLOW: leaver->slow_pct = 400; break;
    default: break;
    }
}

// Executors leave one after the other; each may still serve when the next one leaves.
void executors_leave(Cluster &s)
{
    callers_load(&s.c, 5, 25000);
    s.run(3000);
    s.c.fault_free = 0;
    for (int i = 0; i < LEAVERS; i++) {
        standin *leaver = s.executor(cluster_pick(&s.c, EXECUTORS));
        auto how = (LeaverAct)cluster_pick(&s.c, LEAVER_ACTS);
        callers_burst(&s.c, 3, SHAPE_CHECKPOINTS);
        s.run(200 + cluster_pick(&s.c, 500));
        standin_leave_serving(leaver, DRAIN_MS + cluster_pick(&s.c, SERVE_MAX_MS), 500 + cluster_pick(&s.c, 3000));
        s.run(cluster_pick(&s.c, 600));
        act(s, leaver, how);
        s.run(500 + cluster_pick(&s.c, 2000));
        if (how == LATE_THEN_CRASHES)
            standin_crash(leaver, 1000 + cluster_pick(&s.c, 3000));
    }
    s.run(12000);
}

struct ClusterExecutorLeavers : testing::TestWithParam<bool> {
};

} // namespace

// Guards against tasks that run twice because a leaver was taken for gone while it served on (review/1).
TEST_P(ClusterExecutorLeavers, ServeOn)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Cluster s(seed, {3, 1, EXECUTORS, 1, GetParam(), {}, 0, 0});
        executors_leave(s);
        s.close();
    }
}

INSTANTIATE_TEST_SUITE_P(OrdersByHeartbeat, ClusterExecutorLeavers, testing::Bool());
