#include "call_path.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"

#include <cmath>

namespace turmericspar {

namespace {

/// Tick interval while calls wait or are shed: a tenth of the window of the shed level.
constexpr millis tickPeriod{5};
/// Tick interval while a crash is under investigation or suspects wait to be run.
constexpr millis suspectTickPeriod{20};

upstream_pool_options poolOptions(const node_settings &settings, std::function<bool(const http_response &)> mayReuse)
{
    upstream_pool_options options;
    options.mayReuse = std::move(mayReuse);
    options.connectTimeout = settings.connectTimeout;
    options.idleMax = settings.connectionIdle;
    return options;
}

} // namespace

request_digest digestOf(const std::string &service, const http_request &request)
{
    return stableHash(request.body, stableHash(service + "\n" + request.method + " " + request.target));
}

call_path::call_path(event_loop &loop,
                     const node_settings &settings,
                     const interface_profile &profile,
                     node_id self,
                     std::uint64_t incarnation,
                     std::uint64_t seed,
                     call_path_callbacks callbacks)
    : m_loop(loop)
    , m_settings(settings)
    , m_profile(profile)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_callbacks(std::move(callbacks))
    , m_random(seed)
    , m_routes(settings.tuning, settings.domain, seed)
    , m_entry(settings.tuning, settings.mode, m_routes)
    , m_serving(settings.tuning, settings.mode)
    , m_once(loop, m_self, seed, m_callbacks.once)
    , m_pool(loop,
             poolOptions(settings, [this](const http_response &response) { return mayReuseConnection(response); }),
             [this](call_id id, http_outcome outcome) { onUpstreamOutcome(id, std::move(outcome)); })
    , m_silence(settings.tuning)
    , m_suspects(suspects_tunables{})
    , m_tick(loop.after(tickPeriod, [this] { tick(); }))
{
}

call_path::~call_path() = default;

int call_path::targetConnections() const
{
    const int limit = m_settings.mode == policy_mode::none ? m_announcement.slots : m_serving.limit();
    return static_cast<int>(std::ceil(limit * m_settings.tuning.openConnectionsFactor));
}

/// @return how many connections the upstream accepts: the number that it announces, else the one declared by the operators, else its number of slots.
int call_path::connectionsMax() const
{
    const auto &services = m_callbacks.configurationInForce().services;
    const auto service = services.find(m_announcement.service);
    const auto declared = service == services.end() ? std::nullopt : service->second.connections;
    return m_announcement.connections.value_or(declared.value_or(m_announcement.slots));
}

void call_path::onAnnouncement(const announcement &received)
{
    const bool isNew = m_service.empty() || received.instance != m_announcement.instance || received.address != m_announcement.address
        || received.service != m_announcement.service;
    if (!m_announcement.service.empty() && received.service != m_announcement.service) {
        m_once.clear();
    }
    m_announcement = received;
    // An upstream whose announcements do not tell runs apart is taken for a new run once it was gone.
    const auto run = runOf({received.instance, received.startedAt, received.sequence});
    if (run != m_upstreamRun || (run.id == 0 && m_service.empty())) {
        m_upstreamRun = run;
        m_upstreamLeaving = false;
        m_serving.upstreamRestarted();
    }
    m_service = received.service;
    m_serving.announce(received.slots, connectionsMax(), received.cold);
    m_targetConnections = -1;
    resizeConnectionPool();
    if (isNew) {
        logEvent(log_level::info,
                 "upstream_announced",
                 {{"service", received.service},
                  {"address", received.address.text()},
                  {"slots", received.slots},
                  {"instance", received.instance},
                  {"connections", connectionsMax()},
                  {"cold", received.cold ? "true" : "false"}});
        reconfigure();
    }
    applyDrain();
}

/// Adjusts the number of open connections to the upstream to its concurrency limit.
void call_path::resizeConnectionPool()
{
    const int target = targetConnections();
    if (!m_service.empty() && target != m_targetConnections) {
        m_targetConnections = target;
        m_pool.configure(m_announcement.address, target, connectionsMax());
    }
}

void call_path::onUpstreamGone()
{
    m_service.clear();
    m_pool.closeIdle();
    m_targetConnections = -1;
    applyDrain();
}

/// Gives the upstream no new work if there is a reason for that.
void call_path::applyDrain()
{
    const bool draining = m_service.empty() || m_announcement.draining || m_upstreamLeaving || m_operatorDrain || m_shuttingDown;
    if (draining != m_serving.draining()) {
        logEvent(log_level::info, "upstream_draining", {{"service", m_service}, {"draining", draining ? "true" : "false"}});
    }
    std::vector<admission_action> actions;
    m_serving.setDraining(draining, monotonicNow(), actions);
    execute(actions);
    if (draining) {
        refuseWaitingSuspects(refusal_reason::draining);
    }
}

void call_path::setOperatorDrain(bool draining)
{
    m_operatorDrain = draining;
    applyDrain();
}

void call_path::beginShutdown(const stop_schedule &schedule)
{
    m_shuttingDown = true;
    m_stop = schedule;
    applyDrain();
}

void call_path::addRemoteSuspicion(const suspicion &reported)
{
    m_suspects.merge(reported, monotonicNow());
    scheduleTick();
}

bool call_path::liftConviction(request_digest digest)
{
    const bool lifted = m_suspects.lift(digest, monotonicNow());
    tellSuspicions();
    return lifted;
}

std::vector<suspicion> call_path::activeSuspicions(const std::string &service) const
{
    const millis now = monotonicNow();
    if (service == m_service) {
        return m_suspects.active(now);
    }
    std::vector<suspicion> entries;
    for (const auto &[digest, refusingService] : m_refusedElsewhere) {
        const auto conviction = m_suspects.conviction(digest, now);
        if (conviction && refusingService == service) {
            entries.push_back(*conviction);
        }
    }
    return entries;
}

void call_path::reconfigure()
{
    const auto readyNodes = std::max<std::size_t>(m_routes.readyCount(m_service), 1);
    m_serving.configure(m_callbacks.configurationInForce(), 1.0 / static_cast<double>(readyNodes));
}

bool call_path::ready() const
{
    return !m_service.empty() && !m_serving.draining();
}

call_path_status call_path::status() const
{
    call_path_status status;
    status.entryCalls = m_entryCalls.size();
    status.waiting = m_serving.waiting();
    status.running = m_serving.running();
    status.limit = m_serving.limit();
    status.shedLevel = m_serving.level();
    status.rateLimit = m_serving.rateLimit();
    status.leaving = m_upstreamLeaving;
    status.rateLimited = m_rateLimitedCount;
    status.connections = m_pool.openCount();
    status.retries = m_entry.retriesSpent();
    status.silentCalls = m_silentCallCount;
    status.brokenAnswers = m_brokenAnswerCount;
    status.suspects = m_suspects.activeCount(monotonicNow());
    status.held = m_suspectGate.waiting();
    status.draining = m_serving.draining();
    return status;
}

/// Makes sure that the next tick runs at a given time at the latest.
void call_path::scheduleTickBy(millis at)
{
    if (at < m_tickAt) {
        m_tickAt = at;
        m_tick->restart(at - monotonicNow());
    }
}

void call_path::scheduleTickForDeadline()
{
    if (const auto deadline = m_entry.nextDeadline()) {
        scheduleTickBy(*deadline);
    }
}

/// Schedules the next tick for the time at which something is due; an idle node needs no ticks.
void call_path::scheduleTick()
{
    const millis now = monotonicNow();
    scheduleTickForDeadline();
    if (m_serving.needsTick()) {
        scheduleTickBy(now + tickPeriod);
    }
    if (m_suspects.needsTick() || !m_suspectGate.empty()) {
        scheduleTickBy(now + suspectTickPeriod);
    }
    if (m_silence.hasOpenCalls()) {
        scheduleTickBy(now + m_settings.tuning.silenceCheckPeriod);
    }
}

/// Finds out whether calls broke because the upstream crashed: it then accepts no connections any more.
void call_path::investigateCrash()
{
    if (m_probe) {
        return;
    }
    if (!m_suspects.crashLikely(monotonicNow())) {
        m_suspects.tick(monotonicNow(), true);
        tellSuspicions();
        return;
    }
    m_probe = std::make_unique<http_client>(m_loop, m_announcement.address, http_limits{});
    m_probe->connect(m_settings.connectTimeout, [this] {
        const bool lives = m_probe->wasAccepted();
        m_loop.defer([this, lives] {
            m_probe.reset();
            concludeCrash(lives);
        });
    });
}

/// Decides which requests are suspected, and tells the other nodes.
void call_path::concludeCrash(bool upstreamLives)
{
    std::vector<request_digest> stillRunning;
    for (const auto &[id, call] : m_upstreamCalls) {
        if (call.startedAt.count > 0 && call.startedAt <= m_suspects.windowStart()) {
            stillRunning.push_back(call.digest);
        }
    }
    if (const auto report = m_suspects.tick(monotonicNow(), upstreamLives, stillRunning)) {
        logEvent(log_level::warning,
                 "upstream_crashed",
                 {{"service", m_service},
                  {"instance", m_announcement.instance},
                  {"broken", report->broken},
                  {"candidates", report->candidates},
                  {"beside", report->beside},
                  {"excluded", report->excluded}});
    }
    tellSuspicions();
}

/// Tells the other nodes what has changed.
void call_path::tellSuspicions()
{
    const auto updates = m_suspects.takeUpdates();
    if (!updates.empty()) {
        m_callbacks.broadcastSuspicions(updates);
    }
}

void call_path::tick()
{
    m_tickAt = never;
    const millis now = monotonicNow();
    std::vector<dispatch_action> entryActions;
    m_entry.tick(now, entryActions);
    execute(entryActions);
    std::vector<admission_action> servingActions;
    m_serving.tick(now, servingActions);
    execute(servingActions);
    investigateCrash();
    releaseWaitingCalls();
    handleSilentConnections();
    resizeConnectionPool();
    scheduleTick();
}

} // namespace turmericspar
