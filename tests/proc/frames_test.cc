// Frames on real connections: whatever the pieces in which bytes arrive or leave, and wherever a connection ends, the
// receiver takes whole frames, a prefix of what was sent on that connection, in order, never mixed with another's.
#include <map>
#include <random>

#include "proc_rig.h"

using namespace proc_rig;

namespace
{

enum { MOST_MS = 60000, TURNS_AFTER = 20 };

// A frame that says which it is, with a body of so many bytes more. Its body is not looked at here.
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

// A process that takes frames, and keeps them as they came; dropped: what a role would count as none.
struct Receiver : Rig {
    uint16_t port;
    std::vector<std::string> taken;
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
                r->taken.emplace_back((const char *)at, (size_t)len);
        };
        EXPECT_EQ(net_start(&runtime), ERROR_NONE);
    }
    void turns(int n = TURNS_AFTER)
    {
        for (int i = 0; i < n; i++)
            ev_run(runtime.loop, EVRUN_NOWAIT);
    }
    // Until so many frames were taken or dropped.
    bool got(size_t frames)
    {
        return until([&] { return taken.size() + (size_t)dropped >= frames; }, MOST_MS);
    }
};

void send_all(int fd, const std::string &bytes)
{
    ASSERT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), (ssize_t)bytes.size());
}
// Connects, and waits for the connection where the receiver runs in the same thread.
int connected(Receiver &to)
{
    int fd = connect_to(to.port);
    to.turns(3);
    return fd;
}

} // namespace

TEST(Frames, are_taken_whole_in_whatever_pieces_they_arrive)
{
    Receiver to;
    const std::vector<std::string> frames = {frame_of(1, 5), frame_of(2, 0), frame_of(3, 90)};
    std::string all = frames[0] + frames[1] + frames[2];
    for (size_t cut = 0; cut <= all.size() && !HasFailure(); cut++) {
        to.taken.clear();
        int fd = connected(to);
        send_all(fd, all.substr(0, cut));
        to.turns();
        send_all(fd, all.substr(cut));
        EXPECT_TRUE(to.got(3));
        EXPECT_EQ(to.taken, frames) << "in two pieces, the first of " << cut << " bytes";
        close(fd);
    }
    to.taken.clear();
    int fd = connected(to);
    for (char byte : all) {
        send_all(fd, std::string(1, byte));
        to.turns(2);
    }
    EXPECT_TRUE(to.got(3));
    EXPECT_EQ(to.taken, frames) << "byte by byte";
    EXPECT_EQ(to.dropped, 0);
    close(fd);
}

TEST(Frames, one_that_is_cut_off_is_not_taken_and_leaves_nothing_behind)
{
    const std::vector<std::string> frames = {frame_of(1, 5), frame_of(2, 0), frame_of(3, 90)};
    std::string all = frames[0] + frames[1] + frames[2], next = frame_of(4, 10);
    for (bool by_reset : {true, false}) {
        Receiver to;
        for (size_t cut = 0; cut <= all.size() && !HasFailure(); cut++) {
            std::vector<std::string> expected;
            for (size_t i = 0, end = 0; i < frames.size() && (end += frames[i].size()) <= cut; i++)
                expected.push_back(frames[i]);
            to.taken.clear();
            int fd = connected(to), other = connected(to);
            send_all(fd, all.substr(0, cut));
            EXPECT_TRUE(to.got(expected.size()));
            to.turns();
            by_reset ? reset(fd) : (void)close(fd);
            expected.push_back(next);
            send_all(other, next);
            EXPECT_TRUE(to.got(expected.size()));
            to.turns();
            EXPECT_EQ(to.taken, expected) << "cut after " << cut << " bytes";
            close(other);
        }
        EXPECT_EQ(to.dropped, 0);
    }
}

TEST(Frames, what_follows_a_head_that_is_none_is_not_taken)
{
    Receiver to;
    std::string good = frame_of(1, 5), far = good, version = good, kind = good;
    uint64_t too_long = (uint64_t)FRAME_MAX + 1;
    memcpy(&far[16], &too_long, 4);
    version[2]++;
    kind[3] = FRAME_LAST;
    for (const std::string &bad : {far, version, kind, frame_of(1, 5, "another"), std::string(64, 'x')}) {
        to.taken.clear();
        to.dropped = 0;
        int fd = connected(to);
        send_all(fd, good + bad + good);
        EXPECT_TRUE(to.got(2));
        to.turns();
        EXPECT_EQ(to.taken, std::vector<std::string>{good});
        EXPECT_EQ(to.dropped, 1);
        char byte;
        ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);
        EXPECT_TRUE(!n || (n < 0 && errno == ECONNRESET)) << "the connection stays open";
        close(fd);
    }
}

TEST(Frames, one_with_a_wrong_checksum_is_dropped_alone)
{
    Receiver to;
    std::string good = frame_of(1, 5), bad = good;
    bad[FRAME_HEAD] ^= 1;
    int fd = connected(to);
    send_all(fd, good + bad + good);
    EXPECT_TRUE(to.got(3));
    EXPECT_EQ(to.taken, (std::vector<std::string>{good, good}));
    EXPECT_EQ(to.dropped, 1);
    close(fd);
}

