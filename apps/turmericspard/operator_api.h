/// @file operator_api.h
/// HTTP API of a node for operators: configuration, state, call records, drain, health and metrics.
#pragma once

#include "call_path.h"
#include "control_path.h"
#include "turmericspar/operator/operator_server.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace turmericspar {

/// Handlers of the operator API. Holds references to the components of the node and owns none of them.
class operator_api
{
public:
    /// @param ready whether the node takes work
    operator_api(const node_settings &settings, node_id self, call_path &calls, control_path &control, std::function<bool()> ready);

    /// Registers all routes with a server.
    void addRoutes(operator_server &server);

private:
    void handleConfig(const http_exchange_ptr &exchange);
    void handleHistory(const http_exchange_ptr &exchange);
    void handleProgress(const http_exchange_ptr &exchange);
    void handlePatch(const http_exchange_ptr &exchange);
    nlohmann::json loadReport() const;
    void handleLoad(const http_exchange_ptr &exchange);
    void handleRecords(const http_exchange_ptr &exchange);
    void handleStatus(const http_exchange_ptr &exchange);
    void handleDrain(const http_exchange_ptr &exchange);
    void handleConvictions(const http_exchange_ptr &exchange);
    void handleLift(const http_exchange_ptr &exchange);
    void handleMetrics(const http_exchange_ptr &exchange);

    const node_settings &m_settings;
    node_id m_self;
    call_path &m_calls;
    control_path &m_control;
    std::function<bool()> m_ready;
};

} // namespace turmericspar
