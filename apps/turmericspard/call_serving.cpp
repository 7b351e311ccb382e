/// @file call_serving.cpp
/// The serving node's half of the path of a call: from a node to the upstream, and back.
#include "call_path.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "turmericspar/node/wire.h"

#include <charconv>
#include <fmt/format.h>

namespace turmericspar {

namespace {

/// How long beyond its deadline a call with a key may go on, so that a resend finds its answer.
constexpr millis keyedLinger{30'000};
/// Pass-through mode waits for an upstream whatever the caller's deadline is, as a plain proxy does.
constexpr millis passThroughTimeout{60'000};

constexpr int serverRefusalFirst = 400;
constexpr int statusMisdirected = 421;

call_context contextFromWire(const wire::CallRequest &request, millis now)
{
    call_context context;
    context.root = request.root();
    context.klass = request.klass();
    context.place.rank = static_cast<int>(std::min<std::uint32_t>(request.rank(), ranksMax - 1));
    context.place.excess = request.excess();
    context.place.draw = request.draw();
    context.depth = static_cast<int>(request.depth());
    context.retries = static_cast<int>(request.retries());
    context.deadline = now + millis{request.deadline_in_ms()};
    context.intent = request.once() ? call_intent::once : call_intent::repeatable;
    context.onceKey = request.once_key();
    context.permit = request.permit();
    return context;
}

} // namespace

void call_path::requested(const link_identity &from, wire::CallRequest &request, bool current)
{
    const served_origin origin{false, false, from, request.call(), request.attempt()};
    if (!current || request.service() != m_service) {
        wire::CallReply reply;
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(current ? refusal_reason::no_upstream : refusal_reason::stale));
        answerOrigin(origin, std::move(reply));
        return;
    }
    http_request out;
    out.method = request.method();
    out.target = request.target();
    out.fields = fieldsFromWire(request, m_profile.calls.commonFields);
    out.body = std::move(*request.mutable_body());
    serve(origin, contextFromWire(request, monotonicNow()), std::move(out), request.caller_service());
}

void call_path::serve(served_origin origin, call_context context, http_request request, const std::string &callerService)
{
    const call_id id = m_nextCall++;
    setField(request.fields, m_profile.calls.callerService, callerService);
    const auto digest = digestOf(request);
    const auto held = m_settings.mode == policy_mode::full ? m_suspects.level(digest, monotonicNow()) : suspicion_level::none;
    served_call call{std::move(origin), std::move(context), std::move(request), digest, monotonicNow(), {0}};
    m_servedByOrigin[{call.origin.from, call.origin.call}] = id;
    m_served.emplace(id, std::move(call));
    if (held == suspicion_level::convicted) {
        refuseServed(id, refusal_reason::suspect);
    } else if (held == suspicion_level::suspect) {
        m_suspectsWaiting.push_back(id);
        offerNextSuspect();
    } else {
        offer(id);
    }
    scheduleTick();
}

/// Lets the decisions have a call.
void call_path::offer(call_id id)
{
    const millis now = monotonicNow();
    auto &call = m_served.at(id);
    const auto below = m_levelsBelow.find(call.context.klass);
    const double levelBelow = below == m_levelsBelow.end() ? 0 : below->second.highest(now);
    offered_call offered{id, call.context};
    std::vector<serving_action> actions;
    m_serving.offer(offered, levelBelow, now, actions);
    call.context = offered.context;
    act(actions);
}

/// Suspects go to the upstream one at a time, so that a crash tells which of them it was.
void call_path::offerNextSuspect()
{
    while (!m_served.contains(m_suspectOffered) && !m_suspectsWaiting.empty()) {
        const auto id = m_suspectsWaiting.front();
        m_suspectsWaiting.pop_front();
        const auto found = m_served.find(id);
        if (found == m_served.end()) {
            continue;
        }
        if (m_suspects.level(found->second.digest, monotonicNow()) == suspicion_level::convicted) {
            refuseServed(id, refusal_reason::suspect);
        } else if (found->second.context.deadline <= monotonicNow()) {
            refuseServed(id, refusal_reason::deadline);
        } else {
            m_suspectOffered = id;
            offer(id);
        }
    }
}

void call_path::act(const std::vector<serving_action> &actions)
{
    for (const auto &action : actions) {
        switch (action.what) {
        case serving_action::verb::start:
            start(action.id);
            break;
        case serving_action::verb::refuse:
            refuseServed(action.id, action.reason);
            break;
        case serving_action::verb::cancel:
            cancelServed(action.id, action.reason);
            break;
        }
    }
}

void call_path::start(call_id id)
{
    auto &call = m_served.at(id);
    const millis now = monotonicNow();
    call.startedAt = now;
    m_ledger.open(id, call.context);
    if (!mayBegin(id, call)) {
        return;
    }
    const millis left = call.context.deadline - now;
    auto request = std::move(call.request);
    const auto &dialect = m_profile.calls;
    if (dialect.context.empty()) {
        m_parents.started(id, call.context.klass, call.context.deadline);
    }
    setField(request.fields, dialect.context, contextToken(id));
    setField(request.fields, dialect.deadline, fmt::format("{:.0f}", std::max(left.count, 1.0)));
    setField(request.fields, dialect.requestId, call.context.root);
    setField(request.fields, dialect.klass, call.context.klass);
    setField(request.fields, dialect.rank, std::to_string(call.context.place.rank));
    setField(request.fields, dialect.instance, m_said.instance);
    http_echo echo;
    if (dialect.echoesRequestId) {
        echo = {dialect.requestId, call.context.root};
    }
    const bool passThrough = m_settings.mode == policy_mode::none;
    const millis linger = call.context.onceKey.empty() ? millis{0} : keyedLinger;
    // A call that may not be repeated keeps its connection as long as its caller waits.
    const bool keepsConnection = call.context.intent == call_intent::once || m_settings.tuning.silenceCuts == 0;
    m_silence.sent(id, keepsConnection ? call.context.deadline : millis{0}, now);
    m_pool.run(id, request, passThrough ? passThroughTimeout : std::max(left, millis{1}) + linger, std::move(echo));
}

/// Checks the key of a call that may run at most once, and answers in its place if it may not begin.
bool call_path::mayBegin(call_id id, const served_call &call)
{
    const auto &key = call.context.onceKey;
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
    case key_admission::barred:
        break;
    case key_admission::no_memory:
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(refusal_reason::in_doubt));
        break;
    }
    // The call is still being started: its end is told in a turn of its own.
    m_loop.defer([this, id, reply = std::make_shared<wire::CallReply>(std::move(reply))] { endServed(id, std::move(*reply), key_note::none); });
    return false;
}

