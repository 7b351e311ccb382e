#include "report.h"

#include "plot.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>

namespace turmericspar {

namespace {

constexpr millis seriesStep{200};

std::string goodputPlot(const trace &plan, const std::vector<scored_run> &runs)
{
    std::vector<plot_line> lines;
    plot_line offered{"offered", "#bbbbbb", {}};
    for (const auto &point : goodputSeries(plan, runs.front().history, seriesStep)) {
        offered.points.emplace_back(point.at / oneSecond, point.offered);
    }
    lines.push_back(std::move(offered));
    for (std::size_t i = 0; i < runs.size(); ++i) {
        plot_line line{"in time, policy " + runs[i].history.policy, plotColour(i), {}};
        for (const auto &point : goodputSeries(plan, runs[i].history, seriesStep)) {
            line.points.emplace_back(point.at / oneSecond, point.inTime);
        }
        lines.push_back(std::move(line));
    }
    return linePlot("Whole requests a second, by time of arrival", "s", lines);
}

/// The share of each rank's requests that were answered in time, over the phases.
std::string rankPlot(const trace &plan, const scored_run &run)
{
    std::vector<plot_line> lines;
    for (std::size_t rank = 0; rank < plan.ranks.size(); ++rank) {
        plot_line line{plan.ranks[rank], plotColour(rank), {}};
        for (const auto &score : run.scores) {
            const auto phase = std::find_if(plan.phases.begin(), plan.phases.end(), [&](const trace_phase &p) { return p.name == score.phase; });
            if (score.rank == static_cast<int>(rank) && score.offered > 0) {
                const double share = static_cast<double>(score.inTime) / static_cast<double>(score.offered);
                line.points.emplace_back(phase->from / oneSecond, share);
                line.points.emplace_back(phase->until / oneSecond, share);
            }
        }
        if (!line.points.empty()) {
            lines.push_back(std::move(line));
        }
    }
    return linePlot("Share answered in time by rank, policy " + run.history.policy, "s", lines);
}

/// Histogram of the latency of answers in time.
std::string latencyPlot(const std::vector<scored_run> &runs)
{
    constexpr double binsPerDecade = 10;
    std::vector<plot_line> lines;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        std::map<int, double> bins;
        for (const auto &record : runs[i].history.requests) {
            if (record.inTime) {
                bins[static_cast<int>(std::floor(std::log10(std::max(record.latency.count, 0.1)) * binsPerDecade))] += 1;
            }
        }
        plot_line line{"policy " + runs[i].history.policy, plotColour(i), {}};
        for (const auto &[bin, count] : bins) {
            line.points.emplace_back(bin / binsPerDecade, count);
        }
        lines.push_back(std::move(line));
    }
    return linePlot("Latency of answers in time: count by decimal logarithm of milliseconds", "log10 ms", lines);
}

std::string scoreTable(const scored_run &run)
{
    std::string html = fmt::format("<h3>Policy {}</h3><table><tr><th>phase<th>rank<th>offered<th>in time<th>goodput ratio<th>recovery ms<th>p50 ms<th>p99 ms"
                                   "<th>shed<th>wasted<th>most attempts</tr>",
                                   escaped(run.history.policy));
    for (const auto &score : run.scores) {
        html += fmt::format("<tr><td>{}<td>{}<td>{}<td>{}<td>{:.4f}<td>{:.0f}<td>{:.2f}<td>{:.2f}<td>{}<td>{:.4f}<td>{}</tr>",
                            escaped(score.phase),
                            score.rank < 0 ? "all" : std::to_string(score.rank),
                            score.offered,
                            score.inTime,
                            score.goodputRatio,
                            score.recoveryMs,
                            score.p50,
                            score.p99,
                            score.shed,
                            score.wasted,
                            score.attemptsMax);
    }
    html += "</table>";
    for (const auto &violation : run.violations) {
        html += fmt::format("<p class='bad'>Broken promise {}: {}</p>", escaped(violation.promise), escaped(violation.witness));
    }
    return html;
}

} // namespace

bool writeReport(const std::string &path, const trace &plan, const std::vector<scored_run> &runs)
{
    std::ofstream file(path);
    file << pageHead(plan.name) << "<h1>Replay of " << escaped(plan.name) << "</h1><p>seed " << plan.seed << ", " << plan.upstreams.size()
         << " upstreams, each with its node</p>";
    file << goodputPlot(plan, runs) << latencyPlot(runs);
    for (const auto &run : runs) {
        file << rankPlot(plan, run) << scoreTable(run);
    }
    file << "</html>\n";
    return static_cast<bool>(file);
}

} // namespace turmericspar
