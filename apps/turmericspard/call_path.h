/// @file call_path.h
/// Processing of calls in a node: from the caller to the serving node, to its upstream, and back.
#pragma once

#include "call_metrics.h"
#include "call_records.h"
#include "decision_log.h"
#include "interface_profile.h"
#include "node_settings.h"
#include "once_guard.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/http_server.h"
#include "turmericspar/caller/call_fields.h"
#include "turmericspar/node/node_link.h"
#include "turmericspar/policy/admission_controller.h"
#include "turmericspar/policy/call_dispatcher.h"
#include "turmericspar/policy/child_call_tracker.h"
#include "turmericspar/policy/load_balancer.h"
#include "turmericspar/policy/parent_finder.h"
#include "turmericspar/policy/silence_detector.h"
#include "turmericspar/policy/stop_intake.h"
#include "turmericspar/policy/suspect_gate.h"
#include "turmericspar/policy/suspects.h"
#include "turmericspar/upstream/announcement.h"
#include "turmericspar/upstream/upstream_pool.h"
#include "turmericspar/upstream/upstream_statement.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace turmericspar {

/// Callbacks through which the call path uses the rest of the node.
struct call_path_callbacks
{
    std::function<const configuration &()> configurationInForce;
    std::function<std::uint64_t()> configurationVersion; ///< number of the configuration version in force
    std::function<bool()> configurationUsable; ///< whether this node may serve by the version in force
    std::function<void(const node_id &, wire::CallRequest, millis deadline)> sendRequest;
    std::function<void(const node_id &, const wire::CallCancel &)> sendCancel;
    std::function<void(const node_id &, const wire::CallWithdrawal &)> sendWithdrawal;
    std::function<void(const connection_id &, wire::CallReply &&)> sendReply;
    std::function<void(const std::vector<suspicion> &)> broadcastSuspicions; ///< to the nodes of the same service
    std::function<void()> onReadinessChanged; ///< the upstream stopped or resumed taking new work because of what it stated in an answer
    once_guard_transport once;
};

/// Snapshot of the state of the call path, for operators and metrics.
struct call_path_status
{
    std::size_t entryCalls = 0; ///< calls of this node's callers that are in progress
    std::size_t waiting = 0; ///< calls in the queue before the upstream
    std::size_t running = 0; ///< calls at the upstream
    int limit = 0; ///< concurrency limit of the upstream
    double shedLevel = 0; ///< importance below which new requests are refused
    std::optional<double> rateLimit; ///< requests a second that the upstream states that it takes; nothing if it states no limit
    bool leaving = false; ///< whether the upstream states that it is about to exit
    std::size_t connections = 0; ///< open connections to the upstream
    std::uint64_t retries = 0; ///< since the start
    std::uint64_t rateLimited = 0; ///< calls refused because of the upstream's rate limit, since the start
    std::uint64_t brokenAnswers = 0; ///< answers of the upstream that can't be read or exceed the limits, since the start
    std::uint64_t silentCalls = 0; ///< calls ended because their upstream connection went silent, since the start
    std::size_t suspects = 0; ///< requests that are suspected of crashing upstreams, or refused for it
    std::size_t held = 0; ///< calls that wait for such requests, or are calls of them
    bool draining = false;
};

/// @return a hash of the service, method, target and body of a request, which is the same for every copy of it.
request_digest digestOf(const std::string &service, const http_request &request);

/// @return whether a status reports a failure of the upstream (500 and above).
bool isServerError(std::uint32_t status);

/// Carries calls from callers to serving nodes (call_entry.cpp) and from nodes to this node's upstream (call_serving.cpp).
/// Owns the decision logic and the connections to the upstream. All methods run on the thread of the event loop.
class call_path
{
public:
    call_path(event_loop &loop,
              const node_settings &settings,
              const interface_profile &profile,
              node_id self,
              std::uint64_t incarnation,
              std::uint64_t seed,
              call_path_callbacks callbacks);
    ~call_path();

    load_balancer &routes() { return m_routes; }
    /// Adds a suspicion against a request that another node reported.
    void addRemoteSuspicion(const suspicion &reported);
    /// @return the suspicions that hold, for a node of a service that knows none of them: all for the service of this node's upstream, for another
    /// one the convictions by which its nodes have refused requests that entered here.
    std::vector<suspicion> activeSuspicions(const std::string &service) const;
    /// @return whether a request is refused because it crashes upstreams.
    bool isConvicted(request_digest digest) const { return m_suspects.level(digest, monotonicNow()) == suspicion_level::convicted; }
    /// @return all suspicions that this node knows, of its own service and of others.
    std::vector<suspicion> suspicions() const { return m_suspects.active(monotonicNow()); }
    /// Ends a conviction here and at the other nodes.
    /// @return whether the request was convicted
    bool liftConviction(request_digest digest);
    /// @return when a conviction no longer holds.
    millis expiryOf(const suspicion &conviction) const { return m_suspects.expiry(conviction); }
    once_guard &onceGuard() { return m_once; }
    const once_guard &onceGuard() const { return m_once; }
    call_metrics &metrics() { return m_metrics; }
    const call_records &records() const { return m_records; }

