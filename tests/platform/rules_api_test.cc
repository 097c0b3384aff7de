// The operators' paths for rules: requests that are read or refused, and the responses.
#include "platform_test.h"

extern "C" {
#include "rules/rules_view.h"
}

namespace
{

Request put(const std::string &path, const std::string &body, const std::string &base = "6")
{
    return {ENTRY_OPERATORS, "PUT", path, body, {{"If-Match", base}}};
}
Request get(const std::string &path) { return {ENTRY_OPERATORS, "GET", path, "", {}}; }

// Applies requests that change or read rules directly to a record.
struct RulesStore {
    struct record r = {};
    RulesStore() { record_start(&r); }
    ~RulesStore() { record_end(&r); }
    int change(const Request &request)
    {
        ParsedRequest parsed(request);
        EXPECT_EQ(parsed.error, 0) << parsed.validation_error.path << " " << parsed.validation_error.expected;
        EXPECT_EQ(parsed.request.kind, REQUEST_RULES_PUT);
        return parsed.error ? parsed.error : rules_apply(&r.rules, api_request_rules(&parsed.request));
    }
    std::string get_json(const std::string &path, int expected_status = 200)
    {
        ParsedRequest parsed(get(path));
        bytes json = {};
        api_response response = rules_response(&r, &parsed.request, &json);
        int status = 0;
        char *body = nullptr;
        platform_api.write(&response, &status, &body);
        std::string text = body;
        free(body);
        bytes_free(&json);
        EXPECT_EQ(status, expected_status);
        return text;
    }
};

} // namespace

TEST(RulesApi, HeadOfficeAndOutlets)
{
    RulesStore store;
    EXPECT_EQ(store.get_json("/rules"), R"({"version":0,"rules":{},"outlets":[]})");
    ASSERT_EQ(store.change(put("/rules",
                               R"({"version":7,"rules":{"priority":{"value":3,"least":1,"most":5},)"
                               R"("attemptsMax":{"value":2},"targetMs":{"value":9,"adjust":"free"}}})",
                               "0")),
              0);
    ASSERT_EQ(store.change(
                  put("/rules/outlets/north-1", R"({"version":1,"rules":{"priority":5},"queues":["till"]})", "\"0\"")),
              0);
    EXPECT_EQ(store.get_json("/rules"),
              R"({"version":7,"rules":{"priority":{"value":3,"adjust":"within","least":1,"most":5},)"
              R"("attemptsMax":{"value":2,"adjust":"fixed"},"targetMs":{"value":9,"adjust":"free"}},)"
              R"("outlets":["north-1"]})");
    ASSERT_EQ(store.change(put("/rules", R"({"version":8,"rules":{"priority":{"value":3,"most":4,"least":3}}})", "7")),
              0);
    EXPECT_EQ(store.get_json("/rules/outlets/north-1"),
              R"({"outlet":"north-1","version":1,"ofHeadOffice":8,"queues":["till"],"rules":{"priority":)"
              R"({"inForce":4,"headOffice":3,"own":5,"clamped":true,"adjust":"within","least":3,"most":4}}})");
    EXPECT_EQ(store.get_json("/rules/outlets/south", 404), R"({"problem":"no_such"})");
    EXPECT_EQ(store.get_json("/rules/jobs/00000000000000ff", 410), R"({"problem":"gone"})");
}

TEST(RulesApi, Refusals)
{
    expect_refused(put("/rules", "[]"), ERROR_BAD_JSON, "");
    expect_refused(put("/rules", "{"), ERROR_BAD_JSON, "");
    for (const char *base : {"x", "", "-1", "1e3", "4x", "9223372036854775808", "99999999999999999999"})
        expect_refused(put("/rules", R"({"version":7,"rules":{}})", base), ERROR_BAD_FIELD, "If-Match");
    expect_refused({ENTRY_OPERATORS, "PUT", "/rules", R"({"version":7,"rules":{}})", {}}, ERROR_BAD_FIELD, "If-Match");
    expect_refused(put("/rules", R"({"version":7})"), ERROR_BAD_FIELD, "rules");
    expect_refused(put("/rules", R"({"rules":{}})"), ERROR_BAD_FIELD, "version");
    expect_refused(put("/rules", R"({"version":7,"rules":{},"more":1})"), ERROR_BAD_FIELD, "more");
    expect_refused(put("/rules", R"({"version":7,"rules":{},"queues":[]})"), ERROR_BAD_FIELD, "queues");
    expect_refused(put("/rules", R"({"version":7,"rules":{"colour":{"value":1}}})"), ERROR_BAD_FIELD, "rules.colour");
    expect_refused(put("/rules", R"({"version":7,"rules":{"priority":3}})"), ERROR_BAD_FIELD, "rules.priority.value");
    expect_refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":"3"}}})"), ERROR_BAD_FIELD,
                   "rules.priority.value");
    expect_refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":3,"least":4,"most":5}}})"),
                   ERROR_BAD_FIELD, "rules.priority.least");
    expect_refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":3,"adjust":"some"}}})"), ERROR_BAD_FIELD,
                   "rules.priority.adjust");
    expect_refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":3,"adjust":"fixed","most":9}}})"),
                   ERROR_BAD_FIELD, "rules.priority.adjust");
    expect_refused(put("/rules/outlets/a", R"({"version":7,"rules":{"priority":-1}})"), ERROR_BAD_FIELD,
                   "rules.priority");
    expect_refused(put("/rules/outlets/a", R"({"version":7,"rules":{"priority":2000}})"), ERROR_BAD_FIELD,
                   "rules.priority");
    expect_refused(put("/rules/outlets/a", R"({"version":7,"rules":{},"queues":[1]})"), ERROR_BAD_FIELD, "queues");
    expect_refused(put("/rules/outlets/a/b", R"({"version":7,"rules":{}})"), ERROR_NOT_FOUND, "path");
    expect_refused(get("/rules/outlets/"), ERROR_NOT_FOUND, "path");
    expect_refused(get("/rules/other"), ERROR_NOT_FOUND, "path");
    expect_refused(get("/rules/jobs/12"), ERROR_GONE, "path");
    expect_refused(put("/rules/jobs/00000000000000ff", "{}"), ERROR_BAD_METHOD, "method");
    expect_refused({ENTRY_OPERATORS, "DELETE", "/rules", "", {}}, ERROR_BAD_METHOD, "method");
    expect_refused(get("/rulesets"), ERROR_NOT_FOUND, "path");
}

TEST(RulesApi, OnlyOperatorsHaveAccess)
{
    ParsedRequest callers({ENTRY_CALLERS, "GET", "/rules", "", {{"Host", "a"}}});
    EXPECT_NE(callers.request.kind, REQUEST_RULES_GET);
}

TEST(RulesApi, Errors)
{
    const std::pair<int, int> all[] = {{ERROR_STALE, 412},           {ERROR_BOUND, 422},       {ERROR_KEY_TAKEN, 409},
                                       {ERROR_OUTCOME_UNKNOWN, 504}, {ERROR_UNAVAILABLE, 503}, {ERROR_NOT_FOUND, 404}};
    for (auto [error, expected_status] : all) {
        api_response response = api_response_error(REQUEST_RULES_PUT, error, 0, nullptr);
        int status = 0;
        char *body = nullptr;
        platform_api.write(&response, &status, &body);
        EXPECT_EQ(status, expected_status);
        free(body);
    }
}
