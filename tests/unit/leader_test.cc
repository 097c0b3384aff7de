// Dispatch on a leader: when requests are answered, and when ends are acknowledged and runs are stopped.
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

struct Leader : testing::Test {
    Rig rig;
};

// --- reads of a job's state (360c787) ---

TEST_F(Leader, StateReadWaitsUntilPendingEndIsCommitted)
{
    Executor &e = rig.executor();
    job *j = rig.add(1, NORMAL, {Rig::step(1, 1000)});
    rig.run(300);
    ASSERT_EQ(j->n_placed, 1);
    rig.auto_commit = false;
    int64_t request = rig.request_state(1);
    rig.run(30);
    EXPECT_TRUE(rig.answers[request].empty());
    e.end({1, 0, 1}, END_DONE);
    rig.report(e);
    rig.tick();
    EXPECT_TRUE(rig.answers[request].empty()) << "the end is not committed yet";
    rig.commit_next();
    dispatch_flush(rig.dispatch);
    ASSERT_EQ(rig.answers[request].size(), 1u);
    EXPECT_EQ(rig.answers[request][0].error, 0);
    EXPECT_EQ(rig.answers[request][0].state, JOB_DONE);
}

TEST_F(Leader, StateReadIsAnsweredAfterTimeoutIfNoRunEnds)
{
    rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 1000)});
    rig.run(300);
    int64_t request = rig.request_state(1);
    rig.run(90);
    EXPECT_TRUE(rig.answers[request].empty());
    rig.run(10);
    ASSERT_EQ(rig.answers[request].size(), 1u);
    EXPECT_EQ(rig.answers[request][0].state, JOB_ACTIVE);
}

TEST_F(Leader, StateReadOfJobWithWaitingTasksIsAnsweredAtOnce)
{
    rig.executor();
    job *j = rig.add(1, NORMAL, {Rig::step(2, 1000)});
    rig.run(300);
    ASSERT_EQ(j->n_placed, 1);
    int64_t request = rig.request_state(1);
    ASSERT_EQ(rig.answers[request].size(), 1u);
    EXPECT_EQ(rig.answers[request][0].state, JOB_ACTIVE);
}

TEST_F(Leader, WaitingRequestsAreAnsweredOnceWhenLeadershipEnds)
{
    rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 1000)});
    rig.run(300);
    int64_t state = rig.request_state(1);
    int64_t proposed = rig.request_job(2, NORMAL, {Rig::step(1, 10)});
    dispatch_flush(rig.dispatch);
    int64_t in_open_batch = rig.request_job(3, NORMAL, {Rig::step(1, 10)});
    rig.holds_lease = false;
    int64_t read = rig.request_state(1);
    ASSERT_EQ(rig.barriers.size(), 1u);
    dispatch_become_follower(rig.dispatch);
    int64_t after = rig.request_state(1);
    for (int64_t request : {state, proposed, in_open_batch, read, after}) {
        ASSERT_EQ(rig.answers[request].size(), 1u) << request;
        EXPECT_EQ(rig.answers[request][0].error, ERROR_NOT_LEADER) << request;
    }
    dispatch_barrier(rig.dispatch, rig.barriers[0], 0);
    rig.drop_next();
    EXPECT_EQ(rig.answers[read].size(), 1u) << "answered twice";
    EXPECT_EQ(rig.answers[proposed].size(), 1u) << "answered twice";
}

TEST_F(Leader, ReadWithoutLeaseWaitsForBarrier)
{
    rig.executor();
    rig.add(1, NORMAL, {Rig::step(2, 1000)});
    rig.holds_lease = false;
    int64_t request = rig.request_state(1);
    rig.run(300);
    EXPECT_TRUE(rig.answers[request].empty());
    dispatch_barrier(rig.dispatch, rig.barriers[0], 0);
    ASSERT_EQ(rig.answers[request].size(), 1u);
    EXPECT_EQ(rig.answers[request][0].error, 0);
}

// --- ends (fc1145d) ---

TEST_F(Leader, EndsAreAcknowledgedAtOnceAfterCommitAndNotBefore)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(3, 100)});
    rig.run(300);
    ASSERT_EQ(e.active.size(), 3u);
    rig.auto_commit = false;
    for (int64_t task = 0; task < 2; task++) {
        e.end({1, task, 1}, END_DONE);
        rig.report(e);
        rig.tick();
    }
    ASSERT_EQ(rig.log.size(), 2u);
    rig.run(300);
    EXPECT_EQ(rig.newest_seen(e), 0);
    rig.commit_next();
    dispatch_flush(rig.dispatch);
    EXPECT_EQ(rig.newest_seen(e), 1) << "acknowledged at once, but not the end that is being committed";
    rig.run(300);
    EXPECT_EQ(rig.newest_seen(e), 1);
    rig.commit_next();
    dispatch_flush(rig.dispatch);
    EXPECT_EQ(rig.newest_seen(e), 2);
}

