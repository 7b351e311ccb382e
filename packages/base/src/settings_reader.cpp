#include "turmericspar/base/settings_reader.h"

#include <algorithm>

namespace turmericspar {

std::string settings_error::text() const
{
    return "line " + std::to_string(line) + ": " + (path.empty() ? "(document)" : path) + ": " + allowed;
}

settings_reader::settings_reader(YAML::Node node, std::vector<settings_error> &errors)
    : m_node(node.IsDefined() ? std::move(node) : YAML::Node()), m_errors(&errors)
{
}

settings_reader settings_reader::fromFile(const std::string &path, std::vector<settings_error> &errors)
{
    try {
        settings_reader root(YAML::LoadFile(path), errors);
        if (!root.m_node.IsMap()) {
            root.addError("expected a map of settings");
            root.m_node = YAML::Node(YAML::NodeType::Map);
        }
        return root;
    } catch (const YAML::BadFile &) {
        errors.push_back({0, path, "the file can't be read"});
    } catch (const YAML::Exception &error) {
        errors.push_back({error.mark.line + 1, path, "not valid YAML: " + error.msg});
    }
    return {YAML::Node(YAML::NodeType::Map), errors};
}

settings_reader settings_reader::child(const std::string &key)
{
    m_knownKeys.push_back(key);
    const YAML::Node &self = m_node;
    settings_reader reader(self.IsMap() ? self[key] : YAML::Node(), *m_errors);
    reader.m_path = m_path.empty() ? key : m_path + "." + key;
    reader.m_line = reader.isPresent() ? reader.m_node.Mark().line + 1 : m_line;
    return reader;
}

void settings_reader::rejectUnknownKeys()
{
    if (!isPresent()) {
        return;
    }
    if (!m_node.IsMap()) {
        addError("expected a map");
        return;
    }
    for (const auto &pair : m_node) {
        const auto key = pair.first.as<std::string>("?");
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) == m_knownKeys.end()) {
            std::string known;
            for (const auto &name : m_knownKeys) {
                known += (known.empty() ? "" : ", ") + name;
            }
            m_errors->push_back({pair.first.Mark().line + 1, m_path.empty() ? key : m_path + "." + key, "unknown key; known here: " + known});
        }
    }
}

std::string settings_reader::scalar()
{
    if (!m_node.IsScalar()) {
        addError("expected a single value");
        return {};
    }
    return m_node.Scalar();
}

std::string settings_reader::text(const std::string &fallback)
{
    return isPresent() ? scalar() : fallback;
}

std::string settings_reader::requiredText()
{
    const auto value = text({});
    if (value.empty()) {
        addError("expected a non-empty text");
    }
    return value;
}

double settings_reader::number(double fallback, double minimum, double maximum)
{
    if (!isPresent()) {
        return fallback;
    }
    const auto range = std::to_string(minimum) + " to " + std::to_string(maximum);
    try {
        const auto value = m_node.as<double>();
        if (value >= minimum && value <= maximum) {
            return value;
        }
        addError("expected a number from " + range);
    } catch (const YAML::Exception &) {
        addError("expected a number from " + range);
    }
    return fallback;
}

int settings_reader::integer(int fallback, int minimum, int maximum)
{
    if (!isPresent()) {
        return fallback;
    }
    try {
        const auto value = m_node.as<int>();
        if (value >= minimum && value <= maximum) {
            return value;
        }
    } catch (const YAML::Exception &) {
        // Reported below, like a number out of range.
    }
    addError("expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

bool settings_reader::flag(bool fallback)
{
    if (!isPresent()) {
        return fallback;
    }
    try {
        return m_node.as<bool>();
    } catch (const YAML::Exception &) {
        addError("expected true or false");
        return fallback;
    }
}

endpoint settings_reader::address(const endpoint &fallback)
{
    if (!isPresent()) {
        return fallback;
    }
    auto parsed = endpoint::parse(scalar());
    if (!parsed) {
        addError("expected an IP address and a port, such as 127.0.0.1:8080");
        return fallback;
    }
    return *parsed;
}

endpoint settings_reader::requiredAddress()
{
    if (!isPresent()) {
        addError("expected an IP address and a port, such as 127.0.0.1:8080");
        return {};
    }
    return address({});
}

void settings_reader::forEachItem(const std::function<void(settings_reader)> &visit)
{
    if (!isPresent()) {
        return;
    }
    if (!m_node.IsSequence()) {
        addError("expected a list");
        return;
    }
    std::size_t index = 0;
    for (const auto &item : m_node) {
        settings_reader reader(item, *m_errors);
        reader.m_path = m_path + "[" + std::to_string(index) + "]";
        reader.m_line = item.Mark().line + 1;
        ++index;
        visit(std::move(reader));
    }
}

void settings_reader::forEachEntry(const std::function<void(const std::string &, settings_reader)> &visit)
{
    if (!isPresent()) {
        return;
    }
    if (!m_node.IsMap()) {
        addError("expected a map");
        return;
    }
    for (const auto &pair : m_node) {
        const auto key = pair.first.as<std::string>("?");
        visit(key, child(key));
    }
}

void settings_reader::addError(const std::string &allowed)
{
    m_errors->push_back({m_line, m_path, allowed});
}

} // namespace turmericspar
