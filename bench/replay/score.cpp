#include "score.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace turmericspar {

namespace {

constexpr millis recoveryWindow{1000};
constexpr millis recoveryStep{100};
constexpr double recoveredShare = 0.99;

/// The value below which a share of sorted values lies.
double quantile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

bool inPhase(const request_record &record, const trace_phase &phase)
{
    return record.at >= phase.from && record.at < phase.until;
}

/// @return the number of requests that an ideal system answers in a span of a phase.
double idealIn(const trace &plan, const trace_phase &phase, int rank, millis span)
{
    const auto rates = plan.idealRates(phase);
    double perSecond = 0;
    for (std::size_t i = 0; i < rates.size(); ++i) {
        if (rank < 0 || plan.callers[i].rank == rank) {
            perSecond += rates[i];
        }
    }
    return perSecond * (span / oneSecond);
}

/// @return the time from the start of a phase until goodput reached the ideal.
double recovery(const trace &plan, const run_history &history, const trace_phase &phase)
{
    // Step 1. What was offered and answered in each step
    const auto steps = static_cast<std::size_t>((phase.until - phase.from) / recoveryStep);
    const auto windowSteps = static_cast<std::size_t>(recoveryWindow / recoveryStep);
    std::vector<double> offered(steps);
    std::vector<double> inTime(steps);
    for (const auto &record : history.requests) {
        if (!inPhase(record, phase)) {
            continue;
        }
        const auto step = static_cast<std::size_t>((record.at - phase.from) / recoveryStep);
        if (step < steps) {
            offered[step] += 1;
            inTime[step] += record.inTime ? 1 : 0;
        }
    }

    // Step 2. The first window that is as good as the ideal
    const double idealPerWindow = idealIn(plan, phase, -1, recoveryWindow);
    double offeredInWindow = 0;
    double inTimeInWindow = 0;
    for (std::size_t end = 0; end < steps; ++end) {
        offeredInWindow += offered[end];
        inTimeInWindow += inTime[end];
        if (end + 1 < windowSteps) {
            continue;
        }
        const std::size_t begin = end + 1 - windowSteps;
        if (inTimeInWindow >= recoveredShare * std::min(offeredInWindow, idealPerWindow)) {
            return (recoveryStep * static_cast<double>(begin)).count;
        }
        offeredInWindow -= offered[begin];
        inTimeInWindow -= inTime[begin];
    }
    return -1;
}

phase_score scorePhase(const trace &plan, const run_history &history, const trace_phase &phase, int rank)
{
    phase_score score;
    score.phase = phase.name;
    score.rank = rank;
    std::vector<double> latencies;
    std::unordered_map<std::string, bool> answered;
    for (const auto &record : history.requests) {
        const bool counts = inPhase(record, phase) && (rank < 0 || plan.callers[record.caller].rank == rank);
        if (!counts) {
            continue;
        }
        ++score.offered;
        score.inTime += record.inTime ? 1 : 0;
        score.shed += !record.inTime && record.lastStatus == 503 ? 1 : 0;
        answered.emplace(record.root, record.inTime);
        if (record.inTime) {
            latencies.push_back(record.latency.count);
        }
    }
    double usefulTime = 0;
    double wastedTime = 0;
    std::unordered_map<std::string, int> runs;
    for (const auto &run : history.runs) {
        const auto found = answered.find(run.root);
        if (found == answered.end()) {
            continue;
        }
        (found->second ? usefulTime : wastedTime) += run.busy.count;
        score.attemptsMax = std::max(score.attemptsMax, ++runs[run.root + "\n" + run.service]);
    }
    score.wasted = usefulTime + wastedTime > 0 ? wastedTime / (usefulTime + wastedTime) : 0;
    score.ideal = std::min(static_cast<double>(score.offered), idealIn(plan, phase, rank, phase.until - phase.from));
    score.goodputRatio = score.ideal > 0 ? static_cast<double>(score.inTime) / score.ideal : 1;
    score.p50 = quantile(latencies, 0.5);
    score.p99 = quantile(latencies, 0.99);
    if (rank < 0) {
        score.recoveryMs = recovery(plan, history, phase);
    }
    return score;
}

} // namespace

std::vector<phase_score> scorePhases(const trace &plan, const run_history &history)
{
    std::vector<phase_score> scores;
    for (const auto &phase : plan.phases) {
        scores.push_back(scorePhase(plan, history, phase, -1));
        for (int rank = 0; rank < static_cast<int>(plan.ranks.size()); ++rank) {
            auto score = scorePhase(plan, history, phase, rank);
            if (score.offered > 0) {
                scores.push_back(std::move(score));
            }
        }
    }
    return scores;
}

