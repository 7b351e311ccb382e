/// @file relay.h
/// Relays TCP and UDP between failure domains and can delay, drop or cut the traffic.
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

/// Number of a failure domain. 0 is the platform's store, which belongs to none of them.
using domain_number = int;
inline constexpr domain_number storeDomain = 0;

/// Faults of the traffic in one direction between two failure domains.
struct path_fault
{
    bool cut = false; ///< no traffic passes; connections stay open and silent
    millis delay{0};
    double loss = 0; ///< share of UDP packets that are dropped
};

/// An address on which the relay listens, and the address to which it forwards.
struct relay_route
{
    endpoint front;
    endpoint back;
    domain_number backDomain = storeDomain;
    domain_number frontDomain = -1; ///< of the connecting side; -1 to derive it from its IP address
    bool carriesUdp = false;
};

/// @return the IP address used by the processes of a failure domain while a relay runs; its third octet is the domain number.
std::string relayedIp(domain_number domain);

/// Forwards TCP streams and UDP packets between failure domains.
class relay
{
public:
    relay(event_loop &loop, std::uint64_t seed);
    ~relay();
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;

    /// Starts to listen on a route and to forward its traffic.
    /// @return the address it listens on; port 0 lets the operating system choose a port
    result<endpoint> addRoute(const relay_route &route);
    /// Stops all traffic on matching open connections for the rest of the run; new connections work.
    /// @param matches selects connections by the failure domains of both ends and the target address
    void silence(const std::function<bool(domain_number, domain_number, const endpoint &)> &matches);
    /// @return the modifiable faults of the path from one failure domain to another.
    path_fault &pathFault(domain_number from, domain_number to) { return m_pathFaults[{from, to}]; }

private:
    struct front;
    struct tcp_pair;
    struct delayed_packet
    {
        millis due;
        int descriptor = -1;
        endpoint to;
        std::string bytes;
    };
    using buffer_ptr = std::unique_ptr<bufferevent, void (*)(bufferevent *)>;

    void onAccepted(const front &place, evutil_socket_t descriptor, const sockaddr *from);
    void onPackets(const front &place);
    void forwardDue();
    bool forwardBytes(tcp_pair &pair, bool forward);

    event_loop &m_loop;
    std::mt19937_64 m_random;
    std::map<std::pair<domain_number, domain_number>, path_fault> m_pathFaults;
    std::vector<std::unique_ptr<front>> m_fronts;
    std::vector<std::unique_ptr<tcp_pair>> m_pairs;
    std::deque<delayed_packet> m_delayed;
    event_watcher_ptr m_tick;
};

} // namespace turmericspar
