#include "turmericspar/base/http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <evhtp/parser.h>
#include <optional>
#include <strings.h>

namespace turmericspar {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;

/// What a status line begins with. Responses of HTTP/1.0 are framed like those of HTTP/1.1 that state no length.
constexpr std::array<std::string_view, 2> versionPrefixes{"HTTP/1.1 ", "HTTP/1.0 "};
constexpr std::size_t statusDigits = 3;
constexpr int firstInterimStatus = 100;
constexpr int statusSwitchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;

/// The empty line that ends a header.
constexpr std::string_view headerEnd = "\r\n\r\n";

/// Framing bytes allowed for each byte of the body. Chunks of one byte have five (the size and two line breaks); the sixth allows for longer sizes.
constexpr std::size_t maxFramingPerBodyByte = 6;

/// Factor by which the memory of a body grows.
constexpr double bodyGrowth = 1.5;

/// Hop-by-hop fields (RFC 9110, section 7.6.1), including the framing fields that are set anew on each connection.
constexpr std::array<std::string_view, 9> hopByHopFields{
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};

struct status_reason
{
    int status;
    std::string_view phrase;
};

constexpr std::array<status_reason, 22> reasons{{{100, "Continue"},
                                                 {200, "OK"},
                                                 {201, "Created"},
                                                 {202, "Accepted"},
                                                 {204, "No Content"},
                                                 {304, "Not Modified"},
                                                 {400, "Bad Request"},
                                                 {401, "Unauthorized"},
                                                 {403, "Forbidden"},
                                                 {404, "Not Found"},
                                                 {405, "Method Not Allowed"},
                                                 {409, "Conflict"},
                                                 {412, "Precondition Failed"},
                                                 {413, "Content Too Large"},
                                                 {422, "Unprocessable Content"},
                                                 {429, "Too Many Requests"},
                                                 {431, "Request Header Fields Too Large"},
                                                 {499, "Client Closed Request"},
                                                 {500, "Internal Server Error"},
                                                 {502, "Bad Gateway"},
                                                 {503, "Service Unavailable"},
                                                 {504, "Gateway Timeout"}}};

/// Appends a header field. Line breaks in the value are dropped, to prevent header injection.
void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    for (const char c : value) {
        if (c != '\r' && c != '\n') {
            out += c;
        }
    }
    out += "\r\n";
}

bool isFramingField(std::string_view name)
{
    return equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding") || equalsIgnoringCase(name, "Connection");
}

/// @return whether the text is a token by RFC 9110, section 5.6.2, as field names must be.
bool isToken(std::string_view text)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || punctuation.find(static_cast<char>(c)) != punctuation.npos;
    });
}

/// @return the text without leading and trailing spaces and tabs.
std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

bool allDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// @return the status code that a response header begins with; nothing if its first line is no status line (RFC 9112, section 4), or if the code has
/// no meaning (RFC 9110, section 15).
std::optional<int> statusOf(std::string_view header)
{
    const auto *const version =
        std::find_if(versionPrefixes.begin(), versionPrefixes.end(), [&](std::string_view prefix) { return header.substr(0, prefix.size()) == prefix; });
    if (version == versionPrefixes.end()) {
        return std::nullopt;
    }
    const auto digits = header.substr(version->size(), statusDigits);
    const auto rest = header.substr(version->size() + digits.size(), 1);
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    const bool valid =
        digits.size() == statusDigits && allDigits(digits) && (rest == " " || rest == "\r") && status >= firstInterimStatus && status <= lastStatus;
    return valid ? std::optional<int>(status) : std::nullopt;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string *http_fields::find(std::string_view name) const
{
    for (const auto &field : m_fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::string http_fields::get(std::string_view name) const
{
    const auto *value = find(name);
    return value ? *value : std::string();
}

std::size_t http_fields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(begin(), end(), [&](const http_field &field) { return equalsIgnoringCase(field.name, name); }));
}

void http_fields::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

void http_fields::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void http_fields::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const http_field &field) { return equalsIgnoringCase(field.name, name); });
}

