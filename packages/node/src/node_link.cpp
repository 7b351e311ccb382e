#include "turmericspar/node/node_link.h"

#include "frame_stream.h"
#include "link_security.h"
#include "node.pb.h"
#include "turmericspar/base/log.h"

#include <algorithm>
#include <set>
#include <unistd.h>
#include <utility>

namespace turmericspar {

/// An outgoing link to one node.
struct node_link::peer
{
    node_id node;
    std::shared_ptr<frame_stream> stream;
    bool welcomed = false;
    bool unresponsive = false;
    std::uint64_t incarnation = 0;
    millis clockOffset{0}; ///< estimate of the other node's monotonic clock minus the own one; never too high, since messages take time
    std::set<std::pair<std::uint64_t, std::uint32_t>> pendingReplies; ///< calls and attempts that were sent, neither answered nor cancelled
    millis openedAt;
    millis lastReceivedAt;
    millis helloSentAt;
    millis lastUsedAt;
    struct queued_request
    {
        wire::CallRequest request;
        millis deadline;
    };
    std::deque<queued_request> queued; ///< calls that wait for the Welcome
    struct control_message
    {
        wire::LinkMessage content;
        bool repeated = false; ///< whether it was sent before, on a link that went silent
    };
    std::vector<control_message> queuedMessages; ///< other messages that wait for the Welcome
    std::vector<control_message> unconfirmed; ///< other messages that were sent since the last message arrived
    bool sentSinceReceived = false; ///< whether anything was sent since then, so that the link shows whether it is alive

    /// @return whether the other node owes a message: a reply, or the answer to a Hello that follows whatever was sent last.
    bool awaitsMessage() const { return welcomed && (!pendingReplies.empty() || unresponsive || sentSinceReceived); }
    bool send(const wire::LinkMessage &message);
};

/// Sends a message. The silence timeout runs from the moment at which a message of the other node is first awaited.
bool node_link::peer::send(const wire::LinkMessage &message)
{
    if (!stream->send(message)) {
        return false;
    }
    if (!awaitsMessage()) {
        lastReceivedAt = monotonicNow();
    }
    sentSinceReceived = true;
    return true;
}

node_link::node_link(event_loop &loop, link_options options, node_id self, const key_ring &keys, std::uint64_t incarnation, link_handlers handlers)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_handlers(std::move(handlers))
    , m_tls(m_options.useTls ? std::make_unique<link_security>(keys) : nullptr)
    , m_listener(loop, [this](int descriptor, const sockaddr *) { accept(descriptor); })
{
}

node_link::~node_link() = default;

result<bool> node_link::listen()
{
    const auto listening = m_listener.listen(m_options.listen, "listen for nodes");
    if (!listening) {
        return listening.error();
    }
    m_checkTimer = m_loop.every(m_options.heartbeatInterval, [this] { checkLinks(); });
    return true;
}

/// @return a stream that is not connected yet.
/// @param ssl its TLS object; null for a plain connection
std::shared_ptr<frame_stream> node_link::makeStream(ssl_st *ssl, frame_handlers handlers)
{
    const frame_limits limits{m_options.messageBytesMax, m_options.unsentBytesMax};
    return std::make_shared<frame_stream>(m_loop, limits, ssl, std::move(handlers));
}

/// Accepts a connection. The Welcome is sent without waiting for a Hello, which saves a round trip.
void node_link::accept(int descriptor)
{
    if (m_accepted.size() >= m_options.acceptedMax) {
        logEvent(log_level::warning, "link_refused", {{"reason", "too many connections"}, {"connections", m_accepted.size()}});
        close(descriptor);
        return;
    }
    const auto id = m_nextAccepted++;
    frame_handlers handlers;
    handlers.onFrame = [this, id](std::string_view frame) { handleAcceptedFrame(id, frame); };
    handlers.onClosed = [this, id] { closeAccepted(id); };
    const auto stream = makeStream(m_tls ? m_tls->newServerSsl() : nullptr, std::move(handlers));
    m_accepted.emplace(id, accepted_link{stream, monotonicNow()});
    stream->accept(descriptor);
    sendWelcome(id);
}

node_link::peer &node_link::findOrConnect(const node_id &node)
{
    auto &link = m_peers[node];
    if (!link) {
        link = std::make_unique<peer>();
        link->node = node;
        connect(*link);
    }
    link->lastUsedAt = monotonicNow();
    return *link;
}

/// Opens a connection. The node sends its Welcome without being asked.
void node_link::connect(peer &target)
{
    target.openedAt = monotonicNow();
    target.lastReceivedAt = target.openedAt;
    frame_handlers handlers;
    handlers.onFrame = [this, &target](std::string_view frame) { handlePeerFrame(target, frame); };
    handlers.onClosed = [this, &target] { closeLink(target.node, !target.welcomed); };
    target.stream = makeStream(m_tls ? m_tls->newClientSsl(m_keyAttempts[target.node]) : nullptr, std::move(handlers));
    const auto address = endpoint::parse(target.node);
    target.stream->open(m_options.listen, address ? *address : endpoint{});
}

/// Sends a Hello, which the node answers with a Welcome.
void node_link::sendHello(peer &target)
{
    target.helloSentAt = monotonicNow();
    wire::LinkMessage hello;
    hello.mutable_hello()->set_node(m_self);
    target.send(hello);
}

/// Sends the incarnation and the clocks of this node.
void node_link::sendWelcome(const connection_id &to)
{
    wire::LinkMessage message;
    message.mutable_welcome()->set_incarnation(m_incarnation);
    message.mutable_welcome()->set_clock_ms(monotonicNow().count);
    message.mutable_welcome()->set_date_ms(steadyWallNow().count);
    sendToAccepted(to, message);
}

void node_link::sendRequest(const node_id &node, wire::CallRequest request, millis deadline)
{
    auto &target = findOrConnect(node);
    if (target.queued.size() >= m_options.queuedMax) {
        m_handlers.onUnsent(request.call(), request.attempt());
        return;
    }
    target.queued.push_back({std::move(request), deadline});
    if (target.welcomed) {
        flush(target);
    }
}

/// Sends the queued calls and messages.
void node_link::flush(peer &target)
{
    const millis now = monotonicNow();
    while (!target.queued.empty()) {
        auto queued = std::move(target.queued.front());
        target.queued.pop_front();
        const auto call = queued.request.call();
        const auto attempt = queued.request.attempt();
        queued.request.set_incarnation(target.incarnation);
        queued.request.set_expires_at_ms((queued.deadline + target.clockOffset).count);
        queued.request.set_deadline_in_ms((queued.deadline - now).count);
        wire::LinkMessage message;
        *message.mutable_request() = std::move(queued.request);
        if (target.send(message)) {
            target.pendingReplies.emplace(call, attempt);
        } else {
            m_handlers.onUnsent(call, attempt);
        }
    }
    for (auto &message : std::exchange(target.queuedMessages, {})) {
        if (!target.send(message.content)) {
            logEvent(log_level::warning, "link_message_unsent", {{"peer", target.node}, {"reason", "the peer does not read"}});
        } else if (!message.repeated) {
            target.unconfirmed.push_back(std::move(message));
        }
    }
}

void node_link::sendCancel(const node_id &node, const wire::CallCancel &cancel)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end()) {
        return;
    }
    auto &target = *found->second;
    std::erase_if(target.queued, [&](const auto &queued) { return queued.request.call() == cancel.call(); });
    if (target.welcomed) {
        target.pendingReplies.erase({cancel.call(), cancel.attempt()});
        wire::LinkMessage message;
        *message.mutable_cancel() = cancel;
        target.send(message);
    }
}

