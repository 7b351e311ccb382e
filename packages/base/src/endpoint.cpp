#include "turmericspar/base/endpoint.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstring>
#include <netinet/in.h>

namespace turmericspar {

std::string endpoint::text() const
{
    const bool isIpv6 = ip.find(':') != std::string::npos;
    return (isIpv6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

socklen_t endpoint::toSockaddr(sockaddr_storage &storage) const
{
    storage = {};
    auto *v4 = reinterpret_cast<sockaddr_in *>(&storage);
    if (inet_pton(AF_INET, ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        return sizeof(sockaddr_in);
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&storage);
    if (inet_pton(AF_INET6, ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

endpoint endpoint::fromSockaddr(const sockaddr *address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address->sa_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(address);
        inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(v6->sin6_port)};
    }
    const auto *v4 = reinterpret_cast<const sockaddr_in *>(address);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(v4->sin_port)};
}

result<endpoint> endpoint::parse(std::string_view text)
{
    const failure invalid{errc::invalid_settings, "parse endpoint", std::string(text), "expected an IP address and a port, such as 127.0.0.1:8080"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid;
    }
    std::string ip(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    endpoint parsed{ip, 0};
    const auto portText = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), parsed.port);
    sockaddr_storage storage;
    const bool portIsNumber = error == std::errc{} && end == portText.data() + portText.size();
    if (!portIsNumber || parsed.toSockaddr(storage) == 0) {
        return invalid;
    }
    return parsed;
}

} // namespace turmericspar
