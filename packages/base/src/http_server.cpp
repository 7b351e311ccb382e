#include "turmericspar/base/http_server.h"

#include "turmericspar/base/socket_write.h"

#include <algorithm>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <unistd.h>

namespace turmericspar {

namespace {

/// How much a connection reads ahead while its present request is being worked on.
constexpr std::size_t readAheadBytes = 64 * 1024;

/// How long a connection waits for its peer to end it too, after the last answer was written.
constexpr millis lingerTimeout{1000};

constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

/// One accepted connection: reads a request, waits for its answer, then reads the next.
class http_server::connection
{
public:
    connection(http_server &server, std::uint64_t id, int descriptor, endpoint peer)
        : m_server(server)
        , m_id(id)
        , m_peer(std::move(peer))
        , m_reader(http_reader::role::server, server.m_options.limits)
        , m_bev(bufferevent_socket_new(server.m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(m_bev, onRead, onWritten, onEvent, this);
        bufferevent_setwatermark(m_bev, EV_READ, 0, readAheadBytes);
        m_timer = server.m_loop.after(server.m_options.idleTimeout, [this] { m_server.drop(m_id); });
        bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    }

    ~connection()
    {
        bufferevent_free(m_bev);
        giveUpPending();
    }

    /// Takes the answer to a request; it is written as soon as all answers before it are.
    void respond(std::uint64_t number, http_response response)
    {
        const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&](const pending_exchange &pending) { return pending.number == number; });
        if (found == m_pending.end()) {
            return;
        }
        found->answer = std::move(response);
        writeAnswers();
    }

    /// Ends the connection as soon as nothing is due on it.
    void closeWhenIdle()
    {
        if (m_pending.empty() && !m_reader.started()) {
            m_closing = true;
            closeIfWritten();
        }
    }

private:
    /// A request whose answer is not yet written.
    struct pending_exchange
    {
        std::uint64_t number = 0;
        http_exchange_ptr exchange; ///< empty for a message that could not be read
        bool keepAlive = true;
        std::optional<http_response> answer;
    };

    static connection *self(void *context) { return static_cast<connection *>(context); }
    static void onRead(bufferevent *, void *context) { self(context)->read(); }
    static void onWritten(bufferevent *, void *context) { self(context)->closeIfWritten(); }
    static void onEvent(bufferevent *, short, void *context) { self(context)->m_server.drop(self(context)->m_id); }

    /// Ends the own side once all is written, and waits for the peer to end its side: bytes that were not read when a connection
    /// is closed would reset it, and the last answer could be lost.
    void closeIfWritten()
    {
        if (m_closing && !m_ended && evbuffer_get_length(bufferevent_get_output(m_bev)) == 0) {
            m_ended = true;
            shutdown(bufferevent_getfd(m_bev), SHUT_WR);
            m_timer->restart(lingerTimeout);
        }
    }

    /// Writes the answers that are due next, in the order of their requests.
    void writeAnswers()
    {
        const bool wasFull = m_pending.size() >= m_server.m_options.pipelinedMax;
        while (!m_closing && !m_pending.empty() && m_pending.front().answer) {
            const auto pending = std::move(m_pending.front());
            m_pending.pop_front();
            const bool isLast = m_pending.empty() && !m_reader.started();
            const bool keepAlive = pending.keepAlive && !(m_server.m_stopping && isLast);
            const bool omitBody = pending.exchange && pending.exchange->request().method == "HEAD";
            const auto text = serialize(*pending.answer, omitBody, keepAlive);
            writeImmediately(m_bev, text);
            m_closing = !keepAlive;
        }
        if (m_closing) {
            closeIfWritten();
            readSoon();
            // Requests behind the answer that closes count as never read.
            giveUpPending();
        }
        if (m_pending.empty()) {
            m_timer->restart(m_server.m_options.idleTimeout);
        }
        if (wasFull && !m_closing) {
            readSoon();
        }
    }

    /// Reads what has come in a turn of its own, so that answers given at once do not nest.
    void readSoon() { bufferevent_trigger(m_bev, EV_READ, static_cast<int>(BEV_OPT_DEFER_CALLBACKS) | static_cast<int>(BEV_TRIG_IGNORE_WATERMARKS)); }

    /// Gives up the requests that will not be answered on this connection.
    void giveUpPending()
    {
        for (const auto &pending : std::exchange(m_pending, {})) {
            if (pending.exchange) {
                pending.exchange->abort();
            }
        }
    }

