/// @file call.h
/// Call data used by the policy code, and the enumerations for the outcome of a call.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"

#include <cstdint>
#include <string>

namespace turmericspar {

/// Identifies a call within one process.
using call_id = std::uint64_t;

/// Whether a call was executed.
enum class call_outcome {
    ran, ///< an upstream returned a complete answer
    not_run, ///< no upstream started it; this is certain
    unknown, ///< it may have run, completely or in part
};
inline constexpr name_table<call_outcome, 3> outcomeNames{{"ran", "not-run", "unknown"}};

/// Why a call got no answer from an upstream.
enum class refusal_reason {
    none,
    overload, ///< the service has no capacity for a request of this importance
    deadline, ///< it can't be answered before its deadline
    draining, ///< the upstream accepts no new work
    no_upstream, ///< no upstream of the service is known
    unknown_service,
    unknown_class,
    malformed,
    unauthorized,
    suspect, ///< identical requests crashed upstreams
    duplicate, ///< a request that may run at most once was received before
    cancelled, ///< the caller disconnected or cancelled the call
    stale, ///< addressed to an earlier incarnation of the serving node, or received too late
    unreachable, ///< the node or the upstream could not be reached
    broken, ///< the connection failed while the call ran
    shed_by_upstream, ///< the upstream itself refused it for overload
    shutting_down,
    unconfigured, ///< no configuration has been received yet, or it is not yet known to be the latest
    in_doubt, ///< it may have run on a node that can't be asked
};
inline constexpr name_table<refusal_reason, 19> refusalNames{{"none",
                                                              "overload",
                                                              "deadline",
                                                              "draining",
                                                              "no-upstream",
                                                              "unknown-service",
                                                              "unknown-class",
                                                              "malformed",
                                                              "unauthorized",
                                                              "suspect",
                                                              "duplicate",
                                                              "cancelled",
                                                              "stale",
                                                              "unreachable",
                                                              "broken",
                                                              "shed-by-upstream",
                                                              "shutting-down",
                                                              "unconfigured",
                                                              "in-doubt"}};

/// Whether the caller allows a request to run more than once.
enum class call_intent {
    repeatable, ///< may run any number of times
    once, ///< may run at most once
};
inline constexpr name_table<call_intent, 2> intentNames{{"repeatable", "once"}};

/// Number of ranks; rank 0 is the most important.
inline constexpr int ranksMax = 8;

/// Priority of a request. It is the same at every hop, so that every hop sheds the same requests.
struct call_priority
{
    int rank = 0;
    bool excess = false; ///< above the declared limit of its class; served after all requests that are within their limits
    std::uint32_t tieBreaker = 0; ///< hash of the root request; orders requests of the same rank

    /// @return a number from 0 to importanceBound (exclusive); larger for more important requests.
    double importance() const;
};

/// Exclusive upper bound of importance. Each rank covers a range of 1, once within the limit and once above it.
inline constexpr double importanceBound = 2.0 * ranksMax;

/// Request data that is passed on from hop to hop.
struct call_context
{
    std::string root; ///< id of the root request
    std::string klass; ///< class of the request
    call_priority priority;
    int depth = 0; ///< 0 for a request from outside, 1 for a call made on its behalf, and so on
    int retries = 0; ///< remaining retries for this call and all calls below it in the tree
    millis deadline; ///< by the local clock
    call_intent intent = call_intent::repeatable;
    std::string idempotencyKey; ///< key of a call that may run at most once; empty if it has none
    std::uint64_t permit = 0; ///< id of the inquiry that found no earlier run for the key; 0 for a declared first attempt
};

} // namespace turmericspar
