// Faults to inject into a running fleet. Each returns whether it took effect: a run
// without the fault proves nothing.
#pragma once
#include "fleet.h"

// Invariants: all faults of keepers hit the same keeper, since the fleet tolerates the
// loss of one; keeper 4 is the spare machine.
struct FaultFleet : Fleet {
    machine *victim = nullptr, *replaced = nullptr;
    int n_sent = 0, n_changed = 0, n_stale = 0;
    FaultFleet(uint64_t seed, const char *deployment)
        : Fleet(seed, 15, 11, std::string(deployment) == "dackhuset" ? 16 : 64, deployment, 4)
    {
        sim_kill(keeper(4), 0);
        sim_wipe(keeper(4));
        run(6000);
    }
    machine *keeper(int64_t i) { return at("keeper" + std::to_string(i)); }
    // Chooses the keeper that faults hit. Nodes and executors are chosen when a fault is injected.
    void choose_victim()
    {
        machine *leads = sim_leader(&s, sim_pick(&s, 2));
        victim = leads && sim_pick(&s, 3) ? leads : keeper(1 + sim_pick(&s, 3));
    }
    machine *owner()
    {
        for (int i = 0; i < 40; i++) {
            machine *m = sim_shard_owner(&s, sim_pick(&s, SHARD_COUNT));
            if (m && m->up && !m->frozen)
                return m;
        }
        return nullptr;
    }
    machine *busy_executor()
    {
        for (int64_t tries = 0; tries < 4000; tries++) {
            machine *e = at("executor" + std::to_string(1 + sim_pick(&s, 11)));
            if (e->up && !e->frozen && e->core.executor.n_work)
                return e;
            if (tries % 11 == 10)
                run(20);
        }
        return nullptr;
    }
    // Jobs of kinds that the load lacks: gangs, with a rack, a start time, long tasks or steps.
    void send_mixed_jobs(int64_t n)
    {
        std::string other = std::string(s.cluster) == "dackhuset" ? "stock" : "routes";
        for (int64_t i = 0; i < n; i++) {
            std::string key = "w" + std::to_string(n_sent++);
            if (i % 4 == 0)
                post(one_step(key, other, "q",
                              "\"gang\":true,\"rack\":\"one\"," + tasks(3, "ms=1500", 3) +
                                  "},{\"name\":\"b\",\"after\":[\"a\"],\"perExecutor\":1," + tasks(2, "ms=300")));
            else if (i % 4 == 1)
                post(lookup(key, "\"startAtMs\":" + std::to_string(sim_wall_ms(&s) + 1500 + sim_pick(&s, 4000)) + ","));
            else if (i % 4 == 2)
                post(one_step(key, other, "q", "\"rack\":\"r2\"," + tasks(1, "ms=2500", 2)));
            else
                post(lookup(key, "", "ms=4000"));
        }
    }
    static void on_change_answer(sim *, void *arg, int64_t, int status, const char *)
    {
        FaultFleet *f = (FaultFleet *)arg;
        f->n_changed += status == 200;
        f->n_stale += status == 409;
    }
    int64_t version()
    {
        machine *leader = sim_leader(&s, GROUP_CONTROL);
        return leader ? leader->core.keeper.config_tree.version : 0;
    }
    void send_change(const std::string &method, const std::string &path, const std::string &body)
    {
        std::string full =
            path + (path.find('?') == std::string::npos ? "?" : "&") + "expect=" + std::to_string(version());
        if (machine *m = any())
            sim_request(&s, {m, method.c_str(), full.c_str(), body.c_str(), on_change_answer, this, 0});
    }
    // Ends all faults: heals links and disks, restarts machines, resets executors.
    void end_faults()
    {
        sim_heal(&s);
        for (int64_t i = 0; i < s.n; i++) {
            machine *m = s.machines[i];
            if (m->kind == M_KEEPER) {
                m->disk.sync_us = 500;
                m->disk.stall_until_us = 0;
            }
            bool spare = victim == keeper(4) ? m == replaced : m == keeper(4); // a keeper that was replaced stays down
            if (!m->up && m->kind != M_CALLER && !spare)
                sim_restart(m);
            if (m->kind == M_EXECUTOR && m->up) {
                m->core.executor.fail_pct = m->core.executor.stall_pct = 0;
                m->core.executor.slow_pct = 100;
                if (m->core.executor.other_cores)
                    sim_set_other_cores(m, 0);
                if (m->core.executor.leave_at_ms)
                    sim_restart(m);
            }
        }
    }
};

struct Fault {
    const char *name;
    bool (*inject)(FaultFleet &f);
};

extern const std::vector<Fault> kFaults;
