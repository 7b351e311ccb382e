#include "turmericspar/policy/completed_requests.h"

#include <charconv>

namespace turmericspar {

std::optional<request_digest> parseDigest(std::string_view text)
{
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    request_digest digest = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), digest, hexadecimal);
    const bool valid = text.size() == digits && error == std::errc{} && end == text.data() + text.size();
    return valid ? std::optional<request_digest>(digest) : std::nullopt;
}

void completed_requests::record(request_digest digest, millis now)
{
    if (m_slots.empty()) {
        m_slots.resize(m_slotCount);
    }
    m_slots[digest % m_slotCount] = {digest, now};
}

std::optional<millis> completed_requests::lastRun(request_digest digest, millis now) const
{
    if (m_slots.empty()) {
        return std::nullopt;
    }
    const auto &found = m_slots[digest % m_slotCount];
    const bool counts = found.digest == digest && found.at && now - *found.at < memory;
    return counts ? found.at : std::nullopt;
}

} // namespace turmericspar
