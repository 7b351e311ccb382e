/// @file http_call.h
/// A blocking HTTP request, for command-line tools.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/http.h"

namespace turmericspar {

/// Sends a request on a new connection and blocks until the complete response has arrived or the timeout has passed.
result<http_response> callAndWait(const endpoint &peer, const http_request &request, millis timeout);

} // namespace turmericspar
