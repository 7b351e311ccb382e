/// @file http_connection_test.cpp
/// Client and server against faulty or unusual peers, at the level of bytes: late responses, responses to other requests, truncated and early
/// responses, and pipelined requests.
#include "turmericspar/base/http_client.h"
#include "turmericspar/base/http_server.h"
#include "turmericspar/base/listener.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace turmericspar;

/// A server that answers the first bytes it reads with the given bytes, and then may close or reset the connection.
class scripted_peer
{
public:
    enum class ending { keep_open, close, reset };

    scripted_peer(event_loop &loop, std::string bytes, ending ending) : m_bytes(std::move(bytes)), m_ending(ending)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto accepted = [](evconnlistener *listener, evutil_socket_t descriptor, sockaddr *, int, void *self) {
            static_cast<scripted_peer *>(self)->accept(evconnlistener_get_base(listener), descriptor);
        };
        m_listener = evconnlistener_new_bind(
            loop.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr *>(&address), static_cast<int>(sizeof(address)));
    }
    ~scripted_peer()
    {
        for (auto *connection : m_connections) {
            bufferevent_free(connection);
        }
        evconnlistener_free(m_listener);
    }
    scripted_peer(const scripted_peer &) = delete;
    scripted_peer &operator=(const scripted_peer &) = delete;

    endpoint address() const
    {
        sockaddr_storage bound{};
        socklen_t length = sizeof(bound);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
        return endpoint::fromSockaddr(reinterpret_cast<sockaddr *>(&bound));
    }

