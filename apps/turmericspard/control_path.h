/// @file control_path.h
/// What a node does beside the calls: membership, and the configuration's versions.
#pragma once

#include "interface_profile.h"
#include "node_settings.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/node/gossip_socket.h"
#include "turmericspar/node/node_link.h"
#include "turmericspar/policy/membership.h"
#include "turmericspar/policy/version_log.h"
#include "turmericspar/policy/version_pull.h"
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

/// What the control path tells the rest of the node.
struct control_path_handlers
{
    std::function<void()> onConfiguration; ///< another configuration is in force
    std::function<void(const member &)> onMember; ///< a member's entry changed
    std::function<void(const node_id &)> onMemberForgotten;
};

/// One part of the operators' view on a version: who has it in force.
struct domain_progress
{
    std::size_t live = 0;
    std::size_t inForce = 0;
    std::vector<std::string> laggards; ///< names of the nodes that are behind
};

/// Owns the member table, the version log, and the sockets that feed them.
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

    /// Opens the gossip socket and begins.
    /// @param links the node's links, for pulls from other nodes
    result<bool> start(node_link &links);

    // From other nodes' links
    void configPulled(const connection_id &from, std::uint64_t have);
    void configPushed(const wire::ConfigPush &push);
    void membersPulled(const connection_id &from);
    /// Takes in the time of day that a node shows on a link.
    void dateTold(const node_id &node, millis date) { m_gossip.updatePeerClock(node, date); }
    void membersPushed(const wire::MemberPush &push);

    /// Says what this node serves and whether its upstream takes new work.
    void setSelf(const std::string &service, bool ready);
    /// Says goodbye to the other members.
    void leave();

    /// Submits a patch stated against a version.
    void submit(version_record record, std::uint64_t base, version_source::submission_handler done);

    const version_log &versions() const { return m_log; }
    const configuration &inForce() const;
    configuration_source source() const;
    const membership &members() const { return m_members; }
    /// @return how far a version has come, by failure domain.
    std::map<std::string, domain_progress> progress(std::uint64_t version) const;
    /// @return whether a configuration is known, or the node has waited long enough for one.
    bool settled() const { return m_settled; }
    bool watching() const { return m_versions && m_versions->watching(); }
    bool storeReachable() const { return m_versions && m_versions->reachable(); }
    std::uint64_t storeCalls() const { return m_store ? m_store->callCount() : 0; }
    const gossip_counts &gossipCounts() const { return m_gossip.counts(); }

private:
    /// How far the first decision on who watches the store has got.
    enum class first_choice { to_be_made, waiting, looking_again, made };

    void readFallback();
    void tick();
    void send(const std::vector<addressed_gossip> &letters);
    void heard(const gossip_message &message);
    void askDate(const node_id &node);
    void followChanges();
    void chooseWatchers();
    void chooseFirstWatchers();
    void readPostedSeeds(read_freshness freshness);
    void readSeeds();
    void advanced();
    void considerPull();

    event_loop &m_loop;
    const node_settings &m_settings;
    control_path_handlers m_handlers;
    std::mt19937_64 m_random;
    membership m_members;
    version_log m_log;
    std::optional<configuration> m_fallback;
    gossip_socket m_gossip;
    std::unique_ptr<store> m_store;
    std::unique_ptr<version_source> m_versions;
    std::unique_ptr<seed_registry> m_board;
    node_link *m_links = nullptr;
    version_pull m_pull{{}};
    millis m_dateAskedAt{0};
    millis m_seedsReadAt{0};
    millis m_seedPause{0};
    millis m_startedAt{0};
    std::size_t m_seedsPosted = 0; ///< other nodes of the own failure domain that the store named as seeds
    first_choice m_firstChoice = first_choice::to_be_made;
    event_watcher_ptr m_firstChoiceTimer;
    bool m_settled = false;
    bool m_upstreamReady = false;
    std::string m_service;
    event_watcher_ptr m_tick;
    event_watcher_ptr m_watcherTimer;
    event_watcher_ptr m_seedTimer;
    event_watcher_ptr m_startTimer;
};

} // namespace turmericspar
