#include "zmq_socket.h"

#include <utility>
#include <zmq.h>

namespace turmericspar {

zmq_socket::zmq_socket(event_loop &loop, void *context, int type, std::function<void()> onReadable)
    : m_loop(loop), m_socket(::zmq_socket(context, type)), m_onReadable(std::move(onReadable))
{
    setOption(ZMQ_LINGER, 0);
    setOption(ZMQ_IPV6, 1);
}

zmq_socket::~zmq_socket()
{
    *m_alive = false;
    m_watch.reset();
    zmq_close(m_socket);
}

void zmq_socket::setOption(int option, int value)
{
    zmq_setsockopt(m_socket, option, &value, sizeof(value));
}

void zmq_socket::startWatching()
{
    int descriptor = -1;
    std::size_t size = sizeof(descriptor);
    zmq_getsockopt(m_socket, ZMQ_FD, &descriptor, &size);
    m_watch = m_loop.whenReadable(descriptor, [this] { m_onReadable(); });
    readSoon();
}

bool zmq_socket::sendFrames(const std::vector<std::string> &frames)
{
    for (std::size_t i = 0; i < frames.size(); ++i) {
        const int more = i + 1 < frames.size() ? ZMQ_SNDMORE : 0;
        if (zmq_send(m_socket, frames[i].data(), frames[i].size(), ZMQ_DONTWAIT | more) < 0) {
            return false;
        }
    }
    readSoon();
    return true;
}

std::vector<std::string> zmq_socket::receiveFrames()
{
    std::vector<std::string> frames;
    int more = 1;
    while (more != 0) {
        zmq_msg_t message;
        zmq_msg_init(&message);
        if (zmq_msg_recv(&message, m_socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&message);
            return {};
        }
        frames.emplace_back(static_cast<const char *>(zmq_msg_data(&message)), zmq_msg_size(&message));
        more = zmq_msg_more(&message);
        zmq_msg_close(&message);
    }
    return frames;
}

void zmq_socket::readSoon()
{
    if (std::exchange(m_readPending, true)) {
        return;
    }
    m_loop.defer([this, alive = m_alive] {
        if (*alive) {
            m_readPending = false;
            m_onReadable();
        }
    });
}

} // namespace turmericspar
