#include "turmericspar/node/node_link.h"

#include "frame_stream.h"
#include "link_security.h"
#include "node.pb.h"
#include "turmericspar/base/log.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace turmericspar {

/// The link to one other node.
struct node_link::peer
{
    node_id node;
    std::shared_ptr<frame_stream> stream;
    bool welcomed = false;
    bool doubtful = false;
    std::uint64_t incarnation = 0;
    millis clockOffset{0}; ///< added to the own clock it is never ahead of the other's
    int outstanding = 0; ///< calls whose answers are due
    millis openedAt;
    millis heardAt;
    millis greetedAt;
    millis usedAt;
    struct queued_request
    {
        wire::CallRequest request;
        millis deadline;
    };
    std::deque<queued_request> queued; ///< calls that wait for the welcome
    std::vector<wire::LinkMessage> queuedOthers;
};

node_link::node_link(event_loop &loop, link_options options, node_id self, const key_ring &keys, std::uint64_t incarnation, link_handlers handlers)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_handlers(std::move(handlers))
    , m_security(m_options.secured ? std::make_unique<link_security>(keys) : nullptr)
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
    m_heartbeatTimer = m_loop.every(m_options.heartbeat, [this] { heartbeat(); });
    return true;
}

/// @return a stream that is not connected yet.
/// @param security its TLS end; nothing for a plain connection
std::shared_ptr<frame_stream> node_link::makeStream(ssl_st *security, frame_handlers handlers)
{
    const frame_limits limits{m_options.messageBytesMax, m_options.unsentBytesMax};
    return std::make_shared<frame_stream>(m_loop, limits, security, std::move(handlers));
}

/// Takes an accepted connection and greets its other end at once, which saves it a round trip.
void node_link::accept(int descriptor)
{
    if (m_accepted.size() >= m_options.acceptedMax) {
        logEvent(log_level::warning, "link_refused", {{"reason", "too many connections"}, {"connections", m_accepted.size()}});
        close(descriptor);
        return;
    }
    const auto id = m_nextAccepted++;
    frame_handlers handlers;
    handlers.onFrame = [this, id](std::string_view frame) { readAccepted(id, frame); };
    handlers.onEnd = [this, id] { dropAccepted(id); };
    const auto stream = makeStream(m_security ? m_security->acceptingEnd() : nullptr, std::move(handlers));
    m_accepted.emplace(id, accepted_link{stream, monotonicNow()});
    stream->accept(descriptor);
    welcome(id);
}

node_link::peer &node_link::peerFor(const node_id &node)
{
    auto &slot = m_peers[node];
    if (!slot) {
        slot = std::make_unique<peer>();
        slot->node = node;
        connect(*slot);
    }
    slot->usedAt = monotonicNow();
    return *slot;
}

/// Opens a connection; the node's welcome comes without being asked for.
void node_link::connect(peer &target)
{
    target.openedAt = monotonicNow();
    target.heardAt = target.openedAt;
    frame_handlers handlers;
    handlers.onFrame = [this, &target](std::string_view frame) { readPeer(target, frame); };
    handlers.onEnd = [this, &target] { drop(target.node, !target.welcomed); };
    target.stream = makeStream(m_security ? m_security->openingEnd(m_keyInUse[target.node]) : nullptr, std::move(handlers));
    const auto address = endpoint::parse(target.node);
    target.stream->open(m_options.listen, address ? *address : endpoint{});
}

/// Asks for a sign of life.
void node_link::greet(peer &target)
{
    target.greetedAt = monotonicNow();
    wire::LinkMessage hello;
    hello.mutable_hello()->set_node(m_self);
    target.stream->send(hello);
}

/// Tells in which life this node is and what its clock shows.
void node_link::welcome(const link_identity &to)
{
    wire::LinkMessage message;
    message.mutable_welcome()->set_incarnation(m_incarnation);
    message.mutable_welcome()->set_clock_ms(monotonicNow().count);
    message.mutable_welcome()->set_date_ms(steadyWallNow().count);
    answer(to, message);
}

void node_link::sendRequest(const node_id &node, wire::CallRequest request, millis deadline)
{
    auto &target = peerFor(node);
    if (target.queued.size() >= m_options.queuedMax) {
        m_handlers.onUnsent(request.call(), request.attempt());
        return;
    }
    target.queued.push_back({std::move(request), deadline});
    if (target.welcomed) {
        flush(target);
    }
}

