/// @file announcement_test.cpp
/// Tests the validation of announcements: invalid ones are rejected with a description of the error.
#include "turmericspar/upstream/announcement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

const std::string validText = R"({"service":"spare-parts","address":"127.0.0.1:9000","slots":10,"connections":170,"cold":true,"load":0.4})";

TEST(announcement, a_valid_announcement_is_parsed)
{
    const auto parsed = parseAnnouncement(validText);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->service, "spare-parts");
    EXPECT_EQ(parsed->slots, 10);
    EXPECT_EQ(parsed->connections, 170);
    EXPECT_TRUE(parsed->cold);
    EXPECT_FALSE(parsed->draining);
}

TEST(announcement, invalid_announcements_are_rejected_with_a_description)
{
    for (const auto *text : {"",
                             "[]",
                             "{}",
                             R"({"service":"","address":"127.0.0.1:9000","slots":1,"connections":1})",
                             R"({"service":"s","address":"some-host:9000","slots":1,"connections":1})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":0,"connections":1})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":"many","connections":1})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":1,"connections":1,"instance":7})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":1,"connections":1,"started_at_ms":-7})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":1e99,"connections":1})"}) {
        const auto parsed = parseAnnouncement(text);
        ASSERT_FALSE(parsed) << text;
        EXPECT_FALSE(parsed.error().detail.empty()) << text;
    }
}

RC_GTEST_PROP(announcement, corrupted_announcements_are_rejected_or_valid, ())
{
    auto text = validText;
    const auto changes = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(rc::gen::arbitrary<std::pair<std::uint16_t, char>>());
    for (const auto &[at, byte] : changes) {
        text[at % text.size()] = byte;
    }
    const auto parsed = parseAnnouncement(text);
    if (parsed) {
        RC_ASSERT(!parsed->service.empty() && parsed->slots >= 1 && parsed->connections >= 1);
    }
}

} // namespace
