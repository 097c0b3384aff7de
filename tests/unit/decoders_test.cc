// Every decoder of external input is given damaged messages: it refuses them, or decodes them to something that it can
// encode and decode again.
#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "base/error.h"
#include "config_tree/config_tree.h"
#include "executor/executor.h"
#include "keeper/keeper.h"
#include "node/node.h"
#include "proc/local.h"
#include "runbook/runbook.h"
}

namespace
{

// Fills a struct with random values according to its schema, with lists and strings of random size.
void fill(const schema *s, void *what, std::mt19937 &random, int depth)
{
    memset(what, 0, s->size);
    for (int i = 0; i < s->n; i++) {
        const field *f = &s->fields[i];
        char *at = (char *)what + f->off;
        int64_t n = depth > 2 ? 0 : (int64_t)(random() % 3);
        switch (f->kind) {
        case F_INT:
        case F_BOOL: *(int64_t *)at = (int64_t)((uint64_t)random() << (random() % 20)) * (random() % 2 ? 1 : -1); break;
        case F_STR: *(char **)at = random() % 3 ? must_printf("t%u", (unsigned)random()) : nullptr; break;
        case F_BYTES: bytes_printf((bytes *)at, "%u", (unsigned)random()); break;
        case F_SUB: fill(f->sub, at, random, depth + 1); break;
        case F_PTR:
            if (n) {
                *(void **)at = must_alloc(f->sub->size);
                fill(f->sub, *(void **)at, random, depth + 1);
            }
            break;
        default: {
            *(int64_t *)((char *)what + f->count_off) = n;
            size_t each = f->kind == F_LIST ? f->sub->size : 8;
            char *items = n ? (char *)must_alloc(each * (size_t)n) : nullptr;
            *(char **)at = items;
            for (int64_t k = 0; k < n; k++) {
                if (f->kind == F_LIST)
                    fill(f->sub, items + (size_t)k * each, random, depth + 1);
                else if (f->kind == F_STRS)
                    ((char **)items)[k] = must_printf("s%u", (unsigned)random());
                else
                    ((int64_t *)items)[k] = (int64_t)random();
            }
        }
        }
    }
}

TEST(Decoders, DamagedMessagesOfEveryKind)
{
    const schema *schemas[] = {&peer_probe_schema,
                               &log_vote_request_schema,
                               &log_vote_schema,
                               &log_append_schema,
                               &log_appended_schema,
                               &log_snapshot_schema,
                               &log_chunk_schema,
                               &log_chunk_ack_schema,
                               &log_snapshot_file_schema,
                               &log_lead_now_schema,
                               &bootstrap_status_schema,
                               &join_schema,
                               &control_updates_request_schema,
                               &control_updates_schema,
                               &propose_schema,
                               &proposed_schema,
                               &forward_request_schema,
                               &forward_response_schema,
                               &executor_summaries_msg_schema,
                               &reserve_request_schema,
                               &reserve_reply_schema,
                               &start_order_schema,
                               &check_request_schema,
                               &check_reply_schema,
                               &ended_schema,
                               &batch_schema,
                               &batch_result_schema,
                               &config_tree_schema,
                               &config_tree_op_schema,
                               &config_tree_result_schema,
                               &job_schema,
                               &log_members_schema};
    std::mt19937 random(11);
    int refused = 0, taken = 0;
    for (const schema *s : schemas)
        for (int round = 0; round < 400; round++) {
            std::vector<char> what(s->size), out(s->size);
            bytes good = {};
            fill(s, what.data(), random, 0);
            schema_pack(s, what.data(), &good);
            ASSERT_EQ(schema_unpack(s, out.data(), good.at, good.len), ERROR_NONE) << s->name;
            bytes again = {};
            schema_pack(s, out.data(), &again);
            ASSERT_EQ(again.len, good.len);
            ASSERT_EQ(memcmp(again.at, good.at, (size_t)good.len), 0) << s->name;
            schema_free(s, out.data());
            for (unsigned flips = 1 + random() % 3; flips; flips--)
                good.at[random() % (uint64_t)good.len] = (uint8_t)random();
            int64_t len = random() % 3 ? good.len : (int64_t)(random() % (uint64_t)good.len);
            std::fill(out.begin(), out.end(), 0);
            if (schema_unpack(s, out.data(), good.at, len)) {
                refused++;
            } else {
                taken++;
                bytes third = {};
                std::vector<char> twice(s->size);
                schema_pack(s, out.data(), &third);
                ASSERT_EQ(schema_unpack(s, twice.data(), third.at, third.len), ERROR_NONE) << s->name;
                schema_free(s, twice.data());
                schema_free(s, out.data());
                bytes_free(&third);
            }
            schema_free(s, what.data());
            bytes_free(&good);
            bytes_free(&again);
        }
    EXPECT_GT(refused, 100);
    EXPECT_GT(taken, 100);
}

TEST(Decoders, DamagedJson)
{
    const char *bodies[] = {
        R"({"key":"k","service":"s","queue":"q","steps":[{"name":"a","rack":"one","tasks":[{"kind":"c","payload":"x"}]}]})",
        R"({"cluster":"c","epoch":3,"incarnation":1,"ticket":5,"starts":[{"job":1,"no":0,"attempt":1,"hold":true}]})",
        R"({"name":"e","cluster":"c","address":"1.2.3.4:5","kind":"k","rack":"r","incarnation":4,"ended":[{"job":1}]})"};
    const schema *schemas[] = {&job_spec_schema, &exec_orders_schema, &exec_state_schema};
    std::mt19937 random(5);
    for (int k = 0; k < 3; k++) {
        int taken = 0;
        for (int round = 0; round < 6000; round++) {
            std::string bad = bodies[k];
            for (unsigned flips = random() % 3; flips; flips--)
                bad[random() % bad.size()] = (char)(random() % 128);
            std::vector<char> out(schemas[k]->size);
            validation_error error = {};
            if (schema_from_text(schemas[k], out.data(), bad.data(), (int64_t)bad.size(), &error)) {
                EXPECT_TRUE(error.error == ERROR_BAD_JSON || error.error == ERROR_BAD_FIELD ||
                            error.error == ERROR_TOO_LARGE);
                EXPECT_STRNE(error.expected, "");
                continue;
            }
            taken++;
            char *text = schema_to_text(schemas[k], out.data());
            ASSERT_NE(text, nullptr);
            free(text);
            schema_free(schemas[k], out.data());
        }
        EXPECT_GT(taken, 100);
    }
}

std::string damaged(std::string text, std::mt19937 &random)
{
    for (unsigned n = random() % 4; n; n--) {
        size_t at = random() % text.size();
        if (random() % 3 == 0)
            text.erase(at, 1 + random() % 5);
        else
            text[at] = (char)(1 + random() % 127);
        if (text.empty())
            text = " ";
    }
    return text;
}

// Accepted settings are valid, and rejected ones change nothing.
TEST(Decoders, DamagedSettings)
{
    std::mt19937 random(3);
    int taken = 0, rejected = 0;
    config_tree tree = {};
    for (int round = 0; round < 6000; round++) {
        std::string text = damaged(
            R"({"root":{"attemptsMax":5,"licenceMs":5000},"root/a":{"attemptsMax":4},"root/a/q":{"atLeastOnce":true}})",
            random);
        bytes before = {}, after = {};
        validation_error error = {};
        config_tree_snapshot(&tree, &before);
        int rc = config_tree_replace(&tree, text.c_str(), &error);
        config_tree_snapshot(&tree, &after);
        if (rc) {
            rejected++;
            ASSERT_EQ(before.len, after.len) << text;
            ASSERT_EQ(memcmp(before.at, after.at, (size_t)before.len), 0) << text;
        } else {
            taken++;
            ASSERT_EQ(config_tree_check(tree.branches, tree.n_branches, &error), ERROR_NONE) << text;
            settings effective;
            config_tree_effective(&tree, "root/a/q", &effective);
            ASSERT_GE(effective.attempts_max, 1);
        }
        bytes_free(&before);
        bytes_free(&after);
    }
    EXPECT_GT(taken, 100);
    EXPECT_GT(rejected, 100);
    config_tree_end(&tree);
}

TEST(Decoders, DamagedRunbooksAreParsedOrNameALine)
{
    const char good[] = "runbook x\nparam a\n# note\nstep one\n  let v = GET /v1/settings version\n"
                        "  unless GET /p s[k={a}].count is 1\n  do PUT /p?expect={v} {\"a\":1}\n"
                        "step two\n  everywhere GET /p s atleast 3 within 100\n  tell stop {a}\n";
    std::mt19937 random(9);
    int taken = 0, rejected = 0;
    for (int round = 0; round < 6000; round++) {
        runbook book;
        char why[300] = "";
        if (runbook_parse(&book, damaged(good, random).c_str(), why, sizeof why)) {
            rejected++;
            EXPECT_EQ(std::string(why).rfind("line ", 0), 0u) << why;
            EXPECT_EQ(book.n_steps, 0);
        } else {
            taken++;
            EXPECT_GT(book.n_steps, 0);
            runbook_free(&book);
        }
    }
    EXPECT_GT(taken, 100);
    EXPECT_GT(rejected, 100);
}

TEST(Decoders, DamagedLocalSettingsKeepTheirBounds)
{
    const char *names[] = {"cluster", "seeds", "listen", "cores", "failPct", "logLevel", "memMb", "nonsense"};
    const char *values[] = {"abc", "127.0.0.1:80,10.0.0.1:9", "127.0.0.1:7000", "16", "-1", "info", "999999999999", ""};
    std::mt19937 random(4);
    local settings_read;
    char why[400];
    schema_defaults(&local_schema, &settings_read);
    for (int round = 0; round < 6000; round++) {
        std::string name = damaged(names[random() % 8], random), value = values[random() % 8];
        if (!value.empty())
            value = damaged(value, random);
        if (local_set(&settings_read, name.c_str(), value.c_str(), "x:1", why, sizeof why)) {
            EXPECT_EQ(std::string(why).rfind("x:1: ", 0), 0u);
        }
        local_check(&settings_read, NEED_LISTEN, why, sizeof why);
        ASSERT_GE(settings_read.cores, 0);
        ASSERT_LE(settings_read.fail_pct, 100);
        ASSERT_GE(settings_read.fail_pct, 0);
        ASSERT_LE(settings_read.n_seeds, 8);
    }
    local_free(&settings_read);
}

} // namespace
