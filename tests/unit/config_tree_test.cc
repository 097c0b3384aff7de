// The configuration tree: inheritance, bounds and versions of settings, epochs of ownerships, and random changes
// compared with a simple model.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

extern "C" {
#include "base/error.h"
#include "config_tree/config_tree.h"
}

namespace
{

struct Tree {
    config_tree config = {};
    ~Tree() { config_tree_end(&config); }
    int64_t req = 0;
    int change(int64_t kind, int64_t expect, const char *path, const char *json, int64_t *version = nullptr)
    {
        config_tree_op op = {};
        config_tree_result result = {};
        op.kind = kind, op.requester = 1, op.req = ++req, op.expect = expect;
        op.path = must_dup(path), op.json = must_dup(json);
        config_tree_fold(&config, &op, &result);
        int rc = (int)result.error;
        if (version)
            *version = result.version;
        schema_free(&config_tree_op_schema, &op);
        schema_free(&config_tree_result_schema, &result);
        return rc;
    }
    // Plans that an executor is drained.
    int plan(const std::string &id, int64_t at_ms)
    {
        config_tree_op op = {};
        config_tree_result result = {};
        planned entry = {};
        entry.id = must_dup(id.c_str()), entry.kind = must_dup("drain"), entry.executor = must_dup("e1");
        entry.at_ms = at_ms;
        op.kind = CONFIG_OP_PLAN, op.requester = 1, op.req = ++req, op.expect = config.version, op.planned = &entry;
        config_tree_fold(&config, &op, &result);
        int rc = (int)result.error;
        schema_free(&planned_schema, &entry);
        schema_free(&config_tree_result_schema, &result);
        return rc;
    }
    settings at(const char *path)
    {
        settings effective;
        config_tree_effective(&config, path, &effective);
        return effective;
    }
};

TEST(ConfigTree, OnlyDescendantsInheritFromABranch)
{
    Tree tree;
    EXPECT_EQ(tree.change(CONFIG_OP_REPLACE, 0, nullptr,
                          R"({"root":{"attemptsMax":5},"root/a":{"licenceMs":7000},"root/a/q":{"attemptsMax":2}})"),
              ERROR_NONE);
    EXPECT_EQ(tree.at("root/a/q").attempts_max, 2);
    EXPECT_EQ(tree.at("root/a/q").lease_ms, 7000);
    EXPECT_EQ(tree.at("root/a/other").attempts_max, 5);
    EXPECT_EQ(tree.at("root/b").lease_ms, 4000);
    EXPECT_EQ(tree.change(CONFIG_OP_BRANCH, 1, "root/a", R"({"licenceMs":9000})"), ERROR_NONE);
    EXPECT_EQ(tree.at("root/a/q").lease_ms, 9000);
    EXPECT_EQ(tree.at("root/b/q").lease_ms, 4000);
    json_t *explained = config_tree_explain(&tree.config, "root/a/q");
    EXPECT_STREQ(json_string_value(json_object_get(json_object_get(explained, "licenceMs"), "from")), "root/a");
    EXPECT_STREQ(json_string_value(json_object_get(json_object_get(explained, "attemptsMax"), "from")), "root/a/q");
    EXPECT_STREQ(json_string_value(json_object_get(json_object_get(explained, "backoffMs"), "from")), "default");
    json_decref(explained);
    EXPECT_EQ(tree.change(CONFIG_OP_BRANCH, 2, "root/a", nullptr), ERROR_NONE);
    EXPECT_EQ(tree.at("root/a/q").lease_ms, 4000);
}

// Guards against an entry of a full calendar that cannot be replaced by a newer one of its name.
TEST(ConfigTree, EntryOfAFullCalendarIsReplaced)
{
    Tree tree;
    for (int64_t i = 0; i < PLANS_MAX; i++)
        ASSERT_EQ(tree.plan("p" + std::to_string(i), 1000), ERROR_NONE);
    EXPECT_EQ(tree.plan("one more", 1000), ERROR_TOO_LARGE);
    EXPECT_EQ(tree.plan("p7", 2000), ERROR_NONE);
    EXPECT_EQ(config_tree_planned(&tree.config, "p7")->at_ms, 2000);
    EXPECT_EQ(tree.config.n_calendar, PLANS_MAX);
}

TEST(ConfigTree, RepeatedOpGetsItsFirstResult)
{
    Tree tree;
    int64_t version;
    EXPECT_EQ(tree.change(CONFIG_OP_BRANCH, 0, "root", R"({"attemptsMax":5})"), ERROR_NONE);
    tree.req--;
    EXPECT_EQ(tree.change(CONFIG_OP_BRANCH, 0, "root", R"({"attemptsMax":5})", &version), ERROR_NONE);
    EXPECT_EQ(version, 1);
    EXPECT_EQ(tree.change(CONFIG_OP_BRANCH, 0, "root", R"({"attemptsMax":6})", &version), ERROR_STALE);
    EXPECT_EQ(tree.config.version, 1);
}

TEST(ConfigTree, OwnershipEpochNeverFalls)
{
    Tree tree;
    config_tree_op op = {};
    config_tree_result result = {};
    ownership assigned = {};
    char name[] = "shard/1";
    op.kind = CONFIG_OP_OWNERSHIPS, op.ownerships = &assigned, op.n_ownerships = 1;
    assigned.name = name, assigned.owner = 7, assigned.epoch = 3;
    config_tree_fold(&tree.config, &op, &result);
    assigned.owner = 8, assigned.epoch = 3;
    config_tree_fold(&tree.config, &op, &result);
    EXPECT_EQ(config_tree_ownership(&tree.config, name)->owner, 7);
    assigned.epoch = 4;
    config_tree_fold(&tree.config, &op, &result);
    EXPECT_EQ(config_tree_ownership(&tree.config, name)->owner, 8);
}

TEST(ConfigTree, RandomChangesKeepAllBounds)
{
    const char *paths[] = {"root", "root/a", "root/a/x", "root/a/y", "root/b"};
    for (unsigned seed = 1; seed <= 20; seed++) {
        std::mt19937 random(seed);
        Tree tree;
        std::map<std::string, int> model; // path -> attempts_max
        int64_t version = 0;
        auto effective = [&](std::string path) {
            for (;;) {
                if (model.count(path))
                    return model[path];
                if (path == "root")
                    return 3;
                path.resize(path.rfind('/'));
            }
        };
        auto bounds_kept = [&] {
            for (auto &[path, value] : model)
                if (path != "root") {
                    std::string parent = path.substr(0, path.rfind('/'));
                    if (value > effective(parent))
                        return false;
                }
            return true;
        };
        for (int step = 0; step < 300; step++) {
            std::string path = paths[random() % 5];
            int value = 1 + (int)(random() % 6);
            bool removal = random() % 5 == 0, stale = random() % 4 == 0;
            std::map<std::string, int> before = model;
            if (removal)
                model.erase(path);
            else
                model[path] = value;
            int expected = stale ? ERROR_STALE : bounds_kept() ? ERROR_NONE : ERROR_BOUND;
            std::string json = "{\"attemptsMax\":" + std::to_string(value) + "}";
            int got = tree.change(CONFIG_OP_BRANCH, stale ? version + 1 : version, path.c_str(),
                                  removal ? nullptr : json.c_str());
            ASSERT_EQ(got, expected) << "seed " << seed << " step " << step << " " << path << " " << json;
            if (expected == ERROR_NONE)
                version++;
            else
                model = before;
            ASSERT_EQ(tree.config.version, version);
            for (const char *p : paths)
                ASSERT_EQ(tree.at(p).attempts_max, effective(p)) << p;
        }
    }
}

} // namespace
