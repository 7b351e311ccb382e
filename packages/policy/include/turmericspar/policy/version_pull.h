/// @file version_pull.h
/// From which node a newer configuration is fetched: it crosses to a failure domain a few times, not once for each node there.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/load_balancer.h"

#include <cstdint>
#include <optional>

namespace turmericspar {

/// Numbers of these decisions.
struct version_pull_tunables
{
    millis homeWait{300}; ///< for a node of the own failure domain to have a version: the watchers there have it from the store by then
    millis pullInterval{200}; ///< least time between two fetches of the same version
};

/// What one node has heard of versions that it lacks.
class version_pull
{
public:
    explicit version_pull(const version_pull_tunables &tuning) : m_tuning(tuning) { }

    /// Notes that a node has a version.
    /// @param atHome whether it is of the own failure domain
    /// @param have the version in force here
    void heard(const node_id &from, bool atHome, std::uint64_t version, std::uint64_t have, millis now);
    /// @return whether a later version than the one in force was heard of.
    bool lacks(std::uint64_t have) const { return m_home.version > have || m_away.version > have; }
    /// @return the node from which to fetch now, if any; call it whenever something was heard, and now and then.
    /// @param alone whether no other member of the own failure domain lives
    std::optional<node_id> due(std::uint64_t have, bool alone, millis now);

private:
    struct source
    {
        node_id node;
        std::uint64_t version = 0;
    };

    const version_pull_tunables m_tuning;
    source m_home;
    source m_away;
    millis m_awaySince; ///< when a version that is lacking here was first heard of elsewhere
    std::uint64_t m_pulledVersion = 0;
    millis m_pulledAt;
};

} // namespace turmericspar
