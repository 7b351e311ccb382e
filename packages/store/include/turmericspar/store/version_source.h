/// @file version_source.h
/// The interface of a source of numbered configuration versions.
#pragma once

#include "turmericspar/policy/version_log.h"

#include <functional>
#include <string>

namespace turmericspar {

/// The result of submitting a patch.
enum class submission_verdict {
    accepted,
    conflict, ///< the current version differs from the base that the patch was stated against
    invalid, ///< the resulting document would not pass validation
    unavailable, ///< not accepted: the store could not be reached
    not_known, ///< may have been accepted; the operator should retry with the same submission id
};

/// The answer to a submitted patch.
struct submission_result
{
    submission_verdict verdict = submission_verdict::not_known;
    std::uint64_t version = 0; ///< the accepted version, otherwise the current one
    std::vector<document_error> mistakes;
    std::string detail;
};

/// Keeps a version log synchronized with the store.
class version_source
{
public:
    using submission_handler = std::function<void(submission_result)>;

    virtual ~version_source() = default;

    /// Starts or stops watching the store.
    virtual void setWatching(bool watching) = 0;
    virtual bool watching() const = 0;
    /// Reads the store once.
    virtual void refresh(std::function<void(bool reached)> done) = 0;
    /// Submits a patch stated against version `base`.
    virtual void submit(version_record record, std::uint64_t base, submission_handler done) = 0;
    /// Makes the store hold the versions of the log again, at a node whose versions another node does not share.
    virtual void repair() { }
    /// @return whether the last read or watch of the store succeeded.
    virtual bool reachable() const = 0;
};

} // namespace turmericspar
