/// @file version_store.h
/// Configuration versions in the platform's store. Each patch has a key of its own, which is created only if it does not exist.
#pragma once

#include "turmericspar/base/backoff.h"
#include "turmericspar/store/store.h"
#include "turmericspar/store/version_source.h"

#include <functional>
#include <optional>
#include <string>

namespace turmericspar {

/// Keeps a version log synchronized with the store and submits patches to it.
class version_store : public version_source
{
public:
    /// @param prefix common prefix of the deployment's keys
    /// @param onUpdate called after a new version was added to the log
    version_store(event_loop &loop, store &client, std::string prefix, version_log &log, std::function<void()> onUpdate, std::uint64_t seed);

    /// Starts or stops watching. A watching node also writes snapshots and removes old patches.
    void setWatching(bool watching) override;
    bool watching() const override { return m_watching; }
    void refresh(std::function<void(bool reached)> done) override;
    void submit(version_record record, std::uint64_t base, submission_handler done) override;
    bool reachable() const override { return m_reachable; }

private:
    void watchNext();
    void handleListing(const result<store_listing> &listing);
    void applyListing(const store_listing &listing);
    void write(version_record record, int attemptsLeft, submission_handler done);
    void confirmWrite(version_record record, int attemptsLeft, submission_handler done);
    void resolveSubmission(const version_record &record, const submission_handler &done);
    void writeSnapshotIfDue(const store_listing &listing);
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
    std::uint64_t m_snapshotVersion = 0; ///< version of the snapshot in the store; 0 if there is none
    backoff m_backoff;
    bool m_watching = false;
    bool m_reachable = false;
    event_watcher_ptr m_retry;
};

} // namespace turmericspar
