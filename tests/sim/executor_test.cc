// Executors that crash, vanish, slow down, fail in part, stand still, leave.
#include "executors.h"

namespace
{

TEST(Executor, CrashedOnesComeBackAsAnotherIncarnation)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        if (seed % 2)
            f.settings("root", "{\"atLeastOnce\":true}");
        caller *load = sim_load(&f.s, 510, 15);
        for (int i = 0; i < 4; i++) {
            f.run(2000);
            machine *e = f.some();
            sim_kill(e, 0);
            f.run(sim_pick(&f.s, 3000));
            sim_restart(e);
        }
        EXPECT_EQ(f.settle(load), 0);
        if (seed % 2) {
            EXPECT_EQ(sim_load_state(&f.s, "done"), load->n_jobs);
        }
        EXPECT_EQ(f.breaches(), "");
    }
}

// It had done the work and could not tell: nobody may run it again.
TEST(Executor, CrashedJustAfterItsWorkWasDone)
{
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        caller *load = sim_load(&f.s, 510, 12);
        for (int i = 0; i < 6; i++) {
            f.run(900);
            f.s.trap.kind = TRAP_DONE;
            f.s.trap.nth = 1 + sim_pick(&f.s, 4);
            f.s.trap.armed = 1;
            f.s.trap.triggered = 0;
            f.run(900);
            EXPECT_TRUE(f.s.trap.triggered);
            sim_restart(f.s.trap.victim);
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(f.breaches(), "");
    }
}

// By hand, what only a deposed home or a lost acknowledgement could send: orders
// of a lower epoch, and the start of an attempt that was acknowledged as done.
TEST(Executor, OldOrdersStartNothing)
{
    for (uint64_t seed : seeds(2)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        std::string id = f.send("once", "ms=50");
        f.run(2000);
        ASSERT_EQ(f.job_state(id), "done");
        const job *j = sim_job(&f.s, job_id_parse(id.c_str()));
        machine *e = f.at(j->rows[0].executor);
        executor &x = e->core.executor;
        int64_t starts = oracle_starts(f.s.oracle);
        auto order = [&](int64_t epoch, int64_t job, int64_t attempt) {
            std::string body =
                "{\"cluster\":\"dackhuset\",\"home\":\"10.1.0.1:8000\",\"epoch\":" + std::to_string(epoch) +
                ",\"incarnation\":" + std::to_string(x.state.incarnation) +
                ",\"ticket\":" + std::to_string(world_ms(&e->base)) + ",\"starts\":[{\"job\":" + std::to_string(job) +
                ",\"no\":0,\"attempt\":" + std::to_string(attempt) +
                ",\"cores\":1,\"licenceMs\":4000,\"service\":\"lookup\",\"kind\":\"std\",\"payload\":\"ms=50\"}]}";
            return f.request(e, "POST", "/v1/orders", body).status;
        };
        EXPECT_EQ(order(x.state.epoch, j->id, j->rows[0].attempt), 200);
        EXPECT_EQ(order(x.state.epoch - 1, j->id, j->rows[0].attempt + 1), 409);
        f.run(500);
        EXPECT_EQ(oracle_starts(f.s.oracle), starts);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Executor, VanishedForGood)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        std::vector<std::string> ids;
        for (int i = 0; i < 40; i++)
            ids.push_back(f.send("v" + std::to_string(i), "ms=3000"));
        f.run(1000);
        machine *e = f.some();
        int64_t held = e->core.executor.n_work;
        sim_kill(e, 1);
        f.run(20000);
        int64_t failed = 0;
        for (const std::string &id : ids) {
            std::string state = f.job_state(id);
            EXPECT_TRUE(f.ended(state)) << id << state;
            failed += state == "failed";
        }
        EXPECT_EQ(failed, held);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Executor, OneThatFailsItsWorkIsShutOutAndTriedAgainLater)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        f.settings("root", "{\"quarantineMs\":2000}");
        machine *e = f.some();
        e->core.executor.fail_pct = 100;
        caller *load = sim_load(&f.s, 510, 30);
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_GT(f.s.event_counts[EV_QUARANTINE], 0);
        EXPECT_GE(sim_load_state(&f.s, "done") * 100, load->n_jobs * 97);
        EXPECT_EQ(f.breaches(), "");
        e->core.executor.fail_pct = 0;
        f.run(20000);
        int64_t before = oracle_starts(f.s.oracle);
        caller *again = sim_load(&f.s, 510, 10);
        EXPECT_EQ(f.settle(again), 0);
        EXPECT_GT(oracle_starts(f.s.oracle), before);
        EXPECT_EQ(executor_summary_find(&f.any()->core.node, e->name)->state, EXECUTOR_OPEN);
    }
}

