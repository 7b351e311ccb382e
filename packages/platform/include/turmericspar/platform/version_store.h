/// @file version_store.h
/// The configuration versions in the platform's store: one key for each patch, created only if it is absent.
#pragma once

#include "turmericspar/platform/store.h"
#include "turmericspar/policy/version_log.h"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace turmericspar {

/// What became of a submitted patch.
struct submission_result
{
    enum class verdict {
        accepted,
        conflict, ///< the present version is another one
        invalid, ///< the document would not be sound
        unavailable, ///< not accepted: the store could not be reached
        not_known, ///< it may have been accepted; ask again with the same submission id
    };
    verdict what = verdict::not_known;
    std::uint64_t version = 0; ///< the accepted or the present version
    std::vector<document_mistake> mistakes;
    std::string detail;
};

/// Keeps a version log in step with the store and submits patches to it.
class version_store
{
public:
    using submission_handler = std::function<void(submission_result)>;

    /// @param prefix keys of this deployment begin with it
    /// @param onAdvance told after the log has grown
    version_store(event_loop &loop, store &access, std::string prefix, version_log &log, std::function<void()> onAdvance, std::uint64_t seed);

    /// Starts or ends watching; while it watches, it also writes snapshots now and then.
    void setWatching(bool watching);
    bool watching() const { return m_watching; }
    /// Reads the store once.
    void refresh(std::function<void(bool reached)> done);
    /// Submits a patch stated against a version.
    void submit(version_record record, std::uint64_t base, submission_handler done);
    /// @return whether the last contact with the store succeeded.
    bool reachable() const { return m_reachable; }

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
    std::mt19937_64 m_random;
    std::uint64_t m_index = 0;
    std::uint64_t m_generation = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotVersion = 0; ///< of the snapshot in the store; 0 if there is none
    millis m_backoff{0};
    bool m_watching = false;
    bool m_reachable = false;
    watch_ptr m_retry;
};

} // namespace turmericspar
