// Placing: the order of what waits, and the room kept for more urgent queues.
#include "plan_fixture.h"

namespace
{

struct PlanOrder : testing::Test {
    PlanFixture t;
    std::vector<int64_t> keep;
    void TearDown() override { t.drop(); }
    void round()
    {
        plan_input in = t.input();
        in.keep_free = keep.data();
        plan_make(&in, &t.p);
    }
    // The jobs in the order in which they get the one seat's room.
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

TEST_F(PlanOrder, InTimeGoesBeforeLateBeforeHopeless)
{
    t.candidate_add(1000);
    int64_t q = t.queue(0, 1000); // aim 2500; late from 1750 on, hopeless from 7500 on
    job *hopeless = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 7600);
    job *late = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 1800);
    job *later = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 2400);
    job *in_time = t.add(q, {PlanFixture::step(1, 1000)}, WALL - 1700);
    EXPECT_EQ(order(4), (std::vector<const job *>{in_time, later, late, hopeless}));
}

TEST_F(PlanOrder, OfWhatIsInTimeTheLeastSlackGoesFirstHoweverYoung)
{
    t.candidate_add(1000);
    int64_t wide = t.queue(0, 9000), tight = t.queue(0, 1000);
    job *old = t.add(wide, {PlanFixture::step(1, 1000)}, WALL - 3000);
    job *young = t.add(tight, {PlanFixture::step(1, 1000)}, WALL);
    EXPECT_EQ(order(2), (std::vector<const job *>{young, old}));
}

TEST_F(PlanOrder, OfWhatIsInTimeTheSmallerGoesFirst)
{
    t.candidate_add(1000);
    int64_t q = t.queue(0, 9000);
    job *wide = t.add(q, {PlanFixture::step(3, 1000, 100)}, WALL - 3000);
    job *small = t.add(q, {PlanFixture::step(1, 1000, 5000)}, WALL);
    job *late = t.add(q, {PlanFixture::step(1, 500, 100)}, WALL - 9200);
    EXPECT_EQ(order(1), (std::vector<const job *>{small}));
    t.round();
    EXPECT_EQ(t.placed_of(wide), 1);
    EXPECT_EQ(t.placed_of(late), 0) << "what is late waits for what is in time, however small";
}

TEST_F(PlanOrder, WhatIsBlockedIsCountedByQueue)
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
    EXPECT_EQ(t.p.blocked_cpu_milli[urgent] + t.p.blocked_cpu_milli[patient], 0) << "counted anew each round";
}

TEST_F(PlanOrder, TheRestOfTheChainCountsForSlack)
{
    t.candidate_add(1000);
    int64_t q = t.queue(0, 10000);
    step_spec end = PlanFixture::step(1, 1000, 8000);
    end.depends_on = static_cast<int64_t *>(must_alloc(sizeof(int64_t)));
    end.n_depends_on = 1;
    job *single = t.add(q, {PlanFixture::step(1, 1000, 8000)}, WALL - 500); // slack 22000 - 500 - 6000
    // both have the same longest first step; the chain's aim is 23500, of which 6750 are its rest
    job *chain = t.add(q, {PlanFixture::step(1, 1000, 1000), end}, WALL - 3000);
    t.round();
    EXPECT_EQ(t.placed_of(chain), 1);
    EXPECT_EQ(t.placed_of(single), 0);
}

// Two thirds of the seat are taken: a keep counts from half on.
struct Kept : PlanOrder {
    int64_t urgent, patient;
    void begin(int64_t taken_cpu, int64_t target_ms = 1000000)
    {
        t.candidate_add(10000);
        urgent = t.queue(0), patient = t.queue(4, target_ms);
        keep = {0, 2500};
        job *taken = t.add(urgent, {PlanFixture::step(1, taken_cpu)});
        t.round();
        t.commit();
        ASSERT_EQ(taken->rows[0].state, ROW_PLACED);
    }
};

TEST_F(Kept, PatientWorkLeavesTheRoomThatIsKept)
{
    begin(6000);
    job *j = t.add(patient, {PlanFixture::step(9, 1000)});
    round();
    EXPECT_EQ(t.placed_of(j), 1); // 4000 free, 2500 kept
}

TEST_F(Kept, AGangThatWouldNotLeaveItIsNotPlaced)
{
    begin(6000);
    step_spec s = PlanFixture::step(2, 1000);
    s.gang = 1;
    job *j = t.add(patient, {s});
    round();
    EXPECT_EQ(t.placed_of(j), 0);
    keep[1] = 2000;
    round();
    EXPECT_EQ(t.placed_of(j), 2);
}

TEST_F(Kept, UrgentWorkTakesIt)
{
    begin(6000);
    job *j = t.add(urgent, {PlanFixture::step(9, 1000)});
    round();
    EXPECT_EQ(t.placed_of(j), 4);
}

TEST_F(Kept, PatientWorkThatRunsLateTakesIt)
{
    begin(6000, 3000); // aim 4500, to be begun 2000 before it
    job *early = t.add(patient, {PlanFixture::step(9, 1000)}, WALL - 2400);
    round();
    EXPECT_EQ(t.placed_of(early), 1);
    for (int64_t i = 0; i < t.p.n; i++) // give the round's room back
        t.candidates[0].cpu_free += 1000, t.candidates[0].memory_free += 1000;
    t.wall_ms += 200;
    round();
    EXPECT_EQ(t.placed_of(early), 4);
}

TEST_F(Kept, AHalfFreeServiceKeepsNothing)
{
    begin(4900);
    keep[1] = 5000;
    job *j = t.add(patient, {PlanFixture::step(2, 1000)});
    round();
    EXPECT_EQ(t.placed_of(j), 2);
}

} // namespace
