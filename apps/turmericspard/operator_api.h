/// @file operator_api.h
/// What a node answers to operators: configuration, state, records, drain, health and metrics.
#pragma once

#include "call_path.h"
#include "control_path.h"
#include "turmericspar/operator/operator_server.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace turmericspar {

/// The paths of the operators' interface. It owns nothing but refers to the parts of the node.
class operator_api
{
public:
    /// @param ready whether the node takes work
    operator_api(const node_settings &settings, node_id self, call_path &calls, control_path &control, std::function<bool()> ready);

    /// Adds every path to a server.
    void addRoutes(operator_server &server);

private:
    void answerConfig(const http_exchange_ptr &exchange);
    void answerHistory(const http_exchange_ptr &exchange);
    void answerProgress(const http_exchange_ptr &exchange);
    void answerPatch(const http_exchange_ptr &exchange);
    nlohmann::json loadJson() const;
    void answerLoad(const http_exchange_ptr &exchange);
    void answerRecords(const http_exchange_ptr &exchange);
    void answerStatus(const http_exchange_ptr &exchange);
    void answerDrain(const http_exchange_ptr &exchange);
    void answerMetrics(const http_exchange_ptr &exchange);

    const node_settings &m_settings;
    node_id m_self;
    call_path &m_calls;
    control_path &m_control;
    std::function<bool()> m_ready;
};

} // namespace turmericspar
