#include "turmericspar/policy/token_bucket.h"

#include <algorithm>

namespace turmericspar {

void token_bucket::setRate(double perSecond, double burst)
{
    if (m_refilledAt.count < 0) {
        m_tokens = burst;
    }
    m_perSecond = perSecond;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

void token_bucket::add(double tokens)
{
    m_tokens = std::min(m_burst, m_tokens + tokens);
}

bool token_bucket::take(millis now)
{
    refill(now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

millis token_bucket::timeToToken(millis now)
{
    refill(now);
    return m_tokens >= 1 ? millis{0} : oneSecond * ((1 - m_tokens) / m_perSecond);
}

void token_bucket::refill(millis now)
{
    if (m_refilledAt.count >= 0) {
        const double seconds = (now - m_refilledAt) / oneSecond;
        m_tokens = std::min(m_burst, m_tokens + std::max(0.0, seconds) * m_perSecond);
    }
    m_refilledAt = now;
}

} // namespace turmericspar
