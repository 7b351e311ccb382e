/// @file operator_requests.h
/// Requests to the operators' interface of a node.
#pragma once

#include "fleet.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace turmericspar {

/// Sends a request to the operators' interface of a node.
/// @return the JSON body of a successful response
result<nlohmann::json> requestFromOperators(
    const node_addresses &node, const std::string &token, const std::string &method, const std::string &target, const nlohmann::json &body = {});

/// Waits until a condition holds for the status of every node.
/// @return whether it held within 30 s
bool waitForAll(const std::vector<node_addresses> &nodes, const std::string &token, const std::function<bool(const nlohmann::json &)> &holds);

/// @return whether a status shows a node that is ready and sees as many ready upstreams.
bool everyUpstreamIsReady(const nlohmann::json &status, std::size_t count);

} // namespace turmericspar
