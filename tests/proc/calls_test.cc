// What is sent how often when connections break: a call that may not be repeated is sent once.
#include "standin.h"

using namespace proc_rig;

namespace
{

struct Result {
    bool done = false;
    int status = -1;
    std::string body;
    int64_t took_ms = 0;
};

constexpr int64_t PATIENT_MS = 20000, SHORT_MS = 25;

struct Calls : Rig {
    struct Under {
        Result *result;
        int64_t begun_ms;
    };

    static void on_done(void *arg, int64_t tag, int status, const char *body, int64_t len)
    {
        std::unique_ptr<Under> under((Under *)arg);
        EXPECT_EQ(tag, 42);
        EXPECT_FALSE(under->result->done) << "told twice";
        under->result->done = true;
        under->result->status = status;
        under->result->body = std::string(body, (size_t)len);
        under->result->took_ms = mono_ms(nullptr) - under->begun_ms;
    }
    void call(Standin &to, const char *method, const std::string &path, const std::string &body, int64_t wait_ms,
              Result &result)
    {
        struct http_call call = {to.addr(),
                                 method,
                                 path.c_str(),
                                 "Expected-Executor: A",
                                 body.c_str(),
                                 wait_ms,
                                 on_done,
                                 new Under{&result, mono_ms(nullptr)},
                                 42};
        out_call(&runtime.base, &call);
    }
    Result call_and_wait(Standin &to, const char *method, const std::string &path, const std::string &body,
                         int64_t wait_ms = PATIENT_MS)
    {
        Result result;
        call(to, method, path, body, wait_ms, result);
        EXPECT_TRUE(until([&] { return result.done; }, PATIENT_MS * 2, [&] { to.turn(); }));
        // whatever is still to come: what curl sends anew arrives within these turns
        for (int i = 0; i < 5; i++) {
            ev_run(runtime.loop, EVRUN_NOWAIT);
            to.turn();
        }
        return result;
    }
};

const std::string BODY = "{\"taskId\":\"one\"}";

// One call whose connection breaks there; kept: on a connection that has carried another call before.
void broken(const char *method, Fault fault, bool kept)
{
    Calls calls;
    Standin to;
    if (kept) {
        ASSERT_EQ(calls.call_and_wait(to, method, "/warm", "warm").status, 200);
    }
    int64_t accepted = to.accepted;
    to.faults["/start"] = fault;
    Result result = calls.call_and_wait(to, method, "/start", BODY, fault.how == SILENT ? SHORT_MS : PATIENT_MS);
    std::string where = std::string(method) + (kept ? ", kept" : ", fresh") +
                        (fault.in_answer ? ", answer" : ", request") + " byte " + std::to_string(fault.byte) + " how " +
                        std::to_string(fault.how);
    int arrived = to.arrivals.count(BODY) ? to.arrivals[BODY] : 0;
    EXPECT_LE(arrived, 1) << where << ": it arrived more than once";
    EXPECT_EQ(to.accepted - accepted, kept ? 0 : 1) << where << ": it was begun anew";
    bool whole = fault.in_answer && fault.byte >= to.answer_to(BODY).size();
    EXPECT_EQ(result.status, whole ? 200 : 0) << where;
    EXPECT_EQ(arrived, fault.in_answer ? 1 : 0) << where;
    if (whole) {
        EXPECT_EQ(result.body, BODY) << where;
    }
    if (fault.how != SILENT) {
        EXPECT_LT(result.took_ms, PATIENT_MS / 4) << where << ": a lost connection is no silence";
    }
}

} // namespace

TEST(Calls, one_that_may_not_be_repeated_is_sent_once_wherever_its_connection_breaks)
{
    size_t answer = Standin().answer_to(BODY).size();
    for (bool kept : {false, true})
        for (How how : {RESET, CLOSED, SILENT}) {
            size_t step = how == SILENT ? 16 : 1;
            // a kept one that ends before any byte: a_connection_closed_while_idle...
            for (size_t byte = kept; byte < 130 && !testing::Test::HasFailure(); byte += step)
                broken("POST", {how, false, byte}, kept);
            for (size_t byte = 0; byte < answer && !testing::Test::HasFailure(); byte += step)
                broken("POST", {how, true, byte}, kept);
            broken("POST", {how, true, answer}, kept);
        }
}

