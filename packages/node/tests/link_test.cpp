/// @file link_test.cpp
/// Links and gossip between two nodes in one process: keys, their rotation, replayed and foreign packets.
#include "node.pb.h"
#include "turmericspar/node/gossip.h"
#include "turmericspar/node/node_link.h"

#include <gtest/gtest.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace turmericspar;

/// Long enough that only what never comes takes so long.
constexpr millis patience{10'000};
/// For what must not come: long enough that it would have.
constexpr millis quiet{1500};
constexpr std::uint16_t firstPort = 28900;

const shared_key oldKey(std::string(32, 'o'));
const shared_key newKey(std::string(32, 'n'));
const shared_key foreignKey(std::string(32, 'f'));

/// One end of a link, which answers every call by its method.
class link_end
{
public:
    link_end(event_loop &loop, std::uint16_t port, const key_ring &keys, const std::function<void(link_options &)> &adjust = {})
        : m_self(endpoint{"127.0.0.1", port}.text())
    {
        link_handlers handlers;
        handlers.onRequest = [this](const link_identity &from, wire::CallRequest &request) {
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
        handlers.onLost = [this](const node_id &) { ++lost; };
        handlers.onDoubt = [this](const node_id &, bool doubtful) { doubts.push_back(doubtful); };
        handlers.onCancel = [](const link_identity &, const wire::CallCancel &) {};
        handlers.onAcceptedGone = [this](const link_identity &) { ++gone; };
        handlers.onConfigPull = [](const link_identity &, std::uint64_t) {};
        handlers.onConfigPush = [](const wire::ConfigPush &) {};
        handlers.onMemberPull = [](const link_identity &) {};
        handlers.onMemberPush = [](const wire::MemberPush &) {};
        handlers.onOnceAsk = [](const link_identity &, const wire::OnceAsk &) {};
        handlers.onOnceAnswer = [](const node_id &, const wire::OnceAnswer &) {};
        handlers.onSuspicions = [](const wire::SuspicionPush &) {};
        handlers.onDate = [this](const node_id &, millis shown) { date = shown; };
        link_options options;
        options.listen = {"127.0.0.1", port};
        if (adjust) {
            adjust(options);
        }
        links = std::make_unique<node_link>(loop, options, m_self, keys, port, std::move(handlers));
        EXPECT_TRUE(links->listen());
    }

    void call(const link_end &other, const std::string &method, millis time = patience)
    {
        wire::CallRequest request;
        request.set_call(1);
        request.set_attempt(1);
        request.set_method(method);
        links->sendRequest(other.m_self, std::move(request), monotonicNow() + time);
    }

    std::function<void(const wire::CallRequest &)> onRequest;
    std::unique_ptr<node_link> links;
    std::string answer;
    std::vector<bool> doubts;
    millis date;
    int requests = 0;
    int unsent = 0;
    int gone = 0;
    int lost = 0;

private:
    node_id m_self;
};

/// Runs the loop until something quits it, or for a time.
void runFor(event_loop &loop, millis span)
{
    const auto end = loop.after(span, [&] { loop.quit(); });
    loop.run();
}

TEST(node_link, nodes_of_neighbouring_steps_of_a_rotation_reach_each_other)
{
    const std::vector<key_ring> steps{{oldKey}, {oldKey, newKey}, {newKey, oldKey}, {newKey}};
    std::uint16_t port = firstPort;
    for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
        for (const bool forward : {true, false}) {
            event_loop loop;
            link_end from(loop, port++, steps[forward ? i : i + 1]);
            link_end to(loop, port++, steps[forward ? i + 1 : i]);
            // The first call may be handed back while the keys are tried; it is sent again as the entry would.
            for (int attempt = 0; attempt < 5 && from.answer.empty(); ++attempt) {
                from.call(to, "PING");
                const auto watcher = loop.every(millis{10}, [&] {
                    if (from.unsent > attempt) {
                        loop.quit();
                    }
                });
                runFor(loop, patience);
            }
            EXPECT_EQ(from.answer, "PING") << "step " << i << (forward ? " to " : " from ") << i + 1;
        }
    }
}

TEST(node_link, a_foreign_key_gets_nothing_through)
{
    event_loop loop;
    link_end from(loop, firstPort + 50, {foreignKey});
    link_end to(loop, firstPort + 51, {oldKey});
    from.call(to, "PING");
    runFor(loop, quiet);
    EXPECT_EQ(to.requests, 0);
    EXPECT_EQ(from.answer, "");
    EXPECT_EQ(from.unsent, 1) << "and the caller learns that it was not sent";
}

void trustNetwork(link_options &options)
{
    options.secured = false;
}

/// Runs the loop until a condition holds, or for a long time.
void runUntil(event_loop &loop, const std::function<bool()> &holds)
{
    const auto watcher = loop.every(millis{5}, [&] {
        if (holds()) {
            loop.quit();
        }
    });
    runFor(loop, patience);
}

/// Runs two loops by turns until a condition holds, or for some seconds.
void runByTurns(event_loop &first, event_loop &second, const std::function<bool()> &holds)
{
    for (int turn = 0; turn < 200 && !holds(); ++turn) {
        runFor(first, millis{5});
        runFor(second, millis{5});
    }
}

/// A plain connection to a port of this test.
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
    link_end from(loop, firstPort + 80, {oldKey}, trustNetwork);
    link_end to(loop, firstPort + 81, {foreignKey}, trustNetwork);
    from.call(to, "PING");
    runFor(loop, patience);
    EXPECT_EQ(from.answer, "PING");
}

