/// @file shed_level.h
/// The importance below which new requests are refused, at an upstream and as told back to those who call it.
#pragma once

#include "turmericspar/policy/call.h"
#include "turmericspar/policy/tunables.h"

#include <array>
#include <map>
#include <string>

namespace turmericspar {

/// Raises a level step by step towards "all are let in"; each step is twice the one before.
class level_relaxer
{
public:
    /// @return the level after one more step down from the given one.
    double relax(double level);
    /// @return the level after a step like the last one.
    double relaxAgain(double level);
    /// Starts again with the smallest step.
    void reset();

private:
    double m_step = 0;
};

/// The shed level of one upstream, corrected from how its queue stands.
class shed_level
{
public:
    explicit shed_level(const tunables &tuning);

    /// Counts a call that came, whether or not it was let in.
    void arrived(const standing &place, millis now);
    /// Counts a call that was started.
    void started(millis now);
    /// Tells how the upstream and its queue are now; call it at each change.
    /// @param waiting calls in the queue
    /// @param running calls at the upstream
    /// @param limit the upstream's limit
    void observe(std::size_t waiting, int running, int limit, millis now);

    /// @return the importance below which new requests are refused; 0 if none are.
    double level() const { return m_level; }
    /// @return whether a new request is let in.
    bool admits(const standing &place) const { return place.importance() >= m_level; }

private:
    static constexpr int bucketsPerRank = 64;
    static constexpr int bucketCount = static_cast<int>(importanceEnd) * bucketsPerRank;

    void correct(millis now);
    double sustainable() const;
    void forget(millis now);

    const tunables &m_tuning;
    double m_level = 0;
    level_relaxer m_relaxer;
    std::array<double, bucketCount> m_arrivals{}; ///< by importance; old ones count less
    double m_starts = 0; ///< in the same measure
    millis m_forgottenAt{0};

    // The present window
    millis m_windowStart{0};
    std::size_t m_waitingMost = 0;
    double m_useSum = 0;
    int m_observations = 0;
};

/// A level that others told, which fades when it is not told again.
class told_level
{
public:
    /// Blends in a level that an answer carried.
    void report(double level, millis now, const tunables &tuning);
    /// @return the level as it stands now.
    double current(millis now, const tunables &tuning);

private:
    double m_level = 0;
    millis m_reportedAt{0};
    level_relaxer m_relaxer;
};

/// Told levels by name.
class told_levels
{
public:
    explicit told_levels(const tunables &tuning) : m_tuning(tuning) { }
    void report(const std::string &name, double level, millis now) { m_levels[name].report(level, now, m_tuning); }
    /// @return the level of one name, 0 if it was never told.
    double current(const std::string &name, millis now);
    /// @return the highest of all levels.
    double highest(millis now);

private:
    const tunables &m_tuning;
    std::map<std::string, told_level> m_levels;
};

} // namespace turmericspar
