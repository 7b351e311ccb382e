#include "caller_load.h"

#include "turmericspar/caller/call_fields.h"

#include <algorithm>
#include <fmt/format.h>

namespace turmericspar {

namespace {

constexpr millis connectTimeout{1000};
constexpr int nodePicksMax = 10;

} // namespace

/// A request that has not ended yet.
struct caller_load::request_state
{
    std::size_t record = 0;
    millis deadline;
    std::size_t node = 0;
    std::unique_ptr<http_client> client;
    event_watcher_ptr retryTimer;
};

caller_load::caller_load(event_loop &loop, const trace &plan, const std::vector<node_addresses> &nodes)
    : m_loop(loop)
    , m_plan(plan)
    , m_nodes(nodes)
    , m_random(plan.seed)
    , m_arrivals(plan.drawArrivals(m_random))
    , m_records(m_arrivals.size())
    , m_idle(nodes.size())
{
}

caller_load::~caller_load() = default;

void caller_load::start(std::function<void()> onEnd)
{
    m_onEnd = std::move(onEnd);
    m_startedAt = monotonicNow();
    m_due = m_loop.after(millis{0}, [this] { dispatch(); });
}

void caller_load::dispatch()
{
    const millis now = monotonicNow() - m_startedAt;
    while (m_next < m_arrivals.size() && m_arrivals[m_next].at <= now) {
        const auto &arriving = m_arrivals[m_next];
        const auto &caller = m_plan.callers[arriving.caller];
        auto &record = m_records[m_next];
        record.root = fmt::format("{}-{}-{}", m_plan.seed, caller.name, m_next);
        record.caller = arriving.caller;
        // Latency counts from the time the request was due, not from when this loop sent it.
        record.at = arriving.at;
        record.key = makeIdempotencyKey();
        auto request = std::make_shared<request_state>();
        request->record = m_next;
        request->deadline = m_startedAt + arriving.at + caller.deadline;
        request->node = pickNode(caller);
        ++m_next;
        ++m_open;
        send(request);
    }
    if (m_next < m_arrivals.size()) {
        m_due->restart(m_startedAt + m_arrivals[m_next].at - monotonicNow());
    } else {
        endIfDone();
    }
}

void caller_load::endIfDone()
{
    if (m_next == m_arrivals.size() && m_open == 0) {
        m_onEnd();
    }
}

/// Makes a UUID of version 7 (RFC 9562): the time in milliseconds, then random bits.
std::string caller_load::makeIdempotencyKey()
{
    const auto time = static_cast<std::uint64_t>(wallNow().count);
    const std::uint64_t high = m_random();
    const std::uint64_t low = m_random();
    return fmt::format(
        "{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16U, time & 0xffffU, high & 0xfffU, 0x8000U | (high >> 52U & 0x3fffU), low & 0xffffffffffffU);
}

std::size_t caller_load::pickNode(const trace_caller &caller)
{
    for (;;) {
        const std::size_t index = m_random() % m_nodes.size();
        if (caller.onlyIn.empty() || m_nodes[index].domain == caller.onlyIn) {
            return index;
        }
    }
}

std::unique_ptr<http_client> caller_load::takeClient(std::size_t node)
{
    auto &idle = m_idle[node];
    while (!idle.empty()) {
        auto client = std::move(idle.back());
        idle.pop_back();
        if (client->open()) {
            return client;
        }
    }
    auto client = std::make_unique<http_client>(m_loop, m_nodes[node].callers, http_limits{});
    client->connect(connectTimeout, {});
    return client;
}

void caller_load::send(const request_ptr &request)
{
    auto &record = m_records[request->record];
    const auto &caller = m_plan.callers[record.caller];
    const millis left = request->deadline - monotonicNow();
    if (left <= millis{0}) {
        end(request);
        return;
    }
    ++record.tries;
    http_request message;
    message.method = caller.method;
    message.target = (caller.poison ? "/poison-" : "/") + record.root;
    message.fields.add("Host", caller.service);
    message.fields.add(field::requestId, record.root);
    message.fields.add(field::deadline, fmt::format("{:.0f}", std::max(left.count, 1.0)));
    if (!caller.klass.empty()) {
        message.fields.add(field::klass, caller.klass);
    }
    if (caller.method == "POST") {
        message.fields.add(field::idempotencyKey, record.key);
        // If every earlier try was proven not to run, this is the first attempt that an upstream can see.
        if (record.allNotRun) {
            message.fields.add(field::attempt, "1");
        }
    }
    request->client = takeClient(request->node);
    const millis timeout = caller.tryTimeout.count > 0 ? std::min(left, caller.tryTimeout) : left;
    request->client->send(message, timeout, [this, request](const http_outcome &outcome) { onAnswer(request, outcome); });
}

void caller_load::onAnswer(const request_ptr &request, const http_outcome &outcome)
{
    if (request->client->open()) {
        m_idle[request->node].push_back(std::move(request->client));
    }
    evaluateAnswer(request, outcome);
    auto &record = m_records[request->record];
    if (record.inTime || record.wrong) {
        end(request);
    } else {
        retryOrEnd(request);
    }
}

/// Records the result of a try, and checks that the answer belongs to this request and is complete.
void caller_load::evaluateAnswer(const request_ptr &request, const http_outcome &outcome)
{
    auto &record = m_records[request->record];
    const auto &caller = m_plan.callers[record.caller];
    record.lastStatus = outcome.error ? 0 : outcome.response.status;
    record.lastReason = outcome.error ? outcome.error.message() : outcome.response.fields.get(field::reason);
    if (record.lastReason.empty()) {
        record.lastReason = outcome.response.fields.get("X-Failed-Call");
    }
    const bool notRun = !outcome.error && outcome.response.fields.get(field::outcome) == outcomeNames.name(call_outcome::not_run);
    const bool neverSent = outcome.error && !outcome.sent;
    record.allNotRun = record.allNotRun && (notRun || neverSent);
    if (outcome.error || outcome.response.status != 200) {
        return;
    }
    const bool own = outcome.response.fields.get("X-Answer-For") == record.root;
    const bool whole = outcome.response.body == answerChecksum(record.root, caller.service) + "\n";
    record.wrong = !own || !whole;
    const millis now = monotonicNow();
    record.latency = now - (m_startedAt + record.at);
    record.inTime = !record.wrong && now <= request->deadline;
}

void caller_load::retryOrEnd(const request_ptr &request)
{
    auto &record = m_records[request->record];
    const auto &caller = m_plan.callers[record.caller];
    if (record.tries > caller.retries || monotonicNow() + caller.retryAfter >= request->deadline) {
        end(request);
        return;
    }
    // A caller that one node refused retries at another node, if there is one.
    const auto refusedBy = request->node;
    for (int pick = 0; pick < nodePicksMax && request->node == refusedBy; ++pick) {
        request->node = pickNode(caller);
    }
    request->retryTimer = m_loop.after(caller.retryAfter, [this, request] { send(request); });
}

void caller_load::end(const request_ptr &request)
{
    auto &record = m_records[request->record];
    if (!record.inTime) {
        record.latency = m_plan.callers[record.caller].deadline;
    }
    // The timer holds the request; it must not be destroyed while it runs.
    m_loop.defer([request] { request->retryTimer.reset(); });
    --m_open;
    endIfDone();
}

} // namespace turmericspar