private:
    void accept(event_base *base, evutil_socket_t descriptor)
    {
        auto *connection = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
        m_connections.push_back(connection);
        const auto onRead = [](bufferevent *bev, void *self) { static_cast<scripted_peer *>(self)->answer(bev); };
        const auto onWritten = [](bufferevent *bev, void *self) { static_cast<scripted_peer *>(self)->written(bev); };
        bufferevent_setcb(connection, onRead, onWritten, nullptr, this);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    void answer(bufferevent *connection)
    {
        if (m_answered) {
            return;
        }
        m_answered = true;
        bufferevent_write(connection, m_bytes.data(), m_bytes.size());
    }

    void written(bufferevent *connection)
    {
        if (!m_answered) {
            // The connection has become writable, but the response was not written yet.
            return;
        }
        const auto descriptor = bufferevent_getfd(connection);
        if (m_ending == ending::close) {
            shutdown(descriptor, SHUT_WR);
        } else if (m_ending == ending::reset) {
            const linger abort{1, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
            std::erase(m_connections, connection);
            bufferevent_free(connection);
        }
    }

    std::string m_bytes;
    ending m_ending;
    bool m_answered = false;
    evconnlistener *m_listener = nullptr;
    std::vector<bufferevent *> m_connections;
};

/// The outcome of a request, and whether its connection is still open.
struct request_result
{
    http_outcome outcome;
    bool connectionOpen = false;
};

/// Sends a request with id "mine" to a scripted peer.
request_result sendRequest(const std::string &bytes, scripted_peer::ending ending, std::size_t bodySize = 0)
{
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    scripted_peer peer(loop, bytes, ending);
    http_client client(loop, peer.address(), {});
    client.connect({1000}, {});
    http_request request;
    request.method = bodySize > 0 ? "POST" : "GET";
    request.body.assign(bodySize, 'x');
    request_result result;
    client.send(request,
                {500},
                [&](http_outcome outcome) {
                    result.outcome = std::move(outcome);
                    result.connectionOpen = client.open();
                    loop.quit();
                },
                {"X-Id", "mine"});
    loop.run();
    return result;
}

TEST(http_client_correlation, accepts_matching_response_and_keeps_connection)
{
    const auto result = sendRequest("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok", scripted_peer::ending::keep_open);
    EXPECT_FALSE(result.outcome.error);
    EXPECT_EQ(result.outcome.response.body, "ok");
    EXPECT_TRUE(result.connectionOpen);
}

TEST(http_client_correlation, discards_late_response_to_another_request_and_closes_connection)
{
    const auto result =
        sendRequest("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok",
                    scripted_peer::ending::keep_open);
    EXPECT_FALSE(result.outcome.error);
    EXPECT_EQ(result.outcome.response.body, "ok");
    EXPECT_FALSE(result.connectionOpen);
}

TEST(http_client_correlation, times_out_with_only_a_response_to_another_request)
{
    const auto result = sendRequest("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong", scripted_peer::ending::keep_open);
    EXPECT_EQ(result.outcome.error, errc::timeout);
}

// Guards against a request that reads responses to others, one after the other, until its deadline.
TEST(http_client_correlation, responses_to_other_requests_without_end_are_a_broken_answer)
{
    std::string bytes;
    for (int i = 0; i < 1000; ++i) {
        bytes += "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong";
    }
    const auto result = sendRequest(bytes, scripted_peer::ending::keep_open);
    EXPECT_EQ(result.outcome.error, errc::malformed_message);
    EXPECT_FALSE(result.connectionOpen);
}

TEST(http_client_framing, bytes_after_response_close_connection)
{
    const auto result = sendRequest("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200", scripted_peer::ending::keep_open);
    EXPECT_EQ(result.outcome.response.body, "ok");
    EXPECT_FALSE(result.connectionOpen);
}

TEST(http_client_framing, response_without_length_ends_with_connection)
{
    const auto result = sendRequest("HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nwhole", scripted_peer::ending::close);
    EXPECT_FALSE(result.outcome.error) << result.outcome.error.message();
    EXPECT_EQ(result.outcome.response.body, "whole");
}

TEST(http_client_framing, response_without_length_fails_on_reset)
{
    const auto result = sendRequest("HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\npart", scripted_peer::ending::reset);
    EXPECT_TRUE(result.outcome.error);
}

TEST(http_client_framing, truncated_response_fails)
{
    const auto result = sendRequest("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 10\r\n\r\npart", scripted_peer::ending::close);
    EXPECT_TRUE(result.outcome.error);
}

// Guards against a response that is taken for whole, with an empty or short body, although its peer stopped in the middle of the header.
TEST(http_client_framing, a_response_that_ends_within_its_header_fails_wherever_it_ends)
{
    const std::string header = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nX-Other: y\r\nContent-Length: 2\r\n\r\n";
    for (const std::string start : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        for (std::size_t size = 1; size < header.size(); ++size) {
            const auto result = sendRequest(start + header.substr(0, size), scripted_peer::ending::close);
            EXPECT_TRUE(result.outcome.error) << "after " << start << header.substr(0, size);
        }
    }
}

TEST(http_client_framing, early_response_to_unsent_body_closes_connection)
{
    // Far larger than the socket buffers, so that most of the body is still unsent when the response arrives.
    constexpr std::size_t longBody = 64 * 1024 * 1024;
    const auto result = sendRequest("HTTP/1.1 413 Content Too Large\r\nX-Id: mine\r\nContent-Length: 0\r\n\r\n", scripted_peer::ending::keep_open, longBody);
    EXPECT_FALSE(result.outcome.error);
    EXPECT_EQ(result.outcome.response.status, 413);
    EXPECT_FALSE(result.connectionOpen);
}

/// A server whose requests stay pending until the test answers them, and a raw connection to it.
class pipelined_server : public testing::Test
{
protected:
    pipelined_server()
        : server(loop, {}, [this](http_exchange_ptr exchange) { pending.push_back(std::move(exchange)); }), address(*server.listen({"127.0.0.1", 0}))
    {
        sockaddr_storage storage;
        const auto length = address.toSockaddr(storage);
        connection = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        const auto onRead = [](bufferevent *bev, void *self) {
            auto *test = static_cast<pipelined_server *>(self);
            std::array<char, 4096> buffer{};
            const auto size = bufferevent_read(bev, buffer.data(), buffer.size());
            test->received.append(buffer.data(), size);
        };
        const auto onEvent = [](bufferevent *, short what, void *self) {
            static_cast<pipelined_server *>(self)->closedByServer = static_cast<pipelined_server *>(self)->closedByServer || (what & BEV_EVENT_EOF) != 0;
        };
        bufferevent_setcb(connection, onRead, nullptr, onEvent, this);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
        bufferevent_socket_connect(connection, reinterpret_cast<sockaddr *>(&storage), static_cast<int>(length));
    }
    ~pipelined_server() override
    {
        if (connection) {
            bufferevent_free(connection);
        }
    }

    void write(const std::string &text) { bufferevent_write(connection, text.data(), text.size()); }
    void runFor(millis duration)
    {
        const auto timer = loop.after(duration, [this] { loop.quit(); });
        loop.run();
    }

    event_loop loop;
    std::vector<http_exchange_ptr> pending;
    http_server server;
    endpoint address;
    bufferevent *connection = nullptr;
    std::string received;
    bool closedByServer = false;
};

TEST_F(pipelined_server, handles_pipelined_requests_concurrently_and_responds_in_order)
{
    write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor({50});
    ASSERT_EQ(pending.size(), 2U);
    pending[1]->respond({200, {}, "second"});
    runFor({50});
    EXPECT_TRUE(received.empty());
    pending[0]->respond({200, {}, "first"});
    runFor({50});
    const auto first = received.find("first");
    const auto second = received.find("second");
    EXPECT_NE(first, std::string::npos);
    EXPECT_NE(second, std::string::npos);
    EXPECT_LT(first, second);
}

TEST_F(pipelined_server, requests_after_connection_close_are_discarded)
{
    write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor({50});
    ASSERT_EQ(pending.size(), 2U);
    pending[0]->respond({200, {}, "first"});
    pending[1]->respond({200, {}, "second"});
    runFor({50});
    EXPECT_NE(received.find("second"), std::string::npos);
    EXPECT_TRUE(closedByServer);
}

TEST_F(pipelined_server, without_keep_alive_answers_pending_request_then_closes)
{
    write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor({50});
    ASSERT_EQ(pending.size(), 1U);
    server.disableKeepAlive();
    runFor({50});
    EXPECT_FALSE(closedByServer);
    pending[0]->respond({200, {}, "answer"});
    runFor({50});
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    EXPECT_NE(received.find("answer"), std::string::npos);
    EXPECT_TRUE(closedByServer);
}

// Guards against a stopping server that takes requests as long as a client sends them ahead, and cuts the last ones at its end.
TEST_F(pipelined_server, without_keep_alive_takes_no_request_behind_those_that_it_has_read)
{
    write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor({50});
    ASSERT_EQ(pending.size(), 1U);
    server.disableKeepAlive();
    write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor({50});
    EXPECT_EQ(pending.size(), 1U);
    pending[0]->respond({200, {}, "answer"});
    runFor({50});
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(closedByServer);
}

// Guards against a request that was begun before the stop and gets no answer.
TEST_F(pipelined_server, without_keep_alive_answers_a_request_that_is_being_received)
{
    write("GET /1 HTTP/1.1\r\nHo");
    runFor({50});
    server.disableKeepAlive();
    write("st: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor({50});
    ASSERT_EQ(pending.size(), 1U);
    pending[0]->respond({200, {}, "answer"});
    runFor({50});
    EXPECT_NE(received.find("answer"), std::string::npos);
    EXPECT_TRUE(closedByServer);
}

TEST_F(pipelined_server, disconnect_aborts_all_pending_requests)
{
    write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor({50});
    ASSERT_EQ(pending.size(), 2U);
    int aborted = 0;
    for (const auto &exchange : pending) {
        exchange->onAborted([&] { ++aborted; });
    }
    bufferevent_free(std::exchange(connection, nullptr));
    runFor({50});
    EXPECT_EQ(aborted, 2);
}

// Guards against a server that keeps a connection for its idle time after the last response, because its peer leaves its own side open.
// Guards against a long upload that is cut off as if its header were late.
TEST(http_server, the_time_for_a_header_does_not_bound_its_body)
{
    event_loop loop;
    http_server_options options;
    options.headerTimeout = {200};
    options.messageTimeout = {1500};
    std::vector<std::string> bodies;
    http_server server(loop, options, [&](const http_exchange_ptr &exchange) {
        bodies.push_back(exchange->request().body);
        exchange->respond({200, {}, {}});
    });
    const auto address = server.listen({"127.0.0.1", 0});
    ASSERT_TRUE(address);
    sockaddr_storage storage;
    const auto length = address->toSockaddr(storage);
    const auto send = [&](const std::string &first, const std::string &rest, millis pause) {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr *>(&storage), length), 0);
        EXPECT_GT(write(descriptor, first.data(), first.size()), 0);
        const auto later = loop.after(pause, [&] { EXPECT_NE(::send(descriptor, rest.data(), rest.size(), MSG_NOSIGNAL), 0); });
        const auto end = loop.after(pause + millis{200}, [&] { loop.quit(); });
        loop.run();
        close(descriptor);
    };
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd", {600});
    EXPECT_EQ(bodies, std::vector<std::string>{"abcd"}) << "a slow body has the time for messages";
    send("POST / HTTP/1.1\r\nHost: h\r\n", "Content-Length: 1\r\n\r\na", {600});
    EXPECT_EQ(bodies.size(), 1U) << "a slow header does not";
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab", "cd", {2000});
    EXPECT_EQ(bodies.size(), 1U) << "nor has a body more";
}