TEST_F(Leader, EndOfLostBatchBlocksAcknowledgementOfLaterEnds)
{
    Executor &e = rig.executor();
    job *j = rig.add(1, NORMAL, {Rig::step(3, 100)});
    rig.run(300);
    rig.auto_commit = false;
    for (int64_t task = 0; task < 2; task++) {
        e.end({1, task, 1}, END_DONE);
        rig.report(e);
        rig.tick();
    }
    rig.drop_next();
    rig.commit_next();
    rig.run(50);
    EXPECT_EQ(rig.newest_seen(e), 0);
    rig.report(e); // the end is reported again, and proposed again
    dispatch_flush(rig.dispatch);
    EXPECT_EQ(rig.newest_seen(e), 0);
    ASSERT_EQ(rig.log.size(), 1u);
    EXPECT_EQ(rig.log[0]->end_of({1, 0, 1}), END_DONE);
    rig.commit_next();
    dispatch_flush(rig.dispatch);
    EXPECT_EQ(rig.newest_seen(e), 2);
    EXPECT_EQ(j->n_done, 2);
}

// --- capacity of ends that are being committed (360c787) ---

TEST_F(Leader, CapacityOfEndIsReusedAfterItInSameBatch)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 1000)});
    rig.run(300);
    rig.add(2, NORMAL, {Rig::step(1, 1000)});
    rig.auto_commit = false;
    rig.run(300);
    ASSERT_TRUE(rig.log.empty()) << "placed without free capacity";
    rig.request_job(3, NORMAL, {Rig::step(1, 2000)});
    dispatch_flush(rig.dispatch);
    e.end({1, 0, 1}, END_DONE);
    rig.report(e);
    rig.commit_next(); // a commit requests a planning round
    dispatch_flush(rig.dispatch);
    ASSERT_EQ(rig.log.size(), 1u);
    int64_t end = rig.log[0]->find(OP_END), place = rig.log[0]->find(OP_PLACE);
    ASSERT_GE(end, 0);
    ASSERT_GE(place, 0);
    EXPECT_LT(end, place);
}

TEST_F(Leader, CapacityOfEndIsReusedBeforeItsCommit)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 1000)});
    rig.run(300);
    rig.add(2, NORMAL, {Rig::step(1, 1000)});
    rig.auto_commit = false;
    e.end({1, 0, 1}, END_DONE);
    rig.report(e);
    rig.tick();
    ASSERT_EQ(rig.log.size(), 1u);
    ASSERT_GE(rig.log[0]->find(OP_END), 0);
    rig.run(260); // a planning round runs every 250 ms at the latest
    EXPECT_GE(rig.log.back()->find(OP_PLACE), 0);
}

TEST_F(Leader, CapacityOfEndIsReusedInLaterBatch)
{
    Executor &e = rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 1000)});
    rig.run(300);
    rig.auto_commit = false;
    rig.request_job(2, NORMAL, {Rig::step(1, 1000)});
    dispatch_flush(rig.dispatch); // the job is accepted by the batch before that of the end
    e.end({1, 0, 1}, END_DONE);
    rig.report(e);
    rig.tick();
    rig.commit_next();
    dispatch_flush(rig.dispatch);
    ASSERT_EQ(rig.log.size(), 2u);
    EXPECT_GE(rig.log[0]->find(OP_END), 0);
    EXPECT_GE(rig.log[1]->find(OP_PLACE), 0);
}

TEST_F(Leader, CapacityOfEndWithoutEffectIsCountedAgain)
{
    for (bool lost : {true, false}) {
        Rig rig;
        Executor &e = rig.executor();
        rig.add(1, NORMAL, {Rig::step(1, 1000)});
        rig.run(300);
        rig.auto_commit = false;
        e.end({1, 0, 1}, END_DONE);
        rig.report(e);
        rig.tick();
        lost ? rig.drop_next() : rig.commit_next(false);
        e.up = false; // it does not report the end again
        rig.request_job(2, NORMAL, {Rig::step(1, 1000)});
        rig.tick();
        rig.commit_next();
        rig.run(300);
        EXPECT_TRUE(rig.log.empty()) << "the capacity was used twice, lost " << lost;
    }
}

