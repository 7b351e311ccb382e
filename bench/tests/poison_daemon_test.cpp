/// @file poison_daemon_test.cpp
/// Real nodes and a request that crashes the upstreams that run it, when the nodes that know of it end at the same moment.
#include "fleet.h"
#include "operator_requests.h"
#include "standin_thread.h"
#include "turmericspar/base/http_call.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/caller/call_fields.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace turmericspar;
using nlohmann::json;

constexpr int firstPort = 28601;
constexpr millis patience{5000};
constexpr std::size_t deskNode = 2;
/// Crashes after which a request must have been convicted, with some to spare for tries that meet an upstream that is not back yet.
constexpr int triesMax = 20;

trace_upstream makeUpstream(const std::string &service, const std::string &domain, millis serviceTime = {20})
{
    trace_upstream upstream;
    upstream.domain = domain;
    upstream.shape.service = service;
    upstream.shape.slots = 20;
    upstream.shape.connections = 50;
    upstream.shape.serviceTime = serviceTime;
    upstream.shape.spread = time_spread::constant;
    return upstream;
}

/// By default two nodes of "manuals" and one of "desk", where the request enters first.
class poison_daemon_test : public testing::Test
{
protected:
    void start(const std::vector<trace_event> &events)
    {
        plan.events = events;
        const endpoint platform{"127.0.0.1", firstPort - 1};
        const auto daemon = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "bin/turmericspard";
        nodes = std::make_unique<fleet>(plan, fleet_options{daemon, policy_mode::full, firstPort, platform, {}, "info", {}});
        standins = std::make_unique<standin_thread>(plan, nodes->nodes(), platform);
        standins->start();
        ASSERT_TRUE(nodes->start());
        token = shared_key::read(nodes->keyFile())->operatorToken();
        waitUntilReady();
    }

    ~poison_daemon_test() override
    {
        nodes->stop();
        if (standins) {
            standins->stop();
        }
    }

    void waitUntilReady()
    {
        ASSERT_TRUE(waitForAll(nodes->nodes(), token, [this](const json &status) { return everyUpstreamIsReady(status, plan.upstreams.size()); }));
    }

    void killAndStart(const std::vector<std::size_t> &indexes)
    {
        for (const auto index : indexes) {
            nodes->killNode(index);
        }
        for (const auto index : indexes) {
            nodes->startNode(index);
        }
        waitUntilReady();
    }

    /// Sends a request of "manuals" and waits for the answer.
    /// @param leaveAfter time after which the caller disconnects
    result<http_response> call(std::size_t node, const std::string &target, const std::string &id, millis leaveAfter = patience)
    {
        http_request made;
        made.target = target;
        made.fields.add("Host", "manuals");
        made.fields.add(field::requestId, id);
        made.fields.add(field::deadline, "4000");
        return callAndWait(nodes->nodes()[node].callers, made, leaveAfter);
    }

    /// @return why the request that crashes upstreams got no answer of one.
    std::string reasonAt(std::size_t node)
    {
        const auto answer = call(node, "/poison-same", "r");
        return answer ? answer->fields.get(field::reason) : answer.error().text();
    }

    /// Sends the request until it is refused.
    void convict()
    {
        for (int i = 0; i < triesMax && reasonAt(deskNode) != convicted; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
        }
        ASSERT_EQ(reasonAt(deskNode), convicted);
        waitUntilReady();
    }

    struct call_counts
    {
        int served = 0;
        int suspected = 0; ///< refused as crashing upstreams
    };

    /// Keeps four copies of a lookup in flight, sends requests that crash upstreams beside them, and goes on for a second.
    call_counts callBesidePoison(const std::vector<std::string> &crashing)
    {
        std::atomic<bool> over = false;
        std::vector<std::future<call_counts>> callers;
        for (int caller = 0; caller < 4; ++caller) {
            callers.push_back(std::async(std::launch::async, [&, caller] {
                call_counts counts;
                for (int turn = 0; !over; ++turn) {
                    const auto answer = call(deskNode, "/page", "page-" + std::to_string(caller) + "-" + std::to_string(turn));
                    counts.served += answer && answer->status == 200 ? 1 : 0;
                    counts.suspected += answer && answer->fields.get(field::reason) == convicted ? 1 : 0;
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                }
                return counts;
            }));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1000));
        for (std::size_t i = 0; i < crashing.size(); ++i) {
            call(deskNode, crashing[i], "crashing-" + std::to_string(i));
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1000));
        over = true;
        call_counts sum;
        for (auto &caller : callers) {
            const auto counts = caller.get();
            sum.served += counts.served;
            sum.suspected += counts.suspected;
        }
        return sum;
    }

    const std::string convicted{refusalNames.name(refusal_reason::suspect)};
    trace plan = [] {
        trace deployment;
        deployment.upstreams = {makeUpstream("manuals", "east"), makeUpstream("manuals", "west"), makeUpstream("desk", "west")};
        return deployment;
    }();
    std::unique_ptr<fleet> nodes;
    std::unique_ptr<standin_thread> standins;
    std::string token;
};

