#include "turmericspar/base/error.h"

#include "turmericspar/base/names.h"

namespace turmericspar {

namespace {

constexpr name_table<errc, 13> errcNames{{"ok",
                                          "timeout",
                                          "connection refused",
                                          "connection broken",
                                          "malformed message",
                                          "message too large",
                                          "not found",
                                          "conflict",
                                          "rejected",
                                          "unavailable",
                                          "not known",
                                          "invalid settings",
                                          "invalid document"}};

class errc_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "turmericspar"; }
    std::string message(int value) const override { return std::string(errcNames.name(static_cast<errc>(value))); }
};

} // namespace

const std::error_category &turmericsparCategory()
{
    static const errc_category category;
    return category;
}

std::error_code make_error_code(errc code)
{
    return {static_cast<int>(code), turmericsparCategory()};
}

std::string failure::text() const
{
    std::string line = step;
    if (!peer.empty()) {
        line += " (" + peer + ")";
    }
    line += ": " + code.message();
    if (!detail.empty()) {
        line += ": " + detail;
    }
    return line;
}

} // namespace turmericspar
