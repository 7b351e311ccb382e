#include "turmericspar/base/listener.h"

#include <cerrno>
#include <event2/listener.h>
#include <utility>

namespace turmericspar {

namespace {

/// Connections that may wait to be accepted: a quarter of the default maximum of Linux (net.core.somaxconn, 4096).
constexpr int listenBacklog = 1024;

} // namespace

listener::listener(event_loop &loop, handler onAccepted) : m_loop(loop), m_onAccepted(std::move(onAccepted)), m_socket(nullptr, evconnlistener_free) { }

listener::~listener() = default;

result<endpoint> listener::listen(const endpoint &address, const char *step)
{
    sockaddr_storage storage;
    const auto length = address.toSockaddr(storage);
    const auto onAccepted = [](evconnlistener *, evutil_socket_t descriptor, sockaddr *peer, int, void *self) {
        static_cast<listener *>(self)->m_onAccepted(descriptor, peer);
    };
    m_socket.reset(evconnlistener_new_bind(m_loop.base(),
                                           onAccepted,
                                           this,
                                           LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                           listenBacklog,
                                           reinterpret_cast<const sockaddr *>(&storage),
                                           static_cast<int>(length)));
    if (!m_socket) {
        return failure{{errno, std::system_category()}, step, address.text(), {}};
    }
    sockaddr_storage bound;
    socklen_t boundLength = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_socket.get()), reinterpret_cast<sockaddr *>(&bound), &boundLength);
    return endpoint::fromSockaddr(reinterpret_cast<const sockaddr *>(&bound));
}

void listener::close()
{
    m_socket.reset();
}

} // namespace turmericspar
