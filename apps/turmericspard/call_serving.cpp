/// @file call_serving.cpp
/// The serving side of the call path: from a node to the upstream, and back.
#include "call_path.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "turmericspar/node/wire.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace turmericspar {

namespace {

/// How long a call with a key may run beyond its deadline, so that a resend finds its answer.
constexpr millis keyedCallGrace{30'000};
/// Timeout in pass-through mode, which ignores the caller's deadline as a plain proxy does.
constexpr millis passThroughTimeout{60'000};

constexpr int firstErrorStatus = 400;
constexpr int statusMisdirected = 421;

call_context contextFromWire(const wire::CallRequest &request, millis now)
{
    call_context context;
    context.root = request.root();
    context.klass = request.klass();
    context.priority.rank = static_cast<int>(std::min<std::uint32_t>(request.rank(), ranksMax - 1));
    context.priority.excess = request.excess();
    context.priority.tieBreaker = request.draw();
    context.depth = static_cast<int>(request.depth());
    context.retries = static_cast<int>(request.retries());
    context.deadline = now + millis{request.deadline_in_ms()};
    context.intent = request.once() ? call_intent::once : call_intent::repeatable;
    context.idempotencyKey = request.once_key();
    context.permit = request.permit();
    return context;
}

} // namespace

void call_path::onRequest(const connection_id &from, wire::CallRequest &request, bool current)
{
    const call_origin origin{false, false, from, request.call(), request.attempt()};
    if (!current || request.service() != m_service) {
        wire::CallReply reply;
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(current ? refusal_reason::no_upstream : refusal_reason::stale));
        replyToOrigin(origin, std::move(reply));
        return;
    }
    if (request.has_condition()) {
        applyReportedCondition(fromWire(request.condition()));
    }
    http_request out;
    out.method = request.method();
    out.target = request.target();
    out.fields = fieldsFromWire(request, m_profile.calls.commonFields);
    out.body = std::move(*request.mutable_body());
    serve(origin, contextFromWire(request, monotonicNow()), std::move(out), request.caller_service());
}

void call_path::serve(call_origin origin, call_context context, http_request request, const std::string &callerService)
{
    const call_id id = m_nextCallId++;
    setField(request.fields, m_profile.calls.callerService, callerService);
    const auto digest = digestOf(m_service, request);
    const auto standing = m_settings.mode == policy_mode::full ? standingOf(digest) : request_standing::proven;
    // A call that the upstream makes for one that it runs would otherwise wait for that one.
    const bool ofRunningCall = origin.local && context.depth > 0;
    upstream_call call{std::move(origin), std::move(context), std::move(request), digest, monotonicNow(), {0}, {}};
    m_upstreamCallsByOrigin[{call.origin.from, call.origin.call}] = id;
    m_upstreamCalls.emplace(id, std::move(call));
    if (standing == request_standing::convicted || standing == request_standing::tried_elsewhere) {
        refuseUpstreamCall(id, refusal_reason::suspect);
    } else if (standing == request_standing::proven || (standing == request_standing::unproven && ofRunningCall)) {
        offer(id);
    } else {
        m_suspectGate.enter(id);
        releaseWaitingCalls();
    }
    scheduleTick();
}

/// Passes a call to admission control, which starts, queues or refuses it.
void call_path::offer(call_id id)
{
    const millis now = monotonicNow();
    auto &call = m_upstreamCalls.at(id);
    const auto levels = m_dependencyLevels.find(call.context.klass);
    const double dependencyLevel = levels == m_dependencyLevels.end() ? 0 : levels->second.highest(now);
    offered_call offered{id, call.context};
    std::vector<admission_action> actions;
    m_serving.offer(offered, dependencyLevel, now, actions);
    call.context = offered.context;
    execute(actions);
}

/// @return how this node runs a request, by what is known of it.
request_standing call_path::standingOf(request_digest digest) const
{
    const auto standing = m_suspects.standing(digest, monotonicNow());
    return standing == request_standing::isolated_suspect ? standingAt(m_self, m_routes.nodeFor(m_service, digest), standing) : standing;
}

/// Offers the calls that no longer have to wait for suspects.
void call_path::releaseWaitingCalls()
{
    if (m_suspectGate.empty()) {
        return;
    }
    const millis now = monotonicNow();
    const upstream_activity upstream{m_suspects.quiet(now), !m_suspects.undecided()};
    for (const auto id : m_suspectGate.release(now, upstream, [this](call_id id) { return standingOf(m_upstreamCalls.at(id).digest); })) {
        const auto found = m_upstreamCalls.find(id);
        if (found == m_upstreamCalls.end()) {
            continue;
        }
        const auto &call = found->second;
        const auto standing = standingOf(call.digest);
        if (standing == request_standing::convicted || standing == request_standing::tried_elsewhere) {
            refuseUpstreamCall(id, refusal_reason::suspect);
        } else if (call.context.deadline <= now) {
            refuseUpstreamCall(id, refusal_reason::deadline);
        } else {
            offer(id);
        }
    }
}

void call_path::execute(const std::vector<admission_action> &actions)
{
    for (const auto &action : actions) {
        switch (action.type) {
        case admission_action::action_type::start:
            start(action.id);
            break;
        case admission_action::action_type::refuse:
            refuseUpstreamCall(action.id, action.reason, action.roomIn);
            break;
        case admission_action::action_type::cancel:
            cancelUpstreamCall(action.id, action.reason);
            break;
        }
    }
}

void call_path::start(call_id id)
{
    auto &call = m_upstreamCalls.at(id);
    const millis now = monotonicNow();
    call.startedAt = now;
    call.upstreamRun = m_upstreamRun;
    m_childCalls.open(id, call.context);
    if (!admitKey(id, call)) {
        return;
    }
    const millis timeLeft = call.context.deadline - now;
    auto request = std::move(call.request);
    const auto &dialect = m_profile.calls;
    if (dialect.context.empty()) {
        m_parents.started(id, call.context.klass, call.context.deadline);
    }
    setField(request.fields, dialect.context, contextToken(id));
    setField(request.fields, dialect.deadline, fmt::format("{:.0f}", std::max(timeLeft.count, 1.0)));
    setField(request.fields, dialect.requestId, call.context.root);
    setField(request.fields, dialect.klass, call.context.klass);
    setField(request.fields, dialect.rank, std::to_string(call.context.priority.rank));
    setField(request.fields, dialect.instance, m_announcement.instance);
    http_correlation echo;
    if (dialect.echoesRequestId) {
        echo = {dialect.requestId, call.context.root};
    }
    const bool passThrough = m_settings.mode == policy_mode::none;
    const millis grace = call.context.idempotencyKey.empty() ? millis{0} : keyedCallGrace;
    // A call that must not be repeated keeps its connection until its deadline even if that goes silent; without `silenceCancelsCalls`, every call does.
    const bool keepsConnection = call.context.intent == call_intent::once || m_settings.tuning.silenceCancelsCalls == 0;
    m_silence.sent(id, keepsConnection ? call.context.deadline : millis{0}, now);
    m_pool.run(id, request, passThrough ? passThroughTimeout : std::max(timeLeft, millis{1}) + grace, std::move(echo));
}

/// Checks whether the key of an at-most-once call allows it to start; otherwise ends the call with the known answer or a refusal.
bool call_path::admitKey(call_id id, const upstream_call &call)
{
    const auto &key = call.context.idempotencyKey;
    if (key.empty() || m_settings.mode == policy_mode::none) {
        return true;
    }
    wire::CallReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(call_outcome::unknown));
    reply.set_reason(static_cast<std::uint32_t>(refusal_reason::duplicate));
    switch (m_once.begin(key, call.context.permit)) {
    case key_admission::run:
        return true;
    case key_admission::finished:
        if (!reply.ParseFromString(m_once.answer(key)) || reply.status() == 0) {
            reply.set_outcome(static_cast<std::uint32_t>(call_outcome::unknown));
            reply.set_reason(static_cast<std::uint32_t>(refusal_reason::duplicate));
        }
        break;
    case key_admission::running:
    case key_admission::blocked:
        break;
    case key_admission::no_memory:
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(refusal_reason::in_doubt));
        break;
    }
    // The call is still being started, so it is ended in a later iteration of the event loop.
    m_loop.defer([this, id, reply = std::make_shared<wire::CallReply>(std::move(reply))] { endUpstreamCall(id, std::move(*reply), key_update::none); });
    return false;
}

