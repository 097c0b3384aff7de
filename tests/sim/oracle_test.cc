// Violates each rule of the oracle on purpose: the oracle must report it.
#include "fleet.h"

namespace
{

struct Planted : Fleet {
    Planted() : Fleet(1, 3, 4)
    {
        planted = true;
        run(6000);
    }
    // A job that starts in an hour, so that all its events until then are planted.
    int64_t job(const std::string &steps, const std::string &more = "")
    {
        std::string at = std::to_string(sim_wall_ms(&s) + 3600000);
        std::string body = "{\"key\":\"k" + std::to_string(no++) + "\",\"service\":\"lookup\",\"queue\":\"counter\"," +
                           (more.empty() ? "\"startAtMs\":" + at + "," : more) + "\"steps\":[" + steps + "]}";
        Answer a = persist("POST", "/v1/jobs", body);
        EXPECT_EQ(a.status, 201) << a.body;
        return job_id_parse(text(a, "id").c_str());
    }
    void start(int executor, int64_t job, int64_t no, int64_t attempt = 1, int64_t cores = 1)
    {
        record(EXEC_STARTED, executor, job, no, attempt, cores, nullptr);
    }
    void end(int executor, int64_t job, int64_t no, const char *outcome)
    {
        record(EXEC_ENDED, executor, job, no, 1, 1, outcome);
    }
    void record(int64_t event, int executor, int64_t job, int64_t no, int64_t attempt, int64_t cores,
                const char *outcome)
    {
        exec_record r = {};
        r.event = event, r.job = job, r.no = no, r.attempt = attempt, r.cores = cores, r.outcome = outcome;
        oracle_executor_event(at("executor" + std::to_string(executor)), &r);
    }
    bool reports(const std::string &what) { return breaches().find(what) != std::string::npos; }
    int no = 0;
};

const char kPair[] = R"({"name":"a","tasks":[{"kind":"std"},{"kind":"std"}]})";
const char kChain[] = R"({"name":"a","tasks":[{"kind":"std"}]},{"name":"b","after":["a"],"tasks":[{"kind":"std"}]})";
const char kStartNow[] = "\"priority\":1,";

TEST(Oracle, SaysWhenATaskRunsTwice)
{
    Planted f;
    int64_t job = f.job(kPair);
    f.start(1, job, 0);
    f.start(2, job, 0);
    EXPECT_TRUE(f.reports("while running on executor1"));
    f.end(2, job, 0, "done");
    f.start(3, job, 0);
    EXPECT_TRUE(f.reports("again after it was done"));
}

TEST(Oracle, SaysWhenAStepOrATimeIsNotWaitedFor)
{
    Planted f;
    f.start(1, f.job(kChain), 1);
    EXPECT_TRUE(f.reports("before a was done"));
    EXPECT_TRUE(f.reports("before its time"));
}

TEST(Oracle, SaysWhenAnExecutorIsOverfilledOrWronglyChosen)
{
    Planted f;
    int64_t job =
        f.job(R"({"name":"a","perExecutor":1,"perRack":1,"rack":"r1","tasks":[{"kind":"std"},{"kind":"std"}]})");
    f.start(4, job, 0, 1, 17);
    EXPECT_TRUE(f.reports("beyond its room"));
    EXPECT_TRUE(f.reports("off its rack"));
    EXPECT_FALSE(f.reports("wrong service or kind"));
    EXPECT_FALSE(f.reports("crowds"));
    f.start(4, job, 1);
    EXPECT_TRUE(f.reports("crowds"));
    free(f.at("executor1")->core.executor.state.kind);
    f.at("executor1")->core.executor.state.kind = must_dup("odd");
    f.start(1, job, 1);
    EXPECT_TRUE(f.reports("wrong service or kind"));
    int64_t one = f.job(R"({"name":"a","rack":"one","tasks":[{"kind":"std"},{"kind":"std"}]})");
    f.start(1, one, 0);
    f.start(4, one, 1);
    EXPECT_TRUE(f.reports("on two racks"));
}

TEST(Oracle, SaysWhenALeavingOrCancelledOneIsUsed)
{
    Planted f;
    int64_t job = f.job(kPair);
    executor_leave(&f.at("executor1")->core.executor, 60000);
    oracle_cancelled(f.s.oracle, job);
    f.run(3100);
    f.start(1, job, 0);
    EXPECT_TRUE(f.reports("after it said it leaves"));
    EXPECT_TRUE(f.reports("after its cancel"));
    f.run(1000);
    EXPECT_FALSE(f.reports("still runs after"));
    int64_t other = f.job(kPair);
    f.start(2, other, 0);
    oracle_cancelled(f.s.oracle, other);
    f.run(2000);
    EXPECT_TRUE(f.reports("still runs"));
}

TEST(Oracle, SaysWhenFailuresAreNotCounted)
{
    Planted f;
    int64_t job = f.job(kPair);
    for (int i = 1; i <= 4; i++) {
        EXPECT_FALSE(f.reports("tried again"));
        f.start(1, job, 0, i);
        f.end(1, job, 0, "failed");
    }
    EXPECT_TRUE(f.reports("tried again after 3 failures"));
}

TEST(Oracle, SaysWhenAGangIsTorn)
{
    Planted f;
    int64_t job = f.job(R"({"name":"a","gang":true,"tasks":[{"kind":"std"},{"kind":"std"}]})");
    f.start(1, job, 0);
    f.run(2500);
    EXPECT_TRUE(f.reports("gang of job"));
}

TEST(Oracle, SaysWhenSettingsAreLateOrSlipBack)
{
    Planted f;
    f.persist("PUT", "/v1/settings/branch?expect=0&path=root", "{\"licenceMs\":5000}");
    f.run(1000);
    EXPECT_EQ(f.breaches(), "");
    f.at("node1")->core.node.config_tree.version = 0;
    f.run(100);
    EXPECT_TRUE(f.reports("slipped back"));
    oracle_settings_accepted(f.s.oracle, 7);
    f.run(2500);
    EXPECT_TRUE(f.reports("still acts under settings"));
}

// A job that the keepers lack, and one that a single node lacks.
TEST(Oracle, SaysWhenAJobIsForgottenOrUnknown)
{
    Planted f;
    int64_t job = f.job(kPair);
    f.run(3500);
    EXPECT_EQ(f.breaches(), "");
    int64_t ghost = job + 100; // recorded as accepted, but in no log
    oracle_accepted(f.s.oracle, ghost);
    f.run(3500);
    EXPECT_TRUE(f.reports("was forgotten"));
    machine *owner = sim_shard_owner(&f.s, job_shard(job));
    rows_end(&owner->core.node.shards[job_shard(job)].rows);
    f.run(7000);
    EXPECT_TRUE(f.reports("does not know job"));
}

TEST(Oracle, SaysWhenReportedRoomIsExceeded)
{
    Planted f;
    int64_t job = f.job(kPair);
    machine *e = f.at("executor1");
    sim_set_other_cores(e, 14);
    f.start(1, job, 0, 1, 4);
    EXPECT_EQ(f.breaches().find("it reported"), std::string::npos); // the executor may not have reported it yet
    f.end(1, job, 0, "failed");
    f.run(2000);
    f.start(1, job, 0, 2, 4);
    EXPECT_TRUE(f.reports("beyond the free room it reported"));
}

TEST(Oracle, SaysWhenServiceStaysAway)
{
    Planted f;
    for (int i = 1; i <= 3; i++)
        sim_kill(f.at("keeper" + std::to_string(i)), 0);
    EXPECT_GT(f.service_back("planted", 13000), 12000);
    EXPECT_TRUE(f.reports("service not back after"));
}

// After the restart: makes all executors leave, so that they take no work, and adds to each executor
// owner an allocation that its executor does not have.
void plant_final_violations(sim *s, void *, int64_t)
{
    for (int64_t i = 0; i < s->n; i++) {
        machine *m = s->machines[i];
        if (m->kind == M_EXECUTOR)
            executor_leave(&m->core.executor, 600000); // takes no new work
        for (int64_t k = 0; m->kind == M_NODE && m->up && k < m->core.node.n_executor_owners; k++) {
            executor_owner *h = m->core.node.executor_owners[k];
            h->rows = (executor_allocation *)realloc(h->rows, sizeof(executor_allocation) * (size_t)(h->n_rows + 64));
            h->rows[h->n_rows++] = executor_allocation{};
            h->rows[h->n_rows - 1].since_ms = INT64_MAX / 2;
        }
    }
}

TEST(Oracle, SaysWhatIsLeftAtTheEndOfTheDay)
{
    Planted f;
    oracle_settings_accepted(f.s.oracle, 3);
    oracle_accepted(f.s.oracle, (5LL << SHARD_BITS) | 77);
    f.persist("POST", "/v1/jobs", f.lookup("stuck", "\"startAtMs\":" + std::to_string(sim_wall_ms(&f.s) + 500) + ","));
    sim_at(&f.s, 250, plant_final_violations, nullptr);  // before any job runs again
    sim_at(&f.s, 6000, plant_final_violations, nullptr); // again, once the executor owners are open
    sim_check_final_state(&f.s);
    EXPECT_TRUE(f.reports("has settings 0 at the end of the day"));
    EXPECT_TRUE(f.reports("is forgotten at the end of the day"));
    EXPECT_TRUE(f.reports("is left standing at the end of the day"));
    EXPECT_TRUE(f.reports("accounts differ at the end of the day"));
}

TEST(Oracle, SaysWhenKeepersDisagreeOrAJobIsShownDone)
{
    Planted f;
    int64_t job = f.job(kPair, kStartNow);
    oracle_job_state_seen(f.s.oracle, job, "done");
    EXPECT_TRUE(f.reports("shown as done with"));
    log *l = &f.at("keeper2")->core.keeper.logs[0];
    l->entries[l->applied - l->first_index].term++;
    oracle_reset_log_checks(f.s.oracle, f.at("keeper2"));
    f.run(100);
    EXPECT_TRUE(f.reports("applied another entry"));
}

} // namespace
