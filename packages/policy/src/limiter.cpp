#include "turmericspar/policy/limiter.h"

#include <algorithm>

namespace turmericspar {

limiter::limiter(const tunables &tuning) : m_tuning(tuning) { }

void limiter::announce(int slots, int connections, bool cold)
{
    const bool first = m_connections == 0;
    const bool changed = slots != m_slots;
    m_slots = std::max(slots, 1);
    m_connections = std::max(connections, 1);
    if (first || changed) {
        m_slowStart = cold;
        m_limit = cold ? m_slots * m_tuning.coldStartShare : m_slots;
    }
    clampLimit();
}

void limiter::answered(millis ownTime, bool shed, int running, millis now)
{
    if (m_samples + m_sheds == 0) {
        m_windowStart = m_windowStart.count == 0 ? now : m_windowStart;
    }
    m_runningMost = std::max(m_runningMost, running);
    if (shed) {
        ++m_sheds;
    } else {
        m_latencySum += ownTime;
        ++m_samples;
    }
    const millis span = std::max(m_tuning.limitWindow, m_baseline);
    if (m_samples + m_sheds >= m_tuning.limitSamples && now - m_windowStart >= span) {
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
    const millis tolerated = m_baseline * m_tuning.latencyTolerance;
    if (m_sheds > 0) {
        m_limit *= m_tuning.limitDecrease;
        m_slowStart = false;
    } else if (latency > tolerated && limited) {
        if (m_descentLimit == 0) {
            m_descentLimit = m_limit;
            m_descentLatency = latency;
        }
        m_limit *= std::max(m_tuning.limitDecrease, tolerated / latency);
        m_slowStart = false;
        if (descentWasInVain(latency)) {
            m_baseline = latency;
            m_limit = m_descentLimit;
            m_descentLimit = 0;
        }
    } else if (limited) {
        const double share = m_slowStart ? m_tuning.slowStartIncrease : m_tuning.limitIncrease;
        m_limit += std::max(1.0, m_limit * share);
        m_descentLimit = 0;
    }
    clampLimit();

    // Step 3. The next window
    m_windowStart = now;
    m_latencySum = {0};
    m_samples = 0;
    m_sheds = 0;
    m_runningMost = 0;
}

void limiter::moveBaseline(millis latency, bool limited)
{
    if (m_baseline.count == 0) {
        m_baseline = latency;
    } else if (latency < m_baseline) {
        m_baseline += (latency - m_baseline) * m_tuning.baselineFall;
    } else if (!limited) {
        m_baseline += (latency - m_baseline) * m_tuning.baselineDrift;
    }
}

/// @return whether the limit has fallen far and the latency has not: then the upstream is slower, not fuller.
bool limiter::descentWasInVain(millis latency)
{
    if (m_descentLimit == 0 || m_limit > m_descentLimit * m_tuning.descentShare) {
        return false;
    }
    if (latency > m_descentLatency * m_tuning.descentRelief) {
        return true;
    }
    m_descentLimit = 0;
    return false;
}

void limiter::clampLimit()
{
    m_limit = std::clamp(m_limit, 1.0, static_cast<double>(m_connections));
}

} // namespace turmericspar