/// A listening socket that accepts nothing by itself.
struct raw_listener
{
    explicit raw_listener(int backlog) : descriptor(socket(AF_INET, SOCK_STREAM, 0)), length(endpoint{"127.0.0.1", 0}.toSockaddr(storage))
    {
        EXPECT_EQ(bind(descriptor, reinterpret_cast<sockaddr *>(&storage), length), 0);
        EXPECT_EQ(listen(descriptor, backlog), 0);
        EXPECT_EQ(getsockname(descriptor, reinterpret_cast<sockaddr *>(&storage), &length), 0);
    }
    ~raw_listener() { close(descriptor); }
    raw_listener(const raw_listener &) = delete;
    raw_listener &operator=(const raw_listener &) = delete;

    endpoint address() { return endpoint::fromSockaddr(reinterpret_cast<sockaddr *>(&storage)); }

    int descriptor;
    sockaddr_storage storage{};
    socklen_t length;
};

// Guards against an upstream at its limit of connections that is taken for crashed, since it resets a connection at once.
TEST(http_client, a_peer_that_resets_a_connection_at_once_has_accepted_it)
{
    event_loop loop;
    raw_listener listener(8);
    http_client client(loop, listener.address(), http_limits{});
    client.connect({1000}, [&] { loop.quit(); });
    const int accepted = accept(listener.descriptor, nullptr, nullptr);
    ASSERT_GE(accepted, 0);
    const linger reset{1, 0};
    setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(accepted);
    loop.run();
    EXPECT_TRUE(client.wasAccepted());
}

