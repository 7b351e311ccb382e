#include "control_path.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "turmericspar/node/wire.h"
#include "turmericspar/policy/watcher_choice.h"

#include <algorithm>
#include <fstream>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr millis tickPeriod{50};
constexpr millis watcherPeriod{1000};
/// Within which the nodes of a start of all look one after the other who watches: some 20 ms for each of 20 nodes of a failure domain, as a
/// posting takes two answers of the store of 4 ms.
constexpr millis firstChoiceSpread{400};
/// Between two looks for seeds in the store, while nobody is known.
constexpr millis seedPeriod{500};
/// First and longest pause between two such looks by a node that knows others: nodes that start together may find each other in groups.
constexpr millis seedPauseLeast{1000};
constexpr millis seedPauseMost{8000};
/// How long the store holds a watch of the operators' document: a connection that has gone silent is noticed by then.
constexpr millis documentWatchSpan{2500};

/// Least time between two questions for the date of members: an hour off, all of 1,500 members are known within half a minute.
constexpr millis dateAskInterval{20};

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
    , m_gossip(loop, keys, {[this](const gossip_message &message) { heard(message); }, [this](const node_id &node) { askDate(node); }})
{
    m_members.setSeeds(settingsSeeds(settings));
    if (settings.platform) {
        store_options options;
        options.address = *settings.platform;
        const bool byOperators = !profile.operatorsDocument.key.empty();
        options.watchTimeout = byOperators ? documentWatchSpan : options.watchTimeout;
        m_store = std::make_unique<store>(loop, options, profile.makeStoreForm());
        if (byOperators) {
            m_versions = std::make_unique<document_watch>(
                loop, *m_store, profile.operatorsDocument, m_log, [this] { advanced(); }, seed);
        } else {
            m_versions = std::make_unique<version_store>(
                loop, *m_store, settings.platformPrefix, m_log, [this] { advanced(); }, seed);
        }
        m_board = std::make_unique<seed_registry>(loop, *m_store, settings.platformPrefix, settings.domain, m_members.self().node);
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
    if (m_versions) {
        m_versions->refresh([this](bool reached) { m_settled = m_settled || reached; });
    }
    m_startTimer = m_loop.after(m_settings.startWait, [this] {
        if (!std::exchange(m_settled, true)) {
            logEvent(log_level::warning, "configuration_unconfirmed", {{"version", m_log.version()}, {"source", configurationSourceNames.name(source())}});
        }
    });
    m_tick = m_loop.every(tickPeriod, [this] { tick(); });
    m_startedAt = monotonicNow();
    readSeeds();
    m_seedTimer = m_loop.every(seedPeriod, [this] { readSeeds(); });
    return true;
}

void control_path::readFallback()
{
    if (m_settings.fallbackConfiguration.empty()) {
        return;
    }
    std::ifstream file(m_settings.fallbackConfiguration);
    std::vector<document_error> mistakes;
    auto parsed = parseConfiguration(json::parse(file, nullptr, false), mistakes);
    if (!mistakes.empty()) {
        logEvent(log_level::error,
                 "fallback_refused",
                 {{"file", m_settings.fallbackConfiguration}, {"path", mistakes.front().path}, {"allowed", mistakes.front().allowed}});
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
    std::vector<addressed_gossip> letters;
    m_members.tick(monotonicNow(), letters);
    send(letters);
    followChanges();
    considerPull();
}

void control_path::send(const std::vector<addressed_gossip> &letters)
{
    for (const auto &letter : letters) {
        m_gossip.send(letter);
    }
}

void control_path::heard(const gossip_message &message)
{
    std::vector<addressed_gossip> letters;
    m_members.received(message, monotonicNow(), letters);
    send(letters);
    followChanges();
    const auto *sender = m_members.find(message.from);
    m_pull.recordVersion(message.from, sender && m_members.isInOwnDomain(*sender), message.version, m_log.version(), monotonicNow());
    considerPull();
}

/// Asks a member whose gossip shows another date for the time by its clock.
void control_path::askDate(const node_id &node)
{
    const millis now = monotonicNow();
    if (now - m_dateAskedAt < dateAskInterval) {
        return;
    }
    m_dateAskedAt = now;
    m_links->requestClock(node);
}

/// Tells the rest of the node what changed in the member table.
void control_path::followChanges()
{
    for (const auto &node : m_members.takeChangedNodes()) {
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

/// Fetches the patches that another node has and this one lacks.
void control_path::considerPull()
{
    if (!m_pull.isBehind(m_log.version())) {
        return;
    }
    if (const auto from = m_pull.nextSource(m_log.version(), m_members.liveInOwnDomain().empty(), monotonicNow())) {
        m_links->pullConfig(*from, m_log.version());
    }
}

void control_path::configPulled(const connection_id &from, std::uint64_t have)
{
    wire::ConfigPush push;
    const auto records = m_log.recordsAfter(have);
    if (records) {
        for (const auto &record : *records) {
            auto *added = push.add_versions();
            added->set_version(record.version);
            added->set_record(record.toJson().dump());
        }
    } else {
        push.set_snapshot(version_snapshot{m_log.version(), m_log.document()}.toJson().dump());
    }
    m_links->pushConfig(from, std::move(push));
}

void control_path::configPushed(const wire::ConfigPush &push)
{
    const auto before = m_log.version();
    if (!push.snapshot().empty()) {
        if (const auto snapshot = version_snapshot::fromJson(json::parse(push.snapshot(), nullptr, false))) {
            m_log.restore(*snapshot);
        }
    }
    for (const auto &version : push.versions()) {
        if (const auto record = version_record::fromJson(json::parse(version.record(), nullptr, false))) {
            m_log.append(*record);
        }
    }
    if (m_log.version() != before) {
        advanced();
    }
}

void control_path::membersPulled(const connection_id &from)
{
    wire::MemberPush push;
    for (const auto &entry : m_members.table()) {
        toWire(entry, *push.add_members());
    }
    m_links->pushMembers(from, std::move(push));
}

void control_path::membersPushed(const wire::MemberPush &push)
{
    std::vector<member> table;
    for (const auto &told : push.members()) {
        if (auto entry = fromWire(told)) {
            table.push_back(std::move(*entry));
        }
    }
    m_members.mergeTable(table, monotonicNow());
    followChanges();
}

/// The log has grown: the version is in force here, and others are told of it at once.
void control_path::advanced()
{
    m_settled = true;
    logEvent(log_level::info, "configuration_in_force", {{"version", m_log.version()}});
    std::vector<addressed_gossip> letters;
    m_members.setSelf(m_service, m_upstreamReady, m_log.version(), letters);
    m_members.announceVersion(letters);
    send(letters);
    m_handlers.onConfiguration();
}

void control_path::setSelf(const std::string &service, bool ready)
{
    if (service == m_service && ready == m_upstreamReady) {
        return;
    }
    m_service = service;
    m_upstreamReady = ready;
    std::vector<addressed_gossip> letters;
    m_members.setSelf(service, ready, m_log.version(), letters);
    send(letters);
    followChanges();
}

void control_path::leave()
{
    std::vector<addressed_gossip> letters;
    m_members.leave(letters);
    send(letters);
}

/// Finds out whether this node is one of the few of its failure domain that watch the store.
void control_path::chooseWatchers()
{
    if (!m_versions) {
        return;
    }
    const watcher_view view{m_members.self().node, m_members.liveInOwnDomain(), m_seedsPosted, m_members.liveCount() == 1, monotonicNow() - m_startedAt};
    const bool chosen = isWatcher(view);
    if (chosen != m_versions->watching()) {
        logEvent(log_level::info, "store_watch", {{"watching", chosen ? "true" : "false"}});
        m_versions->setWatching(chosen);
        m_board->setRegistered(chosen);
    }
}

/// Reads the seeds in the store: as long as nobody else is known, and after a start at pauses that double.
void control_path::readSeeds()
{
    const millis now = monotonicNow();
    const bool due = m_seedPause <= seedPauseMost && now >= m_seedsReadAt + m_seedPause;
    if (!m_board || (m_members.liveCount() > 1 && !due)) {
        return;
    }
    if (due) {
        m_seedsReadAt = now;
        m_seedPause = std::max(seedPauseLeast, m_seedPause * 2);
    }
    // What others posted seconds ago is enough for a node that knows somebody.
    readPostedSeeds(m_members.liveCount() > 1 ? read_freshness::allow_stale : read_freshness::current);
}

void control_path::readPostedSeeds(read_freshness freshness)
{
    m_board->read(freshness, [this](const std::vector<registered_seed> &posted) {
        auto seeds = settingsSeeds(m_settings);
        m_seedsPosted = 0;
        for (const auto &seed : posted) {
            seeds.push_back(seed.node);
            m_seedsPosted += seed.domain == m_settings.domain && seed.node != m_members.self().node ? 1 : 0;
        }
        m_members.setSeeds(std::move(seeds));
        chooseFirstWatchers();
    });
}

/// Decides who watches after a start. Nodes that start at once all find nobody posted: each waits a time of its own and looks again,
/// so that the first ones are seen by the others.
void control_path::chooseFirstWatchers()
{
    switch (m_firstChoice) {
    case first_choice::to_be_made:
        m_firstChoice = first_choice::waiting;
        m_firstChoiceTimer = m_loop.after(firstChoiceSpread * std::uniform_real_distribution<double>(0, 1)(m_random), [this] {
            m_firstChoice = first_choice::looking_again;
            readPostedSeeds(read_freshness::current);
        });
        break;
    case first_choice::waiting:
    case first_choice::made:
        break;
    case first_choice::looking_again:
        m_firstChoice = first_choice::made;
        chooseWatchers();
        m_watcherTimer = m_loop.every(watcherPeriod, [this] { chooseWatchers(); });
        break;
    }
}

void control_path::submit(version_record record, std::uint64_t base, version_source::submission_handler done)
{
    if (!m_versions) {
        done({submission_verdict::unavailable, m_log.version(), {}, "this node's settings name no platform"});
        return;
    }
    m_versions->submit(std::move(record), base, std::move(done));
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
