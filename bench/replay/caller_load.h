/// @file caller_load.h
/// The callers of a replay: an open-loop load with aggressive retries.
#pragma once

#include "fleet.h"
#include "trace.h"
#include "turmericspar/base/http_client.h"

#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// What a caller saw of one whole request.
struct request_record
{
    std::string root;
    std::string key; ///< for requests that may run at most once
    std::size_t caller = 0; ///< index in the list of callers of the trace
    millis at; ///< since the start of the load
    millis latency; ///< until the complete answer, or the deadline
    bool inTime = false;
    bool wrong = false; ///< an answer to another request, or a truncated one
    bool allNotRun = true; ///< every try was answered with the outcome not-run
    int tries = 0;
    int lastStatus = 0;
    std::string lastReason;
};

/// Sends the requests of a trace to its nodes. Runs on the thread of the event loop.
class caller_load
{
public:
    caller_load(event_loop &loop, const trace &plan, const std::vector<node_addresses> &nodes);
    ~caller_load();

    /// Starts the load; it ends when every request of the trace has ended.
    /// @param onEnd called at the end
    void start(std::function<void()> onEnd);

    const std::vector<request_record> &records() const { return m_records; }
    millis startedAt() const { return m_startedAt; }

private:
    struct request_state;
    using request_ptr = std::shared_ptr<request_state>;

    void dispatch();
    void endIfDone();
    void send(const request_ptr &request);
    void onAnswer(const request_ptr &request, const http_outcome &outcome);
    void evaluateAnswer(const request_ptr &request, const http_outcome &outcome);
    void retryOrEnd(const request_ptr &request);
    void end(const request_ptr &request);
    std::string makeIdempotencyKey();
    std::size_t pickNode(const trace_caller &caller);
    std::unique_ptr<http_client> takeClient(std::size_t node);

    event_loop &m_loop;
    const trace &m_plan;
    const std::vector<node_addresses> &m_nodes;
    std::mt19937_64 m_random;
    std::vector<trace_arrival> m_arrivals; ///< drawn in advance, so that they are the same for every policy
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    std::vector<request_record> m_records;
    std::vector<std::vector<std::unique_ptr<http_client>>> m_idle;
    millis m_startedAt{0};
    std::function<void()> m_onEnd;
    event_watcher_ptr m_due; ///< for the next arrival
};

} // namespace turmericspar
