#include "node_daemon.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "turmericspar/base/problem.h"

#include <csignal>
#include <cstring>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace turmericspar {

namespace {

using nlohmann::json;

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

http_server_options callerOptions()
{
    http_server_options options;
    options.connectionsMax = 20'000;
    return options;
}

json recordJson(const call_record &record)
{
    return {{"request", record.root},
            {"service", record.service},
            {"class", record.klass},
            {"sent_to", record.nodes},
            {"side", callSideNames.name(record.side)},
            {"outcome", outcomeNames.name(record.outcome)},
            {"reason", refusalNames.name(record.reason)},
            {"rank", record.rank},
            {"depth", record.depth},
            {"status", record.status},
            {"above_limit", record.excess},
            {"shed_level", record.levelThen},
            {"ended_at_ms", record.endedAt.count},
            {"waited_ms", record.waited.count},
            {"span_ms", record.span.count}};
}

json memberJson(const member &entry)
{
    return {{"node", entry.node},
            {"name", entry.name},
            {"operators", entry.operators},
            {"failure_domain", entry.domain},
            {"service", entry.service},
            {"ready", entry.ready},
            {"state", memberStateNames.name(entry.state)},
            {"version", entry.version}};
}

json mistakesJson(const std::vector<document_mistake> &mistakes)
{
    json list = json::array();
    for (const auto &mistake : mistakes) {
        list.push_back({{"path", mistake.path}, {"allowed", mistake.allowed}});
    }
    return list;
}

/// A patch as an operator submits it.
struct patch_submission
{
    version_record record;
    std::uint64_t base = 0;
    bool dryRun = false;
};

/// Reads a submission; its mistakes are told in words.
result<patch_submission> parseSubmission(const std::string &text)
{
    const auto refused = [](const std::string &detail) { return failure{errc::invalid_document, "read submission", "operator", detail}; };
    const auto parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return refused("expected a JSON object");
    }
    if (!parsed.contains("base") || !parsed["base"].is_number_unsigned()) {
        return refused("base: expected the number of the version that the patch is stated against");
    }
    if (!parsed.contains("patch") || !parsed["patch"].is_object()) {
        return refused("patch: expected a JSON Merge Patch (RFC 7396)");
    }
    for (const auto *key : {"submission", "author", "reason"}) {
        if (!parsed.contains(key) || !parsed[key].is_string() || parsed[key].get<std::string>().empty()) {
            return refused(std::string(key) + ": expected a text");
        }
    }
    patch_submission submission;
    submission.base = parsed["base"].get<std::uint64_t>();
    submission.record.patch = parsed["patch"];
    submission.record.submission = parsed["submission"].get<std::string>();
    submission.record.author = parsed["author"].get<std::string>();
    submission.record.reason = parsed["reason"].get<std::string>();
    submission.record.time = fmt::format("{:%FT%TZ}", fmt::gmtime(static_cast<time_t>(wallNow().count / oneSecond.count)));
    submission.dryRun = parsed.value("dry_run", false);
    return submission;
}

/// A verdict with the status and the word by which an operator is told of it.
struct verdict_words
{
    submission_result::verdict what;
    int status;
    const char *word;
};

constexpr verdict_words verdicts[] = {
    {submission_result::verdict::accepted, 200, "accepted"},
    {submission_result::verdict::conflict, 409, "conflict"},
    {submission_result::verdict::invalid, 422, "invalid"},
    {submission_result::verdict::unavailable, 503, "unavailable"},
    {submission_result::verdict::not_known, 504, "not-known"},
};

http_response submissionResponse(const submission_result &result)
{
    for (const auto &known : verdicts) {
        if (known.what == result.what) {
            const json body{{"verdict", known.word}, {"version", result.version}, {"detail", result.detail}, {"mistakes", mistakesJson(result.mistakes)}};
            return jsonResponse(known.status, body.dump());
        }
    }
    return problemResponse(500, "internal", "no words for this verdict");
}

} // namespace

