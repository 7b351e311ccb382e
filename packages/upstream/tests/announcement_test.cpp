/// @file announcement_test.cpp
/// Tests the validation of announcements: invalid ones are rejected with a description of the error.
#include "turmericspar/base/http_client.h"
#include "turmericspar/upstream/announcement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

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
                             R"({"service":"s","address":"127.0.0.1:0","slots":1,"connections":1})",
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

/// A server that knows the service "s" only, and a client that sends it announcements.
class announcements : public testing::Test
{
protected:
    announcements()
        : server(
            loop,
            {{"127.0.0.1", 0}, {6000}, [](const std::string &service) { return service == "s"; }, {1000}, true},
            readNotice,
            [this](const announcement &received) { accepted.push_back(received.instance); },
            [this](const std::string &) { ++losses; },
            [this](const upstream_run &departed, std::function<void()> recorded) {
                departures.push_back(departed);
                if (records) {
                    recorded();
                }
            })
        , address(*server.listen())
    {
    }

    /// @return the status of the response
    int send(const std::string &method, const std::string &body)
    {
        http_request request;
        request.method = method;
        request.target = "/announcement";
        request.body = body;
        int status = 0;
        http_client client(loop, address, http_limits{});
        client.connect({1000}, {});
        client.send(request, {2000}, [&](const http_outcome &outcome) {
            status = outcome.error ? 0 : outcome.response.status;
            loop.quit();
        });
        loop.run();
        return status;
    }

    int announce(const std::string &instance, const std::string &service, std::uint64_t startedAt, bool draining = false)
    {
        return send("PUT",
                    R"({"service":")" + service + R"(","address":"127.0.0.1:80","slots":1,"connections":1,"instance":")" + instance + R"(","started_at_ms":)"
                        + std::to_string(startedAt) + (draining ? R"(,"draining":true})" : "}"));
    }

    event_loop loop;
    std::vector<std::string> accepted;
    std::vector<upstream_run> departures;
    int losses = 0;
    bool records = true;
    announcement_server server;
    endpoint address;
};

// Guards against an upstream that is out of use because of one announcement that names no service.
TEST_F(announcements, an_unknown_service_displaces_no_upstream)
{
    EXPECT_EQ(announce("a", "s", 1000), 204);
    EXPECT_EQ(announce("odd", "elsewhere", 2000), 204);
    EXPECT_EQ(announce("b", "s", 3000), 204);
    EXPECT_EQ(accepted, (std::vector<std::string>{"a", "b"}));
}

// Guards against a draining upstream that gets work again: its node was restarted, and an announcement from before arrived after that.
TEST_F(announcements, that_an_upstream_drains_is_recorded_before_it_is_acknowledged)
{
    EXPECT_EQ(announce("a", "s", 1000), 204);
    EXPECT_TRUE(departures.empty());
    EXPECT_EQ(announce("a", "s", 1000, true), 204);
    EXPECT_EQ(announce("a", "s", 1000, true), 204);
    ASSERT_EQ(departures.size(), 1U) << "once for each run";
    EXPECT_EQ(losses, 0) << "it is still there";

    std::vector<std::string> acceptedLater;
    announcement_server restarted(
        loop,
        {{"127.0.0.1", 0}, {6000}, {}, {1000}, true},
        readNotice,
        [&](const announcement &received) { acceptedLater.push_back(received.instance); },
        [](const std::string &) {},
        [](const upstream_run &, std::function<void()> recorded) { recorded(); });
    restarted.recordDeparture(departures[0]);
    address = *restarted.listen();
    EXPECT_EQ(announce("a", "s", 1000), 204);
    EXPECT_TRUE(acceptedLater.empty());
    EXPECT_EQ(announce("a", "s", 2000), 204);
    EXPECT_EQ(acceptedLater.size(), 1U) << "a later run";
}

TEST_F(announcements, that_an_upstream_drains_is_acknowledged_in_time_if_it_cannot_be_recorded)
{
    records = false;
    const millis before = monotonicNow();
    EXPECT_EQ(announce("a", "s", 1000, true), 204);
    EXPECT_LT(monotonicNow() - before, millis{1500});
}

// Guards against an upstream that is displaced by a start that no clock has reached, and against a goodbye that would cover all its runs.
TEST_F(announcements, a_start_or_sequence_beyond_any_clock_displaces_no_upstream)
{
    EXPECT_EQ(announce("a", "s", 1000), 204);
    EXPECT_EQ(announce("odd", "s", 9'223'372'036'854'775'808U), 204);
    EXPECT_EQ(announce("a", "s", 18'446'744'073'709'551'615U), 204);
    EXPECT_EQ(announce("b", "s", 2000), 204);
    EXPECT_EQ(accepted, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(losses, 0);
}

TEST_F(announcements, the_first_upstream_may_have_a_service_that_is_not_configured_yet)
{
    EXPECT_EQ(announce("a", "new", 1000), 204);
    EXPECT_EQ(announce("b", "new", 2000), 204);
    EXPECT_EQ(accepted, (std::vector<std::string>{"a", "b"}));
}

// Guards against a departure that is acknowledged, and forgotten with the process that did so.
TEST_F(announcements, a_deregistration_is_acknowledged_when_it_is_recorded_or_the_time_for_that_is_over)
{
    EXPECT_EQ(announce("a", "s", 1000), 204);
    const millis before = monotonicNow();
    EXPECT_EQ(send("DELETE", ""), 204);
    EXPECT_LT((monotonicNow() - before).count, 900);
    EXPECT_EQ(departures, (std::vector<upstream_run>{runOf({"a", 1000, std::nullopt})}));
    EXPECT_EQ(losses, 1);

    EXPECT_EQ(announce("b", "s", 2000), 204);
    records = false;
    const millis unrecorded = monotonicNow();
    EXPECT_EQ(send("DELETE", ""), 204);
    EXPECT_GE((monotonicNow() - unrecorded).count, 900);
    EXPECT_EQ(losses, 2);
}

TEST_F(announcements, a_departure_of_before_the_start_ends_the_run_that_was_announced)
{
    EXPECT_EQ(announce("a", "s", 1000), 204);
    server.recordDeparture(runOf({"a", 1000, std::nullopt}));
    EXPECT_EQ(losses, 1);
    EXPECT_EQ(announce("a", "s", 1000), 204);
    EXPECT_EQ(announce("b", "s", 2000), 204);
    EXPECT_EQ(accepted, (std::vector<std::string>{"a", "b"}));
}

} // namespace
