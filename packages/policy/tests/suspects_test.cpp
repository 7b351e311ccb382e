/// @file suspects_test.cpp
/// A request that crashes upstreams is detected; requests that were in flight with it are not refused permanently.
#include "turmericspar/policy/suspects.h"

#include <gtest/gtest.h>

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
    table.merge({poison, suspicion_level::convicted, {1000}});
    EXPECT_EQ(table.level(poison, {2000}), suspicion_level::convicted);
    EXPECT_EQ(table.level(poison, {100'000}), suspicion_level::none);
}

TEST(suspects, the_later_entry_wins_in_any_order)
{
    suspects table({});
    table.merge({poison, suspicion_level::none, {2000}});
    table.merge({poison, suspicion_level::suspect, {1000}});
    EXPECT_EQ(table.level(poison, {2001}), suspicion_level::none);
}

} // namespace
