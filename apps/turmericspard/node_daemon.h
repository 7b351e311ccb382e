/// @file node_daemon.h
/// The node process: its components, its startup and its shutdown.
#pragma once

#include "call_path.h"
#include "control_path.h"
#include "operator_api.h"
#include "turmericspar/operator/operator_server.h"

#include <memory>

namespace turmericspar {

/// Connects the components of a node and runs them on one event loop.
class node_daemon
{
public:
    node_daemon(const node_settings &settings, interface_profile profile, const key_ring &keys);
    ~node_daemon();

    /// Opens all sockets.
    result<bool> start();
    /// Runs until the node has shut down.
    void run() { m_loop.run(); }

private:
    link_handlers linkHandlers();
    call_path_callbacks callPathCallbacks();
    void onMemberChanged(const member &entry);
    void logMemberState(const member &entry);
    void broadcastSuspicions(const std::vector<suspicion> &news);
    void tellSuspicions(const member &entry);
    static bool endsConviction(const suspicion &entry);
    void noteConviction(const suspicion &entry, conviction_source source);
    void onConvictionRead(const noted_conviction &noted);
    void pushSuspicions(const std::vector<node_id> &nodes, const std::vector<suspicion> &suspicions);
    void respondReadiness(const http_exchange_ptr &exchange) const;
    void onConfigurationChanged();
    void reload();
    void shutDown();
    void finishWhenIdle();
    bool ready() const;
    bool configurationUsable() const;
    bool knowsService(const std::string &service) const;

    const node_settings &m_settings;
    const interface_profile m_profile;
    event_loop m_loop{timer_precision::coarse};
    node_id m_self;
    std::uint64_t m_seed;
    std::uint64_t m_incarnation;
    control_path m_control;
    call_path m_calls;
    node_link m_links;
    http_server m_callers;
    http_server m_readiness;
    announcement_server m_upstream;
    operator_server m_operators;
    operator_api m_api;
    std::map<node_id, std::pair<std::uint64_t, member_state>> m_loggedStates; ///< incarnation and state of each member, as last logged
    std::map<node_id, std::uint64_t> m_toldSuspicions; ///< incarnation at which each live member was last told what is suspected in its service
    bool m_shuttingDown = false;
    millis m_shutdownStartedAt{0};
    std::size_t m_callsCut = 0; ///< calls that were in progress when the time of the stop was over
    std::vector<event_watcher_ptr> m_watchers;
};

} // namespace turmericspar
