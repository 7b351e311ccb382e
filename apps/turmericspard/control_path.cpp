#include "control_path.h"

#include "node.pb.h"
#include "turmericspar/base/document.h"
#include "turmericspar/base/log.h"
#include "turmericspar/node/wire.h"

#include <algorithm>
#include <fstream>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr millis tickPeriod{50};
constexpr millis watcherPeriod{1000};
/// When all nodes start at once, each delays its second read of the registered seeds by a random time up to this. For 20 nodes of a failure domain,
/// it leaves some 20 ms for each, which is enough because a registration takes two answers of the store of 4 ms each.
constexpr millis watcherStartupSpread{400};
/// Interval between two reads of the seeds in the store while no other member is known.
constexpr millis seedReadPeriod{500};
/// First and longest pause between two such reads by a node that knows other members. It goes on reading after its start because nodes that start
/// together may form separate groups.
constexpr millis seedReadPauseMin{1000};
constexpr millis seedReadPauseMax{8000};
/// How long the store holds a watch: within this time a node detects a connection that has gone silent, and a store that has gone back to an
/// older copy without ending the watch.
constexpr millis watchTimeout{2500};

/// Minimum time between two repairs of the store at the instance of another node.
constexpr millis repairInterval{500};

/// Minimum time between two requests for the date of a member: if this node's clock is off by an hour, the dates of all of 1,500 members are
/// known within half a minute.
constexpr millis clockRequestInterval{20};

member selfEntry(const node_settings &settings, const node_id &self)
{
    member entry;
    entry.node = self;
    entry.name = settings.name;
    entry.operators = settings.operators.text();
    entry.domain = settings.domain;
    entry.incarnation = static_cast<std::uint64_t>(wallNow().count);
    return entry;
}

std::vector<node_id> settingsSeeds(const node_settings &settings)
{
    std::vector<node_id> seeds;
    for (const auto &address : settings.seeds) {
        seeds.push_back(address.text());
    }
    return seeds;
}

} // namespace

control_path::control_path(event_loop &loop,
                           const node_settings &settings,
                           const interface_profile &profile,
                           const key_ring &keys,
                           node_id self,
                           std::uint64_t seed,
                           control_path_handlers handlers)
    : m_loop(loop)
    , m_settings(settings)
    , m_handlers(std::move(handlers))
    , m_random(seed)
    , m_members({}, selfEntry(settings, self), seed)
    , m_gossip(loop, keys, {[this](const gossip_message &message) { onGossip(message); }, [this](const node_id &node) { requestPeerClock(node); }})
{
    m_members.setSeeds(settingsSeeds(settings));
    if (settings.platform) {
        store_options options;
        options.address = *settings.platform;
        const bool usesConfigurationDocument = !profile.configurationDocument.key.empty();
        options.watchTimeout = watchTimeout;
        m_store = std::make_unique<store>(loop, options, profile.makeStoreForm());
        if (usesConfigurationDocument) {
            m_versionSource = std::make_unique<document_watch>(
                loop, *m_store, profile.configurationDocument, m_log, [this] { onVersionAdvanced(); }, seed);
        } else {
            auto versions = std::make_unique<version_store>(
                loop, *m_store, settings.platformPrefix, m_log, [this] { onVersionAdvanced(); }, seed);
            versions->setLatestElsewhere([this] { return latestElsewhere(); });
            m_versionSource = std::move(versions);
        }
        m_seedRegistry = std::make_unique<seed_registry>(
            loop, *m_store, settings.platformPrefix, settings.domain, m_members.self().node, [this] { return announcedVersion(m_startup, m_log.version()); });
        m_convictions = std::make_unique<conviction_registry>(loop, *m_store, settings.platformPrefix, seed);
    }
    readFallback();
}

control_path::~control_path() = default;

result<bool> control_path::start(node_link &links)
{
    m_links = &links;
    auto listening = m_gossip.listen(m_settings.nodes);
    if (!listening) {
        return listening;
    }
    m_startedAt = monotonicNow();
    noteSeeds(settingsSeeds(m_settings));
    if (m_versionSource) {
        m_versionSource->refresh([this](bool reached) {
            m_startupView.configurationKnown = m_startupView.configurationKnown || reached;
            updateStartup();
        });
    }
    if (m_convictions) {
        m_convictions->read([this](const noted_conviction &noted) { m_handlers.onConviction(noted); });
    }
    m_tick = m_loop.every(tickPeriod, [this] { tick(); });
    refreshSeeds();
    m_seedTimer = m_loop.every(seedReadPeriod, [this] { refreshSeeds(); });
    return true;
}

