/// @file main.cpp
/// experiment: compares variants of the policy on a trace, run in turn over several seeds.
#include "plot.h"
#include "run.h"
#include "turmericspar/base/command_line.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <map>

namespace {

using namespace turmericspar;

constexpr const char *usage = R"(experiment: compares variants of the policy on a trace.

Usage:
  experiment TRACE --variant=NAME... [--seeds=N] [--phase=NAME] [--report=FILE] [--port=N]
  experiment --help

Options:
  --variant=NAME  As a policy of replay: "full", "none", "full,queue_share=2". The first is what the others are compared with.
  --seeds=N       Runs of each variant; their order turns round from seed to seed. [default: 5]
  --phase=NAME    Only this phase.
  --report=FILE   Writes a page with a plot of each measure.
  --port=N        First of the ports used on 127.0.0.1. [default: 20000]

Each row gives the mean of a measure, the mean of its paired difference to the first variant, and the 95% interval of that
difference. An interval without 0 is a difference.

Exit codes: 0 all runs were made and no promise was broken; 1 otherwise; 2 the trace or the options have mistakes.
)";

constexpr int exitBroken = 1;
constexpr std::array<const char *, 4> measures{"goodput_ratio", "recovery_ms", "p99_ms", "wasted"};

/// Values of one measure in one phase: by variant, then by seed.
using value_table = std::vector<std::vector<double>>;

/// Half the width of the 95% interval of a mean, by Student's distribution.
double halfWidth(const std::vector<double> &values, double mean)
{
    constexpr std::array<double, 10> quantiles{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228};
    constexpr double quantileOfMany = 1.96;
    const auto count = values.size();
    if (count < 2) {
        return INFINITY;
    }
    double squares = 0;
    for (const double value : values) {
        squares += (value - mean) * (value - mean);
    }
    const double quantile = count - 2 < quantiles.size() ? quantiles[count - 2] : quantileOfMany;
    return quantile * std::sqrt(squares / static_cast<double>(count - 1) / static_cast<double>(count));
}

double meanOf(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return sum / static_cast<double>(values.size());
}

/// Prints the rows of one measure in one phase.
void printRows(const std::string &phase, const std::string &measure, const std::vector<std::string> &variants, const value_table &values)
{
    for (std::size_t i = 0; i < variants.size(); ++i) {
        std::vector<double> differences;
        for (std::size_t seed = 0; seed < values[i].size(); ++seed) {
            differences.push_back(values[i][seed] - values[0][seed]);
        }
        const double difference = meanOf(differences);
        const double half = i == 0 ? 0 : halfWidth(differences, difference);
        const auto [least, most] = std::minmax_element(values[i].begin(), values[i].end());
        fmt::print("variant={} phase={} measure={} mean={:.4f} least={:.4f} most={:.4f} difference={:+.4f} low95={:+.4f} high95={:+.4f} differs={}\n",
                   variants[i],
                   phase,
                   measure,
                   meanOf(values[i]),
                   *least,
                   *most,
                   difference,
                   difference - half,
                   difference + half,
                   i > 0 && std::abs(difference) > half ? "yes" : "no");
    }
}

std::string plotOf(const std::string &title, const std::vector<std::string> &variants, const value_table &values)
{
    std::vector<plot_line> lines;
    for (std::size_t i = 0; i < variants.size(); ++i) {
        plot_line line{variants[i], plotColour(i), {}};
        for (std::size_t seed = 0; seed < values[i].size(); ++seed) {
            line.points.emplace_back(static_cast<double>(seed), values[i][seed]);
        }
        lines.push_back(std::move(line));
    }
    return linePlot(title, "run", lines);
}

/// Runs every variant with one seed and adds its figures.
bool runSeed(
    const trace &plan, run_options options, const std::vector<std::string> &variants, bool backwards, std::map<std::string, std::vector<value_table>> &tables)
{
    bool sound = true;
    for (std::size_t step = 0; step < variants.size(); ++step) {
        const std::size_t i = backwards ? variants.size() - 1 - step : step;
        options.parsePolicy(variants[i]);
        const auto history = runTrace(plan, options);
        if (!history) {
            std::cerr << "experiment: " << history.error().text() << '\n';
            return false;
        }
        sound = sound && checkHistory(plan, *history).empty();
        for (const auto &score : scorePhases(plan, *history)) {
            if (score.rank >= 0) {
                continue;
            }
            auto &phase = tables[score.phase];
            phase.resize(measures.size(), value_table(variants.size()));
            for (std::size_t m = 0; m < measures.size(); ++m) {
                bool known = false;
                phase[m][i].push_back(measureOf(score, measures[m], known));
            }
        }
    }
    return sound;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = parseCommandLine(usage, argc, argv);
    auto loaded = loadTrace(arguments.at("TRACE").asString());
    if (!loaded) {
        return exitUsage;
    }
    auto &plan = *loaded;
    run_options options;
    options.daemonPath = defaultDaemonPath();
    options.firstPort = static_cast<int>(integerOption(arguments.at("--port"), "--port"));
    const auto variants = arguments.at("--variant").asStringList();
    for (const auto &variant : variants) {
        if (!options.parsePolicy(variant)) {
            std::cerr << "experiment: no such variant: " << variant << '\n';
            return exitUsage;
        }
    }

    // Step 1. The runs
    std::map<std::string, std::vector<value_table>> tables;
    const auto seeds = integerOption(arguments.at("--seeds"), "--seeds");
    bool sound = true;
    for (long i = 0; i < seeds; ++i, ++plan.seed) {
        sound = runSeed(plan, options, variants, i % 2 == 1, tables) && sound;
    }

    // Step 2. The rows and the page
    std::string page = pageHead("experiment on " + plan.name) + "<h1>Experiment on " + escaped(plan.name) + "</h1>";
    for (const auto &phase : plan.phases) {
        const bool wanted = !arguments.at("--phase") || arguments.at("--phase").asString() == phase.name;
        if (!wanted || !tables.contains(phase.name)) {
            continue;
        }
        for (std::size_t m = 0; m < measures.size(); ++m) {
            printRows(phase.name, measures[m], variants, tables[phase.name][m]);
            page += plotOf(phase.name + ": " + measures[m], variants, tables[phase.name][m]);
        }
    }
    if (arguments.at("--report") && !(std::ofstream(arguments.at("--report").asString()) << page << "</html>\n")) {
        std::cerr << "experiment: can't write the report\n";
        return exitBroken;
    }
    return sound ? 0 : exitBroken;
}
