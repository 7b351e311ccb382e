/// @file backoff.h
/// Randomized exponential backoff between retries.
#pragma once

#include "turmericspar/base/clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace turmericspar {

/// Delays that double with each failure. Each is drawn from 0.5 to 1.5 times its average, so that many nodes do not retry at the same time.
class backoff
{
public:
    /// @param minimum average of the first delay
    /// @param maximum average of the longest delay
    backoff(millis minimum, millis maximum, std::uint64_t seed) : m_minimum(minimum), m_maximum(maximum), m_random(seed) { }

    /// @return the delay to wait after another failure.
    millis next()
    {
        m_average = std::clamp(m_average * 2, m_minimum, m_maximum);
        return m_average * std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
    }
    /// Starts again with the shortest delay; called after a success.
    void reset() { m_average = {0}; }

private:
    millis m_minimum;
    millis m_maximum;
    millis m_average{0};
    std::mt19937_64 m_random;
};

} // namespace turmericspar
