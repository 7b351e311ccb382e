/// @file log.h
/// Structured logging: one line of key=value pairs for each event, written by spdlog.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/error.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace turmericspar {

enum class log_level { debug, info, warning, error };

/// A key=value pair. Values are quoted where necessary. Secrets and message bodies must never be logged.
struct log_field
{
    std::string_view key;
    std::string value;

    log_field(std::string_view name, std::string text) : key(name), value(std::move(text)) { }
    log_field(std::string_view name, std::string_view text) : key(name), value(text) { }
    log_field(std::string_view name, const char *text) : key(name), value(text) { }
    log_field(std::string_view name, millis duration);
    template<class number>
    requires std::is_arithmetic_v<number> log_field(std::string_view name, number count) : key(name), value(std::to_string(count)) { }
};

/// Opens the log.
/// @param node the name of this process, written in each line
/// @param minimum the lowest level that is written
/// @param file a path, or empty for the standard output, where lines are dropped rather than written with blocking
void startLog(const std::string &node, log_level minimum, const std::string &file);

/// Changes the lowest level that is written.
void setLogLevel(log_level minimum);

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Logs a failure with its operation (`step`), peer, error and detail.
void logFailure(log_level level, std::string_view event, const failure &error, std::initializer_list<log_field> fields = {});

} // namespace turmericspar
