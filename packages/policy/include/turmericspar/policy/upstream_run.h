/// @file upstream_run.h
/// The identity of the runs of an upstream, and their order.
#pragma once

#include <cstdint>

namespace turmericspar {

/// Identifies one run of an upstream process on all nodes, and orders the runs under one instance name.
struct upstream_run
{
    std::uint64_t id = 0; ///< of the run; 0 if there is none, or if its announcements do not tell runs apart
    std::uint64_t instance = 0; ///< a hash of the instance name, which several runs may share
    std::uint64_t startedAt = 0; ///< by the upstream's wall clock, in milliseconds since the epoch; 0 if its announcements do not tell

    bool operator==(const upstream_run &) const = default;
    /// @return whether another run had the same instance name and started later.
    bool precedes(const upstream_run &other) const { return instance == other.instance && startedAt != 0 && startedAt < other.startedAt; }
};

/// @return the later one of two runs that have left a node; the update, if their order is not known.
inline upstream_run laterDeparture(const upstream_run &known, const upstream_run &update)
{
    return update.id != 0 && update.startedAt >= known.startedAt ? update : known;
}

} // namespace turmericspar
