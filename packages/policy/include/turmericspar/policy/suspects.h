/// @file suspects.h
/// Detects requests that crash the upstreams that run them. Requests that ran at a crash and are not known to complete are suspected and run one at
/// a time; one that is proven to cause crashes is refused. docs/design/crashing-requests.md has the rules of evidence.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"
#include "turmericspar/policy/completed_requests.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace turmericspar {

enum class suspicion_level {
    none,
    suspect, ///< it ran at a crash, and no run of it has completed since
    convicted, ///< it ran at several crashes, at the last one beside nothing but requests that are known to complete
};
inline constexpr name_table<suspicion_level, 3> suspicionNames{{"none", "suspect", "convicted"}};

/// A table entry, as nodes exchange it.
struct suspicion
{
    static constexpr int convictionsMax = 1000; ///< to which statements of others are cut
    static constexpr int crashesMax = 1000; ///< to which statements of others are cut

    request_digest digest = 0;
    suspicion_level level = suspicion_level::none;
    millis at; ///< time of the entry by this node's monotonic clock; of two entries of the same weight, the later one holds
    int convictions = 0; ///< how often the request was convicted; each time it is refused for longer
    int crashes = 0; ///< crashes at which it ran since a run of it last completed
    millis since{}; ///< time of the first of these crashes; 0 if it is not known
};

/// How a call is run, by what is known of its request.
enum class request_standing {
    proven, ///< its request is known to complete
    unproven, ///< nothing is known of it
    suspect, ///< it runs beside no other suspect
    isolated_suspect, ///< it runs beside proven requests only, so that a crash convicts it and its completion clears it
    tried_elsewhere, ///< an isolated suspect that is not run at this node, but at another one of its service
    convicted, ///< it is not run
};

/// How a call that was started has ended.
struct run_end
{
    bool sent = false; ///< whether any of it was sent to the upstream
    bool ran = false; ///< whether the upstream answered that it ran it
    bool refused = false; ///< whether the upstream answered that it did not run it
    bool broken = false; ///< whether the upstream ended the connection before an answer
    int status = 0; ///< of the answer
};

/// What the end of a call shows about its request.
enum class run_evidence {
    nothing,
    completed, ///< it does not crash whatever runs it
    broke, ///< the upstream may have crashed, see suspects::recordBrokenCall()
    abandoned, ///< the upstream may go on running it, see suspects::recordAbandonedCall()
};

run_evidence evidenceOf(const run_end &end);

/// What the decision on a crash was based on, for the log.
struct crash_report
{
    std::size_t broken = 0; ///< calls that broke
    std::size_t candidates = 0; ///< distinct requests that may have caused the crash
    std::size_t beside = 0; ///< distinct requests not known to complete that still run or ran elsewhere in that process, so that nothing is proven
    std::size_t excluded = 0; ///< broken calls of requests that are known to complete
};

