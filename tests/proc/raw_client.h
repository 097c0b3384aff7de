// A client for tests that send single requests as text.
#ifndef SAGEHITCH_TESTS_RAW_CLIENT_H
#define SAGEHITCH_TESTS_RAW_CLIENT_H
#include "proc_rig.h"

namespace proc_rig
{

inline std::string post(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

inline std::string get(const std::string &path) { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"; }

// A client that sends bytes and keeps everything it receives.
struct RawClient {
    int fd;
    std::string received;
    explicit RawClient(uint64_t addr) : fd(connect_at(addr)) {}
    ~RawClient() { close(fd); }
    RawClient(const RawClient &) = delete;
    void send_text(const std::string &text) const
    {
        ASSERT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL), (ssize_t)text.size());
    }
    void read()
    {
        char bytes[4096];
        ssize_t n;
        while ((n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
            received.append(bytes, (size_t)n);
    }
    // Sends the request again if the response was 503.
    void retry_if_unavailable(const std::string &path)
    {
        read();
        if (status() != 503)
            return;
        received.clear();
        send_text(get(path));
    }
    int status() const { return received.empty() ? 0 : atoi(received.c_str() + strlen("HTTP/1.1 ")); }
};

} // namespace proc_rig
#endif
