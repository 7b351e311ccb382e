#include "turmericspar/policy/version_log.h"

#include "turmericspar/base/secret.h"

#include <algorithm>

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

/// @return the chain that a record or a snapshot states; 0 if it states none.
std::uint64_t chainOf(const json &value)
{
    const auto chain = value.find("chain");
    return chain != value.end() && chain->is_number_unsigned() ? chain->get<std::uint64_t>() : 0;
}

bool hasVersion(const json &value)
{
    return value.is_object() && value.contains("version") && value["version"].is_number_unsigned();
}

} // namespace

json version_record::toJson() const
{
    return {{"version", version}, {"submission", submission}, {"author", author}, {"reason", reason}, {"time", time}, {"patch", patch}, {"chain", chain}};
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
    record.chain = chainOf(value);
    return record;
}

json version_snapshot::toJson() const
{
    return {{"version", version}, {"document", document}, {"chain", chain}};
}

std::optional<version_snapshot> version_snapshot::fromJson(const json &value)
{
    if (!hasVersion(value) || !value.contains("document")) {
        return std::nullopt;
    }
    return version_snapshot{value["version"].get<std::uint64_t>(), value["document"], chainOf(value)};
}

std::uint64_t nextChain(std::uint64_t previous, const std::string &submission)
{
    return stableHash(submission, previous);
}

version_log::version_log() : m_base{0, initialDocument(), nextChain(0, {})}, m_chain(m_base.chain), m_document(m_base.document)
{
    updateInForce();
}

bool version_log::append(const version_record &record)
{
    // A log that began with a snapshot of an unknown chain takes the chain of the first record.
    const auto chain = m_chain == 0 ? record.chain : nextChain(m_chain, record.submission);
    if (record.version != m_version + 1 || (record.chain != 0 && record.chain != chain)) {
        return false;
    }
    m_version = record.version;
    m_chain = chain;
    m_document.merge_patch(record.patch);
    m_history.push_back(record);
    m_history.back().chain = chain;
    if (m_history.size() > historyMax) {
        m_base.version = m_history.front().version;
        m_base.chain = m_history.front().chain;
        m_base.document.merge_patch(m_history.front().patch);
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
    m_base = snapshot;
    m_version = snapshot.version;
    m_chain = snapshot.chain;
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

bool version_log::merge(const std::vector<version_record> &records)
{
    replaceFork(records);
    for (const auto &record : records) {
        append(record);
    }
    return records.empty() || m_version >= records.back().version;
}

bool version_log::replaceFork(const std::vector<version_record> &records)
{
    // Step 1. Find the first record that differs
    const auto differs = [this](const version_record &record) {
        return record.version > m_base.version && record.version <= m_version && m_history[record.version - m_base.version - 1].submission != record.submission;
    };
    const auto first = std::find_if(records.begin(), records.end(), differs);
    if (first == records.end() || records.back().version <= m_version) {
        return false;
    }

    // Step 2. All submissions from there on must be among the new records
    const auto keep = static_cast<std::ptrdiff_t>(first->version - m_base.version - 1);
    const bool complete = std::all_of(m_history.begin() + keep, m_history.end(), [&](const version_record &own) {
        return std::any_of(first, records.end(), [&](const version_record &record) { return record.submission == own.submission; });
    });
    if (!complete) {
        return false;
    }

    // Step 3. Build the log anew from its base
    version_log rebuilt;
    rebuilt.m_base = m_base;
    rebuilt.m_version = m_base.version;
    rebuilt.m_chain = m_base.chain;
    rebuilt.m_document = m_base.document;
    rebuilt.m_inForce = m_inForce;
    const bool appended = std::all_of(m_history.begin(), m_history.begin() + keep, [&](const version_record &record) { return rebuilt.append(record); })
        && std::all_of(first, records.end(), [&](const version_record &record) { return rebuilt.append(record); });
    if (appended) {
        *this = std::move(rebuilt);
    }
    return appended;
}

/// @return the chain of a version that this log knows; 0 if it is not known.
std::uint64_t version_log::chainAt(std::uint64_t version) const
{
    if (version == m_version) {
        return m_chain;
    }
    if (version <= m_base.version || version > m_version) {
        return version == m_base.version ? m_base.chain : 0;
    }
    return m_history[version - m_base.version - 1].chain;
}

std::optional<std::vector<version_record>> version_log::recordsAfter(std::uint64_t version, std::uint64_t chain) const
{
    if (version < m_base.version) {
        return std::nullopt;
    }
    const auto own = chainAt(version);
    const bool forked = chain != 0 && own != 0 && own != chain;
    const auto skipped = forked ? 0 : std::min(version, m_version) - m_base.version;
    return std::vector<version_record>(m_history.begin() + static_cast<std::ptrdiff_t>(skipped), m_history.end());
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
