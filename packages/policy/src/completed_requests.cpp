#include "turmericspar/policy/completed_requests.h"

namespace turmericspar {

void completed_requests::record(request_digest digest, millis now)
{
    if (m_slots.empty()) {
        m_slots.resize(slots);
    }
    m_slots[digest % slots] = {digest, now};
}

void completed_requests::forget(request_digest digest)
{
    if (!m_slots.empty() && m_slots[digest % slots].digest == digest) {
        m_slots[digest % slots] = {};
    }
}

std::optional<millis> completed_requests::lastRun(request_digest digest, millis now) const
{
    if (m_slots.empty()) {
        return std::nullopt;
    }
    const auto &found = m_slots[digest % slots];
    const bool counts = found.digest == digest && found.at && now - *found.at < memory;
    return counts ? found.at : std::nullopt;
}

} // namespace turmericspar
