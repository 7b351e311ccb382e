#include "turmericspar/policy/parent_finder.h"

#include <algorithm>
#include <cmath>

namespace turmericspar {

namespace {

/// Range of a parent's deadline minus that of its call: both are transmitted in whole milliseconds.
constexpr millis differenceMin{-0.6};
constexpr millis differenceMax{1.4};
/// Most frequent difference.
constexpr millis differenceTypical{0.4};

/// Maximum time from an answer to the next call of a sequence: a round trip between the node and the upstream on one host.
constexpr millis nextCallDelayMax{5};

/// Number of requests of a class before it may be classified as a class of child calls.
constexpr double requestsMin = 20;
/// Share of its requests that must match: a few per cent match by chance.
constexpr double matchShareMin = 0.2;
/// Share of the matches above which a class counts as a parent class: others match by chance.
constexpr double parentShareMin = 0.15;
/// The statistics are halved at this number of requests, so that older requests count less.
constexpr double requestsMax = 400;

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

bool parent_finder::isChildClass(const match_statistics &statistics) const
{
    return statistics.requests >= requestsMin && statistics.matches >= statistics.requests * matchShareMin;
}

bool parent_finder::makesCalls(const std::string &klass) const
{
    return std::any_of(
        m_statistics.begin(), m_statistics.end(), [&](const auto &entry) { return isChildClass(entry.second) && isParentClass(entry.second, klass); });
}

bool parent_finder::isParentClass(const match_statistics &statistics, const std::string &klass) const
{
    const auto found = statistics.matchesByParent.find(klass);
    return found != statistics.matchesByParent.end() && found->second >= statistics.matches * parentShareMin;
}

void parent_finder::childStarted(call_id parent, const std::string &klass)
{
    const auto found = m_running.find(parent);
    if (found != m_running.end()) {
        ++found->second.childrenRunning;
        found->second.lastChildClass = klass;
    }
}

void parent_finder::childEnded(call_id parent, millis now)
{
    const auto found = m_running.find(parent);
    if (found != m_running.end()) {
        found->second.childrenRunning = std::max(0, found->second.childrenRunning - 1);
        found->second.childEndedAt = now;
    }
}

/// @return the running call whose deadline matches that of a request best; 0 if none matches.
call_id parent_finder::findByDeadline(std::optional<millis> deadline) const
{
    call_id nearest = 0;
    double smallest = differenceMax.count - differenceMin.count;
    if (deadline) {
        auto position = m_byDeadline.lower_bound(*deadline + differenceMin);
        for (; position != m_byDeadline.end() && position->first <= *deadline + differenceMax; ++position) {
            const double distance = std::fabs((position->first - *deadline - differenceTypical).count);
            if (distance < smallest) {
                smallest = distance;
                nearest = position->second;
            }
        }
    }
    return nearest;
}

/// @return of the running calls whose last child call, of this class, ended within nextCallDelayMax, the one where it ended first; 0 if there
/// is none.
call_id parent_finder::findSequentialParent(const std::string &klass, std::optional<millis> deadline, millis now) const
{
    call_id best = 0;
    millis earliest = now;
    for (const auto &[id, call] : m_running) {
        const bool isBetweenCalls = call.childrenRunning == 0 && call.lastChildClass == klass && now - call.childEndedAt <= nextCallDelayMax;
        const bool deadlineFits = !deadline || *deadline + differenceMin <= call.deadline;
        if (isBetweenCalls && deadlineFits && (best == 0 || call.childEndedAt < earliest)) {
            best = id;
            earliest = call.childEndedAt;
        }
    }
    return best;
}

/// @return a running call of a parent class, preferably one that has made no call yet; 0 if there is none.
call_id parent_finder::findByClass(const match_statistics &statistics) const
{
    call_id any = 0;
    for (const auto &[deadline, id] : m_byDeadline) {
        const auto &call = m_running.at(id);
        if (!isParentClass(statistics, call.klass)) {
            continue;
        }
        if (call.lastChildClass.empty()) {
            return id;
        }
        any = any == 0 ? id : any;
    }
    return any;
}

call_id parent_finder::find(const std::string &klass, std::optional<millis> deadline, millis now)
{
    // Step 1. Find the running call with the best matching deadline
    const call_id nearest = findByDeadline(deadline);

    // Step 2. Update the statistics of the class and check whether its requests are child calls
    auto &statistics = m_statistics[klass];
    if (statistics.requests >= requestsMax) {
        statistics.requests /= 2;
        statistics.matches /= 2;
        for (auto &[parent, matches] : statistics.matchesByParent) {
            matches /= 2;
        }
    }
    ++statistics.requests;
    if (nearest != 0) {
        ++statistics.matches;
        ++statistics.matchesByParent[m_running.at(nearest).klass];
    }
    if (!isChildClass(statistics)) {
        return 0;
    }

    // Step 3. Prefer the parent of a sequence of calls, then the match by deadline. A call with a shorter deadline of its own matches none; its
    // parent is chosen by class
    const call_id next = findSequentialParent(klass, deadline, now);
    if (next != 0) {
        return next;
    }
    return nearest != 0 ? nearest : findByClass(statistics);
}

} // namespace turmericspar
