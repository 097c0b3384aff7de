// Shared by the tests of the platform's codecs: HTTP requests, and what the codec reads from them.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <string>

extern "C" {
#include "base/error.h"
#include "platform/api.h"
#include "platform/executor.h"
#include "platform/settings.h"
}

struct Request {
    entry listener = ENTRY_CALLERS;
    std::string method, path, body;
    std::map<std::string, std::string> headers = {};
};

// The result of reading a request with the platform's api; frees it at its end.
struct ParsedRequest {
    api_request request = {};
    struct validation_error validation_error = {};
    int error = 0;

    explicit ParsedRequest(const Request &input)
    {
        http_request web = {};
        web.entry = input.listener;
        web.method = input.method.c_str();
        web.path = input.path.c_str();
        web.body = input.body.data();
        web.len = (int64_t)input.body.size();
        web.arg = (void *)&input;
        web.header = [](const http_request *request, const char *name) -> const char * {
            const auto &headers = ((const Request *)request->arg)->headers;
            auto found = headers.find(name);
            return found == headers.end() ? nullptr : found->second.c_str();
        };
        error = platform_api.read(&request, &web, &validation_error);
    }
    ~ParsedRequest() { schema_free(&api_request_schema, &request); }
    ParsedRequest(const ParsedRequest &) = delete;
    const executor_heartbeat &heartbeat() const { return *api_request_heartbeat(const_cast<api_request *>(&request)); }
    bool empty() const
    {
        const auto *bytes = reinterpret_cast<const unsigned char *>(&request);
        return std::all_of(bytes, bytes + sizeof request, [](unsigned char byte) { return !byte; });
    }
};

inline Request job_request(const std::string &body, const std::string &path = "/mill/q7/00c0ffee12345678")
{
    return {ENTRY_CALLERS, "POST", path, body, {{"Host", "Mill.Example:8161"}, {"Deadline-Ms", "2500"}}};
}
inline Request config_request(const std::string &body, const std::string &base = "41")
{
    return {ENTRY_OPERATORS, "PUT", "/sagehitch/configuration", body, {{"If-Match", base}}};
}
inline Request heartbeat_request(const std::string &body)
{
    return {ENTRY_OPERATORS, "PUT", "/sagehitch/executors/i-19ab", body, {}};
}

// Valid bodies in which each field occurs at least once.
inline const char *const job_body =
    R"({"spec":"grind \"it\" \u00e6","stages":[{"taskCount":3,"vcpus":750,"memoryRequestMb":96,"gpus":1,)"
    R"("estimatedRuntimeMs":1200.5,"affinity":"r2-9","requirements":"fast","antiAffinity":2},)"
    R"({"taskCount":8,"vcpus":100,"dependsOn":[0],"checkpoints":true,"gangScheduled":true,"sameRack":true},)"
    R"({"taskCount":1,"dependsOn":[0,1],"duplicateLaunch":true,"longRunning":true,"later":{"x":[1]}}],)"
    R"("repeatCount":4,"startTimeMs":1790000000000,"intervalMs":1500,"unknown":7})";
inline const char *const config_body =
    R"({"revision":45,"routes":[{"name":"q-a","host":"Mill.Example","pathPrefix":"/mill/q7/","routeType":"x",)"
    R"("timeoutMs":2200,"targetLatencyMs":150,"priority":1,"service":"s-mill","maxAttempts":3,"extension":2.25},)"
    R"({"name":"q-b","host":"mill.example","pathPrefix":"/mill/","timeoutMs":900,"service":"s-kiln"}],)"
    R"("services":[{"name":"s-mill","healthCheckPath":"/up","constraints":true},{"name":"s-kiln"}],)"
    R"("limits":{"maxBodyBytes":65536},"extra":[]})";
inline const char *const heartbeat_body =
    R"({"service":"s-mill","address":"10.9.8.7:8080","zone":"north","revision":"v3","capacity":4,"state":"draining",)"
    R"("departureMs":1750.5,"warmupRemainingMs":300,"freeCapacity":{"vcpus":8000,"memoryRequestMb":16384,"gpus":2},)"
    R"("labels":["b","r4-2"],"clockMs":99,"callSequence":12})";

// The text with the first occurrence of `from` replaced.
inline std::string replaced_text(std::string text, const std::string &from, const std::string &to)
{
    auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

// Expects that reading the request fails with this error at this path, and leaves nothing behind.
inline void expect_refused(const Request &request, int error, const std::string &path)
{
    ParsedRequest parsed(request);
    EXPECT_EQ(parsed.error, error) << request.body.substr(0, 200);
    EXPECT_EQ(parsed.validation_error.error, error);
    EXPECT_EQ(parsed.validation_error.path, path) << request.body.substr(0, 200);
    EXPECT_TRUE(parsed.empty());
}
