#include "turmericspar/node/node_link.h"

#include "node.pb.h"
#include "turmericspar/base/log.h"
#include "zmq_socket.h"

#include <algorithm>
#include <utility>
#include <zmq.h>

namespace turmericspar {

namespace {

constexpr int socketsMax = 4096;
constexpr std::size_t curveKeyText = 41; ///< 40 characters of Z85 and the end of the text
constexpr const char *zapEndpoint = "inproc://zeromq.zap.01";
constexpr std::size_t zapFrames = 7;
constexpr std::size_t zapCredentials = 6;

std::string toZ85(const unsigned char *bytes, std::size_t size)
{
    std::string text(curveKeyText, '\0');
    zmq_z85_encode(text.data(), bytes, size);
    text.pop_back();
    return text;
}

std::string zmqAddress(const endpoint &address)
{
    return "tcp://" + address.text();
}

/// @return ZeroMQ's name for a connection to a node that leaves from the IP number at which this node listens.
std::string zmqConnection(const endpoint &listening, const node_id &to)
{
    return zmqAddress({listening.ip, 0}) + ";" + to;
}

} // namespace

/// The link to one other node.
struct node_link::peer
{
    node_id node;
    std::unique_ptr<zmq_socket> channel;
    bool welcomed = false;
    std::uint64_t incarnation = 0;
    millis clockOffset{0}; ///< added to the own clock it is never ahead of the other's
    int outstanding = 0; ///< calls whose answers are due
    millis openedAt;
    millis heardAt;
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
    , m_context(zmq_ctx_new(), [](void *context) { zmq_ctx_term(context); })
{
    zmq_ctx_set(m_context.get(), ZMQ_MAX_SOCKETS, socketsMax);
    for (const auto &key : keys) {
        const auto secret = key.derive("links between nodes");
        curve_pair pair;
        pair.secretKey = toZ85(secret.data(), secret.size());
        pair.publicKey.resize(curveKeyText);
        zmq_curve_public(pair.publicKey.data(), pair.secretKey.c_str());
        pair.publicKey.pop_back();
        m_curve.push_back(std::move(pair));
    }
}

node_link::~node_link()
{
    m_heartbeatTimer.reset();
    m_peers.clear();
    m_router.reset();
    m_zap.reset();
}

result<bool> node_link::listen()
{
    // Step 1. The authenticator, which must exist before any socket that needs it
    m_zap = std::make_unique<zmq_socket>(m_loop, m_context.get(), ZMQ_REP, [this] { readZap(); });
    if (zmq_bind(m_zap->raw(), zapEndpoint) != 0) {
        return failure{errc::invalid_settings, "bind authenticator", zapEndpoint, zmq_strerror(zmq_errno())};
    }
    m_zap->startWatching();

    // Step 2. The listening socket
    m_router = std::make_unique<zmq_socket>(m_loop, m_context.get(), ZMQ_ROUTER, [this] { readRouter(); });
    m_router->setOption(ZMQ_CURVE_SERVER, 1);
    zmq_setsockopt(m_router->raw(), ZMQ_CURVE_SECRETKEY, m_curve.front().secretKey.data(), m_curve.front().secretKey.size());
    zmq_setsockopt(m_router->raw(), ZMQ_MAXMSGSIZE, &m_options.messageBytesMax, sizeof(m_options.messageBytesMax));
    m_router->setOption(ZMQ_SNDHWM, m_options.messagesMax);
    m_router->setOption(ZMQ_RCVHWM, m_options.messagesMax);
    const auto address = zmqAddress(m_options.listen);
    if (zmq_bind(m_router->raw(), address.c_str()) != 0) {
        return failure{errc::invalid_settings, "listen for nodes", address, zmq_strerror(zmq_errno())};
    }
    m_router->startWatching();
    m_heartbeatTimer = m_loop.every(m_options.heartbeat, [this] { heartbeat(); });
    return true;
}

/// Answers ZeroMQ's question (ZAP, RFC 27) whether a connection carries a key of the deployment.
void node_link::readZap()
{
    for (auto frames = m_zap->receiveFrames(); !frames.empty(); frames = m_zap->receiveFrames()) {
        bool known = false;
        if (frames.size() >= zapFrames && frames[zapCredentials].size() == std::tuple_size_v<derived_key>) {
            const auto &credentials = frames[zapCredentials];
            const auto offered = toZ85(reinterpret_cast<const unsigned char *>(credentials.data()), credentials.size());
            known = std::any_of(m_curve.begin(), m_curve.end(), [&](const curve_pair &pair) { return equalsInConstantTime(pair.publicKey, offered); });
        }
        const auto sequence = frames.size() > 1 ? frames[1] : std::string();
        m_zap->sendFrames({"1.0", sequence, known ? "200" : "400", known ? "OK" : "no key of this deployment", "", ""});
        if (!known) {
            logEvent(log_level::warning, "link_refused", {{"reason", "no key of this deployment"}});
        }
    }
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

/// Opens a fresh socket and asks the node for its welcome.
void node_link::connect(peer &target)
{
    target.openedAt = monotonicNow();
    target.heardAt = target.openedAt;
    target.channel = std::make_unique<zmq_socket>(m_loop, m_context.get(), ZMQ_DEALER, [this, &target] { readPeer(target); });
    void *raw = target.channel->raw();
    const auto &pair = m_curve[m_keyInUse[target.node] % m_curve.size()];
    zmq_setsockopt(raw, ZMQ_CURVE_SERVERKEY, pair.publicKey.data(), pair.publicKey.size());
    zmq_setsockopt(raw, ZMQ_CURVE_PUBLICKEY, pair.publicKey.data(), pair.publicKey.size());
    zmq_setsockopt(raw, ZMQ_CURVE_SECRETKEY, pair.secretKey.data(), pair.secretKey.size());
    zmq_setsockopt(raw, ZMQ_MAXMSGSIZE, &m_options.messageBytesMax, sizeof(m_options.messageBytesMax));
    target.channel->setOption(ZMQ_SNDHWM, m_options.messagesMax);
    target.channel->setOption(ZMQ_RCVHWM, m_options.messagesMax);
    zmq_connect(raw, zmqConnection(m_options.listen, target.node).c_str());
    target.channel->startWatching();
    greet(target);
}

/// Asks for the node's welcome.
void node_link::greet(peer &target)
{
    wire::LinkMessage hello;
    hello.mutable_hello()->set_node(m_self);
    send(target, hello);
}

void node_link::send(peer &target, const wire::LinkMessage &message)
{
    target.channel->sendFrames({message.SerializeAsString()});
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
        if (!target.channel->sendFrames({message.SerializeAsString()})) {
            m_handlers.onUnsent(call, attempt);
        } else if (target.outstanding++ == 0) {
            // Silence counts from when an answer is first due.
            target.heardAt = now;
        }
    }
    for (const auto &message : std::exchange(target.queuedOthers, {})) {
        send(target, message);
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
        send(target, message);
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

/// Sends a message that is no call as soon as the node has answered the hello.
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
    for (auto &[node, target] : m_peers) {
        const bool openTooLong = !target->welcomed && now - target->openedAt > m_options.welcomeTimeout;
        const bool due = target->welcomed && target->outstanding > 0;
        const bool silent = due && now - target->heardAt > m_options.silence;
        const bool idle = now - target->usedAt > m_options.idleTimeout;
        if (openTooLong || silent || idle) {
            ended.emplace_back(node, openTooLong);
            continue;
        }
        if (due && now - target->heardAt > m_options.heartbeat) {
            greet(*target);
        }
    }
    for (const auto &[node, failedToOpen] : ended) {
        drop(node, failedToOpen);
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
    for (const auto &queued : ended->queued) {
        m_handlers.onUnsent(queued.request.call(), queued.request.attempt());
    }
    m_handlers.onLost(node);
}

void node_link::readPeer(peer &source)
{
    const node_id node = source.node;
    for (auto frames = source.channel->receiveFrames(); !frames.empty(); frames = source.channel->receiveFrames()) {
        wire::LinkMessage message;
        if (message.ParseFromString(frames.back())) {
            source.heardAt = monotonicNow();
            dispatchPeer(source, message);
        }
        // A handler may have closed the link.
        const auto found = m_peers.find(node);
        if (found == m_peers.end() || found->second.get() != &source) {
            return;
        }
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

void node_link::readRouter()
{
    for (auto frames = m_router->receiveFrames(); !frames.empty(); frames = m_router->receiveFrames()) {
        wire::LinkMessage message;
        if (frames.size() == 2 && message.ParseFromString(frames[1])) {
            dispatchRouter(frames[0], message);
        } else {
            logEvent(log_level::warning, "link_message_malformed", {{"frames", frames.size()}});
        }
    }
}

void node_link::dispatchRouter(const link_identity &from, wire::LinkMessage &message)
{
    switch (message.kind_case()) {
    case wire::LinkMessage::kHello: {
        wire::LinkMessage answer;
        answer.mutable_welcome()->set_incarnation(m_incarnation);
        answer.mutable_welcome()->set_clock_ms(monotonicNow().count);
        sendRouter(from, answer);
        break;
    }
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

void node_link::sendRouter(const link_identity &to, const wire::LinkMessage &message)
{
    m_router->sendFrames({to, message.SerializeAsString()});
}

void node_link::reply(const link_identity &to, wire::CallReply &&reply)
{
    wire::LinkMessage message;
    *message.mutable_reply() = std::move(reply);
    sendRouter(to, message);
}

void node_link::pushConfig(const link_identity &to, wire::ConfigPush &&push)
{
    wire::LinkMessage message;
    *message.mutable_config_push() = std::move(push);
    sendRouter(to, message);
}

void node_link::pushMembers(const link_identity &to, wire::MemberPush &&push)
{
    wire::LinkMessage message;
    *message.mutable_member_push() = std::move(push);
    sendRouter(to, message);
}

void node_link::answerOnce(const link_identity &to, wire::OnceAnswer &&answer)
{
    wire::LinkMessage message;
    *message.mutable_once_answer() = std::move(answer);
    sendRouter(to, message);
}

bool node_link::isCurrent(const wire::CallRequest &request) const
{
    return request.incarnation() == m_incarnation && request.expires_at_ms() > monotonicNow().count;
}

} // namespace turmericspar
