// Decoded responses and calls in flight: a member can be read only if the kind has it.
#include <gtest/gtest.h>

extern "C" {
#include "agent/agent_state.h"
}

namespace
{

executor_response response_of(int64_t kind)
{
    executor_response response = {};
    if (kind == EXECUTOR_ACCEPTED)
        executor_response_accept(&response);
    else if (kind == EXECUTOR_REFUSED)
        executor_response_refuse(&response, REFUSED_NO_CAPACITY);
    else if (kind == EXECUTOR_OTHER_INCARNATION)
        executor_response_other_incarnation(&response);
    return response;
}

} // namespace

TEST(ExecutorResponseDeathTest, MembersOfOtherKinds)
{
    for (int64_t kind = EXECUTOR_RESPONSE_NONE; kind <= EXECUTOR_OTHER_INCARNATION; kind++) {
        executor_response response = response_of(kind);
        EXPECT_EQ(response.kind, kind);
        if (kind == EXECUTOR_ACCEPTED)
            EXPECT_EQ(executor_response_lists(&response)->n_active, 0);
        else
            EXPECT_DEATH(executor_response_lists(&response), "") << kind;
        if (kind == EXECUTOR_REFUSED)
            EXPECT_EQ(executor_response_refusal(&response), REFUSED_NO_CAPACITY);
        else
            EXPECT_DEATH(executor_response_refusal(&response), "") << kind;
    }
}

TEST(ExecutorResponseDeathTest, AResponseIsMadeOnce)
{
    for (int64_t kind = EXECUTOR_ACCEPTED; kind <= EXECUTOR_OTHER_INCARNATION; kind++) {
        executor_response response = response_of(kind);
        EXPECT_DEATH(executor_response_accept(&response), "") << kind;
        EXPECT_DEATH(executor_response_refuse(&response, REFUSED_OUTDATED), "") << kind;
        EXPECT_DEATH(executor_response_other_incarnation(&response), "") << kind;
    }
}

TEST(ExecutorRequestDeathTest, MembersOfOtherKinds)
{
    for (int64_t kind = CALL_FREE; kind <= CALL_PROBE; kind++) {
        executor_request request = {};
        request.kind = kind;
        if (kind == CALL_POLL || kind == CALL_PROBE)
            EXPECT_EQ(request_poll(&request)->seen, 0);
        else
            EXPECT_DEATH(request_poll(&request), "") << kind;
        if (kind == CALL_START || kind == CALL_STOP)
            EXPECT_EQ(request_run(&request)->job, 0);
        else
            EXPECT_DEATH(request_run(&request), "") << kind;
    }
}
