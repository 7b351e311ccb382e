/// @file announcement_order.h
/// Detects announcements of an upstream that arrive out of order.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/upstream_run.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace turmericspar {

/// The fields that order an announcement relative to others.
struct announcement_position
{
    std::string instance; ///< identifies one run of the upstream process; may be empty
    std::optional<std::uint64_t> startedAt; ///< start of that run, in milliseconds since the epoch
    std::optional<std::uint64_t> sequence; ///< increases within one run
};

/// @return the run of the upstream process that an announcement belongs to.
upstream_run runOf(const announcement_position &position);

/// Tracks the newest announcement of this node's upstream. Does no I/O and reads no clock.
/// What an announcement states may be wrong: the wall clock of the upstream may be set back between two of its runs, and another writer may state any
/// start or sequence. What is announced again and again with no word of the current run in between is therefore accepted all the same: a run that
/// was not seen before after a few announcements, an earlier one or an earlier sequence only when they also span more time than late messages do.
/// Who has left is an order: the departure of a run covers all runs under the same instance name that started before
/// it, also those of which this process never heard.
class announcement_order
{
public:
    /// Processes a received announcement.
    /// @return whether it is newer than all earlier ones; the caller must ignore it otherwise
    bool acceptAnnouncement(const announcement_position &position, millis now);
    /// Processes a deregistration, by which an instance states that it accepts no new calls.
    /// @return whether it concerns the current run of the upstream, or a run that is not known yet
    bool acceptDeregistration(const announcement_position &position);
    /// Records that a run has deregistered, as an earlier process of this node acknowledged: its late announcements and those of earlier runs are ignored.
    /// @return whether it covers the current run, which was announced until now
    bool recordDeparture(const upstream_run &departed);
    /// @return the run that deregistered last; none if none did or runs can't be told apart.
    upstream_run lastDeparture() const { return m_departed.empty() ? upstream_run{} : m_departed.back(); }

private:
    bool hasDeparted(const announcement_position &position) const;
    bool precedesDeparture(const announcement_position &position) const;
    bool isNewRun(const announcement_position &position) const;
    bool isPersistent(const announcement_position &position, millis now);
    void startRun(const announcement_position &position);

    announcement_position m_newest;
    bool m_known = false;
    bool m_deregistered = false; ///< whether the current run has deregistered
    announcement_position m_previous; ///< the run before, to identify its late messages
    announcement_position m_candidate; ///< the last announcement of those in a row that were not newer than the newest one
    int m_candidateCount = 0; ///< their number
    millis m_candidateSince; ///< when the first of them arrived
    std::deque<upstream_run> m_departed; ///< runs that deregistered, the last one at the end
};

} // namespace turmericspar
