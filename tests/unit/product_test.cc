// Local settings, the list of errors, and documents that must match the code.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

extern "C" {
#include "base/events.h"
#include "base/error.h"
#include "config_tree/settings.h"
#include "proc/local.h"
}

namespace
{

std::string read(const std::string &name)
{
    std::ifstream in(std::string(SAGEHITCH_SOURCE) + "/" + name);
    std::stringstream all;
    all << in.rdbuf();
    return all.str();
}

TEST(Product, EveryEventIsInTheCatalogueWithItsLevel)
{
    static const char *const levels[] = {"debug", "info", "warn", "error"};
    std::string catalogue = read("docs/events.md");
    for (int i = 0; i < event_count(); i++) {
        const struct event_kind *kind = event_at(i);
        std::string row = "| " + std::to_string(kind->no) + " | " + levels[kind->level] + " | " + kind->text + " |";
        EXPECT_NE(catalogue.find(row), std::string::npos) << row;
        EXPECT_EQ(event_kind(kind->no), kind);
    }
}

TEST(Product, EverySettingIsInItsPageWithDefaultAndBounds)
{
    std::string page = read("docs/settings.md");
    for (int i = 0; i < settings_schema.n; i++) {
        const struct field *field = &settings_schema.fields[i];
        std::string default_value =
            field->kind == F_BOOL ? (field->default_value ? "true" : "false") : std::to_string(field->default_value);
        std::string range =
            field->kind == F_BOOL ? "true, false" : std::to_string(field->min) + " to " + std::to_string(field->max);
        std::string row = std::string("| ") + field->name + " | " + default_value + " | " + range + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

TEST(Product, EveryProblemHasItsAnswerInTheApiPage)
{
    std::string page = read("docs/api.md");
    for (int p = 0; p > ERROR_LAST; p--) {
        const struct error_response *response = error_response(p);
        ASSERT_NE(response->name, nullptr) << p;
        EXPECT_GE(response->status, 200);
        if (response->retry_ms) {
            EXPECT_TRUE(response->status == 429 || response->status == 503) << response->name;
        }
        std::string row = std::string("| ") + response->name + " | " + std::to_string(response->status) + " |";
        EXPECT_TRUE(!p || page.find(row) != std::string::npos) << row;
    }
    EXPECT_STREQ(error_response(-999)->name, "unknown");
    EXPECT_STREQ(error_response(5)->name, "unknown");
}

struct Local {
    local values = {};
    char why[400] = "";
    Local() { schema_defaults(&local_schema, &values); }
    ~Local() { local_free(&values); }
    int set(const char *name, const char *value) { return local_set(&values, name, value, "here:1", why, sizeof why); }
};

TEST(Product, InvalidLocalSettingsAreNamed)
{
    Local settings;
    EXPECT_EQ(settings.set("nonsense", "1"), ERROR_BAD_SETTING);
    EXPECT_STREQ(settings.why, "here:1: nonsense: expected a known setting");
    EXPECT_EQ(settings.set("cores", "many"), ERROR_BAD_SETTING);
    EXPECT_STREQ(settings.why, "here:1: cores: expected a whole number from 0 to 1048576");
    EXPECT_EQ(settings.set("cores", "-1"), ERROR_BAD_SETTING);
    EXPECT_EQ(settings.set("cores", "99999999999999999999"), ERROR_BAD_SETTING);
    EXPECT_EQ(settings.set("cores", "16"), ERROR_NONE);
    EXPECT_EQ(local_check(&settings.values, 0, settings.why, sizeof settings.why), ERROR_BAD_SETTING);
    EXPECT_NE(std::string(settings.why).find("seeds"), std::string::npos);
    EXPECT_EQ(settings.set("seeds", "127.0.0.1:1,127.0.0.1:2"), ERROR_NONE);
    EXPECT_EQ(local_check(&settings.values, 0, settings.why, sizeof settings.why), ERROR_NONE);
    EXPECT_EQ(settings.values.n_seeds, 2);
    EXPECT_EQ(local_check(&settings.values, NEED_LISTEN, settings.why, sizeof settings.why), ERROR_BAD_SETTING);
    EXPECT_EQ(settings.set("listen", "127.0.0.1:99999"), ERROR_NONE);
    EXPECT_EQ(local_check(&settings.values, NEED_LISTEN, settings.why, sizeof settings.why), ERROR_BAD_SETTING);
    EXPECT_EQ(settings.set("listen", "127.0.0.1:9999"), ERROR_NONE);
    EXPECT_EQ(local_check(&settings.values, NEED_LISTEN, settings.why, sizeof settings.why), ERROR_NONE);
    EXPECT_EQ(settings.set("logLevel", "loud"), ERROR_NONE);
    EXPECT_EQ(local_check(&settings.values, 0, settings.why, sizeof settings.why), ERROR_BAD_SETTING);
}

} // namespace
