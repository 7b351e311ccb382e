#include "turmericspar/policy/silence.h"

#include <algorithm>

namespace turmericspar {

void silence_watch::sent(call_id id, millis spared, millis now)
{
    if (m_open.empty()) {
        // Nothing was due until now.
        m_answeredAt = now;
    }
    m_open[id] = {now, spared};
}

void silence_watch::ended(call_id id, bool answered, millis now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return;
    }
    const millis sentAt = found->second.sentAt;
    m_open.erase(found);
    if (!answered) {
        return;
    }
    m_answeredAt = now;
    m_longest = std::max(now - sentAt, m_longest * m_tuning.silenceLongestDecay);
    if (sentAt > m_latestSent.front()) {
        m_latestSent.front() = sentAt;
        std::sort(m_latestSent.begin(), m_latestSent.end());
    }
}

millis silence_watch::patience() const
{
    return std::max(m_tuning.silenceLeast, m_longest * m_tuning.silenceFactor);
}

/// @return a few of the calls that wait longest, to be sent again on other connections: their answers prove the rest.
std::vector<call_id> silence_watch::oldestOverdue(millis now) const
{
    std::vector<std::pair<millis, call_id>> waiting;
    for (const auto &[id, call] : m_open) {
        if (isOverdue(call, now)) {
            waiting.emplace_back(call.sentAt, id);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    waiting.resize(std::min(waiting.size(), proofs));
    std::vector<call_id> found;
    for (const auto &[sentAt, id] : waiting) {
        found.push_back(id);
    }
    return found;
}

/// Notes that a call's connection is held for silent.
void silence_watch::find(call_id id, millis now, silence_findings &findings)
{
    auto &call = m_open.at(id);
    const bool isSpared = now < call.spared;
    if (!isSpared) {
        findings.silent.push_back(id);
    }
    if (!isSpared || !call.suspected) {
        findings.replaceBefore = std::max(call.sentAt, findings.replaceBefore.value_or(call.sentAt));
    }
    call.suspected = true;
}

silence_findings silence_watch::look(millis now)
{
    silence_findings findings;
    if (m_longest.count == 0 || now - m_lookedAt < m_tuning.silenceLookPeriod) {
        return findings;
    }
    m_lookedAt = now;

    // Step 1. Calls that others overtook
    for (const auto &[id, call] : m_open) {
        if (isOverdue(call, now) && call.sentAt < m_latestSent.front()) {
            find(id, now, findings);
        }
    }

    // Step 2. A few, if nothing is answered at all
    if (findings.silent.empty() && now - m_answeredAt > patience()) {
        for (const auto id : oldestOverdue(now)) {
            find(id, now, findings);
        }
        m_answeredAt = now;
    }
    std::sort(findings.silent.begin(), findings.silent.end());
    for (const auto id : findings.silent) {
        m_open.erase(id);
    }
    return findings;
}

} // namespace turmericspar
