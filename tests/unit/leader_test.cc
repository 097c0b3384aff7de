// The leader's side of dispatch: what is answered when, and what is told of ends and stops.
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

struct Leader : testing::Test {
    Rig t;
};

// --- states asked for (360c787) ---

TEST_F(Leader, AStateWaitsWhileAllThatIsLeftRunsAndIsToldOnceTheEndIsCommitted)
{
    Executor &e = t.executor();
    job *j = t.add(1, NORMAL, {Rig::step(1, 1000)});
    t.run(300);
    ASSERT_EQ(j->n_placed, 1);
    t.auto_commit = false;
    int64_t request = t.request_state(1);
    t.run(30);
    EXPECT_TRUE(t.answers[request].empty());
    e.end({1, 0, 1}, END_DONE);
    t.report(e);
    t.turn();
    EXPECT_TRUE(t.answers[request].empty()) << "the end is not committed";
    t.commit_next();
    dispatch_flush(t.d);
    ASSERT_EQ(t.answers[request].size(), 1u);
    EXPECT_EQ(t.answers[request][0].error, 0);
    EXPECT_EQ(t.answers[request][0].state, JOB_DONE);
}

TEST_F(Leader, AStateIsToldAfterAMomentWhereNothingEnds)
{
    t.executor();
    t.add(1, NORMAL, {Rig::step(1, 1000)});
    t.run(300);
    int64_t request = t.request_state(1);
    t.run(90);
    EXPECT_TRUE(t.answers[request].empty());
    t.run(10);
    ASSERT_EQ(t.answers[request].size(), 1u);
    EXPECT_EQ(t.answers[request][0].state, JOB_ACTIVE);
}

TEST_F(Leader, AStateOfAJobWithWaitingTasksIsToldAtOnce)
{
    t.executor();
    job *j = t.add(1, NORMAL, {Rig::step(2, 1000)});
    t.run(300);
    ASSERT_EQ(j->n_placed, 1);
    int64_t request = t.request_state(1);
    ASSERT_EQ(t.answers[request].size(), 1u);
    EXPECT_EQ(t.answers[request][0].state, JOB_ACTIVE);
}

TEST_F(Leader, WhoeverWaitsIsToldOnceWhenWeFollow)
{
    t.executor();
    t.add(1, NORMAL, {Rig::step(1, 1000)});
    t.run(300);
    int64_t state = t.request_state(1);
    int64_t under_way = t.request_job(2, NORMAL, {Rig::step(1, 10)});
    dispatch_flush(t.d);
    int64_t gathered = t.request_job(3, NORMAL, {Rig::step(1, 10)});
    t.holds_lease = false;
    int64_t read = t.request_state(1);
    ASSERT_EQ(t.barriers.size(), 1u);
    dispatch_become_follower(t.d);
    int64_t after = t.request_state(1);
    for (int64_t request : {state, under_way, gathered, read, after}) {
        ASSERT_EQ(t.answers[request].size(), 1u) << request;
        EXPECT_EQ(t.answers[request][0].error, ERROR_NOT_LEADER) << request;
    }
    dispatch_barrier(t.d, t.barriers[0], 0);
    t.drop_next();
    EXPECT_EQ(t.answers[read].size(), 1u) << "answered twice";
    EXPECT_EQ(t.answers[under_way].size(), 1u) << "answered twice";
}

TEST_F(Leader, AReadInDoubtWaitsForItsBarrier)
{
    t.executor();
    t.add(1, NORMAL, {Rig::step(2, 1000)});
    t.holds_lease = false;
    int64_t request = t.request_state(1);
    t.run(300);
    EXPECT_TRUE(t.answers[request].empty());
    dispatch_barrier(t.d, t.barriers[0], 0);
    ASSERT_EQ(t.answers[request].size(), 1u);
    EXPECT_EQ(t.answers[request][0].error, 0);
}

// --- ends (fc1145d) ---

TEST_F(Leader, EndsAreToldAsSeenAtOnceOnceCommittedAndNotBefore)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(3, 100)});
    t.run(300);
    ASSERT_EQ(e.active.size(), 3u);
    t.auto_commit = false;
    for (int64_t task = 0; task < 2; task++) {
        e.end({1, task, 1}, END_DONE);
        t.report(e);
        t.turn();
    }
    ASSERT_EQ(t.log.size(), 2u);
    t.run(300);
    EXPECT_EQ(t.newest_seen(e), 0);
    t.commit_next();
    dispatch_flush(t.d);
    EXPECT_EQ(t.newest_seen(e), 1) << "told at once, and not beyond the one under way";
    t.run(300);
    EXPECT_EQ(t.newest_seen(e), 1);
    t.commit_next();
    dispatch_flush(t.d);
    EXPECT_EQ(t.newest_seen(e), 2);
}