// Guards against a request that crashes upstreams again because every node that knew of it has ended: only the store can still know.
TEST_F(poison_daemon_test, it_stays_refused_when_all_nodes_end_at_once)
{
    start({});
    convict();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    killAndStart({0, 1, 2});
    for (std::size_t node = 0; node < nodes->nodes().size(); ++node) {
        EXPECT_EQ(reasonAt(node), convicted) << node;
    }
}

// Guards against the same while the store can't be reached: the node where the request was refused is of another service, and still knows.
TEST_F(poison_daemon_test, it_stays_refused_when_all_nodes_of_the_service_end_at_once_and_the_store_is_away)
{
    trace_event down;
    down.kind = event_kind::store_down;
    down.until = {600'000};
    start({down});
    standins->startEvents();
    convict();
    killAndStart({0, 1});
    for (std::size_t node = 0; node < nodes->nodes().size(); ++node) {
        EXPECT_EQ(reasonAt(node), convicted) << node;
    }
}

// Guards against a request that is refused as crashing upstreams because copies of it ran beside one that does (review/11).
TEST_F(poison_daemon_test, a_frequent_request_beside_it_is_not_refused)
{
    plan.upstreams = {makeUpstream("manuals", "east", {200}), makeUpstream("manuals", "west", {200}), makeUpstream("desk", "west")};
    start({});
    const auto counts = callBesidePoison({"/poison-same", "/poison-same", "/poison-same", "/poison-same"});
    EXPECT_EQ(counts.suspected, 0);
    EXPECT_GT(counts.served, 30);
}

// Guards against the same with a new request at each crash, beside lookups so slow that each crash breaks some.
TEST_F(poison_daemon_test, a_slow_request_beside_new_ones_that_crash_upstreams_is_not_refused)
{
    plan.upstreams = {makeUpstream("manuals", "east", {600}), makeUpstream("manuals", "west", {600}), makeUpstream("desk", "west")};
    start({});
    const auto counts = callBesidePoison({"/poison-1", "/poison-2", "/poison-3", "/poison-4", "/poison-5", "/poison-6"});
    EXPECT_EQ(counts.suspected, 0);
    EXPECT_GT(counts.served, 20);
}

// Guards against a conviction that operators can't end: it would come back with each node that reads its note, or that was not told.
TEST_F(poison_daemon_test, a_conviction_that_is_lifted_has_ended_at_all_nodes_and_those_that_start)
{
    start({});
    convict();
    const auto convictionsAt = [&](const node_addresses &node) { return requestFromOperators(node, token, "GET", "/v1/convictions"); };
    const auto listed = convictionsAt(nodes->nodes()[0]);
    ASSERT_TRUE(listed);
    ASSERT_EQ(listed->size(), 1U);
    EXPECT_EQ((*listed)[0]["level"], "convicted");
    EXPECT_GE((*listed)[0]["crashes"], 2);
    ASSERT_TRUE(requestFromOperators(nodes->nodes()[0], token, "POST", "/v1/convictions/lift", {{"digest", (*listed)[0]["digest"]}}));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto expectNone = [&] {
        for (const auto &node : nodes->nodes()) {
            const auto left = convictionsAt(node);
            ASSERT_TRUE(left);
            EXPECT_EQ(left->size(), 0U) << node.operators.text();
        }
    };
    expectNone();
    killAndStart({0, 1, 2});
    expectNone();
}

// Guards against requests that wait to be run alone after a crash, and are run though their callers have left.
TEST_F(poison_daemon_test, a_suspect_whose_caller_has_left_is_not_run)
{
    plan.upstreams = {makeUpstream("manuals", "east", {1200}), makeUpstream("desk", "west")};
    start({});
    const std::size_t desk = 1;
    auto inFlight = std::async(std::launch::async, [&] { return call(desk, "/slow", "in-flight"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    call(desk, "/poison-once", "poison");
    inFlight.get();
    std::this_thread::sleep_for(std::chrono::milliseconds(1000)); // until the upstream is back
    waitUntilReady();

    auto alone = std::async(std::launch::async, [&] { return call(desk, "/slow", "alone"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    EXPECT_FALSE(call(desk, "/slow", "left", {300}));
    const auto answer = alone.get();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const auto records = std::exchange(standins, nullptr)->stop();
    const auto ran = [&](const std::string &id) {
        return std::count_if(records.begin(), records.end(), [&](const run_record &record) { return record.root == id; });
    };
    EXPECT_EQ(ran("alone"), 1);
    EXPECT_EQ(ran("left"), 0);
}

} // namespace
