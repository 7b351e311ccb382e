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
        (void)finder.find("read", deadline);
        finder.ended(id);
    }
}

TEST(parent_finder, ties_a_call_to_the_running_call_with_its_deadline)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {5000});
    finder.started(2, "visit", {5300});
    const auto found = finder.find("read", millis{5299.5});
    EXPECT_EQ(found.parent, 2U);
    EXPECT_TRUE(found.unique);
}

TEST(parent_finder, tells_when_two_running_calls_could_be_the_parent)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {5000});
    finder.started(2, "visit", {5000.5});
    const auto found = finder.find("read", millis{4999.8});
    EXPECT_NE(found.parent, 0U);
    EXPECT_FALSE(found.unique);
}

TEST(parent_finder, a_call_with_a_shorter_deadline_of_its_own_is_tied_to_its_kind)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "other", {4000});
    finder.started(2, "visit", {5000});
    const auto found = finder.find("read", millis{3000});
    EXPECT_EQ(found.parent, 0U);
    EXPECT_EQ(found.relative, 2U);
}

TEST(parent_finder, requests_from_outside_that_match_by_chance_are_no_calls)
{
    parent_finder finder;
    finder.started(1, "visit", {5000});
    for (int i = 0; i < 100; ++i) {
        // One in twenty has the deadline of a running call.
        const auto found = finder.find("search", i % 20 == 0 ? millis{4999.8} : millis{9000.0 + i});
        EXPECT_EQ(found.parent, 0U);
        EXPECT_EQ(found.relative, 0U);
    }
}

TEST(parent_finder, forgets_calls_that_ended)
{
    parent_finder finder;
    teach(finder);
    finder.started(1, "visit", {5000});
    finder.ended(1);
    const auto found = finder.find("read", millis{5000});
    EXPECT_EQ(found.parent, 0U);
    EXPECT_EQ(found.relative, 0U);
}

} // namespace
