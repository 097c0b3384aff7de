// The parts of a product: local settings, the closed list of errors, and the
// documents that must say what the code does.
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
        const field *f = &settings_schema.fields[i];
        std::string default_value =
            f->kind == F_BOOL ? (f->default_value ? "true" : "false") : std::to_string(f->default_value);
        std::string range =
            f->kind == F_BOOL ? "true, false" : std::to_string(f->min) + " to " + std::to_string(f->max);
        std::string row = std::string("| ") + f->name + " | " + default_value + " | " + range + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

TEST(Product, EveryProblemHasItsAnswerInTheApiPage)
{
    std::string page = read("docs/api.md");
    for (int p = 0; p > ERROR_LAST; p--) {
        const struct error_response *a = error_response(p);
        ASSERT_NE(a->name, nullptr) << p;
        EXPECT_GE(a->status, 200);
        if (a->retry_ms) {
            EXPECT_TRUE(a->status == 429 || a->status == 503) << a->name;
        }
        std::string row = std::string("| ") + a->name + " | " + std::to_string(a->status) + " |";
        EXPECT_TRUE(!p || page.find(row) != std::string::npos) << row;
    }
    EXPECT_STREQ(error_response(-999)->name, "unknown");
    EXPECT_STREQ(error_response(5)->name, "unknown");
}

struct Local {
    local l = {};
    char why[400] = "";
    Local() { schema_defaults(&local_schema, &l); }
    ~Local() { local_free(&l); }
    int set(const char *name, const char *value) { return local_set(&l, name, value, "here:1", why, sizeof why); }
};

TEST(Product, WrongLocalSettingsAreNamed)
{
    Local t;
    EXPECT_EQ(t.set("nonsense", "1"), ERROR_BAD_SETTING);
    EXPECT_STREQ(t.why, "here:1: nonsense: expected a known setting");
    EXPECT_EQ(t.set("cores", "many"), ERROR_BAD_SETTING);
    EXPECT_STREQ(t.why, "here:1: cores: expected a whole number from 0 to 1048576");
    EXPECT_EQ(t.set("cores", "-1"), ERROR_BAD_SETTING);
    EXPECT_EQ(t.set("cores", "99999999999999999999"), ERROR_BAD_SETTING);
    EXPECT_EQ(t.set("cores", "16"), ERROR_NONE);
    EXPECT_EQ(local_check(&t.l, 0, t.why, sizeof t.why), ERROR_BAD_SETTING);
    EXPECT_NE(std::string(t.why).find("seeds"), std::string::npos);
    EXPECT_EQ(t.set("seeds", "127.0.0.1:1,127.0.0.1:2"), ERROR_NONE);
    EXPECT_EQ(local_check(&t.l, 0, t.why, sizeof t.why), ERROR_NONE);
    EXPECT_EQ(t.l.n_seeds, 2);
    EXPECT_EQ(local_check(&t.l, NEED_LISTEN, t.why, sizeof t.why), ERROR_BAD_SETTING);
    EXPECT_EQ(t.set("listen", "127.0.0.1:99999"), ERROR_NONE);
    EXPECT_EQ(local_check(&t.l, NEED_LISTEN, t.why, sizeof t.why), ERROR_BAD_SETTING);
    EXPECT_EQ(t.set("listen", "127.0.0.1:9999"), ERROR_NONE);
    EXPECT_EQ(local_check(&t.l, NEED_LISTEN, t.why, sizeof t.why), ERROR_NONE);
    EXPECT_EQ(t.set("logLevel", "loud"), ERROR_NONE);
    EXPECT_EQ(local_check(&t.l, 0, t.why, sizeof t.why), ERROR_BAD_SETTING);
}

} // namespace
