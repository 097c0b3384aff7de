// Placing the jobs of outlets: turns, hours, how many at once, and the urgency their rules give.
#include "plan_fixture.h"

namespace
{

struct Turns : testing::Test {
    PlanFixture t;
    int64_t q = 0;
    rule_values values = {};

    void SetUp() override
    {
        schema_defaults(&rule_values_schema, &values);
        for (int i = 0; i < 2; i++)
            more(t.r.rules.outlets, t.r.rules.n_outlets)->name = must_printf("outlet-%d", i);
        q = t.queue(5);
        t.candidate_add(8000);
        t.candidate_add(8000);
    }
    void TearDown() override { t.drop(); }
    job *add(int64_t outlet, std::vector<step_spec> steps, int64_t queue = 0, int64_t repeats = 0, int64_t start_ms = 0)
    {
        job *j = t.add(queue, steps, t.wall_ms, repeats, start_ms, 1000);
        j->rules = (job_rules *)must_alloc(sizeof *j->rules);
        j->rules->outlet = outlet, j->rules->values = values;
        return j;
    }
    void one_candidate() // with room for one task
    {
        t.candidates[0].cpu_milli = t.candidates[0].cpu_free = 100;
        t.candidates[1].open = 0;
    }
    void round()
    {
        t.round();
        t.commit();
        for (int64_t i = 0; i < t.p.n; i++)
            t.p.placements[i].job->state = JOB_ACTIVE;
    }
    void done(job *j)
    {
        for (int64_t no = 0; no < j->repetitions * j->tasks; no++)
            t.move(j, no, ROW_DONE);
        j->state = JOB_DONE;
        record_unlink(&t.r, j);
    }
};

TEST_F(Turns, EachBeginsOnceTheOnesBeforeHaveBegun)
{
    values.in_turn = TURN_BEGUN;
    job *a = add(0, {PlanFixture::step(2, 100)}), *b = add(0, {PlanFixture::step(1, 100)}),
        *other = add(1, {PlanFixture::step(1, 100)});
    values.priority = 0; // more urgent than the ones before it, and yet
    job *c = add(0, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(t.placed_of(a), 2);
    EXPECT_EQ(t.placed_of(b), 0);
    EXPECT_EQ(t.placed_of(other), 1) << "another outlet's";
    round();
    EXPECT_EQ(t.placed_of(b), 1);
    EXPECT_EQ(t.placed_of(c), 0);
    round();
    EXPECT_EQ(t.placed_of(c), 1);
}

TEST_F(Turns, EachBeginsOnceTheOnesBeforeAreOver)
{
    values.in_turn = TURN_OVER;
    job *a = add(0, {PlanFixture::step(1, 100)}), *b = add(0, {PlanFixture::step(1, 100)});
    int64_t other = t.queue(5);
    job *elsewhere = add(0, {PlanFixture::step(1, 100)}, other);
    values.in_turn = TURN_ANY;
    job *any = add(0, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(t.placed_of(a), 1);
    EXPECT_EQ(t.placed_of(elsewhere), 1) << "another queue's";
    EXPECT_EQ(t.placed_of(any), 1);
    round();
    EXPECT_EQ(t.placed_of(b), 0);
    a->state = JOB_CANCELLED; // its end is not proven yet
    round();
    EXPECT_EQ(t.placed_of(b), 0);
    done(a);
    round();
    EXPECT_EQ(t.placed_of(b), 1) << "one accepted later and begun at once does not count";
}

TEST_F(Turns, WhatIsNotDueOrGoesOnForeverHoldsNobodyUp)
{
    values.in_turn = TURN_OVER;
    job *later = add(0, {PlanFixture::step(1, 100)}, q, 3, WALL + 600000);
    step_spec s = PlanFixture::step(1, 100);
    s.long_running = 1;
    job *long_running = add(0, {s}), *after = add(0, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(t.placed_of(later), 0);
    EXPECT_EQ(t.placed_of(long_running), 1);
    EXPECT_EQ(t.placed_of(after), 0);
    round();
    EXPECT_EQ(t.placed_of(after), 1);
}

TEST_F(Turns, NoMoreAtOnceThanTheRulesAllow)
{
    values.running_most = 3;
    job *a = add(0, {PlanFixture::step(2, 100)}), *b = add(0, {PlanFixture::step(4, 100)}),
        *other = add(1, {PlanFixture::step(3, 100)});
    round();
    EXPECT_EQ(t.placed_of(a) + t.placed_of(b), 3);
    EXPECT_EQ(t.placed_of(other), 3);
    EXPECT_EQ(t.p.blocked, 0) << "it is no lack of room";
    EXPECT_TRUE(t.victims(10).empty());
    round();
    EXPECT_EQ(t.p.n, 0);
    t.move(a, 0, ROW_DONE);
    t.busy.insert({b, 2}); // promised by an op under way
    round();
    EXPECT_EQ(t.p.n, 0);
    t.busy.clear();
    round();
    EXPECT_EQ(t.placed_of(b), 1);
}

TEST_F(Turns, AGangIsPlacedWholeOrNotAtAll)
{
    values.running_most = 3;
    step_spec s = PlanFixture::step(2, 100);
    s.gang = 1;
    job *a = add(0, {PlanFixture::step(2, 100)}), *b = add(0, {s});
    round();
    EXPECT_EQ(t.placed_of(a), 2);
    EXPECT_EQ(t.placed_of(b), 0);
    t.move(a, 0, ROW_DONE);
    round();
    EXPECT_EQ(t.placed_of(b), 2);
}

TEST_F(Turns, JobsBeginWithinTheirHours)
{
    const int64_t minute = 60000, day = WALL / 86400000 * 86400000;
    values.opens_at_min = 8 * 60, values.closes_at_min = 9 * 60;
    t.wall_ms = day + 7 * 60 * minute;
    job *a = add(0, {PlanFixture::step(1, 100), PlanFixture::step(1, 100)});
    a->spec.steps[1].depends_on = (int64_t *)must_alloc(sizeof(int64_t)), a->spec.steps[1].n_depends_on = 1;
    round();
    EXPECT_EQ(t.p.n, 0);
    EXPECT_EQ(t.p.next_due_ms, day + 8 * 60 * minute);
    t.wall_ms = day + 9 * 60 * minute - 1;
    round();
    EXPECT_EQ(t.placed_of(a), 1);
    t.wall_ms += minute;
    job *b = add(0, {PlanFixture::step(1, 100)});
    t.move(a, 0, ROW_DONE);
    round();
    EXPECT_EQ(t.placed_of(a), 1) << "what has begun goes on";
    EXPECT_EQ(t.placed_of(b), 0);
    EXPECT_EQ(t.p.next_due_ms, day + (24 + 8) * 60 * minute);
}

TEST_F(Turns, ANightOfWaitingMakesNothingHopeless)
{
    const int64_t minute = 60000, day = WALL / 86400000 * 86400000;
    values.opens_at_min = 8 * 60, values.closes_at_min = 18 * 60, values.target_ms = 1000;
    t.wall_ms = day - 5 * 60 * minute;
    one_candidate();
    job *night = add(0, {PlanFixture::step(1, 100)});
    t.wall_ms = day + 8 * 60 * minute + 100;
    schema_defaults(&rule_values_schema, &values);
    values.target_ms = 1000;
    job *fresh = add(1, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(t.placed_of(night), 1);
    EXPECT_EQ(t.placed_of(fresh), 0);
}

TEST_F(Turns, UrgencyIsTheRulesAndElseTheQueues)
{
    one_candidate();
    job *plain = t.add(q, {PlanFixture::step(1, 100)}, t.wall_ms), *without = add(0, {PlanFixture::step(1, 100)});
    values.priority = 4;
    job *urgent = add(1, {PlanFixture::step(1, 100)});
    round();
    EXPECT_EQ(t.placed_of(urgent), 1);
    EXPECT_EQ(t.placed_of(plain) + t.placed_of(without), 0);
    values.priority = 2;
    job *more = add(0, {PlanFixture::step(1, 100)});
    t.round();
    std::vector<victim> v = t.victims(5);
    ASSERT_EQ(v.size(), 1u);
    EXPECT_EQ(v[0].job, urgent);
    EXPECT_EQ(t.placed_of(more), 0);
}

} // namespace
