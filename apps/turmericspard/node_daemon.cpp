#include "node_daemon.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "turmericspar/node/wire.h"

#include <csignal>
#include <cstring>

namespace turmericspar {

namespace {

constexpr millis idleCheckInterval{50};
/// How long a leaving node takes requests of callers after it has announced its departure: every other node has learned of it by then, and what was
/// taken has the rest of the stop to be answered. Calls that its upstream makes for running ones are taken longer (see takesRequest()).
constexpr millis leaveDelay{1000};
/// Time in which the answers that are given at the end of a stop are written.
constexpr millis lastAnswersTime{300};
/// Shortest life of the note of a conviction: a request that crashes upstreams again after it was refused for a minute is convicted at once.
constexpr millis convictionNoteMin{600'000};
constexpr std::size_t seedBytes = sizeof(std::uint64_t);

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    std::memcpy(&seed, randomBytes(seedBytes).data(), seedBytes);
    return seed;
}

http_server_options callerOptions(const node_settings &settings)
{
    http_server_options options;
    options.connectionsMax = static_cast<std::size_t>(settings.callersMax);
    return options;
}

} // namespace

node_daemon::node_daemon(const node_settings &settings, interface_profile profile, const key_ring &keys)
    : m_settings(settings)
    , m_profile(std::move(profile))
    , m_self(settings.advertised.text())
    , m_seed(settings.seed != 0 ? settings.seed : randomSeed())
    , m_incarnation(randomSeed())
    , m_control(m_loop,
                settings,
                m_profile,
                keys,
                m_self,
                m_seed,
                {[this] { onConfigurationChanged(); },
                 [this](const member &entry) { onMemberChanged(entry); },
                 [this](const node_id &node) { m_calls.routes().remove(node); },
                 [this](const upstream_run &departed) { m_upstream.recordDeparture(departed); },
                 [this](const noted_conviction &noted) { onConvictionRead(noted); }})
    , m_calls(m_loop, settings, m_profile, m_self, m_incarnation, m_seed, callPathCallbacks())
    , m_links(m_loop, {settings.nodes, !settings.trustNetwork || !settings.keyFiles.empty()}, m_self, keys, m_incarnation, linkHandlers())
    , m_callers(m_loop, callerOptions(settings), [this](const http_exchange_ptr &exchange) { m_calls.accept(exchange); })
    , m_readiness(m_loop, {}, [this](const http_exchange_ptr &exchange) { respondReadiness(exchange); })
    , m_upstream(
          m_loop,
          {.listen = settings.upstream,
           .knowsService = [this](const std::string &service) { return knowsService(service); },
           .drainingIsFinal = m_profile.drainingIsFinal},
          m_profile.readNotice,
          [this](const announcement &received) {
              m_calls.onAnnouncement(received);
              m_control.setSelf(m_calls.service(), m_calls.ready());
          },
          [this](const std::string &reason) {
              logEvent(log_level::warning, "upstream_gone", {{"service", m_calls.service()}, {"reason", reason}});
              m_calls.onUpstreamGone();
              m_control.setSelf(m_calls.service(), false);
          },
          [this](const upstream_run &departed, std::function<void()> recorded) { m_control.recordDeparture(departed, std::move(recorded)); })
    , m_operators(m_loop, keys)
    , m_api(settings, m_self, m_calls, m_control, [this] { return ready(); })
{
    m_api.addRoutes(m_operators);
}

node_daemon::~node_daemon() = default;

call_path_callbacks node_daemon::callPathCallbacks()
{
    call_path_callbacks callbacks;
    callbacks.configurationInForce = [this]() -> const configuration & { return m_control.inForce(); };
    callbacks.configurationVersion = [this] { return m_control.versions().version(); };
    callbacks.configurationUsable = [this] { return configurationUsable(); };
    callbacks.sendRequest = [this](const node_id &node, wire::CallRequest request, millis deadline) {
        m_links.sendRequest(node, std::move(request), deadline);
    };
    callbacks.sendCancel = [this](const node_id &node, const wire::CallCancel &cancel) { m_links.sendCancel(node, cancel); };
    callbacks.sendWithdrawal = [this](const node_id &node, const wire::CallWithdrawal &withdrawal) { m_links.sendWithdrawal(node, withdrawal); };
    callbacks.sendReply = [this](const connection_id &to, wire::CallReply &&reply) { m_links.reply(to, std::move(reply)); };
    callbacks.broadcastSuspicions = [this](const std::vector<suspicion> &suspicions) { broadcastSuspicions(suspicions); };
    callbacks.onReadinessChanged = [this] { m_control.setSelf(m_calls.service(), m_calls.ready()); };
    callbacks.once.sendAsk = [this](const node_id &node, const wire::OnceAsk &ask) { m_links.sendOnceAsk(node, ask); };
    callbacks.once.sendAnswer = [this](const connection_id &to, wire::OnceAnswer &&answer) { m_links.sendOnceAnswer(to, std::move(answer)); };
    return callbacks;
}

link_handlers node_daemon::linkHandlers()
{
    link_handlers handlers;
    handlers.onRequest = [this](const connection_id &from, wire::CallRequest &request) { m_calls.onRequest(from, request, m_links.isCurrent(request)); };
    handlers.onCancel = [this](const connection_id &from, const wire::CallCancel &cancel) { m_calls.onCancel(from, cancel); };
    handlers.onWithdrawal = [this](const connection_id &from, const wire::CallWithdrawal &withdrawal) { m_calls.onWithdrawal(from, withdrawal); };
    handlers.onReply = [this](const node_id &from, wire::CallReply &reply) { m_calls.onReply(from, reply); };
    handlers.onUnsent = [this](std::uint64_t call, std::uint32_t attempt) { m_calls.onRequestUnsent(call, attempt); };
    handlers.onLinkLost = [this](const node_id &node) { m_calls.onNodeLost(node); };
    handlers.onUnresponsive = [this](const node_id &node, bool unresponsive) { m_calls.setNodeUnresponsive(node, unresponsive); };
    handlers.onAcceptedClosed = [this](const connection_id &from) { m_calls.onOriginDisconnected(from); };
    handlers.onConfigPull = [this](const connection_id &from, const wire::ConfigPull &pull) { m_control.onConfigPull(from, pull); };
    handlers.onConfigPush = [this](const wire::ConfigPush &push) { m_control.onConfigPush(push); };
    handlers.onMemberPull = [this](const connection_id &from) { m_control.onMemberPull(from); };
    handlers.onMemberPush = [this](const wire::MemberPush &push) { m_control.onMemberPush(push); };
    handlers.onSuspicions = [this](const wire::SuspicionPush &push) {
        for (const auto &entry : push.entries()) {
            const auto reported = fromWire(entry, monotonicNow());
            m_calls.addRemoteSuspicion(reported);
            noteConviction(reported, conviction_source::told);
        }
    };
    handlers.onPeerClock = [this](const node_id &node, millis date) { m_control.onPeerClock(node, date); };
    handlers.onOnceAsk = [this](const connection_id &from, const wire::OnceAsk &ask) { m_calls.onceGuard().onAsk(from, ask); };
    handlers.onOnceAnswer = [this](const node_id &from, const wire::OnceAnswer &answer) { m_calls.onceGuard().onAnswer(from, answer); };
    return handlers;
}

result<bool> node_daemon::start()
{
    // Step 1. Connections to other nodes
    auto linked = m_links.listen();
    if (!linked) {
        return linked;
    }
    auto started = m_control.start(m_links);
    if (!started) {
        return started;
    }

    // Step 2. Listeners for operators, the upstream and callers
    for (const auto &listening : {m_operators.listen(m_settings.operators), m_upstream.listen(), m_callers.listen(m_settings.callers)}) {
        if (!listening) {
            return listening.error();
        }
    }

    if (m_settings.readiness) {
        const auto listening = m_readiness.listen(*m_settings.readiness);
        if (!listening) {
            return listening.error();
        }
    }

    // Step 3. Signal handlers; further SIGTERM and SIGINT have no effect after the first
    for (const int signal : {SIGTERM, SIGINT}) {
        m_watchers.push_back(m_loop.onSignal(signal, [this] { shutDown(); }));
    }
    m_watchers.push_back(m_loop.onSignal(SIGHUP, [this] { reload(); }));
    logEvent(log_level::info,
             "node_started",
             {{"name", m_settings.name},
              {"failure_domain", m_settings.domain},
              {"callers", m_settings.callers.text()},
              {"nodes", m_self},
              {"policy", policyModeNames.name(m_settings.mode)}});
    return true;
}

/// Sends what this node found out about requests to the nodes of the same service, which are the ones that may run them. All nodes may refuse a
/// convicted request, so that all learn when a conviction has ended.
void node_daemon::broadcastSuspicions(const std::vector<suspicion> &suspicions)
{
    std::vector<suspicion> ended;
    for (const auto &item : suspicions) {
        logEvent(log_level::warning,
                 "request_suspected",
                 {{"digest", item.digest},
                  {"service", m_calls.service()},
                  {"level", suspicionNames.name(item.level)},
                  {"crashes", item.crashes},
                  {"first_crash_ms_ago", item.crashes > 0 ? monotonicNow() - item.since : millis{0}},
                  {"convictions", item.convictions}});
        noteConviction(item, conviction_source::raised);
        if (endsConviction(item)) {
            ended.push_back(item);
        }
    }
    std::vector<node_id> members;
    std::vector<node_id> others;
    for (const auto &[node, entry] : m_control.members().members()) {
        if (isLive(entry) && node != m_self) {
            (entry.service == m_calls.service() ? members : others).push_back(node);
        }
    }
    pushSuspicions(members, suspicions);
    if (!ended.empty()) {
        pushSuspicions(others, ended);
    }
}

void node_daemon::pushSuspicions(const std::vector<node_id> &nodes, const std::vector<suspicion> &suspicions)
{
    wire::SuspicionPush push;
    for (const auto &item : suspicions) {
        toWire(item, monotonicNow(), *push.add_entries());
    }
    for (const auto &node : nodes) {
        m_links.pushSuspicions(node, push);
    }
}

/// @return whether an entry states that a conviction does not hold.
bool node_daemon::endsConviction(const suspicion &entry)
{
    return entry.level == suspicion_level::none && entry.convictions > 0;
}

/// Keeps a conviction in the store, so that the request stays refused if all nodes that know it end, or removes the note of one that does not hold.
void node_daemon::noteConviction(const suspicion &entry, conviction_source source)
{
    if (entry.level == suspicion_level::convicted) {
        m_control.keepConviction({entry, m_calls.service(), std::max(m_calls.expiryOf(entry), entry.at + convictionNoteMin)}, source);
    } else if (endsConviction(entry) && !m_calls.isConvicted(entry.digest)) {
        m_control.withdrawConviction(entry.digest, source);
    }
}

/// Handles a conviction that an earlier process noted in the store.
void node_daemon::onConvictionRead(const noted_conviction &noted)
{
    logEvent(log_level::info, "conviction_read", {{"digest", noted.entry.digest}, {"service", noted.service}});
    m_calls.addRemoteSuspicion(noted.entry);
    if (noted.service == m_settings.service) {
        m_control.keepConviction(noted, conviction_source::read);
    }
}

/// Hands what this node knows of a member's service to that member if it has started anew or was out of reach, since it missed what was broadcast.
void node_daemon::tellSuspicions(const member &entry)
{
    if (!isLive(entry) || entry.node == m_self || entry.service.empty()) {
        m_toldSuspicions.erase(entry.node);
        return;
    }
    auto &told = m_toldSuspicions[entry.node];
    if (std::exchange(told, entry.incarnation) == entry.incarnation) {
        return;
    }
    const auto suspicions = m_calls.activeSuspicions(entry.service);
    if (!suspicions.empty()) {
        logEvent(log_level::info, "suspicions_told", {{"peer", entry.node}, {"count", suspicions.size()}});
        pushSuspicions({entry.node}, suspicions);
    }
}

/// Logs when another member joins, leaves or is declared dead.
void node_daemon::logMemberState(const member &entry)
{
    auto &logged = m_loggedStates[entry.node];
    if (logged.first == entry.incarnation && logged.second == entry.state) {
        return;
    }
    const bool skipped = entry.state == member_state::suspect || entry.node == m_self;
    logged = {entry.incarnation, entry.state};
    if (!skipped) {
        logEvent(log_level::info, "member_state", {{"peer", entry.node}, {"name", entry.name}, {"state", memberStateNames.name(entry.state)}});
    }
}

/// Updates the routing table after a change of a member.
void node_daemon::onMemberChanged(const member &entry)
{
    m_calls.onceGuard().onMemberChanged(entry);
    logMemberState(entry);
    tellSuspicions(entry);
    if (entry.service.empty()) {
        return;
    }
    m_calls.routes().update(entry.node, entry.service, entry.domain, isLive(entry) && entry.ready);
    m_calls.reconfigure();
}

void node_daemon::respondReadiness(const http_exchange_ptr &exchange) const
{
    if (targetPath(exchange->request().target) != m_profile.readinessPath) {
        exchange->respond({404, {}, {}});
    } else {
        exchange->respond({ready() ? 200 : 503, {}, {}});
    }
}

/// Applies a new configuration.
void node_daemon::onConfigurationChanged()
{
    const auto &limits = m_control.inForce().limits;
    m_callers.setLimits({limits.headerBytes, limits.bodyBytes}, limits.headerTimeout, limits.messageTimeout, limits.idleTimeout);
    m_calls.reconfigure();
}

bool node_daemon::ready() const
{
    // If the interface has no idempotency keys, the table of keys does not matter.
    const bool keysCovered = m_profile.calls.idempotencyKey.empty() || m_calls.onceGuard().coversNewKeys();
    return configurationUsable() && keysCovered && !m_shuttingDown;
}

/// @return whether an upstream may announce a service: any, as long as the configuration names none.
bool node_daemon::knowsService(const std::string &service) const
{
    const auto &services = m_control.inForce().services;
    return services.empty() || services.contains(service);
}

bool node_daemon::configurationUsable() const
{
    return m_control.startupDone() && !m_profile.lacksConfiguration(m_control.versions().version());
}

/// Reads the settings again and applies the only one that is safe to change at run time: the log level.
void node_daemon::reload()
{
    std::vector<settings_error> errors;
    const auto settings = readNodeSettings(m_settings.path, errors);
    for (const auto &error : errors) {
        logEvent(log_level::error, "settings_refused", {{"file", m_settings.path}, {"mistake", error.text()}});
    }
    if (errors.empty()) {
        setLogLevel(settings.logLevel);
        logEvent(log_level::info, "settings_reloaded", {{"log_level", logLevelNames.name(settings.logLevel)}});
    }
}

/// Starts a graceful shutdown: takes no new work, announces the departure to the other nodes, and finishes the calls in flight.
void node_daemon::shutDown()
{
    if (std::exchange(m_shuttingDown, true)) {
        return;
    }
    logEvent(log_level::info, "shutdown_started", {{"wait_ms", m_settings.shutdownWait}});
    m_shutdownStartedAt = monotonicNow();
    m_calls.beginShutdown(stop_schedule::beginningAt(m_shutdownStartedAt, leaveDelay, m_settings.shutdownWait));
    m_callers.disableKeepAlive();
    m_control.leave();
    m_watchers.push_back(m_loop.every(idleCheckInterval, [this] { finishWhenIdle(); }));
}

void node_daemon::finishWhenIdle()
{
    const millis elapsed = monotonicNow() - m_shutdownStartedAt;
    if (elapsed < leaveDelay) {
        return;
    }
    m_calls.withdrawWaitingCalls();
    const bool overdue = elapsed > m_settings.shutdownWait;
    if (overdue) {
        m_callsCut += m_calls.answerRemainingCalls();
    }
    if (overdue || !m_calls.upstreamBusy()) {
        m_callers.stopAccepting();
    }
    const bool finished = m_callers.connectionCount() == 0 && (overdue || m_calls.idle());
    if (!finished && elapsed <= m_settings.shutdownWait + lastAnswersTime) {
        return;
    }
    logEvent(overdue ? log_level::error : log_level::info,
             "shutdown_done",
             {{"overdue", overdue ? "true" : "false"}, {"calls_cut", m_callsCut}, {"callers_connected", m_callers.connectionCount()}, {"span_ms", elapsed}});
    m_loop.quit();
}

} // namespace turmericspar
