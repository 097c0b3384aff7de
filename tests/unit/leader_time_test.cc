// Dispatch on a leader: leases, the time of day, timeouts, and which executors get new work.
#include <random>

#include "leader_rig.h"

using namespace leader_rig;

namespace
{

const int64_t LAPSE_MS = LEASE * 102 / 100 + 300, WATCH_MS = 100;

struct LeaderTime : testing::Test {
    Rig rig;
    // After how many ms the end of this run is proposed as lapsed, -1: not within max_ms.
    int64_t lapsed_after(const Ref &run, int64_t max_ms)
    {
        rig.auto_commit = false;
        for (int64_t ms = 10; ms <= max_ms; ms += 10) {
            rig.run(10);
            for (const auto &batch : rig.log)
                if (batch->end_of(run) == END_LAPSED)
                    return ms;
        }
        return -1;
    }
};

// --- leases ---

TEST_F(LeaderTime, RunsLapseAfterLeaseAndMarginAndNotBefore)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(2, 500)});
    rig.run(1000);
    ASSERT_EQ(e.active.size(), 2u);
    ASSERT_EQ(rig.now % 100, 0);
    e.up = false; // its lease was last renewed now
    int64_t ms = lapsed_after({1, 0, 1}, LAPSE_MS + 1000);
    EXPECT_GT(ms, LAPSE_MS);
    EXPECT_LE(ms, LAPSE_MS + 2 * WATCH_MS);
    EXPECT_EQ(rig.log[0]->end_of({1, 1, 1}), END_LAPSED);
}

TEST_F(LeaderTime, ReportAnsweredWithoutLeaderLeaseRenewsNothing)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 500)});
    rig.run(1000);
    ASSERT_EQ(e.active.size(), 1u);
    rig.holds_lease = false;
    size_t mark = rig.orders.size();
    int64_t ms = lapsed_after({1, 0, 1}, LAPSE_MS + 1000);
    EXPECT_GT(ms, LAPSE_MS);
    EXPECT_LE(ms, LAPSE_MS + 2 * WATCH_MS);
    for (size_t i = mark; i < rig.orders.size(); i++)
        EXPECT_EQ(rig.orders[i]->message.stamp_ms, 0) << "renewed without the leader's lease";
}

TEST_F(LeaderTime, NewLeaderWaitsForLeasesOfFormerLeader)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 500)});
    rig.run(1000);
    e.up = false;
    rig.new_leader();
    int64_t ms = lapsed_after({1, 0, 1}, LAPSE_MS + 3000);
    EXPECT_GT(ms, LAPSE_MS + 1000);
    EXPECT_LE(ms, LAPSE_MS + 1000 + 2 * WATCH_MS);
}

TEST_F(LeaderTime, SilentExecutorWithExpiredLeaseLapsesAtOnce)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 500)});
    rig.run(300);
    rig.auto_commit = false;
    e.silent_ms = 1000, e.lease_left_ms = 10;
    rig.report(e);
    dispatch_flush(rig.dispatch);
    ASSERT_TRUE(rig.log.empty());
    e.lease_left_ms = 0;
    rig.report(e);
    dispatch_flush(rig.dispatch);
    ASSERT_EQ(rig.log.size(), 1u);
    EXPECT_EQ(rig.log[0]->end_of({1, 0, 1}), END_LAPSED);
    const std::pair<int, std::string> logged{EV_EXECUTOR_GONE, "runs=1 executor=" + e.incarnation};
    EXPECT_EQ(std::count(rig.events.begin(), rig.events.end(), logged), 1);
}

// The order may still reach the agent, and the executor may answer again and start the run.
TEST_F(LeaderTime, StartInTransitToSilentExecutorDoesNotLapse)
{
    Executor &e = rig.executor();
    e.deaf = true; // all orders are still in transit
    rig.add(1, NORMAL, {Rig::step(1, 500)});
    rig.run(300);
    rig.auto_commit = false;
    e.silent_ms = 1000, e.lease_left_ms = 0;
    rig.report(e);
    dispatch_flush(rig.dispatch);
    EXPECT_TRUE(rig.log.empty());
    e.deaf = false;
    rig.report(e); // the agent receives the orders that answer this report
    rig.report(e);
    dispatch_flush(rig.dispatch);
    ASSERT_EQ(rig.log.size(), 1u);
    EXPECT_EQ(rig.log[0]->end_of({1, 0, 1}), END_LAPSED);
}

// --- time of day (fe20da2) ---