/// Records the outcome of a call in the table of keys.
void call_path::recordKeyOutcome(const upstream_call &call, const wire::CallReply &reply)
{
    const auto &key = call.context.idempotencyKey;
    if (key.empty() || m_settings.mode == policy_mode::none) {
        return;
    }
    if (reply.outcome() == static_cast<std::uint32_t>(call_outcome::not_run)) {
        m_once.withdraw(key);
    } else {
        m_once.finish(key, reply.SerializeAsString());
    }
}

/// @return whether the upstream's answer proves that it did not begin the call.
bool call_path::provesNotRun(const http_response &response) const
{
    const auto &dialect = m_profile.calls;
    const auto *marker = response.fields.find(dialect.notRun);
    const bool marked = marker && (dialect.notRunValue.empty() || *marker == dialect.notRunValue);
    const bool misdirected = !dialect.instance.empty() && response.status == statusMisdirected;
    return (marked && response.status >= firstErrorStatus) || misdirected;
}

/// @return whether a connection is used again after a response. On interfaces where responses do not name their request, a second copy of a
/// refusal would be taken for the response to the next request.
bool call_path::mayReuseConnection(const http_response &response) const
{
    return m_profile.calls.echoesRequestId || !provesNotRun(response);
}

/// @return whether the header shows that an answer is complete and comes from the upstream itself.
bool call_path::isComplete(const http_response &response) const
{
    const auto &dialect = m_profile.calls;
    const bool success = response.status >= 200 && response.status < 300;
    return dialect.signature.empty() || ((!success || response.fields.find(dialect.signature)) && !response.fields.find("Content-Encoding"));
}

