// The platform's codec for executors: calls, their responses, and the responses to heartbeats.
#include "platform_test.h"

namespace
{

struct Call {
    executor_call call = {};
    ~Call() { schema_free(&executor_call_schema, &call); }
};
struct ParsedResponse {
    executor_response response = {};
    int error;
    ParsedResponse(int status, const std::string &body)
    {
        error = platform_executor.read(&response, status, body.data(), (int64_t)body.size());
    }
    ~ParsedResponse() { schema_free(&executor_response_schema, &response); }
    run_lists &lists() { return *executor_response_lists(&response); }
    int64_t refusal() const { return executor_response_refusal(&response); }
};

const int64_t top_job = (int64_t)0xfedcba9876543210u;

} // namespace

TEST(Executor, Start)
{
    Call made;
    char text[] = "say \"hi\"\n\\\x01 \u00e6", checkpoint[] = "mark-3", none[] = "";
    run_start start = {top_job, task_of(6, 2, 4097), 3, text, checkpoint};
    platform_executor.start(&made.call, "i-19ab", &start, 88000, 12);
    EXPECT_STREQ(made.call.method, "POST");
    EXPECT_STREQ(made.call.path, "/sagehitch/run-start");
    EXPECT_STREQ(made.call.header, "Expected-Executor: i-19ab");
    json_t *body = json_loads(made.call.body, 0, nullptr);
    ASSERT_NE(body, nullptr) << made.call.body;
    EXPECT_EQ(json_object_size(body), 6u);
    EXPECT_STREQ(json_string_value(json_object_get(body, "taskId")), "fedcba9876543210.6.2.4097");
    EXPECT_EQ(json_integer_value(json_object_get(body, "attempt")), 3);
    EXPECT_STREQ(json_string_value(json_object_get(body, "spec")), text);
    EXPECT_EQ(json_integer_value(json_object_get(body, "expiresMs")), 88000);
    EXPECT_EQ(json_integer_value(json_object_get(body, "fenceToken")), 12);
    EXPECT_STREQ(json_string_value(json_object_get(body, "checkpointed")), checkpoint);
    json_decref(body);
    Call bare;
    start = {5, task_of(0, 0, 0), 1, none, none};
    platform_executor.start(&bare.call, "i", &start, 0, 1);
    EXPECT_STREQ(bare.call.body, R"({"taskId":"0000000000000005.0.0.0","attempt":1,"spec":"","fenceToken":1})");
}

TEST(Executor, StopAndPoll)
{
    Call stop, poll, idle;
    run_ref run = {0x10, task_of(0, 1, 2), 4};
    platform_executor.stop(&stop.call, "i-2", &run, 9);
    EXPECT_STREQ(stop.call.path, "/sagehitch/run-stop");
    EXPECT_STREQ(stop.call.header, "Expected-Executor: i-2");
    EXPECT_STREQ(stop.call.body, R"({"taskId":"0000000000000010.0.1.2","attempt":4,"fenceToken":9})");
    platform_executor.poll(&poll.call, "i-2", 9, 57, 4000, 7000);
    EXPECT_STREQ(poll.call.path, "/sagehitch/hold");
    EXPECT_STREQ(poll.call.body, R"({"fenceToken":9,"lastSeen":57,"expiresMs":4000,"queueWaitMs":2000})");
    platform_executor.poll(&idle.call, "i-2", 9, 0, 0, 0);
    EXPECT_STREQ(idle.call.body, R"({"fenceToken":9,"lastSeen":0})");
}

TEST(Executor, Lists)
{
    ParsedResponse parsed(200,
                          R"({"clockMs":7001,)"
                          R"("active":[["fedcba9876543210.3.1.9",2,"m",41],["00000000000000aa.0.0.0",1,"",0]],)"
                          R"("finished":[[4,"00000000000000aa.0.0.1",1,"done",""],)"
                          R"([5,"00000000000000aa.0.0.2",1,"failed","x"],)"
                          R"([6,"00000000000000aa.0.0.3",1,"stopped",""],[7,"00000000000000aa.0.0.4",1,"lapsed",""],)"
                          R"([8,"00000000000000aa.0.0.5",1,"broken",""],[9,"00000000000000aa.0.0.6",1,"alone",""]]})");
    ASSERT_EQ(parsed.error, 0);
    EXPECT_EQ(parsed.response.clock_ms, 7001);
    EXPECT_EQ(parsed.response.kind, EXECUTOR_ACCEPTED);
    ASSERT_EQ(parsed.lists().n_active, 2);
    EXPECT_EQ(parsed.lists().active[0].job, top_job);
    EXPECT_EQ(parsed.lists().active[0].task, task_of(3, 1, 9));
    EXPECT_EQ(parsed.lists().active[0].attempt, 2);
    EXPECT_EQ(parsed.lists().active[0].percent, 41);
    EXPECT_STREQ(parsed.lists().active[0].checkpoint, "m");
    EXPECT_EQ(parsed.lists().active[1].checkpoint, nullptr);
    ASSERT_EQ(parsed.lists().n_ended, 6);
    const int64_t end_kinds[] = {END_DONE, END_FAILED, END_STOPPED, END_LAPSED, END_BROKEN, END_GANG_TIMEOUT};
    for (int i = 0; i < 6; i++) {
        EXPECT_EQ(parsed.lists().ended[i].how, end_kinds[i]);
        EXPECT_EQ(parsed.lists().ended[i].seq, 4 + i);
        EXPECT_EQ(parsed.lists().ended[i].task, task_of(0, 0, 1 + i));
    }
    EXPECT_STREQ(parsed.lists().ended[1].checkpoint, "x");
}

