/// @file run.h
/// One run of a trace under one policy: stand-ins, nodes, load, events.
#pragma once

#include "fleet.h"
#include "score.h"
#include "trace.h"

namespace turmericspar {

/// Options of a run.
struct run_options
{
    std::string daemonPath;
    std::string policyName; ///< as printed: "full", "none", or a variant
    policy_mode mode = policy_mode::full;
    std::vector<std::string> tunables;
    int firstPort = 20000;
    std::string logLevel = "warning";

    /// Parses a policy: "full", "none", or a mode with tunables, as in "full,queue_share=2".
    /// @return whether the text names a policy
    bool parsePolicy(const std::string &text);
};

/// @return the path of turmericspard in the directory of the running program.
std::string defaultDaemonPath();

/// Runs a trace from start to end.
result<run_history> runTrace(const trace &plan, const run_options &options);

} // namespace turmericspar
