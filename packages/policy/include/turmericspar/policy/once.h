/// @file once.h
/// Requests that may run at most once: what each serving node remembers of their keys, and how a resend is judged.
///
/// A caller that declares its first attempt has it run by any node, without agreement. Any other request with a key may
/// be a resend: every node that may have run it is asked and bars the key, and only if all of them answer that they never
/// saw it, and that they remember far enough back to know, is it run. docs/design/at-most-once.md gives the reasons.
#pragma once

#include "turmericspar/base/clock.h"
#include "turmericspar/base/names.h"
#include "turmericspar/policy/routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// Numbers of the at-most-once decisions.
struct once_tunables
{
    millis keyLife{600'000}; ///< how long a key is remembered
    millis permitLife{3000}; ///< how long after its bar an inquiry may run the key
    millis clockSkew{2000}; ///< most by which the clocks of callers and nodes differ
    millis opaqueLateness{60'000}; ///< most by which a first attempt with a key without a time may be late
    millis askTimeout{400}; ///< for the answers to an inquiry
    std::size_t bytesMax = 8 * 1024 * 1024; ///< of remembered keys and answers
};

/// @return the time at which a key was made, if it is a UUID of version 7 (RFC 9562).
std::optional<millis> keyTime(const std::string &key);

/// Names one inquiry in the whole deployment.
using inquiry_id = std::uint64_t;

/// What a node knows of a key.
enum class key_finding {
    clear, ///< never seen, and barred from now on
    running,
    finished,
    contested, ///< barred for another inquiry that may still run it
    no_memory, ///< the node's memory does not reach back to the key
};
inline constexpr name_table<key_finding, 5> keyFindingNames{{"clear", "running", "finished", "contested", "no-memory"}};

/// Whether a call with a key may begin at a node.
enum class key_admission {
    run,
    running, ///< it runs here already
    finished, ///< it has run here
    barred, ///< an inquiry has barred it
    no_memory, ///< the node can't know whether it ran before
};

/// The keys that one node has run or barred. Its memory is bounded; what it forgets, it says it does not know.
class once_table
{
public:
    /// @param now the start of the node's memory
    once_table(const once_tunables &tuning, millis now);

    /// Decides whether a call may begin, and notes that it does.
    /// @param permit the inquiry that found the key clear, or 0 for a declared first attempt
    key_admission begin(const std::string &key, inquiry_id permit, const clock_reading &at);
    /// Notes the answer of a call that ran.
    /// @param answer the answer to be repeated; empty if it is not to be kept
    void finish(const std::string &key, std::string answer, millis now);
    /// Takes back a begin, of a call that was proven not to run.
    void withdraw(const std::string &key);
    /// Answers an inquiry, and bars the key unless it was seen.
    key_finding inquire(const std::string &key, inquiry_id inquiry, const clock_reading &at);
    /// @return the kept answer of a finished key; empty if there is none.
    const std::string &answer(const std::string &key) const;
    /// Forgets everything, as a node must when its upstream becomes another.
    void clear(millis now);

    /// @return whether the memory reaches back to before any key that is made now.
    bool remembersFresh(millis now) const { return now - m_memorySince >= m_tuning.clockSkew * 2; }

    std::size_t size() const { return m_entries.size(); }
    std::size_t bytes() const { return m_bytes; }

private:
    enum class state { running, finished, barred };
    struct entry
    {
        state what = state::running;
        inquiry_id inquiry = 0; ///< that barred it; 0 if no inquiry may run it
        millis barredAt;
        millis addedAt;
        std::string answer;
    };

    bool remembers(const std::string &key, millis opaqueMemory, const clock_reading &at) const;
    entry &add(const std::string &key, state what, inquiry_id inquiry, millis now);
    void evict(millis now);
    void forget(const std::string &key);

    once_tunables m_tuning;
    millis m_memorySince;
    std::unordered_map<std::string, entry> m_entries;
    std::multimap<millis, std::string> m_byAge;
    std::size_t m_bytes = 0;
};

/// What an inquiry came to.
enum class inquiry_verdict {
    waiting, ///< for more answers
    run, ///< no node has run it, none will but for this inquiry
    running,
    finished,
    in_doubt, ///< it may have run where nobody can be asked
};

/// One inquiry: the nodes asked, and their answers.
class once_inquiry
{
public:
    /// @param nodes every node that may have run the key
    /// @param unreachable whether some such node is known to be out of reach
    once_inquiry(std::set<node_id> nodes, bool unreachable);

    /// @return nodes that were not asked yet.
    std::vector<node_id> takeToAsk();
    /// Takes in an answer.
    /// @param others nodes that the answering node knows to have served the service
    void answered(const node_id &node, key_finding finding, const std::vector<node_id> &others);
    inquiry_verdict verdict() const;

private:
    std::set<node_id> m_nodes;
    std::set<node_id> m_asked;
    std::map<node_id, key_finding> m_answers;
    bool m_unreachable;
};

} // namespace turmericspar
