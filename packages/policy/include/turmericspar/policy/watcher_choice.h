/// @file watcher_choice.h
/// Which nodes of a failure domain watch the platform's store for it.
#pragma once

#include "turmericspar/policy/load_balancer.h"

#include <cstddef>
#include <vector>

namespace turmericspar {

/// What a node knows when it looks whether it is a watcher.
struct watcher_view
{
    node_id self;
    std::vector<node_id> live; ///< other live members of its failure domain
    std::size_t posted = 0; ///< other nodes of its failure domain that have posted themselves in the store, as watchers do
    bool alone = true; ///< whether it knows no other member of any failure domain
    millis age; ///< since its start
};

/// @return whether a node is a watcher: the first few of a failure domain by rendezvous hash. A node that starts and knows nobody leaves
/// it to those that have posted themselves, so that a start of all at once does not become a start of as many watchers.
bool isWatcher(const watcher_view &view);

} // namespace turmericspar
