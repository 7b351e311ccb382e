/// @file wire.h
/// Conversions between the types of the policy code and the protobuf messages between nodes.
#pragma once

#include "turmericspar/base/http.h"
#include "turmericspar/policy/membership.h"
#include "turmericspar/policy/suspects.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericspar {

namespace wire {
class Member;
class Suspicion;
class UpstreamCondition;
} // namespace wire

/// Converts a member to its message.
void toWire(const member &entry, wire::Member &out);
/// Converts a message to a member. @return nothing if a field is out of range or the node is no valid address
std::optional<member> fromWire(const wire::Member &in);

/// Converts what is known of an upstream to its message.
void toWire(const upstream_condition &condition, wire::UpstreamCondition &out);
/// Converts a message to what is known of an upstream. A rate limit that is no valid one is left out.
upstream_condition fromWire(const wire::UpstreamCondition &in);

/// Converts a suspicion to its message, which states its age.
void toWire(const suspicion &entry, millis now, wire::Suspicion &out);
/// Converts a message to a suspicion. An unknown level counts as the highest, an age that is no valid one as 0.
suspicion fromWire(const wire::Suspicion &in, millis now);

/// Serializes a gossip message, without signature.
/// @param wallClock the sender's wall-clock time, as the timestamp of the message
std::string encodeGossip(const gossip_message &message, millis wallClock);
/// Parses a gossip message. Members that are not valid are left out.
/// @param wallClock receives the timestamp of the message
/// @return nothing if the message is malformed or one of its addresses is not valid
std::optional<gossip_message> decodeGossip(std::string_view bytes, double &wallClock);

/// @return the number of a header field name in the list of known names, counted from 1; 0 if the list does not have it.
/// @param extraNames names of the deployment's interface; they follow the built-in ones and must be the same on all nodes
std::uint32_t knownNameNumber(std::string_view name, const std::vector<std::string> &extraNames);
/// @return the name with a number in that list; empty if there is none.
std::string knownNameAt(std::uint32_t number, const std::vector<std::string> &extraNames);

/// Copies header fields into a message with repeated fields. Known names are sent as their number.
template<class message>
void fieldsToWire(const http_fields &fields, const std::vector<std::string> &extraNames, message &out)
{
    for (const auto &field : fields) {
        auto *added = out.add_fields();
        if (const auto known = knownNameNumber(field.name, extraNames)) {
            added->set_known_name(known);
        } else {
            added->set_name(field.name);
        }
        added->set_value(field.value);
    }
}

/// Copies header fields out of a message. A field without a valid name is left out.
template<class message>
http_fields fieldsFromWire(const message &in, const std::vector<std::string> &extraNames)
{
    http_fields fields;
    for (const auto &field : in.fields()) {
        auto name = field.known_name() == 0 ? field.name() : knownNameAt(field.known_name(), extraNames);
        if (!name.empty()) {
            fields.add(std::move(name), field.value());
        }
    }
    return fields;
}

} // namespace turmericspar