/// Notes in the table of keys how a call ended.
void call_path::noteKey(const served_call &call, const wire::CallReply &reply)
{
    const auto &key = call.context.onceKey;
    if (key.empty() || m_settings.mode == policy_mode::none) {
        return;
    }
    if (reply.outcome() == static_cast<std::uint32_t>(call_outcome::not_run)) {
        m_once.withdraw(key);
    } else {
        m_once.finish(key, reply.SerializeAsString());
    }
}

/// @return whether an answer of the upstream says that it did not begin the call.
bool call_path::provesNotRun(const http_response &response) const
{
    const auto &dialect = m_profile.calls;
    const auto *marker = response.fields.find(dialect.notRun);
    const bool marked = marker && (dialect.notRunValue.empty() || *marker == dialect.notRunValue);
    const bool misdirected = !dialect.instance.empty() && response.status == statusMisdirected;
    return (marked && response.status >= serverRefusalFirst) || misdirected;
}

/// @return whether an answer is the upstream's own and complete, as far as its header tells.
bool call_path::isWhole(const http_response &response) const
{
    const auto &dialect = m_profile.calls;
    const bool success = response.status >= 200 && response.status < 300;
    return dialect.signature.empty() || ((!success || response.fields.find(dialect.signature)) && !response.fields.find("Content-Encoding"));
}

