// The oracle of the cluster simulator reports each violation that a test produces, and none in correct runs: a check
// that cannot fail is a defect. These tests cover what executors observe; cluster_oracle_api_test.cc covers what
// callers and operators observe.
#include "cluster_oracle.h"

TEST_F(ClusterOracle, CorrectRunHasNoViolations)
{
    Job *job = accepted_job(SHAPE_SINGLE_STEP);
    for (int64_t i = 0; i < job->tasks_per_repetition; i++)
        run_to_end(executors[0], job, i, 1);
    cluster_oracle_on_job_state(&c, job, "done", executors[0]->host);
    cluster_oracle_check_end(&c);
    expect_no_violations();
    EXPECT_EQ(c.n_ends[RUN_DONE], job->tasks_per_repetition);
}

TEST_F(ClusterOracle, TaskRunsTwiceAtOnce)
{
    Job *job = accepted_job(SHAPE_CHECKPOINTS);
    start_task(executors[0], job, 0, 1);
    run(100);
    start_task(executors[1], job, 0, 2);
    expect_violation("TWICE");
}

TEST_F(ClusterOracle, DuplicatesAreAllowedOnRequest)
{
    Job *job = accepted_job(SHAPE_DUPLICATES);
    start_task(executors[0], job, 0, 1);
    start_task(executors[1], job, 0, 2);
    expect_no_violations();
}

TEST_F(ClusterOracle, StartAfterCrashIsAllowed)
{
    Job *job = accepted_job(SHAPE_CHECKPOINTS);
    start_task(executors[0], job, 0, 1);
    run(100);
    standin_crash(executors[0], -1);
    start_task(executors[1], job, 0, 2);
    expect_no_violations();
}

TEST_F(ClusterOracle, StartAfterAcknowledgedDone)
{
    Job *job = accepted_job(SHAPE_SINGLE_STEP);
    run_to_end(executors[0], job, 0, 1);
    start_task(executors[1], job, 0, 2);
    expect_violation("TWICE");
}

TEST_F(ClusterOracle, StartBeforeDoneIsAcknowledged)
{
    Job *job = accepted_job(SHAPE_SINGLE_STEP);
    start_task(executors[0], job, 0, 1);
    run(2000);
    start_task(executors[1], job, 0, 2);
    expect_no_violations();
    poll(executors[0], executors[0]->seq);
    expect_violation("TWICE");
}

TEST_F(ClusterOracle, ExpiredLeaseExcusesUnacknowledgedDone)
{
    Job *job = accepted_job(SHAPE_SINGLE_STEP);
    start_task(executors[0], job, 0, 1);
    cluster_run(&c, 8000);
    EXPECT_EQ(c.n_ends[RUN_DONE], 1);
    start_task(executors[1], job, 0, 2);
    poll(executors[0], executors[0]->seq);
    expect_no_violations();
}

TEST_F(ClusterOracle, GangDoneOnceCountsForAll)
{
    Job *job = accepted_job(SHAPE_GANG);
    for (int64_t i = 0; i < job->tasks_per_repetition; i++)
        start_task(executors[(size_t)i % 3], job, i, 1);
    run(6000);
    EXPECT_EQ(c.n_ends[RUN_DONE], job->tasks_per_repetition);
    poll(executors[0], executors[0]->seq);
    expect_no_violations();
    start_task(executors[4], job, 1, 2);
    expect_violation("TWICE");
}

TEST_F(ClusterOracle, IncompleteGang)
{
    Job *job = accepted_job(SHAPE_GANG);
    start_task(executors[0], job, 0, 1);
    run(4000);
    expect_violation("GANG");
}

TEST_F(ClusterOracle, TooManyFailures)
{
    Job *job = accepted_job(SHAPE_SINGLE_STEP);
    job->fail_pct = 100;
    for (int64_t i = 1; i <= ATTEMPTS_MAX; i++)
        run_to_end(executors[0], job, 0, i);
    expect_no_violations();
    start_task(executors[1], job, 0, ATTEMPTS_MAX + 1);
    expect_violation("BUDGET");
}

TEST_F(ClusterOracle, StepBeforeItsDependency)
{
    Job *job = accepted_job(SHAPE_STEPS);
    start_task(executors[0], job, (int64_t)2 << 24, 1);
    expect_violation("ORDER");
}

TEST_F(ClusterOracle, RepetitionTooEarly)
{
    Job *job = accepted_job(SHAPE_REPEATED);
    start_task(executors[0], job, (int64_t)1 << 32, 1);
    expect_violation("ORDER");
}

TEST_F(ClusterOracle, CapacityOfUncheckedExecutorExceeded)
{
    Job *job = accepted_job(SHAPE_RAW), *more = accepted_job(SHAPE_RAW);
    for (int64_t k = 0; k < job->tasks_per_repetition; k++)
        start_task(executors[3], job, k, 1);
    for (int64_t rounds = 0; rounds < 60 && !c.n_violations; rounds++) {
        for (int64_t k = 0; k < more->tasks_per_repetition && !c.n_violations; k++)
            start_task(executors[3], more, k, 1);
        more = accepted_job(SHAPE_RAW);
    }
    expect_violation("LIMIT");
}

