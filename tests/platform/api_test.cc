// What the door makes of jobs, questions, configurations and beats, and what it answers.
#include "platform_test.h"

#include <functional>

namespace
{

std::string with(std::string text, const std::string &from, const std::string &to)
{
    auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

std::string stages(const std::string &step) { return R"({"spec":"a","stages":[)" + step + "]}"; }

void refused(const Request &request, int error, const std::string &path)
{
    Read read(request);
    EXPECT_EQ(read.error, error) << request.body.substr(0, 200);
    EXPECT_EQ(read.validation_error.error, error);
    EXPECT_EQ(read.validation_error.path, path) << request.body.substr(0, 200);
    EXPECT_TRUE(read.empty());
}

struct Answer {
    int status = 0;
    std::string body;
    explicit Answer(const api_response &answer)
    {
        char *text = nullptr;
        platform_api.write(&answer, &status, &text);
        body = text;
        free(text);
    }
};

} // namespace

TEST(Door, Job)
{
    Read read(job_request(job_body));
    ASSERT_EQ(read.error, 0) << read.validation_error.path << ": " << read.validation_error.expected;
    const api_request &request = read.request;
    EXPECT_EQ(request.kind, REQUEST_JOB);
    EXPECT_STREQ(request.host, "mill.example");
    EXPECT_STREQ(request.path, "/mill/q7/00c0ffee12345678");
    EXPECT_EQ(request.wait_ms, 2500);
    const job_spec &spec = *api_request_job(&request);
    EXPECT_EQ(spec.id, 0x00c0ffee12345678);
    EXPECT_STREQ(spec.text, "grind \"it\" \u00e6");
    EXPECT_EQ(spec.repeats, 4);
    EXPECT_EQ(spec.start_ms, 1790000000000);
    EXPECT_EQ(spec.interval_ms, 1500);
    ASSERT_EQ(spec.n_steps, 3);
    const step_spec *steps = spec.steps;
    EXPECT_EQ(steps[0].task_count, 3);
    EXPECT_EQ(steps[0].cpu_milli, 750);
    EXPECT_EQ(steps[0].memory_mb, 96);
    EXPECT_EQ(steps[0].gpus, 1);
    EXPECT_EQ(steps[0].estimate_ms, 1201);
    EXPECT_STREQ(steps[0].rack, "r2-9");
    EXPECT_STREQ(steps[0].label, "fast");
    EXPECT_EQ(steps[0].per_executor, 2);
    EXPECT_EQ(
        steps[0].n_depends_on + steps[0].gang + steps[0].checkpoints + steps[0].duplicates + steps[0].long_running, 0);
    EXPECT_TRUE(steps[1].checkpoints && steps[1].gang && steps[1].same_rack);
    EXPECT_EQ(steps[1].memory_mb, 0);
    EXPECT_EQ(steps[1].label, nullptr);
    EXPECT_EQ(steps[1].rack, nullptr);
    ASSERT_EQ(steps[2].n_depends_on, 2);
    EXPECT_EQ(steps[2].depends_on[1], 1);
    EXPECT_TRUE(steps[2].duplicates && steps[2].long_running);
}

TEST(Door, JobNames)
{
    std::string body = stages(R"({"taskCount":1})");
    Read top(job_request(body, "/p/FEDCBA9876543210?x=/1"));
    EXPECT_EQ(top.error, 0);
    EXPECT_EQ((uint64_t)api_request_job(&top.request)->id, 0xfedcba9876543210u);
    EXPECT_STREQ(top.request.path, "/p/FEDCBA9876543210");
    for (const char *path : {"/p/fedcba987654321", "/p/fedcba98765432100", "/p/fedcba987654321g", "/p/", "", "x"}) {
        refused(job_request(body, path), ERROR_BAD_FIELD, "path");
        if (strcmp(path, "/p/"))
            refused({ENTRY_CALLERS, "GET", path, "", {}}, ERROR_GONE, "path");
        refused({ENTRY_CALLERS, "DELETE", path, "", {}}, ERROR_GONE, "path");
    }
    refused({ENTRY_CALLERS, "PUT", "/p/fedcba9876543210", body, {}}, ERROR_BAD_METHOD, "method");
}

TEST(Door, BadJobs)
{
    std::string body = job_body;
    std::string twice = R"({"spec":"a","spec":"b","stages":[{"taskCount":1}]})";
    for (const std::string &text :
         {body.substr(0, body.size() - 1), std::string(), std::string("[]"), std::string("null"), body + "x", twice})
        refused(job_request(text), ERROR_BAD_JSON, "");
    refused(job_request(with(body, "\"grind", "7,\"y\":\"")), ERROR_BAD_FIELD, "spec");
    refused(job_request(R"({"spec":"a"})"), ERROR_BAD_FIELD, "stages");
    refused(job_request(R"({"spec":"a","stages":{}})"), ERROR_BAD_FIELD, "stages");
    refused(job_request(stages("7")), ERROR_BAD_FIELD, "stages[0].");
    refused(job_request(with(body, "\"vcpus\":750", "\"vcpus\":\"750\"")), ERROR_BAD_FIELD, "stages[0].vcpus");
    refused(job_request(with(body, "\"vcpus\":750", "\"vcpus\":-1")), ERROR_BAD_FIELD, "stages[0].vcpus");
    refused(job_request(with(body, "\"vcpus\":750", "\"vcpus\":7.5")), ERROR_BAD_FIELD, "stages[0].vcpus");
    refused(job_request(with(body, "\"gpus\":1", "\"gpus\":9223372036854775807")), ERROR_BAD_FIELD, "stages[0].gpus");
    refused(job_request(with(body, "\"gpus\":1", "\"gpus\":9223372036854775808")), ERROR_BAD_JSON, "");
    refused(job_request(with(body, "1200.5", "1e300")), ERROR_BAD_FIELD, "stages[0].estimatedRuntimeMs");
    refused(job_request(with(body, "\"checkpoints\":true", "\"checkpoints\":1")), ERROR_BAD_FIELD,
            "stages[1].checkpoints");
    refused(job_request(with(body, "[0,1]", "[0,\"1\"]")), ERROR_BAD_FIELD, "stages[2].dependsOn");
    refused(job_request(with(body, "[0,1]", "0")), ERROR_BAD_FIELD, "stages[2].dependsOn");
    refused(job_request(with(body, "[0,1]", "[64]")), ERROR_BAD_STEPS, "stages[2].dependsOn");
    refused(job_request(with(body, "\"requirements\":\"fast\"", "\"requirements\":[\"a\",\"b\"]")), ERROR_BAD_FIELD,
            "stages[0].requirements");
    refused(job_request(with(body, "\"repeatCount\":4", "\"repeatCount\":true")), ERROR_BAD_FIELD, "repeatCount");
    refused(job_request(with(body, "1790000000000", "-1")), ERROR_BAD_FIELD, "startTimeMs");
}

TEST(Door, JobBounds)
{
    std::string step = R"({"taskCount":1})", many = step;
    for (int i = 1; i < STEPS_MAX; i++)
        many += "," + step;
    EXPECT_EQ(Read(job_request(stages(many))).error, 0);
    refused(job_request(stages(many + "," + step)), ERROR_TOO_LARGE, "stages");
    auto text = [&](int len) { return R"({"stages":[{"taskCount":1}],"spec":")" + std::string(len, 'a') + "\"}"; };
    EXPECT_EQ(Read(job_request(text(SPEC_MAX))).error, 0);
    refused(job_request(text(SPEC_MAX + 1)), ERROR_TOO_LARGE, "spec");
    // what job_spec_check() says, whatever its words: refused, nothing left
    for (const char *bad : {R"({"taskCount":0})", R"({})", R"({"taskCount":1000000})",
                            R"({"taskCount":1,"dependsOn":[0]})", R"({"taskCount":1,"dependsOn":[5]})"}) {
        Read read(job_request(stages(bad)));
        EXPECT_NE(read.error, 0) << bad;
        EXPECT_TRUE(read.empty());
    }
    EXPECT_NE(Read(job_request(R"({"spec":"a","stages":[]})")).error, 0);
}

