/// @file fleet_view.h
/// Commands that show the whole deployment, using the member table of any one node.
#pragma once

#include "command_context.h"

namespace turmericspar {

/// Shows services, ranks, versions in force and failure domains, refreshed periodically.
exit_code top(const command_context &context);

/// Shows the outcome of a request at every node that still has a record of it.
exit_code explain(const command_context &context);

} // namespace turmericspar
