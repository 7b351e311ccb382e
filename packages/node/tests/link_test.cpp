/// @file link_test.cpp
/// Links and gossip between nodes in one process: keys and their rotation, lost and unresponsive links, replayed and forged packets.
#include "node.pb.h"
#include "turmericspar/node/gossip_socket.h"
#include "turmericspar/node/node_link.h"

#include <gtest/gtest.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace turmericspar;

/// Upper bound on waiting for an expected event; only an event that never happens takes this long.
constexpr millis waitMax{10'000};
/// Time to wait for an event that must not happen; long enough that it would have happened.
constexpr millis settleTime{1500};
constexpr std::uint16_t firstPort = 28900;

const shared_key oldKey(std::string(32, 'o'));
const shared_key newKey(std::string(32, 'n'));
const shared_key foreignKey(std::string(32, 'f'));

/// A node that answers every call with the call's method as the body, except for the method KEEP, which it leaves unanswered.
class test_node
{
public:
    test_node(event_loop &loop, std::uint16_t port, const key_ring &keys, const std::function<void(link_options &)> &adjust = {})
        : m_self(endpoint{"127.0.0.1", port}.text())
    {
        link_handlers handlers;
        handlers.onRequest = [this](const connection_id &from, wire::CallRequest &request) {
            ++requests;
            if (onRequest) {
                onRequest(request);
            }
            if (request.method() == "KEEP") {
                return;
            }
            wire::CallReply reply;
            reply.set_call(request.call());
            reply.set_attempt(request.attempt());
            reply.set_body(request.method());
            links->reply(from, std::move(reply));
        };
        handlers.onReply = [this, &loop](const node_id &, wire::CallReply &reply) {
            answer = reply.body();
            loop.quit();
        };
        handlers.onUnsent = [this](std::uint64_t, std::uint32_t) { ++unsent; };
        handlers.onLinkLost = [this](const node_id &) { ++linksLost; };
        handlers.onUnresponsive = [this](const node_id &, bool unresponsive) { unresponsiveEvents.push_back(unresponsive); };
        handlers.onCancel = [](const connection_id &, const wire::CallCancel &) {};
        handlers.onWithdrawal = [](const connection_id &, const wire::CallWithdrawal &) {};
        handlers.onAcceptedClosed = [this](const connection_id &) { ++acceptedClosed; };
        handlers.onConfigPull = [](const connection_id &, const wire::ConfigPull &) {};
        handlers.onConfigPush = [](const wire::ConfigPush &) {};
        handlers.onMemberPull = [](const connection_id &) {};
        handlers.onMemberPush = [](const wire::MemberPush &) {};
        handlers.onOnceAsk = [](const connection_id &, const wire::OnceAsk &) {};
        handlers.onOnceAnswer = [](const node_id &, const wire::OnceAnswer &) {};
        handlers.onSuspicions = [](const wire::SuspicionPush &) {};
        handlers.onPeerClock = [this](const node_id &, millis wallTime) { peerClock = wallTime; };
        link_options options;
        options.listen = {"127.0.0.1", port};
        if (adjust) {
            adjust(options);
        }
        links = std::make_unique<node_link>(loop, options, m_self, keys, port, std::move(handlers));
        EXPECT_TRUE(links->listen());
    }

    void call(const test_node &other, const std::string &method, millis timeout = waitMax)
    {
        wire::CallRequest request;
        request.set_call(1);
        request.set_attempt(1);
        request.set_method(method);
        links->sendRequest(other.m_self, std::move(request), monotonicNow() + timeout);
    }

    std::function<void(const wire::CallRequest &)> onRequest;
    std::unique_ptr<node_link> links;
    std::string answer;
    std::vector<bool> unresponsiveEvents;
    millis peerClock;
    int requests = 0;
    int unsent = 0;
    int acceptedClosed = 0;
    int linksLost = 0;

private:
    node_id m_self;
};

/// Runs the loop until a handler quits it, at most for a duration.
void runFor(event_loop &loop, millis duration)
{
    const auto timer = loop.after(duration, [&] { loop.quit(); });
    loop.run();
}

TEST(node_link, nodes_at_adjacent_steps_of_a_key_rotation_reach_each_other)
{
    const std::vector<key_ring> steps{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}};
    std::uint16_t port = firstPort;
    for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
        for (const bool forward : {true, false}) {
            event_loop loop;
            test_node from(loop, port++, steps[forward ? i : i + 1]);
            test_node to(loop, port++, steps[forward ? i + 1 : i]);
            // The first calls may fail while the keys are tried; they are sent again, as the entry does.
            for (int attempt = 0; attempt < 5 && from.answer.empty(); ++attempt) {
                from.call(to, "PING");
                const auto watcher = loop.every(millis{10}, [&] {
                    if (from.unsent > attempt) {
                        loop.quit();
                    }
                });
                runFor(loop, waitMax);
            }
            EXPECT_EQ(from.answer, "PING") << "step " << i << (forward ? " to " : " from ") << i + 1;
        }
    }
}

