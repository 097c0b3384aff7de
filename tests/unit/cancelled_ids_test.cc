// Jobs that were cancelled before they were submitted: a submission that arrives late must not run.
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

struct CancelledIds : testing::Test {
    Rig rig;
    int64_t cancel(int64_t id)
    {
        return rig.request(NORMAL, [&](api_request &message) { api_request_make_cancel(&message, id); });
    }
    int64_t error_of(int64_t ticket) { return rig.answers[ticket].size() == 1 ? rig.answers[ticket][0].error : -99; }
};

} // namespace

// Guards against a job that runs although its cancellation was answered: its submission was held up by a frozen
// controller, and the cancellation of a job that was not known left nothing behind (review/3).
TEST_F(CancelledIds, SubmissionAfterItsCancellationDoesNotRun)
{
    rig.executor();
    int64_t cancelled = cancel(1);
    rig.settle();
    EXPECT_EQ(error_of(cancelled), ERROR_GONE);
    int64_t submitted = rig.request_job(1, NORMAL, {Rig::step(1, 100)});
    rig.settle();
    EXPECT_EQ(error_of(submitted), ERROR_NONE) << "it is one job, submitted and cancelled";
    rig.run(1000);
    EXPECT_EQ(rig.starts({1, 0, 1}), 0);
    ASSERT_NE(record_job(&rig.record, 1), nullptr);
    EXPECT_EQ(record_job(&rig.record, 1)->state, JOB_CANCELLED);
    EXPECT_EQ(rig.record.n_live, 0);
    int64_t again = rig.request_job(1, NORMAL, {Rig::step(1, 100)});
    int64_t cancelled_again = cancel(1);
    rig.settle();
    EXPECT_EQ(error_of(again), ERROR_NONE);
    EXPECT_EQ(error_of(cancelled_again), ERROR_NONE);
    rig.run(1000);
    EXPECT_EQ(rig.starts({1, 0, 1}), 0);
}

TEST_F(CancelledIds, CancellationOfAnUnknownJobIsAnsweredOnceItIsCommitted)
{
    rig.auto_commit = false;
    int64_t cancelled = cancel(1);
    dispatch_flush(rig.dispatch);
    EXPECT_TRUE(rig.answers[cancelled].empty());
    ASSERT_EQ(rig.log.size(), 1u);
    rig.commit_next();
    EXPECT_EQ(error_of(cancelled), ERROR_GONE);
    int64_t state = rig.request_state(1);
    EXPECT_EQ(error_of(state), ERROR_GONE) << "a job that nobody submitted is not shown";
}

TEST_F(CancelledIds, CancellationsOutliveALeaderAndASnapshot)
{
    cancel(1);
    rig.settle();
    struct bytes stored = {};
    record_snapshot(&rig.record, &stored);
    struct record restored = {};
    record_start(&restored);
    ASSERT_EQ(record_restore(&restored, &stored), 0);
    struct bytes again = {};
    record_snapshot(&restored, &again);
    EXPECT_EQ(std::string((char *)stored.at, (size_t)stored.len), std::string((char *)again.at, (size_t)again.len));
    EXPECT_TRUE(cancelled_ids_has(&restored.cancelled_ids, 1, rig.wall));
    bytes_free(&stored);
    bytes_free(&again);
    record_end(&restored);
    rig.new_leader();
    rig.executor();
    rig.request_job(1, NORMAL, {Rig::step(1, 100)});
    rig.settle();
    rig.run(1000);
    EXPECT_EQ(rig.starts({1, 0, 1}), 0);
}

TEST_F(CancelledIds, OtherJobsRun)
{
    rig.executor();
    cancel(1);
    rig.settle();
    rig.add(2, NORMAL, {Rig::step(1, 100)});
    rig.run(300);
    EXPECT_GT(rig.starts({2, 0, 1}), 0);
}

TEST_F(CancelledIds, SubmissionAfterTheTimeOfRetentionRuns)
{
    cancel(1);
    rig.settle();
    rig.now += CANCELLED_ID_KEEP_MS + 1, rig.wall += CANCELLED_ID_KEEP_MS + 1;
    rig.executor();
    rig.add(1, NORMAL, {Rig::step(1, 100)});
    rig.run(300);
    EXPECT_GT(rig.starts({1, 0, 1}), 0);
}

TEST(CancelledIdSet, IsBoundedAndForgetsTheOldest)
{
    struct cancelled_ids ids = {};
    for (int64_t id = 1; id <= CANCELLED_IDS_MAX; id++)
        ASSERT_EQ(cancelled_ids_add(&ids, id, 1000 + id), ERROR_NONE);
    EXPECT_EQ(cancelled_ids_add(&ids, 0, 1000 + CANCELLED_IDS_MAX), ERROR_OVERLOAD) << "refused, not forgotten early";
    EXPECT_TRUE(cancelled_ids_has(&ids, 1, 1001 + CANCELLED_ID_KEEP_MS));
    EXPECT_FALSE(cancelled_ids_has(&ids, 1, 1002 + CANCELLED_ID_KEEP_MS));
    EXPECT_EQ(cancelled_ids_add(&ids, -5, 1002 + CANCELLED_ID_KEEP_MS), ERROR_NONE);
    EXPECT_EQ(ids.n, CANCELLED_IDS_MAX);
    EXPECT_TRUE(cancelled_ids_has(&ids, 2, 1002 + CANCELLED_ID_KEEP_MS));
    EXPECT_TRUE(cancelled_ids_has(&ids, -5, 1002 + CANCELLED_ID_KEEP_MS));
    cancelled_ids_clear(&ids);
}

TEST(CancelledIdSet, TheNewestCancellationCounts)
{
    struct cancelled_ids ids = {};
    cancelled_ids_add(&ids, 7, 1000);
    cancelled_ids_add(&ids, 7, 1000 + CANCELLED_ID_KEEP_MS);
    cancelled_ids_add(&ids, 8, 1001 + CANCELLED_ID_KEEP_MS);
    EXPECT_TRUE(cancelled_ids_has(&ids, 7, 1000 + 2 * CANCELLED_ID_KEEP_MS));
    cancelled_ids_clear(&ids);
}
