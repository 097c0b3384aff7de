// The platform's api: requests about jobs and configurations as they are read, and the responses.
#include "platform_test.h"

#include <functional>

namespace
{

std::string stages(const std::string &step) { return R"({"spec":"a","stages":[)" + step + "]}"; }

struct HttpResponse {
    int status = 0;
    std::string body;
    explicit HttpResponse(const api_response &response)
    {
        char *text = nullptr;
        platform_api.write(&response, &status, &text);
        body = text;
        free(text);
    }
};

} // namespace

TEST(PlatformApi, Job)
{
    ParsedRequest parsed(job_request(job_body));
    ASSERT_EQ(parsed.error, 0) << parsed.validation_error.path << ": " << parsed.validation_error.expected;
    const api_request &request = parsed.request;
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

TEST(PlatformApi, JobNames)
{
    std::string body = stages(R"({"taskCount":1})");
    ParsedRequest top(job_request(body, "/p/FEDCBA9876543210?x=/1"));
    EXPECT_EQ(top.error, 0);
    EXPECT_EQ((uint64_t)api_request_job(&top.request)->id, 0xfedcba9876543210u);
    EXPECT_STREQ(top.request.path, "/p/FEDCBA9876543210");
    for (const char *path : {"/p/fedcba987654321", "/p/fedcba98765432100", "/p/fedcba987654321g", "/p/", "", "x"}) {
        expect_refused(job_request(body, path), ERROR_BAD_FIELD, "path");
        if (strcmp(path, "/p/"))
            expect_refused({ENTRY_CALLERS, "GET", path, "", {}}, ERROR_GONE, "path");
        expect_refused({ENTRY_CALLERS, "DELETE", path, "", {}}, ERROR_GONE, "path");
    }
    expect_refused({ENTRY_CALLERS, "PUT", "/p/fedcba9876543210", body, {}}, ERROR_BAD_METHOD, "method");
}

TEST(PlatformApi, BadJobs)
{
    std::string body = job_body;
    std::string twice = R"({"spec":"a","spec":"b","stages":[{"taskCount":1}]})";
    for (const std::string &text :
         {body.substr(0, body.size() - 1), std::string(), std::string("[]"), std::string("null"), body + "x", twice})
        expect_refused(job_request(text), ERROR_BAD_JSON, "");
    expect_refused(job_request(replaced_text(body, "\"grind", "7,\"y\":\"")), ERROR_BAD_FIELD, "spec");
    expect_refused(job_request(R"({"spec":"a"})"), ERROR_BAD_FIELD, "stages");
    expect_refused(job_request(R"({"spec":"a","stages":{}})"), ERROR_BAD_FIELD, "stages");
    expect_refused(job_request(stages("7")), ERROR_BAD_FIELD, "stages[0].");
    expect_refused(job_request(replaced_text(body, "\"vcpus\":750", "\"vcpus\":\"750\"")), ERROR_BAD_FIELD,
                   "stages[0].vcpus");
    expect_refused(job_request(replaced_text(body, "\"vcpus\":750", "\"vcpus\":-1")), ERROR_BAD_FIELD,
                   "stages[0].vcpus");
    expect_refused(job_request(replaced_text(body, "\"vcpus\":750", "\"vcpus\":7.5")), ERROR_BAD_FIELD,
                   "stages[0].vcpus");
    expect_refused(job_request(replaced_text(body, "\"gpus\":1", "\"gpus\":9223372036854775807")), ERROR_BAD_FIELD,
                   "stages[0].gpus");
    expect_refused(job_request(replaced_text(body, "\"gpus\":1", "\"gpus\":9223372036854775808")), ERROR_BAD_JSON, "");
    expect_refused(job_request(replaced_text(body, "1200.5", "1e300")), ERROR_BAD_FIELD,
                   "stages[0].estimatedRuntimeMs");
    expect_refused(job_request(replaced_text(body, "\"checkpoints\":true", "\"checkpoints\":1")), ERROR_BAD_FIELD,
                   "stages[1].checkpoints");
    expect_refused(job_request(replaced_text(body, "[0,1]", "[0,\"1\"]")), ERROR_BAD_FIELD, "stages[2].dependsOn");
    expect_refused(job_request(replaced_text(body, "[0,1]", "0")), ERROR_BAD_FIELD, "stages[2].dependsOn");
    expect_refused(job_request(replaced_text(body, "[0,1]", "[64]")), ERROR_BAD_STEPS, "stages[2].dependsOn");
    expect_refused(job_request(replaced_text(body, "\"requirements\":\"fast\"", "\"requirements\":[\"a\",\"b\"]")),
                   ERROR_BAD_FIELD, "stages[0].requirements");
    expect_refused(job_request(replaced_text(body, "\"repeatCount\":4", "\"repeatCount\":true")), ERROR_BAD_FIELD,
                   "repeatCount");
    expect_refused(job_request(replaced_text(body, "1790000000000", "-1")), ERROR_BAD_FIELD, "startTimeMs");
}

TEST(PlatformApi, JobBounds)
{
    std::string step = R"({"taskCount":1})", many = step;
    for (int i = 1; i < STEPS_MAX; i++)
        many += "," + step;
    EXPECT_EQ(ParsedRequest(job_request(stages(many))).error, 0);
    expect_refused(job_request(stages(many + "," + step)), ERROR_TOO_LARGE, "stages");
    auto text = [&](int len) { return R"({"stages":[{"taskCount":1}],"spec":")" + std::string(len, 'a') + "\"}"; };
    EXPECT_EQ(ParsedRequest(job_request(text(SPEC_MAX))).error, 0);
    expect_refused(job_request(text(SPEC_MAX + 1)), ERROR_TOO_LARGE, "spec");
    // errors of job_spec_check(), whatever their path: the job is refused and the request is empty
    for (const char *bad : {R"({"taskCount":0})", R"({})", R"({"taskCount":1000000})",
                            R"({"taskCount":1,"dependsOn":[0]})", R"({"taskCount":1,"dependsOn":[5]})"}) {
        ParsedRequest parsed(job_request(stages(bad)));
        EXPECT_NE(parsed.error, 0) << bad;
        EXPECT_TRUE(parsed.empty());
    }
    EXPECT_NE(ParsedRequest(job_request(R"({"spec":"a","stages":[]})")).error, 0);
}

