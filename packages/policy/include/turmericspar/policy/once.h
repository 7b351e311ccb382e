/// @file once.h
/// At-most-once execution of requests with an idempotency key: the table of keys of a serving node, and inquiries about resent requests.
///
/// Any node may run a request that its caller declares to be the first attempt, without asking others. Any other request with a key may be a
/// resend: every node that may have run it is asked and blocks the key, and the request runs only if all of them answer that they never saw
/// the key and that their memory reaches back far enough to know. docs/design/at-most-once.md gives the reasons.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"
#include "turmericspar/policy/load_balancer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// Parameters of the at-most-once decisions.
struct once_tunables
{
    millis keyRetention{600'000}; ///< how long a key is remembered
    millis permitLifetime{3000}; ///< how long after an inquiry blocked a key it may run the request
    millis clockSkewMax{2000}; ///< maximum difference between the clocks of callers and nodes
    millis untimedKeyLatenessMax{60'000}; ///< maximum delay of a first attempt whose key contains no time
    millis inquiryTimeout{400}; ///< how long to wait for the answers to an inquiry
    std::size_t bytesMax = 8 * 1024 * 1024; ///< limit for the memory of keys and answers
};

/// @return the time at which a key was created, if it is a UUID of version 7 (RFC 9562).
std::optional<millis> keyTime(const std::string &key);

/// Identifies an inquiry uniquely in the deployment.
using inquiry_id = std::uint64_t;

/// The state of a key at a node, as it answers an inquiry.
enum class key_finding {
    clear, ///< never seen, and blocked from now on
    running,
    finished,
    contested, ///< blocked for another inquiry that may still run it
    no_memory, ///< the node's memory does not reach back to the creation of the key
};
inline constexpr name_table<key_finding, 5> keyFindingNames{{"clear", "running", "finished", "contested", "no-memory"}};

/// Whether a node may run a call with a key.
enum class key_admission {
    run,
    running, ///< it is running here
    finished, ///< it has run here
    blocked, ///< an inquiry has blocked it
    no_memory, ///< the node can't tell whether it ran before
};

/// The keys whose requests a node has run, or that it has blocked. Its memory is bounded: for a key that may have been evicted it answers no_memory.
class once_table
{
public:
    /// @param now the time from which on the table knows all keys
    once_table(const once_tunables &tuning, millis now);

    /// Decides whether a call may run; if so, the key becomes running.
    /// @param permit the inquiry that found the key clear, or 0 for a declared first attempt
    key_admission begin(const std::string &key, inquiry_id permit, const clock_reading &at);
    /// Marks a running call as finished.
    /// @param answer kept for repeated requests; empty if it is not to be kept
    void finish(const std::string &key, std::string answer, millis now);
    /// Reverts begin() for a call that provably did not run.
    void withdraw(const std::string &key);
    /// Answers an inquiry, and blocks the key unless it was seen.
    key_finding inquire(const std::string &key, inquiry_id inquiry, const clock_reading &at);
    /// @return the kept answer of a finished key; empty if there is none.
    const std::string &answer(const std::string &key) const;
    /// Removes all keys; required when the upstream of the node is replaced by another one.
    void clear(millis now);

    /// @return whether the memory reaches back to before the time of any key created now, by whatever clock within the allowed skew.
    bool remembersNewKeys(millis now) const { return now - m_memorySince >= m_tuning.clockSkewMax * 2; }

    std::size_t size() const { return m_entries.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    enum class state { running, finished, blocked };
    struct entry
    {
        state status = state::running;
        inquiry_id inquiry = 0; ///< that blocked it; 0 if no inquiry may run it
        millis blockedAt;
        millis addedAt;
        std::string answer;
    };

    bool remembers(const std::string &key, millis untimedMemory, const clock_reading &at) const;
    entry &add(const std::string &key, state status, inquiry_id inquiry, millis now);
    void evict(millis now);
    void remove(const std::string &key);

    once_tunables m_tuning;
    millis m_memorySince;
    std::unordered_map<std::string, entry> m_entries;
    std::multimap<millis, std::string> m_byAge;
    std::size_t m_bytes = 0;
};

/// The result of an inquiry.
enum class inquiry_verdict {
    waiting, ///< for more answers
    run, ///< no node has run the request, and none can except for this inquiry
    running,
    finished,
    in_doubt, ///< it may have run at a node that can't be reached or does not remember
};

/// One inquiry: the nodes that must be asked, and their answers.
class once_inquiry
{
public:
    /// @param nodes every node that may have run the request
    /// @param unreachable whether any such node is known to be unreachable
    once_inquiry(std::set<node_id> nodes, bool unreachable);

    /// @return nodes that were not asked yet; they count as asked from now on.
    std::vector<node_id> takeUnaskedNodes();
    /// @param others further nodes to be asked, which the answering node knows to have served the service
    void recordAnswer(const node_id &node, key_finding finding, const std::vector<node_id> &others);
    inquiry_verdict verdict() const;

private:
    std::set<node_id> m_nodes;
    std::set<node_id> m_asked;
    std::map<node_id, key_finding> m_answers;
    bool m_unreachable;
};

} // namespace turmericspar
