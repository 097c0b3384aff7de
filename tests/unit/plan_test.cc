// The planner: single choices. The invariants of every round are in plan_random_test.cc.
#include "plan_fixture.h"

namespace
{

struct Plan : testing::Test {
    PlanFixture t;
    void TearDown() override { t.drop(); }
};

TEST_F(Plan, UrgentJobGetsTheOnlyCapacity)
{
    t.candidate_add(1000);
    job *later = t.add(t.queue(2), {PlanFixture::step(1, 1000)}, WALL - 500);
    job *first = t.add(t.queue(1), {PlanFixture::step(1, 1000)});
    t.round();
    EXPECT_EQ(t.placed_of(first), 1);
    EXPECT_EQ(t.placed_of(later), 0);
    EXPECT_EQ(t.p.blocked, 1);
    EXPECT_EQ(t.p.blocked_priority, 2);
}

TEST_F(Plan, HopelessJobGoesLastAmongEquallyUrgent)
{
    t.candidate_add(2000);
    int64_t q = t.queue(0, 1000); // target 2500: hopeless from 7500 on
    job *hopeless = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 8000);
    job *fresh = t.add(q, {PlanFixture::step(1, 1000)}, WALL);
    job *old = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 7000);
    t.round();
    EXPECT_EQ(t.placed_of(old), 1);
    EXPECT_EQ(t.placed_of(fresh), 1);
    EXPECT_EQ(t.placed_of(hopeless), 0);
}

TEST_F(Plan, AgeingRaisesPriority)
{
    t.candidate_add(1000);
    job *aged = t.add(t.queue(2, 1000), {PlanFixture::step(1, 1000)},
                      WALL - 20500); // twice AGEING_TARGETS times the target of 2500
    job *fresh = t.add(t.queue(1, 1000), {PlanFixture::step(1, 1000)});
    t.round();
    EXPECT_EQ(t.placed_of(aged), 1);
    EXPECT_EQ(t.placed_of(fresh), 0);
}

TEST_F(Plan, CapacityIsReservedForBlockedLargeTask)
{
    for (int i = 0; i < 2; i++)
        t.candidate_add(i ? 2000 : 4000);
    job *small = t.add(t.queue(1), {PlanFixture::step(40, 1000)});
    t.round();
    t.commit();
    ASSERT_EQ(t.p.n, 6);
    job *big = t.add(t.queue(0), {PlanFixture::step(1, 4000)});
    t.wall_ms += 2000;
    for (int k = 0; k < 4 && !t.placed_of(big); k++) {
        for (int64_t row_index = 0; row_index < small->tasks; row_index++)
            if (small->rows[row_index].state == ROW_PLACED) {
                t.move(small, row_index, ROW_DONE);
                if (!small->rows[row_index].incarnation && t.candidates[0].cpu_free < 4000)
                    break;
            }
        t.round();
        for (int64_t i = 0; i < t.p.n; i++)
            EXPECT_TRUE(t.p.placements[i].job == big || t.p.placements[i].candidate == 1) << "used reserved capacity";
        t.commit();
    }
    EXPECT_EQ(t.placed_of(big), 1);
}

TEST_F(Plan, BlockedGangIsPlacedEventually)
{
    for (int i = 0; i < 4; i++)
        t.candidate_add(2000);
    job *small = t.add(t.queue(1), {PlanFixture::step(200, 1000)});
    t.round();
    t.commit();
    step_spec s = PlanFixture::step(6, 1000);
    s.gang = 1;
    job *gang = t.add(t.queue(1), {s});
    gang->accepted_ms -= 10;
    t.wall_ms += 2000;
    int rounds = 0;
    for (; rounds < 20 && !t.placed_of(gang); rounds++) {
        for (int64_t row_index = 0; row_index < small->tasks; row_index++)
            if (small->rows[row_index].state == ROW_PLACED) {
                t.move(small, row_index, ROW_DONE);
                break;
            }
        t.round();
        t.commit();
    }
    EXPECT_EQ(t.placed_of(gang), 6);
    EXPECT_LT(rounds, 10);
}

