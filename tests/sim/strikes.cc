#include "strikes.h"

namespace
{

bool kill(machine *m, int power)
{
    bool was = m && m->up;
    if (was)
        sim_kill(m, power);
    return was;
}

// The keeper that faults hit, restarted first if an earlier fault stopped it; null if it can't start.
machine *running_victim(FaultFleet &f)
{
    if (!f.victim->up) {
        sim_restart(f.victim);
        f.run(300);
    }
    return f.victim->up ? f.victim : nullptr;
}

bool freeze(FaultFleet &f, machine *m, int64_t least_ms, int64_t extra_max_ms)
{
    for (int i = 0; m && m->frozen && i < 200; i++) // already frozen: waits until it resumes
        f.run(50);
    if (!m || !m->up || m->frozen)
        return false;
    sim_freeze(m, least_ms + sim_pick(&f.s, extra_max_ms));
    return m->frozen;
}

// Cuts a machine off from all others; ways: 1 outgoing, 2 incoming, 3 both.
bool cut(FaultFleet &f, machine *m, int ways)
{
    for (int64_t i = 0; m && i < f.s.n; i++) {
        if (f.s.machines[i] == m || f.s.machines[i]->kind == M_CALLER)
            continue;
        if (ways & 1)
            f.s.cut[m->index][i] = 1;
        if (ways & 2)
            f.s.cut[i][m->index] = 1;
    }
    return m && m->up;
}

machine *owner_of_busy_executor(FaultFleet &f)
{
    for (int i = 0; i < 20; i++) {
        machine *e = f.busy_executor(), *m = e ? sim_executor_owner(&f.s, e->name) : nullptr;
        if (m && m->up && !m->frozen)
            return m;
        f.run(100);
    }
    return nullptr;
}

void jobs(FaultFleet &f, int n, const char *priority, int cores, int ms)
{
    for (int i = 0; i < n; i++)
        f.post(f.one_step("x" + std::to_string(f.n_sent++), f.service(), "counter",
                          f.tasks(1, "ms=" + std::to_string(ms), cores),
                          std::string("\"priority\":") + priority + ","));
}

bool take_cores(FaultFleet &f)
{
    machine *e = f.busy_executor();
    if (e)
        sim_set_other_cores(e, e->core.executor.state.cores - e->core.executor.state.cores / 4);
    return e != nullptr;
}

bool settings_race(FaultFleet &f)
{
    for (int i = 0; i < 4; i++)
        f.send_change("PUT", "/v1/settings/branch?path=root" + std::string(i % 2 ? "/lookup" : "/stock"),
                      "{\"backoffMs\":" + std::to_string(300 + 10 * i) + "}");
    return true; // the oracle checks which changes are accepted
}

bool drain(FaultFleet &f)
{
    machine *e = f.busy_executor();
    if (!e)
        return false;
    std::string now = std::to_string(sim_wall_ms(&f.s) + 500), until = std::to_string(sim_wall_ms(&f.s) + 9000);
    f.send_change("PUT", "/v1/calendar/move-" + std::to_string(f.n_sent++),
                  "{\"kind\":\"drain\",\"executor\":\"" + std::string(e->name) + "\",\"atMs\":" + now +
                      ",\"untilMs\":" + until + "}");
    return true;
}

bool cancel_jobs(FaultFleet &f)
{
    machine *leader = sim_most_advanced_keeper(&f.s, GROUP_JOBS);
    int n = 0;
    for (int64_t shard = 0; leader && shard < SHARD_COUNT; shard++) {
        int64_t id = 0;
        const job *j = rows_next_job(&leader->core.keeper.shards[shard], &id);
        for (; j && n < 6; j = rows_next_job(&leader->core.keeper.shards[shard], &id)) {
            char text[32];
            if (job_ended(j))
                continue;
            job_id_text(j->id, text);
            if (machine *m = f.any())
                sim_request(&f.s, {m, "DELETE", (std::string("/v1/jobs/") + text).c_str(), "",
                                   [](sim *, void *, int64_t, int, const char *) {}, nullptr, 0});
            n++;
        }
    }
    return n > 0;
}

} // namespace

