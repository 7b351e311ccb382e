/// @file completed_requests.h
/// A memory of fixed size for requests that ran to their end lately.
#pragma once

#include "turmericspar/base/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmericspar {

/// A hash of the content of a request: equal for all its copies.
using request_digest = std::uint64_t;

/// @return the digest that a text of 16 hexadecimal digits states; nothing if it is malformed.
std::optional<request_digest> parseDigest(std::string_view text);

/// Remembers when requests last ran to their end. Frequent requests stay in it; of those that are rare, later ones take the place of earlier ones.
class completed_requests
{
public:
    /// @param slots for how many requests there is room
    explicit completed_requests(std::size_t slots) : m_slotCount(slots) { }

    static constexpr millis memory{60'000}; ///< how long a completed run counts

    void record(request_digest digest, millis now);
    /// @return when the request last ran to its end, if that still counts.
    std::optional<millis> lastRun(request_digest digest, millis now) const;

private:
    struct slot
    {
        request_digest digest = 0;
        std::optional<millis> at;
    };

    std::size_t m_slotCount;
    std::vector<slot> m_slots; ///< allocated with the first run
};

} // namespace turmericspar
