/// @file wire_test.cpp
/// Decoders of what other nodes send: whatever the bytes, they refuse or give something sound.
#include "node.pb.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/node/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

std::string anyBytes()
{
    const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    return {bytes.begin(), bytes.end()};
}

/// @return a sound text with some bytes changed, and perhaps its end cut off.
std::string damaged(std::string text)
{
    const auto changes = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(rc::gen::arbitrary<std::pair<std::uint16_t, char>>());
    for (const auto &[at, byte] : changes) {
        text[at % text.size()] = byte;
    }
    text.resize(text.size() - *rc::gen::inRange<std::size_t>(0, text.size() / 2 + 1));
    return text;
}

gossip_message soundMessage()
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

/// Checks what the rest of the node relies on.
void expectSound(const std::optional<gossip_message> &message)
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

RC_GTEST_PROP(decode_gossip, refuses_or_gives_something_sound_for_any_bytes, ())
{
    double clock = 0;
    expectSound(decodeGossip(anyBytes(), clock));
}

RC_GTEST_PROP(decode_gossip, refuses_or_gives_something_sound_for_damaged_messages, ())
{
    double clock = 0;
    expectSound(decodeGossip(damaged(encodeGossip(soundMessage(), {5})), clock));
}

TEST(decode_gossip, gives_back_what_was_encoded)
{
    double clock = 0;
    const auto message = decodeGossip(encodeGossip(soundMessage(), {5}), clock);
    ASSERT_TRUE(message);
    EXPECT_EQ(clock, 5);
    EXPECT_EQ(message->target, "10.0.0.2:9901");
    ASSERT_EQ(message->updates.size(), 2U);
    EXPECT_EQ(message->updates[1].operators, "10.0.0.1:9902");
}

RC_GTEST_PROP(link_message, any_bytes_are_parsed_or_refused, ())
{
    wire::LinkMessage message;
    (void)message.ParseFromString(anyBytes());
    wire::LinkMessage sound;
    sound.mutable_request()->set_service("s");
    sound.mutable_request()->set_body("body");
    sound.mutable_request()->add_fields()->set_name("n");
    if (message.ParseFromString(damaged(sound.SerializeAsString())) && message.has_request()) {
        // Whatever number a damaged name has, no field without a name comes out.
        std::size_t named = 0;
        for (const auto &field : message.request().fields()) {
            named += field.known_name() == 0 ? (field.name().empty() ? 0U : 1U) : (nameAt(field.known_name(), {}).empty() ? 0U : 1U);
        }
        RC_ASSERT(fieldsFromWire(message.request(), {}).size() == named);
    }
}

TEST(wire_fields, names_that_all_nodes_know_go_by_their_number)
{
    const std::vector<std::string> own{"X-Own"};
    http_fields fields;
    fields.add("Host", "a");
    fields.add("X-Own", "b");
    fields.add("X-Other", "c");
    wire::CallRequest message;
    fieldsToWire(fields, own, message);
    EXPECT_TRUE(message.fields(0).name().empty());
    EXPECT_TRUE(message.fields(1).name().empty());
    EXPECT_EQ(message.fields(2).name(), "X-Other");
    const auto back = fieldsFromWire(message, own);
    ASSERT_EQ(back.size(), 3U);
    EXPECT_EQ(back.get("Host"), "a");
    EXPECT_EQ(back.get("X-Own"), "b");
    EXPECT_EQ(back.get("X-Other"), "c");
}

} // namespace
