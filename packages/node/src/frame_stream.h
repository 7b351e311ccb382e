/// @file frame_stream.h
/// A connection to another node that carries length-prefixed messages.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"

#include <functional>
#include <memory>
#include <string_view>

struct bufferevent;
struct evbuffer;
struct ssl_st;

namespace google::protobuf {
class MessageLite;
} // namespace google::protobuf

namespace turmericspar {

/// Callbacks of a stream. A callback may close or destroy the stream.
struct frame_handlers
{
    std::function<void(std::string_view frame)> onFrame;
    /// The connection was closed or could not be opened; no callback follows.
    std::function<void()> onClosed;
};

/// Limits of a stream.
struct frame_limits
{
    std::size_t frameMax = 0; ///< maximum size of one message in bytes
    std::size_t unsentMax = 0; ///< maximum number of unwritten bytes at which another message is still accepted
};

/// One connection. Messages sent in the same iteration of the event loop are written together.
class frame_stream : public std::enable_shared_from_this<frame_stream>
{
public:
    /// @param ssl the TLS object, of which the stream takes ownership; null for a plain connection
    frame_stream(event_loop &loop, frame_limits limits, ssl_st *ssl, frame_handlers handlers);
    ~frame_stream();
    frame_stream(const frame_stream &) = delete;
    frame_stream &operator=(const frame_stream &) = delete;

    /// Opens the connection. A failure is reported through `onClosed`, never from within this function.
    /// @param source gives the local IP address
    void open(const endpoint &source, const endpoint &target);
    /// Takes ownership of an accepted connection.
    void accept(int descriptor);

    /// Queues a message, which is written at the end of the current iteration of the event loop.
    /// @return whether it was queued; a message that was not queued is never sent
    bool send(const google::protobuf::MessageLite &message);

    /// Passes the queued messages on to the socket and closes the connection. No callback follows.
    void close();

private:
    void initialize(int descriptor, bool accepted);
    void read();
    void handleClose();
    void flush();

    event_loop &m_loop;
    frame_limits m_limits;
    ssl_st *m_ssl;
    frame_handlers m_handlers;
    bufferevent *m_bev = nullptr;
    std::unique_ptr<evbuffer, void (*)(evbuffer *)> m_outgoing;
    bool m_writable = false; ///< whether the connection is established, so that bytes may be written
    bool m_flushPending = false;
};

} // namespace turmericspar
