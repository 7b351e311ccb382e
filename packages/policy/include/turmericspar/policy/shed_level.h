/// @file shed_level.h
/// The shed level: the importance below which new requests are refused, at an upstream and as reported to its callers.
#pragma once

#include "turmericspar/policy/call.h"
#include "turmericspar/policy/tunables.h"

#include <array>
#include <map>
#include <string>

namespace turmericspar {

/// Lowers a shed level step by step towards 0 (no shedding), with steps that double in size.
class level_reducer
{
public:
    /// @return the given level after one step, twice as large as the last one.
    double reduce(double level);
    /// @return the given level after one step of the same size as the last one.
    double reduceBySameStep(double level);
    /// Resets the step size to the smallest.
    void reset();

private:
    double m_step = 0;
};

/// The shed level of one upstream, adjusted according to its queue and utilization.
class shed_level
{
public:
    explicit shed_level(const tunables &tuning);

    /// Counts an arriving call, whether or not it is admitted.
    void arrived(const call_priority &priority, millis now);
    /// Counts a started call.
    void started(millis now);
    /// Records the state of the upstream and its queue; to be called at each change.
    /// @param waiting number of queued calls
    /// @param running number of calls at the upstream
    /// @param limit concurrency limit of the upstream
    void observe(std::size_t waiting, int running, int limit, millis now);

    /// @return the importance below which new requests are refused; 0 if none are refused.
    double level() const { return m_level; }
    /// @return whether a new request is admitted.
    bool admits(const call_priority &priority) const { return priority.importance() >= m_level; }

private:
    static constexpr int bucketsPerRank = 64;
    static constexpr int bucketCount = static_cast<int>(importanceBound) * bucketsPerRank;

    void updateLevel(millis now);
    double sustainableLevel() const;
    void decay(millis now);

    const tunables &m_tuning;
    double m_level = 0;
    level_reducer m_reducer;
    std::array<double, bucketCount> m_arrivals{}; ///< histogram of importance; counts decay exponentially
    double m_starts = 0; ///< number of started calls, with the same decay
    millis m_decayedAt{0};

    // Current measurement window
    millis m_windowStart{0};
    std::size_t m_waitingMax = 0;
    double m_utilizationSum = 0;
    int m_observations = 0;
};

/// A shed level reported by another node; it is lowered when no new report arrives.
class reported_level
{
public:
    /// Updates the average with the level reported in an answer.
    void report(double level, millis now, const tunables &tuning);
    /// @return the present level.
    double current(millis now, const tunables &tuning);

private:
    double m_level = 0;
    millis m_reportedAt{0};
    level_reducer m_reducer;
};

/// Reported levels by name.
class reported_levels
{
public:
    explicit reported_levels(const tunables &tuning) : m_tuning(tuning) { }
    void report(const std::string &name, double level, millis now) { m_levels[name].report(level, now, m_tuning); }
    /// @return the level for a name; 0 if none was reported.
    double current(const std::string &name, millis now);
    /// @return the highest level of all names.
    double highest(millis now);

private:
    const tunables &m_tuning;
    std::map<std::string, reported_level> m_levels;
};

} // namespace turmericspar
