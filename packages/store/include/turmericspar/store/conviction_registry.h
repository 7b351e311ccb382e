/// @file conviction_registry.h
/// Notes in the platform's store about requests that are proven to crash upstreams, so that they stay refused when all nodes of a service end at once.
#pragma once

#include "turmericspar/policy/suspects.h"
#include "turmericspar/store/store.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace turmericspar {

/// A conviction as it is noted in the store.
struct noted_conviction
{
    suspicion entry;
    std::string service; ///< whose upstreams the request crashed
    millis expiresAt; ///< when it no longer holds, by this node's monotonic clock
};

/// How a node learned of a conviction.
enum class conviction_source {
    raised, ///< it has just found it out, so that no note exists yet
    told, ///< from another node, which may have ended before it noted it
    read, ///< from the store
};

/// Keeps a note for each conviction until it expires: one that is not written is written again, and so is one that a restored store has lost.
class conviction_registry
{
public:
    using read_handler = std::function<void(const noted_conviction &)>;

    /// @param prefix common prefix of the deployment's keys
    conviction_registry(event_loop &loop, store &client, const std::string &prefix, std::uint64_t seed);

    /// Keeps a note for a conviction.
    void keep(const noted_conviction &conviction, conviction_source source);
    /// Ends a conviction before its time: its note is removed, and not written again.
    /// @param source raised: this node found out that the conviction does not hold; told: another node did, and removes the note as well
    void withdraw(request_digest digest, conviction_source source);
    /// Reads all notes, again and again until the store answers.
    /// @param onRead called for each note that can be read
    void read(read_handler onRead);

private:
    /// A note that is kept.
    struct kept_note
    {
        noted_conviction conviction;
        millis dueAt; ///< when it is written, or looked for
        bool lookFirst = false; ///< whether another node may have written it
        bool withdrawn = false; ///< whether the note is to be removed instead
    };

    static millis nextDue(const noted_conviction &conviction);
    std::string keyOf(request_digest digest) const;
    void handleRestore();
    void schedule();
    void work();
    void look(request_digest digest);
    void write(request_digest digest);
    void removeNote(request_digest digest);
    void replaceNote(request_digest digest);
    millis spreadDelay();
    void writeUnderLease(request_digest digest, const std::string &lease);
    void finish(request_digest digest, bool done);
    void handleListing(const store_listing &listing, const read_handler &onRead) const;

    event_loop &m_loop;
    store &m_store;
    std::string m_prefix;
    std::mt19937_64 m_random;
    std::map<request_digest, kept_note> m_notes;
    bool m_callPending = false;
    event_watcher_ptr m_timer;
    event_watcher_ptr m_readTimer;
};

} // namespace turmericspar
