#include "turmericspar/policy/configuration.h"

#include <algorithm>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr double limitPerSecondMax = 1e7;
constexpr double deadlineMaxMs = 3'600'000;
constexpr int retriesMax = 10;
constexpr double bytesMax = 1 << 30;
constexpr double connectionsMax = 100'000;
constexpr double weightMax = 1e6;

/// Reads the members of a JSON document, and records every error with its path.
class document_checker
{
public:
    explicit document_checker(std::vector<document_error> &errors) : m_errors(errors) { }

    void addError(const std::string &path, const std::string &allowed) { m_errors.push_back({path, allowed}); }

    /// Checks that a value is an object, and records an error for each of its members that is not known.
    /// @return whether it is an object
    bool object(const json &value, const std::string &path, const std::vector<std::string> &known)
    {
        if (!value.is_object()) {
            addError(path, "expected an object");
            return false;
        }
        for (const auto &[key, member] : value.items()) {
            if (std::find(known.begin(), known.end(), key) == known.end()) {
                std::string list;
                for (const auto &name : known) {
                    list += (list.empty() ? "" : ", ") + name;
                }
                addError(path + "/" + key, "unknown member; known here: " + list);
            }
        }
        return true;
    }

    std::optional<double> number(const json &parent, const std::string &path, const std::string &key, double minimum, double maximum)
    {
        if (!parent.contains(key)) {
            return std::nullopt;
        }
        const auto &value = parent.at(key);
        if (!value.is_number() || value.get<double>() < minimum || value.get<double>() > maximum) {
            addError(path + "/" + key, "expected a number from " + json(minimum).dump() + " to " + json(maximum).dump());
            return std::nullopt;
        }
        return value.get<double>();
    }

    bool flag(const json &parent, const std::string &path, const std::string &key)
    {
        if (parent.contains(key) && !parent.at(key).is_boolean()) {
            addError(path + "/" + key, "expected true or false");
            return false;
        }
        return parent.value(key, false);
    }

    std::optional<std::string> text(const json &parent, const std::string &path, const std::string &key)
    {
        if (!parent.contains(key)) {
            return std::nullopt;
        }
        if (!parent.at(key).is_string()) {
            addError(path + "/" + key, "expected a text");
            return std::nullopt;
        }
        return parent.at(key).get<std::string>();
    }

private:
    std::vector<document_error> &m_errors;
};

void readRanks(const json &document, configuration &parsed, document_checker &check)
{
    if (!document.contains("ranks") || !document["ranks"].is_array() || document["ranks"].empty() || document["ranks"].size() > ranksMax) {
        check.addError("/ranks", "expected a list of 1 to 8 names, the most important first");
        return;
    }
    for (const auto &rank : document["ranks"]) {
        const bool isNew = rank.is_string() && std::find(parsed.ranks.begin(), parsed.ranks.end(), rank.get<std::string>()) == parsed.ranks.end();
        if (!isNew) {
            check.addError("/ranks", "expected names that differ");
            return;
        }
        parsed.ranks.push_back(rank.get<std::string>());
    }
}

void readClass(const std::string &name, const json &value, configuration &parsed, document_checker &check)
{
    const std::string path = "/classes/" + name;
    if (!check.object(value, path, {"rank", "limit_per_s", "deadline_ms"})) {
        return;
    }
    work_class workClass;
    const auto rank = check.text(value, path, "rank");
    const auto position = std::find(parsed.ranks.begin(), parsed.ranks.end(), rank.value_or(""));
    if (position == parsed.ranks.end()) {
        check.addError(path + "/rank", "expected one of the names in /ranks");
    }
    workClass.rank = static_cast<int>(position - parsed.ranks.begin());
    workClass.limitPerSecond = check.number(value, path, "limit_per_s", 0, limitPerSecondMax);
    workClass.deadline = {check.number(value, path, "deadline_ms", 1, deadlineMaxMs).value_or(workClass.deadline.count)};
    parsed.classes[name] = workClass;
}

