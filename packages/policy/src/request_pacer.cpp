#include "turmericspar/policy/request_pacer.h"

#include <algorithm>

namespace turmericspar {

void request_pacer::stated(std::optional<double> perSecond, millis startedAt, millis now)
{
    m_hasAnswer = true;
    const bool isLower = perSecond && (!m_limit || *perSecond <= *m_limit);
    // Answers overtake each other: one whose call was started before the present limit was last stated may be older than that statement.
    if (!isLower && m_limit && startedAt < m_statedAt) {
        return;
    }
    m_statedAt = now;
    if (perSecond) {
        apply(*perSecond, now);
    } else {
        m_limit.reset();
    }
}

void request_pacer::reported(double perSecond, millis now)
{
    if (!m_hasAnswer) {
        apply(perSecond, now);
    }
}

void request_pacer::reset()
{
    m_limit.reset();
    m_hasAnswer = false;
    m_statedAt = longAgo;
}

void request_pacer::apply(double perSecond, millis now)
{
    m_limit = perSecond;
    // An upstream that takes nothing is still asked now and then: only an answer tells that it has recovered.
    const double rate = std::max(perSecond, m_tuning.paceMin);
    m_bucket.refill(now);
    m_bucket.setRate(rate, std::max(m_tuning.paceBurstMin, rate * (m_tuning.paceBurst / oneSecond)));
}

millis request_pacer::timeToNextStart(millis now)
{
    return m_limit ? m_bucket.timeToToken(now) : millis{0};
}

void request_pacer::started(millis now)
{
    // Calls started without a limit use up tokens as well, so that a limit that lapses and returns brings no new burst.
    m_bucket.take(now);
}

} // namespace turmericspar