TEST(Door, JobFieldsThatMayBeAbsent)
{
    Read read(job_request(R"({"stages":[{"taskCount":1,"requirements":["big"],"affinity":"","gpus":null},)"
                          R"({"taskCount":1,"requirements":[]}]})"));
    ASSERT_EQ(read.error, 0) << read.validation_error.path;
    EXPECT_STREQ(api_request_job(&read.request)->text, "");
    EXPECT_STREQ(api_request_job(&read.request)->steps[0].label, "big");
    EXPECT_EQ(api_request_job(&read.request)->steps[0].rack, nullptr);
    EXPECT_EQ(api_request_job(&read.request)->steps[1].label, nullptr);
    EXPECT_EQ(api_request_job(&read.request)->repeats, 0);
}

TEST(Door, Questions)
{
    Read state({ENTRY_CALLERS, "GET", "/p/8000000000000001", "", {{"Host", "H"}, {"Deadline-Ms", "x"}}});
    EXPECT_EQ(state.request.kind, REQUEST_STATE);
    EXPECT_EQ((uint64_t)api_request_job_id(&state.request), 0x8000000000000001u);
    EXPECT_STREQ(state.request.host, "h");
    EXPECT_EQ(state.request.wait_ms, 0);
    Read cancel({ENTRY_CALLERS, "DELETE", "/p/0000000000000002", "", {}});
    EXPECT_EQ(cancel.request.kind, REQUEST_CANCEL);
    EXPECT_EQ(api_request_job_id(&cancel.request), 2);
    EXPECT_STREQ(cancel.request.host, "");
    Read count({ENTRY_CALLERS, "GET", "/p/q/?a", "", {}});
    EXPECT_EQ(count.request.kind, REQUEST_COUNT_WAITING);
    EXPECT_STREQ(count.request.path, "/p/q/");
    Read ready({ENTRY_READINESS, "GET", "/sagehitch/readiness", "", {}});
    EXPECT_EQ(ready.request.kind, REQUEST_READY);
    refused({ENTRY_READINESS, "GET", "/", "", {}}, ERROR_NOT_FOUND, "path");
    refused({ENTRY_READINESS, "POST", "/sagehitch/readiness", "", {}}, ERROR_BAD_METHOD, "method");
    Read why({ENTRY_OPERATORS, "GET", "/why/00000000000000ff", "", {}});
    EXPECT_EQ(why.request.kind, REQUEST_WHY);
    EXPECT_EQ(api_request_job_id(&why.request), 255);
    refused({ENTRY_OPERATORS, "GET", "/why/ff", "", {}}, ERROR_GONE, "path");
    refused({ENTRY_OPERATORS, "GET", "/other", "", {}}, ERROR_NOT_FOUND, "path");
    refused({ENTRY_OPERATORS, "POST", "/sagehitch/configuration", "", {}}, ERROR_BAD_METHOD, "method");
    EXPECT_EQ(Read({ENTRY_OPERATORS, "GET", "/sagehitch/configuration", "", {}}).request.kind, REQUEST_CONFIG_GET);
}