TEST(node_link, a_node_with_a_foreign_key_is_refused)
{
    event_loop loop;
    test_node from(loop, firstPort + 50, {foreignKey});
    test_node to(loop, firstPort + 51, {oldKey});
    from.call(to, "PING");
    runFor(loop, settleTime);
    EXPECT_EQ(to.requests, 0);
    EXPECT_EQ(from.answer, "");
    EXPECT_EQ(from.unsent, 1) << "the sender must learn that the call was not sent";
}

void trustNetwork(link_options &options)
{
    options.useTls = false;
}

/// Runs the loop until a condition holds, at most for `waitMax`.
void runUntil(event_loop &loop, const std::function<bool()> &condition)
{
    const auto watcher = loop.every(millis{5}, [&] {
        if (condition()) {
            loop.quit();
        }
    });
    runFor(loop, waitMax);
}

/// Runs two loops alternately until a condition holds, at most for two seconds.
void runAlternately(event_loop &first, event_loop &second, const std::function<bool()> &condition)
{
    for (int turn = 0; turn < 200 && !condition(); ++turn) {
        runFor(first, millis{5});
        runFor(second, millis{5});
    }
}

/// Opens a plain connection to a port of this test.
int connectTo(std::uint16_t port)
{
    sockaddr_storage storage;
    const auto length = endpoint{"127.0.0.1", port}.toSockaddr(storage);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<sockaddr *>(&storage), length), 0);
    return descriptor;
}

TEST(node_link, links_of_a_trusted_network_need_no_key)
{
    event_loop loop;
    test_node from(loop, firstPort + 80, {oldKey}, trustNetwork);
    test_node to(loop, firstPort + 81, {foreignKey}, trustNetwork);
    from.call(to, "PING");
    runFor(loop, waitMax);
    EXPECT_EQ(from.answer, "PING");
}

TEST(node_link, strings_of_callers_need_not_be_utf8)
{
    event_loop loop;
    test_node from(loop, firstPort + 91, {oldKey}, trustNetwork);
    test_node to(loop, firstPort + 92, {oldKey}, trustNetwork);
    wire::CallRequest request;
    request.set_method("PING");
    request.set_target("/\xff\xfe");
    request.set_root("\xe9");
    request.add_fields()->set_value("caf\xe9");
    std::string target;
    to.onRequest = [&](const wire::CallRequest &arrived) { target = arrived.target(); };
    from.links->sendRequest(endpoint{"127.0.0.1", firstPort + 92}.text(), std::move(request), monotonicNow() + waitMax);
    runFor(loop, settleTime);
    EXPECT_EQ(from.answer, "PING");
    EXPECT_EQ(target, "/\xff\xfe");
}

TEST(node_link, a_closed_connection_is_reported_on_both_sides_at_once)
{
    event_loop loop;
    auto from = std::make_unique<test_node>(loop, firstPort + 82, key_ring{oldKey}, trustNetwork);
    auto to = std::make_unique<test_node>(loop, firstPort + 83, key_ring{oldKey}, trustNetwork);
    from->call(*to, "KEEP");
    runUntil(loop, [&] { return to->requests == 1; });
    const millis began = monotonicNow();
    to->links.reset();
    runUntil(loop, [&] { return from->linksLost == 1; });
    EXPECT_EQ(from->linksLost, 1);
    EXPECT_EQ(from->unsent, 0) << "a request that was sent may have run, so it must not be reported as unsent";
    EXPECT_LT((monotonicNow() - began).count, link_options{}.silenceTimeout.count) << "must not wait for the silence timeout";

    to = std::make_unique<test_node>(loop, firstPort + 84, key_ring{oldKey}, trustNetwork);
    from->call(*to, "KEEP");
    runUntil(loop, [&] { return to->requests == 1; });
    from->links.reset();
    runUntil(loop, [&] { return to->acceptedClosed == 1; });
    EXPECT_EQ(to->acceptedClosed, 1) << "nobody waits for the reply any more";
}

