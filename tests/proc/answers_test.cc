// Whose answer: thousands of requests on hundreds of connections that pipeline, send a byte at a time, close and
// reset, answered in any order, late, twice, or after their caller went away. Each answer carries what only its own
// request can have caused, and is checked where it arrives.
#include <map>
#include <memory>
#include <random>

#include "proc_rig.h"

using namespace proc_rig;

namespace
{

enum Manner { PLAIN, PIPELINE, SLOW, RESET_INSIDE, RESET_AFTER, CLOSE_AFTER, CLOSE_HALF, MANNERS };

struct Waiting {
    int64_t slot;
    std::string id;
};

std::string answer_of(const std::string &id)
{
    size_t more = std::stoul(id) % 50 == 7 ? 150000 : std::stoul(id) % 7 * 30;
    return "for " + id + " " + std::string(more, (char)('a' + std::stoul(id) % 26));
}

// The serving side: it knows of a request only what it was handed.
struct Door : Rig {
    std::mt19937 random;
    uint16_t port;
    std::vector<Waiting> waiting, former; // former: answered before, or long ago
    std::map<std::string, int> taken;
    int64_t stale = 0;

    explicit Door(unsigned seed) : random(seed)
    {
        int fd = listen_anywhere();
        port = port_of(fd);
        close(fd);
        runtime.role.arg = this;
        runtime.role.on_request = on_web;
        int64_t addrs[LISTENERS_MAX] = {(int64_t)loopback(port)};
        EXPECT_EQ(http_server_start_listeners(&runtime, addrs), 0);
    }
    bool one_in(unsigned n) { return random() % n == 0; }

    static void on_web(void *arg, int64_t slot, const struct http_request *request)
    {
        Door *door = (Door *)arg;
        std::string id = request->path + 1, body(request->body, (size_t)request->len);
        const char *header = request->header(request, "X-Id");
        EXPECT_EQ(header ? header : "", id) << "the header is another request's";
        EXPECT_EQ(body, "body of " + id) << "the body is another request's";
        EXPECT_EQ(++door->taken[id], 1) << id << " was handed on twice";
        door->waiting.push_back({slot, id});
        if (door->one_in(10)) // at once, from within
            door->give(door->waiting.size() - 1);
    }
    void give(size_t i)
    {
        Waiting at = waiting[i];
        waiting.erase(waiting.begin() + (long)i);
        former.push_back(at);
        runtime.base.calls->answer(&runtime.base, at.slot, 200, 0, answer_of(at.id).c_str());
    }
    // Some are answered, in any order; some that were answered, or whose caller is gone, once more, and falsely.
    void answer_some()
    {
        for (int i = 0; i < 6 && !waiting.empty() && one_in(2); i++)
            give(random() % waiting.size());
        for (int i = 0; i < 3 && !former.empty(); i++, stale++) {
            const Waiting &old = former[former.size() - 1 - random() % std::min<size_t>(former.size(), 500)];
            runtime.base.calls->answer(&runtime.base, old.slot, 200, 0, ("stale " + old.id).c_str());
        }
    }
};

struct Counts {
    int64_t sent = 0, answered = 0, abandoned = 0, connections = 0;
};

// One connection: requests of one manner, then its end.
struct Client {
    int fd;
    Manner manner;
    std::string out, in;
    std::vector<std::string> ids; // of requests not answered yet, in the order sent
    std::vector<std::string> later;
    size_t cut = std::string::npos; // RESET_INSIDE: so many bytes are sent
    int patience;                   // turns until the end, once all is sent
    bool ended = false;

