#include "decision_log.h"

#include <utility>

namespace turmericspar {

namespace {

/// Rate for one node: with a few hundred bytes a line, at most some kilobytes a second.
constexpr double linesPerSecond = 20;
constexpr double lineBurst = 40;

} // namespace

decision_log::decision_log()
{
    m_rateLimit.setRate(linesPerSecond, lineBurst);
    m_rateLimit.add(lineBurst);
}

bool decision_log::admit(millis now)
{
    const bool admitted = m_rateLimit.take(now);
    m_suppressed += admitted ? 0 : 1;
    return admitted;
}

void decision_log::write(std::string_view event, std::initializer_list<log_field> fields)
{
    if (m_suppressed > 0) {
        logEvent(log_level::info, "decisions_passed_over", {{"count", std::exchange(m_suppressed, 0)}});
    }
    logEvent(log_level::info, event, fields);
}

} // namespace turmericspar
