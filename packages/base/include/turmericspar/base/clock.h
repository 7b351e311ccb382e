/// @file clock.h
/// The clock type of the whole system: milliseconds as one small value type.
#pragma once

#include <compare>

namespace turmericspar {

/// A span of time, or a point in time counted from an unspecified start. Unit: milliseconds, with fractions.
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

/// One second, as a unit for constants.
inline constexpr millis oneSecond{1000};

/// @return the time of the host's monotonic clock; it never goes back.
millis monotonicNow();

/// @return the time since the Unix epoch by the host's wall clock; it may jump.
millis wallNow();

/// @return the time since the Unix epoch as the wall clock showed it when the process first asked, counted on by the monotonic clock.
millis steadyWallNow();

/// A reading of both clocks, for decisions that compare a date from elsewhere with the age of something here.
struct clock_reading
{
    millis now; ///< by the monotonic clock
    millis date; ///< since the Unix epoch; where the wall clock was stepped, the later of what it shows and what it would have shown
};

/// @return what the clocks of this host show.
clock_reading readClocks();

} // namespace turmericspar
