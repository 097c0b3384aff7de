// Texts of jobs and heartbeats at the limit of their length: what is longer is refused, so that nothing accepted holds
// a text as long as a body.
#include "platform_test.h"

namespace
{

std::string job_with(const std::string &member) { return R"({"spec":"t","stages":[{"taskCount":1,)" + member + "}]}"; }

// The error for a text of this length in one of the members.
int error_of(const std::string &member, size_t length)
{
    std::string text(length, 'x');
    if (member == "requirements" || member == "affinity")
        return ParsedRequest(job_request(job_with("\"" + member + "\":\"" + text + "\""))).error;
    if (member == "one label in a list")
        return ParsedRequest(job_request(job_with("\"requirements\":[\"" + text + "\"]"))).error;
    std::string body = heartbeat_body;
    if (member == "labels")
        return ParsedRequest(heartbeat_request(replaced_text(body, "r4-2", text))).error;
    size_t at = body.find("\"" + member + "\":\"") + member.size() + 4;
    return ParsedRequest(heartbeat_request(body.replace(at, body.find('"', at) - at, text))).error;
}

} // namespace

TEST(PlatformApi, NamesOfEveryLengthAroundTheLimit)
{
    for (const char *member :
         {"requirements", "affinity", "one label in a list", "labels", "service", "address", "zone"}) {
        EXPECT_EQ(error_of(member, NAME_BYTES_MAX), 0) << member;
        EXPECT_EQ(error_of(member, NAME_BYTES_MAX + 1), ERROR_TOO_LARGE) << member;
        EXPECT_EQ(error_of(member, 4 << 20), ERROR_TOO_LARGE) << member;
    }
}
