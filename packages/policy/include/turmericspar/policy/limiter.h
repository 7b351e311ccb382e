/// @file limiter.h
/// The adaptive concurrency limit of one upstream.
#pragma once

#include "turmericspar/policy/tunables.h"

namespace turmericspar {

/// Finds how many calls an upstream can run at once, from the latency of its answers.
///
/// Slots that the upstream announces are only the first guess. When latency rises above its baseline, calls wait inside
/// the upstream, and the limit goes down; when a lower limit does not lower the latency, the upstream has become slower
/// and not fuller, and the baseline follows.
class limiter
{
public:
    explicit limiter(const tunables &tuning);

    /// Takes up what the upstream says of itself.
    /// @param slots calls that it says it runs at once
    /// @param connections connections that it accepts: the limit never exceeds them
    /// @param cold whether it has just started
    void announce(int slots, int connections, bool cold);

    /// Learns from one answer.
    /// @param ownTime time that the upstream spent, without the time for which it waited for others
    /// @param shed whether the upstream refused the call for overload
    /// @param running calls that were running when it ended, with itself
    /// @param startedAt when the call was sent to the upstream
    void answered(millis ownTime, bool shed, int running, millis startedAt, millis now);

    /// @return how many calls may run at once; 0 before the first announcement.
    int limit() const { return static_cast<int>(m_limit); }
    /// @return the latency without queueing, as far as it is known.
    millis baseline() const { return m_baseline; }

private:
    void correct(millis now);
    double relativeError(millis latency) const;
    void moveBaseline(millis latency, bool limited);
    void descend(millis latency, millis tolerated, millis now);
    bool descentWasInVain(millis latency);
    void clampLimit();

    const tunables &m_tuning;
    double m_limit = 0;
    int m_slots = 0;
    int m_connections = 0;
    bool m_slowStart = false;
    millis m_baseline{0};
    double m_descentLimit = 0; ///< limit at the start of the present fall; 0 if it does not fall
    double m_descentRate = 0; ///< calls that ended in a millisecond at that time
    millis m_loweredAt{0}; ///< when the limit was last lowered: calls from before tell nothing of it

    // The present window
    millis m_windowStart{0};
    millis m_latencySum{0};
    double m_latencySquares = 0;
    int m_samples = 0;
    int m_sheds = 0;
    int m_ended = 0; ///< calls, with those that began before the limit was lowered
    int m_runningMost = 0;
};

} // namespace turmericspar
