#include "turmericspar/policy/suspect_gate.h"

#include <algorithm>
#include <utility>

namespace turmericspar {

request_standing standingAt(const node_id &self, const node_id &trialNode, request_standing standing)
{
    const bool elsewhere = standing == request_standing::isolated_suspect && !trialNode.empty() && trialNode != self;
    return elsewhere ? request_standing::tried_elsewhere : standing;
}

bool suspect_gate::holding(millis now) const
{
    return m_holdSince && now - *m_holdSince < m_tuning.holdMax;
}

/// Ends a hold. The next one begins after a pause, so that unproven requests are served in between.
void suspect_gate::endHold(millis now)
{
    if (m_holdSince) {
        const millis held = std::min(now - *m_holdSince, m_tuning.holdMax);
        m_nextHoldAt = now + held * ((1 - m_tuning.holdShare) / m_tuning.holdShare);
        m_holdSince.reset();
    }
}

/// @return whether a suspect may start in isolation. Holds calls of unproven requests back until those at the upstream have ended.
bool suspect_gate::mayIsolate(call_id id, millis now, const upstream_activity &upstream)
{
    if (m_suspect || (!m_holdSince && now < m_nextHoldAt)) {
        return false;
    }
    if (!m_holdSince) {
        m_holdSince = now;
    }
    if (!upstream.quiet || !upstream.decided || !m_unproven.empty()) {
        return false;
    }
    m_suspect = id;
    return true;
}

bool suspect_gate::mayRelease(call_id id, request_standing standing, millis now, const upstream_activity &upstream)
{
    switch (standing) {
    case request_standing::proven:
    case request_standing::tried_elsewhere:
    case request_standing::convicted:
        return true;
    case request_standing::unproven:
        if (!holding(now)) {
            m_unproven.insert(id);
            return true;
        }
        return false;
    case request_standing::suspect:
        if (!m_suspect && upstream.decided && !holding(now)) {
            m_suspect = id;
            return true;
        }
        return false;
    case request_standing::isolated_suspect:
        return mayIsolate(id, now, upstream);
    }
    return false;
}

std::vector<call_id> suspect_gate::release(millis now, const upstream_activity &upstream, const standing_function &standingOf)
{
    // Step 1. End a hold that has lasted too long, or for which no suspect is left
    std::vector<std::pair<call_id, request_standing>> waiting;
    for (const auto id : m_waiting) {
        waiting.emplace_back(id, standingOf(id));
    }
    const bool isolates =
        m_suspect || std::any_of(waiting.begin(), waiting.end(), [](const auto &call) { return call.second == request_standing::isolated_suspect; });
    if (m_holdSince && (!isolates || !holding(now))) {
        endHold(now);
    }

    // Step 2. Release what may be offered, in the order of arrival
    std::vector<call_id> released;
    std::deque<call_id> kept;
    for (const auto &[id, standing] : waiting) {
        if (mayRelease(id, standing, now, upstream)) {
            released.push_back(id);
        } else {
            kept.push_back(id);
        }
    }
    m_waiting = std::move(kept);
    return released;
}

void suspect_gate::ended(call_id id, millis now)
{
    m_unproven.erase(id);
    if (m_suspect == id) {
        m_suspect.reset();
        endHold(now);
    }
}

bool suspect_gate::remove(call_id id)
{
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), id);
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

std::vector<call_id> suspect_gate::removeAll()
{
    const auto removed = std::exchange(m_waiting, {});
    return {removed.begin(), removed.end()};
}

} // namespace turmericspar
