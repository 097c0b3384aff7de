// Patches of the configuration: the configuration that results, and the patches that are refused.
#include <random>

#include "platform_test.h"

namespace
{

std::string text_of(const bytes &from) { return {(const char *)from.at, (size_t)from.len}; }

struct Patched {
    config patched_config = {};
    struct validation_error validation_error = {};
    int error;

    explicit Patched(const std::string &patch, const std::string &current = config_body)
    {
        bytes from = {}, change = {};
        bytes_add(&from, current.data(), (int64_t)current.size());
        bytes_add(&change, patch.data(), (int64_t)patch.size());
        error = api_patch_config(&patched_config, &from, &change, &validation_error);
        bytes_free(&from);
        bytes_free(&change);
    }
    ~Patched() { schema_free(&config_schema, &patched_config); }
    Patched(const Patched &) = delete;
    bool empty() const
    {
        return !patched_config.version && !patched_config.queues && !patched_config.services && !patched_config.raw.at;
    }
    // The text of the patched configuration, read again as a whole configuration, gives the same configuration.
    void expect_whole() const
    {
        ParsedRequest parsed(config_request(text_of(patched_config.raw)));
        ASSERT_EQ(parsed.error, 0) << parsed.validation_error.path;
        const config &again = api_request_config(&parsed.request)->config;
        EXPECT_EQ(again.version, patched_config.version);
        ASSERT_EQ(again.n_queues, patched_config.n_queues);
        for (int64_t i = 0; i < patched_config.n_queues; i++) {
            EXPECT_STREQ(again.queues[i].name, patched_config.queues[i].name);
            EXPECT_EQ(again.queues[i].timeout_ms, patched_config.queues[i].timeout_ms);
        }
        EXPECT_EQ(again.n_services, patched_config.n_services);
    }
};

void expect_refused(const std::string &patch, int error, const std::string &path)
{
    Patched patched(patch);
    EXPECT_EQ(patched.error, error) << patch;
    EXPECT_EQ(patched.validation_error.path, path) << patch;
    EXPECT_TRUE(patched.empty()) << patch;
}

const std::string route =
    R"({"name":"q-c","host":"new.example","pathPrefix":"/c/","timeoutMs":700,"service":"s-mill"})";
const std::string changed =
    R"({"name":"q-a","host":"mill.example","pathPrefix":"/a/","timeoutMs":800,"service":"s-kiln"})";

} // namespace

TEST(ConfigPatch, ReplacesInPlaceAddsAtTheEndAndRemoves)
{
    Patched patched(R"({"revision":50,"upserts":{"routes":[)" + route + "," + changed +
                    R"(]},"removals":{"routes":["q-b"]}})");
    ASSERT_EQ(patched.error, 0) << patched.validation_error.path;
    EXPECT_EQ(patched.patched_config.version, 50);
    ASSERT_EQ(patched.patched_config.n_queues, 2);
    EXPECT_STREQ(patched.patched_config.queues[0].name, "q-a");
    EXPECT_STREQ(patched.patched_config.queues[0].prefix, "/a/");
    EXPECT_EQ(patched.patched_config.queues[0].timeout_ms, 800);
    EXPECT_EQ(patched.patched_config.queues[0].attempts_max, 0) << "an item is replaced whole";
    EXPECT_STREQ(patched.patched_config.queues[1].name, "q-c");
    EXPECT_EQ(patched.patched_config.n_services, 2);
    patched.expect_whole();
    EXPECT_NE(text_of(patched.patched_config.raw).find(R"("limits":{"maxBodyBytes":65536},"extra":[])"),
              std::string::npos)
        << "unknown members stay unchanged";
}

TEST(ConfigPatch, SeveralListsOrNone)
{
    Patched lists(R"({"revision":50,"upserts":{"services":[{"name":"s-new"}],"extra":[{"name":"x"}]},)"
                  R"("removals":{"routes":["q-b"],"services":["s-kiln"]}})");
    ASSERT_EQ(lists.error, 0) << lists.validation_error.path;
    ASSERT_EQ(lists.patched_config.n_services, 2);
    EXPECT_STREQ(lists.patched_config.services[1].name, "s-new");
    EXPECT_NE(text_of(lists.patched_config.raw).find(R"("extra":[{"name":"x"}])"), std::string::npos);
    lists.expect_whole();
    Patched nothing(R"({"revision":50})");
    ASSERT_EQ(nothing.error, 0);
    EXPECT_EQ(nothing.patched_config.version, 50);
    EXPECT_EQ(nothing.patched_config.n_queues, 2);
}

