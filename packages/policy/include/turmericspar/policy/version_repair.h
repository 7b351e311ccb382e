/// @file version_repair.h
/// Compares the log of a node with the versions in the store, which may have lost some that it had accepted.
#pragma once

#include "turmericspar/policy/version_log.h"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericspar {

/// A patch in the store.
struct stored_record
{
    version_record record;
    std::uint64_t index = 0; ///< store index of its last change, for compare-and-swap
};

/// The versions that the store holds. A record counts only if it follows the submissions before it: a write that is done after the store was
/// restored may belong to a sequence that the store has lost.
struct stored_versions
{
    std::uint64_t snapshotVersion = 0; ///< version of the snapshot; 0 if there is none
    std::uint64_t snapshotChain = 0; ///< 0 if it is not known
    std::map<std::uint64_t, stored_record> patches;

    /// @return the latest version that can be reached.
    std::uint64_t latest() const;
    /// @return the chain of that version; 0 if it is not known.
    std::uint64_t latestChain() const;
    /// @return the records that follow each other up to the latest version, oldest first.
    std::vector<version_record> consecutive() const;
    /// @return the index that a write of a version must state: 0 unless a record stands there that does not count.
    std::uint64_t indexFor(std::uint64_t version) const;
};

/// What is missing in the store.
struct version_repair
{
    std::vector<version_record> lost; ///< to be written again under their own numbers, oldest first
    std::vector<version_record> displaced; ///< to be submitted again: the store gave their numbers to other submissions
    bool snapshotNeeded = false; ///< whether the log no longer has all records that the store lacks

    bool complete() const { return lost.empty() && displaced.empty() && !snapshotNeeded; }
};

/// Compares a log with the store. Versions that the store has and the log lacks are not reported: they are simply appended.
version_repair compareWithStore(const version_log &log, const stored_versions &stored);

} // namespace turmericspar
