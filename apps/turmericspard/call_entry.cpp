/// @file call_entry.cpp
/// The entry's half of the path of a call: from the caller to a serving node, and back.
#include "call_path.h"

#include "node.pb.h"
#include "turmericspar/base/problem.h"
#include "turmericspar/node/wire.h"

#include <cmath>
#include <fmt/format.h>

namespace turmericspar {

namespace {

constexpr int serverErrorFirst = 500;
constexpr int statusUnavailable = 503;

/// @return whether a status promises that a call did not run, where statuses do.
bool isPromise(std::uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Between two looks at a key whose first attempt still runs.
constexpr millis recheckPause{100};

} // namespace

bool isServerError(std::uint32_t status)
{
    return status >= serverErrorFirst;
}

void call_path::accept(const http_exchange_ptr &exchange)
{
    std::optional<call_error> mistake;
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    const auto description = describeCall(exchange->request(), m_profile.calls, m_peers.declared(), draw, mistake);
    if (m_profile.lacksDocument(m_peers.version())) {
        refuseAtOnce(exchange, description, refusal_reason::unconfigured, "no configuration is known yet");
    } else if (mistake) {
        refuseAtOnce(exchange, description, mistake->reason, mistake->detail);
    } else if (m_suspects.level(digestOf(exchange->request()), monotonicNow()) == suspicion_level::convicted) {
        refuseAtOnce(exchange, description, refusal_reason::suspect, "upstreams crashed when they ran this request");
    } else if (!knowsService(description.service)) {
        refuseAtOnce(exchange, description, refusal_reason::unknown_service, "no upstream ever announced this service");
    } else {
        enter(exchange, description);
    }
}

/// @return whether a service was announced once, or is declared.
bool call_path::knowsService(const std::string &service) const
{
    return m_routes.knows(service) || m_peers.declared().services.contains(service);
}

void call_path::refuseAtOnce(const http_exchange_ptr &exchange, const call_description &description, refusal_reason reason, const std::string &detail)
{
    entering_call refused;
    // Names that nobody declared must not become labels without bound.
    refused.service = knowsService(description.service) ? description.service : "unknown";
    refused.context.root = description.requestId;
    refused.rank = description.rank;
    refused.since = monotonicNow();
    refused.context.deadline = refused.since + description.timeout.value_or(description.classDeadline);
    noteEntered(refused, call_outcome::not_run, reason);
    exchange->respond(refusalResponse(reason, call_outcome::not_run, detail));
}

/// Gives a request from outside a context of its own.
void call_path::placeRoot(entering_call &call, const call_description &description, millis now)
{
    auto &context = call.context;
    context.root = description.requestId.empty() ? toHex(randomBytes(16)) : description.requestId;
    context.klass = description.klass;
    context.place.rank = description.rank;
    context.place.draw = static_cast<std::uint32_t>(stableHash(context.root));
    context.deadline = now + description.timeout.value_or(description.classDeadline);
    const auto &declared = m_peers.declared();
    const auto service = declared.services.find(description.service);
    const bool ownRetries = service != declared.services.end() && service->second.retries;
    context.retries = ownRetries ? *service->second.retries : declared.retriesPerRequest;
    if (const auto *chosen = description.declaredRoute) {
        context.retries = chosen->attempts - 1;
        context.deadline = std::min(context.deadline, now + chosen->timeout.value_or(context.deadline - now));
    }
}

/// Gives a request the context of the call for which it is made, if there is one, or one of its own.
/// @return whether it may go on: a call whose parent has ended may not
bool call_path::placeCall(entering_call &call, call_id id, const call_description &description, millis now)
{
    placeRoot(call, description, now);
    const call_context own = call.context;

    // Step 1. The call that the request names
    if (!description.parent.empty()) {
        call.parent = parentOf(description.parent);
        const auto context = m_ledger.addChild(call.parent, id, now);
        if (!context) {
            return false;
        }
        call.context = *context;
        call.needed = description.needed;
        if (description.timeout) {
            call.context.deadline = std::min(call.context.deadline, now + *description.timeout);
        }
        return true;
    }
    if (!m_profile.calls.context.empty()) {
        return true;
    }

    // Step 2. Where requests name none, the call that runs beside this node and fits
    const auto deadline = description.timeout ? std::optional<millis>(now + *description.timeout) : std::nullopt;
    const auto kin = m_served.find(m_parents.find(description.klass, deadline, now));
    if (kin != m_served.end()) {
        call.kin = kin->first;
        m_parents.called(call.kin, description.klass);
        // It stands where that call stands. It is not tied to its end: with many calls running, the guess is wrong at times.
        call.context = kin->second.context;
        ++call.context.depth;
        call.context.intent = own.intent;
        call.context.onceKey.clear();
        call.context.permit = 0;
    }
    call.context.root = own.root;
    call.context.retries = std::min(call.context.retries, own.retries);
    call.context.deadline = own.deadline;
    return true;
}

void call_path::enter(const http_exchange_ptr &exchange, const call_description &description)
{
    const millis now = monotonicNow();
    const call_id id = m_nextCall++;
    entering_call call;
    call.exchange = exchange;
    call.service = description.service;
    call.since = now;

    // Step 1. The context: of the call for which this one is made, or a new one
    if (!placeCall(call, id, description, now)) {
        refuseAtOnce(exchange, description, refusal_reason::cancelled, "the call for which this one is made has ended");
        return;
    }
    call.context.intent = description.intent;
    call.klass = call.context.klass;
    call.rank = call.context.place.rank;

    // Step 2. A caller that goes takes its call with it
    exchange->onGone([this, id] {
        std::vector<entry_action> actions;
        const millis goneAt = monotonicNow();
        m_entry.abandon(id, goneAt, actions);
        const auto found = m_entering.find(id);
        if (found != m_entering.end()) {
            m_ledger.childEnded(found->second.parent, id, found->second.context.retries, false, goneAt);
            m_parents.answered(found->second.kin, goneAt);
            noteEntered(found->second, call_outcome::unknown, refusal_reason::cancelled);
            m_entering.erase(found);
        }
        act(actions);
    });

    // Step 3. What may be a resend of a request that may run at most once is looked into first
    const bool keyed = call.context.intent == call_intent::once && !description.idempotencyKey.empty();
    if (keyed) {
        call.context.onceKey = description.idempotencyKey;
    }
    m_entering.emplace(id, std::move(call));
    if (keyed && !description.firstAttempt && m_settings.mode == policy_mode::full) {
        judge(id);
    } else {
        submit(id);
    }
}

/// Looks into the key of a call.
void call_path::judge(call_id id)
{
    const auto found = m_entering.find(id);
    if (found != m_entering.end()) {
        const auto &call = found->second;
        m_once.judge(call.service, call.context.onceKey, [this, id](const once_ruling &ruling) { ruled(id, ruling); });
    }
}

void call_path::submit(call_id id)
{
    const auto found = m_entering.find(id);
    if (found == m_entering.end()) {
        return;
    }
    const auto service = found->second.service;
    const auto context = found->second.context;
    std::vector<entry_action> actions;
    m_entry.submit(id, service, context, monotonicNow(), actions);
    act(actions);
    wakeForDeadline();
}

/// Acts on what an inquiry found about the key of a call.
void call_path::ruled(call_id id, const once_ruling &ruling)
{
    const auto found = m_entering.find(id);
    if (found == m_entering.end()) {
        return;
    }
    if (ruling.verdict == inquiry_verdict::run) {
        found->second.context.permit = ruling.permit;
        submit(id);
        return;
    }
    const bool mayWait = found->second.context.deadline - monotonicNow() > recheckPause * 2;
    if (ruling.verdict == inquiry_verdict::running && mayWait) {
        found->second.recheck = m_loop.after(recheckPause, [this, id] { judge(id); });
        return;
    }
    entry_action action;
    action.what = entry_action::verb::finish;
    action.id = id;
    action.outcome = call_outcome::unknown;
    action.reason = ruling.verdict == inquiry_verdict::in_doubt ? refusal_reason::in_doubt : refusal_reason::duplicate;
    auto answer = std::make_unique<wire::CallReply>();
    if (ruling.verdict == inquiry_verdict::finished && answer->ParseFromString(ruling.answer) && answer->status() != 0) {
        action.outcome = call_outcome::ran;
        action.reason = refusal_reason::none;
        action.useAnswer = true;
        found->second.answer = std::move(answer);
    }
    finish(action);
}

void call_path::act(const std::vector<entry_action> &actions)
{
    for (const auto &action : actions) {
        switch (action.what) {
        case entry_action::verb::forward:
            forward(action);
            break;
        case entry_action::verb::finish:
            finish(action);
            break;
        case entry_action::verb::cancel: {
            wire::CallCancel cancel;
            cancel.set_call(action.id);
            cancel.set_attempt(static_cast<std::uint32_t>(action.attempt));
            if (action.node == m_self) {
                cancelled({}, cancel);
            } else {
                m_peers.sendCancel(action.node, cancel);
            }
            break;
        }
        }
    }
}

/// @return a caller's request as it goes to a serving node: without what concerns the caller's connection, and with what the system
/// says of it.
http_request call_path::outgoingRequest(const entering_call &call) const
{
    http_request request = call.exchange->request();
    removeCallFields(m_profile.calls, request.fields);
    request.fields.removeHopByHop();
    // The serving node writes these anew from the call's context.
    request.fields.remove(m_profile.calls.requestId);
    request.fields.remove(m_profile.calls.deadline);
    request.fields.remove("Content-Length");
    return request;
}

void call_path::forward(const entry_action &action)
{
    const auto found = m_entering.find(action.id);
    if (found == m_entering.end()) {
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
    out.set_rank(static_cast<std::uint32_t>(context.place.rank));
    out.set_excess(context.place.excess);
    out.set_draw(context.place.draw);
    out.set_depth(static_cast<std::uint32_t>(context.depth));
    out.set_retries(static_cast<std::uint32_t>(context.retries));
    out.set_once(context.intent == call_intent::once);
    out.set_once_key(context.onceKey);
    out.set_permit(context.permit);
    out.set_caller_service(m_settings.service);
    out.set_method(request.method);
    out.set_target(request.target);
    out.set_body(std::move(request.body));
    fieldsToWire(request.fields, m_profile.calls.commonFields, out);
    m_peers.sendRequest(action.node, std::move(out), context.deadline);
}

void call_path::replied(const node_id &from, wire::CallReply &reply)
{
    (void)from;
    const auto found = m_entering.find(reply.call());
    if (found == m_entering.end()) {
        return;
    }
    const bool sound = reply.outcome() < outcomeNames.names.size() && reply.reason() < refusalNames.names.size();
    if (!sound) {
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

    // What is told of a service counts for the call that called it, too
    auto &call = found->second;
    const millis now = monotonicNow();
    if (call.context.depth > 0) {
        m_levelsBelow.try_emplace(call.context.klass, m_settings.tuning).first->second.report(call.service, result.level, now);
    }
    const auto attempt = static_cast<int>(reply.attempt());
    call.answer = std::make_unique<wire::CallReply>(std::move(reply));
    std::vector<entry_action> actions;
    m_entry.replied(found->first, attempt, result, now, actions);
    act(actions);
}

void call_path::unsent(std::uint64_t call, std::uint32_t attempt)
{
    attempt_result result;
    result.outcome = call_outcome::not_run;
    result.reason = refusal_reason::unreachable;
    std::vector<entry_action> actions;
    m_entry.replied(call, static_cast<int>(attempt), result, monotonicNow(), actions);
    act(actions);
}

void call_path::lost(const node_id &node)
{
    std::vector<entry_action> actions;
    m_entry.lost(node, monotonicNow(), actions);
    act(actions);
}

/// Answers a caller, and settles the account with the call for which this one was made.
void call_path::finish(const entry_action &action)
{
    const auto found = m_entering.find(action.id);
    if (found == m_entering.end()) {
        return;
    }
    entering_call call = std::move(found->second);
    m_entering.erase(found);
    const millis now = monotonicNow();
    m_ledger.childEnded(call.parent, action.id, action.retriesUsed, action.finalFailure, now);
    m_parents.answered(call.kin, now);

    http_response response;
    const bool hasAnswer = action.useAnswer && call.answer && call.answer->status() != 0;
    const bool wouldPromise = m_profile.calls.statusProvesNotRun && call.answer && isPromise(call.answer->status());
    if (hasAnswer && !wouldPromise) {
        response.status = static_cast<int>(call.answer->status());
        response.fields = fieldsFromWire(*call.answer, m_profile.calls.commonFields);
        response.body = std::move(*call.answer->mutable_body());
        if (m_profile.calls.echoesRequestId) {
            response.fields.add(m_profile.calls.requestId, call.context.root);
        }
        stamp(response, action.outcome);
    } else {
        response = refusalResponse(wouldPromise ? refusal_reason::broken : action.reason, action.outcome, {});
    }
    if (action.finalFailure) {
        setField(response.fields, m_profile.calls.finalFailure, "1");
    }
    noteEntered(call, action.outcome, action.reason);
    if (hasAnswer) {
        m_metrics.added(call.service, call.rank, now - call.since - millis{call.answer->upstream_ms()});
    }
    call.exchange->respond(std::move(response));
    if (action.finalFailure && call.needed) {
        giveUp(m_ledger.doom(call.parent));
    }
}

/// Counts and records the end of a call that entered here.
void call_path::noteEntered(const entering_call &call, call_outcome outcome, refusal_reason reason)
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
    record.status = call.answer ? static_cast<int>(call.answer->status()) : 0;
    record.excess = call.context.place.excess;
    const millis now = monotonicNow();
    if (reason == refusal_reason::overload) {
        record.levelThen = m_entry.toldLevel(call.service, call.klass, now);
    }
    record.endedAt = wallNow();
    record.span = now - call.since;
    m_metrics.answered(call.service, call.rank, outcome, reason, record.span);
    const bool wentWrong = outcome != call_outcome::ran || isServerError(static_cast<std::uint32_t>(record.status));
    if (wentWrong && m_decisions.admits(now)) {
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
                           {"span_ms", record.span},
                           {"deadline_in_ms", call.context.deadline - now},
                           {"told_level", record.levelThen},
                           {"version", m_peers.version()}});
    }
    m_records.add(std::move(record));
}

/// Gives up calls that were made for a call that has ended or will fail.
void call_path::giveUp(const std::vector<call_id> &children)
{
    std::vector<entry_action> abandoned;
    for (const auto child : children) {
        const auto found = m_entering.find(child);
        if (found == m_entering.end()) {
            continue;
        }
        const entering_call call = std::move(found->second);
        m_entering.erase(found);
        const millis now = monotonicNow();
        m_entry.abandon(child, now, abandoned);
        // What it was granted may have been used.
        m_ledger.childEnded(call.parent, child, call.context.retries, true, now);
        noteEntered(call, call_outcome::unknown, refusal_reason::cancelled);
        call.exchange->respond(refusalResponse(refusal_reason::cancelled, call_outcome::unknown, {}));
    }
    act(abandoned);
}

http_response call_path::refusalResponse(refusal_reason reason, call_outcome outcome, const std::string &detail)
{
    const std::string word(refusalNames.name(reason));
    const int status = statusFor(m_profile.calls, reason, outcome);
    auto response = problemResponse(status, word, detail.empty() ? "the call was given up: " + word : detail);
    setField(response.fields, m_profile.calls.reason, word);
    setField(response.fields, m_profile.calls.refusedBy, m_settings.name);
    if (status == statusUnavailable) {
        const double spread = std::uniform_real_distribution<double>(0, m_settings.tuning.retryAfterSpread.count)(m_random);
        const double wait = (m_settings.tuning.retryAfterLeast.count + spread) / oneSecond.count;
        response.fields.add(field::retryAfter, m_profile.calls.fractionalRetryAfter ? fmt::format("{:.2f}", wait) : fmt::format("{:.0f}", std::ceil(wait)));
    }
    stamp(response, outcome);
    return response;
}

void call_path::stamp(http_response &response, call_outcome outcome)
{
    setField(response.fields, m_profile.calls.outcome, std::string(outcomeNames.name(outcome)));
    setField(response.fields, m_profile.calls.configVersion, std::to_string(m_peers.version()));
}

} // namespace turmericspar