void node_link::sendWithdrawal(const node_id &node, const wire::CallWithdrawal &withdrawal)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end()) {
        return;
    }
    auto &target = *found->second;
    const auto isWithdrawn = [&](const auto &queued) { return queued.request.call() == withdrawal.call(); };
    if (std::erase_if(target.queued, isWithdrawn) > 0) {
        m_handlers.onUnsent(withdrawal.call(), withdrawal.attempt());
    } else if (target.welcomed) {
        wire::LinkMessage message;
        *message.mutable_withdrawal() = withdrawal;
        target.send(message);
    }
}

void node_link::pullConfig(const node_id &node, std::uint64_t have, std::uint64_t chain)
{
    wire::LinkMessage message;
    message.mutable_config_pull()->set_have(have);
    message.mutable_config_pull()->set_chain(chain);
    sendAfterWelcome(node, std::move(message));
}

void node_link::pullMembers(const node_id &node)
{
    wire::LinkMessage message;
    message.mutable_member_pull();
    sendAfterWelcome(node, std::move(message));
}

void node_link::requestClock(const node_id &node)
{
    auto &target = findOrConnect(node);
    if (target.welcomed) {
        sendHello(target);
    }
}

void node_link::sendOnceAsk(const node_id &node, const wire::OnceAsk &ask)
{
    wire::LinkMessage message;
    *message.mutable_once_ask() = ask;
    sendAfterWelcome(node, std::move(message));
}

void node_link::pushSuspicions(const node_id &node, const wire::SuspicionPush &push)
{
    wire::LinkMessage message;
    *message.mutable_suspicions() = push;
    sendAfterWelcome(node, std::move(message));
}

