// Disks of controllers that fail at the start of their process, at the first start of all, or while they run, for a
// time; afterwards the controller must be a voter again that other losses can rely on.
#include "cluster_run.h"
namespace
{

enum { CORES = 3, FAULT_MAX_MS = 6000, RECOVERED_MS = 9000 };

struct ClusterDiskFaults : testing::TestWithParam<int> {
    static disk_fault fault() { return (disk_fault)GetParam(); }
};

int64_t fault_ms(Cluster &s) { return 500 + cluster_pick(&s.c, FAULT_MAX_MS); }

// A core machine other than this one.
host *other_core(Cluster &s, const host *than)
{
    host *other = s.core(cluster_pick(&s.c, CORES));
    while (other == than)
        other = s.core(cluster_pick(&s.c, CORES));
    return other;
}

// The machine's disk is lost for good; it comes back empty.
void lose_disk(Cluster &s, host *lost)
{
    host_kill(lost, 1);
    host_wipe(lost);
    s.run(1000);
    host_boot(lost, 0);
    s.run(RECOVERED_MS);
}

void expect_leader(Cluster &s) { EXPECT_NE(cluster_leader(&s.c), nullptr) << s.trace(); }

// Puts the cluster under load, and picks the leader or any voter.
host *voter_under_load(Cluster &s)
{
    callers_load(&s.c, 5, 15000);
    s.run(3000);
    s.c.fault_free = 0;
    return cluster_pick(&s.c, 2) ? s.leader() : s.core(cluster_pick(&s.c, CORES));
}

// The cluster must bear that another disk is lost.
void expect_another_loss_is_borne(Cluster &s, const host *failed)
{
    lose_disk(s, other_core(s, failed));
    expect_leader(s);
    operator_read(&s.c);
    s.close();
}

std::string name_of(const testing::TestParamInfo<int> &info)
{
    static const char *const names[DISK_FAULTS] = {"Works", "RefusesWrites", "RefusesAll", "FailsSometimes"};
    return names[info.param];
}

} // namespace

// Guards against a controller that stays without its disk for the life of its process because the disk failed at its
// start: the next disk that was lost ended the majority for good (review/2).
TEST_P(ClusterDiskFaults, AtTheStartOfAVoter)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Cluster s(seed);
        host *failing = voter_under_load(s);
        host_kill(failing, (int)cluster_pick(&s.c, 2));
        s.run(200 + cluster_pick(&s.c, 1000));
        int64_t ms = fault_ms(s);
        host_disk_fail(failing, fault(), ms);
        host_boot(failing, 0);
        operator_change(&s.c, 1, 0);
        s.run(ms + RECOVERED_MS);
        expect_another_loss_is_borne(s, failing);
    }
}

TEST_P(ClusterDiskFaults, WhileItRuns)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Cluster s(seed);
        host *failing = voter_under_load(s);
        int64_t ms = fault_ms(s);
        host_disk_fail(failing, fault(), ms);
        host_note_fault(failing);
        s.run(ms);
        host_note_fault(failing);
        if (cluster_pick(&s.c, 2))
            host_restart(failing);
        s.run(RECOVERED_MS);
        expect_another_loss_is_borne(s, failing);
    }
}

// The first start of all: the fleet begins with the two other disks, and the third joins them once it works.
TEST_P(ClusterDiskFaults, AtTheFirstStart)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        int64_t ms = 200 + (int64_t)(hash_mix(seed, 1) % FAULT_MAX_MS);
        Cluster s(seed, {CORES, 1, 8, 1, 0, {}, 0, 0}, fault(), ms);
        s.c.fault_free = 0;
        s.run(RECOVERED_MS);
        callers_load(&s.c, 5, 8000);
        lose_disk(s, s.core(1 + cluster_pick(&s.c, CORES - 1)));
        expect_leader(s);
        operator_read(&s.c);
        s.close();
    }
}

INSTANTIATE_TEST_SUITE_P(Each, ClusterDiskFaults, testing::Range((int)DISK_REFUSES_WRITES, (int)DISK_FAULTS), name_of);
