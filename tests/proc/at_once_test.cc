// What a turn sends is on its way before the turn ends, since it may end in a sync that takes long.
#include <poll.h>

#include "proc_rig.h"

using namespace proc_rig;

namespace
{

enum { MOST_MS = 20000 };

// Waits for bytes without turning any loop of ours.
bool readable(int fd)
{
    struct pollfd at = {fd, POLLIN, 0};
    return poll(&at, 1, MOST_MS) == 1;
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

TEST(AtOnce, AFrameOnAnOpenConnectionLeavesWithinTheTurn)
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
        MOST_MS));
    net_send(&sender.runtime.base, to, second, 0);
    EXPECT_TRUE(readable(fd)) << "and no loop has turned";
    EXPECT_EQ(received(fd), "second");
    blob_drop(first);
    blob_drop(second);
    close(fd);
    close(listening);
}

TEST(AtOnce, AnAnswerLeavesWhenTheTurnBegins)
{
    Rig door;
    int picked = listen_anywhere();
    uint16_t port = port_of(picked);
    close(picked);
    static int64_t slot;
    slot = -1;
    door.runtime.role.on_request = [](void *, int64_t at, const struct http_request *) { slot = at; };
    int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
    ASSERT_EQ(http_server_start_listeners(&door.runtime, addrs), 0);
    int fd = connect_to(port);
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    bool sent = false;
    ASSERT_TRUE(door.until(
        [&] {
            sent = sent || send(fd, request.data(), request.size(), MSG_NOSIGNAL) == (ssize_t)request.size();
            return slot >= 0;
        },
        MOST_MS));
    api_reply(&door.runtime.base, slot, 200, 0, "{}");
    api_flush(&door.runtime);
    EXPECT_TRUE(readable(fd)) << "and no loop has turned";
    EXPECT_EQ(received(fd).substr(0, 12), "HTTP/1.1 200");
    close(fd);
}
