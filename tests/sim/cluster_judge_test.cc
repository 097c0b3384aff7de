// The judge of the cluster simulator must notice each breach planted here, and
// nothing where all is in order: a check that cannot fail is a defect.
#include "fleet.h"

extern "C" {
#include "sim/cluster.h"
}

namespace {

using Job = struct board_job;

// Executors without cores beside them; orders come from the test.
class Judge : public ::testing::Test {
  public:
    struct cluster c = {};
    std::vector<standin *> x;

    void SetUp() override
    {
        cluster_start(&c, 7, 0, 0, 0);
        c.fake = silent;
        host *core = cluster_add(&c, HOST_CONTROLLER, 0, 0);
        core->withDisk = core->up = 1;
        for (int i = 0; i < 6; i++) {
            host *h = cluster_add(&c, HOST_AGENT, 0, i % 3);
            h->up = 1;
            x.push_back(h->standin);
            standin_boot(h->standin);
        }
        cluster_run(&c, 5000);
    }
    void TearDown() override { cluster_end(&c); }

    static int silent(struct cluster *, const char *, const char *, const char *, char **) { return 0; }

    Job *sent(enum job_shape shape)
    {
        Job *job = callers_job(&c, shape);
        job->failPct = 0;
        job->sentUs = c.nowUs;
        job->tries = 1;
        job->acceptedUs = c.nowUs;
        return job;
    }
    static std::string head(standin *s) { return std::string("Life: ") + s->life; }
    void begin(standin *s, Job *job, int64_t task, int64_t attempt, const char *text = nullptr,
               const char *saved = "", int late = 0)
    {
        char *body = must_printf("{\"job\":%lld,\"task\":%lld,\"attempt\":%lld,\"text\":\"text of %llx\",\"saved\":\"%s\","
                                 "\"until\":%lld,\"epoch\":1}", (long long)job->id, (long long)task,
                                 (long long)attempt, (unsigned long long)job->id, saved,
                                 (long long)standin_clock_ms(s) + 6000);
        if (text) {
            std::string other = body;
            size_t at = other.find("text of");
            other.replace(at, 7, text);
            free(body);
            body = must_dup(other.c_str());
        }
        standin_take(s, 0, "/begin", head(s).c_str(), body, late);
        free(body);
    }
    void stop(standin *s, Job *job, int64_t task, int64_t attempt)
    {
        char *body = must_printf("{\"job\":%lld,\"task\":%lld,\"attempt\":%lld,\"epoch\":1}", (long long)job->id,
                                 (long long)task, (long long)attempt);
        standin_take(s, 0, "/end", head(s).c_str(), body, 0);
        free(body);
    }
    void look(standin *s, int64_t seen)
    {
        char *body = must_printf("{\"epoch\":1,\"seen\":%lld,\"until\":%lld,\"wait\":0}", (long long)seen,
                                 (long long)standin_clock_ms(s) + 6000);
        standin_take(s, 0, "/look", head(s).c_str(), body, 0);
        free(body);
    }
    // runs while all holds are renewed and nothing is noted
    void run(int64_t ms)
    {
        for (int64_t k = 0; k < ms; k += 1000) {
            for (standin *s : x)
                if (s->up)
                    look(s, 0);
            cluster_run(&c, ms - k < 1000 ? ms - k : 1000);
        }
    }
    void runTask(standin *s, Job *job, int64_t task, int64_t attempt)
    {
        begin(s, job, task, attempt);
        for (int i = 0; i < 200 && standin_run(s, job->id, task); i++)
            run(100);
        look(s, s->seq);
    }
    bool breach(const char *rule)
    {
        for (int64_t i = 0; i < c.nBreaches; i++)
            if (strstr(c.breaches[i], rule))
                return true;
        return false;
    }
    void clean()
    {
        EXPECT_EQ(c.nBreaches, 0) << (c.nBreaches ? c.breaches[0] : "");
    }
    void finds(const char *rule)
    {
        ASSERT_TRUE(breach(rule)) << "not noticed: " << rule;
        EXPECT_EQ(c.nBreaches, 1) << c.breaches[c.nBreaches - 1];
    }
};

}  // namespace

TEST_F(Judge, GoodRunIsClean)
{
    Job *job = sent(SHAPE_ONE);
    for (int64_t i = 0; i < job->tasks; i++)
        runTask(x[0], job, i, 1);
    judge_shown(&c, job, "done", x[0]->host);
    judge_over(&c);
    clean();
    EXPECT_EQ(c.nEnds[RUN_DONE], job->tasks);
}

TEST_F(Judge, TwoAtOnce)
{
    Job *job = sent(SHAPE_SAVES);
    begin(x[0], job, 0, 1);
    run(100);
    begin(x[1], job, 0, 2);
    finds("TWICE");
}

TEST_F(Judge, TwoAtOnceAreAllowedWhereAsked)
{
    Job *job = sent(SHAPE_TWICE);
    begin(x[0], job, 0, 1);
    begin(x[1], job, 0, 2);
    clean();
}

