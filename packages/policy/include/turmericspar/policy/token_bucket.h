/// @file token_bucket.h
/// A rate limit with bursts.
#pragma once

#include "turmericspar/base/clock.h"

namespace turmericspar {

/// A token bucket: it refills at a constant rate, up to the burst size.
class token_bucket
{
public:
    /// Sets the rate; available tokens are kept, up to the new burst size. Before the first take() the bucket is filled.
    /// @param perSecond tokens per second
    /// @param burst maximum number of tokens
    void setRate(double perSecond, double burst);
    /// Adds tokens independently of the rate, up to the burst size.
    void add(double tokens);
    /// Takes a token if one is available.
    /// @return whether it was
    bool take(millis now);
    /// Adds the tokens that accrued since the last call, at the present rate. To be called before a change of the rate.
    void refill(millis now);
    /// @return the time until a token is available; 0 if one is.
    millis timeToToken(millis now);

private:
    double m_perSecond = 0;
    double m_burst = 0;
    double m_tokens = 0;
    millis m_refilledAt{-1};
};

} // namespace turmericspar