/// Applies what the upstream states about itself in a complete answer to a call that has not ended yet.
void call_path::readStatements(call_id id, const http_response &response)
{
    const auto found = m_upstreamCalls.find(id);
    if (found == m_upstreamCalls.end() || found->second.upstreamRun != m_upstreamRun) {
        return;
    }
    const auto statement = readStatement(response.fields, m_profile.calls.rateLimit, m_profile.calls.leaving);
    const bool malformed = !statement.malformedLimit.empty();
    if (malformed && m_decisions.admit(monotonicNow())) {
        m_decisions.write("upstream_limit_malformed", {{"instance", m_announcement.instance}, {"value", statement.malformedLimit}});
    }
    // Only an answer to a call that ran lifts the limit: a refusal may come from a part of the upstream that knows of none.
    const bool lifts = !malformed && !provesNotRun(response);
    if (statement.rateLimit || lifts) {
        const auto previous = m_serving.rateLimit();
        m_serving.rateStated(statement.rateLimit, id, monotonicNow());
        logRateLimit(previous, "answer");
    }
    if (statement.leaving) {
        setLeaving("answer");
    }
}

/// Logs the rate limit of the upstream if it has changed.
/// @param source how this node knows of it
void call_path::logRateLimit(std::optional<double> previous, std::string_view source) const
{
    const auto limit = m_serving.rateLimit();
    if (limit != previous) {
        logEvent(
            log_level::info,
            "upstream_limit",
            {{"service", m_service}, {"instance", m_announcement.instance}, {"per_second", limit ? fmt::format("{:g}", *limit) : "none"}, {"source", source}});
    }
}

