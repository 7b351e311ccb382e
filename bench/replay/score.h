/// @file score.h
/// Scores of a run and invariant checks on its history.
#pragma once

#include "caller_load.h"
#include "trace.h"
#include "upstream_standin.h"

#include <array>
#include <string>
#include <vector>

namespace turmericspar {

/// All that was recorded in a run.
struct run_history
{
    std::string policy;
    std::vector<request_record> requests;
    std::vector<run_record> runs;
    double processorSeconds = 0; ///< of all nodes
    double memoryMb = 0; ///< of the largest node
    double seconds = 0;
};

/// The figures of one phase, for one rank or for all.
struct phase_score
{
    std::string phase;
    int rank = -1; ///< -1 for all ranks
    std::size_t offered = 0;
    std::size_t inTime = 0;
    double ideal = 0; ///< requests that an ideal system could answer in time
    double goodputRatio = 0; ///< requests answered in time divided by the ideal
    double recoveryMs = -1; ///< from the start of the phase to a second with 99 in 100 of the ideal; -1 if there was none
    double p50 = 0;
    double p99 = 0;
    std::size_t shed = 0; ///< requests whose last answer was a refusal
    double wasted = 0; ///< share of the upstreams' time spent on requests that were not answered in time
    int attemptsMax = 0; ///< maximum number of runs of one request at one service
};

/// A guarantee that a run violated, with an example.
struct history_violation
{
    std::string promise;
    std::string witness;
};

/// @return the figures of all phases: for all ranks together, then for each.
std::vector<phase_score> scorePhases(const trace &plan, const run_history &history);

/// Checks the guarantees that every run must keep. The violation with the shortest example comes first.
std::vector<history_violation> checkHistory(const trace &plan, const run_history &history);

/// @return one line of key=value pairs.
std::string scoreRow(const std::string &traceName, const std::string &policy, const phase_score &score);

/// @return the value of a named measure.
double measureOf(const phase_score &score, const std::string &name, bool &known);

/// @return a line for each phase, caller and last answer among the requests that were not answered in time.
std::vector<std::string> missRows(const trace &plan, const run_history &history);

/// Requests of a span: offered and answered in time.
struct goodput_point
{
    millis at;
    double offered = 0;
    double inTime = 0;
};

/// @return goodput over time.
std::vector<goodput_point> goodputSeries(const trace &plan, const run_history &history, millis step);

} // namespace turmericspar
