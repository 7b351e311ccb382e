/// @file call_entry.cpp
/// The entry side of the call path: from the caller to a serving node, and back.
#include "call_path.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "turmericspar/base/problem.h"
#include "turmericspar/node/wire.h"

#include <cmath>
#include <fmt/format.h>

namespace turmericspar {

namespace {

constexpr int firstServerErrorStatus = 500;
constexpr int statusUnavailable = 503;

/// @return whether a status tells the caller that the call did not run, on interfaces where a status alone proves it.
bool provesNotRunToCaller(std::uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Interval between two checks of a key whose first attempt still runs.
constexpr millis recheckInterval{100};

} // namespace

bool isServerError(std::uint32_t status)
{
    return status >= firstServerErrorStatus;
}

void call_path::accept(const http_exchange_ptr &exchange)
{
    std::optional<call_error> error;
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto description = describeCall(exchange->request(), m_profile.calls, m_callbacks.configurationInForce(), draw, error);
    if (!m_callbacks.configurationUsable()) {
        refuseImmediately(exchange, description, refusal_reason::unconfigured, "the latest configuration is not known yet");
    } else if (error) {
        refuseImmediately(exchange, description, error->reason, error->detail);
    } else if (m_suspects.level(digestOf(description.service, exchange->request()), monotonicNow()) == suspicion_level::convicted) {
        refuseImmediately(exchange, description, refusal_reason::suspect, "upstreams crashed when they ran this request");
    } else if (!isKnownService(description.service)) {
        refuseImmediately(exchange, description, refusal_reason::unknown_service, "no upstream ever announced this service");
    } else {
        beginEntry(exchange, description);
    }
}

/// @return whether the service has ever been announced by an upstream, or is declared in the configuration.
bool call_path::isKnownService(const std::string &service) const
{
    return m_routes.knows(service) || m_callbacks.configurationInForce().services.contains(service);
}

void call_path::refuseImmediately(const http_exchange_ptr &exchange, const call_description &description, refusal_reason reason, const std::string &detail)
{
    entry_call refused;
    // Undeclared names must not become metric labels, whose number would then be unbounded.
    refused.service = isKnownService(description.service) ? description.service : "unknown";
    refused.context.root = description.requestId;
    refused.rank = description.rank;
    refused.arrivedAt = monotonicNow();
    refused.context.deadline = refused.arrivedAt + description.timeout.value_or(description.classDeadline);
    recordEntryCall(refused, call_outcome::not_run, reason);
    exchange->respond(refusalResponse(reason, call_outcome::not_run, detail));
}

/// Gives the call the context of a root request: one that is made for no other call.
void call_path::assignRootContext(entry_call &call, const call_description &description, millis now)
{
    auto &context = call.context;
    context.root = description.requestId.empty() ? toHex(randomBytes(16)) : description.requestId;
    context.klass = description.klass;
    context.priority.rank = description.rank;
    context.priority.tieBreaker = static_cast<std::uint32_t>(stableHash(context.root));
    context.deadline = now + description.timeout.value_or(description.classDeadline);
    const auto &declared = m_callbacks.configurationInForce();
    const auto service = declared.services.find(description.service);
    const bool serviceHasRetries = service != declared.services.end() && service->second.retries;
    context.retries = serviceHasRetries ? *service->second.retries : declared.retriesPerRequest;
    if (const auto *route = description.declaredRoute) {
        context.retries = route->attempts - 1;
        context.deadline = std::min(context.deadline, now + route->timeout.value_or(context.deadline - now));
    }
}

/// Derives the context of a call from the parent call for which it is made; a call without a parent gets the context of a root request.
/// @return false if the parent has ended or is certain to fail, so that the call must be refused
bool call_path::assignContext(entry_call &call, call_id id, const call_description &description, millis now)
{
    assignRootContext(call, description, now);
    const call_context rootContext = call.context;

    // Step 1. The parent named by the request
    if (!description.parent.empty()) {
        call.parent = parentFromToken(description.parent);
        const auto context = m_childCalls.addChild(call.parent, id, now);
        if (!context) {
            return false;
        }
        call.context = *context;
        call.requiredByParent = description.needed;
        if (description.timeout) {
            call.context.deadline = std::min(call.context.deadline, now + *description.timeout);
        }
        return true;
    }
    if (!m_profile.calls.context.empty()) {
        return true;
    }

    // Step 2. On interfaces where requests name no parent: infer it from the calls running at this node's upstream
    const auto deadline = description.timeout ? std::optional<millis>(now + *description.timeout) : std::nullopt;
    const auto parent = m_upstreamCalls.find(m_parents.find(description.klass, deadline, now));
    if (parent != m_upstreamCalls.end()) {
        call.inferredParent = parent->first;
        m_parents.childStarted(call.inferredParent, description.klass);
        // The call inherits the importance of the inferred parent, but is not cancelled when the parent ends:
        // with many calls running, the inference is sometimes wrong.
        call.context = parent->second.context;
        ++call.context.depth;
        call.context.intent = rootContext.intent;
        call.context.idempotencyKey.clear();
        call.context.permit = 0;
    }
    call.context.root = rootContext.root;
    call.context.retries = std::min(call.context.retries, rootContext.retries);
    call.context.deadline = rootContext.deadline;
    return true;
}

void call_path::beginEntry(const http_exchange_ptr &exchange, const call_description &description)
{
    const millis now = monotonicNow();
    const call_id id = m_nextCallId++;
    entry_call call;
    call.exchange = exchange;
    call.service = description.service;
    call.arrivedAt = now;

    // Step 1. Assign the context: derived from the parent call, or that of a root request
    if (!assignContext(call, id, description, now)) {
        refuseImmediately(exchange, description, refusal_reason::cancelled, "the call for which this one is made has ended");
        return;
    }
    const bool madeForRunningCall = call.parent != 0 || call.inferredParent != 0;
    if (!takesRequest(m_stop, madeForRunningCall, call.context.deadline, now)) {
        m_childCalls.childEnded(call.parent, id, 0, false, now);
        m_parents.childEnded(call.inferredParent, now);
        refuseImmediately(exchange, description, refusal_reason::shutting_down, "the request was complete too late in the stop of this node");
        return;
    }
    call.context.intent = description.intent;
    call.klass = call.context.klass;
    call.rank = call.context.priority.rank;

    // Step 2. Abandon the call if its caller disconnects
    exchange->onAborted([this, id] {
        std::vector<dispatch_action> actions;
        const millis disconnectedAt = monotonicNow();
        m_entry.abandon(id, disconnectedAt, actions);
        const auto found = m_entryCalls.find(id);
        if (found != m_entryCalls.end()) {
            m_childCalls.childEnded(found->second.parent, id, found->second.context.retries, false, disconnectedAt);
            m_parents.childEnded(found->second.inferredParent, disconnectedAt);
            recordEntryCall(found->second, call_outcome::unknown, refusal_reason::cancelled);
            m_entryCalls.erase(found);
        }
        execute(actions);
    });

    // Step 3. A call that may be a resend of an at-most-once request has its key checked first
    const bool keyed = call.context.intent == call_intent::once && !description.idempotencyKey.empty();
    if (keyed) {
        call.context.idempotencyKey = description.idempotencyKey;
    }
    m_entryCalls.emplace(id, std::move(call));
    if (keyed && !description.firstAttempt && m_settings.mode == policy_mode::full) {
        checkKey(id);
    } else {
        submit(id);
    }
}

/// Asks the nodes that may have run the key of a call what became of it.
void call_path::checkKey(call_id id)
{
    const auto found = m_entryCalls.find(id);
    if (found != m_entryCalls.end()) {
        const auto &call = found->second;
        m_once.check(call.service, call.context.idempotencyKey, [this, id](const key_check_result &result) { onKeyChecked(id, result); });
    }
}

void call_path::submit(call_id id)
{
    const auto found = m_entryCalls.find(id);
    if (found == m_entryCalls.end()) {
        return;
    }
    const auto service = found->second.service;
    const auto context = found->second.context;
    std::vector<dispatch_action> actions;
    m_entry.submit(id, service, context, monotonicNow(), actions);
    execute(actions);
    scheduleTickForDeadline();
}

/// Submits, delays or answers a call according to the result of its key check.
void call_path::onKeyChecked(call_id id, const key_check_result &result)
{
    const auto found = m_entryCalls.find(id);
    if (found == m_entryCalls.end()) {
        return;
    }
    if (result.verdict == inquiry_verdict::run) {
        found->second.context.permit = result.permit;
        submit(id);
        return;
    }
    const bool mayWait = found->second.context.deadline - monotonicNow() > recheckInterval * 2;
    if (result.verdict == inquiry_verdict::running && mayWait) {
        found->second.recheckTimer = m_loop.after(recheckInterval, [this, id] { checkKey(id); });
        return;
    }
    dispatch_action action;
    action.type = dispatch_action::action_type::finish;
    action.id = id;
    action.outcome = call_outcome::unknown;
    action.reason = result.verdict == inquiry_verdict::in_doubt ? refusal_reason::in_doubt : refusal_reason::duplicate;
    auto reply = std::make_unique<wire::CallReply>();
    if (result.verdict == inquiry_verdict::finished && reply->ParseFromString(result.answer) && reply->status() != 0) {
        action.outcome = call_outcome::ran;
        action.reason = refusal_reason::none;
        action.useAnswer = true;
        found->second.reply = std::move(reply);
    }
    finish(action);
}

void call_path::execute(const std::vector<dispatch_action> &actions)
{
    for (const auto &action : actions) {
        switch (action.type) {
        case dispatch_action::action_type::forward:
            forward(action);
            break;
        case dispatch_action::action_type::finish:
            finish(action);
            break;
        case dispatch_action::action_type::cancel: {
            wire::CallCancel cancel;
            cancel.set_call(action.id);
            cancel.set_attempt(static_cast<std::uint32_t>(action.attempt));
            if (action.node == m_self) {
                onCancel({}, cancel);
            } else {
                m_callbacks.sendCancel(action.node, cancel);
            }
            break;
        }
        case dispatch_action::action_type::withdraw: {
            wire::CallWithdrawal withdrawal;
            withdrawal.set_call(action.id);
            withdrawal.set_attempt(static_cast<std::uint32_t>(action.attempt));
            if (action.node == m_self) {
                onWithdrawal({}, withdrawal);
            } else {
                m_callbacks.sendWithdrawal(action.node, withdrawal);
            }
            break;
        }
        }
    }
}

/// @return a caller's request as it is sent to a serving node: without hop-by-hop fields and the fields that control the call.
http_request call_path::outgoingRequest(const entry_call &call) const
{
    http_request request = call.exchange->request();
    removeCallFields(m_profile.calls, request.fields);
    request.fields.removeHopByHop();
    // The serving node sets these from the call's context.
    request.fields.remove(m_profile.calls.requestId);
    request.fields.remove(m_profile.calls.deadline);
    request.fields.remove("Content-Length");
    return request;
}

void call_path::forward(const dispatch_action &action)
{
    const auto found = m_entryCalls.find(action.id);
    if (found == m_entryCalls.end()) {
        return;
    }
    auto &call = found->second;
    call.sentTo += (call.sentTo.empty() ? "" : " ") + action.node;
    auto request = outgoingRequest(call);
    call_context context = call.context;
    context.retries = action.retries;
    const auto attempt = static_cast<std::uint32_t>(action.attempt);
    if (action.node == m_self) {
        serve({true, false, {}, action.id, attempt}, context, std::move(request), m_settings.service);
        return;
    }
    wire::CallRequest out;
    out.set_call(action.id);
    out.set_attempt(attempt);
    out.set_service(call.service);
    out.set_root(context.root);
    out.set_klass(context.klass);
    out.set_rank(static_cast<std::uint32_t>(context.priority.rank));
    out.set_excess(context.priority.excess);
    out.set_draw(context.priority.tieBreaker);
    out.set_depth(static_cast<std::uint32_t>(context.depth));
    out.set_retries(static_cast<std::uint32_t>(context.retries));
    out.set_once(context.intent == call_intent::once);
    out.set_once_key(context.idempotencyKey);
    out.set_permit(context.permit);
    out.set_caller_service(m_settings.service);
    out.set_method(request.method);
    out.set_target(request.target);
    out.set_body(std::move(request.body));
    const auto condition = m_routes.condition(action.node);
    if (condition.run.id != 0) {
        toWire(condition, *out.mutable_condition());
    }
    fieldsToWire(request.fields, m_profile.calls.commonFields, out);
    m_callbacks.sendRequest(action.node, std::move(out), context.deadline);
}

/// Records what the upstream of a serving node states, so that the node learns it from the next request if it starts anew.
void call_path::recordCondition(const node_id &from, const wire::CallReply &reply)
{
    if (from == m_self) {
        return;
    }
    // A node that has just started refuses calls before it knows what its upstream states: only an answer of the upstream states nothing.
    if (reply.has_condition()) {
        m_routes.recordCondition(from, fromWire(reply.condition()));
    } else if (reply.outcome() == static_cast<std::uint32_t>(call_outcome::ran)) {
        m_routes.recordCondition(from, {});
    }
}

/// Records that nodes of a service refuse a request because it crashes upstreams. If they end at once, this node is one of those that still know it.
void call_path::recordConviction(const node_id &from, const std::string &service, const wire::CallReply &reply)
{
    if (from == m_self || !reply.has_conviction()) {
        return;
    }
    const millis now = monotonicNow();
    const auto reported = fromWire(reply.conviction(), now);
    m_suspects.merge(reported, now);
    std::erase_if(m_refusedElsewhere, [&](const auto &item) { return m_suspects.level(item.first, now) != suspicion_level::convicted; });
    if (service != m_service && m_suspects.conviction(reported.digest, now) && m_refusedElsewhere.emplace(reported.digest, service).second) {
        logEvent(log_level::info, "conviction_learned", {{"digest", reported.digest}, {"service", service}, {"peer", from}});
    }
}

void call_path::onReply(const node_id &from, wire::CallReply &reply)
{
    recordCondition(from, reply);
    const auto found = m_entryCalls.find(reply.call());
    if (found == m_entryCalls.end()) {
        return;
    }
    recordConviction(from, found->second.service, reply);
    const bool valid = reply.outcome() < outcomeNames.names.size() && reply.reason() < refusalNames.names.size();
    if (!valid) {
        return;
    }
    attempt_result result;
    result.outcome = static_cast<call_outcome>(reply.outcome());
    result.reason = static_cast<refusal_reason>(reply.reason());
    result.serverError = result.outcome == call_outcome::ran && isServerError(reply.status());
    result.finalFailure = reply.final_failure();
    result.retriesUsed = static_cast<int>(reply.retries_used());
    result.level = reply.level();
    result.limit = static_cast<int>(reply.limit());
    result.pending = static_cast<int>(reply.pending());
    result.roomIn = millis{std::max(reply.room_in_ms(), 0.0)};
    result.tryAt = m_routes.serves(reply.try_at(), found->second.service) ? reply.try_at() : node_id();

    // The shed level of a called service also counts against the class of the call that called it
    auto &call = found->second;
    const millis now = monotonicNow();
    if (call.context.depth > 0) {
        m_dependencyLevels.try_emplace(call.context.klass, m_settings.tuning).first->second.report(call.service, result.level, now);
    }
    const auto attempt = static_cast<int>(reply.attempt());
    call.reply = std::make_unique<wire::CallReply>(std::move(reply));
    std::vector<dispatch_action> actions;
    m_entry.replied(found->first, attempt, result, now, actions);
    execute(actions);
}

void call_path::onRequestUnsent(std::uint64_t call, std::uint32_t attempt)
{
    attempt_result result;
    result.outcome = call_outcome::not_run;
    result.reason = refusal_reason::unreachable;
    std::vector<dispatch_action> actions;
    m_entry.replied(call, static_cast<int>(attempt), result, monotonicNow(), actions);
    execute(actions);
}

void call_path::onNodeLost(const node_id &node)
{
    std::vector<dispatch_action> actions;
    m_entry.nodeLost(node, monotonicNow(), actions);
    execute(actions);
}

/// Answers the caller, and adds the retries and the failure of the call to the account of its parent.
void call_path::finish(const dispatch_action &action)
{
    const auto found = m_entryCalls.find(action.id);
    if (found == m_entryCalls.end()) {
        return;
    }
    entry_call call = std::move(found->second);
    m_entryCalls.erase(found);
    const millis now = monotonicNow();
    m_childCalls.childEnded(call.parent, action.id, action.retriesUsed, action.finalFailure, now);
    m_parents.childEnded(call.inferredParent, now);

    http_response response;
    const bool hasAnswer = action.useAnswer && call.reply && call.reply->status() != 0;
    // A status that would wrongly tell the caller that the call did not run is not passed on
    const bool falseProof = m_profile.calls.statusProvesNotRun && call.reply && provesNotRunToCaller(call.reply->status());
    if (hasAnswer && !falseProof) {
        response.status = static_cast<int>(call.reply->status());
        response.fields = fieldsFromWire(*call.reply, m_profile.calls.commonFields);
        response.body = std::move(*call.reply->mutable_body());
        if (m_profile.calls.echoesRequestId) {
            response.fields.add(m_profile.calls.requestId, call.context.root);
        }
        addOutcomeFields(response, action.outcome);
    } else {
        response = refusalResponse(falseProof ? refusal_reason::broken : action.reason, action.outcome, {}, action.retryIn);
    }
    if (action.finalFailure) {
        setField(response.fields, m_profile.calls.finalFailure, "1");
    }
    recordEntryCall(call, action.outcome, action.reason);
    if (hasAnswer) {
        m_metrics.countAddedTime(call.service, call.rank, now - call.arrivedAt - millis{call.reply->upstream_ms()});
    }
    call.exchange->respond(std::move(response));
    if (action.finalFailure && call.requiredByParent) {
        cancelChildren(m_childCalls.markFailed(call.parent));
    }
}

/// Counts and records the end of a call of this node's caller.
void call_path::recordEntryCall(const entry_call &call, call_outcome outcome, refusal_reason reason)
{
    call_record record;
    record.root = call.context.root;
    record.service = call.service;
    record.klass = call.klass;
    record.nodes = call.sentTo;
    record.side = call_side::entry;
    record.outcome = outcome;
    record.reason = reason;
    record.rank = call.rank;
    record.depth = call.context.depth;
    record.status = call.reply ? static_cast<int>(call.reply->status()) : 0;
    record.excess = call.context.priority.excess;
    const millis now = monotonicNow();
    if (reason == refusal_reason::overload) {
        record.levelAtEnd = m_entry.reportedLevel(call.service, call.klass, now);
    }
    record.endedAt = wallNow();
    record.duration = now - call.arrivedAt;
    m_metrics.countAnswer(call.service, call.rank, outcome, reason, record.duration);
    const bool failed = outcome != call_outcome::ran || isServerError(static_cast<std::uint32_t>(record.status));
    if (failed && m_decisions.admit(now)) {
        m_decisions.write("call_answered",
                          {{"request", record.root},
                           {"service", record.service},
                           {"class", record.klass},
                           {"rank", record.rank},
                           {"depth", record.depth},
                           {"outcome", outcomeNames.name(outcome)},
                           {"reason", refusalNames.name(reason)},
                           {"status", record.status},
                           {"nodes", record.nodes},
                           {"span_ms", record.duration},
                           {"deadline_in_ms", call.context.deadline - now},
                           {"told_level", record.levelAtEnd},
                           {"version", m_callbacks.configurationVersion()}});
    }
    m_records.add(std::move(record));
}

/// Cancels calls whose parent has ended or is certain to fail.
void call_path::cancelChildren(const std::vector<call_id> &children)
{
    std::vector<dispatch_action> abandoned;
    for (const auto child : children) {
        const auto found = m_entryCalls.find(child);
        if (found == m_entryCalls.end()) {
            continue;
        }
        const entry_call call = std::move(found->second);
        m_entryCalls.erase(found);
        const millis now = monotonicNow();
        m_entry.abandon(child, now, abandoned);
        // All retries granted to the call count as used: how many were used is unknown.
        m_childCalls.childEnded(call.parent, child, call.context.retries, true, now);
        recordEntryCall(call, call_outcome::unknown, refusal_reason::cancelled);
        call.exchange->respond(refusalResponse(refusal_reason::cancelled, call_outcome::unknown, {}));
    }
    execute(abandoned);
}

void call_path::withdrawWaitingCalls()
{
    const millis now = monotonicNow();
    std::vector<dispatch_action> actions;
    m_entry.withdraw([&](const call_context &context) { return mustWithdraw(m_stop, context.deadline, now); }, actions);
    execute(actions);
}

std::size_t call_path::answerRemainingCalls()
{
    std::vector<call_id> remaining;
    for (const auto &[id, call] : m_entryCalls) {
        remaining.push_back(id);
    }
    std::vector<dispatch_action> actions;
    for (const auto id : remaining) {
        m_entry.abandon(id, monotonicNow(), actions);
        dispatch_action answer;
        answer.type = dispatch_action::action_type::finish;
        answer.id = id;
        answer.outcome = call_outcome::unknown;
        answer.reason = refusal_reason::shutting_down;
        actions.push_back(std::move(answer));
    }
    execute(actions);
    return remaining.size();
}

/// @param retryIn the time after which the service may have room for the call; 0 if that is not known
http_response call_path::refusalResponse(refusal_reason reason, call_outcome outcome, const std::string &detail, millis retryIn)
{
    const std::string reasonName(refusalNames.name(reason));
    const int status = statusFor(m_profile.calls, reason, outcome);
    auto response = problemResponse(status, reasonName, detail.empty() ? "the call was given up: " + reasonName : detail);
    setField(response.fields, m_profile.calls.reason, reasonName);
    setField(response.fields, m_profile.calls.refusedBy, m_settings.name);
    if (status == statusUnavailable) {
        const double spread = std::uniform_real_distribution<double>(0, m_settings.tuning.retryAfterSpread.count)(m_random);
        const double wait = (std::max(m_settings.tuning.retryAfterMin, retryIn).count + spread) / oneSecond.count;
        response.fields.add(field::retryAfter, m_profile.calls.fractionalRetryAfter ? fmt::format("{:.2f}", wait) : fmt::format("{:.0f}", std::ceil(wait)));
    }
    addOutcomeFields(response, outcome);
    return response;
}

void call_path::addOutcomeFields(http_response &response, call_outcome outcome)
{
    setField(response.fields, m_profile.calls.outcome, std::string(outcomeNames.name(outcome)));
    setField(response.fields, m_profile.calls.configVersion, std::to_string(m_callbacks.configurationVersion()));
}

} // namespace turmericspar