void http_fields::removeHopByHop()
{
    // Step 1. Fields listed in Connection
    std::vector<std::string> named;
    for (const auto &field : m_fields) {
        if (!equalsIgnoringCase(field.name, "Connection")) {
            continue;
        }
        std::string token;
        for (const char c : field.value + ",") {
            if (c == ',') {
                named.push_back(token);
                token.clear();
            } else if (c != ' ' && c != '\t') {
                token += c;
            }
        }
    }
    for (const auto &name : named) {
        remove(name);
    }

    // Step 2. Fields that are always hop-by-hop
    for (const auto name : hopByHopFields) {
        remove(name);
    }
}

std::string_view reasonPhrase(int status)
{
    const auto *found = std::find_if(reasons.begin(), reasons.end(), [&](const status_reason &r) { return r.status == status; });
    return found == reasons.end() ? "Status" : found->phrase;
}

std::string serialize(const http_request &request, const std::string &host)
{
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (!request.fields.find("Host")) {
        appendField(out, "Host", host);
    }
    for (const auto &field : request.fields) {
        if (!isFramingField(field.name)) {
            appendField(out, field.name, field.value);
        }
    }
    const bool methodHasBody = request.method != "GET" && request.method != "HEAD";
    if (methodHasBody || !request.body.empty()) {
        appendField(out, "Content-Length", std::to_string(request.body.size()));
    }
    out += "\r\n";
    out += request.body;
    return out;
}

std::string serialize(const http_response &response, bool omitBody, bool keepAlive)
{
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
    out += reasonPhrase(response.status);
    out += "\r\n";
    for (const auto &field : response.fields) {
        if (!isFramingField(field.name)) {
            appendField(out, field.name, field.value);
        }
    }
    const auto *statedLength = response.fields.find("Content-Length");
    const bool lengthForbidden = response.status == 204 || response.status == 304;
    if (omitBody && statedLength) {
        appendField(out, "Content-Length", *statedLength);
    } else if (!lengthForbidden && !omitBody) {
        appendField(out, "Content-Length", std::to_string(response.body.size()));
    }
    if (!keepAlive) {
        appendField(out, "Connection", "close");
    }
    out += "\r\n";
    if (!omitBody && !lengthForbidden) {
        out += response.body;
    }
    return out;
}

/// Callbacks for the parser of libevhtp.
struct http_reader::hooks
{
    static http_reader *self(htparser *parser) { return static_cast<http_reader *>(htparser_get_userdata(parser)); }

    static int onMethod(htparser *parser, const char *data, std::size_t size)
    {
        self(parser)->m_request.method.assign(data, size);
        return 0;
    }
    static int onPath(htparser *parser, const char *data, std::size_t size)
    {
        self(parser)->m_request.target.assign(data, size);
        return 0;
    }
    static int onArguments(htparser *parser, const char *data, std::size_t size)
    {
        self(parser)->m_request.target.append("?").append(data, size);
        return 0;
    }
    static int onFieldName(htparser *parser, const char *data, std::size_t size)
    {
        self(parser)->m_fieldName.assign(data, size);
        return 0;
    }
    static int onFieldValue(htparser *parser, const char *data, std::size_t size)
    {
        auto *reader = self(parser);
        if (!isToken(reader->m_fieldName)) {
            // Implementations differ in how they read folded lines and names with spaces, which allows request smuggling.
            reader->fail(statusBadRequest);
            return 1;
        }
        auto &fields = reader->m_role == role::server ? reader->m_request.fields : reader->m_response.fields;
        fields.add(std::move(reader->m_fieldName), trimmed({data, size}));
        reader->m_fieldName.clear();
        return 0;
    }
    static int onHeaderComplete(htparser *parser) { return self(parser)->onHeaderComplete(); }
    static int onBody(htparser *parser, const char *data, std::size_t size) { return self(parser)->onBody(data, size); }
    static int onMessageComplete(htparser *parser)
    {
        // A non-zero result stops the parser here, so that it does not consume the next message.
        self(parser)->m_messageComplete = true;
        return 1;
    }

    static htparse_hooks *callbacks()
    {
        static htparse_hooks hooks = [] {
            htparse_hooks table{};
            table.method = onMethod;
            table.path = onPath;
            table.args = onArguments;
            table.hdr_key = onFieldName;
            table.hdr_val = onFieldValue;
            table.on_hdrs_complete = hooks::onHeaderComplete;
            table.body = hooks::onBody;
            table.on_msg_complete = onMessageComplete;
            return table;
        }();
        return &hooks;
    }
};

