#include "turmericspar/policy/call_dispatcher.h"

#include <algorithm>

namespace turmericspar {

call_dispatcher::call_dispatcher(const tunables &tuning, policy_mode mode, load_balancer &routes)
    : m_tuning(tuning), m_mode(mode), m_routes(routes), m_levels(tuning)
{
}

std::string call_dispatcher::levelKey(const std::string &service, const std::string &klass) const
{
    return service + '\n' + klass;
}

double call_dispatcher::reportedLevel(const std::string &service, const std::string &klass, millis now)
{
    return m_levels.current(levelKey(service, klass), now);
}

void call_dispatcher::submit(call_id id, const std::string &service, const call_context &context, millis now, std::vector<dispatch_action> &actions)
{
    pending_call call;
    call.service = service;
    call.context = context;

    // Step 1. Refuse a new request that the service would shed, before it uses any resources
    const bool isRoot = context.depth == 0;
    const bool shed = m_mode == policy_mode::full && isRoot && context.priority.importance() < reportedLevel(service, context.klass, now);
    auto &budget = m_retryBudgets[service];
    budget.setRate(0, m_tuning.retryBurst);
    budget.add(m_tuning.retryRatio);
    m_deadlines.emplace(context.deadline, id);
    auto &pending = m_calls.emplace(id, std::move(call)).first->second;
    if (shed) {
        finish(id, call_outcome::not_run, refusal_reason::overload, false, false, actions);
        return;
    }

    // Step 2. Forward it to an upstream
    forward(id, pending, now, actions);
}

void call_dispatcher::forward(call_id id, pending_call &call, millis now, std::vector<dispatch_action> &actions)
{
    const bool roundRobin = m_mode == policy_mode::none;
    const auto standing = call_standing::of(call.context);
    const node_id node = roundRobin ? m_routes.chooseRoundRobin(call.service, call.tried) : m_routes.choose(call.service, call.tried, now, standing);
    if (node.empty()) {
        // Unknown services were rejected earlier: the service exists but has no available upstream, or none with room for this call.
        const auto outcome = call.mayHaveRun ? call_outcome::unknown : call_outcome::not_run;
        call.retryIn = m_routes.timeToRoom(call.service, standing, now);
        const auto reason = call.retryIn.count > 0 ? refusal_reason::overload : refusal_reason::no_upstream;
        finish(id, outcome, reason, call.attempt > 0, call.attempt > 0, actions);
        return;
    }
    sendTo(node, id, call, now, actions);
}

void call_dispatcher::sendTo(const node_id &node, call_id id, pending_call &call, millis now, std::vector<dispatch_action> &actions)
{
    ++call.attempt;
    call.node = node;
    call.sentAt = now;
    call.tried.push_back(node);
    // Keep one retry for the case that the serving node is lost together with all retries granted to it.
    const int retriesLeft = call.context.retries - call.retriesUsed;
    call.retriesGranted = retriesLeft > 1 ? retriesLeft - 1 : retriesLeft;
    m_routes.sent(node);
    dispatch_action action;
    action.type = dispatch_action::action_type::forward;
    action.id = id;
    action.attempt = call.attempt;
    action.node = node;
    action.retries = call.retriesGranted;
    actions.push_back(std::move(action));
}

void call_dispatcher::finish(call_id id, call_outcome outcome, refusal_reason reason, bool useAnswer, bool finalFailure, std::vector<dispatch_action> &actions)
{
    const auto found = m_calls.find(id);
    dispatch_action action;
    action.type = dispatch_action::action_type::finish;
    action.id = id;
    action.attempt = found->second.attempt;
    action.outcome = outcome;
    action.reason = reason;
    action.useAnswer = useAnswer;
    action.finalFailure = finalFailure;
    action.retriesUsed = found->second.retriesUsed;
    action.retryIn = found->second.retryIn;
    m_deadlines.erase({found->second.context.deadline, id});
    m_calls.erase(found);
    actions.push_back(std::move(action));
}

/// @return whether a call is sent to the node that the serving node named. A second one that names another knows other members, so that this ends.
bool call_dispatcher::mayRedirect(const pending_call &call, const attempt_result &result)
{
    const bool tried = std::find(call.tried.begin(), call.tried.end(), result.tryAt) != call.tried.end();
    return result.outcome == call_outcome::not_run && !result.tryAt.empty() && !call.withdrawn && !call.redirected && !tried;
}

/// @return whether a call that certainly did not run may be sent to another upstream. This does not use a retry of the request.
bool call_dispatcher::mayReroute(const pending_call &call, const attempt_result &result, millis now)
{
    const bool rateLimited = result.roomIn.count > 0;
    if (call.withdrawn || result.outcome != call_outcome::not_run || call.reroutes >= (rateLimited ? m_tuning.reroutesForRoom : m_tuning.reroutes)) {
        return false;
    }
    switch (result.reason) {
    case refusal_reason::draining:
    case refusal_reason::stale:
    case refusal_reason::unreachable:
    case refusal_reason::no_upstream:
    case refusal_reason::shutting_down:
    case refusal_reason::in_doubt:
        return true;
    case refusal_reason::overload:
    case refusal_reason::shed_by_upstream:
        // An admitted request has already used resources, so it is tried elsewhere. A new request is not sent to an overloaded service again.
        // The rate limit of one upstream says nothing about the others of the service.
        if (m_mode == policy_mode::none || rateLimited) {
            return true;
        }
        // A refusal by the upstream itself means that the call reached it: sending it again counts against the retry budget of the service.
        return call.context.depth > 0 && (result.reason == refusal_reason::overload || m_retryBudgets[call.service].take(now));
    default:
        return false;
    }
}

/// @return whether a call that may have run is to be retried; if so, takes the retry from the budgets.
bool call_dispatcher::mayRetry(pending_call &call, const attempt_result &result, millis now)
{
    const bool failed = result.outcome == call_outcome::unknown || result.serverError;
    if (!failed || call.withdrawn || call.context.intent == call_intent::once) {
        return false;
    }
    const bool budgetLeft = call.retriesUsed < call.context.retries;
    if (m_mode == policy_mode::none) {
        return call.attempt <= m_tuning.retriesPerRequest;
    }
    const millis latency = m_routes.latency(call.node);
    const bool inTime = call.context.deadline - now > latency * m_tuning.serviceTimeMargin;
    if (!budgetLeft || result.finalFailure || !inTime || !m_retryBudgets[call.service].take(now)) {
        return false;
    }
    ++call.retriesUsed;
    ++m_retriesSpent;
    return true;
}

void call_dispatcher::replied(call_id id, int attempt, const attempt_result &result, millis now, std::vector<dispatch_action> &actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.attempt != attempt) {
        return;
    }
    auto &call = found->second;