// --- gangs and stops (a6346dd) ---

TEST_F(Leader, GangThatLostMemberUnderFormerLeaderIsStopped)
{
    Executor &e = rig.executor();
    e.deaf = true;
    job *j = rig.add(1, NORMAL, {Rig::step(3, 100, 1000, true)});
    rig.run(100);
    ASSERT_EQ(j->n_placed, 3);
    rig.auto_commit = false;
    e.ended.push_back({{1, 1, 1}, {1, END_STOPPED}});
    rig.report(e);
    rig.tick();
    rig.commit_next();
    ASSERT_EQ(j->n_placed, 2);
    rig.new_leader();
    e.epoch = rig.epoch;
    e.ended.clear();
    rig.run(600);
    for (int64_t task : {0, 2}) {
        EXPECT_EQ(rig.starts({1, task, 1}), 0) << task;
        EXPECT_GT(rig.stops({1, task, 1}), 0) << task;
    }
}

TEST_F(Leader, RowWithOnlyNewCheckpointKeepsItsStop)
{
    Executor &e = rig.executor();
    e.deaf = true;
    step_spec s = Rig::step(3, 100, 1000, true);
    s.checkpoints = 1;
    job *j = rig.add(1, NORMAL, {s});
    rig.run(100);
    ASSERT_EQ(j->n_placed, 3);
    e.checkpoint[{1, 0, 1}] = "half";
    e.end({1, 0, 1}, END_STOPPED);
    rig.report(e);
    size_t mark = rig.orders.size();
    rig.settle();
    ASSERT_STREQ(j->rows[2].checkpoint, "half");
    rig.run(600);
    for (int64_t task : {1, 2}) {
        EXPECT_EQ(rig.starts({1, task, 1}, mark), 0) << task;
        EXPECT_GE(rig.stops({1, task, 1}, mark), 2)
            << task << ": the stop must be repeated until reports show its effect";
    }
}

TEST_F(Leader, OrderNumbersIncrease)
{
    rig.executor(), rig.executor();
    rig.add(1, NORMAL, {Rig::step(4, 500)});
    rig.run(500);
    ASSERT_GT(rig.orders.size(), 4u);
    for (size_t i = 1; i < rig.orders.size(); i++)
        EXPECT_GT(rig.orders[i]->message.number, rig.orders[i - 1]->message.number);
}

TEST_F(Leader, CancelledJobIsStoppedAtOnce)
{
    rig.executor();
    job *j = rig.add(1, NORMAL, {Rig::step(2, 500)});
    rig.run(300);
    size_t mark = rig.orders.size();
    int64_t request = rig.request(NORMAL, [](api_request &a) { api_request_make_cancel(&a, 1); });
    rig.settle();
    ASSERT_EQ(rig.answers[request].size(), 1u);
    EXPECT_EQ(rig.answers[request][0].error, 0);
    EXPECT_EQ(rig.stops({1, 0, 1}, mark), 1);
    EXPECT_EQ(rig.stops({1, 1, 1}, mark), 1);
    EXPECT_EQ(j->n_placed, 2) << "its capacity is in use until its runs have ended";
}

TEST_F(Leader, RefusedStartIsRetriedOnlyAfterItCertainlyNeverRan)
{
    rig.executor(), rig.executor();
    for (Executor &e : rig.executors)
        e.deaf = true;
    job *j = rig.add(1, NORMAL, {Rig::step(1, 1000)});
    Executor *first = rig.executor_of(j);
    ASSERT_TRUE(first);
    ASSERT_GT(rig.starts({1, 0, 1}), 0);
    first->refused[{1, 0, 1}] = REFUSED_UNAVAILABLE;
    size_t mark = rig.orders.size();
    rig.run(3000);
    EXPECT_GT(rig.stops({1, 0, 1}, mark), 0);
    EXPECT_EQ(rig.starts({1, 0, 1}, mark + 1), 0);
    EXPECT_EQ(j->rows[0].attempt, 1) << "the refused call may still be carried out";
    first->end({1, 0, 1}, END_NEVER_RAN);
    rig.run(100);
    EXPECT_EQ(j->rows[0].attempt, 2);
    EXPECT_GT(rig.starts({1, 0, 2}), 0);
    EXPECT_TRUE(rig.executor_of(j) && rig.executor_of(j) != first);
    EXPECT_EQ(j->rows[0].failures, 0);
}

} // namespace