http_reader::http_reader(role side, http_limits limits) : m_role(side), m_limits(limits), m_parser(htparser_new(), [](htparser *parser) { std::free(parser); })
{
    reset();
}

http_reader::~http_reader()
{
    releaseBudget();
}

/// Returns the memory of the current message to the shared budget.
void http_reader::releaseBudget()
{
    if (m_limits.sharedBudget) {
        m_limits.sharedBudget->used -= m_budgetBytes;
    }
    m_budgetBytes = 0;
}

void http_reader::reset(bool headRequest)
{
    htparser_init(m_parser.get(), m_role == role::server ? htp_type_request : htp_type_response);
    htparser_set_userdata(m_parser.get(), this);
    m_state = state::reading;
    m_framing = body_framing::by_parser;
    m_headRequest = headRequest;
    m_started = false;
    m_headerComplete = false;
    m_expectContinue = false;
    m_keepAlive = false;
    m_messageComplete = false;
    m_errorStatus = statusBadRequest;
    m_framingBytes = 0;
    releaseBudget();
    m_header.clear();
    m_fieldName.clear();
    m_request = {};
    m_request.method.clear();
    m_response = {};
}

void http_reader::fail(int status)
{
    m_state = state::failed;
    m_errorStatus = status;
    // An incomplete body is never used. Assigning an empty string would keep its memory.
    std::string().swap(m_request.body);
    std::string().swap(m_response.body);
    releaseBudget();
}

bool http_reader::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

std::size_t http_reader::feed(const char *data, std::size_t size)
{
    std::size_t consumed = 0;
    while (consumed < size && m_state == state::reading) {
        const std::string_view rest(data + consumed, size - consumed);
        const auto previousBodySize = body().size();
        const auto count = m_headerComplete ? feedBody(rest) : feedHeader(rest);
        limitFraming(count, previousBodySize);
        consumed += count;
    }
    return consumed;
}

/// Rejects a message with unbounded framing, such as endless interim responses, chunk sizes or chunk extensions.
void http_reader::limitFraming(std::size_t consumed, std::size_t previousBodySize)
{
    m_framingBytes += consumed - std::min(consumed, body().size() - previousBodySize);
    const auto maximum = m_limits.headerBytes + headerEnd.size() + maxFramingPerBodyByte * body().size();
    if (m_state == state::reading && m_framingBytes > maximum) {
        fail(statusBadRequest);
    }
}

/// Collects the header and passes it to the parser as a whole, since that parser loses field names that are split across two calls.
std::size_t http_reader::feedHeader(std::string_view input)
{
    // Step 1. Collect input up to the empty line
    const std::size_t previousSize = m_header.size();
    if (!m_started && m_role == role::server && (input.front() < 'A' || input.front() > 'Z') && input.front() != '\r' && input.front() != '\n') {
        fail(statusBadRequest);
        return input.size();
    }
    m_started = true;
    m_header.append(input.substr(0, m_limits.headerBytes + headerEnd.size() - previousSize));
    const std::size_t searchFrom = previousSize < headerEnd.size() ? 0 : previousSize - headerEnd.size();
    const auto end = m_header.find(headerEnd, searchFrom);
    if (end == std::string::npos) {
        if (m_header.size() >= m_limits.headerBytes) {
            fail(statusHeaderTooLarge);
        }
        return m_header.size() - previousSize;
    }

    // Step 2. Check the status line of a response, and skip interim ones
    m_header.resize(end + headerEnd.size());
    const std::size_t consumed = m_header.size() - previousSize;
    if (m_role == role::client) {
        const auto status = statusOf(m_header);
        // No request asks for another protocol.
        if (!status || *status == statusSwitchingProtocols) {
            fail(statusBadRequest);
            return consumed;
        }
        if (*status < firstFinalStatus) {
            const auto previousFramingBytes = m_framingBytes;
            reset(m_headRequest);
            m_framingBytes = previousFramingBytes;
            return consumed;
        }
        m_response.status = *status;
    }

    // Step 3. Parse the header
    const std::size_t parsed = htparser_run(m_parser.get(), hooks::callbacks(), m_header.data(), m_header.size());
    if (m_state == state::failed) {
        return consumed;
    }
    const bool stoppedByCallback = m_messageComplete || m_framing != body_framing::by_parser;
    if (!m_headerComplete || (!stoppedByCallback && parsed < m_header.size())) {
        fail(statusBadRequest);
        return consumed;
    }

    // Step 4. Complete messages without a body
    if (m_messageComplete || m_framing == body_framing::none) {
        m_state = state::complete;
    }
    return consumed;
}

