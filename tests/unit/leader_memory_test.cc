// The memory of live jobs is bounded on the leader: beyond it a job is refused, also while others are being committed,
// and a few large jobs leave room for small ones.
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

enum { LIVE_BYTES_MAX = 1 << 20, LARGE_TASKS = 7000 };

struct LeaderMemory : testing::Test {
    Rig rig;
    LeaderMemory()
    {
        rig.settings.live_bytes_max = LIVE_BYTES_MAX;
        dispatch_settings_set(rig.dispatch, &rig.settings);
    }
    int64_t error_of(int64_t request)
    {
        EXPECT_EQ(rig.answers[request].size(), 1u);
        return rig.answers[request].empty() ? -99 : rig.answers[request][0].error;
    }
};

} // namespace

TEST_F(LeaderMemory, JobsBeyondTheMemoryAreRefusedUntilOthersEnd)
{
    rig.auto_commit = false;
    int64_t first = rig.request_job(1, NORMAL, {Rig::step(LARGE_TASKS, 1000)});
    int64_t pending = rig.request_job(2, NORMAL, {Rig::step(LARGE_TASKS, 1000)}); // 3 would take over half
    int64_t third = rig.request_job(3, NORMAL, {Rig::step(LARGE_TASKS, 1000)});
    EXPECT_EQ(error_of(third), ERROR_OVERLOAD);
    rig.settle();
    EXPECT_EQ(error_of(first), 0);
    EXPECT_EQ(error_of(pending), 0);
    EXPECT_EQ(error_of(rig.request_job(4, NORMAL, {Rig::step(LARGE_TASKS, 1000)})), ERROR_OVERLOAD);
    int64_t again = rig.request_job(1, NORMAL, {Rig::step(LARGE_TASKS, 1000)}); // accepted before
    int64_t small = rig.request_job(5, NORMAL, {Rig::step(10, 1000)});
    rig.settle();
    EXPECT_EQ(error_of(again), 0);
    EXPECT_EQ(error_of(small), 0);
    EXPECT_GT(rig.record.live_bytes, 2LL * LARGE_TASKS * (int64_t)sizeof(struct row));
    rig.request(NORMAL, [](api_request &message) { api_request_make_cancel(&message, 1); });
    rig.settle();
    int64_t after = rig.request_job(6, NORMAL, {Rig::step(LARGE_TASKS, 1000)});
    rig.settle();
    EXPECT_EQ(error_of(after), 0);
}

TEST_F(LeaderMemory, SnapshotAndEndsKeepTheSum)
{
    rig.add(1, NORMAL, {Rig::step(100, 1000)});
    rig.add(2, NORMAL, {Rig::step(50, 1000)});
    struct bytes snapshot = {};
    struct record restored = {};
    record_start(&restored);
    record_snapshot(&rig.record, &snapshot);
    ASSERT_EQ(record_restore(&restored, &snapshot), 0);
    EXPECT_EQ(restored.live_bytes, rig.record.live_bytes);
    record_end(&restored);
    bytes_free(&snapshot);
    for (int64_t id : {1, 2})
        rig.request(NORMAL, [id](api_request &message) { api_request_make_cancel(&message, id); });
    rig.settle();
    EXPECT_EQ(rig.record.live_bytes, 0);
}