TEST(http_client, a_refused_connection_is_not_accepted)
{
    event_loop loop;
    endpoint closed;
    {
        raw_listener listener(8);
        closed = listener.address();
    }
    http_client client(loop, closed, http_limits{});
    client.connect({1000}, [&] { loop.quit(); });
    loop.run();
    EXPECT_TRUE(client.closed());
    EXPECT_FALSE(client.wasAccepted());
}

// Guards against a call that waits until its deadline for a connection that can't be opened.
TEST(http_client, the_time_to_connect_bounds_a_request_that_waits_for_the_connection)
{
    // The queue of this listener holds one connection, so that others are not established.
    raw_listener listener(0);
    std::vector<int> waiting;
    for (int i = 0; i < 3; ++i) {
        waiting.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        EXPECT_TRUE(connect(waiting.back(), reinterpret_cast<sockaddr *>(&listener.storage), listener.length) == 0 || errno == EINPROGRESS);
    }
    event_loop loop;
    http_client client(loop, listener.address(), http_limits{});
    client.connect({200}, {});
    http_outcome outcome;
    const millis begin = monotonicNow();
    client.send({}, {3000}, [&](http_outcome ended) {
        outcome = std::move(ended);
        loop.quit();
    });
    loop.run();
    EXPECT_EQ(outcome.error, errc::timeout);
    EXPECT_FALSE(outcome.sent) << "it is known not to have run";
    EXPECT_LT((monotonicNow() - begin).count, 1500);
    for (const int descriptor : waiting) {
        close(descriptor);
    }
}

TEST(http_server, does_not_wait_for_a_peer_that_keeps_its_side_open_after_the_last_response)
{
    event_loop loop;
    http_server *serving = nullptr;
    http_server server(loop, {}, [&](const http_exchange_ptr &exchange) {
        serving->disableKeepAlive();
        exchange->respond({200, {}, "last"});
    });
    serving = &server;
    const auto address = server.listen({"127.0.0.1", 0});
    ASSERT_TRUE(address);
    sockaddr_storage storage;
    const auto length = address->toSockaddr(storage);
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(descriptor, reinterpret_cast<sockaddr *>(&storage), length), 0);
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    ASSERT_EQ(send(descriptor, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    std::size_t atFirst = 0;
    const auto look = loop.after({500}, [&] { atFirst = server.connectionCount(); });
    const auto end = loop.after({3000}, [&] { loop.quit(); });
    loop.run();
    EXPECT_EQ(atFirst, 1U);
    EXPECT_EQ(server.connectionCount(), 0U);
    close(descriptor);
}

// Guards against a node that ends at its start because its predecessor is still finishing calls on the same port.
TEST(listener, waits_for_another_process_to_release_the_address)
{
    event_loop loop;
    const int former = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(bind(former, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
    ASSERT_EQ(listen(former, 1), 0);
    socklen_t length = sizeof(address);
    ASSERT_EQ(getsockname(former, reinterpret_cast<sockaddr *>(&address), &length), 0);
    std::thread release([former] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        close(former);
    });
    listener successor(loop, [](int, const sockaddr *) {});
    const auto listening = successor.listen(endpoint::fromSockaddr(reinterpret_cast<sockaddr *>(&address)), "listen");
    EXPECT_TRUE(listening) << listening.error().text();
    release.join();
}

} // namespace
