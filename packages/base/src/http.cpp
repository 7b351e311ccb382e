#include "turmericspar/base/http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <evhtp/parser.h>
#include <strings.h>

namespace turmericspar {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;

/// Where the status code stands in a status line: behind "HTTP/1.1 ".
constexpr std::size_t statusOffset = 9;

/// The empty line that ends a header.
constexpr std::string_view headerEnd = "\r\n\r\n";

/// Framing that a message may have for each byte of its body: chunks of one byte have five, and a sixth for a longer size.
constexpr std::size_t framingPerBodyByte = 6;

/// Fields that concern one connection only (RFC 9110, section 7.6.1) and the framing fields that each connection writes afresh.
constexpr std::array<std::string_view, 9> hopByHopFields{
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};

/// A status code with its reason phrase.
struct reason
{
    int status;
    std::string_view phrase;
};

constexpr std::array<reason, 22> reasons{{{100, "Continue"},
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

/// Writes one header field, without any line break that its value might smuggle in.
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

/// @return whether a text is a token of RFC 9110, section 5.6.2, as field names are.
bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [&](unsigned char c) { return std::isalnum(c) != 0 || marks.find(static_cast<char>(c)) != marks.npos; });
}

/// @return a text without the spaces and tabs around it.
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
    // Step 1. What the Connection fields name
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

    // Step 2. What is always for one connection
    for (const auto name : hopByHopFields) {
        remove(name);
    }
}

