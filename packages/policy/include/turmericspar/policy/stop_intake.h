/// @file stop_intake.h
/// Decides which requests a node still takes during its planned stop, and which of them it gives back before its process ends.
#pragma once

#include "turmericspar/base/clock.h"

#include <limits>

namespace turmericspar {

/// @return how long a stopping node may run if its process is killed after the grace period: the rest is left for its last answers and its exit.
millis shutdownWaitWithin(millis gracePeriod);

/// The course of a planned stop. Before it begins, nothing limits what is taken.
struct stop_schedule
{
    static constexpr millis never{std::numeric_limits<double>::max()};

    millis intakeEndsAt = never; ///< after which only calls made for running requests are taken
    millis openEndEndsAt = never; ///< after which these are taken only if they end before the process does, whatever happens
    millis startsEndAt = never; ///< after which calls that wait for their start are withdrawn
    millis endsAt = never; ///< when the process exits, even if calls are still running

    /// @return the schedule of a stop that begins now.
    /// @param intakeSpan how long requests of callers are taken
    /// @param span how long the process runs at most
    static stop_schedule beginningAt(millis now, millis intakeSpan, millis span);
};

/// @return whether a request that has arrived is taken. One that is not must be refused: if it were still running at the end of the process, its caller
/// could not be answered.
/// @param madeForRunningCall whether the upstream of this node makes it for a request that it runs
/// @param deadline after which it is answered in any case
bool takesRequest(const stop_schedule &schedule, bool madeForRunningCall, millis deadline, millis now);

/// @return whether a call is withdrawn if no upstream has started it: if it waited on, the end of the process could leave its caller without an answer.
/// @param deadline after which it is answered in any case
bool mustWithdraw(const stop_schedule &schedule, millis deadline, millis now);

} // namespace turmericspar