    // Step 1. Update the statistics of the upstream and the shed level of the service
    response_sample sample;
    sample.latency = now - call.sentAt;
    sample.success = result.outcome == call_outcome::ran && !result.serverError;
    sample.refused = result.outcome == call_outcome::not_run;
    sample.unreachable = result.reason == refusal_reason::unreachable;
    sample.limit = result.limit;
    sample.pending = result.pending;
    sample.rateLimited = result.roomIn.count > 0;
    m_routes.done(call.node, true, sample, now);
    if (sample.rateLimited) {
        m_routes.recordNoRoom(call.node, call_standing::of(call.context), now + result.roomIn, now);
    }
    call.retryIn = result.roomIn;
    if (result.outcome != call_outcome::unknown) {
        m_levels.report(levelKey(call.service, call.context.klass), result.level, now);
    }
    call.retriesUsed += std::clamp(result.retriesUsed, 0, call.retriesGranted);

    // Step 2. Send it to another upstream if it was not run
    if (mayRedirect(call, result)) {
        call.redirected = true;
        sendTo(result.tryAt, id, call, now, actions);
        return;
    }
    if (mayReroute(call, result, now)) {
        ++call.reroutes;
        forward(id, call, now, actions);
        return;
    }

    // Step 3. Retry it if that is allowed
    if (mayRetry(call, result, now)) {
        call.mayHaveRun = true;
        forward(id, call, now, actions);
        return;
    }

    // Step 4. Answer the caller
    const bool failed = result.outcome != call_outcome::ran || result.serverError;
    auto outcome = result.outcome;
    if (outcome == call_outcome::not_run && call.mayHaveRun) {
        outcome = call_outcome::unknown;
    }
    finish(id, outcome, result.reason, true, failed, actions);
}

void call_dispatcher::nodeLost(const node_id &node, millis now, std::vector<dispatch_action> &actions)
{
    std::vector<std::pair<call_id, int>> interrupted;
    for (const auto &[id, call] : m_calls) {
        if (call.node == node) {
            interrupted.emplace_back(id, call.attempt);
        }
    }
    for (const auto &[id, attempt] : interrupted) {
        attempt_result result;
        result.outcome = call_outcome::unknown;
        result.reason = refusal_reason::unreachable;
        // A lost node may have used all retries granted to it.
        result.retriesUsed = m_calls.at(id).retriesGranted;
        replied(id, attempt, result, now, actions);
    }
}

/// Cancels an attempt at the serving node. Pass-through mode does not cancel attempts.
void call_dispatcher::cancelAttempt(call_id id, const pending_call &call, millis now, std::vector<dispatch_action> &actions)
{
    m_routes.done(call.node, false, {}, now);
    if (m_mode == policy_mode::none) {
        return;
    }
    dispatch_action cancel;
    cancel.type = dispatch_action::action_type::cancel;
    cancel.id = id;
    cancel.attempt = call.attempt;
    cancel.node = call.node;
    actions.push_back(std::move(cancel));
}

void call_dispatcher::abandon(call_id id, millis now, std::vector<dispatch_action> &actions)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const auto &call = found->second;
    cancelAttempt(id, call, now, actions);
    m_deadlines.erase({call.context.deadline, id});
    m_calls.erase(found);
}

void call_dispatcher::withdraw(const std::function<bool(const call_context &)> &which, std::vector<dispatch_action> &actions)
{
    for (auto &[id, call] : m_calls) {
        if (call.withdrawn || !which(call.context)) {
            continue;
        }
        call.withdrawn = true;
        dispatch_action action;
        action.type = dispatch_action::action_type::withdraw;
        action.id = id;
        action.attempt = call.attempt;
        action.node = call.node;
        actions.push_back(std::move(action));
    }
}

std::optional<millis> call_dispatcher::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional<millis>(m_deadlines.begin()->first);
}

void call_dispatcher::tick(millis now, std::vector<dispatch_action> &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const call_id id = m_deadlines.begin()->second;
        cancelAttempt(id, m_calls.at(id), now, actions);
        finish(id, call_outcome::unknown, refusal_reason::deadline, false, true, actions);
    }
}

} // namespace turmericspar
