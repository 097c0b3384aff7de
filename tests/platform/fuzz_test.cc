// Valid bodies that are cut short or have flipped bits cause no crash, and whatever is accepted passes the same checks
// as undamaged input.
#include "platform_test.h"

#include <random>

namespace
{

enum { ROUNDS = 4000 };

std::string damaged(const std::string &whole, std::mt19937_64 &random)
{
    std::string text = whole;
    if (random() % 3 == 0)
        text.resize(random() % (text.size() + 1));
    for (uint64_t n = random() % 4; n && !text.empty(); n--)
        text[random() % text.size()] ^= (char)(1 << random() % 8);
    if (random() % 4 == 0 && !text.empty()) { // a piece is repeated, possibly elsewhere
        std::string piece = text.substr(random() % text.size(), random() % 40);
        text.insert(random() % text.size(), piece);
    }
    return text;
}

struct Tally {
    int accepted = 0, refused = 0;
};

template <class Make, class Check> Tally fuzz(const char *whole, uint64_t seed, Make make, Check check)
{
    std::mt19937_64 random(seed);
    Tally tally;
    for (int i = 0; i < ROUNDS; i++) {
        ParsedRequest parsed(make(damaged(whole, random)));
        if (parsed.error) {
            EXPECT_TRUE(parsed.empty()) << "round " << i;
            EXPECT_EQ(parsed.validation_error.error, parsed.error) << "round " << i;
            tally.refused++;
        } else {
            check(parsed, i);
            tally.accepted++;
        }
    }
    // if all input were refused, or all accepted, the damage would test nothing
    EXPECT_GT(tally.accepted, ROUNDS / 50);
    EXPECT_GT(tally.refused, ROUNDS / 50);
    return tally;
}

} // namespace

TEST(Fuzz, Jobs)
{
    fuzz(
        job_body, 11, [](const std::string &body) { return job_request(body); },
        [](const ParsedRequest &parsed, int i) {
            struct validation_error validation_error = {};
            EXPECT_EQ(job_spec_check(api_request_job(&parsed.request), &validation_error), 0) << "round " << i;
            EXPECT_NE(api_request_job(&parsed.request)->text, nullptr);
            EXPECT_EQ(parsed.request.kind, REQUEST_JOB);
        });
}

TEST(Fuzz, Configurations)
{
    fuzz(
        config_body, 12, [](const std::string &body) { return config_request(body); },
        [](const ParsedRequest &parsed, int i) {
            struct validation_error validation_error = {};
            EXPECT_EQ(config_check(&api_request_config(&parsed.request)->config, &validation_error), 0)
                << "round " << i;
            EXPECT_GT(api_request_config(&parsed.request)->config.raw.len, 0);
        });
}

TEST(Fuzz, Heartbeats)
{
    fuzz(
        heartbeat_body, 13, [](const std::string &body) { return heartbeat_request(body); },
        [](const ParsedRequest &parsed, int i) {
            const executor_state &state = parsed.heartbeat().state;
            EXPECT_TRUE(state.service && *state.service) << "round " << i;
            EXPECT_STREQ(state.incarnation, "i-19ab");
            for (int64_t v : {state.cpu_milli, state.memory_mb, state.gpus, state.departure_ms, state.warmup_ms})
                EXPECT_GE(v, 0) << "round " << i;
        });
}

TEST(Fuzz, Paths)
{
    std::mt19937_64 random(14);
    for (int i = 0; i < ROUNDS; i++) {
        static const char *const paths[] = {"/mill/q7/00c0ffee12345678", "/sagehitch/configuration",
                                            "/why/00000000000000ff",     "/sagehitch/executors/i-19ab",
                                            "/sagehitch/readiness",      "/mill/"};
        static const char *const methods[] = {"GET", "POST", "PUT", "DELETE"};
        std::string path = damaged(paths[random() % 6], random);
        path.resize(strlen(path.c_str()));
        Request request = {(entry)(random() % ENTRY_COUNT),
                           methods[random() % 4],
                           path,
                           job_body,
                           {{"Host", damaged("mill.example:80", random).c_str()},
                            {"If-Match", damaged("\"41\"", random).c_str()},
                            {"Deadline-Ms", damaged("2500", random).c_str()}}};
        ParsedRequest parsed(request);
        EXPECT_EQ(parsed.error != 0, parsed.empty()) << path;
        EXPECT_GE(parsed.request.wait_ms, 0);
    }
}

