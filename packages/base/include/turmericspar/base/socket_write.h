/// @file socket_write.h
/// Writing to a connection with as few system calls as possible.
#pragma once

#include <string_view>

struct bufferevent;
struct evbuffer;

namespace turmericspar {

/// Hands a text to the socket of an open connection at once. What the socket does not take now, or what has to wait behind earlier
/// bytes, is left to the bufferevent, which also reports errors.
/// @param connection a bufferevent that reads and writes a plain socket
void writeImmediately(bufferevent *connection, std::string_view text);

/// The same for bytes that were gathered; `gathered` is empty afterwards.
void writeImmediately(bufferevent *connection, evbuffer *gathered);

} // namespace turmericspar
