/// @file request_pacer.h
/// Keeps the rate of requests to an upstream within the limit that the upstream states in its answers.
#pragma once

#include "turmericspar/policy/token_bucket.h"
#include "turmericspar/policy/tunables.h"

#include <optional>

namespace turmericspar {

/// Paces the calls that are started at an upstream. Without a stated limit, calls are not paced.
class request_pacer
{
public:
    explicit request_pacer(const tunables &tuning) : m_tuning(tuning) { }

    /// Applies what an answer of the upstream states.
    /// @param perSecond requests a second that the upstream takes; nothing if the answer states no limit
    /// @param startedAt when the answered call was started
    void stated(std::optional<double> perSecond, millis startedAt, millis now);
    /// Applies a limit that another node knows from an answer, unless this node has received an answer itself. It holds until the first answer.
    void reported(double perSecond, millis now);

    /// Forgets the limit and the answers, because another run of the upstream has begun.
    void reset();
    /// Records that an answer was received, whatever it states.
    void answered() { m_hasAnswer = true; }

    /// @return whether an answer of this run of the upstream was received.
    bool hasAnswer() const { return m_hasAnswer; }
    /// @return the limit in requests a second; nothing if there is none.
    std::optional<double> limit() const { return m_limit; }
    /// @return the time until the next call may be started; 0 if one may be started now.
    millis timeToNextStart(millis now);
    /// Records that a call is started.
    void started(millis now);

private:
    static constexpr millis longAgo{-1e12};

    void apply(double perSecond, millis now);

    const tunables &m_tuning;
    std::optional<double> m_limit;
    token_bucket m_bucket;
    bool m_hasAnswer = false;
    millis m_statedAt = longAgo; ///< when an answer last stated the present limit
};

} // namespace turmericspar
