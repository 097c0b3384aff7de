// Steps in progress: the next step is placed after ends that are being committed, and the durations of the runs of a
// step show which executors are slow.
#include "leader_rig.h"

extern "C" {
#include "dispatch/leader_state.h"
}

using namespace leader_rig;

namespace
{

struct Steps : testing::Test {
    Rig rig;

    static step_spec after(step_spec step, int64_t before)
    {
        step.depends_on = (int64_t *)must_alloc(sizeof(int64_t));
        step.depends_on[0] = before;
        step.n_depends_on = 1;
        return step;
    }
    // A job with a second step of one task that depends on the first step.
    job *chain(int64_t id, int64_t tasks, bool gang = false)
    {
        std::vector<step_spec> steps = {Rig::step(tasks, 100, 1000, gang), after(Rig::step(1, 100), 0)};
        job *made = rig.add(id, NORMAL, steps);
        free(steps[1].depends_on);
        rig.run(300);
        EXPECT_EQ(made->n_placed, tasks);
        rig.auto_commit = false;
        return made;
    }
    void end(Executor &e, int64_t id, int64_t index)
    {
        e.end({id, task_of(0, 0, index), 1}, END_DONE);
        rig.report(e);
        rig.tick();
    }
    // Kinds of the ops of the newest proposed entry.
    std::vector<int64_t> kinds() const
    {
        std::vector<int64_t> found;
        for (int64_t i = 0; !rig.log.empty() && i < rig.log.back()->batch.n; i++)
            found.push_back(rig.log.back()->batch.ops[i].kind);
        return found;
    }
    int64_t duration_pct(const Executor &e) { return executor_view_of(rig.dispatch, e.agent)->duration_pct; }
    // Runs a job of one step, spread over all executors; takes_ms: duration of its runs on each executor.
    void work(int64_t id, int64_t tasks, int64_t estimate_ms, const std::map<Executor *, int64_t> &takes_ms)
    {
        job *made = rig.add(id, NORMAL, {Rig::step(tasks, 100, estimate_ms)});
        rig.run(10);
        ASSERT_EQ(made->n_placed, tasks);
        int64_t begun_ms = rig.now;
        for (int64_t ms = 10; made->state == JOB_ACTIVE && ms < 20000; ms += 10) {
            for (auto &[executor, took_ms] : takes_ms)
                for (int64_t i = 0; rig.now - begun_ms >= took_ms && made->rows && i < tasks; i++)
                    if (rig.executor_of(made, i) == executor)
                        executor->end({id, task_of(0, 0, i), 1}, END_DONE);
            rig.run(100);
        }
        EXPECT_EQ(made->state, JOB_DONE);
    }
};

} // namespace

TEST_F(Steps, NextStepIsPlacedInTheEntryWithTheEnds)
{
    Executor &e = rig.executor();
    job *j = chain(1, 1);
    end(e, 1, 0);
    ASSERT_EQ(rig.log.size(), 1u);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END, OP_PLACE}));
    size_t mark = rig.orders.size();
    rig.run(50);
    EXPECT_EQ(rig.starts({1, task_of(0, 1, 0), 1}, mark), 0) << "nothing is committed yet";
    rig.commit_next();
    EXPECT_EQ(j->rows[1].state, ROW_PLACED);
    rig.tick();
    EXPECT_EQ(rig.starts({1, task_of(0, 1, 0), 1}, mark), 1);
}

TEST_F(Steps, NextStepWaitsForAllEnds)
{
    Executor &e = rig.executor();
    chain(1, 2);
    end(e, 1, 0);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END}));
    rig.commit_next();
    rig.tick();
    EXPECT_TRUE(rig.log.empty());
    end(e, 1, 1);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END, OP_PLACE}));
}

TEST_F(Steps, UncommittedEndsStartNothing)
{
    Executor &e = rig.executor();
    job *j = chain(1, 2);
    end(e, 1, 0);
    rig.commit_next(false);
    rig.tick();
    while (!rig.log.empty())
        rig.drop_next();
    rig.tick();
    end(e, 1, 1); // the report repeats the first end
    ASSERT_FALSE(rig.log.empty());
    rig.commit_next(false);
    rig.tick();
    EXPECT_EQ(j->waiting[1], 1);
    EXPECT_EQ(step_ends_pending(rig.dispatch, j, 0), rig.log.empty() ? 0 : 2);
}

TEST_F(Steps, RecordRefusesStepWithUnfinishedDependency)
{
    rig.executor();
    job *j = chain(1, 1);
    record_build::Batch batch;
    batch.place(rig.wall, "L1", 101, {{1, task_of(0, 1, 0), 1}});
    EXPECT_EQ(record_apply(&rig.record, &batch.batch.ops[0]), ERROR_STALE);
    EXPECT_EQ(j->rows[1].state, ROW_WAITING);
}

TEST_F(Steps, StepAfterGangWaitsForCommit)
{
    Executor &e = rig.executor();
    chain(1, 2, true);
    end(e, 1, 0);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END}));
    rig.commit_next();
    rig.tick();
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_PLACE}));
}

TEST_F(Steps, StepProgressIsFreedWhenJobIsOver)
{
    Executor &e = rig.executor();
    chain(1, 1);
    rig.auto_commit = true;
    end(e, 1, 0);
    e.end({1, task_of(0, 1, 0), 1}, END_DONE);
    rig.report(e);
    rig.run(100);
    Word_t key = 0;
    EXPECT_EQ(JudyLFirst(rig.dispatch->steps, &key, PJE0), nullptr);
}

TEST_F(Steps, EstimatesDoNotChangeDurationOfExecutor)
{
    Executor &one = rig.executor(400), &other = rig.executor(400);
    for (int64_t i = 0; i < 6; i++)
        work(1 + i, 8, i % 2 ? 10 : 9000, {{&one, 400}, {&other, 400}});
    EXPECT_NEAR((double)duration_pct(one), 100, 10);
    EXPECT_NEAR((double)duration_pct(other), 100, 10);
}

TEST_F(Steps, SlowExecutorIsDetected)
{
    Executor &one = rig.executor(400), &other = rig.executor(400), &slow = rig.executor(400);
    for (int64_t i = 0; i < 6; i++)
        work(1 + i, 12, i % 2 ? 10 : 9000, {{&one, 400}, {&other, 400}, {&slow, 1600}});
    EXPECT_GT(duration_pct(slow), 150);
    EXPECT_LT(duration_pct(one), 125);
    EXPECT_LT(duration_pct(other), 125);
}

// While patient work occupies the capacity, the CPU that an urgent queue uses is far below its demand.
TEST_F(Steps, HeadroomFollowsDemandOfBlockedTasks)
{
    rig.executor(1000);
    rig.add(1, PATIENT, {Rig::step(1, 900, 60000)});
    rig.add(2, URGENT, {Rig::step(4, 500)});
    rig.run(5000);
    int64_t queue = record_queue(&rig.record, "urgent");
    EXPECT_EQ(queue_demand(rig.dispatch, queue)->cpu_milli, 0) << "none of its tasks runs yet";
    EXPECT_GT(queue_demand(rig.dispatch, queue)->mean_micro_cpu, 1000 * 1000);
    EXPECT_LE(queue_demand(rig.dispatch, queue)->mean_micro_cpu, 2000 * 1000);
}