void control_path::readFallback()
{
    if (m_settings.fallbackConfiguration.empty()) {
        return;
    }
    std::ifstream file(m_settings.fallbackConfiguration);
    std::vector<document_error> errors;
    auto parsed = parseConfiguration(json::parse(file, nullptr, false), errors);
    if (!errors.empty()) {
        logEvent(log_level::error,
                 "fallback_refused",
                 {{"file", m_settings.fallbackConfiguration}, {"path", errors.front().path}, {"allowed", errors.front().allowed}});
        return;
    }
    m_fallback = std::move(parsed);
}

const configuration &control_path::inForce() const
{
    return m_log.version() == 0 && m_fallback ? *m_fallback : m_log.inForce();
}

configuration_source control_path::source() const
{
    if (m_log.version() > 0) {
        return configuration_source::peers_or_store;
    }
    return m_fallback ? configuration_source::fallback : configuration_source::initial;
}

void control_path::tick()
{
    std::vector<addressed_gossip> messages;
    m_members.tick(monotonicNow(), messages);
    send(messages);
    publishMemberChanges();
    pullIfBehind();
    updateStoreAccess();
    updateStartup();
}

/// Notes for the start when other nodes were first named.
void control_path::noteSeeds(const std::vector<node_id> &seeds)
{
    const bool others = std::any_of(seeds.begin(), seeds.end(), [this](const node_id &node) { return node != m_members.self().node; });
    if (others && !m_startupView.seedsNamed) {
        m_startupView.seedsNamed = monotonicNow() - m_startedAt;
    }
}

/// Decides whether this node may serve by the configuration that it knows.
void control_path::updateStartup()
{
    if (startupDone()) {
        return;
    }
    m_startupView.behind = m_pull.isBehind(m_log.version());
    m_startupView.storeWhole = m_settledVersion && m_log.version() >= *m_settledVersion;
    m_startupView.age = monotonicNow() - m_startedAt;
    startup_tunables tuning;
    tuning.maxWait = m_settings.startWait;
    m_startup = checkStartup(m_startupView, tuning);
    if (startupDone()) {
        announceVersion();
        logEvent(m_startup == startup_state::confirmed ? log_level::info : log_level::warning,
                 m_startup == startup_state::confirmed ? "configuration_confirmed" : "configuration_unconfirmed",
                 {{"version", m_log.version()},
                  {"source", configurationSourceNames.name(source())},
                  {"peer_heard", m_startupView.peerHeard ? "true" : "false"},
                  {"store_whole", m_startupView.storeWhole ? "true" : "false"},
                  {"span_ms", m_startupView.age}});
    }
}

void control_path::send(const std::vector<addressed_gossip> &messages)
{
    for (const auto &message : messages) {
        m_gossip.send(message);
    }
}

void control_path::onGossip(const gossip_message &message)
{
    std::vector<addressed_gossip> messages;
    m_members.received(message, monotonicNow(), messages);
    send(messages);
    publishMemberChanges();
    const auto *sender = m_members.find(message.from);
    m_pull.recordVersion(message.from, sender && m_members.isInOwnDomain(*sender), message.version, m_log.version(), monotonicNow());
    pullIfBehind();
    recordAnnouncement(m_startupView, message.version);
    updateStartup();
}

/// Asks a member whose gossip carries a deviating date for its time of day.
void control_path::requestPeerClock(const node_id &node)
{
    const millis now = monotonicNow();
    if (now - m_clockRequestedAt < clockRequestInterval) {
        return;
    }
    m_clockRequestedAt = now;
    m_links->requestClock(node);
}

/// Notifies the rest of the node of changes in the member table, and fetches the tables of members that the membership protocol asks for.
void control_path::publishMemberChanges()
{
    for (const auto &node : m_members.takeChangedNodes()) {
        if (node == m_members.self().node && m_members.self().departed.id != 0) {
            m_handlers.onOwnDeparture(m_members.self().departed);
        }
        if (const auto *entry = m_members.find(node)) {
            m_handlers.onMember(*entry);
        } else {
            m_handlers.onMemberForgotten(node);
        }
    }
    for (const auto &node : m_members.takeSyncPeers()) {
        m_links->pullMembers(node);
    }
}

/// Pulls configuration versions from another node if that node has newer ones.
void control_path::pullIfBehind()
{
    if (!m_pull.isBehind(m_log.version())) {
        return;
    }
    if (const auto from = m_pull.nextSource(m_log.version(), m_members.liveInOwnDomain().empty(), monotonicNow())) {
        m_links->pullConfig(*from, m_log.version(), m_log.chain());
    }
}

