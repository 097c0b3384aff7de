// Frames on real connections; guards against partial, mixed or repeated frames. In whatever pieces bytes are sent and
// received, and wherever a connection ends, the receiver gets whole frames: a prefix, in order, of those sent on that
// connection.
#include <map>
#include <random>

#include "proc_rig.h"

using namespace proc_rig;

namespace
{

enum { MAX_MS = 60000, TURNS_AFTER = 20 };

// A frame whose body begins with its number, followed by size bytes. These tests do not decode the body.
std::string frame_of(int64_t number, size_t size, const char *cluster = "test")
{
    struct bytes body = {};
    std::string text = std::to_string(number) + ":" + std::string(size, (char)('a' + number % 26));
    uint8_t head[FRAME_HEAD] = {'S', 'H', FRAME_VERSION, FRAME_REQUEST};
    bytes_add(&body, head, FRAME_HEAD);
    bytes_add(&body, text.data(), (int64_t)text.size());
    le_put(body.at + 4, (uint32_t)hash_text(cluster), 4);
    le_put(body.at + 8, 7, 8);
    le_put(body.at + 16, text.size(), 4);
    le_put(body.at + 20, crc_of(body.at + FRAME_HEAD, (int64_t)text.size()), 4);
    std::string frame((const char *)body.at, (size_t)body.len);
    bytes_free(&body);
    return frame;
}

// A process that keeps the frames it receives. dropped: number of calls with bytes that are not a valid frame.
struct Receiver : Rig {
    uint16_t port;
    std::vector<std::string> received;
    int64_t dropped = 0;

    Receiver()
    {
        int fd = listen_anywhere();
        port = port_of(fd);
        close(fd);
        runtime.base.self = loopback(port);
        runtime.role.arg = this;
        runtime.role.on_frame = [](void *arg, const uint8_t *at, int64_t len) {
            Receiver *r = (Receiver *)arg;
            struct frame frame;
            if (frame_parse(&frame, at, len, r->runtime.cluster))
                r->dropped++;
            else
                r->received.emplace_back((const char *)at, (size_t)len);
        };
        EXPECT_EQ(net_start(&runtime), ERROR_NONE);
    }
    void turns(int n = TURNS_AFTER)
    {
        for (int i = 0; i < n; i++)
            ev_run(runtime.loop, EVRUN_NOWAIT);
    }
    // Runs the loop until that many frames were received or dropped; returns whether they were.
    bool wait_for(size_t frames)
    {
        return until([&] { return received.size() + (size_t)dropped >= frames; }, MAX_MS);
    }
};

void send_all(int fd, const std::string &bytes)
{
    ASSERT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), (ssize_t)bytes.size());
}
// Connects, and runs the loop of the receiver, which is in the same thread, until it has accepted.
int connected(Receiver &to)
{
    int fd = connect_to(to.port);
    to.turns(3);
    return fd;
}

} // namespace

TEST(Frames, are_received_whole_in_whatever_pieces_they_arrive)
{
    Receiver to;
    const std::vector<std::string> frames = {frame_of(1, 5), frame_of(2, 0), frame_of(3, 90)};
    std::string all = frames[0] + frames[1] + frames[2];
    for (size_t cut = 0; cut <= all.size() && !HasFailure(); cut++) {
        to.received.clear();
        int fd = connected(to);
        send_all(fd, all.substr(0, cut));
        to.turns();
        send_all(fd, all.substr(cut));
        EXPECT_TRUE(to.wait_for(3));
        EXPECT_EQ(to.received, frames) << "in two pieces, the first of " << cut << " bytes";
        close(fd);
    }
    to.received.clear();
    int fd = connected(to);
    for (char byte : all) {
        send_all(fd, std::string(1, byte));
        to.turns(2);
    }
    EXPECT_TRUE(to.wait_for(3));
    EXPECT_EQ(to.received, frames) << "byte by byte";
    EXPECT_EQ(to.dropped, 0);
    close(fd);
}

TEST(Frames, a_truncated_frame_is_dropped_and_affects_no_other)
{
    const std::vector<std::string> frames = {frame_of(1, 5), frame_of(2, 0), frame_of(3, 90)};
    std::string all = frames[0] + frames[1] + frames[2], next = frame_of(4, 10);
    for (bool by_reset : {true, false}) {
        Receiver to;
        for (size_t cut = 0; cut <= all.size() && !HasFailure(); cut++) {
            std::vector<std::string> expected;
            for (size_t i = 0, end = 0; i < frames.size() && (end += frames[i].size()) <= cut; i++)
                expected.push_back(frames[i]);
            to.received.clear();
            int fd = connected(to), other = connected(to);
            send_all(fd, all.substr(0, cut));
            EXPECT_TRUE(to.wait_for(expected.size()));
            to.turns();
            by_reset ? reset(fd) : (void)close(fd);
            expected.push_back(next);
            send_all(other, next);
            EXPECT_TRUE(to.wait_for(expected.size()));
            to.turns();
            EXPECT_EQ(to.received, expected) << "cut after " << cut << " bytes";
            close(other);
        }
        EXPECT_EQ(to.dropped, 0);
    }
}

