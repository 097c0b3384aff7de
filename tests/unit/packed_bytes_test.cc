// The encoding of messages that other versions read on the wire and on disk must not change: an operation, a request
// and a response of each kind.
#include <gtest/gtest.h>

extern "C" {
#include "controller/codec.h"
}
#include "record_build.h"

namespace
{

using record_build::Batch;

std::string hex_of(const schema *schema, const void *what)
{
    bytes packed = {};
    schema_pack(schema, what, &packed);
    std::string text;
    for (int64_t i = 0; i < packed.len; i++) {
        char two[3];
        snprintf(two, sizeof two, "%02x", packed.at[i]);
        text += two;
    }
    // decoding and encoding again gives the same bytes
    std::vector<char> out(schema->size);
    EXPECT_EQ(schema_unpack(schema, out.data(), packed.at, packed.len), ERROR_NONE);
    bytes again = {};
    schema_pack(schema, out.data(), &again);
    EXPECT_EQ(again.len, packed.len);
    EXPECT_TRUE(again.len == packed.len && !memcmp(again.at, packed.at, (size_t)packed.len));
    schema_free(schema, out.data());
    bytes_free(&again);
    bytes_free(&packed);
    return text;
}

job_spec spec_of()
{
    record_build::Spec spec;
    spec.steps = {{2, {}}, {1, {}}};
    return record_build::spec_of(-7, spec, "text");
}

// An op is an array of 15 members. Former versions wrote the first 13, without the route of a submission. Their bytes
// are still read, as an op without a route.
void expect_op(const record_op &op, const std::string &former)
{
    std::string packed = "8f" + former.substr(2) + "f6f6";
    EXPECT_EQ(former.substr(0, 2), "8d");
    EXPECT_EQ(hex_of(&record_op_schema, &op), packed);
    std::vector<uint8_t> bytes_of_former;
    for (size_t i = 0; i < former.size(); i += 2)
        bytes_of_former.push_back((uint8_t)std::stoi(former.substr(i, 2), nullptr, 16));
    record_op read = {};
    ASSERT_EQ(schema_unpack(&record_op_schema, &read, bytes_of_former.data(), (int64_t)bytes_of_former.size()),
              ERROR_NONE);
    EXPECT_EQ(hex_of(&record_op_schema, &read), packed);
    schema_free(&record_op_schema, &read);
}

TEST(PackedBytes, OpOfEachKind)
{
    Batch b;
    b.conf(1700, 4, 5, {{"a", 2}}, "raw");
    b.cancel(1701, -9);
    b.place(1702, "i-1", 77, {{1, 2, 3}, {4, 5, 6}});
    b.end(1703, {{1, 2, 3, END_FAILED, "saved"}, {4, 5, 6, END_DONE, ""}});
    b.forget(1704, {8, 9});
    expect_op(b.batch.ops[0],
              "8d011906a48405818961616c686f73742e6578616d706c65632f612f64776f726b000200001903e8818364776f"
              "726bf60043726177048700f680000000f6f600f600808080f6");
    expect_op(b.batch.ops[1], "8d031906a58400808040008700f680000000f6f628f600808080f6");
    expect_op(b.batch.ops[2], "8d041906a68400808040008700f680000000f6f60063692d31184d8283010203830405068080f6");
    expect_op(b.batch.ops[3],
              "8d051906a78400808040008700f680000000f6f600f6008082860001020302657361766564860004050601f680"
              "f6");
    expect_op(b.batch.ops[4], "8d061906a88400808040008700f680000000f6f600f6008080820809f6");
}

TEST(PackedBytes, OpOfAJob)
{
    Batch b;
    record_op &op = b.more(1705);
    job_op &job = *record_op_make_job(&op);
    job.spec = spec_of();
    job.spec.outlet = must_dup("north");
    job.queue = must_dup("a");
    expect_op(op, "8d021906a984008080400087266474657874828e02186400000080000000000000f6f68e011864000000800000"
                  "00000000f6f6000000656e6f727468616100f600808080f6");
}

TEST(PackedBytes, OpOfAJobWithItsRoute)
{
    Batch b;
    record_op &op = b.more(1705);
    job_op &job = *record_op_make_job(&op);
    job.spec = spec_of();
    job.queue = must_dup("a");
    job.host = must_dup("h");
    job.prefix = must_dup("/a/");
    EXPECT_EQ(hex_of(&record_op_schema, &op),
              "8f021906a984008080400087266474657874828e02186400000080000000000000f6f68e011864000000800000"
              "00000000f6f6000000f6616100f600808080f66168632f612f");
}

TEST(PackedBytes, OpOfRules)
{
    Batch b;
    record_op &op = b.more(1706);
    rules_change &change = *record_op_make_rules(&op);
    schema_defaults(&rules_change_schema, &change);
    change.outlet = must_dup("north");
    change.base = 3;
    expect_op(op, "8d071906aa8400808040008700f680000000f6f600f60080808084656e6f727468038400882020202020202020"
                  "88202020202020202088202020202020202084f60088202020202020202080");
}

// A request as it is forwarded to the leader.
struct Request {
    api_request request = {};
    explicit Request(bool addressed)
    {
        request.wait_ms = 2500;
        request.host = addressed ? must_dup("host.example") : nullptr;
        request.path = must_dup("/a/00");
    }
    ~Request() { schema_free(&api_request_schema, &request); }
    Request(const Request &) = delete;
    std::string hex() const { return hex_of(&api_request_schema, &request); }
};

TEST(PackedBytes, RequestOfAJob)
{
    Request r(true);
    *api_request_make_job(&r.request) = spec_of();
    EXPECT_EQ(r.hex(), "8a011909c46c686f73742e6578616d706c65652f612f3030000087266474657874828e02186400000080000000"
                       "000000f6f68e01186400000080000000000000f6f6000000f68400808040850000f68df6f6f6f6800000000000"
                       "000000850000008080f6");
}

TEST(PackedBytes, RequestsAboutAJob)
{
    struct Kind {
        int64_t kind;
        void (*make)(api_request *, int64_t);
        std::string expected;
    };
    const Kind kinds[] = {{REQUEST_STATE, api_request_make_state,
                           "8a021909c46c686f73742e6578616d706c65652f612f303026008700f680000000f68400808040850000f68df6"
                           "f6f6f6800000000000000000850000008080f6"},
                          {REQUEST_CANCEL, api_request_make_cancel,
                           "8a031909c46c686f73742e6578616d706c65652f612f303026008700f680000000f68400808040850000f68df6"
                           "f6f6f6800000000000000000850000008080f6"},
                          {REQUEST_WHY, api_request_make_why,
                           "8a091909c4f6652f612f303026008700f680000000f68400808040850000f68df6f6f6f6800000000000000000"
                           "850000008080f6"},
                          {REQUEST_RULES_JOB, api_request_make_rules_job,
                           "8a0c1909c4f6652f612f303026008700f680000000f68400808040850000f68df6f6f6f6800000000000000000"
                           "850000008080f6"}};
    for (const auto &[kind, make, expected] : kinds) {
        Request r(kind != REQUEST_WHY && kind != REQUEST_RULES_JOB);
        make(&r.request, -7);
        EXPECT_EQ(r.request.kind, kind);
        EXPECT_EQ(r.hex(), expected) << kind;
    }
}

TEST(PackedBytes, RequestsWithoutFields)
{
    struct Kind {
        int64_t kind;
        void (*make)(api_request *);
        std::string expected;
    };
    const Kind kinds[] = {{REQUEST_COUNT_WAITING, api_request_make_count,
                           "8a041909c46c686f73742e6578616d706c65652f612f303000008700f680000000f68400808040850000f68df6"
                           "f6f6f6800000000000000000850000008080f6"},
                          {REQUEST_CONFIG_GET, api_request_make_config_get,
                           "8a061909c4f6652f612f303000008700f680000000f68400808040850000f68df6f6f6f6800000000000000000"
                           "850000008080f6"},
                          {REQUEST_READY, api_request_make_ready,
                           "8a071909c4f6652f612f303000008700f680000000f68400808040850000f68df6f6f6f6800000000000000000"
                           "850000008080f6"}};
    for (const auto &[kind, make, expected] : kinds) {
        Request r(kind == REQUEST_COUNT_WAITING);
        make(&r.request);
        EXPECT_EQ(r.request.kind, kind);
        EXPECT_EQ(r.hex(), expected) << kind;
    }
}

TEST(PackedBytes, RequestOfAConfiguration)
{
    Request r(false);
    config_change *change = api_request_make_config_put(&r.request);
    change->base = 4;
    change->config = record_build::config_of(5, {{"a", 2}}, "raw");
    EXPECT_EQ(r.hex(), "8a051909c4f6652f612f303000048700f680000000f68405818961616c686f73742e6578616d706c65632f612f"
                       "64776f726b000200001903e8818364776f726bf60043726177850000f68df6f6f6f68000000000000000008500"
                       "00008080f6");
}

TEST(PackedBytes, RequestsOfRules)
{
    Request put(false), get(false), all(false);
    api_request_make_rules_put(&put.request, "north")->base = 3;
    EXPECT_EQ(put.hex(), "8a0a1909c4f6652f612f303000008700f680000000f68400808040850000f68df6f6f6f6800000000000000000"
                         "85000000808084656e6f72746803840088202020202020202088202020202020202088202020202020202084f6"
                         "0088202020202020202080");
    api_request_make_rules_get(&get.request, "north");
    get.request.body.rules->base = 3;
    EXPECT_EQ(get.hex(), "8a0b1909c4f6652f612f303000008700f680000000f68400808040850000f68df6f6f6f6800000000000000000"
                         "85000000808084656e6f72746803840088202020202020202088202020202020202088202020202020202084f6"
                         "0088202020202020202080");
    all.request.kind = REQUEST_RULES_GET; // another version may send it without an outlet
    EXPECT_EQ(api_request_outlet(&all.request), nullptr);
    EXPECT_EQ(all.hex(), "8a0b1909c4f6652f612f303000008700f680000000f68400808040850000f68df6f6f6f6800000000000000000"
                         "850000008080f6");
}

TEST(PackedBytes, RequestOfABeat)
{
    Request r(false);
    executor_heartbeat *beat = api_request_make_heartbeat(&r.request);
    beat->kind = HEARTBEAT_LEAVING;
    beat->seq = 12;
    beat->address = must_dup("10.9.8.7:8080");
    beat->state.incarnation = must_dup("i-1");
    beat->account.clock_ms = 99;
    EXPECT_EQ(r.hex(), "8a081909c4f6652f612f303000008700f680000000f6840080804085010c6d31302e392e382e373a383038308d"
                       "63692d31f6f6f680000000000000000085186300008080f6");
}

std::string hex_of(const api_response &response) { return hex_of(&api_response_schema, &response); }

TEST(PackedBytes, ResponseOfEachKind)
{
    bytes text = {}, raw = {}, json = {};
    bytes_printf(&text, "text");
    bytes_printf(&raw, "raw");
    bytes_printf(&json, "{}");
    EXPECT_EQ(hex_of(api_response_error(REQUEST_JOB, ERROR_OVERLOAD, 300, "why")), "88012919012c0000004063776879");
    EXPECT_EQ(hex_of(api_response_make_state(JOB_DONE)), "8802000002000040f6");
    EXPECT_EQ(hex_of(api_response_make_explanation(JOB_ACTIVE, &text)), "880900000100004474657874f6");
    EXPECT_EQ(hex_of(api_response_make_count(300)), "880400000019012c0040f6");
    EXPECT_EQ(hex_of(api_response_make_config(5, &raw)), "8806000000000543726177f6");
    EXPECT_EQ(hex_of(api_response_make_rules(REQUEST_RULES_GET, 6, &json)), "880b0000000006427b7df6");
    bytes_free(&text);
    bytes_free(&raw);
    bytes_free(&json);
}

} // namespace
