/// @file once_guard.h
/// The node's part in keeping requests that may run at most once from running twice: its own table, and its inquiries.
#pragma once

#include "turmericspar/base/event_loop.h"
#include "turmericspar/node/node_link.h"
#include "turmericspar/policy/membership.h"
#include "turmericspar/policy/once.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace turmericspar {

/// How the guard speaks to other nodes.
struct once_guard_peers
{
    std::function<void(const node_id &, const wire::OnceAsk &)> ask;
    std::function<void(const connection_id &, wire::OnceAnswer &&)> answer;
};

/// What an inquiry came to, for the call that asked.
struct once_ruling
{
    inquiry_verdict verdict = inquiry_verdict::in_doubt;
    inquiry_id permit = 0; ///< for a run
    std::string answer; ///< for a finished key: the encoded CallReply, if it was kept
};

/// Judges keys for calls that enter here, and answers for the keys that ran here.
class once_guard
{
public:
    using ruling_handler = std::function<void(const once_ruling &)>;

    once_guard(event_loop &loop, node_id self, std::uint64_t seed, once_guard_peers peers);

    // For calls that enter here
    /// Finds out whether a key may be run, by asking every node that may have run it.
    void judge(const std::string &service, const std::string &key, ruling_handler done);

    // For calls that this node serves
    key_admission begin(const std::string &key, inquiry_id permit) { return m_table.begin(key, permit, readClocks()); }
    void finish(const std::string &key, std::string answer);
    void withdraw(const std::string &key) { m_table.withdraw(key); }
    const std::string &answer(const std::string &key) const { return m_table.answer(key); }
    /// Forgets all keys: the upstream serves another service now.
    void forgetAll() { m_table.clear(monotonicNow()); }

    // From other nodes
    void asked(const connection_id &from, const wire::OnceAsk &ask);
    void answered(const node_id &from, const wire::OnceAnswer &answer);

    /// Follows the member table: who serves a service, or did.
    void sawMember(const member &entry);

    /// @return whether a request made now, by any clock within the allowed skew, may run here.
    bool remembersFreshKeys() const { return m_table.remembersNewKeys(monotonicNow()); }
    std::size_t keyCount() const { return m_table.size(); }
    std::size_t tableBytes() const { return m_table.bytes(); }

private:
    /// A node that serves a service, or has served it within the life of a key.
    struct served_by
    {
        member_state state = member_state::alive;
        millis changedAt; ///< of the state
    };
    struct open_inquiry
    {
        std::string service;
        std::string key;
        once_inquiry inquiry;
        ruling_handler done;
        std::string answer;
        event_watcher_ptr timer;
    };

    void askMore(inquiry_id id);
    void takeAnswer(inquiry_id id, const node_id &from, key_finding finding, const std::vector<node_id> &others, const std::string &answer);
    void settle(inquiry_id id, bool timeIsUp);
    std::vector<node_id> knownNodes(const std::string &service) const;

    const once_tunables m_tuning;
    event_loop &m_loop;
    node_id m_self;
    once_guard_peers m_peers;
    once_table m_table;
    std::mt19937_64 m_random;
    std::map<std::string, std::map<node_id, served_by>> m_servedBy; ///< by service
    std::map<node_id, std::string> m_serviceOf; ///< the last service that each node named
    std::map<inquiry_id, std::unique_ptr<open_inquiry>> m_inquiries;
};

} // namespace turmericspar
