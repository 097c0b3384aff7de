// The planner: the order of entries, and the headroom for more urgent queues.
#include "plan_fixture.h"

namespace
{

struct PlanOrder : testing::Test {
    PlanFixture t;
    std::vector<int64_t> headroom;
    void TearDown() override { t.drop(); }
    void round()
    {
        plan_input in = t.input();
        in.headroom_cpu_milli = headroom.data();
        plan_make(&in, &t.p);
    }
    // The jobs in the order in which they are placed on the only executor, which has capacity for one.
    std::vector<const job *> order(size_t n)
    {
        std::vector<const job *> got;
        for (size_t i = 0; i < n; i++) {
            t.round();
            EXPECT_EQ(t.p.n, 1);
            if (t.p.n != 1)
                break;
            job *j = t.p.placements[0].job;
            t.commit();
            t.move(j, 0, ROW_DONE);
            got.push_back(j);
        }
        return got;
    }
};

TEST_F(PlanOrder, InTimeBeforeLateBeforeHopeless)
{
    t.candidate_add(1000);
    int64_t q = t.queue(0, 1000); // target 2500; late from 1750 on, hopeless from 7500 on
    job *hopeless = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 7600);
    job *late = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 1800);
    job *later = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 2400);
    job *in_time = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 1700);
    EXPECT_EQ(order(4), (std::vector<const job *>{in_time, later, late, hopeless}));
}

TEST_F(PlanOrder, LeastSlackFirstAmongJobsInTime)
{
    t.candidate_add(1000);
    int64_t wide = t.queue(0, 9000), tight = t.queue(0, 1000);
    job *old = t.add(wide, {PlanFixture::step(1, 1000)}, WALL - 3000);
    job *young = t.add(tight, {PlanFixture::step(1, 1000)}, WALL);
    EXPECT_EQ(order(2), (std::vector<const job *>{young, old}));
}

TEST_F(PlanOrder, SmallerFirstAmongJobsInTime)
{
    t.candidate_add(1000);
    int64_t q = t.queue(0, 9000);
    job *wide = t.add(q, {PlanFixture::step(3, 1000, 100)}, WALL - 3000);
    job *small = t.add(q, {PlanFixture::step(1, 1000, 5000)}, WALL);
    job *late = t.add(q, {PlanFixture::step(1, 500, 100)}, WALL - 9200);
    EXPECT_EQ(order(1), (std::vector<const job *>{small}));
    t.round();
    EXPECT_EQ(t.placed_of(wide), 1);
    EXPECT_EQ(t.placed_of(late), 0) << "a late job waits for jobs in time, even if it is smaller";
}

TEST_F(PlanOrder, BlockedTasksAreCountedByQueue)
{
    t.candidate_add(1000);
    int64_t urgent = t.queue(0), patient = t.queue(2), idle = t.queue(1);
    t.add(urgent, {PlanFixture::step(3, 800)});
    t.add(patient, {PlanFixture::step(2, 700)});
    t.round();
    EXPECT_EQ(t.p.blocked, 4);
    EXPECT_EQ(t.p.blocked_cpu_milli[urgent], 1600);
    EXPECT_EQ(t.p.blocked_cpu_milli[patient], 1400);
    EXPECT_EQ(t.p.blocked_cpu_milli[idle], 0);
    t.candidate_add(10000);
    t.round();
    EXPECT_EQ(t.p.blocked_cpu_milli[urgent] + t.p.blocked_cpu_milli[patient], 0) << "each round counts again";
}

TEST_F(PlanOrder, RemainingChainReducesSlack)
{
    t.candidate_add(1000);
    int64_t q = t.queue(0, 10000);
    step_spec end = PlanFixture::step(1, 1000, 8000);
    end.depends_on = static_cast<int64_t *>(must_alloc(sizeof(int64_t)));
    end.n_depends_on = 1;
    job *single = t.add(q, {PlanFixture::step(1, 1000, 8000)}, WALL - 500); // slack 22000 - 500 - 6000
    // the target of the chain is 23500; its remaining steps count 6750
    job *chain = t.add(q, {PlanFixture::step(1, 1000, 1000), end}, WALL - 3000);
    t.round();
    EXPECT_EQ(t.placed_of(chain), 1);
    EXPECT_EQ(t.placed_of(single), 0);
}

// The executor is partly occupied, because headroom applies only once half of the service is in use.
struct Headroom : PlanOrder {
    int64_t urgent, patient;
    void begin(int64_t taken_cpu, int64_t target_ms = 1000000)
    {
        t.candidate_add(10000);
        urgent = t.queue(0), patient = t.queue(4, target_ms);
        headroom = {0, 2500};
        job *taken = t.add(urgent, {PlanFixture::step(1, taken_cpu)});
        t.round();
        t.commit();
        ASSERT_EQ(taken->rows[0].state, ROW_PLACED);
    }
};

TEST_F(Headroom, IsLeftFreeByPatientWork)
{
    begin(6000);
    job *j = t.add(patient, {PlanFixture::step(9, 1000)});
    round();
    EXPECT_EQ(t.placed_of(j), 1); // 4000 free, 2500 headroom
}

TEST_F(Headroom, IsNotUsedByGang)
{
    begin(6000);
    step_spec s = PlanFixture::step(2, 1000);
    s.gang = 1;
    job *j = t.add(patient, {s});
    round();
    EXPECT_EQ(t.placed_of(j), 0);
    headroom[1] = 2000;
    round();
    EXPECT_EQ(t.placed_of(j), 2);
}

TEST_F(Headroom, IsUsedByUrgentWork)
{
    begin(6000);
    job *j = t.add(urgent, {PlanFixture::step(9, 1000)});
    round();
    EXPECT_EQ(t.placed_of(j), 4);
}

TEST_F(Headroom, IsUsedByPatientWorkThatWouldBeLate)
{
    begin(6000, 3000); // target 4500; must start 2000 before it
    job *early = t.add(patient, {PlanFixture::step(9, 1000)}, WALL - 2400);
    round();
    EXPECT_EQ(t.placed_of(early), 1);
    for (int64_t i = 0; i < t.p.n; i++) // undo the placements of the round
        t.candidates[0].cpu_free += 1000, t.candidates[0].memory_free += 1000;
    t.wall_ms += 200;
    round();
    EXPECT_EQ(t.placed_of(early), 4);
}

TEST_F(Headroom, DoesNotApplyWhileHalfOfServiceIsFree)
{
    begin(4900);
    headroom[1] = 5000;
    job *j = t.add(patient, {PlanFixture::step(2, 1000)});
    round();
    EXPECT_EQ(t.placed_of(j), 2);
}

} // namespace
