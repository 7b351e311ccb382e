/// @file http_test.cpp
/// The parser of HTTP messages, and the server and client over loopback.
#include "turmericspar/base/http_call.h"
#include "turmericspar/base/http_client.h"
#include "turmericspar/base/http_server.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

/// Parses a text that is fed in parts of the given sizes, which repeat; as a whole if there are none.
/// @param failedStatus receives the error status, or 0
std::vector<http_request> readAll(const std::string &text, const std::vector<std::size_t> &partSizes, int &failedStatus)
{
    http_reader reader(http_reader::role::server, {});
    std::vector<http_request> messages;
    std::size_t position = 0;
    std::size_t turn = 0;
    failedStatus = 0;
    while (position < text.size()) {
        const std::size_t partSize = partSizes.empty() ? text.size() : partSizes[turn++ % partSizes.size()];
        position += reader.feed(text.data() + position, std::min(partSize, text.size() - position));
        if (reader.currentState() == http_reader::state::complete) {
            messages.push_back(reader.request());
            reader.reset();
        } else if (reader.currentState() == http_reader::state::failed) {
            failedStatus = reader.errorStatus();
            break;
        }
    }
    return messages;
}

int statusOf(const std::string &text)
{
    int status = 0;
    readAll(text, {}, status);
    return status;
}

TEST(http_reader, reads_pipelined_messages)
{
    int status = 0;
    const auto messages = readAll("GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /c HTTP/1.1\r\n\r\n", {}, status);
    ASSERT_EQ(messages.size(), 3U);
    EXPECT_EQ(messages[0].target, "/a?x=1");
    EXPECT_EQ(messages[1].body, "abc");
    EXPECT_EQ(messages[2].target, "/c");
}

RC_GTEST_PROP(http_reader, result_does_not_depend_on_how_input_is_split, (std::vector<std::uint8_t> sizes, const std::vector<std::string> &bodies))
{
    std::string text;
    for (const auto &body : bodies) {
        text += "POST /p HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (!body.empty()) {
            std::array<char, 16> length{};
            std::snprintf(length.data(), length.size(), "%zx\r\n", body.size());
            text += length.data() + body + "\r\n";
        }
        text += "0\r\n\r\n";
    }
    std::vector<std::size_t> partSizes;
    for (const auto size : sizes) {
        partSizes.push_back(size + 1U);
    }
    int status = 0;
    const auto messages = readAll(text, partSizes, status);
    RC_ASSERT(messages.size() == bodies.size());
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        RC_ASSERT(messages[i].body == bodies[i]);
    }
}

RC_GTEST_PROP(http_reader, garbage_neither_crashes_nor_hangs, (const std::vector<std::uint8_t> &bytes, std::uint8_t partSize))
{
    int status = 0;
    readAll("GET / HTTP/1.1\r\n" + std::string(bytes.begin(), bytes.end()), {partSize + 1U}, status);
    readAll(std::string(bytes.begin(), bytes.end()), {partSize + 1U}, status);
}

TEST(http_reader, rejects_request_smuggling)
{
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"), 400);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc"), 400);
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost : h\r\n\r\n"), 400);
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n"), 400);
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"), 400);
}

TEST(http_reader, limits_header_and_body_size)
{
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nA: " + std::string(40'000, 'x') + "\r\n\r\n"), 431);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"), 413);
}

TEST(http_fields, removes_hop_by_hop_fields)
{
    http_fields fields;
    fields.add("Connection", "keep-alive, X-Private");
    fields.add("X-Private", "1");
    fields.add("Keep-Alive", "5");
    fields.add("X-Public", "2");
    fields.removeHopByHop();
    EXPECT_EQ(fields.size(), 1U);
    EXPECT_EQ(fields.get("x-public"), "2");
}

/// A server on loopback whose responses echo the request.
class http_loopback : public testing::Test
{
protected:
    http_loopback() : server(loop, {}, [this](const http_exchange_ptr &exchange) { handle(exchange); }), address(*server.listen({"127.0.0.1", 0})) { }

    virtual void handle(const http_exchange_ptr &exchange)
    {
        http_response response;
        response.body = exchange->request().method + " " + exchange->request().target + " " + exchange->request().body;
        exchange->respond(response);
    }

    http_outcome call(const http_request &request)
    {
        http_client client(loop, address, {});
        http_outcome outcome;
        client.connect(oneSecond, {});
        client.send(request, oneSecond * 5, [&](http_outcome received) {
            outcome = std::move(received);
            loop.quit();
        });
        loop.run();
        return outcome;
    }

