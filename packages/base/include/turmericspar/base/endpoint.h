/// @file endpoint.h
/// An IP address with a port. Processes address each other's sockets only in this form, never by host name.
#pragma once

#include "turmericspar/base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace turmericspar {

/// An IP address and a port. In text, IPv6 addresses are enclosed in brackets.
struct endpoint
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;

    /// @return "ip:port", or "[ip]:port" for IPv6.
    std::string text() const;

    /// Converts to a socket address.
    /// @param storage receives the address
    /// @return the length of the address, or 0 if `ip` is not a valid IP address
    socklen_t toSockaddr(sockaddr_storage &storage) const;

    static endpoint fromSockaddr(const sockaddr *address);

    /// Parses "ip:port". Host names are rejected.
    static result<endpoint> parse(std::string_view text);
};

} // namespace turmericspar
