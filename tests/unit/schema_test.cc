// The codec of frames, records and JSON: round trips, invalid input and damaged bytes.
#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "base/frame.h"
#include "base/error.h"
#include "log/log.h"
#include "shard/rows.h"
}

namespace
{

const char kJob[] = R"({"key":"k1","service":"lookup","queue":"counter","steps":[)"
                    R"({"name":"a","tasks":[{"kind":"std","cores":2,"payload":"ms=5"}]},)"
                    R"({"name":"b","after":["a"],"gang":true,"rack":"one","tasks":[{"kind":"std"},{"kind":"std"}]}]})";

int parse(const std::string &text, job_spec *spec, validation_error *error)
{
    *spec = job_spec{};
    *error = validation_error{};
    int rc = schema_from_text(&job_spec_schema, spec, text.data(), (int64_t)text.size(), error);
    return rc ? rc : spec_check(spec, error);
}

std::string packed(const schema *s, const void *what)
{
    bytes out = {};
    schema_pack(s, what, &out);
    std::string text((char *)out.at, (size_t)out.len);
    bytes_free(&out);
    return text;
}

TEST(Schema, JobSurvivesJsonAndCbor)
{
    job_spec spec, again = {};
    validation_error error;
    ASSERT_EQ(parse(kJob, &spec, &error), ERROR_NONE) << error.path;
    std::string bytes_of = packed(&job_spec_schema, &spec);
    ASSERT_EQ(schema_unpack(&job_spec_schema, &again, (const uint8_t *)bytes_of.data(), (int64_t)bytes_of.size()),
              ERROR_NONE);
    EXPECT_EQ(packed(&job_spec_schema, &again), bytes_of);
    char *text = schema_to_text(&job_spec_schema, &again);
    job_spec third;
    ASSERT_EQ(parse(text, &third, &error), ERROR_NONE) << error.path << " " << text;
    EXPECT_EQ(packed(&job_spec_schema, &third), bytes_of);
    EXPECT_EQ(third.steps[1].gang, 1);
    EXPECT_EQ(third.steps[0].tasks[0].cores, 2);
    free(text);
    schema_free(&job_spec_schema, &spec);
    schema_free(&job_spec_schema, &again);
    schema_free(&job_spec_schema, &third);
}

struct InvalidJob {
    const char *body;
    int error;
    const char *path;
};

TEST(Schema, ErrorsNameTheInvalidField)
{
    const InvalidJob cases[] = {
        {"{", ERROR_BAD_JSON, "line 1 column 1"},
        {"[]", ERROR_BAD_FIELD, ""},
        {R"({"key":"k","service":"s","queue":"q"})", ERROR_BAD_FIELD, "steps"},
        {R"({"key":1,"service":"s","queue":"q","steps":[]})", ERROR_BAD_FIELD, "key"},
        {R"({"key":"k","service":"s","queue":"q","steps":[],"x":1})", ERROR_BAD_FIELD, "steps"},
        {R"({"key":"k","service":"s","queue":"q","x":1,"steps":[]})", ERROR_BAD_FIELD, "x"},
        {R"({"key":"k","service":"s","queue":"q","steps":[{"name":"a","tasks":[{"kind":"c","cores":-1}]}]})",
         ERROR_BAD_FIELD, "steps[0].tasks[0].cores"},
        {R"({"key":"k","service":"s","queue":"q","steps":[{"name":"a","after":["b"],"tasks":[{"kind":"c"}]}]})",
         ERROR_BAD_STEPS, "steps[0].after[0]"},
        {R"({"key":"k","service":"s","queue":"q","steps":[{"name":"a","after":["a"],"tasks":[{"kind":"c"}]}]})",
         ERROR_BAD_STEPS, "steps"},
        {R"({"key":"k","service":"s","queue":"q","steps":[{"name":"a","tasks":[{"kind":"c"}]},)"
         R"({"name":"a","tasks":[{"kind":"c"}]}]})",
         ERROR_BAD_STEPS, "steps[1].name"},
    };
    for (const InvalidJob &bad : cases) {
        job_spec spec;
        validation_error error;
        EXPECT_EQ(parse(bad.body, &spec, &error), bad.error) << bad.body;
        EXPECT_STREQ(error.path, bad.path) << bad.body;
        schema_free(&job_spec_schema, &spec);
    }
    job_spec spec;
    validation_error error;
    std::string big = R"({"key":"k","service":"s","queue":"q","steps":[{"name":"a","tasks":[{"kind":"c","payload":")" +
                      std::string(10241, 'x') + "\"}]}]}";
    EXPECT_EQ(parse(big, &spec, &error), ERROR_TOO_LARGE);
    schema_free(&job_spec_schema, &spec);
}

// Truncated or damaged bytes are refused without a leak, or decode to something that encodes to the same bytes again.
TEST(Schema, DamagedBytesNeverCrash)
{
    job_spec spec;
    validation_error error;
    ASSERT_EQ(parse(kJob, &spec, &error), ERROR_NONE);
    std::string good = packed(&job_spec_schema, &spec);
    schema_free(&job_spec_schema, &spec);
    std::mt19937 random(7);
    int taken = 0;
    for (int round = 0; round < 20000; round++) {
        std::string bad = good;
        for (unsigned flips = 1 + random() % 4; flips; flips--)
            bad[random() % bad.size()] = (char)random();
        if (random() % 4 == 0)
            bad.resize(random() % bad.size());
        job_spec out = {};
        if (schema_unpack(&job_spec_schema, &out, (const uint8_t *)bad.data(), (int64_t)bad.size()))
            continue;
        taken++;
        std::string again = packed(&job_spec_schema, &out);
        job_spec twice = {};
        ASSERT_EQ(schema_unpack(&job_spec_schema, &twice, (const uint8_t *)again.data(), (int64_t)again.size()),
                  ERROR_NONE);
        ASSERT_EQ(packed(&job_spec_schema, &twice), again);
        schema_free(&job_spec_schema, &out);
        schema_free(&job_spec_schema, &twice);
    }
    EXPECT_GT(taken, 0);
}

TEST(Frame, OnlyCompleteFramesOfTheClusterAreAccepted)
{
    log_lead_now now = {1, 2, 3, 4};
    bytes out = {};
    frame parsed;
    frame_build(&out, FRAME_LEAD_NOW, 77, 5, &log_lead_now_schema, &now);
    ASSERT_EQ(frame_parse(&parsed, out.at, out.len, 77), ERROR_NONE);
    EXPECT_EQ(parsed.kind, FRAME_LEAD_NOW);
    EXPECT_EQ(parsed.from, 5u);
    EXPECT_EQ(frame_parse(&parsed, out.at, out.len, 78), ERROR_BAD_FRAME);
    EXPECT_EQ(frame_parse(&parsed, out.at, out.len - 1, 77), ERROR_BAD_FRAME);
    for (int64_t i = 0; i < out.len; i++) {
        if (i >= 8 && i < 16)
            continue; // the checksum does not cover the sender's address
        uint8_t was = out.at[i];
        out.at[i] ^= 0x41;
        int rc = frame_parse(&parsed, out.at, out.len, 77);
        EXPECT_TRUE(rc == ERROR_BAD_FRAME || parsed.kind != FRAME_LEAD_NOW) << i;
        out.at[i] = was;
    }
    bytes_free(&out);
}

} // namespace
