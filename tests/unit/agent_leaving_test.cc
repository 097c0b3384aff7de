// Executors that announce their end and serve on: their runs are over by their own word or by their leases, not by
// calls without a response.
#include "agent_rig.h"

extern "C" {
#include "base/events.h"
}

using namespace agent_rig;

namespace
{

// An executor that has announced its end while task 1 runs on it for long.
struct Leaver {
    Rig rig;
    explicit Leaver(bool orders_by_heartbeats = false) : rig(orders_by_heartbeats)
    {
        rig.settled();
        rig.start(1, 1);
        rig.run(500);
        EXPECT_EQ(rig.executor.active.size(), 1u);
        rig.heartbeat("A", 0, 0, HEARTBEAT_LEAVING);
    }
    // Runs for ms; the executor must not be reported as ended while a run is active on it.
    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms; i += 10) {
            rig.run(10);
            ASSERT_FALSE(rig.executor_up && !rig.executor.active.empty() && rig.lost("A"))
                << i << " ms, while a run is active";
        }
    }
};

} // namespace

// Guards against tasks that run on two executors at once: a leaver was taken for gone 500 ms after a call that it left
// unanswered, whatever its leases, and its tasks were started elsewhere (review/1).
TEST(AgentLeaving, an_executor_that_serves_on_and_leaves_calls_unanswered_has_not_ended)
{
    for (CallFault fault : {LOST, RESPONSE_LOST, LATE, FAILED}) {
        for (int64_t silent_ms : {600, 1500, 2000}) {
            SCOPED_TRACE(std::to_string(fault) + " " + std::to_string(silent_ms));
            Leaver leaver;
            leaver.rig.late_ms = 1000;
            leaver.run(300);
            leaver.rig.set_fault(fault);
            leaver.run(silent_ms);
            leaver.rig.set_fault(EXECUTED);
            leaver.run(LEASE * 2);
        }
    }
}

TEST(AgentLeaving, an_executor_that_never_responds_again_has_ended_once_its_leases_have_expired)
{
    Leaver leaver;
    leaver.rig.set_fault(LOST);
    leaver.run(LEASE * 2);
    EXPECT_FALSE(leaver.rig.executor.lapsed_at == 0);
    EXPECT_TRUE(leaver.rig.lost("A"));
}

TEST(AgentLeaving, the_run_of_a_leaver_that_ends_is_reported_before_the_leaver_counts_as_ended)
{
    Leaver leaver;
    leaver.run(300);
    leaver.rig.executor.end({1, 1}, END_DONE);
    leaver.run(400);
    EXPECT_EQ(leaver.rig.how_ended(1), END_DONE);
    leaver.run(LEASE * 2);
    EXPECT_FALSE(leaver.rig.lost("A")) << "its end is not committed";
    leaver.rig.seen = leaver.rig.executor.seq;
    leaver.run(1000);
    EXPECT_TRUE(leaver.rig.lost("A"));
}

namespace
{

int64_t count_ended(const Rig &rig, const std::string &why)
{
    return std::count_if(rig.events.begin(), rig.events.end(), [&](const std::pair<int, std::string> &event) {
        return event.first == EV_INCARNATION_ENDED && event.second.find(why) != std::string::npos;
    });
}

} // namespace

// Guards against a log that says "did not respond until all its leases expired" of an executor whose leases had not
// expired, or that was replaced.
TEST(AgentLeaving, the_log_tells_what_proves_the_end_of_an_incarnation)
{
    Leaver leaver;
    leaver.rig.set_fault(LOST);
    leaver.run(LEASE * 2);
    EXPECT_EQ(count_ended(leaver.rig, "it left, and its leases have expired\" executor=A"), 1);
    Rig replaced;
    replaced.settled();
    replaced.executor.incarnation = "B";
    replaced.heartbeat("B", 1);
    replaced.run(500);
    EXPECT_EQ(count_ended(replaced, "another incarnation responds in its place\" executor=A"), 1);
    EXPECT_EQ(count_ended(replaced, ""), 1);
}
