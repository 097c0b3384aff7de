// A proxy for one direction between two processes of a test: it forwards the bytes sent to its port to the receiver. It
// can delay them, hold them for a while, or reset a connection at any byte. An older stream may end after a newer one.
#ifndef SAGEHITCH_TESTS_LINK_H
#define SAGEHITCH_TESTS_LINK_H
#include <deque>
#include <memory>

#include "proc_rig.h"

namespace proc_rig
{

class Link
{
    struct Chunk {
        int64_t forward_ms;
        std::string bytes;
    };
    // A connection of the sender and its forwarded connection to the receiver.
    struct Stream {
        int from = -1, to = -1;
        bool sender_ended = false;
        std::deque<Chunk> in_transit;
    };
    std::vector<std::unique_ptr<Stream>> streams;
    int listen_fd;
    uint64_t receiver;
    int64_t cut_after = -1; // bytes until the newest stream is reset; -1: no reset

    static void end(Stream &stream, bool by_reset)
    {
        for (int *fd : {&stream.from, &stream.to}) {
            if (*fd >= 0)
                by_reset ? reset(*fd) : (void)close(*fd);
            *fd = -1;
        }
        stream.in_transit.clear();
    }
    void accept_all()
    {
        int fd;
        while ((fd = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
            streams.push_back(std::make_unique<Stream>());
            streams.back()->from = fd;
            streams.back()->to = connect_at(receiver);
            opened++;
        }
    }
    void read(Stream &stream, int64_t now_ms)
    {
        char bytes[65536];
        while (stream.from >= 0 && !stream.sender_ended) {
            ssize_t n = recv(stream.from, bytes, sizeof bytes, MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                return;
            if (n <= 0)
                stream.sender_ended = true; // its earlier bytes are still forwarded
            else
                stream.in_transit.push_back({now_ms + delay_ms, std::string(bytes, (size_t)n)});
        }
    }
    // How many bytes may be forwarded now, at most.
    size_t max_bytes(const Stream &stream, size_t bytes) const
    {
        return cut_after < 0 || &stream != streams.back().get() ? bytes : std::min(bytes, (size_t)cut_after);
    }
    void write(Stream &stream, int64_t now_ms)
    {
        while (stream.to >= 0 && !stream.in_transit.empty() && stream.in_transit.front().forward_ms <= now_ms &&
               now_ms >= held_until_ms) {
            std::string &bytes = stream.in_transit.front().bytes;
            size_t limit = max_bytes(stream, bytes.size());
            ssize_t n = limit ? send(stream.to, bytes.data(), limit, MSG_DONTWAIT | MSG_NOSIGNAL) : 0;
            if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
                return;
            if (n < 0) {
                end(stream, true);
                return;
            }
            bytes.erase(0, (size_t)n);
            if (cut_after >= 0 && &stream == streams.back().get() && (cut_after -= n) <= 0) {
                cuts++;
                cut_after = -1;
                end(stream, true);
                return;
            }
            if (bytes.empty())
                stream.in_transit.pop_front();
        }
        char byte;
        bool receiver_ended = stream.to >= 0 && recv(stream.to, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
        if (receiver_ended || (stream.sender_ended && stream.in_transit.empty()))
            end(stream, false);
    }

  public:
    int64_t delay_ms = 0, held_until_ms = 0;
    int64_t cuts = 0, opened = 0;

    explicit Link(uint64_t to) : listen_fd(listen_anywhere()), receiver(to) {}
    ~Link()
    {
        for (auto &stream : streams)
            end(*stream, true);
        close(listen_fd);
    }
    Link(const Link &) = delete;
    uint64_t addr() const { return loopback(port_of(listen_fd)); }
    void cut(int64_t after_bytes) { cut_after = after_bytes; }
    void turn(int64_t now_ms)
    {
        accept_all();
        for (auto &stream : streams) {
            read(*stream, now_ms);
            write(*stream, now_ms);
        }
        while (!streams.empty() && streams.front()->from < 0)
            streams.erase(streams.begin());
    }
};

} // namespace proc_rig
#endif
