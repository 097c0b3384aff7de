// The HTTP client on connections that break; guards against a second delivery of a call that is not repeatable.
#include "faulty_server.h"

using namespace proc_rig;

namespace
{

struct Result {
    bool done = false;
    int status = -1;
    std::string body;
    int64_t took_ms = 0;
};

constexpr int64_t LONG_TIMEOUT_MS = 20000, SHORT_TIMEOUT_MS = 25;

struct ClientRig : Rig {
    struct Pending {
        Result *result;
        int64_t begun_ms;
    };

    static void on_done(void *arg, int64_t tag, int status, const char *body, int64_t len)
    {
        std::unique_ptr<Pending> pending((Pending *)arg);
        EXPECT_EQ(tag, 42);
        EXPECT_FALSE(pending->result->done) << "done() was called twice";
        pending->result->done = true;
        pending->result->status = status;
        pending->result->body = std::string(body, (size_t)len);
        pending->result->took_ms = mono_ms(nullptr) - pending->begun_ms;
    }
    void call(FaultyServer &server, const char *method, const std::string &path, const std::string &body,
              int64_t wait_ms, Result &result)
    {
        struct http_call call = {server.addr(),
                                 method,
                                 path.c_str(),
                                 "Expected-Executor: A",
                                 body.c_str(),
                                 wait_ms,
                                 on_done,
                                 new Pending{&result, mono_ms(nullptr)},
                                 42};
        http_client_call(&runtime.base, &call);
    }
    Result call_and_wait(FaultyServer &server, const char *method, const std::string &path, const std::string &body,
                         int64_t wait_ms = LONG_TIMEOUT_MS)
    {
        Result result;
        call(server, method, path, body, wait_ms, result);
        EXPECT_TRUE(until([&] { return result.done; }, LONG_TIMEOUT_MS * 2, [&] { server.turn(); }));
        // a request that curl sends again arrives within these turns
        for (int i = 0; i < 5; i++) {
            ev_run(runtime.loop, EVRUN_NOWAIT);
            server.turn();
        }
        return result;
    }
};

const std::string BODY = "{\"taskId\":\"one\"}";

// A call whose connection breaks as fault says. kept: the connection carried another call before.
void call_with_fault(const char *method, Fault fault, bool kept)
{
    ClientRig client;
    FaultyServer server;
    if (kept) {
        ASSERT_EQ(client.call_and_wait(server, method, "/warm", "warm").status, 200);
    }
    int64_t accepted = server.accepted;
    server.faults["/start"] = fault;
    Result result =
        client.call_and_wait(server, method, "/start", BODY, fault.kind == SILENT ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS);
    std::string where = std::string(method) + (kept ? ", kept" : ", fresh") +
                        (fault.in_response ? ", response" : ", request") + " byte " + std::to_string(fault.byte) +
                        " kind " + std::to_string(fault.kind);
    int arrived = server.arrivals.count(BODY) ? server.arrivals[BODY] : 0;
    EXPECT_LE(arrived, 1) << where << ": it arrived more than once";
    EXPECT_EQ(server.accepted - accepted, kept ? 0 : 1) << where << ": it was sent on a second connection";
    bool whole = fault.in_response && fault.byte >= server.response_to(BODY).size();
    EXPECT_EQ(result.status, whole ? 200 : 0) << where;
    EXPECT_EQ(arrived, fault.in_response ? 1 : 0) << where;
    if (whole) {
        EXPECT_EQ(result.body, BODY) << where;
    }
    if (fault.kind != SILENT) {
        EXPECT_LT(result.took_ms, LONG_TIMEOUT_MS / 4)
            << where << ": a broken connection must not wait for the timeout";
    }
}

} // namespace

TEST(HttpClient, a_call_that_is_not_repeatable_is_sent_once_wherever_its_connection_breaks)
{
    size_t response_size = FaultyServer().response_to(BODY).size();
    for (bool kept : {false, true})
        for (FaultKind kind : {RESET, CLOSED, SILENT}) {
            size_t step = kind == SILENT ? 16 : 1;
            // kept, byte 0: see a_connection_closed_while_idle_costs_no_call
            for (size_t byte = kept; byte < 130 && !testing::Test::HasFailure(); byte += step)
                call_with_fault("POST", {kind, false, byte}, kept);
            for (size_t byte = 0; byte < response_size && !testing::Test::HasFailure(); byte += step)
                call_with_fault("POST", {kind, true, byte}, kept);
            call_with_fault("POST", {kind, true, response_size}, kept);
        }
}

TEST(HttpClient, a_large_call_is_sent_once)
{
    std::string big(300000, 'x');
    for (size_t byte : {(size_t)1, (size_t)1000, (size_t)100000, big.size()}) {
        ClientRig client;
        FaultyServer server;
        ASSERT_EQ(client.call_and_wait(server, "POST", "/warm", "1").status, 200);
        server.faults["/start"] = {RESET, false, byte};
        EXPECT_EQ(client.call_and_wait(server, "POST", "/start", big).status, 0) << byte;
        EXPECT_EQ(server.accepted, 1) << byte;
    }
}

