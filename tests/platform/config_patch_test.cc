// Patches of the configuration: what they make of it, and what is refused.
#include <random>

#include "platform_test.h"

namespace
{

std::string text_of(const bytes &from) { return {(const char *)from.at, (size_t)from.len}; }

struct Patched {
    config made = {};
    struct validation_error validation_error = {};
    int error;

    explicit Patched(const std::string &patch, const std::string &current = config_body)
    {
        bytes from = {}, change = {};
        bytes_add(&from, current.data(), (int64_t)current.size());
        bytes_add(&change, patch.data(), (int64_t)patch.size());
        error = api_patch_config(&made, &from, &change, &validation_error);
        bytes_free(&from);
        bytes_free(&change);
    }
    ~Patched() { schema_free(&config_schema, &made); }
    Patched(const Patched &) = delete;
    bool empty() const { return !made.version && !made.queues && !made.services && !made.raw.at; }
    // Its text, read as a whole configuration again, is the same configuration.
    void expect_whole() const
    {
        Read read(config_request(text_of(made.raw)));
        ASSERT_EQ(read.error, 0) << read.validation_error.path;
        const config &again = api_request_config(&read.request)->config;
        EXPECT_EQ(again.version, made.version);
        ASSERT_EQ(again.n_queues, made.n_queues);
        for (int64_t i = 0; i < made.n_queues; i++) {
            EXPECT_STREQ(again.queues[i].name, made.queues[i].name);
            EXPECT_EQ(again.queues[i].timeout_ms, made.queues[i].timeout_ms);
        }
        EXPECT_EQ(again.n_services, made.n_services);
    }
};

void refused(const std::string &patch, int error, const std::string &path)
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
    EXPECT_EQ(patched.made.version, 50);
    ASSERT_EQ(patched.made.n_queues, 2);
    EXPECT_STREQ(patched.made.queues[0].name, "q-a");
    EXPECT_STREQ(patched.made.queues[0].prefix, "/a/");
    EXPECT_EQ(patched.made.queues[0].timeout_ms, 800);
    EXPECT_EQ(patched.made.queues[0].attempts_max, 0) << "an item is replaced whole";
    EXPECT_STREQ(patched.made.queues[1].name, "q-c");
    EXPECT_EQ(patched.made.n_services, 2);
    patched.expect_whole();
    EXPECT_NE(text_of(patched.made.raw).find(R"("limits":{"maxBodyBytes":65536},"extra":[])"), std::string::npos)
        << "members that nobody here knows stay as they were";
}

TEST(ConfigPatch, OfSeveralListsOrOfNone)
{
    Patched lists(R"({"revision":50,"upserts":{"services":[{"name":"s-new"}],"extra":[{"name":"x"}]},)"
                  R"("removals":{"routes":["q-b"],"services":["s-kiln"]}})");
    ASSERT_EQ(lists.error, 0) << lists.validation_error.path;
    ASSERT_EQ(lists.made.n_services, 2);
    EXPECT_STREQ(lists.made.services[1].name, "s-new");
    EXPECT_NE(text_of(lists.made.raw).find(R"("extra":[{"name":"x"}])"), std::string::npos);
    lists.expect_whole();
    Patched nothing(R"({"revision":50})");
    ASSERT_EQ(nothing.error, 0);
    EXPECT_EQ(nothing.made.version, 50);
    EXPECT_EQ(nothing.made.n_queues, 2);
}

TEST(ConfigPatch, ThoseThatDoNotFitChangeNothing)
{
    refused(R"({"revision":50,"removals":{"routes":["q-z"]}})", ERROR_BAD_FIELD, "removals.routes[0]");
    refused(R"({"revision":50,"removals":{"routes":[7]}})", ERROR_BAD_FIELD, "removals.routes[0]");
    refused(R"({"revision":50,"removals":{"routes":["q-a","q-a"]}})", ERROR_BAD_FIELD, "removals.routes[1]");
    refused(R"({"revision":50,"removals":{"rotes":["q-a"]}})", ERROR_BAD_FIELD, "rotes");
    refused(R"({"revision":50,"removals":["q-a"]})", ERROR_BAD_FIELD, "removals");
    refused(R"({"revision":50,"removals":{"limits":["maxBodyBytes"]}})", ERROR_BAD_FIELD, "limits");
    refused(R"({"revision":50,"upserts":{"routes":{}}})", ERROR_BAD_FIELD, "routes");
    refused(R"({"revision":50,"upserts":{"routes":[{"host":"h"}]}})", ERROR_BAD_FIELD, "upserts.routes[0]");
    refused(R"({"revision":50,"upserts":{"routes":[)" + route + "," + route + "]}}", ERROR_BAD_FIELD,
            "upserts.routes[1]");
    refused(R"({"revision":50,"upserts":{"routes":[)" + changed + R"(]},"removals":{"routes":["q-a"]}})",
            ERROR_BAD_FIELD, "removals.routes[0]");
    // what comes out of it is checked as a whole
    refused(R"({"revision":50,"removals":{"services":["s-kiln"]}})", ERROR_BAD_FIELD, "queues[1].service");
    refused(R"({"revision":50,"upserts":{"routes":[{"name":"q-c","host":"h","pathPrefix":"/c/","service":"s-mill"}]}})",
            ERROR_BAD_FIELD, "routes[2].timeoutMs");
    refused("[]", ERROR_BAD_JSON, "");
    refused("", ERROR_BAD_JSON, "");
    EXPECT_EQ(Patched(R"({"revision":50})", "").error, ERROR_BAD_JSON) << "nothing to alter yet";
}

TEST(ConfigPatch, IsReadAtTheDoor)
{
    std::string body = R"({"revision":50,"removals":{"routes":["q-b"]}})";
    Request request = config_request(body);
    request.method = "PATCH";
    Read read(request);
    ASSERT_EQ(read.error, 0);
    EXPECT_EQ(read.request.kind, REQUEST_CONFIG_PATCH);
    EXPECT_EQ(api_request_config(&read.request)->base, 41);
    EXPECT_EQ(api_request_config(&read.request)->config.version, 50);
    EXPECT_EQ(text_of(api_request_config(&read.request)->config.raw), body);
    for (const char *bad : {"", "[]", "{}", R"({"revision":0})", R"({"revision":"50"})", R"({"revision":50)"}) {
        request.body = bad;
        Read wrong(request);
        EXPECT_NE(wrong.error, 0) << bad;
        EXPECT_TRUE(wrong.empty()) << bad;
    }
    request.body = body;
    request.headers.clear();
    EXPECT_EQ(Read(request).error, ERROR_BAD_FIELD);
}

// Whatever a patch holds, it makes a whole valid configuration or none.
TEST(ConfigPatch, AtRandom)
{
    std::mt19937_64 random(77);
    const std::string whole = R"({"revision":50,"upserts":{"routes":[)" + route + "," + changed +
                              R"(],"services":[{"name":"s-new"}]},"removals":{"routes":["q-b"]}})";
    int taken = 0, turned_away = 0;
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
            turned_away++;
            EXPECT_TRUE(patched.empty()) << patch;
        } else {
            taken++;
            EXPECT_EQ(config_check(&patched.made, nullptr), 0) << patch;
            patched.expect_whole();
        }
    }
    EXPECT_GT(taken, 400);
    EXPECT_GT(turned_away, 400);
}
