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
    EXPECT_EQ(table.level(innocent, {1200}), suspicion_level::none) << "it has run to its end since it was first suspected";
}

// Guards against a frequent request that is convicted because two copies of it run beside the only suspect (review/11).
TEST(suspects, two_copies_of_a_request_beside_the_only_suspect_do_not_convict_it)
{
    suspects table({});
    table.recordBrokenCall(poison, 1, {0});
    table.tick({100});
    ASSERT_EQ(table.level(poison, {100}), suspicion_level::suspect);
    table.recordBrokenCall(poison, 3, {1000});
    table.recordBrokenCall(innocent, 2, {1001});
    table.recordBrokenCall(innocent, 1, {1002});
    table.tick({1100});
    EXPECT_EQ(table.level(innocent, {1100}), suspicion_level::suspect);
    EXPECT_NE(table.level(poison, {1100}), suspicion_level::none);
}

// Guards against a suspect that is convicted of a crash that a request caused of which nothing was known.
TEST(suspects, the_only_suspect_is_not_convicted_beside_a_request_of_which_nothing_is_known)
{
    for (const auto &[abandoned, running] : {std::pair{false, false}, std::pair{true, false}, std::pair{false, true}}) {
        suspects table({});
        table.recordBrokenCall(innocent, 1, {0});
        table.tick({100});
        if (abandoned) {
            table.recordAbandonedCall(poison, {900});
        }
        table.recordBrokenCall(innocent, 2, {1000});
        if (!abandoned && !running) {
            table.recordBrokenCall(poison, 1, {1000});
        }
        const auto report = table.tick({1100}, false, running ? std::vector{poison} : std::vector<request_digest>{});
        ASSERT_TRUE(report);
        EXPECT_EQ(report->candidates + report->beside, 2U);
        EXPECT_EQ(table.standing(innocent, {1100}), request_standing::isolated_suspect) << abandoned << running;
    }
}

// Guards against calls that an upstream broke off before it crashed and that are left out of what ran there.
TEST(suspects, a_call_that_broke_while_the_upstream_still_accepted_connections_may_have_caused_the_crash_after_it)
{
    suspects table({});
    table.recordBrokenCall(innocent, 1, {0});
    table.tick({100});
    table.recordBrokenCall(poison, 1, {900});
    table.tick({960}, true);
    table.recordBrokenCall(innocent, 1, {1000});
    table.tick({1100});
    EXPECT_EQ(table.level(innocent, {1100}), suspicion_level::suspect);
    EXPECT_EQ(table.level(poison, {1100}), suspicion_level::suspect);
}

// Guards against a request that is cleared by an upstream that refused or failed it without running it.
TEST(suspects, only_an_answer_to_a_run_shows_that_a_request_completes)
{
    const std::vector<std::pair<run_end, run_evidence>> cases{
        {{true, true, false, false, 200}, run_evidence::completed},
        {{true, true, false, false, 404}, run_evidence::completed},
        {{true, true, false, false, 500}, run_evidence::nothing},
        {{true, true, false, false, 504}, run_evidence::nothing},
        {{true, false, true, false, 503}, run_evidence::nothing},
        {{true, false, false, true, 0}, run_evidence::broke},
        {{true, false, false, false, 0}, run_evidence::abandoned},
        {{false, false, false, true, 0}, run_evidence::nothing},
        {{false, false, false, false, 0}, run_evidence::nothing},
    };
    for (const auto &[end, expected] : cases) {
        EXPECT_EQ(evidenceOf(end), expected) << end.sent << end.ran << end.refused << end.broken << end.status;
    }
}

// Guards against a request of which many copies ran at one crash, and that counts as having been at several.
TEST(suspects, copies_that_break_late_count_as_one_crash)
{
    suspects table({});
    table.recordBrokenCall(innocent, 3, {1000}, millis{900});
    table.recordBrokenCall(poison, 2, {1000}, millis{900});
    table.tick({1100}, false, {innocent});
    table.recordBrokenCall(innocent, 1, {1200}, millis{950});
    EXPECT_EQ(table.standing(innocent, {1200}), request_standing::suspect);
}

// Guards against a crash that counts twice, since the connection of one of its calls was seen to break after the others.
TEST(suspects, a_call_that_breaks_after_the_crash_that_broke_it_is_no_further_crash)
{
    suspects table({});
    table.recordBrokenCall(poison, 2, {1000}, millis{900});
    table.tick({1100}, false, {innocent});
    table.recordBrokenCall(innocent, 1, {1200}, millis{950});
    EXPECT_EQ(table.level(innocent, {1200}), suspicion_level::suspect) << "it ran there";
    table.recordBrokenCall(poison, 2, {2000}, millis{1900});
    table.tick({2100}, false, {innocent});
    table.recordBrokenCall(innocent, 1, {2200}, millis{1950});
    table.tick({2300});
    EXPECT_EQ(table.level(innocent, {2300}), suspicion_level::suspect);
    EXPECT_EQ(table.level(poison, {2300}), suspicion_level::suspect);
}

