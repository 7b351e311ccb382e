/// @file poison_daemon_test.cpp
/// Real nodes and a request that crashes the upstreams that run it, when the nodes that know of it end at the same moment.
#include "fleet.h"
#include "operator_requests.h"
#include "standin_thread.h"
#include "turmericspar/base/http_call.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/caller/call_fields.h"

#include <filesystem>
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

trace_upstream makeUpstream(const std::string &service, const std::string &domain)
{
    trace_upstream upstream;
    upstream.domain = domain;
    upstream.shape.service = service;
    upstream.shape.slots = 20;
    upstream.shape.connections = 50;
    upstream.shape.serviceTime = {20};
    return upstream;
}

/// Two nodes of "manuals" and one of "desk", where the request enters first.
class poison_daemon_test : public testing::Test
{
protected:
    void start(const std::vector<trace_event> &events)
    {
        plan.upstreams = {makeUpstream("manuals", "east"), makeUpstream("manuals", "west"), makeUpstream("desk", "west")};
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
        standins->stop();
    }

    void waitUntilReady()
    {
        ASSERT_TRUE(waitForAll(nodes->nodes(), token, [](const json &status) { return everyUpstreamIsReady(status, 3); }));
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

    /// @return why a request got no answer of an upstream.
    std::string reasonAt(std::size_t node)
    {
        http_request made;
        made.target = "/poison-same";
        made.fields.add("Host", "manuals");
        made.fields.add(field::requestId, "r");
        made.fields.add(field::deadline, "2000");
        const auto answer = callAndWait(nodes->nodes()[node].callers, made, patience);
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

    const std::string convicted{refusalNames.name(refusal_reason::suspect)};
    trace plan;
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

} // namespace
