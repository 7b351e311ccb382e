#include "turmericspar/policy/class_window.h"

#include <algorithm>

namespace turmericspar {

void class_window::ended(bool failedBelow, millis startedAt, millis now)
{
    const bool wasFull = m_running >= m_window * m_tuning.windowFullShare;
    m_running = std::max(0, m_running - 1);
    m_failedShare += ((failedBelow ? 1.0 : 0.0) - m_failedShare) * m_tuning.windowBlend;
    if (failedBelow) {
        // A few always fail. What began before the window was last closed tells nothing of the present one.
        if (m_failedShare > m_tuning.windowFailures && startedAt > m_closedAt) {
            close(now);
        }
        return;
    }
    if (m_active && wasFull) {
        m_window += std::max(1.0, m_window * m_tuning.windowIncrease) / m_window;
    }
    const bool calm = now - m_closedAt > m_tuning.windowMemory;
    if (m_active && calm && !wasFull) {
        m_active = false;
    }
}

void class_window::close(millis now)
{
    const double present = m_active ? std::min<double>(m_window, m_running + 1) : m_running + 1;
    m_active = true;
    m_window = std::max(m_tuning.windowLeast, present * m_tuning.windowDecrease);
    m_closedAt = now;
}

} // namespace turmericspar
