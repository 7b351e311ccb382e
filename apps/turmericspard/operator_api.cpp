#include "operator_api.h"

#include "turmericspar/base/document.h"
#include "turmericspar/base/log.h"
#include "turmericspar/base/problem.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace turmericspar {

namespace {

using nlohmann::json;

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
            {"shed_level", record.levelAtEnd},
            {"ended_at_ms", record.endedAt.count},
            {"waited_ms", record.queueTime.count},
            {"span_ms", record.duration.count}};
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

json errorsJson(const std::vector<document_error> &errors)
{
    json list = json::array();
    for (const auto &error : errors) {
        list.push_back({{"path", error.path}, {"allowed", error.allowed}});
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

/// Parses a submission; the error detail describes the first problem.
result<patch_submission> parseSubmission(const std::string &text)
{
    const auto malformed = [](const std::string &detail) { return failure{errc::invalid_document, "read submission", "operator", detail}; };
    const auto parsed = parseDocument(text);
    if (!parsed.is_object()) {
        return malformed("expected a JSON object");
    }
    if (!parsed.contains("base") || !parsed["base"].is_number_unsigned()) {
        return malformed("base: expected the number of the version that the patch is stated against");
    }
    if (!parsed.contains("patch") || !parsed["patch"].is_object()) {
        return malformed("patch: expected a JSON Merge Patch (RFC 7396)");
    }
    for (const auto *key : {"submission", "author", "reason"}) {
        if (!parsed.contains(key) || !parsed[key].is_string() || parsed[key].get<std::string>().empty()) {
            return malformed(std::string(key) + ": expected a text");
        }
    }
    if (parsed.contains("dry_run") && !parsed["dry_run"].is_boolean()) {
        return malformed("dry_run: expected true or false");
    }
    patch_submission submission;
    submission.base = parsed["base"].get<std::uint64_t>();
    submission.record.patch = parsed["patch"];
    submission.record.submission = parsed["submission"].get<std::string>();
    submission.record.author = parsed["author"].get<std::string>();
    submission.record.reason = parsed["reason"].get<std::string>();
    submission.record.time = fmt::format("{:%FT%TZ}", fmt::gmtime(static_cast<time_t>(wallNow().count / oneSecond.count)));
    submission.dryRun = flagOr(parsed, "dry_run", false);
    return submission;
}

/// The HTTP status and the name with which a verdict is reported to operators.
struct verdict_response
{
    submission_verdict verdict;
    int status;
    const char *name;
};

constexpr verdict_response verdictResponses[] = {
    {submission_verdict::accepted, 200, "accepted"},
    {submission_verdict::conflict, 409, "conflict"},
    {submission_verdict::invalid, 422, "invalid"},
    {submission_verdict::unavailable, 503, "unavailable"},
    {submission_verdict::not_known, 504, "not-known"},
};

http_response submissionResponse(const submission_result &result)
{
    for (const auto &response : verdictResponses) {
        if (response.verdict == result.verdict) {
            const json body{{"verdict", response.name}, {"version", result.version}, {"detail", result.detail}, {"mistakes", errorsJson(result.mistakes)}};
            return jsonResponse(response.status, body.dump());
        }
    }
    return problemResponse(500, "internal", "no words for this verdict");
}

} // namespace

operator_api::operator_api(const node_settings &settings, node_id self, call_path &calls, control_path &control, std::function<bool()> ready)
    : m_settings(settings), m_self(std::move(self)), m_calls(calls), m_control(control), m_ready(std::move(ready))
{
}

void operator_api::addRoutes(operator_server &server)
{
    server.route("GET", "/healthz", true, [](const http_exchange_ptr &exchange) { exchange->respond(jsonResponse(200, R"({"healthy":true})")); });
    server.route("GET", "/readyz", true, [this](const http_exchange_ptr &exchange) {
        exchange->respond(m_ready() ? jsonResponse(200, R"({"ready":true})") : jsonResponse(503, R"({"ready":false})"));
    });
    server.route("GET", "/metrics", true, [this](const http_exchange_ptr &exchange) { handleMetrics(exchange); });
    server.route("GET", "/v1/config", false, [this](const http_exchange_ptr &exchange) { handleConfig(exchange); });
    server.route("GET", "/v1/config/history", false, [this](const http_exchange_ptr &exchange) { handleHistory(exchange); });
    server.route("GET", "/v1/config/progress", false, [this](const http_exchange_ptr &exchange) { handleProgress(exchange); });
    server.route("POST", "/v1/config/patch", false, [this](const http_exchange_ptr &exchange) { handlePatch(exchange); });
    server.route("GET", "/v1/status", false, [this](const http_exchange_ptr &exchange) { handleStatus(exchange); });
    server.route("GET", "/v1/load", false, [this](const http_exchange_ptr &exchange) { handleLoad(exchange); });
    server.route("GET", "/v1/records", false, [this](const http_exchange_ptr &exchange) { handleRecords(exchange); });
    server.route("POST", "/v1/drain", false, [this](const http_exchange_ptr &exchange) { handleDrain(exchange); });
    server.route("GET", "/v1/convictions", false, [this](const http_exchange_ptr &exchange) { handleConvictions(exchange); });
    server.route("POST", "/v1/convictions/lift", false, [this](const http_exchange_ptr &exchange) { handleLift(exchange); });
}

void operator_api::handleConfig(const http_exchange_ptr &exchange)
{
    const auto &versions = m_control.versions();
    const json body{{"version", versions.version()}, {"source", configurationSourceNames.name(m_control.source())}, {"document", versions.document()}};
    exchange->respond(jsonResponse(200, body.dump()));
}

void operator_api::handleHistory(const http_exchange_ptr &exchange)
{
    json list = json::array();
    for (const auto &record : m_control.versions().history()) {
        list.push_back(record.toJson());
    }
    exchange->respond(jsonResponse(200, list.dump()));
}

void operator_api::handleProgress(const http_exchange_ptr &exchange)
{
    const auto requested = queryValue(exchange->request().target, "version");
    const auto version = requested.empty() ? m_control.versions().version() : std::strtoull(requested.c_str(), nullptr, 10);
    json domains = json::object();
    for (const auto &[name, domain] : m_control.progress(version)) {
        domains[name] = {{"live", domain.live}, {"in_force", domain.inForce}, {"laggards", domain.laggards}};
    }
    const json body{{"version", version}, {"failure_domains", domains}};
    exchange->respond(jsonResponse(200, body.dump()));
}

void operator_api::handlePatch(const http_exchange_ptr &exchange)
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
        const json body{{"verdict", conflict ? "conflict" : (checked.errors.empty() ? "sound" : "invalid")},
                        {"version", versions.version()},
                        {"mistakes", errorsJson(checked.errors)},
                        {"document", checked.document},
                        {"difference", json::diff(versions.document(), checked.document)}};
        exchange->respond(jsonResponse(200, body.dump()));
        return;
    }
    logEvent(
        log_level::info, "patch_submitted", {{"base", submission->base}, {"submission", submission->record.submission}, {"author", submission->record.author}});
    m_control.submit(submission->record, submission->base, [exchange](const submission_result &result) {
        logEvent(
            log_level::info, "patch_decided", {{"version", result.version}, {"accepted", result.verdict == submission_verdict::accepted ? "true" : "false"}});
        exchange->respond(submissionResponse(result));
    });
}

