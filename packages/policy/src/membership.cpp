#include "turmericspar/policy/membership.h"

#include "turmericspar/base/secret.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericspar {

namespace {

/// @return the contribution of an entry to the digest of a table; 0 for members that are not live.
std::uint64_t digestOf(const member &entry)
{
    if (entry.node.empty() || !isLive(entry)) {
        return 0;
    }
    return stableHash(entry.node, entry.incarnation * 1'000'003 + entry.revision);
}

/// @return whether an update is newer than the known entry: by incarnation, then revision, then severity of the state.
bool supersedes(const member &update, const member &known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    if (update.revision != known.revision) {
        return update.revision > known.revision;
    }
    return update.state > known.state;
}

/// @return the version of a member after an update. It rises within an incarnation only: a new process may start with an earlier version.
std::uint64_t versionAfter(const member &update, const member &known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation ? update.version : known.version;
    }
    return std::max(update.version, known.version);
}

} // namespace

bool isLive(const member &entry)
{
    return entry.state == member_state::alive || entry.state == member_state::suspect;
}

membership::membership(const membership_tunables &tuning, member self, std::uint64_t seed)
    : m_tuning(tuning), m_self(std::move(self)), m_random(seed), m_digest(digestOf(m_self))
{
    m_eagerRounds.setRate(m_tuning.eagerRoundsPerSecond, m_tuning.eagerRoundBurst);
    m_eagerRounds.add(m_tuning.eagerRoundBurst);
}

void membership::setSelf(const std::string &service, bool ready, std::uint64_t version, std::vector<addressed_gossip> &out)
{
    m_self.version = version;
    if (service == m_self.service && ready == m_self.ready) {
        return;
    }
    m_self.service = service;
    m_self.ready = ready;
    announceSelf(out);
}

void membership::setWithoutStore(bool withoutStore, std::vector<addressed_gossip> &out)
{
    if (std::exchange(m_self.withoutStore, withoutStore) != withoutStore) {
        announceSelf(out);
    }
}

void membership::recordDeparture(const upstream_run &departed, std::vector<addressed_gossip> &out)
{
    m_self.departed = laterDeparture(m_self.departed, departed);
    announceSelf(out);
}

/// Sends a change of this node's own entry at once.
void membership::announceSelf(std::vector<addressed_gossip> &out)
{
    reviseSelf(m_self.revision);
    queueUpdate(m_self.node);
    sendEagerly(out);
}

/// Gives this node's own entry a revision that supersedes all earlier ones.
/// @param revision the highest revision that other nodes know
void membership::reviseSelf(std::uint32_t revision)
{
    m_digest ^= digestOf(m_self);
    m_self.revision = revision + 1;
    m_digest ^= digestOf(m_self);
}

void membership::leave(std::vector<addressed_gossip> &out)
{
    m_self.ready = false;
    reviseSelf(m_self.revision);
    m_self.state = member_state::left;
    queueUpdate(m_self.node);
    sendEagerly(out);
}

void membership::announceVersion(std::vector<addressed_gossip> &out)
{
    sendEagerly(out);
}

const member *membership::find(const node_id &node) const
{
    if (node == m_self.node) {
        return &m_self;
    }
    const auto found = m_members.find(node);
    return found == m_members.end() ? nullptr : &found->second;
}

std::size_t membership::liveCount() const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) { return isLive(entry.second); }));
}

std::vector<node_id> membership::liveInOwnDomain() const
{
    std::vector<node_id> live;
    for (const auto &[node, entry] : m_members) {
        if (isLive(entry) && isInOwnDomain(entry)) {
            live.push_back(node);
        }
    }
    return live;
}

std::set<node_id> membership::withoutStoreInOwnDomain() const
{
    std::set<node_id> found;
    for (const auto &entry : table()) {
        if (isLive(entry) && isInOwnDomain(entry) && entry.withoutStore) {
            found.insert(entry.node);
        }
    }
    return found;
}

