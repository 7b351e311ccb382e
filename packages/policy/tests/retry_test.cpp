/// @file retry_test.cpp
/// Retries are bounded over the whole tree of calls, and calls that may run at most once are not repeated.
#include "turmericspar/policy/call_dispatcher.h"
#include "turmericspar/policy/child_call_tracker.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

RC_GTEST_PROP(child_call_tracker, grants_never_exceed_the_budget, ())
{
    child_call_tracker tracker;
    call_context root;
    root.retries = *rc::gen::inRange(0, 8);
    tracker.open(1, root);
    std::map<call_id, int> open;
    int used = 0;
    call_id next = 2;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const int step : steps) {
        if (step < 5 || open.empty()) {
            const auto child = tracker.addChild(1, next, {});
            RC_ASSERT(child.has_value());
            open[next++] = child->retries;
        } else {
            const auto [id, grant] = *open.begin();
            const int spent = std::min(step % 3, grant);
            used += spent;
            // A reported number of retries above the grant is limited to the grant.
            tracker.childEnded(1, id, step == 9 ? 100 : spent, false, {});
            used += step == 9 ? grant - spent : 0;
            open.erase(id);
        }
        int granted = 0;
        for (const auto &[id, grant] : open) {
            granted += grant;
        }
        RC_ASSERT(used + granted <= root.retries);
    }
    const auto summary = tracker.close(1, {});
    RC_ASSERT(summary.retriesUsed <= root.retries);
    RC_ASSERT(summary.unfinished.size() == open.size());
}

TEST(child_call_tracker, waiting_time_of_parallel_calls_is_counted_once)
{
    child_call_tracker tracker;
    tracker.open(1, {});
    tracker.addChild(1, 2, {10});
    tracker.addChild(1, 3, {15});
    tracker.childEnded(1, 2, 0, false, {20});
    tracker.childEnded(1, 3, 0, false, {40});
    tracker.addChild(1, 4, {50});
    EXPECT_EQ(tracker.close(1, {60}).waited, millis{40});
}

/// A dispatcher with three upstreams; the test provides the results of attempts.
class call_dispatcher_test : public testing::Test
{
protected:
    call_dispatcher_test()
    {
        for (const auto *node : {"a", "b", "c"}) {
            routes.update(node, "s", "d", true);
        }
        context.deadline = {1000};
        context.retries = 3;
    }

    std::vector<dispatch_action> submit()
    {
        std::vector<dispatch_action> actions;
        dispatcher.submit(1, "s", context, {0}, actions);
        return actions;
    }

    std::vector<dispatch_action> reply(int attempt, const attempt_result &result)
    {
        std::vector<dispatch_action> actions;
        dispatcher.replied(1, attempt, result, {10}, actions);
        return actions;
    }

    tunables tuning;
    load_balancer routes{tuning, "d", 1};
    call_dispatcher dispatcher{tuning, policy_mode::full, routes};
    call_context context;
};

TEST_F(call_dispatcher_test, retries_failed_calls_on_other_upstreams)
{
    auto actions = submit();
    std::set<node_id> nodes;
    int attempts = 0;
    while (actions.front().type == dispatch_action::action_type::forward) {
        nodes.insert(actions.front().node);
        ++attempts;
        attempt_result broken;
        broken.reason = refusal_reason::broken;
        actions = reply(attempts, broken);
    }
    EXPECT_EQ(attempts, 3); // one for each upstream; the budget would have allowed four
    EXPECT_EQ(nodes.size(), 3U);
    EXPECT_EQ(actions.front().outcome, call_outcome::unknown);
}

TEST_F(call_dispatcher_test, does_not_retry_calls_that_may_run_once)
{
    context.intent = call_intent::once;
    submit();
    const auto actions = reply(1, {});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].type, dispatch_action::action_type::finish);
    EXPECT_EQ(actions[0].outcome, call_outcome::unknown);
}

TEST_F(call_dispatcher_test, reroutes_calls_that_were_not_run_even_if_they_may_run_once)
{
    context.intent = call_intent::once;
    submit();
    attempt_result draining;
    draining.outcome = call_outcome::not_run;
    draining.reason = refusal_reason::draining;
    EXPECT_EQ(reply(1, draining).front().type, dispatch_action::action_type::forward);
}

TEST_F(call_dispatcher_test, a_request_that_one_node_alone_runs_is_sent_there_once)
{
    const auto first = submit();
    ASSERT_EQ(first.size(), 1U);
    const node_id other = first[0].node == "a" ? "b" : "a";
    attempt_result refused;
    refused.outcome = call_outcome::not_run;
    refused.reason = refusal_reason::suspect;
    refused.tryAt = other;
    std::vector<dispatch_action> actions;
    dispatcher.replied(1, 1, refused, {10}, actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].type, dispatch_action::action_type::forward);
    EXPECT_EQ(actions[0].node, other);

    // That node knows other members, and names one of them.
    refused.tryAt = "c";
    actions.clear();
    dispatcher.replied(1, 2, refused, {20}, actions);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].type, dispatch_action::action_type::finish);
    EXPECT_EQ(actions[0].outcome, call_outcome::not_run);
}