TEST_F(Plan, JobWithoutRunsUsesReservedCapacityWhileHalfIsFree)
{
    t.candidate_add(4000);
    t.candidate_add(4000);
    job *some = t.add(t.queue(0), {PlanFixture::step(1, 1000)});
    t.round();
    t.commit();
    ASSERT_EQ(t.placed_of(some), 1);
    step_spec s = PlanFixture::step(2, 4000);
    s.gang = 1;
    t.add(t.queue(1), {s});
    job *small = t.add(t.queue(2), {PlanFixture::step(1, 500)});
    t.wall_ms += 1600;
    t.round();
    EXPECT_EQ(t.placed_of(small), 0);
    t.wall_ms += 400;
    t.round();
    EXPECT_EQ(t.placed_of(small), 1);
}

TEST_F(Plan, TasksPreferRackOfTheirData)
{
    t.candidate_add(4000, "r0");
    int64_t near = t.candidate_add(4000, "r1");
    step_spec s = PlanFixture::step(5, 1000);
    s.rack = must_dup("r1");
    t.add(t.queue(0), {s});
    t.round();
    ASSERT_EQ(t.p.n, 5);
    int64_t there = 0;
    for (int64_t i = 0; i < t.p.n; i++)
        there += t.p.placements[i].candidate == near;
    EXPECT_EQ(there, 4);
}

TEST_F(Plan, ShortTasksAreSpreadAndLongTasksPacked)
{
    t.candidate_add(4000);
    int64_t tight = t.candidate_add(3000);
    job *short_one = t.add(t.queue(0), {PlanFixture::step(1, 1000, 500)});
    t.round();
    EXPECT_EQ(t.placed_on(short_one), 0);
    t.commit();
    t.move(short_one, 0, ROW_DONE);
    job *long_one = t.add(t.queue(0), {PlanFixture::step(1, 1000, 20000)});
    t.round();
    EXPECT_EQ(t.placed_on(long_one), tight);
}

TEST_F(Plan, FailingDepartingAndSlowExecutorsAreAvoided)
{
    for (int i = 0; i < 4; i++)
        t.candidate_add(1000);
    t.candidates[0].failures = 3, t.candidates[1].duration_pct = 300, t.candidates[2].departs_ms = 5000 + 900;
    job *j = t.add(t.queue(0), {PlanFixture::step(1, 1000)});
    t.round();
    EXPECT_EQ(t.placed_on(j), 3);
}

TEST_F(Plan, SameRackGangWaitsForRackThenSpreads)
{
    for (int i = 0; i < 4; i++)
        t.candidate_add(2000, i < 2 ? "r0" : "r1");
    job *some = t.add(t.queue(0), {PlanFixture::step(2, 1000)});
    t.move(some, 0, ROW_PLACED, 0);
    t.move(some, 1, ROW_PLACED, 2);
    step_spec s = PlanFixture::step(4, 1000);
    s.gang = s.same_rack = 1;
    job *gang = t.add(t.queue(0), {s});
    t.round();
    EXPECT_EQ(t.placed_of(gang), 0);
    EXPECT_EQ(t.p.blocked, 4);
    t.wall_ms += 2100;
    t.round();
    EXPECT_EQ(t.placed_of(gang), 4);
    for (int64_t i = 0; i < t.p.n; i++) // undo the placements, which are not committed
        t.candidates[(size_t)t.p.placements[i].candidate].cpu_free += 1000,
            t.candidates[(size_t)t.p.placements[i].candidate].memory_free += 1000;
    t.move(some, 1, ROW_DONE);
    t.round();
    ASSERT_EQ(t.placed_of(gang), 4);
    for (int64_t i = 0; i < t.p.n; i++)
        EXPECT_STREQ(t.candidates[(size_t)t.p.placements[i].candidate].rack, "r1");
}

TEST_F(Plan, RepetitionsStartWhenDue)
{
    t.candidate_add(9000);
    job *j = t.add(t.queue(0), {PlanFixture::step(1, 1000)}, WALL - 100, 3, WALL - 5000, 6000);
    t.round();
    ASSERT_EQ(t.p.n, 1);
    EXPECT_EQ(t.p.placements[0].repetition, 0);
    EXPECT_GT(t.p.next_due_ms, WALL);
    EXPECT_LE(t.p.next_due_ms, WALL + 1000);
    t.commit();
    t.wall_ms = t.p.next_due_ms;
    t.round();
    ASSERT_EQ(t.placed_of(j), 1);
    EXPECT_EQ(t.p.placements[0].repetition, 1);
    EXPECT_GE(t.wall_ms, job_due_ms(j, 1) - EARLY / 2);
}