std::vector<node_id> membership::takeChangedNodes()
{
    return std::exchange(m_changed, {});
}

gossip_message membership::compose(gossip_kind kind, std::uint64_t sequence, const node_id &to)
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.from = m_self.node;
    message.version = m_self.version;
    message.digest = m_digest;
    const bool sameTable = hasSameTable(to);
    if (!sameTable) {
        message.updates.push_back(m_self);
    }
    // A member that is suspected or declared dead must learn of it first, so that it can refute.
    const auto known = m_members.find(to);
    if (known != m_members.end() && known->second.state != member_state::alive) {
        message.updates.push_back(known->second);
    }
    addUpdates(message, static_cast<std::size_t>(kind == gossip_kind::update ? m_tuning.updatesPerEagerMessage : m_tuning.updatesPerMessage), sameTable);
    return message;
}

/// @return whether the digest last received from a member equals the own one, so that it knows every entry except those of suspects.
bool membership::hasSameTable(const node_id &node) const
{
    const auto found = m_peerDigests.find(node);
    return found != m_peerDigests.end() && found->second == m_digest;
}

/// @return how often each update is sent.
double membership::retransmitLimit() const
{
    return m_tuning.retransmitFactor * std::log2(static_cast<double>(m_members.size()) + 2);
}

/// Adds the updates that were sent least often, and drops those that reached the retransmit limit.
/// @param sameTable whether the receiver has the same table, so that only suspicions are new to it
void membership::addUpdates(gossip_message &message, std::size_t maxEntries, bool sameTable)
{
    std::stable_sort(m_updates.begin(), m_updates.end(), [](const auto &left, const auto &right) { return left.sent < right.sent; });
    for (auto &item : m_updates) {
        if (message.updates.size() >= maxEntries) {
            break;
        }
        const auto *entry = find(item.node);
        // The digest does not distinguish a suspect from an alive member.
        if (entry && (!sameTable || entry->state == member_state::suspect)) {
            message.updates.push_back(*entry);
            ++item.sent;
        }
    }
    const double limit = retransmitLimit();
    std::erase_if(m_updates, [&](const auto &item) { return item.sent >= limit || !find(item.node); });
}

/// Stores the sender's digest. Once as many consecutive senders as the retransmit limit had the same table, all updates except suspicions are
/// dropped: they are known already.
void membership::recordDigest(const gossip_message &message)
{
    m_peerDigests[message.from] = message.digest;
    m_matchingDigests = message.digest == m_digest ? m_matchingDigests + 1 : 0;
    if (m_matchingDigests >= retransmitLimit()) {
        std::erase_if(m_updates, [&](const auto &item) {
            const auto *entry = find(item.node);
            return !entry || entry->state != member_state::suspect;
        });
    }
}

void membership::queueUpdate(const node_id &node)
{
    std::erase_if(m_updates, [&](const auto &item) { return item.node == node; });
    m_updates.push_back({node, 0});
    m_matchingDigests = 0;
    m_changed.push_back(node);
}

/// Merges an entry that another node has of this one.
/// @return whether this node had to correct it, which must be sent eagerly
bool membership::mergeOwnEntry(const member &update)
{
    if (const auto latest = laterDeparture(update.departed, m_self.departed); latest != m_self.departed) {
        // An earlier process of this node acknowledged the departure.
        m_self.departed = latest;
        m_changed.push_back(m_self.node);
    }
    if (update.incarnation > m_self.incarnation) {
        // A previous process at this address had a higher incarnation, because its clock was ahead.
        m_digest ^= digestOf(m_self);
        m_self.incarnation = update.incarnation + 1;
        m_digest ^= digestOf(m_self);
        queueUpdate(m_self.node);
        return true;
    }
    const bool outdated = update.incarnation == m_self.incarnation && update.revision >= m_self.revision && update.state != m_self.state;
    if (!outdated || m_self.state != member_state::alive) {
        return false;
    }
    // Others suspect this node or declared it dead: a later revision refutes it.
    reviseSelf(update.revision);
    queueUpdate(m_self.node);
    return true;
}