node_daemon::node_daemon(const node_settings &settings, const key_ring &keys)
    : m_settings(settings)
    , m_self(settings.advertised.text())
    , m_seed(settings.seed != 0 ? settings.seed : randomSeed())
    , m_incarnation(randomSeed())
    , m_control(m_loop,
                settings,
                keys,
                m_self,
                m_seed,
                {[this] { m_calls.reconfigure(); },
                 [this](const member &entry) { memberChanged(entry); },
                 [this](const node_id &node) { m_calls.routes().remove(node); }})
    , m_calls(m_loop, settings, m_self, m_incarnation, m_seed, callPeers())
    , m_links(m_loop, {settings.nodes}, m_self, keys, m_incarnation, linkHandlers())
    , m_callers(m_loop, callerOptions(), [this](const http_exchange_ptr &exchange) { m_calls.accept(exchange); })
    , m_upstream(
          m_loop,
          {settings.upstream},
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
{
    addRoutes();
}

node_daemon::~node_daemon() = default;

call_path_peers node_daemon::callPeers()
{
    call_path_peers peers;
    peers.declared = [this]() -> const configuration & { return m_control.inForce(); };
    peers.version = [this] { return m_control.versions().version(); };
    peers.sendRequest = [this](const node_id &node, wire::CallRequest request, millis deadline) { m_links.sendRequest(node, std::move(request), deadline); };
    peers.sendCancel = [this](const node_id &node, const wire::CallCancel &cancel) { m_links.sendCancel(node, cancel); };
    peers.sendReply = [this](const link_identity &to, wire::CallReply &&reply) { m_links.reply(to, std::move(reply)); };
    peers.tellSuspicions = [this](const std::vector<suspicion> &news) { tellSuspicions(news); };
    peers.once.ask = [this](const node_id &node, const wire::OnceAsk &ask) { m_links.askOnce(node, ask); };
    peers.once.answer = [this](const link_identity &to, wire::OnceAnswer &&answer) { m_links.answerOnce(to, std::move(answer)); };
    return peers;
}

link_handlers node_daemon::linkHandlers()
{
    link_handlers handlers;
    handlers.onRequest = [this](const link_identity &from, wire::CallRequest &request) { m_calls.requested(from, request, m_links.isCurrent(request)); };
    handlers.onCancel = [this](const link_identity &from, const wire::CallCancel &cancel) { m_calls.cancelled(from, cancel); };
    handlers.onReply = [this](const node_id &from, wire::CallReply &reply) { m_calls.replied(from, reply); };
    handlers.onUnsent = [this](std::uint64_t call, std::uint32_t attempt) { m_calls.unsent(call, attempt); };
    handlers.onLost = [this](const node_id &node) { m_calls.lost(node); };
    handlers.onConfigPull = [this](const link_identity &from, std::uint64_t have) { m_control.configPulled(from, have); };
    handlers.onConfigPush = [this](const wire::ConfigPush &push) { m_control.configPushed(push); };
    handlers.onMemberPull = [this](const link_identity &from) { m_control.membersPulled(from); };
    handlers.onMemberPush = [this](const wire::MemberPush &push) { m_control.membersPushed(push); };
    handlers.onSuspicions = [this](const wire::SuspicionPush &push) {
        for (const auto &entry : push.entries()) {
            const auto level = static_cast<suspicion_level>(std::min<std::uint32_t>(entry.level(), suspicionNames.names.size() - 1));
            m_calls.suspectedElsewhere({entry.digest(), level, {entry.at_ms()}});
        }
    };
    handlers.onOnceAsk = [this](const link_identity &from, const wire::OnceAsk &ask) { m_calls.onceKeys().asked(from, ask); };
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
        entry->set_at_ms(item.at.count);
        logEvent(log_level::warning, "request_suspected", {{"digest", item.digest}, {"level", suspicionNames.name(item.level)}});
    }
    for (const auto &[node, entry] : m_control.members().members()) {
        if (isLive(entry) && entry.service == m_calls.service()) {
            m_links.tellSuspicions(node, push);
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

bool node_daemon::ready() const
{
    return m_control.settled() && m_calls.onceKeys().remembersFreshKeys() && !m_shuttingDown;
}

/// Reads the settings again and takes up what is safe to change while running: the level of the log.
void node_daemon::reload()
{
    std::vector<settings_mistake> mistakes;
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

// ---- Operators ----

void node_daemon::addRoutes()
{
    m_operators.route("GET", "/healthz", true, [](const http_exchange_ptr &exchange) { exchange->respond(jsonResponse(200, R"({"healthy":true})")); });
    m_operators.route("GET", "/readyz", true, [this](const http_exchange_ptr &exchange) {
        exchange->respond(ready() ? jsonResponse(200, R"({"ready":true})") : jsonResponse(503, R"({"ready":false})"));
    });
    m_operators.route("GET", "/metrics", true, [this](const http_exchange_ptr &exchange) { answerMetrics(exchange); });
    m_operators.route("GET", "/v1/config", false, [this](const http_exchange_ptr &exchange) { answerConfig(exchange); });
    m_operators.route("GET", "/v1/config/history", false, [this](const http_exchange_ptr &exchange) { answerHistory(exchange); });
    m_operators.route("GET", "/v1/config/progress", false, [this](const http_exchange_ptr &exchange) { answerProgress(exchange); });
    m_operators.route("POST", "/v1/config/patch", false, [this](const http_exchange_ptr &exchange) { answerPatch(exchange); });
    m_operators.route("GET", "/v1/status", false, [this](const http_exchange_ptr &exchange) { answerStatus(exchange); });
    m_operators.route("GET", "/v1/load", false, [this](const http_exchange_ptr &exchange) { answerLoad(exchange); });
    m_operators.route("GET", "/v1/records", false, [this](const http_exchange_ptr &exchange) { answerRecords(exchange); });
    m_operators.route("POST", "/v1/drain", false, [this](const http_exchange_ptr &exchange) { answerDrain(exchange); });
}

void node_daemon::answerConfig(const http_exchange_ptr &exchange)
{
    const auto &versions = m_control.versions();
    const json body{{"version", versions.version()}, {"source", configurationSourceNames.name(m_control.source())}, {"document", versions.document()}};
    exchange->respond(jsonResponse(200, body.dump()));
}

void node_daemon::answerHistory(const http_exchange_ptr &exchange)
{
    json list = json::array();
    for (const auto &record : m_control.versions().history()) {
        list.push_back(record.toJson());
    }
    exchange->respond(jsonResponse(200, list.dump()));
}

void node_daemon::answerProgress(const http_exchange_ptr &exchange)
{
    const auto asked = queryValue(exchange->request().target, "version");
    const auto version = asked.empty() ? m_control.versions().version() : std::strtoull(asked.c_str(), nullptr, 10);
    json domains = json::object();
    for (const auto &[name, domain] : m_control.progress(version)) {
        domains[name] = {{"live", domain.live}, {"in_force", domain.inForce}, {"laggards", domain.laggards}};
    }
    const json body{{"version", version}, {"failure_domains", domains}};
    exchange->respond(jsonResponse(200, body.dump()));
}

void node_daemon::answerPatch(const http_exchange_ptr &exchange)
{
    auto submission = parseSubmission(exchange->request().body);
    if (!submission) {
        exchange->respond(problemResponse(400, "malformed", submission.error().detail));
        return;
    }
    const auto &versions = m_control.versions();
    if (submission->dryRun) {
        const auto checked = versions.check(submission->record.patch);
        const bool conflict = versions.version() != submission->base;
        const json body{{"verdict", conflict ? "conflict" : (checked.mistakes.empty() ? "sound" : "invalid")},
                        {"version", versions.version()},
                        {"mistakes", mistakesJson(checked.mistakes)},
                        {"document", checked.document},
                        {"difference", json::diff(versions.document(), checked.document)}};
        exchange->respond(jsonResponse(200, body.dump()));
        return;
    }
    logEvent(
        log_level::info, "patch_submitted", {{"base", submission->base}, {"submission", submission->record.submission}, {"author", submission->record.author}});
    m_control.submit(submission->record, submission->base, [exchange](const submission_result &result) {
        logEvent(log_level::info,
                 "patch_judged",
                 {{"version", result.version}, {"accepted", result.what == submission_result::verdict::accepted ? "true" : "false"}});
        exchange->respond(submissionResponse(result));
    });
}

/// @return the state of this node without the table of its members.
json node_daemon::loadJson() const
{
    const auto calls = m_calls.status();
    json ranks = json::array();
    for (const auto &counts : m_calls.records().counts()) {
        ranks.push_back({{"ran", counts.ran}, {"not_run", counts.notRun}, {"unknown", counts.unknown}});
    }
    return {{"name", m_settings.name},
            {"node", m_self},
            {"failure_domain", m_settings.domain},
            {"policy", policyModeNames.name(m_settings.mode)},
            {"ready", ready()},
            {"version", m_control.versions().version()},
            {"source", configurationSourceNames.name(m_control.source())},
            {"store_reachable", m_control.storeReachable()},
            {"store_watching", m_control.watching()},
            {"service", m_calls.service()},
            {"draining", calls.draining},
            {"entering", calls.entering},
            {"waiting", calls.waiting},
            {"running", calls.running},
            {"limit", calls.limit},
            {"shed_level", calls.level},
            {"connections", calls.connections},
            {"retries", calls.retries},
            {"silent_calls", calls.silent},
            {"suspects", calls.suspects},
            {"rank_names", m_control.inForce().ranks},
            {"ranks", ranks}};
}

void node_daemon::answerLoad(const http_exchange_ptr &exchange)
{
    exchange->respond(jsonResponse(200, loadJson().dump()));
}

void node_daemon::answerRecords(const http_exchange_ptr &exchange)
{
    const auto request = queryValue(exchange->request().target, "request");
    if (request.empty()) {
        exchange->respond(problemResponse(400, "malformed", "request: expected the id of a request"));
        return;
    }
    json list = json::array();
    for (const auto &record : m_calls.records().find(request)) {
        list.push_back(recordJson(record));
    }
    exchange->respond(jsonResponse(200, list.dump()));
}

void node_daemon::answerStatus(const http_exchange_ptr &exchange)
{
    json body = loadJson();
    body["members"] = json::array();
    for (const auto &entry : m_control.members().table()) {
        body["members"].push_back(memberJson(entry));
    }
    exchange->respond(jsonResponse(200, body.dump()));
}

void node_daemon::answerDrain(const http_exchange_ptr &exchange)
{
    const auto parsed = json::parse(exchange->request().body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("draining") || !parsed["draining"].is_boolean()) {
        exchange->respond(problemResponse(400, "malformed", "draining: expected true or false"));
        return;
    }
    m_calls.setDrainOrdered(parsed["draining"].get<bool>());
    m_control.setSelf(m_calls.service(), m_calls.ready());
    exchange->respond(jsonResponse(200, json{{"draining", m_calls.status().draining}}.dump()));
}

void node_daemon::answerMetrics(const http_exchange_ptr &exchange)
{
    const auto calls = m_calls.status();
    auto &metrics = m_calls.metrics();
    const auto &counts = m_control.gossipCounts();
    metrics.gauge("turmericspar_limit", "Concurrency limit of the upstream", calls.limit);
    metrics.gauge("turmericspar_running", "Calls at the upstream", static_cast<double>(calls.running));
    metrics.gauge("turmericspar_waiting", "Calls in the queue", static_cast<double>(calls.waiting));
    metrics.gauge("turmericspar_shed_level", "Importance below which new requests are refused", calls.level);
    metrics.gauge("turmericspar_retries", "Retries spent since the start", static_cast<double>(calls.retries));
    metrics.gauge("turmericspar_silent_calls", "Calls whose upstream connection went silent, since the start", static_cast<double>(calls.silent));
    metrics.gauge("turmericspar_config_version", "Configuration version in force", static_cast<double>(m_control.versions().version()));
    metrics.gauge("turmericspar_members", "Live members known", static_cast<double>(m_control.members().liveCount()));
    metrics.gauge("turmericspar_store_calls", "Calls to the platform's store since the start", static_cast<double>(m_control.storeCalls()));
    metrics.gauge("turmericspar_gossip_bytes_sent", "Bytes of gossip sent since the start", static_cast<double>(counts.bytesSent));
    metrics.gauge("turmericspar_gossip_bytes_received", "Bytes of gossip received since the start", static_cast<double>(counts.bytesReceived));
    metrics.gauge("turmericspar_gossip_refused", "Gossip packets refused since the start", static_cast<double>(counts.packetsRefused));
    http_response response;
    response.fields.add("Content-Type", "text/plain; version=0.0.4");
    response.body = metrics.text();
    exchange->respond(response);
}

} // namespace turmericspar
