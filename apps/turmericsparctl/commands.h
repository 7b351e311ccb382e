/// @file commands.h
/// The commands of the operators' client.
#pragma once

#include "node_client.h"

#include <docopt/docopt.h>
#include <map>
#include <string>

namespace turmericspar {

/// Exit codes of the client.
enum class exit_code {
    done = 0,
    failed = 1, ///< the node could not be reached, or refused the request
    usage = 2, ///< the command line or a file is invalid
    conflict = 3, ///< the patch is based on a version that is not the current one
    invalid = 4, ///< the resulting document would be invalid
    unknown = 5, ///< the patch may have been accepted
};

using command_arguments = std::map<std::string, docopt::value>;

/// Runs the command given by the arguments.
exit_code runCommand(const command_arguments &arguments, const node_client &node);

} // namespace turmericspar
