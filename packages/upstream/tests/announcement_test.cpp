/// @file announcement_test.cpp
/// Announcements are checked whole; nonsense is refused in words.
#include "turmericspar/upstream/announcement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

const std::string sound = R"({"service":"spare-parts","address":"127.0.0.1:9000","slots":10,"connections":170,"cold":true,"load":0.4})";

TEST(announcement, a_sound_one_is_read)
{
    const auto said = parseAnnouncement(sound);
    ASSERT_TRUE(said);
    EXPECT_EQ(said->service, "spare-parts");
    EXPECT_EQ(said->slots, 10);
    EXPECT_EQ(said->connections, 170);
    EXPECT_TRUE(said->cold);
    EXPECT_FALSE(said->draining);
}

TEST(announcement, mistakes_are_refused_in_words)
{
    for (const auto *text : {"",
                             "[]",
                             "{}",
                             R"({"service":"","address":"127.0.0.1:9000","slots":1,"connections":1})",
                             R"({"service":"s","address":"some-host:9000","slots":1,"connections":1})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":0,"connections":1})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":"many","connections":1})",
                             R"({"service":"s","address":"127.0.0.1:9000","slots":1e99,"connections":1})"}) {
        const auto said = parseAnnouncement(text);
        ASSERT_FALSE(said) << text;
        EXPECT_FALSE(said.error().detail.empty()) << text;
    }
}

RC_GTEST_PROP(announcement, damaged_ones_are_refused_or_sound, ())
{
    auto text = sound;
    const auto changes = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(rc::gen::arbitrary<std::pair<std::uint16_t, char>>());
    for (const auto &[at, byte] : changes) {
        text[at % text.size()] = byte;
    }
    const auto said = parseAnnouncement(text);
    if (said) {
        RC_ASSERT(!said->service.empty() && said->slots >= 1 && said->connections >= 1);
    }
}

} // namespace