void control_path::onConfigPull(const connection_id &from, const wire::ConfigPull &pull)
{
    wire::ConfigPush push;
    const auto records = m_log.recordsAfter(pull.have(), pull.chain());
    if (records) {
        for (const auto &record : *records) {
            auto *added = push.add_versions();
            added->set_version(record.version);
            added->set_record(record.toJson().dump());
        }
    } else {
        push.set_snapshot(m_log.snapshot().toJson().dump());
    }
    m_links->pushConfig(from, std::move(push));
}

void control_path::onConfigPush(const wire::ConfigPush &push)
{
    const auto before = m_log.version();
    if (!push.snapshot().empty()) {
        if (const auto snapshot = version_snapshot::fromJson(parseDocument(push.snapshot()))) {
            m_log.restore(*snapshot);
        }
    }
    std::vector<version_record> records;
    for (const auto &version : push.versions()) {
        if (auto record = version_record::fromJson(parseDocument(version.record()))) {
            records.push_back(std::move(*record));
        }
    }
    const bool merged = m_log.merge(records);
    if (m_log.version() != before) {
        onVersionAdvanced();
    }
    const millis now = monotonicNow();
    if (!merged && m_versionSource && now - m_repairedAt > repairInterval) {
        // The store has lost versions of this log and given their numbers to other submissions.
        m_repairedAt = now;
        logEvent(log_level::warning, "version_fork", {{"version", m_log.version()}, {"other_version", records.back().version}});
        m_versionSource->repair();
    }
}

void control_path::onMemberPull(const connection_id &from)
{
    wire::MemberPush push;
    for (const auto &entry : m_members.table()) {
        toWire(entry, *push.add_members());
    }
    m_links->pushMembers(from, std::move(push));
}

void control_path::onMemberPush(const wire::MemberPush &push)
{
    std::vector<member> table;
    for (const auto &received : push.members()) {
        if (auto entry = fromWire(received)) {
            table.push_back(std::move(*entry));
        }
    }
    m_members.mergeTable(table, monotonicNow());
    publishMemberChanges();
    recordKnownVersions(table);
}

/// Notes which versions a member table names, so that a node that starts learns of the latest one with the first table.
void control_path::recordKnownVersions(const std::vector<member> &table)
{
    for (const auto &entry : table) {
        if (isLive(entry) && entry.node != m_members.self().node) {
            m_pull.recordVersion(entry.node, m_members.isInOwnDomain(entry), entry.version, m_log.version(), monotonicNow());
        }
    }
    pullIfBehind();
}

/// Handles a new version in the log: it is in force at this node, and is announced to other members at once.
void control_path::onVersionAdvanced()
{
    logEvent(log_level::info, "configuration_in_force", {{"version", m_log.version()}});
    m_startupView.configurationKnown = true;
    updateStartup();
    announceVersion();
    m_handlers.onConfiguration();
}

/// Tells other members which version is in force here.
void control_path::announceVersion()
{
    std::vector<addressed_gossip> messages;
    m_members.setSelf(m_service, m_upstreamReady, announcedVersion(m_startup, m_log.version()), messages);
    m_members.announceVersion(messages);
    send(messages);
}

void control_path::setSelf(const std::string &service, bool ready)
{
    if (service == m_service && ready == m_upstreamReady) {
        return;
    }
    m_service = service;
    m_upstreamReady = ready;
    std::vector<addressed_gossip> messages;
    m_members.setSelf(service, ready, announcedVersion(m_startup, m_log.version()), messages);
    send(messages);
    publishMemberChanges();
}

void control_path::recordDeparture(const upstream_run &departed, std::function<void()> recorded)
{
    std::vector<addressed_gossip> messages;
    m_members.recordDeparture(departed, messages);
    send(messages);
    if (m_seedRegistry) {
        m_seedRegistry->noteDeparture(departed, std::move(recorded));
    } else {
        recorded();
    }
}

void control_path::keepConviction(const noted_conviction &conviction, conviction_source source)
{
    if (m_convictions) {
        m_convictions->keep(conviction, source);
    }
}

void control_path::withdrawConviction(request_digest digest, conviction_source source)
{
    if (m_convictions) {
        m_convictions->withdraw(digest, source);
    }
}

void control_path::leave()
{
    std::vector<addressed_gossip> messages;
    m_members.leave(messages);
    send(messages);
}

/// Tells the other members whether the store serves this node, so that others watch it if not.
void control_path::updateStoreAccess()
{
    if (!m_versionSource || !m_watcherTimer) {
        return;
    }
    m_storeAccess.update(m_versionSource->watching(), m_versionSource->reachable(), monotonicNow());
    std::vector<addressed_gossip> messages;
    m_members.setWithoutStore(m_storeAccess.lost(), messages);
    if (!messages.empty()) {
        logEvent(log_level::info, "store_access", {{"lost", m_storeAccess.lost() ? "true" : "false"}});
    }
    send(messages);
}

