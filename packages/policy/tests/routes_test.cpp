/// @file routes_test.cpp
/// Routes of the configuration document: the longest prefix wins, and mistakes are told with their places.
#include "turmericspar/policy/configuration.h"
#include "turmericspar/policy/version_log.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;
using nlohmann::json;

json soundDocument()
{
    return json::parse(R"({
        "ranks": ["urgent", "routine"],
        "classes": {"lookup": {"rank": "urgent"}, "other": {"rank": "routine"}},
        "default_class": "other",
        "services": {"records": {"connections": 20, "health_path": "/health"}, "archive": {}},
        "routes": {
            "all": {"host": "h", "prefix": "/", "services": {"records": 1}},
            "old": {"host": "h", "prefix": "/a/old/", "services": {"archive": 1}, "repeatable": true, "attempts": 3, "timeout_ms": 1500},
            "a": {"host": "h", "prefix": "/a/", "services": {"records": 90, "archive": 10}, "class": "lookup"}
        },
        "limits": {"header_bytes": 16384, "idle_timeout_ms": 15000}
    })");
}

configuration parse(const json &document)
{
    std::vector<document_mistake> mistakes;
    auto parsed = parseConfiguration(document, mistakes);
    EXPECT_TRUE(mistakes.empty()) << mistakes.front().path << ": " << mistakes.front().allowed;
    return parsed;
}

TEST(routes, the_longest_prefix_wins)
{
    const auto read = parse(soundDocument());
    EXPECT_EQ(read.findRoute("h", "/a/old/x")->name, "old");
    EXPECT_EQ(read.findRoute("h", "/a/x?y=/a/old/")->name, "a");
    EXPECT_EQ(read.findRoute("h", "/a")->name, "all");
    EXPECT_EQ(read.findRoute("other", "/a/"), nullptr);
}

TEST(routes, say_what_may_be_repeated_and_how_long_it_may_take)
{
    const auto read = parse(soundDocument());
    const auto *old = read.findRoute("h", "/a/old/");
    EXPECT_EQ(old->intent, call_intent::repeatable);
    EXPECT_EQ(old->attempts, 3);
    EXPECT_EQ(old->timeout->count, 1500);
    EXPECT_EQ(read.findRoute("h", "/a/")->intent, call_intent::once);
    EXPECT_EQ(read.findRoute("h", "/a/")->targets.size(), 2U);
    EXPECT_EQ(*read.services.at("records").connections, 20);
    EXPECT_EQ(read.limits.headerBytes, 16384U);
    EXPECT_EQ(read.limits.idleTimeout.count, 15'000);
}

TEST(routes, mistakes_are_told_with_their_places)
{
    const std::vector<std::pair<std::string, json>> cases{
        {"/routes/a/services/nobody", R"({"services": {"nobody": 1}})"_json},
        {"/routes/a/prefix", R"({"prefix": "no-slash"})"_json},
        {"/routes/a/attempts", R"({"attempts": 0})"_json},
        {"/routes/a/class", R"({"class": "unheard"})"_json},
        {"/routes/a/repeatable", R"({"repeatable": "yes"})"_json},
        {"/routes/a/surprise", R"({"surprise": 1})"_json},
        {"/routes/all", R"({"prefix": "/", "host": "h"})"_json},
    };
    for (const auto &[place, change] : cases) {
        auto document = soundDocument();
        document["routes"]["a"].merge_patch(change);
        std::vector<document_mistake> mistakes;
        (void)parseConfiguration(document, mistakes);
        ASSERT_FALSE(mistakes.empty()) << place;
        EXPECT_EQ(mistakes.front().path, place);
    }
}

TEST(version_log_snapshot, an_unsound_or_older_document_never_replaces_the_present_one)
{
    version_log log;
    ASSERT_TRUE(log.restore({7, soundDocument()}));
    auto broken = soundDocument();
    broken["default_class"] = "unheard";
    EXPECT_FALSE(log.restore({8, broken}));
    EXPECT_FALSE(log.restore({6, soundDocument()}));
    EXPECT_FALSE(log.restore({7, soundDocument()}));
    EXPECT_EQ(log.version(), 7U);
    EXPECT_TRUE(log.restore({12, soundDocument()}));
}

} // namespace
