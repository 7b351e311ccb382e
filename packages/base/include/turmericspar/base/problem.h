/// @file problem.h
/// Error responses as problem details (RFC 9457).
#pragma once

#include "turmericspar/base/http.h"

#include <string>
#include <string_view>

namespace turmericspar {

/// Makes an error response with a body of type application/problem+json.
/// @param type the kind of problem; the response carries it as urn:turmericspar:type
/// @param detail human-readable explanation
http_response problemResponse(int status, std::string_view type, const std::string &detail);

} // namespace turmericspar
