#include "node_settings.h"

namespace turmericspar {

namespace {

constexpr double oneHourMs = 3'600'000;

/// A tunable that the settings may change, with its bounds.
struct tunable_number
{
    const char *key;
    double tunables::*member;
    double least;
    double most;
};
struct tunable_span
{
    const char *key;
    millis tunables::*member;
    double least;
    double most;
};
struct tunable_count
{
    const char *key;
    int tunables::*member;
    int least;
    int most;
};

constexpr tunable_number numbers[] = {
    {"latency_tolerance", &tunables::latencyTolerance, 1, 10},
    {"limit_decrease", &tunables::limitDecrease, 0.1, 1},
    {"limit_decrease_most", &tunables::limitDecreaseMax, 0.1, 1},
    {"limit_increase", &tunables::limitIncrease, 0, 1},
    {"baseline_blend", &tunables::baselineBlend, 0, 1},
    {"noise_tolerance", &tunables::noiseTolerance, 0, 100},
    {"baseline_fall", &tunables::baselineFall, 0, 1},
    {"cold_start_share", &tunables::coldStartShare, 0.01, 1},
    {"slow_start_increase", &tunables::slowStartIncrease, 0, 1},
    {"queue_share", &tunables::queueShare, 0, 100},
    {"admitted_queue_factor", &tunables::admittedQueueFactor, 1, 100},
    {"service_time_margin", &tunables::serviceTimeMargin, 0, 2},
    {"level_headroom", &tunables::levelHeadroom, 0.1, 2},
    {"level_busy_share", &tunables::levelBusyShare, 0, 1},
    {"level_blend", &tunables::levelBlend, 0.01, 1},
    {"silence_factor", &tunables::silenceTimeoutFactor, 1, 100},
    {"other_domain_factor", &tunables::crossDomainFactor, 1, 100},
    {"retry_ratio", &tunables::retryRatio, 0, 1},
    {"connections_ahead", &tunables::openConnectionsFactor, 0, 10},
    {"retry_burst", &tunables::retryBurst, 0, 1e6},
};

constexpr tunable_span spans[] = {
    {"limit_window_ms", &tunables::limitWindow, 1, oneHourMs},
    {"level_memory_ms", &tunables::levelTimeConstant, 1, oneHourMs},
    {"level_window_ms", &tunables::levelWindow, 1, oneHourMs},
    {"level_report_life_ms", &tunables::levelReportTtl, 1, oneHourMs},
    {"silence_least_ms", &tunables::silenceTimeoutMin, 1, oneHourMs},
    {"silence_look_ms", &tunables::silenceCheckPeriod, 1, oneHourMs},
    {"trip_to_other_domain_ms", &tunables::crossDomainRoundTrip, 0, oneHourMs},
    {"refusal_penalty_ms", &tunables::refusalPenalty, 0, oneHourMs},
    {"unreachable_penalty_ms", &tunables::unreachablePenalty, 0, oneHourMs},
    {"retry_after_least_ms", &tunables::retryAfterMin, 0, oneHourMs},
    {"retry_after_spread_ms", &tunables::retryAfterSpread, 0, oneHourMs},
};

constexpr tunable_count counts[] = {
    {"limit_samples", &tunables::limitSamples, 1, 100'000},
    {"queue_least", &tunables::queueMin, 0, 100'000},
    {"candidates_own", &tunables::candidatesOwn, 1, 100},
    {"candidates_all", &tunables::candidatesAll, 1, 100},
    {"reroutes", &tunables::reroutes, 0, 10},
    {"silence_cuts", &tunables::silenceCancelsCalls, 0, 1},
    {"limit_adaptive", &tunables::limitAdaptive, 0, 1},
};

void readTunables(settings_reader place, tunables &tuning)
{
    for (const auto &item : numbers) {
        tuning.*item.member = place.child(item.key).number(tuning.*item.member, item.least, item.most);
    }
    for (const auto &item : spans) {
        tuning.*item.member = place.child(item.key).duration(tuning.*item.member, item.least, item.most);
    }
    for (const auto &item : counts) {
        tuning.*item.member = place.child(item.key).integer(tuning.*item.member, item.least, item.most);
    }
    place.rejectUnknownKeys();
}

void readListen(settings_reader place, node_settings &read)
{
    read.callers = place.child("callers").requiredAddress();
    read.upstream = place.child("upstream").requiredAddress();
    read.operators = place.child("operators").requiredAddress();
    auto readiness = place.child("readiness");
    if (readiness.isPresent()) {
        read.readiness = readiness.requiredAddress();
    }
    read.nodes = place.child("nodes").requiredAddress();
    auto advertised = place.child("advertised");
    read.advertised = advertised.isPresent() ? advertised.requiredAddress() : read.nodes;
    place.rejectUnknownKeys();
}

void readPlatform(settings_reader place, node_settings &read)
{
    if (place.isPresent()) {
        read.platform = place.child("address").requiredAddress();
        read.platformPrefix = place.child("prefix").text(read.platformPrefix);
        place.rejectUnknownKeys();
    }
}

void readLog(settings_reader place, node_settings &read)
{
    read.logLevel = place.child("level").choice(logLevelNames, read.logLevel);
    read.logFile = place.child("file").text({});
    place.rejectUnknownKeys();
}

} // namespace

node_settings readNodeSettings(const std::string &path, std::vector<settings_error> &mistakes)
{
    node_settings read;
    read.path = path;
    auto root = settings_reader::fromFile(path, mistakes);
    read.name = root.child("name").requiredText();
    read.domain = root.child("failure_domain").requiredText();
    read.service = root.child("service").text({});
    read.interface = root.child("interface").choice(interfaceNames, read.interface);
    readListen(root.child("listen"), read);
    readPlatform(root.child("platform"), read);
    auto keys = root.child("keys");
    keys.forEachItem([&](settings_reader item) { read.keyFiles.push_back(item.requiredText()); });
    read.trustNetwork = root.child("trust_network").flag(false);
    if (read.keyFiles.empty() && !read.trustNetwork) {
        keys.addError("expected a list of one or two key files, or trust_network: true");
    }
    root.child("seeds").forEachItem([&](settings_reader item) { read.seeds.push_back(item.requiredAddress()); });
    read.fallbackConfiguration = root.child("fallback_configuration").text({});
    read.callersMax = root.child("callers_max").integer(read.callersMax, 1, 1'000'000);
    read.connectTimeout = root.child("connect_timeout_ms").duration(read.connectTimeout, 1, oneHourMs);
    read.connectionIdle = root.child("connection_idle_ms").duration(read.connectionIdle, 1, oneHourMs);
    read.startWait = root.child("start_wait_ms").duration(read.startWait, 0, oneHourMs);
    read.shutdownWait = root.child("shutdown_wait_ms").duration(read.shutdownWait, 0, oneHourMs);
    read.mode = root.child("policy").choice(policyModeNames, read.mode);
    read.seed = static_cast<std::uint64_t>(root.child("random_seed").integer(0, 0, 2'000'000'000));
    readLog(root.child("log"), read);
    readTunables(root.child("tunables"), read.tuning);
    root.rejectUnknownKeys();
    return read;
}

key_ring readKeys(const node_settings &settings, std::vector<settings_error> &mistakes)
{
    key_ring keys;
    if (settings.trustNetwork && settings.keyFiles.empty()) {
        // Guards against damaged packets and other deployments on the same addresses, not against attackers.
        keys.emplace_back("a deployment that trusts its network");
    }
    for (const auto &file : settings.keyFiles) {
        const auto key = shared_key::read(file);
        if (key) {
            keys.push_back(*key);
        } else {
            mistakes.push_back({0, "keys", file + ": " + key.error().detail});
        }
    }
    return keys;
}

} // namespace turmericspar
