#include "turmericspar/upstream/announcement_order.h"

#include <utility>

namespace turmericspar {

/// @return whether an announcement comes from a later run than the current one.
bool announcement_order::isNewRun(const announcement_position &position) const
{
    if (!m_known) {
        return true;
    }
    if (position.startedAt && m_newest.startedAt) {
        return *position.startedAt > *m_newest.startedAt;
    }
    return position.instance != m_newest.instance && position.instance != m_previousInstance;
}

bool announcement_order::acceptAnnouncement(const announcement_position &position)
{
    if (position.instance.empty() && !position.startedAt) {
        // Without an instance name and a start time the order can't be checked, so every announcement is accepted.
        m_known = true;
        m_deregistered = false;
        m_newest = position;
        return true;
    }
    if (isNewRun(position)) {
        m_previousInstance = std::exchange(m_newest, position).instance;
        m_known = true;
        m_deregistered = false;
        return true;
    }
    const bool sameRun = position.instance == m_newest.instance && (!position.startedAt || !m_newest.startedAt || *position.startedAt == *m_newest.startedAt);
    const bool isLater = !position.sequence || !m_newest.sequence || *position.sequence > *m_newest.sequence;
    if (!sameRun || !isLater || m_deregistered) {
        return false;
    }
    m_newest.sequence = position.sequence;
    return true;
}

bool announcement_order::acceptDeregistration(const announcement_position &position)
{
    if (m_known && !position.instance.empty() && position.instance != m_newest.instance) {
        return false;
    }
    if (!m_known) {
        // A node that has just started may receive the deregistration first: late announcements of that run must then be ignored.
        m_known = !position.instance.empty();
        m_newest = position;
    }
    m_deregistered = m_known;
    return true;
}

} // namespace turmericspar
