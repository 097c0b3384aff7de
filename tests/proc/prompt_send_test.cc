// Frames and responses are sent before the current iteration of the loop ends, since it may end with a slow disk sync.
#include <poll.h>

#include "proc_rig.h"

using namespace proc_rig;

namespace
{

enum { MAX_MS = 20000 };

// Waits until fd is readable, without running any event loop of this process.
bool readable(int fd)
{
    struct pollfd at = {fd, POLLIN, 0};
    return poll(&at, 1, MAX_MS) == 1;
}

struct blob *blob_of(const std::string &text)
{
    struct blob *frame = blob_new();
    bytes_add(&frame->bytes, text.data(), (int64_t)text.size());
    return frame;
}

std::string received(int fd)
{
    char got[64];
    ssize_t n = recv(fd, got, sizeof got, MSG_DONTWAIT);
    return n > 0 ? std::string(got, (size_t)n) : "";
}

} // namespace

TEST(PromptSend, AFrameOnAnOpenConnectionIsSentAtOnce)
{
    Rig sender;
    int listening = listen_anywhere(), fd = -1;
    uint64_t to = loopback(port_of(listening));
    std::string got;
    struct blob *first = blob_of("first "), *second = blob_of("second");
    net_send(&sender.runtime.base, to, first, 0);
    ASSERT_TRUE(sender.until(
        [&] {
            fd = fd >= 0 ? fd : accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            got += fd >= 0 ? received(fd) : "";
            return got == "first ";
        },
        MAX_MS));
    net_send(&sender.runtime.base, to, second, 0);
    EXPECT_TRUE(readable(fd)) << "without running the loop";
    EXPECT_EQ(received(fd), "second");
    blob_drop(first);
    blob_drop(second);
    close(fd);
    close(listening);
}

TEST(PromptSend, AFlushSendsTheResponses)
{
    Rig server;
    int probe_fd = listen_anywhere();
    uint16_t port = port_of(probe_fd);
    close(probe_fd);
    static int64_t slot;
    slot = -1;
    server.runtime.role.on_request = [](void *, int64_t at, const struct http_request *) { slot = at; };
    int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
    ASSERT_EQ(http_server_start_listeners(&server.runtime, addrs), 0);
    int fd = connect_to(port);
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    bool sent = false;
    ASSERT_TRUE(server.until(
        [&] {
            sent = sent || send(fd, request.data(), request.size(), MSG_NOSIGNAL) == (ssize_t)request.size();
            return slot >= 0;
        },
        MAX_MS));
    http_server_respond(&server.runtime.base, slot, 200, 0, "{}");
    http_server_flush(&server.runtime);
    EXPECT_TRUE(readable(fd)) << "without running the loop";
    EXPECT_EQ(received(fd).substr(0, 12), "HTTP/1.1 200");
    close(fd);
}