TEST_F(Leader, AnEndWhoseBatchWasLostHoldsBackThoseBehindIt)
{
    Executor &e = t.executor();
    job *j = t.add(1, NORMAL, {Rig::step(3, 100)});
    t.run(300);
    t.auto_commit = false;
    for (int64_t task = 0; task < 2; task++) {
        e.end({1, task, 1}, END_DONE);
        t.report(e);
        t.turn();
    }
    t.drop_next();
    t.commit_next();
    t.run(50);
    EXPECT_EQ(t.newest_seen(e), 0);
    t.report(e); // it is told again, and proposed again
    dispatch_flush(t.d);
    EXPECT_EQ(t.newest_seen(e), 0);
    ASSERT_EQ(t.log.size(), 1u);
    EXPECT_EQ(t.log[0]->end_of({1, 0, 1}), END_DONE);
    t.commit_next();
    dispatch_flush(t.d);
    EXPECT_EQ(t.newest_seen(e), 2);
    EXPECT_EQ(j->n_done, 2);
}

// --- room of ends under way (360c787) ---

TEST_F(Leader, RoomOfAnEndIsGivenAgainBehindItInTheSameBatch)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 1000)});
    t.run(300);
    t.add(2, NORMAL, {Rig::step(1, 1000)});
    t.auto_commit = false;
    t.run(300);
    ASSERT_TRUE(t.log.empty()) << "placed without room";
    t.request_job(3, NORMAL, {Rig::step(1, 2000)});
    dispatch_flush(t.d);
    e.end({1, 0, 1}, END_DONE);
    t.report(e);
    t.commit_next(); // what is committed is a reason to place
    dispatch_flush(t.d);
    ASSERT_EQ(t.log.size(), 1u);
    int64_t end = t.log[0]->find(OP_END), place = t.log[0]->find(OP_PLACE);
    ASSERT_GE(end, 0);
    ASSERT_GE(place, 0);
    EXPECT_LT(end, place);
}

TEST_F(Leader, RoomOfAnEndIsGivenAgainWithoutWaitingForItsCommit)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 1000)});
    t.run(300);
    t.add(2, NORMAL, {Rig::step(1, 1000)});
    t.auto_commit = false;
    e.end({1, 0, 1}, END_DONE);
    t.report(e);
    t.turn();
    ASSERT_EQ(t.log.size(), 1u);
    ASSERT_GE(t.log[0]->find(OP_END), 0);
    t.run(260); // a round comes every 250 ms at the latest
    EXPECT_GE(t.log.back()->find(OP_PLACE), 0);
}

TEST_F(Leader, RoomOfAnEndIsGivenAgainInALaterBatch)
{
    Executor &e = t.executor();
    t.add(1, NORMAL, {Rig::step(1, 1000)});
    t.run(300);
    t.auto_commit = false;
    t.request_job(2, NORMAL, {Rig::step(1, 1000)});
    dispatch_flush(t.d); // accepted by the batch before the end
    e.end({1, 0, 1}, END_DONE);
    t.report(e);
    t.turn();
    t.commit_next();
    dispatch_flush(t.d);
    ASSERT_EQ(t.log.size(), 2u);
    EXPECT_GE(t.log[0]->find(OP_END), 0);
    EXPECT_GE(t.log[1]->find(OP_PLACE), 0);
}

TEST_F(Leader, RoomOfAnEndThatChangedNothingIsTakenBack)
{
    for (bool lost : {true, false}) {
        Rig t;
        Executor &e = t.executor();
        t.add(1, NORMAL, {Rig::step(1, 1000)});
        t.run(300);
        t.auto_commit = false;
        e.end({1, 0, 1}, END_DONE);
        t.report(e);
        t.turn();
        lost ? t.drop_next() : t.commit_next(false);
        e.up = false; // and it is not told again for now
        t.request_job(2, NORMAL, {Rig::step(1, 1000)});
        t.turn();
        t.commit_next();
        t.run(300);
        EXPECT_TRUE(t.log.empty()) << "the room was given twice, lost " << lost;
    }
}

