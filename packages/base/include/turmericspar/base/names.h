/// @file names.h
/// Tables that map enumerators to their names in settings, logs and messages.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace turmericspar {

/// The names of an enumeration whose values are 0, 1, 2 and so on.
template<class enum_type, std::size_t size>
struct name_table
{
    std::array<std::string_view, size> names;

    /// @return the name of an enumerator; "?" for a value out of range.
    constexpr std::string_view name(enum_type value) const
    {
        const auto index = static_cast<std::size_t>(value);
        return index < size ? names[index] : "?";
    }

    /// @return the enumerator with this name, or nothing.
    constexpr std::optional<enum_type> find(std::string_view text) const
    {
        for (std::size_t i = 0; i < size; ++i) {
            if (names[i] == text) {
                return static_cast<enum_type>(i);
            }
        }
        return std::nullopt;
    }

    /// @return all names, separated by ", ", for error messages.
    std::string list() const
    {
        std::string text;
        for (const auto name : names) {
            text += text.empty() ? "" : ", ";
            text += name;
        }
        return text;
    }
};

} // namespace turmericspar
