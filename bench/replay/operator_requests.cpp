#include "operator_requests.h"

#include "turmericspar/base/http_call.h"

#include <iostream>
#include <thread>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr millis requestTimeout{2000};
constexpr millis settleTimeout{30'000};
constexpr auto pollInterval = std::chrono::milliseconds(100);

} // namespace

result<json> requestFromOperators(const node_addresses &node, const std::string &token, const std::string &method, const std::string &target, const json &body)
{
    http_request request;
    request.method = method;
    request.target = target;
    request.fields.add("Authorization", "Bearer " + token);
    request.body = body.is_null() ? "" : body.dump();
    const auto response = callAndWait(node.operators, request, requestTimeout);
    if (!response) {
        return response.error();
    }
    const auto parsed = json::parse(response->body, nullptr, false);
    if (response->status != 200 || parsed.is_discarded()) {
        return failure{errc::rejected, target, node.name, response->body};
    }
    return parsed;
}

bool waitForAll(const std::vector<node_addresses> &nodes, const std::string &token, const std::function<bool(const json &)> &holds)
{
    const millis until = monotonicNow() + settleTimeout;
    for (const auto &node : nodes) {
        for (;;) {
            const auto status = requestFromOperators(node, token, "GET", "/v1/status");
            if (status && holds(*status)) {
                break;
            }
            if (monotonicNow() > until) {
                std::cerr << "replay: " << node.name << " did not reach the expected status within 30 s: " << (status ? status->dump() : status.error().text())
                          << '\n';
                return false;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

bool everyUpstreamIsReady(const json &status, std::size_t count)
{
    if (!status["ready"].get<bool>()) {
        return false;
    }
    std::size_t ready = 0;
    for (const auto &entry : status["members"]) {
        ready += entry["ready"].get<bool>() && entry["state"] == "alive" ? 1 : 0;
    }
    return ready == count;
}

} // namespace turmericspar
