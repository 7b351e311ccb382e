#include "turmericspar/policy/silence_detector.h"

#include <algorithm>

namespace turmericspar {

void silence_detector::sent(call_id id, millis exemptUntil, millis now)
{
    if (m_open.empty()) {
        // No answer was expected until now.
        m_answeredAt = now;
    }
    m_open[id] = {now, exemptUntil};
}

void silence_detector::ended(call_id id, bool answered, millis now)
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
    m_responseTimeMax = std::max(now - sentAt, m_responseTimeMax * m_tuning.silenceResponseTimeDecay);
    if (sentAt > m_latestSent.front()) {
        m_latestSent.front() = sentAt;
        std::sort(m_latestSent.begin(), m_latestSent.end());
    }
}

millis silence_detector::timeout() const
{
    return std::max(m_tuning.silenceTimeoutMin, m_responseTimeMax * m_tuning.silenceTimeoutFactor);
}

/// @return a few of the calls that have waited longest. They are sent again on other connections; if those are answered, the remaining
/// overdue calls are known to be silent.
std::vector<call_id> silence_detector::oldestOverdue(millis now) const
{
    std::vector<std::pair<millis, call_id>> waiting;
    for (const auto &[id, call] : m_open) {
        if (isOverdue(call, now)) {
            waiting.emplace_back(call.sentAt, id);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    waiting.resize(std::min(waiting.size(), evidenceCount));
    std::vector<call_id> oldest;
    for (const auto &[sentAt, id] : waiting) {
        oldest.push_back(id);
    }
    return oldest;
}

/// Adds a silent call and its connection to a report.
void silence_detector::addSilent(call_id id, millis now, silence_report &report)
{
    auto &call = m_open.at(id);
    const bool isExempt = now < call.exemptUntil;
    if (!isExempt) {
        report.silent.push_back(id);
    }
    if (!isExempt || !call.reported) {
        report.replaceBefore = std::max(call.sentAt, report.replaceBefore.value_or(call.sentAt));
    }
    call.reported = true;
}

silence_report silence_detector::check(millis now)
{
    silence_report report;
    if (m_responseTimeMax.count == 0 || now - m_checkedAt < m_tuning.silenceCheckPeriod) {
        return report;
    }
    m_checkedAt = now;

    // Step 1. Find overdue calls that were sent before calls already answered
    for (const auto &[id, call] : m_open) {
        if (isOverdue(call, now) && call.sentAt < m_latestSent.front()) {
            addSilent(id, now, report);
        }
    }

    // Step 2. If nothing is answered at all, report a few of the oldest
    if (report.silent.empty() && now - m_answeredAt > timeout()) {
        for (const auto id : oldestOverdue(now)) {
            addSilent(id, now, report);
        }
        m_answeredAt = now;
    }
    std::sort(report.silent.begin(), report.silent.end());
    for (const auto id : report.silent) {
        m_open.erase(id);
    }
    return report;
}

} // namespace turmericspar