const std::vector<Fault> kFaults = {
    {"owner killed", [](FaultFleet &f) { return kill(f.owner(), 0); }},
    {"home killed", [](FaultFleet &f) { return kill(owner_of_busy_executor(f), 0); }},
    {"node frozen",
     [](FaultFleet &f) { return freeze(f, sim_pick(&f.s, 2) ? f.owner() : owner_of_busy_executor(f), 800, 7000); }},
    {"node asked to stop",
     [](FaultFleet &f) {
         machine *m = f.owner();
         if (m)
             node_leave(&m->core.node);
         return m != nullptr;
     }},
    {"node cut off", [](FaultFleet &f) { return cut(f, f.owner(), 3); }},
    {"node cut one way",
     [](FaultFleet &f) {
         return cut(f, sim_pick(&f.s, 2) ? f.owner() : owner_of_busy_executor(f), 1 + (int)sim_pick(&f.s, 2));
     }},
    {"keeper killed", [](FaultFleet &f) { return kill(running_victim(f), 0); }},
    {"keeper without power",
     [](FaultFleet &f) {
         bool was = kill(running_victim(f), 1);
         f.run(sim_pick(&f.s, 300));
         sim_restart(f.victim);
         return was;
     }},
    {"keeper frozen", [](FaultFleet &f) { return freeze(f, running_victim(f), 800, 6000); }},
    {"keeper's disk lost",
     [](FaultFleet &f) {
         bool was = kill(running_victim(f), 1);
         sim_wipe(f.victim);
         f.run(sim_pick(&f.s, 500));
         sim_restart(f.victim);
         return was;
     }},
    {"keeper replaced",
     [](FaultFleet &f) {
         bool was = kill(running_victim(f), 0);
         sim_boot(f.keeper(4));
         f.replaced = f.victim != f.keeper(4) ? f.victim : f.replaced;
         f.victim = f.keeper(4); // later faults hit its replacement
         return was && f.keeper(4)->up;
     }},
    {"disk slow",
     [](FaultFleet &f) {
         machine *m = running_victim(f);
         f.victim->disk.sync_us = 400000;
         return m != nullptr;
     }},
    {"disk stalled",
     [](FaultFleet &f) {
         machine *m = running_victim(f);
         f.victim->disk.stall_until_us = f.s.now_us + 1000 * (1000 + sim_pick(&f.s, 8000));
         return m != nullptr;
     }},
    {"keepers split",
     [](FaultFleet &f) {
         machine *m = running_victim(f);
         for (int i = 1; i <= 4; i++)
             if (f.keeper(i) != f.victim)
                 sim_cut(&f.s, f.victim, f.keeper(i), 0);
         return m != nullptr;
     }},
    {"clocks jump",
     [](FaultFleet &f) {
         for (int i = 0; i < 6; i++)
             f.s.machines[sim_pick(&f.s, 19)]->skew_ms =
                 (sim_pick(&f.s, 2) ? 1 : -1) * (int64_t)(1000 + sim_pick(&f.s, 3600000));
         return true;
     }},
    {"executor crashed",
     [](FaultFleet &f) {
         machine *e = f.busy_executor();
         bool was = kill(e, 0);
         f.run(sim_pick(&f.s, 800));
         if (was)
             sim_restart(e);
         return was;
     }},
    {"executor vanished", [](FaultFleet &f) { return kill(f.busy_executor(), 1); }},
    {"executor frozen", [](FaultFleet &f) { return freeze(f, f.busy_executor(), 800, 9000); }},
    {"executor cut off", [](FaultFleet &f) { return cut(f, f.busy_executor(), 1 + (int)sim_pick(&f.s, 3)); }},
    {"executor leaving",
     [](FaultFleet &f) {
         machine *e = f.busy_executor();
         if (e)
             executor_leave(&e->core.executor, 3000);
         return e != nullptr;
     }},
    {"executor fails work",
     [](FaultFleet &f) {
         machine *e = f.busy_executor();
         if (e)
             e->core.executor.fail_pct = 80;
         return e != nullptr;
     }},
    {"executor slow",
     [](FaultFleet &f) {
         machine *e = f.busy_executor();
         if (e)
             e->core.executor.slow_pct = 1000;
         return e != nullptr;
     }},
    {"room shrinks", take_cores},
    {"crowd",
     [](FaultFleet &f) {
         jobs(f, 150, "100", 2, 200);
         jobs(f, 10, "1", 6, 400);
         return true;
     }},
    {"never doable",
     [](FaultFleet &f) {
         f.post(f.one_step("n" + std::to_string(f.n_sent++), f.service(), "counter", f.tasks(1, "ms=1", 4000)));
         return true;
     }},
    {"settings race", settings_race},
    {"planned drain", drain},
    {"jobs cancelled", cancel_jobs},
};
