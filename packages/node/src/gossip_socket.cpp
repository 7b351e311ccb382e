#include "turmericspar/node/gossip_socket.h"

#include "turmericspar/base/log.h"
#include "turmericspar/node/wire.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unistd.h>

namespace turmericspar {

namespace {

constexpr std::size_t signatureBytes = 32;
constexpr std::size_t packetBytesMax = 4096;
constexpr std::size_t seenSignaturesMax = 8192;
/// Packets whose timestamp differs by more from the current time of their sender's clock are refused as replayed.
constexpr millis clockTolerance{60'000};
/// Maximum number of stored clock offsets: twice the number of members of the target size.
constexpr std::size_t clockOffsetsMax = 3000;

} // namespace

gossip_socket::gossip_socket(event_loop &loop, const key_ring &keys, gossip_handlers handlers, clock wallClock)
    : m_loop(loop), m_handlers(std::move(handlers)), m_wallClock(std::move(wallClock))
{
    for (const auto &key : keys) {
        m_keys.push_back(key.derive("gossip between nodes"));
    }
}

gossip_socket::~gossip_socket()
{
    m_watch.reset();
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

result<bool> gossip_socket::listen(const endpoint &address)
{
    sockaddr_storage storage;
    const auto length = address.toSockaddr(storage);
    m_descriptor = ::socket(storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0 || bind(m_descriptor, reinterpret_cast<sockaddr *>(&storage), length) != 0) {
        return failure{{errno, std::system_category()}, "listen for gossip", address.text(), {}};
    }
    m_watch = m_loop.onReadable(m_descriptor, [this] { receive(); });
    return true;
}

void gossip_socket::send(const addressed_gossip &outgoing)
{
    const auto to = endpoint::parse(outgoing.to);
    sockaddr_storage storage;
    if (!to || m_descriptor < 0) {
        return;
    }
    const auto length = to->toSockaddr(storage);
    const auto text = encodeGossip(outgoing.message, m_wallClock());
    const auto packet = authenticationCode(m_keys.front(), text) + text;
    // Errors are ignored: the protocol tolerates packet loss, and a packet that can't be sent counts as lost.
    const auto sent = sendto(m_descriptor, packet.data(), packet.size(), 0, reinterpret_cast<sockaddr *>(&storage), length);
    if (sent > 0) {
        ++m_counts.packetsSent;
        m_counts.bytesSent += static_cast<std::uint64_t>(sent);
    }
}

void gossip_socket::receive()
{
    std::array<char, packetBytesMax> buffer;
    for (auto size = recv(m_descriptor, buffer.data(), buffer.size(), 0); size > 0; size = recv(m_descriptor, buffer.data(), buffer.size(), 0)) {
        const std::string_view packet(buffer.data(), static_cast<std::size_t>(size));
        ++m_counts.packetsReceived;
        m_counts.bytesReceived += packet.size();
        if (packet.size() <= signatureBytes || !isAuthentic(packet)) {
            ++m_counts.packetsRefused;
            continue;
        }
        double sentAt = 0;
        const auto message = decodeGossip(packet.substr(signatureBytes), sentAt);
        const bool recent = message && isRecent(message->from, {sentAt});
        if (recent && isNew(std::string(packet.substr(0, signatureBytes)))) {
            m_handlers.onMessage(*message);
            continue;
        }
        ++m_counts.packetsRefused;
        if (message && !recent) {
            m_handlers.onClockMismatch(message->from);
        }
    }
}

bool gossip_socket::isAuthentic(std::string_view packet)
{
    return std::any_of(m_keys.begin(), m_keys.end(), [&](const derived_key &key) {
        return equalsInConstantTime(packet.substr(0, signatureBytes), authenticationCode(key, packet.substr(signatureBytes)));
    });
}

void gossip_socket::updatePeerClock(const node_id &node, millis wallTime)
{
    const millis offset = wallTime - m_wallClock();
    if (std::fabs(offset.count) <= clockTolerance.count / 2) {
        m_clockOffsets.erase(node);
        return;
    }
    if (m_clockOffsets.size() >= clockOffsetsMax) {
        logEvent(log_level::warning, "clocks_forgotten", {{"reason", "too many nodes whose clocks differ"}, {"nodes", m_clockOffsets.size()}});
        m_clockOffsets.clear();
    }
    const bool known = m_clockOffsets.contains(node);
    m_clockOffsets[node] = offset;
    if (!known) {
        logEvent(log_level::warning, "clock_differs", {{"peer", node}, {"ahead_ms", offset.count}});
    }
}

/// @return whether a packet was sent within the tolerance of the current time, by the known clock offset of its sender.
bool gossip_socket::isRecent(const node_id &from, millis sentAt) const
{
    const auto known = m_clockOffsets.find(from);
    const millis offset = known == m_clockOffsets.end() ? millis{0} : known->second;
    return std::fabs((sentAt - m_wallClock() - offset).count) <= clockTolerance.count;
}

/// @return whether no packet with this signature was received before; remembers the signature.
bool gossip_socket::isNew(const std::string &signature)
{
    if (!m_seenSignatures.insert(signature).second) {
        return false;
    }
    m_seenOrder.push_back(signature);
    if (m_seenOrder.size() > seenSignaturesMax) {
        m_seenSignatures.erase(m_seenOrder.front());
        m_seenOrder.pop_front();
    }
    return true;
}

} // namespace turmericspar
