#include "turmericspar/policy/child_call_tracker.h"

#include <algorithm>

namespace turmericspar {

void child_call_tracker::open(call_id parent, const call_context &context)
{
    parent_state state;
    state.context = context;
    state.retriesLeft = context.retries;
    m_parents.emplace(parent, std::move(state));
}

std::optional<call_context> child_call_tracker::addChild(call_id parent, call_id child, millis now)
{
    const auto found = m_parents.find(parent);
    if (found == m_parents.end() || found->second.failed) {
        return std::nullopt;
    }
    auto &state = found->second;
    // Half of the remaining retries, rounded up: parallel calls each get some, and unused retries are available to the next call.
    const int grant = (state.retriesLeft + 1) / 2;
    state.retriesLeft -= grant;
    if (state.grantedRetries.empty()) {
        state.waitingSince = now;
    }
    state.grantedRetries.emplace(child, grant);
    call_context context = state.context;
    ++context.depth;
    // The idempotency key identifies the parent's run, not the runs of its child calls.
    context.idempotencyKey.clear();
    context.permit = 0;
    context.retries = grant;
    return context;
}

void child_call_tracker::childEnded(call_id parent, call_id child, int retriesUsed, bool finalFailure, millis now)
{
    const auto found = m_parents.find(parent);
    if (found == m_parents.end()) {
        return;
    }
    auto &state = found->second;
    const auto grant = state.grantedRetries.find(child);
    if (grant == state.grantedRetries.end()) {
        return;
    }
    const int used = std::clamp(retriesUsed, 0, grant->second);
    state.retriesLeft += grant->second - used;
    state.retriesUsed += used;
    state.finalFailure = state.finalFailure || finalFailure;
    state.grantedRetries.erase(grant);
    if (state.grantedRetries.empty()) {
        state.waited += now - state.waitingSince;
    }
}

std::vector<call_id> child_call_tracker::markFailed(call_id parent)
{
    std::vector<call_id> obsolete;
    const auto found = m_parents.find(parent);
    if (found == m_parents.end()) {
        return obsolete;
    }
    found->second.failed = true;
    for (const auto &[child, grant] : found->second.grantedRetries) {
        obsolete.push_back(child);
    }
    return obsolete;
}

child_call_summary child_call_tracker::close(call_id parent, millis now)
{
    child_call_summary summary;
    const auto found = m_parents.find(parent);
    if (found == m_parents.end()) {
        return summary;
    }
    auto &state = found->second;
    summary.retriesUsed = state.retriesUsed;
    summary.finalFailure = state.finalFailure;
    summary.waited = state.waited;
    if (!state.grantedRetries.empty()) {
        summary.waited += now - state.waitingSince;
    }
    for (const auto &[child, grant] : state.grantedRetries) {
        // A call that is still running may use all retries granted to it.
        summary.retriesUsed += grant;
        summary.unfinished.push_back(child);
    }
    m_parents.erase(found);
    return summary;
}

const call_context *child_call_tracker::find(call_id parent) const
{
    const auto found = m_parents.find(parent);
    return found == m_parents.end() ? nullptr : &found->second.context;
}

} // namespace turmericspar