TEST_F(Judge, StartAfterCrashIsRight)
{
    Job *job = sent(SHAPE_SAVES);
    begin(x[0], job, 0, 1);
    run(100);
    standin_crash(x[0], -1);
    begin(x[1], job, 0, 2);
    clean();
}

TEST_F(Judge, StartAfterNotedDone)
{
    Job *job = sent(SHAPE_ONE);
    runTask(x[0], job, 0, 1);
    begin(x[1], job, 0, 2);
    finds("TWICE");
}

TEST_F(Judge, StartBeforeDoneIsNoted)
{
    Job *job = sent(SHAPE_ONE);
    begin(x[0], job, 0, 1);
    run(2000);
    begin(x[1], job, 0, 2);
    clean();
    look(x[0], x[0]->seq);
    finds("TWICE");
}

TEST_F(Judge, LapsedHoldExcusesAnUnnotedDone)
{
    Job *job = sent(SHAPE_ONE);
    begin(x[0], job, 0, 1);
    cluster_run(&c, 8000);
    EXPECT_EQ(c.nEnds[RUN_DONE], 1);
    begin(x[1], job, 0, 2);
    look(x[0], x[0]->seq);
    clean();
}

TEST_F(Judge, GangDoneOnceCountsForAll)
{
    Job *job = sent(SHAPE_GANG);
    for (int64_t i = 0; i < job->tasks; i++)
        begin(x[(size_t)i % 3], job, i, 1);
    run(6000);
    EXPECT_EQ(c.nEnds[RUN_DONE], job->tasks);
    look(x[0], x[0]->seq);
    clean();
    begin(x[4], job, 1, 2);
    finds("TWICE");
}

TEST_F(Judge, LoneGangMember)
{
    Job *job = sent(SHAPE_GANG);
    begin(x[0], job, 0, 1);
    run(4000);
    finds("GANG");
}

TEST_F(Judge, Budget)
{
    Job *job = sent(SHAPE_ONE);
    job->failPct = 100;
    for (int64_t i = 1; i <= ATTEMPTS_MAX; i++)
        runTask(x[0], job, 0, i);
    clean();
    begin(x[1], job, 0, ATTEMPTS_MAX + 1);
    finds("BUDGET");
}

TEST_F(Judge, Order)
{
    Job *job = sent(SHAPE_STEPS);
    begin(x[0], job, (int64_t)2 << 24, 1);
    finds("ORDER");
}

TEST_F(Judge, TooEarly)
{
    Job *job = sent(SHAPE_TIMED);
    begin(x[0], job, (int64_t)1 << 32, 1);
    finds("ORDER");
}

TEST_F(Judge, RoomOfAnUnguardedExecutor)
{
    Job *job = sent(SHAPE_RAW), *more = sent(SHAPE_RAW);
    for (int64_t k = 0; k < job->tasks; k++)
        begin(x[3], job, k, 1);
    for (int64_t guard = 0; guard < 60 && !c.nBreaches; guard++) {
        for (int64_t k = 0; k < more->tasks && !c.nBreaches; k++)
            begin(x[3], more, k, 1);
        more = sent(SHAPE_RAW);
    }
    finds("LIMIT");
}

TEST_F(Judge, GuardedExecutorTurnsAway)
{
    for (int i = 0; i < 6; i++)
        begin(x[0], sent(SHAPE_LARGE), 0, 1);
    EXPECT_GT(c.nRoomRefused, 0);
    clean();
}

TEST_F(Judge, Service)
{
    begin(x[3], sent(SHAPE_ONE), 0, 1);
    finds("ROUTE");
}

TEST_F(Judge, Label)
{
    begin(x[0], sent(SHAPE_LABEL), 0, 1);
    finds("ROUTE");
}

TEST_F(Judge, PerExecutor)
{
    Job *job = sent(SHAPE_APART);
    while (job->tasks < 3)
        job = sent(SHAPE_APART);
    for (int64_t i = 0; i < 3 && !c.nBreaches; i++)
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
    begin(x[0], sent(SHAPE_ONE), 0, 1, "other text");
    finds("UNASKED");
}

TEST_F(Judge, ForeignCheckpoint)
{
    begin(x[0], sent(SHAPE_SAVES), 0, 1, nullptr, "1.0@500");
    finds("UNASKED");
}

TEST_F(Judge, OwnCheckpointIsRight)
{
    Job *job = sent(SHAPE_SAVES);
    begin(x[0], job, 0, 1);
    run(2500);
    stop(x[0], job, 0, 1);
    run(500);
    ASSERT_EQ(x[0]->nEnded, 1);
    std::string saved = x[0]->ended[0].saved;
    begin(x[1], job, 0, 2, nullptr, saved.c_str());
    clean();
}

