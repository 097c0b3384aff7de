// A voter that is asked to stop while entries are written: when it ends, no committed entry is on its disk and the
// leader's alone. SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cluster_trace.h"
#include "seeds.h"

extern "C" {
#include "base/events.h"
#include "controller/controller_state.h"
#include "sim/cluster.h"
}

namespace
{

const int64_t ANSWERED_MS = 4900; // whoever ends later has waited out its grace period (6 s less 1 s)

// Voters under steady writes: one leads, one leaves, and those with narrow links trail: of three voters one, of five
// two, so that the leaver is in the first majority that holds an entry.
class Leaving
{
  public:
    struct cluster c;
    host *leader = nullptr, *leaves = nullptr;
    std::vector<host *> others, trail;
    int64_t write_every_ms = 100, write_bytes = 16 << 10;

    Leaving(uint64_t seed, int voters)
    {
        cluster_start_tolerating(&c, seed, voters / 2, voters, 1, 0);
        cluster_run(&c, 10000);
        leader = cluster_leader(&c);
        for (int64_t i = 0; i < voters; i++) {
            host *h = cluster_controller(&c, i);
            if (h != leader && !leaves)
                leaves = h;
            else if (h != leader)
                others.push_back(h);
        }
        trail.assign(others.end() - voters / 2, others.end());
    }
    ~Leaving() { cluster_free(&c); }
    std::string trace() { return trace_of(&c); }
    struct log *log() { return &leader->controller->log; }
    int64_t match_of(host *h) { return log_peer(log(), h->controller->id)->match; }
    void write()
    {
        std::string text((size_t)write_bytes, 'x');
        struct bytes body = {};
        bytes_add(&body, text.data(), (int64_t)text.size());
        log_propose(log(), ENTRY_NOOP, &body, nullptr, nullptr, 0);
        bytes_free(&body);
    }
    // one ms of the run, with the writes that are due
    void step()
    {
        if (c.now_us / 1000 % write_every_ms == 0)
            write();
        cluster_run(&c, 1);
    }
    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms; i++)
            step();
    }
    // Asked to stop, if it was not yet: ms until it ends; -1: not within most_ms.
    int64_t ends_within(int64_t most_ms)
    {
        host_leave(leaves);
        for (int64_t ms = 0; ms < most_ms; ms++) {
            step();
            if (!leaves->up)
                return ms;
        }
        return -1;
    }
    void links(int64_t kbit_s)
    {
        for (host *h : trail)
            h->link_kbit_s = kbit_s;
    }
    // Is every committed entry on a majority of the voters without the leaver?
    bool held_without_it()
    {
        int64_t copies = 1;
        for (host *h : others)
            copies += match_of(h) >= log()->commit;
        return copies >= log_majority(log());
    }
};

} // namespace

// Those that trail are most of the time one entry behind what the others and the leaver have committed.
TEST(ClusterLeaving, LeaverIsNotTheOnlyOtherCopy)
{
    for (int voters : {3, 5})
        for (uint64_t seed : seeds(20)) {
            SCOPED_TRACE(std::to_string(voters) + " voters, seed " + std::to_string(seed));
            Leaving s(seed, voters);
            s.links(2000);
            s.run(1000 + cluster_pick(&s.c, 200));
            EXPECT_GE(s.ends_within(ANSWERED_MS), 0) << s.trace();
            EXPECT_EQ(s.log()->role, LOG_LEADER) << s.trace();
            EXPECT_TRUE(s.held_without_it()) << s.trace();
        }
}

// It was not heard for long, is heard again just when the leaver could end, and holds what it missed some time later.
TEST(ClusterLeaving, LeaverStaysUntilTheOthersHoldAll)
{
    for (uint64_t seed : seeds(20)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Leaving s(seed, 3);
        s.write_bytes = 4 << 10;
        s.run(500);
        host_cut_off(s.trail[0]);
        cluster_schedule(
            &s.c, 2300 + cluster_pick(&s.c, 200),
            [](struct cluster *c, void *arg, int64_t) {
                auto *site = static_cast<Leaving *>(arg);
                site->links(2000);
                site->write_bytes = 16 << 10;
                cluster_heal(c);
            },
            &s, 0);
        EXPECT_GE(s.ends_within(ANSWERED_MS), 0) << s.trace();
        EXPECT_EQ(s.log()->role, LOG_LEADER) << s.trace();
        EXPECT_TRUE(s.held_without_it()) << s.trace();
    }
}

// Another had the turn until it could have ended; then the others must still hold what is committed by then.
TEST(ClusterLeaving, LeaverWhoseTurnComesLateWaitsForTheOthers)
{
    for (uint64_t seed : seeds(20)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Leaving s(seed, 3);
        s.links(2000);
        s.run(500);
        host_leave(s.leaves);
        for (int64_t ms = 2600 + cluster_pick(&s.c, 200); ms > 0; ms--) {
            s.leader->controller->leaver = {};
            s.leader->controller->leaver.id = s.trail[0]->controller->id;
            s.leader->controller->leaver.granted_ms = world_ms(&s.leader->base);
            s.step();
        }
        ASSERT_TRUE(s.leaves->up) << s.trace();
        EXPECT_GE(s.ends_within(ANSWERED_MS), 0) << s.trace();
        EXPECT_TRUE(s.held_without_it()) << s.trace();
    }
}

// Steady writes that fill most of a voter's link, in step with the leaver's requests: nobody waits for a pause.
TEST(ClusterLeaving, LeaverEndsInTimeUnderSteadyWrites)
{
    for (int voters : {3, 5})
        for (uint64_t seed : seeds(10)) {
            SCOPED_TRACE(std::to_string(voters) + " voters, seed " + std::to_string(seed));
            Leaving s(seed, voters);
            int64_t trailed = 0;
            s.write_every_ms = 40;
            s.write_bytes = 8 << 10;
            s.links(2000);
            for (int64_t ms = 0; ms < 1000; ms++) {
                s.step();
                trailed += s.match_of(s.trail[0]) < s.log()->commit;
            }
            EXPECT_GT(trailed, 700) << "it did not trail";
            int64_t took_ms = s.ends_within(ANSWERED_MS);
            EXPECT_GE(took_ms, 0) << s.trace();
            EXPECT_LE(took_ms, 2700) << s.trace();
            EXPECT_EQ(s.c.n_events[EV_LEAVE_WAITS], 0) << s.trace();
        }
}
