#include "frame_stream.h"

#include "turmericspar/base/log.h"
#include "turmericspar/base/socket_write.h"

#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <google/protobuf/message_lite.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/ssl.h>
#include <unistd.h>

namespace turmericspar {

namespace {

using length_prefix = std::array<unsigned char, 4>;
constexpr unsigned byteBits = 8;

/// Writes a length with the most significant byte first.
length_prefix prefixOf(std::size_t size)
{
    length_prefix prefix;
    for (auto byte = prefix.rbegin(); byte != prefix.rend(); ++byte) {
        *byte = static_cast<unsigned char>(size);
        size >>= byteBits;
    }
    return prefix;
}

std::size_t sizeFrom(const length_prefix &prefix)
{
    std::size_t size = 0;
    for (const auto byte : prefix) {
        size = size << byteBits | byte;
    }
    return size;
}

/// Opens a socket that leaves from an IP number. @return a descriptor, or -1
int socketFrom(const endpoint &from)
{
    sockaddr_storage storage;
    const auto length = endpoint{from.ip, 0}.toSockaddr(storage);
    const int descriptor = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    // The port is taken only when the connection is opened, so that many connections can share one.
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&storage), length) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

frame_stream::frame_stream(event_loop &loop, frame_limits limits, ssl_st *security, frame_handlers handlers)
    : m_loop(loop), m_limits(limits), m_security(security), m_handlers(std::move(handlers)), m_gathered(evbuffer_new(), evbuffer_free)
{
}

frame_stream::~frame_stream()
{
    close();
    SSL_free(m_security);
}

void frame_stream::setUp(int descriptor, bool accepted)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const auto onRead = [](bufferevent *, void *self) { static_cast<frame_stream *>(self)->read(); };
    const auto onEvent = [](bufferevent *, short what, void *self) {
        auto *stream = static_cast<frame_stream *>(self);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            stream->m_open = true;
            stream->flush();
        } else {
            stream->ended();
        }
    };
    if (m_security) {
        const auto state = accepted ? BUFFEREVENT_SSL_ACCEPTING : BUFFEREVENT_SSL_CONNECTING;
        m_bev = bufferevent_openssl_socket_new(m_loop.base(), descriptor, std::exchange(m_security, nullptr), state, BEV_OPT_CLOSE_ON_FREE);
    } else {
        m_bev = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        m_open = accepted;
    }
    bufferevent_setcb(m_bev, onRead, nullptr, onEvent, this);
    bufferevent_enable(m_bev, EV_READ | EV_WRITE);
}

void frame_stream::open(const endpoint &from, const endpoint &to)
{
    sockaddr_storage storage;
    const auto length = to.toSockaddr(storage);
    const int descriptor = socketFrom(from);
    if (descriptor >= 0) {
        setUp(descriptor, false);
    }
    if (descriptor < 0 || bufferevent_socket_connect(m_bev, reinterpret_cast<sockaddr *>(&storage), static_cast<int>(length)) != 0) {
        logEvent(log_level::warning, "link_not_opened", {{"peer", to.text()}, {"reason", "no socket"}});
        m_loop.defer([keep = weak_from_this()] {
            if (const auto stream = keep.lock()) {
                stream->ended();
            }
        });
    }
}

void frame_stream::accept(int descriptor)
{
    setUp(descriptor, true);
}

bool frame_stream::send(const google::protobuf::MessageLite &message)
{
    const auto size = message.ByteSizeLong();
    const auto waiting = evbuffer_get_length(m_gathered.get()) + (m_bev ? evbuffer_get_length(bufferevent_get_output(m_bev)) : 0);
    if (!m_bev || size > m_limits.frameMax || waiting > m_limits.unsentMax) {
        return false;
    }
    const auto prefix = prefixOf(size);
    evbuffer_add(m_gathered.get(), prefix.data(), prefix.size());
    if (size > 0) {
        evbuffer_iovec space;
        evbuffer_reserve_space(m_gathered.get(), static_cast<ev_ssize_t>(size), &space, 1);
        message.SerializeWithCachedSizesToArray(static_cast<std::uint8_t *>(space.iov_base));
        space.iov_len = size;
        evbuffer_commit_space(m_gathered.get(), &space, 1);
    }
    if (m_open && !std::exchange(m_flushPending, true)) {
        m_loop.defer([keep = weak_from_this()] {
            if (const auto stream = keep.lock()) {
                stream->m_flushPending = false;
                stream->flush();
            }
        });
    }
    return true;
}

/// Writes what was gathered.
void frame_stream::flush()
{
    if (!m_bev || !m_open || evbuffer_get_length(m_gathered.get()) == 0) {
        return;
    }
    if (bufferevent_openssl_get_ssl(m_bev)) {
        bufferevent_write_buffer(m_bev, m_gathered.get());
    } else {
        writeImmediately(m_bev, m_gathered.get());
    }
}

void frame_stream::close()
{
    flush();
    if (m_bev) {
        bufferevent_free(std::exchange(m_bev, nullptr));
    }
}

void frame_stream::read()
{
    const auto keep = shared_from_this();
    length_prefix prefix;
    while (m_bev) {
        auto *input = bufferevent_get_input(m_bev);
        if (evbuffer_copyout(input, prefix.data(), prefix.size()) < static_cast<ev_ssize_t>(prefix.size())) {
            return;
        }
        const auto size = sizeFrom(prefix);
        if (size > m_limits.frameMax) {
            logEvent(log_level::warning, "link_message_malformed", {{"bytes", size}});
            ended();
            return;
        }
        if (evbuffer_get_length(input) < prefix.size() + size) {
            return;
        }
        const auto whole = static_cast<ev_ssize_t>(prefix.size() + size);
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, whole));
        m_handlers.onFrame({bytes + prefix.size(), size});
        // The handler may have closed the stream.
        if (m_bev) {
            evbuffer_drain(bufferevent_get_input(m_bev), static_cast<std::size_t>(whole));
        }
    }
}

/// Tells the owner that the connection is gone.
void frame_stream::ended()
{
    const auto keep = shared_from_this();
    m_open = false;
    close();
    m_handlers.onEnd();
}

} // namespace turmericspar
