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

void limiter::answered(millis selfTime, bool shed, int running, millis startedAt, millis now)
{
    if (m_tuning.limitAdaptive == 0) {
        return;
    }
    m_runningMax = std::max(m_runningMax, running);
    ++m_ended;
    if (startedAt < m_loweredAt) {
        return;
    }
    if (m_windowStart.count == 0) {
        m_windowStart = now;
    }
    if (shed) {
        ++m_shedCount;
    } else {
        m_latencySum += selfTime;
        m_latencySquareSum += selfTime.count * selfTime.count;
        ++m_samples;
    }
    const millis span = std::max(m_tuning.limitWindow, m_baseline);
    // With a small limit there are few answers: twice the limit is enough for a window.
    const int needed = std::min(m_tuning.limitSamples, std::max(m_tuning.limitSamplesMin, 2 * limit()));
    if (m_samples + m_shedCount >= needed && now - m_windowStart >= span) {
        updateLimit(now);
    }
}

/// Ends a measurement window and adjusts the limit by one step.
void limiter::updateLimit(millis now)
{
    const bool limitReached = m_runningMax >= limit() - 1;
    const millis latency = m_samples > 0 ? m_latencySum * (1.0 / m_samples) : m_baseline;

    // Step 1. Update the baseline
    updateBaseline(latency, limitReached);

    // Step 2. Adjust the limit
    const millis tolerated = m_baseline * (m_tuning.latencyTolerance + m_tuning.noiseTolerance * relativeError(latency));
    if (m_shedCount > 0) {
        m_limit *= m_tuning.limitDecrease;
        m_slowStart = false;
    } else if (latency > tolerated && (limitReached || m_decreaseStartLimit > 0)) {
        decrease(latency, tolerated, now);
    } else if (latency > tolerated * m_tuning.idleTolerance) {
        // Calls are queued inside the upstream although the limit is not reached: it has fewer slots than it announced.
        m_limit = std::min(m_limit, std::max<double>(m_runningMax, m_tuning.idleLimitMin));
        decrease(latency, tolerated, now);
        m_limit = std::max(m_limit, std::min<double>(m_decreaseStartLimit, m_tuning.idleLimitMin));
    } else if (limitReached) {
        const double share = m_slowStart ? m_tuning.slowStartIncrease : m_tuning.limitIncrease;
        m_limit += std::max(1.0, m_limit * share);
        m_decreaseStartLimit = 0;
    }
    clampLimit();

    // Step 3. Start the next window
    m_windowStart = now;
    m_latencySum = {0};
    m_latencySquareSum = 0;
    m_samples = 0;
    m_shedCount = 0;
    m_ended = 0;
    m_runningMax = 0;
}

/// @return the standard error of the window's mean latency, relative to the mean.
double limiter::relativeError(millis latency) const
{
    if (m_samples < 2 || latency.count <= 0) {
        return 0;
    }
    const double mean = latency.count;
    const double variance = std::max(0.0, m_latencySquareSum / m_samples - mean * mean);
    return std::sqrt(variance / m_samples) / mean;
}

void limiter::updateBaseline(millis latency, bool limitReached)
{
    if (m_baseline.count == 0) {
        m_baseline = latency;
    } else if (latency < m_baseline) {
        m_baseline += (latency - m_baseline) * (limitReached ? m_tuning.baselineFall : m_tuning.baselineBlend);
    } else if (!limitReached && latency < m_baseline * m_tuning.latencyTolerance) {
        m_baseline += (latency - m_baseline) * m_tuning.baselineBlend;
    }
}

/// Lowers the limit in proportion to the excess latency (Little's law), unless the decrease so far has had no effect on the latency; in
/// that case, restores the limit and raises the baseline.
void limiter::decrease(millis latency, millis tolerated, millis now)
{
    m_slowStart = false;
    if (m_decreaseStartLimit == 0) {
        m_decreaseStartLimit = m_limit;
        m_decreaseStartRate = m_ended / (now - m_windowStart).count;
    }
    if (decreaseHadNoEffect(latency)) {
        m_baseline = latency;
        m_limit = m_decreaseStartLimit;
        m_decreaseStartLimit = 0;
        return;
    }
    m_limit = std::max(1.0, m_limit * std::max(m_tuning.limitDecreaseMax, tolerated / latency));
    m_loweredAt = now;
}

/// @return whether the limit was lowered considerably without reducing the latency: the upstream is slower, not overloaded.
bool limiter::decreaseHadNoEffect(millis latency)
{
    if (m_limit > m_decreaseStartLimit * m_tuning.decreaseCheckShare) {
        return false;
    }
    // If calls were queued inside the upstream, its throughput stays the same and latency is proportional to the number of calls.
    const double concurrency = std::min<double>(m_limit, m_runningMax);
    const millis expected{concurrency / m_decreaseStartRate};
    if (latency > expected * (1 / m_tuning.decreaseLatencyShare)) {
        return true;
    }
    m_decreaseStartLimit = m_limit;
    return false;
}

void limiter::clampLimit()
{
    m_limit = std::clamp(m_limit, 1.0, static_cast<double>(m_connections));
}

} // namespace turmericspar
