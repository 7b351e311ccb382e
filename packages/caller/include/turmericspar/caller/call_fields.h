/// @file call_fields.h
/// Header fields of calls and of their responses.
#pragma once

#include "turmericspar/base/error.h"
#include "turmericspar/base/http.h"
#include "turmericspar/policy/configuration.h"

#include <optional>
#include <string>

namespace turmericspar {

/// Field names. Host, Priority (RFC 9218), Idempotency-Key and Retry-After are standard fields.
namespace field {
inline constexpr const char *klass = "Call-Class";
inline constexpr const char *deadline = "Call-Timeout-Ms";
inline constexpr const char *context = "Call-Context";
inline constexpr const char *intent = "Call-Intent";
inline constexpr const char *needed = "Call-Needed";
inline constexpr const char *requestId = "X-Request-Id";
inline constexpr const char *priority = "Priority";
inline constexpr const char *idempotencyKey = "Idempotency-Key";
inline constexpr const char *attempt = "Call-Attempt";
inline constexpr const char *outcome = "Call-Outcome";
inline constexpr const char *reason = "Call-Reason";
inline constexpr const char *refusedBy = "Call-Refused-By";
inline constexpr const char *finalFailure = "Call-Final";
inline constexpr const char *configVersion = "Config-Version";
inline constexpr const char *retryAfter = "Retry-After";
inline constexpr const char *rank = "Call-Rank";
inline constexpr const char *rateLimit = "Upstream-Rate-Limit";
inline constexpr const char *leaving = "Upstream-Leaving";
} // namespace field

/// The header field names used with callers and upstreams. A field whose name is empty is neither read nor written.
struct call_dialect
{
    // From callers, forwarded to upstreams
    std::string klass = field::klass;
    std::string deadline = field::deadline; ///< remaining time in milliseconds in which the caller can use the response
    std::string requestId = field::requestId;
    std::string intent = field::intent;
    std::string context = field::context; ///< identifies the parent call, on whose behalf this one is made
    std::string idempotencyKey = field::idempotencyKey;

    // Only to upstreams
    std::string rank = field::rank;
    std::string callerService; ///< the service of the node at which the call entered
    std::string instance; ///< the targeted upstream instance

    // From upstreams
    std::string notRun = field::outcome; ///< field by which a refusal states that the call did not run
    std::string notRunValue = "not-run"; ///< the value that states it; empty if any value does
    std::string load; ///< "running,waiting,slots"
    std::string rateLimit = field::rateLimit; ///< requests a second that the upstream takes from all nodes together
    std::string leaving = field::leaving; ///< 1 if the upstream is about to exit
    std::string signature; ///< present in every complete response of an upstream; empty if responses carry no signature
    bool echoesRequestId = false; ///< whether each response carries the id of its request

    std::vector<std::string> commonFields; ///< frequent field names; nodes send each other their index in this list instead of the name

    // To callers
    std::string outcome = field::outcome;
    std::string reason = field::reason;
    std::string refusedBy = field::refusedBy;
    std::string finalFailure = field::finalFailure;
    std::string configVersion = field::configVersion;
    bool fractionalRetryAfter = false; ///< whether Retry-After may have decimals
    bool statusProvesNotRun = false; ///< whether 408, 421, 429 and 503 always prove that a call did not run
};

/// The call as described by its header fields.
struct call_description
{
    std::string service;
    const route *declaredRoute = nullptr; ///< the matching route; null if the configuration has no routes
    std::string klass; ///< the class named by the request, or the default class
    int rank = 0;
    std::string requestId; ///< empty if the caller sent none
    std::string parent; ///< the context of the parent call; empty for an external request
    std::string idempotencyKey;
    std::optional<millis> timeout; ///< as sent by the caller, if any
    millis classDeadline; ///< the deadline of the class
    call_intent intent = call_intent::repeatable;
    bool needed = false; ///< whether the parent call fails if this one fails
    bool firstAttempt = false; ///< whether the caller declares that it has not sent this request before
};

/// Why a call is rejected.
struct call_error
{
    refusal_reason reason = refusal_reason::malformed;
    std::string detail;
};

/// Derives the description of a call from its header fields.
/// @param dialect the field names
/// @param declared the configuration in force
/// @param random a uniform random number from 0 to 1 that chooses among the targets of a route
/// @param callError set if the call is rejected
call_description
describeCall(const http_request &request, const call_dialect &dialect, const configuration &declared, double random, std::optional<call_error> &callError);

/// @return the HTTP status of the response for a refusal.
int statusFor(const call_dialect &dialect, refusal_reason reason, call_outcome outcome);

/// Sets a field if its name and value are not empty.
void setField(http_fields &fields, const std::string &name, std::string value);

/// Removes the fields that only this system may write.
void removeCallFields(const call_dialect &dialect, http_fields &fields);

} // namespace turmericspar