TEST(Door, Configuration)
{
    Read read(config_request(config_body));
    ASSERT_EQ(read.error, 0) << read.validation_error.path << ": " << read.validation_error.expected;
    const config &c = api_request_config(&read.request)->config;
    EXPECT_EQ(read.request.kind, REQUEST_CONFIG_PUT);
    EXPECT_EQ(api_request_config(&read.request)->base, 41);
    EXPECT_EQ(c.version, 45);
    EXPECT_EQ(std::string((const char *)c.raw.at, (size_t)c.raw.len), config_body);
    ASSERT_EQ(c.n_queues, 2);
    EXPECT_STREQ(c.queues[0].name, "q-a");
    EXPECT_STREQ(c.queues[0].host, "mill.example");
    EXPECT_STREQ(c.queues[0].prefix, "/mill/q7/");
    EXPECT_STREQ(c.queues[0].service, "s-mill");
    EXPECT_EQ(c.queues[0].timeout_ms, 2200);
    EXPECT_EQ(c.queues[0].target_ms, 150);
    EXPECT_EQ(c.queues[0].priority, 1);
    EXPECT_EQ(c.queues[0].attempts_max, 3);
    EXPECT_EQ(c.queues[0].stretch_pct, 225);
    ASSERT_EQ(c.n_services, 2);
    EXPECT_STREQ(c.services[0].health_path, "/up");
    EXPECT_TRUE(c.services[0].checks_capacity);
    EXPECT_FALSE(c.services[1].checks_capacity);
    EXPECT_EQ(Read(config_request(config_body, " \"0\" ")).error, 0);
}