/// Sends a message other than a call, as soon as the node's Welcome has arrived.
void node_link::sendAfterWelcome(const node_id &node, wire::LinkMessage &&message)
{
    auto &target = findOrConnect(node);
    target.queuedMessages.push_back({std::move(message)});
    if (target.welcomed) {
        flush(target);
    }
}

/// Sends heartbeats on links that await a message and have received none lately, and closes silent and unused connections.
void node_link::checkLinks()
{
    const millis now = monotonicNow();
    std::vector<std::pair<node_id, bool>> linksToClose;
    std::vector<std::pair<node_id, peer::control_message>> messagesToRepeat;
    bool helloSent = false;
    for (auto &[node, target] : m_peers) {
        const bool welcomeOverdue = !target->welcomed && now - target->openedAt > m_options.welcomeTimeout;
        const bool silent = target->awaitsMessage() && now - target->lastReceivedAt > m_options.silenceTimeout;
        const bool idle = target->pendingReplies.empty() && now - target->lastUsedAt > m_options.idleTimeout;
        if (welcomeOverdue || silent || idle) {
            linksToClose.emplace_back(node, welcomeOverdue);
            if (silent) {
                logEvent(log_level::info,
                         "link_silent",
                         {{"peer", node}, {"pending_replies", target->pendingReplies.size()}, {"unconfirmed", target->unconfirmed.size()}});
            }
            for (auto &message : std::exchange(target->unconfirmed, {})) {
                messagesToRepeat.emplace_back(node, std::move(message));
            }
            continue;
        }
        if (target->awaitsMessage() && now - target->lastReceivedAt > m_options.heartbeatInterval) {
            sendHello(*target);
            helloSent = true;
        }
    }
    for (const auto &[node, failedToOpen] : linksToClose) {
        closeLink(node, failedToOpen);
    }
    // A silent connection may have lost the messages that follow no call. Each of them may arrive twice without harm.
    for (auto &[node, message] : messagesToRepeat) {
        message.repeated = true;
        findOrConnect(node).queuedMessages.push_back(std::move(message));
    }
    if (helloSent) {
        m_heartbeatTimeoutTimer = m_loop.after(m_options.heartbeatTimeout, [this] { markUnresponsive(); });
    }
    std::vector<connection_id> idleAccepted;
    for (const auto &[from, link] : m_accepted) {
        if (now - link.lastReceivedAt > m_options.acceptedIdleTimeout) {
            idleAccepted.push_back(from);
        }
    }
    for (const auto from : idleAccepted) {
        closeAccepted(from);
    }
}

/// Marks links as unresponsive whose nodes have not answered the last Hello.
void node_link::markUnresponsive()
{
    for (const auto &[node, target] : m_peers) {
        if (target->awaitsMessage() && target->helloSentAt > target->lastReceivedAt) {
            setUnresponsive(*target, true);
        }
    }
}

void node_link::setUnresponsive(peer &target, bool unresponsive)
{
    if (std::exchange(target.unresponsive, unresponsive) != unresponsive) {
        m_handlers.onUnresponsive(target.node, unresponsive);
    }
}

/// Closes a link. Queued calls were never sent, so they are known not to have run; for the others it is unknown.
void node_link::closeLink(const node_id &node, bool failedToOpen)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end()) {
        return;
    }
    const auto link = std::move(found->second);
    m_peers.erase(found);
    if (failedToOpen) {
        ++m_keyAttempts[node];
    }
    link->stream->close();
    setUnresponsive(*link, false);
    for (const auto &queued : link->queued) {
        m_handlers.onUnsent(queued.request.call(), queued.request.attempt());
    }
    m_handlers.onLinkLost(node);
}

/// Closes an accepted connection and reports that nobody waits for the replies to its requests.
void node_link::closeAccepted(const connection_id &from)
{
    const auto found = m_accepted.find(from);
    if (found == m_accepted.end()) {
        return;
    }
    const auto link = std::move(found->second);
    m_accepted.erase(found);
    link.stream->close();
    m_handlers.onAcceptedClosed(from);
}

void node_link::handlePeerFrame(peer &from, std::string_view frame)
{
    wire::LinkMessage message;
    if (message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
        from.lastReceivedAt = monotonicNow();
        from.sentSinceReceived = false;
        from.unconfirmed.clear();
        setUnresponsive(from, false);
        dispatchPeer(from, message);
    } else {
        logEvent(log_level::warning, "link_message_malformed", {{"peer", from.node}, {"bytes", frame.size()}});
        closeLink(from.node, !from.welcomed);
    }
}