TEST(ConfigPatch, InvalidPatchesChangeNothing)
{
    expect_refused(R"({"revision":50,"removals":{"routes":["q-z"]}})", ERROR_BAD_FIELD, "removals.routes[0]");
    expect_refused(R"({"revision":50,"removals":{"routes":[7]}})", ERROR_BAD_FIELD, "removals.routes[0]");
    expect_refused(R"({"revision":50,"removals":{"routes":["q-a","q-a"]}})", ERROR_BAD_FIELD, "removals.routes[1]");
    expect_refused(R"({"revision":50,"removals":{"rotes":["q-a"]}})", ERROR_BAD_FIELD, "rotes");
    expect_refused(R"({"revision":50,"removals":["q-a"]})", ERROR_BAD_FIELD, "removals");
    expect_refused(R"({"revision":50,"removals":{"limits":["maxBodyBytes"]}})", ERROR_BAD_FIELD, "limits");
    expect_refused(R"({"revision":50,"upserts":{"routes":{}}})", ERROR_BAD_FIELD, "routes");
    expect_refused(R"({"revision":50,"upserts":{"routes":[{"host":"h"}]}})", ERROR_BAD_FIELD, "upserts.routes[0]");
    expect_refused(R"({"revision":50,"upserts":{"routes":[)" + route + "," + route + "]}}", ERROR_BAD_FIELD,
                   "upserts.routes[1]");
    expect_refused(R"({"revision":50,"upserts":{"routes":[)" + changed + R"(]},"removals":{"routes":["q-a"]}})",
                   ERROR_BAD_FIELD, "removals.routes[0]");
    // the patched configuration is checked as a whole
    expect_refused(R"({"revision":50,"removals":{"services":["s-kiln"]}})", ERROR_BAD_FIELD, "queues[1].service");
    expect_refused(
        R"({"revision":50,"upserts":{"routes":[{"name":"q-c","host":"h","pathPrefix":"/c/","service":"s-mill"}]}})",
        ERROR_BAD_FIELD, "routes[2].timeoutMs");
    expect_refused("[]", ERROR_BAD_JSON, "");
    expect_refused("", ERROR_BAD_JSON, "");
    EXPECT_EQ(Patched(R"({"revision":50})", "").error, ERROR_BAD_JSON) << "no configuration to patch yet";
}

TEST(ConfigPatch, IsReadFromARequest)
{
    std::string body = R"({"revision":50,"removals":{"routes":["q-b"]}})";
    Request request = config_request(body);
    request.method = "PATCH";
    ParsedRequest parsed(request);
    ASSERT_EQ(parsed.error, 0);
    EXPECT_EQ(parsed.request.kind, REQUEST_CONFIG_PATCH);
    EXPECT_EQ(api_request_config(&parsed.request)->base, 41);
    EXPECT_EQ(api_request_config(&parsed.request)->config.version, 50);
    EXPECT_EQ(text_of(api_request_config(&parsed.request)->config.raw), body);
    for (const char *bad : {"", "[]", "{}", R"({"revision":0})", R"({"revision":"50"})", R"({"revision":50)"}) {
        request.body = bad;
        ParsedRequest wrong(request);
        EXPECT_NE(wrong.error, 0) << bad;
        EXPECT_TRUE(wrong.empty()) << bad;
    }
    request.body = body;
    request.headers.clear();
    EXPECT_EQ(ParsedRequest(request).error, ERROR_BAD_FIELD);
}

// A randomly damaged patch gives a complete valid configuration or is refused.
TEST(ConfigPatch, RandomlyDamagedPatches)
{
    std::mt19937_64 random(77);
    const std::string whole = R"({"revision":50,"upserts":{"routes":[)" + route + "," + changed +
                              R"(],"services":[{"name":"s-new"}]},"removals":{"routes":["q-b"]}})";
    int accepted = 0, rejected = 0;
    for (int i = 0; i < 4000; i++) {
        std::string patch = whole;
        for (uint64_t n = random() % 3; n; n--) {
            size_t at = random() % patch.size();
            if (random() % 2)
                patch.erase(at, 1 + random() % 4);
            else
                patch[at] = "\"{}[],:q-abs0"[random() % 13];
        }
        Patched patched(patch);
        if (patched.error) {
            rejected++;
            EXPECT_TRUE(patched.empty()) << patch;
        } else {
            accepted++;
            EXPECT_EQ(config_check(&patched.patched_config, nullptr), 0) << patch;
            patched.expect_whole();
        }
    }
    EXPECT_GT(accepted, 400);
    EXPECT_GT(rejected, 400);
}
