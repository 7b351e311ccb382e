/// @file stop_intake_test.cpp
/// What a stopping node still takes: nothing that could be cut off when its process ends.
#include "turmericspar/policy/stop_intake.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

constexpr millis begin{10'000};
constexpr millis farDeadline{60'000};
const auto schedule = stop_schedule::beginningAt(begin, {1000}, {5200});

TEST(stop_intake, a_node_that_does_not_stop_takes_everything)
{
    EXPECT_TRUE(takesRequest({}, false, farDeadline, begin));
}

TEST(stop_intake, requests_of_callers_are_taken_until_the_other_nodes_know_of_the_stop)
{
    EXPECT_TRUE(takesRequest(schedule, false, farDeadline, begin + millis{1000}));
    EXPECT_FALSE(takesRequest(schedule, false, farDeadline, begin + millis{1001}));
}

// Guards against a call that is taken shortly before the process ends, passed on to an upstream and never answered.
TEST(stop_intake, late_calls_for_running_requests_are_taken_only_if_they_end_before_the_process)
{
    EXPECT_TRUE(takesRequest(schedule, true, farDeadline, begin + millis{2600}));
    EXPECT_FALSE(takesRequest(schedule, true, farDeadline, begin + millis{2601}));
    EXPECT_FALSE(takesRequest(schedule, true, begin + millis{5150}, begin + millis{5000}));
    EXPECT_TRUE(takesRequest(schedule, true, begin + millis{5100}, begin + millis{5000}));
    EXPECT_FALSE(takesRequest(schedule, true, farDeadline, begin + millis{5190}));
}

// Guards against a stopped node that ends long before it would be killed, and cuts off requests at which upstreams are at work.
TEST(stop_intake, a_stop_uses_the_grace_period_of_its_deployment)
{
    EXPECT_EQ(shutdownWaitWithin({6000}), millis{5200});
    EXPECT_EQ(shutdownWaitWithin({10'000}), millis{9200});
    EXPECT_EQ(shutdownWaitWithin({1500}), millis{1300});
}

TEST(stop_intake, a_longer_stop_does_not_take_open_ended_calls_for_longer)
{
    const auto longer = stop_schedule::beginningAt(begin, {1000}, {9200});
    EXPECT_TRUE(takesRequest(longer, true, farDeadline, begin + millis{2600}));
    EXPECT_FALSE(takesRequest(longer, true, farDeadline, begin + millis{2601}));
    EXPECT_TRUE(takesRequest(longer, true, begin + millis{9000}, begin + millis{2601}));
}

// Guards against a call that still waits for its start when the process ends, so that its caller gets no answer.
TEST(stop_intake, calls_that_wait_are_given_back_while_their_callers_have_time_left)
{
    EXPECT_FALSE(mustWithdraw({}, farDeadline, begin));
    EXPECT_FALSE(mustWithdraw(schedule, farDeadline, begin + millis{4160}));
    EXPECT_TRUE(mustWithdraw(schedule, farDeadline, begin + millis{4161}));
    EXPECT_FALSE(mustWithdraw(schedule, begin + millis{5100}, begin + millis{4161})) << "it is answered at its deadline";
    EXPECT_TRUE(mustWithdraw(schedule, begin + millis{5101}, begin + millis{4161}));
}

} // namespace
