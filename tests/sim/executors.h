// A fleet with helpers to pick executors, change settings and send jobs.
#pragma once
#include "fleet.h"

struct Executors : Fleet {
    explicit Executors(uint64_t seed) : Fleet(seed) { run(5000); }
    machine *executor(int64_t i) { return at("executor" + std::to_string(i)); }
    machine *some() { return executor(1 + sim_pick(&s, 11)); }
    void settings(const std::string &path, const std::string &json)
    {
        int64_t version = number(persist("GET", "/v1/settings", ""), "version");
        Answer a = persist("PUT", "/v1/settings/branch?expect=" + std::to_string(version) + "&path=" + path, json);
        ASSERT_EQ(a.status, 200) << a.body;
        run(600);
    }
    std::string send(const std::string &key, const std::string &payload, const std::string &more = "")
    {
        return text(persist("POST", "/v1/jobs", lookup(key, more, payload)), "id");
    }
};
