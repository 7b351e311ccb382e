#include "turmericspar/policy/chain_ledger.h"

#include <algorithm>

namespace turmericspar {

void chain_ledger::open(call_id parent, const call_context &context)
{
    account made;
    made.context = context;
    made.left = context.retries;
    m_accounts.emplace(parent, std::move(made));
}

std::optional<call_context> chain_ledger::addChild(call_id parent, call_id child, millis now)
{
    const auto found = m_accounts.find(parent);
    if (found == m_accounts.end() || found->second.doomed) {
        return std::nullopt;
    }
    auto &account = found->second;
    // Half of what is left, rounded up: calls side by side each get something, and what one leaves the next may use.
    const int grant = (account.left + 1) / 2;
    account.left -= grant;
    if (account.grants.empty()) {
        account.waitingSince = now;
    }
    account.grants.emplace(child, grant);
    call_context context = account.context;
    ++context.depth;
    // The key names the parent's run, not those of its calls.
    context.onceKey.clear();
    context.permit = 0;
    context.retries = grant;
    return context;
}

void chain_ledger::childEnded(call_id parent, call_id child, int retriesUsed, bool finalFailure, millis now)
{
    const auto found = m_accounts.find(parent);
    if (found == m_accounts.end()) {
        return;
    }
    auto &account = found->second;
    const auto grant = account.grants.find(child);
    if (grant == account.grants.end()) {
        return;
    }
    const int used = std::clamp(retriesUsed, 0, grant->second);
    account.left += grant->second - used;
    account.used += used;
    account.finalFailure = account.finalFailure || finalFailure;
    account.grants.erase(grant);
    if (account.grants.empty()) {
        account.waited += now - account.waitingSince;
    }
}

std::vector<call_id> chain_ledger::doom(call_id parent)
{
    std::vector<call_id> useless;
    const auto found = m_accounts.find(parent);
    if (found == m_accounts.end()) {
        return useless;
    }
    found->second.doomed = true;
    for (const auto &[child, grant] : found->second.grants) {
        useless.push_back(child);
    }
    return useless;
}

chain_summary chain_ledger::close(call_id parent, millis now)
{
    chain_summary summary;
    const auto found = m_accounts.find(parent);
    if (found == m_accounts.end()) {
        return summary;
    }
    auto &account = found->second;
    summary.retriesUsed = account.used;
    summary.finalFailure = account.finalFailure;
    summary.waited = account.waited;
    if (!account.grants.empty()) {
        summary.waited += now - account.waitingSince;
    }
    for (const auto &[child, grant] : account.grants) {
        // What a call that still runs was granted may yet be used.
        summary.retriesUsed += grant;
        summary.unfinished.push_back(child);
    }
    m_accounts.erase(found);
    return summary;
}

const call_context *chain_ledger::find(call_id parent) const
{
    const auto found = m_accounts.find(parent);
    return found == m_accounts.end() ? nullptr : &found->second.context;
}

} // namespace turmericspar
