/// @file node_client.h
/// HTTP client for the operators' interface of one node.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/http.h"

#include <nlohmann/json.hpp>
#include <string>

namespace turmericspar {

/// A response of the operators' interface.
struct node_response
{
    int status = 0;
    nlohmann::json body;
};

/// Sends requests to one node.
class node_client
{
public:
    /// @param token the operators' token, derived from the deployment's key
    node_client(endpoint node, std::string token, millis timeout);

    /// Sends a GET request and waits for the JSON response.
    result<node_response> get(const std::string &target) const;
    /// Sends a POST request with a JSON body and waits for the JSON response.
    result<node_response> post(const std::string &target, const nlohmann::json &body) const;
    /// @return a client for another node with the same token and timeout.
    node_client at(const endpoint &other) const { return {other, m_token, m_timeout}; }

private:
    result<node_response> send(http_request request) const;

    endpoint m_node;
    std::string m_token;
    millis m_timeout;
};

} // namespace turmericspar
