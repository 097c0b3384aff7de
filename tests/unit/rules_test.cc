// Rules of head office and outlets in the record: bounds, limits of adjustments, versions, repeated changes, and the
// rules that a job gets.
#include <gtest/gtest.h>

#include "record_build.h"

using namespace record_build;

namespace
{

// Head office's setting of one rule.
struct RuleBounds {
    const char *name;
    int64_t value, least, most;
};

int64_t &value_of(const rule_values &values, const char *name)
{
    const field *f = schema_field(&rule_values_schema, name);
    return *rule_at(&values, (int)(f - rule_values_schema.fields));
}

struct Rules : testing::Test {
    struct record r = {};

    void SetUp() override
    {
        record_start(&r);
        Batch b;
        b.conf(1000, 0, 1, {{"a", 4}, {"b", 4}}, "one");
        ASSERT_EQ(record_apply(&r, &b.batch.ops[0]), 0);
    }
    void TearDown() override { record_end(&r); }
    template <class F> int apply_change(F fill)
    {
        Batch b;
        record_op &op = b.more(1000);
        rules_change *change = record_op_make_rules(&op);
        schema_defaults(&rules_change_schema, change);
        fill(*change);
        return record_apply(&r, &op);
    }
    int change_head(int64_t base, int64_t version, const std::vector<RuleBounds> &rules)
    {
        return apply_change([&](rules_change &c) {
            c.base = base, c.head.version = version;
            for (const RuleBounds &s : rules) {
                value_of(c.head.value, s.name) = s.value;
                value_of(c.head.least, s.name) = s.least, value_of(c.head.most, s.name) = s.most;
            }
        });
    }
    int change_outlet(const std::string &name, int64_t base, int64_t version,
                      const std::vector<std::pair<const char *, int64_t>> &own,
                      const std::vector<std::string> &queues = {})
    {
        return apply_change([&](rules_change &c) {
            c.outlet = dup(name), c.base = base, c.to.version = version;
            for (auto &[rule, value] : own)
                value_of(c.to.own, rule) = value;
            for (const std::string &queue : queues)
                more_of(c.to.queues, c.to.n_queues) = dup(queue);
        });
    }
    int64_t effective_value(const std::string &name, const char *rule)
    {
        rule_values now;
        int64_t no = rules_outlet(&r.rules, name.c_str());
        rules_effective(&r.rules, &r.rules.outlets[no], &now);
        return value_of(now, rule);
    }
    bool clamped(const std::string &name, const char *rule)
    {
        const field *f = schema_field(&rule_values_schema, rule);
        return rule_clamped(&r.rules, &r.rules.outlets[rules_outlet(&r.rules, name.c_str())],
                            (int)(f - rule_values_schema.fields));
    }
    int accept_job(int64_t id, const std::string &of, const std::string &queue = "a", const Spec &spec = two)
    {
        Batch b;
        job_op &job = *record_op_make_job(&b.more(2000));
        job.spec = spec_of(id, spec);
        job.queue = dup(queue);
        if (!of.empty())
            job.spec.outlet = dup(of);
        return record_apply(&r, &b.batch.ops[0]);
    }
    const job_rules *rules_of_job(int64_t id) { return record_job(&r, id)->rules; }
};

TEST_F(Rules, HeadOfficeChangesApplyToAllOutletsAndKeepAdjustments)
{
    ASSERT_EQ(change_head(0, 1, {{"priority", 5, 2, 8}, {"attemptsMax", 3, 3, 3}}), 0);
    ASSERT_EQ(change_outlet("north", 0, 1, {{"priority", 7}}), 0);
    ASSERT_EQ(change_outlet("south", 0, 1, {}), 0);
    EXPECT_EQ(effective_value("north", "priority"), 7);
    EXPECT_EQ(effective_value("south", "priority"), 5);
    ASSERT_EQ(change_head(1, 2, {{"priority", 3, 2, 4}, {"attemptsMax", 2, 2, 2}}), 0); // tighter
    EXPECT_EQ(effective_value("north", "priority"), 4);
    EXPECT_TRUE(clamped("north", "priority"));
    EXPECT_EQ(effective_value("south", "priority"), 3);
    EXPECT_EQ(effective_value("north", "attemptsMax"), 2);
    ASSERT_EQ(change_head(2, 3, {}), 0); // no rules set
    EXPECT_EQ(effective_value("north", "priority"), RULE_UNSET);
    EXPECT_TRUE(clamped("north", "priority"));
    ASSERT_EQ(change_head(3, 4, {{"priority", 3, 0, 9}}), 0); // looser again
    EXPECT_EQ(effective_value("north", "priority"), 7);
    EXPECT_FALSE(clamped("north", "priority"));
}

TEST_F(Rules, AdjustmentsMustStayWithinHeadOfficeBounds)
{
    ASSERT_EQ(change_head(0, 1, {{"priority", 5, 2, 8}, {"attemptsMax", 3, 3, 3}}), 0);
    EXPECT_EQ(change_outlet("north", 0, 1, {{"priority", 9}}), ERROR_BOUND);
    EXPECT_EQ(change_outlet("north", 0, 1, {{"attemptsMax", 4}}), ERROR_BOUND);
    EXPECT_EQ(change_outlet("north", 0, 1, {{"targetMs", 4}}), ERROR_BOUND); // not set by head office
    EXPECT_EQ(rules_outlet(&r.rules, "north"), -1);
    EXPECT_EQ(change_outlet("north", 0, 1, {{"priority", 8}}), 0);
    ASSERT_EQ(change_head(1, 2, {{"priority", 3, 2, 4}, {"runningMost", 6, 0, 100000}}), 0);
    // a value that is already set may be repeated; a new value must be within the limits
    EXPECT_EQ(change_outlet("north", 1, 2, {{"priority", 8}, {"runningMost", 2}}), 0);
    EXPECT_EQ(change_outlet("north", 2, 3, {{"priority", 7}, {"runningMost", 2}}), ERROR_BOUND);
    EXPECT_EQ(effective_value("north", "priority"), 4);
    EXPECT_EQ(effective_value("north", "runningMost"), 2);
}

TEST_F(Rules, ChangesMustBeBasedOnTheCurrentVersion)
{
    ASSERT_EQ(change_head(0, 4, {{"priority", 5, 2, 8}}), 0);
    EXPECT_EQ(change_head(0, 4, {{"priority", 5, 2, 8}}), 0) << "sent again";
    EXPECT_EQ(change_head(0, 4, {{"priority", 6, 2, 8}}), ERROR_STALE) << "another under the same number";
    EXPECT_EQ(change_head(0, 5, {{"priority", 6, 2, 8}}), ERROR_STALE);
    EXPECT_EQ(change_head(4, 4, {{"priority", 6, 2, 8}}), ERROR_STALE);
    EXPECT_EQ(change_head(4, 3, {{"priority", 6, 2, 8}}), ERROR_STALE);
    ASSERT_EQ(change_head(4, 5, {{"priority", 6, 2, 8}}), 0);
    EXPECT_EQ(change_head(0, 4, {{"priority", 5, 2, 8}}), 0) << "repeated after a later change";
    EXPECT_EQ(change_head(0, 4, {{"priority", 6, 2, 8}}), ERROR_STALE) << "another under the same number, as before";
    EXPECT_EQ(change_head(1, 4, {{"priority", 5, 2, 8}}), ERROR_STALE) << "on another base";
    EXPECT_EQ(r.rules.head.version, 5);
    ASSERT_EQ(change_outlet("north", 0, 2, {{"priority", 3}}), 0);
    EXPECT_EQ(change_outlet("north", 0, 2, {{"priority", 3}}), 0) << "sent again";
    EXPECT_EQ(change_outlet("north", 0, 3, {{"priority", 4}}), ERROR_STALE);
    EXPECT_EQ(change_outlet("north", 2, 2, {{"priority", 4}}), ERROR_STALE);
    EXPECT_EQ(change_outlet("south", 1, 2, {{"priority", 4}}), ERROR_STALE);
    EXPECT_EQ(change_outlet("north", 2, 3, {}), 0) << "removes its adjustments";
    EXPECT_EQ(change_outlet("north", 0, 2, {{"priority", 3}}), 0) << "repeated after a later change";
    EXPECT_EQ(change_outlet("north", 0, 2, {{"priority", 4}}), ERROR_STALE);
    EXPECT_EQ(effective_value("north", "priority"), 6);
}

// All outlets share one history. The outcome of a change that has dropped out of it is unknown.
TEST_F(Rules, ChangesOlderThanTheHistoryHaveAnUnknownOutcome)
{
    ASSERT_EQ(change_head(0, 1, {{"priority", 5, 2, 8}}), 0);
    ASSERT_EQ(change_outlet("north", 0, 1, {{"priority", 3}}), 0);
    ASSERT_EQ(change_outlet("north", 1, 2, {{"priority", 4}}), 0);
    for (int64_t n = 1; n <= CHANGES_KEPT - 1; n++)
        ASSERT_EQ(change_outlet("south", n - 1, n, {}), 0);
    EXPECT_EQ(change_head(0, 1, {{"priority", 5, 2, 8}}), 0) << "the newest needs no history";
    EXPECT_EQ(change_outlet("north", 0, 1, {{"priority", 3}}), ERROR_OUTCOME_UNKNOWN);
    EXPECT_EQ(change_outlet("north", 0, 1, {{"priority", 7}}), ERROR_OUTCOME_UNKNOWN) << "no longer in the history";
    EXPECT_EQ(change_outlet("north", 1, 2, {{"priority", 4}}), 0);
    EXPECT_EQ(change_outlet("north", 1, 2, {{"priority", 3}}), ERROR_STALE);
    EXPECT_EQ(change_outlet("south", 0, 1, {}), 0);
    EXPECT_EQ(change_outlet("east", 3, 4, {}), ERROR_STALE) << "an outlet without changes";
}

TEST_F(Rules, InvalidChangesAreRejected)
{
    EXPECT_EQ(change_head(0, 1, {{"priority", -3, 0, 1}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_head(0, 1, {{"priority", 3, 4, 5}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_head(0, 1, {{"priority", 3, 0, 2}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_head(0, 1, {{"priority", 3, 0, 2000}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_head(0, 1, {{"attemptsMax", 0, 0, 0}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_head(0, 1, {{"inTurn", 3, 3, 3}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_head(0, 1, {{"opensAtMin", 1440, 1440, 1440}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_head(0, 0, {}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_outlet("", 0, 1, {}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_outlet("a/b", 0, 1, {}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_outlet(std::string(65, 'x'), 0, 1, {}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_outlet("north", 0, 1, {{"priority", 5000}}), ERROR_BAD_FIELD);
    EXPECT_EQ(change_outlet("north", 0, 1, {}, {""}), ERROR_BAD_FIELD);
    Batch b;
    record_op &without_change = b.more(1); // an op without its body, as a damaged log entry might hold
    without_change.kind = OP_RULES;
    EXPECT_EQ(record_apply(&r, &without_change), ERROR_BAD_FIELD);
}

TEST_F(Rules, AJobKeepsTheRulesItWasAcceptedUnder)
{
    ASSERT_EQ(change_head(0, 1, {{"priority", 5, 2, 8}, {"attemptsMax", 1, 1, 1}}), 0);
    ASSERT_EQ(change_outlet("north", 0, 3, {{"priority", 7}}), 0);
    ASSERT_EQ(accept_job(1, "north"), 0);
    ASSERT_EQ(accept_job(2, ""), 0);
    EXPECT_EQ(accept_job(3, "west"), ERROR_NOT_FOUND);
    ASSERT_EQ(change_head(1, 2, {{"priority", 1, 0, 1}}), 0);
    ASSERT_EQ(accept_job(4, "north"), 0);
    EXPECT_EQ(accept_job(1, "north"), 0) << "sent again";
    EXPECT_EQ(rules_of_job(1)->of_head, 1);
    EXPECT_EQ(rules_of_job(1)->of_outlet, 3);
    EXPECT_EQ(rules_of_job(1)->values.priority, 7);
    EXPECT_EQ(rules_of_job(2), nullptr);
    EXPECT_EQ(rules_of_job(4)->of_head, 2);
    EXPECT_EQ(rules_of_job(4)->values.priority, 1);
    EXPECT_EQ(JOB_EFFECTIVE_RULE(&r, record_job(&r, 1), priority), 7);
    EXPECT_EQ(JOB_EFFECTIVE_RULE(&r, record_job(&r, 1), attempts_max), 1);
    EXPECT_EQ(JOB_EFFECTIVE_RULE(&r, record_job(&r, 2), attempts_max), 4);
    EXPECT_EQ(JOB_EFFECTIVE_RULE(&r, record_job(&r, 4), attempts_max), 4)
        << "no longer set by head office: the queue's value";
    EXPECT_EQ(accept_job(1, "south"), ERROR_KEY_TAKEN);
    EXPECT_EQ(accept_job(1, ""), ERROR_KEY_TAKEN);
    EXPECT_EQ(accept_job(2, "north"), ERROR_KEY_TAKEN);
}

TEST_F(Rules, AttemptLimitOfTheOutletApplies)
{
    ASSERT_EQ(change_head(0, 1, {{"attemptsMax", 2, 2, 2}}), 0);
    ASSERT_EQ(change_outlet("north", 0, 1, {}), 0);
    ASSERT_EQ(accept_job(1, "north"), 0);
    for (int64_t attempt = 1; attempt <= 2; attempt++) {
        Batch b;
        b.place(3000, "life", 7, {{1, task_of(0, 0, 0), attempt}});
        b.end(3100, {{1, task_of(0, 0, 0), attempt, END_FAILED, ""}});
        EXPECT_EQ(record_apply(&r, &b.batch.ops[0]), 0);
        EXPECT_EQ(record_apply(&r, &b.batch.ops[1]), 0);
        EXPECT_EQ(record_job(&r, 1)->state, attempt == 2 ? JOB_FAILED : JOB_ACTIVE);
    }
    EXPECT_EQ(rules_of_job(1)->values.attempts_max, 2) << "kept after the job has ended";
}

TEST_F(Rules, AQueueMayBelongToAnOutlet)
{
    ASSERT_EQ(change_head(0, 1, {{"priority", 5, 2, 8}}), 0);
    ASSERT_EQ(change_outlet("north", 0, 1, {{"priority", 2}}, {"b"}), 0);
    EXPECT_EQ(change_outlet("south", 0, 1, {}, {"b"}), ERROR_KEY_TAKEN);
    ASSERT_EQ(change_outlet("south", 0, 1, {}), 0);
    ASSERT_EQ(accept_job(1, "", "b"), 0);
    ASSERT_EQ(accept_job(2, "", "a"), 0);
    ASSERT_EQ(accept_job(3, "south", "b"), 0) << "the outlet named by the job takes precedence";
    EXPECT_EQ(rules_of_job(1)->values.priority, 2);
    EXPECT_EQ(rules_of_job(2), nullptr);
    EXPECT_EQ(rules_of_job(3)->values.priority, 5);
    EXPECT_EQ(accept_job(1, "", "b"), 0) << "sent again";
}

TEST_F(Rules, AGangLargerThanRunningMostIsRejected)
{
    ASSERT_EQ(change_head(0, 1, {{"runningMost", 2, 2, 2}}), 0);
    ASSERT_EQ(change_outlet("north", 0, 1, {}), 0);
    EXPECT_EQ(accept_job(1, "north", "a", gang), ERROR_NEVER_FITS);
    EXPECT_EQ(accept_job(1, "", "a", gang), 0);
}

TEST_F(Rules, RestoreKeepsRulesAndJobs)
{
    ASSERT_EQ(change_head(0, 1, {{"priority", 5, 2, 8}, {"opensAtMin", 60, 0, 120}}), 0);
    ASSERT_EQ(change_outlet("north", 0, 1, {{"priority", 7}}, {"b"}), 0);
    ASSERT_EQ(change_outlet("south", 0, 1, {}), 0);
    ASSERT_EQ(accept_job(1, "north"), 0);
    ASSERT_EQ(accept_job(2, "south"), 0);
    Batch b;
    b.cancel(2500, 2);
    ASSERT_EQ(record_apply(&r, &b.batch.ops[0]), 0);
    ASSERT_EQ(change_head(1, 2, {{"priority", 3, 2, 4}}), 0);
    std::string before = snapshot_of(&r);
    struct bytes from = {};
    bytes_add(&from, before.data(), (int64_t)before.size());
    ASSERT_EQ(record_restore(&r, &from), 0);
    EXPECT_EQ(snapshot_of(&r), before);
    EXPECT_EQ(rules_of_job(1)->values.priority, 7);
    EXPECT_EQ(rules_of_job(2)->outlet, rules_outlet(&r.rules, "south"));
    EXPECT_EQ(effective_value("north", "priority"), 4);
    EXPECT_EQ(accept_job(1, "north"), 0);
    EXPECT_EQ(accept_job(2, "south"), 0);
    ASSERT_EQ(change_head(2, 3, {{"priority", 3, 2, 9}}), 0);
    EXPECT_EQ(effective_value("north", "priority"), 7);
    // a truncated snapshot is rejected
    std::string broken = before;
    for (size_t cut = 0; cut < before.size(); cut += 7) {
        from.len = (int64_t)cut;
        EXPECT_EQ(record_restore(&r, &from), ERROR_BAD_FRAME);
    }
    bytes_free(&from);
}

TEST_F(Rules, SpecHashOfAJobWithoutAnOutletIsUnchanged)
{
    ASSERT_EQ(accept_job(1, ""), 0);
    struct bytes packed = {};
    schema_pack(&submission_without_outlet_schema, &record_job(&r, 1)->spec, &packed);
    EXPECT_EQ(record_job(&r, 1)->spec_hash, hash_mix(hash_of(packed.at, packed.len), hash_text("a")));
    EXPECT_EQ(packed.at[0], 0x86) << "six fields, no outlet";
    bytes_free(&packed);
}

TEST(RuleHours, OpeningHoursWithinADayAndOverMidnight)
{
    const int64_t day = INT64_C(20000) * 86400000, hour = 3600000;
    rule_values v;
    schema_defaults(&rule_values_schema, &v);
    EXPECT_TRUE(rules_open(&v, day));
    EXPECT_EQ(rules_opens_ms(&v, day), 0);
    v.opens_at_min = 8 * 60;
    EXPECT_TRUE(rules_open(&v, day)) << "opens_at_min alone has no effect";
    v.closes_at_min = 18 * 60;
    EXPECT_FALSE(rules_open(&v, day + 8 * hour - 1));
    EXPECT_TRUE(rules_open(&v, day + 8 * hour));
    EXPECT_TRUE(rules_open(&v, day + 18 * hour - 1));
    EXPECT_FALSE(rules_open(&v, day + 18 * hour));
    EXPECT_EQ(rules_opens_ms(&v, day + 19 * hour), day + 32 * hour);
    EXPECT_EQ(rules_opens_ms(&v, day + 7 * hour), day + 8 * hour);
    EXPECT_EQ(rules_opened_ms(&v, day + 7 * hour), day - 16 * hour);
    v.opens_at_min = 22 * 60, v.closes_at_min = 2 * 60;
    EXPECT_TRUE(rules_open(&v, day + 23 * hour));
    EXPECT_TRUE(rules_open(&v, day + hour));
    EXPECT_FALSE(rules_open(&v, day + 2 * hour));
    v.closes_at_min = 22 * 60;
    EXPECT_TRUE(rules_open(&v, day + 5 * hour)) << "equal: always open";
}

} // namespace
