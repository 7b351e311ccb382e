#include "turmericspar/node/gossip.h"

#include "turmericspar/base/log.h"
#include "turmericspar/node/wire.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unistd.h>

namespace turmericspar {

namespace {

constexpr std::size_t codeBytes = 32;
constexpr std::size_t packetBytesMax = 4096;
constexpr std::size_t seenMax = 8192;
/// Packets whose date is further from the present one by their sender's clock are refused as replayed.
constexpr millis clockTolerance{60'000};
/// Most nodes whose clocks are known to differ: twice the members of the target size.
constexpr std::size_t differingMax = 3000;

} // namespace

gossip::gossip(event_loop &loop, const key_ring &keys, gossip_handlers handlers, clock date)
    : m_loop(loop), m_handlers(std::move(handlers)), m_date(std::move(date))
{
    for (const auto &key : keys) {
        m_keys.push_back(key.derive("gossip between nodes"));
    }
}

gossip::~gossip()
{
    m_watch.reset();
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

result<bool> gossip::listen(const endpoint &address)
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

void gossip::send(const addressed_gossip &letter)
{
    const auto to = endpoint::parse(letter.to);
    sockaddr_storage storage;
    if (!to || m_descriptor < 0) {
        return;
    }
    const auto length = to->toSockaddr(storage);
    const auto text = encodeGossip(letter.message, m_date());
    const auto packet = authenticationCode(m_keys.front(), text) + text;
    // A packet that is lost here is like one that is lost on its way: the protocol bears it.
    const auto sent = sendto(m_descriptor, packet.data(), packet.size(), 0, reinterpret_cast<sockaddr *>(&storage), length);
    if (sent > 0) {
        ++m_counts.packetsSent;
        m_counts.bytesSent += static_cast<std::uint64_t>(sent);
    }
}

void gossip::receive()
{
    std::array<char, packetBytesMax> buffer;
    for (auto size = recv(m_descriptor, buffer.data(), buffer.size(), 0); size > 0; size = recv(m_descriptor, buffer.data(), buffer.size(), 0)) {
        const std::string_view packet(buffer.data(), static_cast<std::size_t>(size));
        ++m_counts.packetsReceived;
        m_counts.bytesReceived += packet.size();
        if (packet.size() <= codeBytes || !isAuthentic(packet)) {
            ++m_counts.packetsRefused;
            continue;
        }
        double clock = 0;
        const auto message = decodeGossip(packet.substr(codeBytes), clock);
        const bool present = message && isPresent(message->from, {clock});
        if (present && isFirst(std::string(packet.substr(0, codeBytes)))) {
            m_handlers.onMessage(*message);
            continue;
        }
        ++m_counts.packetsRefused;
        if (message && !present) {
            m_handlers.onDateInDoubt(message->from);
        }
    }
}

bool gossip::isAuthentic(std::string_view packet)
{
    return std::any_of(m_keys.begin(), m_keys.end(), [&](const derived_key &key) {
        return equalsInConstantTime(packet.substr(0, codeBytes), authenticationCode(key, packet.substr(codeBytes)));
    });
}

void gossip::noteDate(const node_id &node, millis date)
{
    const millis ahead = date - m_date();
    if (std::fabs(ahead.count) <= clockTolerance.count / 2) {
        m_ahead.erase(node);
        return;
    }
    if (m_ahead.size() >= differingMax) {
        logEvent(log_level::warning, "clocks_forgotten", {{"reason", "too many nodes whose clocks differ"}, {"nodes", m_ahead.size()}});
        m_ahead.clear();
    }
    const bool known = m_ahead.contains(node);
    m_ahead[node] = ahead;
    if (!known) {
        logEvent(log_level::warning, "clock_differs", {{"peer", node}, {"ahead_ms", ahead.count}});
    }
}

/// @return whether a packet was sent lately.
bool gossip::isPresent(const node_id &from, millis date) const
{
    const auto known = m_ahead.find(from);
    const millis ahead = known == m_ahead.end() ? millis{0} : known->second;
    return std::fabs((date - m_date() - ahead).count) <= clockTolerance.count;
}

/// @return whether a packet was not seen before.
bool gossip::isFirst(const std::string &code)
{
    if (!m_seen.insert(code).second) {
        return false;
    }
    m_seenOrder.push_back(code);
    if (m_seenOrder.size() > seenMax) {
        m_seen.erase(m_seenOrder.front());
        m_seenOrder.pop_front();
    }
    return true;
}

} // namespace turmericspar
