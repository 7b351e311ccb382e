/// @file version_store.h
/// Configuration versions in the platform's store. Each patch has a key of its own, which is created only if it does not exist.
#pragma once

#include "turmericspar/base/backoff.h"
#include "turmericspar/policy/version_repair.h"
#include "turmericspar/store/store.h"
#include "turmericspar/store/version_source.h"

#include <functional>
#include <optional>
#include <string>

namespace turmericspar {

/// Keeps a version log synchronized with the store and submits patches to it. A store that was restored from an older copy lacks versions that
/// it had accepted: nodes that have them write them again.
class version_store : public version_source
{
public:
    /// @param prefix common prefix of the deployment's keys
    /// @param onUpdate called after a new version was added to the log
    version_store(event_loop &loop, store &client, std::string prefix, version_log &log, std::function<void()> onUpdate, std::uint64_t seed);

    /// Sets how the latest version that any other live node has in force is found. Patches are refused while the store and this node lack it.
    void setLatestElsewhere(std::function<std::uint64_t()> latest) { m_latestElsewhere = std::move(latest); }

    /// Starts or stops watching. A watching node also writes snapshots and versions that the store has lost, and removes old patches.
    void setWatching(bool watching) override;
    bool watching() const override { return m_watching; }
    void refresh(std::function<void(bool reached)> done) override;
    void submit(version_record record, std::uint64_t base, submission_handler done) override;
    void repair() override;
    bool reachable() const override { return m_reachable; }

private:
    void restart();
    void watchNext();
    void handleListing(const result<store_listing> &listing);
    void applyListing(const store_listing &listing);
    void repairStore();
    void createAgain(const version_record &record);
    void writeSnapshot();
    void submitToStore(version_record record, std::uint64_t base, int repairsLeft, submission_handler done);
    void write(version_record record, int attemptsLeft, submission_handler done);
    void confirmWrite(version_record record, int attemptsLeft, submission_handler done);
    void resolveSubmission(const version_record &record, const submission_handler &done);
    void writeSnapshotIfDue(const store_listing &listing);
    void retryLater(std::function<void()> action);
    void removeOldPatches(const store_listing &listing);
    std::optional<std::uint64_t> acceptedVersion(const std::string &submission) const;
    std::string patchKey(std::uint64_t version) const;

    event_loop &m_loop;
    store &m_store;
    std::string m_prefix;
    version_log &m_log;
    std::function<void()> m_onUpdate;
    std::uint64_t m_index = 0; ///< store index from which the next watch continues
    std::uint64_t m_generation = 0; ///< incremented when watching starts or stops, to ignore answers to earlier watches
    std::uint64_t m_snapshotIndex = 0; ///< store index of the snapshot, for compare-and-swap
    stored_versions m_stored; ///< as last read
    bool m_lossSeen = false; ///< whether the last reading lacked versions of the log
    std::function<std::uint64_t()> m_latestElsewhere = [] { return std::uint64_t{0}; };
    backoff m_backoff;
    bool m_watching = false;
    bool m_reachable = false;
    event_watcher_ptr m_retry;
};

} // namespace turmericspar
