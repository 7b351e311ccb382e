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
    std::uint64_t chain = 0; ///< identifies the sequence of submissions up to this one; 0 in records of earlier releases

    nlohmann::json toJson() const;
    /// @return the record, or nothing if the JSON is malformed.
    static std::optional<version_record> fromJson(const nlohmann::json &value);
};

/// The whole document at one version.
struct version_snapshot
{
    std::uint64_t version = 0;
    nlohmann::json document;
    std::uint64_t chain = 0; ///< of the version; 0 if it is not known, as in documents that operators write to the store themselves

    nlohmann::json toJson() const;
    /// @return the snapshot, or nothing if the JSON is malformed.
    static std::optional<version_snapshot> fromJson(const nlohmann::json &value);
};

/// @return the chain of the version that a submission creates after the version with a given chain.
std::uint64_t nextChain(std::uint64_t previous, const std::string &submission);

/// The result of applying a patch to the current document, as a trial.
struct patch_check
{
    nlohmann::json document; ///< the whole document after the patch
    std::vector<document_error> errors; ///< empty if the document is valid
};

/// The accepted versions in order. The version number never decreases, and a new version is in force at once if its document is valid.
/// A number alone does not identify a version: after the store has lost versions, it may give their numbers to other submissions. The chain does.
class version_log
{
public:
    version_log();

    /// Appends a record if its version is the next one, and follows the same submissions as this log.
    /// @return whether it was appended
    bool append(const version_record &record);

    /// Replaces the document by a snapshot if that is valid and newer; the records before it are dropped.
    /// @return whether the snapshot was accepted
    bool restore(const version_snapshot &snapshot);

    /// Takes over records of the store or of another node: appends those that follow, or, if they have other submissions under numbers of this
    /// log, replaces its records if that loses no submission and reaches a later version.
    /// @param records consecutive records, oldest first
    /// @return whether this log is now at the last of them or later
    bool merge(const std::vector<version_record> &records);

    /// Applies a patch to a copy of the current document, and validates the result.
    patch_check check(const nlohmann::json &patch) const;

    std::uint64_t version() const { return m_version; }
    std::uint64_t chain() const { return m_chain; }
    const nlohmann::json &document() const { return m_document; }
    /// @return the present version as a whole.
    version_snapshot snapshot() const { return {m_version, m_document, m_chain}; }
    const configuration &inForce() const { return m_inForce; }

    /// @return the records after a version, oldest first; all kept ones if this log has other submissions under the numbers up to that
    /// version, as its chain shows; nothing if they are not all kept.
    std::optional<std::vector<version_record>> recordsAfter(std::uint64_t version, std::uint64_t chain) const;
    /// @return all kept records, oldest first.
    const std::deque<version_record> &history() const { return m_history; }

private:
    bool replaceFork(const std::vector<version_record> &records);
    std::uint64_t chainAt(std::uint64_t version) const;
    void updateInForce();

    version_snapshot m_base; ///< the version before the first kept record
    std::uint64_t m_version = 0;
    std::uint64_t m_chain = 0;
    nlohmann::json m_document;
    configuration m_inForce;
    std::deque<version_record> m_history;
};

} // namespace turmericspar
