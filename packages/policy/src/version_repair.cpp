#include "turmericspar/policy/version_repair.h"

#include <algorithm>

namespace turmericspar {

namespace {

struct version_end
{
    std::uint64_t version = 0;
    std::uint64_t chain = 0;
};

/// @return the latest version of the store that can be reached from its snapshot, or from the start if there is none.
version_end findEnd(const stored_versions &stored)
{
    version_end end{stored.snapshotVersion, stored.snapshotVersion == 0 ? version_log().chain() : stored.snapshotChain};
    for (auto next = stored.patches.find(end.version + 1); next != stored.patches.end(); next = stored.patches.find(end.version + 1)) {
        const auto &record = next->second.record;
        const auto chain = end.chain == 0 ? record.chain : nextChain(end.chain, record.submission);
        if (record.chain != 0 && record.chain != chain) {
            break;
        }
        end = {record.version, chain};
    }
    return end;
}

} // namespace

std::uint64_t stored_versions::latest() const
{
    return findEnd(*this).version;
}

std::uint64_t stored_versions::latestChain() const
{
    return findEnd(*this).chain;
}

std::vector<version_record> stored_versions::consecutive() const
{
    std::vector<version_record> records;
    for (auto version = latest(); patches.contains(version); --version) {
        records.push_back(patches.at(version).record);
    }
    std::reverse(records.begin(), records.end());
    return records;
}

std::uint64_t stored_versions::indexFor(std::uint64_t version) const
{
    const auto found = patches.find(version);
    return found == patches.end() ? 0 : found->second.index;
}

version_repair compareWithStore(const version_log &log, const stored_versions &stored)
{
    version_repair repair;
    const auto &history = log.history();
    const auto latest = stored.latest();

    // Step 1. Versions before the first kept record can only be written as a snapshot
    const auto firstKept = history.empty() ? log.version() + 1 : history.front().version;
    repair.snapshotNeeded = latest + 1 < firstKept;

    // Step 2. Find the first record under whose number the store has another submission
    const auto isReplaced = [&](const version_record &record) {
        return record.version > stored.snapshotVersion && record.version <= latest && stored.patches.at(record.version).record.submission != record.submission;
    };
    const auto fork = std::find_if(history.begin(), history.end(), isReplaced);
    if (fork == history.end()) {
        std::copy_if(history.begin(), history.end(), std::back_inserter(repair.lost), [&](const auto &record) { return record.version > latest; });
        return repair;
    }

    // Step 3. After a fork, the store's numbers stand, and submissions that it lacks get new ones
    const auto records = stored.consecutive();
    std::copy_if(fork, history.end(), std::back_inserter(repair.displaced), [&](const version_record &own) {
        return std::none_of(records.begin(), records.end(), [&](const version_record &record) { return record.submission == own.submission; });
    });
    return repair;
}

} // namespace turmericspar
