/// @file statements_daemon_test.cpp
/// Real nodes between stand-ins of upstreams that state in their answers how many requests they take, or that they leave.
#include "fleet.h"
#include "operator_requests.h"
#include "standin_thread.h"
#include "turmericspar/base/http_call.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/caller/call_fields.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace turmericspar;
using nlohmann::json;

constexpr int firstPort = 28201;
constexpr millis patience{5000};
constexpr double statedLimit = 10;
constexpr std::size_t deskNode = 2;
const millis window{4000};
/// What an upstream may get in a window, at most: one and a half times what its limit allows, and five requests.
const double allowedInWindow = 1.5 * statedLimit * (window / oneSecond) + 5;

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

trace_event makeEvent(event_kind kind, const std::string &service, double factor)
{
    trace_event event;
    event.kind = kind;
    event.until = {600'000};
    event.service = service;
    event.factor = factor;
    return event;
}

/// Three nodes, with two upstreams of "parts" that state a limit and one of "desk" that states that it leaves.
class statements_daemon_test : public testing::Test
{
protected:
    statements_daemon_test()
    {
        plan.upstreams = {makeUpstream("parts", "east"), makeUpstream("parts", "west"), makeUpstream("desk", "west")};
        plan.events = {makeEvent(event_kind::state_limit, "parts", statedLimit), makeEvent(event_kind::state_leaving, "desk", 1)};
        const endpoint platform{"127.0.0.1", firstPort - 1};
        const auto daemon = std::filesystem::read_symlink("/proc/self/exe").parent_path().parent_path() / "bin/turmericspard";
        nodes = std::make_unique<fleet>(plan, fleet_options{daemon, policy_mode::full, firstPort, platform, {}, "info"});
        standins = std::make_unique<standin_thread>(plan, nodes->nodes(), platform);
        standins->start();
    }

    ~statements_daemon_test() override
    {
        nodes->stop();
        if (standins) {
            standins->stop();
        }
    }

    void startNodes()
    {
        ASSERT_TRUE(nodes->start());
        token = shared_key::read(nodes->keyFile())->operatorToken();
        ASSERT_TRUE(waitForAll(nodes->nodes(), token, [](const json &status) { return everyUpstreamIsReady(status, 3); }));
    }

    http_response call(std::size_t node, const std::string &service, const std::string &root)
    {
        http_request made;
        made.target = "/" + root;
        made.fields.add("Host", service);
        made.fields.add(field::requestId, root);
        made.fields.add(field::deadline, "1000");
        const auto answer = callAndWait(nodes->nodes()[node].callers, made, patience);
        return answer ? *answer : http_response{0, {}, {}};
    }

    /// Sends requests to a node, four at a time, for a given time.
    /// @return the answers that refused one
    std::vector<http_response> flood(std::size_t node, const std::string &service, millis span)
    {
        std::vector<http_response> refusals;
        std::mutex mutex;
        std::vector<std::thread> callers;
        const millis end = monotonicNow() + span;
        for (int caller = 0; caller < 4; ++caller) {
            callers.emplace_back([&, caller] {
                for (int n = 0; monotonicNow() < end; ++n) {
                    const auto answer = call(node, service, fmt::format("{}-{}-{}-{}", service, node, caller, n));
                    if (answer.status == 503) {
                        const std::lock_guard lock(mutex);
                        refusals.push_back(answer);
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                }
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
        return refusals;
    }

    /// @return the most runs of a service in any window that begins at a given time or later.
    static std::size_t mostInWindow(const std::vector<run_record> &records, const std::string &service, millis from)
    {
        std::vector<millis> starts;
        for (const auto &record : records) {
            if (record.service == service && record.at >= from) {
                starts.push_back(record.at);
            }
        }
        std::sort(starts.begin(), starts.end());
        std::size_t most = 0;
        for (std::size_t first = 0, next = 0; first < starts.size(); ++first) {
            while (next < starts.size() && starts[next] - starts[first] <= window) {
                ++next;
            }
            most = std::max(most, next - first);
        }
        return most;
    }

    trace plan;
    std::unique_ptr<fleet> nodes;
    std::unique_ptr<standin_thread> standins;
    std::string token;
};

// Guards against a limit that is passed on to the caller but not obeyed, also after the node beside the upstream was killed.
TEST_F(statements_daemon_test, upstreams_get_no_more_than_they_state_also_over_a_restart_of_their_node)
{
    startNodes();
    standins->startEvents();
    flood(0, "parts", {500});
    const millis from = monotonicNow();
    std::vector<http_response> refusals;
    std::thread caller([&] { refusals = flood(1, "parts", {7000}); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    nodes->killNode(0);
    nodes->startNode(0);
    caller.join();
    const auto records = std::exchange(standins, nullptr)->stop();
    EXPECT_LE(static_cast<double>(mostInWindow(records, "parts", from)), 2 * allowedInWindow);
    EXPECT_GE(static_cast<double>(mostInWindow(records, "parts", from)), 1.5 * statedLimit * (window / oneSecond)) << "the limit is made use of";
    ASSERT_FALSE(refusals.empty());
    for (const auto &refusal : refusals) {
        EXPECT_EQ(refusal.fields.get(field::outcome), "not-run");
        EXPECT_FALSE(refusal.fields.get(field::retryAfter).empty());
    }
}

// Guards against new work for an upstream whose answers say that it leaves while its announcements still say that it is ready.
TEST_F(statements_daemon_test, an_upstream_that_states_that_it_leaves_gets_nothing_more_also_from_a_node_that_starts_anew)
{
    startNodes();
    standins->startEvents();
    flood(1, "desk", {500});
    const millis left = monotonicNow();
    flood(1, "desk", {500});
    nodes->killNode(deskNode);
    nodes->startNode(deskNode);
    const auto refusals = flood(1, "desk", {4000});
    EXPECT_FALSE(refusals.empty());
    const auto records = std::exchange(standins, nullptr)->stop();
    EXPECT_EQ(mostInWindow(records, "desk", left), 0U);
    EXPECT_GE(mostInWindow(records, "desk", {0}), 1U);
}

} // namespace