    // From callers
    void accept(const http_exchange_ptr &exchange);

    // From other nodes
    /// @param current whether the request is meant for the present run of this node and arrived in time
    void onRequest(const connection_id &from, wire::CallRequest &request, bool current);
    void onCancel(const connection_id &from, const wire::CallCancel &cancel);
    /// Refuses a call that has not been started, at the request of the node where it entered.
    void onWithdrawal(const connection_id &from, const wire::CallWithdrawal &withdrawal);
    /// Cancels the calls whose origin can no longer be answered because its link is closed.
    void onOriginDisconnected(const connection_id &from);
    void onReply(const node_id &from, wire::CallReply &reply);
    /// Handles a request that could not be sent to its serving node.
    void onRequestUnsent(std::uint64_t call, std::uint32_t attempt);
    /// Handles the loss of a serving node: its replies can no longer arrive.
    void onNodeLost(const node_id &node);
    /// Sets whether the link to a node shows no signs of life; routing then avoids the node as long as there are others.
    void setNodeUnresponsive(const node_id &node, bool unresponsive) { m_routes.setUnresponsive(node, unresponsive); }

    // From the upstream
    void onAnnouncement(const announcement &received);
    void onUpstreamGone();

    /// Applies a new configuration or a new number of ready upstreams.
    void reconfigure();
    /// Starts or ends draining of the upstream at the request of an operator.
    void setOperatorDrain(bool draining);
    /// Stops giving new work to the upstream; requests of callers are still sent to other nodes as long as the schedule allows.
    void beginShutdown(const stop_schedule &schedule);
    /// Takes back the calls that wait for their start at any node and that the end of this process could leave without an answer.
    void withdrawWaitingCalls();
    /// Answers every call that is still in progress, since this process ends: whether it has run is unknown.
    /// @return the number of these calls
    std::size_t answerRemainingCalls();
    /// @return whether the upstream runs calls, for which it may make calls of its own.
    bool upstreamBusy() const { return !m_upstreamCalls.empty(); }
    /// @return whether no call is in progress.
    bool idle() const { return m_entryCalls.empty() && m_upstreamCalls.empty(); }

    /// @return the service of the upstream; empty if none is announced.
    const std::string &service() const { return m_service; }
    /// @return whether an upstream is announced and takes new work.
    bool ready() const;
    call_path_status status() const;

private:
    static constexpr millis never = stop_schedule::never;

    /// A call that a caller sent to this node.
    struct entry_call
    {
        http_exchange_ptr exchange;
        std::string service;
        std::string klass;
        int rank = 0;
        call_id parent = 0; ///< the call running at the upstream for which this one is made; 0 if none is named
        bool requiredByParent = false; ///< whether the parent fails if this call fails
        call_id inferredParent = 0; ///< the call for which it is probably made, where requests name no parent
        call_context context;
        millis arrivedAt;
        std::string sentTo; ///< the nodes to which it was sent, separated by spaces
        std::unique_ptr<wire::CallReply> reply; ///< of the last attempt
        event_watcher_ptr recheckTimer; ///< for a resend whose first attempt still runs
    };

    /// Where the reply to an upstream call goes.
    struct call_origin
    {
        bool local = false; ///< whether the call entered at this node
        bool abandoned = false; ///< nobody waits for the reply any more
        connection_id from = 0;
        call_id call = 0;
        std::uint32_t attempt = 0;
    };

    /// A call for the upstream of this node, from its arrival until it has run or is refused.
    struct upstream_call
    {
        call_origin origin;
        call_context context;
        http_request request;
        request_digest digest = 0;
        millis arrivedAt;
        millis startedAt; ///< 0 before it is started
        upstream_run upstreamRun; ///< run of the upstream at which it was started
    };

    /// Whether the end of a call is recorded for its idempotency key.
    enum class key_update { none, record };