void readService(const std::string &name, const json &value, configuration &parsed, document_checker &check)
{
    const std::string path = "/services/" + name;
    if (!check.object(value, path, {"retries", "repeatable", "default_class", "connections", "health_path"})) {
        return;
    }
    service_policy policy;
    if (const auto retries = check.number(value, path, "retries", 0, retriesMax)) {
        policy.retries = static_cast<int>(*retries);
    }
    policy.repeatable = check.flag(value, path, "repeatable");
    policy.defaultClass = check.text(value, path, "default_class");
    if (policy.defaultClass && !parsed.classes.contains(*policy.defaultClass)) {
        check.addError(path + "/default_class", "expected one of the names in /classes");
    }
    if (const auto connections = check.number(value, path, "connections", 1, connectionsMax)) {
        policy.connections = static_cast<int>(*connections);
    }
    policy.healthPath = check.text(value, path, "health_path").value_or("");
    parsed.services[name] = policy;
}

/// Reads an optional duration in milliseconds.
std::optional<millis> readDuration(const json &value, const std::string &path, const char *key, document_checker &check)
{
    const auto count = check.number(value, path, key, 1, deadlineMaxMs);
    return count ? std::optional<millis>(millis{*count}) : std::nullopt;
}

void readTargets(const json &value, const std::string &path, route &parsedRoute, const configuration &parsed, document_checker &check)
{
    if (!value.contains("services") || !value["services"].is_object() || value["services"].empty()) {
        check.addError(path + "/services", "expected an object of services with their weights");
        return;
    }
    for (const auto &[service, weight] : value["services"].items()) {
        if (!parsed.services.contains(service)) {
            check.addError(path + "/services/" + service, "expected one of the names in /services");
        } else if (!weight.is_number() || weight.get<double>() < 0 || weight.get<double>() > weightMax) {
            check.addError(path + "/services/" + service, "expected a weight from 0 to 1000000");
        } else {
            parsedRoute.targets.push_back({service, weight.get<double>()});
        }
    }
}

void readRoute(const std::string &name, const json &value, configuration &parsed, document_checker &check)
{
    const std::string path = "/routes/" + name;
    if (!check.object(value, path, {"host", "prefix", "services", "class", "repeatable", "attempts", "timeout_ms", "target_latency_ms"})) {
        return;
    }
    route parsedRoute;
    parsedRoute.name = name;
    parsedRoute.host = check.text(value, path, "host").value_or("");
    parsedRoute.prefix = check.text(value, path, "prefix").value_or("");
    if (parsedRoute.host.empty()) {
        check.addError(path + "/host", "expected a host name");
    }
    if (parsedRoute.prefix.empty() || parsedRoute.prefix.front() != '/' || parsedRoute.prefix.back() != '/') {
        check.addError(path + "/prefix", "expected a path that begins and ends with a slash");
    }
    readTargets(value, path, parsedRoute, parsed, check);
    parsedRoute.klass = check.text(value, path, "class").value_or(parsed.defaultClass);
    if (!parsed.classes.contains(parsedRoute.klass)) {
        check.addError(path + "/class", "expected one of the names in /classes");
    }
    parsedRoute.intent = check.flag(value, path, "repeatable") ? call_intent::repeatable : call_intent::once;
    parsedRoute.attempts = static_cast<int>(check.number(value, path, "attempts", 1, retriesMax + 1).value_or(1));
    parsedRoute.timeout = readDuration(value, path, "timeout_ms", check);
    parsedRoute.targetLatency = readDuration(value, path, "target_latency_ms", check);
    const bool isDuplicate = std::any_of(
        parsed.routes.begin(), parsed.routes.end(), [&](const route &other) { return other.host == parsedRoute.host && other.prefix == parsedRoute.prefix; });
    if (isDuplicate) {
        check.addError(path, "expected a host and prefix that no other route has");
    }
    parsed.routes.push_back(std::move(parsedRoute));
}

