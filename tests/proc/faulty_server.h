// An HTTP server on a real socket that breaks its connections: it counts each whole request that arrives, and resets,
// closes or stops responding at a given byte of the request or of the response.
#ifndef SAGEHITCH_TESTS_FAULTY_SERVER_H
#define SAGEHITCH_TESTS_FAULTY_SERVER_H
#include <map>
#include <memory>

#include "proc_rig.h"

namespace proc_rig
{

enum FaultKind { WHOLE, RESET, CLOSED, SILENT };

struct Fault {
    FaultKind kind = WHOLE;
    bool in_response = false;
    size_t byte = 0; // number of bytes of the request that are read, or of the response that are sent, before the fault
};

struct FaultyServer {
    struct Connection {
        int fd = -1;
        std::string received;
        size_t begun = 0; // whole requests read
        bool silent = false;
    };
    int listen_fd = listen_anywhere();
    uint16_t port = port_of(listen_fd);
    std::vector<std::unique_ptr<Connection>> connections;
    std::map<std::string, int> arrivals; // number of each whole request, by its body (its path if the body is empty)
    std::map<std::string, Fault> faults; // by path, removed once they have happened
    std::string status = "200 OK", extra;
    int64_t accepted = 0;

    FaultyServer() = default;
    FaultyServer(const FaultyServer &) = delete;
    ~FaultyServer()
    {
        close(listen_fd);
        for (auto &connection : connections)
            if (connection->fd >= 0)
                close(connection->fd);
    }
    uint64_t addr() const { return loopback(port); }

    std::string response_to(const std::string &body) const
    {
        return "HTTP/1.1 " + status + "\r\n" + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }
    static void end(Connection &connection, FaultKind kind)
    {
        if (kind == SILENT) {
            connection.silent = true;
            return;
        }
        if (kind == RESET)
            reset(connection.fd);
        else
            close(connection.fd);
        connection.fd = -1;
    }
    // Length of the first whole request in the received bytes, 0: none. Bytes after a fault are not read, so they have
    // not arrived.
    static size_t request_length(const std::string &received)
    {
        size_t head = received.find("\r\n\r\n");
        if (head == std::string::npos)
            return 0;
        size_t at = received.find("Content-Length: ");
        size_t body = at != std::string::npos && at < head ? std::stoul(received.substr(at + 16)) : 0;
        return received.size() >= head + 4 + body ? head + 4 + body : 0;
    }
    static std::string path_of(const std::string &received)
    {
        size_t from = received.find(' '), to = received.find(' ', from + 1);
        return to == std::string::npos ? "" : received.substr(from + 1, to - from - 1);
    }
    Fault *fault_of(const std::string &path)
    {
        auto at = faults.find(path);
        return at == faults.end() ? nullptr : &at->second;
    }
    void serve(Connection &connection)
    {
        for (size_t n; connection.fd >= 0 && (n = request_length(connection.received));) {
            std::string request = connection.received.substr(0, n), path = path_of(request);
            std::string body = request.substr(request.find("\r\n\r\n") + 4);
            connection.received.erase(0, n);
            arrivals[body.empty() ? path : body]++;
            std::string response = response_to(body.empty() ? path : body);
            Fault *fault = fault_of(path);
            Fault now = fault ? *fault : Fault{};
            faults.erase(path);
            size_t length = now.kind == WHOLE ? response.size() : std::min(now.byte, response.size());
            ASSERT_EQ(send(connection.fd, response.data(), length, MSG_NOSIGNAL), (ssize_t)length);
            if (now.kind != WHOLE)
                end(connection, now.kind);
        }
    }
    void read(Connection &connection)
    {
        char byte;
        while (connection.fd >= 0 && !connection.silent) {
            std::string path = path_of(connection.received);
            Fault *fault = path.empty() ? fault_before_path() : fault_of(path);
            if (fault && !fault->in_response && connection.received.size() >= fault->byte) {
                FaultKind kind = fault->kind;
                faults.clear();
                end(connection, kind);
                return;
            }
            ssize_t n = recv(connection.fd, &byte, 1, MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                return;
            if (n <= 0) {
                end(connection, CLOSED);
                return;
            }
            connection.received += byte;
            serve(connection);
        }
        if (connection.fd >= 0 && connection.silent)
            while (recv(connection.fd, &byte, 1, MSG_DONTWAIT) == 0) {
                end(connection, CLOSED);
                return;
            }
    }
    // The fault that applies before the path is known: tests with a fault in a request make one call at a time.
    Fault *fault_before_path()
    {
        for (auto &[path, fault] : faults)
            if (!fault.in_response)
                return &fault;
        return nullptr;
    }
    void turn()
    {
        int fd;
        while ((fd = accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
            connections.push_back(std::make_unique<Connection>());
            connections.back()->fd = fd;
            accepted++;
        }
        for (size_t i = 0; i < connections.size(); i++)
            if (connections[i]->fd >= 0)
                read(*connections[i]);
    }
};

} // namespace proc_rig
#endif
