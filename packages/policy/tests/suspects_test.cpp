/// @file suspects_test.cpp
/// A request that crashes upstreams is detected; requests that were in flight with it are not refused permanently.
#include "turmericspar/policy/suspects.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <tuple>
#include <vector>

namespace {

using namespace turmericspar;

constexpr request_digest poison = 1;
constexpr request_digest innocent = 2;

TEST(suspects, the_second_crash_convicts_the_only_suspect)
{
    suspects table({});
    table.recordBrokenCall(poison, 2, {0});
    table.recordBrokenCall(innocent, 2, {1});
    table.tick({100});
    EXPECT_EQ(table.level(poison, {1000}), suspicion_level::suspect);
    EXPECT_EQ(table.level(innocent, {1000}), suspicion_level::suspect);
    table.recordCompletedCall(innocent, {1100});
    EXPECT_EQ(table.level(innocent, {1100}), suspicion_level::none);
    table.recordBrokenCall(poison, 1, {200});
    table.recordBrokenCall(innocent, 1, {201});
    table.tick({300});
    EXPECT_EQ(table.level(poison, {1200}), suspicion_level::convicted);
    EXPECT_EQ(table.level(innocent, {1200}), suspicion_level::suspect);
}

TEST(suspects, a_single_broken_connection_among_many_is_no_crash)
{
    suspects table({});
    table.recordBrokenCall(innocent, 20, {0});
    table.tick({100});
    EXPECT_EQ(table.level(innocent, {1000}), suspicion_level::none);
}

TEST(suspects, convictions_expire)
{
    suspects table({});
    table.merge({poison, suspicion_level::convicted, {1000}}, {1000});
    EXPECT_EQ(table.level(poison, {2000}), suspicion_level::convicted);
    EXPECT_EQ(table.level(poison, {100'000}), suspicion_level::none);
}

TEST(suspects, the_later_entry_wins_in_any_order)
{
    suspects table({});
    table.merge({poison, suspicion_level::none, {2000}}, {2000});
    table.merge({poison, suspicion_level::suspect, {1000}}, {2001});
    EXPECT_EQ(table.level(poison, {2001}), suspicion_level::none);
}

// Guards against a request that crashes upstreams again: a node that started anew knows nothing of it, and its first suspicion is later.
TEST(suspects, a_later_suspicion_of_a_node_that_knows_less_does_not_replace_a_conviction)
{
    suspects table({});
    table.merge({poison, suspicion_level::convicted, {1000}}, {1000});
    table.merge({poison, suspicion_level::suspect, {5000}}, {5000});
    EXPECT_EQ(table.level(poison, {5000}), suspicion_level::convicted);
    const auto told = table.takeUpdates();
    ASSERT_EQ(told.size(), 1U) << "the other node must learn of the conviction";
    EXPECT_EQ(told[0].level, suspicion_level::convicted);
    EXPECT_EQ(told[0].at, millis{1000}) << "it must not become younger on the way";

    table.merge({poison, suspicion_level::none, {6000}}, {6000});
    EXPECT_EQ(table.level(poison, {6000}), suspicion_level::convicted) << "a run that ended elsewhere proves nothing";
    EXPECT_TRUE(table.takeUpdates().empty());
    table.merge({poison, suspicion_level::suspect, {70'000}}, {70'000});
    EXPECT_EQ(table.level(poison, {70'000}), suspicion_level::suspect) << "a conviction that has expired holds nothing back";
}

TEST(suspects, a_conviction_replaces_a_later_suspicion)
{
    suspects table({});
    table.merge({poison, suspicion_level::suspect, {5000}}, {5000});
    table.merge({poison, suspicion_level::convicted, {1000}}, {5000});
    EXPECT_EQ(table.level(poison, {5000}), suspicion_level::convicted);
    table.merge({innocent, suspicion_level::suspect, {65'000}}, {65'000});
    table.merge({innocent, suspicion_level::convicted, {1000}}, {65'000});
    EXPECT_EQ(table.level(innocent, {65'000}), suspicion_level::suspect) << "one that has expired does not";
}

// Guards against a node that starts anew and lets its upstream crash, since the others keep to themselves what they know.
TEST(suspects, what_holds_is_handed_to_a_node_that_starts)
{
    suspects table({});
    table.merge({poison, suspicion_level::convicted, {1000}}, {1000});
    table.merge({innocent, suspicion_level::suspect, {1000}}, {1000});
    suspects started({});
    for (const auto &entry : table.active({40'000})) {
        started.merge(entry, {40'000});
    }
    EXPECT_EQ(started.level(poison, {40'000}), suspicion_level::convicted);
    EXPECT_EQ(started.activeCount({40'000}), 1U) << "the suspicion has expired";
}

RC_GTEST_PROP(suspects, tables_that_exchange_what_holds_agree_on_convictions, ())
{
    const auto levels = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(0, 20'000), rc::gen::arbitrary<bool>()));
    const millis now{20'000};
    suspects left({});
    suspects right({});
    for (const auto &[digest, level, at, toLeft] : levels) {
        auto &table = toLeft ? left : right;
        table.merge({static_cast<request_digest>(digest), static_cast<suspicion_level>(level), millis{static_cast<double>(at)}}, now);
    }
    const auto fromLeft = left.active(now);
    for (const auto &entry : right.active(now)) {
        left.merge(entry, now);
    }
    for (const auto &entry : fromLeft) {
        right.merge(entry, now);
    }
    for (request_digest digest = 0; digest < 4; ++digest) {
        const bool leftConvicts = left.level(digest, now) == suspicion_level::convicted;
        RC_ASSERT(leftConvicts == (right.level(digest, now) == suspicion_level::convicted));
    }
}

} // namespace
