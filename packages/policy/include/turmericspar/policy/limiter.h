/// @file limiter.h
/// The adaptive concurrency limit of one upstream.
#pragma once

#include "turmericspar/policy/tunables.h"

namespace turmericspar {

/// Estimates how many calls an upstream can run at once, from the latency of its answers.
///
/// The announced slots are the initial value. Latency above its baseline means that calls are queued inside the upstream, so the limit is
/// lowered. If a lower limit does not reduce the latency, the upstream has become slower rather than overloaded, and the baseline is
/// raised instead.
class limiter
{
public:
    explicit limiter(const tunables &tuning);

    /// Applies an announcement of the upstream.
    /// @param slots number of calls it runs at once, as announced
    /// @param connections number of connections it accepts; the limit never exceeds it
    /// @param cold whether it has just started
    void announce(int slots, int connections, bool cold);

    /// Records one answer.
    /// @param selfTime time at the upstream, excluding the time for which it waited for calls it made
    /// @param shed whether the upstream refused the call for overload
    /// @param running number of calls running when it ended, including itself
    /// @param startedAt when the call was sent to the upstream
    void answered(millis selfTime, bool shed, int running, millis startedAt, millis now);

    /// @return the number of calls that may run at once; 0 before the first announcement.
    int limit() const { return static_cast<int>(m_limit); }
    /// @return the estimated latency without queueing; 0 if unknown.
    millis baseline() const { return m_baseline; }

private:
    void updateLimit(millis now);
    double relativeError(millis latency) const;
    void updateBaseline(millis latency, bool limitReached);
    void decrease(millis latency, millis tolerated, millis now);
    bool decreaseHadNoEffect(millis latency);
    void clampLimit();

    const tunables &m_tuning;
    double m_limit = 0;
    int m_slots = 0;
    int m_connections = 0;
    bool m_slowStart = false;
    millis m_baseline{0};
    double m_decreaseStartLimit = 0; ///< limit at the start of the present decrease; 0 if there is none
    double m_decreaseStartRate = 0; ///< calls that ended per millisecond at that time
    millis m_loweredAt{0}; ///< time of the last decrease; calls started earlier are not used as samples

    // Current measurement window
    millis m_windowStart{0};
    millis m_latencySum{0};
    double m_latencySquareSum = 0;
    int m_samples = 0;
    int m_shedCount = 0;
    int m_ended = 0; ///< ended calls, including those started before the last decrease
    int m_runningMax = 0;
};

} // namespace turmericspar
