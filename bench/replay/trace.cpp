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
constexpr int deepestChain = 32;

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

void readService(const std::string &name, settings_reader place, trace &read)
{
    upstream_shape shape;
    shape.service = name;
    shape.serviceTime = place.child("service_time_ms").duration({20}, 0.1, dayMs);
    shape.spread = place.child("spread").choice(spreadNames, time_spread::uniform);
    shape.coldStart = place.child("cold_start_ms").duration({0}, 0, dayMs);
    shape.coldFactor = place.child("cold_factor").number(shape.coldFactor, 1, 1000);
    shape.parallel = place.child("parallel").flag(false);
    place.child("calls").forEachItem([&](settings_reader item) {
        outgoing_call call;
        call.service = item.child("service").requiredText();
        call.times = item.child("times").integer(1, 1, 100);
        item.rejectUnknownKeys();
        shape.calls.push_back(std::move(call));
    });
    place.child("upstreams").forEachItem([&](settings_reader item) {
        trace_upstream upstream;
        upstream.domain = item.child("failure_domain").requiredText();
        upstream.shape = shape;
        upstream.shape.slots = item.child("slots").integer(1, 1, 100'000);
        upstream.shape.connections = item.child("connections").integer(upstream.shape.slots, 1, 100'000);
        upstream.shape.announcedSlots = item.child("announced_slots").integer(0, 0, 100'000);
        item.rejectUnknownKeys();
        read.upstreams.push_back(std::move(upstream));
    });
    place.rejectUnknownKeys();
}

void readCaller(settings_reader place, trace &read)
{
    trace_caller caller;
    caller.name = place.child("name").requiredText();
    caller.service = place.child("service").requiredText();
    caller.klass = place.child("class").text({});
    caller.method = place.child("method").text("GET");
    caller.ratePerSecond = place.child("rate_per_s").number(10, 0, 1e6);
    caller.deadline = place.child("deadline_ms").duration({1000}, 1, dayMs);
    caller.retries = place.child("retries").integer(0, 0, 100);
    caller.retryAfter = place.child("retry_after_ms").duration({50}, 0, dayMs);
    caller.tryTimeout = place.child("try_timeout_ms").duration({0}, 0, dayMs);
    caller.poison = place.child("poison").flag(false);
    caller.onlyIn = place.child("only_in").text({});
    place.rejectUnknownKeys();
    read.callers.push_back(std::move(caller));
}

void readPhase(settings_reader place, trace &read)
{
    trace_phase phase;
    phase.name = place.child("name").requiredText();
    phase.from = place.child("from_ms").duration({0}, 0, dayMs);
    phase.until = place.child("until_ms").duration({0}, 0, dayMs);
    phase.load = place.child("load").number(1, 0, 1e4);
    place.child("caller_load").forEachEntry([&](const std::string &name, settings_reader item) { phase.callerLoad[name] = item.number(1, 0, 1e4); });
    if (phase.until <= phase.from) {
        place.addError("until_ms must be after from_ms");
    }
    place.rejectUnknownKeys();
    read.phases.push_back(std::move(phase));
}

trace_event readEvent(settings_reader place)
{
    trace_event event;
    event.kind = place.child("kind").choice(eventKindNames, event_kind::slow);
    event.at = place.child("at_ms").duration({0}, 0, dayMs);
    event.until = place.child("until_ms").duration({0}, 0, dayMs);
    event.service = place.child("service").text({});
    event.index = place.child("index").integer(-1, -1, 10'000);
    event.factor = place.child("factor").number(1, 0, 1e6);
    event.domain = place.child("failure_domain").text({});
    event.other = place.child("other").text({});
    event.oneWay = place.child("one_way").flag(false);
    place.rejectUnknownKeys();
    return event;
}

trace_fault readFault(settings_reader place)
{
    trace_fault fault;
    fault.name = place.child("name").requiredText();
    place.child("events").forEachItem([&](settings_reader item) { fault.events.push_back(readEvent(std::move(item))); });
    place.rejectUnknownKeys();
    return fault;
}

/// Reads recorded arrivals; each names its caller.
trace_arrival readArrival(settings_reader place, const trace &read)
{
    trace_arrival arrival;
    arrival.at = place.child("at_ms").duration({0}, 0, dayMs);
    const auto name = place.child("caller").requiredText();
    const auto found = std::find_if(read.callers.begin(), read.callers.end(), [&](const trace_caller &caller) { return caller.name == name; });
    if (found == read.callers.end()) {
        place.addError("no such caller: " + name);
    }
    arrival.caller = static_cast<std::size_t>(found - read.callers.begin());
    place.rejectUnknownKeys();
    return arrival;
}

/// Checks that the failure domains that events name exist.
void checkDomains(settings_reader &place, const trace &read, const std::vector<trace_event> &events)
{
    const auto known = read.domains();
    for (const auto &event : events) {
        for (const auto &name : {event.domain, event.other}) {
            if (!name.empty() && std::find(known.begin(), known.end(), name) == known.end()) {
                place.addError("an event names an unknown failure domain: " + name);
            }
        }
    }
}

bool concernsWays(const trace_event &event)
{
    const bool onWays = event.kind == event_kind::cut || event.kind == event_kind::delay || event.kind == event_kind::loss;
    return onWays || event.kind == event_kind::silence;
}

void readOutcome(settings_reader place, trace &read)
{
    trace_outcome outcome;
    outcome.phase = place.child("phase").requiredText();
    outcome.measure = place.child("measure").requiredText();
    outcome.rank = place.child("rank").integer(-1, -1, ranksMax - 1);
    auto least = place.child("least");
    auto most = place.child("most");
    if (least.isPresent()) {
        outcome.least = least.number(0, -1e12, 1e12);
    }
    if (most.isPresent()) {
        outcome.most = most.number(0, -1e12, 1e12);
    }
    place.rejectUnknownKeys();
    read.outcomes.push_back(std::move(outcome));
}

/// Checks the configuration of a trace and finds the rank of each caller's class.
void resolveRanks(settings_reader place, trace &read)
{
    std::vector<document_error> wrong;
    const auto declared = parseConfiguration(read.configuration, wrong);
    for (const auto &mistake : wrong) {
        place.addError(mistake.path + ": " + mistake.allowed);
    }
    read.ranks = declared.ranks;
    for (auto &caller : read.callers) {
        std::string name;
        const auto *klass = declared.findClass(caller.klass, caller.service, name);
        if (klass) {
            caller.rank = klass->rank;
        } else {
            place.addError("caller " + caller.name + ": no such class: " + caller.klass);
        }
    }
}

} // namespace

trace readTrace(const std::string &path, std::vector<settings_error> &mistakes)
{
    trace read;
    auto root = settings_reader::fromFile(path, mistakes);
    read.name = root.child("name").requiredText();
    root.child("description").text({});
    read.seed = static_cast<std::uint64_t>(root.child("seed").integer(1, 0, 2'000'000'000));
    auto configuration = root.child("configuration");
    read.configuration = initialDocument();
    if (configuration.isPresent()) {
        read.configuration = toJson(YAML::LoadFile(path)["configuration"]);
    }
    root.child("services").forEachEntry([&](const std::string &name, settings_reader place) { readService(name, std::move(place), read); });
    root.child("callers").forEachItem([&](settings_reader place) { readCaller(std::move(place), read); });
    root.child("phases").forEachItem([&](settings_reader place) { readPhase(std::move(place), read); });
    root.child("events").forEachItem([&](settings_reader place) { read.events.push_back(readEvent(std::move(place))); });
    root.child("faults").forEachItem([&](settings_reader place) { read.faults.push_back(readFault(std::move(place))); });
    root.child("arrivals").forEachItem([&](settings_reader place) { read.arrivals.push_back(readArrival(std::move(place), read)); });
    root.child("outcomes").forEachItem([&](settings_reader place) { readOutcome(std::move(place), read); });
    root.rejectUnknownKeys();
    if (read.upstreams.empty() || read.callers.empty() || read.phases.empty()) {
        root.addError("a trace needs services with upstreams, callers, and phases");
    }
    resolveRanks(configuration, read);
    checkDomains(root, read, read.events);
    for (const auto &fault : read.faults) {
        checkDomains(root, read, fault.events);
    }
    return read;
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
    auto read = readTrace(path, mistakes);
    for (const auto &mistake : mistakes) {
        std::cerr << path << ": " << mistake.text() << '\n';
    }
    return mistakes.empty() ? std::optional(std::move(read)) : std::nullopt;
}

bool trace::needsRelay() const
{
    return std::any_of(events.begin(), events.end(), concernsWays);
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
        // Recorded: what came is what counts.
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
    // Each millisecond of the phase counts by how fast the upstream is then.
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
    // Step 1. Slot time that each service has in a second, and needs for one call
    std::map<std::string, double> capacity;
    std::map<std::string, const upstream_shape *> shapes;
    std::map<std::string, int> numbers;
    for (const auto &upstream : upstreams) {
        const double share = capacityShare(upstream, numbers[upstream.shape.service]++, phase);
        capacity[upstream.shape.service] += upstream.shape.slots * oneSecond.count * share;
        shapes[upstream.shape.service] = &upstream.shape;
    }

    // Step 2. Slot time that a request needs at each service: a slot is held while the calls below it run
    using demand = std::map<std::string, double>;
    const std::function<double(const std::string &, double, int, demand &)> add = [&](const std::string &service, double times, int depth, demand &out) {
        const auto found = shapes.find(service);
        if (found == shapes.end() || depth > deepestChain) {
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

    // Step 3. Served by rank, each caller gets what is left
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
