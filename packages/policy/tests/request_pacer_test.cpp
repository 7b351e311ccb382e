/// @file request_pacer_test.cpp
/// The rate of requests to an upstream keeps to the limit that it states, over any changes of that limit.
#include "turmericspar/policy/request_pacer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace {

using namespace turmericspar;

/// Starts a call in each millisecond in which the pacer allows it.
std::vector<millis> startAllAllowed(request_pacer &pacer, millis from, millis until)
{
    std::vector<millis> starts;
    for (millis now = from; now < until; now += millis{1}) {
        if (pacer.timeToNextStart(now).count <= 0) {
            pacer.started(now);
            starts.push_back(now);
        }
    }
    return starts;
}

std::size_t mostIn(const std::vector<millis> &starts, millis window)
{
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < starts.size(); ++first) {
        while (next < starts.size() && starts[next] - starts[first] < window) {
            ++next;
        }
        most = std::max(most, next - first);
    }
    return most;
}

TEST(request_pacer, without_a_stated_limit_calls_are_not_paced)
{
    const tunables tuning;
    request_pacer pacer(tuning);
    pacer.stated(std::nullopt, {0}, {0});
    EXPECT_EQ(startAllAllowed(pacer, {0}, {1000}).size(), 1000U);
}

// Guards against bursts above one and a half times the limit and five requests, in any four seconds.
TEST(request_pacer, no_window_exceeds_the_stated_limit)
{
    const millis window{4000};
    for (const double limit : {0.0, 0.3, 1.0, 2.5, 8.5, 40.0, 250.0}) {
        const tunables tuning;
        request_pacer pacer(tuning);
        pacer.stated(limit, {0}, {0});
        const auto starts = startAllAllowed(pacer, {0}, {20'000});
        EXPECT_LE(static_cast<double>(mostIn(starts, window)), 1.5 * limit * 4 + 5) << limit;
        EXPECT_GE(static_cast<double>(starts.size()), 0.95 * limit * 20 - 1) << limit;
    }
}

TEST(request_pacer, unused_time_allows_only_a_short_burst)
{
    const tunables tuning;
    request_pacer pacer(tuning);
    pacer.stated(20.0, {0}, {0});
    const auto starts = startAllAllowed(pacer, {600'000}, {601'000});
    EXPECT_LE(starts.size(), 31U) << "a process that was suspended for minutes may not catch up";
}

TEST(request_pacer, an_upstream_that_takes_nothing_is_asked_now_and_then)
{
    const tunables tuning;
    request_pacer pacer(tuning);
    pacer.stated(0.0, {0}, {0});
    const auto starts = startAllAllowed(pacer, {0}, {20'000});
    EXPECT_GE(starts.size(), 5U);
    EXPECT_LE(mostIn(starts, {4000}), 5U);
}

TEST(request_pacer, a_lower_limit_counts_at_once)
{
    const tunables tuning;
    request_pacer pacer(tuning);
    pacer.stated(100.0, {0}, {50});
    pacer.stated(3.0, {0}, {60});
    EXPECT_EQ(pacer.limit(), 3.0);
}

// Guards against a limit that is lifted by an answer whose header was written before the limit began.
TEST(request_pacer, an_answer_that_was_overtaken_neither_raises_nor_lifts_the_limit)
{
    const tunables tuning;
    request_pacer pacer(tuning);
    pacer.stated(5.0, {100}, {200});
    pacer.stated(std::nullopt, {150}, {300});
    EXPECT_EQ(pacer.limit(), 5.0);
    pacer.stated(9.0, {150}, {310});
    EXPECT_EQ(pacer.limit(), 5.0);
    pacer.stated(9.0, {250}, {400});
    EXPECT_EQ(pacer.limit(), 9.0);
    pacer.stated(std::nullopt, {450}, {500});
    EXPECT_FALSE(pacer.limit());
}

TEST(request_pacer, a_limit_reported_by_a_node_holds_until_the_first_answer)
{
    const tunables tuning;
    request_pacer pacer(tuning);
    pacer.reported(2.0, {1000});
    EXPECT_EQ(pacer.limit(), 2.0);
    EXPECT_LE(startAllAllowed(pacer, {1000}, {3000}).size(), 5U);
    pacer.stated(std::nullopt, {1500}, {3000});
    EXPECT_FALSE(pacer.limit());
    pacer.reported(2.0, {3001});
    EXPECT_FALSE(pacer.limit()) << "what this node has read itself goes first";
}

TEST(request_pacer, a_new_run_of_the_upstream_has_no_limit_until_it_states_one)
{
    const tunables tuning;
    request_pacer pacer(tuning);
    pacer.stated(2.0, {100}, {200});
    pacer.reset();
    EXPECT_FALSE(pacer.limit());
    EXPECT_FALSE(pacer.hasAnswer());
    pacer.reported(3.0, {300});
    EXPECT_EQ(pacer.limit(), 3.0);
}

// Guards against a limit that changes, lapses and returns letting through a new burst each time.
RC_GTEST_PROP(request_pacer, starts_keep_to_the_sum_of_the_limits_in_force, ())
{
    const tunables tuning;
    request_pacer pacer(tuning);
    millis now{0};
    double allowed = 5;
    double most = 0;
    std::size_t paced = 0;
    const auto spans =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(-10, 60), rc::gen::inRange(1, 1500))));
    for (const auto &[limit, span] : spans) {
        const bool limited = limit >= 0;
        pacer.stated(limited ? std::optional<double>(limit) : std::nullopt, now, now);
        const millis until = now + millis{static_cast<double>(span)};
        const auto starts = startAllAllowed(pacer, now, until);
        if (limited) {
            most = std::max(most, static_cast<double>(limit));
            allowed += 1.5 * std::max(static_cast<double>(limit), tuning.paceMin) * ((until - now) / oneSecond);
            paced += starts.size();
        }
        now = until;
    }
    RC_ASSERT(static_cast<double>(paced) <= allowed + most * (tuning.paceBurst / oneSecond));
}

} // namespace
