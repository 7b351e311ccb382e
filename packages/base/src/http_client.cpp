#include "turmericspar/base/http_client.h"

#include "turmericspar/base/socket_write.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace turmericspar {

namespace {

constexpr int firstErrorStatus = 400;
/// Number of requests answered with an error after which a connection is not used again.
constexpr std::size_t failuresMax = 64;
/// Number of responses to other requests after which the expected one is not waited for any longer: a faulty server may send them without end.
constexpr int foreignResponsesMax = 16;

/// Parses the timeout of a Keep-Alive field such as "timeout=5, max=100".
std::optional<millis> parseKeepAliveTimeout(const std::string &text)
{
    constexpr std::string_view name = "timeout=";
    const auto position = text.find(name);
    if (position == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const auto [end, error] = std::from_chars(text.data() + position + name.size(), text.data() + text.size(), seconds);
    return error == std::errc{} ? std::optional<millis>(oneSecond * seconds) : std::nullopt;
}

} // namespace

http_client::http_client(event_loop &loop, endpoint peer, http_limits limits)
    : m_loop(loop), m_peer(std::move(peer)), m_reader(http_reader::role::client, limits)
{
}

http_client::~http_client()
{
    *m_alive = false;
    if (m_bev) {
        bufferevent_free(m_bev);
    }
}

void http_client::connect(millis timeout, state_handler onChange)
{
    m_onChange = std::move(onChange);
    m_state = state::connecting;
    m_bev = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const auto onRead = [](bufferevent *, void *self) { static_cast<http_client *>(self)->read(); };
    const auto onEvent = [](bufferevent *, short what, void *self) { static_cast<http_client *>(self)->event(what); };
    bufferevent_setcb(m_bev, onRead, nullptr, onEvent, this);
    sockaddr_storage storage;
    const auto length = m_peer.toSockaddr(storage);
    m_connectTimer = m_loop.after(timeout, [this] { close(errc::timeout); });
    if (bufferevent_socket_connect(m_bev, reinterpret_cast<sockaddr *>(&storage), static_cast<int>(length)) != 0) {
        close(errc::connection_refused);
    }
}

void http_client::send(const http_request &request, millis timeout, response_handler onResponse, http_correlation correlation)
{
    m_correlation = std::move(correlation);
    m_foreignResponses = 0;
    m_onResponse = std::move(onResponse);
    m_sent = false;
    m_unsentRequest = serialize(request, m_peer.text());
    m_reader.reset(request.method == "HEAD");
    if (m_state == state::closed) {
        finish({make_error_code(errc::connection_refused), false, {}});
        return;
    }
    m_timer = m_loop.after(timeout, [this] { close(errc::timeout); });
    if (m_state == state::open) {
        writeRequest();
    }
}

void http_client::writeRequest()
{
    m_sent = true;
    writeImmediately(m_bev, m_unsentRequest);
    m_unsentRequest.clear();
}

void http_client::read()
{
    auto *input = bufferevent_get_input(m_bev);
    if (!busy()) {
        // A response without a request: responses can no longer be assigned to requests on this connection.
        close(errc::malformed_message);
        return;
    }
    while (evbuffer_get_length(input) > 0 && m_reader.currentState() == http_reader::state::reading) {
        evbuffer_iovec extent;
        evbuffer_peek(input, -1, nullptr, &extent, 1);
        const auto consumed = m_reader.feed(static_cast<const char *>(extent.iov_base), extent.iov_len);
        evbuffer_drain(input, consumed);
    }
    if (m_reader.currentState() == http_reader::state::failed) {
        close(m_reader.errorStatus() == 413 ? errc::message_too_large : errc::malformed_message);
    } else if (m_reader.currentState() == http_reader::state::complete) {
        handleResponse();
    }
}

/// @return whether the response that was read belongs to the request in progress.
bool http_client::responseMatchesRequest() const
{
    return m_correlation.field.empty() || m_reader.response().fields.get(m_correlation.field) == m_correlation.value;
}

bool http_client::hasFailed(const std::string &correlationValue) const
{
    return std::find(m_failed.begin(), m_failed.end(), correlationValue) != m_failed.end();
}

/// Notes which request was answered with an error.
/// @return whether more of them can be noted
bool http_client::noteFailure(const http_response &response)
{
    if (response.status >= firstErrorStatus && !m_correlation.value.empty()) {
        m_failed.push_back(m_correlation.value);
    }
    return m_failed.size() < failuresMax;
}

/// Completes the request with the response that was read, unless the response belongs to another request.
void http_client::handleResponse()
{
    // Step 1. Discard a response to another request; the expected one may still follow
    if (!responseMatchesRequest()) {
        if (++m_foreignResponses > foreignResponsesMax) {
            close(errc::malformed_message);
            return;
        }
        m_reader.reset();
        read();
        return;
    }

    // Step 2. Reuse the connection only if the request was sent completely and no byte follows the response
    const bool requestSent = evbuffer_get_length(bufferevent_get_output(m_bev)) == 0;
    const bool inputEmpty = evbuffer_get_length(bufferevent_get_input(m_bev)) == 0;
    const bool failureNoted = noteFailure(m_reader.response());
    const bool reusable = m_reader.keepAlive() && requestSent && inputEmpty && m_foreignResponses == 0 && failureNoted;
    http_outcome outcome{{}, true, std::move(m_reader.response())};
    const auto stated = parseKeepAliveTimeout(outcome.response.fields.get("Keep-Alive"));
    m_keepAliveTimeout = stated ? stated : m_keepAliveTimeout;
    m_reader.reset();
    if (!reusable) {
        close(errc::ok);
    }
    finish(std::move(outcome));
}

void http_client::event(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        m_state = state::open;
        m_accepted = true;
        const int enabled = 1;
        setsockopt(bufferevent_getfd(m_bev), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        bufferevent_enable(m_bev, EV_READ | EV_WRITE);
        m_connectTimer.reset();
        if (busy()) {
            writeRequest();
        }
        m_loop.defer([this, alive = m_alive] {
            if (*alive && m_onChange) {
                m_onChange();
            }
        });
        return;
    }
    // A peer that accepts and resets at once, as one at its limit of connections does, can be seen as an error of the connection attempt.
    if (m_state == state::connecting && (what & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ECONNRESET) {
        m_accepted = true;
    }
    // Only an orderly close completes a response that is delimited by the end of the connection.
    if ((what & BEV_EVENT_EOF) != 0) {
        m_reader.feedEof();
    }
    if (busy() && m_reader.currentState() == http_reader::state::complete && responseMatchesRequest()) {
        http_outcome outcome{{}, true, std::move(m_reader.response())};
        close(errc::ok);
        finish(std::move(outcome));
        return;
    }
    close(m_state == state::connecting ? errc::connection_refused : errc::connection_broken);
}

/// Closes the connection. A request in progress fails with the reason, unless that is `ok`.
void http_client::close(errc reason)
{
    m_state = state::closed;
    m_connectTimer.reset();
    m_timer.reset();
    if (m_bev) {
        bufferevent_free(std::exchange(m_bev, nullptr));
    }
    if (reason == errc::ok) {
        return;
    }
    if (busy()) {
        finish({make_error_code(reason), m_sent, {}});
    } else if (m_onChange) {
        m_loop.defer([this, alive = m_alive] {
            if (*alive) {
                m_onChange();
            }
        });
    }
}

void http_client::finish(http_outcome outcome)
{
    m_timer.reset();
    auto shared = std::make_shared<http_outcome>(std::move(outcome));
    m_loop.defer([this, alive = m_alive, shared] {
        if (!*alive) {
            return;
        }
        const auto handler = std::exchange(m_onResponse, nullptr);
        handler(std::move(*shared));
    });
}

} // namespace turmericspar
