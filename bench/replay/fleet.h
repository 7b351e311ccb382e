/// @file fleet.h
/// The node processes of a replay: their settings, their start and their end.
#pragma once

#include "relay.h"
#include "trace.h"
#include "turmericspar/policy/admission_controller.h"

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
    endpoint nodes; ///< by which other nodes reach it
    endpoint bound; ///< where it listens for them: `nodes`, unless a relay stands between
};

/// How a fleet is run.
struct fleet_options
{
    std::string daemonPath; ///< the turmericspard to run
    policy_mode mode = policy_mode::full;
    int firstPort = 20000;
    endpoint platform;
    std::vector<std::string> tunables; ///< "key=value", for variants
    std::string logLevel = "warning";
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
    /// Ends every node gracefully and waits for it.
    void stop();
    /// Ends one node gracefully; it is started again after a time by startNode.
    void stopNode(std::size_t index);
    void startNode(std::size_t index);
    /// Ends a node at once, as a host does that fails.
    void killNode(std::size_t index);
    /// Stops a node's process from running, or lets it run on.
    void pauseNode(std::size_t index, bool paused);

    const std::vector<node_addresses> &nodes() const { return m_nodes; }
    /// @return what a relay has to carry between the failure domains; nothing if the trace needs none.
    std::vector<relayed_place> relayedPlaces() const;
    const std::string &keyFile() const { return m_keyFile; }
    const std::string &directory() const { return m_directory; }
    /// @return processor time that the nodes used until now, in seconds, and the largest memory of one, in MB.
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
