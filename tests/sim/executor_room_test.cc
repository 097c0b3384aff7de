// What executors say of their room, their place, their progress and their leaving.
#include "executors.h"

namespace
{

// Work whose progress mark does not move is found long before its run limit, by
// whoever is home; the executor that holds it, healthy by its own word, gets no more.
TEST(Executor, WorkThatStandsStillIsFoundByItsProgress)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        f.settings("root", "{\"stallMs\":4000}");
        std::string slow = f.send("slow", "ms=9000"); // long, but it goes on
        f.run(500);
        machine *e = f.some();
        while (e->core.executor.n_work)
            e = f.some();
        e->core.executor.stall_pct = 100;
        caller *load = sim_load(&f.s, 1200, 14);
        auto still = [&](int64_t for_ms = 0) {
            int64_t n = 0;
            for (int64_t i = 0; i < e->core.executor.n_work; i++)
                n +=
                    e->core.executor.work[i].stalls && world_ms(&e->base) - e->core.executor.work[i].since_ms >= for_ms;
            return n;
        };
        for (int i = 0; i < 120 && !still(); i++)
            f.run(50);
        f.run(800);
        EXPECT_GT(still(), 0); // struck
        if (seed % 2)
            sim_kill(sim_executor_owner(&f.s, e->name), 0);
        f.run(9000);
        int64_t shut = f.s.event_counts[EV_TASK_STILL];
        EXPECT_GT(shut, 0);
        EXPECT_EQ(still(8500), 0); // the limit, a new home, the stop
        EXPECT_NE(executor_summary_find(&f.any()->core.node, e->name)->state, EXECUTOR_OPEN);
        e->core.executor.stall_pct = 0;
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(sim_load_state(&f.s, "done") + sim_load_state(&f.s, "failed"), load->n_jobs);
        EXPECT_EQ(f.job_state(slow), "done") << f.persist("GET", "/v1/jobs/" + slow, "").body.substr(0, 600);
        EXPECT_EQ(f.breaches(), "");
    }
}

// Told to stop, it finished all the same and died, or was cut off, before it could
// say so: without its word there is no second run.
TEST(Executor, PreemptedWorkWithoutProofIsNotRunAgain)
{
    int64_t moved = 0;
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        for (int i = 0; i < 30; i++)
            f.send("q" + std::to_string(i), "ms=" + std::to_string(3300 + sim_pick(&f.s, 900)));
        f.run(600);
        machine *e = nullptr;
        for (int i = 1; i <= 11; i++)
            if (!e || f.executor(i)->core.executor.n_work > e->core.executor.n_work)
                e = f.executor(i);
        e->core.executor.stop_ms = 2000; // slow to stop: some of it is done before
        executor_leave(&e->core.executor, 5000);
        while (!f.s.event_counts[EV_PREEMPTED] && sim_ms(&f.s) < 20000)
            f.run(5);
        moved += f.s.event_counts[EV_PREEMPTED];
        if (seed % 2) {
            f.s.trap.kind = TRAP_DONE;
            f.s.trap.nth = 1;
            f.s.trap.armed = 1;
        } else {
            sim_cut_off(&f.s, e);
        }
        f.run(12000);
        sim_heal(&f.s);
        f.run(8000);
        EXPECT_EQ(f.breaches(), "");
    }
    EXPECT_GT(moved, 0);
}

// What cannot end before its executor leaves is stopped in time, its stop proven,
// and runs elsewhere; the owner is killed in between on every other seed. Gangs move
// whole; a queue may turn it off.
TEST(Executor, WorkIsMovedOffAnExecutorThatLeaves)
{
    int64_t moved = 0;
    for (uint64_t seed : seeds(6)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        f.settings("root/prices", "{\"preempt\":false}");
        std::vector<std::string> ids, kept;
        for (int i = 0; i < 22; i++)
            ids.push_back(f.send("m" + std::to_string(i), "ms=9000"));
        for (int i = 0; i < 3; i++) {
            std::string body = f.one_step("g" + std::to_string(i), "stock", "q",
                                          "\"gang\":true,\"perExecutor\":1," + f.tasks(5, "ms=9000"));
            ids.push_back(f.text(f.persist("POST", "/v1/jobs", body), "id"));
            body = f.one_step("o" + std::to_string(i), "prices", "q", f.tasks(1, "ms=2000"));
            kept.push_back(f.text(f.persist("POST", "/v1/jobs", body), "id"));
        }
        f.run(600);
        machine *e = nullptr;
        for (int i = 1; i <= 11; i++)
            if (!e || f.executor(i)->core.executor.n_work > e->core.executor.n_work)
                e = f.executor(i);
        ASSERT_GT(e->core.executor.n_work, 0);
        executor_leave(&e->core.executor, 5000);
        f.run(2700);
        if (seed % 2) // between the commit and the proof, or about then
            sim_kill(f.at("node" + std::to_string(1 + sim_pick(&f.s, 15))), 0);
        f.run(2200);
        EXPECT_EQ(e->core.executor.n_work, 0);
        sim_kill(e, 1);
        moved += f.s.event_counts[EV_PREEMPTED];
        f.run(35000);
        for (const std::string &id : ids)
            EXPECT_EQ(f.job_state(id), "done") << f.persist("GET", "/v1/jobs/" + id, "").body.substr(0, 500);
        for (const std::string &id : kept)
            EXPECT_EQ(f.job_state(id), "done");
        EXPECT_EQ(f.breaches(), "");
    }
    EXPECT_GT(moved, 0);
}

