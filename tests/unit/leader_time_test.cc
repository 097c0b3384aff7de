// The leader's side of dispatch: what time brings about, and which executors get new work.
#include <random>

#include "leader_rig.h"

using namespace leader_rig;

namespace
{

const int64_t LAPSE_MS = LEASE * 102 / 100 + 300, WATCH_MS = 100;

struct LeaderTime : testing::Test {
    Rig t;
    // ms of silence after which the end of this run is proposed as lapsed, -1: within most it is not
    int64_t lapsed_after(const Ref &x, int64_t most)
    {
        t.auto_commit = false;
        for (int64_t ms = 10; ms <= most; ms += 10) {
            t.run(10);
            for (const auto &b : t.log)
                if (b->end_of(x) == END_LAPSED)
                    return ms;
        }
        return -1;
    }
};

// --- leases ---

TEST_F(LeaderTime, NothingLapsesBeforeTheLeaseAndItsMarginAndAllDoesAfter)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(2, 500)});
    t.run(1000);
    ASSERT_EQ(e.active.size(), 2u);
    ASSERT_EQ(t.now % 100, 0);
    e.up = false; // its newest report was granted now
    int64_t ms = lapsed_after({1, 0, 1}, LAPSE_MS + 1000);
    EXPECT_GT(ms, LAPSE_MS);
    EXPECT_LE(ms, LAPSE_MS + 2 * WATCH_MS);
    EXPECT_EQ(t.log[0]->end_of({1, 1, 1}), END_LAPSED);
}

TEST_F(LeaderTime, AReportThatWeMayNotAnswerRenewsNothing)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 500)});
    t.run(1000);
    ASSERT_EQ(e.active.size(), 1u);
    t.holds_lease = false;
    size_t mark = t.orders.size();
    int64_t ms = lapsed_after({1, 0, 1}, LAPSE_MS + 1000);
    EXPECT_GT(ms, LAPSE_MS);
    EXPECT_LE(ms, LAPSE_MS + 2 * WATCH_MS);
    for (size_t i = mark; i < t.orders.size(); i++)
        EXPECT_EQ(t.orders[i]->o.stamp_ms, 0) << "granted in doubt";
}

TEST_F(LeaderTime, ANewLeaderWaitsLongerForWhatTheFormerMayHaveGranted)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 500)});
    t.run(1000);
    e.up = false;
    t.new_leader();
    int64_t ms = lapsed_after({1, 0, 1}, LAPSE_MS + 3000);
    EXPECT_GT(ms, LAPSE_MS + 1000);
    EXPECT_LE(ms, LAPSE_MS + 1000 + 2 * WATCH_MS);
}

TEST_F(LeaderTime, AnExecutorThatIsSilentAndSurelyOverLapsesAtOnce)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 500)});
    t.run(300);
    t.auto_commit = false;
    e.silent_ms = 1000, e.lease_left_ms = 10;
    t.report(e);
    dispatch_flush(t.d);
    ASSERT_TRUE(t.log.empty());
    e.lease_left_ms = 0;
    t.report(e);
    dispatch_flush(t.d);
    ASSERT_EQ(t.log.size(), 1u);
    EXPECT_EQ(t.log[0]->end_of({1, 0, 1}), END_LAPSED);
}

// The order may still reach the agent, which then answers again and begins it.
TEST_F(LeaderTime, AStartOnItsWayToASilentExecutorIsNotTakenForLapsed)
{
    Executor &e = t.executor();
    e.deaf = true; // whatever is ordered is still on its way
    t.add(1, NORMAL, {Rig::step(1, 500)});
    t.run(300);
    t.auto_commit = false;
    e.silent_ms = 1000, e.lease_left_ms = 0;
    t.report(e);
    dispatch_flush(t.d);
    EXPECT_TRUE(t.log.empty());
    e.deaf = false;
    t.report(e); // its answer is orders that the agent takes
    t.report(e);
    dispatch_flush(t.d);
    ASSERT_EQ(t.log.size(), 1u);
    EXPECT_EQ(t.log[0]->end_of({1, 0, 1}), END_LAPSED);
}

// --- time of day (fe20da2) ---

TEST_F(LeaderTime, AJumpOfTheTimeOfDayThatIsTakenBackStartsNothingEarly)
{
    t.executor();
    t.run(10000);
    int64_t due_ms = t.wall + 12000, begin_ms = t.now + 12000 - EARLY * 40 / 100;
    job *j = t.add(1, NORMAL, {Rig::step(1, 100)}, due_ms);
    int64_t ahead_ms = t.wall - t.now;
    t.on_propose = [&](const Batch &b) {
        for (int64_t i = 0; i < b.batch.n; i++)
            EXPECT_EQ(b.batch.ops[i].at_ms, t.now + ahead_ms) << "an op bears a time that was never believed";
    };
    t.run(1000);
    t.wall += 8000;
    t.run(6000);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING);
    t.wall -= 8000;
    while (t.now < begin_ms - 10)
        t.run(10);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING);
    t.run(30);
    EXPECT_EQ(j->rows[0].state, ROW_PLACED);
}

