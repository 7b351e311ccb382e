/// @file node_settings.h
/// The settings file of a node.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/log.h"
#include "turmericspar/base/names.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/base/settings_reader.h"
#include "turmericspar/policy/admission_controller.h"
#include "turmericspar/policy/tunables.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericspar {

inline constexpr name_table<log_level, 4> logLevelNames{{"debug", "info", "warning", "error"}};

/// The supported interfaces towards callers, upstreams, operators and the store.
enum class interface_kind {
    direct, ///< the system's own interface
    platform, ///< the interface of the hosting platform
};
inline constexpr name_table<interface_kind, 2> interfaceNames{{"direct", "platform"}};

/// Settings that a node reads at its start.
struct node_settings
{
    std::string path; ///< path of the settings file itself
    std::string name;
    std::string domain; ///< failure domain of this node
    std::string service; ///< service of the upstream beside this node; may be empty if calls need not name the service of their caller
    interface_kind interface = interface_kind::direct;
    endpoint callers; ///< listening address for callers
    endpoint upstream; ///< listening address for announcements of the upstream
    endpoint operators; ///< listening address for operators
    std::optional<endpoint> readiness; ///< listening address for readiness checks, if not `operators`
    endpoint nodes; ///< listening address for other nodes: TCP for links, UDP for gossip
    endpoint advertised; ///< address at which other nodes reach `nodes`; differs only if addresses are translated (NAT) between them
    std::optional<endpoint> platform; ///< address of the platform's key-value service
    std::string platformPrefix = "turmericspar";
    std::vector<std::string> keyFiles; ///< files of the shared keys; empty only if `trustNetwork` is set
    bool trustNetwork = false; ///< whether nodes may run without keys
    std::vector<endpoint> seeds;
    std::string fallbackConfiguration; ///< path of a configuration file that is used until a version is known
    int callersMax = 20'000; ///< maximum number of connections of callers
    millis connectTimeout{1000}; ///< for connecting to the upstream
    /// Maximum idle time of an upstream connection before it is no longer reused, unless the upstream states its own keep-alive time.
    millis connectionIdle{60'000};
    millis startWait{2000}; ///< how long a starting node waits for a configuration
    millis shutdownWait{60'000}; ///< how long a leaving node waits for the calls in flight
    policy_mode mode = policy_mode::full;
    log_level logLevel = log_level::info;
    std::string logFile;
    std::uint64_t seed = 0; ///< random seed; 0 takes one from the operating system
    tunables tuning;
};

/// Reads and checks a settings file.
/// @param errors receives every error; the result is valid only if there is none
node_settings readNodeSettings(const std::string &path, std::vector<settings_error> &errors);

/// Environment variable with the time from SIGTERM until the process is killed, in seconds.
inline constexpr const char *gracePeriodVariable = "TURMERICSPAR_GRACE_PERIOD";

/// Shortens the wait of a stopping node so that it ends before the process is killed.
/// @param text seconds from SIGTERM until the process is killed; empty if that is not known
/// @param errors receives an error if the text is no such number
void applyGracePeriod(const std::string &text, node_settings &settings, std::vector<settings_error> &errors);

/// Reads the key files of the settings.
/// @param errors receives the errors found in them
key_ring readKeys(const node_settings &settings, std::vector<settings_error> &errors);

} // namespace turmericspar
