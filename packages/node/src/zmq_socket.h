/// @file zmq_socket.h
/// A ZeroMQ socket on the libevent loop.
#pragma once

#include "turmericspar/base/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericspar {

/// A ZeroMQ socket whose descriptor is watched by the loop. It keeps nothing when it is closed.
class zmq_socket
{
public:
    /// @param type a type of ZeroMQ, such as ZMQ_DEALER
    /// @param onReadable told when there may be messages; it reads until there are none
    zmq_socket(event_loop &loop, void *context, int type, std::function<void()> onReadable);
    ~zmq_socket();
    zmq_socket(const zmq_socket &) = delete;
    zmq_socket &operator=(const zmq_socket &) = delete;

    void *raw() const { return m_socket; }
    void setOption(int option, int value);

    /// Begins to watch. The descriptor of ZeroMQ signals only changes, so whatever is there is read at once.
    void startWatching();

    /// Sends the frames of one message; whatever arrived meanwhile is read in the next turn.
    /// @return whether it was taken; a message that was not taken is not sent later
    bool sendFrames(const std::vector<std::string> &frames);

    /// Receives the frames of one message.
    /// @return no frames if there is no message
    std::vector<std::string> receiveFrames();

private:
    void readSoon();

    event_loop &m_loop;
    void *m_socket;
    std::function<void()> m_onReadable;
    bool m_readPending = false;
    watch_ptr m_watch;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace turmericspar
