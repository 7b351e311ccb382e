/// @file child_call_tracker.h
/// Per running call at an upstream: the remaining retries and the calls that it makes (child calls).
#pragma once

#include "turmericspar/policy/call.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace turmericspar {

/// Result of a call's child calls when the call has ended.
struct child_call_summary
{
    int retriesUsed = 0; ///< by all calls below it in the tree
    bool finalFailure = false; ///< whether a call below failed for good, so that callers must not retry
    millis waited; ///< time for which at least one child call was running
    std::vector<call_id> unfinished; ///< child calls that are still running
};

/// Distributes the retry budget of a request along its tree of calls, so that the total number of retries is bounded.
class child_call_tracker
{
public:
    /// Starts tracking a running call.
    void open(call_id parent, const call_context &context);

    /// Adds a child call.
    /// @return the context of the new call, with the retries granted to it; nothing if the parent is not running or was marked as failed
    std::optional<call_context> addChild(call_id parent, call_id child, millis now);

    /// Records the end of a child call and returns its unused retries to the parent.
    void childEnded(call_id parent, call_id child, int retriesUsed, bool finalFailure, millis now);

    /// Records that a call will fail regardless of its other child calls; no further ones are accepted.
    /// @return its child calls that are still running and whose answers are no longer needed
    std::vector<call_id> markFailed(call_id parent);

    /// Stops tracking a call that has ended.
    child_call_summary close(call_id parent, millis now);

    /// @return the context of a running call, or nullptr.
    const call_context *find(call_id parent) const;
    std::size_t size() const { return m_parents.size(); }

private:
    struct parent_state
    {
        call_context context;
        int retriesLeft = 0;
        int retriesUsed = 0;
        bool finalFailure = false;
        bool failed = false;
        millis waited{0}; ///< in periods that have ended
        millis waitingSince{0}; ///< start of the present period with running child calls
        std::unordered_map<call_id, int> grantedRetries; ///< by running child call
    };

    std::unordered_map<call_id, parent_state> m_parents;
};

} // namespace turmericspar
