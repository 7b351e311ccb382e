/// @file version_pull.h
/// Selects the node from which a newer configuration is fetched, so that few fetches cross failure domains instead of one per node.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/load_balancer.h"

#include <cstdint>
#include <optional>

namespace turmericspar {

struct version_pull_tunables
{
    millis ownDomainWait{300}; ///< how long to wait until a node of the own failure domain has a version: its watchers have read it from the store by then
    millis pullInterval{200}; ///< minimum time between two fetches of the same version
};

/// The versions newer than the one in force that a node has learned of, and the nodes that have them.
class version_pull
{
public:
    explicit version_pull(const version_pull_tunables &tuning) : m_tuning(tuning) { }

    /// Records that a node has a version.
    /// @param ownDomain whether that node belongs to the own failure domain
    /// @param inForce the version in force at this node
    void recordVersion(const node_id &from, bool ownDomain, std::uint64_t version, std::uint64_t inForce, millis now);
    /// @return whether a version later than the one in force is known to exist.
    bool isBehind(std::uint64_t inForce) const { return m_ownDomainSource.version > inForce || m_remoteSource.version > inForce || m_pulledVersion > inForce; }
    /// @return the node from which to fetch now, if any; call it after each recordVersion() and periodically.
    /// @param alone whether the own failure domain has no other live member
    std::optional<node_id> nextSource(std::uint64_t inForce, bool alone, millis now);

private:
    struct source
    {
        node_id node;
        std::uint64_t version = 0;
    };

    const version_pull_tunables m_tuning;
    source m_ownDomainSource;
    source m_remoteSource;
    millis m_remoteSince; ///< when a version newer than the one in force was first recorded for another failure domain
    std::uint64_t m_pulledVersion = 0;
    millis m_pulledAt;
};

} // namespace turmericspar
