// The HTTP server and the incoming frames at the limits of a small machine, in virtual time: what is refused, who gives
// way, and that a place is free again afterwards.
#include <map>
#include <memory>

#include "raw_client.h"

using namespace proc_rig;

namespace
{

enum { MAX_MS = 20000, MEMORY_BYTES = 16 << 20, DESCRIPTORS = 240, LARGE = 1 << 20 };

int64_t &now_ms()
{
    static int64_t now = 1000;
    return now;
}

// A server on a machine of 16 MiB and 40 descriptors for sockets, whose role answers each request at once.
struct LimitedServer : Rig {
    uint64_t addr;
    std::string response = "ok";
    int64_t served = 0;

    LimitedServer()
    {
        table.mono_ms = [](struct world *) { return now_ms(); };
        int fd = listen_anywhere();
        addr = loopback(port_of(fd));
        close(fd);
        runtime.role.arg = this;
        runtime.role.on_request = [](void *arg, int64_t slot, const struct http_request *) {
            LimitedServer *server = (LimitedServer *)arg;
            server->served++;
            server->runtime.base.calls->answer(&server->runtime.base, slot, 200, 0, server->response.c_str());
        };
        int64_t addrs[LISTENERS_MAX] = {(int64_t)addr};
        EXPECT_EQ(http_server_start_listeners(&runtime, addrs), 0);
        const struct machine_limits machine = {MEMORY_BYTES, DESCRIPTORS};
        http_server_limit(&runtime, &machine);
    }
    void turns(int n = 50)
    {
        for (int i = 0; i < n; i++)
            ev_run(runtime.loop, EVRUN_NOWAIT);
    }
    int64_t held() const
    {
        int64_t sum = 0;
        for (int64_t used : runtime.budget.used_bytes)
            sum += used;
        return sum;
    }
    // The status of the response to a client that sends this text.
    int status_of(RawClient &client, const std::string &text)
    {
        size_t sent = 0;
        until([&] { return client.read(), client.status() != 0; }, MAX_MS,
              [&] {
                  ssize_t n = send(client.fd, text.data() + sent, text.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
                  sent += n > 0 ? (size_t)n : 0;
              });
        return client.status();
    }
    bool is_closed(RawClient &client)
    {
        char byte;
        turns();
        ssize_t n = recv(client.fd, &byte, 1, MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno == ECONNRESET);
    }
};

std::string head_of(size_t bytes)
{
    return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}
std::string whole(size_t bytes) { return head_of(bytes) + std::string(bytes, ' '); }

} // namespace

TEST(ClientLimits, a_stalled_body_gives_way_to_another_once_it_is_slow)
{
    LimitedServer server;
    std::vector<std::unique_ptr<RawClient>> stalled;
    for (int i = 0; i < 3; i++) { // the pool of large bodies has 3 MiB
        stalled.push_back(std::make_unique<RawClient>(server.addr));
        stalled.back()->send_text(head_of(LARGE) + std::string(64 << 10, ' ')); // at once, then nothing
        server.turns();
    }
    EXPECT_EQ(server.held(), 3 * LARGE);
    RawClient early(server.addr), late(server.addr), small(server.addr);
    EXPECT_EQ(server.status_of(early, whole(LARGE)), 503);
    EXPECT_NE(early.received.find("Retry-After: 1"), std::string::npos) << early.received;
    EXPECT_EQ(server.status_of(small, whole(1000)), 200) << "small bodies have a pool of their own";
    now_ms() += 1000;
    EXPECT_EQ(server.status_of(late, whole(LARGE)), 200);
    server.turns();
    EXPECT_EQ(server.held(), 2 * LARGE);
    stalled.clear();
    server.turns();
    EXPECT_EQ(server.held(), 0) << "a place is not freed";
}

TEST(ClientLimits, a_body_that_is_not_announced_takes_its_place_as_it_grows)
{
    LimitedServer server;
    std::string head = "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(16 << 10, ' ');
    std::string body;
    for (int i = 0; i < 3 * LARGE / (16 << 10); i++)
        body += "4000\r\n" + chunk + "\r\n";
    RawClient fits(server.addr), over(server.addr);
    EXPECT_EQ(server.status_of(fits, head + body + "0\r\n\r\n"), 200);
    EXPECT_EQ(server.status_of(over, head + body + "4000\r\n" + chunk + "\r\n0\r\n\r\n"), 413);
    EXPECT_EQ(server.served, 1);
    EXPECT_EQ(server.held(), 0);
}

TEST(ClientLimits, a_body_of_many_values_is_refused)
{
    LimitedServer server;
    std::string values = "[{}";
    while (values.size() < 100000)
        values += ",{}";
    RawClient client(server.addr);
    EXPECT_EQ(server.status_of(client, head_of(values.size() + 1) + values + "]"), 413);
    EXPECT_EQ(server.served, 0);
}

TEST(ClientLimits, the_connection_that_waits_longest_ends_for_a_new_one)
{
    LimitedServer server;
    std::vector<std::unique_ptr<RawClient>> idle;
    for (int i = 0; i < 20; i++) { // half of the descriptors for sockets
        idle.push_back(std::make_unique<RawClient>(server.addr));
        server.turns(5);
        now_ms()++;
    }
    RawClient next(server.addr);
    next.send_text(get("/x"));
    server.turns();
    EXPECT_EQ(server.served, 0) << "nobody has waited for 100 ms, so the new one waits";
    now_ms() += 100;
    EXPECT_TRUE(server.until([&] { return server.served == 1; }, MAX_MS));
    EXPECT_TRUE(server.is_closed(*idle[0]));
    EXPECT_FALSE(server.is_closed(*idle[1]));
    EXPECT_LE(server.runtime.n_connections[0], 20);
}

TEST(ClientLimits, a_response_that_nobody_takes_gives_way)
{
    LimitedServer server;
    server.response = std::string(3 * LARGE, 'r');
    auto begins = [&](RawClient &client) {
        int bytes = 4096;
        setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        client.send_text(get("/x"));
        server.turns(1000); // the kernel takes what it can
        return server.served;
    };
    RawClient first(server.addr), second(server.addr);
    EXPECT_EQ(begins(first), 1);
    ASSERT_GT(server.held(), 0) << "the kernel took the whole response";
    EXPECT_EQ(begins(second), 2);
    EXPECT_EQ(server.status_of(second, ""), 503) << "the pool of large responses has 3 MiB";
    int status = 503;
    for (int i = 0; i < 100 && status == 503; i++) { // the kernel may still take a part of the first
        RawClient third(server.addr);
        now_ms() += 3000;
        status = server.status_of(third, get("/x"));
    }
    EXPECT_EQ(status, 200);
    EXPECT_LE(server.held(), 3 * LARGE);
}

TEST(ClientLimits, incomplete_frames_give_way_to_others)
{
    Rig rig;
    rig.table.mono_ms = [](struct world *) { return now_ms(); };
    int64_t frames = 0;
    rig.runtime.role.arg = &frames;
    rig.runtime.role.on_frame = [](void *arg, const uint8_t *, int64_t) { ++*(int64_t *)arg; };
    rig.runtime.in_bytes_max = 2 * LARGE;
    rig.runtime.in_connections_max = 4;
    int fd = listen_anywhere();
    rig.runtime.base.self = loopback(port_of(fd));
    close(fd);
    ASSERT_EQ(net_start(&rig.runtime), ERROR_NONE);
    uint8_t head[FRAME_HEAD] = {'S', 'H', FRAME_VERSION, FRAME_PING};
    le_put(head + 4, rig.runtime.cluster, 4);
    le_put(head + 16, 3 * LARGE / 2, 4);
    std::string text((const char *)head, sizeof head);
    auto sends = [&](RawClient &client, size_t bytes) {
        size_t sent = 0, total = text.size() + bytes;
        std::string all = text + std::string(bytes, 'x');
        rig.until([&] { return sent == total; }, MAX_MS,
                  [&] {
                      ssize_t n = send(client.fd, all.data() + sent, total - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
                      sent += n > 0 ? (size_t)n : 0;
                  });
        for (int i = 0; i < 100; i++)
            ev_run(rig.runtime.loop, EVRUN_NOWAIT);
        now_ms()++;
    };
    RawClient stalled(rig.runtime.base.self), peer(rig.runtime.base.self);
    sends(stalled, LARGE);
    EXPECT_EQ(rig.runtime.in_bytes, (int64_t)text.size() + LARGE);
    sends(peer, 3 * LARGE / 2);
    EXPECT_EQ(frames, 1) << "the frame of a peer that goes on is received";
    EXPECT_EQ(rig.runtime.in_bytes, 0) << "the stalled one gave way";
    std::vector<std::unique_ptr<RawClient>> idle;
    for (int i = 0; i < 10; i++)
        idle.push_back(std::make_unique<RawClient>(rig.runtime.base.self));
    for (int i = 0; i < 100; i++)
        ev_run(rig.runtime.loop, EVRUN_NOWAIT);
    EXPECT_EQ(rig.runtime.n_in_connections, 4);
}
