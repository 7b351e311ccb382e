/// @file parent_finder_test.cpp
/// Calls are associated with their parents by their deadlines, and requests from outside are not mistaken for child calls.
#include "turmericspar/policy/parent_finder.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

/// Trains a finder: requests of class "read" are child calls of running calls of class "visit".
void train(parent_finder &finder)
{
    for (call_id id = 1000; id < 1030; ++id) {
        const millis deadline{static_cast<double>(id) * 100};
        finder.started(id, "visit", deadline);
        (void)finder.find("read", deadline, {0});
        finder.ended(id);
    }
}

TEST(parent_finder, matches_a_call_to_the_running_call_with_its_deadline)
{
    parent_finder finder;
    train(finder);
    finder.started(1, "visit", {5000});
    finder.started(2, "visit", {5300});
    EXPECT_EQ(finder.find("read", millis{5299.5}, {0}), 2U);
}

TEST(parent_finder, prefers_the_nearest_deadline)
{
    parent_finder finder;
    train(finder);
    finder.started(1, "visit", {5000});
    finder.started(2, "visit", {5001});
    EXPECT_EQ(finder.find("read", millis{4999.6}, {0}), 1U);
    EXPECT_EQ(finder.find("read", millis{5000.6}, {0}), 2U);
}

TEST(parent_finder, a_class_that_matched_by_chance_is_not_a_parent_class)
{
    parent_finder finder;
    train(finder);
    finder.started(1, "bystander", {7000});
    (void)finder.find("read", millis{7000}, {0});
    EXPECT_TRUE(finder.makesCalls("visit"));
    EXPECT_FALSE(finder.makesCalls("bystander"));
}

TEST(parent_finder, a_call_with_a_shorter_deadline_is_matched_by_class)
{
    parent_finder finder;
    train(finder);
    finder.started(1, "other", {4000});
    finder.started(2, "visit", {5000});
    EXPECT_EQ(finder.find("read", millis{3000}, {0}), 2U);
}

TEST(parent_finder, requests_from_outside_that_match_by_chance_are_not_child_calls)
{
    parent_finder finder;
    finder.started(1, "visit", {5000});
    for (int i = 0; i < 100; ++i) {
        // One in twenty has the deadline of a running call.
        EXPECT_EQ(finder.find("search", i % 20 == 0 ? millis{4999.8} : millis{9000.0 + i}, {0}), 0U);
    }
}

TEST(parent_finder, ignores_ended_calls)
{
    parent_finder finder;
    train(finder);
    finder.started(1, "visit", {5000});
    finder.ended(1);
    EXPECT_EQ(finder.find("read", millis{5000}, {0}), 0U);
}

/// Two requests each make a sequence of calls to the same service, with shorter deadlines of their own. The parent of the next call is the
/// request that was answered last.
TEST(parent_finder, sequential_calls_follow_the_last_answer)
{
    parent_finder finder;
    train(finder);
    finder.started(1, "visit", {200'000});
    finder.started(2, "visit", {200'100});
    millis now{1};
    const auto call = [&] {
        const auto parent = finder.find("read", now + millis{700}, now);
        finder.childStarted(parent, "read");
        return parent;
    };
    ASSERT_EQ(call(), 1U);
    ASSERT_EQ(call(), 2U);
    for (int round = 0; round < 5; ++round) {
        now += millis{40};
        finder.childEnded(2, now);
        now += millis{0.4};
        EXPECT_EQ(call(), 2U) << round;
        now += millis{15};
        // Both are answered before either makes its next call: the one answered first makes its call first.
        finder.childEnded(1, now);
        now += millis{0.2};
        finder.childEnded(2, now);
        now += millis{0.2};
        EXPECT_EQ(call(), 1U) << round;
        now += millis{0.2};
        EXPECT_EQ(call(), 2U) << round;
    }
}

TEST(parent_finder, prefers_a_parent_without_calls_over_one_with_a_pending_call)
{
    parent_finder finder;
    train(finder);
    finder.started(1, "visit", {200'000});
    finder.childStarted(finder.find("read", millis{700}, {0}), "read");
    finder.started(2, "visit", {200'100});
    EXPECT_EQ(finder.find("read", millis{720}, {20}), 2U);
}

} // namespace
