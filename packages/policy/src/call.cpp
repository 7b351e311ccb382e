#include "turmericspar/policy/call.h"

namespace turmericspar {

namespace {

/// Number of values of `call_priority::tieBreaker`.
constexpr double tieBreakerCount = 4294967296.0;

} // namespace

double call_priority::importance() const
{
    const int offset = excess ? 0 : ranksMax;
    return offset + (ranksMax - 1 - rank) + tieBreaker / tieBreakerCount;
}

} // namespace turmericspar
