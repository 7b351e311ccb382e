#include "turmericspar/upstream/upstream_statement.h"

#include <charconv>
#include <cmath>

namespace turmericspar {

upstream_statement readStatement(const http_fields &fields, const std::string &rateLimitField, const std::string &leavingField)
{
    upstream_statement statement;
    statement.leaving = !leavingField.empty() && fields.get(leavingField) == "1";
    const auto *text = rateLimitField.empty() ? nullptr : fields.find(rateLimitField);
    if (!text) {
        return statement;
    }
    double limit = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), limit);
    if (error == std::errc{} && end == text->data() + text->size() && std::isfinite(limit) && limit >= 0) {
        statement.rateLimit = limit;
    } else {
        statement.malformedLimit = *text;
    }
    return statement;
}

} // namespace turmericspar