std::size_t http_reader::feedBody(std::string_view input)
{
    if (m_framing == body_framing::until_close) {
        onBody(input.data(), input.size());
        return input.size();
    }
    const std::size_t consumed = htparser_run(m_parser.get(), hooks::callbacks(), input.data(), input.size());
    if (m_state == state::failed) {
        return consumed;
    }
    if (m_messageComplete) {
        m_state = state::complete;
    } else if (htparser_get_error(m_parser.get()) != htparse_error_none) {
        fail(statusBadRequest);
    }
    return consumed;
}

void http_reader::feedEof()
{
    if (m_state != state::reading) {
        return;
    }
    if (m_framing == body_framing::until_close) {
        m_state = state::complete;
        m_keepAlive = false;
    } else {
        fail(statusBadRequest);
    }
}

/// @return false for a header whose body length two implementations could read differently, which allows request smuggling.
bool http_reader::isFramingUnambiguous() const
{
    const auto lengths = fields().count("Content-Length");
    const auto encodings = fields().count("Transfer-Encoding");
    if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)) {
        return false;
    }
    if (lengths == 1 && !allDigits(fields().get("Content-Length"))) {
        return false;
    }
    if (encodings == 1 && !equalsIgnoringCase(fields().get("Transfer-Encoding"), "chunked")) {
        return false;
    }
    return m_role == role::client || fields().count("Host") <= 1;
}

int http_reader::onHeaderComplete()
{
    m_headerComplete = true;
    m_keepAlive = htparser_should_keep_alive(m_parser.get()) != 0;
    if (!isFramingUnambiguous()) {
        fail(statusBadRequest);
        return 1;
    }
    if (htparser_get_content_length(m_parser.get()) > m_limits.bodyBytes && !m_headRequest) {
        fail(statusTooLarge);
        return 1;
    }
    if (m_role == role::server) {
        m_expectContinue = equalsIgnoringCase(m_request.fields.get("Expect"), "100-continue");
        return 0;
    }

    // The body of a response without a stated length ends with the connection, unless the response has no body (RFC 9112, section 6.3).
    const bool hasNoBody = m_headRequest || m_response.status == 204 || m_response.status == 304;
    const bool hasStatedLength = m_response.fields.count("Content-Length") + m_response.fields.count("Transfer-Encoding") > 0;
    if (hasNoBody) {
        m_framing = body_framing::none;
        return 1;
    }
    if (!hasStatedLength) {
        m_framing = body_framing::until_close;
        return 1;
    }
    return 0;
}

int http_reader::onBody(const char *data, std::size_t size)
{
    auto &body = m_role == role::server ? m_request.body : m_response.body;
    if (body.size() + size > m_limits.bodyBytes || !allocateBody(body, body.size() + size)) {
        fail(statusTooLarge);
        return 1;
    }
    body.append(data, size);
    return 0;
}

/// Makes room in a body. The shared budget counts the memory that is allocated, not only what is used of it.
/// @return false if the budget has no room for it
bool http_reader::allocateBody(std::string &body, std::size_t size)
{
    if (size <= body.capacity()) {
        return true;
    }
    auto *budget = m_limits.sharedBudget;
    const std::size_t available = budget ? budget->limit - budget->used + m_budgetBytes : m_limits.bodyBytes;
    if (size > available) {
        return false;
    }
    const auto wanted = static_cast<std::size_t>(static_cast<double>(body.capacity()) * bodyGrowth);
    // A string that grows by itself takes twice its size at least.
    std::string grown;
    grown.reserve(std::clamp(wanted, size, std::max(size, std::min(available, m_limits.bodyBytes))));
    grown.append(body);
    body = std::move(grown);
    if (budget) {
        budget->used += body.capacity() - m_budgetBytes;
        m_budgetBytes = body.capacity();
    }
    return true;
}

} // namespace turmericspar
