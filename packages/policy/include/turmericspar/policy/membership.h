/// @file membership.h
/// Cluster membership by the SWIM protocol: random probes, suspicion and refutation, with updates piggybacked on every message.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"
#include "turmericspar/policy/load_balancer.h"
#include "turmericspar/policy/token_bucket.h"
#include "turmericspar/policy/upstream_run.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// The liveness of a member. A later state supersedes an earlier one of the same incarnation and revision.
enum class member_state {
    alive,
    suspect, ///< did not answer a probe; declared dead unless it refutes in time
    dead,
    left, ///< announced its shutdown
};
inline constexpr name_table<member_state, 4> memberStateNames{{"alive", "suspect", "dead", "left"}};

/// One entry of the member table.
struct member
{
    node_id node;
    std::string name;
    std::string operators; ///< address of its operator interface
    std::string domain;
    std::string service; ///< service of its upstream; empty until an upstream announces itself
    bool ready = false; ///< whether its upstream accepts new calls
    std::uint64_t incarnation = 0; ///< increases with each restart
    std::uint32_t revision = 0; ///< increases with each change within an incarnation
    member_state state = member_state::alive;
    std::uint64_t version = 0; ///< configuration version in force, as last received
    bool withoutStore = false; ///< whether the store has not served it lately, so that others watch the store for it
    /// The latest run of its upstream that deregistered. It outlives the incarnation: the other members tell it to the node's next process.
    upstream_run departed;
};

/// @return whether a member is alive or suspected, but not yet declared dead.
bool isLive(const member &entry);

enum class gossip_kind {
    probe,
    answer,
    indirect_probe, ///< asks the receiver to probe the target
    update, ///< only carries updates; not answered
};

struct gossip_message
{
    gossip_kind kind = gossip_kind::update;
    std::uint64_t sequence = 0;
    node_id from;
    node_id target; ///< for an indirect probe
    std::uint64_t version = 0; ///< configuration version in force at the sender
    std::uint64_t digest = 0; ///< of the sender's table of live members
    std::vector<member> updates; ///< the sender's own entry first
};

/// A message with its receiver.
struct addressed_gossip
{
    node_id to;
    gossip_message message;
};

