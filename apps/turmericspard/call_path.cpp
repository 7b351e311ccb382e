#include "call_path.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "turmericspar/base/problem.h"
#include "turmericspar/node/wire.h"

#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace turmericspar {

namespace {

constexpr millis tickPeriod{5};
/// Between two looks at a key whose first attempt still runs.
constexpr millis recheckPause{100};
/// How long beyond its deadline a call with a key may go on, so that a resend finds its answer.
constexpr millis keyedLinger{30'000};
constexpr int serverErrorFirst = 500;
/// Pass-through mode waits for an upstream whatever the caller's deadline is, as a plain proxy does.
constexpr millis passThroughTimeout{60'000};

/// Connections kept open beyond the upstream's limit, so that the limit can grow without a wait.
constexpr double spareConnectionsShare = 0.25;

bool isServerError(std::uint32_t status)
{
    return status >= serverErrorFirst;
}

/// @return whether an answer of the upstream says that it did not begin the call.
bool isShed(const http_response &response)
{
    return response.status == 503 && response.fields.get(field::outcome) == outcomeNames.name(call_outcome::not_run);
}

/// @return a hash of what a request asks for, the same for every copy of it.
request_digest digestOf(const http_request &request)
{
    return stableHash(request.body, stableHash(request.method + " " + request.target));
}

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

call_path::call_path(event_loop &loop, const node_settings &settings, node_id self, std::uint64_t incarnation, std::uint64_t seed, call_path_peers peers)
    : m_loop(loop)
    , m_settings(settings)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_peers(std::move(peers))
    , m_random(seed)
    , m_routes(settings.tuning, settings.domain, seed)
    , m_entry(settings.tuning, settings.mode, m_routes)
    , m_serving(settings.tuning, settings.mode)
    , m_once(loop, m_self, seed, m_peers.once)
    , m_pool(loop, {}, [this](call_id id, http_outcome outcome) { ran(id, std::move(outcome)); })
    , m_suspects(suspects_tunables{})
    , m_tick(loop.every(tickPeriod, [this] { tick(); }))
{
}

call_path::~call_path() = default;

// ---- Entry: from the caller to a serving node ----

void call_path::accept(const http_exchange_ptr &exchange)
{
    std::optional<call_mistake> mistake;
    const auto description = describeCall(exchange->request(), m_peers.declared(), mistake);
    const bool known = m_routes.knows(description.service) || m_peers.declared().services.contains(description.service);
    const auto label = known ? description.service : "unknown";
    if (mistake) {
        refuseAtOnce(exchange, label, 0, mistake->reason, mistake->detail);
    } else if (m_shuttingDown && description.parent.empty()) {
        refuseAtOnce(exchange, label, description.rank, refusal_reason::shutting_down, "this node is shutting down");
    } else if (m_suspects.level(digestOf(exchange->request()), wallNow()) == suspicion_level::convicted) {
        refuseAtOnce(exchange, label, description.rank, refusal_reason::suspect, "upstreams crashed when they ran this request");
    } else if (!known) {
        refuseAtOnce(exchange, label, description.rank, refusal_reason::unknown_service, "no upstream ever announced this service");
    } else {
        enter(exchange, description);
    }
}

void call_path::refuseAtOnce(const http_exchange_ptr &exchange, const std::string &service, int rank, refusal_reason reason, const std::string &detail)
{
    m_metrics.answered(service, rank, call_outcome::not_run, reason, {0});
    exchange->respond(refusalResponse(reason, call_outcome::not_run, detail));
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
    if (description.parent.empty()) {
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
    } else {
        call.parent = parentOf(description.parent);
        auto context = m_ledger.addChild(call.parent, id, now);
        if (!context) {
            refuseAtOnce(exchange, description.service, description.rank, refusal_reason::cancelled, "the call for which this one is made has ended");
            return;
        }
        call.context = *context;
        if (description.timeout) {
            call.context.deadline = std::min(call.context.deadline, now + *description.timeout);
        }
    }
    call.context.intent = description.intent;
    call.klass = call.context.klass;
    call.rank = call.context.place.rank;

    // Step 2. A caller that goes takes its call with it
    exchange->onGone([this, id] {
        std::vector<entry_action> actions;
        m_entry.abandon(id, monotonicNow(), actions);
        const auto found = m_entering.find(id);
        if (found != m_entering.end()) {
            m_ledger.childEnded(found->second.parent, id, found->second.context.retries, false, monotonicNow());
            m_metrics.answered(
                found->second.service, found->second.rank, call_outcome::unknown, refusal_reason::cancelled, monotonicNow() - found->second.since);
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

void call_path::forward(const entry_action &action)
{
    const auto found = m_entering.find(action.id);
    if (found == m_entering.end()) {
        return;
    }
    const auto &call = found->second;
    const auto &request = call.exchange->request();
    call_context context = call.context;
    context.retries = action.retries;
    const auto attempt = static_cast<std::uint32_t>(action.attempt);
    if (action.node == m_self) {
        serve({true, false, {}, action.id, attempt}, context, request);
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
    out.set_method(request.method);
    out.set_target(request.target);
    out.set_body(request.body);
    http_fields fields = request.fields;
    fields.removeHopByHop();
    fieldsToWire(fields, out);
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
    if (const auto *parent = m_ledger.find(call.parent)) {
        m_levelsBelow.try_emplace(parent->klass, m_settings.tuning).first->second.report(call.service, result.level, now);
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

    http_response response;
    const bool hasAnswer = action.useAnswer && call.answer && call.answer->status() != 0;
    if (hasAnswer) {
        response.status = static_cast<int>(call.answer->status());
        response.fields = fieldsFromWire(*call.answer);
        response.body = std::move(*call.answer->mutable_body());
        stamp(response, action.outcome);
    } else {
        response = refusalResponse(action.reason, action.outcome, {});
    }
    if (action.finalFailure) {
        response.fields.set(field::finalFailure, "1");
    }
    m_metrics.answered(call.service, call.rank, action.outcome, action.reason, now - call.since);
    if (hasAnswer) {
        m_metrics.added(call.service, call.rank, now - call.since - millis{call.answer->upstream_ms()});
    }
    call.exchange->respond(response);
}

http_response call_path::refusalResponse(refusal_reason reason, call_outcome outcome, const std::string &detail)
{
    const std::string word(refusalNames.name(reason));
    const int status = statusFor(reason, outcome);
    auto response = problemResponse(status, word, detail.empty() ? "the call was given up: " + word : detail);
    response.fields.add(field::reason, word);
    response.fields.add(field::refusedBy, m_settings.name);
    if (status == 503) {
        const double spread = std::uniform_real_distribution<double>(0, m_settings.tuning.retryAfterSpread.count)(m_random);
        const double wait = (m_settings.tuning.retryAfterLeast.count + spread) / oneSecond.count;
        response.fields.add(field::retryAfter, std::to_string(static_cast<int>(std::ceil(wait))));
    }
    stamp(response, outcome);
    return response;
}

void call_path::stamp(http_response &response, call_outcome outcome)
{
    response.fields.set(field::outcome, std::string(outcomeNames.name(outcome)));
    response.fields.set(field::configVersion, std::to_string(m_peers.version()));
}

// ---- Serving: from a node to the upstream ----

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
    out.fields = fieldsFromWire(request);
    out.body = std::move(*request.mutable_body());
    serve(origin, contextFromWire(request, monotonicNow()), std::move(out));
}

void call_path::serve(served_origin origin, call_context context, http_request request)
{
    const call_id id = m_nextCall++;
    const auto digest = digestOf(request);
    const auto held = m_settings.mode == policy_mode::full ? m_suspects.level(digest, wallNow()) : suspicion_level::none;
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
        if (m_suspects.level(found->second.digest, wallNow()) == suspicion_level::convicted) {
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
            cancelServed(action.id);
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
    removeCallFields(request.fields);
    request.fields.removeHopByHop();
    request.fields.set(field::context, contextToken(id));
    request.fields.set(field::deadline, fmt::format("{:.0f}", std::max(left.count, 1.0)));
    request.fields.set(field::requestId, call.context.root);
    request.fields.set(field::klass, call.context.klass);
    request.fields.set(field::rank, std::to_string(call.context.place.rank));
    const bool passThrough = m_settings.mode == policy_mode::none;
    const millis linger = call.context.onceKey.empty() ? millis{0} : keyedLinger;
    m_pool.run(id, request, passThrough ? passThroughTimeout : std::max(left, millis{1}) + linger);
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

/// Learns how the upstream answered a call.
void call_path::ran(call_id id, http_outcome outcome)
{
    wire::CallReply reply;
    if (outcome.error) {
        const bool timedOut = outcome.error == errc::timeout;
        const auto reason = !outcome.sent ? refusal_reason::unreachable : (timedOut ? refusal_reason::deadline : refusal_reason::broken);
        reply.set_outcome(static_cast<std::uint32_t>(outcome.sent ? call_outcome::unknown : call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(reason));
    } else if (isShed(outcome.response)) {
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::not_run));
        reply.set_reason(static_cast<std::uint32_t>(refusal_reason::shed_by_upstream));
    } else {
        reply.set_outcome(static_cast<std::uint32_t>(call_outcome::ran));
        reply.set_status(static_cast<std::uint32_t>(outcome.response.status));
        outcome.response.fields.removeHopByHop();
        removeCallFields(outcome.response.fields);
        fieldsToWire(outcome.response.fields, reply);
        reply.set_body(std::move(outcome.response.body));
    }
    const auto found = m_served.find(id);
    if (found != m_served.end()) {
        const bool brokeOff = outcome.error && outcome.sent && outcome.error != errc::timeout;
        if (brokeOff) {
            m_suspects.broke(found->second.digest, m_serving.running(), monotonicNow());
        } else if (!outcome.error) {
            m_suspects.survived(found->second.digest, wallNow());
        }
    }
    endServed(id, std::move(reply), key_note::ended);
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
    const auto summary = m_ledger.close(id, now);
    std::vector<entry_action> abandoned;
    for (const auto child : summary.unfinished) {
        const auto entering = m_entering.find(child);
        if (entering != m_entering.end()) {
            m_entry.abandon(child, now, abandoned);
            entering->second.exchange->respond(refusalResponse(refusal_reason::cancelled, call_outcome::unknown, {}));
            m_entering.erase(entering);
        }
    }
    act(abandoned);

    // Step 2. What it taught
    const auto outcome = static_cast<call_outcome>(reply.outcome());
    run_report report;
    report.ownTime = now - call.startedAt - summary.waited;
    report.answered = outcome == call_outcome::ran;
    report.shed = reply.reason() == static_cast<std::uint32_t>(refusal_reason::shed_by_upstream);
    m_metrics.served(m_service, call.context.place.rank, call.startedAt - call.since, now - call.startedAt);
    std::vector<serving_action> actions;
    m_serving.ended(id, report, now, actions);

    // Step 3. The answer
    const bool failed = outcome != call_outcome::ran || isServerError(reply.status());
    reply.set_final_failure(failed && summary.finalFailure);
    reply.set_retries_used(static_cast<std::uint32_t>(summary.retriesUsed));
    reply.set_upstream_ms((now - call.startedAt).count);
    tellState(call.context.klass, reply);
    answerOrigin(call.origin, std::move(reply));
    act(actions);
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
    answerOrigin(call.origin, std::move(reply));
}

/// Ends the run of a call that was given up: its connection is closed, which tells the upstream.
void call_path::cancelServed(call_id id)
{
    m_pool.cancel(id);
    wire::CallReply reply;
    reply.set_outcome(static_cast<std::uint32_t>(call_outcome::unknown));
    reply.set_reason(static_cast<std::uint32_t>(refusal_reason::cancelled));
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

// ---- The upstream ----

int call_path::wantedConnections() const
{
    const int limit = m_settings.mode == policy_mode::none ? m_said.slots : m_serving.limit();
    return static_cast<int>(std::ceil(limit * (1 + spareConnectionsShare)));
}

void call_path::announced(const announcement &said)
{
    const bool isNew = m_service.empty() || said.address != m_said.address || said.service != m_said.service;
    if (!m_said.service.empty() && said.service != m_said.service) {
        m_once.forgetAll();
    }
    m_said = said;
    m_service = said.service;
    m_serving.announce(said.slots, said.connections, said.cold);
    m_pool.configure(said.address, wantedConnections(), said.connections);
    if (isNew) {
        logEvent(log_level::info,
                 "upstream_announced",
                 {{"service", said.service},
                  {"address", said.address.text()},
                  {"slots", said.slots},
                  {"connections", said.connections},
                  {"cold", said.cold ? "true" : "false"}});
        reconfigure();
    }
    applyDrain();
}

void call_path::upstreamGone()
{
    m_service.clear();
    m_pool.release();
    std::vector<serving_action> actions;
    m_serving.setDraining(true, monotonicNow(), actions);
    act(actions);
}

void call_path::applyDrain()
{
    const bool draining = m_said.draining || m_drainOrdered || m_shuttingDown;
    if (draining != m_serving.draining()) {
        logEvent(log_level::info, "upstream_draining", {{"service", m_service}, {"draining", draining ? "true" : "false"}});
    }
    std::vector<serving_action> actions;
    m_serving.setDraining(draining, monotonicNow(), actions);
    act(actions);
}

void call_path::setDrainOrdered(bool ordered)
{
    m_drainOrdered = ordered;
    applyDrain();
}

void call_path::beginShutdown()
{
    m_shuttingDown = true;
    applyDrain();
}

void call_path::reconfigure()
{
    const auto sharers = std::max<std::size_t>(m_routes.readyCount(m_service), 1);
    m_serving.configure(m_peers.declared(), 1.0 / static_cast<double>(sharers));
}

bool call_path::ready() const
{
    return !m_service.empty() && !m_serving.draining();
}

call_path_status call_path::status() const
{
    call_path_status glance;
    glance.entering = m_entering.size();
    glance.waiting = m_serving.waiting();
    glance.running = m_serving.running();
    glance.limit = m_serving.limit();
    glance.level = m_serving.level();
    glance.connections = m_pool.openCount();
    glance.retries = m_entry.retriesSpent();
    glance.draining = m_serving.draining();
    return glance;
}

void call_path::tick()
{
    const millis now = monotonicNow();
    std::vector<entry_action> entryActions;
    m_entry.tick(now, entryActions);
    act(entryActions);
    std::vector<serving_action> servingActions;
    m_serving.tick(now, servingActions);
    act(servingActions);
    m_suspects.tick(now, wallNow());
    const auto news = m_suspects.takeNews();
    if (!news.empty()) {
        m_peers.tellSuspicions(news);
    }
    offerNextSuspect();
    if (!m_service.empty()) {
        m_pool.configure(m_said.address, wantedConnections(), m_said.connections);
    }
}

} // namespace turmericspar
