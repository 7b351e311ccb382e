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

void class_window::ended(bool failedBelow, millis startedAt, millis now, int limit)
{
    const bool wasFull = m_fullAt >= startedAt;
    const bool fewRan = m_running <= m_peak * m_tuning.windowFewShare;
    m_running = std::max(0, m_running - 1);
    const double failed = failedBelow ? 1 : 0;
    m_failedShare += (failed - m_failedShare) * m_tuning.windowBlend;
    if (fewRan) {
        m_usualFailures += (failed - m_usualFailures) * m_tuning.windowBlend;
    }
    if (failedBelow) {
        // What began before the window was last closed tells nothing of the present one.
        if (failsTooOften() && startedAt > m_closedAt) {
            close(now, limit);
        }
        return;
    }
    if (m_active && wasFull) {
        open();
    }
    const bool calm = now - m_closedAt > m_tuning.windowMemory;
    if (m_active && calm && !wasFull) {
        m_active = false;
    }
}

/// @return whether more requests fail than usual. Where an upstream is slow for their deadlines, some fail however few run.
bool class_window::failsTooOften() const
{
    const double usual = std::min(m_usualFailures, m_tuning.windowUsualMost);
    return m_failedShare > m_tuning.windowFailures + usual * m_tuning.windowUsualTolerance;
}

/// Opens the window by the share of a step that falls to one answer.
void class_window::open()
{
    const double share = m_outage ? m_tuning.windowReopen : m_tuning.windowIncrease;
    m_window += std::max(1.0, m_window * share) / m_window;
}

void class_window::close(millis now, int limit)
{
    const double present = m_active ? std::min<double>(m_window, m_running + 1) : m_running + 1;
    m_active = true;
    m_peak = std::max(m_peak * m_tuning.windowPeakDecay, present);
    m_window = std::max({m_tuning.windowLeast, limit * m_tuning.windowLeastShare, present * m_tuning.windowDecrease});
    m_outage = m_failedShare > m_tuning.windowOutage;
    m_closedAt = now;
}

} // namespace turmericspar
