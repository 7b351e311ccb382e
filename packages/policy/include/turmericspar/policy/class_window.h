/// @file class_window.h
/// Limits how many requests of one class run at an upstream at once, according to the outcome of the calls that they make.
#pragma once

#include "turmericspar/policy/tunables.h"

namespace turmericspar {

/// Concurrency window that narrows while the services called by these requests (dependencies) lack capacity and widens again when they
/// recover. A request whose calls fail has wasted resources of its upstream and of the dependencies, so it is better refused up front.
class class_window
{
public:
    explicit class_window(const tunables &tuning) : m_tuning(tuning) { }

    /// @return whether another request may start.
    bool hasRoom() const { return !m_active || m_running < m_window; }
    void started(millis now);

    /// Records the end of a request.
    /// @param dependencyFailed whether it failed because a call that it made failed
    /// @param startedAt when it was sent to the upstream
    /// @param limit concurrency limit of the upstream, for all classes
    void ended(bool dependencyFailed, millis startedAt, millis now, int limit);

    /// @return the number of requests that may run at once; 0 if it is not limited.
    double window() const { return m_active ? m_window : 0; }

private:
    bool failureShareIsHigh() const;
    void narrow(millis now, int limit);
    void widen();

    const tunables &m_tuning;
    bool m_active = false;
    bool m_outage = false; ///< whether it was last narrowed because most requests failed: the dependencies are considered unavailable
    double m_failureShare = 0; ///< moving average of the share of requests that failed because of their calls
    double m_baselineFailureShare = 0; ///< the same at low load, where lack of capacity is not the cause
    double m_window = 0;
    double m_peak = 0; ///< recent maximum number of running requests when it was narrowed
    int m_running = 0;
    millis m_narrowedAt{-1e12};
    millis m_fullAt{-1e12}; ///< when it was last full
};

} // namespace turmericspar
