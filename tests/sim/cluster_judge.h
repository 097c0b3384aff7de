// The judge of the cluster simulator before executors without cores; orders come
// from the test, answers of the controllers too.
#pragma once
#include "fleet.h"

extern "C" {
#include "sim/cluster.h"
}

using Job = struct board_job;

// Executors without cores beside them; orders come from the test.
class Judge : public ::testing::Test
{
  public:
    struct cluster c = {};
    std::vector<standin *> x;

    void SetUp() override
    {
        cluster_start(&c, 7, 0, 0, 0);
        c.fake = silent;
        host *core = cluster_add(&c, HOST_CONTROLLER, 0, 0);
        core->with_disk = core->up = 1;
        for (int i = 0; i < 6; i++) {
            host *h = cluster_add(&c, HOST_AGENT, 0, i % 3);
            h->up = 1;
            x.push_back(h->standin);
            standin_boot(h->standin);
        }
        cluster_run(&c, 5000);
    }
    void TearDown() override { cluster_end(&c); }

    static int silent(struct cluster *, const char *, const char *, const char *, char **) { return 0; }

    Job *sent(enum job_schema schema)
    {
        Job *job = callers_job(&c, schema);
        job->fail_pct = 0;
        job->sent_us = c.now_us;
        job->tries = 1;
        job->accepted_us = c.now_us;
        return job;
    }
    static std::string head(standin *s) { return std::string("Life: ") + s->incarnation; }
    void begin(standin *s, Job *job, int64_t task, int64_t attempt, const char *text = nullptr,
               const char *checkpoint = "", int late = 0)
    {
        char *body = must_printf("{\"job\":%lld,\"task\":%lld,\"attempt\":%lld,\"text\":\"text of %llx\",\"saved\":"
                                 "\"%s\","
                                 "\"until\":%lld,\"epoch\":1}",
                                 (long long)job->id, (long long)task, (long long)attempt, (unsigned long long)job->id,
                                 checkpoint, (long long)standin_clock_ms(s) + 6000);
        if (text) {
            std::string other = body;
            size_t at = other.find("text of");
            other.replace(at, 7, text);
            free(body);
            body = must_dup(other.c_str());
        }
        standin_take(s, 0, "/begin", head(s).c_str(), body, late);
        free(body);
    }
    void stop(standin *s, Job *job, int64_t task, int64_t attempt)
    {
        char *body = must_printf("{\"job\":%lld,\"task\":%lld,\"attempt\":%lld,\"epoch\":1}", (long long)job->id,
                                 (long long)task, (long long)attempt);
        standin_take(s, 0, "/end", head(s).c_str(), body, 0);
        free(body);
    }
    void poll(standin *s, int64_t seen)
    {
        char *body = must_printf("{\"epoch\":1,\"seen\":%lld,\"until\":%lld,\"wait\":0}", (long long)seen,
                                 (long long)standin_clock_ms(s) + 6000);
        standin_take(s, 0, "/look", head(s).c_str(), body, 0);
        free(body);
    }
    // runs while all holds are renewed and nothing is noted
    void run(int64_t ms)
    {
        for (int64_t k = 0; k < ms; k += 1000) {
            for (standin *s : x)
                if (s->up)
                    poll(s, 0);
            cluster_run(&c, ms - k < 1000 ? ms - k : 1000);
        }
    }
    void run_task(standin *s, Job *job, int64_t task, int64_t attempt)
    {
        begin(s, job, task, attempt);
        for (int i = 0; i < 200 && standin_run(s, job->id, task); i++)
            run(100);
        poll(s, s->seq);
    }
    bool breach(const char *rule)
    {
        for (int64_t i = 0; i < c.n_breaches; i++)
            if (strstr(c.breaches[i], rule))
                return true;
        return false;
    }
    void clean() { EXPECT_EQ(c.n_breaches, 0) << (c.n_breaches ? c.breaches[0] : ""); }
    void finds(const char *rule)
    {
        ASSERT_TRUE(breach(rule)) << "not noticed: " << rule;
        EXPECT_EQ(c.n_breaches, 1) << c.breaches[c.n_breaches - 1];
    }
};
