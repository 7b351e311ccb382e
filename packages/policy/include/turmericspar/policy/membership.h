/// @file membership.h
/// Who takes part: failure detection by random probes, with suspicion, refutation and news on every message (SWIM).
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"
#include "turmericspar/policy/load_balancer.h"
#include "turmericspar/policy/token_bucket.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// How a member stands.
enum class member_state {
    alive,
    suspect, ///< did not answer; it is dead if it does not refute in time
    dead,
    left, ///< said goodbye
};
inline constexpr name_table<member_state, 4> memberStateNames{{"alive", "suspect", "dead", "left"}};

/// What is known of one member.
struct member
{
    node_id node;
    std::string name;
    std::string operators; ///< its address for operators
    std::string domain;
    std::string service; ///< of its upstream; empty before one announced itself
    bool ready = false; ///< whether its upstream takes new work
    std::uint64_t incarnation = 0; ///< grows with each life
    std::uint32_t revision = 0; ///< grows with each change within a life
    member_state state = member_state::alive;
    std::uint64_t version = 0; ///< configuration in force, as last heard
};

/// @return whether a member takes part: it is alive, or suspected and not yet given up.
bool isLive(const member &entry);

/// What a gossip message is for.
enum class gossip_kind { probe, answer, indirect_probe, news };

/// A message between members.
struct gossip_message
{
    gossip_kind kind = gossip_kind::news;
    std::uint64_t sequence = 0;
    node_id from;
    node_id target; ///< for an indirect probe
    std::uint64_t version = 0; ///< configuration in force at the sender
    std::uint64_t digest = 0; ///< of the sender's table of live members
    std::vector<member> news; ///< the sender's own entry first
};

/// A message with its receiver.
struct addressed_gossip
{
    node_id to;
    gossip_message message;
};

