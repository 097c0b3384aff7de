// Who votes under troubles of the leader that judges it, and losses that follow each other.
// SAGEHITCH_SEEDS=N or FIRST-LAST for a longer sweep.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>

#include "cluster_trace.h"
#include "seeds.h"

extern "C" {
#include "controller/controller_state.h"
#include "sim/cluster.h"
}

namespace
{

class Members
{
  public:
    struct cluster c;
    Members(uint64_t seed, int disks)
    {
        cluster_start(&c, seed, disks, 1, 0);
        for (int i = 0; i < 100 && !cluster_leader(&c); i++)
            cluster_run(&c, 100);
        cluster_run(&c, 8000); // learners hold the log by now
    }
    ~Members() { cluster_free(&c); }
    struct log *log() { return &cluster_leader(&c)->controller->log; }
    // one that does not lead, and votes or learns
    host *member(bool votes)
    {
        for (int64_t i = 0; cluster_controller(&c, i); i++) {
            host *h = cluster_controller(&c, i);
            const struct log_member *m = h->controller->votes ? log_member(log(), h->controller->id) : nullptr;
            if (m && h != cluster_leader(&c) && log_votes_after_change(m) == votes)
                return h;
        }
        return nullptr;
    }
    void propose(size_t bytes)
    {
        std::string text(bytes, 'x');
        struct bytes body = {};
        bytes_add(&body, text.data(), (int64_t)text.size());
        log_propose(log(), ENTRY_NOOP, &body, nullptr, nullptr, 0);
        bytes_free(&body);
    }
    int64_t changes() const
    {
        int64_t n = 0;
        for (int64_t i = 0; i < c.n_trace; i++)
            n += strstr(c.trace[i].text, "log membership changes") != nullptr;
        return n;
    }
    std::string trace() { return trace_of(&c); }
};

} // namespace

// All sleep together, and what some of them said is read before the leader's timer runs: its own sleep is
// nobody's loss.
TEST(ClusterMembers, LeaderThatSleptJudgesNobody)
{
    for (uint64_t seed : seeds(60)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Members s(seed, 5);
        s.c.max_delay_ms = 50 + cluster_pick(&s.c, 300);
        cluster_run(&s.c, 3000 + cluster_pick(&s.c, 100));
        host *leader = cluster_leader(&s.c);
        ASSERT_TRUE(leader) << s.trace();
        int64_t before = s.changes(), sleep_ms = 3000 + cluster_pick(&s.c, 20000);
        for (int64_t i = 0; i < 5; i++)
            host_freeze(cluster_controller(&s.c, i), sleep_ms);
        cluster_run(&s.c, sleep_ms);
        s.c.max_delay_ms = 0;
        cluster_run(&s.c, 8000);
        EXPECT_EQ(s.changes(), before) << s.trace();
    }
}

// One voter is away and another is asked to stop: it stays until the first is back, or its time is up.
TEST(ClusterMembers, LeaverStaysWhileAnotherIsAway)
{
    for (uint64_t seed : seeds(20)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Members s(seed, 3);
        int64_t n = cluster_pick(&s.c, 3), back_ms = 2600 + cluster_pick(&s.c, 1400), least = 3;
        host *away = cluster_controller(&s.c, n),
             *leaves = cluster_controller(&s.c, (n + 1 + cluster_pick(&s.c, 2)) % 3);
        host_kill(away, 0);
        cluster_run(&s.c, cluster_pick(&s.c, 300));
        host_leave(leaves);
        for (int64_t ms = 0; ms < 8000; ms += 20) {
            int64_t up = 0;
            if (ms >= back_ms)
                host_boot(away, 0);
            cluster_run(&s.c, 20);
            for (int64_t i = 0; i < 3; i++)
                up += cluster_controller(&s.c, i)->up;
            least = std::min(least, up);
        }
        EXPECT_EQ(least, 2) << s.trace();
        EXPECT_NE(s.trace().find("another is missing"), std::string::npos) << s.trace();
        EXPECT_TRUE(cluster_leader(&s.c)) << s.trace();
    }
}

// All there: nobody that is asked to stop waits for anything.
TEST(ClusterMembers, LeaverEndsAtOnceWhereAllAreThere)
{
    for (uint64_t seed : seeds(20)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Members s(seed, 3 + (int)(seed % 3));
        host *leaves = cluster_controller(&s.c, cluster_pick(&s.c, 3));
        host_leave(leaves);
        cluster_run(&s.c, 2700);
        EXPECT_EQ(s.trace().find("another is missing"), std::string::npos) << s.trace();
        EXPECT_FALSE(leaves->up) << s.trace();
    }
}

