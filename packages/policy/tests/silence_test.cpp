/// @file silence_test.cpp
/// Silent connections are found, and slow upstreams are not taken for them.
#include "turmericspar/policy/silence.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

constexpr millis usual{200};

class silence_test : public testing::Test
{
protected:
    silence_test()
    {
        for (call_id id = 1; id <= 10; ++id) {
            watched.sent(id, {0}, {0});
            watched.ended(id, true, usual);
        }
    }
    tunables tuning;
    silence_watch watched{tuning};
    millis now = usual;
};

TEST_F(silence_test, finds_the_one_call_that_others_overtook)
{
    watched.sent(100, {0}, now);
    for (call_id id = 101; id <= 103; ++id) {
        watched.sent(id, {0}, now + millis{10});
        watched.ended(id, true, now + usual);
    }
    EXPECT_TRUE(watched.look(now + usual).silent.empty()) << "not before its patience has ended";
    EXPECT_EQ(watched.look(now + watched.patience() + millis{20}).silent, std::vector<call_id>{100});
    EXPECT_TRUE(watched.look(now + watched.patience() * 2).silent.empty()) << "each is told once";
}

TEST_F(silence_test, spares_a_call_that_may_not_be_repeated)
{
    const millis deadline = now + millis{5000};
    watched.sent(100, deadline, now);
    for (call_id id = 101; id <= 103; ++id) {
        watched.sent(id, {0}, now + millis{10});
        watched.ended(id, true, now + usual);
    }
    const auto before = watched.look(deadline - millis{21});
    EXPECT_TRUE(before.silent.empty());
    EXPECT_EQ(before.replaceBefore, now) << "but no further call shall go the same way";
    EXPECT_EQ(watched.look(deadline - millis{1}).replaceBefore, std::nullopt) << "which is told once";
    EXPECT_EQ(watched.look(deadline + millis{100}).silent, std::vector<call_id>{100});
}

TEST_F(silence_test, finds_the_silence_of_a_service_whose_calls_are_all_spared)
{
    for (call_id id = 100; id < 110; ++id) {
        watched.sent(id, now + millis{5000}, now + millis{static_cast<double>(id)});
    }
    const auto found = watched.look(now + watched.patience() + millis{150});
    EXPECT_TRUE(found.silent.empty());
    EXPECT_EQ(found.replaceBefore, now + millis{102}) << "the three oldest tell";
}

TEST_F(silence_test, gives_up_a_few_when_nothing_is_answered_and_all_once_those_are)
{
    for (call_id id = 100; id < 135; ++id) {
        watched.sent(id, {0}, now);
    }
    now += watched.patience() + millis{50};
    const auto few = watched.look(now).silent;
    EXPECT_EQ(few.size(), 3U);
    // They are sent again on fresh connections, and answered.
    for (call_id id = 200; id < 203; ++id) {
        watched.sent(id, {0}, now);
        watched.ended(id, true, now + usual);
    }
    EXPECT_EQ(watched.look(now + usual + millis{50}).silent.size(), 32U);
}

TEST_F(silence_test, does_not_give_up_calls_of_an_upstream_that_became_slow)
{
    // Ten times slower from one moment on: nothing overtakes, and only a few are given up in each patience.
    std::size_t given = 0;
    for (call_id id = 100; id < 135; ++id) {
        watched.sent(id, {0}, now);
    }
    for (millis at = now; at < now + usual * 10; at += millis{5}) {
        given += watched.look(at).silent.size();
    }
    EXPECT_LE(given, 12U);
}

RC_GTEST_PROP(silence, never_holds_a_call_that_nothing_overtook_while_answers_come, ())
{
    tunables tuning;
    silence_watch watched(tuning);
    millis now{1000};
    call_id next = 1;
    std::vector<call_id> line;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps) {
        now += millis{static_cast<double>(step % 10)};
        if (step < 50 || line.empty()) {
            line.push_back(next);
            watched.sent(next++, {0}, now);
        } else {
            // First sent, first answered
            watched.ended(line.front(), true, now);
            line.erase(line.begin());
        }
        if (now - millis{1000} < tuning.silenceLeast) {
            RC_ASSERT(watched.look(now).silent.empty());
        }
    }
}

} // namespace
