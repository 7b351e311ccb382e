#include "turmericspar/base/socket_write.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

namespace turmericspar {

namespace {

/// @return whether no earlier output is queued.
bool outputEmpty(bufferevent *connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection)) == 0;
}

} // namespace

void writeImmediately(bufferevent *connection, std::string_view data)
{
    if (outputEmpty(connection)) {
        const auto sent = send(bufferevent_getfd(connection), data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        data.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
    }
    if (!data.empty()) {
        bufferevent_write(connection, data.data(), data.size());
    }
}

void writeImmediately(bufferevent *connection, evbuffer *buffer)
{
    if (outputEmpty(connection)) {
        // An error is ignored here: it occurs again, and is reported, when the bufferevent writes the same data.
        evbuffer_write(buffer, bufferevent_getfd(connection));
    }
    if (evbuffer_get_length(buffer) > 0) {
        bufferevent_write_buffer(connection, buffer);
    }
}

} // namespace turmericspar