/// Merges an entry into the table if it is newer.
/// @return whether the change is urgent: it affects the routing of calls, or refutes something
bool membership::mergeEntry(const member &update, dissemination how, millis now)
{
    if (update.node == m_self.node) {
        return mergeOwnEntry(update);
    }
    const auto known = m_members.find(update.node);
    if (known == m_members.end()) {
        if (isLive(update)) {
            replace(m_members[update.node], update, how, now);
        }
        return isLive(update);
    }
    if (!supersedes(update, known->second)) {
        known->second.version = versionAfter(update, known->second);
        return false;
    }
    // A refutation must arrive before the suspicion times out at the other nodes, or they declare the member dead.
    const bool refutes = known->second.state == member_state::suspect && update.state == member_state::alive;
    const bool urgent =
        refutes || update.ready != known->second.ready || update.withoutStore != known->second.withoutStore || isLive(update) != isLive(known->second);
    replace(known->second, update, how, now);
    return urgent;
}

/// Replaces a table entry, and queues it for dissemination.
void membership::replace(member &known, const member &update, dissemination how, millis now)
{
    if (update.state != known.state || !m_stateSince.contains(update.node)) {
        m_stateSince[update.node] = now;
    }
    if (update.state == member_state::suspect) {
        m_suspected.insert(update.node);
        m_recentSuspects[update.node] = now;
    }
    const auto version = versionAfter(update, known);
    const auto departed = laterDeparture(known.departed, update.departed);
    m_digest ^= digestOf(known);
    known = update;
    known.version = version;
    known.departed = departed;
    m_digest ^= digestOf(known);
    m_tableChangedAt = now;
    if (how == dissemination::gossip) {
        queueUpdate(update.node);
    } else {
        m_changed.push_back(update.node);
    }
}

bool membership::mergeTable(const std::vector<member> &table, millis now)
{
    bool urgent = false;
    for (const auto &update : table) {
        urgent = mergeEntry(update, dissemination::none, now) || urgent;
    }
    return urgent;
}

void membership::received(const gossip_message &message, millis now, std::vector<addressed_gossip> &out)
{
    // Step 1. Merge its updates; urgent ones are forwarded eagerly
    bool urgent = false;
    for (const auto &update : message.updates) {
        urgent = mergeEntry(update, dissemination::gossip, now) || urgent;
    }
    if (const auto sender = m_members.find(message.from); sender != m_members.end()) {
        m_domainLastMessageAt[sender->second.domain] = now;
        sender->second.version = std::max(sender->second.version, message.version);
    }
    recordDigest(message);
    if (urgent) {
        forwardUpdates(now, out);
    }
    scheduleSync(message, now);

    // Step 2. Respond by the kind of message
    switch (message.kind) {
    case gossip_kind::probe:
        out.push_back({message.from, compose(gossip_kind::answer, message.sequence, message.from)});
        break;
    case gossip_kind::indirect_probe:
        ++m_sequence;
        m_relayed[m_sequence] = {message.from, message.sequence, now};
        out.push_back({message.target, compose(gossip_kind::probe, m_sequence, message.target)});
        break;
    case gossip_kind::answer:
        if (message.sequence == m_probe.sequence) {
            m_probe = {};
        }
        if (const auto relayed = m_relayed.find(message.sequence); relayed != m_relayed.end()) {
            out.push_back({relayed->second.requester, compose(gossip_kind::answer, relayed->second.requesterSequence, relayed->second.requester)});
            m_relayed.erase(relayed);
        }
        break;
    case gossip_kind::update:
        break;
    }
}

