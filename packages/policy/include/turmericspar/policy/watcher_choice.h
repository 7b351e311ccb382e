/// @file watcher_choice.h
/// Chooses the nodes that watch the platform's store on behalf of their failure domain.
#pragma once

#include "turmericspar/policy/load_balancer.h"

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace turmericspar {

/// What a node knows when it decides whether it is a watcher.
struct watcher_view
{
    node_id self;
    std::vector<node_id> live; ///< other live members of its failure domain
    std::size_t registered = 0; ///< other nodes of its failure domain that are registered in the store, as watchers are
    bool alone = true; ///< whether it knows no other live member in any failure domain
    millis age; ///< since its start
    std::set<node_id> withoutStore; ///< of the live members and this node, those that the store has not served lately
};

/// @return whether a node is a watcher: those of a failure domain with the highest rendezvous hashes are, and as many of those that the store serves, so
/// that the role moves on if it turns the first away. A node that has just started and knows no other member decides by the number of registered watchers
/// instead, so that a simultaneous start does not make every node a watcher.
bool isWatcher(const watcher_view &view);

/// What a node tells the other members about its access to the store.
class store_access
{
public:
    /// Records whether the last call on the store succeeded.
    /// @param watching whether this node watches the store, so that it keeps trying
    void update(bool watching, bool reachable, millis now);
    /// @return whether the store has not served this node lately.
    bool lost() const { return m_lost; }

private:
    bool m_lost = false;
    std::optional<millis> m_failingSince; ///< when the present failures of a watching node began
    millis m_lostAt{0};
};

} // namespace turmericspar
