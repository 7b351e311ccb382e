/// @file load_balancer.h
/// Selection of an upstream of a service, based on the load, latency and success rate seen in answers.
#pragma once

#include "turmericspar/policy/call.h"
#include "turmericspar/policy/tunables.h"
#include "turmericspar/policy/upstream_run.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// Identifies a node in all tables: its address for other nodes, as text.
using node_id = std::string;

/// Measurements taken from one answer of a serving node.
struct response_sample
{
    millis latency;
    bool success = false; ///< whether the upstream answered, other than with a server error
    bool refused = false; ///< whether it was refused for overload
    int limit = 0; ///< the upstream's concurrency limit; 0 if not reported
    int pending = 0; ///< calls running or queued there
    bool unreachable = false; ///< whether it could not be reached or the link was lost before the answer
    bool rateLimited = false; ///< whether the rate limit of the upstream left no room for it
};

/// The standing of a call at an upstream that lacks room for some calls.
struct call_standing
{
    double importance = importanceBound;
    bool admitted = false; ///< whether it belongs to a request that was already admitted

    /// @return the standing of a call with a context.
    static call_standing of(const call_context &context) { return {context.priority.importance(), context.depth > 0}; }
};

/// What an upstream has stated about itself in its answers, as known to a node that received them.
struct upstream_condition
{
    upstream_run run; ///< of which it is known; none if nothing is known
    std::optional<double> rateLimit; ///< requests a second that it takes from all nodes together; nothing if it stated no limit
    bool leaving = false; ///< whether it is about to exit
};

/// The known upstreams of all services, with statistics for each.
class load_balancer
{
public:
    load_balancer(const tunables &tuning, std::string ownDomain, std::uint64_t seed);

    /// Adds or changes an upstream.
    /// @param ready whether it accepts new calls
    void update(const node_id &node, const std::string &service, const std::string &domain, bool ready);
    void remove(const node_id &node);

    /// Chooses an upstream of a service.
    /// @param avoid nodes that were already tried for this call; they are never chosen
    /// @param standing of the call; upstreams without room for it are not chosen
    /// @return the node, or an empty string if there is none
    node_id choose(const std::string &service, const std::vector<node_id> &avoid, millis now, const call_standing &standing = {});
    /// @return the time until one of a service's upstreams may have room for a call; 0 if none is known to lack room.
    millis timeToRoom(const std::string &service, const call_standing &standing, millis now) const;
    /// Chooses round-robin; used in pass-through mode.
    node_id chooseRoundRobin(const std::string &service, const std::vector<node_id> &avoid);

    /// Marks a node as unresponsive (no heartbeats) or responsive. An unresponsive node is chosen only if there is no other.
    void setUnresponsive(const node_id &node, bool unresponsive);
    /// Records that a call was sent to a node.
    void sent(const node_id &node);
    /// Records that a call sent to a node has ended.
    /// @param answered whether the sample is valid
    void done(const node_id &node, bool answered, const response_sample &sample, millis now);

    /// Records that the rate limit of an upstream leaves no room for a call, nor for less important ones, before a given time.
    void recordNoRoom(const node_id &node, const call_standing &standing, millis until, millis now);
    /// Records what an upstream has stated, to tell its node if that starts anew.
    void recordCondition(const node_id &node, const upstream_condition &condition);
    /// @return what the upstream of a node has stated.
    upstream_condition condition(const node_id &node) const;

    /// @return whether any node has ever announced the service.
    bool knows(const std::string &service) const { return m_services.contains(service); }
    std::size_t readyCount(const std::string &service) const;
    /// @return the node of a service that handles a key: the same at all nodes that know the same ready nodes; empty if there is none.
    node_id nodeFor(const std::string &service, std::uint64_t key) const;
    /// @return whether a node is known and ready, and of a service.
    bool serves(const node_id &node, const std::string &service) const;
    /// @return the average latency of a node; 0 if it is unknown.
    millis latency(const node_id &node) const;

private:
    struct service_upstreams;
    /// Calls up to this importance find no room.
    struct room_shortage
    {
        double importance = 0;
        millis until{-1e12};
    };
    struct upstream_state
    {
        node_id node;
        std::string service;
        std::string domain;
        service_upstreams *group = nullptr; ///< all upstreams of the service
        int outstanding = 0; ///< calls sent from here that have not ended
        int limit = 0;
        int reportedPending = 0;
        millis latency{0};
        double successRate = 1;
        millis refusedAt{-1e12};
        millis unreachableAt{-1e12};
        bool unresponsive = false;
        std::array<room_shortage, 2> shortages; ///< for new requests, and for calls of requests that were already admitted
        upstream_condition condition;
    };
    struct service_upstreams
    {
        std::vector<upstream_state *> own; ///< in the own failure domain
        std::vector<upstream_state *> all;
        std::size_t nextRoundRobin = 0;
        millis latency{0}; ///< average over all its upstreams
    };

    /// What the choice of an upstream for one call depends on.
    struct choice_criteria
    {
        const std::vector<node_id> &avoid;
        const call_standing &standing;
        double domainFactor; ///< factor on the cost of an upstream in another failure domain
        millis now;
    };

    bool isUnreachable(const upstream_state &upstream, millis now) const;
    static double load(const upstream_state &upstream);
    double domainFactor(const upstream_state *own) const;
    double cost(const upstream_state &upstream, const choice_criteria &criteria) const;
    upstream_state *cheaper(upstream_state *left, upstream_state *right, const choice_criteria &criteria) const;
    static bool hasRoom(const upstream_state &upstream, const call_standing &standing, millis now);
    upstream_state *chooseFrom(const std::vector<upstream_state *> &from, int count, const choice_criteria &criteria);
    void removeFromGroup(upstream_state *upstream);

    const tunables &m_tuning;
    std::string m_ownDomain;
    std::mt19937_64 m_random;
    std::unordered_map<node_id, std::unique_ptr<upstream_state>> m_upstreams;
    std::map<std::string, service_upstreams> m_services;
};

} // namespace turmericspar