// 4 MiB are read, whether they are one long value that nobody knows or as many routes as go in.
TEST(Door, ConfigurationsOfFourMiB)
{
    const size_t size = 4u << 20;
    std::string body = config_body;
    std::string wide = with(body, "\"extra\":[]", "\"extra\":\"" + std::string(size - body.size(), 'x') + "\"");
    ASSERT_GE(wide.size(), size);
    Read one(config_request(wide));
    ASSERT_EQ(one.error, 0) << one.validation_error.path;
    EXPECT_EQ(api_request_config(&one.request)->config.raw.len, (int64_t)wide.size());
    EXPECT_EQ(api_request_config(&one.request)->config.n_queues, 2);
    std::string routes;
    int64_t n = 0;
    for (; routes.size() < size; n++) {
        std::string no = std::to_string(n);
        routes += "{\"name\":\"q" + no + "\",\"host\":\"h" + no + ".example\",\"pathPrefix\":\"/p" + no +
                  "/\",\"routeType\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":1,"
                  "\"service\":\"s-mill\",\"maxAttempts\":4,\"extension\":2.2,\"filler\":\"................\"},";
    }
    Read many(config_request(with(body, "{\"name\":\"q-a\"", routes + "{\"name\":\"q-a\"")));
    ASSERT_EQ(many.error, 0) << many.validation_error.path;
    EXPECT_EQ(api_request_config(&many.request)->config.n_queues, n + 2);
    refused(config_request(wide.substr(0, size / 2)), ERROR_BAD_JSON, "");
}

TEST(Door, BadConfigurations)
{
    std::string body = config_body;
    Request bare = config_request(body);
    bare.headers.clear();
    refused(bare, ERROR_BAD_FIELD, "If-Match");
    for (const char *base : {"", "x", "-1", "4x", "\"4", "1e3", "99999999999999999999", "9223372036854775807",
                             "9223372036854775808", "18446744073709551657"})
        refused(config_request(body, base), ERROR_BAD_FIELD, "If-Match");
    refused(config_request(with(body, "45", "9223372036854775808")), ERROR_BAD_JSON, "");
    refused(config_request(with(body, "45", "9223372036854775807")), ERROR_BAD_FIELD, "revision");
    refused(config_request(body.substr(0, body.size() - 2)), ERROR_BAD_JSON, "");
    refused(config_request(with(body, "45", "0")), ERROR_BAD_FIELD, "revision");
    refused(config_request(with(body, "45", "\"45\"")), ERROR_BAD_FIELD, "revision");
    refused(config_request(with(body, "2200", "0")), ERROR_BAD_FIELD, "routes[0].timeoutMs");
    refused(config_request(with(body, "\"timeoutMs\":900,", "")), ERROR_BAD_FIELD, "routes[1].timeoutMs");
    refused(config_request(with(body, "2.25", "\"2\"")), ERROR_BAD_FIELD, "routes[0].extension");
    refused(config_request(with(body, "\"host\":\"mill.example\",", "")), ERROR_BAD_FIELD, "routes[1].host");
    refused(config_request(with(body, "\"routes\"", "\"rotes\"")), ERROR_BAD_FIELD, "routes");
    refused(config_request(with(body, "\"services\"", "\"serves\"")), ERROR_BAD_FIELD, "services");
    // of config_check(): unknown service; two of one host (in any case) and prefix
    for (const std::string &text :
         {with(body, "\"service\":\"s-kiln\"", "\"service\":\"s-none\""), with(body, "\"/mill/\"", "\"/mill/q7/\"")}) {
        Read read(config_request(text));
        EXPECT_EQ(read.error, ERROR_BAD_FIELD);
        EXPECT_TRUE(read.empty());
    }
}

