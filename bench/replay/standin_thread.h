/// @file standin_thread.h
/// The stand-ins of a run, on a thread and a loop of their own, with the events of the trace that concern them.
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
    standin_thread(const trace &plan, const std::vector<node_addresses> &nodes, endpoint platform, std::vector<relayed_place> relayed = {});

    void start();
    /// Lets the events of the trace happen from now on.
    void startEvents() { m_eventsFrom = monotonicNow().count; }
    /// Ends the thread.
    /// @return what the upstreams ran
    std::vector<run_record> stop();

private:
    using upstream_list = std::vector<std::unique_ptr<upstream_standin>>;

    void run();
    /// What events act on.
    struct stage
    {
        store_standin &platform;
        upstream_list &upstreams;
        relay &ways;
    };
    void happen(const stage &on);
    void apply(const trace_event &event, bool begins, const stage &on);
    void silence(const trace_event &event, const stage &on) const;
    void applyToWays(const trace_event &event, bool begins, relay &ways) const;
    static void applyTo(const trace_event &event, bool begins, upstream_standin &upstream);

    const trace &m_plan;
    const std::vector<node_addresses> &m_nodes;
    endpoint m_platform;
    std::vector<relayed_place> m_relayed;
    std::thread m_thread;
    std::atomic<bool> m_stop = false;
    std::atomic<double> m_eventsFrom = -1;
    std::vector<int> m_state; ///< of each event: 0 to come, 1 begun, 2 ended
    std::vector<run_record> m_records;
};

} // namespace turmericspar
