/// @file http.h
/// HTTP/1.1 messages, their serialization, and an incremental parser built on the parser of libevhtp.
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

struct http_field
{
    std::string name;
    std::string value;
};

/// The header fields of a message, in order. Names are compared case-insensitively.
class http_fields
{
public:
    /// @return the value of the first field with this name, or nullptr.
    const std::string *find(std::string_view name) const;
    /// @return the value of the first field with this name, or an empty string.
    std::string get(std::string_view name) const;
    /// @return the number of fields with this name.
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Replaces all fields with this name by one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /// Removes the hop-by-hop fields: those of RFC 9110, section 7.6.1, and those listed in Connection.
    void removeHopByHop();

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }
    std::size_t size() const { return m_fields.size(); }

private:
    std::vector<http_field> m_fields;
};

/// Compares field names or tokens case-insensitively.
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

/// Memory budget that several parsers share for the bodies of the messages they are reading.
struct byte_budget
{
    std::size_t limit = 0; ///< bytes
    std::size_t used = 0; ///< bytes
};

/// Limits on the size of a received message.
struct http_limits
{
    std::size_t headerBytes = 32 * 1024;
    std::size_t bodyBytes = 16 * 1024 * 1024;
    byte_budget *sharedBudget = nullptr; ///< must outlive all readers that use it; nullptr for no shared limit
};

/// Serializes a request and sets its Content-Length.
/// @param request its own Content-Length, Transfer-Encoding and Connection fields are ignored
/// @param host the value of Host, unless the request has that field
std::string serialize(const http_request &request, const std::string &host);

/// Serializes a response and sets its Content-Length.
/// @param omitBody leaves out the body, as in a response to HEAD; a Content-Length among the fields is then kept
std::string serialize(const http_response &response, bool omitBody, bool keepAlive);

/// @return the standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

/// Incremental parser for the messages of one connection. Input may be split at any byte.
class http_reader
{
public:
    enum class role { server, client };
    enum class state { reading, complete, failed };

    http_reader(role side, http_limits limits);
    ~http_reader();
    http_reader(const http_reader &) = delete;
    http_reader &operator=(const http_reader &) = delete;

    /// Resets the parser for the next message.
    /// @param headRequest whether the next response answers a HEAD request, and so has no body
    void reset(bool headRequest = false);

    /// Parses input until the message is complete or the input is consumed.
    /// @return the number of bytes consumed
    std::size_t feed(const char *data, std::size_t size);

    /// Signals that the peer closed its side in an orderly way. Completes a response that is delimited by the end of the connection.
    void feedEof();

    state currentState() const { return m_state; }
    /// @return whether any byte of the current message was received.
    bool started() const { return m_started; }
    bool headerComplete() const { return m_headerComplete; }
    /// @return whether the peer waits for "100 Continue"; true at most once for each message.
    bool takeExpectContinue();
    /// @return the status code to answer an invalid message with: 400, 413 or 431.
    int errorStatus() const { return m_errorStatus; }
    /// @return whether the connection stays open after this message.
    bool keepAlive() const { return m_keepAlive; }

    http_request &request() { return m_request; }
    http_response &response() { return m_response; }
    const http_response &response() const { return m_response; }

private:
    struct hooks;
    /// How the end of a body is found.
    enum class body_framing { by_parser, none, until_close };

    int onHeaderComplete();
    int onBody(const char *data, std::size_t size);
    bool allocateBody(std::string &body, std::size_t size);
    bool isFramingUnambiguous() const;
    void fail(int status);
    std::size_t feedHeader(std::string_view input);
    std::size_t feedBody(std::string_view input);
    void limitFraming(std::size_t consumed, std::size_t previousBodySize);
    const std::string &body() const { return m_role == role::server ? m_request.body : m_response.body; }
    void releaseBudget();
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
    bool m_messageComplete = false;
    int m_errorStatus = 400;
    std::size_t m_framingBytes = 0; ///< bytes other than the body, of this message and the interim responses before it
    std::size_t m_budgetBytes = 0; ///< reserved from the shared budget
    std::string m_header;
    std::string m_fieldName;
    http_request m_request;
    http_response m_response;
};

} // namespace turmericspar
