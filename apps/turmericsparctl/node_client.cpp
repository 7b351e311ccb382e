#include "node_client.h"

#include "turmericspar/base/document.h"
#include "turmericspar/base/http_call.h"

namespace turmericspar {

using nlohmann::json;

node_client::node_client(endpoint node, std::string token, millis timeout) : m_node(std::move(node)), m_token(std::move(token)), m_timeout(timeout) { }

result<node_response> node_client::get(const std::string &target) const
{
    http_request request;
    request.target = target;
    return send(std::move(request));
}

result<node_response> node_client::post(const std::string &target, const json &body) const
{
    http_request request;
    request.method = "POST";
    request.target = target;
    request.fields.add("Content-Type", "application/json");
    request.body = body.dump();
    return send(std::move(request));
}

result<node_response> node_client::send(http_request request) const
{
    request.fields.add("Authorization", "Bearer " + m_token);
    const auto response = callAndWait(m_node, request, m_timeout);
    if (!response) {
        return response.error();
    }
    if (response->status == 401) {
        return failure{errc::rejected, "call node", m_node.text(), "the node rejected the operators' token; check the key file"};
    }
    const auto parsed = parseDocument(response->body);
    if (parsed.is_discarded()) {
        return failure{errc::malformed_message, "call node", m_node.text(), "the response is not JSON; check that --node names an operators' address"};
    }
    return node_response{response->status, parsed};
}

} // namespace turmericspar
