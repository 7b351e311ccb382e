/// @file http_server.h
/// An HTTP/1.1 server with keep-alive, pipelining and asynchronous responses.
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

/// A request that can be answered once, now or later.
class http_exchange
{
public:
    http_exchange(http_server *server, std::uint64_t connection, std::uint64_t number, http_request request, endpoint peer);

    const http_request &request() const { return m_request; }
    http_request &request() { return m_request; }
    const endpoint &peer() const { return m_peer; }

    /// Sends the response. Has no effect if the request was aborted or answered before.
    void respond(http_response response);

    /// Sets the callback for a connection that ends before the request was answered.
    void onAborted(std::function<void()> action) { m_onAborted = std::move(action); }

private:
    friend class http_server;
    void abort();

    http_server *m_server;
    std::uint64_t m_connection;
    std::uint64_t m_number; ///< sequence number among the requests of the connection
    http_request m_request;
    endpoint m_peer;
    bool m_done = false;
    std::function<void()> m_onAborted;
};

using http_exchange_ptr = std::shared_ptr<http_exchange>;

/// Timeouts and limits of a server.
struct http_server_options
{
    http_limits limits;
    millis headerTimeout{10'000}; ///< from the first byte of a message to the end of its header
    millis messageTimeout{60'000}; ///< from the end of the header to the last byte of the body
    millis idleTimeout{75'000}; ///< between messages, and for a peer that does not read its response
    std::size_t connectionsMax = 4096;
    std::size_t pipelinedMax = 16; ///< concurrent requests of one connection; responses are sent in the order of the requests
};

/// Owns the listening socket and its connections. It must outlive every call of http_exchange::respond; destroy it after the loop has ended.
class http_server
{
public:
    using handler = std::function<void(http_exchange_ptr)>;

    http_server(event_loop &loop, http_server_options options, handler onRequest);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Binds the address and starts to accept connections.
    /// @return the bound address, with the port that the host chose if the given one was 0
    result<endpoint> listen(const endpoint &address);

    /// Changes limits and timeouts. The message limits apply to new connections only.
    void setLimits(http_limits limits, millis headerTimeout, millis messageTimeout, millis idleTimeout);

    /// Closes idle connections now and others after their last response. New connections are still accepted, and closed the same way.
    void disableKeepAlive();

    /// Stops accepting connections, and closes the existing ones as disableKeepAlive() does.
    void stopAccepting();

    std::size_t connectionCount() const { return m_connections.size(); }

private:
    friend class http_exchange;
    class connection;

    void accept(int descriptor, const sockaddr *address);
    void respond(std::uint64_t connection, std::uint64_t number, http_response response);
    void closeConnection(std::uint64_t connection);

    event_loop &m_loop;
    http_server_options m_options;
    handler m_onRequest;
    bool m_keepAliveDisabled = false;
    std::uint64_t m_nextConnection = 1;
    listener m_listener;
    std::unordered_map<std::uint64_t, std::shared_ptr<connection>> m_connections;
};

} // namespace turmericspar
