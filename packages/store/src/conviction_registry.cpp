#include "turmericspar/store/conviction_registry.h"

#include "turmericspar/base/document.h"
#include "turmericspar/base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace turmericspar {

namespace {

/// Interval between two tries to write or to read.
constexpr millis retryInterval{1000};
/// A node that was told of a conviction leaves this time to the one that raised it, and the nodes of a service spread their looks over as much again.
constexpr millis lookDelay{1000};
/// Longest life of a lease that the store grants.
constexpr millis leaseMax{600'000};
constexpr millis leaseMin{1000};
/// A note of a longer conviction is written again after this share of its lease.
constexpr double leaseRenewalShare = 0.8;
/// Longest life that a note may state.
constexpr millis lifeMax{86'400'000};
/// Most notes that are kept, and most that are taken from a reading.
constexpr std::size_t notesMax = 1000;

std::string textOf(const noted_conviction &conviction)
{
    const millis age = monotonicNow() - conviction.entry.at;
    const millis life = conviction.expiresAt - conviction.entry.at;
    const auto whole = [](millis time) { return static_cast<std::int64_t>(time.count); };
    return nlohmann::json{
        {"service", conviction.service}, {"at_ms", whole(wallNow() - age)}, {"life_ms", whole(life)}, {"convictions", conviction.entry.convictions}}
        .dump();
}

/// @return the conviction that a note states; nothing if it is malformed.
std::optional<noted_conviction> convictionOf(request_digest digest, const std::string &text)
{
    const auto note = parseDocument(text);
    const auto isNumber = [&](const char *key) { return note.contains(key) && note[key].is_number_integer(); };
    if (!note.is_object() || !note.contains("service") || !note["service"].is_string() || !isNumber("at_ms") || !isNumber("life_ms")
        || !isNumber("convictions")) {
        return std::nullopt;
    }
    const auto numberOf = [&](const char *key) { return static_cast<double>(note[key].get<std::int64_t>()); };
    const millis life{std::clamp(numberOf("life_ms"), 0.0, lifeMax.count)};
    // The note ends with its lease. One that seems older, or younger than now, was written by a host whose time of day differs.
    const millis age = wallNow() - millis{numberOf("at_ms")};
    const millis at = monotonicNow() - (age.count < 0 || age > life ? millis{0} : age);
    const int convictions = static_cast<int>(std::clamp(numberOf("convictions"), 1.0, static_cast<double>(suspicion::convictionsMax)));
    return noted_conviction{{digest, suspicion_level::convicted, at, convictions}, note["service"].get<std::string>(), at + life};
}

} // namespace

conviction_registry::conviction_registry(event_loop &loop, store &client, const std::string &prefix, std::uint64_t seed)
    : m_loop(loop), m_store(client), m_prefix(prefix + "-convictions/"), m_random(seed)
{
    m_store.onRestored([this] { handleRestore(); });
}

std::string conviction_registry::keyOf(request_digest digest) const
{
    return m_prefix + fmt::format("{:016x}", digest);
}

/// @return when a note that is in the store is due again: before its lease ends, if the conviction lasts longer, else not any more.
millis conviction_registry::nextDue(const noted_conviction &conviction)
{
    const millis now = monotonicNow();
    return conviction.expiresAt > now + leaseMax ? now + leaseMax * leaseRenewalShare : conviction.expiresAt;
}

void conviction_registry::keep(const noted_conviction &conviction, conviction_source source)
{
    const auto found = m_notes.find(conviction.entry.digest);
    const bool known = found != m_notes.end() && !found->second.withdrawn && found->second.conviction.expiresAt >= conviction.expiresAt;
    if (known || conviction.expiresAt <= monotonicNow() || (found == m_notes.end() && m_notes.size() >= notesMax)) {
        return;
    }
    auto &note = m_notes[conviction.entry.digest];
    note = {conviction, monotonicNow(), source != conviction_source::raised};
    if (source == conviction_source::told) {
        note.dueAt += spreadDelay();
    } else if (source == conviction_source::read) {
        note.dueAt = nextDue(conviction);
    }
    work();
}

/// @return after which time this node acts on what another node told, which that node does at once.
millis conviction_registry::spreadDelay()
{
    return lookDelay + lookDelay * std::uniform_real_distribution<double>(0, 1)(m_random);
}

void conviction_registry::withdraw(request_digest digest, conviction_source source)
{
    const auto found = m_notes.find(digest);
    if (found == m_notes.end() && m_notes.size() >= notesMax) {
        return;
    }
    const millis now = monotonicNow();
    kept_note note;
    note.conviction.entry.digest = digest;
    note.conviction.expiresAt = now + leaseMax;
    note.dueAt = source == conviction_source::raised ? now : now + spreadDelay();
    note.withdrawn = true;
    m_notes[digest] = note;
    work();
}

/// Looks for all notes again: what was written since the copy that the store went back to is lost.
void conviction_registry::handleRestore()
{
    for (auto &[digest, note] : m_notes) {
        note.lookFirst = true;
        note.dueAt = monotonicNow() + lookDelay * std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    schedule();
}

void conviction_registry::schedule()
{
    std::optional<millis> dueAt;
    for (const auto &[digest, note] : m_notes) {
        dueAt = std::min(dueAt.value_or(note.dueAt), note.dueAt);
    }
    if (dueAt) {
        m_timer = m_loop.after(std::max(*dueAt - monotonicNow(), millis{1}), [this] { work(); });
    }
}

/// Handles the next note that is due.
void conviction_registry::work()
{
    if (m_callPending) {
        return;
    }
    const millis now = monotonicNow();
    std::erase_if(m_notes, [&](const auto &item) { return item.second.conviction.expiresAt <= now; });
    const auto due = std::find_if(m_notes.begin(), m_notes.end(), [&](const auto &item) { return item.second.dueAt <= now; });
    if (due == m_notes.end()) {
        schedule();
        return;
    }
    m_callPending = true;
    if (due->second.withdrawn) {
        removeNote(due->first);
    } else if (due->second.lookFirst) {
        look(due->first);
    } else {
        write(due->first);
    }
}

void conviction_registry::look(request_digest digest)
{
    const auto key = keyOf(digest);
    m_store.list(key, [this, digest, key](const result<store_listing> &listing) {
        if (!listing) {
            logFailure(log_level::warning, "conviction_unread", listing.error(), {{"digest", digest}});
            finish(digest, false);
            return;
        }
        const auto found = m_notes.find(digest);
        const auto &entries = listing->entries;
        const auto standing = std::find_if(entries.begin(), entries.end(), [&](const store_entry &entry) { return entry.key == key; });
        if (standing == entries.end() || found == m_notes.end()) {
            write(digest);
            return;
        }
        // A note of an earlier conviction ends too soon.
        const auto noted = convictionOf(digest, standing->value);
        if (noted && noted->entry.convictions >= found->second.conviction.entry.convictions) {
            finish(digest, true);
        } else {
            replaceNote(digest);
        }
    });
}

void conviction_registry::replaceNote(request_digest digest)
{
    m_store.remove(keyOf(digest), [this, digest](const write_result &result) {
        if (result.outcome == write_outcome::applied) {
            write(digest);
        } else {
            logFailure(log_level::warning, "conviction_not_noted", result.error, {{"digest", digest}});
            finish(digest, false);
        }
    });
}

/// Removes the note of a conviction that does not hold.
void conviction_registry::removeNote(request_digest digest)
{
    m_store.remove(keyOf(digest), [this, digest](const write_result &result) {
        const auto found = m_notes.find(digest);
        const bool removed = result.outcome == write_outcome::applied;
        if (removed) {
            logEvent(log_level::info, "conviction_note_removed", {{"digest", digest}});
        } else {
            logFailure(log_level::warning, "conviction_note_not_removed", result.error, {{"digest", digest}});
        }
        if (removed && found != m_notes.end() && found->second.withdrawn) {
            m_notes.erase(found);
        }
        finish(digest, false);
    });
}

/// Opens a lease that lasts as long as the conviction holds, and writes the note under it.
void conviction_registry::write(request_digest digest)
{
    const auto found = m_notes.find(digest);
    if (found == m_notes.end()) {
        finish(digest, false);
        return;
    }
    const millis life = std::clamp(found->second.conviction.expiresAt - monotonicNow(), leaseMin, leaseMax);
    m_store.openLease(life, [this, digest](const result<std::string> &lease) {
        if (lease) {
            writeUnderLease(digest, *lease);
        } else {
            logFailure(log_level::warning, "conviction_not_noted", lease.error(), {{"digest", digest}});
            finish(digest, false);
        }
    });
}

void conviction_registry::writeUnderLease(request_digest digest, const std::string &lease)
{
    const auto found = m_notes.find(digest);
    if (found == m_notes.end()) {
        finish(digest, false);
        return;
    }
    m_store.putUnderLease(keyOf(digest), textOf(found->second.conviction), lease, [this, digest](const write_result &result) {
        if (result.error.code == errc::conflict) {
            // The key stands under the lease of another node.
            look(digest);
            return;
        }
        const bool noted = result.outcome == write_outcome::applied;
        if (noted) {
            logEvent(log_level::info, "conviction_noted", {{"digest", digest}});
        } else {
            logFailure(log_level::warning, "conviction_not_noted", result.error, {{"digest", digest}});
        }
        finish(digest, noted);
    });
}

void conviction_registry::finish(request_digest digest, bool done)
{
    m_callPending = false;
    const auto found = m_notes.find(digest);
    if (found != m_notes.end() && !(found->second.withdrawn && done)) {
        found->second.dueAt = done ? nextDue(found->second.conviction) : monotonicNow() + retryInterval;
    }
    work();
}

void conviction_registry::read(read_handler onRead)
{
    m_store.list(m_prefix, [this, onRead = std::move(onRead)](const result<store_listing> &listing) {
        if (listing) {
            handleListing(*listing, onRead);
            return;
        }
        logFailure(log_level::warning, "convictions_unread", listing.error());
        m_readTimer = m_loop.after(retryInterval, [this, onRead] { read(onRead); });
    });
}

void conviction_registry::handleListing(const store_listing &listing, const read_handler &onRead) const
{
    std::size_t taken = 0;
    for (const auto &entry : listing.entries) {
        const auto digest = parseDigest(std::string_view(entry.key).substr(std::min(m_prefix.size(), entry.key.size())));
        const auto conviction = digest ? convictionOf(*digest, entry.value) : std::nullopt;
        if (conviction && taken < notesMax) {
            ++taken;
            onRead(*conviction);
        } else if (!conviction) {
            logEvent(log_level::warning, "conviction_note_malformed", {{"key", entry.key.substr(0, 200)}});
        }
    }
}

} // namespace turmericspar
