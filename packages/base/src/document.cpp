#include "turmericspar/base/document.h"

namespace turmericspar {

nlohmann::json parseDocument(std::string_view text, const document_limits &limits)
{
    if (text.size() > limits.bytesMax) {
        return nlohmann::json::value_t::discarded;
    }
    bool tooDeep = false;
    const auto checkDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > limits.depthMax;
        return !tooDeep;
    };
    auto document = nlohmann::json::parse(text, checkDepth, false);
    return tooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : document;
}

bool flagOr(const nlohmann::json &object, const char *key, bool fallback)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() ? found->get<bool>() : fallback;
}

} // namespace turmericspar
