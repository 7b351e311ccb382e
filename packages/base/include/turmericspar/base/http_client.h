/// @file http_client.h
/// An outgoing HTTP/1.1 connection with one request at a time. It reports whether any of a failed request was sent.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/http.h"

#include <functional>
#include <memory>
#include <optional>

struct bufferevent;

namespace turmericspar {

/// The outcome of a request on a connection.
struct http_outcome
{
    std::error_code error; ///< set if no complete response was received
    bool sent = false; ///< whether any byte of the request may have reached the peer
    http_response response; ///< the complete response, if error is not set
};

/// A response field that identifies the request to which a response belongs.
struct http_correlation
{
    std::string field; ///< field name; empty if responses are not checked
    std::string value; ///< expected in the response to this request
};

/// A connection that can be opened ahead of its first request and reused. It does not reconnect: its owner replaces it once it is closed.
class http_client
{
public:
    using response_handler = std::function<void(http_outcome)>;
    using state_handler = std::function<void()>;

    http_client(event_loop &loop, endpoint peer, http_limits limits);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts to connect.
    /// @param timeout for the connection, also while a request waits for it
    /// @param onChange called from a later loop iteration when the connection opens or closes, except if it closes during a request
    void connect(millis timeout, state_handler onChange);

    /// Sends a request. No other request may be in progress. While the connection is being established, the request waits for it.
    /// @param timeout from now until the complete response
    /// @param onResponse called exactly once, from a later loop iteration, unless the client is destroyed first
    /// @param correlation field that the response must carry; responses to other requests are discarded
    void send(const http_request &request, millis timeout, response_handler onResponse, http_correlation correlation = {});

    bool open() const { return m_state == state::open; }
    /// @return whether the peer has accepted the connection, even if it has closed it since.
    bool wasAccepted() const { return m_accepted; }
    /// @return whether the connection can carry no more requests.
    bool closed() const { return m_state == state::closed; }
    /// @return how long the peer keeps the idle connection open, if it stated that in a Keep-Alive field.
    std::optional<millis> keepAliveTimeout() const { return m_keepAliveTimeout; }
    /// @return whether a request with this correlation value was answered with an error on this connection. A second copy of that response would be
    /// taken for the response to the same request sent again.
    bool hasFailed(const std::string &correlationValue) const;
    /// @return whether a request is in progress.
    bool busy() const { return static_cast<bool>(m_onResponse); }

private:
    enum class state { closed, connecting, open };

    void read();
    void handleResponse();
    bool responseMatchesRequest() const;
    bool noteFailure(const http_response &response);
    void event(short what);
    void close(errc reason);
    void finish(http_outcome outcome);
    void writeRequest();

    event_loop &m_loop;
    endpoint m_peer;
    http_reader m_reader;
    state m_state = state::closed;
    bufferevent *m_bev = nullptr;
    bool m_accepted = false;
    bool m_sent = false;
    int m_foreignResponses = 0; ///< responses to other requests that arrived since the request was sent
    http_correlation m_correlation;
    std::vector<std::string> m_failed; ///< correlation values of requests that were answered with an error
    std::optional<millis> m_keepAliveTimeout;
    std::string m_unsentRequest;
    state_handler m_onChange;
    response_handler m_onResponse;
    event_watcher_ptr m_connectTimer;
    event_watcher_ptr m_timer; ///< of the request in progress
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace turmericspar