TEST(HttpClient, a_call_without_a_body_is_sent_once)
{
    ClientRig client;
    FaultyServer server;
    ASSERT_EQ(client.call_and_wait(server, "POST", "/warm", "").status, 200);
    server.faults["/start"] = {RESET, true, 0};
    EXPECT_EQ(client.call_and_wait(server, "POST", "/start", "").status, 0);
    EXPECT_EQ(server.arrivals["/start"], 1);
}

TEST(HttpClient, a_get_is_sent_again_if_its_kept_connection_breaks)
{
    ClientRig client;
    FaultyServer server;
    ASSERT_EQ(client.call_and_wait(server, "GET", "/warm", "").status, 200);
    server.faults["/look"] = {RESET, true, 0};
    EXPECT_EQ(client.call_and_wait(server, "GET", "/look", "").status, 200);
    EXPECT_EQ(server.accepted, 2);
}

// Calls that succeed share a connection; the call after a failed one opens a new connection.
TEST(HttpClient, connections_are_kept_and_a_broken_one_is_not_used_again)
{
    ClientRig client;
    FaultyServer server;
    for (int i = 0; i < 20; i++)
        ASSERT_EQ(client.call_and_wait(server, "POST", "/start", std::to_string(i)).status, 200);
    EXPECT_EQ(server.accepted, 1);
    server.faults["/start"] = {SILENT, true, 10};
    EXPECT_EQ(client.call_and_wait(server, "POST", "/start", "x", SHORT_TIMEOUT_MS).status, 0);
    for (int i = 0; i < 20; i++)
        ASSERT_EQ(client.call_and_wait(server, "POST", "/start", "y" + std::to_string(i)).status, 200);
    EXPECT_EQ(server.accepted, 2);
    for (auto &[body, n] : server.arrivals)
        EXPECT_EQ(n, 1) << body;
}

// The client notices that its peer closed an idle connection before it sends anything on it.
TEST(HttpClient, a_connection_closed_while_idle_costs_no_call)
{
    for (FaultKind kind : {RESET, CLOSED}) {
        ClientRig client;
        FaultyServer server;
        ASSERT_EQ(client.call_and_wait(server, "POST", "/start", "1").status, 200);
        FaultyServer::end(*server.connections[0], kind);
        EXPECT_EQ(client.call_and_wait(server, "POST", "/start", "2").status, 200) << "ended with kind " << kind;
        EXPECT_EQ(server.accepted, 2);
    }
}

TEST(HttpClient, no_redirect_is_followed_and_no_proxy_is_used)
{
    setenv("http_proxy", "http://127.0.0.1:9", 1);
    setenv("all_proxy", "http://127.0.0.1:9", 1);
    ClientRig client;
    FaultyServer server, other;
    server.status = "307 Temporary Redirect";
    server.extra = "Location: http://127.0.0.1:" + std::to_string(other.port) + "/start\r\n";
    Result result = client.call_and_wait(server, "POST", "/start", BODY);
    unsetenv("http_proxy");
    unsetenv("all_proxy");
    EXPECT_EQ(result.status, 307);
    EXPECT_EQ(server.arrivals[BODY], 1);
    other.turn();
    EXPECT_EQ(other.accepted, 0);
}

// A curl handle that is used again carries nothing of its previous call into the next call or its response.
TEST(HttpClient, a_reused_handle_keeps_nothing_of_its_previous_call)
{
    ClientRig client;
    FaultyServer server;
    for (int i = 0; i < 200 && !testing::Test::HasFailure(); i++) {
        std::string id = std::to_string(i), path = "/start" + id;
        bool get = i % 3 == 1, breaks = i % 5 == 2;
        if (breaks)
            server.faults[path] = {i % 2 ? RESET : CLOSED, true, 20};
        Result result = client.call_and_wait(server, get ? "GET" : "POST", path, "body " + id);
        EXPECT_EQ(result.status, breaks ? 0 : 200) << i;
        if (!breaks) {
            EXPECT_EQ(result.body, get ? path : "body " + id) << i;
        }
        EXPECT_EQ(server.arrivals[get ? path : "body " + id], 1) << i;
    }
    EXPECT_EQ(client.runtime.n_calls, 0);
}

// Guards against a path that is cut off, which would be another request.
TEST(HttpClient, a_path_of_any_length_is_sent_whole)
{
    ClientRig client;
    FaultyServer server;
    for (size_t len : {(size_t)1, (size_t)99, (size_t)100, (size_t)101, (size_t)300, (size_t)2000}) {
        std::string path = "/" + std::string(len - 1, 'p');
        EXPECT_EQ(client.call_and_wait(server, "GET", path, "").status, 200) << len;
        EXPECT_EQ(server.arrivals[path], 1) << len;
    }
}
