// Messages of the api: only the members of a message's own kind can be read.
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <map>
#include <set>

extern "C" {
#include "base/error.h"
#include "controller/api_message.h"
}

namespace
{

struct Request {
    api_request request = {};
    ~Request() { schema_free(&api_request_schema, &request); }
};

using Constructor = void (*)(api_request *);

// One of each kind.
const std::map<int64_t, Constructor> constructors = {
    {REQUEST_JOB, [](api_request *r) { api_request_make_job(r); }},
    {REQUEST_STATE, [](api_request *r) { api_request_make_state(r, 7); }},
    {REQUEST_CANCEL, [](api_request *r) { api_request_make_cancel(r, 7); }},
    {REQUEST_COUNT_WAITING, api_request_make_count},
    {REQUEST_CONFIG_PUT, [](api_request *r) { api_request_make_config_put(r); }},
    {REQUEST_CONFIG_PATCH, [](api_request *r) { api_request_make_config_patch(r); }},
    {REQUEST_CONFIG_GET, api_request_make_config_get},
    {REQUEST_READY, api_request_make_ready},
    {REQUEST_HEARTBEAT, [](api_request *r) { api_request_make_heartbeat(r); }},
    {REQUEST_WHY, [](api_request *r) { api_request_make_why(r, 7); }},
    {REQUEST_RULES_PUT, [](api_request *r) { api_request_make_rules_put(r, "north"); }},
    {REQUEST_RULES_GET, [](api_request *r) { api_request_make_rules_get(r, "north"); }},
    {REQUEST_RULES_JOB, [](api_request *r) { api_request_make_rules_job(r, 7); }}};

// Expects that the accessor works on requests of these kinds and aborts the process on all others.
void expect_readable_only_for(const std::set<int64_t> &kinds, const std::function<void(api_request *)> &read)
{
    Request none;
    EXPECT_DEATH(read(&none.request), "");
    for (const auto &[kind, construct] : constructors) {
        Request r;
        construct(&r.request);
        EXPECT_EQ(r.request.kind, kind);
        if (kinds.count(kind))
            read(&r.request);
        else
            EXPECT_DEATH(read(&r.request), "") << kind;
    }
}

const int64_t unknown_kinds[] = {-1, 0, REQUEST_CONFIG_PATCH + 1, 62, 63, 64, INT64_MAX, INT64_MIN};

} // namespace

TEST(ApiMessageDeathTest, RequestMembersOfOtherKinds)
{
    expect_readable_only_for({REQUEST_JOB}, [](api_request *r) { api_request_job(r); });
    expect_readable_only_for({REQUEST_STATE, REQUEST_CANCEL, REQUEST_WHY, REQUEST_RULES_JOB},
                             [](api_request *r) { EXPECT_EQ(api_request_job_id(r), 7); });
    expect_readable_only_for({REQUEST_CONFIG_PUT, REQUEST_CONFIG_PATCH}, [](api_request *r) { api_request_config(r); });
    expect_readable_only_for({REQUEST_HEARTBEAT}, [](api_request *r) { api_request_heartbeat(r); });
    expect_readable_only_for({REQUEST_RULES_PUT},
                             [](api_request *r) { EXPECT_STREQ(api_request_rules(r)->outlet, "north"); });
    expect_readable_only_for({REQUEST_RULES_GET}, [](api_request *r) { EXPECT_STREQ(api_request_outlet(r), "north"); });
}

TEST(ApiMessageDeathTest, RequestIsConstructedOnce)
{
    for (const auto &[kind, construct] : constructors) {
        Request r;
        construct(&r.request);
        EXPECT_DEATH(constructors.at(kind)(&r.request), "") << kind;
    }
}

TEST(ApiMessageDeathTest, ResponseMembersOfOtherKinds)
{
    bytes text = {};
    bytes_printf(&text, "text");
    std::map<int64_t, api_response> responses;
    for (const auto &[kind, construct] : constructors)
        responses[kind] = api_response_done(kind);
    responses[REQUEST_STATE] = api_response_make_state(JOB_FAILED);
    responses[REQUEST_COUNT_WAITING] = api_response_make_count(31);
    responses[REQUEST_CONFIG_GET] = api_response_make_config(5, &text);
    responses[REQUEST_WHY] = api_response_make_explanation(JOB_ACTIVE, &text);
    responses[REQUEST_RULES_GET] = api_response_make_rules(REQUEST_RULES_GET, 5, &text);
    responses[REQUEST_RULES_JOB] = api_response_make_rules(REQUEST_RULES_JOB, 5, &text);
    for (int64_t kind : unknown_kinds)
        responses[kind] = api_response_done(kind);
    for (const auto &[kind, response] : responses) {
        const api_response *r = &response;
        EXPECT_EQ(r->kind, kind);
        if (kind == REQUEST_STATE)
            EXPECT_EQ(api_response_state(r), JOB_FAILED);
        else
            EXPECT_DEATH(api_response_state(r), "") << kind;
        if (kind == REQUEST_COUNT_WAITING)
            EXPECT_EQ(api_response_count(r), 31);
        else
            EXPECT_DEATH(api_response_count(r), "") << kind;
        if (kind == REQUEST_CONFIG_GET || kind == REQUEST_RULES_GET || kind == REQUEST_RULES_JOB)
            EXPECT_EQ(api_response_document(r)->version, 5);
        else
            EXPECT_DEATH(api_response_document(r), "") << kind;
        if (kind == REQUEST_WHY)
            EXPECT_EQ(api_response_explanation(r)->state, JOB_ACTIVE);
        else
            EXPECT_DEATH(api_response_explanation(r), "") << kind;
    }
    EXPECT_DEATH(api_response_make_rules(REQUEST_CONFIG_GET, 5, &text), "");
    bytes_free(&text);
}

// A request of an unknown kind, as a frame may have, can be packed, unpacked and freed.
TEST(ApiMessage, UnknownKindsHaveNoMembers)
{
    for (int64_t kind : unknown_kinds) {
        Request r, again;
        r.request.kind = kind;
        memset(&r.request.body, 0x5a, sizeof r.request.body);
        bytes packed = {};
        schema_pack(&api_request_schema, &r.request, &packed);
        EXPECT_EQ(schema_unpack(&api_request_schema, &again.request, packed.at, packed.len), ERROR_NONE) << kind;
        EXPECT_EQ(again.request.kind, kind);
        bytes_free(&packed);
    }
}
