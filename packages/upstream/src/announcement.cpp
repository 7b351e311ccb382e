#include "turmericspar/upstream/announcement.h"

#include "turmericspar/base/log.h"
#include "turmericspar/base/problem.h"

#include <nlohmann/json.hpp>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr int slotsMax = 100'000;
constexpr std::size_t serviceNameMax = 200;
constexpr std::size_t announcementBytesMax = 16 * 1024;

http_server_options announcementOptions()
{
    http_server_options options;
    options.limits = {announcementBytesMax, announcementBytesMax};
    return options;
}

failure refused(const std::string &detail)
{
    return {errc::invalid_document, "read announcement", "upstream", detail};
}

bool isCount(const json &text, const char *key)
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
    const auto parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return refused("expected a JSON object");
    }
    const bool named = parsed.contains("service") && parsed["service"].is_string();
    const auto service = named ? parsed["service"].get<std::string>() : std::string();
    if (service.empty() || service.size() > serviceNameMax) {
        return refused("service: expected a name of 1 to 200 characters");
    }
    const bool hasAddress = parsed.contains("address") && parsed["address"].is_string();
    const auto address = endpoint::parse(hasAddress ? parsed["address"].get<std::string>() : "");
    if (!address) {
        return refused("address: expected an IP number and a port");
    }
    if (!isCount(parsed, "slots") || !isCount(parsed, "connections")) {
        return refused("slots, connections: expected whole numbers from 1 to 100000");
    }
    if (!isFlagOrAbsent(parsed, "cold") || !isFlagOrAbsent(parsed, "draining")) {
        return refused("cold, draining: expected true or false");
    }
    announcement made;
    made.service = service;
    made.address = *address;
    made.slots = parsed["slots"].get<int>();
    made.connections = parsed["connections"].get<int>();
    made.cold = parsed.value("cold", false);
    made.draining = parsed.value("draining", false);
    if (parsed.contains("load") && parsed["load"].is_number()) {
        made.load = parsed["load"].get<double>();
    }
    return made;
}

result<upstream_notice> readNotice(const http_request &request)
{
    if (request.target != "/announcement") {
        return failure{errc::not_found, "read announcement", "upstream", "announcements go to /announcement"};
    }
    if (request.method == "DELETE") {
        return upstream_notice{upstream_notice::kind::left, {}};
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

announcement_server::announcement_server(
    event_loop &loop, announcement_options options, notice_reader reader, announced_handler onAnnounced, gone_handler onGone)
    : m_options(std::move(options))
    , m_reader(std::move(reader))
    , m_onAnnounced(std::move(onAnnounced))
    , m_onGone(std::move(onGone))
    , m_server(loop, announcementOptions(), [this](const http_exchange_ptr &exchange) { answer(exchange); })
    , m_silence(loop.after(m_options.life, [this] { gone("silent"); }))
{
}

void announcement_server::gone(const std::string &reason)
{
    if (std::exchange(m_present, false)) {
        m_onGone(reason);
    }
}

void announcement_server::answer(const http_exchange_ptr &exchange)
{
    // Step 1. What was said
    const auto notice = m_reader(exchange->request());
    if (!notice) {
        const auto code = notice.error().code;
        const int status = code == errc::not_found ? 404 : (code == errc::rejected ? 405 : 400);
        logFailure(log_level::warning, "announcement_refused", notice.error());
        exchange->respond(problemResponse(status, "malformed", notice.error().detail));
        return;
    }

    // Step 2. Only the newest word counts; one that was overtaken is acknowledged all the same
    const auto &said = notice->said;
    if (notice->what == upstream_notice::kind::left) {
        if (m_order.left({said.instance, said.startedAt, said.sequence})) {
            gone("said goodbye");
        }
    } else if (m_order.announced({said.instance, said.startedAt, said.sequence})) {
        m_present = true;
        m_silence->restart(m_options.life);
        m_onAnnounced(said);
    } else {
        logEvent(log_level::info, "announcement_outdated", {{"instance", said.instance}, {"sequence", said.sequence.value_or(0)}});
    }
    exchange->respond({204, {}, {}});
}

} // namespace turmericspar
