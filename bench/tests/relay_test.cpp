/// @file relay_test.cpp
/// The relay passes everything on, holds it back while a way is cut, and can let connections go silent.
#include "relay.h"
#include "turmericspar/base/http_client.h"
#include "turmericspar/base/http_server.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

constexpr millis patience{10'000};
constexpr millis quiet{200};

class relay_test : public testing::Test
{
protected:
    relay_test()
    {
        behind = *server.listen({"127.0.0.1", 0});
        front = *ways.addRoute({{"127.0.0.1", 0}, behind, 2, 1, false});
    }

    /// Sends a request on a connection and runs the loop until its end, or for a time.
    http_outcome ask(http_client &client, millis span)
    {
        http_outcome outcome{make_error_code(errc::timeout), true, {}};
        client.send({}, patience, [&](http_outcome told) {
            outcome = std::move(told);
            loop.quit();
        });
        const auto end = loop.after(span, [&] { loop.quit(); });
        loop.run();
        return outcome;
    }

    std::unique_ptr<http_client> connected()
    {
        auto client = std::make_unique<http_client>(loop, front, http_limits{});
        client->connect(patience, {});
        return client;
    }

    event_loop loop;
    relay ways{loop, 1};
    http_server server{loop, {}, [](const http_exchange_ptr &exchange) { exchange->respond({200, {}, std::string(100'000, 'x')}); }};
    endpoint behind;
    endpoint front;
};

TEST_F(relay_test, carries_whole_answers)
{
    const auto client = connected();
    for (int i = 0; i < 3; ++i) {
        const auto outcome = ask(*client, patience);
        EXPECT_FALSE(outcome.error);
        EXPECT_EQ(outcome.response.body.size(), 100'000U);
    }
}

TEST_F(relay_test, a_cut_holds_everything_back_until_it_heals)
{
    auto client = connected();
    ASSERT_FALSE(ask(*client, patience).error);
    ways.pathFault(2, 1).cut = true;
    auto late = connected();
    EXPECT_TRUE(ask(*late, quiet).error) << "answers do not come back";
    ways.pathFault(2, 1).cut = false;
    EXPECT_FALSE(ask(*client, patience).error) << "the connection lives on";
}

TEST_F(relay_test, a_silent_connection_stays_silent_and_new_ones_work)
{
    const auto old = connected();
    ASSERT_FALSE(ask(*old, patience).error);
    ways.silence([](domain_number, domain_number, const endpoint &) { return true; });
    EXPECT_TRUE(ask(*old, quiet).error);
    EXPECT_TRUE(old->open()) << "nothing tells that it is dead";
    const auto fresh = connected();
    EXPECT_FALSE(ask(*fresh, patience).error);
}

} // namespace
