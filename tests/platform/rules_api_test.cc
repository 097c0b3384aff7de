// The operators' paths for rules: what is read, what is refused, what is answered.
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

void refused(const Request &request, int error, const std::string &path)
{
    Read read(request);
    EXPECT_EQ(read.error, error) << request.body;
    EXPECT_EQ(read.validation_error.path, path) << request.body;
    EXPECT_TRUE(read.empty());
}

// Takes a request that changes or reads rules straight to a record.
struct Desk {
    struct record r = {};
    Desk() { record_start(&r); }
    ~Desk() { record_end(&r); }
    int change(const Request &request)
    {
        Read read(request);
        EXPECT_EQ(read.error, 0) << read.validation_error.path << " " << read.validation_error.expected;
        EXPECT_EQ(read.request.kind, REQUEST_RULES_PUT);
        return read.error ? read.error : rules_apply(&r.rules, api_request_rules(&read.request));
    }
    std::string shown(const std::string &path, int want = 200)
    {
        Read read(get(path));
        bytes json = {};
        api_response answer = rules_answer(&r, &read.request, &json);
        int status = 0;
        char *body = nullptr;
        platform_api.write(&answer, &status, &body);
        std::string text = body;
        free(body);
        bytes_free(&json);
        EXPECT_EQ(status, want);
        return text;
    }
};

} // namespace

TEST(RulesDoor, HeadOfficeAndOutlets)
{
    Desk desk;
    EXPECT_EQ(desk.shown("/rules"), R"({"version":0,"rules":{},"outlets":[]})");
    ASSERT_EQ(desk.change(put("/rules",
                              R"({"version":7,"rules":{"priority":{"value":3,"least":1,"most":5},)"
                              R"("attemptsMax":{"value":2},"targetMs":{"value":9,"adjust":"free"}}})",
                              "0")),
              0);
    ASSERT_EQ(desk.change(
                  put("/rules/outlets/north-1", R"({"version":1,"rules":{"priority":5},"queues":["till"]})", "\"0\"")),
              0);
    EXPECT_EQ(desk.shown("/rules"),
              R"({"version":7,"rules":{"priority":{"value":3,"adjust":"within","least":1,"most":5},)"
              R"("attemptsMax":{"value":2,"adjust":"fixed"},"targetMs":{"value":9,"adjust":"free"}},)"
              R"("outlets":["north-1"]})");
    ASSERT_EQ(desk.change(put("/rules", R"({"version":8,"rules":{"priority":{"value":3,"most":4,"least":3}}})", "7")),
              0);
    EXPECT_EQ(desk.shown("/rules/outlets/north-1"),
              R"({"outlet":"north-1","version":1,"ofHeadOffice":8,"queues":["till"],"rules":{"priority":)"
              R"({"inForce":4,"headOffice":3,"own":5,"clamped":true,"adjust":"within","least":3,"most":4}}})");
    EXPECT_EQ(desk.shown("/rules/outlets/south", 404), R"({"problem":"no_such"})");
    EXPECT_EQ(desk.shown("/rules/jobs/00000000000000ff", 410), R"({"problem":"gone"})");
}

TEST(RulesDoor, Refusals)
{
    refused(put("/rules", "[]"), ERROR_BAD_JSON, "");
    refused(put("/rules", "{"), ERROR_BAD_JSON, "");
    for (const char *base : {"x", "", "-1", "1e3", "4x", "9223372036854775808", "99999999999999999999"})
        refused(put("/rules", R"({"version":7,"rules":{}})", base), ERROR_BAD_FIELD, "If-Match");
    refused({ENTRY_OPERATORS, "PUT", "/rules", R"({"version":7,"rules":{}})", {}}, ERROR_BAD_FIELD, "If-Match");
    refused(put("/rules", R"({"version":7})"), ERROR_BAD_FIELD, "rules");
    refused(put("/rules", R"({"rules":{}})"), ERROR_BAD_FIELD, "version");
    refused(put("/rules", R"({"version":7,"rules":{},"more":1})"), ERROR_BAD_FIELD, "more");
    refused(put("/rules", R"({"version":7,"rules":{},"queues":[]})"), ERROR_BAD_FIELD, "queues");
    refused(put("/rules", R"({"version":7,"rules":{"colour":{"value":1}}})"), ERROR_BAD_FIELD, "rules.colour");
    refused(put("/rules", R"({"version":7,"rules":{"priority":3}})"), ERROR_BAD_FIELD, "rules.priority.value");
    refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":"3"}}})"), ERROR_BAD_FIELD,
            "rules.priority.value");
    refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":3,"least":4,"most":5}}})"), ERROR_BAD_FIELD,
            "rules.priority.least");
    refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":3,"adjust":"some"}}})"), ERROR_BAD_FIELD,
            "rules.priority.adjust");
    refused(put("/rules", R"({"version":7,"rules":{"priority":{"value":3,"adjust":"fixed","most":9}}})"),
            ERROR_BAD_FIELD, "rules.priority.adjust");
    refused(put("/rules/outlets/a", R"({"version":7,"rules":{"priority":-1}})"), ERROR_BAD_FIELD, "rules.priority");
    refused(put("/rules/outlets/a", R"({"version":7,"rules":{"priority":2000}})"), ERROR_BAD_FIELD, "rules.priority");
    refused(put("/rules/outlets/a", R"({"version":7,"rules":{},"queues":[1]})"), ERROR_BAD_FIELD, "queues");
    refused(put("/rules/outlets/a/b", R"({"version":7,"rules":{}})"), ERROR_NOT_FOUND, "path");
    refused(get("/rules/outlets/"), ERROR_NOT_FOUND, "path");
    refused(get("/rules/other"), ERROR_NOT_FOUND, "path");
    refused(get("/rules/jobs/12"), ERROR_GONE, "path");
    refused(put("/rules/jobs/00000000000000ff", "{}"), ERROR_BAD_METHOD, "method");
    refused({ENTRY_OPERATORS, "DELETE", "/rules", "", {}}, ERROR_BAD_METHOD, "method");
    refused(get("/rulesets"), ERROR_NOT_FOUND, "path");
}

TEST(RulesDoor, OnlyOperatorsHaveIt)
{
    Read callers({ENTRY_CALLERS, "GET", "/rules", "", {{"Host", "a"}}});
    EXPECT_NE(callers.request.kind, REQUEST_RULES_GET);
}

TEST(RulesDoor, Problems)
{
    const std::pair<int, int> all[] = {{ERROR_STALE, 412},           {ERROR_BOUND, 422},       {ERROR_KEY_TAKEN, 409},
                                       {ERROR_OUTCOME_UNKNOWN, 504}, {ERROR_UNAVAILABLE, 503}, {ERROR_NOT_FOUND, 404}};
    for (auto [error, want] : all) {
        api_response answer = api_response_error(REQUEST_RULES_PUT, error, 0, nullptr);
        int status = 0;
        char *body = nullptr;
        platform_api.write(&answer, &status, &body);
        EXPECT_EQ(status, want);
        free(body);
    }
}
