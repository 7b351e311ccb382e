#include "relay.h"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <unistd.h>

namespace turmericspar {

namespace {

constexpr millis tickPeriod{1};
constexpr std::size_t packetBytesMax = 65536;
/// The relay stops reading from a side while this many of its bytes are buffered.
constexpr std::size_t bufferedBytesMax = 1 << 20;

domain_number domainOf(const endpoint &address)
{
    std::array<unsigned, 4> numbers{};
    const int read = std::sscanf(address.ip.c_str(), "%u.%u.%u.%u", &numbers[0], &numbers[1], &numbers[2], &numbers[3]);
    return read == 4 ? static_cast<domain_number>(numbers[2]) : storeDomain;
}

} // namespace

std::string relayedIp(domain_number domain)
{
    return fmt::format("127.0.{}.1", domain);
}

/// A route with its listening sockets.
struct relay::front
{
    relay_route route;
    std::unique_ptr<listener> listening;
    int udp = -1;
    event_watcher_ptr udpWatch;

    ~front()
    {
        udpWatch.reset();
        if (udp >= 0) {
            close(udp);
        }
    }
};

/// An accepted connection and the outgoing connection to its target.
struct relay::tcp_pair
{
    /// Bytes in transit, and the time at which they are delivered.
    struct delayed_bytes
    {
        millis due;
        std::string bytes;
    };
    buffer_ptr near{nullptr, bufferevent_free};
    buffer_ptr far{nullptr, bufferevent_free};
    endpoint target;
    domain_number nearDomain = storeDomain;
    domain_number farDomain = storeDomain;
    std::deque<delayed_bytes> delayedForward;
    std::deque<delayed_bytes> delayedBack;
    bool ended = false;
    bool silent = false; ///< no bytes are forwarded any more; only the close of a side is noticed
};

relay::relay(event_loop &loop, std::uint64_t seed) : m_loop(loop), m_random(seed), m_tick(loop.every(tickPeriod, [this] { forwardDue(); })) { }

relay::~relay() = default;

result<endpoint> relay::addRoute(const relay_route &route)
{
    auto made = std::make_unique<front>();
    made->route = route;

    // Step 1. Connections
    made->listening =
        std::make_unique<listener>(m_loop, [this, self = made.get()](int descriptor, const sockaddr *from) { onAccepted(*self, descriptor, from); });
    const auto bound = made->listening->listen(route.front, "listen");
    if (!bound) {
        return bound.error();
    }

    // Step 2. Packets
    if (route.carriesUdp) {
        sockaddr_storage storage;
        const auto length = route.front.toSockaddr(storage);
        made->udp = ::socket(storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (made->udp < 0 || bind(made->udp, reinterpret_cast<sockaddr *>(&storage), length) != 0) {
            return failure{{errno, std::system_category()}, "listen for packets", route.front.text(), {}};
        }
        made->udpWatch = m_loop.onReadable(made->udp, [this, self = made.get()] { onPackets(*self); });
    }
    m_fronts.push_back(std::move(made));
    return bound;
}

void relay::silence(const std::function<bool(domain_number, domain_number, const endpoint &)> &matches)
{
    for (const auto &pair : m_pairs) {
        pair->silent = pair->silent || matches(pair->nearDomain, pair->farDomain, pair->target);
    }
}

/// Accepts a connection. The connection to the target is opened once the path is not cut.
void relay::onAccepted(const front &place, evutil_socket_t descriptor, const sockaddr *from)
{
    auto pair = std::make_unique<tcp_pair>();
    pair->near.reset(bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    pair->target = place.route.back;
    pair->nearDomain = place.route.frontDomain >= 0 ? place.route.frontDomain : domainOf(endpoint::fromSockaddr(from));
    pair->farDomain = place.route.backDomain;
    const auto onEvent = [](bufferevent *, short what, void *argument) {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<tcp_pair *>(argument)->ended = true;
        }
    };
    bufferevent_setcb(pair->near.get(), nullptr, nullptr, onEvent, pair.get());
    bufferevent_setwatermark(pair->near.get(), EV_READ, 0, bufferedBytesMax);
    bufferevent_enable(pair->near.get(), EV_READ | EV_WRITE);
    pair->far.reset(bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(pair->far.get(), nullptr, nullptr, onEvent, pair.get());
    bufferevent_setwatermark(pair->far.get(), EV_READ, 0, bufferedBytesMax);
    m_pairs.push_back(std::move(pair));
}

/// Forwards packets, with the delay and loss of their path.
void relay::onPackets(const front &place)
{
    std::array<char, packetBytesMax> buffer;
    sockaddr_storage storage;
    socklen_t length = sizeof(storage);
    auto *from = reinterpret_cast<sockaddr *>(&storage);
    for (auto size = recvfrom(place.udp, buffer.data(), buffer.size(), 0, from, &length); size > 0;
         size = recvfrom(place.udp, buffer.data(), buffer.size(), 0, from, &length)) {
        const auto &fault = pathFault(domainOf(endpoint::fromSockaddr(from)), place.route.backDomain);
        const bool lost = fault.cut || std::uniform_real_distribution<double>(0, 1)(m_random) < fault.loss;
        if (!lost) {
            m_delayed.push_back({monotonicNow() + fault.delay, place.udp, place.route.back, {buffer.data(), static_cast<std::size_t>(size)}});
        }
        length = sizeof(storage);
    }
}

/// Forwards all packets and bytes that are due.
void relay::forwardDue()
{
    const millis now = monotonicNow();
    std::erase_if(m_delayed, [&](const delayed_packet &packet) {
        if (packet.due > now) {
            return false;
        }
        sockaddr_storage storage;
        const auto length = packet.to.toSockaddr(storage);
        // A packet that the kernel refuses counts as lost.
        (void)sendto(packet.descriptor, packet.bytes.data(), packet.bytes.size(), 0, reinterpret_cast<sockaddr *>(&storage), length);
        return true;
    });
    std::erase_if(m_pairs, [&](const auto &pair) {
        if (pair->silent) {
            // No bytes are forwarded, so the pair is removed as soon as either side closes.
            return pair->ended;
        }
        const bool forwardDone = forwardBytes(*pair, true);
        const bool backDone = forwardBytes(*pair, false);
        return forwardDone && backDone && pair->ended;
    });
}

/// Forwards the bytes of a connection in one direction.
/// @return whether no bytes are left to forward
bool relay::forwardBytes(tcp_pair &pair, bool forward)
{
    const auto &fault = forward ? pathFault(pair.nearDomain, pair.farDomain) : pathFault(pair.farDomain, pair.nearDomain);
    if (fault.cut) {
        return false;
    }
    const millis now = monotonicNow();

    // Step 1. Open the connection to the target once the path is not cut
    if (forward && bufferevent_getfd(pair.far.get()) < 0) {
        sockaddr_storage storage;
        const auto length = pair.target.toSockaddr(storage);
        if (bufferevent_socket_connect(pair.far.get(), reinterpret_cast<sockaddr *>(&storage), static_cast<int>(length)) != 0) {
            pair.ended = true;
            return true;
        }
        bufferevent_enable(pair.far.get(), EV_READ | EV_WRITE);
    }

    // Step 2. Stamp received bytes with their delivery time
    auto *from = bufferevent_get_input(forward ? pair.near.get() : pair.far.get());
    auto *to = bufferevent_get_output(forward ? pair.far.get() : pair.near.get());
    auto &delayed = forward ? pair.delayedForward : pair.delayedBack;
    if (fault.delay.count <= 0 && delayed.empty()) {
        evbuffer_add_buffer(to, from);
        return evbuffer_get_length(to) == 0;
    }
    if (const auto size = evbuffer_get_length(from); size > 0) {
        std::string bytes(size, '\0');
        evbuffer_remove(from, bytes.data(), size);
        delayed.push_back({now + fault.delay, std::move(bytes)});
    }

    // Step 3. Forward the bytes that are due
    while (!delayed.empty() && delayed.front().due <= now) {
        evbuffer_add(to, delayed.front().bytes.data(), delayed.front().bytes.size());
        delayed.pop_front();
    }
    return delayed.empty() && evbuffer_get_length(to) == 0;
}

} // namespace turmericspar
