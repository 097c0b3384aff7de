// Validation of submitted jobs and configurations, and the routing of requests to queues.
#include <gtest/gtest.h>

#include "record_build.h"

using namespace record_build;

namespace
{

int checked(const Spec &spec, void (*change)(job_spec *) = nullptr)
{
    job_spec s = spec_of(1, spec);
    validation_error validation_error = {};
    if (change)
        change(&s);
    int rc = job_spec_check(&s, &validation_error);
    EXPECT_EQ(rc, validation_error.error);
    schema_free(&submission_schema, &s);
    return rc;
}

TEST(JobSpec, IsValidated)
{
    EXPECT_EQ(checked(two), 0);
    EXPECT_EQ(checked({{}, 0}), ERROR_BAD_FIELD);
    EXPECT_EQ(checked({std::vector<Step>(65, Step{1, {}}), 0}), ERROR_BAD_FIELD);
    EXPECT_EQ(checked({std::vector<Step>(64, Step{1, {}}), 0}), 0);
    EXPECT_EQ(checked({{{0, {}}}, 0}), ERROR_BAD_FIELD);
    EXPECT_EQ(checked({{{20000, {}}}, 0}), 0);
    EXPECT_EQ(checked({{{20001, {}}}, 0}), ERROR_TOO_LARGE);
    EXPECT_EQ(checked({{{INT64_MAX, {}}, {INT64_MAX, {}}}, 0}), ERROR_TOO_LARGE);
    EXPECT_EQ(checked({{{2, {}}}, 10000}), 0);
    EXPECT_EQ(checked({{{3, {}}}, 10000}), ERROR_TOO_LARGE);
    EXPECT_EQ(checked({{{1, {}}}, 10001}), ERROR_BAD_FIELD);
    EXPECT_EQ(checked({{{1, {}}}, -1}), ERROR_BAD_FIELD);
    EXPECT_EQ(checked({{{1, {0}}}, 0}), ERROR_BAD_STEPS);
    EXPECT_EQ(checked({{{1, {}}, {1, {-1}}}, 0}), ERROR_BAD_STEPS);
    EXPECT_EQ(checked({{{1, {}}, {1, {0}}}, 0}), 0);
    EXPECT_EQ(checked(two, [](job_spec *s) { s->steps[0].cpu_milli = -1; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked(two, [](job_spec *s) { s->steps[1].per_executor = -1; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked(two, [](job_spec *s) { s->interval_ms = -1; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked(two, [](job_spec *s) { s->repeats = 3, s->interval_ms = INT64_MAX / 2; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked(two, [](job_spec *s) { free(s->text), s->text = dup(std::string(SPEC_MAX, 'x')); }), 0);
    EXPECT_EQ(checked(two, [](job_spec *s) { free(s->text), s->text = dup(std::string(SPEC_MAX + 1, 'x')); }),
              ERROR_TOO_LARGE);
}

int checked(void (*change)(config *))
{
    config c = config_of(1, {{"a", 0}, {"b", 2}}, "raw");
    validation_error validation_error = {};
    change(&c);
    int rc = config_check(&c, &validation_error);
    EXPECT_EQ(rc, validation_error.error);
    schema_free(&config_schema, &c);
    return rc;
}

void set(char **to, const char *text)
{
    free(*to);
    *to = must_dup(text);
}

TEST(Config, IsValidated)
{
    EXPECT_EQ(checked([](config *) {}), 0);
    EXPECT_EQ(checked([](config *c) { c->version = 0; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { set(&c->queues[0].name, nullptr); }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { set(&c->queues[0].host, ""); }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { set(&c->queues[0].prefix, "x"); }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { set(&c->queues[1].service, "none"); }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { c->queues[1].timeout_ms = 0; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { c->queues[1].attempts_max = -1; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { c->queues[1].stretch_pct = -1; }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { set(&c->queues[1].name, "a"); }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) { set(&c->queues[1].prefix, "/a/"); }), ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) {
                  set(&c->queues[1].prefix, "/a/");
                  set(&c->queues[1].host, "HOST.example");
              }),
              ERROR_BAD_FIELD);
    EXPECT_EQ(checked([](config *c) {
                  set(&c->queues[1].prefix, "/a/");
                  set(&c->queues[1].host, "other.example");
              }),
              0);
    EXPECT_EQ(checked([](config *c) { set(&more_of(c->services, c->n_services).name, "work"); }), ERROR_BAD_FIELD);
}

TEST(Config, RoutesByHostAndLongestPrefix)
{
    config c = config_of(1, {{"a", 0}, {"a/b", 0}, {"c", 0}}, "raw");
    set(&c.queues[2].prefix, "/a/b/c/");
    set(&c.queues[2].host, "other.example");
    EXPECT_EQ(config_route(&c, "Host.Example", "/a/x"), 0);
    EXPECT_EQ(config_route(&c, "host.example", "/a/b/c/"), 1);
    EXPECT_EQ(config_route(&c, "other.example", "/a/b/c/1"), 2);
    EXPECT_EQ(config_route(&c, "host.example", "/a"), -1);
    EXPECT_EQ(config_route(&c, "none.example", "/a/"), -1);
    EXPECT_EQ(config_route(&c, nullptr, "/a/"), -1);
    schema_free(&config_schema, &c);
}

} // namespace
