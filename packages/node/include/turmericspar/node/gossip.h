/// @file gossip.h
/// The UDP socket on which members probe each other. Every packet is signed with the deployment's key.
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

/// Counts of a gossip socket.
struct gossip_counts
{
    std::uint64_t packetsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t packetsReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t packetsRefused = 0;
};

/// What a gossip socket tells its owner.
struct gossip_handlers
{
    std::function<void(const gossip_message &)> onMessage;
    /// A packet of a member came whose date is not the present one by what is known of its clock. The packet was refused.
    std::function<void(const node_id &)> onDateInDoubt;
};

/// Sends and receives gossip messages. A packet carries the date by its sender's clock, so that none can be replayed later;
/// clocks that differ are borne once `noteDate` was told of it.
class gossip
{
public:
    using clock = std::function<millis()>;

    /// @param date the time of day that this node shows to others
    gossip(event_loop &loop, const key_ring &keys, gossip_handlers handlers, clock date = steadyWallNow);
    ~gossip();
    gossip(const gossip &) = delete;
    gossip &operator=(const gossip &) = delete;

    result<bool> listen(const endpoint &address);
    void send(const addressed_gossip &letter);
    /// Takes in which date a node's clock shows now, as learnt from a connection that can't be replayed.
    void noteDate(const node_id &node, millis date);
    const gossip_counts &counts() const { return m_counts; }

private:
    void receive();
    bool isAuthentic(std::string_view packet);
    bool isPresent(const node_id &from, millis date) const;
    bool isFirst(const std::string &code);

    event_loop &m_loop;
    std::vector<derived_key> m_keys;
    gossip_handlers m_handlers;
    clock m_date;
    int m_descriptor = -1;
    event_watcher_ptr m_watch;
    gossip_counts m_counts;
    std::unordered_set<std::string> m_seen;
    std::deque<std::string> m_seenOrder;
    std::unordered_map<node_id, millis> m_ahead; ///< by how much the clocks of others are ahead, where that is more than the tolerance
};

} // namespace turmericspar