// --- gangs and stops (a6346dd) ---

TEST_F(Leader, AGangThatLostAMemberUnderAFormerLeaderIsStoppedNotBegun)
{
    Executor &e = t.executor();
    e.deaf = true;
    job *j = t.add(1, NORMAL, {Rig::step(3, 100, 1000, true)});
    t.run(100);
    ASSERT_EQ(j->n_placed, 3);
    t.auto_commit = false;
    e.ended.push_back({{1, 1, 1}, {1, END_STOPPED}});
    t.report(e);
    t.turn();
    t.commit_next();
    ASSERT_EQ(j->n_placed, 2);
    t.new_leader();
    e.epoch = t.epoch;
    e.ended.clear();
    t.run(600);
    for (int64_t task : {0, 2}) {
        EXPECT_EQ(t.starts({1, task, 1}), 0) << task;
        EXPECT_GT(t.stops({1, task, 1}), 0) << task;
    }
}

TEST_F(Leader, ARowWhoseSavedTextAloneChangedKeepsItsStop)
{
    Executor &e = t.executor();
    e.deaf = true;
    step_spec s = Rig::step(3, 100, 1000, true);
    s.checkpoints = 1;
    job *j = t.add(1, NORMAL, {s});
    t.run(100);
    ASSERT_EQ(j->n_placed, 3);
    e.checkpoint[{1, 0, 1}] = "half";
    e.end({1, 0, 1}, END_STOPPED);
    t.report(e);
    size_t mark = t.orders.size();
    t.settle();
    ASSERT_STREQ(j->rows[2].checkpoint, "half");
    t.run(600);
    for (int64_t task : {1, 2}) {
        EXPECT_EQ(t.starts({1, task, 1}, mark), 0) << task;
        EXPECT_GE(t.stops({1, task, 1}, mark), 2) << task << ", told again until it shows";
    }
}

TEST_F(Leader, OrdersCarryANumberThatRises)
{
    t.executor(), t.executor();
    t.add(1, NORMAL, {Rig::step(4, 500)});
    t.run(500);
    ASSERT_GT(t.orders.size(), 4u);
    for (size_t i = 1; i < t.orders.size(); i++)
        EXPECT_GT(t.orders[i]->o.number, t.orders[i - 1]->o.number);
}

TEST_F(Leader, ACancelledJobIsStoppedAtOnce)
{
    t.executor();
    job *j = t.add(1, NORMAL, {Rig::step(2, 500)});
    t.run(300);
    size_t mark = t.orders.size();
    int64_t request = t.request(NORMAL, [](api_request &a) { api_request_make_cancel(&a, 1); });
    t.settle();
    ASSERT_EQ(t.answers[request].size(), 1u);
    EXPECT_EQ(t.answers[request][0].error, 0);
    EXPECT_EQ(t.stops({1, 0, 1}, mark), 1);
    EXPECT_EQ(t.stops({1, 1, 1}, mark), 1);
    EXPECT_EQ(j->n_placed, 2) << "its room is in use until its ends come";
}

TEST_F(Leader, ARefusedStartIsStoppedAndBegunElsewhereOnlyOnceItSurelyNeverRan)
{
    t.executor(), t.executor();
    for (Executor &e : t.executors)
        e.deaf = true;
    job *j = t.add(1, NORMAL, {Rig::step(1, 1000)});
    Executor *first = t.home_of(j);
    ASSERT_TRUE(first);
    ASSERT_GT(t.starts({1, 0, 1}), 0);
    first->refused[{1, 0, 1}] = REFUSED_UNAVAILABLE;
    size_t mark = t.orders.size();
    t.run(3000);
    EXPECT_GT(t.stops({1, 0, 1}, mark), 0);
    EXPECT_EQ(t.starts({1, 0, 1}, mark + 1), 0);
    EXPECT_EQ(j->rows[0].attempt, 1) << "the refused call may still be carried out";
    first->end({1, 0, 1}, END_NEVER_RAN);
    t.run(100);
    EXPECT_EQ(j->rows[0].attempt, 2);
    EXPECT_GT(t.starts({1, 0, 2}), 0);
    EXPECT_TRUE(t.home_of(j) && t.home_of(j) != first);
    EXPECT_EQ(j->rows[0].failures, 0);
}

} // namespace
