#include "turmericspar/upstream/announcement.h"

#include "turmericspar/base/document.h"
#include "turmericspar/base/log.h"
#include "turmericspar/base/problem.h"

#include <nlohmann/json.hpp>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr int slotsMax = 100'000;
constexpr std::size_t serviceNameMax = 200;
constexpr std::size_t instanceNameMax = 200;
constexpr std::size_t announcementBytesMax = 16 * 1024;
/// Start and sequence that no clock and no run will have reached: the year 2100, and an announcement each millisecond for thirty years.
constexpr std::uint64_t startMax = 4'102'444'800'000;
constexpr std::uint64_t sequenceMax = 1'000'000'000'000;

http_server_options announcementOptions()
{
    http_server_options options;
    options.limits = {announcementBytesMax, announcementBytesMax};
    return options;
}

failure invalidAnnouncement(const std::string &detail)
{
    return {errc::invalid_document, "read announcement", "upstream", detail};
}

bool isCountInRange(const json &text, const char *key)
{
    return text.contains(key) && text[key].is_number_integer() && text[key].get<long long>() >= 1 && text[key].get<long long>() <= slotsMax;
}

bool isFlagOrAbsent(const json &text, const char *key)
{
    return !text.contains(key) || text[key].is_boolean();
}

} // namespace

result<announcement> parseAnnouncement(const std::string &text)
{
    const auto parsed = parseDocument(text);
    if (!parsed.is_object()) {
        return invalidAnnouncement("expected a JSON object");
    }
    const bool hasService = parsed.contains("service") && parsed["service"].is_string();
    const auto service = hasService ? parsed["service"].get<std::string>() : std::string();
    if (service.empty() || service.size() > serviceNameMax) {
        return invalidAnnouncement("service: expected a name of 1 to 200 characters");
    }
    const bool hasAddress = parsed.contains("address") && parsed["address"].is_string();
    const auto address = endpoint::parse(hasAddress ? parsed["address"].get<std::string>() : "");
    if (!address || address->port == 0) {
        return invalidAnnouncement("address: expected an IP number and a port");
    }
    if (!isCountInRange(parsed, "slots") || !isCountInRange(parsed, "connections")) {
        return invalidAnnouncement("slots, connections: expected whole numbers from 1 to 100000");
    }
    const bool hasInstance = parsed.contains("instance");
    if (hasInstance && (!parsed["instance"].is_string() || parsed["instance"].get_ref<const std::string &>().size() > instanceNameMax)) {
        return invalidAnnouncement("instance: expected a text of at most 200 characters");
    }
    const bool hasStart = parsed.contains("started_at_ms");
    if (hasStart && !parsed["started_at_ms"].is_number_unsigned()) {
        return invalidAnnouncement("started_at_ms: expected a whole number");
    }
    if (!isFlagOrAbsent(parsed, "cold") || !isFlagOrAbsent(parsed, "draining")) {
        return invalidAnnouncement("cold, draining: expected true or false");
    }
    announcement parsedAnnouncement;
    if (hasInstance) {
        parsedAnnouncement.instance = parsed["instance"].get<std::string>();
    }
    if (hasStart) {
        parsedAnnouncement.startedAt = parsed["started_at_ms"].get<std::uint64_t>();
    }
    parsedAnnouncement.service = service;
    parsedAnnouncement.address = *address;
    parsedAnnouncement.slots = parsed["slots"].get<int>();
    parsedAnnouncement.connections = parsed["connections"].get<int>();
    parsedAnnouncement.cold = parsed.value("cold", false);
    parsedAnnouncement.draining = parsed.value("draining", false);
    if (parsed.contains("load") && parsed["load"].is_number()) {
        parsedAnnouncement.load = parsed["load"].get<double>();
    }
    return parsedAnnouncement;
}

result<upstream_notice> readNotice(const http_request &request)
{
    if (request.target != "/announcement") {
        return failure{errc::not_found, "read announcement", "upstream", "announcements go to /announcement"};
    }
    if (request.method == "DELETE") {
        return upstream_notice{upstream_notice::kind::deregistered, {}};
    }
    if (request.method != "PUT") {
        return failure{errc::rejected, "read announcement", "upstream", "use PUT or DELETE"};
    }
    const auto parsed = parseAnnouncement(request.body);
    if (!parsed) {
        return parsed.error();
    }
    return upstream_notice{upstream_notice::kind::announced, *parsed};
}

