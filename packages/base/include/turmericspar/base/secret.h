/// @file secret.h
/// The shared keys of a deployment, the keys derived from them, and hash functions. Keys are read from files and must never be logged.
#pragma once

#include "turmericspar/base/error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericspar {

/// A key for one purpose, derived from a shared key.
using derived_key = std::array<unsigned char, 32>;

class shared_key
{
public:
    explicit shared_key(std::string material);

    /// Reads a key file of 32 to 4096 bytes, not counting trailing line breaks. It may not be writable by its group nor accessible to other users.
    static result<shared_key> read(const std::string &path);

    /// @return the HMAC-SHA256 of the label. Different labels give independent keys.
    derived_key derive(std::string_view label) const;

    /// @return the bearer token that authorizes operator requests, in hexadecimal.
    std::string operatorToken() const;

private:
    std::string m_material;
};

/// The keys that a node accepts. It signs with the first one.
using key_ring = std::vector<shared_key>;

/// @return the message authentication code (HMAC-SHA256) of the data.
std::string authenticationCode(const derived_key &key, std::string_view data);

/// Compares in constant time, so that the duration does not reveal where two strings of equal length differ.
bool equalsInConstantTime(std::string_view left, std::string_view right);

/// @return the bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

/// @return cryptographically secure random bytes.
std::string randomBytes(std::size_t size);

/// @return a 64-bit XXH3 hash, which is the same on every machine. Not for security.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace turmericspar