TEST_F(Plan, GangAboveLimitOfRoundIsPlacedAlone)
{
    t.candidate_add(9000);
    t.max_placements = 2;
    step_spec s = PlanFixture::step(4, 1000);
    s.gang = 1;
    job *one = t.add(t.queue(0), {PlanFixture::step(1, 1000)});
    job *gang = t.add(t.queue(1), {s});
    t.round();
    EXPECT_EQ(t.placed_of(one), 1);
    EXPECT_EQ(t.placed_of(gang), 0);
    t.commit();
    t.round();
    EXPECT_EQ(t.placed_of(gang), 4);
}

TEST_F(Plan, CouldFit)
{
    plan_input in = t.input();
    step_spec s = PlanFixture::step(4, 3000);
    job_spec spec = {};
    spec.steps = &s, spec.n_steps = 1;
    EXPECT_TRUE(plan_could_fit(&in, &spec, "s")) << "no executor is known yet";
    t.candidate_add(4000);
    t.candidate_add(7000, "r0", "other");
    t.candidates[0].open = 0, t.candidates[0].cpu_free = 0;
    in = t.input();
    EXPECT_TRUE(plan_could_fit(&in, &spec, "s"));
    s.gang = 1;
    EXPECT_FALSE(plan_could_fit(&in, &spec, "s"));
    s.task_count = 2;
    EXPECT_FALSE(plan_could_fit(&in, &spec, "s"));
    EXPECT_TRUE(plan_could_fit(&in, &spec, "other"));
    s.per_executor = 1;
    EXPECT_FALSE(plan_could_fit(&in, &spec, "other"));
    s.gang = s.per_executor = 0, s.cpu_milli = 5000;
    EXPECT_FALSE(plan_could_fit(&in, &spec, "s"));
    s.cpu_milli = 1000, s.label = t.name("big");
    EXPECT_FALSE(plan_could_fit(&in, &spec, "s"));
}

TEST_F(Plan, VictimsAreYoungOrSaveCheckpoints)
{
    t.candidate_add(1000);
    t.candidate_add(1000);
    t.candidate_add(1000);
    int64_t low = t.queue(2);
    step_spec s = PlanFixture::step(1, 1000, 60000), checkpointing = s, long_running_step = s;
    checkpointing.checkpoints = 1, long_running_step.long_running = 1;
    job *a = t.add(low, {s}), *b = t.add(low, {checkpointing}), *c = t.add(low, {long_running_step});
    t.move(a, 0, ROW_PLACED, 0);
    t.move(b, 0, ROW_PLACED, 1);
    t.move(c, 0, ROW_PLACED, 2);
    t.wall_ms += 5000;
    EXPECT_TRUE(t.victims(9).empty()) << "no task waits";
    job *urgent = t.add(t.queue(1), {PlanFixture::step(1, 1000)}, t.wall_ms);
    std::vector<victim> v = t.victims(9);
    ASSERT_EQ(v.size(), 1u);
    EXPECT_EQ(v[0].job, b);
    t.busy.insert({b, 0});
    EXPECT_TRUE(t.victims(9).empty()) << "a row is being stopped already";
    t.busy.clear();
    a->rows[0].since_ms = t.wall_ms - 100;
    v = t.victims(9);
    ASSERT_EQ(v.size(), 1u);
    EXPECT_EQ(v[0].job, a);
    t.r.queues[low].config.priority = 1;
    EXPECT_TRUE(t.victims(9).empty()) << "equally urgent";
    (void)urgent;
}

TEST_F(Plan, RunsOfCancelledJobCountAsFreedCapacity)
{
    t.candidate_add(1000);
    t.candidate_add(1000);
    int64_t low = t.queue(2);
    job *ending = t.add(low, {PlanFixture::step(2, 1000)}), *other = t.add(low, {PlanFixture::step(1, 1000)});
    t.move(ending, 0, ROW_PLACED, 0);
    t.move(other, 0, ROW_PLACED, 1);
    ending->state = JOB_CANCELLED;
    t.add(t.queue(0), {PlanFixture::step(1, 1000)});
    t.round();
    EXPECT_EQ(t.p.n, 0);
    EXPECT_EQ(t.p.blocked, 1);
    EXPECT_TRUE(t.victims(9).empty());
}

} // namespace
