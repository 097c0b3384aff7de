// Who leads, and whom to ask: several directories on one hand-moved clock.
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

// All processes of a test, and what passes between them at once, unless one is silent.
struct Net {
    struct Process : world {
        Net *net;
        directory d = {};
    };
    std::map<int64_t, Process *> all;
    std::set<int64_t> silent;
    std::vector<Sent> sent;
    std::vector<std::pair<int64_t, std::vector<uint8_t>>> under;
    int64_t now_ms = 1000;
    world_calls calls = {};

    static int64_t mono(world *w) { return static_cast<Process *>(w)->net->now_ms; }
    static void send(world *w, uint64_t to, blob *b, int)
    {
        Net *net = static_cast<Process *>(w)->net;
        net->sent.push_back({(int64_t)w->self, (int64_t)to, net->now_ms, (frame_kind)b->bytes.at[3]});
        if (!net->silent.count((int64_t)w->self))
            net->under.push_back({(int64_t)to, {b->bytes.at, b->bytes.at + b->bytes.len}});
    }

    Net()
    {
        calls.mono_ms = mono;
        calls.send = send;
    }
    ~Net()
    {
        for (auto &p : all)
            delete p.second;
    }
    directory *add(int64_t addr, std::vector<int64_t> seeds, bool controller = true)
    {
        auto *p = new Process;
        p->calls = &calls;
        p->self = (uint64_t)addr;
        p->net = this;
        all[addr] = p;
        directory_start(&p->d, p, FLEET, seeds.data(), (int64_t)seeds.size(), controller, 0, 1);
        return &p->d;
    }
    void deliver()
    {
        while (!under.empty()) {
            auto one = under.front();
            under.erase(under.begin());
            frame f;
            if (!all.count(one.first) || silent.count(one.first))
                continue;
            ASSERT_EQ(frame_parse(&f, one.second.data(), (int64_t)one.second.size(), FLEET), 0);
            EXPECT_EQ(directory_on_frame(&all[one.first]->d, &f), 1);
        }
    }
    // leader: says so itself on every tick, as a controller does
    void run(int64_t ms, int64_t leader = 0, int64_t term = 0)
    {
        for (int64_t end = now_ms + ms; now_ms < end; now_ms += 10)
            for (auto &p : all) {
                if (leader && p.first == leader)
                    directory_learn_leader(&p.second->d, term, leader);
                directory_on_timer(&p.second->d);
                deliver();
            }
    }
    int64_t asked(int64_t from, int64_t to, int64_t since_ms)
    {
        return std::count_if(sent.begin(), sent.end(), [&](const Sent &s) {
            return s.from == from && (!to || s.to == to) && s.kind == FRAME_LEADER_QUERY && s.at_ms >= since_ms;
        });
    }
    frame_kind last() const { return sent.back().kind; }
};

bool knows(const directory *d, int64_t addr)
{
    return std::any_of(d->entries, d->entries + d->n, [&](const directory_entry &e) { return e.addr == addr; });
}

TEST(Directory, FindsTheLeaderThroughAnySeed)
{
    Net net;
    net.add(1, {1, 2, 3});
    net.add(2, {1, 2, 3});
    net.add(4, {1, 2, 3});
    directory *agent = net.add(9, {2}, false);
    net.run(400, 4, 5);
    EXPECT_EQ(directory_leader(agent), 4);
    EXPECT_EQ(agent->term, 5);
    EXPECT_FALSE(knows(&net.all[2]->d, 9)) << "an agent is asked by nobody";
}

TEST(Directory, SeedsThatBeginAnewHearOfALeaderThatIsNone)
{
    Net net;
    net.add(4, {1, 2});
    net.run(1000, 4, 5);
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    net.run(1500, 4, 5);
    EXPECT_EQ(directory_leader(&net.all[1]->d), 4);
    EXPECT_EQ(directory_leader(&net.all[2]->d), 4);
}

TEST(Directory, AsksTheLeaderAloneWhileItIsHeard)
{
    Net net;
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    directory *d = net.add(3, {1, 2});
    net.run(1000, 1, 5);
    int64_t since_ms = net.now_ms;
    net.run(5000, 1, 5);
    EXPECT_EQ(net.asked(3, 2, since_ms), 0);
    EXPECT_GE(net.asked(3, 1, since_ms), 9);
    EXPECT_LE(net.asked(3, 0, since_ms), 11);
    EXPECT_EQ(directory_leader(d), 1);
}

