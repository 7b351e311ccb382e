/// @file error.h
/// Error codes, and failures that name the operation and the peer concerned.
#pragma once

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace turmericspar {

/// Errors in the communication between this process and a peer, and in its settings and documents.
enum class errc {
    ok,
    timeout,
    connection_refused,
    connection_broken,
    malformed_message,
    message_too_large,
    not_found,
    conflict,
    rejected,
    unavailable,
    not_known,
    invalid_settings,
    invalid_document,
};

/// @return the error category of errc.
const std::error_category &turmericsparCategory();

/// Enables the implicit conversion from errc to std::error_code.
std::error_code make_error_code(errc code); // NOLINT(readability-identifier-naming): the standard prescribes this name

/// An error with the operation that failed and the peer involved.
struct failure
{
    std::error_code code;
    std::string step; ///< the operation, as written in the log field of the same name
    std::string peer; ///< address or name of the peer, or path of the file
    std::string detail; ///< further human-readable text; may be empty

    /// @return a human-readable line: "step (peer): code: detail".
    std::string text() const;
};

/// The result of an operation that can fail: a value or a failure.
template<class value_type>
class result
{
public:
    result(value_type value) : m_state(std::move(value)) { }
    result(failure error) : m_state(std::move(error)) { }

    /// @return whether the operation succeeded.
    explicit operator bool() const { return std::holds_alternative<value_type>(m_state); }

    /// @return the value. Precondition: the operation succeeded.
    const value_type &operator*() const { return std::get<value_type>(m_state); }
    value_type &operator*() { return std::get<value_type>(m_state); }
    const value_type *operator->() const { return &std::get<value_type>(m_state); }

    /// @return the failure. Precondition: the operation failed.
    const failure &error() const { return std::get<failure>(m_state); }

private:
    std::variant<value_type, failure> m_state;
};

} // namespace turmericspar

template<>
struct std::is_error_code_enum<turmericspar::errc> : std::true_type
{
};
