/// @file version_source.h
/// Where the numbered configuration versions come from.
#pragma once

#include "turmericspar/policy/version_log.h"

#include <functional>
#include <string>

namespace turmericspar {

/// What became of a submitted patch.
struct submission_result
{
    enum class verdict {
        accepted,
        conflict, ///< the present version is another one
        invalid, ///< the document would not be sound
        unavailable, ///< not accepted: the store could not be reached
        not_known, ///< it may have been accepted; ask again with the same submission id
    };
    verdict what = verdict::not_known;
    std::uint64_t version = 0; ///< the accepted or the present version
    std::vector<document_error> mistakes;
    std::string detail;
};

/// Keeps a version log in step with the store.
class version_source
{
public:
    using submission_handler = std::function<void(submission_result)>;

    virtual ~version_source() = default;

    /// Starts or ends watching the store.
    virtual void setWatching(bool watching) = 0;
    virtual bool watching() const = 0;
    /// Reads the store once.
    virtual void refresh(std::function<void(bool reached)> done) = 0;
    /// Submits a patch stated against a version.
    virtual void submit(version_record record, std::uint64_t base, submission_handler done) = 0;
    /// @return whether the last contact with the store succeeded.
    virtual bool reachable() const = 0;
};

} // namespace turmericspar
