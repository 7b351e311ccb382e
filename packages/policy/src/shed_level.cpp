#include "turmericspar/policy/shed_level.h"

#include <algorithm>
#include <cmath>

namespace turmericspar {

namespace {

constexpr double stepMin = 1.0 / 64;

} // namespace

double level_reducer::reduce(double level)
{
    m_step = m_step == 0 ? stepMin : m_step * 2;
    return std::max(0.0, level - m_step);
}

double level_reducer::reduceBySameStep(double level)
{
    m_step = std::max(m_step, stepMin);
    return std::max(0.0, level - m_step);
}

void level_reducer::reset()
{
    m_step = 0;
}

shed_level::shed_level(const tunables &tuning) : m_tuning(tuning) { }

void shed_level::arrived(const call_priority &priority, millis now)
{
    decay(now);
    const int bucket = std::clamp(static_cast<int>(priority.importance() * bucketsPerRank), 0, bucketCount - 1);
    m_arrivals[static_cast<std::size_t>(bucket)] += 1;
}

void shed_level::started(millis now)
{
    decay(now);
    m_starts += 1;
}

void shed_level::observe(std::size_t waiting, int running, int limit, millis now)
{
    m_waitingMax = std::max(m_waitingMax, waiting);
    m_utilizationSum += limit > 0 ? std::min(1.0, static_cast<double>(running) / limit) : 1.0;
    ++m_observations;
    if (now - m_windowStart >= m_tuning.levelWindow) {
        updateLevel(now);
    }
}

/// Ends a measurement window: raises the level to what the upstream can sustain, or lowers it step by step.
void shed_level::updateLevel(millis now)
{
    const bool busy = m_utilizationSum / m_observations >= m_tuning.levelBusyShare;
    const double bound = m_waitingMax > 0 && busy ? sustainableLevel() : 0;
    if (bound >= m_level && bound > 0) {
        m_level = bound;
        m_reducer.reset();
    } else {
        m_level = std::max(bound, busy ? m_reducer.reduceBySameStep(m_level) : m_reducer.reduce(m_level));
    }
    m_windowStart = now;
    m_waitingMax = 0;
    m_utilizationSum = 0;
    m_observations = 0;
}

/// @return the importance above which as many calls arrive as are started, plus some headroom so that the queue has calls to choose from;
/// 0 if fewer calls arrive in total.
double shed_level::sustainableLevel() const
{
    const double target = m_starts * m_tuning.levelHeadroom;
    double above = 0;
    for (std::size_t bucket = m_arrivals.size(); bucket > 0; --bucket) {
        above += m_arrivals[bucket - 1];
        if (above > target) {
            return static_cast<double>(bucket - 1) / bucketsPerRank;
        }
    }
    return 0;
}

/// Applies the exponential decay to the counts of arrivals and starts.
void shed_level::decay(millis now)
{
    // In multiples of the time constant
    constexpr double minElapsed = 0.1;
    const double elapsed = (now - m_decayedAt) / m_tuning.levelTimeConstant;
    if (elapsed < minElapsed) {
        return;
    }
    m_decayedAt = now;
    const double factor = std::exp(-elapsed);
    for (auto &count : m_arrivals) {
        count *= factor;
    }
    m_starts *= factor;
}

void reported_level::report(double level, millis now, const tunables &tuning)
{
    m_level = current(now, tuning);
    m_level += (level - m_level) * tuning.levelBlend;
    m_reportedAt = now;
    m_reducer.reset();
}

double reported_level::current(millis now, const tunables &tuning)
{
    while (m_level > 0 && now - m_reportedAt >= tuning.levelReportTtl) {
        m_level = m_reducer.reduce(m_level);
        m_reportedAt += tuning.levelWindow;
    }
    return m_level;
}

double reported_levels::current(const std::string &name, millis now)
{
    const auto found = m_levels.find(name);
    return found == m_levels.end() ? 0 : found->second.current(now, m_tuning);
}

double reported_levels::highest(millis now)
{
    double highest = 0;
    for (auto &[name, level] : m_levels) {
        highest = std::max(highest, level.current(now, m_tuning));
    }
    return highest;
}

} // namespace turmericspar
