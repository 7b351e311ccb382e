/// @file watcher_choice_test.cpp
/// Choice of the nodes that watch the platform's store, in steady state and after a simultaneous start of all nodes.
#include "turmericspar/policy/watcher_choice.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iterator>

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

/// @return the watchers of a domain whose nodes all know each other and which of them lack the store.
std::set<node_id> watchersOf(int count, const std::set<node_id> &withoutStore)
{
    std::set<node_id> watching;
    for (int i = 0; i < count; ++i) {
        watcher_view view{name(i), {}, 0, false, {60'000}, withoutStore};
        for (int other = 0; other < count; ++other) {
            if (other != i) {
                view.live.push_back(name(other));
            }
        }
        if (isWatcher(view)) {
            watching.insert(name(i));
        }
    }
    return watching;
}

// Guards against a configuration that reaches no node of a failure domain because the store turns away those that watch it.
TEST(watcher_choice, the_role_moves_on_if_the_store_turns_the_watchers_away)
{
    for (const int count : {3, 6, 20}) {
        std::set<node_id> withoutStore;
        for (int turn = 0; turn < (count - 1) / 2; ++turn) {
            const auto watching = watchersOf(count, withoutStore);
            std::set<node_id> served;
            std::set_difference(watching.begin(), watching.end(), withoutStore.begin(), withoutStore.end(), std::inserter(served, served.end()));
            EXPECT_EQ(served.size(), watchers) << count << " nodes, turn " << turn;
            EXPECT_LE(watching.size(), 2 * watchers) << "the load on the store stays small";
            withoutStore.insert(served.begin(), served.end());
        }
    }
}

TEST(watcher_choice, the_first_watchers_keep_trying_so_that_the_return_of_the_store_is_noticed)
{
    std::set<node_id> all;
    for (int i = 0; i < 6; ++i) {
        all.insert(name(i));
    }
    EXPECT_EQ(watchersOf(6, all), watchersOf(6, {}));
}

TEST(store_access, is_lost_after_lasting_failures_and_found_again_with_the_first_success)
{
    store_access access;
    access.update(true, false, {0});
    access.update(true, false, {500});
    EXPECT_FALSE(access.lost()) << "a call may fail by chance";
    access.update(true, true, {600});
    access.update(true, false, {700});
    access.update(true, false, {1000});
    EXPECT_FALSE(access.lost());
    access.update(true, false, {1500});
    EXPECT_TRUE(access.lost());
    access.update(true, true, {1600});
    EXPECT_FALSE(access.lost());
}

TEST(store_access, a_node_that_gave_the_role_away_may_have_it_again_after_some_time)
{
    store_access access;
    access.update(true, false, {0});
    access.update(true, false, {1000});
    access.update(false, false, {1100});
    access.update(false, false, {9000});
    EXPECT_TRUE(access.lost());
    access.update(false, false, {12'000});
    EXPECT_FALSE(access.lost());
}

} // namespace
