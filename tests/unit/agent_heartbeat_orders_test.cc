// An agent whose executor takes its orders in the responses to its heartbeats.
#include "agent_rig.h"

using namespace agent_rig;

namespace
{

// Sends one heartbeat after another. delivered: whether a response reaches the executor.
struct HeartbeatRig : Rig {
    int64_t seq = 0, open_slot = 0, sent_ms = 0, next_ms = 0, draining = 0, starts_received = 0, stops_received = 0,
            last_hold = 0;
    bool sending = true;
    std::function<bool()> delivered = [] { return true; };

    HeartbeatRig() : Rig(true)
    {
        after = [this] { step_heartbeats(); };
    }
    void send_heartbeat()
    {
        open_slot = slot = ++seq;
        sent_ms = now;
        heartbeat(executor.incarnation, seq, draining, HEARTBEAT_ALIVE, "heartbeat", executor.lists(0));
    }
    void execute_orders(const std::string &body)
    {
        std::istringstream in(body);
        int64_t epoch = 0, seen_now = 0, hold = 0, retry = 1500, n = 0, waits = 0, job, task, attempt;
        next_ms = now + retry;
        if (!(in >> epoch >> seen_now >> hold >> retry >> n))
            return;
        next_ms = now + std::max<int64_t>(retry, 50);
        last_hold = hold;
        executor.execute("poll", words({epoch, seen_now, hold ? executor.now() + hold : 0, 0}), waits);
        for (; n > 0 && in >> job >> task >> attempt; n--, starts_received++)
            executor.execute("start", words({epoch, executor.now() + hold, job, task, attempt}), waits);
        for (in >> n; n > 0 && in >> job >> task >> attempt; n--, stops_received++)
            executor.execute("stop", words({epoch, job, task, attempt}), waits);
    }
    void step_heartbeats()
    {
        if (open_slot && responses.count(open_slot)) {
            std::string body = responses[open_slot];
            open_slot = 0;
            next_ms = now + 50;
            if (executor_up && delivered())
                execute_orders(body);
        } else if (open_slot && now - sent_ms >= 1000) {
            open_slot = 0;
        }
        if (!open_slot && sending && executor_up && now >= next_ms)
            send_heartbeat();
    }
    void ready()
    {
        orders();
        run(300);
        ASSERT_TRUE(last_report->report.ready);
    }
    void settled()
    {
        ready();
        run(21000); // longer than orders of a former process may be executed
    }
};

} // namespace

TEST(AgentHeartbeatOrders, an_ordered_run_is_started_once_and_without_calls)
{
    HeartbeatRig rig;
    rig.ready();
    rig.start(1, 1);
    rig.run(400);
    rig.start(1, 1);
    rig.run(2000);
    EXPECT_TRUE(rig.is_active(1, 1));
    EXPECT_EQ(rig.executor.starts, std::vector<std::string>{"1.1"});
    EXPECT_EQ(rig.starts_received, 1);
    EXPECT_TRUE(rig.sent.empty());
}

TEST(AgentHeartbeatOrders, idle_heartbeats_wait_for_orders)
{
    HeartbeatRig rig;
    rig.settled();
    int64_t before = rig.seq;
    rig.run(6500);
    EXPECT_LE(rig.seq - before, 11);
    while (!rig.open_slot)
        rig.run(1);
    rig.start(1, 1);
    rig.run(2);
    EXPECT_EQ(rig.executor.starts.size(), 1u);
}

TEST(AgentHeartbeatOrders, ends_are_reported_and_acknowledged)
{
    HeartbeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(200);
    rig.executor.end({1, 1}, END_DONE);
    rig.run(120);
    EXPECT_EQ(rig.how_ended(1), END_DONE);
    EXPECT_EQ(rig.executor.last_seen, 0);
    rig.seen = 1;
    rig.orders();
    rig.run(120);
    EXPECT_EQ(rig.executor.last_seen, 1);
    rig.run(500); // the next report
    EXPECT_EQ(rig.report().n_ended, 0);
}

