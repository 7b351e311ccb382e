/// @file watcher_choice_test.cpp
/// Choice of the nodes that watch the platform's store, in steady state and after a simultaneous start of all nodes.
#include "turmericspar/policy/watcher_choice.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

constexpr std::size_t watchers = 2;

node_id name(int index)
{
    return "10.0.0." + std::to_string(index) + ":1";
}

/// @return the number of watchers in a domain whose nodes all know each other.
std::size_t countWatchers(int count)
{
    std::size_t watching = 0;
    for (int i = 0; i < count; ++i) {
        watcher_view view{name(i), {}, 0, false, {60'000}};
        for (int other = 0; other < count; ++other) {
            if (other != i) {
                view.live.push_back(name(other));
            }
        }
        watching += isWatcher(view) ? 1 : 0;
    }
    return watching;
}

TEST(watcher_choice, a_domain_of_any_size_has_two_watchers)
{
    EXPECT_EQ(countWatchers(1), 1U);
    for (const int count : {2, 3, 20, 250}) {
        EXPECT_EQ(countWatchers(count), watchers) << count;
    }
}

/// Guards against a load peak at the store: all nodes start at once; each reads the store, and registers itself if it is a watcher.
TEST(watcher_choice, a_simultaneous_start_does_not_make_every_node_a_watcher)
{
    std::size_t registered = 0;
    for (int i = 0; i < 20; ++i) {
        registered += isWatcher({name(i), {}, registered, true, {5}}) ? 1 : 0;
    }
    EXPECT_EQ(registered, watchers);
}

TEST(watcher_choice, a_node_that_stays_alone_watches_despite_earlier_registrations)
{
    EXPECT_FALSE(isWatcher({name(1), {}, 2, true, {500}}));
    EXPECT_TRUE(isWatcher({name(1), {}, 2, true, {2000}}));
}

TEST(watcher_choice, a_node_partitioned_from_the_rest_of_its_domain_watches)
{
    EXPECT_TRUE(isWatcher({name(1), {}, 0, false, {60'000}}));
}

} // namespace
