#include "turmericspar/base/problem.h"

#include <nlohmann/json.hpp>

namespace turmericspar {

http_response problemResponse(int status, std::string_view type, const std::string &detail)
{
    http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/problem+json");
    const nlohmann::json body{{"type", "urn:turmericspar:" + std::string(type)}, {"title", reasonPhrase(status)}, {"status", status}, {"detail", detail}};
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace turmericspar