void readLimits(const json &value, caller_limits &limits, document_checker &check)
{
    const std::string path = "/limits";
    if (!check.object(value, path, {"header_bytes", "body_bytes", "header_timeout_ms", "message_timeout_ms", "idle_timeout_ms"})) {
        return;
    }
    limits.headerBytes = static_cast<std::size_t>(check.number(value, path, "header_bytes", 1, bytesMax).value_or(static_cast<double>(limits.headerBytes)));
    limits.bodyBytes = static_cast<std::size_t>(check.number(value, path, "body_bytes", 0, bytesMax).value_or(static_cast<double>(limits.bodyBytes)));
    limits.headerTimeout = readDuration(value, path, "header_timeout_ms", check).value_or(limits.headerTimeout);
    limits.messageTimeout = readDuration(value, path, "message_timeout_ms", check).value_or(limits.messageTimeout);
    limits.idleTimeout = readDuration(value, path, "idle_timeout_ms", check).value_or(limits.idleTimeout);
}

} // namespace

const work_class *configuration::findClass(const std::string &requested, const std::string &service, std::string &name) const
{
    name = requested;
    if (name.empty()) {
        const auto declared = services.find(service);
        name = declared != services.end() ? declared->second.defaultClass.value_or(defaultClass) : defaultClass;
    }
    const auto found = classes.find(name);
    return found == classes.end() ? nullptr : &found->second;
}

void configuration::indexRoutes()
{
    m_routesByHost.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_routesByHost[routes[i].host].push_back(i);
    }
    for (auto &[host, indices] : m_routesByHost) {
        std::sort(
            indices.begin(), indices.end(), [this](std::size_t left, std::size_t right) { return routes[left].prefix.size() > routes[right].prefix.size(); });
    }
}

const route *configuration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    const auto pathOnly = path.substr(0, path.find('?'));
    const auto match = std::find_if(found->second.begin(), found->second.end(), [&](std::size_t index) { return pathOnly.starts_with(routes[index].prefix); });
    return match == found->second.end() ? nullptr : &routes[*match];
}

configuration parseConfiguration(const json &document, std::vector<document_error> &errors)
{
    document_checker check(errors);
    configuration parsed;
    if (!check.object(document, "", {"ranks", "classes", "services", "default_class", "retries_per_request", "routes", "limits"})) {
        return parsed;
    }

    // Step 1. Ranks; classes refer to them
    readRanks(document, parsed, check);

    // Step 2. Classes; services refer to them
    if (!document.contains("classes") || !document["classes"].is_object() || document["classes"].empty()) {
        check.addError("/classes", "expected an object with at least one class");
    } else {
        for (const auto &[name, value] : document["classes"].items()) {
            readClass(name, value, parsed, check);
        }
    }

    // Step 3. Services
    if (document.contains("services") && !document["services"].is_object()) {
        check.addError("/services", "expected an object");
    } else if (document.contains("services")) {
        for (const auto &[name, value] : document["services"].items()) {
            readService(name, value, parsed, check);
        }
    }

    // Step 4. Defaults
    parsed.defaultClass = check.text(document, "", "default_class").value_or("");
    if (!parsed.classes.contains(parsed.defaultClass)) {
        check.addError("/default_class", "expected one of the names in /classes");
    }
    parsed.retriesPerRequest = static_cast<int>(check.number(document, "", "retries_per_request", 0, retriesMax).value_or(parsed.retriesPerRequest));

    // Step 5. Routes, which refer to classes and services, and limits
    if (document.contains("routes") && !document["routes"].is_object()) {
        check.addError("/routes", "expected an object");
    } else if (document.contains("routes")) {
        for (const auto &[name, value] : document["routes"].items()) {
            readRoute(name, value, parsed, check);
        }
    }
    parsed.indexRoutes();
    if (document.contains("limits")) {
        readLimits(document["limits"], parsed.limits, check);
    }
    return parsed;
}

json mergePatchBetween(const json &from, const json &to)
{
    json patch = to;
    for (const auto &[key, value] : from.items()) {
        if (!to.contains(key)) {
            patch[key] = nullptr;
        } else if (value.is_object() && to[key].is_object()) {
            patch[key] = mergePatchBetween(value, to[key]);
        }
    }
    return patch;
}

json initialDocument()
{
    return {{"ranks", {"routine"}}, {"classes", {{"default", {{"rank", "routine"}}}}}, {"default_class", "default"}};
}

} // namespace turmericspar
