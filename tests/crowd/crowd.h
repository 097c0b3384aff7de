// Clients that do not behave: many connections to one address that send large bodies at once and, most of them, stop
// just before the end and stay open. Everything they send is bounded in bytes and time.
#ifndef SAGEHITCH_TESTS_CROWD_H
#define SAGEHITCH_TESTS_CROWD_H
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <ostream>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace crowd
{

enum Framing { CONTENT_LENGTH, CHUNKED };

// What each connection of a crowd sends. body: bytes of the body, whatever its framing. chunk: bytes of a chunk.
// piece: bytes that a connection sends in its turn. complete_each: every so many connections complete their request, 0:
// none.
struct Shape {
    const char *name;
    int connections;
    size_t body;
    Framing framing;
    size_t chunk, piece;
    int complete_each;
};
inline std::ostream &operator<<(std::ostream &out, const Shape &shape) { return out << shape.name; }

inline std::string chunked(const std::string &body, size_t chunk)
{
    std::string wire;
    char size[32];
    wire.reserve(body.size() + body.size() / chunk * 16 + 64);
    for (size_t at = 0; at < body.size(); at += chunk) {
        size_t n = std::min(chunk, body.size() - at);
        snprintf(size, sizeof size, "%zx\r\n", n);
        wire.append(size).append(body, at, n).append("\r\n");
    }
    return wire + "0\r\n\r\n";
}

inline int connect_to(const std::string &address, int port, int receive_buffer = 0)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, address.c_str(), &to.sin_addr);
    timeval wait = {2, 0}; // for a server whose queue of new connections is full
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    if (receive_buffer)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    if (!connect(fd, (sockaddr *)&to, sizeof to))
        return fd;
    close(fd);
    return -1;
}

// One connection. limit: bytes of the encoded body, which the crowd shares, that it sends; complete: that is all of it.
struct Connection {
    int fd;
    std::string head, received;
    size_t limit, sent = 0;
    bool complete = false;

    bool all_sent() const { return fd < 0 || sent == head.size() + limit; }
    int status() const { return received.size() < 12 ? 0 : atoi(received.c_str() + 9); }
    // Nothing more is sent or awaited.
    bool finished() const { return fd < 0 || (all_sent() && (!complete || status())); }
};

class Crowd
{
    enum { IDLE_MS = 2000, TOTAL_MS = 90000, KEPT_BYTES = 4096 };
    std::string wire;
    std::vector<Connection> connections;

    static int64_t now_ms()
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
    }
    void end(Connection &connection)
    {
        close(connection.fd);
        connection.fd = -1;
    }
    // Sends at most piece bytes; returns whether any were sent.
    bool send_piece(Connection &connection, size_t piece)
    {
        const std::string &head = connection.head;
        bool in_head = connection.sent < head.size();
        const char *at = in_head ? head.data() + connection.sent : wire.data() + (connection.sent - head.size());
        size_t left = in_head ? head.size() - connection.sent : head.size() + connection.limit - connection.sent;
        ssize_t n = send(connection.fd, at, std::min(left, piece), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EINTR)
            end(connection);
        if (n <= 0)
            return false;
        connection.sent += (size_t)n;
        return true;
    }
    // Returns whether anything was received.
    bool receive(Connection &connection)
    {
        char bytes[16384];
        ssize_t n = recv(connection.fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n > 0 && connection.received.size() < KEPT_BYTES)
            connection.received.append(bytes, (size_t)n);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
            end(connection);
        return n > 0;
    }

  public:
    Crowd() = default;
    ~Crowd() { leave(); }
    Crowd(const Crowd &) = delete;

    // Opens the connections; head_of(i) is the head of the request of the i-th, without the line of its framing.
    void open(const std::string &address, int port, const Shape &shape, const std::string &body,
              const std::function<std::string(int)> &head_of)
    {
        wire = shape.framing == CHUNKED ? chunked(body, shape.chunk) : body;
        std::string line = shape.framing == CHUNKED ? "Transfer-Encoding: chunked\r\n\r\n"
                                                    : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        // the last chunk is missing, or the last byte
        size_t short_of_end = wire.size() - (shape.framing == CHUNKED ? 5 : 1);
        for (int i = 0; i < shape.connections; i++) {
            int fd = connect_to(address, port);
            bool complete = shape.complete_each && i % shape.complete_each == 0;
            connections.push_back({fd, head_of(i) + line, "", complete ? wire.size() : short_of_end, 0, complete});
        }
    }
    // Sends until each connection has sent what it should, and has its answer if that is a whole request, or was
    // closed; or until nobody takes anything more. between is called from time to time.
    void run(size_t piece, const std::function<void()> &between)
    {
        int64_t began_ms = now_ms(), progress_ms = began_ms;
        for (int64_t turn = 0;; turn++) {
            std::vector<pollfd> polled;
            for (const Connection &connection : connections)
                if (connection.fd >= 0)
                    polled.push_back({connection.fd, (short)(POLLIN | (connection.all_sent() ? 0 : POLLOUT)), 0});
            poll(polled.data(), polled.size(), 20);
            bool unfinished = false;
            for (Connection &connection : connections) {
                if (connection.fd >= 0 && receive(connection))
                    progress_ms = now_ms();
                if (!connection.all_sent() && send_piece(connection, piece))
                    progress_ms = now_ms();
                unfinished = unfinished || !connection.finished();
            }
            if (turn % 64 == 0)
                between();
            if (!unfinished || now_ms() - progress_ms > IDLE_MS || now_ms() - began_ms > TOTAL_MS)
                return;
        }
    }
    // Closes all connections.
    void leave()
    {
        for (Connection &connection : connections)
            if (connection.fd >= 0)
                end(connection);
        connections.clear();
    }
    // What became of the crowd, for the log of the test.
    std::string summary() const
    {
        size_t open = 0, sent = 0;
        int refused = 0, answered = 0;
        for (const Connection &connection : connections) {
            open += connection.fd >= 0;
            sent += connection.sent;
            answered += connection.status() != 0;
            refused += connection.status() >= 400;
        }
        return std::to_string(connections.size()) + " connections, " + std::to_string(open) + " still open, " +
               std::to_string(sent >> 20) + " MiB sent, " + std::to_string(answered) + " answered, " +
               std::to_string(refused) + " of them refused";
    }
};

} // namespace crowd
#endif