std::string_view reasonPhrase(int status)
{
    const auto *found = std::find_if(reasons.begin(), reasons.end(), [&](const reason &r) { return r.status == status; });
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
    const bool mayHaveBody = request.method != "GET" && request.method != "HEAD";
    if (mayHaveBody || !request.body.empty()) {
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
    const auto *stated = response.fields.find("Content-Length");
    const bool lengthForbidden = response.status == 204 || response.status == 304;
    if (omitBody && stated) {
        appendField(out, "Content-Length", *stated);
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

/// The callbacks that libevhtp's parser makes into a reader.
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
            // Folded lines and names with spaces are read differently by different programs.
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
        // A non-zero return stops the parser here, so that the next message stays unread.
        self(parser)->m_messageDone = true;
        return 1;
    }

    static htparse_hooks *table()
    {
        static htparse_hooks hooks = [] {
            htparse_hooks made{};
            made.method = onMethod;
            made.path = onPath;
            made.args = onArguments;
            made.hdr_key = onFieldName;
            made.hdr_val = onFieldValue;
            made.on_hdrs_complete = hooks::onHeaderComplete;
            made.body = hooks::onBody;
            made.on_msg_complete = onMessageComplete;
            return made;
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
    giveBack();
}

/// Gives back what the message took from the budget.
void http_reader::giveBack()
{
    if (m_limits.sharedBudget) {
        m_limits.sharedBudget->used -= m_held;
    }
    m_held = 0;
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
    m_messageDone = false;
    m_errorStatus = statusBadRequest;
    m_framingBytes = 0;
    giveBack();
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
    // What was read of it is of no use.
    m_request.body = {};
    m_response.body = {};
    giveBack();
}

bool http_reader::takeExpectContinue()
{
    return std::exchange(m_expectContinue, false);
}

std::size_t http_reader::feed(const char *data, std::size_t size)
{
    std::size_t used = 0;
    while (used < size && m_state == state::reading) {
        const std::string_view rest(data + used, size - used);
        const auto bodyBefore = body().size();
        const auto taken = m_headerComplete ? feedBody(rest) : feedHeader(rest);
        boundFraming(taken, bodyBefore);
        used += taken;
    }
    return used;
}

/// Gives a message up whose framing has no end: interim answers, sizes and extensions of chunks.
void http_reader::boundFraming(std::size_t used, std::size_t bodyBefore)
{
    m_framingBytes += used - std::min(used, body().size() - bodyBefore);
    const auto most = m_limits.headerBytes + headerEnd.size() + framingPerBodyByte * body().size();
    if (m_state == state::reading && m_framingBytes > most) {
        fail(statusBadRequest);
    }
}

/// Collects the header and gives it to the parser in one piece, since the parser loses names that are split over pieces.
std::size_t http_reader::feedHeader(std::string_view piece)
{
    // Step 1. Collect up to the empty line
    const std::size_t before = m_header.size();
    if (!m_started && m_role == role::server && (piece.front() < 'A' || piece.front() > 'Z') && piece.front() != '\r' && piece.front() != '\n') {
        fail(statusBadRequest);
        return piece.size();
    }
    m_started = true;
    m_header.append(piece.substr(0, m_limits.headerBytes + headerEnd.size() - before));
    const std::size_t searchFrom = before < headerEnd.size() ? 0 : before - headerEnd.size();
    const auto end = m_header.find(headerEnd, searchFrom);
    if (end == std::string::npos) {
        if (m_header.size() >= m_limits.headerBytes) {
            fail(statusHeaderTooLarge);
        }
        return m_header.size() - before;
    }

    // Step 2. Pass over interim answers (1xx)
    m_header.resize(end + headerEnd.size());
    const std::size_t used = m_header.size() - before;
    if (m_role == role::client && m_header.size() > statusOffset && m_header[statusOffset] == '1') {
        const auto framingBefore = m_framingBytes;
        reset(m_headRequest);
        m_framingBytes = framingBefore;
        return used;
    }

    // Step 3. Parse it whole
    const std::size_t parsed = htparser_run(m_parser.get(), hooks::table(), m_header.data(), m_header.size());
    if (m_state == state::failed) {
        return used;
    }
    const bool stoppedOnPurpose = m_messageDone || m_framing != body_framing::by_parser;
    if (!m_headerComplete || (!stoppedOnPurpose && parsed < m_header.size())) {
        fail(statusBadRequest);
        return used;
    }

    // Step 4. Messages that end with their header
    if (m_messageDone || m_framing == body_framing::none) {
        m_state = state::complete;
    }
    return used;
}

/// Gives a piece of the body to the parser.
std::size_t http_reader::feedBody(std::string_view piece)
{
    if (m_framing == body_framing::until_close) {
        onBody(piece.data(), piece.size());
        return piece.size();
    }
    const std::size_t used = htparser_run(m_parser.get(), hooks::table(), piece.data(), piece.size());
    if (m_state == state::failed) {
        return used;
    }
    if (m_messageDone) {
        m_state = state::complete;
    } else if (htparser_get_error(m_parser.get()) != htparse_error_none) {
        fail(statusBadRequest);
    }
    return used;
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

/// Refuses headers that two implementations could read differently: the ways in which requests are smuggled.
bool http_reader::headerIsSound()
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
    if (!headerIsSound()) {
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

    // An answer without a stated length ends with its connection, unless it can have no body at all (RFC 9112, section 6.3).
    m_response.status = static_cast<int>(htparser_get_status(m_parser.get()));
    const bool bodyless = m_headRequest || m_response.status == 204 || m_response.status == 304;
    const bool framed = m_response.fields.count("Content-Length") + m_response.fields.count("Transfer-Encoding") > 0;
    if (bodyless) {
        m_framing = body_framing::none;
        return 1;
    }
    if (!framed) {
        m_framing = body_framing::until_close;
        return 1;
    }
    return 0;
}

int http_reader::onBody(const char *data, std::size_t size)
{
    auto &body = m_role == role::server ? m_request.body : m_response.body;
    auto *sharedBudget = m_limits.sharedBudget;
    if (body.size() + size > m_limits.bodyBytes || (sharedBudget && sharedBudget->used + size > sharedBudget->most)) {
        fail(statusTooLarge);
        return 1;
    }
    if (sharedBudget) {
        sharedBudget->used += size;
        m_held += size;
    }
    body.append(data, size);
    return 0;
}

} // namespace turmericspar
