/// @file upstream_pool.h
/// The pool of connections to this node's upstream: opened in advance, reused, and replaced when they break.
#pragma once

#include "turmericspar/base/http_client.h"
#include "turmericspar/policy/call.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// Limits of the connection pool.
struct upstream_pool_options
{
    millis connectTimeout{1000};
    millis idleMax{4000}; ///< maximum idle time of a reusable connection if the upstream states no keep-alive timeout
    millis idleMargin{1000}; ///< an idle connection is not reused this long before the upstream's keep-alive timeout
    int openingMax = 16; ///< connections opened in advance that may be connecting at the same time
    http_limits limits{64 * 1024, 24 * 1024 * 1024, nullptr}; ///< a response must fit into one message between nodes, of 32 MB
    std::function<bool(const http_response &)> mayReuse = [](const http_response &) { return true; }; ///< whether a connection is used again after a response
    std::size_t bufferedBytesMax = 48 * 1024 * 1024; ///< total size of the responses being read: a third of the memory of a 160 MB host
};

/// Runs calls on one upstream.
class upstream_pool
{
public:
    using done_handler = std::function<void(call_id, http_outcome)>;

    upstream_pool(event_loop &loop, upstream_pool_options options, done_handler onDone);

    /// Sets the upstream's address and the number of connections to keep open.
    /// @param wanted connections to open in advance
    /// @param max connections that the upstream accepts
    void configure(const endpoint &address, int wanted, int max);
    /// Closes idle and opening connections; each busy connection is closed when its call ends.
    void closeIdle();

    /// Sends a call; the done handler is invoked exactly once unless the call is cancelled.
    /// @param echo the correlation that the response must carry
    void run(call_id id, const http_request &request, millis timeout, http_correlation echo);
    /// Replaces the idle connections last active before the given time: the fault that broke one connection may have broken them all.
    void replaceIdle(millis activeBefore);
    /// Closes the call's connection, which signals the cancellation to the upstream.
    void cancel(call_id id);

    std::size_t openCount() const { return m_idle.size() + m_busy.size(); }

private:
    using client_ptr = std::unique_ptr<http_client>;

    struct idle_client
    {
        client_ptr client;
        millis lastActive;
    };

    void openInAdvance();
    bool isFresh(const idle_client &idle, millis now) const;
    client_ptr takeOpen(const std::string &correlationValue);
    client_ptr makeClient();
    void onConnected(http_client *opened);
    void onFinished(call_id id, http_outcome outcome);

    event_loop &m_loop;
    upstream_pool_options m_options;
    done_handler m_onDone;
    byte_budget m_responseBudget; ///< declared before the connections because it must outlive them
    endpoint m_address;
    int m_wanted = 0;
    int m_max = 0;
    std::vector<idle_client> m_idle;
    std::unordered_map<http_client *, client_ptr> m_opening;
    std::unordered_map<call_id, client_ptr> m_busy;
    event_watcher_ptr m_maintenanceTimer;
};

} // namespace turmericspar
