// The judge of the cluster simulator must notice each breach planted here: what
// callers and operators are told.
#include "cluster_judge.h"

using JudgeApi = Judge;

TEST_F(JudgeApi, DoneTooSoon)
{
    cluster_oracle_on_job_state(&c, sent(SCHEMA_ONE), "done", x[0]->host);
    finds("MIXED");
}

TEST_F(JudgeApi, FailedAndCancelledWithoutCause)
{
    cluster_oracle_on_job_state(&c, sent(SCHEMA_ONE), "failed", x[0]->host);
    finds("LOST");
    cluster_oracle_on_job_state(&c, sent(SCHEMA_ONE), "cancelled", x[0]->host);
    EXPECT_EQ(c.n_breaches, 2);
}

TEST_F(JudgeApi, HopelessMayFail)
{
    cluster_oracle_on_job_state(&c, sent(SHAPE_UNPLACEABLE), "failed", x[0]->host);
    clean();
}

TEST_F(JudgeApi, Forgotten)
{
    Job *job = sent(SCHEMA_ONE);
    cluster_oracle_on_job_not_found(&c, job, x[0]->host);
    clean(); /* may not be visible everywhere yet */
    run(4000);
    job->n_not_found = 0;
    cluster_oracle_on_job_not_found(&c, job, x[0]->host);
    finds("LOST");
}

TEST_F(JudgeApi, BackFromAFinalState)
{
    Job *job = sent(SHAPE_UNPLACEABLE);
    cluster_oracle_on_job_state(&c, job, "failed", x[0]->host);
    cluster_oracle_on_job_state(&c, job, "pending", x[0]->host);
    finds("LOST");
}

/* --- operators, with false answers -------------------------------------------------------- */

static std::string lie_body;
static int lie_status;
static int liar(struct cluster *, const char *method, const char *path, const char *body, char **answer)
{
    if (!strcmp(path, "/config") && !strcmp(method, "GET")) {
        *answer = must_dup(lie_body.c_str());
        return 200;
    }
    if (!strcmp(path, "/config")) {
        if (lie_status == 200)
            lie_body = body;
        return lie_status;
    }
    if (!strncmp(path, "/extra", 6))
        return lie_status;
    return 0;
}

TEST_F(JudgeApi, ConfigInOrder)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    operator_last(&c);
    clean();
}

TEST_F(JudgeApi, BothOfARaceAcknowledged)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    operator_change(&c, 1, 0);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(JudgeApi, InvalidAcknowledged)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    operator_change(&c, 0, 2);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(JudgeApi, ConfigGoesBack)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    std::string old = lie_body;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    clean();
    lie_body = old;
    operator_read(&c);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(JudgeApi, ConfigReadDifferently)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    lie_body += " ";
    operator_read(&c);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(JudgeApi, RefusedInForce)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    lie_status = 409;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    clean();
    lie_status = 200;
    lie_body = operator_body(&c, 1);
    operator_read(&c);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(JudgeApi, AcknowledgedSentAgainAndRefused)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    operator_again(&c, 0); // another was made since
    operator_again(&c, 1);
    cluster_run(&c, 100);
    clean();
    lie_status = 412;
    operator_again(&c, 1);
    cluster_run(&c, 100);
    finds("acknowledged, is sent again and refused");
}

// Two operators send the same: acknowledged for both; other bodies under its number or on its base are not.
TEST_F(JudgeApi, TheSameByTwoIsOneOrder)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    for (int i = 0; i < 60 && !c.n_breaches; i++) {
        int64_t before = c.n_changes;
        operator_crowd(&c, 2);
        cluster_run(&c, 100);
        bool two = c.n_changes - before == 2,
             alike = two && !strcmp(operator_body(&c, before), operator_body(&c, before + 1));
        if (alike) {
            EXPECT_EQ(c.n_breaches, 0) << c.breaches[0];
        }
        if (two && !alike && c.changes[before].base == c.changes[before + 1].base) {
            EXPECT_GT(c.n_breaches, 0);
        }
    }
    EXPECT_TRUE(breach("both acknowledged"));
}

TEST_F(JudgeApi, ReadingsGoBackBehindWhatNobodyAcknowledged)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    std::string old = lie_body;
    lie_status = 504;
    operator_change(&c, 0, 0);
    cluster_run(&c, 10);
    lie_body = operator_body(&c, 1);
    operator_read(&c);
    cluster_run(&c, 100);
    clean(); // it may have been taken
    lie_body = old;
    operator_read(&c);
    cluster_run(&c, 100);
    finds("is read back");
}

TEST_F(JudgeApi, RefusedOnceAndInForceThoughOtherTriesWereSilent)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    lie_status = 504;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    lie_status = 412;
    cluster_run(&c, 1000);
    ASSERT_EQ(operator_open(&c), 0);
    clean();
    lie_body = operator_body(&c, 1);
    operator_read(&c);
    cluster_run(&c, 100);
    finds("was refused and is in force");
}

TEST_F(JudgeApi, MissingQueue)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    lie_status = 404;
    operator_last(&c);
    finds("CONFIG");
}

TEST_F(JudgeApi, ConfigNotComingBack)
{
    c.fake = liar;
    lie_status = 200;
    operator_first(&c);
    c.fake = silent;
    operator_last(&c);
    finds("CONFIG");
}

TEST_F(JudgeApi, StandingStill)
{
    sent(SCHEMA_ONE);
    cluster_close(&c);
    EXPECT_TRUE(breach("LIVENESS"));
    EXPECT_TRUE(breach("stands still"));
}

TEST_F(JudgeApi, NotStillWhereRoomIsShort)
{
    for (standin *s : x)
        s->cpu_milli = 100;
    sent(SCHEMA_ONE);
    cluster_close(&c);
    finds("LIVENESS");
}

/* --- answers of another request --------------------------------------------------------- */

static const char *answer_body;
static int answers_all(struct cluster *, const char *, const char *, const char *, char **answer)
{
    *answer = must_dup(answer_body);
    return 200;
}

TEST_F(JudgeApi, AnswerOfAnotherRequest)
{
    c.fake = answers_all;
    answer_body = "{\"state\":\"pending\"}";
    callers_cancel(&c, sent(SCHEMA_ONE));
    cluster_run(&c, 100);
    finds("ANSWER");
}

TEST_F(JudgeApi, ReadingThatIsNoConfiguration)
{
    c.fake = answers_all;
    answer_body = "{\"waiting\":3}";
    operator_read(&c);
    cluster_run(&c, 100);
    EXPECT_TRUE(breach("ANSWER"));
}