TEST_F(Judge, GangWithDifferentCheckpoints)
{
    Job *job = sent(SHAPE_GANG);
    job->rows[0].savedMs = 500;
    char *saved = must_printf("%llx.0@500", (unsigned long long)job->id);
    begin(x[0], job, 0, 1, nullptr, saved);
    clean();
    begin(x[1], job, 1, 1);
    finds("UNASKED");
    free(saved);
}

TEST_F(Judge, StartLongAfterCancel)
{
    Job *job = sent(SHAPE_SAVES);
    judge_cancelled(&c, job);
    run(4000);
    begin(x[0], job, 0, 1);
    finds("UNASKED");
}

TEST_F(Judge, LateOrderAfterCancelIsExcused)
{
    Job *job = sent(SHAPE_SAVES);
    judge_cancelled(&c, job);
    run(4000);
    begin(x[0], job, 0, 1, nullptr, "", 1);
    clean();
}

TEST_F(Judge, RunsOnAfterCancel)
{
    Job *job = sent(SHAPE_SAVES);
    begin(x[0], job, 0, 1);
    judge_cancelled(&c, job);
    x[0]->runs[0].needUs = 60000000;
    run(4000);
    finds("UNASKED");
}

TEST_F(Judge, StartOfARefusedJob)
{
    Job *job = sent(SHAPE_ONE);
    job->acceptedUs = -1;
    job->refusals = 1;
    begin(x[0], job, 0, 1);
    finds("REFUSED");
}

TEST_F(Judge, StartWhileDraining)
{
    x[0]->draining = 1;
    x[0]->leavesUs = c.nowUs + 60000000;
    x[0]->drainAckUs = c.nowUs;
    run(1500);
    begin(x[0], sent(SHAPE_SAVES), 0, 1);
    clean();
    run(1000);
    begin(x[0], sent(SHAPE_SAVES), 0, 1);
    finds("DRAIN");
}

TEST_F(Judge, DoneTooSoon)
{
    judge_shown(&c, sent(SHAPE_ONE), "done", x[0]->host);
    finds("MIXED");
}

TEST_F(Judge, FailedAndCancelledWithoutCause)
{
    judge_shown(&c, sent(SHAPE_ONE), "failed", x[0]->host);
    finds("LOST");
    judge_shown(&c, sent(SHAPE_ONE), "cancelled", x[0]->host);
    EXPECT_EQ(c.nBreaches, 2);
}

TEST_F(Judge, HopelessMayFail)
{
    judge_shown(&c, sent(SHAPE_HOPELESS), "failed", x[0]->host);
    clean();
}

TEST_F(Judge, Forgotten)
{
    Job *job = sent(SHAPE_ONE);
    judge_gone(&c, job, x[0]->host);
    clean();                                 /* may not be visible everywhere yet */
    run(4000);
    job->missing = 0;
    judge_gone(&c, job, x[0]->host);
    finds("LOST");
}

TEST_F(Judge, BackFromAFinalState)
{
    Job *job = sent(SHAPE_HOPELESS);
    judge_shown(&c, job, "failed", x[0]->host);
    judge_shown(&c, job, "pending", x[0]->host);
    finds("LOST");
}

/* --- the operator, before a door that lies ------------------------------------------------ */

static std::string lieBody;
static int lieStatus;
static int liar(struct cluster *, const char *method, const char *path, const char *body, char **answer)
{
    if (!strcmp(path, "/config") && !strcmp(method, "GET")) {
        *answer = must_dup(lieBody.c_str());
        return 200;
    }
    if (!strcmp(path, "/config")) {
        if (lieStatus == 200)
            lieBody = body;
        return lieStatus;
    }
    if (!strncmp(path, "/extra", 6))
        return lieStatus;
    return 0;
}

TEST_F(Judge, ConfigInOrder)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    operator_last(&c);
    clean();
}

TEST_F(Judge, BothOfARaceAcknowledged)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    operator_change(&c, 1, 0);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(Judge, InvalidAcknowledged)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    operator_change(&c, 0, 2);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(Judge, ConfigGoesBack)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    std::string old = lieBody;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    clean();
    lieBody = old;
    operator_read(&c);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(Judge, ConfigReadDifferently)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    lieBody += " ";
    operator_read(&c);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(Judge, RefusedInForce)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    lieStatus = 409;
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    clean();
    lieStatus = 200;
    lieBody = operator_body(&c, 1);
    operator_read(&c);
    cluster_run(&c, 100);
    finds("CONFIG");
}

TEST_F(Judge, MissingQueue)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    operator_change(&c, 0, 0);
    cluster_run(&c, 100);
    lieStatus = 404;
    operator_last(&c);
    finds("CONFIG");
}

TEST_F(Judge, ConfigNotComingBack)
{
    c.fake = liar;
    lieStatus = 200;
    operator_first(&c);
    c.fake = silent;
    operator_last(&c);
    finds("CONFIG");
}

TEST_F(Judge, StandingStill)
{
    sent(SHAPE_ONE);
    cluster_close(&c);
    finds("LIVENESS");
}
