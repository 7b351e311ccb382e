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

/// @return whether enough calls that were sent later have been answered.
bool silence_watch::isProven(const open_call &call, millis now) const
{
    return now - call.sentAt > patience() && call.sentAt < m_latestSent.front() && now >= call.spared;
}

/// @return a few of the calls that wait longest, to be sent again on other connections: their answers prove the rest.
std::vector<call_id> silence_watch::oldest(millis now) const
{
    std::vector<std::pair<millis, call_id>> waiting;
    for (const auto &[id, call] : m_open) {
        if (now - call.sentAt > patience() && now >= call.spared) {
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

std::vector<call_id> silence_watch::takeSilent(millis now)
{
    if (m_longest.count == 0 || now - m_lookedAt < m_tuning.silenceLookPeriod) {
        return {};
    }
    m_lookedAt = now;
    std::vector<call_id> silent;
    for (const auto &[id, call] : m_open) {
        if (isProven(call, now)) {
            silent.push_back(id);
        }
    }
    if (silent.empty() && now - m_answeredAt > patience()) {
        silent = oldest(now);
        m_answeredAt = now;
    }
    std::sort(silent.begin(), silent.end());
    for (const auto id : silent) {
        m_open.erase(id);
    }
    return silent;
}

} // namespace turmericspar
