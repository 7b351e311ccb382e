#include "upstream_standin.h"

#include "turmericspar/base/secret.h"
#include "turmericspar/caller/call_fields.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace turmericspar {

namespace {

/// Requests for such paths crash the upstream.
constexpr std::string_view poisonPath = "/poison";
constexpr millis poisonDowntime{300};
constexpr millis announcePeriod{1000};
constexpr millis announceTimeout{900};
constexpr millis connectTimeout{1000};
constexpr millis defaultTimeout{10'000};

http_server_options upstreamOptions(int connections)
{
    http_server_options options;
    options.connectionsMax = static_cast<std::size_t>(connections);
    options.messageTimeout = {60'000};
    options.idleTimeout = {600'000};
    return options;
}

} // namespace

std::string answerChecksum(const std::string &root, const std::string &service)
{
    return std::to_string(stableHash(root + "/" + service));
}

/// One call at the upstream.
struct upstream_standin::job
{
    http_exchange_ptr exchange;
    std::string root;
    std::string context;
    millis deadline;
    millis startedAt;
    std::size_t record = 0;
    bool inSlot = false;
    bool over = false;
    std::vector<std::string> toCall;
    int callsOut = 0;
    bool callFailed = false;
    std::string failedCall; ///< how a call that it made failed
    event_watcher_ptr timer;
    std::list<std::unique_ptr<http_client>> clients;
};

upstream_standin::upstream_standin(event_loop &loop, upstream_shape shape, endpoint nodeAnnounce, endpoint nodeCallers, std::uint64_t seed)
    : m_loop(loop), m_shape(std::move(shape)), m_nodeAnnounce(std::move(nodeAnnounce)), m_nodeCallers(std::move(nodeCallers)), m_random(seed)
{
}

upstream_standin::~upstream_standin() = default;

result<endpoint> upstream_standin::start()
{
    m_server = std::make_unique<http_server>(m_loop, upstreamOptions(m_shape.connections), [this](const http_exchange_ptr &exchange) { accept(exchange); });
    auto bound = m_server->listen(m_address);
    if (!bound) {
        return bound;
    }
    const bool moved = m_address != *bound;
    m_address = *bound;
    if (moved) {
        m_announced = m_front ? m_front(m_address) : m_address;
    }
    m_up = true;
    m_startedAt = monotonicNow();
    m_bornAt = wallNow();
    m_announceTimer = m_loop.every(announcePeriod, [this] { announce(); });
    announce();
    return bound;
}

void upstream_standin::announce()
{
    if (!m_up || (m_announcer && m_announcer->busy())) {
        return;
    }
    const bool cold = monotonicNow() - m_startedAt < m_shape.coldStart;
    const nlohmann::json said{{"instance", m_announced.text()},
                              {"started_at_ms", static_cast<std::uint64_t>(m_bornAt.count)},
                              {"service", m_shape.service},
                              {"address", m_announced.text()},
                              {"slots", m_shape.announcedSlots > 0 ? m_shape.announcedSlots : m_shape.slots},
                              {"connections", m_shape.connections},
                              {"cold", cold},
                              {"draining", m_draining},
                              {"load", static_cast<double>(m_running) / m_shape.slots}};
    http_request request;
    request.method = "PUT";
    request.target = "/announcement";
    request.body = said.dump();
    if (!m_announcer || m_announcer->closed()) {
        m_announcer = std::make_unique<http_client>(m_loop, m_nodeAnnounce, http_limits{});
        m_announcer->connect(announceTimeout, {});
    }
    m_announcer->send(request, announceTimeout, [](const http_outcome &) {});
}

void upstream_standin::setDraining(bool draining)
{
    m_draining = draining;
    announce();
}

void upstream_standin::crash(millis downtime)
{
    m_up = false;
    const auto jobs = m_jobs;
    for (const auto &work : jobs) {
        giveUp(work);
    }
    m_server.reset();
    m_announcer.reset();
    m_restart = m_loop.after(downtime, [this] { start(); });
}

void upstream_standin::accept(const http_exchange_ptr &exchange)
{
    const auto &fields = exchange->request().fields;
    auto work = std::make_shared<job>();
    work->exchange = exchange;
    work->root = fields.get(field::requestId);
    work->context = fields.get(field::context);
    const auto timeout = fields.get(field::deadline);
    work->deadline = monotonicNow() + (timeout.empty() ? defaultTimeout : millis{std::strtod(timeout.c_str(), nullptr)});
    m_jobs.push_back(work);
    exchange->onAborted([this, weak = std::weak_ptr<job>(work)] {
        if (const auto work = weak.lock()) {
            giveUp(work);
        }
    });
    if (m_failing) {
        finish(work, 500);
        return;
    }
    if (exchange->request().target.starts_with(poisonPath)) {
        ++m_poisoned;
        m_loop.defer([this] { crash(poisonDowntime); });
        return;
    }
    m_queue.push_back(work);
    startNext();
}

void upstream_standin::startNext()
{
    while (!m_queue.empty() && m_running < static_cast<std::size_t>(m_shape.slots)) {
        const auto work = m_queue.front();
        m_queue.pop_front();
        begin(work);
    }
}

millis upstream_standin::drawTime()
{
    const double mean = m_shape.serviceTime.count * m_slowness;
    const bool cold = monotonicNow() - m_startedAt < m_shape.coldStart;
    const double base = cold ? mean * m_shape.coldFactor : mean;
    switch (m_shape.spread) {
    case time_spread::constant:
        return {base};
    case time_spread::uniform:
        return {std::uniform_real_distribution<double>(0.5 * base, 1.5 * base)(m_random)};
    case time_spread::exponential:
        return {std::exponential_distribution<double>(1 / base)(m_random)};
    }
    return {base};
}

void upstream_standin::begin(const job_ptr &work)
{
    ++m_running;
    work->inSlot = true;
    work->startedAt = monotonicNow();
    work->record = m_records.size();
    const auto &request = work->exchange->request();
    run_record record;
    record.root = work->root;
    record.service = m_shape.service;
    record.at = work->startedAt;
    record.once = request.method == "POST";
    record.key = request.fields.get(field::idempotencyKey);
    m_records.push_back(std::move(record));
    for (const auto &call : m_shape.calls) {
        work->toCall.insert(work->toCall.end(), static_cast<std::size_t>(call.times), call.service);
    }
    // The jobs own their timers: a weak reference keeps a cancelled job from living on by its own timer.
    work->timer = m_loop.after(drawTime(), [this, weak = std::weak_ptr<job>(work)] {
        if (const auto work = weak.lock()) {
            makeCalls(work);
        }
    });
}

void upstream_standin::makeCalls(const job_ptr &work)
{
    if (work->over) {
        return;
    }
    if (work->callFailed || (work->toCall.empty() && work->callsOut == 0)) {
        finish(work, work->callFailed ? 502 : 200);
        return;
    }
    do {
        const auto service = work->toCall.back();
        work->toCall.pop_back();
        makeCall(work, service);
    } while (m_shape.parallel && !work->toCall.empty());
}

std::unique_ptr<http_client> upstream_standin::takeClient()
{
    while (!m_clients.empty()) {
        auto client = std::move(m_clients.back());
        m_clients.pop_back();
        if (client->open()) {
            return client;
        }
    }
    auto client = std::make_unique<http_client>(m_loop, m_nodeCallers, http_limits{});
    client->connect(connectTimeout, {});
    return client;
}

void upstream_standin::makeCall(const job_ptr &work, const std::string &service)
{
    http_request request;
    request.fields.add("Host", service);
    request.fields.add(field::context, work->context);
    request.fields.add(field::needed, "1");
    ++work->callsOut;
    auto &client = work->clients.emplace_back(takeClient());
    auto *raw = client.get();
    const millis left = std::max(work->deadline - monotonicNow(), millis{1});
    raw->send(request, left, [this, raw, weak = std::weak_ptr<job>(work)](const http_outcome &outcome) {
        const auto work = weak.lock();
        if (!work) {
            return;
        }
        const auto found = std::find_if(work->clients.begin(), work->clients.end(), [&](const auto &client) { return client.get() == raw; });
        if (raw->open()) {
            m_clients.push_back(std::move(*found));
            work->clients.erase(found);
        }
        callEnded(work, outcome);
    });
}

void upstream_standin::callEnded(const job_ptr &work, const http_outcome &outcome)
{
    --work->callsOut;
    const bool failed = outcome.error || outcome.response.status != 200;
    work->callFailed = work->callFailed || failed;
    if (failed) {
        work->failedCall = outcome.error ? outcome.error.message() : outcome.response.fields.get(field::reason);
    }
    if (work->over || (work->callsOut > 0 && !work->callFailed)) {
        return;
    }
    makeCalls(work);
}

void upstream_standin::finish(const job_ptr &work, int status)
{
    if (std::exchange(work->over, true)) {
        return;
    }
    http_response response;
    response.status = status;
    response.fields.add("Content-Type", "text/plain");
    response.fields.add("X-Answer-For", work->root);
    if (!work->failedCall.empty()) {
        response.fields.add("X-Failed-Call", work->failedCall);
    }
    if (m_statedLimit > 0) {
        response.fields.add(field::rateLimit, fmt::format("{:g}", m_statedLimit));
    }
    if (m_leaving) {
        response.fields.add(field::leaving, "1");
    }
    response.body = answerChecksum(work->root, m_shape.service) + "\n";
    // The server writes the length itself, but for an answer to HEAD, which has no body to count.
    response.fields.add("Content-Length", std::to_string(response.body.size()));
    work->exchange->respond(std::move(response));
    leaveSlot(work, status == 200);
}

/// Ends a job whose caller has gone.
void upstream_standin::giveUp(const job_ptr &work)
{
    if (std::exchange(work->over, true)) {
        return;
    }
    std::erase(m_queue, work);
    leaveSlot(work, false);
}

void upstream_standin::leaveSlot(job_ptr work, bool finished)
{
    m_jobs.remove(work);
    // Clients may be in a callback of their own: they end in the next turn.
    m_loop.defer([clients = std::make_shared<std::list<std::unique_ptr<http_client>>>(std::move(work->clients))] { clients->clear(); });
    if (std::exchange(work->inSlot, false)) {
        --m_running;
        auto &record = m_records[work->record];
        record.finished = finished;
        record.busy = monotonicNow() - work->startedAt;
    }
    startNext();
}

} // namespace turmericspar
