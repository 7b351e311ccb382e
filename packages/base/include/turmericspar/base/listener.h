/// @file listener.h
/// A listening TCP socket on an event loop.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"

#include <functional>
#include <memory>

struct evconnlistener;

namespace turmericspar {

/// Accepts connections from the call of listen() until it is closed or destroyed.
class listener
{
public:
    /// @param descriptor the accepted connection; the handler takes ownership
    using handler = std::function<void(int descriptor, const sockaddr *peer)>;

    listener(event_loop &loop, handler onAccepted);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /// Binds the address and starts to accept connections. Blocks for up to ten seconds while another process holds the address.
    /// @param step the operation to name in a failure
    /// @return the bound address, with the port that the host chose if the given one was 0
    result<endpoint> listen(const endpoint &address, const char *step);
    /// Stops accepting connections.
    void close();

private:
    event_loop &m_loop;
    handler m_onAccepted;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener *)> m_socket;
};

} // namespace turmericspar
