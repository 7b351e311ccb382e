/// @file node_link.h
/// The ZeroMQ links between nodes: calls, their answers, and the exchange of tables.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/routing.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

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

/// Names the sender of a message on the listening socket, to answer it.
using link_identity = std::string;

class zmq_socket;

/// What a link tells its owner.
struct link_handlers
{
    std::function<void(const link_identity &, wire::CallRequest &)> onRequest;
    std::function<void(const link_identity &, const wire::CallCancel &)> onCancel;
    std::function<void(const node_id &, wire::CallReply &)> onReply;
    /// A call could not be handed to the link: it has not reached the other node and never will.
    std::function<void(std::uint64_t call, std::uint32_t attempt)> onUnsent;
    /// Answers of a node that are due will not come any more.
    std::function<void(const node_id &)> onLost;
    std::function<void(const link_identity &, std::uint64_t have)> onConfigPull;
    std::function<void(const wire::ConfigPush &)> onConfigPush;
    std::function<void(const link_identity &)> onMemberPull;
    std::function<void(const wire::MemberPush &)> onMemberPush;
    std::function<void(const link_identity &, const wire::OnceAsk &)> onOnceAsk;
    std::function<void(const node_id &, const wire::OnceAnswer &)> onOnceAnswer;
    std::function<void(const wire::SuspicionPush &)> onSuspicions;
};

/// Numbers of the links.
struct link_options
{
    endpoint listen;
    millis heartbeat{150}; ///< without any message while answers are due, a sign of life is asked for
    millis silence{500}; ///< without any message for so long while answers are due, a link is replaced
    millis welcomeTimeout{400}; ///< for the first answer of a node
    millis idleTimeout{10'000}; ///< a link that is not used for so long is closed
    std::size_t queuedMax = 10'000; ///< calls that wait for the first answer of a node
    int messagesMax = 10'000; ///< messages that wait in a socket, each way
    std::int64_t messageBytesMax = 32 * 1024 * 1024;
};

/// All links of one node. CURVE keys derived from the deployment's shared keys open them to its nodes only.
class node_link
{
public:
    node_link(event_loop &loop, link_options options, node_id self, const key_ring &keys, std::uint64_t incarnation, link_handlers handlers);
    ~node_link();
    node_link(const node_link &) = delete;
    node_link &operator=(const node_link &) = delete;

    /// Binds the listening socket.
    result<bool> listen();

    /// Sends a call; `incarnation` and `expires_at_ms` are filled in.
    void sendRequest(const node_id &node, wire::CallRequest request, millis deadline);
    void sendCancel(const node_id &node, const wire::CallCancel &cancel);
    void pullConfig(const node_id &node, std::uint64_t have);
    void pullMembers(const node_id &node);
    void askOnce(const node_id &node, const wire::OnceAsk &ask);
    void tellSuspicions(const node_id &node, const wire::SuspicionPush &push);

    void reply(const link_identity &to, wire::CallReply &&reply);
    void pushConfig(const link_identity &to, wire::ConfigPush &&push);
    void pushMembers(const link_identity &to, wire::MemberPush &&push);
    void answerOnce(const link_identity &to, wire::OnceAnswer &&answer);

    /// @return whether a request is meant for this life of the node and has not expired.
    bool isCurrent(const wire::CallRequest &request) const;
    std::size_t peerCount() const { return m_peers.size(); }

private:
    struct peer;

    struct curve_pair
    {
        std::string publicKey;
        std::string secretKey;
    };

    peer &peerFor(const node_id &node);
    void connect(peer &target);
    void greet(peer &target);
    void send(peer &target, const wire::LinkMessage &message);
    void sendWhenWelcome(const node_id &node, wire::LinkMessage &&message);
    void flush(peer &target);
    void heartbeat();
    void drop(const node_id &node, bool failedToOpen);
    void sendRouter(const link_identity &to, const wire::LinkMessage &message);
    void readRouter();
    void readPeer(peer &source);
    void readZap();
    void dispatchRouter(const link_identity &from, wire::LinkMessage &message);
    void dispatchPeer(peer &source, wire::LinkMessage &message);

    event_loop &m_loop;
    link_options m_options;
    node_id m_self;
    std::uint64_t m_incarnation;
    link_handlers m_handlers;
    std::vector<curve_pair> m_curve;
    std::unique_ptr<void, void (*)(void *)> m_context;
    std::unique_ptr<zmq_socket> m_zap;
    std::unique_ptr<zmq_socket> m_router;
    std::unordered_map<node_id, std::unique_ptr<peer>> m_peers;
    std::map<node_id, std::size_t> m_keyInUse; ///< which key the last try with a node used
    watch_ptr m_heartbeatTimer;
};

} // namespace turmericspar
