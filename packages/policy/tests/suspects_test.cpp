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

// Guards against a frequent request that is refused everywhere because one faulty upstream broke off its answers.
TEST(suspects, calls_that_a_living_upstream_breaks_off_are_no_crash)
{
    suspects table({});
    for (int turn = 0; turn < 5; ++turn) {
        const millis now{turn * 1000.0};
        table.recordBrokenCall(innocent, 1, now);
        EXPECT_FALSE(table.crashLikely(now));
        EXPECT_TRUE(table.crashLikely(now + millis{60}));
        table.tick(now + millis{60}, true);
        EXPECT_FALSE(table.needsTick());
        EXPECT_EQ(table.level(innocent, now + millis{60}), suspicion_level::none);
    }
    table.recordBrokenCall(poison, 1, {9000});
    table.tick({9100});
    EXPECT_EQ(table.level(poison, {9100}), suspicion_level::suspect);
}

TEST(suspects, a_single_broken_connection_among_many_is_no_crash)
{
    suspects table({});
    table.recordBrokenCall(innocent, 20, {0});
    table.tick({100});
    EXPECT_EQ(table.level(innocent, {1000}), suspicion_level::none);
}

TEST(suspects, a_request_is_no_longer_refused_when_its_conviction_expires_and_no_longer_suspected_when_it_has_run)
{
    suspects table({});
    table.merge({poison, suspicion_level::convicted, {1000}}, {1000});
    EXPECT_EQ(table.level(poison, {2000}), suspicion_level::convicted);
    EXPECT_EQ(table.level(poison, {60'999}), suspicion_level::convicted);
    EXPECT_EQ(table.level(poison, {61'000}), suspicion_level::suspect);
    EXPECT_EQ(table.level(poison, {100'000}), suspicion_level::suspect);
    table.recordCompletedCall(poison, {100'000});
    EXPECT_EQ(table.level(poison, {100'000}), suspicion_level::none);
    EXPECT_EQ(table.level(poison, {200'000}), suspicion_level::none);
}

TEST(suspects, a_request_that_nobody_sends_any_more_is_forgotten)
{
    suspects table({});
    table.merge({poison, suspicion_level::convicted, {1000}}, {1000});
    EXPECT_EQ(table.level(poison, {90'000'000}), suspicion_level::none);
}

// Guards against a request that crashes two more upstreams each time that its conviction has expired.
TEST(suspects, a_request_that_is_sent_for_a_day_crashes_few_upstreams)
{
    suspects table({});
    int crashes = 0;
    for (millis now{0}; now < millis{86'400'000}; now += millis{500}) {
        if (table.level(poison, now) != suspicion_level::convicted) {
            ++crashes;
            table.recordBrokenCall(poison, 1, now);
            table.tick(now + millis{100});
        }
    }
    // Two until it is convicted, and one each after a minute, ten minutes, and a hundred; the next comes after a thousand.
    EXPECT_EQ(crashes, 6);
}

TEST(suspects, more_convictions_outweigh_a_later_entry)
{
    suspects table({});
    table.merge({poison, suspicion_level::convicted, {1000}, 2}, {1000});
    table.merge({poison, suspicion_level::convicted, {50'000}, 1}, {50'000});
    EXPECT_EQ(table.level(poison, {300'000}), suspicion_level::convicted) << "refused for ten minutes";
    table.merge({poison, suspicion_level::none, {602'000}, 0}, {602'000});
    EXPECT_EQ(table.level(poison, {602'000}), suspicion_level::suspect) << "a run at a node that knew less proves nothing";
    table.merge({poison, suspicion_level::none, {603'000}, 2}, {603'000});
    EXPECT_EQ(table.level(poison, {603'000}), suspicion_level::none);
}

// Guards against convictions that are lost because many requests were in flight during crashes.
TEST(suspects, a_full_table_keeps_its_convictions)
{
    suspects_tunables tuning;
    tuning.entriesMax = 10;
    suspects table(tuning);
    table.merge({poison, suspicion_level::convicted, {1000}}, {1000});
    for (request_digest digest = 100; digest < 200; ++digest) {
        table.merge({digest, suspicion_level::suspect, {2000}}, {2000});
    }
    EXPECT_EQ(table.level(poison, {3000}), suspicion_level::convicted);
    EXPECT_LE(table.activeCount({3000}), 10U);
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