TEST(node_link, a_link_with_a_pending_reply_is_not_idle)
{
    event_loop loop;
    const auto adjust = [](link_options &options) {
        options.useTls = false;
        options.idleTimeout = {200};
    };
    test_node from(loop, firstPort + 93, {oldKey}, adjust);
    test_node to(loop, firstPort + 94, {oldKey}, adjust);
    from.call(to, "KEEP");
    runFor(loop, settleTime);
    EXPECT_EQ(to.requests, 1);
    EXPECT_EQ(from.linksLost, 0);
    EXPECT_EQ(from.links->peerCount(), 1U);
}

TEST(node_link, a_call_to_an_unreachable_node_is_reported_as_unsent)
{
    event_loop loop;
    test_node from(loop, firstPort + 85, {oldKey}, trustNetwork);
    test_node to(loop, firstPort + 86, {oldKey}, trustNetwork);
    to.links.reset();
    from.call(to, "PING");
    runUntil(loop, [&] { return from.unsent == 1; });
    EXPECT_EQ(from.unsent, 1);
}

TEST(node_link, a_link_to_a_paused_node_is_lost_and_its_late_request_has_expired)
{
    event_loop loop;
    event_loop paused;
    test_node from(loop, firstPort + 87, {oldKey}, trustNetwork);
    bool current = true;
    test_node to(paused, firstPort + 88, {oldKey}, trustNetwork);
    to.onRequest = [&](const wire::CallRequest &request) { current = to.links->isCurrent(request); };

    // Step 1. Open the link, then pause the loop of the serving node while a call with a short deadline is sent
    from.call(to, "PING");
    runAlternately(loop, paused, [&] { return !from.answer.empty(); });
    ASSERT_EQ(from.answer, "PING");
    from.call(to, "KEEP", millis{300});
    runUntil(loop, [&] { return from.linksLost == 1; });
    EXPECT_EQ(from.linksLost, 1);
    EXPECT_EQ(from.unsent, 0);
    // libevent closes the socket in the iteration after the one that frees the bufferevent
    runFor(loop, millis{5});

    // Step 2. Resume the serving node: it reads the request from its socket and finds that the deadline has passed
    runFor(paused, millis{200});
    EXPECT_EQ(to.requests, 2);
    EXPECT_FALSE(current);
    EXPECT_EQ(to.acceptedClosed, 1) << "must notice that the connection was closed";
}

TEST(node_link, a_paused_node_is_unresponsive_until_its_next_message)
{
    event_loop loop;
    event_loop paused;
    test_node from(loop, firstPort + 97, {oldKey}, trustNetwork);
    test_node to(paused, firstPort + 98, {oldKey}, trustNetwork);
    from.call(to, "PING");
    runAlternately(loop, paused, [&] { return !from.answer.empty(); });
    ASSERT_EQ(from.answer, "PING");
    from.answer.clear();
    from.call(to, "LATE");
    runUntil(loop, [&] { return !from.unresponsiveEvents.empty(); });
    EXPECT_EQ(from.unresponsiveEvents, std::vector<bool>{true});
    EXPECT_EQ(from.linksLost, 0);
    runAlternately(paused, loop, [&] { return !from.answer.empty(); });
    EXPECT_EQ(from.answer, "LATE") << "the pending reply must still arrive";
    EXPECT_EQ(from.unresponsiveEvents, (std::vector<bool>{true, false}));
}

TEST(node_link, an_unresponsive_link_is_lost_even_without_pending_replies)
{
    event_loop loop;
    event_loop paused;
    test_node from(loop, firstPort + 99, {oldKey}, trustNetwork);
    test_node to(paused, firstPort + 100, {oldKey}, trustNetwork);
    from.call(to, "PING");
    runAlternately(loop, paused, [&] { return !from.answer.empty(); });
    from.call(to, "KEEP");
    runUntil(loop, [&] { return !from.unresponsiveEvents.empty(); });
    wire::CallCancel cancel;
    cancel.set_call(1);
    cancel.set_attempt(1);
    from.links->sendCancel(endpoint{"127.0.0.1", firstPort + 100}.text(), cancel);
    runFor(loop, link_options{}.silenceTimeout * 2);
    EXPECT_EQ(from.unresponsiveEvents, (std::vector<bool>{true, false})) << "a new link may be opened";
    EXPECT_EQ(from.linksLost, 1);
}

