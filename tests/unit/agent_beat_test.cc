// An executor that is commanded in the answers to its beats.
#include "agent_rig.h"

using namespace agent_rig;

namespace
{

// Beats go out one after the other; taken says whether an answer reaches the executor.
struct BeatRig : Rig {
    int64_t seq = 0, out = 0, out_ms = 0, next_ms = 0, draining = 0, tells_start = 0, tells_stop = 0, last_hold = 0;
    bool beats = true;
    std::function<bool()> taken = [] { return true; };

    BeatRig() : Rig(true)
    {
        after = [this] { move_beats(); };
    }
    void send_beat()
    {
        out = slot = ++seq;
        out_ms = now;
        beat(ex.incarnation, seq, draining, HEARTBEAT_ALIVE, "beat", ex.lists(0));
    }
    void carry_orders(const std::string &body)
    {
        std::istringstream in(body);
        int64_t epoch = 0, seen_now = 0, hold = 0, retry = 1500, n = 0, waits = 0, job, task, attempt;
        next_ms = now + retry;
        if (!(in >> epoch >> seen_now >> hold >> retry >> n))
            return;
        next_ms = now + std::max<int64_t>(retry, 50);
        last_hold = hold;
        ex.carry_out("look", words({epoch, seen_now, hold ? ex.now() + hold : 0, 0}), waits);
        for (; n > 0 && in >> job >> task >> attempt; n--, tells_start++)
            ex.carry_out("start", words({epoch, ex.now() + hold, job, task, attempt}), waits);
        for (in >> n; n > 0 && in >> job >> task >> attempt; n--, tells_stop++)
            ex.carry_out("stop", words({epoch, job, task, attempt}), waits);
    }
    void move_beats()
    {
        if (out && answers.count(out)) {
            std::string body = answers[out];
            out = 0;
            next_ms = now + 50;
            if (executor_up && taken())
                carry_orders(body);
        } else if (out && now - out_ms >= 1000) {
            out = 0;
        }
        if (!out && beats && executor_up && now >= next_ms)
            send_beat();
    }
    void ready()
    {
        orders();
        run(300);
        ASSERT_TRUE(last->r.ready);
    }
    void settled()
    {
        ready();
        run(21000); // beyond what an earlier process may have told
    }
};

} // namespace

TEST(AgentByBeat, starts_what_it_is_ordered_once_and_calls_nothing)
{
    BeatRig rig;
    rig.ready();
    rig.start(1, 1);
    rig.run(400);
    rig.start(1, 1);
    rig.run(2000);
    EXPECT_TRUE(rig.is_active(1, 1));
    EXPECT_EQ(rig.ex.starts, std::vector<std::string>{"1.1"});
    EXPECT_EQ(rig.tells_start, 1);
    EXPECT_TRUE(rig.sent.empty());
}

TEST(AgentByBeat, idle_beats_wait_for_orders)
{
    BeatRig rig;
    rig.settled();
    int64_t before = rig.seq;
    rig.run(6500);
    EXPECT_LE(rig.seq - before, 11);
    while (!rig.out)
        rig.run(1);
    rig.start(1, 1);
    rig.run(2);
    EXPECT_EQ(rig.ex.starts.size(), 1u);
}

TEST(AgentByBeat, ends_are_told_and_seen)
{
    BeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(200);
    rig.ex.end({1, 1}, END_DONE);
    rig.run(120);
    EXPECT_EQ(rig.how_ended(1), END_DONE);
    EXPECT_EQ(rig.ex.last_seen, 0);
    rig.seen = 1;
    rig.orders();
    rig.run(120);
    EXPECT_EQ(rig.ex.last_seen, 1);
    rig.run(500); // the next report
    EXPECT_EQ(rig.r().n_ended, 0);
}

TEST(AgentByBeat, what_was_lost_is_told_again)
{
    BeatRig rig;
    rig.settled();
    int lost = 3;
    rig.taken = [&] { return lost-- <= 0; };
    rig.start(1, 1);
    rig.run(1000);
    EXPECT_TRUE(rig.is_active(1, 1));
    EXPECT_EQ(rig.ex.starts.size(), 1u);
    rig.stop(1, 1);
    rig.run(600);
    EXPECT_EQ(rig.how_ended(1), END_STOPPED);
}

TEST(AgentByBeat, a_start_that_never_shows_ends_absent)
{
    BeatRig rig;
    rig.settled();
    rig.ex.room = 0;
    rig.start(1, 1);
    rig.run(250);
    EXPECT_TRUE(rig.is_pending(1));
    EXPECT_EQ(rig.how_ended(1), 0);
    rig.run(1200);
    EXPECT_EQ(rig.how_ended(1), END_NEVER_RAN);
    EXPECT_EQ(rig.tells_start, 2);
    rig.ex.room = 5;
    rig.ends_seen(1, 1);
    rig.start(1, 1);
    rig.run(500);
    EXPECT_TRUE(rig.ex.starts.empty());
}

TEST(AgentByBeat, absent_is_proven_by_answers_that_counted)
{
    BeatRig rig;
    rig.settled();
    bool reaches = false;
    rig.taken = [&] { return reaches; };
    rig.beats = false;
    rig.run(1500);
    rig.stop(1, 1);
    rig.run(3000);
    EXPECT_EQ(rig.how_ended(1), 0) << "no beat";
    // this process stood still: several beats, each given up by the executor, are found at once
    for (int i = 0; i < 4; i++) {
        rig.ex.clock += 1000;
        rig.send_beat();
        agent_flush(rig.a);
    }
    agent_flush(rig.a);
    rig.out = 0;
    EXPECT_EQ(rig.how_ended(1), 0);
    EXPECT_TRUE(rig.is_pending(1));
    reaches = rig.beats = true;
    rig.run(500);
    EXPECT_EQ(rig.how_ended(1), END_NEVER_RAN);
    EXPECT_EQ(rig.ex.barred[Key(1, 1)], 1);
}

