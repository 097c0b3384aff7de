// Orders of operators that are large, slow, wrong or doubled, over real sockets: each that is not taken is a numbered
// event, and nothing of it is in force.
#include "plain_caller.h"
#include "relay_client.h"

extern "C" {
#include "base/events.h"
}

using namespace proc_rig;

namespace
{

enum { BOOT_TURNS = 20000, MOST_MS = 60000, BODY_MOST = 8 << 20, SLOW_MOST_S = 60 };

std::string put(const std::string &path, const std::string &body)
{
    return "PUT " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A cluster with a first configuration, and calls at its outer node that wait for their answer.
struct Orders {
    Cluster cluster{1, 3, 1, &relay_codec};
    Ledger ledger;
    const size_t outer = 3;

    Orders()
    {
        for (auto &m : cluster.machines)
            m->process->runtime.out_max = 8 << 20; // as on the platform
        EXPECT_TRUE(cluster.until(
            [&] { return call(outer, put("/config/0/1", "first")).find(" 200 ") != std::string::npos; }, BOOT_TURNS));
    }
    // The whole answer.
    std::string call(size_t machine, const std::string &request)
    {
        PlainCaller caller(cluster.machines[machine]->http_addr);
        std::string left = request;
        EXPECT_TRUE(cluster.until([&] { return whole(caller); }, BOOT_TURNS,
                                  [&] {
                                      ssize_t n =
                                          send(caller.fd, left.data(), left.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
                                      left.erase(0, n > 0 ? (size_t)n : 0);
                                  }));
        return caller.in;
    }
    static bool whole(PlainCaller &caller)
    {
        caller.read();
        size_t head = caller.in.find("\r\n\r\n"), at = caller.in.find("Content-Length: ");
        return head != std::string::npos &&
               caller.in.size() >= head + 4 + std::stoul(caller.in.substr(at + strlen("Content-Length: ")));
    }
    std::string in_force(size_t machine)
    {
        std::string answer = call(machine, get("/config"));
        return answer.substr(answer.find("\r\n\r\n") + 4);
    }
    // The order gets this status, is told as this event at its node, and changes nothing.
    void refused(const std::string &order, const std::string &status, int event, const std::string &text)
    {
        std::string before = in_force(outer);
        cluster.machines[outer]->events.clear();
        EXPECT_NE(call(outer, order).find(" " + status + " "), std::string::npos) << text;
        EXPECT_TRUE(cluster.machines[outer]->told(event, text)) << "no event: " << text;
        EXPECT_EQ(in_force(outer), before);
    }
};

} // namespace

TEST(Orders, one_of_four_mebibytes_is_in_force_whole)
{
    Orders orders;
    std::string body(4 << 20, 'x');
    for (size_t i = 0; i < body.size(); i += 997)
        body[i] = (char)('a' + i % 26);
    EXPECT_NE(orders.call(orders.outer, put("/config/1/2", body)).find(" 200 "), std::string::npos);
    for (size_t machine = 0; machine < orders.cluster.machines.size(); machine++)
        EXPECT_TRUE(orders.in_force(machine) == "kind " + std::to_string(REQUEST_CONFIG_GET) + " " + body) << machine;
}

TEST(Orders, each_that_is_not_taken_is_an_event_and_changes_nothing)
{
    Orders orders;
    orders.refused(put("/config/none/2", "x"), "400", EV_ORDER_REFUSED, "problem=bad_field at=base expected=a number");
    orders.refused(put("/config/1", "x"), "400", EV_ORDER_REFUSED, "problem=bad_field");
    EXPECT_NE(orders.call(0, put("/config/1/2", "one")).find(" 200 "), std::string::npos);
    orders.refused(put("/config/1/2", "another"), "412", EV_ORDER_REFUSED, "version=2 base=1 problem=stale_version");
    orders.refused(put("/config/1/3", "another"), "412", EV_ORDER_REFUSED, "version=3 base=1 problem=stale_version");
    EXPECT_NE(orders.call(1, put("/config/1/2", "one")).find(" 200 "), std::string::npos) << "sent again";
    orders.refused(put("/config/2/3", std::string(BODY_MOST + 1, 'x')), "413", EV_REQUEST_DROPPED,
                   "large path=/config/2/3");
}

namespace
{

struct Door {
    int64_t now_ms = 0, handed_on = 0;
    std::vector<std::string> events;
};

// A body of so many bytes, one a second; how many were sent when the connection ended or the request was handed on.
size_t sent_slowly(Door &door, size_t size)
{
    Rig rig;
    static Door *at;
    at = &door;
    rig.table.mono_ms = [](struct world *) { return at->now_ms; };
    rig.table.note = [](struct world *, int event, const char *text) {
        at->events.push_back(std::to_string(event) + " " + text);
    };
    rig.runtime.role.on_request = [](void *, int64_t, const struct http_request *) { at->handed_on++; };
    int fd = listen_anywhere();
    uint16_t port = port_of(fd);
    close(fd);
    int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
    EXPECT_EQ(http_server_start_listeners(&rig.runtime, addrs), 0);
    PlainCaller caller(loopback(port));
    caller.send_text("PUT /slow HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    size_t sent = 0;
    char byte;
    EXPECT_TRUE(rig.until([&] { return door.handed_on || recv(caller.fd, &byte, 1, MSG_DONTWAIT) == 0; }, MOST_MS,
                          [&] {
                              for (int i = 0; i < 5; i++) // what was sent before is read
                                  ev_run(rig.runtime.loop, EVRUN_NOWAIT);
                              if (sent == size || send(caller.fd, "x", 1, MSG_NOSIGNAL) != 1)
                                  return;
                              door.now_ms += 1000;
                              sent++;
                          }));
    return sent;
}

} // namespace

TEST(Orders, one_that_comes_a_byte_a_second_is_dropped_in_the_end)
{
    Door slow, patient;
    EXPECT_LT(sent_slowly(slow, 4 << 20), (size_t)10000);
    EXPECT_EQ(slow.handed_on, 0);
    ASSERT_EQ(slow.events.size(), 1u);
    EXPECT_EQ(slow.events[0].rfind(std::to_string(EV_REQUEST_DROPPED) + " slow path=/slow", 0), 0u) << slow.events[0];
    EXPECT_EQ(sent_slowly(patient, SLOW_MOST_S / 2), (size_t)SLOW_MOST_S / 2);
    EXPECT_EQ(patient.handed_on, 1);
    EXPECT_TRUE(patient.events.empty());
}
