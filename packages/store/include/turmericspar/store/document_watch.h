/// @file document_watch.h
/// A configuration document that operators keep whole under one key of the store.
#pragma once

#include "turmericspar/base/backoff.h"
#include "turmericspar/store/store.h"
#include "turmericspar/store/version_source.h"

#include <functional>
#include <string>

namespace turmericspar {

/// Where operators keep their document, and how it is read.
struct document_place
{
    std::string key; ///< empty if operators do not write into the store
    std::function<result<version_snapshot>(const std::string &value)> read;
};

/// Follows such a document. Operators write it themselves, so no patch is submitted through a node.
class document_watch : public version_source
{
public:
    /// @param onAdvance told after the log has grown
    document_watch(event_loop &loop, store &access, document_place place, version_log &log, std::function<void()> onAdvance, std::uint64_t seed);

    void setWatching(bool watching) override;
    bool watching() const override { return m_watching; }
    void refresh(std::function<void(bool reached)> done) override;
    void submit(version_record record, std::uint64_t base, submission_handler done) override;
    bool reachable() const override { return m_reachable; }

private:
    void next();
    void readOnce();
    void watchOnce();
    void took(const result<store_listing> &listing, const char *step);
    void absorb(const store_listing &listing);

    event_loop &m_loop;
    store &m_store;
    document_place m_place;
    version_log &m_log;
    std::function<void()> m_onAdvance;
    std::uint64_t m_index = 0; ///< from which the next watch goes on; 0 if the document must be read first
    millis m_readAt{0};
    std::uint64_t m_generation = 0;
    backoff m_backoff;
    bool m_watching = false;
    bool m_reachable = false;
    event_watcher_ptr m_retry;
};

} // namespace turmericspar
