#include "turmericspar/policy/suspects.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace turmericspar {

run_evidence evidenceOf(const run_end &end)
{
    constexpr int firstServerError = 500;
    if (end.ran) {
        // An upstream that fails a request may not have run it.
        return end.status < firstServerError ? run_evidence::completed : run_evidence::nothing;
    }
    if (!end.sent || end.refused) {
        return run_evidence::nothing;
    }
    return end.broken ? run_evidence::broke : run_evidence::abandoned;
}

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
    const millis lifetime = entry.crashes >= m_tuning.crashesToIsolate ? m_tuning.convictionMemory : m_tuning.suspicionLifetime;
    return now - entry.at < lifetime ? entry.level : suspicion_level::none;
}

request_standing suspects::standing(request_digest digest, millis now) const
{
    switch (level(digest, now)) {
    case suspicion_level::convicted:
        return request_standing::convicted;
    case suspicion_level::suspect: {
        const auto &entry = m_entries.at(digest);
        const bool isolated = entry.crashes >= m_tuning.crashesToIsolate || entry.level == suspicion_level::convicted;
        return isolated ? request_standing::isolated_suspect : request_standing::suspect;
    }
    case suspicion_level::none:
        break;
    }
    return m_completed.lastRun(digest, now) ? request_standing::proven : request_standing::unproven;
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

/// Ends a suspicion or a conviction here and at the other nodes.
void suspects::clear(request_digest digest, millis now)
{
    put({digest, suspicion_level::none, now, convictionsOf(digest), 0, {}}, now);
    m_updates.push_back(m_entries.at(digest));
}

void suspects::recordBrokenCall(request_digest digest, std::size_t running, millis now, std::optional<millis> startedAt)
{
    if (startedAt && m_lastCrashAt && *startedAt <= *m_lastCrashAt) {
        const auto found = m_entries.find(digest);
        const bool blamed = found != m_entries.end() && found->second.level != suspicion_level::none && found->second.at >= *m_lastCrashAt;
        if (!blamed && !m_completed.lastRun(digest, now)) {
            blame(digest, false, now);
        }
        return;
    }
    if (m_broken.empty()) {
        m_windowStart = now;
        m_runningAtWindowStart = running;
    }
    m_broken.push_back(digest);
}

void suspects::recordAbandonedCall(request_digest digest, millis now)
{
    forgetAbandoned(now);
    if (m_abandoned.size() >= m_tuning.abandonedMax) {
        m_abandoned.pop_front();
    }
    m_abandoned.emplace_back(digest, now);
}

void suspects::forgetAbandoned(millis now)
{
    while (!m_abandoned.empty() && now - m_abandoned.front().second >= m_tuning.abandonedMemory) {
        m_abandoned.pop_front();
    }
}

void suspects::recordCompletedCall(request_digest digest, millis now)
{
    m_completed.record(digest, now);
    const auto found = m_entries.find(digest);
    if (found != m_entries.end() && found->second.level != suspicion_level::none) {
        clear(digest, now);
    }
}

bool suspects::quiet(millis now)
{
    forgetAbandoned(now);
    return std::all_of(m_abandoned.begin(), m_abandoned.end(), [&](const auto &call) { return m_completed.lastRun(call.first, now).has_value(); });
}

bool suspects::crashLikely(millis now) const
{
    const bool decided = !m_broken.empty() && now - m_windowStart >= m_tuning.crashWindow;
    return decided && static_cast<double>(m_broken.size()) >= m_tuning.crashShare * static_cast<double>(m_runningAtWindowStart);
}

std::optional<crash_report> suspects::tick(millis now, bool upstreamLives, const std::vector<request_digest> &stillRunning)
{
    if (m_broken.empty() || now - m_windowStart < m_tuning.crashWindow) {
        return std::nullopt;
    }
    const bool crashed = crashLikely(now) && !upstreamLives;
    const auto broken = std::exchange(m_broken, {});
    if (!crashed) {
        // The upstream may yet crash because of one of these.
        for (const auto digest : broken) {
            recordAbandonedCall(digest, now);
        }
        return std::nullopt;
    }

    m_lastCrashAt = m_windowStart;

    // Step 1. The requests that may have caused it: all that ran there, but for those that are known to complete
    forgetAbandoned(now);
    const auto proven = [&](request_digest digest) { return m_completed.lastRun(digest, now).has_value(); };
    std::set<request_digest> candidates;
    std::set<request_digest> beside;
    crash_report report;
    report.broken = broken.size();
    for (const auto digest : broken) {
        if (proven(digest)) {
            ++report.excluded;
        } else {
            candidates.insert(digest);
        }
    }
    for (const auto &[digest, at] : m_abandoned) {
        if (!proven(digest)) {
            candidates.insert(digest);
        }
    }
    for (const auto digest : stillRunning) {
        if (!proven(digest) && !candidates.contains(digest)) {
            beside.insert(digest);
        }
    }
    report.candidates = candidates.size();
    report.beside = beside.size();

    // Step 2. Blame them. If all are known to complete, the crash has another cause
    const bool alone = candidates.size() == 1 && beside.empty();
    for (const auto digest : candidates) {
        blame(digest, alone, now);
    }
    return report;
}

/// Raises the level of a request that may have caused a crash.
/// @param alone whether nothing else may have caused it
void suspects::blame(request_digest digest, bool alone, millis now)
{
    if (level(digest, now) == suspicion_level::convicted) {
        return;
    }
    const auto found = m_entries.find(digest);
    const auto before = found == m_entries.end() ? suspicion{} : found->second;
    // One crash may have another cause. A request that was there at two and completed nowhere in between is taken for theirs.
    const bool blamedBefore = before.level != suspicion_level::none && now - before.at < m_tuning.convictionMemory;
    const bool convicted = alone && blamedBefore;
    suspicion raised{digest, convicted ? suspicion_level::convicted : suspicion_level::suspect, now, before.convictions + (convicted ? 1 : 0), 1, now};
    if (blamedBefore) {
        raised.crashes = std::min(std::max(before.crashes, 1) + 1, suspicion::crashesMax);
        raised.since = before.since.count > 0 ? before.since : before.at;
    }
    put(raised, now);
    m_updates.push_back(m_entries.at(digest));
}

/// @return whether a run of the request completed here after the first of the crashes for which it is suspected.
bool suspects::contradicts(const suspicion &update, millis now) const
{
    const auto completedAt = m_completed.lastRun(update.digest, now);
    return update.level != suspicion_level::none && completedAt && *completedAt > update.since;
}

/// @return an entry of another node with what is known here of the same crashes.
suspicion suspects::combined(suspicion update) const
{
    update.since = update.since.count > 0 ? update.since : update.at;
    update.crashes = std::max(update.crashes, update.level == suspicion_level::none ? 0 : 1);
    const auto found = m_entries.find(update.digest);
    if (found == m_entries.end() || update.level != suspicion_level::suspect) {
        return update;
    }
    const auto &known = found->second;
    if (known.level == suspicion_level::none) {
        // Of the crashes that it states, those before the completed run do not count.
        if (known.at > update.since) {
            update.crashes = 1;
            update.since = update.at;
        }
    } else {
        update.crashes = std::max(update.crashes, known.crashes);
        update.since = known.since.count > 0 ? std::min(update.since, known.since) : update.since;
    }
    return update;
}

void suspects::merge(const suspicion &reported, millis now)
{
    const auto update = combined(reported);
    const auto found = m_entries.find(update.digest);
    const int stated = std::max(update.convictions, update.level == suspicion_level::convicted ? 1 : 0);
    if (contradicts(update, now)) {
        // Only a conviction is worth messages: a suspect is cleared by its next run.
        if (update.level == suspicion_level::convicted && (found == m_entries.end() || stated >= found->second.convictions)) {
            put(update, now);
            clear(update.digest, now);
        }
        return;
    }
    if (standing(update.digest, now) == request_standing::proven && update.level == suspicion_level::suspect && update.crashes < m_tuning.crashesToIsolate) {
        return;
    }
    if (found == m_entries.end() || stated > found->second.convictions) {
        put(update, now);
        return;
    }
    const auto known = found->second;
    const bool knowsLess = stated < known.convictions || (isConvicted(known, now) && update.level == suspicion_level::suspect);
    if (!knowsLess) {
        if (update.at > known.at || (update.at == known.at && update.level == suspicion_level::none)) {
            put(update, now);
        }
    } else if (update.level == suspicion_level::suspect && known.level == suspicion_level::convicted) {
        m_updates.push_back(known);
    }
}

bool suspects::lift(request_digest digest, millis now)
{
    if (level(digest, now) != suspicion_level::convicted) {
        return false;
    }
    clear(digest, now);
    return true;
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

std::vector<suspicion> suspects::known() const
{
    std::vector<suspicion> entries;
    for (const auto &[digest, entry] : m_entries) {
        entries.push_back(entry);
    }
    return entries;
}

std::vector<suspicion> suspects::takeUpdates()
{
    return std::exchange(m_updates, {});
}

} // namespace turmericspar
