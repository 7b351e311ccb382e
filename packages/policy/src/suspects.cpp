#include "turmericspar/policy/suspects.h"

#include <algorithm>
#include <utility>

namespace turmericspar {

suspicion_level suspects::level(request_digest digest, millis now) const
{
    const auto found = m_entries.find(digest);
    if (found == m_entries.end()) {
        return suspicion_level::none;
    }
    const millis life = found->second.level == suspicion_level::convicted ? m_tuning.convictionLifetime : m_tuning.suspicionLifetime;
    return now - found->second.at < life ? found->second.level : suspicion_level::none;
}

std::optional<suspicion> suspects::conviction(request_digest digest, millis now) const
{
    return level(digest, now) == suspicion_level::convicted ? std::optional<suspicion>(m_entries.at(digest)) : std::nullopt;
}

std::size_t suspects::activeCount(millis now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &entry) { return level(entry.first, now) != suspicion_level::none; }));
}

void suspects::put(const suspicion &entry)
{
    // Entries expire by their time but are not removed; a full table is cleared.
    if (m_entries.size() >= m_tuning.entriesMax) {
        m_entries.clear();
    }
    m_entries[entry.digest] = entry;
}

void suspects::recordBrokenCall(request_digest digest, std::size_t running, millis now)
{
    if (m_broken.empty()) {
        m_windowStart = now;
        m_runningAtWindowStart = running;
    }
    m_broken.push_back(digest);
}

void suspects::recordCompletedCall(request_digest digest, millis now)
{
    if (level(digest, now) != suspicion_level::suspect) {
        return;
    }
    const suspicion cleared{digest, suspicion_level::none, now};
    put(cleared);
    m_updates.push_back(cleared);
}

void suspects::tick(millis now)
{
    if (m_broken.empty() || now - m_windowStart < m_tuning.crashWindow) {
        return;
    }
    const auto broken = std::exchange(m_broken, {});
    const bool crash = static_cast<double>(broken.size()) >= m_tuning.crashShare * static_cast<double>(m_runningAtWindowStart);
    if (!crash) {
        return;
    }
    const auto suspected = [&](request_digest digest) { return level(digest, now) == suspicion_level::suspect; };
    const auto suspectCount = std::count_if(broken.begin(), broken.end(), suspected);
    for (const auto digest : broken) {
        // A request that was already suspected, and was the only suspect among the broken calls, caused the crash.
        const bool proven = suspected(digest) && suspectCount == 1;
        const suspicion entry{digest, proven ? suspicion_level::convicted : suspicion_level::suspect, now};
        if (level(digest, now) != suspicion_level::convicted) {
            put(entry);
            m_updates.push_back(entry);
        }
    }
}

void suspects::merge(const suspicion &update, millis now)
{
    const bool convicted = level(update.digest, now) == suspicion_level::convicted;
    if (convicted && update.level != suspicion_level::convicted) {
        if (update.level == suspicion_level::suspect) {
            m_updates.push_back(m_entries.at(update.digest));
        }
        return;
    }
    const auto found = m_entries.find(update.digest);
    const bool convicts = !convicted && update.level == suspicion_level::convicted && now - update.at < m_tuning.convictionLifetime;
    if (convicts || found == m_entries.end() || update.at > found->second.at) {
        put(update);
    }
}

std::vector<suspicion> suspects::active(millis now) const
{
    std::vector<suspicion> entries;
    for (const auto &[digest, entry] : m_entries) {
        if (level(digest, now) != suspicion_level::none) {
            entries.push_back(entry);
        }
    }
    return entries;
}

std::vector<suspicion> suspects::takeUpdates()
{
    return std::exchange(m_updates, {});
}

} // namespace turmericspar