TEST_F(LeaderTime, AJumpThatLastsAsLongAsWhatWasBelievedIsBelieved)
{
    t.executor();
    t.run(5000);
    job *j = t.add(1, NORMAL, {Rig::step(1, 100)}, t.wall + 30000);
    t.wall += 100000;
    t.run(4900);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING);
    t.run(500);
    EXPECT_EQ(j->rows[0].state, ROW_PLACED);
}

// --- which executors get new work (1fa807b) ---

// Runs on them end one by one, as failed by chance.
struct Failures : LeaderTime {
    std::mt19937 random{7};
    void work(int64_t ms, const std::vector<int> &fail_pct)
    {
        for (int64_t i = 0; i < ms; i += 100) {
            t.run(100);
            for (size_t k = 0; k < t.executors.size(); k++) {
                Executor &e = t.executors[k];
                if (!e.active.empty())
                    e.end(*e.active.begin(), (int)(random() % 100) < fail_pct[k] ? END_FAILED : END_DONE);
                while (!e.ended.empty() && e.ended.front().second.first <= t.newest_seen(e))
                    e.ended.erase(e.ended.begin());
            }
        }
    }
    void begin(int n)
    {
        for (int i = 0; i < n; i++)
            t.executor(200);
        for (int64_t id = 1; id <= 20; id++)
            t.add(id, NORMAL, {Rig::step(100, 100)});
    }
};

TEST_F(Failures, AnExecutorWithAFewFailuresIsNeverLeftAlone)
{
    begin(4);
    work(30000, {5, 5, 5, 5});
    EXPECT_EQ(t.quarantines, 0);
}

TEST_F(Failures, AnExecutorThatFailsMostIsLeftAloneForAWhile)
{
    begin(4);
    work(1500, {100, 0, 0, 0});
    EXPECT_EQ(t.quarantines, 1);
    t.run(500);
    EXPECT_TRUE(t.executors[0].active.empty()) << "it got new work";
    EXPECT_EQ(t.executors[1].active.size(), 2u);
    t.run(4000);
    EXPECT_FALSE(t.executors[0].active.empty()) << "it never gets work again";
}

TEST_F(Failures, HalfOfTheExecutorsAreLeftAtWork)
{
    begin(6);
    // one after the other; those that begin to fail together are judged against each other
    for (size_t k = 0; k < 4; k++) {
        std::vector<int> fail_pct(6, 0);
        fail_pct[k] = 100;
        work(800, fail_pct);
    }
    EXPECT_EQ(t.quarantines, 3);
    t.run(200);
    int busy = 0;
    for (const Executor &e : t.executors)
        busy += !e.active.empty();
    EXPECT_EQ(busy, 3);
}

TEST_F(Failures, WhereAllFailAlikeNoneIsLeftAlone)
{
    begin(4);
    work(3000, {100, 100, 100, 100});
    EXPECT_EQ(t.quarantines, 0);
}

TEST_F(LeaderTime, AnExecutorThatDrainsIsSilentStaleOrNotFencedGetsNothingNew)
{
    const std::vector<std::function<void(Executor &)>> closed = {
        [](Executor &e) { e.draining = 1; }, [](Executor &e) { e.silent_ms = 600; }, [](Executor &e) { e.up = false; },
        [](Executor &e) { e.epoch = 0; }};
    for (size_t i = 0; i < closed.size(); i++) {
        Rig t;
        Executor &e = t.executor();
        t.run(500);
        closed[i](e);
        t.run(1100);
        job *j = t.add(1, NORMAL, {Rig::step(1, 100)});
        t.run(1500);
        EXPECT_EQ(j->rows[0].state, ROW_WAITING) << i;
        e.draining = e.silent_ms = 0, e.up = true, e.epoch = 1;
        t.run(400);
        EXPECT_EQ(j->rows[0].state, ROW_PLACED) << i;
    }
}

