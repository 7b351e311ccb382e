#include "turmericspar/store/document_watch.h"

#include "turmericspar/base/log.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Delays after failures. Kept short, since a configuration must be in force within seconds after the store is reachable again.
constexpr millis backoffMin{100};
constexpr millis backoffMax{1000};
/// A watch that ended without a change continues from the same index, since the store may have failed to report one. After this period
/// the document is read again, before the store discards the history since that index.
constexpr millis rereadPeriod{8000};

} // namespace

document_watch::document_watch(
    event_loop &loop, store &client, document_location location, version_log &log, std::function<void()> onUpdate, std::uint64_t seed)
    : m_loop(loop), m_store(client), m_location(std::move(location)), m_log(log), m_onUpdate(std::move(onUpdate)), m_backoff(backoffMin, backoffMax, seed)
{
    m_store.onRestored([this] { handleRestore(); });
    m_store.onSilence([this] { handleSilence(); });
}

void document_watch::setWatching(bool watching)
{
    if (watching == m_watching) {
        return;
    }
    m_watching = watching;
    restart();
}

/// Abandons the call in progress, and reads the document if this node is watching.
void document_watch::restart()
{
    ++m_generation;
    m_index = 0;
    m_retry.reset();
    if (m_watching) {
        fetchNext();
    }
}

/// Reads the document again if the position of the watch is one of the history that was lost: the same index now stands for another change.
void document_watch::handleRestore()
{
    if (m_index != 0 && m_indexEpoch != m_store.epoch()) {
        m_positionLost = true;
        restart();
    }
}

/// Reads the document on another connection if a watch waits on one that may have gone silent.
void document_watch::handleSilence()
{
    if (m_watching && m_index != 0) {
        logEvent(log_level::info, "store_watch_renewed", {{"reason", "another call was not answered"}});
        restart();
    }
}

void document_watch::refresh(std::function<void(bool reached)> done)
{
    m_store.list(m_location.key, [this, done = std::move(done)](const result<store_listing> &listing) {
        m_reachable = static_cast<bool>(listing);
        if (listing) {
            applyListing(*listing);
        }
        done(m_log.version() > 0);
    });
}

void document_watch::submit(version_record record, std::uint64_t base, submission_handler done)
{
    (void)record;
    (void)base;
    done({submission_verdict::unavailable, m_log.version(), {}, "operators of this deployment write the configuration into the platform's store"});
}

void document_watch::fetchNext()
{
    if (m_index == 0) {
        readDocument();
    } else {
        watchDocument();
    }
}

void document_watch::readDocument()
{
    m_store.list(m_location.key, [this, generation = m_generation](const result<store_listing> &listing) {
        if (generation == m_generation) {
            handleListing(listing, "read");
        }
    });
}

void document_watch::watchDocument()
{
    m_store.watch(m_location.key, m_index, [this, generation = m_generation](const result<store_listing> &listing) {
        if (generation == m_generation) {
            handleListing(listing, "watch");
        }
    });
}

/// Handles an answer of the store and schedules the next call. After a failure the document is read again, since the store may have
/// discarded history in the meantime.
void document_watch::handleListing(const result<store_listing> &listing, const char *step)
{
    if (static_cast<bool>(listing) != m_reachable) {
        m_reachable = static_cast<bool>(listing);
        logEvent(m_reachable ? log_level::info : log_level::warning, m_reachable ? "store_regained" : "store_lost", {{"step", step}});
    }
    if (listing) {
        m_backoff.reset();
        const millis now = monotonicNow();
        if (m_index == 0) {
            m_readAt = now;
            m_index = listing->index;
            m_indexEpoch = m_store.epoch();
            logPosition(*listing);
        } else if (!listing->entries.empty()) {
            m_index = listing->index;
        } else if (now - m_readAt > rereadPeriod) {
            m_index = 0;
        }
        applyListing(*listing);
        m_retry = m_loop.after({0}, [this] { fetchNext(); });
        return;
    }
    logFailure(log_level::warning, "store_watch_failed", listing.error(), {{"step", step}});
    m_index = 0;
    m_positionLost = true;
    m_retry = m_loop.after(m_backoff.next(), [this] { fetchNext(); });
}

/// Logs where in the store's history a watch starts, if that is not where the previous one would have gone on.
void document_watch::logPosition(const store_listing &listing)
{
    const bool wentBack = listing.index < m_lastIndex;
    const auto previous = std::exchange(m_lastIndex, listing.index);
    if (previous != 0 && !wentBack && !m_positionLost) {
        return;
    }
    m_positionLost = false;
    const auto document = std::find_if(listing.entries.begin(), listing.entries.end(), [&](const auto &entry) { return entry.key == m_location.key; });
    const auto stored = document == listing.entries.end() ? result<version_snapshot>(version_snapshot{}) : m_location.read(document->value);
    logEvent(wentBack ? log_level::warning : log_level::info,
             "store_position",
             {{"index", listing.index},
              {"previous_index", previous},
              {"epoch", m_store.epoch().value_or(0)},
              {"stored_version", stored ? stored->version : 0},
              {"version", m_log.version()}});
}

/// Applies the document. One that can't be parsed, is not valid or is older never replaces the current one.
void document_watch::applyListing(const store_listing &listing)
{
    for (const auto &entry : listing.entries) {
        if (entry.key != m_location.key) {
            continue;
        }
        const auto snapshot = m_location.read(entry.value);
        if (!snapshot) {
            logFailure(log_level::error, "configuration_refused", snapshot.error(), {{"index", entry.index}});
        } else if (m_log.restore(*snapshot)) {
            m_onUpdate();
        } else if (snapshot->version > m_log.version()) {
            logEvent(log_level::error, "configuration_refused", {{"version", snapshot->version}, {"reason", "the document is not sound"}});
        }
    }
}

} // namespace turmericspar
