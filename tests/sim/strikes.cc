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

// The keeper that is hit; when something else took it away already, it is back first.
machine *struck_keeper(Struck &f)
{
    if (!f.victim->up) {
        sim_restart(f.victim);
        f.run(300);
    }
    return f.victim->up ? f.victim : nullptr;
}

bool freeze(Struck &f, machine *m, int64_t least, int64_t more)
{
    for (int i = 0; m && m->frozen && i < 200; i++) // frozen again after it woke
        f.run(50);
    if (!m || !m->up || m->frozen)
        return false;
    sim_freeze(m, least + sim_pick(&f.s, more));
    return m->frozen;
}

// Cut off from everybody: 1 what it says, 2 what it hears, 3 both.
bool cut(Struck &f, machine *m, int ways)
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

machine *home_of_busy(Struck &f)
{
    for (int i = 0; i < 20; i++) {
        machine *e = f.busy(), *m = e ? sim_home(&f.s, e->name) : nullptr;
        if (m && m->up && !m->frozen)
            return m;
        f.run(100);
    }
    return nullptr;
}

void jobs(Struck &f, int n, const char *priority, int cores, int ms)
{
    for (int i = 0; i < n; i++)
        f.post(f.one_step("x" + std::to_string(f.tried++), f.service(), "counter",
                          f.tasks(1, "ms=" + std::to_string(ms), cores),
                          std::string("\"priority\":") + priority + ","));
}

bool shrink(Struck &f)
{
    machine *e = f.busy();
    if (e)
        sim_other(e, e->core.executor.state.cores - e->core.executor.state.cores / 4);
    return e != nullptr;
}

bool settings_race(Struck &f)
{
    for (int i = 0; i < 4; i++)
        f.change("PUT", "/v1/settings/branch?path=root" + std::string(i % 2 ? "/lookup" : "/stock"),
                 "{\"backoffMs\":" + std::to_string(300 + 10 * i) + "}");
    return true; // who won is judged at the end of the run
}

bool drain(Struck &f)
{
    machine *e = f.busy();
    if (!e)
        return false;
    std::string now = std::to_string(sim_wall_ms(&f.s) + 500), until = std::to_string(sim_wall_ms(&f.s) + 9000);
    f.change("PUT", "/v1/calendar/move-" + std::to_string(f.tried++),
             "{\"kind\":\"drain\",\"executor\":\"" + std::string(e->name) + "\",\"atMs\":" + now +
                 ",\"untilMs\":" + until + "}");
    return true;
}

bool cancels(Struck &f)
{
    machine *leader = sim_knows(&f.s, GROUP_JOBS);
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

const std::vector<Strike> kStrikes = {
    {"owner killed", [](Struck &f) { return kill(f.owner(), 0); }},
    {"home killed", [](Struck &f) { return kill(home_of_busy(f), 0); }},
    {"node frozen", [](Struck &f) { return freeze(f, sim_pick(&f.s, 2) ? f.owner() : home_of_busy(f), 800, 7000); }},
    {"node asked to stop",
     [](Struck &f) {
         machine *m = f.owner();
         if (m)
             node_leave(&m->core.node);
         return m != nullptr;
     }},
    {"node cut off", [](Struck &f) { return cut(f, f.owner(), 3); }},
    {"node cut one way",
     [](Struck &f) { return cut(f, sim_pick(&f.s, 2) ? f.owner() : home_of_busy(f), 1 + (int)sim_pick(&f.s, 2)); }},
    {"keeper killed", [](Struck &f) { return kill(struck_keeper(f), 0); }},
    {"keeper without power",
     [](Struck &f) {
         bool was = kill(struck_keeper(f), 1);
         f.run(sim_pick(&f.s, 300));
         sim_restart(f.victim);
         return was;
     }},
    {"keeper frozen", [](Struck &f) { return freeze(f, struck_keeper(f), 800, 6000); }},
    {"keeper's disk lost",
     [](Struck &f) {
         bool was = kill(struck_keeper(f), 1);
         sim_wipe(f.victim);
         f.run(sim_pick(&f.s, 500));
         sim_restart(f.victim);
         return was;
     }},
    {"keeper replaced",
     [](Struck &f) {
         bool was = kill(struck_keeper(f), 0);
         sim_boot(f.keeper(4));
         f.gone = f.victim != f.keeper(4) ? f.victim : f.gone;
         f.victim = f.keeper(4); // what comes next hits the one that took its place
         return was && f.keeper(4)->up;
     }},
    {"disk slow",
     [](Struck &f) {
         machine *m = struck_keeper(f);
         f.victim->disk.sync_us = 400000;
         return m != nullptr;
     }},
    {"disk stalled",
     [](Struck &f) {
         machine *m = struck_keeper(f);
         f.victim->disk.stall_until_us = f.s.now_us + 1000 * (1000 + sim_pick(&f.s, 8000));
         return m != nullptr;
     }},
    {"keepers split",
     [](Struck &f) {
         machine *m = struck_keeper(f);
         for (int i = 1; i <= 4; i++)
             if (f.keeper(i) != f.victim)
                 sim_cut(&f.s, f.victim, f.keeper(i), 0);
         return m != nullptr;
     }},
    {"clocks jump",
     [](Struck &f) {
         for (int i = 0; i < 6; i++)
             f.s.machines[sim_pick(&f.s, 19)]->skew_ms =
                 (sim_pick(&f.s, 2) ? 1 : -1) * (int64_t)(1000 + sim_pick(&f.s, 3600000));
         return true;
     }},
    {"executor crashed",
     [](Struck &f) {
         machine *e = f.busy();
         bool was = kill(e, 0);
         f.run(sim_pick(&f.s, 800));
         if (was)
             sim_restart(e);
         return was;
     }},
    {"executor vanished", [](Struck &f) { return kill(f.busy(), 1); }},
    {"executor frozen", [](Struck &f) { return freeze(f, f.busy(), 800, 9000); }},
    {"executor cut off", [](Struck &f) { return cut(f, f.busy(), 1 + (int)sim_pick(&f.s, 3)); }},
    {"executor leaving",
     [](Struck &f) {
         machine *e = f.busy();
         if (e)
             executor_leave(&e->core.executor, 3000);
         return e != nullptr;
     }},
    {"executor fails work",
     [](Struck &f) {
         machine *e = f.busy();
         if (e)
             e->core.executor.fail_pct = 80;
         return e != nullptr;
     }},
    {"executor slow",
     [](Struck &f) {
         machine *e = f.busy();
         if (e)
             e->core.executor.slow_pct = 1000;
         return e != nullptr;
     }},
    {"room shrinks", shrink},
    {"crowd",
     [](Struck &f) {
         jobs(f, 150, "100", 2, 200);
         jobs(f, 10, "1", 6, 400);
         return true;
     }},
    {"never doable",
     [](Struck &f) {
         f.post(f.one_step("n" + std::to_string(f.tried++), f.service(), "counter", f.tasks(1, "ms=1", 4000)));
         return true;
     }},
    {"settings race", settings_race},
    {"planned drain", drain},
    {"jobs cancelled", cancels},
};
