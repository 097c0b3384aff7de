// A small HTTP/1.1 client and server on loopback addresses, for the stand-ins of the review.
#pragma once
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

inline int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
inline void sleep_ms(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// An IPv4 address and a port. Only addresses of 127.0.0.0/8 are ever used.
struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    sockaddr_in socket_address() const
    {
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_port = htons((uint16_t)port);
        inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        return to;
    }
};

// One message: the first line, the headers with names in lower case, and the body.
struct Message {
    std::string first_line, body;
    std::map<std::string, std::string> headers;
    std::string header(const std::string &name) const
    {
        auto at = headers.find(name);
        return at == headers.end() ? "" : at->second;
    }
};

// Reads one message. Returns false if the connection ends or until_ms passes before it is complete. buffer keeps bytes
// of the next message.
inline bool read_message(int fd, std::string &buffer, Message &to, int64_t until_ms)
{
    auto more = [&]() {
        int64_t left = until_ms - now_ms();
        pollfd waited = {fd, POLLIN, 0};
        if (left <= 0 || poll(&waited, 1, (int)std::min<int64_t>(left, 1000000)) <= 0)
            return false;
        char chunk[65536];
        ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        buffer.append(chunk, (size_t)n);
        return true;
    };
    size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!more())
            return false;
    to = Message();
    size_t line_end = buffer.find("\r\n");
    to.first_line = buffer.substr(0, line_end);
    for (size_t at = line_end + 2; at < end + 2;) {
        size_t next = buffer.find("\r\n", at), colon = buffer.find(':', at);
        if (colon < next) {
            std::string name = buffer.substr(at, colon - at);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return (char)tolower(c); });
            size_t value = buffer.find_first_not_of(" \t", colon + 1);
            to.headers[name] = buffer.substr(value, next - value);
        }
        at = next + 2;
    }
    size_t length = (size_t)atoll(to.header("content-length").c_str());
    while (buffer.size() < end + 4 + length)
        if (!more())
            return false;
    to.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool write_all(int fd, const std::string &text)
{
    for (size_t sent = 0; sent < text.size();) {
        ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += (size_t)n;
    }
    return true;
}

struct Answer {
    int status = 0; // 0: no complete answer in time
    std::string body;
};

// Sends one request on a connection of its own and waits for the answer.
inline Answer call(const Address &to, const std::string &method, const std::string &path, const std::string &body,
                   const std::vector<std::string> &headers, int64_t timeout_ms)
{
    Answer answer;
    int64_t until_ms = now_ms() + timeout_ms;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = to.socket_address();
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connect(fd, (sockaddr *)&address, sizeof address);
    pollfd waited = {fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&waited, 1, (int)timeout_ms) == 1 && !getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) && !error) {
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        bool has_host = false;
        for (const std::string &header : headers) {
            text += header + "\r\n";
            has_host = has_host || header.rfind("Host:", 0) == 0;
        }
        if (!has_host)
            text += "Host: " + to.text() + "\r\n";
        text += "Connection: close\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body;
        Message message;
        std::string buffer;
        if (write_all(fd, text) && read_message(fd, buffer, message, until_ms) && message.first_line.size() > 12) {
            answer.status = atoi(message.first_line.c_str() + 9);
            answer.body = message.body;
        }
    }
    close(fd);
    return answer;
}

// A server with one thread for each connection. handle gets method, path and message and returns status and body;
// status 0 closes the connection without an answer.
class Server
{
  public:
    using Handler = std::function<Answer(const std::string &method, const std::string &path, const Message &message)>;

    Server(const Address &address, Handler handler) : handle(std::move(handler))
    {
        listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at = address.socket_address();
        if (bind(listener, (sockaddr *)&at, sizeof at) || listen(listener, 256)) {
            fprintf(stderr, "cannot listen at %s\n", address.text().c_str());
            exit(2);
        }
        accepting = std::thread([this] { accept_all(); });
    }
    ~Server()
    {
        ending = true;
        shutdown(listener, SHUT_RDWR);
        accepting.join();
        close(listener);
        {
            std::lock_guard<std::mutex> held(lock);
            for (int fd : open)
                shutdown(fd, SHUT_RDWR);
        }
        for (std::thread &thread : threads)
            thread.join();
    }
    Server(const Server &) = delete;

  private:
    Handler handle;
    int listener;
    std::atomic<bool> ending{false};
    std::thread accepting;
    std::mutex lock;
    std::set<int> open;
    std::vector<std::thread> threads;

    void accept_all()
    {
        while (!ending) {
            int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::lock_guard<std::mutex> held(lock);
            open.insert(fd);
            threads.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        std::string buffer;
        Message message;
        while (!ending && read_message(fd, buffer, message, INT64_MAX / 2)) {
            size_t space = message.first_line.find(' '), next = message.first_line.find(' ', space + 1);
            Answer answer = handle(message.first_line.substr(0, space),
                                   message.first_line.substr(space + 1, next - space - 1), message);
            if (!answer.status)
                break;
            if (!write_all(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                                   " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                   std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
                break;
        }
        std::lock_guard<std::mutex> held(lock);
        open.erase(fd);
        close(fd);
    }
};

} // namespace review
