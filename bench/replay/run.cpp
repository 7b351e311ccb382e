#include "run.h"

#include "operator_requests.h"
#include "standin_thread.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/configuration.h"

#include <filesystem>
#include <fmt/format.h>

namespace turmericspar {

namespace {

using nlohmann::json;

/// Submits the trace's configuration and waits until it is in force on every node.
result<bool> configure(const trace &plan, const std::vector<node_addresses> &nodes, const std::string &token)
{
    const json submission{{"base", 0},
                          {"patch", mergePatchBetween(initialDocument(), plan.configuration)},
                          {"submission", "replay"},
                          {"author", "replay"},
                          {"reason", plan.name}};
    const auto accepted = requestFromOperators(nodes.front(), token, "POST", "/v1/config/patch", submission);
    if (!accepted) {
        return accepted.error();
    }
    const auto inForce = [](const json &status) { return status["version"].get<int>() >= 1; };
    if (!waitForAll(nodes, token, inForce)) {
        return failure{errc::timeout, "configure", "nodes", "version 1 is not in force everywhere"};
    }
    return true;
}

/// Stops, kills, restarts and pauses nodes as the trace says; runs on the load's loop.
class node_events
{
public:
    node_events(event_loop &loop, const trace &plan, fleet &nodes)
    {
        for (const auto &event : plan.events) {
            const auto index = indexOf(plan, event);
            switch (event.kind) {
            case event_kind::stop_node:
                m_timers.push_back(loop.after(event.at, [&nodes, index] { nodes.stopNode(index); }));
                m_timers.push_back(loop.after(event.until, [&nodes, index] { nodes.startNode(index); }));
                break;
            case event_kind::kill_node:
                m_timers.push_back(loop.after(event.at, [&nodes, index] { nodes.killNode(index); }));
                m_timers.push_back(loop.after(event.until, [&nodes, index] { nodes.startNode(index); }));
                break;
            case event_kind::pause_node:
                m_timers.push_back(loop.after(event.at, [&nodes, index] { nodes.pauseNode(index, true); }));
                m_timers.push_back(loop.after(event.until, [&nodes, index] { nodes.pauseNode(index, false); }));
                break;
            default:
                break;
            }
        }
    }

private:
    static std::size_t indexOf(const trace &plan, const trace_event &event)
    {
        int number = 0;
        for (std::size_t i = 0; i < plan.upstreams.size(); ++i) {
            if (plan.upstreams[i].shape.service == event.service && number++ == std::max(event.index, 0)) {
                return i;
            }
        }
        return 0;
    }
    std::vector<event_watcher_ptr> m_timers;
};

} // namespace

bool run_options::parsePolicy(const std::string &text)
{
    policyName = text;
    tunables.clear();
    std::size_t start = 0;
    bool first = true;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        const auto word = text.substr(start, end - start);
        if (first) {
            const auto named = policyModeNames.find(word);
            if (!named) {
                return false;
            }
            mode = *named;
            first = false;
        } else if (word.find('=') == std::string::npos) {
            return false;
        } else {
            tunables.push_back(word);
        }
        start = end + 1;
    }
    return true;
}

std::string defaultDaemonPath()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path() / "turmericspard";
}

result<run_history> runTrace(const trace &plan, const run_options &options)
{
    // Step 1. Start stand-ins and nodes
    const endpoint platform{"127.0.0.1", static_cast<std::uint16_t>(options.firstPort - 1)};
    fleet nodes(plan, {options.daemonPath, options.mode, options.firstPort, platform, options.tunables, options.logLevel});
    standin_thread standins(plan, nodes.nodes(), platform, nodes.relayRoutes());
    standins.start();
    const auto started = nodes.start();
    const auto key = shared_key::read(nodes.keyFile());
    const auto token = key ? key->operatorToken() : std::string();
    const bool settled = started && waitForAll(nodes.nodes(), token, [&](const json &status) { return everyUpstreamIsReady(status, plan.upstreams.size()); });
    const auto configured = settled ? configure(plan, nodes.nodes(), token) : result<bool>(failure{errc::timeout, "start", "nodes", {}});
    if (!configured) {
        standins.stop();
        return configured.error();
    }

    // Step 2. Run the load and the events
    run_history history;
    history.policy = options.policyName;
    event_loop loop;
    caller_load callers(loop, plan, nodes.nodes());
    node_events events(loop, plan, nodes);
    const double processorBefore = nodes.resources().first;
    const millis from = monotonicNow();
    standins.startEvents();
    callers.start([&] { loop.quit(); });
    loop.run();

    // Step 3. Collect the records
    const auto [processor, memory] = nodes.resources();
    history.seconds = (monotonicNow() - from) / oneSecond;
    history.processorSeconds = processor - processorBefore;
    history.memoryMb = memory;
    history.requests = callers.records();
    nodes.stop();
    history.runs = standins.stop();
    return history;
}

} // namespace turmericspar
