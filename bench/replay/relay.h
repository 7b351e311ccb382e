/// @file relay.h
/// A relay of TCP and UDP between failure domains, which can delay, lose, and cut what passes.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/listener.h"

#include <deque>
#include <event2/bufferevent.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericspar {

/// A failure domain by number; 0 is the platform's store, which stands apart from all of them.
using domain_number = int;
inline constexpr domain_number storeDomain = 0;

/// What goes wrong with all that passes one way between two failure domains.
struct way_fault
{
    bool cut = false; ///< nothing passes; connections stay open and silent
    millis delay{0};
    double loss = 0; ///< share of UDP packets
};

/// A place where the relay listens, and where what comes there goes.
struct relayed_place
{
    endpoint front;
    endpoint back;
    domain_number backDomain = storeDomain;
    domain_number frontDomain = -1; ///< of those that connect; -1 if their IP number tells it
    bool carriesUdp = false;
};

/// @return the IP number on which the processes of a failure domain live while a relay runs; its third number is the domain's.
std::string relayedIp(domain_number domain);

/// Carries bytes and packets between failure domains.
class relay
{
public:
    relay(event_loop &loop, std::uint64_t seed);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    /// Begins to carry what comes to a place.
    /// @return where it listens; a port of 0 is chosen by the host
    result<endpoint> carry(const relayed_place &place);
    /// Lets the connections that are open now go silent for good; new ones work.
    /// @param concerns tells by the two ends' failure domains, and the address behind, which ones
    void silence(const std::function<bool(domain_number, domain_number, const endpoint &)> &concerns);
    /// @return what goes wrong from one failure domain to another, to be changed.
    way_fault &way(domain_number from, domain_number to) { return m_ways[{from, to}]; }

private:
    struct front;
    struct tcp_pair;
    struct late_packet
    {
        millis due;
        int descriptor = -1;
        endpoint to;
        std::string bytes;
    };
    using buffer_ptr = std::unique_ptr<bufferevent, void (*)(bufferevent *)>;

    void accepted(const front &place, evutil_socket_t descriptor, const sockaddr *from);
    void packetsCame(const front &place);
    void moveDue();
    bool move(tcp_pair &pair, bool forward);

    event_loop &m_loop;
    std::mt19937_64 m_random;
    std::map<std::pair<domain_number, domain_number>, way_fault> m_ways;
    std::vector<std::unique_ptr<front>> m_fronts;
    std::vector<std::unique_ptr<tcp_pair>> m_pairs;
    std::deque<late_packet> m_late;
    event_watcher_ptr m_tick;
};

} // namespace turmericspar
