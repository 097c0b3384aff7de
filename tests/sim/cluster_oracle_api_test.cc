// The oracle of the cluster simulator reports each violation in the responses that callers and operators get.
#include "cluster_oracle.h"

using ClusterOracleApi = ClusterOracle;

TEST_F(ClusterOracleApi, DoneBeforeItsTasks)
{
    cluster_oracle_on_job_state(&c, accepted_job(SHAPE_SINGLE_STEP), "done", executors[0]->host);
    expect_violation("MIXED");
}

TEST_F(ClusterOracleApi, FailedAndCancelledWithoutCause)
{
    cluster_oracle_on_job_state(&c, accepted_job(SHAPE_SINGLE_STEP), "failed", executors[0]->host);
    expect_violation("LOST");
    cluster_oracle_on_job_state(&c, accepted_job(SHAPE_SINGLE_STEP), "cancelled", executors[0]->host);
    EXPECT_EQ(c.n_violations, 2);
}

TEST_F(ClusterOracleApi, UnplaceableJobMayFail)
{
    cluster_oracle_on_job_state(&c, accepted_job(SHAPE_UNPLACEABLE), "failed", executors[0]->host);
    expect_no_violations();
}

TEST_F(ClusterOracleApi, AcceptedJobNotFound)
{
    Job *job = accepted_job(SHAPE_SINGLE_STEP);
    cluster_oracle_on_job_not_found(&c, job, executors[0]->host);
    expect_no_violations(); /* it need not be visible everywhere yet */
    run(4000);
    job->n_not_found = 0;
    cluster_oracle_on_job_not_found(&c, job, executors[0]->host);
    expect_violation("LOST");
}

TEST_F(ClusterOracleApi, FinalStateChanges)
{
    Job *job = accepted_job(SHAPE_UNPLACEABLE);
    cluster_oracle_on_job_state(&c, job, "failed", executors[0]->host);
    cluster_oracle_on_job_state(&c, job, "pending", executors[0]->host);
    expect_violation("LOST");
}

/* --- operators, with fake responses ------------------------------------------------------- */

static std::string fake_body;
static int fake_status;
static int fake_config_api(struct cluster *, const char *method, const char *path, const char *body, char **response)
{
    if (!strcmp(path, "/config") && !strcmp(method, "GET")) {
        *response = must_dup(fake_body.c_str());
        return 200;
    }
    if (!strcmp(path, "/config")) {
        if (fake_status == 200)
            fake_body = body;
        return fake_status;
    }
    if (!strncmp(path, "/extra", 6))
        return fake_status;
    return 0;
}

TEST_F(ClusterOracleApi, CorrectConfigHasNoViolations)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    operator_check_final(&c);
    expect_no_violations();
}

TEST_F(ClusterOracleApi, BothOfARaceAcknowledged)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    operator_change(&c, 1, 0);
    cluster_run(&c, 100);
    expect_violation("CONFIG");
}

TEST_F(ClusterOracleApi, InvalidAcknowledged)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    operator_change(&c, 0, 2);
    cluster_run(&c, 100);
    expect_violation("CONFIG");
}

TEST_F(ClusterOracleApi, ConfigGoesBack)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    std::string old = fake_body;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    expect_no_violations();
    fake_body = old;
    operator_read(&c);
    cluster_run(&c, 100);
    expect_violation("CONFIG");
}

TEST_F(ClusterOracleApi, ConfigReadDifferently)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    fake_body += " ";
    operator_read(&c);
    cluster_run(&c, 100);
    expect_violation("CONFIG");
}

TEST_F(ClusterOracleApi, RefusedChangeInForce)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    fake_status = 409;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    expect_no_violations();
    fake_status = 200;
    fake_body = operator_body(&c, 1);
    operator_read(&c);
    cluster_run(&c, 100);
    expect_violation("CONFIG");
}

