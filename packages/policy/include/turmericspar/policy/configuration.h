/// @file configuration.h
/// The operators' configuration document: ranks, classes of work with their limits, and services.
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
    std::optional<int> connections; ///< connections that each of its upstreams accepts, if the upstreams do not say so
    std::string healthPath; ///< where its upstreams answer whether they are well; empty if they do not
};

/// A part of a route's requests that goes to one service.
struct route_target
{
    std::string service;
    double weight = 1;
};

/// What operators declare for the requests to one host name whose path begins with a prefix.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    std::vector<route_target> targets; ///< never empty
    std::string klass; ///< class of work
    call_intent intent = call_intent::once;
    int attempts = 1; ///< most upstreams to which one request may be sent
    std::optional<millis> timeout; ///< longest time for which its callers are kept waiting
    std::optional<millis> targetLatency; ///< time within which an answer has its full use
};

/// Bounds on what callers may send and how long they may take.
struct caller_limits
{
    std::size_t headerBytes = 32 * 1024; ///< of one request's header
    std::size_t bodyBytes = 16 * 1024 * 1024;
    millis messageTimeout{10'000}; ///< from a request's first byte to its last
    millis idleTimeout{75'000}; ///< of a connection that carries no request
};

/// A configuration document, checked and ready for use.
struct configuration
{
    std::vector<std::string> ranks; ///< the most important first
    std::map<std::string, work_class> classes;
    std::map<std::string, service_policy> services;
    std::string defaultClass;
    int retriesPerRequest = 3;
    std::vector<route> routes; ///< if there is none, the host name of a request names its service
    caller_limits limits;

    /// @return the route with the longest prefix that begins the path, or nullptr.
    /// @param host the host name, without a port
    /// @param path the path, with or without a query
    const route *findRoute(std::string_view host, std::string_view path) const;
    /// Prepares findRoute; call it when all routes are there.
    void indexRoutes();

    /// @return the class of a request, or nullptr if it names one that does not exist.
    /// @param named the class that the request names; may be empty
    const work_class *findClass(const std::string &named, const std::string &service, std::string &name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< indices of the routes, the longest prefix first
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