TEST_F(LeaderTime, APromiseIsGivenBackOnceThoughItsAgentBeganAnew)
{
    Executor &e = t.executor();
    t.auto_commit = false;
    t.request_job(1, NORMAL, {Rig::step(1, 1000)});
    dispatch_flush(t.d);
    t.commit_next();
    dispatch_flush(t.d);
    ASSERT_EQ(t.log.size(), 1u); // the placement is under way
    struct agent_report nothing = {};
    nothing.boot = 2, nothing.epoch = 1;
    dispatch_report(t.d, e.agent, &nothing);
    t.report(e); // the same life again
    t.commit_next();
    t.auto_commit = true;
    t.run(200);
    job *j = t.add(2, NORMAL, {Rig::step(1, 1000)});
    t.run(500);
    EXPECT_EQ(j->rows[0].state, ROW_WAITING) << "placed without room";
}

// --- urgent work (9d4231e) ---

TEST_F(LeaderTime, UrgentWorkPushesOutPatientWorkOnlyAfterAWhile)
{
    t.executor();
    t.add(1, PATIENT, {Rig::step(1, 1000, 60000)});
    t.run(500);
    size_t mark = t.orders.size();
    t.add(2, URGENT, {Rig::step(1, 1000)});
    t.run(5900);
    EXPECT_EQ(t.stops({1, 0, 1}, mark), 0);
    t.run(900);
    EXPECT_GT(t.stops({1, 0, 1}, mark), 0);
}

TEST_F(LeaderTime, WorkThatIsNoLessUrgentIsNotPushedOut)
{
    t.executor();
    t.add(1, NORMAL, {Rig::step(1, 1000, 60000)});
    t.run(500);
    t.add(2, NORMAL, {Rig::step(1, 1000)});
    t.run(9000);
    EXPECT_EQ(t.stops({1, 0, 1}), 0);
}

// --- standing still (fc1145d), and the pace of looks (a6346dd) ---

TEST_F(LeaderTime, WorkThatStandsStillIsMovedUnlessItsExecutorIsOutOfSight)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 500)});
    t.run(200);
    e.percent = 10;
    t.run(100);
    e.silent_ms = 500;
    t.run(4000);
    EXPECT_EQ(t.stops({1, 0, 1}), 0);
    e.silent_ms = 0;
    e.percent = 20;
    t.run(2400);
    EXPECT_EQ(t.stops({1, 0, 1}), 0);
    t.run(500);
    EXPECT_GT(t.stops({1, 0, 1}), 0);
}

// What resumes shows no progress for restoreMs.
TEST_F(LeaderTime, WorkThatIsBeingRestoredDoesNotStandStill)
{
    t.settings.restore_ms = 5000;
    dispatch_settings_set(t.d, &t.settings);
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 500)});
    e.percent = 40;
    t.run(6500);
    EXPECT_EQ(t.stops({1, 0, 1}), 0);
    t.run(1000);
    EXPECT_GT(t.stops({1, 0, 1}), 0);
}

// --- gangs that do not gather ---

// ms from the placing of a gang of which one member is never begun until the others are stopped.
static int64_t gathered_for(Rig &t, int64_t gang_timeout_ms)
{
    t.settings.gang_timeout_ms = gang_timeout_ms;
    dispatch_settings_set(t.d, &t.settings);
    t.executor(100), t.executor(100).deaf = true;
    t.add(1, NORMAL, {Rig::step(2, 100, 1000, true)});
    for (int64_t ms = 10; ms <= 2 * gang_timeout_ms; ms += 10) {
        t.run(10);
        if (t.stops({1, 0, 1}) + t.stops({1, 1, 1}))
            return ms;
    }
    return -1;
}

// A member that waits gangTimeoutMs for the others ends alone: the stop must be there before.
TEST_F(LeaderTime, AGangThatDoesNotGatherIsStoppedWellBeforeItsMembersAreAlone)
{
    int64_t ms = gathered_for(t, 1000);
    EXPECT_GE(ms, 500);
    EXPECT_LE(ms, 500 + 2 * WATCH_MS);
}

TEST_F(LeaderTime, AGangIsNotWaitedForLongerWhereItsMembersWouldWait)
{
    int64_t ms = gathered_for(t, 9000);
    EXPECT_GE(ms, 1500);
    EXPECT_LE(ms, 1500 + 2 * WATCH_MS);
}

TEST_F(LeaderTime, EndsAreLookedForMoreOftenWhileWorkWaitsForRoom)
{
    t.executor();
    t.add(1, NORMAL, {Rig::step(1, 1000)});
    t.run(500);
    int64_t calm = t.orders.back()->o.poll_delay_ms;
    t.add(2, NORMAL, {Rig::step(1, 1000)});
    t.run(500);
    EXPECT_GT(t.orders.back()->o.poll_delay_ms, 0);
    EXPECT_LT(t.orders.back()->o.poll_delay_ms, calm);
}

} // namespace
