#include "turmericspar/upstream/upstream_pool.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Delay before the next attempt to open the wanted connections.
constexpr millis reopenDelay{100};
/// Interval between checks for idle connections that are too old to be reused.
constexpr millis prunePeriod{500};

} // namespace

upstream_pool::upstream_pool(event_loop &loop, upstream_pool_options options, done_handler onDone)
    : m_loop(loop)
    , m_options(options)
    , m_onDone(std::move(onDone))
    , m_responseBudget{options.bufferedBytesMax, 0}
    , m_maintenanceTimer(loop.after(reopenDelay, [this] { openInAdvance(); }))
{
    m_options.limits.sharedBudget = &m_responseBudget;
}

void upstream_pool::configure(const endpoint &address, int wanted, int max)
{
    if (address != m_address) {
        closeIdle();
        m_address = address;
    }
    m_max = max;
    m_wanted = std::min(wanted, max);
    openInAdvance();
}

void upstream_pool::closeIdle()
{
    m_wanted = 0;
    m_max = 0;
    m_idle.clear();
    m_opening.clear();
}

upstream_pool::client_ptr upstream_pool::makeClient()
{
    return std::make_unique<http_client>(m_loop, m_address, m_options.limits);
}

/// Opens connections up to the wanted number, a few at a time.
void upstream_pool::openInAdvance()
{
    const millis now = monotonicNow();
    std::erase_if(m_idle, [&](const idle_client &idle) { return idle.client->closed() || !isFresh(idle, now); });
    auto total = static_cast<int>(m_idle.size() + m_busy.size() + m_opening.size());
    while (total < m_wanted && static_cast<int>(m_opening.size()) < m_options.openingMax) {
        auto created = makeClient();
        auto *client = created.get();
        m_opening.emplace(client, std::move(created));
        client->connect(m_options.connectTimeout, [this, client] { onConnected(client); });
        ++total;
    }
    if (total < m_wanted || !m_opening.empty()) {
        m_maintenanceTimer->restart(reopenDelay);
    } else if (!m_idle.empty()) {
        m_maintenanceTimer->restart(prunePeriod);
    }
}

/// Adds a connection to the idle pool if it opened, and drops it otherwise.
void upstream_pool::onConnected(http_client *opened)
{
    const auto found = m_opening.find(opened);
    if (found == m_opening.end()) {
        return;
    }
    auto client = std::move(found->second);
    m_opening.erase(found);
    if (client->open()) {
        m_idle.push_back({std::move(client), monotonicNow()});
        openInAdvance();
    }
}

/// Takes the idle connection that was used last, but none on which the same request was answered with an error.
upstream_pool::client_ptr upstream_pool::takeOpen(const std::string &correlationValue)
{
    const millis now = monotonicNow();
    std::erase_if(m_idle, [&](const idle_client &idle) { return !idle.client->open() || !isFresh(idle, now); });
    const auto found = std::find_if(
        m_idle.rbegin(), m_idle.rend(), [&](const idle_client &idle) { return correlationValue.empty() || !idle.client->hasFailed(correlationValue); });
    if (found == m_idle.rend()) {
        return nullptr;
    }
    auto client = std::move(found->client);
    m_idle.erase(std::next(found).base());
    return client;
}

/// @return whether an idle connection is still well within the upstream's keep-alive time, so that a request is not sent on a closing connection.
bool upstream_pool::isFresh(const idle_client &idle, millis now) const
{
    const auto kept = idle.client->keepAliveTimeout();
    const millis limit = kept ? *kept - m_options.idleMargin : m_options.idleMax;
    return now - idle.lastActive < limit;
}

void upstream_pool::run(call_id id, const http_request &request, millis timeout, http_correlation echo)
{
    auto client = takeOpen(echo.value);
    if (!client) {
        client = makeClient();
        client->connect(std::min(timeout, m_options.connectTimeout), {});
    }
    client->send(
        request, timeout, [this, id](http_outcome outcome) { onFinished(id, std::move(outcome)); }, std::move(echo));
    m_busy.emplace(id, std::move(client));
}

void upstream_pool::onFinished(call_id id, http_outcome outcome)
{
    const auto found = m_busy.find(id);
    auto client = std::move(found->second);
    m_busy.erase(found);
    const bool mayReuse = outcome.error || m_options.mayReuse(outcome.response);
    if (client->open() && mayReuse && static_cast<int>(m_idle.size() + m_busy.size()) < m_max) {
        m_idle.push_back({std::move(client), monotonicNow()});
        if (m_idle.size() == 1) {
            m_maintenanceTimer->restart(prunePeriod);
        }
    }
    m_onDone(id, std::move(outcome));
}

void upstream_pool::replaceIdle(millis activeBefore)
{
    std::erase_if(m_idle, [&](const idle_client &idle) { return idle.lastActive < activeBefore; });
    openInAdvance();
}

void upstream_pool::cancel(call_id id)
{
    m_busy.erase(id);
}

} // namespace turmericspar
