/// @file watcher_choice.h
/// Chooses the nodes that watch the platform's store on behalf of their failure domain.
#pragma once

#include "turmericspar/policy/load_balancer.h"

#include <cstddef>
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
};

/// @return whether a node is a watcher: those of a failure domain with the highest rendezvous hashes are. A node that has just started and
/// knows no other member decides by the number of registered watchers instead, so that a simultaneous start does not make every node a watcher.
bool isWatcher(const watcher_view &view);

} // namespace turmericspar