/// Decides whether this node is one of the few of its failure domain that watch the store.
void control_path::updateWatcherRole()
{
    if (!m_versionSource) {
        return;
    }
    const watcher_view view{m_members.self().node,
                            m_members.liveInOwnDomain(),
                            m_ownDomainSeeds,
                            m_members.liveCount() == 1,
                            monotonicNow() - m_startedAt,
                            m_members.withoutStoreInOwnDomain()};
    const bool chosen = isWatcher(view);
    if (chosen != m_versionSource->watching()) {
        logEvent(log_level::info, "store_watch", {{"watching", chosen ? "true" : "false"}});
        m_versionSource->setWatching(chosen);
        m_seedRegistry->setRegistered(chosen);
    }
}

/// Reads the seeds in the store while no other member is known, and after a start also at intervals that double.
void control_path::refreshSeeds()
{
    const millis now = monotonicNow();
    const bool due = m_seedReadPause <= seedReadPauseMax && now >= m_seedsReadAt + m_seedReadPause;
    if (!m_seedRegistry || (m_members.liveCount() > 1 && !due)) {
        return;
    }
    if (due) {
        m_seedsReadAt = now;
        m_seedReadPause = std::max(seedReadPauseMin, m_seedReadPause * 2);
    }
    // A node that knows other members needs no up-to-date read: registrations a few seconds old are enough.
    readRegisteredSeeds(m_members.liveCount() > 1 ? read_freshness::allow_stale : read_freshness::current);
}

void control_path::readRegisteredSeeds(read_freshness freshness)
{
    m_seedRegistry->read(freshness, [this](const seed_listing &registered) {
        auto seeds = settingsSeeds(m_settings);
        m_ownDomainSeeds = 0;
        for (const auto &seed : registered.seeds) {
            seeds.push_back(seed.node);
            m_ownDomainSeeds += seed.domain == m_settings.domain && seed.node != m_members.self().node ? 1 : 0;
        }
        noteSeeds(seeds);
        if (registered.departed.id != 0) {
            m_handlers.onOwnDeparture(registered.departed);
        }
        m_settledVersion = std::max(m_settledVersion, registered.settledVersion);
        m_members.setSeeds(std::move(seeds));
        updateStartup();
        chooseInitialWatcherRole();
    });
}

/// Decides after a start whether this node watches the store. Nodes that start at the same time all find no seeds registered. Each therefore
/// waits a random time and reads again, so that it sees the registrations of those that waited less.
void control_path::chooseInitialWatcherRole()
{
    switch (m_watcherStartup) {
    case watcher_startup::not_started:
        m_watcherStartup = watcher_startup::waiting;
        m_watcherStartupTimer = m_loop.after(watcherStartupSpread * std::uniform_real_distribution<double>(0, 1)(m_random), [this] {
            m_watcherStartup = watcher_startup::second_read;
            readRegisteredSeeds(read_freshness::current);
        });
        break;
    case watcher_startup::waiting:
    case watcher_startup::done:
        break;
    case watcher_startup::second_read:
        m_watcherStartup = watcher_startup::done;
        updateWatcherRole();
        m_watcherTimer = m_loop.every(watcherPeriod, [this] { updateWatcherRole(); });
        break;
    }
}

void control_path::submit(version_record record, std::uint64_t base, version_source::submission_handler done)
{
    if (!m_versionSource) {
        done({submission_verdict::unavailable, m_log.version(), {}, "this node's settings name no platform"});
        return;
    }
    m_versionSource->submit(std::move(record), base, std::move(done));
}

/// @return the latest version that another live node has in force, as far as this node knows.
std::uint64_t control_path::latestElsewhere() const
{
    std::uint64_t latest = 0;
    for (const auto &[node, entry] : m_members.members()) {
        latest = isLive(entry) ? std::max(latest, entry.version) : latest;
    }
    return latest;
}

std::map<std::string, domain_progress> control_path::progress(std::uint64_t version) const
{
    std::map<std::string, domain_progress> domains;
    for (const auto &entry : m_members.table()) {
        if (!isLive(entry)) {
            continue;
        }
        auto &domain = domains[entry.domain];
        ++domain.live;
        const auto known = entry.node == m_members.self().node ? m_log.version() : entry.version;
        if (known >= version) {
            ++domain.inForce;
        } else {
            domain.laggards.push_back(entry.name);
        }
    }
    return domains;
}

} // namespace turmericspar