/// @return the state of this node without its member table.
json operator_api::loadReport() const
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
            {"ready", m_ready()},
            {"version", m_control.versions().version()},
            {"source", configurationSourceNames.name(m_control.source())},
            {"store_reachable", m_control.storeReachable()},
            {"store_watching", m_control.watchingStore()},
            {"service", m_calls.service()},
            {"draining", calls.draining},
            {"entering", calls.entryCalls},
            {"waiting", calls.waiting},
            {"running", calls.running},
            {"limit", calls.limit},
            {"shed_level", calls.shedLevel},
            {"rate_limit", calls.rateLimit ? json(*calls.rateLimit) : json()},
            {"leaving", calls.leaving},
            {"connections", calls.connections},
            {"retries", calls.retries},
            {"silent_calls", calls.silentCalls},
            {"broken_answers", calls.brokenAnswers},
            {"suspects", calls.suspects},
            {"held", calls.held},
            {"rank_names", m_control.inForce().ranks},
            {"ranks", ranks}};
}

void operator_api::handleLoad(const http_exchange_ptr &exchange)
{
    exchange->respond(jsonResponse(200, loadReport().dump()));
}

void operator_api::handleRecords(const http_exchange_ptr &exchange)
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

void operator_api::handleStatus(const http_exchange_ptr &exchange)
{
    json body = loadReport();
    body["members"] = json::array();
    for (const auto &entry : m_control.members().table()) {
        body["members"].push_back(memberJson(entry));
    }
    exchange->respond(jsonResponse(200, body.dump()));
}

void operator_api::handleDrain(const http_exchange_ptr &exchange)
{
    const auto parsed = parseDocument(exchange->request().body);
    if (!parsed.is_object() || !parsed.contains("draining") || !parsed["draining"].is_boolean()) {
        exchange->respond(problemResponse(400, "malformed", "draining: expected true or false"));
        return;
    }
    m_calls.setOperatorDrain(parsed["draining"].get<bool>());
    m_control.setSelf(m_calls.service(), m_calls.ready());
    exchange->respond(jsonResponse(200, json{{"draining", m_calls.status().draining}}.dump()));
}

