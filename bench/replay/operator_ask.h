/// @file operator_ask.h
/// Questions to the operators' interface of a node.
#pragma once

#include "fleet.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace turmericspar {

/// Asks a node's operator interface.
/// @return the JSON of a good answer
result<nlohmann::json>
askOperators(const node_addresses &node, const std::string &token, const std::string &method, const std::string &target, const nlohmann::json &body = {});

/// Waits until a condition holds for the status of every node.
/// @return whether it did in time
bool waitForAll(const std::vector<node_addresses> &nodes, const std::string &token, const std::function<bool(const nlohmann::json &)> &holds);

/// @return whether a status shows a node that is ready and sees as many ready upstreams.
bool everyUpstreamIsReady(const nlohmann::json &status, std::size_t count);

} // namespace turmericspar
