/// @file configuration.h
/// The operators' configuration document: ranks, classes of work with their limits, and services.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/call.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace turmericspar {

/// A kind of work, as operators declare it.
struct work_class
{
    int rank = 0; ///< position in the list of ranks
    std::optional<double> limitPerSecond; ///< above it, calls of the class are served after all others' within their limits
    millis deadline{10'000}; ///< for requests that name none
};

/// What operators declare for a service.
struct service_policy
{
    std::optional<int> retries; ///< retries for a whole request that enters at this service
    bool repeatable = false; ///< whether every request to it may be repeated, whatever its method
    std::optional<std::string> defaultClass; ///< for requests that name no class
};

/// A configuration document, checked and ready for use.
struct configuration
{
    std::vector<std::string> ranks; ///< the most important first
    std::map<std::string, work_class> classes;
    std::map<std::string, service_policy> services;
    std::string defaultClass;
    int retriesPerRequest = 3;

    /// @return the class of a request, or nullptr if it names one that does not exist.
    /// @param named the class that the request names; may be empty
    const work_class *findClass(const std::string &named, const std::string &service, std::string &name) const;
};

/// One mistake in a document.
struct document_mistake
{
    std::string path; ///< a JSON pointer (RFC 6901)
    std::string allowed;
};

/// Checks a whole document.
/// @param mistakes receives every mistake; the result is of use only if there is none
configuration parseConfiguration(const nlohmann::json &document, std::vector<document_mistake> &mistakes);

/// @return the JSON Merge Patch (RFC 7396) that makes one document out of another.
nlohmann::json mergePatchBetween(const nlohmann::json &from, const nlohmann::json &to);

/// @return the document that a deployment starts with: one rank, one class, no limits.
nlohmann::json initialDocument();

} // namespace turmericspar
