#include "run.h"

#include "store_standin.h"
#include "turmericspar/base/http_call.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/configuration.h"

#include <atomic>
#include <fmt/format.h>
#include <iostream>
#include <thread>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr millis askTimeout{2000};
constexpr millis settleTimeout{30'000};
constexpr auto askPause = std::chrono::milliseconds(100);
constexpr millis eventTick{1};

/// The stand-ins of a run, on a thread and a loop of their own.
class standin_thread
{
public:
    standin_thread(const trace &plan, const std::vector<node_addresses> &nodes, endpoint platform)
        : m_plan(plan), m_nodes(nodes), m_platform(std::move(platform))
    {
    }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    /// Lets the events of the trace happen from now on.
    void startEvents() { m_eventsFrom = monotonicNow().count; }

    /// Ends the thread; the records may be read then.
    std::vector<run_record> stop()
    {
        m_stop = true;
        m_thread.join();
        return std::move(m_records);
    }

private:
    void run()
    {
        event_loop loop;
        store_standin platform(loop);
        if (!platform.listen(m_platform)) {
            std::cerr << "replay: the platform's stand-in can't listen on " << m_platform.text() << '\n';
        }
        std::vector<std::unique_ptr<upstream_standin>> upstreams;
        for (std::size_t i = 0; i < m_plan.upstreams.size(); ++i) {
            upstreams.push_back(
                std::make_unique<upstream_standin>(loop, m_plan.upstreams[i].shape, m_nodes[i].upstream, m_nodes[i].callers, m_plan.seed * 7919 + i));
            upstreams.back()->start();
        }
        const auto ticker = loop.every(eventTick, [&] {
            if (m_stop) {
                loop.quit();
            }
            happen(platform, upstreams);
        });
        loop.run();
        for (auto &upstream : upstreams) {
            auto &records = upstream->records();
            m_records.insert(m_records.end(), records.begin(), records.end());
        }
    }

    /// Begins and ends the events that are due.
    void happen(store_standin &platform, std::vector<std::unique_ptr<upstream_standin>> &upstreams)
    {
        if (m_eventsFrom < 0) {
            return;
        }
        const millis now = monotonicNow() - millis{m_eventsFrom};
        if (m_state.empty()) {
            for (auto &upstream : upstreams) {
                upstream->beginCold();
            }
            m_state.resize(m_plan.events.size() + 1);
        }
        for (std::size_t i = 0; i < m_plan.events.size(); ++i) {
            const auto &event = m_plan.events[i];
            if (m_state[i] == 0 && now >= event.at) {
                m_state[i] = 1;
                apply(event, true, platform, upstreams);
            } else if (m_state[i] == 1 && event.until > event.at && now >= event.until) {
                m_state[i] = 2;
                apply(event, false, platform, upstreams);
            }
        }
    }

    void apply(const trace_event &event, bool begins, store_standin &platform, std::vector<std::unique_ptr<upstream_standin>> &upstreams)
    {
        switch (event.kind) {
        case event_kind::store_down:
            platform.faults().down = begins;
            return;
        case event_kind::store_slow:
            platform.faults().delay = {begins ? event.factor : 0};
            return;
        case event_kind::lose_answers:
            platform.faults().loseAnswers = begins ? static_cast<int>(event.factor) : 0;
            return;
        default:
            break;
        }
        int number = 0;
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            if (m_plan.upstreams[i].shape.service != event.service) {
                continue;
            }
            if (event.index < 0 || event.index == number) {
                applyTo(event, begins, *upstreams[i]);
            }
            ++number;
        }
    }

    static void applyTo(const trace_event &event, bool begins, upstream_standin &upstream)
    {
        switch (event.kind) {
        case event_kind::slow:
            upstream.setSlowness(begins ? event.factor : 1);
            break;
        case event_kind::failing:
            upstream.setFailing(begins);
            break;
        case event_kind::crash:
            if (begins) {
                upstream.crash(event.until - event.at);
            }
            break;
        case event_kind::drain:
            upstream.setDraining(begins);
            break;
        case event_kind::undrain:
            upstream.setDraining(false);
            break;
        default:
            break;
        }
    }

    const trace &m_plan;
    const std::vector<node_addresses> &m_nodes;
    endpoint m_platform;
    std::thread m_thread;
    std::atomic<bool> m_stop = false;
    std::atomic<double> m_eventsFrom = -1;
    std::vector<int> m_state;
    std::vector<run_record> m_records;
};

