/// @file moving_average.h
/// Exponentially weighted moving average.
#pragma once

#include "turmericspar/base/clock.h"

namespace turmericspar {

/// Adds a value to an average; the first value becomes the average.
/// @param blend weight of the new value, from 0 to 1
inline void updateAverage(millis &average, millis value, double blend)
{
    average = average.count == 0 ? value : average + (value - average) * blend;
}

} // namespace turmericspar
