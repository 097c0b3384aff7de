// The HTTP server under concurrent requests; guards against a response that reaches another request. Thousands of
// requests on hundreds of connections are pipelined, sent byte by byte, closed or reset, and answered in any order,
// late, twice, or after their client disconnected. Each response contains the id of its request, which the client
// checks.
#include <map>
#include <memory>
#include <random>

#include "proc_rig.h"

using namespace proc_rig;

namespace
{

enum SendMode { PLAIN, PIPELINE, SLOW, RESET_IN_REQUEST, RESET_AFTER, CLOSE_AFTER, CLOSE_HALF, SEND_MODES };

struct PendingRequest {
    int64_t slot;
    std::string id;
};

std::string response_for(const std::string &id)
{
    size_t more = std::stoul(id) % 50 == 7 ? 150000 : std::stoul(id) % 7 * 30;
    return "for " + id + " " + std::string(more, (char)('a' + std::stoul(id) % 26));
}

// A role behind the HTTP server. It knows of a request only what the server passed to it.
struct Server : Rig {
    std::mt19937 random;
    uint16_t port;
    std::vector<PendingRequest> pending, answered_requests;
    std::map<std::string, int> received;
    int64_t stale_responses = 0;

    explicit Server(unsigned seed) : random(seed)
    {
        int fd = listen_anywhere();
        port = port_of(fd);
        close(fd);
        runtime.role.arg = this;
        runtime.role.on_request = pass_request;
        int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
        EXPECT_EQ(http_server_start_listeners(&runtime, addrs), 0);
    }
    bool one_in(unsigned n) { return random() % n == 0; }

    static void pass_request(void *arg, int64_t slot, const struct http_request *request)
    {
        Server *server = (Server *)arg;
        std::string id = request->path + 1, body(request->body, (size_t)request->len);
        const char *header = request->header(request, "X-Id");
        EXPECT_EQ(header ? header : "", id) << "the header is another request's";
        EXPECT_EQ(body, "body of " + id) << "the body is another request's";
        EXPECT_EQ(++server->received[id], 1) << id << " was passed on twice";
        server->pending.push_back({slot, id});
        if (server->one_in(10)) // within the callback
            server->respond(server->pending.size() - 1);
    }
    void respond(size_t i)
    {
        PendingRequest at = pending[i];
        pending.erase(pending.begin() + (long)i);
        answered_requests.push_back(at);
        runtime.base.calls->answer(&runtime.base, at.slot, 200, 0, response_for(at.id).c_str());
    }
    // Responds to some requests in any order, and sends stale responses to some that were answered or disconnected.
    void respond_to_some()
    {
        for (int i = 0; i < 6 && !pending.empty() && one_in(2); i++)
            respond(random() % pending.size());
        for (int i = 0; i < 3 && !answered_requests.empty(); i++, stale_responses++) {
            const PendingRequest &old = answered_requests[answered_requests.size() - 1 -
                                                          random() % std::min<size_t>(answered_requests.size(), 500)];
            runtime.base.calls->answer(&runtime.base, old.slot, 200, 0, ("stale " + old.id).c_str());
        }
    }
};

struct Totals {
    int64_t sent = 0, answered = 0, abandoned = 0, connections = 0;
};

// A connection that sends requests in one mode and then ends.
struct Client {
    int fd;
    SendMode mode;
    std::string out, in;
    std::vector<std::string> ids; // of the requests without a response, in the order sent
    std::vector<std::string> unsent_ids;
    size_t send_limit = std::string::npos; // RESET_IN_REQUEST: number of bytes that are sent before the reset
    int turns_left;                        // turns until the connection ends, once everything is sent
    bool ended = false;