/// Stops new work for the present run of the upstream, which has stated that it is about to exit. A later announcement does not undo this.
/// @param source how this node knows of it
void call_path::setLeaving(std::string_view source)
{
    if (std::exchange(m_upstreamLeaving, true)) {
        return;
    }
    logEvent(log_level::info, "upstream_leaving", {{"service", m_service}, {"instance", m_announcement.instance}, {"source", source}});
    applyDrain();
    m_callbacks.onReadinessChanged();
}

/// Applies what another node knows about the upstream. This node may have started after the upstream stated it.
void call_path::applyReportedCondition(const upstream_condition &reported)
{
    // What a later run stated holds as well: the announcement by which this process knows the upstream was then late.
    if (m_upstreamRun.id == 0 || (reported.run.id != m_upstreamRun.id && !m_upstreamRun.precedes(reported.run))) {
        return;
    }
    if (reported.leaving) {
        setLeaving("node");
    }
    if (reported.rateLimit) {
        const auto previous = m_serving.rateLimit();
        m_serving.rateReported(*reported.rateLimit, monotonicNow());
        logRateLimit(previous, "node");
    }
}

/// Counts and logs an answer whose connection this node closed because of what it read.
void call_path::countBrokenAnswer(call_id id, const std::error_code &error)
{
    const auto found = m_upstreamCalls.find(id);
    ++m_brokenAnswerCount;
    if (found != m_upstreamCalls.end() && m_decisions.admit(monotonicNow())) {
        m_decisions.write("upstream_answer_broken",
                          {{"request", found->second.context.root},
                           {"service", m_service},
                           {"instance", m_announcement.instance},
                           {"peer", m_announcement.address.text()},
                           {"error", error.message()}});
    }
}

/// Handles the upstream's answer to a call, or the failure of its connection.
void call_path::onUpstreamOutcome(call_id id, http_outcome outcome)
{
    wire::CallReply reply;
    if (!outcome.error && isComplete(outcome.response)) {
        readStatements(id, outcome.response);
    }
    if (outcome.error == errc::malformed_message || outcome.error == errc::message_too_large) {
        countBrokenAnswer(id, outcome.error);
    }
    if (outcome.error) {
        const bool timedOut = outcome.error == errc::timeout;
        const auto reason = !outcome.sent ? refusal_reason::unreachable : (timedOut ? refusal_reason::deadline : refusal_reason::broken);
        reply.set_outcome(static_cast<std::uint32_t>(outcome.sent ? call_outcome::unknown : call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(reason));
    } else if (!isComplete(outcome.response)) {
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::unknown));
        reply.set_reason(static_cast<std::uint32_t>(refusal_reason::broken));
    } else if (provesNotRun(outcome.response)) {
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(refusal_reason::shed_by_upstream));
    } else {
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::ran));
        reply.set_status(static_cast<std::uint32_t>(outcome.response.status));
        outcome.response.fields.removeHopByHop();
        removeCallFields(m_profile.calls, outcome.response.fields);
        // The entry node sets the request id and the length itself; the load field is meant for this node only.
        outcome.response.fields.remove(m_profile.calls.requestId);
        outcome.response.fields.remove(m_profile.calls.load);
        if (!outcome.response.body.empty()) {
            // An answer without a body keeps its Content-Length: for HEAD, it is the length that the upstream states.
            outcome.response.fields.remove("Content-Length");
        }
        fieldsToWire(outcome.response.fields, m_profile.calls.commonFields, reply);
        reply.set_body(std::move(outcome.response.body));
    }
    const auto found = m_upstreamCalls.find(id);
    if (found != m_upstreamCalls.end()) {
        recordEvidence(found->second, outcome, reply);
    }
    endUpstreamCall(id, std::move(reply), key_update::record);
    releaseWaitingCalls();
    scheduleTick();
}

