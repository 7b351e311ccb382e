/// @file upstream_standin.h
/// A stand-in for an upstream: slots, a queue of its own, service times, and calls that it makes through its node.
#pragma once

#include "turmericspar/base/http_client.h"
#include "turmericspar/base/http_server.h"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericspar {

/// How service times vary around their mean.
enum class time_spread { constant, uniform, exponential };

/// Calls that an upstream makes for each call that it runs.
struct outgoing_call
{
    std::string service;
    int times = 1;
};

/// What an upstream is like.
struct upstream_shape
{
    std::string service;
    int slots = 1;
    int connections = 1;
    int announcedSlots = 0; ///< 0 announces the true number
    millis serviceTime{10};
    time_spread spread = time_spread::uniform;
    millis coldStart{0}; ///< after a start, service times are longer for so long
    double coldFactor = 4;
    bool parallel = false; ///< whether it makes its calls side by side
    std::vector<outgoing_call> calls;
};

/// One run of a call, as the upstream saw it.
struct run_record
{
    std::string root;
    std::string service;
    millis at;
    millis busy; ///< time in a slot
    bool finished = false; ///< false if it was cut off or cancelled
    bool once = false;
    std::string key;
};

/// One upstream. It runs on the loop's thread.
class upstream_standin
{
public:
    upstream_standin(event_loop &loop, upstream_shape shape, endpoint nodeAnnounce, endpoint nodeCallers, std::uint64_t seed);
    ~upstream_standin();

    /// Sets what stands in front of the upstream: it is given the upstream's address and returns the one to announce.
    void setFront(std::function<endpoint(const endpoint &)> front) { m_front = std::move(front); }
    /// Opens the socket and announces itself.
    result<endpoint> start();
    /// Lets the cold start begin now.
    void beginCold() { m_startedAt = monotonicNow(); }
    /// Multiplies service times from now on.
    void setSlowness(double factor) { m_slowness = factor; }
    /// Answers every call at once with an error, as a broken upstream does.
    void setFailing(bool failing) { m_failing = failing; }
    void setDraining(bool draining);
    /// States in answers how many requests a second it takes, without acting on it; 0 states no limit.
    void setStatedLimit(double perSecond) { m_statedLimit = perSecond; }
    /// States in answers that it is about to exit, while its announcements go on as before.
    void setLeaving(bool leaving) { m_leaving = leaving; }
    /// Dies now: cuts every connection and stays away.
    /// @param downtime how long until it is back, cold
    void crash(millis downtime);

    std::vector<run_record> &records() { return m_records; }
    /// @return how often a request that crashes upstreams came.
    int poisoned() const { return m_poisoned; }
    const endpoint &address() const { return m_address; }
    std::size_t running() const { return m_running; }

private:
    struct job;
    using job_ptr = std::shared_ptr<job>;

    void announce();
    void accept(const http_exchange_ptr &exchange);
    void startNext();
    void begin(const job_ptr &work);
    void makeCalls(const job_ptr &work);
    void makeCall(const job_ptr &work, const std::string &service);
    void callEnded(const job_ptr &work, const http_outcome &outcome);
    void finish(const job_ptr &work, int status);
    void giveUp(const job_ptr &work);
    void leaveSlot(job_ptr work, bool finished);
    millis drawTime();
    std::unique_ptr<http_client> takeClient();

    event_loop &m_loop;
    upstream_shape m_shape;
    endpoint m_nodeAnnounce;
    endpoint m_nodeCallers;
    std::mt19937_64 m_random;
    endpoint m_address{"127.0.0.1", 0};
    endpoint m_announced;
    std::function<endpoint(const endpoint &)> m_front;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_client> m_announcer;
    std::vector<std::unique_ptr<http_client>> m_clients;
    std::deque<job_ptr> m_queue;
    std::size_t m_running = 0;
    double m_slowness = 1;
    int m_poisoned = 0;
    bool m_failing = false;
    bool m_draining = false;
    bool m_leaving = false;
    double m_statedLimit = 0;
    bool m_up = false;
    millis m_startedAt{0};
    millis m_bornAt{0}; ///< start of this run by the wall clock
    std::vector<run_record> m_records;
    event_watcher_ptr m_announceTimer;
    event_watcher_ptr m_restart;
    std::list<job_ptr> m_jobs;
};

/// @return the checksum that an upstream puts into its answer, and the caller verifies.
std::string answerChecksum(const std::string &root, const std::string &service);

} // namespace turmericspar
