#include "trace.h"

#include "turmericspar/policy/configuration.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr name_table<time_spread, 3> spreadNames{{"constant", "uniform", "exponential"}};
constexpr double dayMs = 86'400'000;
constexpr int callDepthMax = 32;

/// Turns a YAML value into a JSON one; scalars become numbers and flags where they look like them.
json toJson(const YAML::Node &node)
{
    if (node.IsMap()) {
        json object = json::object();
        for (const auto &pair : node) {
            object[pair.first.as<std::string>()] = toJson(pair.second);
        }
        return object;
    }
    if (node.IsSequence()) {
        json list = json::array();
        for (const auto &item : node) {
            list.push_back(toJson(item));
        }
        return list;
    }
    bool flag = false;
    if (YAML::convert<bool>::decode(node, flag) && (node.Scalar() == "true" || node.Scalar() == "false")) {
        return flag;
    }
    double number = 0;
    if (YAML::convert<double>::decode(node, number)) {
        return number;
    }
    return node.IsNull() ? json() : json(node.Scalar());
}

void readService(const std::string &name, settings_reader reader, trace &loaded)
{
    upstream_shape shape;
    shape.service = name;
    shape.serviceTime = reader.child("service_time_ms").duration({20}, 0.1, dayMs);
    shape.spread = reader.child("spread").choice(spreadNames, time_spread::uniform);
    shape.coldStart = reader.child("cold_start_ms").duration({0}, 0, dayMs);
    shape.coldFactor = reader.child("cold_factor").number(shape.coldFactor, 1, 1000);
    shape.parallel = reader.child("parallel").flag(false);
    reader.child("calls").forEachItem([&](settings_reader item) {
        outgoing_call call;
        call.service = item.child("service").requiredText();
        call.times = item.child("times").integer(1, 1, 100);
        item.rejectUnknownKeys();
        shape.calls.push_back(std::move(call));
    });
    reader.child("upstreams").forEachItem([&](settings_reader item) {
        trace_upstream upstream;
        upstream.domain = item.child("failure_domain").requiredText();
        upstream.shape = shape;
        upstream.shape.slots = item.child("slots").integer(1, 1, 100'000);
        upstream.shape.connections = item.child("connections").integer(upstream.shape.slots, 1, 100'000);
        upstream.shape.announcedSlots = item.child("announced_slots").integer(0, 0, 100'000);
        item.rejectUnknownKeys();
        loaded.upstreams.push_back(std::move(upstream));
    });
    reader.rejectUnknownKeys();
}

void readCaller(settings_reader reader, trace &loaded)
{
    trace_caller caller;
    caller.name = reader.child("name").requiredText();
    caller.service = reader.child("service").requiredText();
    caller.klass = reader.child("class").text({});
    caller.method = reader.child("method").text("GET");
    caller.ratePerSecond = reader.child("rate_per_s").number(10, 0, 1e6);
    caller.deadline = reader.child("deadline_ms").duration({1000}, 1, dayMs);
    caller.retries = reader.child("retries").integer(0, 0, 100);
    caller.retryAfter = reader.child("retry_after_ms").duration({50}, 0, dayMs);
    caller.tryTimeout = reader.child("try_timeout_ms").duration({0}, 0, dayMs);
    caller.poison = reader.child("poison").flag(false);
    caller.onlyIn = reader.child("only_in").text({});
    reader.rejectUnknownKeys();
    loaded.callers.push_back(std::move(caller));
}

void readPhase(settings_reader reader, trace &loaded)
{
    trace_phase phase;
    phase.name = reader.child("name").requiredText();
    phase.from = reader.child("from_ms").duration({0}, 0, dayMs);
    phase.until = reader.child("until_ms").duration({0}, 0, dayMs);
    phase.load = reader.child("load").number(1, 0, 1e4);
    reader.child("caller_load").forEachEntry([&](const std::string &name, settings_reader item) { phase.callerLoad[name] = item.number(1, 0, 1e4); });
    if (phase.until <= phase.from) {
        reader.addError("until_ms must be after from_ms");
    }
    reader.rejectUnknownKeys();
    loaded.phases.push_back(std::move(phase));
}

trace_event readEvent(settings_reader reader)
{
    trace_event event;
    event.kind = reader.child("kind").choice(eventKindNames, event_kind::slow);
    event.at = reader.child("at_ms").duration({0}, 0, dayMs);
    event.until = reader.child("until_ms").duration({0}, 0, dayMs);
    event.service = reader.child("service").text({});
    event.index = reader.child("index").integer(-1, -1, 10'000);
    event.factor = reader.child("factor").number(1, 0, 1e6);
    event.domain = reader.child("failure_domain").text({});
    event.other = reader.child("other").text({});
    event.oneWay = reader.child("one_way").flag(false);
    reader.rejectUnknownKeys();
    return event;
}

trace_fault readFault(settings_reader reader)
{
    trace_fault fault;
    fault.name = reader.child("name").requiredText();
    reader.child("events").forEachItem([&](settings_reader item) { fault.events.push_back(readEvent(std::move(item))); });
    reader.rejectUnknownKeys();
    return fault;
}

/// Reads recorded arrivals; each names its caller.
trace_arrival readArrival(settings_reader reader, const trace &loaded)
{
    trace_arrival arrival;
    arrival.at = reader.child("at_ms").duration({0}, 0, dayMs);
    const auto name = reader.child("caller").requiredText();
    const auto found = std::find_if(loaded.callers.begin(), loaded.callers.end(), [&](const trace_caller &caller) { return caller.name == name; });
    if (found == loaded.callers.end()) {
        reader.addError("no such caller: " + name);
    }
    arrival.caller = static_cast<std::size_t>(found - loaded.callers.begin());
    reader.rejectUnknownKeys();
    return arrival;
}

/// Checks that the failure domains that events name exist.
void checkDomains(settings_reader &reader, const trace &loaded, const std::vector<trace_event> &events)
{
    const auto known = loaded.domains();
    for (const auto &event : events) {
        for (const auto &name : {event.domain, event.other}) {
            if (!name.empty() && std::find(known.begin(), known.end(), name) == known.end()) {
                reader.addError("an event names an unknown failure domain: " + name);
            }
        }
    }
}

bool affectsPaths(const trace_event &event)
{
    const bool onPath = event.kind == event_kind::cut || event.kind == event_kind::delay || event.kind == event_kind::loss;
    return onPath || event.kind == event_kind::silence;
}

void readOutcome(settings_reader reader, trace &loaded)
{
    trace_outcome outcome;
    outcome.phase = reader.child("phase").requiredText();
    outcome.measure = reader.child("measure").requiredText();
    outcome.rank = reader.child("rank").integer(-1, -1, ranksMax - 1);
    auto min = reader.child("least");
    auto max = reader.child("most");
    if (min.isPresent()) {
        outcome.min = min.number(0, -1e12, 1e12);
    }
    if (max.isPresent()) {
        outcome.max = max.number(0, -1e12, 1e12);
    }
    reader.rejectUnknownKeys();
    loaded.outcomes.push_back(std::move(outcome));
}

/// Checks the configuration of a trace and finds the rank of each caller's class.
void resolveRanks(settings_reader reader, trace &loaded)
{
    std::vector<document_error> errors;
    const auto declared = parseConfiguration(loaded.configuration, errors);
    for (const auto &mistake : errors) {
        reader.addError(mistake.path + ": " + mistake.allowed);
    }
    loaded.ranks = declared.ranks;
    for (auto &caller : loaded.callers) {
        std::string name;
        const auto *klass = declared.findClass(caller.klass, caller.service, name);
        if (klass) {
            caller.rank = klass->rank;
        } else {
            reader.addError("caller " + caller.name + ": no such class: " + caller.klass);
        }
    }
}

} // namespace

trace readTrace(const std::string &path, std::vector<settings_error> &mistakes)
{
    trace loaded;
    auto root = settings_reader::fromFile(path, mistakes);
    loaded.name = root.child("name").requiredText();
    root.child("description").text({});
    loaded.seed = static_cast<std::uint64_t>(root.child("seed").integer(1, 0, 2'000'000'000));
    auto configuration = root.child("configuration");
    loaded.configuration = initialDocument();
    if (configuration.isPresent()) {
        loaded.configuration = toJson(YAML::LoadFile(path)["configuration"]);
    }
    root.child("services").forEachEntry([&](const std::string &name, settings_reader reader) { readService(name, std::move(reader), loaded); });
    root.child("callers").forEachItem([&](settings_reader reader) { readCaller(std::move(reader), loaded); });
    root.child("phases").forEachItem([&](settings_reader reader) { readPhase(std::move(reader), loaded); });
    root.child("events").forEachItem([&](settings_reader reader) { loaded.events.push_back(readEvent(std::move(reader))); });
    root.child("faults").forEachItem([&](settings_reader reader) { loaded.faults.push_back(readFault(std::move(reader))); });
    root.child("arrivals").forEachItem([&](settings_reader reader) { loaded.arrivals.push_back(readArrival(std::move(reader), loaded)); });
    root.child("outcomes").forEachItem([&](settings_reader reader) { readOutcome(std::move(reader), loaded); });
    root.rejectUnknownKeys();
    if (loaded.upstreams.empty() || loaded.callers.empty() || loaded.phases.empty()) {
        root.addError("a trace needs services with upstreams, callers, and phases");
    }
    resolveRanks(configuration, loaded);
    checkDomains(root, loaded, loaded.events);
    for (const auto &fault : loaded.faults) {
        checkDomains(root, loaded, fault.events);
    }
    return loaded;
}

std::vector<trace_arrival> trace::drawArrivals(std::mt19937_64 &random) const
{
    std::vector<trace_arrival> drawn = arrivals;
    for (std::size_t i = 0; i < callers.size() && arrivals.empty(); ++i) {
        for (const auto &phase : phases) {
            const double perMillisecond = rate(callers[i], phase.from) / oneSecond.count;
            if (perMillisecond <= 0) {
                continue;
            }
            std::exponential_distribution<double> gap(perMillisecond);
            for (millis at = phase.from + millis{gap(random)}; at < phase.until; at += millis{gap(random)}) {
                drawn.push_back({at, i});
            }
        }
    }
    std::stable_sort(drawn.begin(), drawn.end(), [](const trace_arrival &left, const trace_arrival &right) { return left.at < right.at; });
    return drawn;
}

std::optional<trace> loadTrace(const std::string &path)
{
    std::vector<settings_error> mistakes;
    auto loaded = readTrace(path, mistakes);
    for (const auto &mistake : mistakes) {
        std::cerr << path << ": " << mistake.text() << '\n';
    }
    return mistakes.empty() ? std::optional(std::move(loaded)) : std::nullopt;
}

bool trace::needsRelay() const
{
    return std::any_of(events.begin(), events.end(), affectsPaths);
}

std::vector<std::string> trace::domains() const
{
    std::vector<std::string> names{"store"};
    for (const auto &upstream : upstreams) {
        if (std::find(names.begin(), names.end(), upstream.domain) == names.end()) {
            names.push_back(upstream.domain);
        }
    }
    return names;
}

int trace::domainNumber(const std::string &name) const
{
    const auto names = domains();
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

bool trace::addFault(const std::string &name)
{
    const auto found = std::find_if(faults.begin(), faults.end(), [&](const trace_fault &fault) { return fault.name == name; });
    if (found == faults.end()) {
        return false;
    }
    events.insert(events.end(), found->events.begin(), found->events.end());
    return true;
}

millis trace::end() const
{
    millis last{0};
    for (const auto &phase : phases) {
        last = std::max(last, phase.until);
    }
    return last;
}

const trace_phase *trace::phaseAt(millis at) const
{
    for (const auto &phase : phases) {
        if (at >= phase.from && at < phase.until) {
            return &phase;
        }
    }
    return nullptr;
}

double trace::rate(const trace_caller &caller, millis at) const
{
    const auto *phase = phaseAt(at);
    if (!phase) {
        return 0;
    }
    if (!arrivals.empty()) {
        // For recorded arrivals the rate is their count divided by the length of the phase.
        const auto index = static_cast<std::size_t>(&caller - callers.data());
        const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const trace_arrival &arrival) {
            return arrival.caller == index && arrival.at >= phase->from && arrival.at < phase->until;
        });
        return static_cast<double>(count) / ((phase->until - phase->from) / oneSecond);
    }
    const auto own = phase->callerLoad.find(caller.name);
    return caller.ratePerSecond * (own == phase->callerLoad.end() ? phase->load : own->second);
}

double trace::capacityShare(const trace_upstream &upstream, int number, const trace_phase &phase) const
{
    // Averages the capacity of the upstream over each millisecond of the phase.
    double sum = 0;
    const double cold = upstream.shape.coldStart.count;
    for (double at = phase.from.count; at < phase.until.count; at += 1) {
        double share = at < cold ? 1 / upstream.shape.coldFactor : 1;
        for (const auto &event : events) {
            const bool concerned = event.service == upstream.shape.service && (event.index < 0 || event.index == number);
            const bool during = concerned && at >= event.at.count && at < event.until.count;
            const bool down = event.kind == event_kind::crash || event.kind == event_kind::failing || event.kind == event_kind::drain;
            const bool coldAgain = concerned && event.kind == event_kind::crash && at >= event.until.count && at < event.until.count + cold;
            if (during && down) {
                share = 0;
            } else if (during && event.kind == event_kind::slow) {
                share /= event.factor;
            } else if (coldAgain) {
                share = 1 / upstream.shape.coldFactor;
            }
        }
        sum += share;
    }
    return sum / (phase.until - phase.from).count;
}

std::vector<double> trace::idealRates(const trace_phase &phase) const
{
    // Step 1. Slot time that each service offers per second
    std::map<std::string, double> capacity;
    std::map<std::string, const upstream_shape *> shapes;
    std::map<std::string, int> numbers;
    for (const auto &upstream : upstreams) {
        const double share = capacityShare(upstream, numbers[upstream.shape.service]++, phase);
        capacity[upstream.shape.service] += upstream.shape.slots * oneSecond.count * share;
        shapes[upstream.shape.service] = &upstream.shape;
    }

    // Step 2. Slot time that a request needs at each service; a slot stays occupied while the nested calls run
    using demand = std::map<std::string, double>;
    const std::function<double(const std::string &, double, int, demand &)> add = [&](const std::string &service, double times, int depth, demand &out) {
        const auto found = shapes.find(service);
        if (found == shapes.end() || depth > callDepthMax) {
            return 0.0;
        }
        double held = found->second->serviceTime.count;
        double longest = 0;
        double sum = 0;
        for (const auto &call : found->second->calls) {
            const double below = add(call.service, times * call.times, depth + 1, out);
            longest = std::max(longest, below);
            sum += below * call.times;
        }
        held += found->second->parallel ? longest : sum;
        out[service] += held * times;
        return held;
    };

    // Step 3. Assign capacity in order of rank; each caller gets what the ones before it left
    std::vector<std::size_t> order(callers.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return callers[left].rank < callers[right].rank; });
    std::vector<double> rates(callers.size());
    for (const auto index : order) {
        demand needed;
        add(callers[index].service, 1, 0, needed);
        double possible = rate(callers[index], phase.from);
        for (const auto &[service, time] : needed) {
            possible = std::min(possible, capacity[service] / time);
        }
        rates[index] = possible;
        for (const auto &[service, time] : needed) {
            capacity[service] -= possible * time;
        }
    }
    return rates;
}

} // namespace turmericspar
