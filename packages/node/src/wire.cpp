#include "turmericspar/node/wire.h"

#include "node.pb.h"
#include "turmericspar/base/endpoint.h"
#include <algorithm>
#include <array>

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
    return entry;
}

std::string encodeGossip(const gossip_message &message, millis clock)
{
    wire::Gossip out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sequence(message.sequence);
    out.set_from(message.from);
    out.set_target(message.target);
    out.set_version(message.version);
    out.set_digest(message.digest);
    out.set_clock_ms(clock.count);
    for (const auto &entry : message.updates) {
        toWire(entry, *out.add_news());
    }
    return out.SerializeAsString();
}

std::optional<gossip_message> decodeGossip(std::string_view text, double &clock)
{
    wire::Gossip in;
    if (!in.ParseFromArray(text.data(), static_cast<int>(text.size())) || in.kind() > static_cast<std::uint32_t>(gossip_kind::update)) {
        return std::nullopt;
    }
    gossip_message message;
    message.kind = static_cast<gossip_kind>(in.kind());
    message.sequence = in.sequence();
    message.from = in.from();
    message.target = in.target();
    message.version = in.version();
    message.digest = in.digest();
    clock = in.clock_ms();
    const bool targetSound = message.kind != gossip_kind::indirect_probe || endpoint::parse(message.target);
    if (!endpoint::parse(message.from) || !targetSound) {
        return std::nullopt;
    }
    for (const auto &told : in.news()) {
        if (auto entry = fromWire(told)) {
            message.updates.push_back(std::move(*entry));
        }
    }
    return message;
}

namespace {

/// Names that all nodes know, in the order of their numbers; new ones go to the end.
constexpr std::array<std::string_view, 12> commonNames{
    "Host", "Content-Type", "User-Agent", "Accept", "Accept-Encoding", "Date", "Server", "Cache-Control", "ETag", "Vary", "Location", "Content-Language"};

} // namespace

std::uint32_t knownName(std::string_view name, const std::vector<std::string> &own)
{
    const auto common = std::find(commonNames.begin(), commonNames.end(), name);
    if (common != commonNames.end()) {
        return static_cast<std::uint32_t>(common - commonNames.begin()) + 1;
    }
    const auto found = std::find(own.begin(), own.end(), name);
    return found == own.end() ? 0 : static_cast<std::uint32_t>(commonNames.size() + static_cast<std::size_t>(found - own.begin())) + 1;
}

std::string nameAt(std::uint32_t place, const std::vector<std::string> &own)
{
    if (place == 0 || place > commonNames.size() + own.size()) {
        return {};
    }
    return place <= commonNames.size() ? std::string(commonNames.at(place - 1)) : own.at(place - 1 - commonNames.size());
}

} // namespace turmericspar