TEST_F(LeaderTime, UndoneWallClockJumpStartsNothingEarly)
{
    rig.executor();
    rig.run(10000);
    int64_t due_ms = rig.wall + 12000, begin_ms = rig.now + 12000 - EARLY * 40 / 100;
    job *j = rig.add(1, NORMAL, {Rig::step(1, 100)}, due_ms);
    int64_t offset_ms = rig.wall - rig.now;
    rig.on_propose = [&](const Batch &b) {
        for (int64_t i = 0; i < b.batch.n; i++)
            EXPECT_EQ(b.batch.ops[i].at_ms, rig.now + offset_ms)
                << "the time of an op includes a jump that was not accepted";
    };
    rig.run(1000);
    rig.wall += 8000;
    rig.run(6000);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING);
    rig.wall -= 8000;
    while (rig.now < begin_ms - 10)
        rig.run(10);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING);
    rig.run(30);
    EXPECT_EQ(j->rows[0].state, ROW_PLACED);
}

TEST_F(LeaderTime, WallClockJumpThatLastsIsAccepted)
{
    rig.executor();
    rig.run(5000);
    job *j = rig.add(1, NORMAL, {Rig::step(1, 100)}, rig.wall + 30000);
    rig.wall += 100000;
    rig.run(4900);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING);
    rig.run(500);
    EXPECT_EQ(j->rows[0].state, ROW_PLACED);
}

// --- which executors get new work (1fa807b) ---

// The runs of each executor end one by one, a random share of them as failed.
struct Failures : LeaderTime {
    std::mt19937 random{7};
    void work(int64_t ms, const std::vector<int> &fail_pct)
    {
        for (int64_t i = 0; i < ms; i += 100) {
            rig.run(100);
            for (size_t k = 0; k < rig.executors.size(); k++) {
                Executor &e = rig.executors[k];
                if (!e.active.empty())
                    e.end(*e.active.begin(), (int)(random() % 100) < fail_pct[k] ? END_FAILED : END_DONE);
                while (!e.ended.empty() && e.ended.front().second.first <= rig.newest_seen(e))
                    e.ended.erase(e.ended.begin());
            }
        }
    }
    void begin(int n)
    {
        for (int i = 0; i < n; i++)
            rig.executor(200);
        for (int64_t id = 1; id <= 20; id++)
            rig.add(id, NORMAL, {Rig::step(100, 100)});
    }
};

TEST_F(Failures, ExecutorWithFewFailuresIsNotQuarantined)
{
    begin(4);
    work(30000, {5, 5, 5, 5});
    EXPECT_EQ(rig.quarantines, 0);
}

TEST_F(Failures, ExecutorOnWhichMostRunsFailIsQuarantined)
{
    begin(4);
    work(1500, {100, 0, 0, 0});
    EXPECT_EQ(rig.quarantines, 1);
    rig.run(500);
    EXPECT_TRUE(rig.executors[0].active.empty()) << "it got new work in quarantine";
    EXPECT_EQ(rig.executors[1].active.size(), 2u);
    rig.run(4000);
    EXPECT_FALSE(rig.executors[0].active.empty()) << "it gets no work after the quarantine";
}

TEST_F(Failures, AtMostHalfOfExecutorsAreQuarantined)
{
    begin(6);
    // one after the other: executors that fail at the same time are compared with each other
    for (size_t k = 0; k < 4; k++) {
        std::vector<int> fail_pct(6, 0);
        fail_pct[k] = 100;
        work(800, fail_pct);
    }
    EXPECT_EQ(rig.quarantines, 3);
    rig.run(200);
    int busy = 0;
    for (const Executor &e : rig.executors)
        busy += !e.active.empty();
    EXPECT_EQ(busy, 3);
}

TEST_F(Failures, NoExecutorIsQuarantinedIfAllFailAlike)
{
    begin(4);
    work(3000, {100, 100, 100, 100});
    EXPECT_EQ(rig.quarantines, 0);
}

TEST_F(LeaderTime, DrainingSilentStaleOrUnfencedExecutorGetsNoNewWork)
{
    const std::vector<std::function<void(Executor &)>> reasons = {
        [](Executor &e) { e.draining = 1; }, [](Executor &e) { e.silent_ms = 600; }, [](Executor &e) { e.up = false; },
        [](Executor &e) { e.epoch = 0; }};
    for (size_t i = 0; i < reasons.size(); i++) {
        Rig rig;
        Executor &e = rig.executor();
        rig.run(500);
        reasons[i](e);
        rig.run(1100);
        job *j = rig.add(1, NORMAL, {Rig::step(1, 100)});
        rig.run(1500);
        EXPECT_EQ(j->rows[0].state, ROW_WAITING) << i;
        e.draining = e.silent_ms = 0, e.up = true, e.epoch = 1;
        rig.run(400);
        EXPECT_EQ(j->rows[0].state, ROW_PLACED) << i;
    }
}