/// The other end of links, whose connections go silent after the Welcome: it reads what arrives and writes nothing more.
class silent_peer
{
public:
    explicit silent_peer(std::uint16_t port)
    {
        sockaddr_storage storage;
        const auto length = endpoint{"127.0.0.1", port}.toSockaddr(storage);
        const int reuse = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr *>(&storage), length), 0);
        EXPECT_EQ(listen(m_listener, 8), 0);
    }
    silent_peer(const silent_peer &) = delete;
    silent_peer &operator=(const silent_peer &) = delete;
    ~silent_peer()
    {
        for (const int descriptor : m_connections) {
            close(descriptor);
        }
        close(m_listener);
    }

    /// Accepts waiting connections, sends each a Welcome, and reads what has arrived on all of them.
    void poll()
    {
        for (int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); descriptor >= 0;
             descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) {
            wire::LinkMessage welcome;
            welcome.mutable_welcome()->set_incarnation(1);
            const auto bytes = welcome.SerializeAsString();
            const std::string frame = std::string{0, 0, 0, static_cast<char>(bytes.size())} + bytes;
            EXPECT_EQ(send(descriptor, frame.data(), frame.size(), 0), static_cast<ssize_t>(frame.size()));
            m_connections.push_back(descriptor);
            received.emplace_back();
        }
        for (std::size_t i = 0; i < m_connections.size(); ++i) {
            std::string bytes(4096, '\0');
            const auto size = recv(m_connections[i], bytes.data(), bytes.size(), MSG_DONTWAIT);
            received[i].append(bytes, 0, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        }
    }

    /// @return whether a connection has carried a message.
    bool hasReceived(std::size_t connection, const wire::LinkMessage &message) const
    {
        return connection < received.size() && received[connection].find(message.SerializeAsString()) != std::string::npos;
    }

    std::vector<std::string> received; ///< bytes, by connection

private:
    int m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    std::vector<int> m_connections;
};

// Guards against links that carry no calls staying silent for good: a node then never got the configuration that it asked for.
TEST(node_link, a_message_that_is_no_call_detects_a_silent_link_and_is_sent_again_on_a_new_one)
{
    wire::SuspicionPush push;
    push.add_entries()->set_digest(77);
    wire::LinkMessage pull;
    pull.mutable_config_pull()->set_have(3);
    pull.mutable_config_pull()->set_chain(9);
    wire::LinkMessage members;
    members.mutable_member_pull();
    wire::LinkMessage suspicions;
    *suspicions.mutable_suspicions() = push;
    wire::LinkMessage ask;
    ask.mutable_once_ask()->set_key("key");
    const std::vector<std::pair<wire::LinkMessage, std::function<void(node_link &, const node_id &)>>> messages{
        {pull, [](node_link &links, const node_id &node) { links.pullConfig(node, 3, 9); }},
        {members, [](node_link &links, const node_id &node) { links.pullMembers(node); }},
        {suspicions, [&](node_link &links, const node_id &node) { links.pushSuspicions(node, push); }},
        {ask, [&](node_link &links, const node_id &node) { links.sendOnceAsk(node, ask.once_ask()); }},
    };
    std::uint16_t port = firstPort + 110;
    for (const auto &entry : messages) {
        const auto &message = entry.first;
        event_loop loop;
        test_node from(loop, port++, {oldKey}, trustNetwork);
        silent_peer to(port);
        const auto node = endpoint{"127.0.0.1", port++}.text();
        const auto poller = loop.every(millis{5}, [&] { to.poll(); });
        entry.second(*from.links, node);
        runUntil(loop, [&] { return to.hasReceived(1, message); });
        EXPECT_TRUE(to.hasReceived(0, message)) << message.kind_case();
        EXPECT_TRUE(to.hasReceived(1, message)) << message.kind_case();
        // It is not sent for ever: the new link is silent as well, and there is nothing more to be sent.
        runFor(loop, link_options{}.silenceTimeout * 3);
        EXPECT_EQ(to.received.size(), 2U) << message.kind_case();
    }
}

