#include "turmericspar/upstream/upstream_pool.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Before another try to open the connections that are wanted.
constexpr millis reopenPause{100};
/// Between two looks for idle connections that are too old to be used.
constexpr millis prunePeriod{500};

} // namespace

upstream_pool::upstream_pool(event_loop &loop, upstream_pool_options options, done_handler onDone)
    : m_loop(loop), m_options(options), m_onDone(std::move(onDone)), m_held{options.heldMost, 0}, m_retry(loop.after(reopenPause, [this] { openAhead(); }))
{
    m_options.limits.sharedBudget = &m_held;
}

void upstream_pool::configure(const endpoint &address, int wanted, int most)
{
    if (address != m_address) {
        release();
        m_address = address;
    }
    m_most = most;
    m_wanted = std::min(wanted, most);
    openAhead();
}

void upstream_pool::release()
{
    m_wanted = 0;
    m_most = 0;
    m_idle.clear();
    m_opening.clear();
}

upstream_pool::client_ptr upstream_pool::makeClient()
{
    return std::make_unique<http_client>(m_loop, m_address, m_options.limits);
}

/// Opens connections up to the wanted number, a few at a time.
void upstream_pool::openAhead()
{
    const millis now = monotonicNow();
    std::erase_if(m_idle, [&](const idle_client &idle) { return idle.client->closed() || !isFresh(idle, now); });
    auto total = static_cast<int>(m_idle.size() + m_busy.size() + m_opening.size());
    while (total < m_wanted && static_cast<int>(m_opening.size()) < m_options.openAtOnce) {
        auto made = makeClient();
        auto *client = made.get();
        m_opening.emplace(client, std::move(made));
        client->connect(m_options.connectTimeout, [this, client] { settle(client); });
        ++total;
    }
    if (total < m_wanted || !m_opening.empty()) {
        m_retry->restart(reopenPause);
    } else if (!m_idle.empty()) {
        m_retry->restart(prunePeriod);
    }
}

/// Files a connection that has opened, or forgets one that has not.
void upstream_pool::settle(http_client *opened)
{
    const auto found = m_opening.find(opened);
    if (found == m_opening.end()) {
        return;
    }
    auto client = std::move(found->second);
    m_opening.erase(found);
    if (client->open()) {
        m_idle.push_back({std::move(client), monotonicNow()});
        openAhead();
    }
}

upstream_pool::client_ptr upstream_pool::takeOpen()
{
    const millis now = monotonicNow();
    while (!m_idle.empty()) {
        auto idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (idle.client->open() && isFresh(idle, now)) {
            return std::move(idle.client);
        }
    }
    return nullptr;
}

/// @return whether the upstream will surely not close an idle connection before a request reaches it.
bool upstream_pool::isFresh(const idle_client &idle, millis now) const
{
    const auto kept = idle.client->keepAliveTimeout();
    const millis limit = kept ? *kept - m_options.idleMargin : m_options.idleMost;
    return now - idle.heardAt < limit;
}

void upstream_pool::run(call_id id, const http_request &request, millis timeout, http_correlation echo)
{
    auto client = takeOpen();
    if (!client) {
        client = makeClient();
        client->connect(std::min(timeout, m_options.connectTimeout), {});
    }
    client->send(
        request, timeout, [this, id](http_outcome outcome) { finished(id, std::move(outcome)); }, std::move(echo));
    m_busy.emplace(id, std::move(client));
}

void upstream_pool::finished(call_id id, http_outcome outcome)
{
    const auto found = m_busy.find(id);
    auto client = std::move(found->second);
    m_busy.erase(found);
    if (client->open() && static_cast<int>(m_idle.size() + m_busy.size()) < m_most) {
        m_idle.push_back({std::move(client), monotonicNow()});
        if (m_idle.size() == 1) {
            m_retry->restart(prunePeriod);
        }
    }
    m_onDone(id, std::move(outcome));
}

void upstream_pool::renewIdle(millis heardBefore)
{
    std::erase_if(m_idle, [&](const idle_client &idle) { return idle.heardAt < heardBefore; });
    openAhead();
}

void upstream_pool::cancel(call_id id)
{
    m_busy.erase(id);
}

} // namespace turmericspar