/// Learns how the upstream answered a call.
void call_path::ran(call_id id, http_outcome outcome)
{
    wire::CallReply reply;
    if (outcome.error) {
        const bool timedOut = outcome.error == errc::timeout;
        const auto reason = !outcome.sent ? refusal_reason::unreachable : (timedOut ? refusal_reason::deadline : refusal_reason::broken);
        reply.set_outcome(static_cast<std::uint32_t>(outcome.sent ? call_outcome::unknown : call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(reason));
    } else if (!isWhole(outcome.response)) {
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
        // The entry knows the id and writes the length; the load concerns this node alone.
        outcome.response.fields.remove(m_profile.calls.requestId);
        outcome.response.fields.remove(m_profile.calls.load);
        if (!outcome.response.body.empty()) {
            // An answer to HEAD has no body, and its length is the upstream's to tell.
            outcome.response.fields.remove("Content-Length");
        }
        fieldsToWire(outcome.response.fields, m_profile.calls.commonFields, reply);
        reply.set_body(std::move(outcome.response.body));
    }
    const auto found = m_served.find(id);
    if (found != m_served.end()) {
        const bool brokeOff = outcome.error && outcome.sent && outcome.error != errc::timeout;
        if (brokeOff) {
            m_suspects.broke(found->second.digest, m_serving.running(), monotonicNow());
        } else if (!outcome.error) {
            m_suspects.survived(found->second.digest, monotonicNow());
        }
    }
    endServed(id, std::move(reply), key_note::ended);
    scheduleTick();
}

/// Ends a call that was started, whatever its end, and answers its origin.
void call_path::endServed(call_id id, wire::CallReply reply, key_note note)
{
    const auto found = m_served.find(id);
    if (found == m_served.end()) {
        return;
    }
    served_call call = std::move(found->second);
    m_served.erase(found);
    m_servedByOrigin.erase({call.origin.from, call.origin.call});
    const millis now = monotonicNow();
    if (note == key_note::ended) {
        noteKey(call, reply);
    }

    // Step 1. The calls that it made and that still run are of no use any more
    m_parents.ended(id);
    const auto summary = m_ledger.close(id, now);
    giveUp(summary.unfinished);

    // Step 2. What it taught
    const auto outcome = static_cast<call_outcome>(reply.outcome());
    m_silence.ended(id, outcome == call_outcome::ran, now);
    run_report report;
    report.ownTime = now - call.startedAt - summary.waited;
    report.answered = outcome == call_outcome::ran;
    report.shed = reply.reason() == static_cast<std::uint32_t>(refusal_reason::shed_by_upstream);
    const bool failedItself = outcome == call_outcome::ran && isServerError(reply.status());
    report.failedBelow = failedItself && (summary.finalFailure || m_parents.makesCalls(call.context.klass));
    m_metrics.served(m_service, call.context.place.rank, call.startedAt - call.since, now - call.startedAt);
    std::vector<serving_action> actions;
    m_serving.ended(id, report, now, actions);

    // Step 3. The answer
    const bool failed = outcome != call_outcome::ran || isServerError(reply.status());
    reply.set_final_failure(failed && summary.finalFailure);
    reply.set_retries_used(static_cast<std::uint32_t>(summary.retriesUsed));
    reply.set_upstream_ms((now - call.startedAt).count);
    tellState(call.context.klass, reply);
    noteServed(call, reply);
    answerOrigin(call.origin, std::move(reply));
    act(actions);
}

/// Records the end of a call at this node's upstream or before it.
void call_path::noteServed(const served_call &call, const wire::CallReply &reply)
{
    const millis now = monotonicNow();
    call_record record;
    record.root = call.context.root;
    record.service = m_service;
    record.klass = call.context.klass;
    record.side = call_side::serving;
    record.outcome = static_cast<call_outcome>(reply.outcome());
    record.reason = static_cast<refusal_reason>(reply.reason());
    record.rank = call.context.place.rank;
    record.depth = call.context.depth;
    record.status = static_cast<int>(reply.status());
    record.excess = call.context.place.excess;
    record.levelThen = m_serving.level();
    record.endedAt = wallNow();
    if (record.outcome != call_outcome::ran && m_decisions.admits(now)) {
        m_decisions.write("call_not_served",
                          {{"request", record.root},
                           {"service", record.service},
                           {"instance", m_said.instance},
                           {"class", record.klass},
                           {"rank", record.rank},
                           {"outcome", outcomeNames.name(record.outcome)},
                           {"reason", refusalNames.name(record.reason)},
                           {"running", m_serving.running()},
                           {"waiting", m_serving.waiting()},
                           {"limit", m_serving.limit()},
                           {"level", record.levelThen},
                           {"window", m_serving.window(record.klass)},
                           {"usual_ms", m_serving.usualTime(record.klass, record.depth > 0)},
                           {"deadline_in_ms", call.context.deadline - now},
                           {"started", call.startedAt.count > 0 ? "true" : "false"}});
    }
    record.waited = (call.startedAt.count > 0 ? call.startedAt : now) - call.since;
    record.span = now - call.since;
    m_records.add(std::move(record));
}

/// Answers a call that was never started.
void call_path::refuseServed(call_id id, refusal_reason reason)
{
    const auto found = m_served.find(id);
    if (found == m_served.end()) {
        return;
    }
    const served_call call = std::move(found->second);
    m_served.erase(found);
    m_servedByOrigin.erase({call.origin.from, call.origin.call});
    wire::CallReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
    reply.set_reason(static_cast<std::uint32_t>(reason));
    tellState(call.context.klass, reply);
    noteServed(call, reply);
    answerOrigin(call.origin, std::move(reply));
}

/// Ends calls whose connections went silent, and replaces the connections that may have suffered the same.
void call_path::replaceSilent()
{
    if (m_settings.mode != policy_mode::full) {
        return;
    }
    const auto found = m_silence.look(monotonicNow());
    if (found.replaceBefore) {
        m_pool.replaceIdle(*found.replaceBefore);
    }
    for (const auto id : found.silent) {
        ++m_silentCalls;
        logEvent(log_level::warning, "upstream_connection_silent", {{"service", m_service}, {"peer", m_said.address.text()}});
        cancelServed(id, refusal_reason::broken);
    }
}

/// Ends the run of a call that was given up: its connection is closed, which tells the upstream.
void call_path::cancelServed(call_id id, refusal_reason reason)
{
    m_pool.cancel(id);
    wire::CallReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(call_outcome::unknown));
    reply.set_reason(static_cast<std::uint32_t>(reason));
    endServed(id, std::move(reply), key_note::ended);
}

