#include "turmericspar/policy/version_log.h"

namespace turmericspar {

namespace {

using nlohmann::json;

/// Maximum number of records that a node keeps for other nodes; older ones remain in the platform's store.
constexpr std::size_t historyMax = 500;

bool hasStrings(const json &value, std::initializer_list<const char *> names)
{
    for (const auto *name : names) {
        if (!value.contains(name) || !value[name].is_string()) {
            return false;
        }
    }
    return true;
}

bool hasVersion(const json &value)
{
    return value.is_object() && value.contains("version") && value["version"].is_number_unsigned();
}

} // namespace

json version_record::toJson() const
{
    return {{"version", version}, {"submission", submission}, {"author", author}, {"reason", reason}, {"time", time}, {"patch", patch}};
}

std::optional<version_record> version_record::fromJson(const json &value)
{
    if (!hasVersion(value) || !hasStrings(value, {"submission", "author", "reason", "time"}) || !value.contains("patch")) {
        return std::nullopt;
    }
    version_record record;
    record.version = value["version"].get<std::uint64_t>();
    record.submission = value["submission"].get<std::string>();
    record.author = value["author"].get<std::string>();
    record.reason = value["reason"].get<std::string>();
    record.time = value["time"].get<std::string>();
    record.patch = value["patch"];
    return record;
}

json version_snapshot::toJson() const
{
    return {{"version", version}, {"document", document}};
}

std::optional<version_snapshot> version_snapshot::fromJson(const json &value)
{
    if (!hasVersion(value) || !value.contains("document")) {
        return std::nullopt;
    }
    return version_snapshot{value["version"].get<std::uint64_t>(), value["document"]};
}

version_log::version_log() : m_document(initialDocument())
{
    updateInForce();
}

bool version_log::append(const version_record &record)
{
    if (record.version != m_version + 1) {
        return false;
    }
    m_version = record.version;
    m_document.merge_patch(record.patch);
    m_history.push_back(record);
    if (m_history.size() > historyMax) {
        m_history.pop_front();
    }
    updateInForce();
    return true;
}

bool version_log::restore(const version_snapshot &snapshot)
{
    std::vector<document_error> errors;
    auto parsed = parseConfiguration(snapshot.document, errors);
    if (snapshot.version <= m_version || !errors.empty()) {
        return false;
    }
    m_version = snapshot.version;
    m_document = snapshot.document;
    m_history.clear();
    m_inForce = std::move(parsed);
    return true;
}

patch_check version_log::check(const json &patch) const
{
    patch_check result;
    result.document = m_document;
    result.document.merge_patch(patch);
    parseConfiguration(result.document, result.errors);
    return result;
}

std::optional<std::vector<version_record>> version_log::recordsAfter(std::uint64_t version) const
{
    if (version >= m_version) {
        return std::vector<version_record>();
    }
    if (m_history.empty() || m_history.front().version > version + 1) {
        return std::nullopt;
    }
    std::vector<version_record> records;
    for (const auto &record : m_history) {
        if (record.version > version) {
            records.push_back(record);
        }
    }
    return records;
}

void version_log::updateInForce()
{
    std::vector<document_error> errors;
    const auto parsed = parseConfiguration(m_document, errors);
    if (errors.empty()) {
        m_inForce = parsed;
    }
}

} // namespace turmericspar
