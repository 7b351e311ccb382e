#include "turmericspar/base/log.h"

#include "nonblocking_sink.h"

#include <memory>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

namespace turmericspar {

namespace {

std::shared_ptr<spdlog::logger> &logger()
{
    static std::shared_ptr<spdlog::logger> instance;
    return instance;
}

spdlog::level::level_enum toSpdlog(log_level level)
{
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

/// Appends a value, quoted if it is empty or has a character that would make the line ambiguous. Control characters become '?'.
void appendValue(std::string &line, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \t\r\n\"=\\") == std::string_view::npos) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        const bool isControl = static_cast<unsigned char>(c) < ' ';
        line += isControl ? '?' : c;
    }
    line += '"';
}

void appendFields(std::string &line, std::initializer_list<log_field> fields)
{
    for (const auto &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
}

void write(log_level level, const std::string &line)
{
    if (logger()) {
        logger()->log(toSpdlog(level), line);
    }
}

} // namespace

log_field::log_field(std::string_view name, millis duration) : key(name), value(fmt::format("{:.3f}", duration.count)) { }

void startLog(const std::string &node, log_level minimum, const std::string &file)
{
    spdlog::sink_ptr sink;
    if (file.empty()) {
        sink = std::make_shared<nonblocking_sink>();
    } else {
        sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file);
    }
    logger() = std::make_shared<spdlog::logger>(node, sink);
    logger()->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l node=%n %v", spdlog::pattern_time_type::utc);
    logger()->set_level(toSpdlog(minimum));
    logger()->flush_on(spdlog::level::info);
}

void setLogLevel(log_level minimum)
{
    if (logger()) {
        logger()->set_level(toSpdlog(minimum));
    }
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!logger() || !logger()->should_log(toSpdlog(level))) {
        return;
    }
    std::string line = "event=";
    line += event;
    appendFields(line, fields);
    write(level, line);
}

void logFailure(log_level level, std::string_view event, const failure &error, std::initializer_list<log_field> fields)
{
    std::string line = "event=";
    line += event;
    appendFields(line, {{"step", error.step}, {"peer", error.peer}, {"error", error.code.message()}, {"detail", error.detail}});
    appendFields(line, fields);
    write(level, line);
}

} // namespace turmericspar
