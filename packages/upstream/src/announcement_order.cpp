#include "turmericspar/upstream/announcement_order.h"

#include "turmericspar/base/secret.h"

#include <algorithm>
#include <utility>

namespace turmericspar {

namespace {

/// Number of announcements in a row after which a run that states an earlier start is taken for the current one.
constexpr int persistentCount = 3;
/// Time that they must span if they may be late messages of a run that was replaced. Late ones arrive together; an upstream announces itself about
/// every second and a half.
constexpr millis persistentSpan{2500};
/// Number of departed runs that are remembered. Messages may be some seconds late, a time in which an upstream starts a few times at most.
constexpr std::size_t departedMax = 16;

/// @return whether two positions may be of the same run: one that states no start may be of any run of its instance.
bool mayBeSameRun(const announcement_position &left, const announcement_position &right)
{
    return left.instance == right.instance && (!left.startedAt || !right.startedAt || *left.startedAt == *right.startedAt);
}

/// @return whether an announcement is of a known run. An upstream that states its start does so in all its announcements.
bool isSameRun(const announcement_position &announced, const announcement_position &known)
{
    return mayBeSameRun(announced, known) && (announced.startedAt || !known.startedAt);
}

bool isLaterInRun(const announcement_position &position, const announcement_position &known)
{
    return !position.sequence || !known.sequence || *position.sequence > *known.sequence;
}

} // namespace

upstream_run runOf(const announcement_position &position)
{
    if (position.instance.empty() && !position.startedAt) {
        return {};
    }
    const auto startedAt = position.startedAt.value_or(0);
    return {stableHash(position.instance + "\n" + std::to_string(startedAt)), stableHash(position.instance), startedAt};
}

bool announcement_order::hasDeparted(const announcement_position &position) const
{
    const auto run = runOf(position);
    return run.id != 0 && std::any_of(m_departed.begin(), m_departed.end(), [&](const upstream_run &departed) { return departed.id == run.id; });
}

/// @return whether a later run of the same instance has left, so that what arrives is probably late.
bool announcement_order::precedesDeparture(const announcement_position &position) const
{
    const auto run = runOf(position);
    return std::any_of(m_departed.begin(), m_departed.end(), [&](const upstream_run &departed) { return run.precedes(departed); });
}

bool announcement_order::recordDeparture(const upstream_run &departed)
{
    if (departed.id == 0) {
        return false;
    }
    std::erase_if(m_departed, [&](const upstream_run &known) { return known.id == departed.id; });
    m_departed.push_back(departed);
    if (m_departed.size() > departedMax) {
        m_departed.pop_front();
    }
    const bool present = m_known && !m_deregistered;
    if (present && departed.id == runOf(m_newest).id) {
        m_deregistered = true;
        return true;
    }
    if (present && precedesDeparture(m_newest)) {
        // A late announcement made it the current run. If it is there after all, since the clock was set back, it comes back by persisting.
        m_known = false;
        m_newest = {};
        return true;
    }
    return false;
}

/// @return whether an announcement comes from a later run than the current one.
bool announcement_order::isNewRun(const announcement_position &position) const
{
    if (precedesDeparture(position)) {
        return false;
    }
    if (!m_known) {
        return true;
    }
    if (m_newest.startedAt) {
        return position.startedAt && *position.startedAt > *m_newest.startedAt;
    }
    return position.instance != m_newest.instance && position.instance != m_previous.instance;
}

/// Counts the announcements in a row of one run that are not newer than the newest one.
/// @return whether they show that this run is the current one
bool announcement_order::isPersistent(const announcement_position &position, millis now)
{
    const bool sameRun = m_candidateCount > 0 && isSameRun(position, m_candidate);
    if (sameRun && position.sequence && position.sequence == m_candidate.sequence) {
        return false;
    }
    // Nothing true could follow an odd sequence: one that is lower begins a new row.
    const bool continues = sameRun && isLaterInRun(position, m_candidate);
    if (!continues) {
        m_candidateCount = 0;
        m_candidateSince = now;
    }
    ++m_candidateCount;
    m_candidate = position;
    const bool mayBeLate = mayBeSameRun(position, m_newest) || mayBeSameRun(position, m_previous) || precedesDeparture(position);
    return m_candidateCount >= persistentCount && (!mayBeLate || now - m_candidateSince >= persistentSpan);
}

void announcement_order::startRun(const announcement_position &position)
{
    m_previous = std::exchange(m_newest, position);
    m_known = true;
    m_deregistered = false;
    m_candidateCount = 0;
}

bool announcement_order::acceptAnnouncement(const announcement_position &position, millis now)
{
    if (position.instance.empty() && !position.startedAt) {
        // Without an instance name and a start time the order can't be checked, so every announcement is accepted.
        m_known = true;
        m_deregistered = false;
        m_newest = position;
        return true;
    }
    if (hasDeparted(position)) {
        return false;
    }
    if (isNewRun(position)) {
        startRun(position);
        return true;
    }
    if (isSameRun(position, m_newest) && (isLaterInRun(position, m_newest) || m_deregistered)) {
        m_candidateCount = 0;
        m_newest.sequence = m_deregistered ? m_newest.sequence : position.sequence;
        return !m_deregistered;
    }
    if (isPersistent(position, now)) {
        startRun(position);
        return true;
    }
    return false;
}

bool announcement_order::acceptDeregistration(const announcement_position &position)
{
    if (m_known && !position.instance.empty() && !mayBeSameRun(position, m_newest)) {
        return recordDeparture(runOf(position));
    }
    if (!m_known) {
        // A node that has just started may receive the deregistration first: late announcements of that run must then be ignored.
        m_known = !position.instance.empty();
        m_newest = position;
    }
    recordDeparture(runOf(m_newest));
    m_deregistered = m_known;
    return true;
}

} // namespace turmericspar
