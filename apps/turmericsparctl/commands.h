/// @file commands.h
/// The commands of the operators' client.
#pragma once

#include "node_client.h"

#include <docopt/docopt.h>
#include <map>
#include <string>

namespace turmericspar {

/// What the client ends with.
enum class exit_code {
    done = 0,
    failed = 1, ///< the node could not be reached, or refused
    usage = 2, ///< the command line or a file has mistakes
    conflict = 3, ///< the patch was stated against another than the present version
    invalid = 4, ///< the document would not be sound
    not_known = 5, ///< the patch may have been accepted
};

using command_arguments = std::map<std::string, docopt::value>;

/// Runs the command that the arguments name.
exit_code runCommand(const command_arguments &arguments, const node_client &node);

} // namespace turmericspar
