// Clients that give up on a submission and cancel the job at another controller, while the submission is held up.
#include "cluster_run.h"

namespace
{

enum { ROUNDS = 8, CORES = 3, OUTER = 2, GIVE_UP_MS = 1000, FREEZE_MAX_MS = 4900, CANCEL_DEADLINE_MS = 3000 };

// Where the submission is held up.
enum HeldUp { FRONT_FROZEN, LEADER_FROZEN, FRONT_CUT_OFF, LINKS_SLOW, HELD_UP_KINDS };

struct ClusterGivenUp : testing::TestWithParam<int> {
};

void hold_up(Cluster &s, host *front, HeldUp how)
{
    int64_t ms = GIVE_UP_MS + cluster_pick(&s.c, FREEZE_MAX_MS - GIVE_UP_MS);
    switch (how) {
    case FRONT_FROZEN: host_freeze(front, ms); break;
    case LEADER_FROZEN: host_freeze(s.leader(), ms); break;
    case FRONT_CUT_OFF: host_cut_off(front); break;
    default: s.c.slow_link_ms = 100 + cluster_pick(&s.c, 400); break;
    }
}

} // namespace

// Guards against a job that starts after its cancellation was answered, because its submission sat in a frozen
// controller (review/3). The oracle counts a 410 as the acknowledgement of a cancellation.
TEST_P(ClusterGivenUp, JobsThatWereCancelledDoNotStart)
{
    for (uint64_t seed : seeds(8)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Cluster s(seed, {CORES, OUTER, 8, 1, 0, {}, 0, 0});
        callers_load(&s.c, 3, 20000);
        s.run(2000);
        s.c.fault_free = 0;
        for (int i = 0; i < ROUNDS; i++) {
            host *front = s.core(cluster_pick(&s.c, CORES + OUTER));
            bool before = cluster_pick(&s.c, 2);
            if (before)
                hold_up(s, front, (HeldUp)GetParam());
            for (int k = 0; k < 3; k++) {
                struct tracked_job *job = callers_new_job(&s.c, (job_shape)cluster_pick(&s.c, SHAPE_COUNT));
                callers_submit_and_give_up(&s.c, job, front, 200 + cluster_pick(&s.c, GIVE_UP_MS));
                s.run(cluster_pick(&s.c, 100));
            }
            if (!before)
                hold_up(s, front, (HeldUp)GetParam());
            s.run(1000 + cluster_pick(&s.c, 2000));
            cluster_heal(&s.c);
            s.c.slow_link_ms = 0;
            s.run(CANCEL_DEADLINE_MS);
        }
        s.close();
    }
}

INSTANTIATE_TEST_SUITE_P(Each, ClusterGivenUp, testing::Range(0, (int)HELD_UP_KINDS));
