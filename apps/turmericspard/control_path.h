/// @file control_path.h
/// Control path of a node: membership and the distribution of configuration versions.
#pragma once

#include "interface_profile.h"
#include "node_settings.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/node/gossip_socket.h"
#include "turmericspar/node/node_link.h"
#include "turmericspar/policy/membership.h"
#include "turmericspar/policy/startup_check.h"
#include "turmericspar/policy/version_log.h"
#include "turmericspar/policy/version_pull.h"
#include "turmericspar/policy/watcher_choice.h"
#include "turmericspar/store/conviction_registry.h"
#include "turmericspar/store/seed_registry.h"
#include "turmericspar/store/version_store.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericspar {

/// Where a node's configuration comes from.
enum class configuration_source { initial, fallback, peers_or_store };
inline constexpr name_table<configuration_source, 3> configurationSourceNames{{"initial", "fallback", "accepted"}};

/// Callbacks that notify the rest of the node.
struct control_path_handlers
{
    std::function<void()> onConfiguration; ///< a new configuration is in force
    std::function<void(const member &)> onMember; ///< a member's entry changed
    std::function<void(const node_id &)> onMemberForgotten;
    std::function<void(const upstream_run &)> onOwnDeparture; ///< a run of this node's upstream has deregistered, as an earlier process acknowledged
    std::function<void(const noted_conviction &)> onConviction; ///< the store has a note of a request that crashes upstreams
};

/// How many live nodes of a failure domain have a configuration version in force.
struct domain_progress
{
    std::size_t live = 0;
    std::size_t inForce = 0;
    std::vector<std::string> laggards; ///< names of the nodes that do not have it in force yet
};

/// Owns the member table, the version log, the gossip socket and the connections to the store.
class control_path
{
public:
    control_path(event_loop &loop,
                 const node_settings &settings,
                 const interface_profile &profile,
                 const key_ring &keys,
                 node_id self,
                 std::uint64_t seed,
                 control_path_handlers handlers);
    ~control_path();

    /// Opens the gossip socket and starts the periodic work.
    /// @param links the node's links, through which configuration and members are pulled from other nodes
    result<bool> start(node_link &links);

    // From other nodes' links
    void onConfigPull(const connection_id &from, const wire::ConfigPull &pull);
    void onConfigPush(const wire::ConfigPush &push);
    void onMemberPull(const connection_id &from);
    /// Records the time of day that a node reports on a link.
    void onPeerClock(const node_id &node, millis wallTime) { m_gossip.updatePeerClock(node, wallTime); }
    void onMemberPush(const wire::MemberPush &push);

    /// Sets what this node announces to the members: its service, and whether its upstream takes new work.
    void setSelf(const std::string &service, bool ready);
    /// Records with the other members and in the store that a run of this node's upstream has deregistered.
    /// @param recorded called when the store has acknowledged it, or at once if there is none
    void recordDeparture(const upstream_run &departed, std::function<void()> recorded);
    /// Keeps a note in the store, if there is one, about a request that crashes upstreams.
    void keepConviction(const noted_conviction &conviction, conviction_source source);
    /// Removes that note, since the request does not crash upstreams.
    void withdrawConviction(request_digest digest, conviction_source source);
    /// Announces to the other members that this node leaves.
    void leave();

    /// Submits a patch that is based on version `base`.
    void submit(version_record record, std::uint64_t base, version_source::submission_handler done);

    const version_log &versions() const { return m_log; }
    const configuration &inForce() const;
    configuration_source source() const;
    const membership &members() const { return m_members; }
    /// @return how many nodes have a version in force, by failure domain.
    std::map<std::string, domain_progress> progress(std::uint64_t version) const;
    /// @return whether this node may serve by the configuration that it knows.
    bool startupDone() const { return m_startup != startup_state::waiting; }
    bool watchingStore() const { return m_versionSource && m_versionSource->watching(); }
    bool storeReachable() const { return m_versionSource && m_versionSource->reachable(); }
    std::uint64_t storeRestores() const { return m_store ? m_store->restoreCount() : 0; }
    std::uint64_t storeCalls() const { return m_store ? m_store->callCount() : 0; }
    const gossip_counts &gossipCounts() const { return m_gossip.counts(); }

private:
    /// Progress of the first decision after the start on whether this node watches the store.
    enum class watcher_startup { not_started, waiting, second_read, done };

    void readFallback();
    void tick();
    void noteSeeds(const std::vector<node_id> &seeds);
    void updateStartup();
    std::uint64_t latestElsewhere() const;
    void send(const std::vector<addressed_gossip> &messages);
    void onGossip(const gossip_message &message);
    void requestPeerClock(const node_id &node);
    void publishMemberChanges();
    void updateStoreAccess();
    void updateWatcherRole();
    void chooseInitialWatcherRole();
    void readRegisteredSeeds(read_freshness freshness);
    void refreshSeeds();
    void onVersionAdvanced();
    void announceVersion();
    void recordKnownVersions(const std::vector<member> &table);
    void pullIfBehind();

    event_loop &m_loop;
    const node_settings &m_settings;
    control_path_handlers m_handlers;
    std::mt19937_64 m_random;
    membership m_members;
    version_log m_log;
    std::optional<configuration> m_fallback;
    gossip_socket m_gossip;
    std::unique_ptr<store> m_store;
    std::unique_ptr<version_source> m_versionSource;
    std::unique_ptr<seed_registry> m_seedRegistry;
    std::unique_ptr<conviction_registry> m_convictions;
    node_link *m_links = nullptr;
    version_pull m_pull{{}};
    millis m_clockRequestedAt{0};
    millis m_repairedAt{0};
    millis m_seedsReadAt{0};
    millis m_seedReadPause{0};
    millis m_startedAt{0};
    std::size_t m_ownDomainSeeds = 0; ///< number of other nodes of this node's failure domain that are registered as seeds in the store
    store_access m_storeAccess;
    watcher_startup m_watcherStartup = watcher_startup::not_started;
    event_watcher_ptr m_watcherStartupTimer;
    startup_view m_startupView;
    std::optional<std::uint64_t> m_settledVersion; ///< as the registrations in the store state it
    startup_state m_startup = startup_state::waiting;
    bool m_upstreamReady = false;
    std::string m_service;
    event_watcher_ptr m_tick;
    event_watcher_ptr m_watcherTimer;
    event_watcher_ptr m_seedTimer;
};

} // namespace turmericspar
