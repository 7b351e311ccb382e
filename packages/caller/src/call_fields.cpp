#include "turmericspar/caller/call_fields.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace turmericspar {

namespace {

constexpr std::size_t nameMax = 200;
constexpr double timeoutMaxMs = 3'600'000;

/// Methods that are idempotent by RFC 9110, section 9.2.2.
constexpr std::array<std::string_view, 6> idempotentMethods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

bool isIdempotent(std::string_view method)
{
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

/// @return the host part of a Host field, which names the service.
std::string hostName(const std::string &host)
{
    return host.substr(0, host.find(':'));
}

/// Parses the urgency of a Priority field (RFC 9218); "u=0" is the most urgent.
std::optional<int> parseUrgency(const std::string &priority)
{
    const auto position = priority.find("u=");
    const bool atStart = position == 0 || (position != std::string::npos && (priority[position - 1] == ' ' || priority[position - 1] == ','));
    if (!atStart || position + 2 >= priority.size()) {
        return std::nullopt;
    }
    const char digit = priority[position + 2];
    return digit >= '0' && digit <= '7' ? std::optional<int>(digit - '0') : std::nullopt;
}

/// Parses a timeout in milliseconds.
std::optional<millis> parseTimeout(const std::string &name, const std::string &text, std::optional<call_error> &callError)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !(value >= 1) || value > timeoutMaxMs) {
        callError = call_error{refusal_reason::malformed, name + ": expected milliseconds from 1 to 3600000"};
        return std::nullopt;
    }
    return millis{value};
}

call_intent determineIntent(
    const http_request &request, const call_dialect &dialect, const configuration &declared, const std::string &service, std::optional<call_error> &callError)
{
    if (const auto *named = request.fields.find(dialect.intent)) {
        const auto found = intentNames.find(*named);
        if (!found) {
            callError = call_error{refusal_reason::malformed, dialect.intent + ": expected one of: " + intentNames.list()};
        }
        return found.value_or(call_intent::once);
    }
    const auto policy = declared.services.find(service);
    const bool declaredRepeatable = policy != declared.services.end() && policy->second.repeatable;
    return isIdempotent(request.method) || declaredRepeatable ? call_intent::repeatable : call_intent::once;
}

/// Chooses a target of a route by weight, with a random number from 0 to 1.
const std::string &chooseTarget(const route &chosen, double random)
{
    double sum = 0;
    for (const auto &target : chosen.targets) {
        sum += target.weight;
    }
    double remaining = random * sum;
    for (const auto &target : chosen.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return chosen.targets.back().service;
}

/// Fills in the description from the route declared for the request.
void describeByRoute(const http_request &request,
                     const configuration &declared,
                     const std::string &host,
                     double random,
                     call_description &call,
                     std::optional<call_error> &callError)
{
    call.declaredRoute = declared.findRoute(host, request.target);
    if (!call.declaredRoute) {
        callError = call_error{refusal_reason::unknown_service, "no route is declared for this host and path"};
        return;
    }
    call.service = chooseTarget(*call.declaredRoute, random);
    call.intent = call.declaredRoute->intent;
    const auto *klass = declared.findClass(call.declaredRoute->klass, call.service, call.klass);
    call.rank = klass->rank;
    call.classDeadline = klass->deadline;
}

/// Fills in the description from the class that the request names.
void describeByClass(
    const http_request &request, const call_dialect &dialect, const configuration &declared, call_description &call, std::optional<call_error> &callError)
{
    const auto *klass = declared.findClass(request.fields.get(dialect.klass), call.service, call.klass);
    if (!klass) {
        callError = call_error{refusal_reason::unknown_class, dialect.klass + ": no class of this name is declared"};
        return;
    }
    call.rank = klass->rank;
    call.classDeadline = klass->deadline;
    const auto requestedRank = parseUrgency(request.fields.get(field::priority));
    if (requestedRank && request.fields.count(dialect.klass) == 0) {
        // By urgency a caller may request a lower rank than that of its class, never a higher one.
        call.rank = std::max(call.rank, std::min(*requestedRank, static_cast<int>(declared.ranks.size()) - 1));
    }
    call.intent = determineIntent(request, dialect, declared, call.service, callError);
}

} // namespace

call_description
describeCall(const http_request &request, const call_dialect &dialect, const configuration &declared, double random, std::optional<call_error> &callError)
{
    call_description call;

    // Step 1. The service
    call.service = hostName(request.fields.get("Host"));
    if (call.service.empty() || call.service.size() > nameMax) {
        callError = call_error{refusal_reason::malformed, "Host: expected the name of a service"};
        return call;
    }

    // Step 2. The class, the rank and the intent
    if (declared.routes.empty()) {
        describeByClass(request, dialect, declared, call, callError);
    } else {
        describeByRoute(request, declared, call.service, random, call, callError);
    }
    if (callError) {
        return call;
    }

    // Step 3. The timeout, the identity and the declarations of the caller
    if (const auto *timeout = request.fields.find(dialect.deadline)) {
        call.timeout = parseTimeout(dialect.deadline, *timeout, callError);
    }
    call.requestId = request.fields.get(dialect.requestId);
    call.parent = request.fields.get(dialect.context);
    call.idempotencyKey = request.fields.get(dialect.idempotencyKey);
    if (std::max({call.requestId.size(), call.parent.size(), call.idempotencyKey.size()}) > nameMax) {
        callError = call_error{refusal_reason::malformed, "request ids, contexts and keys have at most 200 characters"};
    }

    call.firstAttempt = request.fields.get(field::attempt) == "1";
    call.needed = request.fields.get(field::needed) == "1";
    return call;
}

int statusFor(const call_dialect &dialect, refusal_reason reason, call_outcome outcome)
{
    if (dialect.statusProvesNotRun && reason != refusal_reason::unknown_service && reason != refusal_reason::malformed) {
        const bool late = reason == refusal_reason::deadline;
        return outcome == call_outcome::not_run ? 503 : (late ? 504 : 502);
    }
    switch (reason) {
    case refusal_reason::unknown_service:
        return 404;
    case refusal_reason::unknown_class:
    case refusal_reason::malformed:
        return 400;
    case refusal_reason::unauthorized:
        return 401;
    case refusal_reason::duplicate:
        return 409;
    case refusal_reason::in_doubt:
        return 503;
    case refusal_reason::suspect:
        return 422;
    case refusal_reason::deadline:
        return 504;
    case refusal_reason::broken:
        return 502;
    default:
        return outcome == call_outcome::unknown ? 502 : 503;
    }
}

void setField(http_fields &fields, const std::string &name, std::string value)
{
    if (!name.empty() && !value.empty()) {
        fields.set(name, std::move(value));
    }
}

void removeCallFields(const call_dialect &dialect, http_fields &fields)
{
    const auto names = {&dialect.context,
                        &dialect.outcome,
                        &dialect.reason,
                        &dialect.refusedBy,
                        &dialect.finalFailure,
                        &dialect.configVersion,
                        &dialect.rank,
                        &dialect.callerService,
                        &dialect.instance};
    for (const auto *name : names) {
        fields.remove(*name);
    }
}

} // namespace turmericspar
