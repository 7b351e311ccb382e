/// @file settings_reader.h
/// Reads a YAML file and collects all errors in it, each with its line, its path and the allowed values.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"

#include <functional>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace turmericspar {

/// An error in a file.
struct settings_error
{
    int line = 0; ///< from 1; 0 if unknown
    std::string path; ///< such as "listen.callers"
    std::string allowed; ///< what is wrong or which values are allowed

    std::string text() const;
};

/// A reader for one node of a YAML document. All readers of a document append to the same list of errors.
class settings_reader
{
public:
    /// Starts at the root of a document.
    /// @param errors receives the errors found; must outlive the reader
    settings_reader(YAML::Node node, std::vector<settings_error> &errors);

    /// Loads a file. A file that can't be read or parsed is reported as an error.
    static settings_reader fromFile(const std::string &path, std::vector<settings_error> &errors);

    /// @return whether the node exists and is not null.
    bool isPresent() const { return m_node.IsDefined() && !m_node.IsNull(); }

    /// @return a reader for the value of a key, which from then on counts as known to rejectUnknownKeys().
    settings_reader child(const std::string &key);

    /// Reports an error for each key that child() was not called for. Call it after all keys were read.
    void rejectUnknownKeys();

    std::string text(const std::string &fallback);
    /// Reads a string that must be present and not empty.
    std::string requiredText();
    double number(double fallback, double minimum, double maximum);
    int integer(int fallback, int minimum, int maximum);
    bool flag(bool fallback);
    millis duration(millis fallback, double minimum, double maximum) { return {number(fallback.count, minimum, maximum)}; }
    endpoint address(const endpoint &fallback);
    endpoint requiredAddress();
    /// Reads the name of an enumerator.
    template<class table, class enum_type>
    enum_type choice(const table &names, enum_type fallback)
    {
        if (!isPresent()) {
            return fallback;
        }
        const auto found = names.find(scalar());
        if (!found) {
            addError("expected one of: " + names.list());
        }
        return found.value_or(fallback);
    }

    void forEachItem(const std::function<void(settings_reader)> &visit);
    void forEachEntry(const std::function<void(const std::string &, settings_reader)> &visit);

    /// Reports an error at this node.
    void addError(const std::string &allowed);

private:
    std::string scalar();

    YAML::Node m_node;
    std::string m_path;
    int m_line = 0;
    std::vector<settings_error> *m_errors;
    std::vector<std::string> m_knownKeys;
};

} // namespace turmericspar