announcement_server::announcement_server(event_loop &loop,
                                         announcement_options options,
                                         notice_reader reader,
                                         announcement_handler onAnnouncement,
                                         loss_handler onUpstreamLost,
                                         departure_handler onDeparture)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_reader(std::move(reader))
    , m_onAnnouncement(std::move(onAnnouncement))
    , m_onUpstreamLost(std::move(onUpstreamLost))
    , m_onDeparture(std::move(onDeparture))
    , m_server(loop, announcementOptions(), [this](const http_exchange_ptr &exchange) { handleRequest(exchange); })
    , m_timeoutTimer(loop.after(m_options.timeout, [this] { reportLost("silent"); }))
{
}

void announcement_server::reportLost(const std::string &reason)
{
    if (std::exchange(m_isPresent, false)) {
        m_onUpstreamLost(reason);
    }
}

/// @return whether an announcement of a service that nobody knows would displace an upstream that is present: another writer may have sent it.
bool announcement_server::namesOtherService(const announcement &content) const
{
    return m_isPresent && m_options.knowsService && content.service != m_service && !m_options.knowsService(content.service);
}

/// Logs a notice of another writer, by which no upstream is displaced.
/// @return whether the notice is one
bool announcement_server::ignoresOddNotice(const upstream_notice &notice) const
{
    const auto &content = notice.content;
    const bool implausible = content.startedAt.value_or(0) > startMax || content.sequence.value_or(0) > sequenceMax;
    const bool otherService = notice.type == upstream_notice::kind::announced && namesOtherService(content);
    if (implausible || otherService) {
        logEvent(log_level::warning,
                 "announcement_ignored",
                 {{"instance", content.instance}, {"service", content.service}, {"reason", implausible ? "implausible start or sequence" : "unknown service"}});
    }
    return implausible || otherService;
}

void announcement_server::recordDeparture(const upstream_run &departed)
{
    if (m_order.recordDeparture(departed)) {
        reportLost("deregistered before this node started");
    }
}

/// Acknowledges a deregistration once it is recorded, or when the time for that is over.
void announcement_server::deregister(const http_exchange_ptr &exchange, const announcement &content)
{
    const bool current = m_order.acceptDeregistration({content.instance, content.startedAt, content.sequence});
    const auto departed = m_order.lastDeparture();
    if (current) {
        reportLost("said goodbye");
    }
    if (departed.id == 0) {
        exchange->respond({204, {}, {}});
        return;
    }
    acknowledgeOnceRecorded(exchange, departed);
}

void announcement_server::acknowledgeOnceRecorded(const http_exchange_ptr &exchange, const upstream_run &departed)
{
    const auto id = m_nextRecord++;
    m_pendingRecords[id] = m_loop.after(m_options.recordTimeout, [this, id, exchange] {
        logEvent(log_level::warning, "departure_not_recorded", {{"peer", exchange->peer().text()}, {"span_ms", m_options.recordTimeout}});
        m_loop.defer([this, id, exchange] { acknowledge(id, exchange); });
    });
    m_onDeparture(departed, [this, id, exchange] { acknowledge(id, exchange); });
}

/// Acknowledges a deregistration, if that was not done before.
void announcement_server::acknowledge(std::uint64_t record, const http_exchange_ptr &exchange)
{
    if (m_pendingRecords.erase(record) > 0) {
        exchange->respond({204, {}, {}});
    }
}

void announcement_server::handleRequest(const http_exchange_ptr &exchange)
{
    // Step 1. Parse the message
    const auto notice = m_reader(exchange->request());
    if (!notice) {
        const auto code = notice.error().code;
        const int status = code == errc::not_found ? 404 : (code == errc::rejected ? 405 : 400);
        logFailure(log_level::warning, "announcement_refused", notice.error());
        exchange->respond(problemResponse(status, "malformed", notice.error().detail));
        return;
    }

    // Step 2. Apply it only if it is the newest; an outdated message is acknowledged as well
    const auto &content = notice->content;
    if (ignoresOddNotice(*notice)) {
        exchange->respond({204, {}, {}});
        return;
    }
    if (notice->type == upstream_notice::kind::deregistered) {
        deregister(exchange, content);
        return;
    }
    if (m_order.acceptAnnouncement({content.instance, content.startedAt, content.sequence}, monotonicNow())) {
        m_isPresent = true;
        m_service = content.service;
        m_timeoutTimer->restart(m_options.timeout);
        m_onAnnouncement(content);
        const auto run = runOf({content.instance, content.startedAt, content.sequence});
        if (content.draining && m_options.drainingIsFinal && run != m_drainingRun) {
            // An earlier announcement may arrive after this one, at another process of this node.
            m_drainingRun = run;
            acknowledgeOnceRecorded(exchange, run);
            return;
        }
    } else {
        logEvent(log_level::info, "announcement_outdated", {{"instance", content.instance}, {"sequence", content.sequence.value_or(0)}});
    }
    exchange->respond({204, {}, {}});
}

} // namespace turmericspar