    Client(Door &door, int64_t &next_id, Counts &counts)
        : fd(connect_to(door.port)), manner((Manner)(door.random() % MANNERS)), patience((int)(door.random() % 30))
    {
        counts.connections++;
        size_t n = 1 + door.random() % 8;
        for (size_t i = 0; i < n; i++)
            later.push_back(std::to_string(next_id++));
        counts.sent += (int64_t)n;
        next();
        while (manner != PLAIN && manner != SLOW && !later.empty())
            next();
        if (manner == RESET_INSIDE)
            cut = 1 + door.random() % out.size();
    }
    ~Client()
    {
        if (fd >= 0)
            close(fd);
    }
    void next()
    {
        std::string id = later.front(), body = "body of " + id;
        later.erase(later.begin());
        ids.push_back(id);
        out += "POST /" + id + " HTTP/1.1\r\nHost: x\r\nX-Id: " + id +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void finish(bool by_reset, Counts &counts)
    {
        counts.abandoned += (int64_t)(ids.size() + later.size());
        if (by_reset)
            reset(fd);
        else
            close(fd);
        fd = -1;
        ended = true;
    }
    bool has_to_be_answered() const { return manner == PLAIN || manner == PIPELINE || manner == SLOW; }

    void write(Counts &counts)
    {
        size_t most = manner == SLOW ? 1 : std::min(out.size(), cut);
        ssize_t n = out.empty() || !most ? 0 : send(fd, out.data(), most, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0) {
            out.erase(0, (size_t)n);
            cut -= cut == std::string::npos ? 0 : (size_t)n;
        }
        bool sent = out.empty() || !cut;
        if (!sent || patience-- > 0 || has_to_be_answered())
            return;
        if (manner == CLOSE_HALF) {
            shutdown(fd, SHUT_WR);
            if (patience < -2000)
                finish(false, counts);
        } else {
            finish(manner != CLOSE_AFTER, counts);
        }
    }
    void read(Counts &counts)
    {
        char bytes[65536];
        ssize_t n = fd < 0 ? -1 : recv(fd, bytes, manner == SLOW ? 7 : sizeof bytes, MSG_DONTWAIT);
        if (n == 0 || (n < 0 && fd >= 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)) {
            EXPECT_FALSE(has_to_be_answered() && !ids.empty()) << "the door ended a connection of manner " << manner;
            finish(false, counts);
            return;
        }
        if (n > 0)
            in.append(bytes, (size_t)n);
        while (take_answer(counts))
            ;
        if (has_to_be_answered() && ids.empty() && !ended) {
            if (later.empty())
                finish(false, counts);
            else
                next();
        }
    }
    bool take_answer(Counts &counts)
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
        EXPECT_FALSE(ids.empty()) << "an answer to nothing: " << body.substr(0, 60);
        if (ids.empty())
            return false;
        EXPECT_TRUE(body == answer_of(ids[0])) << "request " << ids[0] << " got: " << body.substr(0, 60);
        ids.erase(ids.begin());
        counts.answered++;
        return true;
    }
};

Counts crowd(unsigned seed, int64_t requests, size_t at_once)
{
    Door door(seed);
    Counts counts;
    std::vector<std::unique_ptr<Client>> clients;
    int64_t next_id = 1;
    auto turn = [&] {
        while (clients.size() < at_once && next_id < requests)
            clients.push_back(std::make_unique<Client>(door, next_id, counts));
        for (size_t i = 0; i < clients.size();) {
            clients[i]->write(counts);
            if (!clients[i]->ended)
                clients[i]->read(counts);
            if (clients[i]->ended)
                clients.erase(clients.begin() + (long)i);
            else
                i++;
        }
        door.answer_some();
    };
    EXPECT_TRUE(door.until([&] { return testing::Test::HasFailure() || (next_id >= requests && clients.empty()); },
                           60000, turn))
        << clients.size() << " connections hang, one of manner " << (clients.empty() ? -1 : clients[0]->manner);
    // those whose callers went away are answered too, to nobody
    while (!door.waiting.empty())
        door.give(0);
    door.until([&] { return !door.runtime.requests.used; }, 2000);
    EXPECT_EQ(door.runtime.requests.used, 0) << "requests are kept though all callers are gone";
    EXPECT_GT(door.stale, counts.sent / 4);
    return counts;
}

} // namespace

TEST(Answers, each_goes_to_the_request_that_caused_it)
{
    Counts all;
    for (unsigned seed = 1; seed <= 4 && !HasFailure(); seed++) {
        Counts counts = crowd(seed, 3000, 150);
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