    void read()
    {
        auto *input = bufferevent_get_input(m_bev);
        if (m_closing) {
            evbuffer_drain(input, evbuffer_get_length(input));
        }
        while (!m_lastRead && !m_closing && m_pending.size() < m_server.m_options.pipelinedMax && evbuffer_get_length(input) > 0) {
            if (!m_reader.started()) {
                m_timer->restart(m_server.m_options.messageTimeout);
            }
            evbuffer_iovec piece;
            evbuffer_peek(input, -1, nullptr, &piece, 1);
            const auto used = m_reader.feed(static_cast<const char *>(piece.iov_base), piece.iov_len);
            evbuffer_drain(input, used);
            if (m_reader.takeExpectContinue()) {
                writeImmediately(m_bev, continueLine);
            }
            handleState();
        }
    }

    void handleState()
    {
        const auto number = m_nextNumber;
        switch (m_reader.currentState()) {
        case http_reader::state::reading:
            return;
        case http_reader::state::failed:
            ++m_nextNumber;
            m_lastRead = true;
            m_pending.push_back({number, nullptr, false, http_response{m_reader.errorStatus(), {}, {}}});
            writeAnswers();
            return;
        case http_reader::state::complete:
            ++m_nextNumber;
            m_timer->stop();
            m_lastRead = !m_reader.keepAlive();
            const auto exchange = std::make_shared<http_exchange>(&m_server, m_id, number, std::move(m_reader.request()), m_peer);
            m_pending.push_back({number, exchange, m_reader.keepAlive(), {}});
            m_reader.reset();
            m_server.m_onRequest(exchange);
            return;
        }
    }

    http_server &m_server;
    std::uint64_t m_id;
    endpoint m_peer;
    http_reader m_reader;
    bufferevent *m_bev;
    event_watcher_ptr m_timer;
    std::deque<pending_exchange> m_pending;
    std::uint64_t m_nextNumber = 0;
    bool m_lastRead = false; ///< whether no further request is read
    bool m_closing = false; ///< whether no further answer is written
    bool m_ended = false; ///< whether the own side of the connection is closed
};

http_exchange::http_exchange(http_server *server, std::uint64_t connection, std::uint64_t number, http_request request, endpoint peer)
    : m_server(server), m_connection(connection), m_number(number), m_request(std::move(request)), m_peer(std::move(peer))
{
}

void http_exchange::respond(http_response response)
{
    if (!std::exchange(m_done, true)) {
        m_server->respond(m_connection, m_number, std::move(response));
    }
}

void http_exchange::abort()
{
    if (!std::exchange(m_done, true) && m_onAborted) {
        m_onAborted();
    }
}

http_server::http_server(event_loop &loop, http_server_options options, handler onRequest)
    : m_loop(loop)
    , m_options(options)
    , m_onRequest(std::move(onRequest))
    , m_listener(loop, [this](int descriptor, const sockaddr *peer) { accept(descriptor, peer); })
{
}

http_server::~http_server()
{
    m_connections.clear();
}

result<endpoint> http_server::listen(const endpoint &address)
{
    return m_listener.listen(address, "listen");
}

void http_server::setLimits(http_limits limits, millis messageTimeout, millis idleTimeout)
{
    m_options.limits = limits;
    m_options.messageTimeout = messageTimeout;
    m_options.idleTimeout = idleTimeout;
}

void http_server::stopAccepting()
{
    m_listener.close();
    disableKeepAlive();
}

void http_server::disableKeepAlive()
{
    m_stopping = true;
    for (const auto &[id, open] : m_connections) {
        open->closeWhenIdle();
    }
}

void http_server::accept(int descriptor, const sockaddr *address)
{
    if (m_connections.size() >= m_options.connectionsMax) {
        close(descriptor);
        return;
    }
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    const auto id = m_nextConnection++;
    m_connections.emplace(id, std::make_shared<connection>(*this, id, descriptor, endpoint::fromSockaddr(address)));
}

void http_server::respond(std::uint64_t connection, std::uint64_t number, http_response response)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        const auto keep = found->second;
        keep->respond(number, std::move(response));
    }
}

void http_server::drop(std::uint64_t connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        const auto keep = std::move(found->second);
        m_connections.erase(found);
    }
}

} // namespace turmericspar
