/// @file suspect_gate.h
/// Decides when calls whose requests are not known to complete are offered to the upstream, so that a crash identifies the request that caused it.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/call.h"
#include "turmericspar/policy/load_balancer.h"
#include "turmericspar/policy/suspects.h"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace turmericspar {

struct suspect_gate_tunables
{
    millis holdMax{2000}; ///< how long calls of unproven requests wait for a suspect that is isolated
    double holdShare = 0.5; ///< share of the time in which they may have to wait
};

/// What an upstream may still be busy with beside the calls that it is known to run.
struct upstream_activity
{
    bool quiet = true; ///< whether no call that this node gave up may still run there
    bool decided = true; ///< whether it is known of all calls that broke if that was a crash
};

/// @return the standing by which a node treats a request: an isolated suspect is tried at one node of its service only, so that one upstream is lost
/// if it crashes that again.
/// @param trialNode the node where such a request is tried; empty if none is known
request_standing standingAt(const node_id &self, const node_id &trialNode, request_standing standing);

/// Suspects run one at a time. One that is isolated starts when no call of an unproven request is left at the upstream, and such calls wait until it
/// has ended. Calls of proven requests do not pass through here.
class suspect_gate
{
public:
    using standing_function = std::function<request_standing(call_id)>;

    explicit suspect_gate(const suspect_gate_tunables &tuning = {}) : m_tuning(tuning) { }

    /// Adds a call that waits until release() returns it.
    void enter(call_id id) { m_waiting.push_back(id); }
    /// @param standingOf present standing of a call that waits
    /// @return the calls that may be offered to the upstream now, and those that are not run at this node
    std::vector<call_id> release(millis now, const upstream_activity &upstream, const standing_function &standingOf);
    /// Records that a call that release() returned has ended or was not started.
    void ended(call_id id, millis now);
    /// Takes a call out that waits here.
    /// @return whether it did
    bool remove(call_id id);
    /// Takes all calls out that wait here.
    std::vector<call_id> removeAll();

    bool empty() const { return m_waiting.empty(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// @return whether calls of unproven requests wait for a suspect.
    bool holding(millis now) const;

private:
    bool mayRelease(call_id id, request_standing standing, millis now, const upstream_activity &upstream);
    bool mayIsolate(call_id id, millis now, const upstream_activity &upstream);
    void endHold(millis now);

    const suspect_gate_tunables m_tuning;
    std::deque<call_id> m_waiting;
    std::unordered_set<call_id> m_unproven; ///< calls of unproven requests at the upstream or in its queue
    std::optional<call_id> m_suspect; ///< the only suspect at the upstream or in its queue
    std::optional<millis> m_holdSince;
    millis m_nextHoldAt{0};
};

} // namespace turmericspar
