/// @file startup_check.h
/// Decides when a starting node may serve by the configuration that it knows.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"

#include <cstdint>
#include <optional>

namespace turmericspar {

/// What a starting node knows.
struct startup_view
{
    bool configurationKnown = false; ///< a version is in force, or the store has answered that there is none
    std::optional<millis> seedsNamed; ///< when the store or the settings first named other nodes, since the start
    bool peerHeard = false; ///< a node that has itself confirmed its version has told it
    bool storeWhole = false; ///< nodes have noted that the store lacks no version that was in force before it was last restored
    bool behind = false; ///< another node has a later version than this one
    millis age; ///< since the start
};

struct startup_tunables
{
    millis peerWait{1000}; ///< how long other nodes may take to answer once they are named
    /// After which the node serves by what it knows. A store that was restored may name no other node for a second, until they are registered again.
    millis maxWait{2000};
};

enum class startup_state {
    waiting,
    confirmed, ///< no other node that could be asked has a later version
    unconfirmed, ///< the time is over without another node's word, and the node serves by what it knows
};
inline constexpr name_table<startup_state, 3> startupStateNames{{"waiting", "confirmed", "unconfirmed"}};

/// The store alone does not confirm a version: after it was restored from an older copy, other nodes may have a later one in force.
startup_state checkStartup(const startup_view &view, const startup_tunables &tuning);

/// @return the version that a node tells others: none before it is confirmed, so that nodes that start together do not confirm each other's.
std::uint64_t announcedVersion(startup_state state, std::uint64_t version);

/// Notes the version that another node has told.
void recordAnnouncement(startup_view &view, std::uint64_t version);

} // namespace turmericspar
