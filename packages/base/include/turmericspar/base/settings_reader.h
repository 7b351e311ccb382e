/// @file settings_reader.h
/// Reads a YAML file as a whole and collects every mistake in it with its line, its path and what is allowed.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"

#include <functional>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace turmericspar {

/// One mistake in a file.
struct settings_error
{
    int line = 0; ///< from 1; 0 if the place is not known
    std::string path; ///< such as "listen.callers"
    std::string allowed; ///< what is wrong and what would be right

    std::string text() const;
};

/// A place in a YAML file, with the list of mistakes that all places of the file share.
class settings_reader
{
public:
    /// Starts at the root of a document.
    /// @param mistakes receives what is found wrong; must outlive the reader
    settings_reader(YAML::Node node, std::vector<settings_error> &mistakes);

    /// Reads a file into its root place; a file that is no YAML is a mistake.
    static settings_reader fromFile(const std::string &path, std::vector<settings_error> &mistakes);

    /// @return whether the place exists in the file.
    bool isPresent() const { return m_node.IsDefined() && !m_node.IsNull(); }

    /// Goes to the place below a key. Call finish() after all keys of a place were asked for.
    settings_reader child(const std::string &key);

    /// Refuses every key of this place that was not asked for.
    void rejectUnknownKeys();

    std::string text(const std::string &fallback);
    /// A text that must be there and not be empty.
    std::string requiredText();
    double number(double fallback, double least, double most);
    int integer(int fallback, int least, int most);
    bool flag(bool fallback);
    millis duration(millis fallback, double least, double most) { return {number(fallback.count, least, most)}; }
    endpoint address(const endpoint &fallback);
    endpoint requiredAddress();
    /// A text out of a table of names.
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

    /// Visits the items of a list.
    void forEachItem(const std::function<void(settings_reader)> &visit);
    /// Visits the pairs of a map.
    void forEachEntry(const std::function<void(const std::string &, settings_reader)> &visit);

    /// Records a mistake at this place.
    void addError(const std::string &allowed);

private:
    std::string scalar();

    YAML::Node m_node;
    std::string m_path;
    int m_line = 0;
    std::vector<settings_error> *m_mistakes;
    std::vector<std::string> m_asked;
};

} // namespace turmericspar
