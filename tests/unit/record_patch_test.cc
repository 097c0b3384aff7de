// Patches of the configuration in the record: applied once and as a whole, and acknowledged again if resent.
#include <gtest/gtest.h>

#include <string>

#include "record_build.h"

using namespace record_build;

namespace
{

// In these tests a patch is the name of the queue that it adds; "!" is invalid.
enum sagehitch_error patch_of_test(config *to, const bytes *current, const bytes *patch,
                                   struct validation_error *validation_error)
{
    std::string name((const char *)patch->at, (size_t)patch->len);
    if (name == "!")
        return validation_error_named(validation_error, ERROR_BAD_FIELD, "", "name", "a name");
    std::string raw((const char *)current->at, (size_t)current->len);
    *to = config_of(std::stoll(name.substr(1)), {{"a", 2}, {name, 2}}, raw + "+" + name);
    return ERROR_NONE;
}

struct RecordPatch : testing::Test {
    record r = {};
    RecordPatch()
    {
        record_start(&r);
        r.patch_config = patch_of_test;
        Batch first;
        first.conf(1000, 0, 1, {{"a", 2}}, "one");
        EXPECT_EQ(record_apply(&r, &first.batch.ops[0]), 0);
    }
    ~RecordPatch() override { record_end(&r); }
    int patch(int64_t base, int64_t version, const std::string &text)
    {
        Batch batch;
        config_change &change = *record_op_make_config_patch(&batch.more(2000));
        change.base = base;
        change.config.version = version;
        bytes_add(&change.config.raw, text.data(), (int64_t)text.size());
        return record_apply(&r, &batch.batch.ops[0]);
    }
    std::string raw() const { return {(const char *)r.config.raw.at, (size_t)r.config.raw.len}; }
};

} // namespace

TEST_F(RecordPatch, IsAppliedAsWholeConfiguration)
{
    ASSERT_EQ(patch(1, 5, "q5"), 0);
    EXPECT_EQ(r.config.version, 5);
    EXPECT_EQ(r.config.n_queues, 2);
    EXPECT_EQ(raw(), "one+q5");
    EXPECT_GE(record_queue(&r, "q5"), 0);
}

TEST_F(RecordPatch, ResentIsAcknowledgedAfterLaterChangesAndSnapshot)
{
    ASSERT_EQ(patch(1, 5, "q5"), 0);
    EXPECT_EQ(patch(1, 5, "q5"), 0) << "resent";
    EXPECT_EQ(raw(), "one+q5") << "applied once";
    ASSERT_EQ(patch(5, 6, "q6"), 0);
    EXPECT_EQ(patch(1, 5, "q5"), 0);
    bytes stored = {};
    record_snapshot(&r, &stored);
    ASSERT_EQ(record_restore(&r, &stored), 0);
    bytes_free(&stored);
    EXPECT_EQ(patch(5, 6, "q6"), 0);
    EXPECT_EQ(raw(), "one+q5+q6");
}

TEST_F(RecordPatch, FirstOfTwoWithSameBaseWins)
{
    ASSERT_EQ(patch(1, 5, "q5"), 0);
    EXPECT_EQ(patch(1, 6, "q6"), ERROR_STALE);
    EXPECT_EQ(patch(1, 5, "x5"), ERROR_STALE) << "another patch with the same version";
    EXPECT_EQ(patch(4, 5, "q5"), ERROR_STALE) << "the same patch with another base";
    Batch put;
    put.conf(3000, 1, 5, {{"a", 2}}, "q5");
    EXPECT_EQ(record_apply(&r, &put.batch.ops[0]), ERROR_STALE) << "a whole configuration with the same text";
    EXPECT_EQ(raw(), "one+q5");
}

TEST_F(RecordPatch, InvalidChangesNothing)
{
    EXPECT_EQ(patch(1, 5, "!"), ERROR_BAD_FIELD);
    EXPECT_EQ(patch(1, 0, "q0"), ERROR_BAD_FIELD) << "no version";
    EXPECT_EQ(raw(), "one");
    EXPECT_EQ(r.config_history.n, 1);
    ASSERT_EQ(patch(1, 5, "q5"), 0) << "the version is still unused";
    r.patch_config = nullptr;
    EXPECT_EQ(patch(5, 6, "q6"), ERROR_BAD_METHOD);
}
