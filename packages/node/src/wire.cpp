#include "turmericspar/node/wire.h"

#include "node.pb.h"
#include "turmericspar/base/endpoint.h"
#include <algorithm>
#include <array>
#include <cmath>

namespace turmericspar {

void toWire(const member &entry, wire::Member &out)
{
    out.set_node(entry.node);
    out.set_name(entry.name);
    out.set_operators(entry.operators);
    out.set_domain(entry.domain);
    out.set_service(entry.service);
    out.set_ready(entry.ready);
    out.set_incarnation(entry.incarnation);
    out.set_revision(entry.revision);
    out.set_state(static_cast<std::uint32_t>(entry.state));
    out.set_version(entry.version);
    out.set_without_store(entry.withoutStore);
    out.set_departed_run(entry.departed.id);
    out.set_departed_instance(entry.departed.instance);
    out.set_departed_started_at_ms(entry.departed.startedAt);
}

std::optional<member> fromWire(const wire::Member &in)
{
    if (!endpoint::parse(in.node()) || in.state() > static_cast<std::uint32_t>(member_state::left)) {
        return std::nullopt;
    }
    member entry;
    entry.node = in.node();
    entry.name = in.name();
    entry.operators = in.operators();
    entry.domain = in.domain();
    entry.service = in.service();
    entry.ready = in.ready();
    entry.incarnation = in.incarnation();
    entry.revision = in.revision();
    entry.state = static_cast<member_state>(in.state());
    entry.version = in.version();
    entry.withoutStore = in.without_store();
    entry.departed = {in.departed_run(), in.departed_instance(), in.departed_started_at_ms()};
    return entry;
}

void toWire(const upstream_condition &condition, wire::UpstreamCondition &out)
{
    out.set_run(condition.run.id);
    out.set_instance(condition.run.instance);
    out.set_started_at_ms(condition.run.startedAt);
    out.set_leaving(condition.leaving);
    if (condition.rateLimit) {
        out.set_rate_limit(*condition.rateLimit);
    }
}

upstream_condition fromWire(const wire::UpstreamCondition &in)
{
    upstream_condition condition;
    condition.run = {in.run(), in.instance(), in.started_at_ms()};
    condition.leaving = in.leaving();
    if (in.has_rate_limit() && std::isfinite(in.rate_limit()) && in.rate_limit() >= 0) {
        condition.rateLimit = in.rate_limit();
    }
    return condition;
}

void toWire(const suspicion &entry, millis now, wire::Suspicion &out)
{
    out.set_digest(entry.digest);
    out.set_level(static_cast<std::uint32_t>(entry.level));
    out.set_age_ms((now - entry.at).count);
    out.set_convictions(static_cast<std::uint32_t>(entry.convictions));
    out.set_crashes(static_cast<std::uint32_t>(entry.crashes));
    out.set_since_age_ms((now - (entry.since.count > 0 ? entry.since : entry.at)).count);
}

suspicion fromWire(const wire::Suspicion &in, millis now)
{
    const auto level = static_cast<suspicion_level>(std::min<std::uint32_t>(in.level(), suspicionNames.names.size() - 1));
    const auto ageOf = [](double stated) { return millis{std::isfinite(stated) && stated > 0 ? stated : 0}; };
    const auto convictions = static_cast<int>(std::min<std::uint32_t>(in.convictions(), suspicion::convictionsMax));
    const auto crashes = static_cast<int>(std::min<std::uint32_t>(in.crashes(), suspicion::crashesMax));
    const millis age = ageOf(in.age_ms());
    return {in.digest(), level, now - age, convictions, crashes, now - std::max(ageOf(in.since_age_ms()), age)};
}

std::string encodeGossip(const gossip_message &message, millis wallClock)
{
    wire::Gossip out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sequence(message.sequence);
    out.set_from(message.from);
    out.set_target(message.target);
    out.set_version(message.version);
    out.set_digest(message.digest);
    out.set_clock_ms(wallClock.count);
    for (const auto &entry : message.updates) {
        toWire(entry, *out.add_news());
    }
    return out.SerializeAsString();
}

std::optional<gossip_message> decodeGossip(std::string_view bytes, double &wallClock)
{
    wire::Gossip in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.kind() > static_cast<std::uint32_t>(gossip_kind::update)) {
        return std::nullopt;
    }
    gossip_message message;
    message.kind = static_cast<gossip_kind>(in.kind());
    message.sequence = in.sequence();
    message.from = in.from();
    message.target = in.target();
    message.version = in.version();
    message.digest = in.digest();
    wallClock = in.clock_ms();
    const bool targetValid = message.kind != gossip_kind::indirect_probe || endpoint::parse(message.target);
    if (!endpoint::parse(message.from) || !targetValid) {
        return std::nullopt;
    }
    for (const auto &update : in.news()) {
        if (auto entry = fromWire(update)) {
            message.updates.push_back(std::move(*entry));
        }
    }
    return message;
}

namespace {

/// Built-in known names in the order of their numbers. The numbers are part of the protocol: new names are appended.
constexpr std::array<std::string_view, 12> knownNames{
    "Host", "Content-Type", "User-Agent", "Accept", "Accept-Encoding", "Date", "Server", "Cache-Control", "ETag", "Vary", "Location", "Content-Language"};

} // namespace

std::uint32_t knownNameNumber(std::string_view name, const std::vector<std::string> &extraNames)
{
    const auto builtIn = std::find(knownNames.begin(), knownNames.end(), name);
    if (builtIn != knownNames.end()) {
        return static_cast<std::uint32_t>(builtIn - knownNames.begin()) + 1;
    }
    const auto found = std::find(extraNames.begin(), extraNames.end(), name);
    return found == extraNames.end() ? 0 : static_cast<std::uint32_t>(knownNames.size() + static_cast<std::size_t>(found - extraNames.begin())) + 1;
}

std::string knownNameAt(std::uint32_t number, const std::vector<std::string> &extraNames)
{
    if (number == 0 || number > knownNames.size() + extraNames.size()) {
        return {};
    }
    return number <= knownNames.size() ? std::string(knownNames.at(number - 1)) : extraNames.at(number - 1 - knownNames.size());
}

} // namespace turmericspar