TEST(load_balancer, nodes_that_know_the_same_upstreams_agree_on_the_one_for_a_key)
{
    const tunables tuning;
    load_balancer left(tuning, "d", 1);
    load_balancer right(tuning, "other", 2);
    for (const auto *node : {"a", "b", "c", "d", "e"}) {
        left.update(node, "s", "d", true);
    }
    for (const auto *node : {"e", "c", "a", "d", "b"}) {
        right.update(node, "s", "d", true);
    }
    std::map<node_id, int> keys;
    for (std::uint64_t key = 0; key < 1000; ++key) {
        const auto node = left.nodeFor("s", key);
        EXPECT_EQ(node, right.nodeFor("s", key));
        ++keys[node];
        right.update(node == "a" ? "b" : "a", "s", "d", false);
        EXPECT_EQ(right.nodeFor("s", key), node) << "another node that goes takes no key along";
        right.update(node == "a" ? "b" : "a", "s", "d", true);
    }
    EXPECT_EQ(keys.size(), 5U);
    EXPECT_EQ(left.nodeFor("unknown", 1), "");
    EXPECT_TRUE(left.serves("a", "s"));
    EXPECT_FALSE(left.serves("a", "other"));
    EXPECT_FALSE(left.serves("", "s"));
}

TEST_F(call_dispatcher_test, withdrawn_calls_are_sent_nowhere_else)
{
    submit();
    const auto withdraw = [&] {
        std::vector<dispatch_action> actions;
        dispatcher.withdraw([](const call_context &) { return true; }, actions);
        return actions;
    };
    const auto actions = withdraw();
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions[0].type, dispatch_action::action_type::withdraw);
    EXPECT_TRUE(withdraw().empty()) << "once for each call";

    attempt_result refused;
    refused.outcome = call_outcome::not_run;
    refused.reason = refusal_reason::shutting_down;
    const auto end = reply(1, refused);
    ASSERT_EQ(end.size(), 1U);
    EXPECT_EQ(end[0].type, dispatch_action::action_type::finish);
    EXPECT_EQ(end[0].outcome, call_outcome::not_run);
}

TEST_F(call_dispatcher_test, a_withdrawn_call_whose_attempt_fails_is_not_retried)
{
    submit();
    std::vector<dispatch_action> actions;
    dispatcher.withdraw([](const call_context &) { return true; }, actions);
    const auto end = reply(1, {});
    ASSERT_EQ(end.size(), 1U);
    EXPECT_EQ(end[0].type, dispatch_action::action_type::finish);
    EXPECT_EQ(end[0].outcome, call_outcome::unknown);
}

TEST_F(call_dispatcher_test, does_not_reroute_new_requests_on_overload)
{
    submit();
    attempt_result refused;
    refused.outcome = call_outcome::not_run;
    refused.reason = refusal_reason::overload;
    const auto actions = reply(1, refused);
    EXPECT_EQ(actions.front().type, dispatch_action::action_type::finish);
    EXPECT_EQ(actions.front().outcome, call_outcome::not_run);
}

/// The rate limit of an upstream leaves no room for a call.
attempt_result refusedForRoom(millis roomIn)
{
    attempt_result refused;
    refused.outcome = call_outcome::not_run;
    refused.reason = refusal_reason::overload;
    refused.roomIn = roomIn;
    return refused;
}

// Guards against refusing what one limited upstream cannot take while others have room.
TEST_F(call_dispatcher_test, a_call_for_which_one_upstream_has_no_room_goes_to_another)
{
    const auto first = submit().front().node;
    const auto actions = reply(1, refusedForRoom({500}));
    ASSERT_EQ(actions.front().type, dispatch_action::action_type::forward);
    EXPECT_NE(actions.front().node, first);
    for (call_id next = 10; next < 60; ++next) {
        std::vector<dispatch_action> others;
        dispatcher.submit(next, "s", context, {20}, others);
        ASSERT_EQ(others.front().type, dispatch_action::action_type::forward);
        EXPECT_NE(others.front().node, first) << "it is not asked again before it may have room";
    }
}

