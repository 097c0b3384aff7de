// The platform's api: heartbeats of executors as they are read.
#include "platform_test.h"

TEST(PlatformApi, Heartbeats)
{
    ParsedRequest parsed(heartbeat_request(heartbeat_body));
    ASSERT_EQ(parsed.error, 0) << parsed.validation_error.path;
    const executor_heartbeat &heartbeat = parsed.heartbeat();
    EXPECT_EQ(parsed.request.kind, REQUEST_HEARTBEAT);
    EXPECT_EQ(heartbeat.kind, HEARTBEAT_ALIVE);
    EXPECT_EQ(heartbeat.seq, 12);
    EXPECT_STREQ(heartbeat.address, "10.9.8.7:8080");
    EXPECT_STREQ(heartbeat.state.incarnation, "i-19ab");
    EXPECT_STREQ(heartbeat.state.service, "s-mill");
    EXPECT_STREQ(heartbeat.state.zone, "north");
    EXPECT_STREQ(heartbeat.state.rack, "r4-2");
    ASSERT_EQ(heartbeat.state.n_labels, 2);
    EXPECT_STREQ(heartbeat.state.labels[0], "b");
    EXPECT_EQ(heartbeat.state.cpu_milli, 8000);
    EXPECT_EQ(heartbeat.state.memory_mb, 16384);
    EXPECT_EQ(heartbeat.state.gpus, 2);
    EXPECT_EQ(heartbeat.state.draining, 1);
    EXPECT_EQ(heartbeat.state.departure_ms, 1751);
    EXPECT_EQ(heartbeat.state.warmup_ms, 300);
    std::string body = heartbeat_body;
    EXPECT_EQ(ParsedRequest(heartbeat_request(replaced_text(body, "1750.5", "-3"))).heartbeat().state.departure_ms, 1);
    EXPECT_EQ(ParsedRequest(heartbeat_request(replaced_text(body, "\"departureMs\":1750.5,", "")))
                  .heartbeat()
                  .state.departure_ms,
              0);
    EXPECT_EQ(ParsedRequest(heartbeat_request(replaced_text(body, "draining", "available"))).heartbeat().state.draining,
              0);
    EXPECT_EQ(heartbeat.account.clock_ms, 99);
    EXPECT_EQ(heartbeat.account.lists.n_active + heartbeat.account.lists.n_ended, 0);
    ParsedRequest full(
        heartbeat_request(replaced_text(body, "\"clockMs\":99",
                                        R"("clockMs":482113,)"
                                        R"("active":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41]],)"
                                        R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]])")));
    EXPECT_EQ(full.heartbeat().account.clock_ms, 482113);
    const run_lists &account = full.heartbeat().account.lists;
    ASSERT_EQ(account.n_active, 1);
    EXPECT_EQ(account.active[0].task, task_of(0, 1, 17));
    EXPECT_EQ(account.active[0].percent, 41);
    ASSERT_EQ(account.n_ended, 1);
    EXPECT_EQ(account.ended[0].seq, 58);
    EXPECT_EQ(account.ended[0].how, END_DONE);
    ParsedRequest left({ENTRY_OPERATORS, "DELETE", "/sagehitch/executors/i-19ab", "", {}});
    EXPECT_EQ(left.heartbeat().kind, HEARTBEAT_LEAVING);
    EXPECT_STREQ(left.heartbeat().state.incarnation, "i-19ab");
}

// Guards against executors that are never known because their id is long, or written with escapes in the path.
TEST(PlatformApi, ExecutorIdsOfEveryLengthAndEncoding)
{
    const std::string path = "/sagehitch/executors/";
    for (int len : {1, 71, 72, 200, 201, 253, (int)EXECUTOR_ID_MAX}) {
        std::string id((size_t)len, 'i');
        for (const char *method : {"PUT", "DELETE"}) {
            ParsedRequest heartbeat({ENTRY_OPERATORS, method, path + id, heartbeat_body, {}});
            ASSERT_EQ(heartbeat.error, 0) << method << " " << len;
            EXPECT_EQ(heartbeat.heartbeat().state.incarnation, id);
        }
    }
    const std::pair<std::string, std::string> encoded[] = {{"i%2d19ab", "i-19ab"},
                                                           {"%69-19ab", "i-19ab"},
                                                           {"hall%2Fside%3A1", "hall/side:1"},
                                                           {"a%25b", "a%b"},
                                                           {"a%3Fb", "a?b"}};
    for (const auto &[segment, id] : encoded) {
        ParsedRequest heartbeat({ENTRY_OPERATORS, "DELETE", path + segment, "", {}});
        ASSERT_EQ(heartbeat.error, 0) << segment;
        EXPECT_EQ(heartbeat.heartbeat().state.incarnation, id);
    }
    std::string all_encoded;
    for (int i = 0; i < EXECUTOR_ID_MAX; i++)
        all_encoded += "%69";
    ParsedRequest longest({ENTRY_OPERATORS, "DELETE", path + all_encoded, "", {}});
    ASSERT_EQ(longest.error, 0) << "the limit counts what is decoded";
    EXPECT_EQ(longest.heartbeat().state.incarnation, std::string(EXECUTOR_ID_MAX, 'i'));
}

TEST(PlatformApi, BadHeartbeats)
{
    std::string body = heartbeat_body;
    expect_refused(heartbeat_request(body.substr(0, 40)), ERROR_BAD_JSON, "");
    expect_refused(heartbeat_request(replaced_text(body, "\"service\":\"s-mill\",", "")), ERROR_BAD_FIELD, "service");
    expect_refused(heartbeat_request(replaced_text(body, "draining", "asleep")), ERROR_BAD_FIELD, "state");
    expect_refused(heartbeat_request(replaced_text(body, "\"r4-2\"", "4")), ERROR_BAD_FIELD, "labels");
    expect_refused(heartbeat_request(replaced_text(body, "8000", "-1")), ERROR_BAD_FIELD, "freeCapacity.vcpus");
    expect_refused(heartbeat_request(replaced_text(body, "\"callSequence\":12", "\"callSequence\":[]")),
                   ERROR_BAD_FIELD, "callSequence");
    expect_refused({ENTRY_OPERATORS, "PUT", "/sagehitch/executors/", body, {}}, ERROR_NOT_FOUND, "path");
    expect_refused({ENTRY_OPERATORS, "PUT", "/sagehitch/executors/a/b", body, {}}, ERROR_NOT_FOUND, "path");
    expect_refused({ENTRY_OPERATORS, "PUT", "/sagehitch/executors/a\r\nb", body, {}}, ERROR_BAD_FIELD, "path");
    for (const char *escapes : {"a%", "a%2", "a%2x", "a%x2", "a%00", "a%0d%0ab", "a%20b", "a%7F", "a%e2%82%ac"})
        expect_refused({ENTRY_OPERATORS, "PUT", std::string("/sagehitch/executors/") + escapes, body, {}},
                       ERROR_BAD_FIELD, "path");
    expect_refused({ENTRY_OPERATORS, "PUT", "/sagehitch/executors/" + std::string(EXECUTOR_ID_MAX + 1, 'i'), body, {}},
                   ERROR_BAD_FIELD, "path");
    expect_refused({ENTRY_OPERATORS, "GET", "/sagehitch/executors/a", body, {}}, ERROR_BAD_METHOD, "method");
}
