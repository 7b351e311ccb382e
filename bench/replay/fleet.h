/// @file fleet.h
/// The node processes of a replay: settings, start and stop.
#pragma once

#include "relay.h"
#include "trace.h"
#include "turmericspar/policy/admission_controller.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace turmericspar {

/// The addresses of one node.
struct node_addresses
{
    std::string name;
    std::string domain;
    endpoint callers;
    endpoint upstream;
    endpoint operators;
    endpoint nodes; ///< the address advertised to other nodes
    endpoint bound; ///< the address it listens on for other nodes; differs from `nodes` if a relay is used
};

/// Options of a fleet.
struct fleet_options
{
    std::string daemonPath; ///< the turmericspard to run
    policy_mode mode = policy_mode::full;
    int firstPort = 20000;
    endpoint platform;
    std::vector<std::string> tunables; ///< "key=value", for variants
    std::string logLevel = "warning";
    std::optional<millis> shutdownWait; ///< how long a stopping node runs at most; nothing leaves it at its default
};

/// One node process for each upstream of a trace.
class fleet
{
public:
    fleet(const trace &plan, fleet_options options);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /// Starts every node.
    result<bool> start();
    /// Stops every node gracefully and waits for its exit.
    void stop();
    /// Stops one node gracefully; startNode starts it again.
    void stopNode(std::size_t index);
    void startNode(std::size_t index);
    /// Kills a node at once, as a host failure does.
    void killNode(std::size_t index);
    /// Suspends or resumes the process of a node.
    void pauseNode(std::size_t index, bool paused);

    const std::vector<node_addresses> &nodes() const { return m_nodes; }
    /// @return the routes of the relay between failure domains; none if the trace needs no relay.
    std::vector<relay_route> relayRoutes() const;
    const std::string &keyFile() const { return m_keyFile; }
    const std::string &directory() const { return m_directory; }
    /// @return CPU time used by all nodes so far, in seconds, and the largest resident memory of a node, in MB.
    std::pair<double, double> resources() const;
    /// @return the path of a node's log.
    std::string logFile(std::size_t index) const;

private:
    result<bool> writeFiles();
    endpoint platformFor(const std::string &domain) const;
    std::string settingsText(std::size_t index) const;

    const trace &m_plan;
    fleet_options m_options;
    std::string m_directory;
    std::string m_keyFile;
    std::vector<node_addresses> m_nodes;
    std::vector<pid_t> m_processes;
};

} // namespace turmericspar