TEST(Directory, ATermNeverFalls)
{
    Net net;
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

TEST(Directory, ASilentLeaderIsLookedForAmongAll)
{
    Net net;
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    directory *d = net.add(3, {1, 2});
    net.run(2000, 1, 5);
    net.silent.insert(1);
    net.run(1300);
    EXPECT_EQ(directory_leader(d), 0);
    int64_t since_ms = net.now_ms;
    net.run(1000);
    EXPECT_GE(net.asked(3, 2, since_ms), 5);
    net.run(400, 2, 6);
    EXPECT_EQ(directory_leader(d), 2);
}

// 1 leads term 5 and falls silent; 3 doubts it, 2 does not.
struct NetOfDoubtedLeader : Net {
    directory *other, *doubting;
    NetOfDoubtedLeader()
    {
        add(1, {1, 2});
        other = add(2, {1, 2});
        doubting = add(3, {1, 2});
        run(1000, 1, 5);
        silent.insert(1);
        directory_suspect_leader(doubting);
    }
};

TEST(Directory, ADoubtedLeaderIsTakenFromItselfAlone)
{
    NetOfDoubtedLeader net;
    directory *other = net.other, *d = net.doubting;
    EXPECT_EQ(directory_leader(d), 0);
    net.run(300);
    EXPECT_EQ(directory_leader(other), 1) << "it has not noticed yet";
    EXPECT_EQ(directory_leader(d), 0) << "hearsay of the same term does not count";
    net.silent.clear();
    net.run(400, 1, 5);
    EXPECT_EQ(directory_leader(d), 1);
}

TEST(Directory, ADoubtedLeaderYieldsToAHigherTermFromAnybody)
{
    NetOfDoubtedLeader net;
    directory *other = net.other, *d = net.doubting;
    directory_learn_leader(other, 6, 4);
    net.run(200);
    EXPECT_EQ(directory_leader(d), 4);
}

TEST(Directory, ALeaderThatSaysItLeadsNoMoreIsDoubted)
{
    Net net;
    directory *was = net.add(1, {1});
    directory *d = net.add(3, {1});
    net.run(1000, 1, 5);
    ASSERT_EQ(directory_leader(d), 1);
    directory_suspect_leader(was);
    net.run(700);
    EXPECT_EQ(directory_leader(d), 0);
}

TEST(Directory, ControllersHearOfOneAnotherAndAreForgotten)
{
    Net net;
    net.add(1, {1});
    directory *a = net.add(2, {1});
    directory *b = net.add(3, {1});
    net.run(2000, 1, 5);
    EXPECT_TRUE(knows(a, 3));
    EXPECT_TRUE(knows(b, 2));
    net.silent.insert(3);
    net.run(75000, 1, 5);
    EXPECT_FALSE(knows(a, 3));
    EXPECT_TRUE(knows(a, 1)) << "seeds stay";
}

TEST(Directory, HearsayAloneKeepsNobodyAlive)
{
    Net net;
    net.add(1, {1, 2});
    net.add(2, {1, 2});
    directory *a = net.add(4, {1, 2});
    net.add(3, {1, 2});
    net.run(2000, 1, 5);
    ASSERT_TRUE(knows(a, 3));
    net.silent.insert(3);
    net.run(75000); // nobody leads: all ask all
    EXPECT_FALSE(knows(a, 3));
}

TEST(Directory, SeedsMayBeExchanged)
{
    Net net;
    net.add(5, {5});
    directory *d = net.add(3, {1, 2});
    net.run(1000, 5, 2);
    EXPECT_EQ(directory_leader(d), 0);
    const int64_t seeds[] = {5};
    directory_set_seeds(d, seeds, 1);
    net.run(1000, 5, 2);
    EXPECT_EQ(directory_leader(d), 5);
    net.run(65000, 5, 2);
    EXPECT_FALSE(knows(d, 1));
    EXPECT_TRUE(knows(d, 5));
}

TEST(Directory, HoldsSoManyAndKeepsItsSeeds)
{
    Net net;
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
    EXPECT_TRUE(knows(d, 2) && knows(d, 3) && knows(d, 299));
    EXPECT_FALSE(knows(d, 1)) << "itself";
    ASSERT_EQ(net.last(), FRAME_LEADER_REPLY);
}

// By its own queries and replies only, not by what others say of it, and only as lately as asked for.
TEST(Directory, HeardIsWhoSpokeItself)
{
    Net net;
    directory *leader = net.add(1, {1, 2, 3});
    net.add(2, {1, 2, 3});
    net.add(3, {1, 2, 3});
    net.run(2000, 1, 5);
    EXPECT_TRUE(directory_heard_from(leader, 3, 1000));
    EXPECT_FALSE(directory_heard_from(leader, 4, 1000)) << "it was never there";
    net.silent.insert(3);
    net.run(4000, 1, 5);
    EXPECT_TRUE(directory_heard_from(leader, 2, 1000));
    EXPECT_FALSE(directory_heard_from(leader, 3, 1000)) << "others may still list it";
    EXPECT_TRUE(directory_heard_from(leader, 3, 60000));
}

TEST(Directory, TakesNothingBroken)
{
    Net net;
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
