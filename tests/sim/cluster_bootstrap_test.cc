// The first start of a fleet under troubles of the seeds that agree on its voters.
// SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include "cluster_trace.h"
#include "fleet.h"

extern "C" {
#include "sim/cluster.h"
}

namespace
{

enum { READY_MS = 12000, STEP_MS = 60, STEPS = 24, LAST_SEED = 4 };

// A fleet that starts for the first time; seeds without a disk: the first so many.
class FirstStart
{
  public:
    struct cluster c;
    FirstStart(uint64_t seed, int disks, int n_seeds = 3, int seeds_diskless = 0, int first_seed = 0)
    {
        cluster_start(&c, seed, disks, 1 + seeds_diskless, 0);
        c.n_seeds = 0;
        for (int i = 0; i < seeds_diskless; i++)
            add_seed(disks + i);
        for (int i = first_seed; c.n_seeds < n_seeds; i++)
            add_seed(i);
        for (int64_t i = 0; i < c.n; i++) { // they had other seeds a moment ago
            host_kill(c.hosts[i], 0);
            if (c.hosts[i]->disk)
                host_wipe(c.hosts[i]);
        }
        for (int64_t i = 0; i < c.n; i++)
            host_boot(c.hosts[i], 1);
    }
    ~FirstStart() { cluster_free(&c); }
    // seeds by address, as they take their turns
    host *seed(int64_t rank)
    {
        std::vector<int64_t> by_addr(c.seeds, c.seeds + c.n_seeds);
        std::sort(by_addr.begin(), by_addr.end());
        for (int64_t i = 0; i < c.n; i++)
            if ((int64_t)c.hosts[i]->base.self == by_addr[rank])
                return c.hosts[i];
        return nullptr;
    }
    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms; i += 20) {
            cluster_run(&c, 20);
            one_log();
        }
    }
    // ms until somebody leads with a majority, -1: nobody within most_ms
    int64_t ready(int64_t most_ms)
    {
        for (int64_t ms = 0; ms < most_ms; ms += 20) {
            if (cluster_leader(&c))
                return ms;
            run(20);
        }
        return cluster_leader(&c) ? most_ms : -1;
    }
    std::string trace() { return trace_of(&c); }

  private:
    uint64_t first_ = 0;
    void add_seed(int64_t host) { c.seeds[c.n_seeds++] = (int64_t)c.hosts[host]->base.self; }
    void same(uint64_t list, const char *what, const host *h)
    {
        if (list && !first_)
            first_ = list;
        if (list) {
            ASSERT_EQ(first_, list) << "another list is " << what << " at " << h->name << "\n" << trace();
        }
    }
    // whoever founded a log founded the same, and the seeds agreed on nothing else
    void one_log()
    {
        for (int64_t i = 0; i < c.n; i++) {
            same(host_bootstrap_hash(c.hosts[i]), "founded", c.hosts[i]);
            same(host_chosen_hash(c.hosts[i]), "agreed on", c.hosts[i]);
        }
    }
};

enum Trouble { KILLED, KILLED_TRUE, POWER_LOST, KILLED_FOR_GOOD, FROZEN, CUT, TROUBLES };
const char *const trouble_names[] = {"killed", "killed, initialStart still true", "power lost", "gone", "frozen",
                                     "cut"};

// The seed of that rank is struck at_ms after the start, and the fleet must be at work READY_MS after that.
void strike(uint64_t seed, int rank, enum Trouble what, int64_t at_ms, int disks, int diskless = 0)
{
    FirstStart s(seed, disks, 3, diskless);
    host *h = s.seed(rank);
    s.run(at_ms);
    if (what == FROZEN)
        host_freeze(h, 20000);
    else if (what == CUT)
        host_cut_off(h);
    else
        host_kill(h, what == POWER_LOST);
    if (what <= POWER_LOST) {
        s.run(500);
        host_boot(h, what == KILLED_TRUE);
    }
    ASSERT_GE(s.ready(READY_MS), 0) << trouble_names[what] << " at " << at_ms << " ms\n" << s.trace();
    cluster_heal(&s.c);
    s.run(10000); // who comes late must not found another
    EXPECT_TRUE(cluster_leader(&s.c)) << s.trace();
}

void each_step(int rank, enum Trouble what, int disks, int diskless = 0)
{
    for (uint64_t seed : seeds(2))
        for (int64_t step = 0; step < STEPS && !testing::Test::HasFailure(); step++) {
            SCOPED_TRACE("seed " + std::to_string(seed) + " step " + std::to_string(step));
            strike(seed, rank, what, step * STEP_MS, disks, diskless);
        }
}

} // namespace

