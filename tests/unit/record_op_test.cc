// Ops of the record: accessors read only the member of the op's kind.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>

extern "C" {
#include "dispatch/record_op.h"
}

namespace
{

struct Op {
    record_op op = {};
    ~Op() { schema_free(&record_op_schema, &op); }
};

// Makes an op of each kind.
const std::map<int64_t, std::function<void(record_op *)>> makers = {
    {OP_CONFIG, [](record_op *op) { record_op_make_config(op)->base = 4; }},
    {OP_CONFIG_PATCH, [](record_op *op) { record_op_make_config_patch(op)->base = 4; }},
    {OP_JOB, [](record_op *op) { record_op_make_job(op)->queue = must_dup("a"); }},
    {OP_CANCEL, [](record_op *op) { record_op_make_cancel(op, 7); }},
    {OP_PLACE, [](record_op *op) { record_op_make_place(op)->agent = 77; }},
    {OP_END, [](record_op *op) { record_op_make_end(op); }},
    {OP_FORGET, [](record_op *op) { record_op_make_forget(op); }},
    {OP_RULES, [](record_op *op) { record_op_make_rules(op)->base = 3; }}};

// Checks that the accessor works on ops of these kinds and aborts the process on all others.
void expect_readable(const std::set<int64_t> &kinds, const std::function<void(record_op *)> &read)
{
    Op none;
    EXPECT_DEATH(read(&none.op), "");
    for (const auto &[other, make] : makers) {
        Op made;
        make(&made.op);
        EXPECT_EQ(made.op.kind, other);
        if (kinds.count(other))
            read(&made.op);
        else
            EXPECT_DEATH(read(&made.op), "") << other;
    }
}

} // namespace

TEST(RecordOpDeathTest, AccessorsRejectOtherKinds)
{
    expect_readable({OP_CONFIG, OP_CONFIG_PATCH}, [](record_op *op) { EXPECT_EQ(record_op_config(op)->base, 4); });
    expect_readable({OP_JOB}, [](record_op *op) { EXPECT_STREQ(record_op_job(op)->queue, "a"); });
    expect_readable({OP_CANCEL}, [](record_op *op) { EXPECT_EQ(record_op_cancelled(op), 7); });
    expect_readable({OP_PLACE}, [](record_op *op) { EXPECT_EQ(record_op_place(op)->agent, 77); });
    expect_readable({OP_PLACE}, [](record_op *op) { EXPECT_EQ(record_op_append_place(op)->agent, 77); });
    expect_readable({OP_END}, [](record_op *op) { EXPECT_EQ(record_op_end(op)->n_ended, 0); });
    expect_readable({OP_END}, [](record_op *op) { EXPECT_EQ(record_op_append_end(op)->n_ended, 0); });
    expect_readable({OP_FORGET}, [](record_op *op) { EXPECT_EQ(record_op_forget(op)->n_jobs, 0); });
    expect_readable({OP_RULES}, [](record_op *op) { EXPECT_EQ(record_op_rules(op)->base, 3); });
}

TEST(RecordOpDeathTest, KindIsSetOnce)
{
    for (const auto &[kind, make] : makers) {
        Op made;
        make(&made.op);
        EXPECT_DEATH(makers.at(kind)(&made.op), "") << kind;
    }
}
