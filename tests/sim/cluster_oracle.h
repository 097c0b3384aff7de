// Fixture for tests of the cluster simulator's oracle: executors without cores. The test sends their orders and
// provides the responses of the controllers.
#pragma once
#include "fleet.h"

extern "C" {
#include "sim/cluster.h"
}

using Job = struct tracked_job;

class ClusterOracle : public ::testing::Test
{
  public:
    struct cluster c = {};
    std::vector<standin *> executors;

    void SetUp() override
    {
        cluster_start(&c, 7, 0, 0, 0);
        c.fake = no_response;
        host *controller = cluster_add(&c, HOST_CONTROLLER, 0, 0);
        controller->with_disk = controller->up = 1;
        for (int i = 0; i < 6; i++) {
            host *h = cluster_add(&c, HOST_AGENT, 0, i % 3);
            h->up = 1;
            executors.push_back(h->standin);
            standin_boot(h->standin);
        }
        cluster_run(&c, 5000);
    }
    void TearDown() override { cluster_free(&c); }

    static int no_response(struct cluster *, const char *, const char *, const char *, char **) { return 0; }

    Job *accepted_job(enum job_shape shape)
    {
        Job *job = callers_new_job(&c, shape);
        job->fail_pct = 0;
        job->sent_us = c.now_us;
        job->tries = 1;
        job->accepted_us = c.now_us;
        return job;
    }
    static std::string incarnation_header(standin *executor) { return std::string("Life: ") + executor->incarnation; }
    void start_task(standin *executor, Job *job, int64_t task, int64_t attempt, const char *text = nullptr,
                    const char *checkpoint = "", int late = 0)
    {
        char *body = must_printf("{\"job\":%lld,\"task\":%lld,\"attempt\":%lld,\"text\":\"text of %llx\",\"saved\":"
                                 "\"%s\","
                                 "\"until\":%lld,\"epoch\":1}",
                                 (long long)job->id, (long long)task, (long long)attempt, (unsigned long long)job->id,
                                 checkpoint, (long long)standin_clock_ms(executor) + 6000);
        if (text) {
            std::string other = body;
            size_t at = other.find("text of");
            other.replace(at, 7, text);
            free(body);
            body = must_dup(other.c_str());
        }
        standin_on_request(executor, 0, "/begin", incarnation_header(executor).c_str(), body, late);
        free(body);
    }
    void stop_task(standin *executor, Job *job, int64_t task, int64_t attempt)
    {
        char *body = must_printf("{\"job\":%lld,\"task\":%lld,\"attempt\":%lld,\"epoch\":1}", (long long)job->id,
                                 (long long)task, (long long)attempt);
        standin_on_request(executor, 0, "/end", incarnation_header(executor).c_str(), body, 0);
        free(body);
    }
    void poll(standin *executor, int64_t seen)
    {
        char *body = must_printf("{\"epoch\":1,\"seen\":%lld,\"until\":%lld,\"wait\":0}", (long long)seen,
                                 (long long)standin_clock_ms(executor) + 6000);
        standin_on_request(executor, 0, "/look", incarnation_header(executor).c_str(), body, 0);
        free(body);
    }
    // Runs for ms while the leases are renewed and no end is acknowledged.
    void run(int64_t ms)
    {
        for (int64_t k = 0; k < ms; k += 1000) {
            for (standin *executor : executors)
                if (executor->up)
                    poll(executor, 0);
            cluster_run(&c, ms - k < 1000 ? ms - k : 1000);
        }
    }
    void run_to_end(standin *executor, Job *job, int64_t task, int64_t attempt)
    {
        start_task(executor, job, task, attempt);
        for (int i = 0; i < 200 && standin_run(executor, job->id, task); i++)
            run(100);
        poll(executor, executor->seq);
    }
    bool has_violation(const char *rule)
    {
        for (int64_t i = 0; i < c.n_violations; i++)
            if (strstr(c.violations[i], rule))
                return true;
        return false;
    }
    void expect_no_violations() { EXPECT_EQ(c.n_violations, 0) << (c.n_violations ? c.violations[0] : ""); }
    void expect_violation(const char *rule)
    {
        ASSERT_TRUE(has_violation(rule)) << "no violation of rule " << rule;
        EXPECT_EQ(c.n_violations, 1) << c.violations[c.n_violations - 1];
    }
};