void node_link::dispatchPeer(peer &from, wire::LinkMessage &message)
{
    switch (message.kind_case()) {
    case wire::LinkMessage::kWelcome: {
        const auto &welcome = message.welcome();
        const millis offset = millis{welcome.clock_ms()} - monotonicNow();
        const bool sameIncarnation = from.welcomed && from.incarnation == welcome.incarnation();
        if (from.welcomed && !sameIncarnation) {
            // The node was restarted: pending replies of its earlier incarnation are lost.
            m_loop.defer([this, node = from.node] { closeLink(node, false); });
            return;
        }
        from.clockOffset = sameIncarnation ? std::max(from.clockOffset, offset) : offset;
        from.incarnation = welcome.incarnation();
        from.welcomed = true;
        m_handlers.onPeerClock(from.node, {welcome.date_ms()});
        flush(from);
        break;
    }
    case wire::LinkMessage::kReply:
        from.pendingReplies.erase({message.reply().call(), message.reply().attempt()});
        if (message.reply().reason() == static_cast<std::uint32_t>(refusal_reason::stale)) {
            // The node may have been restarted; its Welcome carries the current incarnation.
            sendHello(from);
        }
        m_handlers.onReply(from.node, *message.mutable_reply());
        break;
    case wire::LinkMessage::kConfigPush:
        m_handlers.onConfigPush(message.config_push());
        break;
    case wire::LinkMessage::kMemberPush:
        m_handlers.onMemberPush(message.member_push());
        break;
    case wire::LinkMessage::kOnceAnswer:
        m_handlers.onOnceAnswer(from.node, message.once_answer());
        break;
    default:
        break;
    }
}

void node_link::handleAcceptedFrame(const connection_id &from, std::string_view frame)
{
    wire::LinkMessage message;
    if (message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
        m_accepted.at(from).lastReceivedAt = monotonicNow();
        dispatchAccepted(from, message);
    } else {
        logEvent(log_level::warning, "link_message_malformed", {{"bytes", frame.size()}});
        closeAccepted(from);
    }
}

void node_link::dispatchAccepted(const connection_id &from, wire::LinkMessage &message)
{
    switch (message.kind_case()) {
    case wire::LinkMessage::kHello:
        sendWelcome(from);
        break;
    case wire::LinkMessage::kRequest:
        m_handlers.onRequest(from, *message.mutable_request());
        break;
    case wire::LinkMessage::kCancel:
        m_handlers.onCancel(from, message.cancel());
        break;
    case wire::LinkMessage::kWithdrawal:
        m_handlers.onWithdrawal(from, message.withdrawal());
        break;
    case wire::LinkMessage::kConfigPull:
        m_handlers.onConfigPull(from, message.config_pull());
        break;
    case wire::LinkMessage::kMemberPull:
        m_handlers.onMemberPull(from);
        break;
    case wire::LinkMessage::kSuspicions:
        m_handlers.onSuspicions(message.suspicions());
        break;
    case wire::LinkMessage::kOnceAsk:
        m_handlers.onOnceAsk(from, message.once_ask());
        break;
    default:
        break;
    }
}

/// Sends a message on an accepted connection. If the other node does not read, the connection is closed, which tells that node that
/// replies are lost.
void node_link::sendToAccepted(const connection_id &to, const wire::LinkMessage &message)
{
    const auto found = m_accepted.find(to);
    if (found != m_accepted.end() && !found->second.stream->send(message)) {
        logEvent(log_level::warning, "link_closed", {{"reason", "the peer does not read"}});
        m_loop.defer([this, to] { closeAccepted(to); });
    }
}

void node_link::reply(const connection_id &to, wire::CallReply &&reply)
{
    wire::LinkMessage message;
    *message.mutable_reply() = std::move(reply);
    sendToAccepted(to, message);
}

void node_link::pushConfig(const connection_id &to, wire::ConfigPush &&push)
{
    wire::LinkMessage message;
    *message.mutable_config_push() = std::move(push);
    sendToAccepted(to, message);
}

void node_link::pushMembers(const connection_id &to, wire::MemberPush &&push)
{
    wire::LinkMessage message;
    *message.mutable_member_push() = std::move(push);
    sendToAccepted(to, message);
}

void node_link::sendOnceAnswer(const connection_id &to, wire::OnceAnswer &&answer)
{
    wire::LinkMessage message;
    *message.mutable_once_answer() = std::move(answer);
    sendToAccepted(to, message);
}

bool node_link::isCurrent(const wire::CallRequest &request) const
{
    return request.incarnation() == m_incarnation && request.expires_at_ms() > monotonicNow().count;
}

} // namespace turmericspar
