/// @file http.h
/// HTTP/1.1 messages and an incremental reader for them. The syntax is parsed by libevhtp's parser.
#pragma once

#include "turmericspar/base/error.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct htparser;

namespace turmericspar {

/// One header field.
struct http_field
{
    std::string name;
    std::string value;
};

/// The header fields of a message, in order. Names compare without case.
class http_fields
{
public:
    /// @return the value of the first field of that name, or nullptr.
    const std::string *find(std::string_view name) const;
    /// @return the value of the first field of that name, or an empty string.
    std::string get(std::string_view name) const;
    /// @return how many fields have that name.
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Replaces all fields of that name by one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /// Removes what concerns one connection only: the fields of RFC 9110, section 7.6.1, and those that Connection names.
    void removeHopByHop();

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }
    std::size_t size() const { return m_fields.size(); }

private:
    std::vector<http_field> m_fields;
};

/// @return whether two field names or tokens are the same but for case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    http_fields fields;
    std::string body;
};

struct http_response
{
    int status = 200;
    http_fields fields;
    std::string body;
};

/// Bytes that several messages may hold together while they are read.
struct byte_budget
{
    std::size_t most = 0;
    std::size_t used = 0;
};

/// Bounds on what a peer may send.
struct http_limits
{
    std::size_t headerBytes = 32 * 1024;
    std::size_t bodyBytes = 16 * 1024 * 1024;
    byte_budget *sharedBudget = nullptr; ///< shared with other readers, which it outlives; none if each has its own bound only
};

/// Writes a request with its Content-Length.
/// @param request the message; its own framing fields are ignored
/// @param host the value of Host, unless the request has one
std::string serialize(const http_request &request, const std::string &host);

/// Writes a response with its Content-Length.
/// @param omitBody leaves the body out, as the answer to HEAD does; a Content-Length among the fields is then kept
std::string serialize(const http_response &response, bool omitBody, bool keepAlive);

/// @return the standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

/// Reads messages of one connection, one after another, from pieces of any size.
class http_reader
{
public:
    enum class role { server, client };
    enum class state { reading, complete, failed };

    http_reader(role side, http_limits limits);
    ~http_reader();
    http_reader(const http_reader &) = delete;
    http_reader &operator=(const http_reader &) = delete;

    /// Prepares for the next message.
    /// @param headRequest whether the answer to be read is one to HEAD, and so has no body
    void reset(bool headRequest = false);

    /// Reads until the message is complete or the piece is used up.
    /// @return how many bytes were used
    std::size_t feed(const char *data, std::size_t size);

    /// Tells that the peer has ended its side; completes an answer whose length only the end of the connection tells.
    void feedEof();

    state currentState() const { return m_state; }
    /// @return whether any byte of the present message has come.
    bool started() const { return m_started; }
    /// @return whether the header is complete.
    bool headerComplete() const { return m_headerComplete; }
    /// @return whether the peer waits for "100 Continue", once for each message.
    bool takeExpectContinue();
    /// @return the status that answers a message that failed to parse: 400, 413 or 431.
    int errorStatus() const { return m_errorStatus; }
    /// @return whether the connection may carry another message after this one.
    bool keepAlive() const { return m_keepAlive; }

    http_request &request() { return m_request; }
    http_response &response() { return m_response; }
    const http_response &response() const { return m_response; }

private:
    struct hooks;
    enum class body_framing { by_parser, none, until_close };

    int onHeaderComplete();
    int onBody(const char *data, std::size_t size);
    bool headerIsSound();
    void fail(int status);
    std::size_t feedHeader(std::string_view piece);
    std::size_t feedBody(std::string_view piece);
    void boundFraming(std::size_t used, std::size_t bodyBefore);
    const std::string &body() const { return m_role == role::server ? m_request.body : m_response.body; }
    void giveBack();
    const http_fields &fields() const { return m_role == role::server ? m_request.fields : m_response.fields; }

    role m_role;
    http_limits m_limits;
    std::unique_ptr<htparser, void (*)(htparser *)> m_parser;
    state m_state = state::reading;
    body_framing m_framing = body_framing::by_parser;
    bool m_headRequest = false;
    bool m_started = false;
    bool m_headerComplete = false;
    bool m_expectContinue = false;
    bool m_keepAlive = false;
    bool m_messageDone = false;
    int m_errorStatus = 400;
    std::size_t m_framingBytes = 0; ///< of the present message, with interim answers before it: all that is not body
    std::size_t m_held = 0; ///< taken from the budget
    std::string m_header;
    std::string m_fieldName;
    http_request m_request;
    http_response m_response;
};

} // namespace turmericspar