TEST(AgentByBeat, draining_starts_nothing)
{
    BeatRig rig;
    rig.settled();
    while (rig.out)
        rig.run(1);
    rig.draining = 1;
    rig.start(1, 1); // its beat is on its way already
    rig.run(1000);
    EXPECT_TRUE(rig.ex.starts.empty());
    EXPECT_EQ(rig.tells_start, 0);
    EXPECT_EQ(rig.refusal(1), REFUSED_NO_CAPACITY);
}

TEST(AgentByBeat, a_new_incarnation_ends_the_old_and_late_beats_do_not_count)
{
    BeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    std::string old = rig.ex.lists(0);
    rig.ex = Executor();
    rig.ex.incarnation = "B";
    rig.run(1300);
    EXPECT_TRUE(rig.lost("A"));
    EXPECT_STREQ(rig.r().executor.incarnation, "B");
    EXPECT_TRUE(rig.r().ready);
    rig.slot = 100000;
    rig.beat("A", 100000, 0, HEARTBEAT_ALIVE, "beat", old);
    EXPECT_EQ(rig.answers[100000], "");
    rig.run(300);
    EXPECT_STREQ(rig.r().executor.incarnation, "B");
    EXPECT_FALSE(rig.is_active(1, 1));
}

TEST(AgentByBeat, older_beats_of_the_incarnation_do_not_count)
{
    BeatRig rig;
    rig.settled();
    std::string before = rig.ex.lists(0);
    rig.start(1, 1);
    rig.run(300);
    rig.slot = 100000;
    rig.beat("A", 1, 0, HEARTBEAT_ALIVE, "beat", before);
    rig.run(20);
    EXPECT_TRUE(rig.is_active(1, 1));
    EXPECT_EQ(rig.answers[100000], "");
}

TEST(AgentByBeat, ready_once_a_beat_follows_the_new_fence)
{
    BeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    rig.taken = [] { return false; };
    rig.beats = false;
    rig.run(200);
    rig.epoch = 4;
    rig.start(2, 1);
    rig.run(200);
    EXPECT_FALSE(rig.r().ready);
    rig.taken = [] { return true; };
    rig.beats = true;
    rig.run(250);
    EXPECT_TRUE(rig.r().ready);
    EXPECT_EQ(rig.ex.fence, 4);
    EXPECT_EQ(rig.ex.starts.size(), 2u);
    rig.run(500); // the next report
    EXPECT_TRUE(rig.is_active(2, 1));
}

TEST(AgentByBeat, holds_end_before_the_grant_and_are_told_of)
{
    for (int64_t delay : {0, 300, 950}) {
        BeatRig rig;
        rig.ex.rate = 0.98;
        rig.settled();
        rig.start(1, 1);
        rig.run(3000);
        ASSERT_TRUE(rig.is_active(1, 1));
        rig.grant = false;
        int64_t answered_at = 0;
        rig.after = [&] { // the executor takes each answer late
            if (rig.out && rig.answers.count(rig.out) && !answered_at)
                answered_at = rig.now;
            if (!answered_at || rig.now >= std::min(answered_at + delay, rig.out_ms + 999)) {
                rig.move_beats();
                answered_at = 0;
            }
        };
        int64_t over_at = rig.now + rig.r().executor.lease_left_ms;
        for (int i = 0; i < 9000 && !rig.ex.lapsed_at; i++) {
            over_at = std::max(over_at, rig.r().stamp_ms + rig.r().executor.lease_left_ms);
            rig.run(1);
        }
        EXPECT_GT(rig.ex.lapsed_at, 0);
        EXPECT_LE(rig.ex.lapsed_at, rig.granted_at + LEASE);
        EXPECT_LE(rig.ex.lapsed_at, over_at);
    }
}

TEST(AgentByBeat, no_start_without_a_lease_and_none_is_told_of_later)
{
    BeatRig rig;
    rig.settled();
    rig.grant = false;
    rig.run(LEASE + 100);
    rig.start(1, 1);
    rig.run(1000);
    EXPECT_TRUE(rig.ex.starts.empty());
    EXPECT_EQ(rig.how_ended(1), END_NEVER_RAN);
}

TEST(AgentByBeat, silence_is_told_and_one_that_left_is_over)
{
    BeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    rig.beats = false;
    rig.run(1000);
    EXPECT_GT(rig.r().executor.silent_ms, 600);
    rig.beats = true;
    rig.run(300);
    EXPECT_EQ(rig.r().executor.silent_ms, 0);
    rig.beats = false;
    rig.run(200);
    rig.slot = 100000;
    rig.beat("A", 100000, 0, HEARTBEAT_LEAVING);
    EXPECT_EQ(rig.answers.count(100000), 1u);
    rig.run(400);
    EXPECT_FALSE(rig.lost("A"));
    rig.run(3000);
    EXPECT_TRUE(rig.lost("A"));
}

TEST(AgentByBeat, a_leaving_agent_holds_what_runs_and_goes)
{
    BeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    agent_leave(rig.a);
    rig.run(4000);
    EXPECT_FALSE(agent_left(rig.a));
    rig.run(1000);
    EXPECT_TRUE(agent_left(rig.a));
    EXPECT_TRUE(rig.ex.active.count(Key(1, 1)));
    BeatRig idle;
    idle.settled();
    agent_leave(idle.a);
    idle.run(100);
    EXPECT_TRUE(agent_left(idle.a));
}
