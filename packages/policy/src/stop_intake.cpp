#include "turmericspar/policy/stop_intake.h"

namespace turmericspar {

namespace {

/// Time from the deadline of a call until its answer has been written.
constexpr millis answerTime{100};
/// Share of the stop in which calls for running requests are taken even if they may last longer than the process: most end long before their deadlines.
constexpr double openEndShare = 0.5;

} // namespace

stop_schedule stop_schedule::beginningAt(millis now, millis intakeSpan, millis span)
{
    return {now + intakeSpan, now + span * openEndShare, now + span};
}

bool takesRequest(const stop_schedule &schedule, bool madeForRunningCall, millis deadline, millis now)
{
    if (now <= schedule.intakeEndsAt) {
        return true;
    }
    return madeForRunningCall && (now <= schedule.openEndEndsAt || deadline + answerTime <= schedule.endsAt);
}

} // namespace turmericspar
