/// @file wire.h
/// Conversions between the decisions' types and the messages between nodes.
#pragma once

#include "turmericspar/base/http.h"
#include "turmericspar/policy/membership.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericspar {

namespace wire {
class Member;
} // namespace wire

/// Writes a member into its message.
void toWire(const member &entry, wire::Member &out);
/// Reads a member. @return nothing if the message makes no sense
std::optional<member> fromWire(const wire::Member &in);

/// Writes a gossip message, without signature.
std::string encodeGossip(const gossip_message &message, millis clock);
/// Reads a gossip message. @return nothing if it makes no sense
/// @param clock receives the sender's clock
std::optional<gossip_message> decodeGossip(std::string_view text, double &clock);

/// @return the place of a field name in the list of names that all nodes know, from 1; 0 if it is not there.
/// @param own further names, of the deployment's interface, that follow the common ones
std::uint32_t knownName(std::string_view name, const std::vector<std::string> &own);
/// @return the name at a place of that list; empty if there is none.
std::string nameAt(std::uint32_t place, const std::vector<std::string> &own);

/// Copies header fields into a message with repeated fields. Names that all nodes know go by their number.
template<class message>
void fieldsToWire(const http_fields &fields, const std::vector<std::string> &own, message &out)
{
    for (const auto &field : fields) {
        auto *added = out.add_fields();
        if (const auto known = knownName(field.name, own)) {
            added->set_known_name(known);
        } else {
            added->set_name(field.name);
        }
        added->set_value(field.value);
    }
}

/// Copies header fields out of a message.
template<class message>
http_fields fieldsFromWire(const message &in, const std::vector<std::string> &own)
{
    http_fields fields;
    for (const auto &field : in.fields()) {
        auto name = field.known_name() == 0 ? field.name() : nameAt(field.known_name(), own);
        if (!name.empty()) {
            fields.add(std::move(name), field.value());
        }
    }
    return fields;
}

} // namespace turmericspar