TEST(Executor, ItemsThatCannotBeRead)
{
    ParsedResponse parsed(200, R"({"clockMs":1,"active":[7,[],["xyz",1,"",0],["00000000000000aa.0.0",1,"",0],)"
                               R"(["00000000000000aa.0.0.1x",1,"",0],["00000000000000aa.0.256.1",1,"",0],)"
                               R"(["00000000000000aa.0.0.16777216",1,"",0],)"
                               R"(["00000000000000aa.99999999999999999999.0.1",1,"",0],)"
                               R"(["00000000000000aa.0.0.1",0,"",0],["00000000000000aa.0.0.1","1","",0],)"
                               R"(["00000000000000aa.0.0.2",1,null,"much"]],)"
                               R"("finished":[[0,"00000000000000aa.0.0.1",1,"done",""],)"
                               R"([1,"00000000000000aa.0.0.1",1,"odd","s"],)"
                               R"({},[2,"00000000000000aa.0.0.1",1,"done"]]})");
    ASSERT_EQ(parsed.error, 0);
    ASSERT_EQ(parsed.lists().n_active, 1);
    EXPECT_EQ(parsed.lists().active[0].task, task_of(0, 0, 2));
    EXPECT_EQ(parsed.lists().active[0].percent, 0);
    ASSERT_EQ(parsed.lists().n_ended, 1);
    EXPECT_EQ(parsed.lists().ended[0].seq, 2);
}

TEST(Executor, Refusals)
{
    const std::map<std::string, int> reasons = {{"fence", REFUSED_STALE_EPOCH},
                                                {"old", REFUSED_OUTDATED},
                                                {"late", REFUSED_LATE},
                                                {"room", REFUSED_NO_CAPACITY}};
    for (const auto &[name, refusal] : reasons) {
        ParsedResponse parsed(409, R"({"clockMs":31,"reason":")" + name + "\"}");
        EXPECT_EQ(parsed.error, 0);
        EXPECT_EQ(parsed.refusal(), refusal);
        EXPECT_EQ(parsed.response.clock_ms, 31);
    }
    EXPECT_NE(ParsedResponse(409, R"({"clockMs":31,"reason":"mood"})").error, 0);
    EXPECT_NE(ParsedResponse(409, "").error, 0);
    ParsedResponse other(421, "");
    EXPECT_EQ(other.error, 0);
    EXPECT_EQ(other.response.kind, EXECUTOR_OTHER_INCARNATION);
    EXPECT_EQ(other.response.clock_ms, -1);
    EXPECT_EQ(ParsedResponse(400, "no").refusal(), REFUSED_BAD_REQUEST);
    EXPECT_EQ(ParsedResponse(429, "").refusal(), REFUSED_UNAVAILABLE);
    ParsedResponse sick(503, R"({"clockMs":6})");
    EXPECT_EQ(sick.refusal(), REFUSED_UNAVAILABLE);
    EXPECT_EQ(sick.response.clock_ms, 6);
}

TEST(Executor, BodiesThatCannotBeRead)
{
    for (const char *body : {"", "{", "[]", R"({"clockMs":1,"active":7})", R"({"clockMs":1,"finished":{}})"}) {
        ParsedResponse parsed(200, body);
        EXPECT_NE(parsed.error, 0) << body;
        EXPECT_TRUE(parsed.response.kind == EXECUTOR_RESPONSE_NONE ||
                    parsed.lists().n_active + parsed.lists().n_ended == 0);
    }
    EXPECT_NE(ParsedResponse(500, "{}").error, 0);
    EXPECT_NE(ParsedResponse(307, "{}").error, 0);
}

TEST(Executor, HeartbeatResponses)
{
    char text[] = "a\"b", checkpoint[] = "m1";
    run_start first = {top_job, task_of(6, 2, 4097), 3, text, checkpoint};
    run_start second = {5, task_of(0, 0, 1), 1, nullptr, nullptr};
    const run_start *runs[] = {&first, &second};
    heartbeat_orders all = {7, 58, 4000, 50, runs, runs, 2, 2}, none = {7, 0, 0, 1000, nullptr, nullptr, 0, 0};
    char *body = platform_executor.heartbeat_response(&all);
    EXPECT_STREQ(body, R"({"fenceToken":7,"lastSeen":58,"hold_ms":4000,)"
                       R"("startTime":[["fedcba9876543210.6.2.4097",3,"a\u0022b","m1"],)"
                       R"(["0000000000000005.0.0.1",1,"",""]],)"
                       R"("stopTime":[["fedcba9876543210.6.2.4097",3],["0000000000000005.0.0.1",1]],)"
                       R"("retryAfterMs":50})");
    free(body);
    body = platform_executor.heartbeat_response(&none);
    EXPECT_STREQ(body, R"({"fenceToken":7,"lastSeen":0,"retryAfterMs":1000})");
    free(body);
}
