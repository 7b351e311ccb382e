/// @file announcement_order_test.cpp
/// Words of an upstream that are overtaken on their way never replace newer ones.
#include "turmericspar/upstream/announcement_order.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

TEST(announcement_order, a_word_that_was_overtaken_is_passed_over)
{
    announcement_order order;
    EXPECT_TRUE(order.announced({"a", 1000, 2}));
    EXPECT_FALSE(order.announced({"a", 1000, 1}));
    EXPECT_FALSE(order.announced({"a", 1000, 2}));
    EXPECT_TRUE(order.announced({"a", 1000, 3}));
}

TEST(announcement_order, a_late_word_of_the_life_before_is_passed_over)
{
    announcement_order order;
    EXPECT_TRUE(order.announced({"a", 1000, 9}));
    EXPECT_TRUE(order.announced({"b", 2000, 1}));
    EXPECT_FALSE(order.announced({"a", 1000, 10}));
    EXPECT_TRUE(order.announced({"b", 2000, 2}));
}

TEST(announcement_order, without_start_times_the_life_before_is_known_by_its_name)
{
    announcement_order order;
    EXPECT_TRUE(order.announced({"a", std::nullopt, 9}));
    EXPECT_TRUE(order.announced({"b", std::nullopt, 1}));
    EXPECT_FALSE(order.announced({"a", std::nullopt, 10}));
}

TEST(announcement_order, a_new_life_under_the_same_name_counts_anew)
{
    announcement_order order;
    EXPECT_TRUE(order.announced({"a", 1000, 9}));
    EXPECT_TRUE(order.announced({"a", 2000, 1}));
    EXPECT_FALSE(order.announced({"a", 1000, 10}));
}

TEST(announcement_order, what_left_does_not_come_back_by_a_late_word)
{
    announcement_order order;
    EXPECT_TRUE(order.announced({"a", 1000, 1}));
    EXPECT_TRUE(order.left({"a", std::nullopt, std::nullopt}));
    EXPECT_FALSE(order.announced({"a", 1000, 2}));
    EXPECT_TRUE(order.announced({"a", 2000, 1}));
}

TEST(announcement_order, a_late_farewell_of_the_life_before_does_not_concern_the_present_one)
{
    announcement_order order;
    EXPECT_TRUE(order.announced({"a", 1000, 1}));
    EXPECT_TRUE(order.announced({"b", 2000, 1}));
    EXPECT_FALSE(order.left({"a", std::nullopt, std::nullopt}));
    EXPECT_TRUE(order.announced({"b", 2000, 2}));
}

TEST(announcement_order, an_upstream_that_names_no_life_may_say_goodbye_and_come_back)
{
    announcement_order order;
    EXPECT_TRUE(order.announced({}));
    EXPECT_TRUE(order.left({}));
    EXPECT_TRUE(order.announced({}));
}

// Found by the bench: trouble-3 of the first site with seed 247510098713.
TEST(announcement_order, a_farewell_that_a_restarted_node_hears_first_outlives_late_announcements)
{
    announcement_order order;
    EXPECT_TRUE(order.left({"a", 1000, std::nullopt}));
    EXPECT_FALSE(order.announced({"a", 1000, 7}));
    EXPECT_TRUE(order.announced({"a", 2000, 1}));
}

} // namespace
