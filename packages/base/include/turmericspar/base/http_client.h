/// @file http_client.h
/// One outgoing HTTP/1.1 connection that carries one request at a time and knows whether any of it was sent.
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

/// What became of a request on a connection.
struct http_outcome
{
    std::error_code error; ///< set if there is no whole answer
    bool sent = false; ///< whether any byte of the request may have reached the peer
    http_response response; ///< the whole answer, if error is not set
};

/// A field by which the answers of a peer tell to which request they belong.
struct http_correlation
{
    std::string field; ///< its name; empty if answers carry none
    std::string value;
};

/// A connection that is opened ahead, reused, and replaced by its owner once it is closed.
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
    /// @param timeout how long connecting may take
    /// @param onChange told in a later turn when the connection opens or closes, but for closing during a request
    void connect(millis timeout, state_handler onChange);

    /// Sends a request; the connection must be idle. A request given while connecting waits for the connection.
    /// @param timeout from now to the whole answer
    /// @param onAnswer told exactly once, in a later turn, unless the client is destroyed first
    /// @param echo what the answer must carry; an answer to another request is passed over
    void send(const http_request &request, millis timeout, response_handler onAnswer, http_correlation echo = {});

    /// @return whether the connection is open.
    bool open() const { return m_state == state::open; }
    /// @return whether the connection can take no more requests.
    bool closed() const { return m_state == state::closed; }
    /// @return how long the peer keeps the connection open between requests, if it told.
    std::optional<millis> keepAliveTimeout() const { return m_keepAliveTimeout; }
    /// @return whether a request is in progress.
    bool busy() const { return static_cast<bool>(m_onAnswer); }

private:
    enum class state { closed, connecting, open };

    void read();
    void answerComplete();
    bool answerBelongs() const;
    void event(short what);
    void close(errc reason);
    void finish(http_outcome outcome);
    void writeRequest();

    event_loop &m_loop;
    endpoint m_peer;
    http_reader m_reader;
    state m_state = state::closed;
    bufferevent *m_bev = nullptr;
    bool m_sent = false;
    bool m_outOfStep = false; ///< whether an answer came that belongs to another request
    http_correlation m_echo;
    std::optional<millis> m_keepAliveTimeout;
    std::string m_pending;
    state_handler m_onChange;
    response_handler m_onAnswer;
    event_watcher_ptr m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace turmericspar