TEST(PlatformApi, JobFieldsThatMayBeAbsent)
{
    ParsedRequest parsed(job_request(R"({"stages":[{"taskCount":1,"requirements":["big"],"affinity":"","gpus":null},)"
                                     R"({"taskCount":1,"requirements":[]}]})"));
    ASSERT_EQ(parsed.error, 0) << parsed.validation_error.path;
    EXPECT_STREQ(api_request_job(&parsed.request)->text, "");
    EXPECT_STREQ(api_request_job(&parsed.request)->steps[0].label, "big");
    EXPECT_EQ(api_request_job(&parsed.request)->steps[0].rack, nullptr);
    EXPECT_EQ(api_request_job(&parsed.request)->steps[1].label, nullptr);
    EXPECT_EQ(api_request_job(&parsed.request)->repeats, 0);
}

TEST(PlatformApi, ReadAndCancelRequests)
{
    ParsedRequest state({ENTRY_CALLERS, "GET", "/p/8000000000000001", "", {{"Host", "H"}, {"Deadline-Ms", "x"}}});
    EXPECT_EQ(state.request.kind, REQUEST_STATE);
    EXPECT_EQ((uint64_t)api_request_job_id(&state.request), 0x8000000000000001u);
    EXPECT_STREQ(state.request.host, "h");
    EXPECT_EQ(state.request.wait_ms, 0);
    ParsedRequest cancel({ENTRY_CALLERS, "DELETE", "/p/0000000000000002", "", {}});
    EXPECT_EQ(cancel.request.kind, REQUEST_CANCEL);
    EXPECT_EQ(api_request_job_id(&cancel.request), 2);
    EXPECT_STREQ(cancel.request.host, "");
    ParsedRequest count({ENTRY_CALLERS, "GET", "/p/q/?a", "", {}});
    EXPECT_EQ(count.request.kind, REQUEST_COUNT_WAITING);
    EXPECT_STREQ(count.request.path, "/p/q/");
    ParsedRequest ready({ENTRY_READINESS, "GET", "/sagehitch/readiness", "", {}});
    EXPECT_EQ(ready.request.kind, REQUEST_READY);
    expect_refused({ENTRY_READINESS, "GET", "/", "", {}}, ERROR_NOT_FOUND, "path");
    expect_refused({ENTRY_READINESS, "POST", "/sagehitch/readiness", "", {}}, ERROR_BAD_METHOD, "method");
    ParsedRequest why({ENTRY_OPERATORS, "GET", "/why/00000000000000ff", "", {}});
    EXPECT_EQ(why.request.kind, REQUEST_WHY);
    EXPECT_EQ(api_request_job_id(&why.request), 255);
    expect_refused({ENTRY_OPERATORS, "GET", "/why/ff", "", {}}, ERROR_GONE, "path");
    expect_refused({ENTRY_OPERATORS, "GET", "/other", "", {}}, ERROR_NOT_FOUND, "path");
    expect_refused({ENTRY_OPERATORS, "POST", "/sagehitch/configuration", "", {}}, ERROR_BAD_METHOD, "method");
    EXPECT_EQ(ParsedRequest({ENTRY_OPERATORS, "GET", "/sagehitch/configuration", "", {}}).request.kind,
              REQUEST_CONFIG_GET);
}

