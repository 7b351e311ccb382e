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

/// The ways to speak with callers, upstreams, operators and the store.
enum class interface_kind {
    direct, ///< the system's own
    platform, ///< the hosting platform's
};
inline constexpr name_table<interface_kind, 2> interfaceNames{{"direct", "platform"}};

/// What a node reads at its start.
struct node_settings
{
    std::string path; ///< of the file itself
    std::string name;
    std::string domain; ///< failure domain
    std::string service; ///< of the upstream beside this node; may be empty if calls need not name where they began
    interface_kind interface = interface_kind::direct;
    endpoint callers; ///< where callers' requests come in
    endpoint upstream; ///< where the upstream announces itself
    endpoint operators; ///< where operators' commands come in
    std::optional<endpoint> readiness; ///< where readiness is asked for, if not at `operators`
    endpoint nodes; ///< for other nodes: TCP for links, UDP for gossip
    endpoint advertised; ///< by which other nodes reach `nodes`; the same unless something translates addresses between them
    std::optional<endpoint> platform; ///< the platform's key-value service
    std::string platformPrefix = "turmericspar";
    std::vector<std::string> keyFiles; ///< empty if nodes trust all that reach them
    bool trustNetwork = false; ///< whether nodes do without keys
    std::vector<endpoint> seeds;
    std::string fallbackConfiguration; ///< a file; used until a version is known
    int callersMax = 20'000; ///< most connections of callers
    millis connectTimeout{1000}; ///< for a connection to the upstream
    millis connectionIdle{60'000}; ///< after it, an idle connection to the upstream is not used again, unless the upstream says how long it keeps one
    millis startWait{2000}; ///< how long a starting node waits for a configuration
    millis shutdownWait{60'000}; ///< how long a leaving node waits for the calls in flight
    policy_mode mode = policy_mode::full;
    log_level logLevel = log_level::info;
    std::string logFile;
    std::uint64_t seed = 0; ///< of the random choices; 0 takes one from the operating system
    tunables tuning;
};

/// Reads and checks a settings file.
/// @param mistakes receives every mistake; the result is of use only if there is none
node_settings readNodeSettings(const std::string &path, std::vector<settings_error> &mistakes);

/// Reads the key files of the settings.
/// @param mistakes receives what is wrong with them
key_ring readKeys(const node_settings &settings, std::vector<settings_error> &mistakes);

} // namespace turmericspar
