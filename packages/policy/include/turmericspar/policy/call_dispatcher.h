/// @file call_dispatcher.h
/// Policy of the node that receives a call from its caller: choice of the upstream, retries and deadlines.
#pragma once

#include "turmericspar/policy/admission_controller.h"
#include "turmericspar/policy/call.h"
#include "turmericspar/policy/load_balancer.h"
#include "turmericspar/policy/shed_level.h"
#include "turmericspar/policy/token_bucket.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericspar {

/// An action to take on a call.
struct dispatch_action
{
    enum class action_type {
        forward, ///< send it to a serving node
        cancel, ///< cancel it at the serving node
        finish, ///< answer the caller
        withdraw, ///< take it back from the serving node unless it has been started
    };
    action_type type = action_type::forward;
    call_id id = 0;
    int attempt = 0;
    node_id node; ///< for forward, cancel and withdraw
    int retries = 0; ///< for forward: granted to the call and all calls below it
    call_outcome outcome = call_outcome::not_run; ///< for finish
    refusal_reason reason = refusal_reason::none; ///< for finish
    int retriesUsed = 0; ///< for finish
    bool finalFailure = false; ///< for finish: callers must not retry
    bool useAnswer = false; ///< for finish: pass the answer of the last attempt to the caller
    millis retryIn{0}; ///< for finish: the time after which the service may have room for the call; 0 if that is not known
};

/// Result of one attempt at a serving node.
struct attempt_result
{
    call_outcome outcome = call_outcome::unknown;
    refusal_reason reason = refusal_reason::none;
    bool serverError = false; ///< whether the answer is a server error
    bool finalFailure = false; ///< whether a call below failed for good, so that it must not be retried
    int retriesUsed = 0;
    double level = 0; ///< shed level for the call's service and class
    int limit = 0; ///< concurrency limit of the upstream
    int pending = 0; ///< calls running or queued there
    millis roomIn{0}; ///< if the rate limit of the upstream left no room: the time after which there may be; else 0
    node_id tryAt; ///< the only node of the service that runs this request at present; empty if any does
};

/// Dispatches the calls that this node receives from callers. It does no I/O and reads no clock.
class call_dispatcher
{
public:
    call_dispatcher(const tunables &tuning, policy_mode mode, load_balancer &routes);

    /// Handles a new call.
    void submit(call_id id, const std::string &service, const call_context &context, millis now, std::vector<dispatch_action> &actions);
    /// Handles the result of an attempt.
    void replied(call_id id, int attempt, const attempt_result &result, millis now, std::vector<dispatch_action> &actions);
    /// Handles the loss of a serving node: its pending attempts will not be answered.
    void nodeLost(const node_id &node, millis now, std::vector<dispatch_action> &actions);
    /// Cancels a call whose caller has disconnected.
    void abandon(call_id id, millis now, std::vector<dispatch_action> &actions);
    /// Takes back calls from their serving nodes unless they have been started. None of them is sent to another node.
    /// @param which selects the calls
    void withdraw(const std::function<bool(const call_context &)> &which, std::vector<dispatch_action> &actions);
    /// Finishes the calls whose deadline has passed.
    void tick(millis now, std::vector<dispatch_action> &actions);

    /// @return the earliest deadline, when `tick` is to be called; nothing if no call is in progress.
    std::optional<millis> nextDeadline() const;

    /// @return the average of the shed levels reported by a service for a class; lowered when reports stop.
    double reportedLevel(const std::string &service, const std::string &klass, millis now);
    std::size_t size() const { return m_calls.size(); }
    std::uint64_t retriesSpent() const { return m_retriesSpent; }

private:
    struct pending_call
    {
        std::string service;
        call_context context;
        int attempt = 0;
        int reroutes = 0;
        int retriesUsed = 0;
        int retriesGranted = 0; ///< to the present attempt
        bool mayHaveRun = false; ///< whether an earlier attempt may have run
        bool withdrawn = false; ///< whether no further attempt is made
        bool redirected = false; ///< whether it was sent to the node that another one named
        node_id node;
        millis sentAt;
        millis retryIn{0}; ///< see dispatch_action
        std::vector<node_id> tried;
    };

    void forward(call_id id, pending_call &call, millis now, std::vector<dispatch_action> &actions);
    void sendTo(const node_id &node, call_id id, pending_call &call, millis now, std::vector<dispatch_action> &actions);
    void finish(call_id id, call_outcome outcome, refusal_reason reason, bool useAnswer, bool finalFailure, std::vector<dispatch_action> &actions);
    void cancelAttempt(call_id id, const pending_call &call, millis now, std::vector<dispatch_action> &actions);
    static bool mayRedirect(const pending_call &call, const attempt_result &result);
    bool mayReroute(const pending_call &call, const attempt_result &result, millis now);
    bool mayRetry(pending_call &call, const attempt_result &result, millis now);
    std::string levelKey(const std::string &service, const std::string &klass) const;

    const tunables &m_tuning;
    policy_mode m_mode;
    load_balancer &m_routes;
    reported_levels m_levels;
    std::unordered_map<call_id, pending_call> m_calls;
    std::set<std::pair<millis, call_id>> m_deadlines;
    std::map<std::string, token_bucket> m_retryBudgets;
    std::uint64_t m_retriesSpent = 0;
};

} // namespace turmericspar
