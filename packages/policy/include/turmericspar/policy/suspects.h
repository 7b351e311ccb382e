/// @file suspects.h
/// Detects requests that crash the upstreams that run them: requests in flight during a crash are suspected and run one at a time, and
/// those that are proven to cause crashes are refused.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// A hash of the content of a request: equal for all its copies.
using request_digest = std::uint64_t;

enum class suspicion_level {
    none,
    suspect, ///< it was in flight when an upstream crashed
    convicted, ///< an upstream crashed while it was the only suspect there
};
inline constexpr name_table<suspicion_level, 3> suspicionNames{{"none", "suspect", "convicted"}};

/// A table entry, as nodes exchange it.
struct suspicion
{
    static constexpr int convictionsMax = 1000; ///< to which statements of others are cut

    request_digest digest = 0;
    suspicion_level level = suspicion_level::none;
    millis at; ///< time of the entry by this node's monotonic clock; of two entries of the same weight, the later one holds
    int convictions = 0; ///< how often the request was convicted; each time it is refused for longer
};

struct suspects_tunables
{
    millis crashWindow{50}; ///< time within which the connections of all calls of one crash break
    double crashShare = 0.5; ///< share of the calls in flight that must break to count as a crash
    millis suspicionLifetime{30'000}; ///< how long a request stays suspected
    millis convictionLifetime{60'000}; ///< how long a request is refused when it is convicted for the first time
    double convictionGrowth = 10; ///< factor by which that time grows with each further conviction
    millis convictionMemory{86'400'000}; ///< how long a request that is no longer refused stays suspected, and the longest time of a refusal
    std::size_t entriesMax = 10'000;
};

/// The suspected and convicted requests that a node knows, and its detection of crashes.
class suspects
{
public:
    explicit suspects(const suspects_tunables &tuning) : m_tuning(tuning) { }

    suspicion_level level(request_digest digest, millis now) const;
    /// @return the entry of a convicted request; nothing if it is not convicted.
    std::optional<suspicion> conviction(request_digest digest, millis now) const;
    /// @return when a convicted request is no longer refused. It is then run as a suspect until a run has completed.
    millis expiry(const suspicion &entry) const;
    /// @return the number of requests that are suspected or convicted.
    std::size_t activeCount(millis now) const;

    /// Records a call whose upstream connection broke while it ran.
    /// @param running number of calls that were running before the break, including this one
    void recordBrokenCall(request_digest digest, std::size_t running, millis now);
    /// Clears a suspected request that ran to completion.
    void recordCompletedCall(request_digest digest, millis now);
    /// @return whether so many calls broke within the crash window, which is over, that the upstream may have crashed.
    bool crashLikely(millis now) const;
    /// Decides, once the crash window is over, whether the broken calls were a crash.
    /// @param upstreamLives whether the upstream still accepts connections: it then broke off these calls, and has not crashed
    void tick(millis now, bool upstreamLives = false);

    /// @return whether a decision of tick() is pending, or updates wait to be taken.
    bool needsTick() const { return !m_broken.empty() || !m_updates.empty(); }

    /// Merges an entry of another node. A conviction holds until it expires: a node that knows less may suspect the request anew, and is then
    /// told of the conviction with the next updates. Of two entries the one with more convictions holds.
    void merge(const suspicion &update, millis now);
    /// @return the entries that hold, for a node that knows none of them.
    std::vector<suspicion> active(millis now) const;
    /// @return entries that changed here since the last call, to be sent to other nodes.
    std::vector<suspicion> takeUpdates();

private:
    void put(suspicion entry, millis now);
    int convictionsOf(request_digest digest) const;
    bool isConvicted(const suspicion &entry, millis now) const;

    const suspects_tunables m_tuning;
    std::unordered_map<request_digest, suspicion> m_entries;
    std::vector<suspicion> m_updates;
    std::vector<request_digest> m_broken; ///< in the current window
    std::size_t m_runningAtWindowStart = 0;
    millis m_windowStart{0};
};

} // namespace turmericspar