// Guards against refusals that take a round trip to each upstream, or that do not say when to come back.
TEST_F(call_dispatcher_test, a_call_for_which_no_upstream_has_room_is_refused_at_once_with_the_time_to_room)
{
    submit();
    reply(1, refusedForRoom({700}));
    reply(2, refusedForRoom({300}));
    const auto actions = reply(3, refusedForRoom({500}));
    ASSERT_EQ(actions.front().type, dispatch_action::action_type::finish);
    EXPECT_EQ(actions.front().outcome, call_outcome::not_run);
    EXPECT_EQ(actions.front().reason, refusal_reason::overload);
    EXPECT_EQ(actions.front().retryIn.count, 300);
    std::vector<dispatch_action> next;
    dispatcher.submit(2, "s", context, {110}, next);
    ASSERT_EQ(next.front().type, dispatch_action::action_type::finish);
    EXPECT_EQ(next.front().retryIn.count, 200);
    next.clear();
    dispatcher.submit(3, "s", context, {320}, next);
    EXPECT_EQ(next.front().type, dispatch_action::action_type::forward) << "one of them may have room again";
}

TEST_F(call_dispatcher_test, more_important_calls_are_still_sent_where_less_important_ones_find_no_room)
{
    context.priority.rank = 2;
    submit();
    for (int attempt = 1; attempt <= 3; ++attempt) {
        reply(attempt, refusedForRoom({500}));
    }
    context.priority.rank = 0;
    std::vector<dispatch_action> actions;
    dispatcher.submit(2, "s", context, {20}, actions);
    EXPECT_EQ(actions.front().type, dispatch_action::action_type::forward);
    actions.clear();
    context.priority.rank = 2;
    context.depth = 1;
    dispatcher.submit(3, "s", context, {20}, actions);
    EXPECT_EQ(actions.front().type, dispatch_action::action_type::forward) << "calls of admitted requests go before new requests of their rank";
}

TEST_F(call_dispatcher_test, reports_not_run_only_if_no_attempt_may_have_run)
{
    submit();
    reply(1, {}); // unknown; retried
    attempt_result refused;
    refused.outcome = call_outcome::not_run;
    refused.reason = refusal_reason::overload;
    EXPECT_EQ(reply(2, refused).front().outcome, call_outcome::unknown);
}

TEST_F(call_dispatcher_test, does_not_retry_after_a_final_failure)
{
    submit();
    attempt_result failed;
    failed.outcome = call_outcome::ran;
    failed.serverError = true;
    failed.finalFailure = true;
    EXPECT_EQ(reply(1, failed).front().type, dispatch_action::action_type::finish);
}

TEST_F(call_dispatcher_test, cancels_the_attempt_at_the_deadline)
{
    submit();
    std::vector<dispatch_action> actions;
    dispatcher.tick({1000}, actions);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(actions[0].type, dispatch_action::action_type::cancel);
    EXPECT_EQ(actions[1].type, dispatch_action::action_type::finish);
    EXPECT_EQ(actions[1].outcome, call_outcome::unknown);
}

TEST_F(call_dispatcher_test, refuses_requests_below_the_reported_shed_level)
{
    submit();
    attempt_result overloaded;
    overloaded.outcome = call_outcome::ran;
    overloaded.level = 15.5;
    for (call_id call = 100; call < 120; ++call) {
        context.priority.tieBreaker = 0xffffffffU;
        std::vector<dispatch_action> actions;
        dispatcher.submit(call, "s", context, {10}, actions);
        dispatcher.replied(call, 1, overloaded, {10}, actions);
    }
    context.priority.tieBreaker = 0;
    std::vector<dispatch_action> actions;
    dispatcher.submit(500, "s", context, {10}, actions);
    EXPECT_EQ(actions.front().type, dispatch_action::action_type::finish);
    EXPECT_EQ(actions.front().reason, refusal_reason::overload);
    actions.clear();
    dispatcher.submit(501, "s", context, {5000}, actions);
    EXPECT_EQ(actions.front().type, dispatch_action::action_type::forward);
}

// Guards against an upstream of the own failure domain that is overfilled while those of other domains have room.
TEST(load_balancer, calls_leave_the_own_failure_domain_before_its_upstream_is_full)
{
    tunables tuning;
    tuning.crossDomainFactor = 2.5;
    const auto callsAway = [&](int pendingHere) {
        load_balancer routes(tuning, "here", 1);
        for (const std::string domain : {"here", "away"}) {
            routes.update(domain, "s", domain, true);
            response_sample sample;
            sample.latency = {200};
            sample.success = true;
            sample.limit = 20;
            sample.pending = domain == "here" ? pendingHere : 4;
            routes.sent(domain);
            routes.done(domain, true, sample, {0});
        }
        int away = 0;
        for (int i = 0; i < 100; ++i) {
            away += routes.choose("s", {}, {10}) == "away" ? 1 : 0;
        }
        return away;
    };
    EXPECT_EQ(callsAway(8), 0) << "there is room in the own domain";
    EXPECT_GE(callsAway(20), 50) << "the own domain is full";
}

