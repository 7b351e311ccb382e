/// @file socket_write.h
/// Writes to a bufferevent with as few system calls as possible.
#pragma once

#include <string_view>

struct bufferevent;
struct evbuffer;

namespace turmericspar {

/// Sends data to the socket without waiting for the next loop iteration. Data that the socket does not accept now, or that has to queue
/// behind earlier output, is passed to the bufferevent, which also reports errors.
/// @param connection an open bufferevent of a plain socket, without TLS
void writeImmediately(bufferevent *connection, std::string_view data);

/// The same for the content of a buffer, which is empty afterwards.
void writeImmediately(bufferevent *connection, evbuffer *buffer);

} // namespace turmericspar