    Client(Server &server, int64_t &next_id, Totals &counts)
        : fd(connect_to(server.port)), mode((SendMode)(server.random() % SEND_MODES)),
          turns_left((int)(server.random() % 30))
    {
        counts.connections++;
        size_t n = 1 + server.random() % 8;
        for (size_t i = 0; i < n; i++)
            unsent_ids.push_back(std::to_string(next_id++));
        counts.sent += (int64_t)n;
        next();
        while (mode != PLAIN && mode != SLOW && !unsent_ids.empty())
            next();
        if (mode == RESET_IN_REQUEST)
            send_limit = 1 + server.random() % out.size();
    }
    ~Client()
    {
        if (fd >= 0)
            close(fd);
    }
    void next()
    {
        std::string id = unsent_ids.front(), body = "body of " + id;
        unsent_ids.erase(unsent_ids.begin());
        ids.push_back(id);
        out += "POST /" + id + " HTTP/1.1\r\nHost: x\r\nX-Id: " + id +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void finish(bool by_reset, Totals &counts)
    {
        counts.abandoned += (int64_t)(ids.size() + unsent_ids.size());
        if (by_reset)
            reset(fd);
        else
            close(fd);
        fd = -1;
        ended = true;
    }
    bool expects_responses() const { return mode == PLAIN || mode == PIPELINE || mode == SLOW; }

    void write(Totals &counts)
    {
        size_t limit = mode == SLOW ? 1 : std::min(out.size(), send_limit);
        ssize_t n = out.empty() || !limit ? 0 : send(fd, out.data(), limit, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0) {
            out.erase(0, (size_t)n);
            send_limit -= send_limit == std::string::npos ? 0 : (size_t)n;
        }
        bool sent = out.empty() || !send_limit;
        if (!sent || turns_left-- > 0 || expects_responses())
            return;
        if (mode == CLOSE_HALF) {
            shutdown(fd, SHUT_WR);
            if (turns_left < -2000)
                finish(false, counts);
        } else {
            finish(mode != CLOSE_AFTER, counts);
        }
    }
    void read(Totals &counts)
    {
        char bytes[65536];
        ssize_t n = fd < 0 ? -1 : recv(fd, bytes, mode == SLOW ? 7 : sizeof bytes, MSG_DONTWAIT);
        if (n == 0 || (n < 0 && fd >= 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)) {
            EXPECT_FALSE(expects_responses() && !ids.empty()) << "the server closed a connection of mode " << mode;
            finish(false, counts);
            return;
        }
        if (n > 0)
            in.append(bytes, (size_t)n);
        while (take_response(counts))
            ;
        if (expects_responses() && ids.empty() && !ended) {
            if (unsent_ids.empty())
                finish(false, counts);
            else
                next();
        }
    }
    bool take_response(Totals &counts)
    {
        size_t head = in.find("\r\n\r\n"), at = in.find("Content-Length: ");
        if (head == std::string::npos)
            return false;
        EXPECT_EQ(in.rfind("HTTP/1.1 200", 0), 0u) << in.substr(0, 40);
        EXPECT_LT(at, head);
        size_t len = std::stoul(in.substr(at + 16));
        if (in.size() < head + 4 + len)
            return false;
        std::string body = in.substr(head + 4, len);
        in.erase(0, head + 4 + len);
        EXPECT_FALSE(ids.empty()) << "a response without a request: " << body.substr(0, 60);
        if (ids.empty())
            return false;
        EXPECT_TRUE(body == response_for(ids[0])) << "request " << ids[0] << " got: " << body.substr(0, 60);
        ids.erase(ids.begin());
        counts.answered++;
        return true;
    }
};

Totals run_clients(unsigned seed, int64_t requests, size_t max_clients)
{
    Server server(seed);
    Totals counts;
    std::vector<std::unique_ptr<Client>> clients;
    int64_t next_id = 1;
    auto turn = [&] {
        while (clients.size() < max_clients && next_id < requests)
            clients.push_back(std::make_unique<Client>(server, next_id, counts));
        for (size_t i = 0; i < clients.size();) {
            clients[i]->write(counts);
            if (!clients[i]->ended)
                clients[i]->read(counts);
            if (clients[i]->ended)
                clients.erase(clients.begin() + (long)i);
            else
                i++;
        }
        server.respond_to_some();
    };
    EXPECT_TRUE(server.until([&] { return testing::Test::HasFailure() || (next_id >= requests && clients.empty()); },
                             60000, turn))
        << clients.size() << " connections do not end, one of mode " << (clients.empty() ? -1 : clients[0]->mode);
    // requests whose clients disconnected get a response too
    while (!server.pending.empty())
        server.respond(0);
    server.until([&] { return !server.runtime.requests.used; }, 2000);
    EXPECT_EQ(server.runtime.requests.used, 0) << "requests are kept although all clients have disconnected";
    EXPECT_GT(server.stale_responses, counts.sent / 4);
    return counts;
}

} // namespace

TEST(HttpServer, each_response_goes_to_its_request)
{
    Totals all;
    for (unsigned seed = 1; seed <= 4 && !HasFailure(); seed++) {
        Totals counts = run_clients(seed, 3000, 150);
        EXPECT_FALSE(HasFailure()) << "seed " << seed;
        all.sent += counts.sent;
        all.answered += counts.answered;
        all.abandoned += counts.abandoned;
        all.connections += counts.connections;
    }
    EXPECT_GT(all.connections, 2000);
    EXPECT_GT(all.answered, all.sent / 3);
    EXPECT_GT(all.abandoned, all.sent / 10);
}
