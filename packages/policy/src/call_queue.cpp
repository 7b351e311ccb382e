#include "turmericspar/policy/call_queue.h"

#include <limits>

namespace turmericspar {

call_queue::sort_key call_queue::sortKey(const waiting_call &call)
{
    const int rank = call.priority.rank + (call.priority.excess ? ranksMax : 0);
    const std::uint32_t invertedTieBreaker = std::numeric_limits<std::uint32_t>::max() - call.priority.tieBreaker;
    return {rank, !call.admitted, invertedTieBreaker, call.id};
}

bool call_queue::before(const waiting_call &left, const waiting_call &right)
{
    return sortKey(left) < sortKey(right);
}

void call_queue::push(const waiting_call &call)
{
    const auto [position, added] = m_calls.emplace(sortKey(call), call);
    if (added) {
        m_byId.emplace(call.id, position);
        m_byStart.emplace(call.startBy, call.id);
    }
}

waiting_call call_queue::take(std::map<sort_key, waiting_call>::iterator position)
{
    const waiting_call call = position->second;
    m_byStart.erase({call.startBy, call.id});
    m_byId.erase(call.id);
    m_calls.erase(position);
    return call;
}

waiting_call call_queue::popHighest()
{
    return take(m_calls.begin());
}

waiting_call call_queue::popLowest()
{
    return take(std::prev(m_calls.end()));
}

std::optional<waiting_call> call_queue::popExpired(millis now)
{
    if (m_byStart.empty() || m_byStart.begin()->first >= now) {
        return std::nullopt;
    }
    return remove(m_byStart.begin()->second);
}

std::optional<waiting_call> call_queue::remove(call_id id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return std::nullopt;
    }
    return take(found->second);
}

} // namespace turmericspar
