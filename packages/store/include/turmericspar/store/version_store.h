/// @file version_store.h
/// The configuration versions in the platform's store: one key for each patch, created only if it is absent.
#pragma once

#include "turmericspar/base/backoff.h"
#include "turmericspar/store/store.h"
#include "turmericspar/store/version_source.h"

#include <functional>
#include <optional>
#include <string>

namespace turmericspar {

/// Keeps a version log in step with the store and submits patches to it.
class version_store : public version_source
{
public:
    /// @param prefix keys of this deployment begin with it
    /// @param onAdvance told after the log has grown
    version_store(event_loop &loop, store &access, std::string prefix, version_log &log, std::function<void()> onAdvance, std::uint64_t seed);

    /// Starts or ends watching; while it watches, it also writes snapshots now and then.
    void setWatching(bool watching) override;
    bool watching() const override { return m_watching; }
    /// Reads the store once.
    void refresh(std::function<void(bool reached)> done) override;
    /// Submits a patch stated against a version.
    void submit(version_record record, std::uint64_t base, submission_handler done) override;
    /// @return whether the last contact with the store succeeded.
    bool reachable() const override { return m_reachable; }

private:
    void watchOnce();
    void took(const result<store_listing> &listing);
    void absorb(const store_listing &listing);
    void write(version_record record, int triesLeft, submission_handler done);
    void readBack(version_record record, int triesLeft, submission_handler done);
    void decide(const version_record &record, const submission_handler &done);
    void considerSnapshot(const store_listing &listing);
    void removeOldPatches(const store_listing &listing);
    std::optional<std::uint64_t> acceptedVersion(const std::string &submission) const;
    std::string patchKey(std::uint64_t version) const;

    event_loop &m_loop;
    store &m_store;
    std::string m_prefix;
    version_log &m_log;
    std::function<void()> m_onAdvance;
    std::uint64_t m_index = 0;
    std::uint64_t m_generation = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotVersion = 0; ///< of the snapshot in the store; 0 if there is none
    backoff m_backoff;
    bool m_watching = false;
    bool m_reachable = false;
    event_watcher_ptr m_retry;
};

} // namespace turmericspar
