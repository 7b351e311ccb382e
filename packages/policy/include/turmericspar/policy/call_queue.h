/// @file call_queue.h
/// Priority queue of the calls that wait for an upstream.
#pragma once

#include "turmericspar/policy/call.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace turmericspar {

/// A queued call.
struct waiting_call
{
    call_id id = 0;
    call_priority priority;
    bool admitted = false; ///< whether it belongs to a request that was already admitted; such calls are served first within their rank
    millis startBy; ///< latest start time to meet the deadline
    millis since; ///< when it was queued
    std::string klass; ///< class of the request it belongs to
};

/// A priority queue that also gives access to the least important call and to the calls that can no longer meet their deadline.
/// All operations take O(log n).
class call_queue
{
public:
    void push(const waiting_call &call);
    /// Removes the most important call; the queue must not be empty.
    waiting_call popHighest();
    /// Removes the least important call; the queue must not be empty.
    waiting_call popLowest();
    /// @return the least important call; the queue must not be empty.
    const waiting_call &lowest() const { return m_calls.rbegin()->second; }
    const waiting_call &highest() const { return m_calls.begin()->second; }
    /// Removes a call whose latest start time has passed, if there is one.
    std::optional<waiting_call> popExpired(millis now);
    /// Removes a call by its id, if it is queued.
    std::optional<waiting_call> remove(call_id id);

    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

    /// @return whether `left` is served before `right`.
    static bool before(const waiting_call &left, const waiting_call &right);

private:
    /// Sort key: priority first, then age.
    struct sort_key
    {
        int rank; ///< calls above the limit of their class sort after all others
        bool isNew; ///< whether its request was not admitted before
        std::uint32_t tieBreaker; ///< inverted: larger tie-breakers come first
        call_id id; ///< ascending by arrival
        auto operator<=>(const sort_key &) const = default;
    };
    static sort_key sortKey(const waiting_call &call);
    waiting_call take(std::map<sort_key, waiting_call>::iterator position);

    std::map<sort_key, waiting_call> m_calls;
    std::unordered_map<call_id, std::map<sort_key, waiting_call>::iterator> m_byId;
    std::set<std::pair<millis, call_id>> m_byStart;
};

} // namespace turmericspar