std::vector<history_violation> checkHistory(const trace &plan, const run_history &history)
{
    const int runsMax = 1 + static_cast<int>(plan.configuration.value("retries_per_request", 3));
    std::vector<history_violation> violations;
    std::unordered_map<std::string, int> runsByService;
    std::unordered_map<std::string, int> runsByKey;
    std::unordered_set<std::string> ranRoots;
    for (const auto &run : history.runs) {
        ++runsByService[run.root + " at " + run.service];
        ranRoots.insert(run.root);
        if (run.once) {
            ++runsByKey[run.key + " at " + run.service];
        }
    }

    // Step 1. Each caller gets the complete answer to its own request, and a request answered `not-run` did not run
    std::unordered_map<std::string, int> tries;
    for (const auto &record : history.requests) {
        tries[record.root] = record.tries;
        if (record.wrong) {
            violations.push_back({"whole-own-answer", "request " + record.root});
        }
        if (record.allNotRun && record.tries > 0 && ranRoots.contains(record.root)) {
            violations.push_back({"not-run-means-not-run", "request " + record.root + " was told not-run by every answer and ran"});
        }
    }

    // Step 2. Runs per try of the caller stay within the retry budget; a request that must not be repeated runs at most once
    for (const auto &[name, runs] : runsByService) {
        const auto root = name.substr(0, name.find(" at "));
        const int allowed = runsMax * std::max(tries[root], 1);
        if (runs > allowed) {
            violations.push_back({"bounded-runs", fmt::format("{} ran {} times, allowed are {}", name, runs, allowed)});
        }
    }
    for (const auto &[name, runs] : runsByKey) {
        if (runs > 1) {
            violations.push_back({"at-most-once", fmt::format("key {} ran {} times", name, runs)});
        }
    }
    std::sort(violations.begin(), violations.end(), [](const auto &left, const auto &right) { return left.witness.size() < right.witness.size(); });
    return violations;
}

std::string scoreRow(const std::string &traceName, const std::string &policy, const phase_score &score)
{
    return fmt::format(
        "trace={} policy={} phase={} rank={} offered={} in_time={} ideal={:.0f} goodput_ratio={:.4f} recovery_ms={:.0f} p50_ms={:.2f} p99_ms={:.2f} "
        "shed={} wasted={:.4f} attempts_max={}",
        traceName,
        policy,
        score.phase,
        score.rank < 0 ? "all" : std::to_string(score.rank),
        score.offered,
        score.inTime,
        score.ideal,
        score.goodputRatio,
        score.recoveryMs,
        score.p50,
        score.p99,
        score.shed,
        score.wasted,
        score.attemptsMax);
}

double measureOf(const phase_score &score, const std::string &name, bool &known)
{
    const std::map<std::string, double> measures{{"goodput_ratio", score.goodputRatio},
                                                 {"recovery_ms", score.recoveryMs < 0 ? 1e9 : score.recoveryMs},
                                                 {"p50_ms", score.p50},
                                                 {"p99_ms", score.p99},
                                                 {"in_time", static_cast<double>(score.inTime)},
                                                 {"wasted", score.wasted},
                                                 {"attempts_max", score.attemptsMax}};
    const auto found = measures.find(name);
    known = found != measures.end();
    return known ? found->second : 0;
}

std::vector<std::string> missRows(const trace &plan, const run_history &history)
{
    struct missed_span
    {
        std::size_t count = 0;
        millis first;
        millis last;
    };
    std::map<std::string, missed_span> spans;
    for (const auto &record : history.requests) {
        const auto *phase = plan.phaseAt(record.at);
        if (!record.inTime && phase) {
            const auto &caller = plan.callers[record.caller].name;
            auto &span = spans[fmt::format("phase={} caller={} status={} reason=\"{}\"", phase->name, caller, record.lastStatus, record.lastReason)];
            span.first = span.count == 0 ? record.at : std::min(span.first, record.at);
            span.last = std::max(span.last, record.at);
            ++span.count;
        }
    }
    std::vector<std::string> rows;
    for (const auto &[what, span] : spans) {
        rows.push_back(fmt::format("missed trace={} policy={} {} count={} first_ms={:.0f} last_ms={:.0f}",
                                   plan.name,
                                   history.policy,
                                   what,
                                   span.count,
                                   span.first.count,
                                   span.last.count));
    }
    return rows;
}

std::vector<goodput_point> goodputSeries(const trace &plan, const run_history &history, millis step)
{
    std::vector<goodput_point> series(static_cast<std::size_t>(plan.end() / step) + 1);
    for (std::size_t i = 0; i < series.size(); ++i) {
        series[i].at = step * static_cast<double>(i);
    }
    const double scale = oneSecond / step;
    for (const auto &record : history.requests) {
        auto &point = series[std::min(series.size() - 1, static_cast<std::size_t>(record.at / step))];
        point.offered += scale;
        point.inTime += record.inTime ? scale : 0;
    }
    return series;
}

} // namespace turmericspar
