/// @file announcement_order.h
/// Detects announcements of an upstream that arrive out of order.
#pragma once

#include <cstdint>
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

/// Tracks the newest announcement of this node's upstream. Does no I/O and reads no clock.
class announcement_order
{
public:
    /// Processes a received announcement.
    /// @return whether it is newer than all earlier ones; the caller must ignore it otherwise
    bool acceptAnnouncement(const announcement_position &position);
    /// Processes a deregistration, by which an instance states that it accepts no new calls.
    /// @return whether it concerns the current run of the upstream, or a run that is not known yet
    bool acceptDeregistration(const announcement_position &position);

private:
    bool isNewRun(const announcement_position &position) const;

    announcement_position m_newest;
    bool m_known = false;
    bool m_deregistered = false; ///< whether the current run has deregistered
    std::string m_previousInstance; ///< identifies late messages of the previous run
};

} // namespace turmericspar
