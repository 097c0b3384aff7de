// Dispatch on a leader: executors whose ids have every length that the API accepts, and long common prefixes.
#include "leader_rig.h"

using namespace leader_rig;

namespace
{

const int64_t CAPACITY = 1000;

// An id of this length that differs from others of its length only in its last character.
std::string id_of(size_t length, char last) { return std::string(length - 1, 'i') + last; }

struct LeaderExecutorIds : testing::TestWithParam<int> {
    Rig rig;
    Executor &executor(char last)
    {
        Executor &added = rig.executor(CAPACITY);
        added.up = false; // the former report named another incarnation
        Executor copy = added;
        copy.up = true;
        copy.incarnation = id_of((size_t)GetParam(), last);
        rig.executors.push_back(copy);
        rig.report(rig.executors.back());
        return rig.executors.back();
    }
};

// Guards against capacity that stays reserved after the commit because a copy of the id was cut off: the executor
// counted as full for good, and accepted jobs stayed pending beside idle executors (review/4).
TEST_P(LeaderExecutorIds, ReservedCapacityIsReleasedOnCommit)
{
    Executor &first = executor('a'), &second = executor('b');
    for (int64_t id = 1; id <= 20; id++) {
        job *j = rig.add(id, NORMAL, {Rig::step(2, CAPACITY)});
        rig.run(200);
        ASSERT_EQ(j->n_placed, 2) << "job " << id;
        ASSERT_EQ(first.active.size(), 1u) << "job " << id;
        ASSERT_EQ(second.active.size(), 1u) << "job " << id;
        for (Executor *each : {&first, &second})
            each->end(*each->active.begin(), END_DONE);
        rig.run(200);
        ASSERT_EQ(j->state, JOB_DONE) << "job " << id;
        first.ended.clear();
        second.ended.clear();
    }
}

// Guards against an executor that is overfilled because a reservation under a cut off id was not found again when the
// executor was reported after another incarnation.
TEST_P(LeaderExecutorIds, ReservedCapacityIsKeptWhileAnotherIncarnationIsReported)
{
    Executor &first = executor('a');
    Executor other = first;
    other.incarnation = id_of((size_t)GetParam(), 'b');
    rig.auto_commit = false;
    rig.request_job(1, NORMAL, {Rig::step(1, CAPACITY)});
    rig.request_job(2, NORMAL, {Rig::step(1, CAPACITY)});
    dispatch_flush(rig.dispatch);
    rig.commit_next(); // both jobs are accepted
    dispatch_flush(rig.dispatch);
    ASSERT_EQ(rig.log.size(), 1u) << "the placement of one of them is proposed";
    rig.report(other);
    rig.report(first);
    rig.run(300);
    int64_t placements = 0;
    for (const auto &batch : rig.log)
        for (int64_t i = 0; i < batch->batch.n; i++)
            if (batch->batch.ops[i].kind == OP_PLACE &&
                first.incarnation == record_op_place(&batch->batch.ops[i])->incarnation)
                placements += record_op_place(&batch->batch.ops[i])->n_runs;
    EXPECT_EQ(placements, 1) << "the executor has room for one";
}

INSTANTIATE_TEST_SUITE_P(Lengths, LeaderExecutorIds, testing::Values(1, 2, 70, 71, 72, 73, 128, 200, 1024));

} // namespace