/// Schedules a fetch of the sender's table if it differs: soon while this node is starting, else when the own table has settled.
void membership::scheduleSync(const gossip_message &message, millis now)
{
    const bool differs = message.digest != m_digest;
    const auto sender = m_members.find(message.from);
    const bool ownDomain = sender != m_members.end() && isInOwnDomain(sender->second);
    const double factor = ownDomain ? 1 : m_tuning.remoteSyncFactor;
    const millis since = now - m_syncedAt;
    const bool settled = now - m_tableChangedAt > m_tuning.settleTime && since > m_tuning.syncInterval * factor;
    if (m_firstMessageAt.count < 0) {
        m_firstMessageAt = now;
    }
    const bool early = m_syncedAt.count < 0 || (isStarting(now) && since > m_tuning.startupSyncInterval * factor);
    if (differs && (early || settled)) {
        m_syncedAt = now;
        m_syncPeers.push_back(message.from);
    }
}

std::vector<node_id> membership::takeSyncPeers()
{
    return std::exchange(m_syncPeers, {});
}

std::vector<member> membership::table() const
{
    std::vector<member> all{m_self};
    for (const auto &[node, entry] : m_members) {
        all.push_back(entry);
    }
    return all;
}

void membership::tick(millis now, std::vector<addressed_gossip> &out)
{
    checkProbe(now, out);
    expireSuspects(now, out);
    if (!m_recentSuspects.empty()) {
        checkSilentDomains(now, out);
    }
    if (m_forwardPending) {
        forwardUpdates(now, out);
    }
    if (now < m_nextPeriod) {
        return;
    }
    m_nextPeriod = now + m_tuning.period;
    ++m_periods;
    if (m_probe.sequence != 0) {
        suspect(m_probe.target, now, out);
        m_probe = {};
    }
    std::erase_if(m_relayed, [&](const auto &entry) { return now - entry.second.at > m_tuning.period; });
    startProbe(now, out);
    if (m_periods % m_tuning.purgePeriods == 0) {
        purgeDeparted(now);
    }
    probeLostMember(now, out);
}

/// Sends the regular probe of this period.
void membership::startProbe(millis now, std::vector<addressed_gossip> &out)
{
    // Every other probe goes to the ring successor, which bounds the time until some node detects a death.
    const node_id successor = m_periods % 2 == 0 ? ringSuccessor() : node_id();
    const node_id target = successor.empty() ? nextTarget() : successor;
    if (target.empty()) {
        return;
    }
    m_probe = {++m_sequence, target, now, false};
    out.push_back({target, compose(gossip_kind::probe, m_probe.sequence, target)});
}

/// Sends indirect probes when the direct answer is late.
void membership::checkProbe(millis now, std::vector<addressed_gossip> &out)
{
    if (m_probe.sequence == 0 || m_probe.indirect || now - m_probe.sentAt < m_tuning.probeTimeout) {
        return;
    }
    m_probe.indirect = true;
    for (const auto &helper : randomLive(static_cast<std::size_t>(m_tuning.indirectProbes), m_probe.target)) {
        auto message = compose(gossip_kind::indirect_probe, m_probe.sequence, helper);
        message.target = m_probe.target;
        out.push_back({helper, std::move(message)});
    }
}

/// @return the member that follows this node on the hash ring of the alive members of its failure domain.
node_id membership::ringSuccessor() const
{
    const auto own = stableHash(m_self.node);
    const node_id *nearest = nullptr;
    std::uint64_t minDistance = 0;
    for (const auto &[node, entry] : m_members) {
        const std::uint64_t distance = stableHash(node) - own;
        if (entry.state == member_state::alive && isInOwnDomain(entry) && (!nearest || distance < minDistance)) {
            nearest = &node;
            minDistance = distance;
        }
    }
    return nearest ? *nearest : node_id();
}

