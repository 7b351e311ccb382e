#include "turmericspar/policy/class_window.h"

#include <algorithm>

namespace turmericspar {

void class_window::started(millis now)
{
    ++m_running;
    if (m_running >= m_window * m_tuning.windowFullShare) {
        m_fullAt = now;
    }
}

void class_window::ended(bool dependencyFailed, millis startedAt, millis now, int limit)
{
    const bool wasFull = m_fullAt >= startedAt;
    const bool lowLoad = m_running <= m_peak * m_tuning.windowLowLoadShare;
    m_running = std::max(0, m_running - 1);
    const double failed = dependencyFailed ? 1 : 0;
    m_failureShare += (failed - m_failureShare) * m_tuning.windowBlend;
    if (lowLoad) {
        m_baselineFailureShare += (failed - m_baselineFailureShare) * m_tuning.windowBlend;
    }
    if (dependencyFailed) {
        // Requests started before the window was last narrowed do not reflect its present width.
        if (failureShareIsHigh() && startedAt > m_narrowedAt) {
            narrow(now, limit);
        }
        return;
    }
    if (m_active && wasFull) {
        widen();
    }
    const bool isExpired = now - m_narrowedAt > m_tuning.windowExpiry;
    if (m_active && isExpired && !wasFull) {
        m_active = false;
    }
}

/// @return whether the share of failures is above its baseline. If an upstream is slow in relation to the deadlines, some requests fail
/// at any load.
bool class_window::failureShareIsHigh() const
{
    const double baseline = std::min(m_baselineFailureShare, m_tuning.windowBaselineMax);
    return m_failureShare > m_tuning.windowFailureShare + baseline * m_tuning.windowBaselineTolerance;
}

/// Widens the window by one answer's part of an increase, which is spread over as many answers as the window is wide.
void class_window::widen()
{
    const double share = m_outage ? m_tuning.windowOutageIncrease : m_tuning.windowIncrease;
    m_window += std::max(1.0, m_window * share) / m_window;
}

void class_window::narrow(millis now, int limit)
{
    const double width = m_active ? std::min<double>(m_window, m_running + 1) : m_running + 1;
    m_active = true;
    m_peak = std::max(m_peak * m_tuning.windowPeakDecay, width);
    m_window = std::max({m_tuning.windowMin, limit * m_tuning.windowMinShare, width * m_tuning.windowDecrease});
    m_outage = m_failureShare > m_tuning.windowOutageShare;
    m_narrowedAt = now;
}

} // namespace turmericspar
