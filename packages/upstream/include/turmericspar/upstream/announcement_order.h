/// @file announcement_order.h
/// Tells the newest word of an upstream from those that were overtaken on their way.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace turmericspar {

/// By what an announcement can be placed among others.
struct announcement_place
{
    std::string instance; ///< names one life of the upstream; may be empty
    std::optional<std::uint64_t> startedAt; ///< start of that life, in milliseconds since the epoch
    std::optional<std::uint64_t> sequence; ///< grows within one life
};

/// Remembers the newest announcement of the upstream beside this node. It knows no socket and no clock.
class announcement_order
{
public:
    /// Takes an announcement that came.
    /// @return whether it is newer than all before; one that is not must be passed over
    bool announced(const announcement_place &place);
    /// Takes the message by which an instance says that it takes no new work.
    /// @return whether it concerns the present life of the upstream, or one that was not heard of yet
    bool left(const announcement_place &place);

private:
    bool isNewLife(const announcement_place &place) const;

    announcement_place m_newest;
    bool m_known = false;
    bool m_left = false; ///< whether the present life has left
    std::string m_previousInstance; ///< late words of the life before are recognized by it
};

} // namespace turmericspar
