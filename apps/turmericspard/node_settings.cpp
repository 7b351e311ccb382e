#include "node_settings.h"

#include "turmericspar/policy/stop_intake.h"

#include <algorithm>
#include <charconv>

namespace turmericspar {

namespace {

constexpr double oneHourMs = 3'600'000;

/// A tunable that the settings can change, with its bounds.
struct tunable_number
{
    const char *key;
    double tunables::*member;
    double min;
    double max;
};
struct tunable_span
{
    const char *key;
    millis tunables::*member;
    double min;
    double max;
};
struct tunable_count
{
    const char *key;
    int tunables::*member;
    int min;
    int max;
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

void readTunables(settings_reader reader, tunables &tuning)
{
    for (const auto &item : numbers) {
        tuning.*item.member = reader.child(item.key).number(tuning.*item.member, item.min, item.max);
    }
    for (const auto &item : spans) {
        tuning.*item.member = reader.child(item.key).duration(tuning.*item.member, item.min, item.max);
    }
    for (const auto &item : counts) {
        tuning.*item.member = reader.child(item.key).integer(tuning.*item.member, item.min, item.max);
    }
    reader.rejectUnknownKeys();
}

void readListen(settings_reader reader, node_settings &settings)
{
    settings.callers = reader.child("callers").requiredAddress();
    settings.upstream = reader.child("upstream").requiredAddress();
    settings.operators = reader.child("operators").requiredAddress();
    auto readiness = reader.child("readiness");
    if (readiness.isPresent()) {
        settings.readiness = readiness.requiredAddress();
    }
    settings.nodes = reader.child("nodes").requiredAddress();
    auto advertised = reader.child("advertised");
    settings.advertised = advertised.isPresent() ? advertised.requiredAddress() : settings.nodes;
    reader.rejectUnknownKeys();
}

void readPlatform(settings_reader reader, node_settings &settings)
{
    if (reader.isPresent()) {
        settings.platform = reader.child("address").requiredAddress();
        settings.platformPrefix = reader.child("prefix").text(settings.platformPrefix);
        reader.rejectUnknownKeys();
    }
}

void readLog(settings_reader reader, node_settings &settings)
{
    settings.logLevel = reader.child("level").choice(logLevelNames, settings.logLevel);
    settings.logFile = reader.child("file").text({});
    reader.rejectUnknownKeys();
}

} // namespace

node_settings readNodeSettings(const std::string &path, std::vector<settings_error> &errors)
{
    node_settings settings;
    settings.path = path;
    auto root = settings_reader::fromFile(path, errors);
    settings.name = root.child("name").requiredText();
    settings.domain = root.child("failure_domain").requiredText();
    settings.service = root.child("service").text({});
    settings.interface = root.child("interface").choice(interfaceNames, settings.interface);
    readListen(root.child("listen"), settings);
    readPlatform(root.child("platform"), settings);
    auto keys = root.child("keys");
    keys.forEachItem([&](settings_reader item) { settings.keyFiles.push_back(item.requiredText()); });
    settings.trustNetwork = root.child("trust_network").flag(false);
    if (settings.keyFiles.empty() && !settings.trustNetwork) {
        keys.addError("expected a list of one or two key files, or trust_network: true");
    }
    root.child("seeds").forEachItem([&](settings_reader item) { settings.seeds.push_back(item.requiredAddress()); });
    settings.fallbackConfiguration = root.child("fallback_configuration").text({});
    settings.callersMax = root.child("callers_max").integer(settings.callersMax, 1, 1'000'000);
    settings.connectTimeout = root.child("connect_timeout_ms").duration(settings.connectTimeout, 1, oneHourMs);
    settings.connectionIdle = root.child("connection_idle_ms").duration(settings.connectionIdle, 1, oneHourMs);
    settings.startWait = root.child("start_wait_ms").duration(settings.startWait, 0, oneHourMs);
    settings.shutdownWait = root.child("shutdown_wait_ms").duration(settings.shutdownWait, 0, oneHourMs);
    settings.mode = root.child("policy").choice(policyModeNames, settings.mode);
    settings.seed = static_cast<std::uint64_t>(root.child("random_seed").integer(0, 0, 2'000'000'000));
    readLog(root.child("log"), settings);
    readTunables(root.child("tunables"), settings.tuning);
    root.rejectUnknownKeys();
    return settings;
}

void applyGracePeriod(const std::string &text, node_settings &settings, std::vector<settings_error> &errors)
{
    if (text.empty()) {
        return;
    }
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc{} || end != text.data() + text.size() || !(seconds > 0 && seconds <= oneHourMs / oneSecond.count)) {
        errors.push_back({0, gracePeriodVariable, "expected a number of seconds, at most an hour"});
        return;
    }
    settings.shutdownWait = std::min(settings.shutdownWait, shutdownWaitWithin(oneSecond * seconds));
}

key_ring readKeys(const node_settings &settings, std::vector<settings_error> &errors)
{
    key_ring keys;
    if (settings.trustNetwork && settings.keyFiles.empty()) {
        // A fixed key detects damaged packets and packets of other deployments on the same addresses, but does not protect against attackers.
        keys.emplace_back("a deployment that trusts its network");
    }
    for (const auto &file : settings.keyFiles) {
        const auto key = shared_key::read(file);
        if (key) {
            keys.push_back(*key);
        } else {
            errors.push_back({0, "keys", file + ": " + key.error().detail});
        }
    }
    return keys;
}

} // namespace turmericspar
