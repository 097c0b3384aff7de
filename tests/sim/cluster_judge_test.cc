// The judge of the cluster simulator must notice each breach planted here, and
// nothing where all is in order: a check that cannot fail is a defect.
// Here what executors see; what callers and operators see: cluster_judge_api_test.cc.
#include "cluster_judge.h"

TEST_F(Judge, GoodRunIsClean)
{
    Job *job = sent(SCHEMA_ONE);
    for (int64_t i = 0; i < job->tasks; i++)
        run_task(x[0], job, i, 1);
    judge_shown(&c, job, "done", x[0]->host);
    judge_over(&c);
    clean();
    EXPECT_EQ(c.n_ends[RUN_DONE], job->tasks);
}

TEST_F(Judge, TwoAtOnce)
{
    Job *job = sent(SCHEMA_SAVES);
    begin(x[0], job, 0, 1);
    run(100);
    begin(x[1], job, 0, 2);
    finds("TWICE");
}

TEST_F(Judge, TwoAtOnceAreAllowedWhereAsked)
{
    Job *job = sent(SCHEMA_TWICE);
    begin(x[0], job, 0, 1);
    begin(x[1], job, 0, 2);
    clean();
}

TEST_F(Judge, StartAfterCrashIsRight)
{
    Job *job = sent(SCHEMA_SAVES);
    begin(x[0], job, 0, 1);
    run(100);
    standin_crash(x[0], -1);
    begin(x[1], job, 0, 2);
    clean();
}

TEST_F(Judge, StartAfterNotedDone)
{
    Job *job = sent(SCHEMA_ONE);
    run_task(x[0], job, 0, 1);
    begin(x[1], job, 0, 2);
    finds("TWICE");
}

TEST_F(Judge, StartBeforeDoneIsNoted)
{
    Job *job = sent(SCHEMA_ONE);
    begin(x[0], job, 0, 1);
    run(2000);
    begin(x[1], job, 0, 2);
    clean();
    poll(x[0], x[0]->seq);
    finds("TWICE");
}

TEST_F(Judge, LapsedHoldExcusesAnUnnotedDone)
{
    Job *job = sent(SCHEMA_ONE);
    begin(x[0], job, 0, 1);
    cluster_run(&c, 8000);
    EXPECT_EQ(c.n_ends[RUN_DONE], 1);
    begin(x[1], job, 0, 2);
    poll(x[0], x[0]->seq);
    clean();
}

TEST_F(Judge, GangDoneOnceCountsForAll)
{
    Job *job = sent(SCHEMA_GANG);
    for (int64_t i = 0; i < job->tasks; i++)
        begin(x[(size_t)i % 3], job, i, 1);
    run(6000);
    EXPECT_EQ(c.n_ends[RUN_DONE], job->tasks);
    poll(x[0], x[0]->seq);
    clean();
    begin(x[4], job, 1, 2);
    finds("TWICE");
}

TEST_F(Judge, LoneGangMember)
{
    Job *job = sent(SCHEMA_GANG);
    begin(x[0], job, 0, 1);
    run(4000);
    finds("GANG");
}

TEST_F(Judge, Budget)
{
    Job *job = sent(SCHEMA_ONE);
    job->fail_pct = 100;
    for (int64_t i = 1; i <= ATTEMPTS_MAX; i++)
        run_task(x[0], job, 0, i);
    clean();
    begin(x[1], job, 0, ATTEMPTS_MAX + 1);
    finds("BUDGET");
}

TEST_F(Judge, Order)
{
    Job *job = sent(SCHEMA_STEPS);
    begin(x[0], job, (int64_t)2 << 24, 1);
    finds("ORDER");
}

TEST_F(Judge, TooEarly)
{
    Job *job = sent(SCHEMA_TIMED);
    begin(x[0], job, (int64_t)1 << 32, 1);
    finds("ORDER");
}