TEST(Fuzz, ExecutorResponses)
{
    const char *whole =
        R"({"clockMs":7001,"reason":"room",)"
        R"("active":[["fedcba9876543210.3.1.9",2,"m",41],["00000000000000aa.0.0.0",1,"",0]],)"
        R"("finished":[[4,"00000000000000aa.0.0.1",1,"done",""],[5,"00000000000000aa.0.0.2",1,"failed","x"]]})";
    std::mt19937_64 random(15);
    int listed = 0;
    for (int i = 0; i < ROUNDS; i++) {
        static const int statuses[] = {200, 200, 200, 409, 421, 400, 429, 503, 500};
        std::string body = damaged(whole, random);
        executor_response response = {};
        int error = platform_executor.read(&response, statuses[random() % 9], body.data(), (int64_t)body.size());
        run_lists none = {};
        const run_lists &lists = response.kind == EXECUTOR_ACCEPTED ? *executor_response_lists(&response) : none;
        if (error) {
            EXPECT_EQ(lists.n_active + lists.n_ended, 0) << "round " << i;
        }
        EXPECT_GE(response.clock_ms, -1);
        for (int64_t k = 0; k < lists.n_active; k++)
            EXPECT_GE(lists.active[k].attempt, 1);
        for (int64_t k = 0; k < lists.n_ended; k++)
            EXPECT_TRUE(lists.ended[k].seq > 0 && lists.ended[k].how >= END_DONE &&
                        lists.ended[k].how <= END_GANG_TIMEOUT);
        listed += lists.n_active + lists.n_ended > 0;
        schema_free(&executor_response_schema, &response);
    }
    EXPECT_GT(listed, ROUNDS / 50);
}

TEST(Fuzz, Settings)
{
    const char *whole = "nodeName: a\nrole: b\nzone: c\nregion: d\nzones: {c: d}\nipAddress: 10.0.0.1\n"
                        "internalPortRange: [7000, 7001]\nseedNodes: ['10.0.0.1:80']\ninitialStart: false\n"
                        "countsAsLoss: true\nlimits: {cpuShare: 0.5, memoryMb: 99, maxFileDescriptors: 9}\n"
                        "heartbeatIntervalMs: 1\nfaultTolerance: {machines: 1, zones: 0}\nbounds: {drainMs: 1, "
                        "gracePeriodS: 1, holdMaxMs: 9000, stopTimeoutMs: 4, gangTimeoutMs: 5, cancel_ms: 6, "
                        "early_ms: 7, status_s: 8, spreadFactor: 1.5, checkpointIntervalS: 2, restoreMs: 6}\n"
                        "commands: invocation\napp: 10.0.0.1:81\n";
    std::mt19937_64 random(16);
    int accepted = 0;
    for (int i = 0; i < ROUNDS; i++) {
        std::string text = damaged(whole, random);
        platform_settings settings = {};
        char *reason = nullptr;
        int error = settings_read_text(&settings, text.data(), (int64_t)text.size(), &reason);
        EXPECT_EQ(error != 0, reason != nullptr) << "round " << i;
        if (!error) {
            EXPECT_TRUE(settings.zone && settings.first_port >= 1 && settings.last_port >= settings.first_port);
            EXPECT_GE(settings.hold_max_ms, 0);
            accepted++;
        }
        free(reason);
        settings_free(&settings);
    }
    EXPECT_GT(accepted, ROUNDS / 50);
}
