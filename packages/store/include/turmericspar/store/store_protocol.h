/// @file store_protocol.h
/// The wire protocol of a key-value service: encodes the calls of the store client and decodes the answers.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/http_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericspar {

/// A key with its value.
struct store_entry
{
    std::string key;
    std::string value;
    std::uint64_t index = 0; ///< index of the last change, for compare-and-swap
    std::string lease = {}; ///< id of the lease that the key belongs to; empty for none
};

/// The result of a watch or of reading a prefix.
struct store_listing
{
    std::vector<store_entry> entries; ///< sorted by key; in the order of the changes for a watch that reports only changes
    std::uint64_t index = 0; ///< the store's index, from which a watch waits for later changes
    std::string continueAfter; ///< the key after which the next page of the listing starts; empty if the listing is complete
};

/// Whether a write took effect.
enum class write_outcome {
    applied,
    not_applied, ///< refused: the condition did not hold, or the write never reached the store
    unknown, ///< the answer was lost; the write may even take effect later
};

/// The result of a write.
struct write_result
{
    write_outcome outcome = write_outcome::unknown;
    failure error; ///< the reason, unless the write was applied
};

/// The condition and the lease of a write.
struct write_options
{
    bool conditional = false; ///< whether the write fails if the key has changed since `index`
    std::uint64_t index = 0; ///< 0 if the key must not exist
    std::string lease; ///< the lease that the key belongs to; empty for none
};

/// Whether a read must return the current state. A stale read may lag by seconds but is cheaper for the store.
enum class read_freshness { current, allow_stale };

/// One wire protocol. It only builds requests and parses responses; it does no I/O.
class store_protocol
{
public:
    virtual ~store_protocol() = default;

    /// Reads the keys with a prefix that sort after `continueAfter`.
    virtual http_request list(const std::string &prefix, const std::string &continueAfter, read_freshness freshness) const = 0;
    /// Waits until a key with a prefix has changed after an index, or for `timeout`.
    virtual http_request watch(const std::string &prefix, std::uint64_t index, millis timeout) const = 0;
    virtual http_request write(const std::string &key, const std::string &value, const write_options &options) const = 0;
    virtual http_request remove(const std::string &key) const = 0;
    virtual http_request openLease(millis ttl) const = 0;
    virtual http_request renewLease(const std::string &lease) const = 0;

    /// @return the epoch that the answer states: a number that rises each time the store is restored from an older copy; nothing if it states none
    virtual std::optional<std::uint64_t> readEpoch(const http_response &response) const
    {
        (void)response;
        return std::nullopt;
    }
    /// @return the epoch of a store that has not stated one yet; nothing if such a store may be restored unnoticed
    virtual std::optional<std::uint64_t> epochBeforeStatement() const { return std::nullopt; }
    virtual result<store_listing> readListing(const http_response &response) const = 0;
    virtual result<store_listing> readWatch(const http_response &response) const = 0;
    virtual write_result readWrite(const http_response &response) const = 0;
    virtual result<std::string> readLease(const http_response &response) const = 0;
};

/// @return the failure for a response that can't be parsed.
failure malformedResponse(const std::string &detail);

/// Creates the protocol of the Consul KV store.
std::unique_ptr<store_protocol> makeConsulProtocol();

/// @return bytes in Base64 (RFC 4648).
std::string toBase64(const std::string &bytes);
/// @return the bytes of a Base64 text; empty if it is not valid.
std::string fromBase64(const std::string &text);

} // namespace turmericspar
