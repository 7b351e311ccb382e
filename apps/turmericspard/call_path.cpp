#include "call_path.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"

#include <cmath>

namespace turmericspar {

namespace {

/// Between two ticks while calls wait or are shed: a tenth of the window of the shed level.
constexpr millis tickPeriod{5};
/// Between two ticks while a crash is looked into or suspects wait for their turn.
constexpr millis suspectPeriod{20};

upstream_pool_options poolOptions(const node_settings &settings)
{
    upstream_pool_options options;
    options.connectTimeout = settings.connectTimeout;
    options.idleMax = settings.connectionIdle;
    return options;
}

} // namespace

request_digest digestOf(const http_request &request)
{
    return stableHash(request.body, stableHash(request.method + " " + request.target));
}

call_path::call_path(event_loop &loop,
                     const node_settings &settings,
                     const interface_profile &profile,
                     node_id self,
                     std::uint64_t incarnation,
                     std::uint64_t seed,
                     call_path_peers peers)
    : m_loop(loop)
    , m_settings(settings)
    , m_profile(profile)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_peers(std::move(peers))
    , m_random(seed)
    , m_routes(settings.tuning, settings.domain, seed)
    , m_entry(settings.tuning, settings.mode, m_routes)
    , m_serving(settings.tuning, settings.mode)
    , m_once(loop, m_self, seed, m_peers.once)
    , m_pool(loop, poolOptions(settings), [this](call_id id, http_outcome outcome) { ran(id, std::move(outcome)); })
    , m_silence(settings.tuning)
    , m_suspects(suspects_tunables{})
    , m_tick(loop.after(tickPeriod, [this] { tick(); }))
{
}

call_path::~call_path() = default;

int call_path::wantedConnections() const
{
    const int limit = m_settings.mode == policy_mode::none ? m_said.slots : m_serving.limit();
    return static_cast<int>(std::ceil(limit * m_settings.tuning.connectionsAhead));
}

/// @return how many connections the upstream accepts: as it says, as the operators declare, or as many as it has slots.
int call_path::connectionsMost() const
{
    const auto &declared = m_peers.declared().services;
    const auto service = declared.find(m_said.service);
    const auto byOperators = service == declared.end() ? std::nullopt : service->second.connections;
    return m_said.connections.value_or(byOperators.value_or(m_said.slots));
}

void call_path::announced(const announcement &said)
{
    const bool isNew = m_service.empty() || said.instance != m_said.instance || said.address != m_said.address || said.service != m_said.service;
    if (!m_said.service.empty() && said.service != m_said.service) {
        m_once.forgetAll();
    }
    m_said = said;
    m_service = said.service;
    m_serving.announce(said.slots, connectionsMost(), said.cold);
    m_connectionsWanted = -1;
    openConnections();
    if (isNew) {
        logEvent(log_level::info,
                 "upstream_announced",
                 {{"service", said.service},
                  {"address", said.address.text()},
                  {"slots", said.slots},
                  {"instance", said.instance},
                  {"connections", connectionsMost()},
                  {"cold", said.cold ? "true" : "false"}});
        reconfigure();
    }
    applyDrain();
}

/// Keeps as many connections to the upstream open as its limit asks for.
void call_path::openConnections()
{
    const int wanted = wantedConnections();
    if (!m_service.empty() && wanted != m_connectionsWanted) {
        m_connectionsWanted = wanted;
        m_pool.configure(m_said.address, wanted, connectionsMost());
    }
}

void call_path::upstreamGone()
{
    m_service.clear();
    m_pool.closeIdle();
    m_connectionsWanted = -1;
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
    glance.silent = m_silentCalls;
    glance.suspects = m_suspects.heldCount(monotonicNow());
    glance.draining = m_serving.draining();
    return glance;
}

/// Sees to it that the next tick runs by a time.
void call_path::wakeBy(millis at)
{
    if (at < m_tickAt) {
        m_tickAt = at;
        m_tick->restart(at - monotonicNow());
    }
}

void call_path::wakeForDeadline()
{
    if (const auto deadline = m_entry.nextDeadline()) {
        wakeBy(*deadline);
    }
}

/// Arms the next tick for the time at which something is due; an idle node needs none.
void call_path::scheduleTick()
{
    const millis now = monotonicNow();
    wakeForDeadline();
    if (m_serving.needsTick()) {
        wakeBy(now + tickPeriod);
    }
    if (m_suspects.needsTick() || !m_suspectsWaiting.empty()) {
        wakeBy(now + suspectPeriod);
    }
    if (m_silence.watching()) {
        wakeBy(now + m_settings.tuning.silenceLookPeriod);
    }
}

void call_path::tick()
{
    m_tickAt = never;
    const millis now = monotonicNow();
    std::vector<entry_action> entryActions;
    m_entry.tick(now, entryActions);
    act(entryActions);
    std::vector<serving_action> servingActions;
    m_serving.tick(now, servingActions);
    act(servingActions);
    m_suspects.tick(now);
    const auto news = m_suspects.takeNews();
    if (!news.empty()) {
        m_peers.tellSuspicions(news);
    }
    offerNextSuspect();
    replaceSilent();
    openConnections();
    scheduleTick();
}

} // namespace turmericspar
