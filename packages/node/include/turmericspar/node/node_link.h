/// @file node_link.h
/// The links between nodes: calls and their replies, configuration and member tables, as length-prefixed messages over TCP.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/listener.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/load_balancer.h"

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
class CallWithdrawal;
class CallReply;
class CallRequest;
class ConfigPull;
class ConfigPush;
class LinkMessage;
class MemberPush;
class OnceAnswer;
class OnceAsk;
class SuspicionPush;
} // namespace wire

/// Identifies an accepted connection, so that messages received on it can be answered. 0 is no connection.
using connection_id = std::uint64_t;

class frame_stream;
struct frame_handlers;
class link_security;

/// Callbacks of the links.
struct link_handlers
{
    std::function<void(const connection_id &, wire::CallRequest &)> onRequest;
    std::function<void(const connection_id &, const wire::CallCancel &)> onCancel;
    std::function<void(const connection_id &, const wire::CallWithdrawal &)> onWithdrawal;
    /// An accepted connection was closed: its node no longer waits for replies to requests that it sent on it.
    std::function<void(const connection_id &)> onAcceptedClosed;
    std::function<void(const node_id &, wire::CallReply &)> onReply;
    /// A call was not sent: it has not reached the other node and never will.
    std::function<void(std::uint64_t call, std::uint32_t attempt)> onUnsent;
    /// A link was closed: pending replies of its node will not arrive.
    std::function<void(const node_id &)> onLinkLost;
    /// A node has not answered a heartbeat in time, or has sent a message again. Pending replies may still arrive in both cases.
    std::function<void(const node_id &, bool unresponsive)> onUnresponsive;
    std::function<void(const connection_id &, const wire::ConfigPull &)> onConfigPull;
    std::function<void(const wire::ConfigPush &)> onConfigPush;
    std::function<void(const connection_id &)> onMemberPull;
    std::function<void(const wire::MemberPush &)> onMemberPush;
    std::function<void(const connection_id &, const wire::OnceAsk &)> onOnceAsk;
    std::function<void(const node_id &, const wire::OnceAnswer &)> onOnceAnswer;
    std::function<void(const wire::SuspicionPush &)> onSuspicions;
    /// A node reported its wall-clock time on a link to it.
    std::function<void(const node_id &, millis wallTime)> onPeerClock;
};

/// Settings of the links.
struct link_options
{
    endpoint listen;
    bool useTls = true; ///< whether links are encrypted and authenticated with a key of the deployment
    millis heartbeatInterval{150}; ///< a Hello is sent if no message arrived for so long after the last one was sent, or while replies are pending
    millis heartbeatTimeout{60}; ///< time to answer a Hello before a link counts as unresponsive: sixty usual round trips
    millis silenceTimeout{500}; ///< a link is closed, to be replaced, if no message arrived for so long while one is awaited
    millis welcomeTimeout{400}; ///< time until the Welcome of a node must have arrived
    millis idleTimeout{10'000}; ///< a link that is unused for so long is closed
    millis acceptedIdleTimeout{30'000}; ///< an accepted connection without messages for so long is closed: three idle timeouts of the other node
    std::size_t queuedMax = 10'000; ///< maximum number of calls that wait for the Welcome of a node
    std::size_t acceptedMax = 2048; ///< maximum number of accepted connections: one per node of the target size, and room for reconnects
    std::size_t unsentBytesMax = 8 * 1024 * 1024; ///< maximum number of bytes that the other node has not read yet; beyond it calls are not sent
    std::size_t messageBytesMax = 32 * 1024 * 1024;
};

/// All links of one node. With TLS, only nodes that hold a shared key of the deployment can connect.
class node_link
{
public:
    node_link(event_loop &loop, link_options options, node_id self, const key_ring &keys, std::uint64_t incarnation, link_handlers handlers);
    ~node_link();
    node_link(const node_link &) = delete;
    node_link &operator=(const node_link &) = delete;

    /// Opens the listening socket.
    result<bool> listen();

    /// Sends a call. Sets `incarnation`, `expires_at_ms` and `deadline_in_ms` of the request.
    void sendRequest(const node_id &node, wire::CallRequest request, millis deadline);
    void sendCancel(const node_id &node, const wire::CallCancel &cancel);
    /// Takes a call back unless the upstream has started it. A call that is still queued for sending is reported with `onUnsent`.
    void sendWithdrawal(const node_id &node, const wire::CallWithdrawal &withdrawal);
    void pullConfig(const node_id &node, std::uint64_t have, std::uint64_t chain);
    void pullMembers(const node_id &node);
    /// Requests the wall-clock time of a node, which is reported through `onPeerClock`. Connects to the node if there is no link.
    void requestClock(const node_id &node);
    void sendOnceAsk(const node_id &node, const wire::OnceAsk &ask);
    void pushSuspicions(const node_id &node, const wire::SuspicionPush &push);

    void reply(const connection_id &to, wire::CallReply &&reply);
    void pushConfig(const connection_id &to, wire::ConfigPush &&push);
    void pushMembers(const connection_id &to, wire::MemberPush &&push);
    void sendOnceAnswer(const connection_id &to, wire::OnceAnswer &&answer);

    /// @return whether a request is meant for this incarnation of the node and has not expired.
    bool isCurrent(const wire::CallRequest &request) const;
    std::size_t peerCount() const { return m_peers.size(); }

private:
    struct peer;
    struct accepted_link
    {
        std::shared_ptr<frame_stream> stream;
        millis lastReceivedAt;
    };

    peer &findOrConnect(const node_id &node);
    std::shared_ptr<frame_stream> makeStream(ssl_st *ssl, frame_handlers handlers);
    void connect(peer &target);
    void sendHello(peer &target);
    void sendWelcome(const connection_id &to);
    void sendAfterWelcome(const node_id &node, wire::LinkMessage &&message);
    void flush(peer &target);
    void checkLinks();
    void markUnresponsive();
    void setUnresponsive(peer &target, bool unresponsive);
    void closeLink(const node_id &node, bool failedToOpen);
    void closeAccepted(const connection_id &from);
    void accept(int descriptor);
    void sendToAccepted(const connection_id &to, const wire::LinkMessage &message);
    void handlePeerFrame(peer &from, std::string_view frame);
    void handleAcceptedFrame(const connection_id &from, std::string_view frame);
    void dispatchPeer(peer &from, wire::LinkMessage &message);
    void dispatchAccepted(const connection_id &from, wire::LinkMessage &message);

    event_loop &m_loop;
    link_options m_options;
    node_id m_self;
    std::uint64_t m_incarnation;
    link_handlers m_handlers;
    std::unique_ptr<link_security> m_tls; ///< null if links are not encrypted
    listener m_listener;
    std::unordered_map<node_id, std::unique_ptr<peer>> m_peers;
    std::unordered_map<connection_id, accepted_link> m_accepted;
    connection_id m_nextAccepted = 1;
    std::map<node_id, std::size_t> m_keyAttempts; ///< number of failed attempts to connect to each node, which selects the key of the next attempt
    event_watcher_ptr m_checkTimer;
    event_watcher_ptr m_heartbeatTimeoutTimer;
};

} // namespace turmericspar
