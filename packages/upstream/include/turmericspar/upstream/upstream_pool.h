/// @file upstream_pool.h
/// The connections to the upstream of this node: opened ahead, reused, replaced when they break.
#pragma once

#include "turmericspar/base/http_client.h"
#include "turmericspar/policy/call.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// Bounds on the connections.
struct upstream_pool_options
{
    millis connectTimeout{1000};
    millis idleMost{4000}; ///< after it, an idle connection is not used again where the upstream did not say how long it keeps one
    millis idleMargin{1000}; ///< so long before the upstream would close an idle connection it is not used again
    int openAtOnce = 16; ///< connections that may be opening at the same time ahead of need
    http_limits limits{64 * 1024, 24 * 1024 * 1024, nullptr}; ///< an answer has to fit into one message between nodes, of 32 MB
    std::size_t heldMost = 48 * 1024 * 1024; ///< bytes of answers that are being read, together: a third of a host of 160 MB
};

/// Runs calls at one upstream.
class upstream_pool
{
public:
    using done_handler = std::function<void(call_id, http_outcome)>;

    upstream_pool(event_loop &loop, upstream_pool_options options, done_handler onDone);

    /// Sets where the upstream is and how many connections to keep open.
    /// @param wanted connections to be opened ahead
    /// @param most connections that the upstream accepts
    void configure(const endpoint &address, int wanted, int most);
    /// Closes the connections that carry no call; the others are closed after their call.
    void release();

    /// Sends a call; the pool answers exactly once, unless the call is cancelled.
    /// @param echo what the answer must carry
    void run(call_id id, const http_request &request, millis timeout, http_correlation echo);
    /// Replaces the idle connections on which nothing was heard since a time: what lost one of them may have lost them all.
    void renewIdle(millis heardBefore);
    /// Ends a call's connection, which is how an upstream learns of a cancellation.
    void cancel(call_id id);

    std::size_t openCount() const { return m_idle.size() + m_busy.size(); }

private:
    using client_ptr = std::unique_ptr<http_client>;

    struct idle_client
    {
        client_ptr client;
        millis heardAt;
    };

    void openAhead();
    bool isFresh(const idle_client &idle, millis now) const;
    client_ptr takeOpen();
    client_ptr makeClient();
    void settle(http_client *opened);
    void finished(call_id id, http_outcome outcome);

    event_loop &m_loop;
    upstream_pool_options m_options;
    done_handler m_onDone;
    byte_budget m_held; ///< outlives the connections below
    endpoint m_address;
    int m_wanted = 0;
    int m_most = 0;
    std::vector<idle_client> m_idle;
    std::unordered_map<http_client *, client_ptr> m_opening;
    std::unordered_map<call_id, client_ptr> m_busy;
    event_watcher_ptr m_retry;
};

} // namespace turmericspar
