#include "turmericspar/policy/watcher_choice.h"

#include "turmericspar/base/secret.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Two, because one of them may leave or fail at any time.
constexpr std::size_t watchersPerDomain = 2;
/// Time in which nodes that start together discover each other.
constexpr millis discoveryTime{2000};

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
    const auto ahead = std::count_if(view.live.begin(), view.live.end(), [&](const node_id &node) { return weight(node) > own; });
    return static_cast<std::size_t>(ahead) < watchersPerDomain;
}

} // namespace turmericspar
