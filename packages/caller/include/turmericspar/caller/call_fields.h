/// @file call_fields.h
/// The header fields by which a caller describes a call, and those of its answer.
#pragma once

#include "turmericspar/base/error.h"
#include "turmericspar/base/http.h"
#include "turmericspar/policy/configuration.h"

#include <optional>
#include <string>

namespace turmericspar {

/// Field names. Host, Priority (RFC 9218), Idempotency-Key and Retry-After are published ones.
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
} // namespace field

/// What the header of a call says.
struct call_description
{
    std::string service;
    std::string klass; ///< as named, or by default
    int rank = 0;
    std::string requestId; ///< empty if the caller gave none
    std::string parent; ///< the context of the call for which this one is made; empty for a request from outside
    std::string idempotencyKey;
    std::optional<millis> timeout; ///< if the caller names one
    millis classDeadline; ///< of the class
    call_intent intent = call_intent::repeatable;
    bool needed = false; ///< whether the call for which this one is made fails without it
    bool firstAttempt = false; ///< whether the caller declares that it has not sent this request before
};

/// Why a call can't be accepted.
struct call_mistake
{
    refusal_reason reason = refusal_reason::malformed;
    std::string detail;
};

/// Reads the description of a call out of its header.
/// @param declared the configuration in force
/// @param mistake set if the call can't be accepted
call_description describeCall(const http_request &request, const configuration &declared, std::optional<call_mistake> &mistake);

/// @return the status by which a caller is told of a refusal.
int statusFor(refusal_reason reason, call_outcome outcome);

/// Removes every field of a request that the system itself writes.
void removeCallFields(http_fields &fields);

} // namespace turmericspar
