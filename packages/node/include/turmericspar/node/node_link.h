/// @file node_link.h
/// The links between nodes: calls, their answers, and the exchange of tables, as length-prefixed messages over TCP.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/listener.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/routing.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct ssl_st;

namespace turmericspar {

namespace wire {
class CallCancel;
class CallReply;
class CallRequest;
class ConfigPush;
class LinkMessage;
class MemberPush;
class OnceAnswer;
class OnceAsk;
class SuspicionPush;
} // namespace wire

/// Names the accepted connection that a message came on, to answer it. 0 is none.
using link_identity = std::uint64_t;

class frame_stream;
struct frame_handlers;
class link_security;

/// What a link tells its owner.
struct link_handlers
{
    std::function<void(const link_identity &, wire::CallRequest &)> onRequest;
    std::function<void(const link_identity &, const wire::CallCancel &)> onCancel;
    /// The node that sent requests on an accepted connection has closed it: nobody waits for their answers.
    std::function<void(const link_identity &)> onAcceptedGone;
    std::function<void(const node_id &, wire::CallReply &)> onReply;
    /// A call could not be handed to the link: it has not reached the other node and never will.
    std::function<void(std::uint64_t call, std::uint32_t attempt)> onUnsent;
    /// Answers of a node that are due will not come any more.
    std::function<void(const node_id &)> onLost;
    /// A node leaves a sign of life that was asked for unanswered, or is heard again: answers that are due may still come.
    std::function<void(const node_id &, bool doubtful)> onDoubt;
    std::function<void(const link_identity &, std::uint64_t have)> onConfigPull;
    std::function<void(const wire::ConfigPush &)> onConfigPush;
    std::function<void(const link_identity &)> onMemberPull;
    std::function<void(const wire::MemberPush &)> onMemberPush;
    std::function<void(const link_identity &, const wire::OnceAsk &)> onOnceAsk;
    std::function<void(const node_id &, const wire::OnceAnswer &)> onOnceAnswer;
    std::function<void(const wire::SuspicionPush &)> onSuspicions;
    /// The time of day that a node shows, said on a link to it.
    std::function<void(const node_id &, millis date)> onDate;
};

/// Numbers of the links.
struct link_options
{
    endpoint listen;
    bool secured = true; ///< whether links are encrypted and open only with a key of the deployment
    millis heartbeat{150}; ///< without any message while answers are due, a sign of life is asked for
    millis doubtAfter{60}; ///< for an asked sign of life, before a link is held for doubtful: sixty times the usual way there and back
    millis silence{500}; ///< without any message for so long while answers are due, a link is replaced
    millis welcomeTimeout{400}; ///< for the first message of a node
    millis idleTimeout{10'000}; ///< a link that is not used for so long is closed
    millis acceptedSilence{30'000}; ///< an accepted connection that tells nothing for so long is closed: three idle times of the other end
    std::size_t queuedMax = 10'000; ///< calls that wait for the first message of a node
    std::size_t acceptedMax = 2048; ///< accepted connections: one for each node of the target size, and room for their replacement
    std::size_t unsentBytesMax = 8 * 1024 * 1024; ///< bytes that wait for the other end to read; beyond it calls are refused
    std::size_t messageBytesMax = 32 * 1024 * 1024;
};

/// All links of one node. The deployment's shared keys open them to its nodes only, unless it trusts its network.
class node_link
{
public:
    node_link(event_loop &loop, link_options options, node_id self, const key_ring &keys, std::uint64_t incarnation, link_handlers handlers);
    ~node_link();
    node_link(const node_link &) = delete;
    node_link &operator=(const node_link &) = delete;

    /// Opens the listening socket.
    result<bool> listen();

    /// Sends a call; `incarnation` and `expires_at_ms` are filled in.
    void sendRequest(const node_id &node, wire::CallRequest request, millis deadline);
    void sendCancel(const node_id &node, const wire::CallCancel &cancel);
    void pullConfig(const node_id &node, std::uint64_t have);
    void pullMembers(const node_id &node);
    /// Has a node say its date, on a link that is opened for it if there is none.
    void askDate(const node_id &node);
    void askOnce(const node_id &node, const wire::OnceAsk &ask);
    void tellSuspicions(const node_id &node, const wire::SuspicionPush &push);

    void reply(const link_identity &to, wire::CallReply &&reply);
    void pushConfig(const link_identity &to, wire::ConfigPush &&push);
    void pushMembers(const link_identity &to, wire::MemberPush &&push);
    void answerOnce(const link_identity &to, wire::OnceAnswer &&finding);

    /// @return whether a request is meant for this life of the node and has not expired.
    bool isCurrent(const wire::CallRequest &request) const;
    std::size_t peerCount() const { return m_peers.size(); }

private:
    struct peer;
    struct accepted_link
    {
        std::shared_ptr<frame_stream> stream;
        millis heardAt;
    };

    peer &peerFor(const node_id &node);
    std::shared_ptr<frame_stream> makeStream(ssl_st *security, frame_handlers handlers);
    void connect(peer &target);
    void greet(peer &target);
    void welcome(const link_identity &to);
    void sendWhenWelcome(const node_id &node, wire::LinkMessage &&message);
    void flush(peer &target);
    void heartbeat();
    void considerDoubts();
    void setDoubt(peer &target, bool doubtful);
    void drop(const node_id &node, bool failedToOpen);
    void dropAccepted(const link_identity &from);
    void accept(int descriptor);
    void answer(const link_identity &to, const wire::LinkMessage &message);
    void readPeer(peer &source, std::string_view frame);
    void readAccepted(const link_identity &from, std::string_view frame);
    void dispatchPeer(peer &source, wire::LinkMessage &message);
    void dispatchAccepted(const link_identity &from, wire::LinkMessage &message);

    event_loop &m_loop;
    link_options m_options;
    node_id m_self;
    std::uint64_t m_incarnation;
    link_handlers m_handlers;
    std::unique_ptr<link_security> m_security; ///< none where the network is trusted
    listener m_listener;
    std::unordered_map<node_id, std::unique_ptr<peer>> m_peers;
    std::unordered_map<link_identity, accepted_link> m_accepted;
    link_identity m_nextAccepted = 1;
    std::map<node_id, std::size_t> m_keyInUse; ///< which key the last try with a node used
    event_watcher_ptr m_heartbeatTimer;
    event_watcher_ptr m_doubtTimer;
};

} // namespace turmericspar
