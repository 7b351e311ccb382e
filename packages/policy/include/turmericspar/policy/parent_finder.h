/// @file parent_finder.h
/// Identifies the parent of a call made by an upstream that does not pass on call context.
#pragma once

#include "turmericspar/policy/call.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace turmericspar {

/// Associates calls made by the local upstream with the calls running there. An upstream gives its own calls no more time than it has
/// left itself, so the deadline of a call is mostly that of its parent; and an upstream that makes several calls in sequence makes the
/// next one right after an answer. Classes whose requests often match a running call by deadline are classified as child calls; requests
/// of all other classes are treated as requests from outside, whatever their deadline. It does no I/O and reads no clock.
class parent_finder
{
public:
    /// Records a call that was sent to the upstream.
    /// @param deadline as the upstream knows it
    void started(call_id id, const std::string &klass, millis deadline);
    void ended(call_id id);

    /// @return whether running calls of a class have been identified as parents of other calls.
    bool makesCalls(const std::string &klass) const;
    /// Finds the parent of a request.
    /// @return the running call whose last child call of this class was just answered, else the one whose deadline matches, else one of a
    /// class that makes such calls; 0 for a request from outside
    /// @param klass class of the request according to its own route
    /// @param deadline of the request, if it has one
    call_id find(const std::string &klass, std::optional<millis> deadline, millis now);
    /// Records that a running call made a child call.
    void childStarted(call_id parent, const std::string &klass);
    /// Records that a child call of a running call has ended.
    void childEnded(call_id parent, millis now);

private:
    struct running_call
    {
        std::string klass;
        millis deadline;
        int childrenRunning = 0;
        std::string lastChildClass; ///< empty if it has made no call
        millis childEndedAt{-1e12}; ///< end of its last child call
    };
    /// How often requests of a class matched the deadline of a running call.
    struct match_statistics
    {
        double requests = 0;
        double matches = 0;
        std::map<std::string, double> matchesByParent; ///< by the class of the running call
    };

    bool isChildClass(const match_statistics &statistics) const;
    bool isParentClass(const match_statistics &statistics, const std::string &klass) const;
    call_id findByDeadline(std::optional<millis> deadline) const;
    call_id findSequentialParent(const std::string &klass, std::optional<millis> deadline, millis now) const;
    call_id findByClass(const match_statistics &statistics) const;

    std::unordered_map<call_id, running_call> m_running;
    std::multimap<millis, call_id> m_byDeadline;
    std::map<std::string, match_statistics> m_statistics; ///< by class
};

} // namespace turmericspar
