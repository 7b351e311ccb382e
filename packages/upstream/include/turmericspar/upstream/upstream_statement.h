/// @file upstream_statement.h
/// What an upstream states about itself in the header of an answer.
#pragma once

#include "turmericspar/base/http.h"

#include <optional>
#include <string>

namespace turmericspar {

/// The statements in the header of one answer.
struct upstream_statement
{
    std::optional<double> rateLimit; ///< requests a second that the upstream takes from all nodes together; nothing if it states no limit
    bool leaving = false; ///< whether it is about to exit and takes no new requests
    std::string malformedLimit; ///< the value of the rate limit field if it is no valid limit
};

/// Parses the statements in the header of an answer.
/// @param rateLimitField name of the field with the rate limit; empty if the interface has none
/// @param leavingField name of the field that announces the departure, by the value 1; empty if the interface has none
upstream_statement readStatement(const http_fields &fields, const std::string &rateLimitField, const std::string &leavingField);

} // namespace turmericspar
