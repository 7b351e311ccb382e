/// @file store.h
/// The client of the platform's key-value service. Its HTTP interface is that of the Consul KV store.
#pragma once

#include "turmericspar/base/http_client.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericspar {

/// A key with its value.
struct store_entry
{
    std::string key;
    std::string value;
    std::uint64_t index = 0; ///< of the last change, for compare-and-swap
};

/// What a watch or a read of a prefix gave.
struct store_listing
{
    std::vector<store_entry> entries; ///< sorted by key
    std::uint64_t index = 0; ///< to wait for a later change
};

/// What is known of a write.
enum class write_effect {
    took_effect,
    did_not, ///< refused: the key was not as expected, or the store never got the write
    not_known, ///< the answer is lost; it may take effect even later
};

/// What became of a write.
struct write_result
{
    write_effect effect = write_effect::not_known;
    failure error; ///< why, unless it took effect
};

/// Bounds on how the store is used.
struct store_options
{
    endpoint address;
    millis timeout{2000}; ///< for reads and writes
    millis watchSpan{30'000}; ///< how long the store holds a watch open
    millis backoffLeast{200}; ///< wait after a failed watch
    millis backoffMost{10'000};
    double callsPerSecond = 20; ///< the node's own bound
};

/// One node's access to the store. Each call opens a connection of its own, or uses one that is free.
class store
{
public:
    using listing_handler = std::function<void(result<store_listing>)>;
    using write_handler = std::function<void(write_result)>;

    store(event_loop &loop, store_options options);
    ~store();

    /// Reads all keys below a prefix.
    void list(const std::string &prefix, listing_handler done);
    /// Waits until something below a prefix is newer than an index.
    void watch(const std::string &prefix, std::uint64_t index, listing_handler done);
    /// Writes a key that must not exist.
    void createIfAbsent(const std::string &key, const std::string &value, write_handler done);
    /// Writes a key that must not have changed since an index.
    void compareAndSwap(const std::string &key, std::uint64_t index, const std::string &value, write_handler done);

    /// Removes a key; that it is gone already is no error.
    void remove(const std::string &key, write_handler done);

    /// Opens a lease: keys held under it go when it is not renewed within its span.
    void openLease(millis span, std::function<void(result<std::string>)> done);
    /// Renews a lease; `did_not` means that it has lapsed.
    void renewLease(const std::string &lease, write_handler done);
    /// Writes a key under a lease, unless another lease holds it.
    void holdKey(const std::string &key, const std::string &value, const std::string &lease, write_handler done);

    /// @return calls made since the start.
    std::uint64_t callCount() const { return m_calls; }

private:
    void call(http_request request, millis timeout, http_client::answer_handler done);
    void write(const std::string &target, const std::string &value, write_handler done);
    void readListing(const std::string &target, millis timeout, listing_handler done);

    event_loop &m_loop;
    store_options m_options;
    std::uint64_t m_calls = 0;
    std::vector<std::unique_ptr<http_client>> m_clients;
};

/// @return bytes in Base64 (RFC 4648).
std::string toBase64(const std::string &bytes);
/// @return the bytes of a Base64 text; empty if it is none.
std::string fromBase64(const std::string &text);

} // namespace turmericspar
