/// @file document_watch.h
/// Follows a configuration document that operators write as a whole to one key of the store.
#pragma once

#include "turmericspar/base/backoff.h"
#include "turmericspar/store/store.h"
#include "turmericspar/store/version_source.h"

#include <functional>
#include <optional>
#include <string>

namespace turmericspar {

/// The key of the operators' document, and the function that parses it.
struct document_location
{
    std::string key; ///< empty if operators do not write to the store
    std::function<result<version_snapshot>(const std::string &value)> read;
};

/// Keeps a version log synchronized with the document. Operators write the document themselves, so `submit` refuses every patch.
class document_watch : public version_source
{
public:
    /// @param onUpdate called after a new version was added to the log
    document_watch(event_loop &loop, store &client, document_location location, version_log &log, std::function<void()> onUpdate, std::uint64_t seed);

    void setWatching(bool watching) override;
    bool watching() const override { return m_watching; }
    void refresh(std::function<void(bool reached)> done) override;
    void submit(version_record record, std::uint64_t base, submission_handler done) override;
    bool reachable() const override { return m_reachable; }

private:
    void restart();
    void handleRestore();
    void handleSilence();
    void fetchNext();
    void readDocument();
    void watchDocument();
    void handleListing(const result<store_listing> &listing, const char *step);
    void applyListing(const store_listing &listing);
    void logPosition(const store_listing &listing);

    event_loop &m_loop;
    store &m_store;
    document_location m_location;
    version_log &m_log;
    std::function<void()> m_onUpdate;
    std::uint64_t m_index = 0; ///< store index from which the next watch continues; 0 if the document must be read first
    std::optional<std::uint64_t> m_indexEpoch; ///< epoch of the store that gave out the index
    millis m_readAt{0};
    std::uint64_t m_lastIndex = 0; ///< store index of the last reading of the document
    bool m_positionLost = false; ///< whether a call failed since
    std::uint64_t m_generation = 0;
    backoff m_backoff;
    bool m_watching = false;
    bool m_reachable = false;
    event_watcher_ptr m_retry;
};

} // namespace turmericspar