struct suspects_tunables
{
    millis crashWindow{50}; ///< time within which the connections of all calls of one crash break
    double crashShare = 0.5; ///< share of the calls in flight that must break to count as a crash
    millis abandonedMemory{500}; ///< how long an upstream may go on running a call that this node has given up
    std::size_t abandonedMax = 256; ///< most such calls that are remembered
    int crashesToIsolate = 2; ///< crashes from which on a suspect is isolated, and suspected until a run of it completes
    millis suspicionLifetime{30'000}; ///< how long a request stays suspected after its first crash
    millis convictionLifetime{60'000}; ///< how long a request is refused when it is convicted for the first time
    double convictionGrowth = 10; ///< factor by which that time grows with each further conviction
    millis convictionMemory{86'400'000}; ///< how long a request that is no longer refused stays suspected, and the longest time of a refusal
    std::size_t entriesMax = 10'000;
    std::size_t completedMax = 4096; ///< requests of which a completed run is remembered
};

/// The suspected and convicted requests that a node knows, and its detection of crashes.
class suspects
{
public:
    explicit suspects(const suspects_tunables &tuning) : m_tuning(tuning), m_completed(tuning.completedMax) { }

    suspicion_level level(request_digest digest, millis now) const;
    request_standing standing(request_digest digest, millis now) const;
    /// @return the entry of a convicted request; nothing if it is not convicted.
    std::optional<suspicion> conviction(request_digest digest, millis now) const;
    /// @return when a convicted request is no longer refused. It is then run as a suspect until a run has completed.
    millis expiry(const suspicion &entry) const;
    /// @return the number of requests that are suspected or convicted.
    std::size_t activeCount(millis now) const;

    /// Records a call whose upstream connection broke while it ran.
    /// @param running number of calls that were running before the break, including this one
    /// @param startedAt when the call was started; one that was started before the last crash broke because of that one
    void recordBrokenCall(request_digest digest, std::size_t running, millis now, std::optional<millis> startedAt = {});
    /// Records a call that this node gave up while it ran: the upstream may go on running it, and crash.
    void recordAbandonedCall(request_digest digest, millis now);
    /// @return whether calls broke, and it is not decided yet whether that was a crash.
    bool undecided() const { return !m_broken.empty(); }
    /// @return whether no call of a request that is not known to complete was given up so lately that it may still run.
    bool quiet(millis now);
    /// Records a call that ran to its end and was answered: its request is cleared, also of a conviction.
    void recordCompletedCall(request_digest digest, millis now);
    /// @return whether so many calls broke within the crash window, which is over, that the upstream may have crashed.
    bool crashLikely(millis now) const;
    /// Decides, once the crash window is over, whether the broken calls were a crash, and which requests may have caused it.
    /// @param upstreamLives whether the upstream still accepts connections: it then broke off these calls, and has not crashed
    /// @param stillRunning requests of calls that were started before windowStart() and whose connections have not broken yet
    /// @return what the decision was based on; nothing if it was no crash
    std::optional<crash_report> tick(millis now, bool upstreamLives = false, const std::vector<request_digest> &stillRunning = {});

    /// @return when the first of the calls on which tick() decides next broke.
    millis windowStart() const { return m_windowStart; }

    /// @return whether a decision of tick() is pending, or updates wait to be taken.
    bool needsTick() const { return !m_broken.empty() || !m_updates.empty(); }

    /// Merges an entry of another node. A conviction holds until it expires or a run that completes anywhere contradicts it: a node that knows less
    /// may suspect the request anew, and is then told of the conviction with the next updates. Of two entries the one with more convictions holds.
    void merge(const suspicion &update, millis now);
    /// Ends a conviction at the request of an operator.
    /// @return whether the request was convicted
    bool lift(request_digest digest, millis now);
    /// @return all entries, also those that no longer hold.
    std::vector<suspicion> known() const;
    /// @return the entries that hold, for a node that knows none of them.
    std::vector<suspicion> active(millis now) const;
    /// @return entries that changed here since the last call, to be sent to other nodes.
    std::vector<suspicion> takeUpdates();

private:
    void put(suspicion entry, millis now);
    void clear(request_digest digest, millis now);
    void blame(request_digest digest, bool alone, millis now);
    bool contradicts(const suspicion &update, millis now) const;
    suspicion combined(suspicion update) const;
    void forgetAbandoned(millis now);
    int convictionsOf(request_digest digest) const;
    bool isConvicted(const suspicion &entry, millis now) const;

    const suspects_tunables m_tuning;
    std::unordered_map<request_digest, suspicion> m_entries;
    completed_requests m_completed;
    std::vector<suspicion> m_updates;
    std::vector<request_digest> m_broken; ///< in the current window
    std::size_t m_runningAtWindowStart = 0;
    millis m_windowStart{0};
    std::optional<millis> m_lastCrashAt;
    std::deque<std::pair<request_digest, millis>> m_abandoned;
};

} // namespace turmericspar
