/// @file call_path.h
/// The way of a call through a node: from the caller to the serving node, to the upstream, and back.
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
#include "turmericspar/policy/suspects.h"
#include "turmericspar/upstream/announcement.h"
#include "turmericspar/upstream/upstream_pool.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>

namespace turmericspar {

/// What the path of a call needs from the rest of the node.
struct call_path_peers
{
    std::function<const configuration &()> declared; ///< the configuration in force
    std::function<std::uint64_t()> version; ///< its number
    std::function<void(const node_id &, wire::CallRequest, millis deadline)> sendRequest;
    std::function<void(const node_id &, const wire::CallCancel &)> sendCancel;
    std::function<void(const connection_id &, wire::CallReply &&)> sendReply;
    std::function<void(const std::vector<suspicion> &)> tellSuspicions;
    once_guard_peers once;
};

/// A glance at the path, for operators.
struct call_path_status
{
    std::size_t entering = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    int limit = 0;
    double level = 0;
    std::size_t connections = 0;
    std::uint64_t retries = 0;
    std::uint64_t silent = 0;
    std::size_t suspects = 0; ///< requests that are suspected or refused for crashes
    bool draining = false;
};

/// @return a hash of what a request asks for, the same for every copy of it.
request_digest digestOf(const http_request &request);

/// @return whether a status is one by which an upstream says that it failed.
bool isServerError(std::uint32_t status);

/// Carries calls. Its two halves are in call_entry.cpp and call_serving.cpp. It owns the decisions and the connections to the upstream, and runs on the loop's
/// thread.
class call_path
{
public:
    call_path(event_loop &loop,
              const node_settings &settings,
              const interface_profile &profile,
              node_id self,
              std::uint64_t incarnation,
              std::uint64_t seed,
              call_path_peers peers);
    ~call_path();

    load_balancer &routes() { return m_routes; }
    /// Takes in what other nodes hold against requests.
    void suspectedElsewhere(const suspicion &told) { m_suspects.merge(told); }
    once_guard &onceKeys() { return m_once; }
    const once_guard &onceKeys() const { return m_once; }
    call_metrics &metrics() { return m_metrics; }
    const call_records &records() const { return m_records; }

    // From callers
    void accept(const http_exchange_ptr &exchange);

    // From other nodes
    void requested(const connection_id &from, wire::CallRequest &request, bool current);
    void cancelled(const connection_id &from, const wire::CallCancel &cancel);
    /// Gives up the calls whose origin can't be answered any more.
    void originGone(const connection_id &from);
    void replied(const node_id &from, wire::CallReply &reply);
    void unsent(std::uint64_t call, std::uint32_t attempt);
    void lost(const node_id &node);
    void doubted(const node_id &node, bool doubtful) { m_routes.setUnresponsive(node, doubtful); }

    // From the upstream
    void announced(const announcement &said);
    void upstreamGone();

    /// Takes up a new configuration or a new number of upstreams.
    void reconfigure();
    /// Lets the upstream drain by an operator's word, or ends that.
    void setDrainOrdered(bool ordered);
    /// Gives the upstream no new work from now on; callers' requests still go to others.
    void beginShutdown();
    /// @return whether no call is in progress.
    bool idle() const { return m_entering.empty() && m_served.empty(); }

    /// @return the service of the upstream; empty if none is announced.
    const std::string &service() const { return m_service; }
    /// @return whether the upstream takes new work.
    bool ready() const;
    call_path_status status() const;

private:
    static constexpr millis never{std::numeric_limits<double>::max()};

    /// A call that entered here.
    struct entering_call
    {
        http_exchange_ptr exchange;
        std::string service;
        std::string klass;
        int rank = 0;
        call_id parent = 0; ///< the call running at the upstream for which this one is made
        bool needed = false; ///< whether that call fails without this one
        call_id kin = 0; ///< the call for which it probably is made, where requests name none
        call_context context;
        millis since;
        std::string sentTo; ///< the nodes to which it was sent, with spaces between
        std::unique_ptr<wire::CallReply> answer;
        event_watcher_ptr recheck; ///< for a resend whose first attempt still runs
    };