/// Lists the requests that are suspected of crashing upstreams, or refused for it, with the evidence.
void operator_api::handleConvictions(const http_exchange_ptr &exchange)
{
    const millis now = monotonicNow();
    json list = json::array();
    for (const auto &entry : m_calls.suspicions()) {
        const bool convicted = m_calls.isConvicted(entry.digest);
        list.push_back({{"digest", fmt::format("{:016x}", entry.digest)},
                        {"level", suspicionNames.name(convicted ? suspicion_level::convicted : suspicion_level::suspect)},
                        {"crashes", entry.crashes},
                        {"last_crash_ms_ago", (now - entry.at).count},
                        {"convictions", entry.convictions},
                        {"refused_for_ms", convicted ? (m_calls.expiryOf(entry) - now).count : 0}});
    }
    exchange->respond(jsonResponse(200, list.dump()));
}

/// Ends a conviction at all nodes.
void operator_api::handleLift(const http_exchange_ptr &exchange)
{
    const auto parsed = parseDocument(exchange->request().body);
    const auto text = parsed.is_object() && parsed.contains("digest") && parsed["digest"].is_string() ? parsed["digest"].get<std::string>() : std::string{};
    const auto digest = parseDigest(text);
    if (!digest) {
        exchange->respond(problemResponse(400, "malformed", "digest: expected 16 hexadecimal digits"));
        return;
    }
    const bool lifted = m_calls.liftConviction(*digest);
    logEvent(log_level::info, "conviction_lifted", {{"digest", *digest}, {"was_convicted", lifted ? "true" : "false"}});
    exchange->respond(lifted ? jsonResponse(200, R"({"lifted":true})") : problemResponse(404, "unknown", "this request is not convicted"));
}

void operator_api::handleMetrics(const http_exchange_ptr &exchange)
{
    const auto calls = m_calls.status();
    auto &metrics = m_calls.metrics();
    const auto &counts = m_control.gossipCounts();
    metrics.setGauge("turmericspar_limit", "Concurrency limit of the upstream", calls.limit);
    metrics.setGauge("turmericspar_running", "Calls at the upstream", static_cast<double>(calls.running));
    metrics.setGauge("turmericspar_waiting", "Calls in the queue", static_cast<double>(calls.waiting));
    metrics.setGauge("turmericspar_shed_level", "Importance below which new requests are refused", calls.shedLevel);
    metrics.setGauge(
        "turmericspar_upstream_rate_limit", "Requests a second that the upstream states that it takes; 0 if it states none", calls.rateLimit.value_or(0));
    metrics.setGauge(
        "turmericspar_rate_limited_calls", "Calls refused because of the upstream's rate limit, since the start", static_cast<double>(calls.rateLimited));
    metrics.setGauge("turmericspar_upstream_leaving", "1 if the upstream states in its answers that it leaves", calls.leaving ? 1 : 0);
    metrics.setGauge("turmericspar_retries", "Retries spent since the start", static_cast<double>(calls.retries));
    metrics.setGauge("turmericspar_silent_calls", "Calls whose upstream connection went silent, since the start", static_cast<double>(calls.silentCalls));
    metrics.setGauge("turmericspar_broken_answers",
                     "Answers of the upstream that can't be read or exceed the limits, since the start",
                     static_cast<double>(calls.brokenAnswers));
    metrics.setGauge("turmericspar_suspects", "Requests that are suspected of crashing upstreams, or refused for it", static_cast<double>(calls.suspects));
    metrics.setGauge("turmericspar_held_calls", "Calls that wait for such requests, or are calls of them", static_cast<double>(calls.held));
    metrics.setGauge("turmericspar_config_version", "Configuration version in force", static_cast<double>(m_control.versions().version()));
    metrics.setGauge("turmericspar_members", "Live members known", static_cast<double>(m_control.members().liveCount()));
    metrics.setGauge("turmericspar_store_restores", "Times that the store came back from an older copy", static_cast<double>(m_control.storeRestores()));
    metrics.setGauge("turmericspar_store_calls", "Calls to the platform's store since the start", static_cast<double>(m_control.storeCalls()));
    metrics.setGauge("turmericspar_gossip_bytes_sent", "Bytes of gossip sent since the start", static_cast<double>(counts.bytesSent));
    metrics.setGauge("turmericspar_gossip_bytes_received", "Bytes of gossip received since the start", static_cast<double>(counts.bytesReceived));
    metrics.setGauge("turmericspar_gossip_refused", "Gossip packets refused since the start", static_cast<double>(counts.packetsRefused));
    http_response response;
    response.fields.add("Content-Type", "text/plain; version=0.0.4");
    response.body = metrics.text();
    exchange->respond(response);
}

} // namespace turmericspar
