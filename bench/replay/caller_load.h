/// @file caller_load.h
/// The callers of a replay: requests at their times, whatever becomes of those before, and hard retries.
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
    std::size_t caller = 0; ///< its place in the trace's list
    millis at; ///< since the start of the load
    millis latency; ///< to the whole answer, or to the deadline
    bool inTime = false;
    bool wrong = false; ///< an answer that was not its own, or not whole
    bool allNotRun = true; ///< every try was answered with the outcome not-run
    int tries = 0;
    int lastStatus = 0;
    std::string lastReason;
};

/// Sends the requests of a trace to its nodes. It runs on the loop's thread.
class caller_load
{
public:
    caller_load(event_loop &loop, const trace &plan, const std::vector<node_addresses> &nodes);
    ~caller_load();

    /// Begins; ends when every request of the trace has come to its end.
    /// @param onEnd told then
    void start(std::function<void()> onEnd);

    const std::vector<request_record> &records() const { return m_records; }
    millis startedAt() const { return m_startedAt; }

private:
    struct request_state;
    using request_ptr = std::shared_ptr<request_state>;

    void dispatch();
    void endIfDone();
    void send(const request_ptr &request);
    void answered(const request_ptr &request, const http_outcome &outcome);
    void judge(const request_ptr &request, const http_outcome &outcome);
    void retryOrEnd(const request_ptr &request);
    void end(const request_ptr &request);
    std::string makeKey();
    std::size_t pickNode(const trace_caller &caller);
    std::unique_ptr<http_client> takeClient(std::size_t node);

    event_loop &m_loop;
    const trace &m_plan;
    const std::vector<node_addresses> &m_nodes;
    std::mt19937_64 m_random;
    std::vector<trace_arrival> m_arrivals; ///< all of them, drawn ahead: the same for every policy
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    std::vector<request_record> m_records;
    std::vector<std::vector<std::unique_ptr<http_client>>> m_idle;
    millis m_startedAt{0};
    std::function<void()> m_onEnd;
    event_watcher_ptr m_due; ///< for the next arrival
};

} // namespace turmericspar