TEST_F(Judge, RoomOfAnUnguardedExecutor)
{
    Job *job = sent(SCHEMA_RAW), *more = sent(SCHEMA_RAW);
    for (int64_t k = 0; k < job->tasks; k++)
        begin(x[3], job, k, 1);
    for (int64_t guard = 0; guard < 60 && !c.n_breaches; guard++) {
        for (int64_t k = 0; k < more->tasks && !c.n_breaches; k++)
            begin(x[3], more, k, 1);
        more = sent(SCHEMA_RAW);
    }
    finds("LIMIT");
}

TEST_F(Judge, GuardedExecutorTurnsAway)
{
    for (int i = 0; i < 6; i++)
        begin(x[0], sent(SCHEMA_LARGE), 0, 1);
    EXPECT_GT(c.n_room_refused, 0);
    clean();
}

TEST_F(Judge, Service)
{
    begin(x[3], sent(SCHEMA_ONE), 0, 1);
    finds("ROUTE");
}

TEST_F(Judge, Label)
{
    begin(x[0], sent(SCHEMA_LABEL), 0, 1);
    finds("ROUTE");
}

TEST_F(Judge, PerExecutor)
{
    Job *job = sent(SCHEMA_APART);
    while (job->tasks < 3)
        job = sent(SCHEMA_APART);
    for (int64_t i = 0; i < 3 && !c.n_breaches; i++)
        begin(x[0], job, i, 1);
    finds("ROUTE");
}

TEST_F(Judge, UnknownJob)
{
    Job other = {};
    other.id = 42;
    begin(x[0], &other, 0, 1);
    finds("UNASKED");
}

TEST_F(Judge, OtherText)
{
    begin(x[0], sent(SCHEMA_ONE), 0, 1, "other text");
    finds("UNASKED");
}

TEST_F(Judge, ForeignCheckpoint)
{
    begin(x[0], sent(SCHEMA_SAVES), 0, 1, nullptr, "1.0@500");
    finds("UNASKED");
}

TEST_F(Judge, OwnCheckpointIsRight)
{
    Job *job = sent(SCHEMA_SAVES);
    begin(x[0], job, 0, 1);
    run(2500);
    stop(x[0], job, 0, 1);
    run(500);
    ASSERT_EQ(x[0]->n_ended, 1);
    std::string checkpoint = x[0]->ended[0].checkpoint;
    begin(x[1], job, 0, 2, nullptr, checkpoint.c_str());
    clean();
}

TEST_F(Judge, GangWithDifferentCheckpoints)
{
    Job *job = sent(SCHEMA_GANG);
    job->rows[0].saved_ms = 500;
    char *checkpoint = must_printf("%llx.0@500", (unsigned long long)job->id);
    begin(x[0], job, 0, 1, nullptr, checkpoint);
    clean();
    begin(x[1], job, 1, 1);
    finds("UNASKED");
    free(checkpoint);
}

TEST_F(Judge, StartLongAfterCancel)
{
    Job *job = sent(SCHEMA_SAVES);
    judge_cancelled(&c, job);
    run(4000);
    begin(x[0], job, 0, 1);
    finds("UNASKED");
}

TEST_F(Judge, LateOrderAfterCancelIsExcused)
{
    Job *job = sent(SCHEMA_SAVES);
    judge_cancelled(&c, job);
    run(4000);
    begin(x[0], job, 0, 1, nullptr, "", 1);
    clean();
}

TEST_F(Judge, RunsOnAfterCancel)
{
    Job *job = sent(SCHEMA_SAVES);
    begin(x[0], job, 0, 1);
    judge_cancelled(&c, job);
    x[0]->runs[0].need_us = 60000000;
    run(4000);
    finds("UNASKED");
}

TEST_F(Judge, StartOfARefusedJob)
{
    Job *job = sent(SCHEMA_ONE);
    job->accepted_us = -1;
    job->refusals = 1;
    begin(x[0], job, 0, 1);
    finds("REFUSED");
}

TEST_F(Judge, StartWhileDraining)
{
    x[0]->draining = 1;
    x[0]->leaves_us = c.now_us + 60000000;
    x[0]->drain_ack_us = c.now_us;
    run(1500);
    begin(x[0], sent(SCHEMA_SAVES), 0, 1);
    clean();
    run(1000);
    begin(x[0], sent(SCHEMA_SAVES), 0, 1);
    finds("DRAIN");
}
