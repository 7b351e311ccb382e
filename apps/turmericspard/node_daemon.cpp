#include "node_daemon.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"

#include <csignal>
#include <cstring>

namespace turmericspar {

namespace {

constexpr millis idleCheck{50};
/// How long a leaving node goes on serving, so that every other node has learned that it leaves.
constexpr millis farewell{1000};
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
    , m_control(
          m_loop,
          settings,
          m_profile,
          keys,
          m_self,
          m_seed,
          {[this] { configured(); }, [this](const member &entry) { memberChanged(entry); }, [this](const node_id &node) { m_calls.routes().remove(node); }})
    , m_calls(m_loop, settings, m_profile, m_self, m_incarnation, m_seed, callPeers())
    , m_links(m_loop, {settings.nodes, !settings.trustNetwork || !settings.keyFiles.empty()}, m_self, keys, m_incarnation, linkHandlers())
    , m_callers(m_loop, callerOptions(settings), [this](const http_exchange_ptr &exchange) { m_calls.accept(exchange); })
    , m_readiness(m_loop, {}, [this](const http_exchange_ptr &exchange) { answerReadiness(exchange); })
    , m_upstream(
          m_loop,
          {settings.upstream},
          m_profile.readNotice,
          [this](const announcement &said) {
              m_calls.announced(said);
              m_control.setSelf(m_calls.service(), m_calls.ready());
          },
          [this](const std::string &reason) {
              logEvent(log_level::warning, "upstream_gone", {{"service", m_calls.service()}, {"reason", reason}});
              m_calls.upstreamGone();
              m_control.setSelf(m_calls.service(), false);
          })
    , m_operators(m_loop, keys)
    , m_api(settings, m_self, m_calls, m_control, [this] { return ready(); })
{
    m_api.addRoutes(m_operators);
}

node_daemon::~node_daemon() = default;

call_path_peers node_daemon::callPeers()
{
    call_path_peers peers;
    peers.declared = [this]() -> const configuration & { return m_control.inForce(); };
    peers.version = [this] { return m_control.versions().version(); };
    peers.sendRequest = [this](const node_id &node, wire::CallRequest request, millis deadline) { m_links.sendRequest(node, std::move(request), deadline); };
    peers.sendCancel = [this](const node_id &node, const wire::CallCancel &cancel) { m_links.sendCancel(node, cancel); };
    peers.sendReply = [this](const connection_id &to, wire::CallReply &&reply) { m_links.reply(to, std::move(reply)); };
    peers.tellSuspicions = [this](const std::vector<suspicion> &news) { tellSuspicions(news); };
    peers.once.ask = [this](const node_id &node, const wire::OnceAsk &ask) { m_links.sendOnceAsk(node, ask); };
    peers.once.answer = [this](const connection_id &to, wire::OnceAnswer &&answer) { m_links.sendOnceAnswer(to, std::move(answer)); };
    return peers;
}

link_handlers node_daemon::linkHandlers()
{
    link_handlers handlers;
    handlers.onRequest = [this](const connection_id &from, wire::CallRequest &request) { m_calls.requested(from, request, m_links.isCurrent(request)); };
    handlers.onCancel = [this](const connection_id &from, const wire::CallCancel &cancel) { m_calls.cancelled(from, cancel); };
    handlers.onReply = [this](const node_id &from, wire::CallReply &reply) { m_calls.replied(from, reply); };
    handlers.onUnsent = [this](std::uint64_t call, std::uint32_t attempt) { m_calls.unsent(call, attempt); };
    handlers.onLinkLost = [this](const node_id &node) { m_calls.lost(node); };
    handlers.onUnresponsive = [this](const node_id &node, bool doubtful) { m_calls.doubted(node, doubtful); };
    handlers.onAcceptedClosed = [this](const connection_id &from) { m_calls.originGone(from); };
    handlers.onConfigPull = [this](const connection_id &from, std::uint64_t have) { m_control.configPulled(from, have); };
    handlers.onConfigPush = [this](const wire::ConfigPush &push) { m_control.configPushed(push); };
    handlers.onMemberPull = [this](const connection_id &from) { m_control.membersPulled(from); };
    handlers.onMemberPush = [this](const wire::MemberPush &push) { m_control.membersPushed(push); };
    handlers.onSuspicions = [this](const wire::SuspicionPush &push) {
        for (const auto &entry : push.entries()) {
            const auto level = static_cast<suspicion_level>(std::min<std::uint32_t>(entry.level(), suspicionNames.names.size() - 1));
            m_calls.suspectedElsewhere({entry.digest(), level, monotonicNow() - millis{std::max(entry.age_ms(), 0.0)}});
        }
    };
    handlers.onPeerClock = [this](const node_id &node, millis date) { m_control.dateTold(node, date); };
    handlers.onOnceAsk = [this](const connection_id &from, const wire::OnceAsk &ask) { m_calls.onceKeys().asked(from, ask); };
    handlers.onOnceAnswer = [this](const node_id &from, const wire::OnceAnswer &answer) { m_calls.onceKeys().answered(from, answer); };
    return handlers;
}

result<bool> node_daemon::start()
{
    // Step 1. Towards other nodes
    auto linked = m_links.listen();
    if (!linked) {
        return linked;
    }
    auto started = m_control.start(m_links);
    if (!started) {
        return started;
    }

    // Step 2. Towards operators, the upstream and callers
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

    // Step 3. The end: a first signal and any further one mean the same
    for (const int signal : {SIGTERM, SIGINT}) {
        m_watches.push_back(m_loop.onSignal(signal, [this] { shutDown(); }));
    }
    m_watches.push_back(m_loop.onSignal(SIGHUP, [this] { reload(); }));
    logEvent(log_level::info,
             "node_started",
             {{"name", m_settings.name},
              {"failure_domain", m_settings.domain},
              {"callers", m_settings.callers.text()},
              {"nodes", m_self},
              {"policy", policyModeNames.name(m_settings.mode)}});
    return true;
}

/// Tells the other nodes of the same service what is held against requests: they are the ones that may run them.
void node_daemon::tellSuspicions(const std::vector<suspicion> &news)
{
    wire::SuspicionPush push;
    for (const auto &item : news) {
        auto *entry = push.add_entries();
        entry->set_digest(item.digest);
        entry->set_level(static_cast<std::uint32_t>(item.level));
        entry->set_age_ms((monotonicNow() - item.at).count);
        logEvent(log_level::warning, "request_suspected", {{"digest", item.digest}, {"level", suspicionNames.name(item.level)}});
    }
    for (const auto &[node, entry] : m_control.members().members()) {
        if (isLive(entry) && entry.service == m_calls.service()) {
            m_links.pushSuspicions(node, push);
        }
    }
}

/// Writes a line when a member comes, goes, or is held for dead.
void node_daemon::noteState(const member &entry)
{
    auto &known = m_statesLogged[entry.node];
    if (known.first == entry.incarnation && known.second == entry.state) {
        return;
    }
    const bool quiet = entry.state == member_state::suspect || entry.node == m_self;
    known = {entry.incarnation, entry.state};
    if (!quiet) {
        logEvent(log_level::info, "member_state", {{"peer", entry.node}, {"name", entry.name}, {"state", memberStateNames.name(entry.state)}});
    }
}

/// Follows the member table with the routing table.
void node_daemon::memberChanged(const member &entry)
{
    m_calls.onceKeys().sawMember(entry);
    noteState(entry);
    if (entry.service.empty()) {
        return;
    }
    m_calls.routes().update(entry.node, entry.service, entry.domain, isLive(entry) && entry.ready);
    m_calls.reconfigure();
}

void node_daemon::answerReadiness(const http_exchange_ptr &exchange) const
{
    if (targetPath(exchange->request().target) != m_profile.readinessPath) {
        exchange->respond({404, {}, {}});
    } else {
        exchange->respond({ready() ? 200 : 503, {}, {}});
    }
}

/// Takes up another configuration.
void node_daemon::configured()
{
    const auto &limits = m_control.inForce().limits;
    m_callers.setLimits({limits.headerBytes, limits.bodyBytes}, limits.messageTimeout, limits.idleTimeout);
    m_calls.reconfigure();
}

bool node_daemon::ready() const
{
    // Without keys in requests there is no table of keys that must be old enough.
    const bool remembers = m_profile.calls.idempotencyKey.empty() || m_calls.onceKeys().remembersFreshKeys();
    return !m_profile.lacksDocument(m_control.versions().version()) && m_control.settled() && remembers && !m_shuttingDown;
}

/// Reads the settings again and takes up what is safe to change while running: the level of the log.
void node_daemon::reload()
{
    std::vector<settings_error> mistakes;
    const auto read = readNodeSettings(m_settings.path, mistakes);
    for (const auto &mistake : mistakes) {
        logEvent(log_level::error, "settings_refused", {{"file", m_settings.path}, {"mistake", mistake.text()}});
    }
    if (mistakes.empty()) {
        setLogLevel(read.logLevel);
        logEvent(log_level::info, "settings_reloaded", {{"log_level", logLevelNames.name(read.logLevel)}});
    }
}

/// Begins a graceful shutdown: no new work, the others are told, and what is in flight is finished.
void node_daemon::shutDown()
{
    if (std::exchange(m_shuttingDown, true)) {
        return;
    }
    logEvent(log_level::info, "shutdown_started", {});
    m_shutdownAt = monotonicNow();
    m_calls.beginShutdown();
    m_callers.disableKeepAlive();
    m_control.leave();
    m_watches.push_back(m_loop.every(idleCheck, [this] { finishWhenIdle(); }));
}

void node_daemon::finishWhenIdle()
{
    const millis since = monotonicNow() - m_shutdownAt;
    if (since < farewell) {
        return;
    }
    m_callers.stopAccepting();
    const bool overdue = since > m_settings.shutdownWait;
    if (!overdue && (!m_calls.idle() || m_callers.connectionCount() > 0)) {
        return;
    }
    logEvent(overdue ? log_level::error : log_level::info, "shutdown_done", {{"overdue", overdue ? "true" : "false"}, {"calls_cut", m_calls.idle() ? 0 : 1}});
    m_loop.quit();
}

} // namespace turmericspar