// The largest there may be is taken; of one that is a byte longer nothing is waited for.
TEST(Frames, the_limit_is_what_the_head_says)
{
    Receiver to;
    std::string largest = frame_of(1, FRAME_MAX - 2);
    ASSERT_EQ(largest.size(), (size_t)FRAME_HEAD + FRAME_MAX);
    int fd = connected(to);
    size_t sent = 0;
    EXPECT_TRUE(to.until([&] { return !to.taken.empty(); }, MOST_MS,
                         [&] {
                             ssize_t n =
                                 send(fd, largest.data() + sent, largest.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
                             sent += n > 0 ? (size_t)n : 0;
                         }));
    EXPECT_TRUE(to.taken.size() == 1 && to.taken[0] == largest);
    close(fd);
    std::string longer = frame_of(2, FRAME_MAX - 1);
    fd = connected(to);
    send_all(fd, longer.substr(0, FRAME_HEAD));
    to.turns();
    close(fd);
    EXPECT_TRUE(to.until([&] { return !to.runtime.ins; }, MOST_MS));
    EXPECT_EQ(to.dropped, 1) << "it waits for a frame over the limit";
}

TEST(Frames, a_datagram_is_one_frame_or_none)
{
    Receiver to;
    struct sockaddr_in at = socket_address(to.port);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    std::string good = frame_of(1, 5), large = frame_of(2, 3000);
    std::vector<std::string> all = {good, good.substr(0, good.size() - 1), good + "x", good.substr(0, 10), large, good};
    for (const std::string &one : all)
        ASSERT_EQ(sendto(fd, one.data(), one.size(), 0, (struct sockaddr *)&at, sizeof at), (ssize_t)one.size());
    EXPECT_TRUE(to.got(all.size()));
    EXPECT_EQ(to.taken, (std::vector<std::string>{good, good}));
    EXPECT_EQ(to.dropped, 4);
    close(fd);
}

namespace
{

// A sender of numbered frames that writes them in pieces, and may end inside one.
struct Connection {
    int fd;
    std::string out;
    std::vector<int64_t> numbers;
};

int64_t number_in(const std::string &frame) { return atoll(frame.c_str() + FRAME_HEAD); }

} // namespace

// Several connections at once, as an old and a new one of the same peer: pieces of all in any order.
TEST(Frames, those_of_connections_that_cross_are_not_mixed)
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
            Connection &c = connections[random() % connections.size()];
            if (c.fd < 0)
                continue;
            size_t most = random() % 4 ? random() % 50 : random() % 70000;
            ssize_t n = send(c.fd, c.out.data(), std::min(most, c.out.size()), MSG_DONTWAIT | MSG_NOSIGNAL);
            c.out.erase(0, n > 0 ? (size_t)n : 0);
            if (!(random() % 300) || c.out.empty()) {
                whole += c.out.empty() ? 20 : 0;
                c.out.empty() ? (void)close(c.fd) : reset(c.fd);
                c.fd = -1;
                open--;
            }
            to.turns((int)(random() % 3));
        }
        EXPECT_TRUE(to.got(whole));
        to.turns(200);
        EXPECT_EQ(to.dropped, 0);
        std::map<int64_t, size_t> next; // of each connection
        for (const std::string &frame : to.taken) {
            int64_t number = number_in(frame);
            EXPECT_EQ(number % 100, (int64_t)next[number / 100]++) << "seed " << seed << ": not a prefix";
            EXPECT_TRUE(frame == frames[number]) << "seed " << seed << ": frame " << number << " is mixed";
        }
    }
}

namespace
{

// A sender of frames, and a peer that reads slowly and breaks off anywhere.
struct SenderAndPeer {
    static int64_t &now_ms() // a millisecond a turn
    {
        static int64_t now = 0;
        return now;
    }
    Rig from;
    std::mt19937 random{1};
    int listen_fd = listen_anywhere(), fd = -1;
    uint64_t to = loopback(port_of(listen_fd));
    std::string got; // on the connection at work
    std::map<int64_t, std::string> frames;
    int64_t number = 0, last = 0, whole = 0, connections = 0;

    SenderAndPeer()
    {
        from.table.mono_ms = [](struct world *) { return now_ms(); };
        from.runtime.out_max = 8 << 20;
        int bytes = 64 << 10; // so that the sender has to wait inside frames
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
    void take_frames()
    {
        while (got.size() >= FRAME_HEAD) {
            int64_t len = frame_length((const uint8_t *)got.data(), from.runtime.cluster);
            ASSERT_GT(len, 0) << "no frame begins here";
            if ((int64_t)got.size() < len)
                return;
            int64_t one = number_in(got);
            EXPECT_GT(one, last) << "out of order or twice";
            EXPECT_TRUE(got.compare(0, (size_t)len, frames[one]) == 0) << "frame " << one << " is mixed";
            last = one;
            whole++;
            got.erase(0, (size_t)len);
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
        got.append(bytes.data(), n > 0 ? (size_t)n : 0);
        take_frames();
        if (n && (n < 0 || random() % 400))
            return;
        random() % 2 ? reset(fd) : (void)close(fd);
        fd = -1;
        got.clear();
    }
};

} // namespace

// Each connection carries whole frames in order from its first byte on, and no frame comes on two connections.
TEST(Frames, each_connection_begins_with_a_whole_frame_and_none_is_sent_twice)
{
    SenderAndPeer both;
    EXPECT_TRUE(both.from.until([&] { return both.connections > 30 || HasFailure(); }, MOST_MS,
                                [&] {
                                    SenderAndPeer::now_ms()++;
                                    if (both.random() % 2)
                                        both.send_one();
                                    both.read();
                                }));
    EXPECT_GT(both.whole, 500);
    EXPECT_LT(both.whole, both.number);
}