    /// Where the answer of a served call goes.
    struct served_origin
    {
        bool local = false;
        bool abandoned = false; ///< nobody waits for the answer any more
        connection_id from = 0;
        call_id call = 0;
        std::uint32_t attempt = 0;
    };

    /// A call offered to the upstream of this node.
    struct served_call
    {
        served_origin origin;
        call_context context;
        http_request request;
        request_digest digest = 0;
        millis since;
        millis startedAt;
    };

    /// Whether the end of a call is the end of a run of its key.
    enum class key_note { none, ended };

    bool placeCall(entering_call &call, call_id id, const call_description &description, millis now);
    void placeRoot(entering_call &call, const call_description &description, millis now);
    void judge(call_id id);
    void submit(call_id id);
    void ruled(call_id id, const once_ruling &ruling);
    bool mayBegin(call_id id, const served_call &call);
    void noteKey(const served_call &call, const wire::CallReply &reply);
    void enter(const http_exchange_ptr &exchange, const call_description &description);
    bool knowsService(const std::string &service) const;
    void refuseAtOnce(const http_exchange_ptr &exchange, const call_description &description, refusal_reason reason, const std::string &detail);
    void offer(call_id id);
    void offerNextSuspect();
    void act(const std::vector<dispatch_action> &actions);
    void act(const std::vector<admission_action> &actions);
    void forward(const dispatch_action &action);
    void finish(const dispatch_action &action);
    void giveUp(const std::vector<call_id> &children);
    http_response refusalResponse(refusal_reason reason, call_outcome outcome, const std::string &detail);
    void stamp(http_response &response, call_outcome outcome);
    void serve(served_origin origin, call_context context, http_request request, const std::string &callerService);
    void start(call_id id);
    void ran(call_id id, http_outcome outcome);
    void endServed(call_id id, wire::CallReply reply, key_note note);
    void refuseServed(call_id id, refusal_reason reason);
    void cancelServed(call_id id, refusal_reason reason);
    void replaceSilent();
    void openConnections();
    void answerOrigin(const served_origin &origin, wire::CallReply &&reply);
    void noteEntered(const entering_call &call, call_outcome outcome, refusal_reason reason);
    void noteServed(const served_call &call, const wire::CallReply &reply);
    void tellState(const std::string &klass, wire::CallReply &reply);
    void tick();
    void wakeBy(millis at);
    void wakeForDeadline();
    void scheduleTick();
    call_id parentOf(const std::string &token) const;
    std::string contextToken(call_id id) const;
    void applyDrain();
    int wantedConnections() const;
    int connectionsMost() const;
    bool provesNotRun(const http_response &response) const;
    bool isWhole(const http_response &response) const;
    http_request outgoingRequest(const entering_call &call) const;

    event_loop &m_loop;
    const node_settings &m_settings;
    const interface_profile &m_profile;
    node_id m_self;
    std::uint64_t m_incarnation;
    call_path_peers m_peers;
    std::mt19937_64 m_random;
    load_balancer m_routes;
    call_dispatcher m_entry;
    admission_controller m_serving;
    child_call_tracker m_ledger;
    parent_finder m_parents;
    call_metrics m_metrics;
    call_records m_records;
    decision_log m_decisions;
    once_guard m_once;
    upstream_pool m_pool;
    silence_detector m_silence;
    suspects m_suspects;
    std::deque<call_id> m_suspectsWaiting;
    call_id m_suspectOffered = 0; ///< the one suspect that waits for or runs at the upstream; 0 if there is none
    call_id m_nextCall = 1;
    std::uint64_t m_silentCalls = 0;
    std::unordered_map<call_id, entering_call> m_entering;
    std::unordered_map<call_id, served_call> m_served;
    std::map<std::pair<connection_id, call_id>, call_id> m_servedByOrigin;
    std::map<std::string, reported_levels> m_levelsBelow; ///< by class
    std::string m_service;
    announcement m_said;
    bool m_drainOrdered = false;
    bool m_shuttingDown = false;
    int m_connectionsWanted = -1;
    event_watcher_ptr m_tick;
    millis m_tickAt = never; ///< when the tick is due
};

} // namespace turmericspar
