/// @file operator_server.h
/// The HTTP server for operators: configuration, state, drain, health and metrics.
#pragma once

#include "turmericspar/base/http_server.h"
#include "turmericspar/base/secret.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericspar {

/// Dispatches requests of operators to the handlers of their paths, after checking method and token.
class operator_server
{
public:
    using path_handler = std::function<void(const http_exchange_ptr &)>;

    /// @param keys the operator token of each of these keys is accepted
    operator_server(event_loop &loop, const key_ring &keys);

    /// Adds a handler for a method and path.
    /// @param isPublic whether requests need no token, as for health checks and metrics
    void route(const std::string &method, const std::string &path, bool isPublic, path_handler handler);

    result<endpoint> listen(const endpoint &address) { return m_server.listen(address); }
    void stopAccepting() { m_server.stopAccepting(); }

private:
    struct route_entry
    {
        bool isPublic = false;
        path_handler handler;
    };
    void dispatch(const http_exchange_ptr &exchange);
    bool hasValidToken(const http_request &request) const;

    std::vector<std::string> m_tokens;
    std::map<std::string, route_entry> m_routes; ///< by "METHOD /path"
    http_server m_server;
};

/// @return the path of a request target, without its query.
std::string targetPath(const std::string &target);
/// @return the decoded value of a query parameter; empty if it is missing.
std::string queryValue(const std::string &target, const std::string &name);
/// Creates a response with a JSON body.
http_response jsonResponse(int status, const std::string &body);

} // namespace turmericspar