TEST(Executor, FailedWorkIsTriedNoMoreOftenThanAllowed)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        f.settings("root/lookup/counter", "{\"attemptsMax\":2,\"backoffMs\":50}");
        std::string id = f.send("bad", "ms=50 fail=100");
        f.run(8000);
        EXPECT_EQ(f.job_state(id), "failed");
        const job *j = sim_job(&f.s, job_id_parse(id.c_str()));
        ASSERT_NE(j, nullptr);
        EXPECT_EQ(j->rows[0].failures, 2);
        EXPECT_EQ(oracle_starts(f.s.oracle), 2);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Executor, StandingStillEndsAtTheCutoff)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        f.settings("root/lookup/counter", "{\"runMaxMs\":2000}");
        std::string id = f.send("still", "stall=1");
        f.run(1000);
        EXPECT_EQ(f.job_state(id), "active");
        f.run(5000);
        EXPECT_EQ(f.job_state(id), "failed");
        for (int i = 1; i <= 11; i++)
            EXPECT_EQ(f.executor(i)->core.executor.n_work, 0);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Executor, LeavingOnesGetNothingNew)
{
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        caller *load = sim_load(&f.s, 600, 15);
        for (int i = 0; i < 4; i++) {
            f.run(2500);
            machine *e = f.executor(2 * i + 1);
            executor_leave(&e->core.executor, 6000);
            if (seed % 2)
                sim_freeze(sim_executor_owner(&f.s, e->name), 3000);
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Executor, SlowOnesAndLateReportsLoseNothing)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        for (int i = 0; i < 3; i++)
            f.some()->core.executor.slow_pct = 2000;
        caller *load = sim_load(&f.s, 510, 15);
        for (int i = 0; i < 6; i++) {
            f.run(2000);
            sim_freeze(f.some(), 500 + sim_pick(&f.s, 2500));
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(f.breaches(), "");
    }
}

// Three of eleven take ten times as long. By count alone they would get their
// share; by progress they get clearly less.
TEST(Executor, SlowOnesAreGivenLess)
{
    for (uint64_t seed : seeds()) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        for (int i = 1; i <= 3; i++)
            f.executor(4 * i - 1)->core.executor.slow_pct = 1000;
        int64_t before = f.s.event_counts[EV_EXEC_START];
        caller *load = sim_load(&f.s, 600, 30);
        EXPECT_EQ(f.settle(load), 0);
        int64_t all = f.s.event_counts[EV_EXEC_START] - before, slow = 0;
        for (int i = 1; i <= 3; i++)
            slow += f.executor(4 * i - 1)->core.executor.n_tombstones + f.executor(4 * i - 1)->core.executor.n_ended;
        RecordProperty("slowShare", std::to_string(100 * slow / all));
        EXPECT_LT(slow * 100, all * 15); // 27 of a hundred by count
        EXPECT_GT(slow, 0);              // and still looked at now and then
        EXPECT_EQ(f.breaches(), "");
    }
}

TEST(Executor, ReportsLateAndOutOfOrderChangeNothing)
{
    Executors f(1);
    f.run(20000); // duties have settled
    machine *m = f.executor(1);
    auto home = [&] { return sim_executor_owner(&f.s, m->name); };
    auto account = [&] { return executor_owner_find(&home()->core.node, m->name); };
    std::string old = f.request(m, "GET", "/v1/state").body;
    f.run(1500);
    ASSERT_NE(account(), nullptr);
    int64_t serial = account()->serial, incarnation = account()->incarnation;
    EXPECT_EQ(f.request(home(), "POST", "/v1/executors/report", old).status, 200);
    EXPECT_GE(account()->serial, serial);
    sim_restart(m);
    f.run(3000);
    int64_t now = account()->incarnation;
    EXPECT_GT(now, incarnation);
    EXPECT_TRUE(account()->opened);
    f.request(home(), "POST", "/v1/executors/report", old); // of the former incarnation
    EXPECT_EQ(account()->incarnation, now);
    EXPECT_TRUE(account()->opened);
    EXPECT_EQ(f.breaches(), "");
}

TEST(Executor, FrozenBeyondItsLicenceStartsNothingOldWhenItWakes)
{
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        f.settings("root", "{\"atLeastOnce\":true,\"licenceMs\":1500}");
        caller *load = sim_load(&f.s, 900, 15);
        for (int i = 0; i < 3; i++) {
            f.run(2000);
            sim_freeze(f.some(), 4000 + sim_pick(&f.s, 6000));
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(sim_load_state(&f.s, "done"), load->n_jobs);
        EXPECT_EQ(f.breaches(), "");
    }
}

} // namespace
