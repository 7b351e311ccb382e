/// @file store.h
/// The client of the platform's key-value service.
#pragma once

#include "turmericspar/store/store_protocol.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericspar {

/// The address and the time-outs of the store.
struct store_options
{
    endpoint address;
    millis timeout{1000}; ///< for reads and writes
    millis watchTimeout{30'000}; ///< how long the store keeps a watch without a change open
};

/// A client of the store. Each call uses an idle connection or opens a new one.
class store
{
public:
    using listing_handler = std::function<void(result<store_listing>)>;
    using write_handler = std::function<void(write_result)>;
    using restore_handler = std::function<void()>;
    using silence_handler = std::function<void()>;

    /// @param protocol the wire protocol of the store; by default that of the Consul KV store
    store(event_loop &loop, store_options options, std::unique_ptr<store_protocol> protocol = makeConsulProtocol());
    ~store();

    /// Reads all keys with a prefix.
    void list(const std::string &prefix, listing_handler done, read_freshness freshness = read_freshness::current);
    /// Waits until a key with a prefix has changed after an index, or until the watch times out.
    void watch(const std::string &prefix, std::uint64_t index, listing_handler done);
    /// Writes a key only if it does not exist.
    void createIfAbsent(const std::string &key, const std::string &value, write_handler done);
    /// Writes a key only if it has not changed since an index.
    void compareAndSwap(const std::string &key, std::uint64_t index, const std::string &value, write_handler done);

    /// Removes a key. Removing a missing key is not an error.
    void remove(const std::string &key, write_handler done);

    /// Opens a lease. Keys written under it are removed if it is not renewed within `ttl`.
    void openLease(millis ttl, std::function<void(result<std::string>)> done);
    /// Renews a lease; `not_applied` means that it has expired.
    void renewLease(const std::string &lease, write_handler done);
    /// Writes a key under a lease.
    void putUnderLease(const std::string &key, const std::string &value, const std::string &lease, write_handler done);

    /// Adds a handler that is called when an answer shows that the store was restored from an older copy: what it acknowledged since that copy is
    /// lost, and its indexes and lease ids are given out again. It is called after the handler of that answer.
    void onRestored(restore_handler handler) { m_restoreHandlers.push_back(std::move(handler)); }

    /// Adds a handler that is called when a call was sent and not answered in time: other connections that were open at that moment may be silent as
    /// well, so that a watch which waits on one of them would not report a change. Idle connections are closed.
    void onSilence(silence_handler handler) { m_silenceHandlers.push_back(std::move(handler)); }

    /// @return calls made since the start.
    std::uint64_t callCount() const { return m_calls; }
    /// @return the epoch that the store stated last; nothing if it states none.
    std::optional<std::uint64_t> epoch() const { return m_epoch; }
    /// @return how often the store was restored from an older copy since the start, as far as its answers show.
    std::uint64_t restoreCount() const { return m_restores; }

private:
    using answer_handler = std::function<void(const result<http_response> &)>;

    void call(http_request request, const char *step, millis timeout, answer_handler done);
    failure restoredMeanwhile(const char *step) const;
    void handleResponse(const http_response &response, std::optional<std::uint64_t> epochAtStart, const char *step, const answer_handler &done);
    void write(http_request request, const char *step, write_handler done);
    void handleSilence();
    void listPage(const std::string &prefix, read_freshness freshness, store_listing previous, listing_handler done);

    event_loop &m_loop;
    store_options m_options;
    std::unique_ptr<store_protocol> m_protocol;
    std::uint64_t m_calls = 0;
    std::optional<std::uint64_t> m_epoch;
    std::uint64_t m_restores = 0;
    std::vector<restore_handler> m_restoreHandlers;
    std::vector<silence_handler> m_silenceHandlers;
    std::vector<std::unique_ptr<http_client>> m_clients;
};

} // namespace turmericspar