// Guards against a silent link whose calls are waited for until their deadlines: a cancelled call and its reply counted twice.
TEST(node_link, the_reply_to_a_cancelled_call_leaves_the_other_calls_pending)
{
    event_loop loop;
    test_node from(loop, firstPort + 120, {oldKey}, [](link_options &options) {
        options.useTls = false;
        options.idleTimeout = {300};
    });
    test_node to(loop, firstPort + 121, {oldKey}, trustNetwork);
    const auto node = endpoint{"127.0.0.1", firstPort + 121}.text();
    for (const std::uint64_t id : {1, 2}) {
        wire::CallRequest request;
        request.set_call(id);
        request.set_attempt(1);
        request.set_method(id == 1 ? "PING" : "KEEP");
        from.links->sendRequest(node, std::move(request), monotonicNow() + waitMax);
    }
    // The cancellation crosses the reply: the call is cancelled after it was sent, and answered all the same.
    runUntil(loop, [&] { return to.requests > 0; });
    wire::CallCancel cancel;
    cancel.set_call(1);
    cancel.set_attempt(1);
    from.links->sendCancel(node, cancel);
    runFor(loop, settleTime);
    runFor(loop, settleTime);
    EXPECT_EQ(from.answer, "PING");
    EXPECT_EQ(from.linksLost, 0) << "the link of the call that still runs was taken for idle";
}

TEST(node_link, malformed_bytes_close_the_connection)
{
    const std::vector<std::string> malformed{
        "GET / HTTP/1.1\r\nHost: example\r\n\r\n",
        std::string("\xff\xff\xff\xff", 4),
        std::string("\0\0\0\4", 4) + "\xff\xff\xff\xff",
    };
    event_loop loop;
    test_node to(loop, firstPort + 89, {oldKey}, trustNetwork);
    int closed = 0;
    for (const auto &bytes : malformed) {
        const int descriptor = connectTo(firstPort + 89);
        ASSERT_EQ(send(descriptor, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
        runUntil(loop, [&] { return to.acceptedClosed == closed + 1; });
        EXPECT_EQ(to.acceptedClosed, ++closed);
        close(descriptor);
    }
    EXPECT_EQ(to.requests, 0);
}

TEST(node_link, a_connection_whose_peer_does_not_read_is_closed)
{
    constexpr std::size_t answerBytes = 4 * 1024 * 1024;
    event_loop loop;
    test_node to(loop, firstPort + 90, {oldKey}, trustNetwork);
    wire::LinkMessage message;
    message.mutable_request()->set_method(std::string(answerBytes, 'x'));
    const auto bytes = message.SerializeAsString();
    const auto size = static_cast<std::uint32_t>(bytes.size());
    const std::string frame =
        std::string{static_cast<char>(size >> 24), static_cast<char>(size >> 16), static_cast<char>(size >> 8), static_cast<char>(size)} + bytes;
    const int descriptor = connectTo(firstPort + 90);
    std::thread writer([&] {
        for (std::size_t sent = 0; sent < 8 * frame.size();) {
            const auto written = send(descriptor, frame.data() + sent % frame.size(), frame.size() - sent % frame.size(), MSG_NOSIGNAL);
            if (written <= 0) {
                return;
            }
            sent += static_cast<std::size_t>(written);
        }
    });
    runUntil(loop, [&] { return to.acceptedClosed == 1; });
    EXPECT_EQ(to.acceptedClosed, 1);
    writer.join();
    close(descriptor);
}

/// A gossip socket that counts the accepted messages.
class gossip_node
{
public:
    /// @param clockOffset by how much its clock is ahead of that of the other nodes
    gossip_node(event_loop &loop, std::uint16_t port, const key_ring &keys, millis clockOffset = {0})
        : address{"127.0.0.1", port}
        , socket(loop, keys, {[this](const gossip_message &) { ++received; }, [this](const node_id &node) { clockMismatches.insert(node); }}, [clockOffset] {
            return steadyWallNow() + clockOffset;
        })
    {
        EXPECT_TRUE(socket.listen(address));
    }

    void sendTo(const endpoint &to)
    {
        gossip_message message;
        message.from = address.text();
        socket.send({to.text(), message});
    }

    endpoint address;
    int received = 0;
    std::set<node_id> clockMismatches;
    gossip_socket socket;
};

/// Sends raw bytes as a packet.
void sendPacket(const endpoint &to, const std::string &bytes)
{
    sockaddr_storage storage;
    const auto length = to.toSockaddr(storage);
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM, 0);
    sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&storage), length);
    close(descriptor);
}

