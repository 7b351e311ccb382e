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

/// Input that a connection buffers while its requests are being processed.
constexpr std::size_t readAheadBytes = 64 * 1024;

/// Time for the peer to close its side after the last response was written.
constexpr millis lingerTimeout{1000};

constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

/// An accepted connection. It reads up to `pipelinedMax` requests ahead, and writes the responses in the order of the requests.
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
        m_timer = server.m_loop.after(server.m_options.idleTimeout, [this] { m_server.closeConnection(m_id); });
        bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    }

    ~connection()
    {
        bufferevent_free(m_bev);
        abortPending();
    }

    /// Stores the response to a request. It is written once all earlier responses have been written.
    void respond(std::uint64_t number, http_response response)
    {
        const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&](const pending_exchange &pending) { return pending.number == number; });
        if (found == m_pending.end()) {
            return;
        }
        found->response = std::move(response);
        writeResponses();
    }

    /// Takes no further request than one that is being received, and closes the connection once all are answered.
    void disableKeepAlive()
    {
        if (m_reader.started()) {
            return;
        }
        m_lastRequestRead = true;
        if (m_pending.empty()) {
            m_closing = true;
            closeIfWritten();
        }
    }

private:
    /// A request whose response is not yet written.
    struct pending_exchange
    {
        std::uint64_t number = 0;
        http_exchange_ptr exchange; ///< nullptr for an invalid message
        bool keepAlive = true;
        std::optional<http_response> response;
    };

    static connection *self(void *context) { return static_cast<connection *>(context); }
    static void onRead(bufferevent *, void *context) { self(context)->read(); }
    static void onWritten(bufferevent *, void *context) { self(context)->closeIfWritten(); }
    static void onEvent(bufferevent *, short, void *context) { self(context)->m_server.closeConnection(self(context)->m_id); }

    /// Shuts down the sending side once all output is written, and waits for the peer to close its side. Closing a connection with
    /// unread input would reset it, and the last response could be lost.
    void closeIfWritten()
    {
        if (m_closing && !m_shutDown && evbuffer_get_length(bufferevent_get_output(m_bev)) == 0) {
            m_shutDown = true;
            shutdown(bufferevent_getfd(m_bev), SHUT_WR);
            m_timer->restart(lingerTimeout);
        }
    }

    /// Writes the available responses, in the order of the requests.
    void writeResponses()
    {
        const bool wasFull = m_pending.size() >= m_server.m_options.pipelinedMax;
        while (!m_closing && !m_pending.empty() && m_pending.front().response) {
            const auto pending = std::move(m_pending.front());
            m_pending.pop_front();
            const bool isLast = m_pending.empty() && !m_reader.started();
            const bool keepAlive = pending.keepAlive && !(m_server.m_keepAliveDisabled && isLast);
            const bool omitBody = pending.exchange && pending.exchange->request().method == "HEAD";
            const auto text = serialize(*pending.response, omitBody, keepAlive);
            writeImmediately(m_bev, text);
            m_closing = !keepAlive;
        }
        if (m_closing) {
            closeIfWritten();
            scheduleRead();
            // Requests behind the last response count as never read.
            abortPending();
        }
        if (m_pending.empty() && !m_shutDown) {
            m_timer->restart(m_server.m_options.idleTimeout);
        }
        if (wasFull && !m_closing) {
            scheduleRead();
        }
    }

    /// Schedules read() for a later loop iteration, so that requests answered from their handler do not recurse.
    void scheduleRead() { bufferevent_trigger(m_bev, EV_READ, static_cast<int>(BEV_OPT_DEFER_CALLBACKS) | static_cast<int>(BEV_TRIG_IGNORE_WATERMARKS)); }

    /// Aborts the requests that were not answered.
    void abortPending()
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
        while (!m_lastRequestRead && !m_closing && m_pending.size() < m_server.m_options.pipelinedMax && evbuffer_get_length(input) > 0) {
            const bool headerWasComplete = m_reader.headerComplete();
            if (!m_reader.started()) {
                m_timer->restart(m_server.m_options.headerTimeout);
            }
            evbuffer_iovec extent;
            evbuffer_peek(input, -1, nullptr, &extent, 1);
            const auto consumed = m_reader.feed(static_cast<const char *>(extent.iov_base), extent.iov_len);
            evbuffer_drain(input, consumed);
            if (!headerWasComplete && m_reader.headerComplete()) {
                m_timer->restart(m_server.m_options.messageTimeout);
            }
            if (m_reader.takeExpectContinue()) {
                writeImmediately(m_bev, continueLine);
            }
            handleReaderState();
        }
    }

    void handleReaderState()
    {
        const auto number = m_nextNumber;
        switch (m_reader.currentState()) {
        case http_reader::state::reading:
            return;
        case http_reader::state::failed:
            ++m_nextNumber;
            m_lastRequestRead = true;
            m_pending.push_back({number, nullptr, false, http_response{m_reader.errorStatus(), {}, {}}});
            writeResponses();
            return;
        case http_reader::state::complete:
            ++m_nextNumber;
            m_timer->stop();
            m_lastRequestRead = !m_reader.keepAlive() || m_server.m_keepAliveDisabled;
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
    bool m_lastRequestRead = false; ///< whether no further request is read
    bool m_closing = false; ///< whether no further response is written
    bool m_shutDown = false; ///< whether the sending side is shut down
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

void http_server::setLimits(http_limits limits, millis headerTimeout, millis messageTimeout, millis idleTimeout)
{
    m_options.limits = limits;
    m_options.headerTimeout = headerTimeout;
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
    m_keepAliveDisabled = true;
    for (const auto &[id, open] : m_connections) {
        open->disableKeepAlive();
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
        const auto retained = found->second;
        retained->respond(number, std::move(response));
    }
}

void http_server::closeConnection(std::uint64_t connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        const auto retained = std::move(found->second);
        m_connections.erase(found);
    }
}

} // namespace turmericspar
