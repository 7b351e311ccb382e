/// @file class_window.h
/// How many requests of one class may run at an upstream at once, found from what becomes of the calls that they make.
#pragma once

#include "turmericspar/policy/tunables.h"

namespace turmericspar {

/// A window that closes when the services below are out of room and opens again while they are not. A request whose calls fail
/// further down has used its upstream and part of the services below for nothing; it is better refused before it begins.
class class_window
{
public:
    explicit class_window(const tunables &tuning) : m_tuning(tuning) { }

    /// @return whether another request may begin.
    bool hasRoom() const { return !m_active || m_running < m_window; }
    void started(millis now);

    /// Learns of the end of a request.
    /// @param failedBelow whether it failed because of a call that it made
    /// @param startedAt when it was given to the upstream
    /// @param limit requests of all classes that may run at the upstream at once
    void ended(bool failedBelow, millis startedAt, millis now, int limit);

    /// @return the number that may run at once; 0 if there is no bound.
    double window() const { return m_active ? m_window : 0; }

private:
    bool failsTooOften() const;
    void close(millis now, int limit);
    void open();

    const tunables &m_tuning;
    bool m_active = false;
    bool m_outage = false; ///< whether it closed because nearly all requests failed below
    double m_failedShare = 0; ///< of the last requests, those that failed because of their calls
    double m_usualFailures = 0; ///< the same of those that ran with few beside them: these don't fail for lack of room
    double m_window = 0;
    double m_peak = 0; ///< width from which it was closed lately
    int m_running = 0;
    millis m_closedAt{-1e12};
    millis m_fullAt{-1e12}; ///< when it was last filled
};

} // namespace turmericspar