TEST(node_link, texts_of_callers_need_not_be_utf8)
{
    event_loop loop;
    link_end from(loop, firstPort + 91, {oldKey}, trustNetwork);
    link_end to(loop, firstPort + 92, {oldKey}, trustNetwork);
    wire::CallRequest request;
    request.set_method("PING");
    request.set_target("/\xff\xfe");
    request.set_root("\xe9");
    request.add_fields()->set_value("caf\xe9");
    std::string target;
    to.onRequest = [&](const wire::CallRequest &arrived) { target = arrived.target(); };
    from.links->sendRequest(endpoint{"127.0.0.1", firstPort + 92}.text(), std::move(request), monotonicNow() + patience);
    runFor(loop, quiet);
    EXPECT_EQ(from.answer, "PING");
    EXPECT_EQ(target, "/\xff\xfe");
}

TEST(node_link, the_end_of_a_connection_tells_both_sides_at_once)
{
    event_loop loop;
    auto from = std::make_unique<link_end>(loop, firstPort + 82, key_ring{oldKey}, trustNetwork);
    auto to = std::make_unique<link_end>(loop, firstPort + 83, key_ring{oldKey}, trustNetwork);
    from->call(*to, "KEEP");
    runUntil(loop, [&] { return to->requests == 1; });
    const millis began = monotonicNow();
    to->links.reset();
    runUntil(loop, [&] { return from->lost == 1; });
    EXPECT_EQ(from->lost, 1);
    EXPECT_EQ(from->unsent, 0) << "a request that was sent may have run";
    EXPECT_LT((monotonicNow() - began).count, link_options{}.silence.count) << "without waiting for silence";

    to = std::make_unique<link_end>(loop, firstPort + 84, key_ring{oldKey}, trustNetwork);
    from->call(*to, "KEEP");
    runUntil(loop, [&] { return to->requests == 1; });
    from->links.reset();
    runUntil(loop, [&] { return to->gone == 1; });
    EXPECT_EQ(to->gone, 1) << "nobody waits for the answer any more";
}

TEST(node_link, a_link_with_an_answer_due_is_not_idle)
{
    event_loop loop;
    const auto adjust = [](link_options &options) {
        options.secured = false;
        options.idleTimeout = {200};
    };
    link_end from(loop, firstPort + 93, {oldKey}, adjust);
    link_end to(loop, firstPort + 94, {oldKey}, adjust);
    from.call(to, "KEEP");
    runFor(loop, quiet);
    EXPECT_EQ(to.requests, 1);
    EXPECT_EQ(from.lost, 0);
    EXPECT_EQ(from.links->peerCount(), 1U);
}

TEST(node_link, a_node_that_can_not_be_reached_gets_nothing)
{
    event_loop loop;
    link_end from(loop, firstPort + 85, {oldKey}, trustNetwork);
    link_end to(loop, firstPort + 86, {oldKey}, trustNetwork);
    to.links.reset();
    from.call(to, "PING");
    runUntil(loop, [&] { return from.unsent == 1; });
    EXPECT_EQ(from.unsent, 1);
}

TEST(node_link, a_silent_node_is_lost_and_what_it_gets_late_has_expired)
{
    event_loop loop;
    event_loop paused;
    link_end from(loop, firstPort + 87, {oldKey}, trustNetwork);
    bool current = true;
    link_end to(paused, firstPort + 88, {oldKey}, trustNetwork);
    to.onRequest = [&](const wire::CallRequest &request) { current = to.links->isCurrent(request); };

    // Step 1. The link is opened; then the loop of the serving node stands still while a call with a short time is sent
    from.call(to, "PING");
    runByTurns(loop, paused, [&] { return !from.answer.empty(); });
    ASSERT_EQ(from.answer, "PING");
    from.call(to, "KEEP", millis{300});
    runUntil(loop, [&] { return from.lost == 1; });
    EXPECT_EQ(from.lost, 1);
    EXPECT_EQ(from.unsent, 0);
    // libevent closes the socket in the turn after the one that gives it up
    runFor(loop, millis{5});

    // Step 2. It wakes up, reads what waited in its socket, and sees that the time has passed
    runFor(paused, millis{200});
    EXPECT_EQ(to.requests, 2);
    EXPECT_FALSE(current);
    EXPECT_EQ(to.gone, 1) << "and that its peer has gone";
}

