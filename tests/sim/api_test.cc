// The doors as callers and operators see them, in good and bad input; the
// breaker; and frames that are not ours.
#include "fleet.h"

namespace
{

struct Door : Fleet {
    explicit Door(uint64_t seed = 1) : Fleet(seed, 6, 5) { run(5000); }
    std::string error(const Answer &a) { return text(a, "problem"); }
};

TEST(Door, BadInputIsAnsweredWithOneKindAndThePath)
{
    Door f;
    std::string good = f.lookup("k");
    struct Case {
        const char *method;
        std::string path, body;
        int status;
        const char *error, *field;
    } cases[] = {
        {"POST", "/v1/jobs", "{", 400, "bad_json", nullptr},
        {"POST", "/v1/jobs", "{\"key\":\"a\",\"key\":\"b\"}", 400, "bad_json", nullptr},
        {"POST", "/v1/jobs", "{}", 400, "bad_field", "key"},
        {"POST", "/v1/jobs", f.lookup("k", "\"priority\":\"high\","), 400, "bad_field", "priority"},
        {"POST", "/v1/jobs", f.lookup("k", "\"color\":1,"), 400, "bad_field", "color"},
        {"POST", "/v1/jobs", f.lookup("k", "", std::string(10241, 'x')), 413, "too_large", "steps[0].tasks[0].payload"},
        {"GET", "/v1/jobs/3.77", "", 404, "no_such", nullptr},
        {"GET", "/v1/jobs/nonsense", "", 404, "no_such", nullptr},
        {"GET", "/v1/jobs/99.1", "", 404, "no_such", nullptr},
        {"PATCH", "/v1/jobs/3.77", "", 405, "bad_method", nullptr},
        {"PUT", "/v1/jobs", "", 405, "bad_method", nullptr},
        {"GET", "/v1/nothing", "", 404, "no_such", nullptr},
        {"GET", "/elsewhere", "", 404, "no_such", nullptr},
        {"GET", "/v1/settings/effective?path=nowhere", "", 400, "bad_field", nullptr},
        {"PUT", "/v1/settings?expect=7", "{}", 409, "stale_version", nullptr},
        {"PUT", "/v1/settings?expect=0", "[1]", 400, "bad_field", nullptr},
        {"PUT", "/v1/settings?expect=0", "{\"root\":7}", 400, "bad_field", "root"},
        {"PUT", "/v1/settings/branch?expect=0&path=root", "{\"attemptsMax\":0}", 400, "bad_field", "root:attemptsMax"},
        {"PUT", "/v1/calendar/x?expect=0", "{\"kind\":\"party\",\"atMs\":1}", 400, "bad_field", "kind"},
        {"PUT", "/v1/calendar/x?expect=0", "{\"kind\":\"run\",\"atMs\":1,\"json\":{\"service\":\"s\"}}", 400,
         "bad_field", "queue"},
        {"DELETE", "/v1/calendar/x?expect=0", "", 404, "no_such", nullptr},
        {"POST", "/v1/executors/report", "{\"name\":\"e\"}", 400, "bad_field", "cluster"},
    };
    for (const Case &c : cases) {
        Fleet::Answer a = f.request(f.any(), c.method, c.path, c.body);
        EXPECT_EQ(a.status, c.status) << c.method << " " << c.path << " " << a.body;
        EXPECT_EQ(f.error(a), c.error) << c.path << " " << a.body;
        if (c.field) {
            EXPECT_EQ(f.text(a, "path"), c.field) << c.path << " " << a.body;
        }
    }
    EXPECT_EQ(f.number(f.request(f.any(), "GET", "/v1/settings"), "version"), 0);
    EXPECT_EQ(f.request(f.any(), "POST", "/v1/jobs", good).status, 201);
    EXPECT_EQ(f.request(f.any(), "POST", "/v1/jobs", good).status, 200);
    EXPECT_EQ(f.breaches(), "");
}

TEST(Door, ListsAndViewsShowWhatIsThere)
{
    Door f;
    std::vector<std::string> ids;
    for (int i = 0; i < 60; i++)
        ids.push_back(f.text(f.persist("POST", "/v1/jobs", f.lookup("l" + std::to_string(i))), "id"));
    f.run(3000);
    std::vector<std::string> seen;
    std::string from = "0";
    while (!from.empty()) {
        json_t *j = f.json(f.request(f.any(), "GET", "/v1/jobs?from=" + from));
        size_t i;
        json_t *one;
        json_array_foreach(json_object_get(j, "jobs"), i, one)
            seen.push_back(json_string_value(json_object_get(one, "id")));
        const char *next = json_string_value(json_object_get(j, "next"));
        from = next ? next : "";
        json_decref(j);
    }
    std::sort(ids.begin(), ids.end());
    std::sort(seen.begin(), seen.end());
    EXPECT_EQ(seen, ids);
    Fleet::Answer why = f.request(f.any(), "GET", "/v1/jobs/" + ids[0] + "?why=0");
    EXPECT_EQ(f.text(why, "state"), "done");
    std::string later = std::to_string(sim_wall_ms(&f.s) + 60000);
    std::string id = f.text(f.persist("POST", "/v1/jobs", f.lookup("later", "\"startAtMs\":" + later + ",")), "id");
    EXPECT_NE(f.request(f.any(), "GET", "/v1/jobs/" + id + "?why=0").body.find("due in"), std::string::npos);
    EXPECT_NE(f.request(f.any(), "GET", "/v1/members").body.find("keeper"), std::string::npos);
    EXPECT_NE(f.request(f.any(), "GET", "/v1/duties").body.find("shard/23"), std::string::npos);
    EXPECT_NE(f.request(f.any(), "GET", "/v1/executors").body.find("\"state\":\"open\""), std::string::npos);
    EXPECT_NE(f.request(f.any(), "GET", "/v1/settings/effective?path=root/lookup").body.find("\"from\":\"default\""),
              std::string::npos);
    EXPECT_NE(f.request(f.at("keeper1"), "GET", "/v1/status").body.find("\"commit\""), std::string::npos);
}

TEST(Door, ReadinessFollowsTheGateAndCountersRise)
{
    Door f;
    machine *m = f.at("node1");
    EXPECT_EQ(f.request(m, "GET", "/v1/health").status, 200);
    EXPECT_EQ(f.request(m, "GET", "/v1/ready").status, 200);
    auto commits = [&] {
        int64_t all = 0;
        for (int i = 1; i <= 6; i++) {
            json_t *j = f.json(f.request(f.at("node" + std::to_string(i)), "GET", "/v1/counters"));
            all += json_integer_value(json_object_get(json_object_get(j, "counters"), "commits"));
            json_decref(j);
        }
        return all;
    };
    int64_t before = commits();
    for (int i = 0; i < 5; i++)
        f.persist("POST", "/v1/jobs", f.lookup("n" + std::to_string(i)));
    EXPECT_GE(commits(), before + 5);
    for (int i = 1; i <= 3; i++)
        sim_cut(&f.s, m, f.at("keeper" + std::to_string(i)), 0);
    f.run(2000);
    EXPECT_EQ(f.request(m, "GET", "/v1/ready").status, 503);
    EXPECT_EQ(f.request(m, "GET", "/v1/health").status, 200);
    sim_heal(&f.s);
    f.run(4000);
    EXPECT_EQ(f.request(m, "GET", "/v1/ready").status, 200);
    node_leave(&m->core.node);
    EXPECT_EQ(f.request(m, "GET", "/v1/ready").status, 503);
}

TEST(Door, ABreakerOpensOnSlowCommitsAndShutsAgain)
{
    Door f;
    for (int i = 1; i <= 3; i++)
        f.at("keeper" + std::to_string(i))->disk.sync_us = 80000;
    f.persist("PUT", "/v1/settings/branch?expect=0&path=root", "{\"breakerSlowMs\":100,\"breakerLeast\":2}", 30000);
    int open = 0, no = 0;
    for (int i = 0; i < 60 && !open; i++) {
        Fleet::Answer a = f.request(f.any(), "POST", "/v1/jobs", f.lookup("slow" + std::to_string(no++)));
        open += a.status == 429;
        f.run(100);
    }
    EXPECT_GT(open, 0);
    EXPECT_GT(f.s.event_counts[EV_BREAKER_OPEN], 0);
    for (int i = 1; i <= 3; i++)
        f.at("keeper" + std::to_string(i))->disk.sync_us = 500;
    f.run(8000);
    for (int i = 0; i < 30; i++)
        EXPECT_EQ(f.request(f.any(), "POST", "/v1/jobs", f.lookup("fast" + std::to_string(i))).status, 201);
    EXPECT_EQ(f.breaches(), "");
}

TEST(Door, FramesThatAreNotOursAreDroppedAndCounted)
{
    Door f;
    machine *targets[] = {f.at("node1"), f.at("keeper1")};
    for (machine *m : targets) {
        bytes out = {};
        ended e = {};
        e.job = 5;
        frame_build(&out, FRAME_ENDED, 12345, 99, &ended_schema, &e); // another cluster
        auto take = [&](const uint8_t *at, int64_t len) {
            m->kind == M_NODE ? node_on_frame(&m->core.node, at, len) : keeper_on_frame(&m->core.keeper, at, len);
        };
        auto count = [&] { return m->kind == M_NODE ? m->core.node.frames_dropped : m->core.keeper.frames_dropped; };
        int64_t before = count();
        take(out.at, out.len);
        EXPECT_EQ(count(), before + 1);
        bytes_free(&out);
        uint32_t cluster = m->kind == M_NODE ? m->core.node.cluster : m->core.keeper.cluster;
        frame_build(&out, FRAME_ENDED, cluster, 99, &ended_schema, &e);
        out.at[2] = 9; // another version
        take(out.at, out.len);
        out.at[2] = FRAME_VERSION;
        take(out.at, out.len - 1); // short
        take(out.at, 3);
        out.at[out.len - 1] ^= 1; // damaged
        take(out.at, out.len);
        EXPECT_EQ(count(), before + 5);
        bytes_free(&out);
    }
    f.run(1000);
    EXPECT_EQ(f.request(f.any(), "POST", "/v1/jobs", f.lookup("after")).status, 201);
    EXPECT_EQ(f.breaches(), "");
}

TEST(Door, LowerEpochsAreDeniedEverywhere)
{
    Door f;
    machine *e = f.at("executor1");
    std::string orders =
        "{\"cluster\":\"dackhuset\",\"epoch\":0,\"incarnation\":1,\"ticket\":1,\"home\":\"1.2.3.4:5\"}";
    EXPECT_GE(e->core.executor.state.epoch, 1);
    EXPECT_EQ(f.request(e, "POST", "/v1/orders", orders).status, 409);
    EXPECT_EQ(f.request(e, "POST", "/v1/orders", "{\"cluster\":\"other\",\"epoch\":9}").status, 400);
    machine *executor_owner = sim_executor_owner(&f.s, "executor1");
    executor_owner_start(&executor_owner->core.node, "executor1", 0);
    struct executor_owner *h = executor_owner_find(&executor_owner->core.node, "executor1");
    ASSERT_NE(h, nullptr);
    EXPECT_GE(h->epoch, 1);
    reserve_request r = {};
    task_ref ref = {7, 0, 1, 1, 1};
    r.shard = 2, r.shard_epoch = 1, r.executor_epoch = h->epoch, r.incarnation = h->incarnation;
    r.executor = h->name, r.tasks = &ref, r.n_tasks = 1;
    int64_t rows = h->n_rows;
    h->shard_epochs[2] = 5;
    executor_owner_on_reserve(&executor_owner->core.node, (int64_t)executor_owner->base.self, &r);
    EXPECT_EQ(h->n_rows, rows);
    r.shard_epoch = 5;
    executor_owner_on_reserve(&executor_owner->core.node, (int64_t)executor_owner->base.self, &r);
    EXPECT_EQ(h->n_rows, rows + 1);
}

} // namespace