TEST(Door, Beats)
{
    Read read(beat_request(beat_body));
    ASSERT_EQ(read.error, 0) << read.validation_error.path;
    const executor_heartbeat &beat = read.beat();
    EXPECT_EQ(read.request.kind, REQUEST_HEARTBEAT);
    EXPECT_EQ(beat.kind, HEARTBEAT_ALIVE);
    EXPECT_EQ(beat.seq, 12);
    EXPECT_STREQ(beat.address, "10.9.8.7:8080");
    EXPECT_STREQ(beat.state.incarnation, "i-19ab");
    EXPECT_STREQ(beat.state.service, "s-mill");
    EXPECT_STREQ(beat.state.zone, "north");
    EXPECT_STREQ(beat.state.rack, "r4-2");
    ASSERT_EQ(beat.state.n_labels, 2);
    EXPECT_STREQ(beat.state.labels[0], "b");
    EXPECT_EQ(beat.state.cpu_milli, 8000);
    EXPECT_EQ(beat.state.memory_mb, 16384);
    EXPECT_EQ(beat.state.gpus, 2);
    EXPECT_EQ(beat.state.draining, 1);
    EXPECT_EQ(beat.state.departure_ms, 1751);
    EXPECT_EQ(beat.state.warmup_ms, 300);
    std::string body = beat_body;
    EXPECT_EQ(Read(beat_request(with(body, "1750.5", "-3"))).beat().state.departure_ms, 1);
    EXPECT_EQ(Read(beat_request(with(body, "\"departureMs\":1750.5,", ""))).beat().state.departure_ms, 0);
    EXPECT_EQ(Read(beat_request(with(body, "draining", "available"))).beat().state.draining, 0);
    EXPECT_EQ(beat.account.clock_ms, 99);
    EXPECT_EQ(beat.account.lists.n_active + beat.account.lists.n_ended, 0);
    Read full(beat_request(with(body, "\"clockMs\":99",
                                R"("clockMs":482113,)"
                                R"("active":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41]],)"
                                R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]])")));
    EXPECT_EQ(full.beat().account.clock_ms, 482113);
    const run_lists &account = full.beat().account.lists;
    ASSERT_EQ(account.n_active, 1);
    EXPECT_EQ(account.active[0].task, task_of(0, 1, 17));
    EXPECT_EQ(account.active[0].percent, 41);
    ASSERT_EQ(account.n_ended, 1);
    EXPECT_EQ(account.ended[0].seq, 58);
    EXPECT_EQ(account.ended[0].how, END_DONE);
    Read left({ENTRY_OPERATORS, "DELETE", "/sagehitch/executors/i-19ab", "", {}});
    EXPECT_EQ(left.beat().kind, HEARTBEAT_LEAVING);
    EXPECT_STREQ(left.beat().state.incarnation, "i-19ab");
}