TEST(AgentHeartbeatOrders, lost_orders_are_sent_again)
{
    HeartbeatRig rig;
    rig.settled();
    int lost = 3;
    rig.delivered = [&] { return lost-- <= 0; };
    rig.start(1, 1);
    rig.run(1000);
    EXPECT_TRUE(rig.is_active(1, 1));
    EXPECT_EQ(rig.executor.starts.size(), 1u);
    rig.stop(1, 1);
    rig.run(600);
    EXPECT_EQ(rig.how_ended(1), END_STOPPED);
}

TEST(AgentHeartbeatOrders, a_start_that_is_never_listed_never_ran)
{
    HeartbeatRig rig;
    rig.settled();
    rig.executor.capacity = 0;
    rig.start(1, 1);
    rig.run(250);
    EXPECT_TRUE(rig.is_pending(1));
    EXPECT_EQ(rig.how_ended(1), 0);
    rig.run(1200);
    EXPECT_EQ(rig.how_ended(1), END_NEVER_RAN);
    EXPECT_EQ(rig.starts_received, 2);
    rig.executor.capacity = 5;
    rig.ends_seen(1, 1);
    rig.start(1, 1);
    rig.run(500);
    EXPECT_TRUE(rig.executor.starts.empty());
}

TEST(AgentHeartbeatOrders, only_delivered_responses_prove_that_a_run_never_ran)
{
    HeartbeatRig rig;
    rig.settled();
    bool reaches = false;
    rig.delivered = [&] { return reaches; };
    rig.sending = false;
    rig.run(1500);
    rig.stop(1, 1);
    rig.run(3000);
    EXPECT_EQ(rig.how_ended(1), 0) << "no heartbeat";
    // this process was suspended and finds several heartbeats at once, none of which the executor still waits for
    for (int i = 0; i < 4; i++) {
        rig.executor.clock += 1000;
        rig.send_heartbeat();
        agent_flush(rig.agent);
    }
    agent_flush(rig.agent);
    rig.open_slot = 0;
    EXPECT_EQ(rig.how_ended(1), 0);
    EXPECT_TRUE(rig.is_pending(1));
    reaches = rig.sending = true;
    rig.run(500);
    EXPECT_EQ(rig.how_ended(1), END_NEVER_RAN);
    EXPECT_EQ(rig.executor.barred_attempts[Key(1, 1)], 1);
}

TEST(AgentHeartbeatOrders, a_draining_executor_gets_no_starts)
{
    HeartbeatRig rig;
    rig.settled();
    while (rig.open_slot)
        rig.run(1);
    rig.draining = 1;
    rig.start(1, 1); // ordered just before the heartbeat that reports draining
    rig.run(1000);
    EXPECT_TRUE(rig.executor.starts.empty());
    EXPECT_EQ(rig.starts_received, 0);
    EXPECT_EQ(rig.refusal(1), REFUSED_NO_CAPACITY);
}

TEST(AgentHeartbeatOrders, a_new_incarnation_ends_the_old_and_late_heartbeats_are_ignored)
{
    HeartbeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    std::string old = rig.executor.lists(0);
    rig.executor = SimulatedExecutor();
    rig.executor.incarnation = "B";
    rig.run(1300);
    EXPECT_TRUE(rig.lost("A"));
    EXPECT_STREQ(rig.report().executor.incarnation, "B");
    EXPECT_TRUE(rig.report().ready);
    rig.slot = 100000;
    rig.heartbeat("A", 100000, 0, HEARTBEAT_ALIVE, "heartbeat", old);
    EXPECT_EQ(rig.responses[100000], "");
    rig.run(300);
    EXPECT_STREQ(rig.report().executor.incarnation, "B");
    EXPECT_FALSE(rig.is_active(1, 1));
}

TEST(AgentHeartbeatOrders, older_heartbeats_of_the_incarnation_are_ignored)
{
    HeartbeatRig rig;
    rig.settled();
    std::string before = rig.executor.lists(0);
    rig.start(1, 1);
    rig.run(300);
    rig.slot = 100000;
    rig.heartbeat("A", 1, 0, HEARTBEAT_ALIVE, "heartbeat", before);
    rig.run(20);
    EXPECT_TRUE(rig.is_active(1, 1));
    EXPECT_EQ(rig.responses[100000], "");
}

