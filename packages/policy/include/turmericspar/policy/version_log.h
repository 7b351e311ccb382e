/// @file version_log.h
/// The log of accepted configuration versions that this node knows.
#pragma once

#include "turmericspar/policy/configuration.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace turmericspar {

/// One accepted change, as stored in the platform's store.
struct version_record
{
    std::uint64_t version = 0;
    std::string submission; ///< id chosen by the submitter: if its answer is lost, it shows whether this version is its own or a competing one
    std::string author;
    std::string reason;
    std::string time; ///< wall clock of the accepting node, ISO 8601
    nlohmann::json patch; ///< JSON Merge Patch (RFC 7396) against the previous version

    nlohmann::json toJson() const;
    /// @return the record, or nothing if the JSON is malformed.
    static std::optional<version_record> fromJson(const nlohmann::json &value);
};

/// The whole document at one version.
struct version_snapshot
{
    std::uint64_t version = 0;
    nlohmann::json document;

    nlohmann::json toJson() const;
    /// @return the snapshot, or nothing if the JSON is malformed.
    static std::optional<version_snapshot> fromJson(const nlohmann::json &value);
};

/// The result of applying a patch to the current document, as a trial.
struct patch_check
{
    nlohmann::json document; ///< the whole document after the patch
    std::vector<document_error> errors; ///< empty if the document is valid
};

/// The accepted versions in order. The version number never decreases, and a new version is in force at once if its document is valid.
class version_log
{
public:
    version_log();

    /// Appends a record if its version is the next one.
    /// @return whether it was appended
    bool append(const version_record &record);

    /// Replaces the document by a snapshot if that is valid and newer; the records before it are dropped.
    /// @return whether the snapshot was accepted
    bool restore(const version_snapshot &snapshot);

    /// Applies a patch to a copy of the current document, and validates the result.
    patch_check check(const nlohmann::json &patch) const;

    std::uint64_t version() const { return m_version; }
    const nlohmann::json &document() const { return m_document; }
    const configuration &inForce() const { return m_inForce; }

    /// @return the records after a version, oldest first; nothing if they are not all kept.
    std::optional<std::vector<version_record>> recordsAfter(std::uint64_t version) const;
    /// @return all kept records, oldest first.
    const std::deque<version_record> &history() const { return m_history; }

private:
    void updateInForce();

    std::uint64_t m_version = 0;
    nlohmann::json m_document;
    configuration m_inForce;
    std::deque<version_record> m_history;
};

} // namespace turmericspar
