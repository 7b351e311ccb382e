/// @file command_context.h
/// What every command of the client works with.
#pragma once

#include "commands.h"

#include <vector>

namespace turmericspar {

/// The command line and the node that it speaks to.
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

/// Tells of a failure on standard error.
/// @return the code given
exit_code complain(const std::string &text, exit_code code = exit_code::failed);

/// Prints rows in columns that line up.
void printTable(const std::vector<std::vector<std::string>> &rows);

} // namespace turmericspar
