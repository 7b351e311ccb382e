/// @file class_window_test.cpp
/// A surge of requests that each make many calls to a small service: few are let in, and those come through whole.
#include "turmericspar/policy/class_window.h"

#include <deque>
#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

/// Limit of the upstream whose requests make the calls.
constexpr int slots = 36;

/// Requests that arrive at a rate and whose calls need a service below that bears a number of them at once.
struct surge_below
{
    int whole = 0;
    int failed = 0;
    int refused = 0;
};

/// Runs a surge: each request lasts half a second and fails if too many run when it ends.
surge_below runSurge(const tunables &tuning, bool bounded, double perSecond, int bearable, millis span)
{
    class_window window(tuning);
    surge_below seen;
    std::deque<millis> running;
    const millis lasts{500};
    for (millis now{0}; now < span; now += millis{1000 / perSecond}) {
        while (!running.empty() && running.front() + lasts <= now) {
            const bool fails = static_cast<int>(running.size()) > bearable;
            window.ended(fails, running.front(), now, slots);
            running.pop_front();
            ++(fails ? seen.failed : seen.whole);
        }
        if (bounded && !window.hasRoom()) {
            ++seen.refused;
            continue;
        }
        window.started(now);
        running.push_back(now);
    }
    return seen;
}

/// Lets requests run one after the other that all fail below.
void failAll(class_window &window, int count, millis lasts, millis gap, int limit, millis &now)
{
    for (int i = 0; i < count; ++i) {
        window.started(now);
        window.ended(true, now, now + lasts, limit);
        now += gap;
    }
}

TEST(class_window, a_surge_whose_calls_have_no_room_below_is_let_in_as_far_as_it_comes_through)
{
    const tunables tuning;
    const auto without = runSurge(tuning, false, 100, 20, {20'000});
    const auto with = runSurge(tuning, true, 100, 20, {20'000});
    // 20 at once for half a second each: 40 a second come through at best, 800 in the run.
    EXPECT_LT(without.whole, 100);
    EXPECT_GT(with.whole, 600);
    EXPECT_LT(with.failed, with.whole / 4);
}

TEST(class_window, a_load_that_fits_is_not_bounded)
{
    const tunables tuning;
    const auto seen = runSurge(tuning, true, 30, 20, {20'000});
    EXPECT_EQ(seen.refused, 0);
    EXPECT_EQ(seen.failed, 0);
}

TEST(class_window, a_few_failures_among_many_answers_do_not_close_it)
{
    const tunables tuning;
    class_window window(tuning);
    millis now{0};
    for (int i = 0; i < 2000; ++i) {
        window.started(now);
        // One in a hundred fails, as where an upstream has errors of its own.
        window.ended(i % 100 == 99, now, now + millis{100}, slots);
        now += millis{10};
    }
    EXPECT_EQ(window.window(), 0);
}

TEST(class_window, never_closes_for_good)
{
    const tunables tuning;
    class_window window(tuning);
    millis now{0};
    failAll(window, 100, {100}, {1000}, slots, now);
    EXPECT_TRUE(window.hasRoom());
}

TEST(class_window, opens_when_the_services_below_have_room_again)
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

/// Answers a steady press of 200 requests a second that each take a round trip, until a window opens to a width.
/// @return the time that it took; the whole patience if it did not
millis timeToOpen(class_window &window, double width, int limit, millis roundTrip, millis start, millis patience)
{
    std::deque<millis> running;
    for (millis now = start; now < start + patience; now += millis{5}) {
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
    return patience;
}

TEST(class_window, closed_while_nothing_served_below_it_opens_within_two_seconds_of_their_return)
{
    const tunables tuning;
    constexpr int limit = 172;
    class_window window(tuning);
    millis now{0};
    failAll(window, 200, {10}, {20}, limit, now);
    ASSERT_GT(window.window(), 0);
    EXPECT_LT(timeToOpen(window, 40, limit, {400}, now, {10'000}), millis{2000});
}

TEST(class_window, keeps_a_share_of_the_limit_however_long_calls_fail)
{
    const tunables tuning;
    class_window wide(tuning);
    class_window narrow(tuning);
    millis now{0};
    failAll(wide, 200, {10}, {20}, 172, now);
    failAll(narrow, 200, {10}, {20}, 12, now);
    EXPECT_GE(wide.window(), 172 * tuning.windowLeastShare);
    EXPECT_EQ(narrow.window(), 1);
}

/// An upstream is so slow that a quarter of its requests pass their deadlines however few run: closing the window helps nobody.
TEST(class_window, failures_that_do_not_depend_on_the_load_do_not_keep_it_closed)
{
    const tunables tuning;
    class_window window(tuning);
    std::deque<millis> running;
    const millis lasts{900};
    int begun = 0;
    int ends = 0;
    for (millis now{0}; now < millis{40'000}; now += millis{15}) {
        while (!running.empty() && running.front() + lasts <= now) {
            window.ended(++ends % 4 == 0, running.front(), now, slots);
            running.pop_front();
        }
        if (window.hasRoom() && static_cast<int>(running.size()) < slots) {
            window.started(now);
            running.push_back(now);
            ++begun;
        }
    }
    // 36 slots for 0.9 s each are 40 a second; half of that is asked for.
    EXPECT_GT(begun, 800);
}

} // namespace
