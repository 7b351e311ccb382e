/// @file silence_detector.h
/// Detects calls on unresponsive (silent) connections: they stay unanswered while calls sent later are answered.
#pragma once

#include "turmericspar/policy/call.h"
#include "turmericspar/policy/tunables.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// Result of a check.
struct silence_report
{
    std::vector<call_id> silent; ///< calls to cancel; each is reported once
    /// If set, connections that received no data since this time should not be used for further calls.
    std::optional<millis> replaceBefore;
};

/// Watches the calls at one upstream. It does not handle connections: each call represents the connection that carries it.
class silence_detector
{
public:
    explicit silence_detector(const tunables &tuning) : m_tuning(tuning) { }

    /// Records a call that was sent.
    /// @param exemptUntil time until which the call must not be cancelled; 0 for a call that may be repeated
    void sent(call_id id, millis exemptUntil, millis now);

    /// Records the end of a call.
    /// @param answered whether a complete answer was received
    void ended(call_id id, bool answered, millis now);

    /// Looks for silent calls. An exempt call is not reported for cancellation, but its connection is still reported as silent.
    silence_report check(millis now);

    /// @return whether any call is unanswered; otherwise `check` finds nothing.
    bool hasOpenCalls() const { return !m_open.empty(); }

    /// @return the time after which an unanswered call is overdue.
    millis timeout() const;

private:
    /// Number of answered later calls that show a call to be silent, and of calls cancelled at a time while nothing is answered.
    static constexpr std::size_t evidenceCount = 3;

    struct open_call
    {
        millis sentAt;
        millis exemptUntil;
        bool reported = false; ///< whether its silence was found while it was exempt
    };

    bool isOverdue(const open_call &call, millis now) const { return now - call.sentAt > timeout(); }
    std::vector<call_id> oldestOverdue(millis now) const;
    void addSilent(call_id id, millis now, silence_report &report);

    const tunables &m_tuning;
    std::unordered_map<call_id, open_call> m_open;
    std::array<millis, evidenceCount> m_latestSent{}; ///< send times of the most recently sent calls among the answered ones, in ascending order
    millis m_responseTimeMax{0}; ///< recent maximum of the response time
    millis m_checkedAt{0};
    millis m_answeredAt{0}; ///< last answer, or start of the present wait for answers
};

} // namespace turmericspar
