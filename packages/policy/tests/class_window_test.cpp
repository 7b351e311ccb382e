/// @file class_window_test.cpp
/// Requests whose calls overload another service: the window admits only as many as can succeed.
#include "turmericspar/policy/class_window.h"

#include <deque>
#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

/// Concurrency limit of the upstream whose requests make the calls.
constexpr int slots = 36;

/// Outcomes of a simulated overload of a dependency.
struct overload_outcomes
{
    int succeeded = 0;
    int failed = 0;
    int refused = 0;
};

/// Simulates requests that arrive at a constant rate; each lasts half a second and fails if more than `capacity` run when it ends.
overload_outcomes runOverload(const tunables &tuning, bool limited, double perSecond, int capacity, millis span)
{
    class_window window(tuning);
    overload_outcomes outcomes;
    std::deque<millis> running;
    const millis lasts{500};
    for (millis now{0}; now < span; now += millis{1000 / perSecond}) {
        while (!running.empty() && running.front() + lasts <= now) {
            const bool fails = static_cast<int>(running.size()) > capacity;
            window.ended(fails, running.front(), now, slots);
            running.pop_front();
            ++(fails ? outcomes.failed : outcomes.succeeded);
        }
        if (limited && !window.hasRoom()) {
            ++outcomes.refused;
            continue;
        }
        window.started(now);
        running.push_back(now);
    }
    return outcomes;
}

/// Runs requests one after the other, all of which fail because of their calls.
void failAll(class_window &window, int count, millis lasts, millis gap, int limit, millis &now)
{
    for (int i = 0; i < count; ++i) {
        window.started(now);
        window.ended(true, now, now + lasts, limit);
        now += gap;
    }
}

TEST(class_window, admits_as_many_requests_as_the_dependency_can_serve)
{
    const tunables tuning;
    const auto without = runOverload(tuning, false, 100, 20, {20'000});
    const auto with = runOverload(tuning, true, 100, 20, {20'000});
    // 20 concurrent requests of half a second each: at most 40 per second can succeed, 800 in total.
    EXPECT_LT(without.succeeded, 100);
    EXPECT_GT(with.succeeded, 600);
    EXPECT_LT(with.failed, with.succeeded / 4);
}

TEST(class_window, does_not_limit_a_load_within_capacity)
{
    const tunables tuning;
    const auto outcomes = runOverload(tuning, true, 30, 20, {20'000});
    EXPECT_EQ(outcomes.refused, 0);
    EXPECT_EQ(outcomes.failed, 0);
}

TEST(class_window, a_low_failure_rate_does_not_activate_it)
{
    const tunables tuning;
    class_window window(tuning);
    millis now{0};
    for (int i = 0; i < 2000; ++i) {
        window.started(now);
        // One in a hundred fails, as when an upstream has errors unrelated to load.
        window.ended(i % 100 == 99, now, now + millis{100}, slots);
        now += millis{10};
    }
    EXPECT_EQ(window.window(), 0);
}

TEST(class_window, always_admits_at_least_one_request)
{
    const tunables tuning;
    class_window window(tuning);
    millis now{0};
    failAll(window, 100, {100}, {1000}, slots, now);
    EXPECT_TRUE(window.hasRoom());
}

TEST(class_window, widens_when_the_dependencies_recover)
{
    const tunables tuning;
    class_window window(tuning);
    millis now{0};
    failAll(window, 10, {20}, {100}, slots, now);
    EXPECT_GT(window.window(), 0);
    for (int i = 0; i < 1000 && window.window() > 0; ++i) {
        window.started(now);
        window.ended(false, now, now + millis{20}, slots);
        now += millis{100};
    }
    EXPECT_EQ(window.window(), 0);
}

/// Simulates 200 requests per second that each take `roundTrip` and succeed, until the window reaches a given width.
/// @return the time this took; `timeout` if it was not reached
millis timeToWiden(class_window &window, double width, int limit, millis roundTrip, millis start, millis timeout)
{
    std::deque<millis> running;
    for (millis now = start; now < start + timeout; now += millis{5}) {
        while (!running.empty() && running.front() + roundTrip <= now) {
            window.ended(false, running.front(), now, limit);
            running.pop_front();
        }
        if (window.hasRoom()) {
            window.started(now);
            running.push_back(now);
        }
        if (window.window() == 0 || window.window() >= width) {
            return now - start;
        }
    }
    return timeout;
}

TEST(class_window, widens_within_two_seconds_after_an_outage)
{
    const tunables tuning;
    constexpr int limit = 172;
    class_window window(tuning);
    millis now{0};
    failAll(window, 200, {10}, {20}, limit, now);
    ASSERT_GT(window.window(), 0);
    EXPECT_LT(timeToWiden(window, 40, limit, {400}, now, {10'000}), millis{2000});
}

TEST(class_window, keeps_a_minimum_share_of_the_limit)
{
    const tunables tuning;
    class_window wide(tuning);
    class_window narrow(tuning);
    millis now{0};
    failAll(wide, 200, {10}, {20}, 172, now);
    failAll(narrow, 200, {10}, {20}, 12, now);
    EXPECT_GE(wide.window(), 172 * tuning.windowMinShare);
    EXPECT_EQ(narrow.window(), 1);
}

/// An upstream is so slow that a quarter of its requests miss their deadlines at any load. Narrowing the window would not help.
TEST(class_window, failures_independent_of_load_do_not_keep_it_narrow)
{
    const tunables tuning;
    class_window window(tuning);
    std::deque<millis> running;
    const millis lasts{900};
    int started = 0;
    int ended = 0;
    for (millis now{0}; now < millis{40'000}; now += millis{15}) {
        while (!running.empty() && running.front() + lasts <= now) {
            window.ended(++ended % 4 == 0, running.front(), now, slots);
            running.pop_front();
        }
        if (window.hasRoom() && static_cast<int>(running.size()) < slots) {
            window.started(now);
            running.push_back(now);
            ++started;
        }
    }
    // 36 slots of 0.9 s each allow 40 requests per second; the test expects at least half of that.
    EXPECT_GT(started, 800);
}

} // namespace