void call_path::cancelled(const link_identity &from, const wire::CallCancel &cancel)
{
    const auto found = m_servedByOrigin.find({from, cancel.call()});
    if (found == m_servedByOrigin.end()) {
        return;
    }
    const auto id = found->second;
    auto &call = m_served.at(id);
    const bool keyed = !call.context.onceKey.empty() && m_settings.mode == policy_mode::full;
    if (keyed && call.startedAt.count > 0) {
        // It may have had its effect already: let it end, so that a resend finds its answer.
        call.origin.abandoned = true;
        m_servedByOrigin.erase(found);
        return;
    }
    std::vector<serving_action> actions;
    m_serving.giveUp(id, refusal_reason::cancelled, monotonicNow(), actions);
    act(actions);
}

void call_path::originGone(const link_identity &from)
{
    std::vector<wire::CallCancel> unanswerable;
    for (auto place = m_servedByOrigin.lower_bound({from, 0}); place != m_servedByOrigin.end() && place->first.first == from; ++place) {
        unanswerable.emplace_back().set_call(place->first.second);
    }
    for (const auto &cancel : unanswerable) {
        cancelled(from, cancel);
    }
}

/// Adds to an answer what its receiver should know of the load here and below.
void call_path::tellState(const std::string &klass, wire::CallReply &reply)
{
    const auto below = m_levelsBelow.find(klass);
    const double levelBelow = below == m_levelsBelow.end() ? 0 : below->second.highest(monotonicNow());
    reply.set_level(std::max(m_serving.level(), levelBelow));
    reply.set_limit(static_cast<std::uint32_t>(std::max(m_serving.limit(), 0)));
    reply.set_pending(static_cast<std::uint32_t>(m_serving.running() + m_serving.waiting()));
}

void call_path::answerOrigin(const served_origin &origin, wire::CallReply &&reply)
{
    reply.set_call(origin.call);
    reply.set_attempt(origin.attempt);
    if (origin.abandoned) {
        return;
    }
    if (origin.local) {
        replied(m_self, reply);
    } else {
        m_peers.sendReply(origin.from, std::move(reply));
    }
}

std::string call_path::contextToken(call_id id) const
{
    return fmt::format("{:016x}.{:x}", m_incarnation, id);
}

/// @return the call that a context token names, or 0 if it is none of this life of the node.
call_id call_path::parentOf(const std::string &token) const
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
