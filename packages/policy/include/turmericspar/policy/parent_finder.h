/// @file parent_finder.h
/// Finds the call for which another call is made, where upstreams do not say so.
#pragma once

#include "turmericspar/policy/call.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace turmericspar {

/// What was found of a request that came from beside an upstream.
struct parent_finding
{
    call_id parent = 0; ///< the running call for which it is made; 0 if that can't be told
    call_id relative = 0; ///< else a running call of a class that makes such calls; 0 if there is none
    bool unique = false; ///< whether no other running call could be the parent
};

/// Ties calls to the calls that run at the upstream beside this node. An upstream gives its own calls no more time than it has left
/// itself, so the deadline of a call mostly is that of its parent. Classes that often match in this way are known to be called;
/// requests of all others are taken for requests from outside, whatever deadline they happen to have. It knows no socket and no clock.
class parent_finder
{
public:
    /// Notes a call that was given to the upstream.
    /// @param deadline as the upstream knows it
    void started(call_id id, const std::string &klass, millis deadline);
    void ended(call_id id);

    /// @return whether calls of a class were seen to make calls.
    bool makesCalls(const std::string &klass) const;
    /// Looks for the parent of a request.
    /// @param klass class of the request by its own route
    /// @param deadline of the request; nothing if it names none
    parent_finding find(const std::string &klass, std::optional<millis> deadline);

private:
    struct running_call
    {
        std::string klass;
        millis deadline;
    };
    /// How often requests of a class had the deadline of a running call.
    struct call_habit
    {
        double asked = 0;
        double matched = 0;
        std::set<std::string> parents; ///< classes of the calls that matched
    };

    bool isCalled(const call_habit &habit) const;
    call_id relativeOf(const call_habit &habit) const;

    std::unordered_map<call_id, running_call> m_running;
    std::multimap<millis, call_id> m_byDeadline;
    std::map<std::string, call_habit> m_habits;
};

} // namespace turmericspar