/// @return the next member to be probed: each once per round, in random order.
node_id membership::nextTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const node_id node = m_probeOrder.back();
            m_probeOrder.pop_back();
            const auto found = m_members.find(node);
            if (found != m_members.end() && isLive(found->second)) {
                return node;
            }
        }
        for (const auto &[node, entry] : m_members) {
            if (isLive(entry)) {
                m_probeOrder.push_back(node);
            }
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    return {};
}

void membership::suspect(const node_id &node, millis now, std::vector<addressed_gossip> &out)
{
    const auto found = m_members.find(node);
    if (found == m_members.end() || found->second.state != member_state::alive) {
        return;
    }
    member suspected = found->second;
    suspected.state = member_state::suspect;
    replace(found->second, suspected, dissemination::gossip, now);
    // A member that is alive can refute at once.
    out.push_back({node, compose(gossip_kind::update, 0, node)});
}

/// Detects the loss of other failure domains as a whole, or of all of them if the own one is partitioned off. When a few members of silent
/// domains became suspects, some others there are probed at once; if none of them answers, all are suspected. Regular probes would take
/// seconds longer to detect the last of them.
void membership::checkSilentDomains(millis now, std::vector<addressed_gossip> &out)
{
    // Step 1. Count the members of silent domains that were lost recently
    const auto isSilent = [&](const member &entry) { return !isInOwnDomain(entry) && now - m_domainLastMessageAt[entry.domain] >= m_tuning.domainSilence; };
    std::map<std::string, std::size_t> lost;
    for (const auto &[node, since] : m_recentSuspects) {
        const auto found = m_members.find(node);
        if (found != m_members.end() && found->second.state != member_state::alive && isSilent(found->second)) {
            ++lost[found->second.domain];
        }
    }
    std::erase_if(m_recentSuspects, [&](const auto &item) { return now - item.second > m_tuning.domainSuspectWindow; });
    if (lost.empty()) {
        return;
    }

    // Step 2. Collect the alive members of silent domains
    std::map<std::string, std::vector<node_id>> silent;
    for (const auto &[node, entry] : m_members) {
        if (entry.state == member_state::alive && isSilent(entry)) {
            silent[entry.domain].push_back(node);
        }
    }
    std::size_t lostTotal = 0;
    for (const auto &[domain, there] : silent) {
        lostTotal += lost[domain];
    }

    for (const auto &[domain, there] : silent) {
        if (lostTotal < m_tuning.domainSuspectsMin && lost[domain] < there.size()) {
            continue;
        }
        // Step 3. Probe a few of them, once
        millis &probedAt = m_domainProbedAt[domain];
        if (probedAt <= m_domainLastMessageAt[domain]) {
            probedAt = now;
            for (const auto &node : pickRandom(there, m_tuning.domainProbes)) {
                out.push_back({node, compose(gossip_kind::probe, ++m_sequence, node)});
            }
        } else if (now - probedAt >= m_tuning.probeTimeout) {
            // Step 4. Suspect all when none has answered
            for (const auto &node : there) {
                suspect(node, now, out);
            }
        }
    }
}

/// Declares suspects dead that did not refute in time, and sends this eagerly.
void membership::expireSuspects(millis now, std::vector<addressed_gossip> &out)
{
    bool died = false;
    for (auto it = m_suspected.begin(); it != m_suspected.end();) {
        const auto found = m_members.find(*it);
        const bool suspected = found != m_members.end() && found->second.state == member_state::suspect;
        const bool expired = suspected && now - m_stateSince[*it] >= m_tuning.period * m_tuning.suspicionPeriods;
        if (suspected && !expired) {
            ++it;
            continue;
        }
        it = m_suspected.erase(it);
        if (expired) {
            member dead = found->second;
            dead.state = member_state::dead;
            replace(found->second, dead, dissemination::gossip, now);
            died = true;
        }
    }
    if (died) {
        forwardUpdates(now, out);
    }
}