/// Parameters of the protocol.
struct membership_tunables
{
    millis period{300}; ///< between two regular probes
    millis probeTimeout{150}; ///< for a direct answer, before indirect probes are sent
    int indirectProbes = 3; ///< members asked to probe a target that did not answer
    double suspicionPeriods = 2; ///< periods in which a suspect can refute before it is declared dead
    int updatesPerMessage = 4; ///< entries in a probe or an answer, including the sender's own
    int updatesPerEagerMessage = 10; ///< entries in a message of kind update: with its signature it stays below the 1,500 bytes of an Ethernet frame
    double retransmitFactor = 2; ///< each update is sent this factor times log2(number of members) times
    std::size_t domainSuspectsMin =
        3; ///< suspects in silent failure domains after which these are probed; in a small one, as many as it has alive members suffice
    std::size_t domainProbes = 3; ///< members probed in such a domain
    millis domainSilence{300}; ///< time without any message from a domain after which it counts as silent
    millis domainSuspectWindow{2000}; ///< in which those members became suspects
    millis deadRetention{600'000}; ///< how long members that died or left stay in the table
    std::uint64_t purgePeriods = 100; ///< periods between two purges of such members
    int lostProbePeriods = 20; ///< periods between two probes of a seed or a dead member, which let partitions heal
    millis recentLossSpan{60'000}; ///< time after a death in which the member is probed every period: most partitions are short
    std::size_t recentLossProbers = 8; ///< expected number of nodes that probe recently dead members in a period: one answer is enough
    millis settleTime{5000}; ///< time without changes after which two tables should be equal
    millis startupSpan{10'000}; ///< time after the first message in which a node fetches tables and probes unknown seeds more often
    millis startupSyncInterval{300}; ///< minimum time between two table fetches during the startup span
    millis syncInterval{10'000}; ///< minimum time between two fetches of a whole table
    double remoteSyncFactor = 3; ///< multiplies both intervals for fetches from another failure domain, because such traffic is expensive
    int eagerFanout = 4; ///< receivers of an eager round, half of them in the own failure domain
    double eagerRoundsPerSecond = 4; ///< rate limit for forwarding urgent updates; updates that arrive faster are sent together
    double eagerRoundBurst = 6; ///< burst of the same limit
};

/// The member table of one node and its side of the protocol. It uses no socket and no clock: the caller passes messages and times.
class membership
{
public:
    membership(const membership_tunables &tuning, member self, std::uint64_t seed);

    /// Sets the addresses to probe when no other member is known.
    void setSeeds(std::vector<node_id> seeds) { m_seeds = std::move(seeds); }
    /// Updates this node's own entry; a change of service or readiness is sent eagerly, because it affects the routing of calls.
    void setSelf(const std::string &service, bool ready, std::uint64_t version, std::vector<addressed_gossip> &out);
    /// Announces whether the store has served this node lately.
    void setWithoutStore(bool withoutStore, std::vector<addressed_gossip> &out);
    /// Announces that a run of this node's upstream has deregistered.
    void recordDeparture(const upstream_run &departed, std::vector<addressed_gossip> &out);
    /// Announces that this node is shutting down.
    void leave(std::vector<addressed_gossip> &out);
    /// Eagerly sends the configuration version that setSelf() has set.
    void announceVersion(std::vector<addressed_gossip> &out);

    void received(const gossip_message &message, millis now, std::vector<addressed_gossip> &out);
    /// Sends probes and checks timeouts; call it several times per period.
    void tick(millis now, std::vector<addressed_gossip> &out);

    /// Merges another node's whole table into this one.
    /// @return whether any entry requires an urgent update (see mergeEntry)
    bool mergeTable(const std::vector<member> &table, millis now);
    /// @return nodes whose whole table should be fetched, as scheduled since the last call.
    std::vector<node_id> takeSyncPeers();
    /// @return this node's whole table, including its own entry.
    std::vector<member> table() const;

    /// @return the nodes whose table entry changed since the last call.
    std::vector<node_id> takeChangedNodes();
    const member *find(const node_id &node) const;
    const member &self() const { return m_self; }
    const std::map<node_id, member> &members() const { return m_members; }
    /// @return whether a member belongs to this node's failure domain.
    bool isInOwnDomain(const member &entry) const { return entry.domain == m_self.domain; }
    /// @return the other live members of this node's failure domain.
    std::vector<node_id> liveInOwnDomain() const;
    /// @return the live members of this node's failure domain, including this one, that the store has not served lately.
    std::set<node_id> withoutStoreInOwnDomain() const;
    /// @return the number of alive or suspected members, including this one.
    std::size_t liveCount() const;

private:
    struct pending_update
    {
        node_id node;
        int sent = 0;
    };
    struct pending_probe
    {
        std::uint64_t sequence = 0;
        node_id target;
        millis sentAt;
        bool indirect = false;
    };
    struct relayed_probe
    {
        node_id requester;
        std::uint64_t requesterSequence = 0;
        millis at;
    };

    gossip_message compose(gossip_kind kind, std::uint64_t sequence, const node_id &to);
    void addUpdates(gossip_message &message, std::size_t maxEntries, bool sameTable);
    bool hasSameTable(const node_id &node) const;
    void recordDigest(const gossip_message &message);
    double retransmitLimit() const;
    /// Whether merged entries are gossiped on. Those of a whole table are not: other nodes already have them.
    enum class dissemination { none, gossip };

    bool mergeEntry(const member &update, dissemination how, millis now);
    void replace(member &known, const member &update, dissemination how, millis now);
    void scheduleSync(const gossip_message &message, millis now);
    void reviseSelf(std::uint32_t revision);
    void announceSelf(std::vector<addressed_gossip> &out);
    bool mergeOwnEntry(const member &update);
    void queueUpdate(const node_id &node);
    void suspect(const node_id &node, millis now, std::vector<addressed_gossip> &out);
    void startProbe(millis now, std::vector<addressed_gossip> &out);
    void checkProbe(millis now, std::vector<addressed_gossip> &out);
    void expireSuspects(millis now, std::vector<addressed_gossip> &out);
    void checkSilentDomains(millis now, std::vector<addressed_gossip> &out);
    void purgeDeparted(millis now);
    bool isStarting(millis now) const;
    void probeLostMember(millis now, std::vector<addressed_gossip> &out);
    std::vector<node_id> lostMembers(bool recentOnly, millis now) const;
    std::vector<node_id> pickRandom(std::vector<node_id> nodes, std::size_t count);
    std::vector<node_id> randomLive(std::size_t count, const node_id &except);
    void sendEagerly(std::vector<addressed_gossip> &out);
    void forwardUpdates(millis now, std::vector<addressed_gossip> &out);
    node_id nextTarget();
    node_id ringSuccessor() const;

    const membership_tunables m_tuning;
    member m_self;
    std::mt19937_64 m_random;
    std::vector<node_id> m_seeds;
    std::map<node_id, member> m_members; ///< excludes this node
    std::unordered_map<node_id, millis> m_stateSince;
    std::set<node_id> m_suspected;
    std::map<node_id, millis> m_recentSuspects; ///< members that became suspects, and the time
    std::map<std::string, millis> m_domainLastMessageAt; ///< by failure domain: time of the last message from any of its members
    std::map<std::string, millis> m_domainProbedAt; ///< by failure domain: time when it was last probed because it was silent
    std::vector<pending_update> m_updates;
    std::unordered_map<node_id, std::uint64_t> m_peerDigests; ///< digests of the other nodes' tables, as last received
    int m_matchingDigests = 0; ///< consecutive messages whose sender had the same table
    token_bucket m_eagerRounds;
    bool m_forwardPending = false; ///< whether an urgent update waits for the rate limit
    std::vector<node_id> m_probeOrder;
    std::vector<node_id> m_changed;
    pending_probe m_probe;
    std::unordered_map<std::uint64_t, relayed_probe> m_relayed;
    std::vector<node_id> m_syncPeers;
    std::uint64_t m_digest = 0;
    millis m_tableChangedAt{0};
    millis m_syncedAt{-1};
    millis m_firstMessageAt{-1};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_periods = 0;
    millis m_nextPeriod{0};
};

} // namespace turmericspar