// Work that is not ours takes room and gives it back: judged by what was reported.
TEST(Executor, RoomTakenByOthersIsNotOurs)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        caller *load = sim_load(&f.s, 1500, 15);
        for (int i = 0; i < 120; i++) {
            f.run(100);
            machine *e = f.some();
            sim_set_other_cores(e, sim_pick(&f.s, 2) ? sim_pick(&f.s, 17) : 0);
            if (i % 10 == 0)
                f.send("long" + std::to_string(i), "ms=2500", "\"priority\":" + std::to_string(i) + ",");
        }
        for (int i = 1; i <= 11; i++)
            sim_set_other_cores(f.executor(i), 0);
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(sim_load_state(&f.s, "done"), load->n_jobs);
        EXPECT_EQ(f.breaches(), "");
    }
}

// Reserved, then the commit is late by seconds, and meanwhile the room went to others.
TEST(Executor, RoomThatShrankSinceTheReservationIsNotUsed)
{
    int64_t late = 0;
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 12; i++) // accepted now, due in the middle of the stall
                f.send("s" + std::to_string(round) + "." + std::to_string(i), "ms=900",
                       "\"startAtMs\":" + std::to_string(sim_wall_ms(&f.s) + 1400 - 40 * i) + ",");
            f.run(700);
            for (int i = 1; i <= 3; i++)
                f.at("keeper" + std::to_string(i))->disk.stall_until_us = f.s.now_us + 3200000;
            f.run(500 + sim_pick(&f.s, 300));
            for (int64_t i = 0; i < f.s.n; i++)
                for (int64_t k = 0; f.s.machines[i]->kind == M_NODE && k < f.s.machines[i]->core.node.n_executor_owners;
                     k++)
                    late += f.s.machines[i]->core.node.executor_owners[k]->n_rows;
            for (int i = 1; i <= 11; i++)
                sim_set_other_cores(f.executor(i), 16);
            f.run(4500);
            for (int i = 1; i <= 11; i++)
                sim_set_other_cores(f.executor(i), 0);
            f.run(4000);
        }
        EXPECT_EQ(f.breaches(), "");
    }
    EXPECT_GT(late, 0);
}

// Back in another rack, for other services: what was meant for the former one
// is not run by the latter.
TEST(Executor, RacksAndServicesChangeOnARestart)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Executors f(seed);
        f.settings("root", "{\"atLeastOnce\":true,\"attemptsMax\":50}");
        caller *load = sim_load(&f.s, 900, 15);
        int changed = 0;
        for (int i = 0; i < 12; i++) {
            f.run(900);
            for (int k = 0; k < 3; k++) { // racked and crowded work that may be on its way just now
                std::string key = "c" + std::to_string(i) + "." + std::to_string(k);
                std::string rack = k ? "r" + std::to_string(k) : "one";
                f.post(f.one_step(key, "prices", "q",
                                  "\"rack\":\"" + rack + "\",\"perExecutor\":2," + f.tasks(3, "ms=700")));
            }
            f.run(sim_pick(&f.s, 40));
            machine *e = f.executor(4 + sim_pick(&f.s, 8)); // rack r1 stays as it is
            changed += e->core.executor.n_work > 0;
            sim_kill(e, 0);
            e->serves = 1 + sim_pick(&f.s, 7);
            snprintf(e->rack, sizeof e->rack, "r%d", (int)(1 + sim_pick(&f.s, 4)));
            sim_restart(e);
        }
        EXPECT_GT(changed, 0);
        for (int i = 4; i <= 11; i++) { // in the end every rack serves everything again
            machine *e = f.executor(i);
            e->serves = 0;
            snprintf(e->rack, sizeof e->rack, "r%d", (i - 1) / 3 + 1);
            sim_restart(e);
        }
        EXPECT_EQ(f.settle(load), 0);
        EXPECT_EQ(f.breaches(), "");
    }
}

} // namespace
