#include "turmericspar/policy/parent_finder.h"

#include <algorithm>
#include <cmath>

namespace turmericspar {

namespace {

/// A call's deadline as its node reads it lies this much around its parent's: both travel in whole milliseconds.
constexpr millis earliest{-0.6};
constexpr millis latest{1.4};
/// Where it lies most often.
constexpr millis usual{0.4};

/// An upstream that calls in turn makes its next call this soon after an answer: the way there and back on one host.
constexpr millis nextCallWithin{5};

/// Requests of a class before it is judged whether it is called.
constexpr double judgedFrom = 20;
/// Share of its requests that must match: chance alone gives a few in a hundred.
constexpr double calledShare = 0.2;
/// Share of the matches from which a class counts as one that makes such calls: others match by chance.
constexpr double parentShare = 0.15;
/// Requests that are remembered; older ones count less and less.
constexpr double memory = 400;

} // namespace

void parent_finder::started(call_id id, const std::string &klass, millis deadline)
{
    running_call call;
    call.klass = klass;
    call.deadline = deadline;
    m_running[id] = std::move(call);
    m_byDeadline.emplace(deadline, id);
}

void parent_finder::ended(call_id id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    auto [first, last] = m_byDeadline.equal_range(found->second.deadline);
    while (first != last && first->second != id) {
        ++first;
    }
    if (first != last) {
        m_byDeadline.erase(first);
    }
    m_running.erase(found);
}

bool parent_finder::isCalled(const call_habit &habit) const
{
    return habit.asked >= judgedFrom && habit.matched >= habit.asked * calledShare;
}

bool parent_finder::makesCalls(const std::string &klass) const
{
    return std::any_of(m_habits.begin(), m_habits.end(), [&](const auto &entry) { return isCalled(entry.second) && isParent(entry.second, klass); });
}

bool parent_finder::isParent(const call_habit &habit, const std::string &klass) const
{
    const auto found = habit.parents.find(klass);
    return found != habit.parents.end() && found->second >= habit.matched * parentShare;
}

void parent_finder::called(call_id parent, const std::string &klass)
{
    const auto found = m_running.find(parent);
    if (found != m_running.end()) {
        ++found->second.callsRunning;
        found->second.called = klass;
    }
}

void parent_finder::answered(call_id parent, millis now)
{
    const auto found = m_running.find(parent);
    if (found != m_running.end()) {
        found->second.callsRunning = std::max(0, found->second.callsRunning - 1);
        found->second.answeredAt = now;
    }
}

/// @return the running call whose deadline is nearest to that of a request; 0 if none is near.
call_id parent_finder::nearestByDeadline(std::optional<millis> deadline) const
{
    call_id nearest = 0;
    double least = latest.count - earliest.count;
    if (deadline) {
        auto position = m_byDeadline.lower_bound(*deadline + earliest);
        for (; position != m_byDeadline.end() && position->first <= *deadline + latest; ++position) {
            const double distance = std::fabs((position->first - *deadline - usual).count);
            if (distance < least) {
                least = distance;
                nearest = position->second;
            }
        }
    }
    return nearest;
}

/// @return the running call that has waited longest, a moment at most, since its last call of this class was answered; 0 if there is none.
call_id parent_finder::goingOn(const std::string &klass, std::optional<millis> deadline, millis now) const
{
    call_id best = 0;
    millis since = now;
    for (const auto &[id, call] : m_running) {
        const bool waits = call.callsRunning == 0 && call.called == klass && now - call.answeredAt <= nextCallWithin;
        const bool fits = !deadline || *deadline + earliest <= call.deadline;
        if (waits && fits && (best == 0 || call.answeredAt < since)) {
            best = id;
            since = call.answeredAt;
        }
    }
    return best;
}

/// @return a running call of a class that makes such calls: one that made none yet, if there is one.
call_id parent_finder::relativeOf(const call_habit &habit) const
{
    call_id any = 0;
    for (const auto &[deadline, id] : m_byDeadline) {
        const auto &call = m_running.at(id);
        if (!isParent(habit, call.klass)) {
            continue;
        }
        if (call.called.empty()) {
            return id;
        }
        any = any == 0 ? id : any;
    }
    return any;
}

call_id parent_finder::find(const std::string &klass, std::optional<millis> deadline, millis now)
{
    // Step 1. The running call whose deadline is nearest
    const call_id nearest = nearestByDeadline(deadline);

    // Step 2. Whether requests of this class are calls at all
    auto &habit = m_habits[klass];
    if (habit.asked >= memory) {
        habit.asked /= 2;
        habit.matched /= 2;
        for (auto &[parent, matches] : habit.parents) {
            matches /= 2;
        }
    }
    ++habit.asked;
    if (nearest != 0) {
        ++habit.matched;
        ++habit.parents[m_running.at(nearest).klass];
    }
    if (!isCalled(habit)) {
        return 0;
    }

    // Step 3. The next in a row of calls; else by deadline. A call with a shorter deadline of its own fits none, but its kind is known
    const call_id next = goingOn(klass, deadline, now);
    if (next != 0) {
        return next;
    }
    return nearest != 0 ? nearest : relativeOf(habit);
}

} // namespace turmericspar