// Guards against a request that is served all the time and is suspected, and convicted, for each new request that crashes upstreams beside it.
TEST(suspects, a_request_that_completes_is_not_suspected_for_what_others_cause)
{
    suspects table({});
    table.recordCompletedCall(innocent, {0});
    for (request_digest next = 100; next < 110; ++next) {
        const millis now{static_cast<double>(next) * 100};
        table.recordBrokenCall(innocent, 2, now);
        table.recordBrokenCall(next, 1, now);
        table.tick(now + millis{60});
        EXPECT_EQ(table.level(innocent, now + millis{60}), suspicion_level::none);
        EXPECT_EQ(table.level(next, now + millis{60}), suspicion_level::suspect);
    }
    // Beside it alone, the second crash proves who caused it.
    table.recordBrokenCall(innocent, 2, {12'000});
    table.recordBrokenCall(109, 1, {12'000});
    table.tick({12'100});
    EXPECT_EQ(table.level(109, {12'100}), suspicion_level::convicted);
}

// Guards against a request that is refused after crashes with other causes which came so fast that no run of it could end in between.
TEST(suspects, a_request_that_has_completed_lately_is_not_blamed_for_crashes_at_which_it_ran_alone)
{
    suspects table({});
    table.recordCompletedCall(innocent, {0});
    for (millis now{1000}; now < millis{30'000}; now += millis{1000}) {
        table.recordBrokenCall(innocent, 1, now);
        table.tick(now + millis{100});
        EXPECT_EQ(table.standing(innocent, now + millis{100}), request_standing::proven);
    }
}

// Guards against a request that was served for long, begins to crash upstreams, and is never suspected.
TEST(suspects, a_request_that_begins_to_crash_upstreams_is_convicted_after_a_minute)
{
    suspects table({});
    table.recordCompletedCall(poison, {0});
    for (millis now{1000}; now < millis{62'000}; now += millis{1000}) {
        table.recordBrokenCall(poison, 1, now);
        table.tick(now + millis{100});
    }
    EXPECT_EQ(table.level(poison, {62'000}), suspicion_level::convicted);
}

// Guards against a request that comes so seldom that its suspicion has lapsed each time, and is never refused.
TEST(suspects, a_request_that_comes_each_minute_is_convicted_at_its_second_crash)
{
    suspects table({});
    for (const millis now : {millis{0}, millis{60'000}}) {
        table.recordBrokenCall(poison, 1, now);
        table.tick(now + millis{100});
    }
    EXPECT_EQ(table.level(poison, {60'100}), suspicion_level::convicted);
}

TEST(suspects, from_its_second_crash_on_a_request_is_isolated_until_it_completes)
{
    suspects table({});
    for (const millis now : {millis{0}, millis{40'000}}) {
        table.recordBrokenCall(poison, 2, now);
        table.recordBrokenCall(static_cast<request_digest>(now.count) + 50, 1, now);
        table.tick(now + millis{100});
    }
    EXPECT_EQ(table.standing(poison, {200'000}), request_standing::isolated_suspect);
    table.recordCompletedCall(poison, {200'000});
    EXPECT_EQ(table.standing(poison, {200'000}), request_standing::proven);
    EXPECT_EQ(table.standing(poison, {300'000}), request_standing::unproven);
}

// Guards against a wrong conviction that outlasts the evidence against it.
TEST(suspects, a_conviction_ends_when_a_run_completes_after_the_first_crash)
{
    suspects table({});
    table.recordCompletedCall(innocent, {2000});
    const suspicion wrong{innocent, suspicion_level::convicted, {3000}, 1, 2, {1000}};
    table.merge(wrong, {3000});
    EXPECT_EQ(table.level(innocent, {3000}), suspicion_level::none);
    const auto told = table.takeUpdates();
    ASSERT_EQ(told.size(), 1U) << "the node that convicted it must learn of the run";
    suspects convicting({});
    convicting.merge(wrong, {3000});
    ASSERT_EQ(convicting.level(innocent, {3000}), suspicion_level::convicted);
    convicting.merge(told[0], {3001});
    EXPECT_EQ(convicting.level(innocent, {3001}), suspicion_level::none);

    convicting.merge({poison, suspicion_level::convicted, {3000}, 1, 2, {1000}}, {3000});
    convicting.recordCompletedCall(poison, {4000});
    EXPECT_EQ(convicting.level(poison, {4000}), suspicion_level::none) << "a run that was still on its way";
}

TEST(suspects, a_run_that_completed_before_the_first_crash_does_not_contradict_a_conviction)
{
    suspects table({});
    table.recordCompletedCall(poison, {500});
    table.merge({poison, suspicion_level::convicted, {3000}, 1, 2, {1000}}, {3000});
    EXPECT_EQ(table.level(poison, {3000}), suspicion_level::convicted);
}

TEST(suspects, an_operator_can_lift_a_conviction)
{
    suspects table({});
    EXPECT_FALSE(table.lift(innocent, {0}));
    table.merge({innocent, suspicion_level::convicted, {0}, 1}, {0});
    EXPECT_TRUE(table.lift(innocent, {1000}));
    EXPECT_EQ(table.level(innocent, {1000}), suspicion_level::none);
    EXPECT_EQ(table.takeUpdates().size(), 1U);
}

TEST(suspects, crashes_that_different_nodes_saw_are_counted_once_and_not_before_a_completed_run)
{
    suspects table({});
    table.merge({innocent, suspicion_level::suspect, {2000}, 0, 2, {1000}}, {2000});
    EXPECT_EQ(table.standing(innocent, {2000}), request_standing::isolated_suspect);
    table.merge({innocent, suspicion_level::suspect, {2500}, 0, 1, {2500}}, {2500});
    EXPECT_EQ(table.standing(innocent, {2500}), request_standing::isolated_suspect) << "a node that knows less does not make it fewer";
    table.merge({innocent, suspicion_level::none, {3000}}, {3000});
    table.merge({innocent, suspicion_level::suspect, {3500}, 0, 3, {1000}}, {3500});
    EXPECT_EQ(table.standing(innocent, {3500}), request_standing::suspect) << "two of the three were before the run";
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
