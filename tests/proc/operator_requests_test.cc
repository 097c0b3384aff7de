// Configuration changes of operators that are large, slow, invalid or repeated, over real sockets. Guards against a
// refused change that is not logged as an event or is partly applied.
#include "raw_client.h"
#include "relay_client.h"

extern "C" {
#include "base/events.h"
}

using namespace proc_rig;

namespace
{

enum { BOOT_TURNS = 20000, MAX_MS = 60000, BODY_MAX_BYTES = 8 << 20, SLOW_BODY_MAX_S = 60 };

std::string put(const std::string &path, const std::string &body)
{
    return "PUT " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A cluster with a first configuration, and calls that wait for their response. relay_machine: a controller without a
// disk, which forwards requests to the leader.
struct OperatorRequests {
    Cluster cluster{1, 3, 1, &relay_codec};
    Ledger ledger;
    const size_t relay_machine = 3;

    OperatorRequests()
    {
        for (auto &machine : cluster.machines)
            machine->process->runtime.out_max = 8 << 20; // as on the platform
        EXPECT_TRUE(cluster.until(
            [&] { return call(relay_machine, put("/config/0/1", "first")).find(" 200 ") != std::string::npos; },
            BOOT_TURNS));
    }
    // Sends a request and returns the whole response.
    std::string call(size_t machine, const std::string &request)
    {
        RawClient client(cluster.machines[machine]->http_addr);
        std::string left = request;
        EXPECT_TRUE(cluster.until([&] { return is_complete(client); }, BOOT_TURNS,
                                  [&] {
                                      ssize_t n =
                                          send(client.fd, left.data(), left.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
                                      left.erase(0, n > 0 ? (size_t)n : 0);
                                  }));
        return client.received;
    }
    static bool is_complete(RawClient &client)
    {
        client.read();
        size_t head = client.received.find("\r\n\r\n"), at = client.received.find("Content-Length: ");
        return head != std::string::npos &&
               client.received.size() >= head + 4 + std::stoul(client.received.substr(at + strlen("Content-Length: ")));
    }
    std::string current_config(size_t machine)
    {
        std::string answer = call(machine, get("/config"));
        return answer.substr(answer.find("\r\n\r\n") + 4);
    }
    // Expects that the request gets this status, is logged as this event on its machine, and changes nothing.
    void expect_refused(const std::string &request, const std::string &status, int event, const std::string &text)
    {
        std::string before = current_config(relay_machine);
        cluster.machines[relay_machine]->events.clear();
        EXPECT_NE(call(relay_machine, request).find(" " + status + " "), std::string::npos) << text;
        EXPECT_TRUE(cluster.machines[relay_machine]->logged(event, text)) << "no event: " << text;
        EXPECT_EQ(current_config(relay_machine), before);
    }
};

} // namespace

TEST(OperatorRequests, a_configuration_of_four_mebibytes_is_applied_whole)
{
    OperatorRequests operator_requests;
    std::string body(4 << 20, 'x');
    for (size_t i = 0; i < body.size(); i += 997)
        body[i] = (char)('a' + i % 26);
    EXPECT_NE(operator_requests.call(operator_requests.relay_machine, put("/config/1/2", body)).find(" 200 "),
              std::string::npos);
    for (size_t machine = 0; machine < operator_requests.cluster.machines.size(); machine++)
        EXPECT_TRUE(operator_requests.current_config(machine) ==
                    "kind " + std::to_string(REQUEST_CONFIG_GET) + " " + body)
            << machine;
}

TEST(OperatorRequests, each_refused_change_is_logged_and_changes_nothing)
{
    OperatorRequests operator_requests;
    operator_requests.expect_refused(put("/config/none/2", "x"), "400", EV_ORDER_REFUSED,
                                     "problem=bad_field at=base expected=a number");
    operator_requests.expect_refused(put("/config/1", "x"), "400", EV_ORDER_REFUSED, "problem=bad_field");
    EXPECT_NE(operator_requests.call(0, put("/config/1/2", "one")).find(" 200 "), std::string::npos);
    operator_requests.expect_refused(put("/config/1/2", "another"), "412", EV_ORDER_REFUSED,
                                     "version=2 base=1 problem=stale_version");
    operator_requests.expect_refused(put("/config/1/3", "another"), "412", EV_ORDER_REFUSED,
                                     "version=3 base=1 problem=stale_version");
    EXPECT_NE(operator_requests.call(1, put("/config/1/2", "one")).find(" 200 "), std::string::npos)
        << "the same change again";
    operator_requests.expect_refused(put("/config/2/3", std::string(BODY_MAX_BYTES + 1, 'x')), "413",
                                     EV_REQUEST_DROPPED, "large path=/config/2/3");
}

namespace
{

struct ServerLog {
    int64_t now_ms = 0, passed_on = 0;
    std::vector<std::string> events;
};

// Sends a body of size bytes, one byte per second. Returns the number of bytes that were sent when the connection ended
// or the request was passed on.
size_t sent_slowly(ServerLog &log, size_t size)
{
    Rig rig;
    static ServerLog *at;
    at = &log;
    rig.table.mono_ms = [](struct world *) { return at->now_ms; };
    rig.table.note = [](struct world *, int event, const char *text) {
        at->events.push_back(std::to_string(event) + " " + text);
    };
    rig.runtime.role.on_request = [](void *, int64_t, const struct http_request *) { at->passed_on++; };
    int fd = listen_anywhere();
    uint16_t port = port_of(fd);
    close(fd);
    int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
    EXPECT_EQ(http_server_start_listeners(&rig.runtime, addrs), 0);
    RawClient client(loopback(port));
    client.send_text("PUT /slow HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    size_t sent = 0;
    char byte;
    EXPECT_TRUE(rig.until([&] { return log.passed_on || recv(client.fd, &byte, 1, MSG_DONTWAIT) == 0; }, MAX_MS,
                          [&] {
                              for (int i = 0; i < 5; i++) // the server reads the bytes sent before
                                  ev_run(rig.runtime.loop, EVRUN_NOWAIT);
                              if (sent == size || send(client.fd, "x", 1, MSG_NOSIGNAL) != 1)
                                  return;
                              log.now_ms += 1000;
                              sent++;
                          }));
    return sent;
}

} // namespace

TEST(OperatorRequests, a_body_of_one_byte_per_second_is_dropped_at_the_time_limit)
{
    ServerLog slow, steady;
    EXPECT_LT(sent_slowly(slow, 4 << 20), (size_t)10000);
    EXPECT_EQ(slow.passed_on, 0);
    ASSERT_EQ(slow.events.size(), 1u);
    EXPECT_EQ(slow.events[0].rfind(std::to_string(EV_REQUEST_DROPPED) + " slow path=/slow", 0), 0u) << slow.events[0];
    EXPECT_EQ(sent_slowly(steady, SLOW_BODY_MAX_S / 2), (size_t)SLOW_BODY_MAX_S / 2);
    EXPECT_EQ(steady.passed_on, 1);
    EXPECT_TRUE(steady.events.empty());
}