TEST(Frames, bytes_after_an_invalid_head_are_not_received)
{
    Receiver to;
    std::string good = frame_of(1, 5), far = good, version = good, kind = good;
    uint64_t too_long = (uint64_t)FRAME_MAX + 1;
    memcpy(&far[16], &too_long, 4);
    version[2]++;
    kind[3] = FRAME_LAST;
    for (const std::string &bad : {far, version, kind, frame_of(1, 5, "another"), std::string(64, 'x')}) {
        to.received.clear();
        to.dropped = 0;
        int fd = connected(to);
        send_all(fd, good + bad + good);
        EXPECT_TRUE(to.wait_for(2));
        to.turns();
        EXPECT_EQ(to.received, std::vector<std::string>{good});
        EXPECT_EQ(to.dropped, 1);
        char byte;
        ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);
        EXPECT_TRUE(!n || (n < 0 && errno == ECONNRESET)) << "the connection stays open";
        close(fd);
    }
}

TEST(Frames, only_the_frame_with_a_wrong_checksum_is_dropped)
{
    Receiver to;
    std::string good = frame_of(1, 5), bad = good;
    bad[FRAME_HEAD] ^= 1;
    int fd = connected(to);
    send_all(fd, good + bad + good);
    EXPECT_TRUE(to.wait_for(3));
    EXPECT_EQ(to.received, (std::vector<std::string>{good, good}));
    EXPECT_EQ(to.dropped, 1);
    close(fd);
}