/// Asks a node's operator interface.
result<json> ask(const node_addresses &node, const std::string &token, const std::string &method, const std::string &target, const json &body = {})
{
    http_request request;
    request.method = method;
    request.target = target;
    request.fields.add("Authorization", "Bearer " + token);
    request.body = body.is_null() ? "" : body.dump();
    const auto response = callAndWait(node.operators, request, askTimeout);
    if (!response) {
        return response.error();
    }
    const auto parsed = json::parse(response->body, nullptr, false);
    if (response->status != 200 || parsed.is_discarded()) {
        return failure{errc::rejected, target, node.name, response->body};
    }
    return parsed;
}

/// Waits until a condition holds on every node.
bool waitForAll(const std::vector<node_addresses> &nodes, const std::string &token, const std::function<bool(const json &)> &holds)
{
    const millis until = monotonicNow() + settleTimeout;
    for (const auto &node : nodes) {
        for (;;) {
            const auto status = ask(node, token, "GET", "/v1/status");
            if (status && holds(*status)) {
                break;
            }
            if (monotonicNow() > until) {
                std::cerr << "replay: " << node.name << " did not settle: " << (status ? status->dump() : status.error().text()) << '\n';
                return false;
            }
            std::this_thread::sleep_for(askPause);
        }
    }
    return true;
}

bool everyUpstreamIsReady(const json &status, std::size_t count)
{
    if (!status["ready"].get<bool>()) {
        return false;
    }
    std::size_t ready = 0;
    for (const auto &entry : status["members"]) {
        ready += entry["ready"].get<bool>() && entry["state"] == "alive" ? 1 : 0;
    }
    return ready == count;
}

/// Submits the trace's configuration and waits until it is in force on every node.
result<bool> configure(const trace &plan, const std::vector<node_addresses> &nodes, const std::string &token)
{
    const json submission{{"base", 0},
                          {"patch", mergePatchBetween(initialDocument(), plan.configuration)},
                          {"submission", "replay"},
                          {"author", "replay"},
                          {"reason", plan.name}};
    const auto accepted = ask(nodes.front(), token, "POST", "/v1/config/patch", submission);
    if (!accepted) {
        return accepted.error();
    }
    const auto inForce = [](const json &status) { return status["version"].get<int>() >= 1; };
    if (!waitForAll(nodes, token, inForce)) {
        return failure{errc::timeout, "configure", "nodes", "version 1 is not in force everywhere"};
    }
    return true;
}

/// Stops, restarts and pauses nodes as the trace says; runs on the load's loop.
class node_events
{
public:
    node_events(event_loop &loop, const trace &plan, fleet &nodes)
    {
        for (const auto &event : plan.events) {
            const bool stops = event.kind == event_kind::stop_node;
            const bool pauses = event.kind == event_kind::pause_node;
            if (!stops && !pauses) {
                continue;
            }
            const auto index = indexOf(plan, event);
            m_timers.push_back(loop.after(event.at, [&nodes, index, stops] { stops ? nodes.stopNode(index) : nodes.pauseNode(index, true); }));
            m_timers.push_back(loop.after(event.until, [&nodes, index, stops] { stops ? nodes.startNode(index) : nodes.pauseNode(index, false); }));
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
    std::vector<watch_ptr> m_timers;
};

} // namespace

result<run_history> runTrace(const trace &plan, const run_options &options)
{
    // Step 1. Stand-ins and nodes
    const endpoint platform{"127.0.0.1", static_cast<std::uint16_t>(options.firstPort - 1)};
    fleet nodes(plan, {options.daemonPath, options.mode, options.firstPort, platform, options.tunables, options.logLevel});
    standin_thread standins(plan, nodes.nodes(), platform);
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

    // Step 2. The load, with what goes wrong
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

    // Step 3. What was recorded
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