/// Sends the calls that waited for the welcome.
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
        if (!target.stream->send(message)) {
            m_handlers.onUnsent(call, attempt);
        } else if (target.outstanding++ == 0) {
            // Silence counts from when an answer is first due.
            target.heardAt = now;
        }
    }
    for (const auto &message : std::exchange(target.queuedOthers, {})) {
        target.stream->send(message);
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
        target.outstanding = std::max(0, target.outstanding - 1);
        wire::LinkMessage message;
        *message.mutable_cancel() = cancel;
        target.stream->send(message);
    }
}

void node_link::pullConfig(const node_id &node, std::uint64_t have)
{
    wire::LinkMessage message;
    message.mutable_config_pull()->set_have(have);
    sendWhenWelcome(node, std::move(message));
}

void node_link::pullMembers(const node_id &node)
{
    wire::LinkMessage message;
    message.mutable_member_pull();
    sendWhenWelcome(node, std::move(message));
}

void node_link::askDate(const node_id &node)
{
    auto &target = peerFor(node);
    if (target.welcomed) {
        greet(target);
    }
}

void node_link::askOnce(const node_id &node, const wire::OnceAsk &ask)
{
    wire::LinkMessage message;
    *message.mutable_once_ask() = ask;
    sendWhenWelcome(node, std::move(message));
}

void node_link::tellSuspicions(const node_id &node, const wire::SuspicionPush &push)
{
    wire::LinkMessage message;
    *message.mutable_suspicions() = push;
    sendWhenWelcome(node, std::move(message));
}

/// Sends a message that is no call as soon as the node has told its life.
void node_link::sendWhenWelcome(const node_id &node, wire::LinkMessage &&message)
{
    auto &target = peerFor(node);
    target.queuedOthers.push_back(std::move(message));
    if (target.welcomed) {
        flush(target);
    }
}

/// Asks for a sign of life where answers are due and nothing came lately, replaces silent links, closes unused ones.
void node_link::heartbeat()
{
    const millis now = monotonicNow();
    std::vector<std::pair<node_id, bool>> ended;
    bool greeted = false;
    for (auto &[node, target] : m_peers) {
        const bool openTooLong = !target->welcomed && now - target->openedAt > m_options.welcomeTimeout;
        const bool due = target->welcomed && (target->outstanding > 0 || target->doubtful);
        const bool silent = due && now - target->heardAt > m_options.silence;
        const bool idle = target->outstanding == 0 && now - target->usedAt > m_options.idleTimeout;
        if (openTooLong || silent || idle) {
            ended.emplace_back(node, openTooLong);
            continue;
        }
        if (due && now - target->heardAt > m_options.heartbeat) {
            greet(*target);
            greeted = true;
        }
    }
    for (const auto &[node, failedToOpen] : ended) {
        drop(node, failedToOpen);
    }
    if (greeted) {
        m_doubtTimer = m_loop.after(m_options.doubtAfter, [this] { considerDoubts(); });
    }
    std::vector<link_identity> quiet;
    for (const auto &[from, link] : m_accepted) {
        if (now - link.heardAt > m_options.acceptedSilence) {
            quiet.push_back(from);
        }
    }
    for (const auto from : quiet) {
        dropAccepted(from);
    }
}

/// Doubts the links whose nodes did not answer a greeting.
void node_link::considerDoubts()
{
    for (const auto &[node, target] : m_peers) {
        if (target->welcomed && target->outstanding > 0 && target->greetedAt > target->heardAt) {
            setDoubt(*target, true);
        }
    }
}

void node_link::setDoubt(peer &target, bool doubtful)
{
    if (std::exchange(target.doubtful, doubtful) != doubtful) {
        m_handlers.onDoubt(target.node, doubtful);
    }
}

/// Closes a link. Calls that were never handed to it are known not to have run; the others are lost.
void node_link::drop(const node_id &node, bool failedToOpen)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    m_peers.erase(found);
    if (failedToOpen) {
        ++m_keyInUse[node];
    }
    ended->stream->close();
    setDoubt(*ended, false);
    for (const auto &queued : ended->queued) {
        m_handlers.onUnsent(queued.request.call(), queued.request.attempt());
    }
    m_handlers.onLost(node);
}