/// Records what the end of a call shows about its request.
void call_path::recordEvidence(const upstream_call &call, const http_outcome &outcome, const wire::CallReply &reply)
{
    const millis now = monotonicNow();
    run_end end;
    end.sent = outcome.sent;
    end.ran = reply.outcome() == static_cast<std::uint32_t>(call_outcome::ran);
    end.refused = reply.reason() == static_cast<std::uint32_t>(refusal_reason::shed_by_upstream);
    end.broken = outcome.error == errc::connection_broken;
    end.status = outcome.response.status;
    switch (evidenceOf(end)) {
    case run_evidence::nothing:
        break;
    case run_evidence::completed:
        m_suspects.recordCompletedCall(call.digest, now);
        break;
    case run_evidence::broke:
        m_suspects.recordBrokenCall(call.digest, m_serving.running(), now, call.startedAt);
        break;
    case run_evidence::abandoned:
        m_suspects.recordAbandonedCall(call.digest, now);
        break;
    }
}

/// Ends a call that was started, with any outcome, and replies to its origin.
void call_path::endUpstreamCall(call_id id, wire::CallReply reply, key_update keyUpdate)
{
    const auto found = m_upstreamCalls.find(id);
    if (found == m_upstreamCalls.end()) {
        return;
    }
    upstream_call call = std::move(found->second);
    m_upstreamCalls.erase(found);
    m_upstreamCallsByOrigin.erase({call.origin.from, call.origin.call});
    const millis now = monotonicNow();
    m_suspectGate.ended(id, now);
    if (keyUpdate == key_update::record) {
        recordKeyOutcome(call, reply);
    }

    // Step 1. Cancel the calls that it made and that still run
    m_parents.ended(id);
    const auto summary = m_childCalls.close(id, now);
    cancelChildren(summary.unfinished);

    // Step 2. Update the limit, the silence detection and the metrics
    const auto outcome = static_cast<call_outcome>(reply.outcome());
    m_silence.ended(id, outcome == call_outcome::ran, now);
    run_report report;
    report.selfTime = now - call.startedAt - summary.waited;
    report.answered = outcome == call_outcome::ran;
    report.shed = reply.reason() == static_cast<std::uint32_t>(refusal_reason::shed_by_upstream);
    const bool serverError = outcome == call_outcome::ran && isServerError(reply.status());
    report.dependencyFailed = serverError && (summary.finalFailure || m_parents.makesCalls(call.context.klass));
    m_metrics.countUpstreamCall(m_service, call.context.priority.rank, call.startedAt - call.arrivedAt, now - call.startedAt);
    std::vector<admission_action> actions;
    m_serving.ended(id, report, now, actions);

    // Step 3. Reply to the origin
    const bool failed = outcome != call_outcome::ran || isServerError(reply.status());
    reply.set_final_failure(failed && summary.finalFailure);
    reply.set_retries_used(static_cast<std::uint32_t>(summary.retriesUsed));
    reply.set_upstream_ms((now - call.startedAt).count);
    addLoadReport(call.context.klass, reply);
    recordUpstreamCall(call, reply);
    replyToOrigin(call.origin, std::move(reply));
    execute(actions);
}

