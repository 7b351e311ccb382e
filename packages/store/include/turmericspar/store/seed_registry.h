/// @file seed_registry.h
/// Seeds in the platform's store: a few nodes of each failure domain register their addresses under leases, so that a starting node
/// finds members to join.
#pragma once

#include "turmericspar/policy/upstream_run.h"
#include "turmericspar/store/store.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericspar {

/// A node that registered itself as a seed.
struct registered_seed
{
    std::string domain;
    std::string node;
    bool operator==(const registered_seed &) const = default;
};

/// The registrations in the store.
struct seed_listing
{
    std::vector<registered_seed> seeds;
    /// Highest version that nodes had in force after the present epoch of the store had settled; nothing if none has noted that. A store with
    /// this version lacks nothing of what an earlier epoch had.
    std::optional<std::uint64_t> settledVersion;
    upstream_run departed; ///< the run of the reading node's upstream that deregistered last, as noted by an earlier process
};

/// Registers this node's address while it is enabled, and reads the registered addresses of all nodes.
/// What the store has acknowledged is not taken for a fact: the registration is read again after a write without an answer and after the store was
/// restored from an older copy, and all the time if the store does not state an epoch that would show a restore.
/// Some time after the start of an epoch, when nodes have told each other what they have in force, a registered node notes its version beside its
/// address, so that a starting node can tell whether the store has lost versions even if no other node lives.
class seed_registry
{
public:
    using seeds_handler = std::function<void(const seed_listing &)>;

    /// @param prefix common prefix of the deployment's keys
    /// @param confirmedVersion gives the version in force at this node; 0 while it is not confirmed
    seed_registry(event_loop &loop,
                  store &client,
                  const std::string &prefix,
                  const std::string &domain,
                  std::string node,
                  std::function<std::uint64_t()> confirmedVersion);

    /// Starts or stops registering this node. A registered address is removed by the store when its lease expires.
    void setRegistered(bool registered);
    /// Notes that a run of this node's upstream has deregistered, so that the next process of this node knows it.
    /// @param done called when the store has acknowledged the note; never called if it does not
    void noteDeparture(const upstream_run &departed, std::function<void()> done);
    /// Reads all registrations; gives an empty list if the store can't be reached.
    void read(read_freshness freshness, seeds_handler done);

private:
    void renewRegistration();
    void registerNode();
    void writeRegistration();
    void verifyRegistration();
    void removeRegistration(std::function<void()> done);
    void registerAgain(const char *reason);
    void handleRestore();
    bool settledNoteDue() const;
    void noteSettledVersion();
    seed_listing parseListing(const store_listing &listing) const;

    store &m_store;
    std::string m_prefix;
    std::string m_key;
    std::string m_node;
    std::string m_lease; ///< id of the current lease; empty if there is none
    std::optional<std::uint64_t> m_leaseEpoch; ///< epoch of the store that opened the lease
    std::string m_notedLease; ///< the lease under which the version is noted; empty if it is not
    millis m_epochSince; ///< when the present epoch was first seen, or this object was made
    std::function<std::uint64_t()> m_confirmedVersion;
    std::uint64_t m_attempt = 0; ///< incremented when a registration starts anew, to ignore answers to earlier calls
    millis m_verifyUntil{0};
    bool m_registered = false;
    bool m_callPending = false;
    event_watcher_ptr m_renewal;
};

} // namespace turmericspar