// Two are asked to stop at once: they go in turn.
TEST(ClusterMembers, LeaversGoInTurn)
{
    for (uint64_t seed : seeds(20)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Members s(seed, 3);
        int64_t n = cluster_pick(&s.c, 3), least = 3;
        host_leave(cluster_controller(&s.c, n));
        cluster_run(&s.c, cluster_pick(&s.c, 400));
        host_leave(cluster_controller(&s.c, (n + 1) % 3));
        for (int64_t ms = 0; ms < 9000; ms += 20) {
            int64_t up = 0;
            cluster_run(&s.c, 20);
            for (int64_t i = 0; i < 3; i++)
                up += cluster_controller(&s.c, i)->up;
            least = std::min(least, up);
        }
        EXPECT_EQ(least, 2) << s.trace();
    }
}

// One member hears no heartbeat behind an entry of 4 MiB for 16.8 s: it says by other frames that it is there, and
// stays.
TEST(ClusterMembers, WhoeverReceivesALargeEntryStays)
{
    for (bool voter : {true, false})
        for (uint64_t seed : seeds(10)) {
            SCOPED_TRACE(std::string(voter ? "voter" : "learner") + ", seed " + std::to_string(seed));
            Members s(seed, 4);
            host *slow = s.member(voter);
            int64_t before = s.changes();
            slow->link_kbit_s = 2000;
            s.propose(4 << 20);
            int64_t index = log_last(s.log()), behind_ms = 0;
            for (int64_t ms = 0; ms < 30000; ms += 100) {
                behind_ms = slow->controller->log.applied < index ? ms : behind_ms;
                cluster_run(&s.c, 100);
            }
            EXPECT_GT(behind_ms, 16000) << "its link was too fast to see it";
            EXPECT_LT(behind_ms, 20000) << s.trace();
            EXPECT_EQ(s.changes(), before) << s.trace();
        }
}

// It is lost while it receives the entry: replaced as soon as any other.
TEST(ClusterMembers, VoterLostWhileItReceivesALargeEntryIsReplaced)
{
    for (uint64_t seed : seeds(10)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Members s(seed, 4);
        host *slow = s.member(true);
        int64_t before = s.changes();
        slow->link_kbit_s = 2000;
        s.propose(4 << 20);
        cluster_run(&s.c, 3000 + cluster_pick(&s.c, 8000));
        EXPECT_EQ(s.changes(), before) << s.trace();
        host_kill(slow, 0);
        cluster_run(&s.c, 4500);
        EXPECT_GT(s.changes(), before) << s.trace();
    }
}

// The leader's frames do not reach it, its own come through: what was sent could have been received, so it is replaced.
TEST(ClusterMembers, VoterThatHearsNothingIsReplaced)
{
    for (uint64_t seed : seeds(10)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Members s(seed, 4);
        host *deaf = s.member(true);
        int64_t before = s.changes();
        host_cut(cluster_leader(&s.c), deaf, 1);
        for (int64_t ms = 0; ms < 10000; ms += 100) {
            s.propose(200);
            cluster_run(&s.c, 100);
        }
        EXPECT_GT(s.changes(), before) << s.trace();
    }
}

// From a loss until no single further loss can take the majority of three voters.
TEST(ClusterMembers, WindowAfterALoss)
{
    const char *const kinds[] = {"killed", "disk wiped at the same address", "replaced at another address"};
    const int64_t bounds_ms[] = {4000, 2500, 4500};
    for (int kind = 0; kind < 3; kind++) {
        int64_t sum_ms = 0, worst_ms = 0, n = 0;
        for (uint64_t seed : seeds(20)) {
            SCOPED_TRACE(std::string(kinds[kind]) + ", seed " + std::to_string(seed));
            Members s(seed, kind ? 3 : 4);
            host *lost = cluster_controller(&s.c, cluster_pick(&s.c, 3));
            int64_t from_us = s.c.now_us, lines = s.c.n_trace, at_us = 0;
            if (kind == 2) {
                cluster_replace(lost);
            } else {
                host_kill(lost, 0);
                if (kind == 1) {
                    host_wipe(lost);
                    cluster_run(&s.c, 300);
                    host_boot(lost, 0);
                }
            }
            cluster_run(&s.c, 10000);
            for (int64_t i = lines; i < s.c.n_trace && !at_us; i++)
                if (strstr(s.c.trace[i].text, " fresh="))
                    at_us = s.c.trace[i].at_us;
            ASSERT_GT(at_us, 0) << s.trace();
            sum_ms += (at_us - from_us) / 1000;
            worst_ms = std::max(worst_ms, (at_us - from_us) / 1000);
            n++;
        }
        printf("%s: change proposed after %lld ms, %lld ms at worst\n", kinds[kind], (long long)(sum_ms / n),
               (long long)worst_ms);
        EXPECT_LE(worst_ms, bounds_ms[kind]);
    }
}
