/// @file clock.h
/// The time type used throughout the system, and access to the clocks of the host.
#pragma once

#include <compare>

namespace turmericspar {

/// A duration, or a point in time relative to an unspecified epoch. Unit: milliseconds, with fractions.
struct millis
{
    double count = 0;

    constexpr auto operator<=>(const millis &) const = default;
    constexpr millis operator+(millis other) const { return {count + other.count}; }
    constexpr millis operator-(millis other) const { return {count - other.count}; }
    constexpr millis operator*(double factor) const { return {count * factor}; }
    constexpr double operator/(millis other) const { return count / other.count; }
    constexpr millis &operator+=(millis other)
    {
        count += other.count;
        return *this;
    }
};

inline constexpr millis oneSecond{1000};

/// @return the time of the host's monotonic clock, which also counts while the host is suspended.
millis monotonicNow();

/// @return the time since the Unix epoch by the host's wall clock, which may be stepped in either direction.
millis wallNow();

/// @return the time since the Unix epoch: the wall clock as read at the first call in this process, advanced by the monotonic clock.
millis steadyWallNow();

/// A reading of both clocks, for decisions that compare a timestamp made by another host with the age of local state.
struct clock_reading
{
    millis now; ///< monotonic clock
    millis date; ///< since the Unix epoch: the later of wallNow() and steadyWallNow(), which differ once the wall clock was stepped
};

clock_reading readClocks();

} // namespace turmericspar
