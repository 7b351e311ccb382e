#include "turmericspar/operator/operator_server.h"

#include "turmericspar/base/problem.h"

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace turmericspar {

namespace {

constexpr std::size_t operatorBodyMax = 2 * 1024 * 1024;
constexpr std::size_t operatorHeaderMax = 16 * 1024;
constexpr std::string_view bearerPrefix = "Bearer ";

http_server_options operatorOptions()
{
    http_server_options options;
    options.limits = {operatorHeaderMax, operatorBodyMax};
    options.connectionsMax = 256;
    return options;
}

/// Decodes percent-encoding and plus signs in the value of a query parameter.
std::string decodeQueryValue(const std::string &value)
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> text(evhttp_uridecode(value.c_str(), 1, &size), &std::free);
    return text ? std::string(text.get(), size) : value;
}

} // namespace

std::string targetPath(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    const std::string parameter = name + "=";
    std::size_t start = query + 1;
    while (start < target.size()) {
        const auto end = std::min(target.find('&', start), target.size());
        if (target.compare(start, parameter.size(), parameter) == 0) {
            return decodeQueryValue(target.substr(start + parameter.size(), end - start - parameter.size()));
        }
        start = end + 1;
    }
    return {};
}

http_response jsonResponse(int status, const std::string &body)
{
    http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = body + "\n";
    return response;
}

operator_server::operator_server(event_loop &loop, const key_ring &keys)
    : m_server(loop, operatorOptions(), [this](const http_exchange_ptr &exchange) { dispatch(exchange); })
{
    for (const auto &key : keys) {
        m_tokens.push_back(key.operatorToken());
    }
}

void operator_server::route(const std::string &method, const std::string &path, bool isPublic, path_handler handler)
{
    m_routes[method + " " + path] = {isPublic, std::move(handler)};
}

bool operator_server::hasValidToken(const http_request &request) const
{
    const auto given = request.fields.get("Authorization");
    if (!given.starts_with(bearerPrefix)) {
        return false;
    }
    const auto token = std::string_view(given).substr(bearerPrefix.size());
    return std::any_of(m_tokens.begin(), m_tokens.end(), [&](const std::string &accepted) { return equalsInConstantTime(accepted, token); });
}

void operator_server::dispatch(const http_exchange_ptr &exchange)
{
    const auto &request = exchange->request();
    const auto found = m_routes.find(request.method + " " + targetPath(request.target));
    const bool known = found != m_routes.end();
    const bool isPublic = known && found->second.isPublic;
    if (!isPublic && !hasValidToken(request)) {
        auto refusal = problemResponse(401, "unauthorized", "this path needs the operators' token");
        refusal.fields.add("WWW-Authenticate", "Bearer");
        exchange->respond(refusal);
    } else if (!known) {
        exchange->respond(problemResponse(404, "not-found", "no such path or method"));
    } else {
        found->second.handler(exchange);
    }
}

} // namespace turmericspar
