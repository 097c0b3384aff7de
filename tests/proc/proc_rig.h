// One process's sockets in a test: the real http_in, http_out and net on a loop of their own, loopback addresses,
// no sleeping: loops are turned until a condition holds.
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
    struct timespec at;
    clock_gettime(id, &at);
    return (int64_t)at.tv_sec * 1000 + at.tv_nsec / 1000000;
}
inline int64_t mono_ms(struct world *) { return clock_ms(CLOCK_MONOTONIC); }
inline int64_t wall_ms(struct world *) { return clock_ms(CLOCK_REALTIME); }
inline uint64_t random_u64(struct world *)
{
    static uint64_t state = 1;
    return state = hash_mix(state, 0x9e3779b97f4a7c15ull);
}
inline void note(struct world *, int, const char *) {}

// 127.0.0.1 at a port, as the world writes addresses.
inline uint64_t loopback(uint16_t port) { return (uint64_t)INADDR_LOOPBACK << 16 | port; }
inline struct sockaddr_in socket_address(uint16_t port)
{
    struct sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}
inline uint16_t port_of(int fd)
{
    struct sockaddr_in at = {};
    socklen_t len = sizeof at;
    getsockname(fd, (struct sockaddr *)&at, &len);
    return ntohs(at.sin_port);
}
// A listening socket at a port that the kernel picks.
inline int listen_anywhere()
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    struct sockaddr_in at = socket_address(0);
    EXPECT_EQ(bind(fd, (struct sockaddr *)&at, sizeof at), 0);
    EXPECT_EQ(listen(fd, 1024), 0);
    return fd;
}
// Begins a connection to an address of the world.
inline int connect_at(uint64_t addr)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), on = 1;
    struct sockaddr_in at = socket_address((uint16_t)(addr & 0xffff));
    at.sin_addr.s_addr = htonl((uint32_t)(addr >> 16));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    EXPECT_TRUE(!connect(fd, (struct sockaddr *)&at, sizeof at) || errno == EINPROGRESS);
    return fd;
}
inline int connect_to(uint16_t port) { return connect_at(loopback(port)); }
// Ends a connection by a reset, whatever is still on its way.
inline void reset(int fd)
{
    struct linger now = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
}

struct Rig {
    struct world_calls table = {};
    struct runtime runtime = {};

    Rig()
    {
        table.mono_ms = mono_ms;
        table.wall_ms = wall_ms;
        table.random = random_u64;
        table.send = net_send;
        table.call = out_call;
        table.answer = api_reply;
        table.note = note;
        runtime.base.calls = &table;
        runtime.listen_fd = runtime.udp_fd = -1;
        runtime.out_max = 128 << 20;
        runtime.cluster = (uint32_t)hash_text("test");
        runtime.loop = ev_loop_new(EVFLAG_AUTO);
        out_start(&runtime);
    }
    ~Rig()
    {
        api_end(&runtime);
        out_end(&runtime);
        net_end(&runtime);
        ev_loop_destroy(runtime.loop);
    }
    // Turns the loop, with `between` after each turn, until done() or the time is over; returns done().
    bool until(
        const std::function<bool()> &done, int64_t most_ms, const std::function<void()> &between = [] {})
    {
        int64_t end_ms = mono_ms(nullptr) + most_ms;
        while (!done() && mono_ms(nullptr) < end_ms) {
            ev_run(runtime.loop, EVRUN_NOWAIT);
            between();
        }
        return done();
    }
};

} // namespace proc_rig
#endif