TEST(node_link, a_node_that_gives_no_sign_of_life_is_doubted_before_it_is_lost_and_trusted_when_it_is_heard)
{
    event_loop loop;
    event_loop paused;
    link_end from(loop, firstPort + 97, {oldKey}, trustNetwork);
    link_end to(paused, firstPort + 98, {oldKey}, trustNetwork);
    from.call(to, "PING");
    runByTurns(loop, paused, [&] { return !from.answer.empty(); });
    ASSERT_EQ(from.answer, "PING");
    from.answer.clear();
    from.call(to, "LATE");
    runUntil(loop, [&] { return !from.doubts.empty(); });
    EXPECT_EQ(from.doubts, std::vector<bool>{true});
    EXPECT_EQ(from.lost, 0);
    runByTurns(paused, loop, [&] { return !from.answer.empty(); });
    EXPECT_EQ(from.answer, "LATE") << "an answer that was due all the while still comes";
    EXPECT_EQ(from.doubts, (std::vector<bool>{true, false}));
}

TEST(node_link, a_doubtful_node_is_lost_also_when_nobody_waits_for_it_any_more)
{
    event_loop loop;
    event_loop paused;
    link_end from(loop, firstPort + 99, {oldKey}, trustNetwork);
    link_end to(paused, firstPort + 100, {oldKey}, trustNetwork);
    from.call(to, "PING");
    runByTurns(loop, paused, [&] { return !from.answer.empty(); });
    from.call(to, "KEEP");
    runUntil(loop, [&] { return !from.doubts.empty(); });
    wire::CallCancel cancel;
    cancel.set_call(1);
    cancel.set_attempt(1);
    from.links->sendCancel(endpoint{"127.0.0.1", firstPort + 100}.text(), cancel);
    runFor(loop, link_options{}.silence * 2);
    EXPECT_EQ(from.doubts, (std::vector<bool>{true, false})) << "a new link may be tried";
    EXPECT_EQ(from.lost, 1);
}

