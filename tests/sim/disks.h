// A small fleet with spare keepers, and checks of its voters and jobs.
#pragma once
#include "fleet.h"

struct Disks : Fleet {
    explicit Disks(uint64_t seed) : Fleet(seed, 6, 5, 16, "dackhuset", 6)
    {
        for (int i = 4; i <= 6; i++)
            sim_kill(keeper(i), 0), sim_wipe(keeper(i));
        run(5000);
    }
    machine *keeper(int i) { return at("keeper" + std::to_string(i)); }
    int voters(int64_t group)
    {
        machine *leader = sim_leader(&s, group);
        int n = 0;
        for (int64_t i = 0; leader && i < leader->core.keeper.logs[group].members.n; i++)
            n += log_votes_after_change(&leader->core.keeper.logs[group].members.members[i]);
        return n;
    }
    bool votes(machine *m, int64_t group)
    {
        machine *leader = sim_leader(&s, group);
        return leader && m->up && log_is_voter(&leader->core.keeper.logs[group], m->core.keeper.id);
    }
    // Whether it votes by a committed membership change. Until the change is committed the vote has not moved, and
    // three voters don't tolerate a second loss beside the one under repair, since the first disk may come back
    // (DiskThatWasTakenForGoneIsBack).
    bool voted(machine *m, int64_t group)
    {
        machine *leader = sim_leader(&s, group);
        const struct log *log = leader ? &leader->core.keeper.logs[group] : nullptr;
        return log && votes(m, group) && log->commit >= log->members_index;
    }
    // Accepts n jobs and returns their ids.
    std::vector<std::string> accept(int n, const std::string &tag)
    {
        std::vector<std::string> ids;
        for (int i = 0; i < n; i++) {
            Answer a = persist("POST", "/v1/jobs", lookup(tag + std::to_string(i)), 30000);
            EXPECT_TRUE(a.status == 201 || a.status == 200) << a.status << a.body;
            ids.push_back(text(a, "id"));
        }
        return ids;
    }
    void all_known(const std::vector<std::string> &ids)
    {
        for (const std::string &id : ids) {
            Answer a = persist("GET", "/v1/jobs/" + id, "", 20000);
            EXPECT_EQ(a.status, 200) << id << " " << a.body;
        }
    }
};
