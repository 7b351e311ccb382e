/// @file suspect_gate_test.cpp
/// Suspects run one at a time, and those that must be told apart from all others run beside proven requests only.
#include "turmericspar/policy/suspect_gate.h"

#include <gtest/gtest.h>
#include <map>

namespace {

using namespace turmericspar;

class suspect_gate_test : public testing::Test
{
protected:
    std::vector<call_id> enter(call_id id, request_standing standing, millis now)
    {
        standings[id] = standing;
        gate.enter(id);
        return release(now);
    }

    std::vector<call_id> release(millis now, bool quiet = true)
    {
        return gate.release(now, {quiet, true}, [this](call_id id) { return standings.at(id); });
    }

    using ids = std::vector<call_id>;
    suspect_gate gate;
    std::map<call_id, request_standing> standings;
};

TEST_F(suspect_gate_test, suspects_run_one_at_a_time_beside_others)
{
    EXPECT_EQ(enter(1, request_standing::suspect, {0}), ids{1});
    EXPECT_EQ(enter(2, request_standing::suspect, {0}), ids{});
    EXPECT_EQ(enter(3, request_standing::unproven, {0}), ids{3});
    gate.ended(1, {10});
    EXPECT_EQ(release({10}), ids{2});
}

// Guards against a suspect that crashes the upstream once more while its last crash is under investigation.
TEST_F(suspect_gate_test, no_suspect_starts_while_it_is_not_decided_whether_the_upstream_has_crashed)
{
    const auto standingOf = [](call_id id) { return id == 1 ? request_standing::suspect : request_standing::isolated_suspect; };
    gate.enter(1);
    gate.enter(2);
    EXPECT_EQ(gate.release({0}, {true, false}, standingOf), ids{});
    EXPECT_EQ(gate.release({20}, {true, true}, standingOf), ids{2}) << "for which the other one waits";
}

// Guards against a request that crashes one upstream of each node when its conviction ends (review/13).
TEST_F(suspect_gate_test, an_isolated_suspect_is_tried_at_one_node_only)
{
    EXPECT_EQ(standingAt("a", "a", request_standing::isolated_suspect), request_standing::isolated_suspect);
    EXPECT_EQ(standingAt("a", "", request_standing::isolated_suspect), request_standing::isolated_suspect) << "this node knows no other";
    EXPECT_EQ(standingAt("a", "b", request_standing::isolated_suspect), request_standing::tried_elsewhere);
    EXPECT_EQ(standingAt("a", "b", request_standing::suspect), request_standing::suspect);
    EXPECT_EQ(enter(1, request_standing::tried_elsewhere, {0}), ids{1}) << "to be refused";
}

// Guards against copies of a frequent request that go on waiting for each other though it is no longer suspected.
TEST_F(suspect_gate_test, what_is_cleared_while_it_waits_is_released_at_once)
{
    enter(1, request_standing::suspect, {0});
    enter(2, request_standing::suspect, {0});
    enter(3, request_standing::suspect, {0});
    standings[2] = standings[3] = request_standing::proven;
    EXPECT_EQ(release({10}), (ids{2, 3}));
}

TEST_F(suspect_gate_test, an_isolated_suspect_waits_for_unproven_requests_and_holds_back_others)
{
    enter(1, request_standing::unproven, {0});
    EXPECT_EQ(enter(2, request_standing::isolated_suspect, {10}), ids{});
    EXPECT_EQ(enter(3, request_standing::unproven, {20}), ids{});
    EXPECT_EQ(enter(4, request_standing::suspect, {20}), ids{});
    gate.ended(1, {30});
    EXPECT_EQ(release({30}, false), ids{}) << "one that was given up may still run";
    EXPECT_EQ(release({40}), ids{2});
    EXPECT_EQ(release({50}), ids{});
    gate.ended(2, {60});
    EXPECT_EQ(release({60}), (ids{3, 4}));
}

// Guards against an upstream that serves nothing but suspects.
TEST_F(suspect_gate_test, unproven_requests_wait_for_half_of_the_time_at_most)
{
    constexpr int steps = 600;
    int served = 0;
    int isolatedLately = 0;
    ids running;
    for (int step = 0; step < steps; ++step) {
        const millis now{step * 100.0};
        for (const auto id : running) {
            gate.ended(id, now);
        }
        running = enter(2 * step + 1, request_standing::isolated_suspect, now);
        const auto more = enter(2 * step + 2, request_standing::unproven, now);
        running.insert(running.end(), more.begin(), more.end());
        for (const auto id : running) {
            served += id % 2 == 0 ? 1 : 0;
            isolatedLately += id % 2 == 1 && step > steps / 2 ? 1 : 0;
        }
    }
    EXPECT_GE(served, steps * 2 / 5);
    EXPECT_GE(isolatedLately, steps / 20) << "suspects are isolated again and again";
}

TEST_F(suspect_gate_test, an_isolated_suspect_that_runs_for_long_holds_back_others_for_two_seconds)
{
    enter(1, request_standing::isolated_suspect, {0});
    EXPECT_EQ(enter(2, request_standing::unproven, {1900}), ids{});
    EXPECT_EQ(release({2000}), ids{2});
}

TEST_F(suspect_gate_test, a_hold_ends_when_its_suspect_has_left)
{
    enter(1, request_standing::unproven, {0});
    enter(2, request_standing::isolated_suspect, {0});
    enter(3, request_standing::unproven, {0});
    EXPECT_TRUE(gate.remove(2));
    EXPECT_FALSE(gate.remove(2));
    EXPECT_EQ(release({20}), ids{3});
}

TEST_F(suspect_gate_test, what_waits_can_be_taken_out_and_convicted_requests_are_returned_to_be_refused)
{
    enter(1, request_standing::suspect, {0});
    enter(2, request_standing::suspect, {0});
    enter(3, request_standing::suspect, {0});
    standings[2] = request_standing::convicted;
    EXPECT_EQ(release({10}), ids{2});
    EXPECT_EQ(gate.removeAll(), ids{3});
    EXPECT_TRUE(gate.empty());
}

} // namespace
