// Steps in progress: the next one is placed behind ends that are being committed, and what the ends of a step tell of
// the pace of executors.
#include "leader_rig.h"

extern "C" {
#include "dispatch/leader_state.h"
}

using namespace leader_rig;

namespace
{

struct Steps : testing::Test {
    Rig t;

    static step_spec after(step_spec step, int64_t before)
    {
        step.depends_on = (int64_t *)must_alloc(sizeof(int64_t));
        step.depends_on[0] = before;
        step.n_depends_on = 1;
        return step;
    }
    // A job whose second step of one task follows on the first.
    job *chain(int64_t id, int64_t tasks, bool gang = false)
    {
        std::vector<step_spec> steps = {Rig::step(tasks, 100, 1000, gang), after(Rig::step(1, 100), 0)};
        job *made = t.add(id, NORMAL, steps);
        free(steps[1].depends_on);
        t.run(300);
        EXPECT_EQ(made->n_placed, tasks);
        t.auto_commit = false;
        return made;
    }
    void end(Executor &e, int64_t id, int64_t index)
    {
        e.end({id, task_of(0, 0, index), 1}, END_DONE);
        t.report(e);
        t.turn();
    }
    // Kinds of the ops of the newest entry proposed.
    std::vector<int64_t> kinds() const
    {
        std::vector<int64_t> found;
        for (int64_t i = 0; !t.log.empty() && i < t.log.back()->batch.n; i++)
            found.push_back(t.log.back()->batch.ops[i].kind);
        return found;
    }
    int64_t duration_pct(const Executor &e) { return executor_view_of(t.d, e.agent)->duration_pct; }
    // A job of one step, spread over all executors; each of its runs there takes so many ms, by executor.
    void work(int64_t id, int64_t tasks, int64_t estimate_ms, const std::map<Executor *, int64_t> &takes_ms)
    {
        job *made = t.add(id, NORMAL, {Rig::step(tasks, 100, estimate_ms)});
        t.run(10);
        ASSERT_EQ(made->n_placed, tasks);
        int64_t begun_ms = t.now;
        for (int64_t ms = 10; made->state == JOB_ACTIVE && ms < 20000; ms += 10) {
            for (auto &[executor, took_ms] : takes_ms)
                for (int64_t i = 0; t.now - begun_ms >= took_ms && made->rows && i < tasks; i++)
                    if (t.home_of(made, i) == executor)
                        executor->end({id, task_of(0, 0, i), 1}, END_DONE);
            t.run(100);
        }
        EXPECT_EQ(made->state, JOB_DONE);
    }
};

} // namespace

TEST_F(Steps, TheNextStepIsPlacedInTheEntryOfTheEnds)
{
    Executor &e = t.executor();
    job *j = chain(1, 1);
    end(e, 1, 0);
    ASSERT_EQ(t.log.size(), 1u);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END, OP_PLACE}));
    size_t mark = t.orders.size();
    t.run(50);
    EXPECT_EQ(t.starts({1, task_of(0, 1, 0), 1}, mark), 0) << "nothing is committed yet";
    t.commit_next();
    EXPECT_EQ(j->rows[1].state, ROW_PLACED);
    t.turn();
    EXPECT_EQ(t.starts({1, task_of(0, 1, 0), 1}, mark), 1);
}

TEST_F(Steps, ItWaitsForAllOfThem)
{
    Executor &e = t.executor();
    chain(1, 2);
    end(e, 1, 0);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END}));
    t.commit_next();
    t.turn();
    EXPECT_TRUE(t.log.empty());
    end(e, 1, 1);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END, OP_PLACE}));
}

TEST_F(Steps, EndsThatWereNotCommittedBeginNothing)
{
    Executor &e = t.executor();
    job *j = chain(1, 2);
    end(e, 1, 0);
    t.commit_next(false);
    t.turn();
    while (!t.log.empty())
        t.drop_next();
    t.turn();
    end(e, 1, 1); // the first is reported once more with it
    ASSERT_FALSE(t.log.empty());
    t.commit_next(false);
    t.turn();
    EXPECT_EQ(j->waiting[1], 1);
    EXPECT_EQ(step_ends_pending(t.d, j, 0), t.log.empty() ? 0 : 2);
}

TEST_F(Steps, TheRecordRefusesAStepBeforeItsTurn)
{
    t.executor();
    job *j = chain(1, 1);
    record_build::Batch batch;
    batch.place(t.wall, "L1", 101, {{1, task_of(0, 1, 0), 1}});
    EXPECT_EQ(record_apply(&t.r, &batch.batch.ops[0]), ERROR_STALE);
    EXPECT_EQ(j->rows[1].state, ROW_WAITING);
}

TEST_F(Steps, AfterAGangTheNextStepWaitsForTheCommit)
{
    Executor &e = t.executor();
    chain(1, 2, true);
    end(e, 1, 0);
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_END}));
    t.commit_next();
    t.turn();
    EXPECT_EQ(kinds(), (std::vector<int64_t>{OP_PLACE}));
}

TEST_F(Steps, NothingIsKeptOfAJobThatIsOver)
{
    Executor &e = t.executor();
    chain(1, 1);
    t.auto_commit = true;
    end(e, 1, 0);
    e.end({1, task_of(0, 1, 0), 1}, END_DONE);
    t.report(e);
    t.run(100);
    Word_t key = 0;
    EXPECT_EQ(JudyLFirst(t.d->steps, &key, PJE0), nullptr);
}

TEST_F(Steps, EstimatesSayNothingOfAnExecutor)
{
    Executor &one = t.executor(400), &other = t.executor(400);
    for (int64_t i = 0; i < 6; i++)
        work(1 + i, 8, i % 2 ? 10 : 9000, {{&one, 400}, {&other, 400}});
    EXPECT_NEAR((double)duration_pct(one), 100, 10);
    EXPECT_NEAR((double)duration_pct(other), 100, 10);
}

TEST_F(Steps, AnExecutorThatTakesLongerThanTheOthersIsKnown)
{
    Executor &one = t.executor(400), &other = t.executor(400), &slow = t.executor(400);
    for (int64_t i = 0; i < 6; i++)
        work(1 + i, 12, i % 2 ? 10 : 9000, {{&one, 400}, {&other, 400}, {&slow, 1600}});
    EXPECT_GT(duration_pct(slow), 150);
    EXPECT_LT(duration_pct(one), 125);
    EXPECT_LT(duration_pct(other), 125);
}

// What an urgent queue gets says little of what it needs where patient work holds the room.
TEST_F(Steps, TheRoomKeptFreeFollowsWhatIsAskedFor)
{
    t.executor(1000);
    t.add(1, PATIENT, {Rig::step(1, 900, 60000)});
    t.add(2, URGENT, {Rig::step(4, 500)});
    t.run(5000);
    int64_t queue = record_queue(&t.r, "urgent");
    EXPECT_EQ(queue_use(t.d, queue)->cpu_milli, 0) << "it got nothing yet";
    EXPECT_GT(queue_use(t.d, queue)->mean_micro, 1000 * 1000);
    EXPECT_LE(queue_use(t.d, queue)->mean_micro, 2000 * 1000);
}