/// Records the end of a call at this node's upstream or in the queue before it.
void call_path::recordUpstreamCall(const upstream_call &call, const wire::CallReply &reply)
{
    const millis now = monotonicNow();
    call_record record;
    record.root = call.context.root;
    record.service = m_service;
    record.klass = call.context.klass;
    record.side = call_side::serving;
    record.outcome = static_cast<call_outcome>(reply.outcome());
    record.reason = static_cast<refusal_reason>(reply.reason());
    record.rank = call.context.priority.rank;
    record.depth = call.context.depth;
    record.status = static_cast<int>(reply.status());
    record.excess = call.context.priority.excess;
    record.levelAtEnd = m_serving.level();
    record.endedAt = wallNow();
    if (record.outcome != call_outcome::ran && m_decisions.admit(now)) {
        m_decisions.write("call_not_served",
                          {{"request", record.root},
                           {"service", record.service},
                           {"instance", m_announcement.instance},
                           {"class", record.klass},
                           {"rank", record.rank},
                           {"outcome", outcomeNames.name(record.outcome)},
                           {"reason", refusalNames.name(record.reason)},
                           {"running", m_serving.running()},
                           {"waiting", m_serving.waiting()},
                           {"limit", m_serving.limit()},
                           {"level", record.levelAtEnd},
                           {"window", m_serving.window(record.klass)},
                           {"rate_limit", m_serving.rateLimit().value_or(0)},
                           {"room_in_ms", reply.room_in_ms()},
                           {"usual_ms", m_serving.averageTime(record.klass, record.depth > 0)},
                           {"deadline_in_ms", call.context.deadline - now},
                           {"started", call.startedAt.count > 0 ? "true" : "false"}});
    }
    record.queueTime = (call.startedAt.count > 0 ? call.startedAt : now) - call.arrivedAt;
    record.duration = now - call.arrivedAt;
    m_records.add(std::move(record));
}

/// Refuses a call that was not started.
/// @param roomIn see admission_action
void call_path::refuseUpstreamCall(call_id id, refusal_reason reason, millis roomIn)
{
    const auto found = m_upstreamCalls.find(id);
    if (found == m_upstreamCalls.end()) {
        return;
    }
    const upstream_call call = std::move(found->second);
    m_upstreamCalls.erase(found);
    m_upstreamCallsByOrigin.erase({call.origin.from, call.origin.call});
    m_suspectGate.ended(id, monotonicNow());
    wire::CallReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
    reply.set_reason(static_cast<std::uint32_t>(reason));
    reply.set_room_in_ms(roomIn.count);
    if (const auto conviction = m_suspects.conviction(call.digest, monotonicNow()); conviction && reason == refusal_reason::suspect) {
        toWire(*conviction, monotonicNow(), *reply.mutable_conviction());
    } else if (reason == refusal_reason::suspect) {
        reply.set_try_at(m_routes.nodeFor(m_service, call.digest));
    }
    m_rateLimitedCount += roomIn.count > 0 ? 1 : 0;
    addLoadReport(call.context.klass, reply);
    recordUpstreamCall(call, reply);
    replyToOrigin(call.origin, std::move(reply));
}

/// Ends the calls whose upstream connections went silent, and replaces the idle connections that may be affected, too.
void call_path::handleSilentConnections()
{
    if (m_settings.mode != policy_mode::full) {
        return;
    }
    const auto result = m_silence.check(monotonicNow());
    if (result.replaceBefore) {
        m_pool.replaceIdle(*result.replaceBefore);
    }
    for (const auto id : result.silent) {
        ++m_silentCallCount;
        logEvent(log_level::warning, "upstream_connection_silent", {{"service", m_service}, {"peer", m_announcement.address.text()}});
        cancelUpstreamCall(id, refusal_reason::broken);
    }
}

/// Cancels a running call by closing its connection, which tells the upstream.
void call_path::cancelUpstreamCall(call_id id, refusal_reason reason)
{
    m_pool.cancel(id);
    if (const auto found = m_upstreamCalls.find(id); found != m_upstreamCalls.end()) {
        m_suspects.recordAbandonedCall(found->second.digest, monotonicNow());
    }
    wire::CallReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(call_outcome::unknown));
    reply.set_reason(static_cast<std::uint32_t>(reason));
    endUpstreamCall(id, std::move(reply), key_update::record);
}

