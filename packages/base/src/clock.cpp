#include "turmericspar/base/clock.h"

#include <algorithm>
#include <ctime>

namespace turmericspar {

namespace {

millis readClock(clockid_t clock)
{
    constexpr double nanosPerMilli = 1e6;
    timespec now{};
    clock_gettime(clock, &now);
    return {static_cast<double>(now.tv_sec) * oneSecond.count + static_cast<double>(now.tv_nsec) / nanosPerMilli};
}

} // namespace

millis monotonicNow()
{
    // Includes the time for which the host was suspended, so that whatever expired meanwhile is no longer acted on.
    return readClock(CLOCK_BOOTTIME);
}

millis wallNow()
{
    return readClock(CLOCK_REALTIME);
}

millis steadyWallNow()
{
    static const millis epoch = wallNow() - monotonicNow();
    return epoch + monotonicNow();
}

clock_reading readClocks()
{
    return {monotonicNow(), std::max(wallNow(), steadyWallNow())};
}

} // namespace turmericspar
