/// @file admission_controller.h
/// Admission control in front of an upstream: decides which calls run, wait or are refused.
#pragma once

#include "turmericspar/policy/call_queue.h"
#include "turmericspar/policy/class_window.h"
#include "turmericspar/policy/configuration.h"
#include "turmericspar/policy/limiter.h"
#include "turmericspar/policy/request_pacer.h"
#include "turmericspar/policy/shed_level.h"
#include "turmericspar/policy/token_bucket.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// Which policies are active.
enum class policy_mode {
    full,
    none, ///< pass-through: limited only by the upstream's connections, no load shedding, retries at every hop
};
inline constexpr name_table<policy_mode, 2> policyModeNames{{"full", "none"}};

/// An action to take on a call.
struct admission_action
{
    enum class action_type {
        start, ///< send it to the upstream
        refuse, ///< report that it was not run
        cancel, ///< cancel it at the upstream
    };
    action_type type = action_type::start;
    call_id id = 0;
    refusal_reason reason = refusal_reason::none;
    millis roomIn{0}; ///< for a refusal because of the upstream's rate limit: the time after which such a call may find room; else 0
};

/// Result of a call that was started.
struct run_report
{
    millis selfTime; ///< time at the upstream, excluding the time for which it waited for calls it made
    bool answered = false; ///< whether a complete answer was received
    bool shed = false; ///< whether the upstream refused it for overload
    bool dependencyFailed = false; ///< whether it failed because a call that it made failed
};

/// A call submitted for admission.
struct offered_call
{
    call_id id = 0;
    call_context context;
};

/// Admission control for one upstream. It does no I/O and reads no clock: the owner passes in calls, results and times, and executes the
/// actions it returns.
class admission_controller
{
public:
    admission_controller(const tunables &tuning, policy_mode mode);

    /// Applies an announcement of the upstream.
    void announce(int slots, int connections, bool cold);
    /// Stops or resumes starting calls; when it stops, queued calls are refused.
    void setDraining(bool draining, millis now, std::vector<admission_action> &actions);
    /// Applies the rate limits of the classes.
    /// @param share this upstream's share of a limit: 1 / number of upstreams of the service
    void configure(const configuration &declared, double share);

    /// Forgets what the upstream has stated, because another run of it has begun.
    void upstreamRestarted() { m_pacer.reset(); }
    /// Applies what an answer of the upstream states about the rate of requests that it takes.
    /// @param perSecond requests a second; nothing if the answer states no limit
    /// @param id the answered call, which has not ended yet
    void rateStated(std::optional<double> perSecond, call_id id, millis now);
    /// Applies a rate limit of the upstream that another node reports.
    void rateReported(double perSecond, millis now) { m_pacer.reported(perSecond, now); }

    /// Decides on a new call. May set `excess` in its priority.
    /// @param dependencyLevel the highest shed level of the services that this upstream calls for the call's class
    void offer(offered_call &call, double dependencyLevel, millis now, std::vector<admission_action> &actions);
    /// Records that a started call has ended.
    void ended(call_id id, const run_report &report, millis now, std::vector<admission_action> &actions);
    /// Refuses a call if it is queued; requests its cancellation if it is running.
    void cancel(call_id id, refusal_reason reason, millis now, std::vector<admission_action> &actions);
    /// Refuses queued calls that can no longer meet their deadline and starts queued calls as the limit allows. To be called frequently
    /// while `needsTick` returns true.
    void tick(millis now, std::vector<admission_action> &actions);
    /// @return whether the state changes by the passage of time: calls are queued, or the shed level is above 0.
    bool needsTick() const { return !m_queue.empty() || m_level.level() > 0; }

    /// @return the shed level: the importance below which new requests are refused.
    double level() const { return m_level.level(); }
    int limit() const;
    /// @return the requests a second that the upstream takes; nothing if it states no limit.
    std::optional<double> rateLimit() const { return m_pacer.limit(); }
    /// @return how many requests of a class may run at once; 0 if their number is not limited.
    double window(const std::string &klass) const;
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t running() const { return m_running.size(); }
    bool draining() const { return m_draining; }
    bool announced() const { return m_connections > 0; }
    /// @param klass class of the request that the calls belong to
    /// @param admitted whether that request was already admitted at an earlier hop
    /// @return the average time of such calls at the upstream, including calls that they make; 0 if unknown.
    millis averageTime(const std::string &klass, bool admitted) const;

private:
    void startWaiting(millis now, std::vector<admission_action> &actions);
    void start(const waiting_call &call, millis now, std::vector<admission_action> &actions);
    void enqueue(waiting_call call, millis now, std::vector<admission_action> &actions);
    void refuseExpired(call_id id, millis now, std::vector<admission_action> &actions);
    void refuseForRoom(call_id id, millis now, std::vector<admission_action> &actions);
    std::size_t queueCapacity(bool admitted, millis now);
    millis timeToRoom(millis now);
    bool mayStart(millis now);
    bool takeFromClassLimit(const std::string &klass, millis now);
    void refuse(call_id id, refusal_reason reason, std::vector<admission_action> &actions);

    const tunables &m_tuning;
    policy_mode m_mode;
    limiter m_limiter;
    request_pacer m_pacer;
    shed_level m_level;
    call_queue m_queue;
    struct running_call
    {
        millis startedAt;
        std::string klass; ///< class of the request it belongs to
        bool admitted; ///< whether that request was already admitted at an earlier hop
    };

    class_window &classWindow(const std::string &klass) { return m_windows.try_emplace(klass, m_tuning).first->second; }

    std::unordered_map<call_id, running_call> m_running;
    std::map<std::string, class_window> m_windows;
    std::map<std::string, token_bucket> m_classLimits;
    std::map<std::pair<std::string, bool>, millis> m_averageTimes; ///< by class and by whether the request was already admitted
    int m_connections = 0;
    bool m_draining = false;
};

} // namespace turmericspar