    bool assignContext(entry_call &call, call_id id, const call_description &description, millis now);
    void assignRootContext(entry_call &call, const call_description &description, millis now);
    void checkKey(call_id id);
    void submit(call_id id);
    void onKeyChecked(call_id id, const key_check_result &result);
    bool admitKey(call_id id, const upstream_call &call);
    void recordKeyOutcome(const upstream_call &call, const wire::CallReply &reply);
    void beginEntry(const http_exchange_ptr &exchange, const call_description &description);
    bool isKnownService(const std::string &service) const;
    void refuseImmediately(const http_exchange_ptr &exchange, const call_description &description, refusal_reason reason, const std::string &detail);
    void offer(call_id id);
    request_standing standingOf(request_digest digest) const;
    void releaseWaitingCalls();
    void recordEvidence(const upstream_call &call, const http_outcome &outcome, const wire::CallReply &reply);
    void investigateCrash();
    void concludeCrash(bool upstreamLives);
    void tellSuspicions();
    void execute(const std::vector<dispatch_action> &actions);
    void execute(const std::vector<admission_action> &actions);
    void forward(const dispatch_action &action);
    void finish(const dispatch_action &action);
    void cancelChildren(const std::vector<call_id> &children);
    http_response refusalResponse(refusal_reason reason, call_outcome outcome, const std::string &detail, millis retryIn = {0});
    void addOutcomeFields(http_response &response, call_outcome outcome);
    void serve(call_origin origin, call_context context, http_request request, const std::string &callerService);
    void start(call_id id);
    void onUpstreamOutcome(call_id id, http_outcome outcome);
    void countBrokenAnswer(call_id id, const std::error_code &error);
    void readStatements(call_id id, const http_response &response);
    void applyReportedCondition(const upstream_condition &reported);
    void logRateLimit(std::optional<double> previous, std::string_view source) const;
    void setLeaving(std::string_view source);
    void recordCondition(const node_id &from, const wire::CallReply &reply);
    void recordConviction(const node_id &from, const std::string &service, const wire::CallReply &reply);
    void endUpstreamCall(call_id id, wire::CallReply reply, key_update keyUpdate);
    void refuseUpstreamCall(call_id id, refusal_reason reason, millis roomIn = {0});
    void cancelUpstreamCall(call_id id, refusal_reason reason);
    void refuseWaitingCall(call_id id, refusal_reason reason);
    void refuseWaitingSuspects(refusal_reason reason);
    void handleSilentConnections();
    void resizeConnectionPool();
    void replyToOrigin(const call_origin &origin, wire::CallReply &&reply);
    void recordEntryCall(const entry_call &call, call_outcome outcome, refusal_reason reason);
    void recordUpstreamCall(const upstream_call &call, const wire::CallReply &reply);
    void addLoadReport(const std::string &klass, wire::CallReply &reply);
    void tick();
    void scheduleTickBy(millis at);
    void scheduleTickForDeadline();
    void scheduleTick();
    call_id parentFromToken(const std::string &token) const;
    std::string contextToken(call_id id) const;
    void applyDrain();
    int targetConnections() const;
    int connectionsMax() const;
    bool provesNotRun(const http_response &response) const;
    bool mayReuseConnection(const http_response &response) const;
    bool isComplete(const http_response &response) const;
    http_request outgoingRequest(const entry_call &call) const;

    event_loop &m_loop;
    const node_settings &m_settings;
    const interface_profile &m_profile;
    node_id m_self;
    std::uint64_t m_incarnation;
    call_path_callbacks m_callbacks;
    std::mt19937_64 m_random;
    load_balancer m_routes;
    call_dispatcher m_entry;
    admission_controller m_serving;
    child_call_tracker m_childCalls;
    parent_finder m_parents;
    call_metrics m_metrics;
    call_records m_records;
    decision_log m_decisions;
    once_guard m_once;
    upstream_pool m_pool;
    silence_detector m_silence;
    suspects m_suspects;
    std::unique_ptr<http_client> m_probe; ///< connects to the upstream to see whether it lives; null while no crash is under investigation
    std::unordered_map<request_digest, std::string> m_refusedElsewhere; ///< service of each request that nodes of another service refused as convicted
    suspect_gate m_suspectGate; ///< calls of requests that are not known to complete
    call_id m_nextCallId = 1;
    std::uint64_t m_silentCallCount = 0;
    std::uint64_t m_brokenAnswerCount = 0;
    std::uint64_t m_rateLimitedCount = 0;
    std::unordered_map<call_id, entry_call> m_entryCalls;
    std::unordered_map<call_id, upstream_call> m_upstreamCalls;
    std::map<std::pair<connection_id, call_id>, call_id> m_upstreamCallsByOrigin;
    std::map<std::string, reported_levels> m_dependencyLevels; ///< by class: shed levels reported by the services that this node's upstream calls
    std::string m_service;
    announcement m_announcement; ///< the last one of the upstream
    upstream_run m_upstreamRun; ///< the present run of the upstream; none if its announcements do not tell
    bool m_upstreamLeaving = false; ///< whether the present run has stated in an answer that it is about to exit
    bool m_operatorDrain = false;
    bool m_shuttingDown = false;
    stop_schedule m_stop;
    int m_targetConnections = -1;
    event_watcher_ptr m_tick;
    millis m_tickAt = never; ///< when the tick is due
};

} // namespace turmericspar
