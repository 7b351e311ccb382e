/// @file standin_thread.h
/// Runs the stand-ins of a replay on their own thread and event loop, and applies the trace events that concern them.
#pragma once

#include "fleet.h"
#include "store_standin.h"
#include "trace.h"
#include "upstream_standin.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace turmericspar {

/// Runs the platform's stand-in, one upstream stand-in for each node, and the relay between failure domains.
class standin_thread
{
public:
    standin_thread(const trace &plan, const std::vector<node_addresses> &nodes, endpoint platform, std::vector<relay_route> relayRoutes = {});

    void start();
    /// Starts the clock of the trace events; from now on each is applied when it is due.
    void startEvents() { m_eventsFrom = monotonicNow().count; }
    /// Stops the thread and waits for it.
    /// @return the calls that the upstreams ran
    std::vector<run_record> stop();

private:
    using upstream_list = std::vector<std::unique_ptr<upstream_standin>>;

    void run();
    /// The objects that events change.
    struct event_targets
    {
        store_standin &platform;
        upstream_list &upstreams;
        relay &domainRelay;
    };
    void applyDueEvents(const event_targets &targets);
    void apply(const trace_event &event, bool begins, const event_targets &targets);
    void silence(const trace_event &event, const event_targets &targets) const;
    void applyToPaths(const trace_event &event, bool begins, relay &domainRelay) const;
    static void applyToUpstream(const trace_event &event, bool begins, upstream_standin &upstream);

    const trace &m_plan;
    const std::vector<node_addresses> &m_nodes;
    endpoint m_platform;
    std::vector<relay_route> m_relayRoutes;
    std::thread m_thread;
    std::atomic<bool> m_stop = false;
    std::atomic<double> m_eventsFrom = -1;
    std::vector<int> m_state; ///< of each event: 0 pending, 1 active, 2 ended
    std::vector<run_record> m_records;
};

} // namespace turmericspar
