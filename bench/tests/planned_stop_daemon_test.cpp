/// @file planned_stop_daemon_test.cpp
/// A planned stop of a real node whose upstream makes calls for the requests that it runs.
#include "fleet.h"
#include "operator_requests.h"
#include "standin_thread.h"
#include "turmericspar/base/http_call.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/caller/call_fields.h"

#include <filesystem>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <iterator>
#include <thread>

namespace {

using namespace turmericspar;
using nlohmann::json;

constexpr int firstPort = 28401;
constexpr millis patience{8000};

trace_upstream makeUpstream(const std::string &service, const std::string &domain, millis serviceTime)
{
    trace_upstream upstream;
    upstream.domain = domain;
    upstream.shape.service = service;
    upstream.shape.slots = 4;
    upstream.shape.connections = 20;
    upstream.shape.serviceTime = serviceTime;
    upstream.shape.spread = time_spread::constant;
    return upstream;
}

/// A request for the upstream of a node, sent from a thread of its own.
std::future<result<http_response>> sendAsync(const endpoint &callers, const std::string &service, const std::string &id)
{
    return std::async(std::launch::async, [=] {
        http_request made;
        made.target = "/x";
        made.fields.add("Host", service);
        made.fields.add(field::requestId, id);
        made.fields.add(field::deadline, "7000");
        return callAndWait(callers, made, patience);
    });
}

/// Two nodes, "booking" and "parts", of which the first is stopped while requests that entered there are at "parts", or wait there.
struct stop_at_entry
{
    explicit stop_at_entry(const trace &plan, millis shutdownWait)
        : nodes(plan,
                fleet_options{std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "bin/turmericspard",
                              policy_mode::full,
                              firstPort,
                              platform,
                              {},
                              "info",
                              shutdownWait})
        , standins(plan, nodes.nodes(), platform)
    {
        standins.start();
        EXPECT_TRUE(nodes.start());
        const auto token = shared_key::read(nodes.keyFile())->operatorToken();
        EXPECT_TRUE(waitForAll(nodes.nodes(), token, [](const json &status) { return everyUpstreamIsReady(status, 2); }));
    }

    ~stop_at_entry()
    {
        nodes.stop();
        standins.stop();
    }

    const endpoint platform{"127.0.0.1", firstPort - 1};
    fleet nodes;
    standin_thread standins;
};

/// Two nodes, "booking" and "parts", of which the upstream of "booking" makes calls of "parts" one after the other; the first node is stopped while
/// a request runs there.
/// @return the answer to that request, and what the first node logged
std::pair<result<http_response>, std::string> stopDuringRequest(const trace &plan, std::optional<millis> shutdownWait)
{
    const endpoint platform{"127.0.0.1", firstPort - 1};
    const auto daemon = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "bin/turmericspard";
    fleet nodes(plan, fleet_options{daemon, policy_mode::full, firstPort, platform, {}, "info", shutdownWait});
    standin_thread standins(plan, nodes.nodes(), platform);
    standins.start();
    EXPECT_TRUE(nodes.start());
    const auto token = shared_key::read(nodes.keyFile())->operatorToken();
    EXPECT_TRUE(waitForAll(nodes.nodes(), token, [](const json &status) { return everyUpstreamIsReady(status, 2); }));

    auto answer = sendAsync(nodes.nodes()[1].callers, "booking", "r");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    nodes.stopNode(0);
    auto outcome = answer.get();
    nodes.stop();
    standins.stop();
    std::ifstream log(nodes.logFile(0));
    return {std::move(outcome), std::string(std::istreambuf_iterator<char>(log), {})};
}

// Guards against a request in flight that fails because the stopping node refuses the calls that its upstream makes for it.
TEST(planned_stop, calls_made_for_requests_in_flight_are_served_late_in_the_stop)
{
    trace plan;
    plan.upstreams = {makeUpstream("booking", "east", {2000}), makeUpstream("parts", "west", {5})};
    plan.upstreams.front().shape.calls = {{"parts", 1}};
    const auto [outcome, log] = stopDuringRequest(plan, std::nullopt);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->status, 200) << outcome->fields.get(field::reason);
}

// Guards against calls that a stopping node takes though its process ends before they do: they were passed on and their connections closed.
TEST(planned_stop, a_call_that_would_outlast_the_process_is_refused_so_that_nothing_is_cut_off)
{
    constexpr int calls = 20;
    trace plan;
    plan.upstreams = {makeUpstream("booking", "east", {5}), makeUpstream("parts", "west", {300})};
    plan.upstreams.front().shape.calls = {{"parts", calls}};
    const auto [outcome, log] = stopDuringRequest(plan, millis{2000});
    ASSERT_TRUE(outcome) << "the request in flight was cut off";
    EXPECT_EQ(outcome->fields.get("X-Failed-Call"), refusalNames.name(refusal_reason::shutting_down));
    EXPECT_NE(log.find("event=shutdown_done overdue=false"), std::string::npos) << log;
}

// Guards against requests that wait for a slot at another node and whose connections are closed without an answer when the stopped process ends.
TEST(planned_stop, a_request_that_waits_at_another_node_is_refused_before_the_process_ends)
{
    trace plan;
    plan.upstreams = {makeUpstream("booking", "east", {5}), makeUpstream("parts", "west", {3500})};
    stop_at_entry setup(plan, {2000});
    std::vector<std::future<result<http_response>>> running;
    for (int i = 0; i < plan.upstreams.back().shape.slots; ++i) {
        running.push_back(sendAsync(setup.nodes.nodes()[1].callers, "parts", "running-" + std::to_string(i)));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto waiting = sendAsync(setup.nodes.nodes()[0].callers, "parts", "waiting");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    setup.nodes.stopNode(0);

    const auto refused = waiting.get();
    ASSERT_TRUE(refused) << "closed without an answer";
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->fields.get(field::outcome), outcomeNames.name(call_outcome::not_run));
    EXPECT_EQ(refused->fields.get(field::reason), refusalNames.name(refusal_reason::shutting_down));
    for (auto &call : running) {
        const auto answer = call.get();
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200) << "requests of other nodes are not affected";
    }
}

// Guards against a request that is broken off at its upstream when the waiting ones are given back.
TEST(planned_stop, a_request_at_work_is_answered_though_it_could_outlast_the_process)
{
    trace plan;
    plan.upstreams = {makeUpstream("booking", "east", {5}), makeUpstream("parts", "west", {2200})};
    stop_at_entry setup(plan, {2500});
    auto answer = sendAsync(setup.nodes.nodes()[0].callers, "parts", "at-work");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    setup.nodes.stopNode(0);
    const auto outcome = answer.get();
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->status, 200) << outcome->fields.get(field::reason);
}

// Guards against a connection that is closed without an answer because the work takes longer than the stop may last.
TEST(planned_stop, a_request_that_outlasts_the_process_is_told_that_its_outcome_is_unknown)
{
    trace plan;
    plan.upstreams = {makeUpstream("booking", "east", {5}), makeUpstream("parts", "west", {4000})};
    stop_at_entry setup(plan, {1500});
    auto answer = sendAsync(setup.nodes.nodes()[0].callers, "parts", "long");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    setup.nodes.stopNode(0);
    const auto outcome = answer.get();
    ASSERT_TRUE(outcome) << "closed without an answer";
    EXPECT_EQ(outcome->status, 502);
    EXPECT_EQ(outcome->fields.get(field::outcome), outcomeNames.name(call_outcome::unknown));
}

} // namespace
