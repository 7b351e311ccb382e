/// @file document.h
/// The way in for JSON documents that other processes wrote: they may be malformed, of any type, or made to exhaust the process.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace turmericspar {

/// Bounds of a document. Documents of operators nest six levels deep; values of the store have a megabyte.
struct document_limits
{
    std::size_t bytesMax = 64 * 1024 * 1024;
    int depthMax = 64; ///< copies and comparisons of a document recurse, so that its depth must be bounded
};

/// Parses a document.
/// @return it, or a discarded value if it is malformed or beyond the limits
nlohmann::json parseDocument(std::string_view text, const document_limits &limits = {});

/// @return a field of an object if it is true or false, else a fallback.
bool flagOr(const nlohmann::json &object, const char *key, bool fallback);

} // namespace turmericspar
