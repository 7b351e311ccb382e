#include "turmericspar/policy/suspects.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericspar {

millis suspects::expiry(const suspicion &entry) const
{
    const millis life = m_tuning.convictionLifetime * std::pow(m_tuning.convictionGrowth, std::max(entry.convictions - 1, 0));
    return entry.at + std::min(life, m_tuning.convictionMemory);
}

bool suspects::isConvicted(const suspicion &entry, millis now) const
{
    return entry.level == suspicion_level::convicted && now < expiry(entry);
}

int suspects::convictionsOf(request_digest digest) const
{
    const auto found = m_entries.find(digest);
    return found == m_entries.end() ? 0 : found->second.convictions;
}

suspicion_level suspects::level(request_digest digest, millis now) const
{
    const auto found = m_entries.find(digest);
    if (found == m_entries.end()) {
        return suspicion_level::none;
    }
    const auto &entry = found->second;
    if (entry.level == suspicion_level::convicted) {
        const bool remembered = now < expiry(entry) + m_tuning.convictionMemory;
        return isConvicted(entry, now) ? suspicion_level::convicted : (remembered ? suspicion_level::suspect : suspicion_level::none);
    }
    return now - entry.at < m_tuning.suspicionLifetime ? entry.level : suspicion_level::none;
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

void suspects::put(suspicion entry, millis now)
{
    // Entries expire by their time but are not removed. A full table keeps the convictions, unless it has nothing else.
    if (m_entries.size() >= m_tuning.entriesMax && !m_entries.contains(entry.digest)) {
        std::erase_if(m_entries, [&](const auto &item) { return !isConvicted(item.second, now); });
        if (m_entries.size() >= m_tuning.entriesMax) {
            m_entries.clear();
        }
    }
    entry.convictions = std::max(entry.convictions, entry.level == suspicion_level::convicted ? 1 : 0);
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
    const suspicion cleared{digest, suspicion_level::none, now, convictionsOf(digest)};
    put(cleared, now);
    m_updates.push_back(cleared);
}

bool suspects::crashLikely(millis now) const
{
    const bool decided = !m_broken.empty() && now - m_windowStart >= m_tuning.crashWindow;
    return decided && static_cast<double>(m_broken.size()) >= m_tuning.crashShare * static_cast<double>(m_runningAtWindowStart);
}

void suspects::tick(millis now, bool upstreamLives)
{
    if (m_broken.empty() || now - m_windowStart < m_tuning.crashWindow) {
        return;
    }
    const bool crashed = crashLikely(now) && !upstreamLives;
    const auto broken = std::exchange(m_broken, {});
    if (!crashed) {
        return;
    }
    const auto suspected = [&](request_digest digest) { return level(digest, now) == suspicion_level::suspect; };
    const auto suspectCount = std::count_if(broken.begin(), broken.end(), suspected);
    for (const auto digest : broken) {
        if (level(digest, now) == suspicion_level::convicted) {
            continue;
        }
        // A request that was already suspected, and was the only suspect among the broken calls, caused the crash.
        const bool proven = suspected(digest) && suspectCount == 1;
        const auto raised = proven ? suspicion_level::convicted : suspicion_level::suspect;
        put({digest, raised, now, convictionsOf(digest) + (proven ? 1 : 0)}, now);
        m_updates.push_back(m_entries.at(digest));
    }
}

void suspects::merge(const suspicion &update, millis now)
{
    const auto found = m_entries.find(update.digest);
    const int stated = std::max(update.convictions, update.level == suspicion_level::convicted ? 1 : 0);
    if (found == m_entries.end() || stated > found->second.convictions) {
        put(update, now);
        return;
    }
    const auto known = found->second;
    const bool knowsLess = stated < known.convictions || (isConvicted(known, now) && update.level != suspicion_level::convicted);
    if (!knowsLess) {
        if (update.at > known.at) {
            put(update, now);
        }
    } else if (update.level == suspicion_level::suspect && known.level == suspicion_level::convicted) {
        m_updates.push_back(known);
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