TEST(ClusterBootstrap, Calm)
{
    int64_t worst_ms = 0, sum_ms = 0, n = 0;
    for (uint64_t seed : seeds(20))
        for (int disks : {3, 7})
            for (int n_seeds : {1, 2, 3}) {
                FirstStart s(seed, disks, n_seeds);
                int64_t ms = s.ready(READY_MS);
                ASSERT_GE(ms, 0) << disks << " disks, " << n_seeds << " seeds\n" << s.trace();
                worst_ms = std::max(worst_ms, ms);
                sum_ms += ms;
                n++;
            }
    printf("ready after %lld ms, %lld ms at worst, %lld starts\n", (long long)(sum_ms / n), (long long)worst_ms,
           (long long)n);
    EXPECT_LE(sum_ms / n, 1000);
    EXPECT_LE(worst_ms, 2500);
}

TEST(ClusterBootstrap, FirstSeedKilled) { each_step(0, KILLED, 3); }
TEST(ClusterBootstrap, FirstSeedKilledAndToldFirstStartAgain) { each_step(0, KILLED_TRUE, 7); }
TEST(ClusterBootstrap, FirstSeedLosesPower) { each_step(0, POWER_LOST, 7); }
TEST(ClusterBootstrap, FirstSeedGone) { each_step(0, KILLED_FOR_GOOD, 7); }
TEST(ClusterBootstrap, FirstSeedFrozen) { each_step(0, FROZEN, 7); }
TEST(ClusterBootstrap, FirstSeedCutOff) { each_step(0, CUT, 7); }
TEST(ClusterBootstrap, SecondSeedKilled) { each_step(1, KILLED, 7); }
TEST(ClusterBootstrap, FirstSeedWithoutDiskKilled) { each_step(0, KILLED, 3, 1); }
TEST(ClusterBootstrap, FirstSeedWithoutDiskFrozen) { each_step(0, FROZEN, 7, 1); }

// Guards against a log that is never begun: seeds without a disk forget what they promised when they start again, and
// two of three that are killed leave no majority of the seeds (review/5).
TEST(ClusterBootstrap, BothSeedsWithoutDiskKilledAtEachStep)
{
    for (uint64_t seed : seeds(2))
        for (int step = 0; step < STEPS; step++) {
            FirstStart s(seed, 3, 3, 2);
            host *killed[] = {s.c.hosts[3], s.c.hosts[4]};
            s.run(step * STEP_MS);
            for (host *each : killed)
                host_kill(each, 0);
            s.run(500);
            for (host *each : killed)
                host_boot(each, 0);
            EXPECT_GE(s.ready(READY_MS), 0) << "seed " << seed << ", killed after " << step * STEP_MS << " ms";
        }
}

TEST(ClusterBootstrap, FirstSeedStartsLast)
{
    for (uint64_t seed : seeds(LAST_SEED)) {
        FirstStart s(seed, 7);
        host *h = s.seed(0);
        host_kill(h, 0);
        host_wipe(h);
        ASSERT_GE(s.ready(READY_MS), 0) << s.trace();
        host_boot(h, 1);
        s.run(10000);
        EXPECT_TRUE(cluster_leader(&s.c)) << s.trace();
    }
}

TEST(ClusterBootstrap, AllKilledAtEachStep)
{
    for (uint64_t seed : seeds(2))
        for (int64_t step = 0; step < STEPS && !HasFailure(); step++) {
            SCOPED_TRACE("seed " + std::to_string(seed) + " step " + std::to_string(step));
            FirstStart s(seed, 7);
            s.run(step * STEP_MS);
            for (int64_t i = 0; i < s.c.n; i++)
                host_kill(s.c.hosts[i], (int)cluster_pick(&s.c, 2));
            s.run(500);
            for (int64_t i = 0; i < s.c.n; i++)
                host_boot(s.c.hosts[i], 0);
            ASSERT_GE(s.ready(READY_MS), 0) << s.trace();
        }
}

// Two halves of the fleet and a first seed that each hears in turn: at most one of them founds.
TEST(ClusterBootstrap, CutInTwoWhileTheFirstSeedMovesOver)
{
    for (uint64_t seed : seeds(20)) {
        FirstStart s(seed, 7);
        int64_t at_ms = cluster_pick(&s.c, 1500);
        auto cut = [&](int side_of_first) {
            for (int64_t i = 0; i < s.c.n; i++)
                for (int64_t k = 0; k < s.c.n; k++) {
                    host *a = s.c.hosts[i], *b = s.c.hosts[k];
                    int x = a == s.seed(0) ? side_of_first : (int)(i & 1),
                        y = b == s.seed(0) ? side_of_first : (int)(k & 1);
                    if (x != y)
                        host_cut(a, b, 0);
                }
        };
        cut(0);
        s.run(at_ms);
        cluster_heal(&s.c);
        host_restart(s.seed(0));
        cut(1);
        s.run(6000);
        cluster_heal(&s.c);
        ASSERT_GE(s.ready(READY_MS), 0) << s.trace();
        s.run(8000);
    }
}

