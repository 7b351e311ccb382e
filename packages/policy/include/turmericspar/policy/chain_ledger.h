/// @file chain_ledger.h
/// What the node beside an upstream keeps for each call that runs there: the retries left for it and the calls it makes.
#pragma once

#include "turmericspar/policy/call.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace turmericspar {

/// What remains to be told of a call when it has ended.
struct chain_summary
{
    int retriesUsed = 0; ///< by the call's own calls and all below them
    bool finalFailure = false; ///< whether a call below was given up, so that hops above must not retry
    millis waited; ///< time for which the call waited for its own calls
    std::vector<call_id> unfinished; ///< its own calls that still run
};

/// Retries for a whole request, shared out along its tree of calls so that their sum stays bounded.
class chain_ledger
{
public:
    /// Begins the account of a call.
    void open(call_id parent, const call_context &context);

    /// Adds a call made for a running one.
    /// @return the context of the new call, with the retries granted to it; nothing if the parent does not run or is doomed
    std::optional<call_context> addChild(call_id parent, call_id child, millis now);

    /// Ends a call made for a running one and takes back the retries that it did not use.
    void childEnded(call_id parent, call_id child, int retriesUsed, bool finalFailure, millis now);

    /// Notes that a call will fail whatever its other calls bring; it is given no further ones.
    /// @return its calls that still run, and are of no use any more
    std::vector<call_id> doom(call_id parent);

    /// Ends the account.
    chain_summary close(call_id parent, millis now);

    /// @return the context of a running call, or nullptr.
    const call_context *find(call_id parent) const;
    std::size_t size() const { return m_accounts.size(); }

private:
    struct account
    {
        call_context context;
        int left = 0;
        int used = 0;
        bool finalFailure = false;
        bool doomed = false;
        millis waited{0};
        millis waitingSince{0};
        std::unordered_map<call_id, int> grants;
    };

    std::unordered_map<call_id, account> m_accounts;
};

} // namespace turmericspar
