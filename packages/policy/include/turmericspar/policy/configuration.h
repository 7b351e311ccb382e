/// @file configuration.h
/// The operators' configuration document: ranks, classes of work with their limits, services and routes.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/policy/call.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// A class of work, as operators declare it.
struct work_class
{
    int rank = 0; ///< position in the list of ranks
    std::optional<double> limitPerSecond; ///< calls above this rate are served after all calls that are within the limits of their classes
    millis deadline{10'000}; ///< for requests that state none
};

/// The settings of a service.
struct service_policy
{
    std::optional<int> retries; ///< maximum retries for the whole call tree of a request that enters at this service
    bool repeatable = false; ///< whether every request to it is safe to repeat, whatever its method
    std::optional<std::string> defaultClass; ///< for requests that name no class
    std::optional<int> connections; ///< connections that each of its upstreams accepts, unless the upstreams announce it
    std::string healthPath; ///< path of the health check of its upstreams; empty if they have none
};

/// The share of a route's requests that goes to one service.
struct route_target
{
    std::string service;
    double weight = 1;
};

/// The settings of requests to one host name whose path begins with a prefix.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    std::vector<route_target> targets; ///< never empty
    std::string klass; ///< class of work of its requests
    call_intent intent = call_intent::once;
    int attempts = 1; ///< maximum number of upstreams to which one request may be sent
    std::optional<millis> timeout; ///< maximum time until a caller gets its answer
    std::optional<millis> targetLatency; ///< latency up to which an answer has its full value
};

/// Limits for the size of requests, and for how long callers may take to send them.
struct caller_limits
{
    std::size_t headerBytes = 32 * 1024; ///< of one request's header
    std::size_t bodyBytes = 16 * 1024 * 1024;
    millis headerTimeout{10'000}; ///< from a request's first byte to the end of its header
    millis messageTimeout{60'000}; ///< from the end of its header to the last byte of its body
    millis idleTimeout{75'000}; ///< of a connection that carries no request
};

/// A parsed and validated configuration document.
struct configuration
{
    std::vector<std::string> ranks; ///< the most important first
    std::map<std::string, work_class> classes;
    std::map<std::string, service_policy> services;
    std::string defaultClass;
    int retriesPerRequest = 3;
    std::vector<route> routes; ///< if empty, the host name of a request is the name of its service
    caller_limits limits;

    /// @return the route with the longest prefix of the path, or nullptr.
    /// @param host the host name, without a port
    /// @param path the path, with or without a query
    const route *findRoute(std::string_view host, std::string_view path) const;
    /// Builds the index that findRoute() uses; call it after all routes are added.
    void indexRoutes();

    /// @return the class of a request, or nullptr if it names one that does not exist.
    /// @param requested the class that the request names; empty for the default of the service
    /// @param name receives the name of the class
    const work_class *findClass(const std::string &requested, const std::string &service, std::string &name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< indices of the routes, the longest prefix first
};

/// One error in a document.
struct document_error
{
    std::string path; ///< a JSON pointer (RFC 6901)
    std::string allowed; ///< describes the values that are valid there
};

/// Parses and validates a whole document.
/// @param errors receives every error; the result is valid only if there is none
configuration parseConfiguration(const nlohmann::json &document, std::vector<document_error> &errors);

/// @return the JSON Merge Patch (RFC 7396) that turns one document into another.
nlohmann::json mergePatchBetween(const nlohmann::json &from, const nlohmann::json &to);

/// @return the initial document of a deployment: one rank, one class, no limits.
nlohmann::json initialDocument();

} // namespace turmericspar
