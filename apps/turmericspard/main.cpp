/// @file main.cpp
/// Entry point of turmericspard, the node daemon.
#include "node_daemon.h"
#include "platform_interface.h"
#include "turmericspar/base/command_line.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

using namespace turmericspar;

constexpr const char *usage = R"(turmericspard: the node of an overload control layer, one beside each upstream.

Usage:
  turmericspard --settings=FILE
  turmericspard --check --settings=FILE
  turmericspard --help

Options:
  --settings=FILE  The settings (YAML); docs/operators/settings.md describes them.
  --check          Only check the settings and the key files.
  --help           This text.

Environment:
  TURMERICSPAR_GRACE_PERIOD  Seconds from SIGTERM until the process is killed; a stop then ends before that. Empty or unset if it is not known.

Exit codes: 0 ended gracefully, or the settings are valid; 1 could not start; 2 the settings have errors.
)";

constexpr int exitFailed = 1;

/// Size of blocks that are returned to the host as soon as they are freed. By default the C library raises it to the size of the largest bodies, whose
/// memory then stays with the process.
constexpr int returnedBlockBytes = 256 * 1024;

int runNode(const node_settings &settings, const key_ring &keys)
{
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
    startLog(settings.name, settings.logLevel, settings.logFile);
    node_daemon daemon(settings, settings.interface == interface_kind::platform ? platform::platformInterface() : interface_profile(), keys);
    const auto started = daemon.start();
    if (!started) {
        logFailure(log_level::error, "start_failed", started.error());
        std::cerr << "turmericspard: " << started.error().text() << '\n';
        return exitFailed;
    }
    daemon.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = parseCommandLine(usage, argc, argv);
    std::vector<settings_error> errors;
    const auto path = arguments.at("--settings").asString();
    auto settings = readNodeSettings(path, errors);
    if (const char *gracePeriod = std::getenv(gracePeriodVariable)) {
        applyGracePeriod(gracePeriod, settings, errors);
    }
    const auto keys = readKeys(settings, errors);
    for (const auto &error : errors) {
        std::cerr << path << ": " << error.text() << '\n';
    }
    if (!errors.empty()) {
        return exitUsage;
    }
    if (arguments.at("--check").asBool()) {
        std::cout << path << ": valid\n";
        return 0;
    }
    return runNode(settings, keys);
}
