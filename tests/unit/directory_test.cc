// How directories find the leader and the other controllers: several directories with a simulated clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

extern "C" {
#include "controller/directory.h"
}

namespace
{

const uint32_t FLEET = 7;

struct Sent {
    int64_t from, to, at_ms;
    frame_kind kind;
};

// All processes of a test and the network between them, which delivers at once. Frames of silent processes are lost.
struct Network {
    struct Process : world {
        Network *net;
        struct directory directory = {};
    };
    std::map<int64_t, Process *> processes;
    std::set<int64_t> silent;
    std::vector<Sent> sent;
    std::vector<std::pair<int64_t, std::vector<uint8_t>>> in_flight;
    int64_t now_ms = 1000;
    world_calls calls = {};

    static int64_t mono(world *w) { return static_cast<Process *>(w)->net->now_ms; }
    static void send(world *w, uint64_t to, blob *b, int)
    {
        Network *net = static_cast<Process *>(w)->net;
        net->sent.push_back({(int64_t)w->self, (int64_t)to, net->now_ms, (frame_kind)b->bytes.at[3]});
        if (!net->silent.count((int64_t)w->self))
            net->in_flight.push_back({(int64_t)to, {b->bytes.at, b->bytes.at + b->bytes.len}});
    }

    Network()
    {
        calls.mono_ms = mono;
        calls.send = send;
    }
    ~Network()
    {
        for (auto &p : processes)
            delete p.second;
    }
    directory *add(int64_t addr, std::vector<int64_t> seeds, bool controller = true)
    {
        auto *p = new Process;
        p->calls = &calls;
        p->self = (uint64_t)addr;
        p->net = this;
        processes[addr] = p;
        directory_start(&p->directory, p, FLEET, seeds.data(), (int64_t)seeds.size(), controller, 0, 1);
        return &p->directory;
    }
    void deliver()
    {
        while (!in_flight.empty()) {
            auto one = in_flight.front();
            in_flight.erase(in_flight.begin());
            frame f;
            if (!processes.count(one.first) || silent.count(one.first))
                continue;
            ASSERT_EQ(frame_parse(&f, one.second.data(), (int64_t)one.second.size(), FLEET), 0);
            EXPECT_EQ(directory_on_frame(&processes[one.first]->directory, &f), 1);
        }
    }
    // leader: learns on every tick that it is the leader, as a leading controller does
    void run(int64_t ms, int64_t leader = 0, int64_t term = 0)
    {
        for (int64_t end = now_ms + ms; now_ms < end; now_ms += 10)
            for (auto &p : processes) {
                if (leader && p.first == leader)
                    directory_learn_leader(&p.second->directory, term, leader);
                directory_on_timer(&p.second->directory);
                deliver();
            }
    }
    int64_t count_queries(int64_t from, int64_t to, int64_t since_ms)
    {
        return std::count_if(sent.begin(), sent.end(), [&](const Sent &s) {
            return s.from == from && (!to || s.to == to) && s.kind == FRAME_LEADER_QUERY && s.at_ms >= since_ms;
        });
    }
    frame_kind last() const { return sent.back().kind; }
};

bool has_entry(const directory *d, int64_t addr)
{
    return std::any_of(d->entries, d->entries + d->n, [&](const directory_entry &e) { return e.addr == addr; });
}

TEST(Directory, FindsTheLeaderThroughAnySeed)
{
    Network net;
    net.add(1, {1, 2, 3});
    net.add(2, {1, 2, 3});
    net.add(4, {1, 2, 3});
    directory *agent = net.add(9, {2}, false);
    net.run(400, 4, 5);
    EXPECT_EQ(directory_leader(agent), 4);
    EXPECT_EQ(agent->term, 5);
    EXPECT_FALSE(has_entry(&net.processes[2]->directory, 9)) << "no process queries an agent";
}

TEST(Directory, RestartedSeedsLearnOfALeaderThatIsNoSeed)
{
    Network net;
    net.add(4, {1, 2});
    net.run(1000, 4, 5);
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    net.run(1500, 4, 5);
    EXPECT_EQ(directory_leader(&net.processes[1]->directory), 4);
    EXPECT_EQ(directory_leader(&net.processes[2]->directory), 4);
}

TEST(Directory, QueriesOnlyTheLeaderWhileItIsHeard)
{
    Network net;
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    directory *d = net.add(3, {1, 2});
    net.run(1000, 1, 5);
    int64_t since_ms = net.now_ms;
    net.run(5000, 1, 5);
    EXPECT_EQ(net.count_queries(3, 2, since_ms), 0);
    EXPECT_GE(net.count_queries(3, 1, since_ms), 9);
    EXPECT_LE(net.count_queries(3, 0, since_ms), 11);
    EXPECT_EQ(directory_leader(d), 1);
}

TEST(Directory, TermNeverDecreases)
{
    Network net;
    directory *d = net.add(3, {1, 2});
    directory_learn_leader(d, 7, 1);
    directory_learn_leader(d, 6, 2);
    EXPECT_EQ(d->term, 7);
    EXPECT_EQ(directory_leader(d), 1);
    net.add(2, {});
    net.run(3000, 2, 6);
    EXPECT_EQ(d->term, 7);
    EXPECT_NE(directory_leader(d), 2);
}

TEST(Directory, SilentLeaderIsSearchedAmongAllControllers)
{
    Network net;
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    directory *d = net.add(3, {1, 2});
    net.run(2000, 1, 5);
    net.silent.insert(1);
    net.run(1300);
    EXPECT_EQ(directory_leader(d), 0);
    int64_t since_ms = net.now_ms;
    net.run(1000);
    EXPECT_GE(net.count_queries(3, 2, since_ms), 5);
    net.run(400, 2, 6);
    EXPECT_EQ(directory_leader(d), 2);
}

// 1 is the leader of term 5 and falls silent; 3 suspects it, 2 does not.
struct NetworkWithSuspectedLeader : Network {
    directory *other, *suspecting;
    NetworkWithSuspectedLeader()
    {
        add(1, {1, 2});
        other = add(2, {1, 2});
        suspecting = add(3, {1, 2});
        run(1000, 1, 5);
        silent.insert(1);
        directory_suspect_leader(suspecting);
    }
};

TEST(Directory, SuspectedLeaderIsConfirmedOnlyByItself)
{
    NetworkWithSuspectedLeader net;
    directory *other = net.other, *d = net.suspecting;
    EXPECT_EQ(directory_leader(d), 0);
    net.run(300);
    EXPECT_EQ(directory_leader(other), 1) << "it has not noticed yet";
    EXPECT_EQ(directory_leader(d), 0) << "a reply of another process for the same term does not count";
    net.silent.clear();
    net.run(400, 1, 5);
    EXPECT_EQ(directory_leader(d), 1);
}

TEST(Directory, SuspectedLeaderIsReplacedByAHigherTermFromAnyProcess)
{
    NetworkWithSuspectedLeader net;
    directory *other = net.other, *d = net.suspecting;
    directory_learn_leader(other, 6, 4);
    net.run(200);
    EXPECT_EQ(directory_leader(d), 4);
}

TEST(Directory, LeaderThatStepsDownIsSuspected)
{
    Network net;
    directory *former_leader = net.add(1, {1});
    directory *d = net.add(3, {1});
    net.run(1000, 1, 5);
    ASSERT_EQ(directory_leader(d), 1);
    directory_suspect_leader(former_leader);
    net.run(700);
    EXPECT_EQ(directory_leader(d), 0);
}

TEST(Directory, ControllersLearnOfEachOtherAndAreDropped)
{
    Network net;
    net.add(1, {1});
    directory *a = net.add(2, {1});
    directory *b = net.add(3, {1});
    net.run(2000, 1, 5);
    EXPECT_TRUE(has_entry(a, 3));
    EXPECT_TRUE(has_entry(b, 2));
    net.silent.insert(3);
    net.run(75000, 1, 5);
    EXPECT_FALSE(has_entry(a, 3));
    EXPECT_TRUE(has_entry(a, 1)) << "seeds are kept";
}

TEST(Directory, ListingsOfOthersAloneDoNotKeepAnEntry)
{
    Network net;
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    directory *a = net.add(4, {1, 2});
    net.add(3, {1, 2});
    net.run(2000, 1, 5);
    ASSERT_TRUE(has_entry(a, 3));
    net.silent.insert(3);
    net.run(75000); // there is no leader, so each process queries all others
    EXPECT_FALSE(has_entry(a, 3));
}

TEST(Directory, SeedsCanBeReplaced)
{
    Network net;
    net.add(5, {5});
    directory *d = net.add(3, {1, 2});
    net.run(1000, 5, 2);
    EXPECT_EQ(directory_leader(d), 0);
    const int64_t seeds[] = {5};
    directory_set_seeds(d, seeds, 1);
    net.run(1000, 5, 2);
    EXPECT_EQ(directory_leader(d), 5);
    net.run(65000, 5, 2);
    EXPECT_FALSE(has_entry(d, 1));
    EXPECT_TRUE(has_entry(d, 5));
}

TEST(Directory, TableIsLimitedAndKeepsItsSeeds)
{
    Network net;
    directory *d = net.add(1, {2, 3});
    for (int64_t addr = 100; addr < 300; addr++) {
        blob *b = blob_new();
        leader_query request = {};
        request.addr = addr;
        request.controller = 1;
        frame_build(&b->bytes, FRAME_LEADER_QUERY, FLEET, (uint64_t)addr, &leader_query_schema, &request);
        frame f;
        ASSERT_EQ(frame_parse(&f, b->bytes.at, b->bytes.len, FLEET), 0);
        net.now_ms++;
        EXPECT_EQ(directory_on_frame(d, &f), 1);
        blob_drop(b);
    }
    EXPECT_EQ(d->n, 64);
    EXPECT_TRUE(has_entry(d, 2) && has_entry(d, 3) && has_entry(d, 299));
    EXPECT_FALSE(has_entry(d, 1)) << "itself";
    ASSERT_EQ(net.last(), FRAME_LEADER_REPLY);
}

// Only queries and replies of the process itself count, not those of others that list it, and only recent ones.
TEST(Directory, HeardFromCountsOnlyOwnFrames)
{
    Network net;
    directory *leader = net.add(1, {1, 2, 3});
    net.add(2, {1, 2, 3});
    net.add(3, {1, 2, 3});
    net.run(2000, 1, 5);
    EXPECT_TRUE(directory_heard_from(leader, 3, 1000));
    EXPECT_FALSE(directory_heard_from(leader, 4, 1000)) << "it was never started";
    net.silent.insert(3);
    net.run(4000, 1, 5);
    EXPECT_TRUE(directory_heard_from(leader, 2, 1000));
    EXPECT_FALSE(directory_heard_from(leader, 3, 1000)) << "others may still list it";
    EXPECT_TRUE(directory_heard_from(leader, 3, 60000));
}

TEST(Directory, IgnoresBrokenFrames)
{
    Network net;
    directory *d = net.add(1, {2});
    const uint8_t junk[] = {0xff, 0x01, 0x02};
    frame f = {};
    f.kind = FRAME_LEADER_REPLY;
    f.from = 2;
    f.body = junk;
    f.len = sizeof junk;
    EXPECT_EQ(directory_on_frame(d, &f), 1);
    f.kind = FRAME_REQUEST;
    EXPECT_EQ(directory_on_frame(d, &f), 0);
    EXPECT_EQ(d->term, 0);
}

} // namespace
