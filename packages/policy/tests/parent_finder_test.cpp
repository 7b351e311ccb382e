/// @file parent_finder_test.cpp
/// Calls are tied to their parents by their deadlines, and requests from outside are not taken for calls.
#include "turmericspar/policy/parent_finder.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

/// Lets a finder learn that requests of class "read" are made for running calls of class "visit".
void teach(parent_finder &finder)
{
    for (call_id id = 1000; id < 1030; ++id) {
        const millis deadline{static_cast<double>(id) * 100};
        finder.started(id, "visit", deadline);
        (void)finder.find("read", deadline, {0});
        finder.ended(id);
    }
}

TEST(parent_finder, ties_a_call_to_the_running_call_with_its_deadline)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {5000});
    finder.started(2, "visit", {5300});
    EXPECT_EQ(finder.find("read", millis{5299.5}, {0}), 2U);
}

TEST(parent_finder, of_two_running_calls_the_nearer_one_counts)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {5000});
    finder.started(2, "visit", {5001});
    EXPECT_EQ(finder.find("read", millis{4999.6}, {0}), 1U);
    EXPECT_EQ(finder.find("read", millis{5000.6}, {0}), 2U);
}

TEST(parent_finder, a_class_that_matched_by_chance_does_not_count_as_one_that_makes_calls)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "bystander", {7000});
    (void)finder.find("read", millis{7000}, {0});
    EXPECT_TRUE(finder.makesCalls("visit"));
    EXPECT_FALSE(finder.makesCalls("bystander"));
}

TEST(parent_finder, a_call_with_a_shorter_deadline_of_its_own_is_tied_to_its_kind)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "other", {4000});
    finder.started(2, "visit", {5000});
    EXPECT_EQ(finder.find("read", millis{3000}, {0}), 2U);
}

TEST(parent_finder, requests_from_outside_that_match_by_chance_are_no_calls)
{
    parent_finder finder;
    finder.started(1, "visit", {5000});
    for (int i = 0; i < 100; ++i) {
        // One in twenty has the deadline of a running call.
        EXPECT_EQ(finder.find("search", i % 20 == 0 ? millis{4999.8} : millis{9000.0 + i}, {0}), 0U);
    }
}

TEST(parent_finder, forgets_calls_that_ended)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {5000});
    finder.ended(1);
    EXPECT_EQ(finder.find("read", millis{5000}, {0}), 0U);
}

/// Two requests call the same service in turn, each call with a shorter deadline of its own: the answers tell them apart.
TEST(parent_finder, calls_in_turn_go_on_where_the_last_answer_went)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {200'000});
    finder.started(2, "visit", {200'100});
    millis now{1};
    const auto call = [&] {
        const auto parent = finder.find("read", now + millis{700}, now);
        finder.called(parent, "read");
        return parent;
    };
    ASSERT_EQ(call(), 1U);
    ASSERT_EQ(call(), 2U);
    for (int round = 0; round < 5; ++round) {
        now += millis{40};
        finder.answered(2, now);
        now += millis{0.4};
        EXPECT_EQ(call(), 2U) << round;
        now += millis{15};
        // Both are answered before either goes on: the first answered goes on first.
        finder.answered(1, now);
        now += millis{0.2};
        finder.answered(2, now);
        now += millis{0.2};
        EXPECT_EQ(call(), 1U) << round;
        now += millis{0.2};
        EXPECT_EQ(call(), 2U) << round;
    }
}

TEST(parent_finder, the_first_call_of_a_request_is_not_taken_for_one_of_another_that_waits)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {200'000});
    finder.called(finder.find("read", millis{700}, {0}), "read");
    finder.started(2, "visit", {200'100});
    EXPECT_EQ(finder.find("read", millis{720}, {20}), 2U);
}

} // namespace
