/// @file routes_test.cpp
/// Routes of the configuration document: the longest prefix wins, and errors are reported with their paths.
#include "turmericspar/policy/configuration.h"
#include "turmericspar/policy/version_log.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;
using nlohmann::json;

json validDocument()
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
    std::vector<document_error> errors;
    auto parsed = parseConfiguration(document, errors);
    EXPECT_TRUE(errors.empty()) << errors.front().path << ": " << errors.front().allowed;
    return parsed;
}

TEST(routes, the_longest_prefix_wins)
{
    const auto parsed = parse(validDocument());
    EXPECT_EQ(parsed.findRoute("h", "/a/old/x")->name, "old");
    EXPECT_EQ(parsed.findRoute("h", "/a/x?y=/a/old/")->name, "a");
    EXPECT_EQ(parsed.findRoute("h", "/a")->name, "all");
    EXPECT_EQ(parsed.findRoute("other", "/a/"), nullptr);
}

TEST(routes, set_intent_attempts_timeout_and_limits)
{
    const auto parsed = parse(validDocument());
    const auto *old = parsed.findRoute("h", "/a/old/");
    EXPECT_EQ(old->intent, call_intent::repeatable);
    EXPECT_EQ(old->attempts, 3);
    EXPECT_EQ(old->timeout->count, 1500);
    EXPECT_EQ(parsed.findRoute("h", "/a/")->intent, call_intent::once);
    EXPECT_EQ(parsed.findRoute("h", "/a/")->targets.size(), 2U);
    EXPECT_EQ(*parsed.services.at("records").connections, 20);
    EXPECT_EQ(parsed.limits.headerBytes, 16384U);
    EXPECT_EQ(parsed.limits.idleTimeout.count, 15'000);
}

TEST(routes, errors_are_reported_with_their_paths)
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
    for (const auto &[path, change] : cases) {
        auto document = validDocument();
        document["routes"]["a"].merge_patch(change);
        std::vector<document_error> errors;
        (void)parseConfiguration(document, errors);
        ASSERT_FALSE(errors.empty()) << path;
        EXPECT_EQ(errors.front().path, path);
    }
}

TEST(version_log_snapshot, an_invalid_or_older_document_never_replaces_the_current_one)
{
    version_log log;
    ASSERT_TRUE(log.restore({7, validDocument()}));
    auto broken = validDocument();
    broken["default_class"] = "unheard";
    EXPECT_FALSE(log.restore({8, broken}));
    EXPECT_FALSE(log.restore({6, validDocument()}));
    EXPECT_FALSE(log.restore({7, validDocument()}));
    EXPECT_EQ(log.version(), 7U);
    EXPECT_TRUE(log.restore({12, validDocument()}));
}

} // namespace
