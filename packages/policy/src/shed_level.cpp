#include "turmericspar/policy/shed_level.h"

#include <algorithm>
#include <cmath>

namespace turmericspar {

namespace {

constexpr double smallestStep = 1.0 / 64;

} // namespace

double level_relaxer::relax(double level)
{
    m_step = m_step == 0 ? smallestStep : m_step * 2;
    return std::max(0.0, level - m_step);
}

double level_relaxer::relaxAgain(double level)
{
    m_step = std::max(m_step, smallestStep);
    return std::max(0.0, level - m_step);
}

void level_relaxer::reset()
{
    m_step = 0;
}

shed_level::shed_level(const tunables &tuning) : m_tuning(tuning) { }

void shed_level::arrived(const standing &place, millis now)
{
    forget(now);
    const int bucket = std::clamp(static_cast<int>(place.importance() * bucketsPerRank), 0, bucketCount - 1);
    m_arrivals[static_cast<std::size_t>(bucket)] += 1;
}

void shed_level::started(millis now)
{
    forget(now);
    m_starts += 1;
}

void shed_level::observe(std::size_t waiting, int running, int limit, millis now)
{
    m_waitingMost = std::max(m_waitingMost, waiting);
    m_useSum += limit > 0 ? std::min(1.0, static_cast<double>(running) / limit) : 1.0;
    ++m_observations;
    if (now - m_windowStart >= m_tuning.levelWindow) {
        correct(now);
    }
}

/// Ends a window: raises the level to what the upstream can sustain, and lowers it while more could be let in.
void shed_level::correct(millis now)
{
    const bool busy = m_useSum / m_observations >= m_tuning.levelBusyShare;
    const double bound = m_waitingMost > 0 && busy ? sustainable() : 0;
    if (bound >= m_level && bound > 0) {
        m_level = bound;
        m_relaxer.reset();
    } else {
        m_level = std::max(bound, busy ? m_relaxer.relaxAgain(m_level) : m_relaxer.relax(m_level));
    }
    m_windowStart = now;
    m_waitingMost = 0;
    m_useSum = 0;
    m_observations = 0;
}

/// @return the importance above which as many calls arrive as are started, with some headroom for the queue to choose from;
/// 0 if fewer than that arrive in all.
double shed_level::sustainable() const
{
    const double wanted = m_starts * m_tuning.levelHeadroom;
    double above = 0;
    for (std::size_t bucket = m_arrivals.size(); bucket > 0; --bucket) {
        above += m_arrivals[bucket - 1];
        if (above > wanted) {
            return static_cast<double>(bucket - 1) / bucketsPerRank;
        }
    }
    return 0;
}

/// Lets old arrivals and starts count less.
void shed_level::forget(millis now)
{
    constexpr double forgetShare = 0.1;
    const double steps = (now - m_forgottenAt) / m_tuning.levelMemory;
    if (steps < forgetShare) {
        return;
    }
    m_forgottenAt = now;
    const double factor = std::exp(-steps);
    for (auto &count : m_arrivals) {
        count *= factor;
    }
    m_starts *= factor;
}

void told_level::report(double level, millis now, const tunables &tuning)
{
    m_level = current(now, tuning);
    m_level += (level - m_level) * tuning.levelBlend;
    m_reportedAt = now;
    m_relaxer.reset();
}

double told_level::current(millis now, const tunables &tuning)
{
    while (m_level > 0 && now - m_reportedAt >= tuning.levelReportLife) {
        m_level = m_relaxer.relax(m_level);
        m_reportedAt += tuning.levelWindow;
    }
    return m_level;
}

double told_levels::current(const std::string &name, millis now)
{
    const auto found = m_levels.find(name);
    return found == m_levels.end() ? 0 : found->second.current(now, m_tuning);
}

double told_levels::highest(millis now)
{
    double most = 0;
    for (auto &[name, level] : m_levels) {
        most = std::max(most, level.current(now, m_tuning));
    }
    return most;
}

} // namespace turmericspar
