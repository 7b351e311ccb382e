#include "turmericspar/base/listener.h"

#include "turmericspar/base/log.h"

#include <cerrno>
#include <chrono>
#include <event2/listener.h>
#include <thread>
#include <utility>

namespace turmericspar {

namespace {

/// Connections that may wait to be accepted: a quarter of the default maximum of Linux (net.core.somaxconn, 4096).
constexpr int listenBacklog = 1024;
/// How long listen() waits for another process to release the address, and the interval between its attempts.
constexpr millis addressWaitMax{10'000};
constexpr millis addressRetryInterval{100};

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
    const auto bind = [&] {
        m_socket.reset(evconnlistener_new_bind(m_loop.base(),
                                               onAccepted,
                                               this,
                                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                               listenBacklog,
                                               reinterpret_cast<const sockaddr *>(&storage),
                                               static_cast<int>(length)));
    };
    bind();
    // The process that this one replaces may still be finishing its calls.
    for (millis waited{0}; !m_socket && errno == EADDRINUSE && waited < addressWaitMax; waited += addressRetryInterval) {
        if (waited.count == 0) {
            logEvent(log_level::warning, "address_in_use", {{"step", step}, {"address", address.text()}, {"wait_max_ms", addressWaitMax}});
        }
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(addressRetryInterval.count));
        bind();
    }
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
