/// @file silence_detector_test.cpp
/// Silent connections are detected, and slow upstreams are not mistaken for them.
#include "turmericspar/policy/silence_detector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

constexpr millis responseTime{200};

class silence_detector_test : public testing::Test
{
protected:
    silence_detector_test()
    {
        for (call_id id = 1; id <= 10; ++id) {
            detector.sent(id, {0}, {0});
            detector.ended(id, true, responseTime);
        }
    }
    tunables tuning;
    silence_detector detector{tuning};
    millis now = responseTime;
};

TEST_F(silence_detector_test, finds_a_call_sent_before_answered_calls)
{
    detector.sent(100, {0}, now);
    for (call_id id = 101; id <= 103; ++id) {
        detector.sent(id, {0}, now + millis{10});
        detector.ended(id, true, now + responseTime);
    }
    EXPECT_TRUE(detector.check(now + responseTime).silent.empty()) << "the call is not overdue yet";
    EXPECT_EQ(detector.check(now + detector.timeout() + millis{20}).silent, std::vector<call_id>{100});
    EXPECT_TRUE(detector.check(now + detector.timeout() * 2).silent.empty()) << "each call is reported once";
}

TEST_F(silence_detector_test, does_not_cancel_calls_that_may_run_once)
{
    const millis deadline = now + millis{5000};
    detector.sent(100, deadline, now);
    for (call_id id = 101; id <= 103; ++id) {
        detector.sent(id, {0}, now + millis{10});
        detector.ended(id, true, now + responseTime);
    }
    const auto before = detector.check(deadline - millis{21});
    EXPECT_TRUE(before.silent.empty());
    EXPECT_EQ(before.replaceBefore, now) << "but the connection must not be used for further calls";
    EXPECT_EQ(detector.check(deadline - millis{1}).replaceBefore, std::nullopt) << "the connection is reported once";
    EXPECT_EQ(detector.check(deadline + millis{100}).silent, std::vector<call_id>{100});
}

TEST_F(silence_detector_test, finds_silent_connections_if_all_calls_are_exempt)
{
    for (call_id id = 100; id < 110; ++id) {
        detector.sent(id, now + millis{5000}, now + millis{static_cast<double>(id)});
    }
    const auto found = detector.check(now + detector.timeout() + millis{150});
    EXPECT_TRUE(found.silent.empty());
    EXPECT_EQ(found.replaceBefore, now + millis{102}) << "the three oldest calls are reported";
}

TEST_F(silence_detector_test, cancels_three_calls_if_nothing_is_answered_and_the_rest_when_their_retries_are)
{
    for (call_id id = 100; id < 135; ++id) {
        detector.sent(id, {0}, now);
    }
    now += detector.timeout() + millis{50};
    const auto first = detector.check(now).silent;
    EXPECT_EQ(first.size(), 3U);
    // They are sent again on new connections and answered.
    for (call_id id = 200; id < 203; ++id) {
        detector.sent(id, {0}, now);
        detector.ended(id, true, now + responseTime);
    }
    EXPECT_EQ(detector.check(now + responseTime + millis{50}).silent.size(), 32U);
}

TEST_F(silence_detector_test, does_not_cancel_the_calls_of_a_slow_upstream)
{
    // The upstream becomes ten times slower at once: no later call is answered first, and only three calls are cancelled per timeout.
    std::size_t cancelled = 0;
    for (call_id id = 100; id < 135; ++id) {
        detector.sent(id, {0}, now);
    }
    for (millis at = now; at < now + responseTime * 10; at += millis{5}) {
        cancelled += detector.check(at).silent.size();
    }
    EXPECT_LE(cancelled, 12U);
}

RC_GTEST_PROP(silence_detector, reports_no_call_while_answers_arrive_in_order, ())
{
    tunables tuning;
    silence_detector detector(tuning);
    millis now{1000};
    call_id next = 1;
    std::vector<call_id> open;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps) {
        now += millis{static_cast<double>(step % 10)};
        if (step < 50 || open.empty()) {
            open.push_back(next);
            detector.sent(next++, {0}, now);
        } else {
            // Calls are answered in the order in which they were sent.
            detector.ended(open.front(), true, now);
            open.erase(open.begin());
        }
        if (now - millis{1000} < tuning.silenceTimeoutMin) {
            RC_ASSERT(detector.check(now).silent.empty());
        }
    }
}

} // namespace
