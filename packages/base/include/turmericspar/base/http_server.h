/// @file http_server.h
/// A listening HTTP/1.1 socket with keep-alive, pipelining and answers that may be given later.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/http.h"
#include "turmericspar/base/listener.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace turmericspar {

class http_server;

/// One request and the right to answer it once.
class http_exchange
{
public:
    http_exchange(http_server *server, std::uint64_t connection, std::uint64_t number, http_request request, endpoint peer);

    const http_request &request() const { return m_request; }
    http_request &request() { return m_request; }
    const endpoint &peer() const { return m_peer; }

    /// Answers; without effect if the peer has gone or was answered before.
    void respond(http_response response);

    /// Sets what happens when the peer goes before it was answered.
    void onAborted(std::function<void()> action) { m_onAborted = std::move(action); }

private:
    friend class http_server;
    void abort();

    http_server *m_server;
    std::uint64_t m_connection;
    std::uint64_t m_number; ///< among the requests of its connection
    http_request m_request;
    endpoint m_peer;
    bool m_done = false;
    std::function<void()> m_onAborted;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

/// Timers and bounds of a listening socket.
struct http_server_options
{
    http_limits limits;
    millis messageTimeout{10'000}; ///< from a message's first byte to its last
    millis idleTimeout{75'000}; ///< between messages, and for a peer that does not take its answer
    std::size_t connectionsMax = 4096;
    std::size_t pipelinedMax = 16; ///< requests of one connection that may be in progress at once; they are answered in order
};

/// Owns the listening socket and its connections. It must outlive its exchanges' answers; destroy it after the loop has ended.
class http_server
{
public:
    using handler = std::function<void(http_exchange_ptr)>;

    http_server(event_loop &loop, http_server_options options, handler onRequest);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Binds and listens.
    /// @return the address bound (its port chosen by the host if it was 0), or what went wrong
    result<endpoint> listen(const endpoint &address);

    /// Changes the bounds for the connections to come.
    void setLimits(http_limits limits, millis messageTimeout, millis idleTimeout);

    /// Ends each connection after the answer that is due on it, but goes on taking new ones.
    void disableKeepAlive();

    /// Takes no further connections, and ends each present one after the answer that is due on it.
    void stopAccepting();

    /// @return how many connections are open.
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    friend class http_exchange;
    class connection;

    void accept(int descriptor, const sockaddr *address);
    void respond(std::uint64_t connection, std::uint64_t number, http_response response);
    void drop(std::uint64_t connection);

    event_loop &m_loop;
    http_server_options m_options;
    handler m_onRequest;
    bool m_stopping = false;
    std::uint64_t m_nextConnection = 1;
    listener m_listener;
    std::unordered_map<std::uint64_t, std::shared_ptr<connection>> m_connections;
};

} // namespace turmericspar
