/// @file log.h
/// Structured logs: one line of key=value pairs for each event, written by spdlog.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/error.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace turmericspar {

/// How grave an event is.
enum class log_level { debug, info, warning, error };

/// One key=value pair of a line. Values are quoted where they need it; never log a secret or a body.
struct log_field
{
    std::string_view key;
    std::string value;

    log_field(std::string_view name, std::string text) : key(name), value(std::move(text)) { }
    log_field(std::string_view name, std::string_view text) : key(name), value(text) { }
    log_field(std::string_view name, const char *text) : key(name), value(text) { }
    log_field(std::string_view name, millis span);
    template<class number>
    requires std::is_arithmetic_v<number> log_field(std::string_view name, number count) : key(name), value(std::to_string(count)) { }
};

/// Sets where lines go and how grave an event must be to be written.
/// @param node the name of this process, written in each line
/// @param file a path, or empty for the standard output; a line is dropped rather than waited for
void startLog(const std::string &node, log_level least, const std::string &file);

/// Changes how grave an event must be from now on.
void setLogLevel(log_level least);

/// Writes one line.
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Writes one line for an error, with its step and its peer.
void logFailure(log_level level, std::string_view event, const failure &error, std::initializer_list<log_field> fields = {});

} // namespace turmericspar
