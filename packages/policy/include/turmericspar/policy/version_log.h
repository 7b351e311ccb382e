/// @file version_log.h
/// The numbered versions of the configuration that this node knows to be accepted.
#pragma once

#include "turmericspar/policy/configuration.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace turmericspar {

/// One accepted change, as the platform's store keeps it.
struct version_record
{
    std::uint64_t version = 0;
    std::string submission; ///< chosen by the submitter, so that a lost answer can be told from a lost race
    std::string author;
    std::string reason;
    std::string time; ///< by the accepting node's wall clock, ISO 8601
    nlohmann::json patch; ///< JSON Merge Patch (RFC 7396) against the version before

    nlohmann::json toJson() const;
    /// @return the record, or nothing if the JSON is no record.
    static std::optional<version_record> fromJson(const nlohmann::json &text);
};

/// A whole document at one version.
struct version_snapshot
{
    std::uint64_t version = 0;
    nlohmann::json document;

    nlohmann::json toJson() const;
    static std::optional<version_snapshot> fromJson(const nlohmann::json &text);
};

/// What a patch would make of the present document.
struct patch_check
{
    nlohmann::json document; ///< the whole document after the patch
    std::vector<document_mistake> mistakes; ///< empty if the document would be sound
};

/// The chain of accepted versions. It only ever grows, and is in force as soon as it has grown.
class version_log
{
public:
    version_log();

    /// Appends a version if it is the next one.
    /// @return whether it was appended
    bool append(const version_record &record);

    /// Goes on from a snapshot if it is sound and newer than what is known.
    /// @return whether it was taken
    bool restore(const version_snapshot &snapshot);

    /// @return what a patch against the present version would give.
    patch_check check(const nlohmann::json &patch) const;

    std::uint64_t version() const { return m_version; }
    const nlohmann::json &document() const { return m_document; }
    const configuration &inForce() const { return m_inForce; }

    /// @return the records after a version, oldest first; nothing if they do not reach back so far.
    std::optional<std::vector<version_record>> since(std::uint64_t version) const;
    /// @return the records that are kept, oldest first.
    const std::deque<version_record> &history() const { return m_history; }

private:
    void takeEffect();

    std::uint64_t m_version = 0;
    nlohmann::json m_document;
    configuration m_inForce;
    std::deque<version_record> m_history;
};

} // namespace turmericspar