// A frame of the maximum size is received. A frame that is one byte longer is dropped once its head has arrived.
TEST(Frames, the_size_limit_is_checked_in_the_head)
{
    Receiver to;
    std::string largest = frame_of(1, FRAME_MAX - 2);
    ASSERT_EQ(largest.size(), (size_t)FRAME_HEAD + FRAME_MAX);
    int fd = connected(to);
    size_t sent = 0;
    EXPECT_TRUE(to.until([&] { return !to.received.empty(); }, MAX_MS,
                         [&] {
                             ssize_t n =
                                 send(fd, largest.data() + sent, largest.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
                             sent += n > 0 ? (size_t)n : 0;
                         }));
    EXPECT_TRUE(to.received.size() == 1 && to.received[0] == largest);
    close(fd);
    std::string longer = frame_of(2, FRAME_MAX - 1);
    fd = connected(to);
    send_all(fd, longer.substr(0, FRAME_HEAD));
    to.turns();
    close(fd);
    EXPECT_TRUE(to.until([&] { return !to.runtime.in_connections; }, MAX_MS));
    EXPECT_EQ(to.dropped, 1) << "it waits for a frame over the limit";
}

TEST(Frames, a_datagram_is_one_frame_or_none)
{
    Receiver to;
    struct sockaddr_in at = socket_address(to.port);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    std::string good = frame_of(1, 5), large = frame_of(2, 3000);
    std::vector<std::string> all = {good, good.substr(0, good.size() - 1), good + "x", good.substr(0, 10), large, good};
    for (const std::string &datagram : all)
        ASSERT_EQ(sendto(fd, datagram.data(), datagram.size(), 0, (struct sockaddr *)&at, sizeof at),
                  (ssize_t)datagram.size());
    EXPECT_TRUE(to.wait_for(all.size()));
    EXPECT_EQ(to.received, (std::vector<std::string>{good, good}));
    EXPECT_EQ(to.dropped, 4);
    close(fd);
}

namespace
{

// A connection that sends numbered frames in pieces, and may end within a frame.
struct Connection {
    int fd;
    std::string out;
    std::vector<int64_t> numbers;
};

int64_t number_in(const std::string &frame) { return atoll(frame.c_str() + FRAME_HEAD); }

} // namespace

// Several open connections, like an old and a new one of the same peer. Pieces of all arrive in any order.
TEST(Frames, frames_of_concurrent_connections_are_not_mixed)
{
    for (unsigned seed = 1; seed <= 20 && !HasFailure(); seed++) {
        Receiver to;
        std::mt19937 random(seed);
        std::vector<Connection> connections;
        std::map<int64_t, std::string> frames;
        for (int i = 0; i < 8; i++) {
            connections.push_back({connected(to), "", {}});
            for (int64_t n = 0; n < 20; n++) {
                int64_t number = i * 100 + n;
                frames[number] = frame_of(number, random() % 8 ? random() % 100 : random() % 100000);
                connections.back().out += frames[number];
                connections.back().numbers.push_back(number);
            }
        }
        size_t open = connections.size(), whole = 0;
        while (open) {
            Connection &connection = connections[random() % connections.size()];
            if (connection.fd < 0)
                continue;
            size_t limit = random() % 4 ? random() % 50 : random() % 70000;
            ssize_t n = send(connection.fd, connection.out.data(), std::min(limit, connection.out.size()),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
            connection.out.erase(0, n > 0 ? (size_t)n : 0);
            if (!(random() % 300) || connection.out.empty()) {
                whole += connection.out.empty() ? 20 : 0;
                connection.out.empty() ? (void)close(connection.fd) : reset(connection.fd);
                connection.fd = -1;
                open--;
            }
            to.turns((int)(random() % 3));
        }
        EXPECT_TRUE(to.wait_for(whole));
        to.turns(200);
        EXPECT_EQ(to.dropped, 0);
        std::map<int64_t, size_t> next; // index of the next frame, by connection
        for (const std::string &frame : to.received) {
            int64_t number = number_in(frame);
            EXPECT_EQ(number % 100, (int64_t)next[number / 100]++) << "seed " << seed << ": not a prefix";
            EXPECT_TRUE(frame == frames[number]) << "seed " << seed << ": frame " << number << " is mixed";
        }
    }
}

namespace
{

// A sender of frames, and a peer that reads slowly and closes its connection anywhere.
struct SenderAndPeer {
    static int64_t &now_ms() // advances by a millisecond in each turn
    {
        static int64_t now = 0;
        return now;
    }
    Rig from;
    std::mt19937 random{1};
    int listen_fd = listen_anywhere(), fd = -1;
    uint64_t to = loopback(port_of(listen_fd));
    std::string buffer; // on the current connection
    std::map<int64_t, std::string> frames;
    int64_t number = 0, last = 0, whole = 0, connections = 0;

    SenderAndPeer()
    {
        from.table.mono_ms = [](struct world *) { return now_ms(); };
        from.runtime.out_max = 8 << 20;
        int bytes = 64 << 10; // a small buffer makes the sender wait within frames
        setsockopt(listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }
    ~SenderAndPeer()
    {
        close(listen_fd);
        if (fd >= 0)
            close(fd);
    }
    SenderAndPeer(const SenderAndPeer &) = delete;
    void send_one()
    {
        struct blob *frame = blob_new();
        number++;
        frames[number] = frame_of(number, random() % 4 ? random() % 300 : random() % 150000);
        bytes_add(&frame->bytes, frames[number].data(), (int64_t)frames[number].size());
        net_send(&from.runtime.base, to, frame, 0);
        blob_drop(frame);
    }
    void check_frames()
    {
        while (buffer.size() >= FRAME_HEAD) {
            int64_t len = frame_length((const uint8_t *)buffer.data(), from.runtime.cluster);
            ASSERT_GT(len, 0) << "no frame begins here";
            if ((int64_t)buffer.size() < len)
                return;
            int64_t frame_number = number_in(buffer);
            EXPECT_GT(frame_number, last) << "out of order or twice";
            EXPECT_TRUE(buffer.compare(0, (size_t)len, frames[frame_number]) == 0)
                << "frame " << frame_number << " is mixed";
            last = frame_number;
            whole++;
            buffer.erase(0, (size_t)len);
            frames.erase(frames.begin(), frames.upper_bound(last));
        }
    }
    void read()
    {
        if (fd < 0 && (fd = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
            connections++;
        if (fd < 0)
            return;
        std::vector<char> bytes(1 + random() % 8000);
        ssize_t n = recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        buffer.append(bytes.data(), n > 0 ? (size_t)n : 0);
        check_frames();
        if (n && (n < 0 || random() % 400))
            return;
        random() % 2 ? reset(fd) : (void)close(fd);
        fd = -1;
        buffer.clear();
    }
};

} // namespace

// Each connection carries whole frames in order from its first byte, and no frame is sent on two connections.
// A frame that is never sent stops what waits for it, such as the log at one of its entries.
TEST(Frames, a_frame_larger_than_the_queue_is_sent_if_nothing_else_waits)
{
    Receiver to;
    Rig from;
    from.runtime.out_max = 1 << 20;
    std::string large = frame_of(1, 3 << 20);
    struct blob *frame = blob_new();
    bytes_add(&frame->bytes, large.data(), (int64_t)large.size());
    net_send(&from.runtime.base, to.runtime.base.self, frame, 0);
    net_send(&from.runtime.base, to.runtime.base.self, frame, 0); // dropped: the queue is full
    blob_drop(frame);
    EXPECT_TRUE(from.until([&] { return to.received.size() == 1; }, 10000, [&] { to.turns(1); }));
    to.turns(200);
    ASSERT_EQ(to.received.size(), 1u);
    EXPECT_TRUE(to.received[0] == large);
}

TEST(Frames, each_connection_begins_with_a_whole_frame_and_no_frame_is_sent_twice)
{
    SenderAndPeer pair;
    EXPECT_TRUE(pair.from.until([&] { return pair.connections > 30 || HasFailure(); }, MAX_MS,
                                [&] {
                                    SenderAndPeer::now_ms()++;
                                    if (pair.random() % 2)
                                        pair.send_one();
                                    pair.read();
                                }));
    EXPECT_GT(pair.whole, 500);
    EXPECT_LT(pair.whole, pair.number);
}
