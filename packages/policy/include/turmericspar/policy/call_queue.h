/// @file call_queue.h
/// The calls that wait for an upstream, in the order in which they will be served.
#pragma once

#include "turmericspar/policy/call.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace turmericspar {

/// A call that waits.
struct waiting_call
{
    call_id id = 0;
    standing place;
    bool admitted = false; ///< part of a request that was admitted before: served first within its rank
    millis startBy; ///< when it must begin to be answered in time
    millis since;
    std::string klass; ///< of the request that it is part of
};

/// A priority queue by standing that also finds the least important call and those that can't be answered in time any more.
/// Every operation takes time in the logarithm of the number of calls.
class call_queue
{
public:
    void push(const waiting_call &call);
    /// Takes the most important call; the queue must not be empty.
    waiting_call popMost();
    /// Takes the least important call; the queue must not be empty.
    waiting_call popLeast();
    /// @return the least important call without taking it.
    const waiting_call &least() const { return m_calls.rbegin()->second; }
    const waiting_call &most() const { return m_calls.begin()->second; }
    /// Takes a call that had to begin before a time, if there is one.
    std::optional<waiting_call> popExpired(millis now);
    /// Takes a call by its id, if it waits.
    std::optional<waiting_call> remove(call_id id);

    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

    /// @return whether one call is served before another.
    static bool before(const waiting_call &left, const waiting_call &right);

private:
    /// Sorts by standing first, then by age.
    struct order
    {
        int lane; ///< rank, with the excess lane behind
        bool waitsForAdmission;
        std::uint32_t draw;
        call_id id;
        auto operator<=>(const order &) const = default;
    };
    static order orderOf(const waiting_call &call);
    waiting_call take(std::map<order, waiting_call>::iterator position);

    std::map<order, waiting_call> m_calls;
    std::unordered_map<call_id, std::map<order, waiting_call>::iterator> m_byId;
    std::set<std::pair<millis, call_id>> m_byStart;
};

} // namespace turmericspar
