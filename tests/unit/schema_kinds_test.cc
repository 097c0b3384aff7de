// Schemas of tagged unions: members that the kind does not have keep their position, and are neither read nor written.
#include <gtest/gtest.h>

#include <cstddef>

extern "C" {
#include "base/error.h"
#include "base/schema.h"
#include "controller/api_message.h"
#include "dispatch/record_op.h"
}

namespace
{

enum { KIND_TEXT = 1, KIND_NUMBERS = 2, KIND_LAST = 62 };

struct Union {
    int64_t kind;
    union {
        char *text;
        struct {
            int64_t *items;
            int64_t n;
        } numbers;
        int64_t last;
    } body;
    int64_t after;
};
// The same positions without a union, as a faulty sender might fill them.
struct Plain {
    int64_t kind, retired;
    char *text;
    int64_t *items, n, last, after;
};

field field_of(const char *name, field_kind kind, size_t off, uint64_t kinds = 0, size_t count_off = 0)
{
    return {name, kind, off, count_off, nullptr, 0, 0, 0, 0, nullptr, kinds};
}
const field union_fields[] = {
    field_of("kind", F_INT, offsetof(Union, kind)),
    field_of("retired", F_INT, offsetof(Union, kind), KINDS_NONE),
    field_of("text", F_STR, offsetof(Union, body), KIND_BIT(KIND_TEXT)),
    field_of("items", F_INTS, offsetof(Union, body), KIND_BIT(KIND_NUMBERS), offsetof(Union, body.numbers.n)),
    field_of("last", F_INT, offsetof(Union, body), KIND_BIT(KIND_LAST)),
    field_of("after", F_INT, offsetof(Union, after))};
const schema union_schema = {"union", sizeof(Union), union_fields, 6, 1};
const field plain_fields[] = {field_of("kind", F_INT, offsetof(Plain, kind)),
                              field_of("retired", F_INT, offsetof(Plain, retired)),
                              field_of("text", F_STR, offsetof(Plain, text)),
                              field_of("items", F_INTS, offsetof(Plain, items), 0, offsetof(Plain, n)),
                              field_of("last", F_INT, offsetof(Plain, last)),
                              field_of("after", F_INT, offsetof(Plain, after))};
const schema plain_schema = {"plain", sizeof(Plain), plain_fields, 6, 0};

// Has a value at every position, whatever the kind.
struct Packed {
    bytes at = {};
    explicit Packed(int64_t kind)
    {
        char text[] = "text";
        int64_t items[] = {7, 8};
        Plain plain = {kind, 99, text, items, 2, 5, 31};
        schema_pack(&plain_schema, &plain, &at);
    }
    ~Packed() { bytes_free(&at); }
};

TEST(SchemaKinds, OnlyMembersOfTheKindAreRead)
{
    for (int64_t kind : {(int64_t)KIND_TEXT, (int64_t)KIND_NUMBERS, (int64_t)KIND_LAST, (int64_t)0, (int64_t)3,
                         (int64_t)63, (int64_t)64, (int64_t)-1, INT64_MAX}) {
        Packed packed(kind);
        Union got = {};
        ASSERT_EQ(schema_unpack(&union_schema, &got, packed.at.at, packed.at.len), ERROR_NONE) << kind;
        EXPECT_EQ(got.kind, kind);
        EXPECT_EQ(got.after, 31) << kind;
        if (kind == KIND_TEXT) {
            EXPECT_STREQ(got.body.text, "text");
            EXPECT_EQ(got.body.numbers.n, 0);
        } else if (kind == KIND_NUMBERS) {
            ASSERT_EQ(got.body.numbers.n, 2);
            EXPECT_EQ(got.body.numbers.items[1], 8);
        } else if (kind == KIND_LAST) {
            EXPECT_EQ(got.body.last, 5);
        } else {
            EXPECT_EQ(got.body.text, nullptr) << kind;
            EXPECT_EQ(got.body.numbers.n, 0) << kind;
        }
        schema_free(&union_schema, &got);
    }
}

TEST(SchemaKinds, MembersOfOtherKindsArePackedEmpty)
{
    char text[] = "text";
    Union from = {};
    from.kind = KIND_TEXT, from.body.text = text, from.after = 31;
    bytes packed = {};
    schema_pack(&union_schema, &from, &packed);
    Plain got = {};
    ASSERT_EQ(schema_unpack(&plain_schema, &got, packed.at, packed.len), ERROR_NONE);
    EXPECT_EQ(got.kind, KIND_TEXT);
    EXPECT_EQ(got.retired, 0);
    EXPECT_STREQ(got.text, "text");
    EXPECT_EQ(got.n, 0);
    EXPECT_EQ(got.last, 0);
    EXPECT_EQ(got.after, 31);
    schema_free(&plain_schema, &got);
    bytes_free(&packed);
}

TEST(SchemaKinds, CopyHasTheMembersOfItsKind)
{
    int64_t items[] = {7, 8};
    Union from = {}, copy;
    from.kind = KIND_NUMBERS, from.body.numbers = {items, 2};
    schema_copy(&union_schema, &copy, &from);
    ASSERT_EQ(copy.body.numbers.n, 2);
    EXPECT_NE(copy.body.numbers.items, items);
    EXPECT_EQ(copy.body.numbers.items[0], 7);
    schema_free(&union_schema, &copy);
    EXPECT_EQ(copy.body.numbers.n, 0);
}

// A schema that is not marked as tagged would ignore the kinds of its fields.
TEST(SchemaKinds, SchemasWithKindsAreTagged)
{
    const schema *schemas[] = {&api_request_schema,        &api_response_schema,
                               &record_op_schema,          &executor_call_schema,
                               &executor_heartbeat_schema, &executor_response_schema,
                               &run_active_schema,         &run_ended_schema,
                               &agent_report_schema,       &agent_orders_schema,
                               &submission_schema,         &config_schema,
                               &rules_change_schema,       &rules_schema};
    int tagged = 0;
    for (const schema *one : schemas) {
        for (int i = 0; i < one->n; i++)
            EXPECT_TRUE(!one->fields[i].kinds || one->tagged) << one->name << " " << one->fields[i].name;
        if (one->tagged) {
            EXPECT_EQ(one->fields[0].kind, F_INT) << one->name;
            EXPECT_EQ(one->fields[0].off, 0u) << one->name;
        }
        tagged += one->tagged;
    }
    EXPECT_EQ(tagged, 4);
}

// Freeing must not interpret the bytes of another kind as pointers.
TEST(SchemaKinds, MembersOfOtherKindsAreNotFreed)
{
    Union what = {};
    what.kind = KIND_LAST, what.body.last = 0x5a5a5a5a5a5a5a5a;
    schema_free(&union_schema, &what);
    EXPECT_EQ(what.body.last, 0x5a5a5a5a5a5a5a5a);
}

} // namespace
