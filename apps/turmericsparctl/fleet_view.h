/// @file fleet_view.h
/// Commands that look at the whole deployment, from the member table of any one node.
#pragma once

#include "command_context.h"

namespace turmericspar {

/// Shows services, ranks, versions in force and failure domains, again and again.
exit_code top(const command_context &context);

/// Tells what became of a request at every node that still remembers it.
exit_code explain(const command_context &context);

} // namespace turmericspar
