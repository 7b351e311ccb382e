#include "turmericspar/policy/watcher_choice.h"

#include "turmericspar/base/secret.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Two, because one of them may leave or fail at any time.
constexpr std::size_t watchersPerDomain = 2;
/// Time in which nodes that start together discover each other.
constexpr millis discoveryTime{2000};
/// Time of failures after which another node takes over: a single call may fail by chance.
constexpr millis failureTime{700};
/// Time after which a node that gave the role to another one may be given it again.
constexpr millis retryTime{10'000};

/// @return the rendezvous weight of a node; the seed spells "watc".
std::uint64_t weight(const node_id &node)
{
    return stableHash(node, 0x77617463);
}

} // namespace

bool isWatcher(const watcher_view &view)
{
    if (view.alone && view.age < discoveryTime) {
        return view.registered < watchersPerDomain;
    }
    const auto own = weight(view.self);
    const auto ahead = [&](bool servedOnly) {
        const auto count = std::count_if(
            view.live.begin(), view.live.end(), [&](const node_id &node) { return weight(node) > own && !(servedOnly && view.withoutStore.contains(node)); });
        return static_cast<std::size_t>(count);
    };
    const bool served = !view.withoutStore.contains(view.self);
    return ahead(false) < watchersPerDomain || (served && ahead(true) < watchersPerDomain);
}

void store_access::update(bool watching, bool reachable, millis now)
{
    if (reachable && watching) {
        m_failingSince.reset();
        m_lost = false;
    } else if (watching) {
        m_failingSince = m_failingSince.value_or(now);
        if (now - *m_failingSince >= failureTime) {
            m_lost = true;
            m_lostAt = now;
        }
    } else {
        m_failingSince.reset();
        m_lost = m_lost && now - m_lostAt < retryTime;
    }
}

} // namespace turmericspar