/// Closes an accepted connection: what was asked on it has nobody who waits for an answer.
void node_link::dropAccepted(const link_identity &from)
{
    const auto found = m_accepted.find(from);
    if (found == m_accepted.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    m_accepted.erase(found);
    ended.stream->close();
    m_handlers.onAcceptedGone(from);
}

void node_link::readPeer(peer &source, std::string_view frame)
{
    wire::LinkMessage message;
    if (message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
        source.heardAt = monotonicNow();
        setDoubt(source, false);
        dispatchPeer(source, message);
    } else {
        logEvent(log_level::warning, "link_message_malformed", {{"peer", source.node}, {"bytes", frame.size()}});
        drop(source.node, !source.welcomed);
    }
}

void node_link::dispatchPeer(peer &source, wire::LinkMessage &message)
{
    switch (message.kind_case()) {
    case wire::LinkMessage::kWelcome: {
        const auto &welcome = message.welcome();
        const millis offset = millis{welcome.clock_ms()} - monotonicNow();
        const bool sameLife = source.welcomed && source.incarnation == welcome.incarnation();
        if (source.welcomed && !sameLife) {
            // The node was restarted: what its earlier life had to answer is lost.
            m_loop.defer([this, node = source.node] { drop(node, false); });
            return;
        }
        source.clockOffset = sameLife ? std::max(source.clockOffset, offset) : offset;
        source.incarnation = welcome.incarnation();
        source.welcomed = true;
        m_handlers.onDate(source.node, {welcome.date_ms()});
        flush(source);
        break;
    }
    case wire::LinkMessage::kReply:
        source.outstanding = std::max(0, source.outstanding - 1);
        if (message.reply().reason() == static_cast<std::uint32_t>(refusal_reason::stale)) {
            // Perhaps the node was restarted: its welcome will tell.
            greet(source);
        }
        m_handlers.onReply(source.node, *message.mutable_reply());
        break;
    case wire::LinkMessage::kConfigPush:
        m_handlers.onConfigPush(message.config_push());
        break;
    case wire::LinkMessage::kMemberPush:
        m_handlers.onMemberPush(message.member_push());
        break;
    case wire::LinkMessage::kOnceAnswer:
        m_handlers.onOnceAnswer(source.node, message.once_answer());
        break;
    default:
        break;
    }
}

void node_link::readAccepted(const link_identity &from, std::string_view frame)
{
    wire::LinkMessage message;
    if (message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
        m_accepted.at(from).heardAt = monotonicNow();
        dispatchAccepted(from, message);
    } else {
        logEvent(log_level::warning, "link_message_malformed", {{"bytes", frame.size()}});
        dropAccepted(from);
    }
}

void node_link::dispatchAccepted(const link_identity &from, wire::LinkMessage &message)
{
    switch (message.kind_case()) {
    case wire::LinkMessage::kHello:
        welcome(from);
        break;
    case wire::LinkMessage::kRequest:
        m_handlers.onRequest(from, *message.mutable_request());
        break;
    case wire::LinkMessage::kCancel:
        m_handlers.onCancel(from, message.cancel());
        break;
    case wire::LinkMessage::kConfigPull:
        m_handlers.onConfigPull(from, message.config_pull().have());
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

/// Answers on an accepted connection. One whose other end does not read is closed, so that it knows that answers are lost.
void node_link::answer(const link_identity &to, const wire::LinkMessage &message)
{
    const auto found = m_accepted.find(to);
    if (found != m_accepted.end() && !found->second.stream->send(message)) {
        logEvent(log_level::warning, "link_closed", {{"reason", "the other end does not read"}});
        m_loop.defer([this, to] { dropAccepted(to); });
    }
}

void node_link::reply(const link_identity &to, wire::CallReply &&reply)
{
    wire::LinkMessage message;
    *message.mutable_reply() = std::move(reply);
    answer(to, message);
}

void node_link::pushConfig(const link_identity &to, wire::ConfigPush &&push)
{
    wire::LinkMessage message;
    *message.mutable_config_push() = std::move(push);
    answer(to, message);
}

void node_link::pushMembers(const link_identity &to, wire::MemberPush &&push)
{
    wire::LinkMessage message;
    *message.mutable_member_push() = std::move(push);
    answer(to, message);
}

void node_link::answerOnce(const link_identity &to, wire::OnceAnswer &&finding)
{
    wire::LinkMessage message;
    *message.mutable_once_answer() = std::move(finding);
    answer(to, message);
}

bool node_link::isCurrent(const wire::CallRequest &request) const
{
    return request.incarnation() == m_incarnation && request.expires_at_ms() > monotonicNow().count;
}

} // namespace turmericspar
