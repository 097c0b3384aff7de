// Calls without a response: an executor that responds to other calls is not silent, and while calls are lost the
// timeouts are short.
#include <algorithm>
#include <string>

#include "agent_rig.h"

using namespace agent_rig;

namespace
{

bool started_once(const Rig &rig, const std::string &run)
{
    return std::count(rig.executor.starts.begin(), rig.executor.starts.end(), run) == 1;
}
// Sets the fault of all starts of one task; other calls are executed.
void set_start_fault_of(Rig &rig, int64_t task, CallFault fault)
{
    rig.fault = [task, fault](const Call &call) {
        std::istringstream in(call.body);
        int64_t epoch, expires, job, run_task = 0;
        in >> epoch >> expires >> job >> run_task;
        return call.method == "start" && run_task == task ? fault : EXECUTED;
    };
}
// Starts task 1, so that a poll waits for its end.
void start_waiting_poll(Rig &rig)
{
    rig.settled();
    rig.start(1, 1);
    rig.run(500);
    ASSERT_TRUE(started_once(rig, "1.1"));
}
// Lets a call time out, so that calls count as unreliable.
void make_calls_unreliable(Rig &rig)
{
    start_waiting_poll(rig);
    set_start_fault_of(rig, 2, LOST);
    rig.start(2, 1);
    rig.run(350);
    rig.set_fault(EXECUTED);
    rig.run(1000);
    ASSERT_TRUE(started_once(rig, "2.1"));
}

} // namespace

TEST(AgentSilence, an_executor_that_responded_since_is_not_silent)
{
    Rig rig;
    start_waiting_poll(rig);
    set_start_fault_of(rig, 2, LOST);
    rig.start(2, 1);
    rig.run(100);
    rig.start(3, 1);
    rig.run(220); // the start of task 2 has timed out, the poll still waits
    ASSERT_TRUE(started_once(rig, "3.1"));
    ASSERT_FALSE(started_once(rig, "2.1"));
    EXPECT_EQ(rig.report().executor.silent_ms, 0);
    rig.start(4, 1);
    rig.run(10);
    EXPECT_TRUE(started_once(rig, "4.1")) << "a lost call must not delay the next one";
}

TEST(AgentSilence, an_executor_without_a_later_response_is_silent)
{
    Rig rig;
    start_waiting_poll(rig);
    set_start_fault_of(rig, 2, LOST);
    rig.start(2, 1);
    rig.run(320);
    set_start_fault_of(rig, 9, LOST);
    rig.start(4, 1);
    rig.run(10);
    EXPECT_FALSE(started_once(rig, "4.1"));
}

TEST(AgentSilence, an_executor_with_invalid_responses_is_silent)
{
    Rig rig;
    start_waiting_poll(rig);
    set_start_fault_of(rig, 2, FAILED);
    int calls = 0;
    rig.response_delay = [&] { return calls++ ? 0 : 10; };
    rig.start(2, 1);
    rig.start(3, 1);
    rig.run(10);
    ASSERT_TRUE(started_once(rig, "3.1")); // its response arrives before the failed one
    rig.run(8);
    set_start_fault_of(rig, 9, LOST);
    rig.start(4, 1);
    rig.run(10);
    EXPECT_FALSE(started_once(rig, "4.1"));
}

TEST(AgentSilence, while_calls_are_unreliable_a_lost_poll_hides_an_end_for_a_quarter_of_a_second)
{
    Rig rig;
    make_calls_unreliable(rig);
    int64_t lost_at = 0;
    rig.fault = [&](const Call &call) {
        if (call.method != "poll" || lost_at)
            return EXECUTED;
        lost_at = rig.now;
        return LOST;
    };
    while (!lost_at)
        rig.run(1);
    rig.run(10);
    rig.executor.end({1, 1}, END_DONE);
    rig.run(230);
    EXPECT_EQ(rig.how_ended(1), END_DONE);
}

TEST(AgentSilence, while_calls_are_unreliable_a_lost_start_is_sent_again_soon)
{
    Rig rig;
    make_calls_unreliable(rig);
    set_start_fault_of(rig, 5, LOST);
    int64_t before = rig.count_calls("start");
    rig.start(5, 1);
    rig.run(10);
    rig.set_fault(EXECUTED);
    rig.run(130);
    EXPECT_EQ(rig.count_calls("start"), before + 2);
    EXPECT_TRUE(started_once(rig, "5.1"));
}

TEST(AgentSilence, timeouts_follow_a_slow_executor)
{
    Rig rig;
    make_calls_unreliable(rig);
    rig.response_delay = [] { return 150; };
    rig.executor.stop_ms = 900;
    rig.stop(1, 1);
    rig.run(1200);
    ASSERT_EQ(rig.count_calls("stop"), 2);
    rig.stop(2, 1);
    rig.run(1000);
    EXPECT_EQ(rig.count_calls("stop"), 3) << "the timeout was too short";
}
