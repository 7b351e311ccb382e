/// @file command_context.h
/// The context shared by all commands of the client.
#pragma once

#include "commands.h"

#include <vector>

namespace turmericspar {

/// The parsed command line and the node that it addresses.
struct command_context
{
    const command_arguments &arguments;
    const node_client &node;
    bool asJson = false;

    bool flag(const std::string &name) const { return arguments.at(name).asBool(); }
    std::string text(const std::string &name, const std::string &fallback = {}) const
    {
        const auto &value = arguments.at(name);
        return value ? value.asString() : fallback;
    }
};

/// Prints an error message to standard error.
/// @return the given exit code
exit_code printError(const std::string &text, exit_code code = exit_code::failed);

/// Prints rows as a table with aligned columns.
void printTable(const std::vector<std::vector<std::string>> &rows);

} // namespace turmericspar