TEST(PlatformApi, Configuration)
{
    ParsedRequest parsed(config_request(config_body));
    ASSERT_EQ(parsed.error, 0) << parsed.validation_error.path << ": " << parsed.validation_error.expected;
    const config &c = api_request_config(&parsed.request)->config;
    EXPECT_EQ(parsed.request.kind, REQUEST_CONFIG_PUT);
    EXPECT_EQ(api_request_config(&parsed.request)->base, 41);
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
    EXPECT_EQ(ParsedRequest(config_request(config_body, " \"0\" ")).error, 0);
}

// A configuration of 4 MiB is accepted, whether it has one long unknown value or very many routes.
TEST(PlatformApi, ConfigurationsOfFourMiB)
{
    const size_t size = 4u << 20;
    std::string body = config_body;
    std::string wide =
        replaced_text(body, "\"extra\":[]", "\"extra\":\"" + std::string(size - body.size(), 'x') + "\"");
    ASSERT_GE(wide.size(), size);
    ParsedRequest one(config_request(wide));
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
    ParsedRequest many(config_request(replaced_text(body, "{\"name\":\"q-a\"", routes + "{\"name\":\"q-a\"")));
    ASSERT_EQ(many.error, 0) << many.validation_error.path;
    EXPECT_EQ(api_request_config(&many.request)->config.n_queues, n + 2);
    expect_refused(config_request(wide.substr(0, size / 2)), ERROR_BAD_JSON, "");
}

