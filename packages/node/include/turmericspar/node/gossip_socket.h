/// @file gossip_socket.h
/// The UDP socket of the membership protocol. Every packet carries a message authentication code under a key of the deployment.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/membership.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace turmericspar {

/// Traffic counters of a gossip socket.
struct gossip_counts
{
    std::uint64_t packetsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t packetsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t packetsRefused = 0;
};

/// Callbacks of a gossip socket.
struct gossip_handlers
{
    std::function<void(const gossip_message &)> onMessage;
    /// An authentic packet was refused because its timestamp does not fit the known clock offset of its sender.
    std::function<void(const node_id &)> onClockMismatch;
};

/// Sends and receives gossip messages. A packet carries a timestamp of its sender's wall clock, so that it can't be replayed later.
/// Packets of a node whose clock differs are accepted once `updatePeerClock` has recorded the offset.
class gossip_socket
{
public:
    using clock = std::function<millis()>;

    /// @param wallClock gives the timestamps of sent packets and the time against which received ones are checked
    gossip_socket(event_loop &loop, const key_ring &keys, gossip_handlers handlers, clock wallClock = steadyWallNow);
    ~gossip_socket();
    gossip_socket(const gossip_socket &) = delete;
    gossip_socket &operator=(const gossip_socket &) = delete;

    result<bool> listen(const endpoint &address);
    void send(const addressed_gossip &outgoing);
    /// Records the wall-clock time that a node shows now. The time must come from a connection that can't be replayed.
    void updatePeerClock(const node_id &node, millis wallTime);
    const gossip_counts &counts() const { return m_counts; }

private:
    void receive();
    bool isAuthentic(std::string_view packet);
    bool isRecent(const node_id &from, millis sentAt) const;
    bool isNew(const std::string &signature);

    event_loop &m_loop;
    std::vector<derived_key> m_keys;
    gossip_handlers m_handlers;
    clock m_wallClock;
    int m_descriptor = -1;
    event_watcher_ptr m_watch;
    gossip_counts m_counts;
    std::unordered_set<std::string> m_seenSignatures;
    std::deque<std::string> m_seenOrder;
    std::unordered_map<node_id, millis> m_clockOffsets; ///< by how much the clocks of other nodes are ahead of this one, where that exceeds half the tolerance
};

} // namespace turmericspar
