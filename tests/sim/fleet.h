// A simulated fleet for scenarios. Each scenario runs with a list of seeds;
// SAGEHITCH_SEEDS=N or FIRST-LAST selects more.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "seeds.h"

extern "C" {
#include "base/error.h"
#include "base/events.h"
#include "sim/sim.h"
}

// Number of checks and of excuses by kind, summed over all scenarios of the process.
struct Excuses {
    int64_t judged = 0, counts[EXCUSE_COUNT] = {};
    static Excuses &all()
    {
        static Excuses one;
        return one;
    }
    void add(const oracle *o)
    {
        int64_t used = 0;
        for (int i = 0; i < EXCUSE_COUNT; i++) {
            counts[i] += oracle_excuse_count(o, (enum oracle_excuse)i);
            used += oracle_excuse_count(o, (enum oracle_excuse)i);
        }
        judged += oracle_n_checks(o);
        EXPECT_LE(used * 4, oracle_n_checks(o) + 40) << "this run lives on excuses";
    }
    ~Excuses()
    {
        printf("oracle: %lld judged; excused:", (long long)judged);
        for (int i = 0; i < EXCUSE_COUNT; i++)
            printf(" %s %lld", oracle_excuse_name((enum oracle_excuse)i), (long long)counts[i]);
        printf("\n");
    }
};

// Times until service was restored, by kind of fault; printed at the end of the process.
struct Returns {
    std::map<std::string, std::vector<int64_t>> took;
    static Returns &all()
    {
        static Returns one;
        return one;
    }
    ~Returns()
    {
        for (auto &[what, list] : took) {
            std::sort(list.begin(), list.end());
            printf("service back: %-40s runs %3zu median %5lld ms worst %5lld ms\n", what.c_str(), list.size(),
                   (long long)list[list.size() / 2], (long long)list.back());
        }
    }
};

// Invariant: the oracle's report is empty at the end of every scenario that
// plants no violation.
struct Fleet {
    sim s = {};
    explicit Fleet(uint64_t seed, int nodes = 15, int executors = 11, int cores = 16,
                   const char *deployment = "dackhuset", int keepers = 3)
    {
        struct sim_setup setup = {keepers, nodes, executors, cores, deployment};
        sim_start(&s, seed, &setup);
    }
    // Checks the final state after every scenario and counts its excuses.
    ~Fleet()
    {
        if (!planted) {
            sim_check_final_state(&s);
            EXPECT_EQ(breaches(), "") << "at the end of the day";
        }
        Excuses::all().add(s.oracle);
        sim_end(&s);
    }
    bool planted = false; // violates rules on purpose: the final state is not checked
    Fleet(const Fleet &) = delete;

    void run(int64_t ms) { sim_run(&s, ms); }
    machine *at(const std::string &name) { return sim_machine(&s, name.c_str()); }
    machine *any() { return sim_node(&s); }
    struct Answer {
        int status;
        std::string body;
    };
    Answer request(machine *to, const char *method, const std::string &path, const std::string &body = "")
    {
        char *text = nullptr;
        int status = sim_request_wait(&s, {to, method, path.c_str(), body.c_str(), nullptr, nullptr, 0}, 9000, &text);
        Answer answer = {status, text ? text : ""};
        free(text);
        return answer;
    }
    // Sends the request to random nodes until one answers other than 429 or 503, or limit_ms have passed.
    Answer persist(const char *method, const std::string &path, const std::string &body, int64_t limit_ms = 20000)
    {
        int64_t until = sim_ms(&s) + limit_ms;
        Answer answer = {0, ""};
        while (sim_ms(&s) < until) {
            answer = request(any(), method, path, body);
            if (answer.status && answer.status != 503 && answer.status != 429)
                break;
            run(200);
        }
        return answer;
    }
    json_t *json(const Answer &a) { return json_loads(a.body.c_str(), 0, nullptr); }
    int64_t number(const Answer &a, const char *name)
    {
        json_t *j = json(a);
        int64_t n = json_integer_value(json_object_get(j, name));
        json_decref(j);
        return n;
    }
    std::string text(const Answer &a, const char *name)
    {
        json_t *j = json(a);
        const char *t = json_string_value(json_object_get(j, name));
        std::string out = t ? t : "";
        json_decref(j);
        return out;
    }
    // Runs until a new job is accepted; returns the virtual time it took.
    int64_t until_served(const char *tag)
    {
        static int no;
        int64_t from = sim_ms(&s);
        std::string key = std::string(tag) + "-" + std::to_string(no++);
        persist("POST", "/v1/jobs", lookup(key), 60000);
        return sim_ms(&s) - from;
    }
    // Runs until service is restored: see sim_wait_for_service. More than 12 s is a violation.
    int64_t service_back(const char *what, int64_t limit_ms = 20000)
    {
        int64_t took = sim_wait_for_service(&s, what, limit_ms);
        Returns::all().took[what].push_back(took);
        return took;
    }
    std::string service() { return std::string(s.cluster) == "dackhuset" ? "lookup" : "orders"; }
    // tasks: the "tasks" of a step with n equal tasks. one_step: a job with one step, named a; more: further fields.
    static std::string tasks(int n, const std::string &payload, int cores = 1)
    {
        std::string list;
        for (int i = 0; i < n; i++)
            list += std::string(i ? "," : "") + "{\"kind\":\"std\",\"cores\":" + std::to_string(cores) +
                    ",\"payload\":\"" + payload + "\"}";
        return "\"tasks\":[" + list + "]";
    }
    static std::string one_step(const std::string &key, const std::string &service, const std::string &queue,
                                const std::string &step, const std::string &more = "")
    {
        return "{\"key\":\"" + key + "\",\"service\":\"" + service + "\",\"queue\":\"" + queue + "\"," + more +
               "\"steps\":[{\"name\":\"a\"," + step + "}]}";
    }
    std::string lookup(const std::string &key, const std::string &more = "", const std::string &payload = "ms=100")
    {
        return one_step(key, service(), "counter", tasks(1, payload), more);
    }
    // Sends a job to a random node and ignores the answer; the oracle records it.
    void post(const std::string &body)
    {
        if (machine *m = any())
            sim_request(&s, {m, "POST", "/v1/jobs", body.c_str(), [](sim *, void *, int64_t, int, const char *) {},
                             nullptr, 0});
    }
    std::string job_state(const std::string &id) { return text(persist("GET", "/v1/jobs/" + id, ""), "state"); }
    bool ended(const std::string &state) { return state == "done" || state == "failed" || state == "cancelled"; }
    // Runs until all jobs of the load have ended or limit_ms have passed; returns how many have not ended.
    int64_t settle(caller *load, int64_t limit_ms = 60000)
    {
        int64_t until = sim_ms(&s) + limit_ms;
        while (sim_ms(&s) < until && !(load->n_jobs >= load->cap - 2 && load->live == 0))
            run(200);
        return load->live;
    }
    std::string breaches() { return oracle_report(s.oracle); }
};