    event_loop loop;
    http_server server;
    endpoint address;
};

TEST_F(http_loopback, echoes_large_body)
{
    http_request request;
    request.method = "POST";
    request.target = "/x?y";
    request.body = std::string(3'000'000, 'b');
    const auto outcome = call(request);
    ASSERT_FALSE(outcome.error);
    EXPECT_EQ(outcome.response.body, "POST /x?y " + request.body);
}

TEST_F(http_loopback, head_has_no_body)
{
    http_request request;
    request.method = "HEAD";
    const auto outcome = call(request);
    ASSERT_FALSE(outcome.error);
    EXPECT_TRUE(outcome.response.body.empty());
}

TEST_F(http_loopback, refused_connection_reports_nothing_sent)
{
    http_client client(loop, {"127.0.0.1", 1}, {});
    http_outcome outcome;
    client.connect(oneSecond, {});
    client.send({}, oneSecond * 5, [&](http_outcome received) {
        outcome = std::move(received);
        loop.quit();
    });
    loop.run();
    EXPECT_TRUE(outcome.error);
    EXPECT_FALSE(outcome.sent);
}

/// A server that never responds. The client disconnects once its request has arrived.
class silent_loopback : public http_loopback
{
protected:
    void handle(const http_exchange_ptr &exchange) override
    {
        exchange->onAborted([this] {
            aborted = true;
            loop.quit();
        });
        client.reset();
    }

    std::unique_ptr<http_client> client;
    bool aborted = false;
};

TEST_F(silent_loopback, reports_client_disconnect)
{
    client = std::make_unique<http_client>(loop, address, http_limits{});
    client->connect(oneSecond, {});
    client->send({}, oneSecond * 5, [](const http_outcome &) {});
    loop.run();
    EXPECT_TRUE(aborted);
}

/// @return the status of the response that a text holds; nothing if it is none.
std::optional<int> responseStatus(const std::string &statusLine)
{
    http_reader reader(http_reader::role::client, {});
    const std::string text = statusLine + "\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t used = 0; used < text.size() && reader.currentState() == http_reader::state::reading;) {
        used += reader.feed(text.data() + used, text.size() - used);
    }
    return reader.currentState() == http_reader::state::complete ? std::optional<int>(reader.response().status) : std::nullopt;
}

// Guards against bytes of a faulty upstream that reach the caller as an answer, with a status code that is none.
TEST(http_reader, a_first_line_that_is_no_status_line_is_no_response)
{
    for (const auto *line : {"HTTP/1.1 000 Odd", "HTTP/1.1 001 Odd",  "HTTP/1.1 099 Odd",  "HTTP/1.1 20 OK",   "HTTP/1.1 2 OK",
                             "HTTP/1.1 2000 OK", "HTTP/1.1 600 Odd",  "HTTP/1.1 999 Odd",  "HTTP/1.1 -20 OK",  "HTTP/1.1 +20 OK",
                             "HTTP/1.1 2x0 OK",  "HTTP/1.1  200 OK",  "HTTP/1.1\t200 OK",  "HTTP/1.1 200\tOK", "HTTP/1.1 101 Switching",
                             "HTTP/1.1 1 Odd",   "HTTP/2.0 200 OK",   "HTTP/0.9 200 OK",   "HTTP/1.10 200 OK", "HTTP/1.1200 OK",
                             "http/1.1 200 OK",  "HTTP/1.1",          "HTTP/1.1 ",         "200 OK",           "",
                             " HTTP/1.1 200 OK", "HTTP/1.1 2\r00 OK", "HTTP/1.1 \26200 OK"}) {
        EXPECT_EQ(responseStatus(line), std::nullopt) << line;
    }
}

TEST(http_reader, every_status_code_that_has_a_meaning_is_passed_on)
{
    for (int status = 200; status <= 599; ++status) {
        if (status != 204 && status != 304) { // these have no body
            EXPECT_EQ(responseStatus("HTTP/1.1 " + std::to_string(status) + " Text"), status);
        }
    }
    EXPECT_EQ(responseStatus("HTTP/1.0 200 OK"), 200);
    EXPECT_EQ(responseStatus("HTTP/1.1 200 "), 200);
    EXPECT_EQ(responseStatus("HTTP/1.1 200"), 200) << "many servers leave out the space before an empty reason";
    EXPECT_EQ(responseStatus("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK"), 200);
}

} // namespace
