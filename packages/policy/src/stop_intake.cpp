#include "turmericspar/policy/stop_intake.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Time before the end of the grace period in which the last answers are written and the process exits, and its upper bound as a share of that period.
constexpr millis exitTime{800};
constexpr double exitShare = 2.0 / 15;
/// Time from the deadline of a call until its answer has been written.
constexpr millis answerTime{100};
/// Share of the stop in which calls for running requests are taken even if they may last longer than the process: most end long before their deadlines.
constexpr double openEndShare = 0.5;
/// Upper bound of that part of the stop: the longer a process runs on, the less reason there is to take calls that it may cut off.
constexpr millis openEndMax{2600};
/// Share of the stop after which a call that waits for its start is given back to its caller: it would probably be cut off while it runs, and the
/// caller has time left to send it to another node.
constexpr double startShare = 0.8;

/// @return whether a call could still be running at the end of the process.
bool mayOutlast(const stop_schedule &schedule, millis deadline)
{
    return deadline + answerTime > schedule.endsAt;
}

} // namespace

millis shutdownWaitWithin(millis gracePeriod)
{
    return gracePeriod - std::min(exitTime, gracePeriod * exitShare);
}

stop_schedule stop_schedule::beginningAt(millis now, millis intakeSpan, millis span)
{
    return {now + intakeSpan, now + std::min(span * openEndShare, openEndMax), now + span * startShare, now + span};
}

bool takesRequest(const stop_schedule &schedule, bool madeForRunningCall, millis deadline, millis now)
{
    if (now <= schedule.intakeEndsAt) {
        return true;
    }
    return madeForRunningCall && (now <= schedule.openEndEndsAt || !mayOutlast(schedule, deadline));
}

bool mustWithdraw(const stop_schedule &schedule, millis deadline, millis now)
{
    return now > schedule.startsEndAt && mayOutlast(schedule, deadline);
}

} // namespace turmericspar
