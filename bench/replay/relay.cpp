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
/// Bytes that one side may have under way before the relay stops reading from it.
constexpr std::size_t heldBytesMax = 1 << 20;

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

/// A listening place with its sockets.
struct relay::front
{
    relayed_place place;
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

/// A connection that came to a front, and the one that carries it on.
struct relay::tcp_pair
{
    /// Bytes on their way, and when they may arrive.
    struct late_bytes
    {
        millis due;
        std::string bytes;
    };
    buffer_ptr near{nullptr, bufferevent_free};
    buffer_ptr far{nullptr, bufferevent_free};
    endpoint target;
    domain_number nearDomain = storeDomain;
    domain_number farDomain = storeDomain;
    std::deque<late_bytes> lateForward;
    std::deque<late_bytes> lateBack;
    bool ended = false;
    bool silent = false; ///< nothing passes any more, but for the end of a side
};

relay::relay(event_loop &loop, std::uint64_t seed) : m_loop(loop), m_random(seed), m_tick(loop.every(tickPeriod, [this] { moveDue(); })) { }

relay::~relay() = default;

result<endpoint> relay::carry(const relayed_place &place)
{
    auto made = std::make_unique<front>();
    made->place = place;

    // Step 1. Connections
    made->listening =
        std::make_unique<listener>(m_loop, [this, self = made.get()](int descriptor, const sockaddr *from) { accepted(*self, descriptor, from); });
    const auto bound = made->listening->listen(place.front, "listen");
    if (!bound) {
        return bound.error();
    }

    // Step 2. Packets
    if (place.carriesUdp) {
        sockaddr_storage storage;
        const auto length = place.front.toSockaddr(storage);
        made->udp = ::socket(storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (made->udp < 0 || bind(made->udp, reinterpret_cast<sockaddr *>(&storage), length) != 0) {
            return failure{{errno, std::system_category()}, "listen for packets", place.front.text(), {}};
        }
        made->udpWatch = m_loop.onReadable(made->udp, [this, self = made.get()] { packetsCame(*self); });
    }
    m_fronts.push_back(std::move(made));
    return bound;
}

void relay::silence(const std::function<bool(domain_number, domain_number, const endpoint &)> &concerns)
{
    for (const auto &pair : m_pairs) {
        pair->silent = pair->silent || concerns(pair->nearDomain, pair->farDomain, pair->target);
    }
}

/// Takes a connection in. It is carried on as soon as the way is open.
void relay::accepted(const front &place, evutil_socket_t descriptor, const sockaddr *from)
{
    auto pair = std::make_unique<tcp_pair>();
    pair->near.reset(bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    pair->target = place.place.back;
    pair->nearDomain = place.place.frontDomain >= 0 ? place.place.frontDomain : domainOf(endpoint::fromSockaddr(from));
    pair->farDomain = place.place.backDomain;
    const auto onEvent = [](bufferevent *, short what, void *argument) {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<tcp_pair *>(argument)->ended = true;
        }
    };
    bufferevent_setcb(pair->near.get(), nullptr, nullptr, onEvent, pair.get());
    bufferevent_setwatermark(pair->near.get(), EV_READ, 0, heldBytesMax);
    bufferevent_enable(pair->near.get(), EV_READ | EV_WRITE);
    pair->far.reset(bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(pair->far.get(), nullptr, nullptr, onEvent, pair.get());
    bufferevent_setwatermark(pair->far.get(), EV_READ, 0, heldBytesMax);
    m_pairs.push_back(std::move(pair));
}

/// Passes packets on, late or not at all if the way is so.
void relay::packetsCame(const front &place)
{
    std::array<char, packetBytesMax> buffer;
    sockaddr_storage storage;
    socklen_t length = sizeof(storage);
    auto *from = reinterpret_cast<sockaddr *>(&storage);
    for (auto size = recvfrom(place.udp, buffer.data(), buffer.size(), 0, from, &length); size > 0;
         size = recvfrom(place.udp, buffer.data(), buffer.size(), 0, from, &length)) {
        const auto &fault = way(domainOf(endpoint::fromSockaddr(from)), place.place.backDomain);
        const bool lost = fault.cut || std::uniform_real_distribution<double>(0, 1)(m_random) < fault.loss;
        if (!lost) {
            m_late.push_back({monotonicNow() + fault.delay, place.udp, place.place.back, {buffer.data(), static_cast<std::size_t>(size)}});
        }
        length = sizeof(storage);
    }
}

/// Moves all that is due.
void relay::moveDue()
{
    const millis now = monotonicNow();
    std::erase_if(m_late, [&](const late_packet &packet) {
        if (packet.due > now) {
            return false;
        }
        sockaddr_storage storage;
        const auto length = packet.to.toSockaddr(storage);
        // A packet that is refused here is one more lost packet.
        (void)sendto(packet.descriptor, packet.bytes.data(), packet.bytes.size(), 0, reinterpret_cast<sockaddr *>(&storage), length);
        return true;
    });
    std::erase_if(m_pairs, [&](const auto &pair) {
        if (pair->silent) {
            // Its ends let go of it one by one.
            return pair->ended;
        }
        const bool movedForward = move(*pair, true);
        const bool movedBack = move(*pair, false);
        return movedForward && movedBack && pair->ended;
    });
}

/// Moves bytes of a connection one way.
/// @return whether none are left to be moved
bool relay::move(tcp_pair &pair, bool forward)
{
    const auto &fault = forward ? way(pair.nearDomain, pair.farDomain) : way(pair.farDomain, pair.nearDomain);
    if (fault.cut) {
        return false;
    }
    const millis now = monotonicNow();

    // Step 1. The connection that carries it on is opened once its way is open
    if (forward && bufferevent_getfd(pair.far.get()) < 0) {
        sockaddr_storage storage;
        const auto length = pair.target.toSockaddr(storage);
        if (bufferevent_socket_connect(pair.far.get(), reinterpret_cast<sockaddr *>(&storage), static_cast<int>(length)) != 0) {
            pair.ended = true;
            return true;
        }
        bufferevent_enable(pair.far.get(), EV_READ | EV_WRITE);
    }

    // Step 2. What came gets the time at which it may arrive
    auto *from = bufferevent_get_input(forward ? pair.near.get() : pair.far.get());
    auto *to = bufferevent_get_output(forward ? pair.far.get() : pair.near.get());
    auto &late = forward ? pair.lateForward : pair.lateBack;
    if (fault.delay.count <= 0 && late.empty()) {
        evbuffer_add_buffer(to, from);
        return evbuffer_get_length(to) == 0;
    }
    if (const auto size = evbuffer_get_length(from); size > 0) {
        std::string bytes(size, '\0');
        evbuffer_remove(from, bytes.data(), size);
        late.push_back({now + fault.delay, std::move(bytes)});
    }

    // Step 3. What is due goes on
    while (!late.empty() && late.front().due <= now) {
        evbuffer_add(to, late.front().bytes.data(), late.front().bytes.size());
        late.pop_front();
    }
    return late.empty() && evbuffer_get_length(to) == 0;
}

} // namespace turmericspar