/// Numbers of the protocol.
struct membership_tunables
{
    millis period{300}; ///< between two probes
    millis probeTimeout{150}; ///< for a direct answer
    int indirectProbes = 3; ///< members asked to probe in turn
    double suspicionPeriods = 2; ///< periods for which a suspect may refute
    int newsPerMessage = 4; ///< entries of a probe or an answer, the sender's own among them
    int newsPerTelling = 10; ///< entries of a message that tells important news: with signature below the 1,500 bytes of an Ethernet frame
    double newsFactor = 2; ///< each news item is sent this factor times log2 of the members
    std::size_t domainLosses = 3; ///< suspects of silent failure domains after which these are asked whether anybody is left; fewer do where few live
    std::size_t domainAskers = 3; ///< members asked then
    millis domainSilence{300}; ///< without any message from there, before it is asked
    millis domainLossSpan{2000}; ///< in which the suspects came
    millis deadKept{600'000}; ///< how long the dead are remembered
    std::uint64_t forgetEvery = 100; ///< periods between two looks for members to be forgotten
    int lostProbesEvery = 20; ///< periods between two probes of a seed or a dead member, so that partitions heal
    millis lostLately{60'000}; ///< time after a death for which the member may be probed in each period: most partitions are short
    std::size_t lostAskers = 8; ///< nodes of all that ask the lately dead in a period: one answer is enough
    millis settleTime{5000}; ///< quiet time after which two tables should be the same
    millis youth{10'000}; ///< time after the first message for which a node fetches tables and asks unknown seeds more often
    millis youngSyncInterval{300}; ///< least time between two fetches then
    millis syncInterval{10'000}; ///< least time between two fetches of a whole table
    double awaySyncFactor = 3; ///< longer waits before a table is fetched from another failure domain: the way there is dear
    int eagerFanout = 4; ///< members told at once of important news, half of them in the own failure domain
    double tellingsPerSecond = 4; ///< how often news of others is handed on at once; what comes faster is told together
    double tellingsBurst = 6; ///< the same, saved up
};

/// The member table of one node and its part in the protocol. It knows no socket and no clock.
class membership
{
public:
    membership(const membership_tunables &tuning, member self, std::uint64_t seed);

    /// Names addresses to ask when nobody else is known.
    void setSeeds(std::vector<node_id> seeds) { m_seeds = std::move(seeds); }
    /// Changes what the node says of itself, and tells a few members at once if it matters to callers.
    void setSelf(const std::string &service, bool ready, std::uint64_t version, std::vector<addressed_gossip> &out);
    /// Tells members that this node is leaving.
    void leave(std::vector<addressed_gossip> &out);
    /// Tells a few members of a new configuration version at once.
    void announceVersion(std::vector<addressed_gossip> &out);

    void received(const gossip_message &message, millis now, std::vector<addressed_gossip> &out);
    /// Runs the periodic part; call it several times in a period.
    void tick(millis now, std::vector<addressed_gossip> &out);

    /// Takes in another node's whole table.
    /// @return whether anything in it was news
    bool learnTable(const std::vector<member> &table, millis now);
    /// @return nodes whose whole table should be fetched, since the last call.
    std::vector<node_id> takeSyncs();
    /// @return this node's whole table, with its own entry.
    std::vector<member> table() const;

    /// @return the nodes whose table entry changed since the last call.
    std::vector<node_id> takeChanged();
    const member *find(const node_id &node) const;
    const member &self() const { return m_self; }
    const std::map<node_id, member> &members() const { return m_members; }
    /// @return whether a member is of this node's failure domain.
    bool isHome(const member &entry) const { return entry.domain == m_self.domain; }
    /// @return the other live members of this node's failure domain.
    std::vector<node_id> liveAtHome() const;
    /// @return members that are alive or suspected, with this one.
    std::size_t liveCount() const;

private:
    struct pending_news
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
        node_id asker;
        std::uint64_t askerSequence = 0;
        millis at;
    };

    gossip_message compose(gossip_kind kind, std::uint64_t sequence, const node_id &to);
    void fillNews(gossip_message &message, std::size_t most, bool agrees);
    bool agreesWith(const node_id &node) const;
    void noteDigest(const gossip_message &message);
    double sendingsOfNews() const;
    /// Whether what was learned is handed on. A whole table is not: others have it.
    enum class spreading { no, as_news };

    bool learn(const member &told, spreading how, millis now);
    void replace(member &known, const member &told, spreading how, millis now);
    void considerSync(const gossip_message &message, millis now);
    void reviseSelf(std::uint32_t revision);
    bool learnAboutSelf(const member &told);
    void queueNews(const node_id &node);
    void suspect(const node_id &node, millis now, std::vector<addressed_gossip> &out);
    void startProbe(millis now, std::vector<addressed_gossip> &out);
    void checkProbe(millis now, std::vector<addressed_gossip> &out);
    void expireSuspects(millis now, std::vector<addressed_gossip> &out);
    void considerDomains(millis now, std::vector<addressed_gossip> &out);
    void forgetGone(millis now);
    bool young(millis now) const;
    void probeLost(millis now, std::vector<addressed_gossip> &out);
    std::vector<node_id> lostMembers(bool latelyOnly, millis now) const;
    std::vector<node_id> drawFrom(std::vector<node_id> nodes, std::size_t count);
    std::vector<node_id> randomLive(std::size_t count, const node_id &except);
    void tellAtOnce(std::vector<addressed_gossip> &out);
    void handOn(millis now, std::vector<addressed_gossip> &out);
    node_id nextTarget();
    node_id nextOnRing() const;

    const membership_tunables m_tuning;
    member m_self;
    std::mt19937_64 m_random;
    std::vector<node_id> m_seeds;
    std::map<node_id, member> m_members; ///< without this node
    std::unordered_map<node_id, millis> m_stateSince;
    std::set<node_id> m_suspected;
    std::map<node_id, millis> m_lostLately; ///< members that became suspects, and when
    std::map<std::string, millis> m_domainHeardAt; ///< by failure domain: the last message of any member there
    std::map<std::string, millis> m_domainAskedAt; ///< by failure domain: the last question whether anybody there is left
    std::vector<pending_news> m_news;
    std::unordered_map<node_id, std::uint64_t> m_digestsHeard; ///< of the tables of others, as last told
    int m_agreements = 0; ///< messages in a row whose sender had the same table
    token_bucket m_tellings;
    bool m_newsToTell = false; ///< whether important news waits to be handed on
    std::vector<node_id> m_probeOrder;
    std::vector<node_id> m_changed;
    pending_probe m_probe;
    std::unordered_map<std::uint64_t, relayed_probe> m_relayed;
    std::vector<node_id> m_syncWith;
    std::uint64_t m_digest = 0;
    millis m_learnedAt{0};
    millis m_syncedAt{-1};
    millis m_firstHeardAt{-1};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_periods = 0;
    millis m_nextPeriod{0};
};

} // namespace turmericspar