/// Binds a socket to an address, calls `whenBound` and returns the next packet that arrives.
std::string capturePacket(const endpoint &at, const std::function<void()> &whenBound)
{
    sockaddr_storage storage;
    const auto length = at.toSockaddr(storage);
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM, 0);
    EXPECT_EQ(bind(descriptor, reinterpret_cast<sockaddr *>(&storage), length), 0);
    whenBound();
    std::string bytes(4096, '\0');
    const auto size = recv(descriptor, bytes.data(), bytes.size(), 0);
    close(descriptor);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return bytes;
}

TEST(gossip_socket, accepts_both_keys_of_a_rotation_but_no_foreign_key)
{
    event_loop loop;
    gossip_node receiver(loop, firstPort + 60, {newKey, oldKey});
    gossip_node older(loop, firstPort + 61, {oldKey});
    gossip_node newer(loop, firstPort + 62, {newKey});
    gossip_node foreign(loop, firstPort + 63, {foreignKey});
    older.sendTo(receiver.address);
    newer.sendTo(receiver.address);
    foreign.sendTo(receiver.address);
    const auto watcher = loop.every(millis{5}, [&] {
        if (receiver.socket.counts().packetsReceived == 3) {
            loop.quit();
        }
    });
    runFor(loop, waitMax);
    EXPECT_EQ(receiver.received, 2);
    EXPECT_EQ(receiver.socket.counts().packetsRefused, 1U);
}

TEST(gossip_socket, packets_of_a_node_whose_clock_is_an_hour_ahead_are_accepted_once_its_clock_is_known)
{
    constexpr millis hour{3'600'000};
    event_loop loop;
    gossip_node receiver(loop, firstPort + 64, {oldKey});
    gossip_node shifted(loop, firstPort + 65, {oldKey}, hour);
    const endpoint tap{"127.0.0.1", firstPort + 66};
    const auto captured = capturePacket(tap, [&] { shifted.sendTo(tap); });
    const auto arrived = [&](std::uint64_t packets) { return [&, packets] { return receiver.socket.counts().packetsReceived == packets; }; };

    shifted.sendTo(receiver.address);
    runUntil(loop, arrived(1));
    EXPECT_EQ(receiver.received, 0);
    EXPECT_EQ(receiver.clockMismatches, std::set<node_id>{shifted.address.text()}) << "the mismatch must be reported, so that the clock can be requested";

    receiver.socket.updatePeerClock(shifted.address.text(), steadyWallNow() + hour);
    shifted.sendTo(receiver.address);
    runUntil(loop, arrived(2));
    EXPECT_EQ(receiver.received, 1);

    // A packet that it sent before its clock went another hour ahead is too old now
    receiver.socket.updatePeerClock(shifted.address.text(), steadyWallNow() + hour + hour);
    sendPacket(receiver.address, captured);
    runUntil(loop, arrived(3));
    EXPECT_EQ(receiver.received, 1);
}

TEST(node_link, a_node_reports_its_wall_clock_on_a_link)
{
    event_loop loop;
    test_node from(loop, firstPort + 95, {oldKey}, trustNetwork);
    test_node to(loop, firstPort + 96, {oldKey}, trustNetwork);
    from.call(to, "PING");
    runFor(loop, waitMax);
    EXPECT_NEAR(from.peerClock.count, wallNow().count, oneSecond.count);
}

TEST(gossip_socket, replayed_and_modified_packets_are_refused)
{
    event_loop loop;
    gossip_node receiver(loop, firstPort + 70, {oldKey});
    gossip_node sender(loop, firstPort + 71, {oldKey});
    const endpoint tap{"127.0.0.1", firstPort + 72};
    const auto packet = capturePacket(tap, [&] { sender.sendTo(tap); });
    ASSERT_FALSE(packet.empty());
    std::uint64_t sent = 0;
    for (int copy = 0; copy < 3; ++copy, ++sent) {
        sendPacket(receiver.address, packet);
    }
    for (std::size_t at = 0; at < packet.size(); ++at, ++sent) {
        auto modified = packet;
        modified[at] = static_cast<char>(modified[at] ^ 0x20);
        sendPacket(receiver.address, modified);
    }
    const auto watcher = loop.every(millis{5}, [&] {
        if (receiver.socket.counts().packetsReceived == sent) {
            loop.quit();
        }
    });
    runFor(loop, waitMax);
    EXPECT_EQ(receiver.socket.counts().packetsReceived, sent);
    EXPECT_EQ(receiver.received, 1);
}

} // namespace