// Seeds that compete: every link slow, partitions that change, seeds that sleep and start again.
static void compete(FirstStart &s)
{
    int64_t pause_ms = cluster_pick(&s.c, 2) ? 900 : 200;
    s.c.max_delay_ms = cluster_pick(&s.c, 3) ? 10 + cluster_pick(&s.c, 1500) : 0;
    s.c.reset_pct = cluster_pick(&s.c, 2) ? cluster_pick(&s.c, 60) : 0;
    s.run(cluster_pick(&s.c, 600));
    for (int i = 0; i < 24; i++) {
        host *h = s.seed(cluster_pick(&s.c, 3));
        int64_t side = (int64_t)(cluster_random(&s.c) >> 1);
        switch (cluster_pick(&s.c, 6)) {
        case 0: host_freeze(h, 100 + cluster_pick(&s.c, 2500)); break;
        case 1:
        case 2:
            host_kill(h, (int)cluster_pick(&s.c, 2));
            s.run(cluster_pick(&s.c, 400));
            host_boot(h, (int)cluster_pick(&s.c, 2));
            break;
        case 3: cluster_heal(&s.c); break;
        default:
            cluster_heal(&s.c);
            for (int64_t a = 0; a < s.c.n; a++)
                for (int64_t b = a + 1; b < s.c.n; b++)
                    if ((side >> a & 1) != (side >> b & 1))
                        host_cut(s.c.hosts[a], s.c.hosts[b], 0);
        }
        s.run(20 + cluster_pick(&s.c, pause_ms));
    }
    s.c.max_delay_ms = s.c.reset_pct = 0;
    cluster_heal(&s.c);
}

TEST(ClusterBootstrap, SeedsCompete)
{
    for (uint64_t seed : seeds(60)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        FirstStart s(seed, 7);
        compete(s);
        ASSERT_GE(s.ready(READY_MS), 0) << s.trace();
        s.run(4000);
        if (HasFatalFailure())
            return;
    }
}

// Seeds that will not be voters, and whose word reaches no voter yet.
class Unheard : public FirstStart
{
  public:
    explicit Unheard(uint64_t seed) : FirstStart(seed, 7, 3, 0, 3)
    {
        for (int64_t rank = 0; rank < 3; rank++)
            for (int64_t i = 0; i < c.n; i++)
                if (c.hosts[i] != this->seed(0) && c.hosts[i] != this->seed(1) && c.hosts[i] != this->seed(2))
                    host_cut(this->seed(rank), c.hosts[i], 1);
    }
    bool agreed(host *h)
    {
        for (int i = 0; i < 3000 && !host_chosen_hash(h); i++)
            run(20);
        return host_chosen_hash(h) != 0;
    }
};

static void then_ready(Unheard &s)
{
    cluster_heal(&s.c);
    ASSERT_GE(s.ready(READY_MS), 0) << s.trace();
    s.run(4000);
}

// The first seed decides and is gone; a voter of its list has died. The next carries on that list.
TEST(ClusterBootstrap, DecidedButToldNobody)
{
    for (uint64_t seed : seeds(LAST_SEED)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Unheard s(seed);
        ASSERT_TRUE(s.agreed(s.seed(0))) << s.trace();
        host_kill(s.seed(0), 0);
        host_kill(s.c.hosts[cluster_pick(&s.c, 3)], 0);
        ASSERT_TRUE(s.agreed(s.seed(1))) << s.trace();
        then_ready(s);
    }
}

// The same, and the other seeds start again: what they accepted is on their disks.
TEST(ClusterBootstrap, DecidedAndStartedAgain)
{
    for (uint64_t seed : seeds(LAST_SEED)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Unheard s(seed);
        ASSERT_TRUE(s.agreed(s.seed(0))) << s.trace();
        for (int64_t rank = 0; rank < 3; rank++)
            host_kill(s.seed(rank), 1);
        host_kill(s.c.hosts[cluster_pick(&s.c, 3)], 0);
        s.run(500);
        host_boot(s.seed(1), (int)cluster_pick(&s.c, 2));
        host_boot(s.seed(2), (int)cluster_pick(&s.c, 2));
        ASSERT_TRUE(s.agreed(s.seed(1))) << s.trace();
        then_ready(s);
    }
}

// The first seed sleeps with its promises and wakes with a list of its own after the second has decided.
TEST(ClusterBootstrap, WakesWithAnOlderBallot)
{
    for (uint64_t seed : seeds(LAST_SEED)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Unheard s(seed);
        host *late = s.c.hosts[0];
        host_kill(late, 0);
        host_cut(late, s.seed(0), 0);
        s.run(400);
        host_freeze(s.seed(0), 4000);
        host_boot(late, 1);
        ASSERT_TRUE(s.agreed(s.seed(1))) << s.trace();
        s.run(5000);
        then_ready(s);
    }
}
