/// @file wire_test.cpp
/// Decoders of messages from other nodes must refuse any input or return a valid message.
#include "node.pb.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/node/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

std::string randomBytes()
{
    const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    return {bytes.begin(), bytes.end()};
}

/// @return a serialized message with some bytes changed, and possibly truncated.
std::string damaged(std::string bytes)
{
    const auto changes = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(rc::gen::arbitrary<std::pair<std::uint16_t, char>>());
    for (const auto &[at, byte] : changes) {
        bytes[at % bytes.size()] = byte;
    }
    bytes.resize(bytes.size() - *rc::gen::inRange<std::size_t>(0, bytes.size() / 2 + 1));
    return bytes;
}

gossip_message validMessage()
{
    gossip_message message;
    message.kind = gossip_kind::indirect_probe;
    message.from = "10.0.0.1:9901";
    message.target = "10.0.0.2:9901";
    member entry;
    entry.node = message.from;
    entry.name = "a";
    entry.operators = "10.0.0.1:9902";
    entry.service = "s";
    message.updates = {entry, entry};
    return message;
}

/// Checks the properties that the rest of the node relies on.
void expectValid(const std::optional<gossip_message> &message)
{
    if (!message) {
        return;
    }
    RC_ASSERT(static_cast<bool>(endpoint::parse(message->from)));
    RC_ASSERT(message->kind <= gossip_kind::update);
    for (const auto &entry : message->updates) {
        RC_ASSERT(static_cast<bool>(endpoint::parse(entry.node)));
        RC_ASSERT(entry.state <= member_state::left);
    }
}

RC_GTEST_PROP(decode_gossip, refuses_random_bytes_or_returns_a_valid_message, ())
{
    double wallClock = 0;
    expectValid(decodeGossip(randomBytes(), wallClock));
}

RC_GTEST_PROP(decode_gossip, refuses_damaged_messages_or_returns_a_valid_message, ())
{
    double wallClock = 0;
    expectValid(decodeGossip(damaged(encodeGossip(validMessage(), {5})), wallClock));
}

TEST(decode_gossip, returns_the_encoded_message)
{
    double wallClock = 0;
    const auto message = decodeGossip(encodeGossip(validMessage(), {5}), wallClock);
    ASSERT_TRUE(message);
    EXPECT_EQ(wallClock, 5);
    EXPECT_EQ(message->target, "10.0.0.2:9901");
    ASSERT_EQ(message->updates.size(), 2U);
    EXPECT_EQ(message->updates[1].operators, "10.0.0.1:9902");
}

RC_GTEST_PROP(link_message, random_bytes_are_parsed_or_refused, ())
{
    wire::LinkMessage message;
    (void)message.ParseFromString(randomBytes());
    wire::LinkMessage valid;
    valid.mutable_request()->set_service("s");
    valid.mutable_request()->set_body("body");
    valid.mutable_request()->add_fields()->set_name("n");
    if (message.ParseFromString(damaged(valid.SerializeAsString())) && message.has_request()) {
        // Fields whose damaged number is not that of a known name must be left out.
        std::size_t named = 0;
        for (const auto &field : message.request().fields()) {
            named += field.known_name() == 0 ? (field.name().empty() ? 0U : 1U) : (knownNameAt(field.known_name(), {}).empty() ? 0U : 1U);
        }
        RC_ASSERT(fieldsFromWire(message.request(), {}).size() == named);
    }
}

TEST(wire_fields, known_names_are_sent_as_numbers)
{
    const std::vector<std::string> extraNames{"X-Own"};
    http_fields fields;
    fields.add("Host", "a");
    fields.add("X-Own", "b");
    fields.add("X-Other", "c");
    wire::CallRequest message;
    fieldsToWire(fields, extraNames, message);
    EXPECT_TRUE(message.fields(0).name().empty());
    EXPECT_TRUE(message.fields(1).name().empty());
    EXPECT_EQ(message.fields(2).name(), "X-Other");
    const auto decoded = fieldsFromWire(message, extraNames);
    ASSERT_EQ(decoded.size(), 3U);
    EXPECT_EQ(decoded.get("Host"), "a");
    EXPECT_EQ(decoded.get("X-Own"), "b");
    EXPECT_EQ(decoded.get("X-Other"), "c");
}

} // namespace
