// Placing the jobs of outlets: start order, opening hours, limits of placed tasks, and priority by their rules.
#include "plan_fixture.h"

namespace
{

struct OutletLimits : testing::Test {
    PlanFixture plan;
    int64_t queue_no = 0;
    rule_values values = {};

    void SetUp() override
    {
        schema_defaults(&rule_values_schema, &values);
        for (int i = 0; i < 2; i++)
            more(plan.r.rules.outlets, plan.r.rules.n_outlets)->name = must_printf("outlet-%d", i);
        queue_no = plan.queue(5);
        plan.candidate_add(8000);
        plan.candidate_add(8000);
    }
    void TearDown() override { plan.drop(); }
    job *add(int64_t outlet, std::vector<step_spec> steps, int64_t queue = 0, int64_t repeats = 0, int64_t start_ms = 0)
    {
        job *j = plan.add(queue, steps, plan.wall_ms, repeats, start_ms, 1000);
        j->rules = (job_rules *)must_alloc(sizeof *j->rules);
        j->rules->outlet = outlet, j->rules->values = values;
        return j;
    }
    void one_candidate() // with capacity for one task
    {
        plan.candidates[0].cpu_milli = plan.candidates[0].cpu_free = 100;
        plan.candidates[1].open = 0;
    }
    void round()
    {
        plan.round();
        plan.commit();
        for (int64_t i = 0; i < plan.p.n; i++)
            plan.p.placements[i].job->state = JOB_ACTIVE;
    }
    void done(job *j)
    {
        for (int64_t no = 0; no < j->repetitions * j->tasks; no++)
            plan.move(j, no, ROW_DONE);
        j->state = JOB_DONE;
        record_unlink(&plan.r, j);
    }
};

TEST_F(OutletLimits, InTurnBegunWaitsForEarlierJobsToStart)
{
    values.in_turn = TURN_BEGUN;
    job *a = add(0, {PlanFixture::step(2, 100)}), *b = add(0, {PlanFixture::step(1, 100)}),
        *other = add(1, {PlanFixture::step(1, 100)});
    values.priority = 0; // more urgent than the earlier jobs, but it still waits for them
    job *c = add(0, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(plan.placed_of(a), 2);
    EXPECT_EQ(plan.placed_of(b), 0);
    EXPECT_EQ(plan.placed_of(other), 1) << "belongs to another outlet";
    round();
    EXPECT_EQ(plan.placed_of(b), 1);
    EXPECT_EQ(plan.placed_of(c), 0);
    round();
    EXPECT_EQ(plan.placed_of(c), 1);
}

TEST_F(OutletLimits, InTurnOverWaitsForEarlierJobsToEnd)
{
    values.in_turn = TURN_OVER;
    job *a = add(0, {PlanFixture::step(1, 100)}), *b = add(0, {PlanFixture::step(1, 100)});
    int64_t other = plan.queue(5);
    job *elsewhere = add(0, {PlanFixture::step(1, 100)}, other);
    values.in_turn = TURN_ANY;
    job *any = add(0, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(plan.placed_of(a), 1);
    EXPECT_EQ(plan.placed_of(elsewhere), 1) << "belongs to another queue";
    EXPECT_EQ(plan.placed_of(any), 1);
    round();
    EXPECT_EQ(plan.placed_of(b), 0);
    a->state = JOB_CANCELLED; // its task may still be running
    round();
    EXPECT_EQ(plan.placed_of(b), 0);
    done(a);
    round();
    EXPECT_EQ(plan.placed_of(b), 1) << "a job that was accepted later does not block it";
}

TEST_F(OutletLimits, FutureAndLongRunningJobsDoNotBlockLaterJobs)
{
    values.in_turn = TURN_OVER;
    job *later = add(0, {PlanFixture::step(1, 100)}, queue_no, 3, WALL + 600000);
    step_spec s = PlanFixture::step(1, 100);
    s.long_running = 1;
    job *long_running = add(0, {s}), *after = add(0, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(plan.placed_of(later), 0);
    EXPECT_EQ(plan.placed_of(long_running), 1);
    EXPECT_EQ(plan.placed_of(after), 0);
    round();
    EXPECT_EQ(plan.placed_of(after), 1);
}

TEST_F(OutletLimits, RunningMostLimitsThePlacedTasksOfAnOutlet)
{
    values.running_most = 3;
    job *a = add(0, {PlanFixture::step(2, 100)}), *b = add(0, {PlanFixture::step(4, 100)}),
        *other = add(1, {PlanFixture::step(3, 100)});
    round();
    EXPECT_EQ(plan.placed_of(a) + plan.placed_of(b), 3);
    EXPECT_EQ(plan.placed_of(other), 3);
    EXPECT_EQ(plan.p.blocked, 0) << "the limit is not a lack of capacity";
    EXPECT_TRUE(plan.victims(10).empty());
    round();
    EXPECT_EQ(plan.p.n, 0);
    plan.move(a, 0, ROW_DONE);
    plan.busy.insert({b, 2}); // a pending op will place it
    round();
    EXPECT_EQ(plan.p.n, 0);
    plan.busy.clear();
    round();
    EXPECT_EQ(plan.placed_of(b), 1);
}

TEST_F(OutletLimits, AGangIsPlacedWholeOrNotAtAll)
{
    values.running_most = 3;
    step_spec s = PlanFixture::step(2, 100);
    s.gang = 1;
    job *a = add(0, {PlanFixture::step(2, 100)}), *b = add(0, {s});
    round();
    EXPECT_EQ(plan.placed_of(a), 2);
    EXPECT_EQ(plan.placed_of(b), 0);
    plan.move(a, 0, ROW_DONE);
    round();
    EXPECT_EQ(plan.placed_of(b), 2);
}

TEST_F(OutletLimits, JobsStartWithinOpeningHours)
{
    const int64_t minute = 60000, day = WALL / 86400000 * 86400000;
    values.opens_at_min = 8 * 60, values.closes_at_min = 9 * 60;
    plan.wall_ms = day + 7 * 60 * minute;
    job *a = add(0, {PlanFixture::step(1, 100), PlanFixture::step(1, 100)});
    a->spec.steps[1].depends_on = (int64_t *)must_alloc(sizeof(int64_t)), a->spec.steps[1].n_depends_on = 1;
    round();
    EXPECT_EQ(plan.p.n, 0);
    EXPECT_EQ(plan.p.next_due_ms, day + 8 * 60 * minute);
    plan.wall_ms = day + 9 * 60 * minute - 1;
    round();
    EXPECT_EQ(plan.placed_of(a), 1);
    plan.wall_ms += minute;
    job *b = add(0, {PlanFixture::step(1, 100)});
    plan.move(a, 0, ROW_DONE);
    round();
    EXPECT_EQ(plan.placed_of(a), 1) << "a job that has begun continues";
    EXPECT_EQ(plan.placed_of(b), 0);
    EXPECT_EQ(plan.p.next_due_ms, day + (24 + 8) * 60 * minute);
}

TEST_F(OutletLimits, ClosedHoursDoNotCountAsWaitingTime)
{
    const int64_t minute = 60000, day = WALL / 86400000 * 86400000;
    values.opens_at_min = 8 * 60, values.closes_at_min = 18 * 60, values.target_ms = 1000;
    plan.wall_ms = day - 5 * 60 * minute;
    one_candidate();
    job *night = add(0, {PlanFixture::step(1, 100)});
    plan.wall_ms = day + 8 * 60 * minute + 100;
    schema_defaults(&rule_values_schema, &values);
    values.target_ms = 1000;
    job *fresh = add(1, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(plan.placed_of(night), 1);
    EXPECT_EQ(plan.placed_of(fresh), 0);
}

TEST_F(OutletLimits, PriorityOfTheRulesOverridesThatOfTheQueue)
{
    one_candidate();
    job *plain = plan.add(queue_no, {PlanFixture::step(1, 100)}, plan.wall_ms),
        *without = add(0, {PlanFixture::step(1, 100)});
    values.priority = 4;
    job *urgent = add(1, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(plan.placed_of(urgent), 1);
    EXPECT_EQ(plan.placed_of(plain) + plan.placed_of(without), 0);
    values.priority = 2;
    job *more = add(0, {PlanFixture::step(1, 100)});
    plan.round();
    std::vector<victim> v = plan.victims(5);
    ASSERT_EQ(v.size(), 1u);
    EXPECT_EQ(v[0].job, urgent);
    EXPECT_EQ(plan.placed_of(more), 0);
}

} // namespace
