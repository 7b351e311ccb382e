/// @file node_client.h
/// The operators' interface of one node, as the command-line client uses it.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/http.h"

#include <nlohmann/json.hpp>
#include <string>

namespace turmericspar {

/// An answer of the operators' interface.
struct node_answer
{
    int status = 0;
    nlohmann::json body;
};

/// Speaks to one node.
class node_client
{
public:
    /// @param token the operators' token, derived from the deployment's key
    node_client(endpoint node, std::string token, millis timeout);

    /// Sends a request and waits for its JSON answer.
    result<node_answer> get(const std::string &target) const;
    /// @return a client for another node, with the same token.
    node_client at(const endpoint &other) const { return {other, m_token, m_timeout}; }
    result<node_answer> post(const std::string &target, const nlohmann::json &body) const;

private:
    result<node_answer> send(http_request request) const;

    endpoint m_node;
    std::string m_token;
    millis m_timeout;
};

} // namespace turmericspar