TEST_F(ClusterOracleApi, AcknowledgedSentAgainAndRefused)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    operator_resend(&c, 0); // a newer change was sent since then
    operator_resend(&c, 1);
    cluster_run(&c, 100);
    expect_no_violations();
    fake_status = 412;
    operator_resend(&c, 1);
    cluster_run(&c, 100);
    expect_violation("acknowledged, is sent again and refused");
}

// When two operators send the same change, both may be acknowledged. A change with the same version or base and another
// body may not.
TEST_F(ClusterOracleApi, SameChangeByTwoOperatorsIsOneChange)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    for (int i = 0; i < 60 && !c.n_violations; i++) {
        int64_t first = c.n_changes;
        operator_send_many(&c, 2);
        cluster_run(&c, 100);
        bool both_sent = c.n_changes - first == 2,
             same_body = both_sent && !strcmp(operator_body(&c, first), operator_body(&c, first + 1));
        if (same_body) {
            EXPECT_EQ(c.n_violations, 0) << c.violations[0];
        }
        if (both_sent && !same_body && c.changes[first].base == c.changes[first + 1].base) {
            EXPECT_GT(c.n_violations, 0);
        }
    }
    EXPECT_TRUE(has_violation("both acknowledged"));
}

TEST_F(ClusterOracleApi, ReadingsGoBackBehindUnacknowledgedChange)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    std::string old = fake_body;
    fake_status = 504;
    operator_change(&c, 0, 0);
    cluster_run(&c, 10);
    fake_body = operator_body(&c, 1);
    operator_read(&c);
    cluster_run(&c, 100);
    expect_no_violations(); // it may be in force
    fake_body = old;
    operator_read(&c);
    cluster_run(&c, 100);
    expect_violation("is read back");
}

TEST_F(ClusterOracleApi, RefusedOnceAndInForceDespiteTriesWithoutResponse)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    fake_status = 504;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    fake_status = 412;
    cluster_run(&c, 1000);
    ASSERT_EQ(operator_n_pending(&c), 0);
    expect_no_violations();
    fake_body = operator_body(&c, 1);
    operator_read(&c);
    cluster_run(&c, 100);
    expect_violation("was refused and is in force");
}

TEST_F(ClusterOracleApi, MissingQueue)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    fake_status = 404;
    operator_check_final(&c);
    expect_violation("CONFIG");
}

TEST_F(ClusterOracleApi, NoResponseToConfigReading)
{
    c.fake = fake_config_api;
    fake_status = 200;
    operator_first_config(&c);
    c.fake = no_response;
    operator_check_final(&c);
    expect_violation("CONFIG");
}

TEST_F(ClusterOracleApi, NoProgress)
{
    accepted_job(SHAPE_SINGLE_STEP);
    cluster_finish(&c);
    EXPECT_TRUE(has_violation("LIVENESS"));
    EXPECT_TRUE(has_violation("makes no progress"));
}

TEST_F(ClusterOracleApi, NoViolationWithoutCapacity)
{
    for (standin *executor : executors)
        executor->cpu_milli = 100;
    accepted_job(SHAPE_SINGLE_STEP);
    cluster_finish(&c);
    expect_violation("LIVENESS");
}

/* --- responses to another request ------------------------------------------------------- */

static const char *any_request_body;
static int fake_any_request(struct cluster *, const char *, const char *, const char *, char **response)
{
    *response = must_dup(any_request_body);
    return 200;
}

TEST_F(ClusterOracleApi, ResponseToAnotherRequest)
{
    c.fake = fake_any_request;
    any_request_body = "{\"state\":\"pending\"}";
    callers_cancel(&c, accepted_job(SHAPE_SINGLE_STEP));
    cluster_run(&c, 100);
    expect_violation("ANSWER");
}

TEST_F(ClusterOracleApi, ReadingIsNotAConfiguration)
{
    c.fake = fake_any_request;
    any_request_body = "{\"waiting\":3}";
    operator_read(&c);
    cluster_run(&c, 100);
    EXPECT_TRUE(has_violation("ANSWER"));
}
