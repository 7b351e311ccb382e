#include "turmericspar/upstream/announcement_order.h"

#include <utility>

namespace turmericspar {

/// @return whether an announcement comes from a later life than the present one.
bool announcement_order::isNewLife(const announcement_place &place) const
{
    if (!m_known) {
        return true;
    }
    if (place.startedAt && m_newest.startedAt) {
        return *place.startedAt > *m_newest.startedAt;
    }
    return place.instance != m_newest.instance && place.instance != m_previousInstance;
}

bool announcement_order::announced(const announcement_place &place)
{
    if (place.instance.empty() && !place.startedAt) {
        // An upstream that does not name its lives is taken at its word.
        m_known = true;
        m_left = false;
        m_newest = place;
        return true;
    }
    if (isNewLife(place)) {
        m_previousInstance = std::exchange(m_newest, place).instance;
        m_known = true;
        m_left = false;
        return true;
    }
    const bool sameLife = place.instance == m_newest.instance && (!place.startedAt || !m_newest.startedAt || *place.startedAt == *m_newest.startedAt);
    const bool isLater = !place.sequence || !m_newest.sequence || *place.sequence > *m_newest.sequence;
    if (!sameLife || !isLater || m_left) {
        return false;
    }
    m_newest.sequence = place.sequence;
    return true;
}

bool announcement_order::left(const announcement_place &place)
{
    if (m_known && !place.instance.empty() && place.instance != m_newest.instance) {
        return false;
    }
    if (!m_known) {
        // A node that has just started may hear the farewell first: what that life said before must not count later.
        m_known = !place.instance.empty();
        m_newest = place;
    }
    m_left = m_known;
    return true;
}

} // namespace turmericspar
