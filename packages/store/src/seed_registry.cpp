#include "turmericspar/store/seed_registry.h"

#include "turmericspar/base/document.h"
#include "turmericspar/base/log.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace turmericspar {

namespace {

constexpr millis leaseTtl{15'000};
/// A lease that expired while the store was unreachable must be replaced within two seconds after the store is reachable again.
constexpr millis renewalPeriod{1000};
/// Time in which a write whose answer is missing may still take effect.
constexpr millis lateWriteTime{10'000};
/// Time after the start of an epoch in which nodes learn by gossip of the latest version that any of them has in force.
constexpr millis settleTime{2000};
/// Key of a node's note of its version, behind the key of its address.
constexpr const char *settledSuffix = "/settled";

/// Key of a node's note of the run of its upstream that deregistered, behind the key of its address.
constexpr const char *departedSuffix = "/departed";
/// How long that note is kept: far longer than announcements are late.
constexpr millis departedTtl{120'000};
constexpr int hexadecimal = 16;
constexpr int decimal = 10;

/// @return the run that a note of a departure states: its id and instance in hexadecimal digits, and its start. None if it is malformed.
upstream_run departedRun(const std::string &text)
{
    upstream_run run;
    const auto *const last = text.data() + text.size();
    const auto read = [&](const char *from, std::uint64_t &number, int base) -> const char * {
        const auto [end, error] = std::from_chars(from, last, number, base);
        return error == std::errc{} ? end : nullptr;
    };
    const auto follows = [&](const char *position) { return position && position != last && *position == ' '; };
    const auto *end = read(text.data(), run.id, hexadecimal);
    if (end == last) {
        return run; // written by an earlier version, which stated the id alone
    }
    end = follows(end) ? read(end + 1, run.instance, hexadecimal) : nullptr;
    end = follows(end) ? read(end + 1, run.startedAt, decimal) : nullptr;
    return end == last ? run : upstream_run{};
}

/// @return the version that a note states for an epoch; nothing if it is malformed or of another epoch.
std::optional<std::uint64_t> settledVersion(const std::string &text, std::optional<std::uint64_t> epoch)
{
    const auto note = parseDocument(text);
    if (!epoch || !note.is_object() || note.value("epoch", nlohmann::json()) != *epoch || !note.contains("version") || !note["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    return note["version"].get<std::uint64_t>();
}

} // namespace

seed_registry::seed_registry(
    event_loop &loop, store &client, const std::string &prefix, const std::string &domain, std::string node, std::function<std::uint64_t()> confirmedVersion)
    : m_store(client)
    , m_prefix(prefix + "-seeds/")
    , m_key(m_prefix + domain + "/" + node)
    , m_node(std::move(node))
    , m_epochSince(monotonicNow())
    , m_confirmedVersion(std::move(confirmedVersion))
    , m_renewal(loop.every(renewalPeriod, [this] { renewRegistration(); }))
{
    m_store.onRestored([this] { handleRestore(); });
}

void seed_registry::setRegistered(bool registered)
{
    if (registered != m_registered) {
        m_registered = registered;
        renewRegistration();
    }
}

/// Renews the lease. A lease that has expired, for example while the process was paused, is replaced by a new one.
void seed_registry::renewRegistration()
{
    if (!m_registered || m_callPending) {
        return;
    }
    m_callPending = true;
    if (m_lease.empty()) {
        registerNode();
        return;
    }
    m_store.renewLease(m_lease, [this, attempt = m_attempt](const write_result &result) {
        if (attempt != m_attempt) {
            return;
        }
        m_callPending = false;
        if (result.outcome == write_outcome::not_applied) {
            logEvent(log_level::warning, "seed_lease_lapsed", {{"lease", m_lease}});
            registerAgain("lease lapsed");
        } else if (settledNoteDue()) {
            noteSettledVersion();
        } else if (!m_store.epoch() || monotonicNow() < m_verifyUntil) {
            verifyRegistration();
        }
    });
}

/// Abandons the call in progress and the lease, and registers anew.
void seed_registry::registerAgain(const char *reason)
{
    logEvent(log_level::warning, "seed_registration_lost", {{"lease", m_lease}, {"reason", reason}});
    ++m_attempt;
    m_callPending = false;
    m_lease.clear();
    m_verifyUntil = monotonicNow() + lateWriteTime;
    renewRegistration();
}

/// Registers anew if the lease is one of the history that was lost: its id may be given out again, to another node.
void seed_registry::handleRestore()
{
    m_epochSince = monotonicNow();
    if (!m_lease.empty() && m_leaseEpoch != m_store.epoch()) {
        registerAgain("store restored");
    }
}

/// Opens a lease and registers the address under it.
void seed_registry::registerNode()
{
    m_store.openLease(leaseTtl, [this, attempt = m_attempt](const result<std::string> &lease) {
        if (attempt != m_attempt) {
            return;
        }
        if (!lease) {
            m_callPending = false;
            logFailure(log_level::warning, "seed_lease_failed", lease.error());
            return;
        }
        m_lease = *lease;
        m_leaseEpoch = m_store.epoch();
        writeRegistration();
    });
}

void seed_registry::writeRegistration()
{
    m_store.putUnderLease(m_key, m_node, m_lease, [this, attempt = m_attempt](const write_result &result) {
        if (attempt != m_attempt) {
            return;
        }
        m_callPending = false;
        if (result.outcome == write_outcome::not_applied) {
            logFailure(log_level::info, "seed_registration_refused", result.error, {{"lease", m_lease}});
            m_lease.clear();
            if (result.error.code == errc::conflict) {
                removeRegistration([this] { m_callPending = false; });
            }
            return;
        }
        const bool confirmed = result.outcome == write_outcome::applied;
        logEvent(log_level::info, "seed_registered", {{"lease", m_lease}, {"confirmed", confirmed ? "true" : "false"}});
        if (!confirmed) {
            m_verifyUntil = monotonicNow() + lateWriteTime;
        }
    });
}

/// Removes this node's key, which belongs to another lease: one of the node's earlier ones, or one whose id was given out again to another node.
void seed_registry::removeRegistration(std::function<void()> done)
{
    m_callPending = true;
    m_store.remove(m_key, [this, attempt = m_attempt, done = std::move(done)](const write_result &result) {
        if (attempt != m_attempt) {
            return;
        }
        if (result.outcome != write_outcome::applied) {
            logFailure(log_level::warning, "seed_not_removed", result.error, {{"key", m_key}});
        }
        done();
    });
}

/// Reads the registration, and registers anew if it is missing or belongs to another lease.
void seed_registry::verifyRegistration()
{
    m_callPending = true;
    m_store.list(m_key, [this, attempt = m_attempt](const result<store_listing> &listing) {
        if (attempt != m_attempt) {
            return;
        }
        m_callPending = false;
        if (!listing) {
            logFailure(log_level::warning, "seed_registration_unread", listing.error());
            return;
        }
        const auto &entries = listing->entries;
        const auto own = std::find_if(entries.begin(), entries.end(), [&](const store_entry &entry) { return entry.key == m_key; });
        if (own == entries.end()) {
            registerAgain("not in the store");
        } else if (own->lease != m_lease) {
            removeRegistration([this] { registerAgain("belonged to another lease"); });
        }
    });
}

/// @return whether this node has yet to note its version under the current lease. Without an epoch a note would not show which history it belongs to.
bool seed_registry::settledNoteDue() const
{
    return m_store.epoch() && m_notedLease != m_lease && monotonicNow() - m_epochSince >= settleTime && m_confirmedVersion() > 0;
}

void seed_registry::noteSettledVersion()
{
    m_callPending = true;
    const nlohmann::json note{{"epoch", *m_store.epoch()}, {"version", m_confirmedVersion()}};
    m_store.putUnderLease(m_key + settledSuffix, note.dump(), m_lease, [this, attempt = m_attempt](const write_result &result) {
        if (attempt != m_attempt) {
            return;
        }
        m_callPending = false;
        if (result.outcome == write_outcome::applied) {
            m_notedLease = m_lease;
        } else {
            logFailure(log_level::info, "settled_version_not_noted", result.error, {{"lease", m_lease}});
        }
    });
}

void seed_registry::noteDeparture(const upstream_run &departed, std::function<void()> done)
{
    m_store.openLease(departedTtl, [this, departed, done = std::move(done)](const result<std::string> &lease) {
        if (!lease) {
            logFailure(log_level::warning, "departure_not_noted", lease.error());
            return;
        }
        m_store.putUnderLease(m_key + departedSuffix,
                              fmt::format("{:016x} {:016x} {}", departed.id, departed.instance, departed.startedAt),
                              *lease,
                              [done](const write_result &result) {
                                  if (result.outcome == write_outcome::applied) {
                                      done();
                                  } else {
                                      logFailure(log_level::warning, "departure_not_noted", result.error);
                                  }
                              });
    });
}

void seed_registry::read(read_freshness freshness, seeds_handler done)
{
    const auto handleListing = [this, done = std::move(done)](const result<store_listing> &listing) {
        done(listing ? parseListing(*listing) : seed_listing{});
    };
    m_store.list(m_prefix, handleListing, freshness);
}

seed_listing seed_registry::parseListing(const store_listing &listing) const
{
    seed_listing parsed;
    for (const auto &entry : listing.entries) {
        const auto relativeKey = entry.key.substr(std::min(m_prefix.size(), entry.key.size()));
        if (entry.key.ends_with(settledSuffix)) {
            parsed.settledVersion = std::max(parsed.settledVersion, settledVersion(entry.value, m_store.epoch()));
        } else if (entry.key.ends_with(departedSuffix)) {
            parsed.departed = entry.key == m_key + departedSuffix ? departedRun(entry.value) : parsed.departed;
        } else if (const auto address = endpoint::parse(entry.value); address && address->port != 0) {
            parsed.seeds.push_back({relativeKey.substr(0, relativeKey.find('/')), entry.value});
        }
    }
    return parsed;
}

} // namespace turmericspar
