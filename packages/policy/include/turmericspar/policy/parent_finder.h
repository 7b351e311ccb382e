/// @file parent_finder.h
/// Finds the call for which another call is made, where upstreams do not say so.
#pragma once

#include "turmericspar/policy/call.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace turmericspar {

/// Ties calls to the calls that run at the upstream beside this node. An upstream gives its own calls no more time than it has left
/// itself, so the deadline of a call mostly is that of its parent; and an upstream that calls several times in turn makes its next call
/// right after an answer. Classes that often match by deadline are known to be called; requests of all others are taken for requests
/// from outside, whatever deadline they happen to have. It knows no socket and no clock.
class parent_finder
{
public:
    /// Notes a call that was given to the upstream.
    /// @param deadline as the upstream knows it
    void started(call_id id, const std::string &klass, millis deadline);
    void ended(call_id id);

    /// @return whether calls of a class were seen to make calls.
    bool makesCalls(const std::string &klass) const;
    /// Looks for the call for which a request is made.
    /// @return the running call that was just answered and goes on, else the one whose deadline fits, else one of a class that makes
    /// such calls; 0 for a request from outside
    /// @param klass class of the request by its own route
    /// @param deadline of the request; nothing if it names none
    call_id find(const std::string &klass, std::optional<millis> deadline, millis now);
    /// Notes that a running call made a call.
    void called(call_id parent, const std::string &klass);
    /// Notes that a call which a running call made has ended.
    void answered(call_id parent, millis now);

private:
    struct running_call
    {
        std::string klass;
        millis deadline;
        int callsRunning = 0;
        std::string called; ///< class of its last call; empty if it made none
        millis answeredAt{-1e12}; ///< end of its last call
    };
    /// How often requests of a class had the deadline of a running call.
    struct call_habit
    {
        double asked = 0;
        double matched = 0;
        std::map<std::string, double> parents; ///< matches by the class of the running call
    };

    bool isCalled(const call_habit &habit) const;
    bool isParent(const call_habit &habit, const std::string &klass) const;
    call_id nearestByDeadline(std::optional<millis> deadline) const;
    call_id goingOn(const std::string &klass, std::optional<millis> deadline, millis now) const;
    call_id relativeOf(const call_habit &habit) const;

    std::unordered_map<call_id, running_call> m_running;
    std::multimap<millis, call_id> m_byDeadline;
    std::map<std::string, call_habit> m_habits;
};

} // namespace turmericspar