/// At low load, an upstream joins whose limit is not known yet: it must get its share of calls.
TEST(load_balancer, a_new_upstream_gets_its_share_of_calls_at_low_load)
{
    constexpr int dispatchers = 100;
    constexpr int known = 4;
    int chosenNew = 0;
    for (int dispatcher = 0; dispatcher < dispatchers; ++dispatcher) {
        const tunables tuning;
        load_balancer routes(tuning, "d", static_cast<std::uint64_t>(dispatcher) + 1);
        for (int i = 0; i < known; ++i) {
            const auto node = "10.0.0." + std::to_string(i) + ":1";
            routes.update(node, "s", "d", true);
            routes.sent(node);
            routes.done(node, true, {{100}, true, false, 36, 2, false}, {0});
        }
        routes.update("10.0.0.9:1", "s", "d", true);
        chosenNew += routes.choose("s", {}, {10}) == "10.0.0.9:1" ? 1 : 0;
    }
    EXPECT_GE(chosenNew, dispatchers / (known + 1));
}

TEST(load_balancer, always_finds_the_only_untried_upstream)
{
    const tunables tuning;
    for (std::size_t count = 1; count <= 8; ++count) {
        load_balancer routes(tuning, "local", count);
        std::vector<node_id> tried;
        for (std::size_t i = 0; i < count; ++i) {
            routes.update(std::to_string(i), "s", "local", true);
            tried.push_back(std::to_string(i));
        }
        for (std::size_t left = 0; left < count; ++left) {
            auto avoid = tried;
            avoid.erase(avoid.begin() + static_cast<std::ptrdiff_t>(left));
            for (int call = 0; call < 50; ++call) {
                EXPECT_EQ(routes.choose("s", avoid, {1000}), std::to_string(left));
            }
        }
    }
}

TEST(load_balancer, unresponsive_nodes_get_no_new_calls_while_there_are_others)
{
    const tunables tuning;
    load_balancer routes(tuning, "local", 1);
    routes.update("away-1", "records", "away", true);
    routes.update("away-2", "records", "away", true);
    routes.update("there", "records", "elsewhere", true);
    routes.setUnresponsive("away-1", true);
    routes.setUnresponsive("away-2", true);
    for (int call = 0; call < 100; ++call) {
        EXPECT_EQ(routes.choose("records", {}, {1000}), "there");
    }
    routes.setUnresponsive("away-1", false);
    bool used = false;
    for (int call = 0; call < 100; ++call) {
        used = used || routes.choose("records", {}, {1000}) == "away-1";
    }
    EXPECT_TRUE(used);
    EXPECT_FALSE(routes.choose("records", {"there", "away-1"}, {1000}).empty()) << "an unresponsive node is chosen if there is no other";
}

RC_GTEST_PROP(load_balancer, an_upstream_that_fails_fast_does_not_attract_load, (std::uint32_t seed))
{
    const tunables tuning;
    load_balancer routes(tuning, "d", seed);
    for (const auto *node : {"good", "bad", "other"}) {
        routes.update(node, "s", "d", true);
    }
    int chosenBad = 0;
    for (int i = 0; i < 600; ++i) {
        const auto node = routes.choose("s", {}, {static_cast<double>(i)});
        const bool bad = node == "bad";
        chosenBad += bad && i >= 300 ? 1 : 0;
        routes.sent(node);
        response_sample sample;
        sample.latency = {bad ? 1.0 : 50.0};
        sample.success = !bad;
        sample.limit = 10;
        routes.done(node, true, sample, {static_cast<double>(i)});
    }
    RC_ASSERT(chosenBad < 60);
}

TEST(child_call_tracker, a_child_call_does_not_inherit_the_idempotency_key)
{
    child_call_tracker tracker;
    call_context root;
    root.idempotencyKey = "key";
    root.permit = 5;
    tracker.open(1, root);
    const auto child = tracker.addChild(1, 2, {});
    ASSERT_TRUE(child);
    EXPECT_TRUE(child->idempotencyKey.empty()) << "a second call to the same service would be treated as a duplicate";
    EXPECT_EQ(child->permit, 0U);
}

TEST(child_call_tracker, a_failed_call_abandons_its_child_calls_and_gets_no_more)
{
    child_call_tracker tracker;
    call_context root;
    root.retries = 4;
    tracker.open(1, root);
    ASSERT_TRUE(tracker.addChild(1, 2, {}));
    ASSERT_TRUE(tracker.addChild(1, 3, {}));
    tracker.childEnded(1, 2, 0, true, {5});
    EXPECT_EQ(tracker.markFailed(1), std::vector<call_id>{3});
    EXPECT_FALSE(tracker.addChild(1, 4, {6})) << "further calls for a failed request would waste resources";
    EXPECT_TRUE(tracker.close(1, {7}).finalFailure);
    EXPECT_TRUE(tracker.markFailed(1).empty()) << "a call that has ended has no running child calls";
}

} // namespace