TEST(Door, BadBeats)
{
    std::string body = beat_body;
    refused(beat_request(body.substr(0, 40)), ERROR_BAD_JSON, "");
    refused(beat_request(with(body, "\"service\":\"s-mill\",", "")), ERROR_BAD_FIELD, "service");
    refused(beat_request(with(body, "draining", "asleep")), ERROR_BAD_FIELD, "state");
    refused(beat_request(with(body, "\"r4-2\"", "4")), ERROR_BAD_FIELD, "labels");
    refused(beat_request(with(body, "8000", "-1")), ERROR_BAD_FIELD, "freeCapacity.vcpus");
    refused(beat_request(with(body, "\"callSequence\":12", "\"callSequence\":[]")), ERROR_BAD_FIELD, "callSequence");
    refused({ENTRY_OPERATORS, "PUT", "/sagehitch/executors/", body, {}}, ERROR_NOT_FOUND, "path");
    refused({ENTRY_OPERATORS, "PUT", "/sagehitch/executors/a/b", body, {}}, ERROR_NOT_FOUND, "path");
    refused({ENTRY_OPERATORS, "PUT", "/sagehitch/executors/a\r\nb", body, {}}, ERROR_BAD_FIELD, "path");
    refused({ENTRY_OPERATORS, "GET", "/sagehitch/executors/a", body, {}}, ERROR_BAD_METHOD, "method");
}

TEST(Door, Answers)
{
    const char *states[] = {"pending", "in_progress", "completed", "failed", "canceled"};
    for (int i = 0; i < 5; i++)
        EXPECT_EQ(Answer(api_response_make_state(i)).body, std::string("{\"state\":\"") + states[i] + "\"}");
    EXPECT_EQ(Answer(api_response_make_count(31)).body, R"({"pending":31})");
    bytes text = {};
    bytes_add(&text, config_body, (int64_t)strlen(config_body));
    api_response config = api_response_make_config(0, &text);
    EXPECT_EQ(Answer(config).body, config_body);
    EXPECT_EQ(Answer(config).status, 200);
    bytes_free(&text);
    for (int kind : {REQUEST_JOB, REQUEST_CANCEL, REQUEST_CONFIG_PUT, REQUEST_READY, REQUEST_HEARTBEAT}) {
        EXPECT_EQ(Answer(api_response_done(kind)).status, 200);
        EXPECT_EQ(Answer(api_response_done(kind)).body, "{}");
    }
    EXPECT_EQ(Answer(api_response_error(REQUEST_READY, ERROR_NOT_FOUND, 0, nullptr)).status, 503);
}

TEST(Door, AnswersToProblems)
{
    const std::map<int, int> statuses = {
        {ERROR_NOT_FOUND, 404},  {ERROR_GONE, 410},       {ERROR_STALE, 412},     {ERROR_UNAVAILABLE, 503},
        {ERROR_NOT_LEADER, 503}, {ERROR_NO_OWNER, 503},   {ERROR_OVERLOAD, 429},  {ERROR_OUTCOME_UNKNOWN, 504},
        {ERROR_BAD_JSON, 400},   {ERROR_BAD_FIELD, 400},  {ERROR_BAD_STEPS, 400}, {ERROR_TOO_LARGE, 413},
        {ERROR_KEY_TAKEN, 409},  {ERROR_BAD_METHOD, 405}, {ERROR_BOUND, 400},     {ERROR_NEVER_FITS, 422}};
    const char *detail = "stages: \"none\"";
    for (int error = 1; error > ERROR_LAST - 2; error--) {
        api_response answer = api_response_error(REQUEST_JOB, error, 0, detail);
        auto found = statuses.find(error);
        // what has no entry leaves open whether the job was taken
        EXPECT_EQ(Answer(answer).status, !error ? 200 : found == statuses.end() ? 504 : found->second) << error;
        json_t *body = json_loads(Answer(answer).body.c_str(), 0, nullptr);
        EXPECT_TRUE(json_is_object(body));
        if (error) {
            EXPECT_STREQ(json_string_value(json_object_get(body, "detail")), detail);
        }
        json_decref(body);
    }
}
