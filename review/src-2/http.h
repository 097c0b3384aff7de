// A small HTTP/1.1 client and server on blocking sockets, for the stand-ins of the cases.
#ifndef SAGEHITCH_REVIEW_2_HTTP_H
#define SAGEHITCH_REVIEW_2_HTTP_H
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace review
{

inline int64_t now_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline void sleep_ms(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Message {
    int status = 0; // of a response; 0: no complete response came
    std::string method, path, body;
    std::map<std::string, std::string> headers; // names in lower case
};

inline sockaddr_in socket_address(const std::string &ip, int port)
{
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    return to;
}

// Reads one message into *to; buffer keeps what came after it. Returns false if none came whole before until_ms.
inline bool read_message(int fd, std::string &buffer, Message *to, int64_t until_ms)
{
    auto more = [&]() {
        pollfd polled = {fd, POLLIN, 0};
        int64_t left = until_ms - now_ms();
        char chunk[65536];
        if (left <= 0 || poll(&polled, 1, (int)left) <= 0)
            return false;
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
    std::string head = buffer.substr(0, end);
    size_t line_end = head.find("\r\n");
    std::string first = head.substr(0, line_end);
    size_t space = first.find(' '), second = first.find(' ', space + 1);
    if (!first.compare(0, 5, "HTTP/")) {
        to->status = atoi(first.c_str() + space + 1);
    } else {
        to->method = first.substr(0, space);
        to->path = first.substr(space + 1, second - space - 1);
    }
    while (line_end != std::string::npos) {
        size_t from = line_end + 2;
        line_end = head.find("\r\n", from);
        std::string line = head.substr(from, line_end == std::string::npos ? line_end : line_end - from);
        size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char &c : name)
            c = (char)tolower(c);
        size_t value = line.find_first_not_of(' ', colon + 1);
        to->headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    size_t length = to->headers.count("content-length") ? (size_t)atoll(to->headers["content-length"].c_str()) : 0;
    while (buffer.size() < end + 4 + length)
        if (!more())
            return false;
    to->body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool send_all(int fd, const std::string &text)
{
    for (size_t at = 0; at < text.size();) {
        ssize_t n = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += (size_t)n;
    }
    return true;
}

// One request on a connection of its own.
inline Message call(const std::string &ip, int port, const std::string &method, const std::string &path,
                    const std::vector<std::string> &headers, const std::string &body, int64_t wait_ms)
{
    Message response;
    int64_t until_ms = now_ms() + wait_ms;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    timeval limit = {wait_ms / 1000, wait_ms % 1000 * 1000};
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in to = socket_address(ip, port);
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const std::string &header : headers)
        text += header + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    if (connect(fd, (sockaddr *)&to, sizeof to) || !send_all(fd, text) ||
        !read_message(fd, buffer, &response, until_ms))
        response = Message();
    close(fd);
    return response;
}

// Serves requests on ip:port until the process ends. answer: fills in status and body. Returns false if the address is
// in use.
inline bool serve(const std::string &ip, int port, const std::function<Message(const Message &)> &answer)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    sockaddr_in at = socket_address(ip, port);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (sockaddr *)&at, sizeof at) || listen(fd, 64)) {
        close(fd);
        return false;
    }
    std::thread([fd, answer] {
        for (;;) {
            int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0)
                continue;
            std::thread([client, answer] {
                std::string buffer;
                Message request;
                int on = 1;
                setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                while (request = Message(), read_message(client, buffer, &request, now_ms() + 300000)) {
                    Message response = answer(request);
                    if (!send_all(client, "HTTP/1.1 " + std::to_string(response.status) +
                                              " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                              std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
                        break;
                }
                close(client);
            }).detach();
        }
    }).detach();
    return true;
}

} // namespace review
#endif