/// Removes members that died or left long ago.
void membership::purgeDeparted(millis now)
{
    std::erase_if(m_members, [&](const auto &known) {
        const auto &[node, entry] = known;
        if (isLive(entry) || now - m_stateSince[node] <= m_tuning.deadRetention) {
            return false;
        }
        m_stateSince.erase(node);
        m_peerDigests.erase(node);
        m_changed.push_back(node);
        return true;
    });
}

/// @return whether this node is within its startup span.
bool membership::isStarting(millis now) const
{
    return m_firstMessageAt.count < 0 || now - m_firstMessageAt < m_tuning.startupSpan;
}

/// @return seeds that are unknown or have left, and dead members.
/// @param recentOnly excludes members that died long ago, seeds that have left and, after the startup span, unknown seeds
std::vector<node_id> membership::lostMembers(bool recentOnly, millis now) const
{
    std::vector<node_id> lost;
    const bool starting = isStarting(now);
    for (const auto &seed : m_seeds) {
        const auto found = m_members.find(seed);
        const bool unknown = found == m_members.end();
        const bool gone = unknown || found->second.state == member_state::left;
        if (seed != m_self.node && gone && (!recentOnly || (unknown && starting))) {
            lost.push_back(seed);
        }
    }
    for (const auto &[node, entry] : m_members) {
        if (entry.state == member_state::dead && (!recentOnly || now - m_stateSince.at(node) < m_tuning.recentLossSpan)) {
            lost.push_back(node);
        }
    }
    return lost;
}

/// Probes a seed or a dead member, so that groups of nodes that started together and the sides of a partition find each other. Recently lost
/// members are probed in every period, the others every lostProbePeriods, or always by a node that knows no other live member.
void membership::probeLostMember(millis now, std::vector<addressed_gossip> &out)
{
    const bool includeAll = liveCount() == 1 || m_periods % static_cast<std::uint64_t>(m_tuning.lostProbePeriods) == 0;
    const auto lost = lostMembers(!includeAll, now);
    // A member that is reached makes itself known to the others, so it is enough that a few nodes probe.
    const bool skip = !includeAll && !isStarting(now) && m_random() % liveCount() >= m_tuning.recentLossProbers;
    if (lost.empty() || skip) {
        return;
    }
    const auto &chosen = lost[m_random() % lost.size()];
    out.push_back({chosen, compose(gossip_kind::probe, ++m_sequence, chosen)});
}

/// @return up to count of the nodes, chosen at random.
std::vector<node_id> membership::pickRandom(std::vector<node_id> nodes, std::size_t count)
{
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    nodes.resize(std::min(nodes.size(), count));
    return nodes;
}

std::vector<node_id> membership::randomLive(std::size_t count, const node_id &except)
{
    std::vector<node_id> live;
    for (const auto &[node, entry] : m_members) {
        if (isLive(entry) && node != except) {
            live.push_back(node);
        }
    }
    return pickRandom(std::move(live), count);
}

/// Sends updates eagerly, or later together with further ones if the rate limit is reached.
void membership::forwardUpdates(millis now, std::vector<addressed_gossip> &out)
{
    m_forwardPending = !m_eagerRounds.take(now);
    if (!m_forwardPending) {
        sendEagerly(out);
    }
}

/// Sends an update message to a few random members at once, instead of waiting for the next probes.
void membership::sendEagerly(std::vector<addressed_gossip> &out)
{
    const auto fanout = static_cast<std::size_t>(m_tuning.eagerFanout);
    auto receivers = pickRandom(liveInOwnDomain(), fanout / 2);
    const auto anywhere = randomLive(fanout, {});
    for (const auto &node : anywhere) {
        if (receivers.size() < fanout && std::find(receivers.begin(), receivers.end(), node) == receivers.end()) {
            receivers.push_back(node);
        }
    }
    for (const auto &node : receivers) {
        out.push_back({node, compose(gossip_kind::update, 0, node)});
    }
}

} // namespace turmericspar