TEST(Calls, one_of_many_bytes_is_sent_once_too)
{
    std::string big(300000, 'x');
    for (size_t byte : {(size_t)1, (size_t)1000, (size_t)100000, big.size()}) {
        Calls calls;
        Standin to;
        ASSERT_EQ(calls.call_and_wait(to, "POST", "/warm", "1").status, 200);
        to.faults["/start"] = {RESET, false, byte};
        EXPECT_EQ(calls.call_and_wait(to, "POST", "/start", big).status, 0) << byte;
        EXPECT_EQ(to.accepted, 1) << byte;
    }
}

TEST(Calls, one_without_a_body_is_sent_once_too)
{
    Calls calls;
    Standin to;
    ASSERT_EQ(calls.call_and_wait(to, "POST", "/warm", "").status, 200);
    to.faults["/start"] = {RESET, true, 0};
    EXPECT_EQ(calls.call_and_wait(to, "POST", "/start", "").status, 0);
    EXPECT_EQ(to.arrivals["/start"], 1);
}

TEST(Calls, one_that_only_reads_is_begun_anew_where_its_kept_connection_broke)
{
    Calls calls;
    Standin to;
    ASSERT_EQ(calls.call_and_wait(to, "GET", "/warm", "").status, 200);
    to.faults["/look"] = {RESET, true, 0};
    EXPECT_EQ(calls.call_and_wait(to, "GET", "/look", "").status, 200);
    EXPECT_EQ(to.accepted, 2);
}

// What follows on a call that broke goes out on a new connection; those that end well share one.
TEST(Calls, connections_are_kept_and_a_broken_one_is_not_used_again)
{
    Calls calls;
    Standin to;
    for (int i = 0; i < 20; i++)
        ASSERT_EQ(calls.call_and_wait(to, "POST", "/start", std::to_string(i)).status, 200);
    EXPECT_EQ(to.accepted, 1);
    to.faults["/start"] = {SILENT, true, 10};
    EXPECT_EQ(calls.call_and_wait(to, "POST", "/start", "x", SHORT_MS).status, 0);
    for (int i = 0; i < 20; i++)
        ASSERT_EQ(calls.call_and_wait(to, "POST", "/start", "y" + std::to_string(i)).status, 200);
    EXPECT_EQ(to.accepted, 2);
    for (auto &[body, n] : to.arrivals)
        EXPECT_EQ(n, 1) << body;
}

// One whose peer closed it while it lay idle is known before anything is sent on it.
TEST(Calls, a_connection_closed_while_idle_costs_a_new_one_and_no_call)
{
    for (How how : {RESET, CLOSED}) {
        Calls calls;
        Standin to;
        ASSERT_EQ(calls.call_and_wait(to, "POST", "/start", "1").status, 200);
        Standin::end(*to.connections[0], how);
        EXPECT_EQ(calls.call_and_wait(to, "POST", "/start", "2").status, 200) << "ended how " << how;
        EXPECT_EQ(to.accepted, 2);
    }
}

TEST(Calls, no_redirect_is_followed_and_no_proxy_is_asked)
{
    setenv("http_proxy", "http://127.0.0.1:9", 1);
    setenv("all_proxy", "http://127.0.0.1:9", 1);
    Calls calls;
    Standin to, other;
    to.status = "307 Temporary Redirect";
    to.extra = "Location: http://127.0.0.1:" + std::to_string(other.port) + "/start\r\n";
    Result result = calls.call_and_wait(to, "POST", "/start", BODY);
    unsetenv("http_proxy");
    unsetenv("all_proxy");
    EXPECT_EQ(result.status, 307);
    EXPECT_EQ(to.arrivals[BODY], 1);
    other.turn();
    EXPECT_EQ(other.accepted, 0);
}

// Handles are used again: nothing of a former call is in the next one, nor in its answer.
TEST(Calls, a_handle_keeps_nothing_of_its_former_call)
{
    Calls calls;
    Standin to;
    for (int i = 0; i < 200 && !testing::Test::HasFailure(); i++) {
        std::string id = std::to_string(i), path = "/start" + id;
        bool get = i % 3 == 1, breaks = i % 5 == 2;
        if (breaks)
            to.faults[path] = {i % 2 ? RESET : CLOSED, true, 20};
        Result result = calls.call_and_wait(to, get ? "GET" : "POST", path, "body " + id);
        EXPECT_EQ(result.status, breaks ? 0 : 200) << i;
        if (!breaks) {
            EXPECT_EQ(result.body, get ? path : "body " + id) << i;
        }
        EXPECT_EQ(to.arrivals[get ? path : "body " + id], 1) << i;
    }
    EXPECT_EQ(calls.runtime.n_calls, 0);
}
