#include "turmericspar/base/socket_write.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

namespace turmericspar {

namespace {

/// @return whether nothing waits to be written before new bytes.
bool nothingWaits(bufferevent *connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection)) == 0;
}

} // namespace

void writeImmediately(bufferevent *connection, std::string_view text)
{
    if (nothingWaits(connection)) {
        const auto taken = send(bufferevent_getfd(connection), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        text.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(taken, 0)));
    }
    if (!text.empty()) {
        bufferevent_write(connection, text.data(), text.size());
    }
}

void writeImmediately(bufferevent *connection, evbuffer *gathered)
{
    if (nothingWaits(connection)) {
        // A failure shows again when the bufferevent writes the same bytes, and is reported there.
        evbuffer_write(gathered, bufferevent_getfd(connection));
    }
    if (evbuffer_get_length(gathered) > 0) {
        bufferevent_write_buffer(connection, gathered);
    }
}

} // namespace turmericspar