TEST_F(LeaderTime, ReservationIsReleasedOnceAfterAgentRestart)
{
    Executor &e = rig.executor();
    rig.auto_commit = false;
    rig.request_job(1, NORMAL, {Rig::step(1, 1000)});
    dispatch_flush(rig.dispatch);
    rig.commit_next();
    dispatch_flush(rig.dispatch);
    ASSERT_EQ(rig.log.size(), 1u); // the placement is proposed, not committed
    struct agent_report nothing = {};
    nothing.boot = 2, nothing.epoch = 1;
    dispatch_report(rig.dispatch, e.agent, &nothing);
    rig.report(e); // the same incarnation again
    rig.commit_next();
    rig.auto_commit = true;
    rig.run(200);
    job *j = rig.add(2, NORMAL, {Rig::step(1, 1000)});
    rig.run(500);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING) << "placed without free capacity";
}

// --- preemption (9d4231e) ---

TEST_F(LeaderTime, UrgentWorkPreemptsPatientWorkOnlyAfterDelay)
{
    rig.executor();
    rig.add(1, PATIENT, {Rig::step(1, 1000, 60000)});
    rig.run(500);
    size_t mark = rig.orders.size();
    rig.add(2, URGENT, {Rig::step(1, 1000)});
    rig.run(5900);
    EXPECT_EQ(rig.stops({1, 0, 1}, mark), 0);
    rig.run(900);
    EXPECT_GT(rig.stops({1, 0, 1}, mark), 0);
}

TEST_F(LeaderTime, EquallyUrgentWorkIsNotPreempted)
{
    rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 1000, 60000)});
    rig.run(500);
    rig.add(2, NORMAL, {Rig::step(1, 1000)});
    rig.run(9000);
    EXPECT_EQ(rig.stops({1, 0, 1}), 0);
}

// --- stalled runs (fc1145d), and the poll delay (a6346dd) ---

TEST_F(LeaderTime, StalledRunIsStoppedUnlessItsExecutorIsSilent)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 500)});
    rig.run(200);
    e.percent = 10;
    rig.run(100);
    e.silent_ms = 500;
    rig.run(4000);
    EXPECT_EQ(rig.stops({1, 0, 1}), 0);
    e.silent_ms = 0;
    e.percent = 20;
    rig.run(2400);
    EXPECT_EQ(rig.stops({1, 0, 1}), 0);
    rig.run(500);
    EXPECT_GT(rig.stops({1, 0, 1}), 0);
}

// A run that resumes from a checkpoint reports no progress for restore_ms.
TEST_F(LeaderTime, RestoringRunDoesNotCountAsStalled)
{
    rig.settings.restore_ms = 5000;
    dispatch_settings_set(rig.dispatch, &rig.settings);
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 500)});
    e.percent = 40;
    rig.run(6500);
    EXPECT_EQ(rig.stops({1, 0, 1}), 0);
    rig.run(1000);
    EXPECT_GT(rig.stops({1, 0, 1}), 0);
}

// --- gangs whose members do not all start ---

// After how many ms a placed gang is stopped if one of its members never starts, -1: never.
static int64_t gang_stopped_after(Rig &rig, int64_t gang_timeout_ms)
{
    rig.settings.gang_timeout_ms = gang_timeout_ms;
    dispatch_settings_set(rig.dispatch, &rig.settings);
    rig.executor(100), rig.executor(100).deaf = true;
    rig.add(1, NORMAL, {Rig::step(2, 100, 1000, true)});
    for (int64_t ms = 10; ms <= 2 * gang_timeout_ms; ms += 10) {
        rig.run(10);
        if (rig.stops({1, 0, 1}) + rig.stops({1, 1, 1}))
            return ms;
    }
    return -1;
}

// The executor ends a member that has waited gang_timeout_ms for the others. The stop must arrive before.
TEST_F(LeaderTime, IncompleteGangIsStoppedBeforeItsMembersTimeOut)
{
    int64_t ms = gang_stopped_after(rig, 1000);
    EXPECT_GE(ms, 500);
    EXPECT_LE(ms, 500 + 2 * WATCH_MS);
}

TEST_F(LeaderTime, IncompleteGangIsStoppedAtMaximumWithLongTimeout)
{
    int64_t ms = gang_stopped_after(rig, 9000);
    EXPECT_GE(ms, 1500);
    EXPECT_LE(ms, 1500 + 2 * WATCH_MS);
}

TEST_F(LeaderTime, PollDelayIsShorterWhileTasksAreBlocked)
{
    rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 1000)});
    rig.run(500);
    int64_t idle_delay_ms = rig.orders.back()->message.poll_delay_ms;
    rig.add(2, NORMAL, {Rig::step(1, 1000)});
    rig.run(500);
    EXPECT_GT(rig.orders.back()->message.poll_delay_ms, 0);
    EXPECT_LT(rig.orders.back()->message.poll_delay_ms, idle_delay_ms);
}

} // namespace
