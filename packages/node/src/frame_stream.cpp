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

/// Encodes a length in big-endian byte order.
length_prefix encodeLength(std::size_t size)
{
    length_prefix prefix;
    for (auto byte = prefix.rbegin(); byte != prefix.rend(); ++byte) {
        *byte = static_cast<unsigned char>(size);
        size >>= byteBits;
    }
    return prefix;
}

std::size_t decodeLength(const length_prefix &prefix)
{
    std::size_t size = 0;
    for (const auto byte : prefix) {
        size = size << byteBits | byte;
    }
    return size;
}

/// Creates a socket that is bound to a local IP address. @return a descriptor, or -1
int openBoundSocket(const endpoint &source)
{
    sockaddr_storage storage;
    const auto length = endpoint{source.ip, 0}.toSockaddr(storage);
    const int descriptor = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    // The port is chosen by connect() instead of bind(), so that connections to different peers can share a local port.
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&storage), length) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

frame_stream::frame_stream(event_loop &loop, frame_limits limits, ssl_st *ssl, frame_handlers handlers)
    : m_loop(loop), m_limits(limits), m_ssl(ssl), m_handlers(std::move(handlers)), m_outgoing(evbuffer_new(), evbuffer_free)
{
}

frame_stream::~frame_stream()
{
    close();
    SSL_free(m_ssl);
}

void frame_stream::initialize(int descriptor, bool accepted)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const auto onRead = [](bufferevent *, void *self) { static_cast<frame_stream *>(self)->read(); };
    const auto onEvent = [](bufferevent *, short what, void *self) {
        auto *stream = static_cast<frame_stream *>(self);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            stream->m_writable = true;
            stream->flush();
        } else {
            stream->handleClose();
        }
    };
    if (m_ssl) {
        const auto state = accepted ? BUFFEREVENT_SSL_ACCEPTING : BUFFEREVENT_SSL_CONNECTING;
        m_bev = bufferevent_openssl_socket_new(m_loop.base(), descriptor, std::exchange(m_ssl, nullptr), state, BEV_OPT_CLOSE_ON_FREE);
    } else {
        m_bev = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        m_writable = accepted;
    }
    bufferevent_setcb(m_bev, onRead, nullptr, onEvent, this);
    bufferevent_enable(m_bev, EV_READ | EV_WRITE);
}

void frame_stream::open(const endpoint &source, const endpoint &target)
{
    sockaddr_storage storage;
    const auto length = target.toSockaddr(storage);
    const int descriptor = openBoundSocket(source);
    if (descriptor >= 0) {
        initialize(descriptor, false);
    }
    if (descriptor < 0 || bufferevent_socket_connect(m_bev, reinterpret_cast<sockaddr *>(&storage), static_cast<int>(length)) != 0) {
        logEvent(log_level::warning, "link_not_opened", {{"peer", target.text()}, {"reason", "could not create or connect a socket"}});
        m_loop.defer([weakSelf = weak_from_this()] {
            if (const auto stream = weakSelf.lock()) {
                stream->handleClose();
            }
        });
    }
}

void frame_stream::accept(int descriptor)
{
    initialize(descriptor, true);
}

bool frame_stream::send(const google::protobuf::MessageLite &message)
{
    const auto size = message.ByteSizeLong();
    const auto unsent = evbuffer_get_length(m_outgoing.get()) + (m_bev ? evbuffer_get_length(bufferevent_get_output(m_bev)) : 0);
    if (!m_bev || size > m_limits.frameMax || unsent > m_limits.unsentMax) {
        return false;
    }
    const auto prefix = encodeLength(size);
    evbuffer_add(m_outgoing.get(), prefix.data(), prefix.size());
    if (size > 0) {
        evbuffer_iovec space;
        evbuffer_reserve_space(m_outgoing.get(), static_cast<ev_ssize_t>(size), &space, 1);
        message.SerializeWithCachedSizesToArray(static_cast<std::uint8_t *>(space.iov_base));
        space.iov_len = size;
        evbuffer_commit_space(m_outgoing.get(), &space, 1);
    }
    if (m_writable && !std::exchange(m_flushPending, true)) {
        m_loop.defer([weakSelf = weak_from_this()] {
            if (const auto stream = weakSelf.lock()) {
                stream->m_flushPending = false;
                stream->flush();
            }
        });
    }
    return true;
}

/// Passes the queued messages on to the socket.
void frame_stream::flush()
{
    if (!m_bev || !m_writable || evbuffer_get_length(m_outgoing.get()) == 0) {
        return;
    }
    if (bufferevent_openssl_get_ssl(m_bev)) {
        bufferevent_write_buffer(m_bev, m_outgoing.get());
    } else {
        writeImmediately(m_bev, m_outgoing.get());
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
    const auto self = shared_from_this();
    length_prefix prefix;
    while (m_bev) {
        auto *input = bufferevent_get_input(m_bev);
        if (evbuffer_copyout(input, prefix.data(), prefix.size()) < static_cast<ev_ssize_t>(prefix.size())) {
            return;
        }
        const auto size = decodeLength(prefix);
        if (size > m_limits.frameMax) {
            logEvent(log_level::warning, "link_message_malformed", {{"bytes", size}});
            handleClose();
            return;
        }
        if (evbuffer_get_length(input) < prefix.size() + size) {
            return;
        }
        const auto frameBytes = static_cast<ev_ssize_t>(prefix.size() + size);
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, frameBytes));
        m_handlers.onFrame({bytes + prefix.size(), size});
        // The callback may have closed the stream.
        if (m_bev) {
            evbuffer_drain(bufferevent_get_input(m_bev), static_cast<std::size_t>(frameBytes));
        }
    }
}

/// Closes the connection after an error or its end and notifies the owner.
void frame_stream::handleClose()
{
    const auto self = shared_from_this();
    m_writable = false;
    close();
    m_handlers.onClosed();
}

} // namespace turmericspar