TEST(node_link, bytes_that_are_no_messages_end_the_connection)
{
    const std::vector<std::string> nonsense{
        "GET / HTTP/1.1\r\nHost: example\r\n\r\n",
        std::string("\xff\xff\xff\xff", 4),
        std::string("\0\0\0\4", 4) + "\xff\xff\xff\xff",
    };
    event_loop loop;
    link_end to(loop, firstPort + 89, {oldKey}, trustNetwork);
    int ended = 0;
    for (const auto &bytes : nonsense) {
        const int descriptor = connectTo(firstPort + 89);
        ASSERT_EQ(send(descriptor, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
        runUntil(loop, [&] { return to.gone == ended + 1; });
        EXPECT_EQ(to.gone, ++ended);
        close(descriptor);
    }
    EXPECT_EQ(to.requests, 0);
}

TEST(node_link, a_peer_that_does_not_read_is_closed_rather_than_left_without_answers)
{
    constexpr std::size_t answerBytes = 4 * 1024 * 1024;
    event_loop loop;
    link_end to(loop, firstPort + 90, {oldKey}, trustNetwork);
    wire::LinkMessage message;
    message.mutable_request()->set_method(std::string(answerBytes, 'x'));
    const auto bytes = message.SerializeAsString();
    const auto size = static_cast<std::uint32_t>(bytes.size());
    const std::string frame =
        std::string{static_cast<char>(size >> 24), static_cast<char>(size >> 16), static_cast<char>(size >> 8), static_cast<char>(size)} + bytes;
    const int descriptor = connectTo(firstPort + 90);
    std::thread writer([&] {
        for (std::size_t sent = 0; sent < 8 * frame.size();) {
            const auto taken = send(descriptor, frame.data() + sent % frame.size(), frame.size() - sent % frame.size(), MSG_NOSIGNAL);
            if (taken <= 0) {
                return;
            }
            sent += static_cast<std::size_t>(taken);
        }
    });
    runUntil(loop, [&] { return to.gone == 1; });
    EXPECT_EQ(to.gone, 1);
    writer.join();
    close(descriptor);
}

/// A gossip socket that counts what it accepts.
class gossip_end
{
public:
    /// @param ahead by how much its clock is ahead of the others
    gossip_end(event_loop &loop, std::uint16_t port, const key_ring &keys, millis ahead = {0})
        : address{"127.0.0.1", port}
        , socket(loop, keys, {[this](const gossip_message &) { ++heard; }, [this](const node_id &node) { inDoubt.insert(node); }}, [ahead] {
            return steadyWallNow() + ahead;
        })
    {
        EXPECT_TRUE(socket.listen(address));
    }

    void tell(const endpoint &to)
    {
        gossip_message message;
        message.from = address.text();
        socket.send({to.text(), message});
    }

    endpoint address;
    int heard = 0;
    std::set<node_id> inDoubt;
    gossip socket;
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

/// Takes one packet off a socket that is bound to an address.
std::string takePacket(const endpoint &at, const std::function<void()> &whenBound)
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

TEST(gossip, both_keys_are_accepted_and_a_foreign_one_is_not)
{
    event_loop loop;
    gossip_end receiver(loop, firstPort + 60, {newKey, oldKey});
    gossip_end older(loop, firstPort + 61, {oldKey});
    gossip_end newer(loop, firstPort + 62, {newKey});
    gossip_end foreign(loop, firstPort + 63, {foreignKey});
    older.tell(receiver.address);
    newer.tell(receiver.address);
    foreign.tell(receiver.address);
    const auto watcher = loop.every(millis{5}, [&] {
        if (receiver.socket.counts().packetsReceived == 3) {
            loop.quit();
        }
    });
    runFor(loop, patience);
    EXPECT_EQ(receiver.heard, 2);
    EXPECT_EQ(receiver.socket.counts().packetsRefused, 1U);
}

TEST(gossip, a_member_whose_clock_is_an_hour_off_is_heard_once_its_clock_is_known)
{
    constexpr millis hour{3'600'000};
    event_loop loop;
    gossip_end receiver(loop, firstPort + 64, {oldKey});
    gossip_end stepped(loop, firstPort + 65, {oldKey}, hour);
    const endpoint tap{"127.0.0.1", firstPort + 66};
    const auto atTap = takePacket(tap, [&] { stepped.tell(tap); });
    const auto arrived = [&](std::uint64_t packets) { return [&, packets] { return receiver.socket.counts().packetsReceived == packets; }; };

    stepped.tell(receiver.address);
    runUntil(loop, arrived(1));
    EXPECT_EQ(receiver.heard, 0);
    EXPECT_EQ(receiver.inDoubt, std::set<node_id>{stepped.address.text()}) << "and its owner asks what the clock shows";

    receiver.socket.noteDate(stepped.address.text(), steadyWallNow() + hour);
    stepped.tell(receiver.address);
    runUntil(loop, arrived(2));
    EXPECT_EQ(receiver.heard, 1);

    // What it sent in an earlier life, by a clock that was right, is old now
    receiver.socket.noteDate(stepped.address.text(), steadyWallNow() + hour + hour);
    sendPacket(receiver.address, atTap);
    runUntil(loop, arrived(3));
    EXPECT_EQ(receiver.heard, 1);
}

TEST(node_link, a_node_tells_its_date_on_a_link)
{
    event_loop loop;
    link_end from(loop, firstPort + 95, {oldKey}, trustNetwork);
    link_end to(loop, firstPort + 96, {oldKey}, trustNetwork);
    from.call(to, "PING");
    runFor(loop, patience);
    EXPECT_NEAR(from.date.count, wallNow().count, oneSecond.count);
}

TEST(gossip, a_replayed_or_changed_packet_is_refused)
{
    event_loop loop;
    gossip_end receiver(loop, firstPort + 70, {oldKey});
    gossip_end sender(loop, firstPort + 71, {oldKey});
    const endpoint tap{"127.0.0.1", firstPort + 72};
    const auto packet = takePacket(tap, [&] { sender.tell(tap); });
    ASSERT_FALSE(packet.empty());
    std::uint64_t sent = 0;
    for (int copy = 0; copy < 3; ++copy, ++sent) {
        sendPacket(receiver.address, packet);
    }
    for (std::size_t at = 0; at < packet.size(); ++at, ++sent) {
        auto changed = packet;
        changed[at] = static_cast<char>(changed[at] ^ 0x20);
        sendPacket(receiver.address, changed);
    }
    const auto watcher = loop.every(millis{5}, [&] {
        if (receiver.socket.counts().packetsReceived == sent) {
            loop.quit();
        }
    });
    runFor(loop, patience);
    EXPECT_EQ(receiver.socket.counts().packetsReceived, sent);
    EXPECT_EQ(receiver.heard, 1);
}

} // namespace
