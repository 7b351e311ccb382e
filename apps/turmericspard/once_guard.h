/// @file once_guard.h
/// Keeps at-most-once requests from running twice: this node's table of idempotency keys, and its inquiries to other nodes.
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

/// Callbacks that send messages to other nodes.
struct once_guard_transport
{
    std::function<void(const node_id &, const wire::OnceAsk &)> sendAsk;
    std::function<void(const connection_id &, wire::OnceAnswer &&)> sendAnswer;
};

/// Result of the check of a key, for the call that has the key.
struct key_check_result
{
    inquiry_verdict verdict = inquiry_verdict::in_doubt;
    inquiry_id permit = 0; ///< for verdict run: the inquiry that permits it
    std::string answer; ///< for a finished key: the serialized CallReply, if it was kept
};

/// Checks keys for calls of this node's callers, and answers inquiries about the keys that ran at this node.
class once_guard
{
public:
    using check_handler = std::function<void(const key_check_result &)>;

    once_guard(event_loop &loop, node_id self, std::uint64_t seed, once_guard_transport peers);

    // For calls of this node's callers
    /// Finds out whether the request with a key may run, by asking every node that may have run it.
    void check(const std::string &service, const std::string &key, check_handler handler);

    // For calls that this node serves
    key_admission begin(const std::string &key, inquiry_id permit) { return m_table.begin(key, permit, readClocks()); }
    void finish(const std::string &key, std::string answer);
    void withdraw(const std::string &key) { m_table.withdraw(key); }
    const std::string &answer(const std::string &key) const { return m_table.answer(key); }
    /// Discards all keys, because the upstream now serves another service.
    void clear() { m_table.clear(monotonicNow()); }

    // From other nodes
    void onAsk(const connection_id &from, const wire::OnceAsk &ask);
    void onAnswer(const node_id &from, const wire::OnceAnswer &answer);

    /// Updates from the member table which nodes serve, or have served, a service.
    void onMemberChanged(const member &entry);

    /// @return whether the table reaches back far enough for keys made now, by any clock within the allowed skew, so that their requests may run here.
    bool coversNewKeys() const { return m_table.remembersNewKeys(monotonicNow()); }
    std::size_t keyCount() const { return m_table.size(); }
    std::size_t tableBytes() const { return m_table.bytes(); }

private:
    /// A node that serves a service, or has served it within the lifetime of a key.
    struct serving_node
    {
        member_state state = member_state::alive;
        millis changedAt; ///< when the state was entered
    };
    struct pending_inquiry
    {
        std::string service;
        std::string key;
        once_inquiry inquiry;
        check_handler handler;
        std::string answer;
        event_watcher_ptr timer;
    };

    void askRemaining(inquiry_id id);
    void addAnswer(inquiry_id id, const node_id &from, key_finding finding, const std::vector<node_id> &others, const std::string &answer);
    void conclude(inquiry_id id, bool timedOut);
    std::vector<node_id> knownNodes(const std::string &service) const;

    const once_tunables m_tuning;
    event_loop &m_loop;
    node_id m_self;
    once_guard_transport m_transport;
    once_table m_table;
    std::mt19937_64 m_random;
    std::map<std::string, std::map<node_id, serving_node>> m_servingNodes; ///< by service
    std::map<node_id, std::string> m_serviceOf; ///< the last service that each node announced
    std::map<inquiry_id, std::unique_ptr<pending_inquiry>> m_pendingInquiries;
};

} // namespace turmericspar