TEST(AgentHeartbeatOrders, ready_once_a_heartbeat_follows_the_new_epoch)
{
    HeartbeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    rig.delivered = [] { return false; };
    rig.sending = false;
    rig.run(200);
    rig.epoch = 4;
    rig.start(2, 1);
    rig.run(200);
    EXPECT_FALSE(rig.report().ready);
    rig.delivered = [] { return true; };
    rig.sending = true;
    rig.run(250);
    EXPECT_TRUE(rig.report().ready);
    EXPECT_EQ(rig.executor.fence_epoch, 4);
    EXPECT_EQ(rig.executor.starts.size(), 2u);
    rig.run(500); // the next report
    EXPECT_TRUE(rig.is_active(2, 1));
}

TEST(AgentHeartbeatOrders, leases_expire_before_the_grant_and_their_end_is_reported)
{
    for (int64_t delay : {0, 300, 950}) {
        HeartbeatRig rig;
        rig.executor.rate = 0.98;
        rig.settled();
        rig.start(1, 1);
        rig.run(3000);
        ASSERT_TRUE(rig.is_active(1, 1));
        rig.grant = false;
        int64_t responded_at = 0;
        rig.after = [&] { // the executor receives each response late
            if (rig.open_slot && rig.responses.count(rig.open_slot) && !responded_at)
                responded_at = rig.now;
            if (!responded_at || rig.now >= std::min(responded_at + delay, rig.sent_ms + 999)) {
                rig.step_heartbeats();
                responded_at = 0;
            }
        };
        int64_t over_at = rig.now + rig.report().executor.lease_left_ms;
        for (int i = 0; i < 9000 && !rig.executor.lapsed_at; i++) {
            over_at = std::max(over_at, rig.report().stamp_ms + rig.report().executor.lease_left_ms);
            rig.run(1);
        }
        EXPECT_GT(rig.executor.lapsed_at, 0);
        EXPECT_LE(rig.executor.lapsed_at, rig.granted_at + LEASE);
        EXPECT_LE(rig.executor.lapsed_at, over_at);
    }
}

TEST(AgentHeartbeatOrders, without_a_lease_a_start_is_never_sent)
{
    HeartbeatRig rig;
    rig.settled();
    rig.grant = false;
    rig.run(LEASE + 100);
    rig.start(1, 1);
    rig.run(1000);
    EXPECT_TRUE(rig.executor.starts.empty());
    EXPECT_EQ(rig.how_ended(1), END_NEVER_RAN);
}

TEST(AgentHeartbeatOrders, silence_is_reported_and_an_executor_that_left_has_ended)
{
    HeartbeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    rig.sending = false;
    rig.run(1000);
    EXPECT_GT(rig.report().executor.silent_ms, 600);
    rig.sending = true;
    rig.run(300);
    EXPECT_EQ(rig.report().executor.silent_ms, 0);
    rig.sending = false;
    rig.run(200);
    rig.slot = 100000;
    rig.heartbeat("A", 100000, 0, HEARTBEAT_LEAVING);
    EXPECT_EQ(rig.responses.count(100000), 1u);
    rig.run(400);
    EXPECT_FALSE(rig.lost("A"));
    rig.run(3000);
    EXPECT_TRUE(rig.lost("A"));
}

TEST(AgentHeartbeatOrders, a_leaving_agent_renews_the_lease_and_ends)
{
    HeartbeatRig rig;
    rig.settled();
    rig.start(1, 1);
    rig.run(300);
    agent_leave(rig.agent);
    rig.run(4000);
    EXPECT_FALSE(agent_has_left(rig.agent));
    rig.run(1000);
    EXPECT_TRUE(agent_has_left(rig.agent));
    EXPECT_TRUE(rig.executor.active.count(Key(1, 1)));
    HeartbeatRig idle;
    idle.settled();
    agent_leave(idle.agent);
    idle.run(100);
    EXPECT_TRUE(agent_has_left(idle.agent));
}
