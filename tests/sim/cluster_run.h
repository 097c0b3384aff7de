// A simulated cluster for scenarios that run over a list of seeds. Violations that the oracle finds fail the test.
#pragma once
#include "cluster_trace.h"
#include "fleet.h"

extern "C" {
#include "sim/cluster.h"
}

namespace
{

// A cluster of three voters, diskless controllers and agents, with the first configuration in force. When it is
// destroyed it expects that the oracle made checks and found no violation.
class Cluster
{
  public:
    struct cluster c;
    explicit Cluster(uint64_t seed, int agents = 8, int diskless = 1)
        : Cluster(seed, cluster_options{3, diskless, agents, 1, 0, {}, 0, 0})
    {
    }
    Cluster(uint64_t seed, const cluster_options &options)
    {
        cluster_start_with_options(&c, seed, &options);
        first_config();
    }
    // The disk of the first controller has this fault from the first start on.
    Cluster(uint64_t seed, const cluster_options &options, disk_fault fault, int64_t fault_ms)
    {
        cluster_start_with_disk_fault(&c, seed, &options, fault, fault_ms);
        first_config();
    }
    ~Cluster()
    {
        EXPECT_EQ(c.n_violations, 0) << "seed " << seed_ << trace();
        EXPECT_GT(c.n_checks, 100);
        if (getenv("SAGEHITCH_FIGURES"))
            printf("accepted %lld refused %lld done %lld starts %lld; ends done %lld failed %lld stopped %lld "
                   "lease expired %lld gang broken %lld gang timeout %lld; refused for capacity %lld late orders %lld "
                   "lost core-s %lld\n",
                   (long long)c.n_accepted, (long long)c.n_refused, (long long)c.n_jobs_seen_done,
                   (long long)c.n_starts, (long long)c.n_ends[1], (long long)c.n_ends[2], (long long)c.n_ends[3],
                   (long long)c.n_ends[4], (long long)c.n_ends[5], (long long)c.n_ends[6],
                   (long long)c.n_capacity_refused, (long long)c.n_late_orders, (long long)c.lost_core_ms / 1000);
        cluster_free(&c);
    }
    void first_config()
    {
        cluster_run(&c, 1000);
        operator_first_config(&c);
        cluster_run(&c, 2000);
    }
    std::string trace() { return trace_of(&c); }
    void run(int64_t ms) { cluster_run(&c, ms); }
    host *core(int64_t n) { return cluster_controller(&c, n); }
    host *leader()
    {
        for (int i = 0; i < 100 && !cluster_leader(&c); i++)
            run(100);
        return cluster_leader(&c) ? cluster_leader(&c) : core(0);
    }
    standin *executor(int64_t n) { return cluster_standin(&c, n); }
    void close()
    {
        cluster_finish(&c);
        EXPECT_GT(c.n_accepted, 0) << trace();
        EXPECT_GT(c.n_jobs_seen_done, 0) << trace();
    }
    uint64_t seed_ = 0;
};

// Runs body on a new cluster for each seed; afterwards all faults end and all jobs must finish.
template <class Body> void for_each_seed(Body body, int fixed = 3)
{
    for (uint64_t seed : seeds(fixed)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Cluster cluster(seed);
        cluster.seed_ = seed;
        body(cluster);
        cluster.close();
    }
}

} // namespace
