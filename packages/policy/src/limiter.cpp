#include "turmericspar/policy/limiter.h"

#include <algorithm>
#include <cmath>

namespace turmericspar {

limiter::limiter(const tunables &tuning) : m_tuning(tuning) { }

void limiter::announce(int slots, int connections, bool cold)
{
    const bool first = m_connections == 0;
    const bool changed = slots != m_slots;
    m_slots = std::max(slots, 1);
    m_connections = std::max(connections, 1);
    if (first || changed) {
        m_slowStart = true;
        m_limit = cold ? m_slots * m_tuning.coldStartShare : m_slots;
    }
    clampLimit();
}

void limiter::answered(millis ownTime, bool shed, int running, millis startedAt, millis now)
{
    if (m_tuning.limitAdaptive == 0) {
        return;
    }
    m_runningMost = std::max(m_runningMost, running);
    ++m_ended;
    if (startedAt < m_loweredAt) {
        return;
    }
    if (m_windowStart.count == 0) {
        m_windowStart = now;
    }
    if (shed) {
        ++m_sheds;
    } else {
        m_latencySum += ownTime;
        m_latencySquares += ownTime.count * ownTime.count;
        ++m_samples;
    }
    const millis span = std::max(m_tuning.limitWindow, m_baseline);
    // A small limit gives few answers: two rounds of it are enough for a window.
    const int needed = std::min(m_tuning.limitSamples, std::max(m_tuning.limitSamplesLeast, 2 * limit()));
    if (m_samples + m_sheds >= needed && now - m_windowStart >= span) {
        correct(now);
    }
}

/// Ends a window and moves the limit by one step.
void limiter::correct(millis now)
{
    const bool limited = m_runningMost >= limit() - 1;
    const millis latency = m_samples > 0 ? m_latencySum * (1.0 / m_samples) : m_baseline;

    // Step 1. The latency without queueing
    moveBaseline(latency, limited);

    // Step 2. The limit
    const millis tolerated = m_baseline * (m_tuning.latencyTolerance + m_tuning.noiseTolerance * relativeError(latency));
    if (m_sheds > 0) {
        m_limit *= m_tuning.limitDecrease;
        m_slowStart = false;
    } else if (latency > tolerated && (limited || m_descentLimit > 0)) {
        descend(latency, tolerated, now);
    } else if (latency > tolerated * m_tuning.idleTolerance) {
        // Calls wait inside the upstream though its limit is not reached: it has fewer slots than it says.
        m_limit = std::min(m_limit, std::max<double>(m_runningMost, m_tuning.idleLimitLeast));
        descend(latency, tolerated, now);
        m_limit = std::max(m_limit, std::min<double>(m_descentLimit, m_tuning.idleLimitLeast));
    } else if (limited) {
        const double share = m_slowStart ? m_tuning.slowStartIncrease : m_tuning.limitIncrease;
        m_limit += std::max(1.0, m_limit * share);
        m_descentLimit = 0;
    }
    clampLimit();

    // Step 3. The next window
    m_windowStart = now;
    m_latencySum = {0};
    m_latencySquares = 0;
    m_samples = 0;
    m_sheds = 0;
    m_ended = 0;
    m_runningMost = 0;
}

/// @return the standard error of the window's mean latency, as a share of it.
double limiter::relativeError(millis latency) const
{
    if (m_samples < 2 || latency.count <= 0) {
        return 0;
    }
    const double mean = latency.count;
    const double variance = std::max(0.0, m_latencySquares / m_samples - mean * mean);
    return std::sqrt(variance / m_samples) / mean;
}

void limiter::moveBaseline(millis latency, bool limited)
{
    if (m_baseline.count == 0) {
        m_baseline = latency;
    } else if (latency < m_baseline) {
        m_baseline += (latency - m_baseline) * (limited ? m_tuning.baselineFall : m_tuning.baselineBlend);
    } else if (!limited && latency < m_baseline * m_tuning.latencyTolerance) {
        m_baseline += (latency - m_baseline) * m_tuning.baselineBlend;
    }
}

/// Lowers the limit towards what the latency allows, by Little's law, until the fall has been judged.
void limiter::descend(millis latency, millis tolerated, millis now)
{
    m_slowStart = false;
    if (m_descentLimit == 0) {
        m_descentLimit = m_limit;
        m_descentRate = m_ended / (now - m_windowStart).count;
    }
    if (descentWasInVain(latency)) {
        m_baseline = latency;
        m_limit = m_descentLimit;
        m_descentLimit = 0;
        return;
    }
    m_limit = std::max(1.0, m_limit * std::max(m_tuning.limitDecreaseMost, tolerated / latency));
    m_loweredAt = now;
}

/// @return whether the limit fell far and the latency did not: then the upstream is slower, not fuller.
bool limiter::descentWasInVain(millis latency)
{
    if (m_limit > m_descentLimit * m_tuning.descentShare) {
        return false;
    }
    // Calls that only waited inside the upstream leave as fast as before, so that their latency falls with their number.
    const double present = std::min<double>(m_limit, m_runningMost);
    const millis expected{present / m_descentRate};
    if (latency > expected * (1 / m_tuning.descentRelief)) {
        return true;
    }
    m_descentLimit = m_limit;
    return false;
}

void limiter::clampLimit()
{
    m_limit = std::clamp(m_limit, 1.0, static_cast<double>(m_connections));
}

} // namespace turmericspar
