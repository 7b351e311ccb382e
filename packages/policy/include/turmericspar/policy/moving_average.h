/// @file moving_average.h
/// An average that follows its newest values.
#pragma once

#include "turmericspar/base/clock.h"

namespace turmericspar {

/// Moves an average towards a new value; the first value is taken whole.
/// @param blend weight of the new value, from 0 to 1
inline void follow(millis &average, millis value, double blend)
{
    average = average.count == 0 ? value : average + (value - average) * blend;
}

} // namespace turmericspar
