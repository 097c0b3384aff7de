// The sockets of one process in a test: the production code of http_server.c, http_client.c and net.c with its own
// event loop, on loopback addresses. Tests do not sleep: they run loops until a condition holds.
#ifndef SAGEHITCH_TESTS_PROC_RIG_H
#define SAGEHITCH_TESTS_PROC_RIG_H
#include <arpa/inet.h>
#include <curl/curl.h>
#include <ev.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "base/error.h"
#include "base/frame.h"
#include "controller/codec.h"
#include "proc/runtime.h"
}

namespace proc_rig
{

inline int64_t clock_ms(clockid_t id)
{
    struct timespec now;
    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}
inline int64_t mono_ms(struct world *) { return clock_ms(CLOCK_MONOTONIC); }
inline int64_t wall_ms(struct world *) { return clock_ms(CLOCK_REALTIME); }
inline uint64_t random_u64(struct world *)
{
    static uint64_t state = 1;
    return state = hash_mix(state, 0x9e3779b97f4a7c15ull);
}
inline void note(struct world *, int, const char *) {}

// The address of a port on 127.0.0.1, in the format of struct world.
inline uint64_t loopback(uint16_t port) { return (uint64_t)INADDR_LOOPBACK << 16 | port; }
inline struct sockaddr_in socket_address(uint16_t port)
{
    struct sockaddr_in socket_addr = {};
    socket_addr.sin_family = AF_INET;
    socket_addr.sin_port = htons(port);
    socket_addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return socket_addr;
}
inline uint16_t port_of(int fd)
{
    struct sockaddr_in socket_addr = {};
    socklen_t len = sizeof socket_addr;
    getsockname(fd, (struct sockaddr *)&socket_addr, &len);
    return ntohs(socket_addr.sin_port);
}
// A listening socket at a port chosen by the kernel.
inline int listen_anywhere()
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in socket_addr = socket_address(0);
    EXPECT_EQ(bind(fd, (struct sockaddr *)&socket_addr, sizeof socket_addr), 0);
    EXPECT_EQ(listen(fd, 1024), 0);
    return fd;
}
// Begins a connection to an address in the format of struct world.
inline int connect_at(uint64_t addr)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), on = 1;
    struct sockaddr_in socket_addr = socket_address((uint16_t)(addr & 0xffff));
    socket_addr.sin_addr.s_addr = htonl((uint32_t)(addr >> 16));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    EXPECT_TRUE(!connect(fd, (struct sockaddr *)&socket_addr, sizeof socket_addr) || errno == EINPROGRESS);
    return fd;
}
inline int connect_to(uint16_t port) { return connect_at(loopback(port)); }
// Closes a connection with a reset. Bytes that are still in transit are lost.
inline void reset(int fd)
{
    struct linger now = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
}

// A process with an event loop and without a role.
struct Rig {
    struct world_calls table = {};
    struct runtime runtime = {};

    Rig()
    {
        table.mono_ms = mono_ms;
        table.wall_ms = wall_ms;
        table.random = random_u64;
        table.send = net_send;
        table.call = http_client_call;
        table.answer = http_server_respond;
        table.note = note;
        runtime.base.calls = &table;
        runtime.listen_fd = runtime.udp_fd = -1;
        runtime.out_max = 128 << 20;
        runtime.cluster = (uint32_t)hash_text("test");
        runtime.loop = ev_loop_new(EVFLAG_AUTO);
        http_client_start(&runtime);
    }
    ~Rig()
    {
        http_server_end(&runtime);
        http_client_end(&runtime);
        net_end(&runtime);
        ev_loop_destroy(runtime.loop);
    }
    // Runs the loop, with `between` after each iteration, until done() or the time limit; returns done().
    bool until(
        const std::function<bool()> &done, int64_t max_ms, const std::function<void()> &between = [] {})
    {
        int64_t end_ms = mono_ms(nullptr) + max_ms;
        while (!done() && mono_ms(nullptr) < end_ms) {
            ev_run(runtime.loop, EVRUN_NOWAIT);
            between();
        }
        return done();
    }
};

} // namespace proc_rig
#endif