TEST(PlatformApi, BadConfigurations)
{
    std::string body = config_body;
    Request bare = config_request(body);
    bare.headers.clear();
    expect_refused(bare, ERROR_BAD_FIELD, "If-Match");
    for (const char *base : {"", "x", "-1", "4x", "\"4", "1e3", "99999999999999999999", "9223372036854775807",
                             "9223372036854775808", "18446744073709551657"})
        expect_refused(config_request(body, base), ERROR_BAD_FIELD, "If-Match");
    expect_refused(config_request(replaced_text(body, "45", "9223372036854775808")), ERROR_BAD_JSON, "");
    expect_refused(config_request(replaced_text(body, "45", "9223372036854775807")), ERROR_BAD_FIELD, "revision");
    expect_refused(config_request(body.substr(0, body.size() - 2)), ERROR_BAD_JSON, "");
    expect_refused(config_request(replaced_text(body, "45", "0")), ERROR_BAD_FIELD, "revision");
    expect_refused(config_request(replaced_text(body, "45", "\"45\"")), ERROR_BAD_FIELD, "revision");
    expect_refused(config_request(replaced_text(body, "2200", "0")), ERROR_BAD_FIELD, "routes[0].timeoutMs");
    expect_refused(config_request(replaced_text(body, "\"timeoutMs\":900,", "")), ERROR_BAD_FIELD,
                   "routes[1].timeoutMs");
    expect_refused(config_request(replaced_text(body, "2.25", "\"2\"")), ERROR_BAD_FIELD, "routes[0].extension");
    expect_refused(config_request(replaced_text(body, "\"host\":\"mill.example\",", "")), ERROR_BAD_FIELD,
                   "routes[1].host");
    expect_refused(config_request(replaced_text(body, "\"routes\"", "\"rotes\"")), ERROR_BAD_FIELD, "routes");
    expect_refused(config_request(replaced_text(body, "\"services\"", "\"serves\"")), ERROR_BAD_FIELD, "services");
    // errors of config_check(): an unknown service; two routes with the same host (in any case) and prefix
    for (const std::string &text : {replaced_text(body, "\"service\":\"s-kiln\"", "\"service\":\"s-none\""),
                                    replaced_text(body, "\"/mill/\"", "\"/mill/q7/\"")}) {
        ParsedRequest parsed(config_request(text));
        EXPECT_EQ(parsed.error, ERROR_BAD_FIELD);
        EXPECT_TRUE(parsed.empty());
    }
}

TEST(PlatformApi, Responses)
{
    const char *states[] = {"pending", "in_progress", "completed", "failed", "canceled"};
    for (int i = 0; i < 5; i++)
        EXPECT_EQ(HttpResponse(api_response_make_state(i)).body, std::string("{\"state\":\"") + states[i] + "\"}");
    EXPECT_EQ(HttpResponse(api_response_make_count(31)).body, R"({"pending":31})");
    bytes text = {};
    bytes_add(&text, config_body, (int64_t)strlen(config_body));
    api_response config = api_response_make_config(0, &text);
    EXPECT_EQ(HttpResponse(config).body, config_body);
    EXPECT_EQ(HttpResponse(config).status, 200);
    bytes_free(&text);
    for (int kind : {REQUEST_JOB, REQUEST_CANCEL, REQUEST_CONFIG_PUT, REQUEST_READY, REQUEST_HEARTBEAT}) {
        EXPECT_EQ(HttpResponse(api_response_done(kind)).status, 200);
        EXPECT_EQ(HttpResponse(api_response_done(kind)).body, "{}");
    }
    EXPECT_EQ(HttpResponse(api_response_error(REQUEST_READY, ERROR_NOT_FOUND, 0, nullptr)).status, 503);
}

TEST(PlatformApi, ErrorResponses)
{
    const std::map<int, int> statuses = {
        {ERROR_NOT_FOUND, 404},  {ERROR_GONE, 410},       {ERROR_STALE, 412},     {ERROR_UNAVAILABLE, 503},
        {ERROR_NOT_LEADER, 503}, {ERROR_NO_OWNER, 503},   {ERROR_OVERLOAD, 429},  {ERROR_OUTCOME_UNKNOWN, 504},
        {ERROR_BAD_JSON, 400},   {ERROR_BAD_FIELD, 400},  {ERROR_BAD_STEPS, 400}, {ERROR_TOO_LARGE, 413},
        {ERROR_KEY_TAKEN, 409},  {ERROR_BAD_METHOD, 405}, {ERROR_BOUND, 400},     {ERROR_NEVER_FITS, 422}};
    const char *detail = "stages: \"none\"";
    for (int error = 1; error > ERROR_LAST - 2; error--) {
        api_response response = api_response_error(REQUEST_JOB, error, 0, detail);
        auto found = statuses.find(error);
        // an error without an entry leaves open whether the job was accepted
        EXPECT_EQ(HttpResponse(response).status, !error ? 200 : found == statuses.end() ? 504 : found->second) << error;
        json_t *body = json_loads(HttpResponse(response).body.c_str(), 0, nullptr);
        EXPECT_TRUE(json_is_object(body));
        if (error) {
            EXPECT_STREQ(json_string_value(json_object_get(body, "detail")), detail);
        }
        json_decref(body);
    }
}