void call_path::onCancel(const connection_id &from, const wire::CallCancel &cancel)
{
    const auto found = m_upstreamCallsByOrigin.find({from, cancel.call()});
    if (found == m_upstreamCallsByOrigin.end()) {
        return;
    }
    const auto id = found->second;
    auto &call = m_upstreamCalls.at(id);
    const bool keyed = !call.context.idempotencyKey.empty() && m_settings.mode == policy_mode::full;
    if (keyed && call.startedAt.count > 0) {
        // The call may already have had its effect: let it run to its end, so that a resend finds its answer.
        call.origin.abandoned = true;
        m_upstreamCallsByOrigin.erase(found);
        return;
    }
    if (call.startedAt.count > 0) {
        std::vector<admission_action> actions;
        m_serving.cancel(id, refusal_reason::cancelled, monotonicNow(), actions);
        execute(actions);
    } else {
        refuseWaitingCall(id, refusal_reason::cancelled);
    }
}

void call_path::onWithdrawal(const connection_id &from, const wire::CallWithdrawal &withdrawal)
{
    const auto found = m_upstreamCallsByOrigin.find({from, withdrawal.call()});
    if (found != m_upstreamCallsByOrigin.end() && m_upstreamCalls.at(found->second).startedAt.count == 0) {
        refuseWaitingCall(found->second, refusal_reason::shutting_down);
    }
}

/// Refuses a call that has not been started, wherever it waits.
void call_path::refuseWaitingCall(call_id id, refusal_reason reason)
{
    if (m_suspectGate.remove(id)) {
        refuseUpstreamCall(id, reason);
        return;
    }
    std::vector<admission_action> actions;
    m_serving.cancel(id, reason, monotonicNow(), actions);
    execute(actions);
}

void call_path::refuseWaitingSuspects(refusal_reason reason)
{
    for (const auto id : m_suspectGate.removeAll()) {
        refuseUpstreamCall(id, reason);
    }
}

void call_path::onOriginDisconnected(const connection_id &from)
{
    std::vector<wire::CallCancel> cancels;
    for (auto position = m_upstreamCallsByOrigin.lower_bound({from, 0}); position != m_upstreamCallsByOrigin.end() && position->first.first == from;
         ++position) {
        cancels.emplace_back().set_call(position->first.second);
    }
    for (const auto &cancel : cancels) {
        onCancel(from, cancel);
    }
}

/// Adds to a reply the load of this node and of the services that its upstream calls.
void call_path::addLoadReport(const std::string &klass, wire::CallReply &reply)
{
    const auto levels = m_dependencyLevels.find(klass);
    const double dependencyLevel = levels == m_dependencyLevels.end() ? 0 : levels->second.highest(monotonicNow());
    reply.set_level(std::max(m_serving.level(), dependencyLevel));
    reply.set_limit(static_cast<std::uint32_t>(std::max(m_serving.limit(), 0)));
    reply.set_pending(static_cast<std::uint32_t>(m_serving.running() + m_serving.waiting()));
    const upstream_condition stated{m_upstreamRun, m_serving.rateLimit(), m_upstreamLeaving};
    if (stated.run.id != 0 && (stated.rateLimit || stated.leaving)) {
        toWire(stated, *reply.mutable_condition());
    }
}

void call_path::replyToOrigin(const call_origin &origin, wire::CallReply &&reply)
{
    reply.set_call(origin.call);
    reply.set_attempt(origin.attempt);
    if (origin.abandoned) {
        return;
    }
    if (origin.local) {
        onReply(m_self, reply);
    } else {
        m_callbacks.sendReply(origin.from, std::move(reply));
    }
}

std::string call_path::contextToken(call_id id) const
{
    return fmt::format("{:016x}.{:x}", m_incarnation, id);
}

/// @return the call that a context token names, or 0 if the token was not issued by this incarnation of the node.
call_id call_path::parentFromToken(const std::string &token) const
{
    const auto dot = token.find('.');
    if (dot == std::string::npos || token.substr(0, dot) != fmt::format("{:016x}", m_incarnation)) {
        return 0;
    }
    call_id id = 0;
    const auto [end, error] = std::from_chars(token.data() + dot + 1, token.data() + token.size(), id, 16);
    return error == std::errc{} && end == token.data() + token.size() ? id : 0;
}

} // namespace turmericspar
