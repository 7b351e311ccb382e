/// @file decision_log.h
/// Rate-limited log of the decisions that keep a caller from getting a successful answer of an upstream.
#pragma once

#include "turmericspar/base/log.h"
#include "turmericspar/policy/token_bucket.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace turmericspar {

/// Writes log lines up to a maximum rate; the next line after a suppression is preceded by the number of suppressed lines.
class decision_log
{
public:
    decision_log();

    /// @return whether a line may be written now; otherwise it is counted as suppressed.
    bool admit(millis now);
    /// Writes a line that `admit` allowed.
    void write(std::string_view event, std::initializer_list<log_field> fields);

private:
    token_bucket m_rateLimit;
    std::uint64_t m_suppressed = 0;
};

} // namespace turmericspar
