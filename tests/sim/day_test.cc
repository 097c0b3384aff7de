// A whole bad day: every kind of fault, in any order, under every kind of work,
// ended by a last fault. What must never happen does not, and at its end every
// accepted job is in a true state.
#include "fleet.h"

namespace
{

struct Day : Fleet {
    explicit Day(uint64_t seed) : Fleet(seed) { run(6000); }
    std::vector<std::string> accepted;
    int no = 0;

    machine *keeper(int64_t i) { return at("keeper" + std::to_string(i)); }
    machine *executor(int64_t i) { return at("executor" + std::to_string(i)); }
    // At most one keeper may be away at a time: that is what we must survive.
    bool keepers_whole()
    {
        for (int i = 1; i <= 3; i++)
            if (!keeper(i)->up || keeper(i)->frozen || keeper(i)->disk.stall_until_us > s.now_us ||
                keeper(i)->disk.full)
                return false;
        for (int64_t i = 0; i < s.n; i++)
            for (int64_t k = 0; k < s.n; k++)
                if (s.cut[i][k])
                    return false;
        return caught_up();
    }
    bool caught_up()
    {
        for (int64_t g = 0; g < GROUP_COUNT; g++) {
            machine *leader = sim_leader(&s, g);
            if (!leader)
                return false;
            if (leader->core.keeper.logs[g].members.n != 3) // being replaced: still the same one loss
                return false;
            for (int i = 1; i <= 3; i++)
                if (!log_is_voter(&leader->core.keeper.logs[g], keeper(i)->core.keeper.id) ||
                    keeper(i)->core.keeper.logs[g].commit + 20 < leader->core.keeper.logs[g].commit)
                    return false;
        }
        return true;
    }
    static void note(sim *, void *arg, int64_t, int status, const char *body)
    {
        json_t *j = json_loads(body, 0, nullptr);
        const char *id = json_string_value(json_object_get(j, "id"));
        if ((status == 200 || status == 201) && id)
            ((Day *)arg)->accepted.push_back(id);
        json_decref(j);
    }
    static void gone(sim *f, void *, int64_t job, int status, const char *)
    {
        if (status == 200)
            oracle_cancelled(f->oracle, job);
    }
    void work()
    {
        machine *to = any();
        if (!to)
            return;
        int64_t pick = sim_pick(&s, 10);
        std::string key = "d" + std::to_string(no++);
        if (pick < 4) {
            sim_request(&s, {to, "POST", "/v1/jobs", lookup(key, "", pick ? "ms=150" : "ms=200 fail=60").c_str(), note,
                             this, 0});
        } else if (pick < 6) {
            std::string body = "{\"key\":\"" + key +
                               "\",\"service\":\"stock\",\"queue\":\"q\",\"steps\":[{\"name\":\"a\",\"gang\":true," +
                               "\"rack\":\"" + (pick == 4 ? "one" : "any") + "\"," + tasks(3, "ms=900", 3) +
                               "},{\"name\":\"b\",\"after\":[\"a\"],\"perExecutor\":1," + tasks(4, "ms=300") + "}]}";
            sim_request(&s, {to, "POST", "/v1/jobs", body.c_str(), note, this, 0});
        } else if (pick == 6) {
            std::string when = std::to_string(sim_wall_ms(&s) + sim_pick(&s, 4000));
            sim_request(&s,
                        {to, "POST", "/v1/jobs", lookup(key, "\"startAtMs\":" + when + ",").c_str(), note, this, 0});
        } else if (pick == 7 && !accepted.empty()) {
            const std::string &id = accepted[(size_t)sim_pick(&s, (int64_t)accepted.size())];
            sim_request(&s, {to, "DELETE", ("/v1/jobs/" + id).c_str(), "", gone, this, job_id_parse(id.c_str())});
        } else if (pick == 8) {
            int64_t version = to->core.node.config_tree.version;
            std::string body = "{\"attemptsMax\":" + std::to_string(1 + sim_pick(&s, 3)) + "}";
            // only tightening and loosening of what the oracle does not count against past starts
            std::string path = "/v1/settings/branch?expect=" + std::to_string(version) + "&path=root/prices";
            sim_request(&s, {to, "PUT", path.c_str(), body.c_str(), [](sim *, void *, int64_t, int, const char *) {},
                             nullptr, 0});
        } else {
            std::string same = lookup(key, "", "ms=100");
            sim_request(&s, {to, "POST", "/v1/jobs", same.c_str(), note, this, 0});
            if (machine *other = any())
                sim_request(&s, {other, "POST", "/v1/jobs", same.c_str(), note, this, 0});
        }
    }
    void fault()
    {
        machine *node = at("node" + std::to_string(1 + sim_pick(&s, 15)));
        machine *e = executor(1 + sim_pick(&s, 11));
        machine *k = keeper(1 + sim_pick(&s, 3));
        bool may_hit_keeper = keepers_whole();
        switch (sim_pick(&s, 14)) {
        case 0: node->up ? sim_kill(node, 0) : sim_restart(node); break;
        case 1:
            if (node->up && !node->frozen)
                sim_freeze(node, 500 + sim_pick(&s, 8000));
            break;
        case 2: e->up ? sim_kill(e, 0) : sim_restart(e); break;
        case 3:
            if (e->up && !e->frozen)
                sim_freeze(e, 500 + sim_pick(&s, 8000));
            break;
        case 4:
            if (e->up)
                executor_leave(&e->core.executor, 3000);
            break;
        case 5:
            if (e->up)
                e->core.executor.fail_pct = sim_pick(&s, 2) * 70;
            break;
        case 6:
            if (e->up)
                e->core.executor.slow_pct = 100 + sim_pick(&s, 2) * 900;
            break;
        case 7:
            if (may_hit_keeper)
                sim_kill(k, (int)sim_pick(&s, 2));
            break;
        case 8:
            if (may_hit_keeper)
                sim_freeze(k, 500 + sim_pick(&s, 6000));
            break;
        case 9:
            if (may_hit_keeper)
                k->disk.stall_until_us = s.now_us + 1000 * (500 + sim_pick(&s, 6000));
            break;
        case 10: (sim_pick(&s, 2) ? node : k)->skew_ms = sim_pick(&s, 7200000) - 3600000; break;
        case 11:
            if (may_hit_keeper)
                sim_cut_off(&s, sim_pick(&s, 3) ? node : k);
            break;
        case 12:
            if (may_hit_keeper)
                sim_cut(&s, e, sim_executor_owner(&s, e->name) ? sim_executor_owner(&s, e->name) : node,
                        (int)sim_pick(&s, 2));
            break;
        case 13:
            if (may_hit_keeper) {
                sim_kill(k, 1);
                sim_wipe(k);
            }
            break;
        }
    }
    void mend()
    {
        sim_heal(&s);
        for (int64_t i = 0; i < s.n; i++)
            if (!s.machines[i]->up && (s.machines[i]->kind != M_NODE || sim_pick(&s, 2)))
                sim_restart(s.machines[i]);
        for (int i = 1; i <= 11; i++) { // who left comes back as another incarnation
            machine *e = executor(i);
            if (e->up && e->core.executor.leave_at_ms && !e->core.executor.n_work)
                sim_restart(e);
        }
    }
};

TEST(Day, EverythingAtOnceAndALastFault)
{
    for (uint64_t seed : seeds(4)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Day f(seed);
        for (int round = 0; round < 30; round++) {
            for (int i = 0; i < 6; i++) {
                f.work();
                f.run(60 + sim_pick(&f.s, 400));
            }
            f.fault();
            if (round % 4 == 3)
                f.mend();
        }
        f.fault();
        f.run(3000);
        f.mend();
        for (int64_t i = 0; i < f.s.n; i++)
            if (!f.s.machines[i]->up)
                sim_restart(f.s.machines[i]);
        f.run(10000);
        EXPECT_LE(f.service_back("evening"), 12000);
        f.run(40000);
        std::sort(f.accepted.begin(), f.accepted.end());
        f.accepted.erase(std::unique(f.accepted.begin(), f.accepted.end()), f.accepted.end());
        EXPECT_GT(f.accepted.size(), 40u);
        for (const std::string &id : f.accepted) {
            std::string state = f.job_state(id);
            EXPECT_TRUE(f.ended(state)) << id << " " << state << " "
                                        << f.persist("GET", "/v1/jobs/" + id, "").body.substr(0, 600);
            oracle_job_state_seen(f.s.oracle, job_id_parse(id.c_str()), state.c_str());
        }
        EXPECT_EQ(f.breaches(), "");
    }
}

} // namespace