TEST_F(ClusterOracle, CheckedExecutorRefuses)
{
    for (int i = 0; i < 6; i++)
        start_task(executors[0], accepted_job(SHAPE_LARGE), 0, 1);
    EXPECT_GT(c.n_capacity_refused, 0);
    expect_no_violations();
}

TEST_F(ClusterOracle, WrongService)
{
    start_task(executors[3], accepted_job(SHAPE_SINGLE_STEP), 0, 1);
    expect_violation("ROUTE");
}

TEST_F(ClusterOracle, MissingLabel)
{
    start_task(executors[0], accepted_job(SHAPE_LABEL), 0, 1);
    expect_violation("ROUTE");
}

TEST_F(ClusterOracle, TooManyPerExecutor)
{
    Job *job = accepted_job(SHAPE_PER_EXECUTOR_LIMIT);
    while (job->tasks_per_repetition < 3)
        job = accepted_job(SHAPE_PER_EXECUTOR_LIMIT);
    for (int64_t i = 0; i < 3 && !c.n_violations; i++)
        start_task(executors[0], job, i, 1);
    expect_violation("ROUTE");
}

TEST_F(ClusterOracle, UnknownJob)
{
    Job other = {};
    other.id = 42;
    start_task(executors[0], &other, 0, 1);
    expect_violation("UNASKED");
}

TEST_F(ClusterOracle, OtherText)
{
    start_task(executors[0], accepted_job(SHAPE_SINGLE_STEP), 0, 1, "other text");
    expect_violation("UNASKED");
}

TEST_F(ClusterOracle, ForeignCheckpoint)
{
    start_task(executors[0], accepted_job(SHAPE_CHECKPOINTS), 0, 1, nullptr, "1.0@500");
    expect_violation("UNASKED");
}

TEST_F(ClusterOracle, OwnCheckpointIsAllowed)
{
    Job *job = accepted_job(SHAPE_CHECKPOINTS);
    start_task(executors[0], job, 0, 1);
    run(2500);
    stop_task(executors[0], job, 0, 1);
    run(500);
    ASSERT_EQ(executors[0]->n_ended, 1);
    std::string checkpoint = executors[0]->ended[0].checkpoint;
    start_task(executors[1], job, 0, 2, nullptr, checkpoint.c_str());
    expect_no_violations();
}

TEST_F(ClusterOracle, GangWithDifferentCheckpoints)
{
    Job *job = accepted_job(SHAPE_GANG);
    job->tracked_tasks[0].checkpoint_ms = 500;
    char *checkpoint = must_printf("%llx.0@500", (unsigned long long)job->id);
    start_task(executors[0], job, 0, 1, nullptr, checkpoint);
    expect_no_violations();
    start_task(executors[1], job, 1, 1);
    expect_violation("UNASKED");
    free(checkpoint);
}

TEST_F(ClusterOracle, StartLongAfterCancel)
{
    Job *job = accepted_job(SHAPE_CHECKPOINTS);
    cluster_oracle_on_cancel_acknowledged(&c, job);
    run(4000);
    start_task(executors[0], job, 0, 1);
    expect_violation("UNASKED");
}

TEST_F(ClusterOracle, LateOrderAfterCancelIsExcused)
{
    Job *job = accepted_job(SHAPE_CHECKPOINTS);
    cluster_oracle_on_cancel_acknowledged(&c, job);
    run(4000);
    start_task(executors[0], job, 0, 1, nullptr, "", 1);
    expect_no_violations();
}

TEST_F(ClusterOracle, RunsOnAfterCancel)
{
    Job *job = accepted_job(SHAPE_CHECKPOINTS);
    start_task(executors[0], job, 0, 1);
    cluster_oracle_on_cancel_acknowledged(&c, job);
    executors[0]->runs[0].required_us = 60000000;
    run(4000);
    expect_violation("UNASKED");
}

TEST_F(ClusterOracle, StartOfRefusedJob)
{
    Job *job = accepted_job(SHAPE_SINGLE_STEP);
    job->accepted_us = -1;
    job->refusals = 1;
    start_task(executors[0], job, 0, 1);
    expect_violation("REFUSED");
}

TEST_F(ClusterOracle, StartWhileDraining)
{
    executors[0]->draining = 1;
    executors[0]->leaves_us = c.now_us + 60000000;
    executors[0]->drain_ack_us = c.now_us;
    run(1500);
    start_task(executors[0], accepted_job(SHAPE_CHECKPOINTS), 0, 1);
    expect_no_violations();
    run(1000);
    start_task(executors[0], accepted_job(SHAPE_CHECKPOINTS), 0, 1);
    expect_violation("DRAIN");
}
